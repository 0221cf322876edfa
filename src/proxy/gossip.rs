//! Gossip between proxies: status updates and directory rows.
//!
//! A proxy sends changes of its endpoint, the endpoint's standing and its rate limit to its linked peers. Rows of other
//! proxies spread by an anti-entropy exchange with one peer a second; only this traffic grows with the fleet.

use std::{rc::Rc, time::Duration};

use rand::{RngExt as _, seq::IndexedRandom as _};
use tokio::time::sleep;

use crate::{
    proxy::{
        Proxy, clock,
        directory::{ProxyStatus, Row, StatusUpdate},
        events::Event,
        message::{DeliverRequest, DeliverResponse, GuardReport, Hello, HelloResponse, StateSummary, path},
        peer_link::Link,
    },
    rows::{CompareRequest, CompareResponse, Stamp},
};

/// How long changes are collected before they are sent.
pub(super) const COALESCE_DELAY: Duration = Duration::from_millis(20);
/// How long a hello, a status update or a step of an exchange may take.
pub(super) const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The mean pause between anti-entropy exchanges. A change reaches hundreds of proxies in about six of them.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// The mean pause while a new directory fills.
const INITIAL_EXCHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// How long after its start a proxy uses `INITIAL_EXCHANGE_INTERVAL`.
const INITIAL_EXCHANGE_PHASE: Duration = Duration::from_secs(3);
/// The fraction of exchanges that prefer a peer in the same data centre, where traffic is free.
const LOCAL_EXCHANGE_FRACTION: f64 = 0.8;
/// The fraction of exchanges that try a proxy marked down, so that a fleet heals after a partition.
const DOWN_EXCHANGE_FRACTION: f64 = 0.1;

impl Proxy {
    /// This proxy's status.
    fn proxy_status(&self) -> ProxyStatus {
        ProxyStatus {
            version: self.version(),
            revision: self.endpoint_changes.get(),
            standing: self.guard.standing(),
            limit: self.guard.limit_statement(),
        }
    }

    /// This proxy's status with its name and stamp.
    pub(super) fn status_update(&self) -> StatusUpdate {
        StatusUpdate {
            name: self.name.clone(),
            stamp: self.directory.borrow().own().stamp,
            status: self.proxy_status(),
        }
    }

    fn row(&self) -> Row {
        Row::clone(self.directory.borrow().own())
    }

    /// Applies the status and load that a guard sent with a reply.
    pub(super) fn apply_guard_report(self: &Rc<Self>, report: GuardReport) {
        let GuardReport { update, running, waiting, retry_budget_exhausted, start_delay } = report;
        if let Some(link) = self.link(&update.name) {
            link.record_load(running + waiting, start_delay, clock::now());
            let service = self.directory.borrow().get_by_key(link.key).map(|it| it.endpoints.service.clone());
            if let Some(it) = service {
                self.note_retry_budget(&it, retry_budget_exhausted);
            }
        }
        self.apply_status_update(&update);
    }

    /// Applies a peer's status update, and requests a hello if it shows that the peer's row is newer than the known
    /// one.
    pub(super) fn apply_status_update(self: &Rc<Self>, update: &StatusUpdate) {
        let Some(link) = self.link(&update.name) else { return };
        self.apply_status(&update.name, &link, update.stamp, update.status);
        let known = self.directory.borrow().get_by_key(link.key).map(|it| it.stamp);
        if known.is_none_or(|it| it < update.stamp) {
            link.request_hello();
        }
    }

    fn apply_status(self: &Rc<Self>, name: &str, link: &Rc<Link>, stamp: Stamp, status: ProxyStatus) {
        let standing = link.standing();
        if link.update_status(stamp, status) {
            self.endpoint_reports.borrow_mut().update_limit(name, status.limit);
        }
        if link.standing() != standing {
            self.events.emit(&Event::Row {
                peer: name,
                sequence: stamp.sequence,
                endpoint: None,
                service: None,
                standing: status.standing,
            });
        }
        link.note_version(status.version);
        self.fetch_config((status.version, link.key));
    }

    /// Merges rows into the directory and handles those that changed it.
    pub(super) fn merge_rows(self: &Rc<Self>, rows: Vec<Row>) {
        let changed = self.directory.borrow_mut().merge_all(rows, clock::now());
        self.handle_changed_rows(&changed);
    }

