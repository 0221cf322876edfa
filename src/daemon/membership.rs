//! Membership of the fleet. A daemon exchanges tables with a random peer every second: this is the anti-entropy
//! exchange, the probe of the peer, and for a new daemon the way to join.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt as _, seq::IteratorRandom as _};

use crate::{
    daemon::{
        Daemon,
        http_client::Connection,
        peers::{CONTROL_TIMEOUT, PeerCall, Probe, ProbeReply},
    },
    rows::{CompareRequest, CompareResponse, DeliverRequest, DeliverResponse, Row, Stamp},
    store::presence_prefix,
    ticket::ConnectionFailure,
    util::lock,
};

/// The interval of exchanges with random peers.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// One exchange in this many goes to a daemon that is marked down, so that a daemon that is back is found.
const DOWN_ONE_IN: u32 = 10;
/// How many peers are asked to probe a daemon that did not respond.
const INDIRECT_PROBES: usize = 3;
/// How many addresses a joining daemon tries in one round.
const JOIN_ATTEMPTS: usize = 3;
/// The longest pause between two attempts to join.
const MAX_JOIN_PAUSE: Duration = Duration::from_secs(16);

/// The daemon for the next exchange.
enum Partner {
    /// A daemon from the table.
    Member { daemon: Box<str>, address: SocketAddr, stamp: Stamp },
    /// The table has no other daemon.
    None,
}

/// Exchanges tables with a random peer at each interval until the process ends.
pub(crate) fn run(daemon: &Arc<Daemon>) {
    let mut join_pause = EXCHANGE_INTERVAL;
    loop {
        match choose_partner(daemon) {
            Partner::Member { daemon: id, address, stamp } => {
                join_pause = EXCHANGE_INTERVAL;
                exchange_or_mark_down(daemon, &id, address, stamp);
            }
            Partner::None => {
                try_to_join(daemon);
                join_pause = (join_pause * 2).min(MAX_JOIN_PAUSE);
            }
        }
        lock(&daemon.table).remove_expired(Instant::now());
        let no_live_peer = lock(&daemon.table).live_peers().next().is_none();
        let interval = if no_live_peer { join_pause } else { EXCHANGE_INTERVAL };
        thread::sleep(interval.mul_f64(rand::rng().random_range(0.8..1.2)));
    }
}

fn choose_partner(daemon: &Daemon) -> Partner {
    let mut rng = rand::rng();
    let table = lock(&daemon.table);
    let live = table.live_peers().choose(&mut rng);
    let down = table.down_rows().choose(&mut rng).filter(|_| live.is_none() || rng.random_range(0..DOWN_ONE_IN) == 0);
    match down.or(live) {
        Some(it) => Partner::Member { daemon: it.name.clone(), address: it.peer_address, stamp: it.stamp },
        None => Partner::None,
    }
}

fn exchange_or_mark_down(daemon: &Arc<Daemon>, id: &str, address: SocketAddr, stamp: Stamp) {
    if exchange(daemon, address).is_ok() || stamp.down {
        return;
    }
    metrics::counter!("jayreach_probes_failed_total").increment(1);
    if is_reachable_by_others(daemon, address) {
        return;
    }
    let mut table = lock(&daemon.table);
    if !table.mark_down(id, stamp, Instant::now()) {
        return;
    }
    let row = table.get(id).map(|it| Row::clone(it));
    let changed_rows: Vec<_> = row.into_iter().collect();
    daemon.apply_rows(&changed_rows);
    drop(table);
    log::info!(daemon = id; "daemon marked down");
    daemon.queue_gossip(changed_rows);
}

/// Whether a few peers reach the address. If one does, only the path from this daemon is broken.
fn is_reachable_by_others(daemon: &Daemon, address: SocketAddr) -> bool {
    let helpers: Vec<_> = {
        let table = lock(&daemon.table);
        table
            .live_peers()
            .map(|it| it.peer_address)
            .filter(|it| *it != address)
            .sample(&mut rand::rng(), INDIRECT_PROBES)
    };
    helpers.iter().any(|helper| {
        let probe = Probe { address };
        let call = daemon.peers.call(*helper, PeerCall::Probe, &probe, Connection::New, CONTROL_TIMEOUT);
        call.is_ok_and(|it: ProbeReply| it.answered)
    })
}

/// Runs an anti-entropy exchange: compares tables with a peer and sends each side the newer rows of the other.
fn exchange(daemon: &Arc<Daemon>, address: SocketAddr) -> Result<(), ConnectionFailure> {
    let compare = CompareRequest::new(&lock(&daemon.table), daemon.config.version());
    let call = |call, message: &DeliverRequest| {
        daemon.peers.call::<_, DeliverResponse>(address, call, message, Connection::New, CONTROL_TIMEOUT)
    };
    let compared: CompareResponse =
        daemon.peers.call(address, PeerCall::Compare, &compare, Connection::New, CONTROL_TIMEOUT)?;
    if compared.version > daemon.config.version() {
        daemon.fetch_from_peer(address);
    }
    let follow_up = compared.follow_up(&lock(&daemon.table));
    if let Some(deliver) = follow_up {
        let delivered = call(PeerCall::Deliver, &deliver)?;
        daemon.merge_rows(delivered.rows);
    }
    Ok(())
}

/// Tries to join the fleet by an exchange with one of the contacts in the settings or the presence objects in the
/// store.
fn try_to_join(daemon: &Arc<Daemon>) {
    let own = daemon.settings.peers;
    let mut contacts = daemon.settings.contacts.clone();
    match daemon.platform.list(presence_prefix()) {
        Ok(keys) => contacts.extend(keys.iter().filter_map(|it| it.rsplit('/').next()?.parse::<SocketAddr>().ok())),
        Err(error) => {
            log::debug!("listing the presence objects in the store: {error}");
            metrics::counter!("jayreach_platform_errors_total").increment(1);
        }
    }
    let others = contacts.into_iter().filter(|it| *it != own);
    let picked = others.sample(&mut rand::rng(), JOIN_ATTEMPTS);
    for address in picked {
        if exchange(daemon, address).is_ok() {
            return;
        }
    }
}

impl Daemon {
    /// Replies to the comparison of a peer.
    pub(crate) fn answer_compare(self: &Arc<Self>, compare: &CompareRequest) -> CompareResponse {
        compare.answer(&lock(&self.table), self.config.version())
    }

    /// Merges the rows that a peer delivered and returns those that the peer needs.
    pub(crate) fn answer_deliver(&self, deliver: DeliverRequest) -> DeliverResponse {
        let mut table = lock(&self.table);
        let (delivered, changed_rows) = deliver.answer(&mut table, Instant::now());
        self.apply_rows(&changed_rows);
        drop(table);
        if !changed_rows.is_empty() {
            self.queue_gossip(changed_rows);
        }
        delivered
    }

    /// Whether a daemon responds at an address.
    pub(crate) fn is_peer_reachable(&self, address: SocketAddr, timeout: Duration) -> bool {
        self.peers.send(address, PeerCall::InForce, Vec::new(), 0, Connection::New, timeout).is_ok()
    }
}
