//! Joining, probing and anti-entropy: one exchange a second with a random peer is all three.

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
    rows::{Compare, Compared, Deliver, Delivered, Row, Stamp},
    store::presence_prefix,
    ticket::Silence,
    util::lock,
};

/// How often a daemon compares its table with a peer's.
const PERIOD: Duration = Duration::from_secs(1);
/// One exchange in so many goes to a daemon that is held to be down.
const DOWN_ONE_IN: u32 = 10;
/// How many peers are asked about a daemon that does not answer.
const HELPERS: usize = 3;
/// How many daemons a joiner tries in one round.
const CONTACTS: usize = 3;
/// The longest pause between two listings of the store by a daemon that knows nobody.
const JOIN_PAUSE: Duration = Duration::from_secs(16);

/// A daemon to exchange with.
enum Partner {
    /// It is in the table.
    Known { daemon: Box<str>, address: SocketAddr, stamp: Stamp },
    /// Nobody is.
    Nobody,
}

/// Exchanges with a random peer every second, for ever.
pub(crate) fn run(daemon: &Arc<Daemon>) {
    let mut pause = PERIOD;
    loop {
        match partner(daemon) {
            Partner::Known { daemon: id, address, stamp } => {
                pause = PERIOD;
                meet(daemon, &id, address, stamp);
            }
            Partner::Nobody => {
                join(daemon);
                pause = (pause * 2).min(JOIN_PAUSE);
            }
        }
        lock(&daemon.table).forget(Instant::now());
        let alone = lock(&daemon.table).live().next().is_none();
        let period = if alone { pause } else { PERIOD };
        thread::sleep(period.mul_f64(rand::rng().random_range(0.8..1.2)));
    }
}

fn partner(daemon: &Daemon) -> Partner {
    let mut rng = rand::rng();
    let table = lock(&daemon.table);
    let live = table.live().choose(&mut rng);
    let down = table.down().choose(&mut rng).filter(|_| live.is_none() || rng.random_range(0..DOWN_ONE_IN) == 0);
    match down.or(live) {
        Some(it) => Partner::Known { daemon: it.daemon.clone(), address: it.peers, stamp: it.stamp },
        None => Partner::Nobody,
    }
}

fn meet(daemon: &Arc<Daemon>, id: &str, address: SocketAddr, stamp: Stamp) {
    if exchange(daemon, address).is_ok() || stamp.down {
        return;
    }
    metrics::counter!("jayreach_probes_failed_total").increment(1);
    if helpers_reach(daemon, address) {
        return;
    }
    let mut table = lock(&daemon.table);
    if !table.mark_down(id, stamp, Instant::now()) {
        return;
    }
    let row = table.get(id).map(|it| Row::clone(it));
    let news: Vec<_> = row.into_iter().collect();
    daemon.apply_rows(&news);
    drop(table);
    log::info!(daemon = id; "daemon is down");
    daemon.queue_gossip(news);
}

/// Whether any of a few peers reaches the address; it may be our own path that is cut.
fn helpers_reach(daemon: &Daemon, address: SocketAddr) -> bool {
    let helpers: Vec<_> = {
        let table = lock(&daemon.table);
        table.live().map(|it| it.peers).filter(|it| *it != address).sample(&mut rand::rng(), HELPERS)
    };
    helpers.iter().any(|helper| {
        let probe = Probe { address };
        let call = daemon.peers.call(*helper, PeerCall::Probe, &probe, Connection::New, CONTROL_TIMEOUT);
        call.is_ok_and(|it: ProbeReply| it.answered)
    })
}

/// Compares tables with a peer and evens them out.
fn exchange(daemon: &Arc<Daemon>, address: SocketAddr) -> Result<(), Silence> {
    let compare = Compare::new(&lock(&daemon.table), daemon.config.version());
    let call = |call, message: &Deliver| {
        daemon.peers.call::<_, Delivered>(address, call, message, Connection::New, CONTROL_TIMEOUT)
    };
    let compared: Compared =
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

/// Looks for anyone to exchange with: the settings' contacts, then the store's presence objects.
fn join(daemon: &Arc<Daemon>) {
    let own = daemon.settings.peers;
    let mut contacts = daemon.settings.contacts.clone();
    match daemon.platform.list(presence_prefix()) {
        Ok(keys) => contacts.extend(keys.iter().filter_map(|it| it.rsplit('/').next()?.parse::<SocketAddr>().ok())),
        Err(error) => {
            log::debug!("listing the presence objects: {error}");
            metrics::counter!("jayreach_platform_errors_total").increment(1);
        }
    }
    let others = contacts.into_iter().filter(|it| *it != own);
    let picked = others.sample(&mut rand::rng(), CONTACTS);
    for address in picked {
        if exchange(daemon, address).is_ok() {
            return;
        }
    }
}

impl Daemon {
    /// Answers a peer's comparison.
    pub(crate) fn answer_compare(self: &Arc<Self>, compare: &Compare) -> Compared {
        compare.answer(&lock(&self.table), self.config.version())
    }

    /// Answers a peer's delivery.
    pub(crate) fn answer_deliver(&self, deliver: Deliver) -> Delivered {
        let mut table = lock(&self.table);
        let (delivered, news) = deliver.answer(&mut table, Instant::now());
        self.apply_rows(&news);
        drop(table);
        if !news.is_empty() {
            self.queue_gossip(news);
        }
        delivered
    }

    /// Whether a daemon answers at an address.
    pub(crate) fn is_peer_reachable(&self, address: SocketAddr, timeout: Duration) -> bool {
        self.peers.send(address, PeerCall::InForce, Vec::new(), 0, Connection::New, timeout).is_ok()
    }
}
