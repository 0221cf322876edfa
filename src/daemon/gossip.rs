//! Pushes news to a few peers at once.

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
    rows::{Push, Row},
    util::lock,
    wire::encode,
};

/// To how many peers rows are pushed; chosen by measurement (docs/CAPACITY.md, rows).
const ROWS_FANOUT: usize = 3;
/// To how many peers a new version is pushed: rarer and smaller than rows, and due within 6 s
/// everywhere (letter 1).
const VERSION_FANOUT: usize = 6;
/// How long news is gathered before it is pushed.
const GATHER: Duration = Duration::from_millis(20);
/// The least time between two pushes. A single change goes out at once; when many daemons and
/// endpoints start together, each row would be pushed for each of its changes.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// How many rows one push holds at most; well below the limit of a body.
const ROWS_PER_PUSH: usize = 500;

/// Pushes news as it comes.
pub(crate) fn run(daemon: &Arc<Daemon>, rx: &Receiver<Vec<Row>>) {
    let mut last = Instant::now();
    while let Ok(mut rows) = rx.recv() {
        thread::sleep(GATHER.max(MIN_INTERVAL.saturating_sub(last.elapsed())));
        rows.extend(rx.try_iter().flatten());
        last = Instant::now();
        for chunk in chunks(&newest(rows)) {
            push(daemon, chunk.to_vec());
        }
    }
}

/// Cuts rows into pushes; news without rows, a new version, is one push as well.
fn chunks(rows: &[Row]) -> Vec<&[Row]> {
    if rows.is_empty() { vec![rows] } else { rows.chunks(ROWS_PER_PUSH).collect() }
}

/// Keeps the newest of each daemon's rows.
fn newest(mut rows: Vec<Row>) -> Vec<Row> {
    rows.sort_by(|a, b| (&a.daemon, b.stamp).cmp(&(&b.daemon, a.stamp)));
    rows.dedup_by(|a, b| a.daemon == b.daemon);
    rows
}

fn push(daemon: &Arc<Daemon>, rows: Vec<Row>) {
    let fanout = if rows.is_empty() { VERSION_FANOUT } else { ROWS_FANOUT };
    let peers: Vec<_> = {
        let table = lock(&daemon.table);
        table.live().map(|it| it.peers).sample(&mut rand::rng(), fanout)
    };
    let push = Push { rows, version: daemon.config.version(), sender: daemon.settings.peers };
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
    /// Takes rows in, brings the view up to date and passes the news on.
    pub(crate) fn merge_rows(&self, rows: Vec<Row>) {
        let mut table = lock(&self.table);
        let news = table.merge_all(rows, Instant::now());
        self.apply_rows(&news);
        drop(table);
        if !news.is_empty() {
            self.queue_gossip(news);
        }
    }

    /// Brings the view up to date; called under the table's lock.
    pub(crate) fn apply_rows(&self, news: &[Row]) {
        for row in news {
            self.apply_row(row);
        }
    }

    /// Takes a push in.
    pub(crate) fn handle_push(self: &Arc<Self>, push: Push) {
        if push.version > self.config.version() {
            self.fetch_from_peer(push.sender);
        }
        self.merge_rows(push.rows);
    }
}
