//! Gossip: pushes changed rows and new configuration versions to a few random peers, which push them on.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crossbeam::channel::Receiver;
use rand::seq::IteratorRandom as _;

use crate::{
    daemon::{
        Daemon,
        http_client::Connection,
        peers::{CONTROL_TIMEOUT, PeerCall},
    },
    rows::{PushRequest, Row},
    util::lock,
    wire::encode,
};

/// The number of peers to which rows are pushed.
const ROWS_FANOUT: usize = 3;
/// The number of peers to which a new version is pushed. Versions are rarer and smaller than rows, so a larger fan-out
/// is cheap.
const VERSION_FANOUT: usize = 6;
/// How long changed rows are collected before a push.
const COALESCE_DELAY: Duration = Duration::from_millis(20);
/// The shortest time between two pushes, so that a row that changes often, for instance while a fleet starts, isn't
/// pushed for each change.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(250);
/// The most rows in one push; keeps its body below `MAX_BODY_BYTES`.
const MAX_ROWS_PER_PUSH: usize = 500;

/// Pushes rows from the queue until it is closed.
pub(crate) fn run(daemon: &Arc<Daemon>, rx: &Receiver<Vec<Row>>) {
    let mut last_push = Instant::now();
    while let Ok(mut rows) = rx.recv() {
        thread::sleep(COALESCE_DELAY.max(MIN_PUSH_INTERVAL.saturating_sub(last_push.elapsed())));
        rows.extend(rx.try_iter().flatten());
        last_push = Instant::now();
        for chunk in chunks(&keep_newest(rows)) {
            push(daemon, chunk.to_vec());
        }
    }
}

/// Splits rows into pushes. Without rows there is one push, which carries the new version.
fn chunks(rows: &[Row]) -> Vec<&[Row]> {
    if rows.is_empty() { vec![rows] } else { rows.chunks(MAX_ROWS_PER_PUSH).collect() }
}

/// Keeps only the newest row of each daemon.
fn keep_newest(mut rows: Vec<Row>) -> Vec<Row> {
    rows.sort_by(|a, b| (&a.name, b.stamp).cmp(&(&b.name, a.stamp)));
    rows.dedup_by(|a, b| a.name == b.name);
    rows
}

fn push(daemon: &Arc<Daemon>, rows: Vec<Row>) {
    let fanout = if rows.is_empty() { VERSION_FANOUT } else { ROWS_FANOUT };
    let peers: Vec<_> = {
        let table = lock(&daemon.table);
        table.live_peers().map(|it| it.peer_address).sample(&mut rand::rng(), fanout)
    };
    let push = PushRequest { rows, version: daemon.config.version(), sender: daemon.settings.peers };
    let bytes = Arc::new(encode(&push));
    for address in peers {
        let cx = Arc::clone(daemon);
        let bytes = Arc::clone(&bytes);
        let job = Box::new(move || {
            let sent = cx.peers.send(address, PeerCall::Push, bytes.to_vec(), 0, Connection::New, CONTROL_TIMEOUT);
            let name = if sent.is_ok() { "jayreach_pushes_total" } else { "jayreach_pushes_lost_total" };
            metrics::counter!(name).increment(1);
        });
        if daemon.pools.control.run(job, 0.75).is_err() {
            metrics::counter!("jayreach_pushes_lost_total").increment(1);
        }
    }
}

impl Daemon {
    /// Merges rows into the table, applies those that changed to the view, and queues them for gossip.
    pub(crate) fn merge_rows(&self, rows: Vec<Row>) {
        let mut table = lock(&self.table);
        let changed_rows = table.merge_all(rows, Instant::now());
        self.apply_rows(&changed_rows);
        drop(table);
        if !changed_rows.is_empty() {
            self.queue_gossip(changed_rows);
        }
    }

    /// Applies rows to the view. The caller holds the table's lock.
    pub(crate) fn apply_rows(&self, changed_rows: &[Row]) {
        for row in changed_rows {
            self.apply_row(row);
        }
    }

    /// Handles a push of a peer.
    pub(crate) fn handle_push(self: &Arc<Self>, push: PushRequest) {
        if push.version > self.config.version() {
            self.fetch_from_peer(push.sender);
        }
        self.merge_rows(push.rows);
    }
}
