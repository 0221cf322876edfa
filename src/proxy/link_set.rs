//! Selects the proxies to link to and keeps the links connected. A peer that stays unreachable is marked down.

use std::{
    cell::Cell,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::RngExt as _;
use tokio::{
    select,
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    decide::subset::{self, PeerCandidate},
    proxy::{
        Proxy, clock,
        directory::{ProxyName, Row},
        events::Event,
        peer_link::Link,
        routes::ServiceName,
    },
};

/// The first pause before a reconnection.
const INITIAL_RECONNECT_PAUSE: Duration = Duration::from_millis(150);
/// The longest pause before a reconnection. A proxy restarted while the store is unreachable depends on peers that
/// reconnect to it.
const MAX_RECONNECT_PAUSE: Duration = Duration::from_millis(1_500);
/// A peer that is unreachable for this long is marked down, unless most peers are unreachable.
const MARK_DOWN_AFTER: Duration = Duration::from_secs(40);
/// A link is no longer kept on behalf of a peer that is unreachable for this long. The peer sends a hello when it is
/// back.
const DROP_PEER_SELECTION_AFTER: Duration = Duration::from_secs(5);
/// The longest pause between two selections of links, which notice unreachable peers.
const MAX_UPDATE_PAUSE: Duration = Duration::from_millis(500);
/// The shortest pause between two selections of links, for times with many changes of members.
const MIN_UPDATE_PAUSE: Duration = Duration::from_millis(100);
/// In a fleet with up to this many services, links to all of them are opened before any request needs them.
const MAX_SERVICES_LINKED_AHEAD: usize = 8;
/// In a larger fleet, the links to a service are kept for this long after its last request.
const SERVICE_RETENTION: Duration = Duration::from_secs(300);

/// Services requested at this ingress, with the time of the last request; sorted by name.
#[derive(Debug, Default)]
pub(super) struct RecentServices(Vec<(ServiceName, Instant)>);

impl RecentServices {
    /// Records a request for `service`. Returns whether the service was not listed before.
    fn record_request(&mut self, service: &str, now: Instant) -> bool {
        self.0.retain(|it| now.saturating_duration_since(it.1) < SERVICE_RETENTION);
        match self.0.binary_search_by(|it| (*it.0).cmp(service)) {
            Ok(at) => {
                self.0[at].1 = now;
                false
            }
            Err(at) => {
                self.0.insert(at, (service.into(), now));
                true
            }
        }
    }

    fn contains(&self, service: &str) -> bool {
        self.0.binary_search_by(|it| (*it.0).cmp(service)).is_ok()
    }
}

impl Proxy {
    /// Returns the link to the proxy `name`.
    pub(super) fn link(&self, name: &str) -> Option<Rc<Link>> {
        let links = self.links.borrow();
        let at = links.binary_search_by(|it| (*it.0).cmp(name)).ok()?;
        Some(Rc::clone(&links[at].1))
    }

    /// Returns a random connected link to a proxy other than `name`. With `prefer_local`, links in this data centre are
    /// preferred.
    pub(super) fn random_connected_link_except(&self, name: &str, prefer_local: bool) -> Option<(ProxyName, Rc<Link>)> {
        let links = self.links.borrow();
        let mut connected: Vec<_> = links.iter().filter(|it| *it.0 != *name && it.1.is_connected()).collect();
        if prefer_local && connected.iter().any(|it| it.1.same_data_centre) {
            connected.retain(|it| it.1.same_data_centre);
        }
        if connected.is_empty() {
            return None;
        }
        let (name, link) = connected[rand::rng().random_range(0..connected.len())];
        Some((name.clone(), Rc::clone(link)))
    }

    /// Records a request for `service` and opens links to its guards if it had no recent requests.
    pub(super) fn note_service_needed(self: &Rc<Self>, service: &str) {
        if self.recent_services.borrow_mut().record_request(service, clock::now())
            && self.directory.borrow_mut().service_count() > MAX_SERVICES_LINKED_AHEAD
        {
            self.update_links();
        }
    }

    /// Updates the links whenever the members or their reachability may have changed.
    pub(super) async fn maintain_links(self: Rc<Self>) {
        loop {
            self.update_links();
            sleep(MIN_UPDATE_PAUSE).await;
            // Updates after a timeout too, since reachability changes without a notification.
            _ = timeout(MAX_UPDATE_PAUSE, self.members_changed.notified()).await;
        }
    }

    /// Opens links to the selected proxies and closes links that neither side selected.
    pub(super) fn update_links(self: &Rc<Self>) {
        let now = clock::now();
        let selected = self.select_rows(now);
        for row in &selected {
            self.ensure_link(row).selected.set(true);
        }
        for (name, link) in self.links.borrow().iter() {
            let stays = selected.binary_search_by(|it| it.name.cmp(name)).is_ok();
            if link.selected.get() && !stays {
                link.selected.set(false);
                link.request_hello();
            }
            if link.selected_by_peer.get() && link.down_for(now) > DROP_PEER_SELECTION_AFTER {
                link.selected_by_peer.set(false);
            }
        }
        self.links.borrow_mut().retain(|it| !it.1.is_unused());
    }

    /// Selects the rows of the proxies to link to, sorted by name.
    fn select_rows(&self, now: Instant) -> Vec<Arc<Row>> {
        let mut directory = self.directory.borrow_mut();
        let all_services = directory.service_count() <= MAX_SERVICES_LINKED_AHEAD;
        let recent_services = self.recent_services.borrow();
        let rows: Vec<_> = directory
            .members()
            .filter(|it| all_services || recent_services.contains(&it.1.endpoints.service))
            .collect();
        let own = directory.own();
        let candidates: Vec<PeerCandidate<'_>> = rows
            .iter()
            .map(|(key, row)| PeerCandidate {
                key: *key,
                service: &row.endpoints.service,
                same_data_centre: row.data_centre == own.data_centre,
                reachable: self.link(&row.name).is_none_or(|it| it.is_reachable(now)),
            })
            .collect();
        let selected = subset::choose_peers(directory.own_key(), &candidates);
        let mut selected: Vec<Arc<Row>> = selected.into_iter().map(|at| Arc::clone(rows[at].1)).collect();
        let predecessor = self.watch_predecessor.get().and_then(|it| directory.get_by_key(it));
        selected.extend(predecessor.map(Arc::clone));
        selected.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        selected.dedup_by(|a, b| a.name == b.name);
        selected
    }

    /// Returns the link to the owner of `row`. Creates it if there is none or if the address changed.
    pub(super) fn ensure_link(self: &Rc<Self>, row: &Row) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        let found = links.binary_search_by(|it| it.0.cmp(&row.name));
        if let Ok(at) = found
            && links[at].1.address == row.peer_address
        {
            return Rc::clone(&links[at].1);
        }
        let same_data_centre = row.data_centre == self.settings.borrow().data_centre;
        let link = Rc::new(Link::new(row, same_data_centre));
        match found {
            Ok(at) => links[at].1 = Rc::clone(&link),
            Err(at) => links.insert(at, (row.name.clone(), Rc::clone(&link))),
        }
        drop(links);
        spawn_local(Rc::clone(self).maintain_link(row.name.clone(), Rc::clone(&link)));
        link
    }

    /// Connects and reconnects `link` until it is removed or replaced.
    async fn maintain_link(self: Rc<Self>, name: ProxyName, link: Rc<Link>) {
        let mut pause = INITIAL_RECONNECT_PAUSE;
        let was_connected = Cell::new(false);
        while self.is_current(&name, &link) {
            match link.connect().await {
                Ok(connection) => {
                    if !was_connected.replace(true) {
                        self.events.emit(&Event::Peer { peer: &name, reachable: true, why: "connected" });
                    }
                    select! {
                        () = self.send_updates(&name, &link) => (),
                        () = connection.ended() => (),
                        () = self.link_removed(&name, &link) => (),
                    }
                    pause = INITIAL_RECONNECT_PAUSE;
                }
                Err(error) => {
                    if was_connected.replace(false) {
                        let why = error.to_string();
                        self.events.emit(&Event::Peer { peer: &name, reachable: false, why: &why });
                    }
                    pause = (pause * 2).min(MAX_RECONNECT_PAUSE);
                }
            }
            if link.down_for(clock::now()) > MARK_DOWN_AFTER {
                self.mark_down(&name);
            }
            sleep(pause.mul_f64(rand::rng().random_range(0.7..1.3))).await;
        }
    }

    fn is_current(&self, name: &str, link: &Rc<Link>) -> bool {
        self.link(name).is_some_and(|it| Rc::ptr_eq(&it, link))
    }

    /// Waits until `link` is removed or replaced.
    async fn link_removed(&self, name: &str, link: &Rc<Link>) {
        while self.is_current(name, link) {
            sleep(MAX_UPDATE_PAUSE).await;
        }
    }

    /// Marks the proxy `name` down, unless this proxy itself seems to be cut off. A proxy that is marked down but
    /// alive supersedes the mark when gossip brings it there.
    fn mark_down(&self, name: &str) {
        let (connected, total) = self.connected_link_count();
        if connected * 2 < total {
            // Most links are down: this proxy is probably cut off itself.
            return;
        }
        let mut directory = self.directory.borrow_mut();
        let Some(known_stamp) = directory.get(name).map(|it| it.stamp) else { return };
        if directory.mark_down(name, known_stamp, clock::now()) {
            self.events.emit(&Event::Peer { peer: name, reachable: false, why: "marked down" });
        }
    }

    /// Returns the number of connected links and of all links.
    fn connected_link_count(&self) -> (usize, usize) {
        let links = self.links.borrow();
        (links.iter().filter(|it| it.1.is_connected()).count(), links.len())
    }
}
