//! Links to other proxies: which are kept, and keeping them open.

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

/// The first pause before a peer is tried again, and the longest: a proxy that was restarted while
/// the store is away learns all it knows from peers that try it.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);
/// A peer that can't be reached for this long is held to be down, unless most others can't be reached either.
const DOWN_AFTER: Duration = Duration::from_secs(40);
/// A peer that chose this proxy and can't be reached for this long is left alone; one that is back says hello itself.
const LEFT_ALONE_AFTER: Duration = Duration::from_secs(5);
/// Whom to link to is chosen anew at least this often, since peers become unreachable without a word,
const CHOOSE_EVERY: Duration = Duration::from_millis(500);
/// and at most this often, since a fleet that restarts says much in a second.
const CHOOSE_PAUSE: Duration = Duration::from_millis(100);
/// With so many services or fewer, links to all of them are opened ahead of need.
const ALL_SERVICES: usize = 8;
/// Beyond that a service's links are kept for this long after its last request.
const NEEDED_FOR: Duration = Duration::from_secs(300);

/// The services that requests came here for, and when last; sorted.
#[derive(Debug, Default)]
pub(super) struct RecentServices(Vec<(ServiceName, Instant)>);

impl RecentServices {
    /// A request for `service` came; whether that is news.
    fn note(&mut self, service: &str, now: Instant) -> bool {
        self.0.retain(|it| now.saturating_duration_since(it.1) < NEEDED_FOR);
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

    fn has(&self, service: &str) -> bool {
        self.0.binary_search_by(|it| (*it.0).cmp(service)).is_ok()
    }
}

impl Proxy {
    /// The link to the proxy `name`.
    pub(super) fn link(&self, name: &str) -> Option<Rc<Link>> {
        let links = self.links.borrow();
        let at = links.binary_search_by(|it| (*it.0).cmp(name)).ok()?;
        Some(Rc::clone(&links[at].1))
    }

    /// A link that is connected, to any proxy but `name`; one in this data centre if `near` and there is one.
    pub(super) fn random_connected_link_except(&self, name: &str, near: bool) -> Option<(ProxyName, Rc<Link>)> {
        let links = self.links.borrow();
        let mut connected: Vec<_> = links.iter().filter(|it| *it.0 != *name && it.1.is_connected()).collect();
        if near && connected.iter().any(|it| it.1.same_data_centre) {
            connected.retain(|it| it.1.same_data_centre);
        }
        if connected.is_empty() {
            return None;
        }
        let (name, link) = connected[rand::rng().random_range(0..connected.len())];
        Some((name.clone(), Rc::clone(link)))
    }

    /// A request for `service` is to be placed: links to its guards are opened if there are none yet.
    pub(super) fn note_service_needed(self: &Rc<Self>, service: &str) {
        if self.needs.borrow_mut().note(service, clock::now())
            && self.directory.borrow_mut().service_count() > ALL_SERVICES
        {
            self.update_links();
        }
    }

    /// Chooses whom to link to, whenever that may have changed.
    pub(super) async fn maintain_links(self: Rc<Self>) {
        loop {
            self.update_links();
            sleep(CHOOSE_PAUSE).await;
            // A timeout is as good a reason.
            _ = timeout(CHOOSE_EVERY, self.members_changed.notified()).await;
        }
    }

    /// Opens links to those chosen, and closes those that neither side needs.
    pub(super) fn update_links(self: &Rc<Self>) {
        let now = clock::now();
        let chosen = self.chosen(now);
        for row in &chosen {
            self.ensure_link(row).selected.set(true);
        }
        for (name, link) in self.links.borrow().iter() {
            let stays = chosen.binary_search_by(|it| it.name.cmp(name)).is_ok();
            if link.selected.get() && !stays {
                link.selected.set(false);
                link.request_hello();
            }
            if link.selected_by_peer.get() && link.down_for(now) > LEFT_ALONE_AFTER {
                link.selected_by_peer.set(false);
            }
        }
        self.links.borrow_mut().retain(|it| !it.1.is_unused());
    }

