//! What proxies tell each other of themselves, of others, and of new configurations.
//!
//! A proxy tells those it is linked to when its endpoint or the endpoint's standing changes. Rows of others come round by
//! an exchange with one linked proxy a second, which is all that depends on the size of the fleet.

use std::{rc::Rc, time::Duration};

use rand::{RngExt as _, seq::IndexedRandom as _};
use tokio::{task::spawn_local, time::sleep};

use crate::{
    platform::ParsedConfig,
    proxy::{
        Proxy, clock,
        directory::{ProxyStatus, Row, StatusUpdate},
        events::Event,
        message::{DeliverRequest, DeliverResponse, GuardReport, Hello, HelloResponse, StateSummary, path},
        peer_link::Link,
    },
    rows::{CompareRequest, CompareResponse, Stamp},
};

/// Changes of our row are gathered this long.
pub(super) const COALESCE_DELAY: Duration = Duration::from_millis(20);
/// How long a greeting, or a step of an exchange, may take.
pub(super) const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a whole configuration may take from a peer: half of the time in which it must be in force,
/// so that another peer can be asked.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(1);
/// How many peers a new version is told to at once by each that has it: all but 2 in 100 hear of it so, the rest with
/// the next request or exchange.
const RELAYS: usize = 4;
/// The pause between exchanges of rows: a change is known to hundreds in about six rounds.
const EXCHANGE_EVERY: Duration = Duration::from_secs(1);
/// The pause while the directory has just begun to fill.
const EXCHANGE_EARLY: Duration = Duration::from_millis(300);
/// For how long it fills.
const EARLY: Duration = Duration::from_secs(3);
/// The part of the exchanges that stay in the data centre, where bytes cost nothing.
const NEAR_PART: f64 = 0.8;
/// The part of the exchanges that go to a proxy that is held to be down: two halves of a fleet that held each other to be
/// down find together so.
const DOWN_PART: f64 = 0.1;

impl Proxy {
    /// What of this proxy changes often.
    fn current(&self) -> ProxyStatus {
        ProxyStatus { version: self.version(), revision: self.endpoint_changes.get(), standing: self.guard.standing() }
    }

    /// [`Self::current`] with whose it is.
    pub(super) fn status_update(&self) -> StatusUpdate {
        StatusUpdate { name: self.name.clone(), stamp: self.directory.borrow().own().stamp, status: self.current() }
    }

    fn row(&self) -> Row {
        Row::clone(self.directory.borrow().own())
    }

    /// Takes in what a peer told with a reply.
    pub(super) fn apply_guard_report(self: &Rc<Self>, news: GuardReport) {
        let GuardReport { update, running, waiting, retry_budget_exhausted } = news;
        if let Some(link) = self.link(&update.name) {
            link.record_load(running + waiting, clock::now());
            let service = self.directory.borrow().get_by_key(link.key).map(|it| it.endpoints.service.clone());
            if let Some(it) = service {
                self.note_retry_budget(&it, retry_budget_exhausted);
            }
        }
        self.apply_status_update(&update);
    }

    /// Takes in what of a peer changes often.
    pub(super) fn apply_status_update(self: &Rc<Self>, brief: &StatusUpdate) {
        let Some(link) = self.link(&brief.name) else { return };
        self.take_current(&brief.name, &link, brief.stamp, brief.status);
        let known = self.directory.borrow().get_by_key(link.key).map(|it| it.stamp);
        if known.is_none_or(|it| it < brief.stamp) {
            link.request_hello();
        }
    }

    fn take_current(self: &Rc<Self>, name: &str, link: &Rc<Link>, stamp: Stamp, current: ProxyStatus) {
        if link.update_standing(stamp, current) {
            self.events.emit(&Event::Row {
                peer: name,
                sequence: stamp.sequence,
                endpoint: None,
                service: None,
                standing: current.standing,
            });
        }
        if current.version > self.version() {
            self.fetch_config(link);
        }
    }

    /// Takes in rows, and acts on what is new.
    pub(super) fn merge_rows(self: &Rc<Self>, rows: Vec<Row>) {
        let news = self.directory.borrow_mut().merge_all(rows, clock::now());
        self.handle_changed_rows(&news);
    }

