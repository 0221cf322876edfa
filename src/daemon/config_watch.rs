//! Watches the configuration in the platform's store and writes this daemon's presence object there.
//!
//! Only the first `WATCHERS` daemons of a data centre by rendezvous hash watch the store; the others get changes by
//! gossip. Daemons may disagree about the watchers for a while: more or fewer of them change only the load and the
//! delay.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use rand::RngExt as _;
use serde_bytes::ByteBuf;

use crate::{
    daemon::{
        Daemon,
        http_client::Connection,
        peers::{CONTROL_TIMEOUT, PartsReply, PartsRequest, PeerCall},
        phase::PhaseEvent,
        store_search::{SHORT_WAIT, Searches},
    },
    store::{ObjectVersion, ROOT_KEY, WriteCondition, part_key, presence_key},
    targets::PartRef,
    util::{lock, stable_hash},
    wire::{decode, encode},
};

/// The number of daemons of a data centre that watch the store.
const WATCHERS: usize = 2;
/// The time limit of one watch; short enough that a change becomes active in time although the connection of a watch
/// broke without notice.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// The interval at which a daemon checks whether it has become a watcher.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which a daemon that doesn't watch reads the root anyway.
const FALLBACK_READ_INTERVAL: Duration = Duration::from_secs(300);
/// How long a daemon without a configuration waits to get one from a peer before it reads the store itself, so that a
/// fleet that starts doesn't overload the store.
const INITIAL_READ_DELAY: Duration = Duration::from_secs(20);
/// The first pause after a failed call to the store.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// The longest pause of a watcher; once the store is back, a change must become active in time.
const MAX_WATCH_BACKOFF: Duration = Duration::from_secs(2);
/// The longest pause of the write of the presence object, which all daemons repeat while the store is away.
const MAX_WRITE_BACKOFF: Duration = Duration::from_secs(10);

/// Keeps the configuration up to date until the process ends.
pub(crate) fn run(daemon: &Arc<Daemon>) {
    let mut seen: ObjectVersion = 0;
    let mut backoff = INITIAL_BACKOFF;
    let mut searches: Option<Searches> = None;
    let mut last_read = Instant::now();
    loop {
        let is_watching = is_watcher(daemon);
        let read_interval = if daemon.config.version() == 0 { INITIAL_READ_DELAY } else { FALLBACK_READ_INTERVAL };
        let due = last_read.elapsed() >= read_interval.mul_f64(jitter());
        if !due && !is_watching {
            thread::sleep(ROLE_CHECK_INTERVAL);
            continue;
        }
        // After a change all watchers begin a new watch at once; the jitter spreads the next ones.
        let wait = match &searches {
            _ if !is_watching => Duration::ZERO,
            None => WATCH_TIMEOUT.mul_f64(jitter()),
            Some(_) => SHORT_WAIT,
        };
        last_read = Instant::now();
        let result = daemon.platform.watch(ROOT_KEY, seen, wait);
        if result.is_ok() {
            lock(&daemon.store_access).reachability.record_answer(Instant::now());
            searches = None;
            backoff = INITIAL_BACKOFF;
        }
        match result {
            Ok(Some(object)) => {
                if adopt_from_store(daemon, object.value) {
                    seen = object.version;
                } else {
                    pause_with_backoff(&mut backoff, MAX_WATCH_BACKOFF);
                }
            }
            Ok(None) => (),
            Err(error) => {
                log::debug!("watching {ROOT_KEY}: {error}");
                metrics::counter!("jayreach_platform_errors_total").increment(1);
                lock(&daemon.store_access).reachability.record_failure(Instant::now());
                if is_watching {
                    searches.get_or_insert_default().search_if_due(daemon);
                }
                pause_with_backoff(&mut backoff, MAX_WATCH_BACKOFF);
            }
        }
    }
}

fn jitter() -> f64 {
    rand::rng().random_range(0.7..1.3)
}

fn pause_with_backoff(backoff: &mut Duration, longest: Duration) {
    thread::sleep(backoff.mul_f64(jitter()));
    *backoff = (*backoff * 2).min(longest);
}