    /// Emits events for rows that changed in the directory and has the links updated. If this proxy's own row changed,
    /// sends it to all linked peers.
    pub(super) fn handle_changed_rows(self: &Rc<Self>, changed: &[Row]) {
        if changed.is_empty() {
            return;
        }
        metrics::counter!("jayreach_rows_taken_total").increment(changed.len() as u64);
        for row in changed {
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

    /// Sends a hello at once, then hellos and status updates as requested on `link`, to the proxy `name`. Never
    /// returns.
    pub(super) async fn send_updates(self: &Rc<Self>, name: &str, link: &Rc<Link>) {
        link.request_hello();
        loop {
            let sends_hello = link.wait_for_request().await;
            sleep(COALESCE_DELAY).await;
            if sends_hello {
                let hello = Hello {
                    row: self.row(),
                    status: self.proxy_status(),
                    selected: link.selected.get(),
                    endpoint_report: self.endpoint_report(name),
                };
                if let Some(it) = link.call_within::<_, HelloResponse>(PEER_CALL_TIMEOUT, path::HELLO, &hello).await {
                    self.apply_hello_response(link, it);
                }
            } else {
                // A lost update is repaired by the next reply or hello.
                _ = link.call_within::<_, ()>(PEER_CALL_TIMEOUT, path::BRIEF, &self.status_update()).await;
            }
        }
    }

    fn apply_hello_response(self: &Rc<Self>, link: &Rc<Link>, resp: HelloResponse) {
        let HelloResponse { row, status, newer_sender_row } = resp;
        let (name, stamp) = (row.name.clone(), row.stamp);
        self.merge_rows([row].into_iter().chain(newer_sender_row).collect());
        self.apply_status(&name, link, stamp, status);
    }

    /// Responds to a hello, and opens a link back if the peer selected this proxy.
    pub(super) fn answer_hello(self: &Rc<Self>, hello: Hello) -> HelloResponse {
        let Hello { row, status, selected, endpoint_report } = hello;
        if let Some(it) = endpoint_report {
            self.guard.apply_endpoint_report(&it);
        }
        let (name, stamp) = (row.name.clone(), row.stamp);
        if selected {
            self.ensure_link(&row).selected_by_peer.set(true);
        }
        self.merge_rows(vec![row]);
        if let Some(link) = self.link(&name) {
            link.selected_by_peer.set(selected);
            self.apply_status(&name, &link, stamp, status);
        }
        let newer_row = self.directory.borrow().get(&name).filter(|it| it.stamp > stamp).map(|it| Row::clone(it));
        HelloResponse { row: self.row(), status: self.proxy_status(), newer_sender_row: newer_row }
    }

    /// Sends changes of this proxy's endpoint and its standing to all linked peers. Never returns.
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

    /// Requests a hello on all links, which sends this proxy's row.
    pub(super) fn request_hello_to_all(&self) {
        self.links.borrow().iter().for_each(|it| it.1.request_hello());
    }

    /// Removes expired rows and exchanges rows and crash records with a peer at intervals. Never returns.
    pub(super) async fn run_anti_entropy(self: Rc<Self>) {
        let start = clock::now();
        loop {
            let is_initial = clock::now().saturating_duration_since(start) < INITIAL_EXCHANGE_PHASE;
            let pause = if is_initial { INITIAL_EXCHANGE_INTERVAL } else { EXCHANGE_INTERVAL };
            sleep(pause.mul_f64(rand::rng().random_range(0.7..1.3))).await;
            self.directory.borrow_mut().remove_expired(clock::now());
            self.endpoint_reports.borrow_mut().retain(|it| self.directory.borrow().get(it).is_some());
            self.guard.remove_expired_crash_records();
            if rand::rng().random_bool(DOWN_EXCHANGE_FRACTION) {
                self.exchange_with_down_proxy().await;
            } else if let Some((_, link)) =
                self.random_connected_link_except("", rand::rng().random_bool(LOCAL_EXCHANGE_FRACTION))
            {
                self.exchange(&link).await;
            }
        }
    }

    /// Tries an exchange with a random proxy that is marked down.
    async fn exchange_with_down_proxy(self: &Rc<Self>) {
        let row =
            self.directory.borrow().down_rows().collect::<Vec<_>>().choose(&mut rand::rng()).map(|it| Row::clone(it));
        let Some(row) = row else { return };
        // The proxy is probably still down, so a failure is not logged.
        let Ok((link, _connection)) = Link::open(&row).await else { return };
        self.exchange(&link).await;
    }

    /// Compares state digests with a peer and synchronises what differs.
    async fn exchange(self: &Rc<Self>, link: &Rc<Link>) {
        let Some(peer_summary) =
            link.call_within::<_, StateSummary>(PEER_CALL_TIMEOUT, path::SUMMARY, &self.summary()).await
        else {
            return;
        };
        self.apply_summary(peer_summary, link);
        self.sync_crash_records(peer_summary.crash_records_digest, link).await;
        if peer_summary.digest == self.directory.borrow().digest() {
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
            crash_records_digest: self.guard.crash_records_digest(),
            store_era: self.store.era(),
        }
    }

    /// Applies what a peer's summary says about the configuration.
    fn apply_summary(self: &Rc<Self>, peer_summary: StateSummary, link: &Rc<Link>) {
        self.fetch_config((peer_summary.version, link.key));
        self.apply_confirmation(peer_summary);
    }

    /// Records a peer's store era, and its last confirmation if both proxies have the same active version.
    fn apply_confirmation(&self, peer_summary: StateSummary) {
        if let Some(it) = peer_summary.store_era {
            self.store.note_era(it);
        }
        if peer_summary.version == self.version()
            && let Some(it) = peer_summary.confirmed_ago
        {
            self.record_confirmation(it);
        }
    }

    /// Responds to the first message of an exchange.
    pub(super) fn answer_summary(&self, peer_summary: StateSummary) -> StateSummary {
        self.apply_confirmation(peer_summary);
        self.summary()
    }

    /// Returns the stamps of the rows in all buckets whose digests differ.
    pub(super) fn answer_compare(&self, compare: &CompareRequest) -> CompareResponse {
        self.directory.borrow().answer_compare(compare, self.version())
    }

    /// Merges the delivered rows and returns those that the peer requested.
    pub(super) fn answer_deliver(self: &Rc<Self>, deliver: DeliverRequest) -> DeliverResponse {
        let (delivered, changed) = self.directory.borrow_mut().answer_deliver(deliver, clock::now());
        self.handle_changed_rows(&changed);
        delivered
    }
}