    /// Acts on rows that were news.
    pub(super) fn handle_changed_rows(self: &Rc<Self>, news: &[Row]) {
        if news.is_empty() {
            return;
        }
        metrics::counter!("jayreach_rows_taken_total").increment(news.len() as u64);
        for row in news {
            if row.name == self.name {
                self.request_hello_to_all();
            } else if let Some(link) = self.link(&row.name) {
                self.events.emit(&Event::Row {
                    peer: &row.name,
                    sequence: row.stamp.sequence,
                    endpoint: row.endpoints.endpoint.as_ref().map(|it| &*it.id.name),
                    service: Some(&row.endpoints.service),
                    standing: link.standing(),
                });
            }
        }
        self.members_changed.notify_one();
    }

    /// Says hello at once, and whenever there is something new to say.
    pub(super) async fn send_updates(self: &Rc<Self>, link: &Rc<Link>) {
        link.request_hello();
        loop {
            let fully = link.wait_for_request().await;
            sleep(COALESCE_DELAY).await;
            if fully {
                let hello = Hello { row: self.row(), status: self.current(), selected: link.selected.get() };
                if let Some(it) = link.call_within::<_, HelloResponse>(PEER_CALL_TIMEOUT, path::HELLO, &hello).await {
                    self.take_welcome(link, it);
                }
            } else {
                // What is lost here is told with the next reply, or the next hello.
                _ = link.call_within::<_, ()>(PEER_CALL_TIMEOUT, path::BRIEF, &self.status_update()).await;
            }
        }
    }

    fn take_welcome(self: &Rc<Self>, link: &Rc<Link>, welcome: HelloResponse) {
        let HelloResponse { row, status, newer_caller_row } = welcome;
        let (name, stamp) = (row.name.clone(), row.stamp);
        self.merge_rows([row].into_iter().chain(newer_caller_row).collect());
        self.take_current(&name, link, stamp, status);
    }

    /// Answers a peer's hello, and links back to one that chose this proxy.
    pub(super) fn answer_hello(self: &Rc<Self>, hello: Hello) -> HelloResponse {
        let Hello { row, status, selected } = hello;
        let (name, stamp) = (row.name.clone(), row.stamp);
        if selected {
            self.ensure_link(&row).selected_by_peer.set(true);
        }
        self.merge_rows(vec![row]);
        if let Some(link) = self.link(&name) {
            link.selected_by_peer.set(selected);
            self.take_current(&name, &link, stamp, status);
        }
        let known = self.directory.borrow().get(&name).filter(|it| it.stamp > stamp).map(|it| Row::clone(it));
        HelloResponse { row: self.row(), status: self.current(), newer_caller_row: known }
    }

