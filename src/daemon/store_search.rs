//! Finds a daemon that reaches the platform's store when a watcher doesn't: more and more daemons are asked to read it.
//! The first that can adopts and announces what it read, and watches as a substitute.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rand::seq::IteratorRandom as _;

use crate::{
    daemon::{
        Daemon, config_watch,
        http_client::Connection,
        peers::{CONTROL_TIMEOUT, PeerCall},
    },
    decide::{
        store_search::{ROUND_INTERVAL, StoreReachability, retry_interval, round_size},
        watchers::{SUBSTITUTED_SEARCH_INTERVAL, Substitution},
    },
    store::ROOT_KEY,
    util::lock,
};

/// The wait of a watch that only tells whether the store answers. The watch ends 1.2 s later if it doesn't.
pub(crate) const SHORT_WAIT: Duration = Duration::from_millis(100);
/// The most daemons that one search asks.
const MAX_ASKED: usize = 64;

/// What a daemon knows about the store's reachability, and whether it watches for another one.
#[derive(Debug, Default)]
pub(crate) struct StoreAccess {
    /// What the last calls told.
    pub(crate) reachability: StoreReachability,
    /// This daemon's time as a substitute.
    pub(crate) substitution: Substitution,
}

/// The searches of a watcher that can't reach the store.
#[derive(Debug, Default)]
pub(crate) struct Searches {
    fruitless: u32,
    next_at: Option<Instant>,
}

impl Searches {
    /// Searches if the last search was long enough ago.
    pub(crate) fn search_if_due(&mut self, daemon: &Arc<Daemon>) {
        if self.next_at.is_some_and(|it| Instant::now() < it) {
            return;
        }
        let pause = if search(daemon) {
            self.fruitless = 0;
            SUBSTITUTED_SEARCH_INTERVAL
        } else {
            self.fruitless += 1;
            retry_interval(self.fruitless)
        };
        self.next_at = Some(Instant::now() + pause);
    }
}

/// Asks daemons in rounds until one reaches the store; returns whether one does.
fn search(daemon: &Arc<Daemon>) -> bool {
    let mut candidates = {
        let table = lock(&daemon.table);
        table.live_peers().map(|it| it.peer_address).sample(&mut rand::rng(), MAX_ASKED).into_iter()
    };
    let found = Arc::new(AtomicBool::new(false));
    for round in 0.. {
        let asked: Vec<SocketAddr> = candidates.by_ref().take(round_size(round)).collect();
        if asked.is_empty() {
            // The last ones may still answer.
            thread::sleep(CONTROL_TIMEOUT);
            break;
        }
        asked.into_iter().for_each(|it| ask_to_read_store(daemon, it, &found));
        thread::sleep(ROUND_INTERVAL);
        if found.load(Ordering::Acquire) {
            break;
        }
    }
    let result = if found.load(Ordering::Acquire) { "found" } else { "none" };
    metrics::counter!("jayreach_substitutes_total", "result" => result).increment(1);
    result == "found"
}

fn ask_to_read_store(daemon: &Arc<Daemon>, address: SocketAddr, found: &Arc<AtomicBool>) {
    let (cx, found) = (Arc::clone(daemon), Arc::clone(found));
    let job = Box::new(move || {
        let answer = cx.peers.call::<_, bool>(address, PeerCall::ReadStore, &(), Connection::New, CONTROL_TIMEOUT);
        if matches!(answer, Ok(true)) {
            found.store(true, Ordering::Release);
        }
    });
    if daemon.pools.control.run(job, 0.5).is_err() {
        log::debug!("no thread to ask {address} to read the store");
    }
}

impl Daemon {
    /// Reads the store for a peer that lost it, unless a recent call tells whether it answers this daemon. If it does,
    /// this daemon becomes a substitute. Returns whether it does.
    pub(crate) fn read_store_for_peer(self: &Arc<Self>) -> bool {
        // Peers that ask at the same time share one call.
        let mut access = lock(&self.store_access);
        let reaches_store = match access.reachability.current(Instant::now()) {
            Some(it) => it,
            None => match self.platform.watch(ROOT_KEY, 0, SHORT_WAIT) {
                Ok(object) => {
                    access.reachability.record_answer(Instant::now());
                    object.is_none_or(|it| config_watch::adopt_from_store(self, it.value))
                }
                Err(error) => {
                    log::debug!("reading {ROOT_KEY} for a peer: {error}");
                    access.reachability.record_failure(Instant::now());
                    false
                }
            },
        };
        if reaches_store {
            access.substitution.start(Instant::now());
        }
        reaches_store
    }
}