/// Whether this daemon is among the first `WATCHERS` of its data centre by rendezvous hash, or a substitute.
fn is_watcher(daemon: &Daemon) -> bool {
    if lock(&daemon.store_access).substitution.is_active(Instant::now()) {
        return true;
    }
    let rank = |it: &str| stable_hash(&[b"watcher", it.as_bytes()]);
    let own = rank(&daemon.settings.name);
    let table = lock(&daemon.table);
    let same_data_centre = table.live_peers().filter(|it| it.data_centre == daemon.settings.data_centre && !it.leaving);
    same_data_centre.filter(|it| rank(&it.name) < own).count() < WATCHERS
}

/// Adopts a configuration read from the store; returns false if it is malformed or incomplete.
pub(crate) fn adopt_from_store(daemon: &Arc<Daemon>, root: Vec<u8>) -> bool {
    let fetch = |parts: &[PartRef]| {
        let object = daemon.platform.get(&part_key(&parts[0].0)).ok().flatten()?;
        Some(vec![object.value])
    };
    daemon.adopt(root, fetch)
}

/// Writes the presence object, by which joining daemons find this one; retries until the write succeeds.
pub(crate) fn write_presence(daemon: &Arc<Daemon>) {
    let key = own_presence_key(daemon);
    let mut backoff = INITIAL_BACKOFF;
    while let Err(error) = daemon.platform.put(&key, b"", WriteCondition::Unconditional) {
        log::debug!("writing the presence object {key}: {error}");
        metrics::counter!("jayreach_platform_errors_total").increment(1);
        pause_with_backoff(&mut backoff, MAX_WRITE_BACKOFF);
    }
}

/// Removes the presence object. If that fails, joining daemons may call an address without a listener.
pub(crate) fn remove_presence(daemon: &Daemon) {
    if let Err(error) = daemon.platform.remove(&own_presence_key(daemon)) {
        log::debug!("removing the presence object: {error}");
    }
}

fn own_presence_key(daemon: &Daemon) -> String {
    let settings = &daemon.settings;
    presence_key(&settings.data_centre, &settings.name, settings.peers)
}

impl Daemon {
    /// Fetches the configuration of a peer that has a newer one, in the background.
    pub(crate) fn fetch_from_peer(self: &Arc<Self>, address: SocketAddr) {
        // If the fetch under way gets an older version, a later exchange starts another one.
        if self.config.is_fetching() {
            return;
        }
        let cx = Arc::clone(self);
        let job = Box::new(move || {
            let send = |call, body| cx.peers.send(address, call, body, 0, Connection::Pooled, CONTROL_TIMEOUT);
            let fetch = |parts: &[PartRef]| {
                let request = encode(&PartsRequest { parts: parts.to_vec() });
                let reply: PartsReply = decode(&send(PeerCall::Parts, request).ok()?).ok()?;
                Some(reply.parts.into_iter().map(ByteBuf::into_vec).collect())
            };
            if let Ok(root) = send(PeerCall::Root, Vec::new()) {
                cx.adopt(root, fetch);
            }
        });
        if self.pools.control.run(job, 0.5).is_err() {
            metrics::counter!("jayreach_config_fetches_lost_total").increment(1);
        }
    }

    /// Activates a configuration if it is newer, and queues its version for gossip; returns false if it is malformed or
    /// incomplete.
    fn adopt(&self, root: Vec<u8>, fetch: impl Fn(&[PartRef]) -> Option<Vec<Vec<u8>>>) -> bool {
        match self.config.adopt(root, fetch) {
            Ok(None) => true,
            Ok(Some(config)) => {
                self.view.update_floors(&config.index);
                self.phase.handle(PhaseEvent::Configured);
                log::info!(version = config.root.version; "configuration active");
                self.queue_gossip(Vec::new());
                true
            }
            Err(error) => {
                log::warn!("configuration not activated: {error}");
                metrics::counter!("jayreach_config_errors_total").increment(1);
                false
            }
        }
    }
}