    /// Tells linked peers when this proxy's row changes, or its endpoint's standing.
    pub(super) async fn announce_changes(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.guard.row_changed.notified() => {
                    self.endpoint_changes.set(self.endpoint_changes.get() + 1);
                    let endpoint = self.guard.endpoint_row();
                    self.directory.borrow_mut().update_own(clock::now(), |it| it.endpoints.endpoint = endpoint);
                    self.request_hello_to_all();
                }
                () = self.guard.standing_changed.notified() => {
                    self.endpoint_changes.set(self.endpoint_changes.get() + 1);
                    self.links.borrow().iter().for_each(|it| it.1.request_status_update());
                }
            }
        }
    }

    /// Has this proxy's row told to all linked peers.
    pub(super) fn request_hello_to_all(&self) {
        self.links.borrow().iter().for_each(|it| it.1.request_hello());
    }

    /// Exchanges rows with another proxy from time to time.
    pub(super) async fn run_anti_entropy(self: Rc<Self>) {
        let start = clock::now();
        loop {
            let early = clock::now().saturating_duration_since(start) < EARLY;
            let pause = if early { EXCHANGE_EARLY } else { EXCHANGE_EVERY };
            sleep(pause.mul_f64(rand::rng().random_range(0.7..1.3))).await;
            self.directory.borrow_mut().remove_expired(clock::now());
            self.guard.remove_expired_cases();
            if rand::rng().random_bool(DOWN_PART) {
                self.try_down().await;
            } else if let Some((_, link)) = self.random_connected_link_except("", rand::rng().random_bool(NEAR_PART)) {
                self.exchange(&link).await;
            }
        }
    }

    /// Tries a proxy that is held to be down.
    async fn try_down(self: &Rc<Self>) {
        let row =
            self.directory.borrow().down_rows().collect::<Vec<_>>().choose(&mut rand::rng()).map(|it| Row::clone(it));
        let Some(row) = row else { return };
        // One that is down in truth is not news.
        let Ok((link, _connected)) = Link::open(&row).await else { return };
        self.exchange(&link).await;
    }

    /// Compares directories with a peer, and evens out what differs.
    async fn exchange(self: &Rc<Self>, link: &Rc<Link>) {
        let Some(theirs) = link.call_within::<_, StateSummary>(PEER_CALL_TIMEOUT, path::SUMMARY, &self.summary()).await
        else {
            return;
        };
        self.take_summary(theirs, link);
        self.sync_cases(theirs.cases_digest, link).await;
        if theirs.digest == self.directory.borrow().digest() {
            return;
        }
        let compare = self.directory.borrow().compare(self.version());
        let Some(compared) = link.call_within::<_, CompareResponse>(PEER_CALL_TIMEOUT, path::COMPARE, &compare).await
        else {
            return;
        };
        let Some(deliver) = compared.follow_up(self.directory.borrow().table()) else { return };
        if let Some(it) = link.call_within::<_, DeliverResponse>(PEER_CALL_TIMEOUT, path::DELIVER, &deliver).await {
            self.merge_rows(it.rows);
        }
    }

    fn summary(&self) -> StateSummary {
        StateSummary {
            digest: self.directory.borrow().digest(),
            version: self.version(),
            confirmed_ago: self.confirmed_ago(),
            cases_digest: self.guard.cases_digest(),
            store_era: self.store.era(),
        }
    }

    /// Takes in what a peer says of the configuration.
    fn take_summary(self: &Rc<Self>, theirs: StateSummary, link: &Rc<Link>) {
        if theirs.version > self.version() {
            self.fetch_config(link);
        }
        self.take_confirmation(theirs);
    }

    /// Takes in how long ago the store confirmed the version in force, if a peer speaks of that one.
    fn take_confirmation(&self, theirs: StateSummary) {
        if let Some(it) = theirs.store_era {
            self.store.note_era(it);
        }
        if theirs.version == self.version()
            && let Some(it) = theirs.confirmed_ago
        {
            self.record_confirmation(it);
        }
    }

    /// Answers the opening of an exchange.
    pub(super) fn answer_summary(&self, theirs: StateSummary) -> StateSummary {
        self.take_confirmation(theirs);
        self.summary()
    }

    /// Answers with the stamps of what differs.
    pub(super) fn answer_compare(&self, compare: &CompareRequest) -> CompareResponse {
        self.directory.borrow().answer_compare(compare, self.version())
    }

    /// Takes rows in, and answers with those that the caller lacks.
    pub(super) fn answer_deliver(self: &Rc<Self>, deliver: DeliverRequest) -> DeliverResponse {
        let (delivered, news) = self.directory.borrow_mut().answer_deliver(deliver, clock::now());
        self.handle_changed_rows(&news);
        delivered
    }

    /// Tells a few peers of each new version; they tell a few others.
    pub(super) async fn announce_versions(self: Rc<Self>) {
        loop {
            self.config_changed.notified().await;
            let links = self.links.borrow();
            let connected: Vec<_> = links.iter().filter(|it| it.1.is_connected()).collect();
            connected.sample(&mut rand::rng(), RELAYS).for_each(|it| it.1.request_status_update());
        }
    }

    /// Fetches the configuration from a peer that has a newer one.
    pub(super) fn fetch_config(self: &Rc<Self>, link: &Rc<Link>) {
        // Many messages tell of a new version; one fetch is enough.
        if self.fetching_config.replace(true) {
            return;
        }
        let (proxy, link) = (Rc::clone(self), Rc::clone(link));
        spawn_local(async move {
            let known = proxy.version();
            if let Some(Some(it)) =
                link.call_within::<_, Option<ParsedConfig>>(CONFIG_TIMEOUT, path::CONFIG, &known).await
            {
                proxy.activate_config(it, "peer");
            }
            proxy.fetching_config.set(false);
        });
    }
}
