//! What a daemon asks of the platform: the configuration, and its own presence.
//!
//! Only the first few daemons of a data centre, by a hash that all agree on, wait for changes at
//! the store; the others hear of them from peers. Two more or fewer do no harm.

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
    },
    store::{Expect, ObjectVersion, ROOT_KEY, part_key, presence_key},
    targets::PartRef,
    util::{lock, stable_hash},
    wire::{decode, encode},
};

/// How many daemons of a data centre wait at the store.
const WATCHERS: usize = 2;
/// How long one wait lasts. A connection may go silent for good without a word, and a change must be in force within six
/// seconds: with waits of 30 s it was not after 30 s (two daemons behind a relay).
const WATCH: Duration = Duration::from_secs(3);
/// How often a daemon looks whether it has become a watcher.
const LOOK: Duration = Duration::from_secs(1);
/// How often a daemon that does not wait reads the root all the same.
const BACKSTOP: Duration = Duration::from_secs(300);
/// How long a daemon without a configuration waits for a peer that has one before it reads the
/// store itself: the watchers' parts reach the fleet sooner than all daemons could read them.
const PATIENCE: Duration = Duration::from_secs(20);
/// The first and the longest pause after the store failed.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(10));

/// Keeps the configuration up to date, for ever.
pub(crate) fn run(daemon: &Arc<Daemon>) {
    let mut seen: ObjectVersion = 0;
    let mut backoff = BACKOFF.0;
    let mut read_at = Instant::now();
    loop {
        let watches = is_watcher(daemon);
        let patience = if daemon.config.version() == 0 { PATIENCE } else { BACKSTOP };
        let due = read_at.elapsed() >= patience.mul_f64(jitter());
        if !due && !watches {
            thread::sleep(LOOK);
            continue;
        }
        // All take up their waits at the same moment after a change; the jitter spreads them out.
        let wait = if watches { WATCH.mul_f64(jitter()) } else { Duration::ZERO };
        read_at = Instant::now();
        match daemon.platform.watch(ROOT_KEY, seen, wait) {
            Ok(Some(object)) => {
                backoff = BACKOFF.0;
                if adopt_from_store(daemon, object.value) {
                    seen = object.version;
                } else {
                    pause(&mut backoff);
                }
            }
            Ok(None) => backoff = BACKOFF.0,
            Err(error) => {
                log::debug!("watching the configuration: {error}");
                metrics::counter!("jayreach_platform_errors_total").increment(1);
                pause(&mut backoff);
            }
        }
    }
}

fn jitter() -> f64 {
    rand::rng().random_range(0.7..1.3)
}

fn pause(backoff: &mut Duration) {
    thread::sleep(backoff.mul_f64(jitter()));
    *backoff = (*backoff * 2).min(BACKOFF.1);
}

/// Whether this daemon is among the first of its data centre by the rendezvous hash.
fn is_watcher(daemon: &Daemon) -> bool {
    let rank = |it: &str| stable_hash(&[b"watcher", it.as_bytes()]);
    let own = rank(&daemon.settings.name);
    let table = lock(&daemon.table);
    let near = table.live().filter(|it| it.data_centre == daemon.settings.data_centre && !it.leaving);
    near.filter(|it| rank(&it.daemon) < own).count() < WATCHERS
}

fn adopt_from_store(daemon: &Arc<Daemon>, root: Vec<u8>) -> bool {
    let fetch = |parts: &[PartRef]| {
        let object = daemon.platform.get(&part_key(&parts[0].0)).ok().flatten()?;
        Some(vec![object.value])
    };
    daemon.adopt(root, fetch)
}

/// Writes the presence object, by which others find this daemon when they join.
pub(crate) fn write_presence(daemon: &Arc<Daemon>) {
    let key = own_key(daemon);
    let mut backoff = BACKOFF.0;
    while let Err(error) = daemon.platform.put(&key, b"", Expect::Anything) {
        log::debug!("writing the presence object: {error}");
        metrics::counter!("jayreach_platform_errors_total").increment(1);
        pause(&mut backoff);
    }
}

/// Removes the presence object; if that fails, joiners try the address in vain.
pub(crate) fn remove_presence(daemon: &Daemon) {
    if let Err(error) = daemon.platform.remove(&own_key(daemon)) {
        log::debug!("removing the presence object: {error}");
    }
}

fn own_key(daemon: &Daemon) -> String {
    let settings = &daemon.settings;
    presence_key(&settings.data_centre, &settings.name, settings.peers)
}

impl Daemon {
    /// Gets a newer configuration from the peer that has it.
    pub(crate) fn fetch_from_peer(self: &Arc<Self>, address: SocketAddr) {
        // If that one is older, the next exchange brings this one up again.
        if self.config.is_fetching() {
            return;
        }
        let cx = Arc::clone(self);
        let job = Box::new(move || {
            let send = |call, body| cx.peers.send(address, call, body, 0, Connection::Pooled, CONTROL_TIMEOUT);
            let fetch = |parts: &[PartRef]| {
                let want = encode(&PartsRequest { parts: parts.to_vec() });
                let got: PartsReply = decode(&send(PeerCall::Parts, want).ok()?).ok()?;
                Some(got.parts.into_iter().map(ByteBuf::into_vec).collect())
            };
            if let Ok(root) = send(PeerCall::Root, Vec::new()) {
                cx.adopt(root, fetch);
            }
        });
        if self.pools.control.run(job, 0.5).is_err() {
            metrics::counter!("jayreach_config_fetches_lost_total").increment(1);
        }
    }

    /// Puts a configuration in force if it is newer, and tells the fleet. False if parts are missing.
    fn adopt(&self, root: Vec<u8>, fetch: impl Fn(&[PartRef]) -> Option<Vec<Vec<u8>>>) -> bool {
        match self.config.adopt(root, fetch) {
            Ok(None) => true,
            Ok(Some(config)) => {
                self.view.update_floors(&config.directory);
                self.phase.handle(PhaseEvent::Configured);
                log::info!(version = config.root.version; "configuration in force");
                self.queue_gossip(Vec::new());
                true
            }
            Err(error) => {
                log::warn!("a configuration was not taken in: {error}");
                metrics::counter!("jayreach_config_errors_total").increment(1);
                false
            }
        }
    }
}