    /// The rows of those to link to, sorted by name.
    fn chosen(&self, now: Instant) -> Vec<Arc<Row>> {
        let mut directory = self.directory.borrow_mut();
        let all = directory.service_count() <= ALL_SERVICES;
        let needs = self.needs.borrow();
        let rows: Vec<_> = directory.members().filter(|it| all || needs.has(&it.1.endpoints.service)).collect();
        let own = directory.own();
        let members: Vec<PeerCandidate<'_>> = rows
            .iter()
            .map(|(key, row)| PeerCandidate {
                key: *key,
                service: &row.endpoints.service,
                same_data_centre: row.data_centre == own.data_centre,
                reachable: self.link(&row.name).is_none_or(|it| it.is_reachable(now)),
            })
            .collect();
        let chosen = subset::choose_peers(directory.own_key(), &members);
        let mut chosen: Vec<Arc<Row>> = chosen.into_iter().map(|at| Arc::clone(rows[at].1)).collect();
        chosen.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        chosen
    }

    /// The link to a row's owner, opened if there is none; one that moved is linked anew.
    pub(super) fn ensure_link(self: &Rc<Self>, row: &Row) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        let found = links.binary_search_by(|it| it.0.cmp(&row.name));
        if let Ok(at) = found
            && links[at].1.address == row.peer_address
        {
            return Rc::clone(&links[at].1);
        }
        let near = row.data_centre == self.settings.borrow().data_centre;
        let link = Rc::new(Link::new(row, near));
        match found {
            Ok(at) => links[at].1 = Rc::clone(&link),
            Err(at) => links.insert(at, (row.name.clone(), Rc::clone(&link))),
        }
        drop(links);
        spawn_local(Rc::clone(self).keep_link(row.name.clone(), Rc::clone(&link)));
        link
    }

    /// Keeps a link open until nobody needs it.
    async fn keep_link(self: Rc<Self>, name: ProxyName, link: Rc<Link>) {
        let mut pause = FIRST_PAUSE;
        let was_up = Cell::new(false);
        while self.is_current(&name, &link) {
            match link.connect().await {
                Ok(connected) => {
                    if !was_up.replace(true) {
                        self.events.emit(&Event::Peer { peer: &name, reachable: true, why: "connected" });
                    }
                    select! {
                        () = self.send_updates(&link) => (),
                        () = connected.ended() => (),
                        () = self.needless(&name, &link) => (),
                    }
                    pause = FIRST_PAUSE;
                }
                Err(error) => {
                    if was_up.replace(false) {
                        let why = error.to_string();
                        self.events.emit(&Event::Peer { peer: &name, reachable: false, why: &why });
                    }
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
            if link.down_for(clock::now()) > DOWN_AFTER {
                self.hold_down(&name);
            }
            sleep(pause.mul_f64(rand::rng().random_range(0.7..1.3))).await;
        }
    }

    fn is_current(&self, name: &str, link: &Rc<Link>) -> bool {
        self.link(name).is_some_and(|it| Rc::ptr_eq(&it, link))
    }

    /// Waits until the link is no longer one of this proxy's.
    async fn needless(&self, name: &str, link: &Rc<Link>) {
        while self.is_current(name, link) {
            sleep(CHOOSE_EVERY).await;
        }
    }

    /// Holds a proxy to be down that can't be reached for long, and tells so; if it lives, it hears of that and refutes it.
    fn hold_down(&self, name: &str) {
        let (up, all) = self.links_up();
        if up * 2 < all {
            // It is this proxy that is cut off.
            return;
        }
        let mut directory = self.directory.borrow_mut();
        let Some(tried) = directory.get(name).map(|it| it.stamp) else { return };
        if directory.mark_down(name, tried, clock::now()) {
            self.events.emit(&Event::Peer { peer: name, reachable: false, why: "held to be down" });
        }
    }

    /// How many links are connected, of how many.
    fn links_up(&self) -> (usize, usize) {
        let links = self.links.borrow();
        (links.iter().filter(|it| it.1.is_connected()).count(), links.len())
    }
}
