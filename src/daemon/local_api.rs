//! The local listener: endpoints announce themselves, operators look and steer.

use std::{sync::Arc, time::Instant};

use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::{
    daemon::{
        Announcement, Daemon,
        endpoint_view::ServiceCount,
        http_client::Connection,
        http_server::{Request, path, respond, respond_json},
        peers::{CONTROL_TIMEOUT, PeerCall},
    },
    rows::EndpointRow,
    util::lock,
    wire::ActiveVersion,
};

/// A body that is not what the path wants.
#[derive(Serialize)]
struct Refused {
    error: String,
}

/// A daemon's status, for operators.
#[derive(Serialize)]
struct Status<'a> {
    name: &'a str,
    incarnation: u64,
    data_centre: &'a str,
    phase: super::phase::Phase,
    config_version: u64,
    uptime_s: u64,
    in_flight: usize,
    daemons: usize,
    daemons_down: usize,
    ticket_records: usize,
    guard: super::guard::GuardCount,
    endpoints: Vec<EndpointRow>,
    services: Vec<ServiceCount>,
}

/// Where a version is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// How many daemons were asked.
    pub daemons: usize,
    /// How many have the version, or a later one, in force.
    #[serde(rename = "in_force")]
    pub active: usize,
    /// The daemons that have an earlier one.
    #[serde(rename = "behind")]
    pub outdated: Vec<Box<str>>,
    /// The daemons that did not answer.
    #[serde(rename = "silent")]
    pub unreachable: Vec<Box<str>>,
}

/// Takes a request of an endpoint or an operator.
pub(crate) fn accept(daemon: &Arc<Daemon>, req: Request) {
    let cx = Arc::clone(daemon);
    if let Some(req) = daemon.pools.control.answer(req, 1.0, move |req| answer(&cx, req)) {
        respond(req, 503, &[("Retry-After", "1")], Vec::new());
    }
}

fn answer(daemon: &Arc<Daemon>, req: Request) {
    let target: Box<str> = req.target().into();
    match (req.method().clone(), path(&target)) {
        (Method::POST, "/announce") => announce(daemon, req),
        (Method::GET, "/status") => status(daemon, req),
        (Method::GET, "/metrics") => {
            let text = daemon.metrics.render().into_bytes();
            respond(req, 200, &[("Content-Type", "text/plain; version=0.0.4")], text);
        }
        (Method::GET, "/in-force") => in_force(daemon, req, &target),
        (Method::POST, "/drain") => drain(daemon, req),
        (Method::POST, "/tickets") => {
            let ticket = daemon.home.issue(1).remove(0);
            respond(req, 200, &[], ticket.to_string().into_bytes());
        }
        _ => respond(req, 404, &[], Vec::new()),
    }
}

fn announce(daemon: &Arc<Daemon>, req: Request) {
    let parsed = req.body().ok().map(serde_json::from_slice::<Announcement>);
    match parsed {
        Some(Ok(it)) if it.slots == 0 => refuse(req, "`slots` must be 1 or more".into()),
        Some(Ok(it)) => {
            if daemon.guard.announce(&it, Instant::now()) {
                daemon.refresh_row();
            }
            respond(req, 200, &[], Vec::new());
        }
        Some(Err(error)) => refuse(req, error.to_string()),
        None => refuse(req, "the body is too large or was cut short".into()),
    }
}

fn refuse(req: Request, error: String) {
    respond_json(req, 400, &Refused { error });
}

fn status(daemon: &Daemon, req: Request) {
    let (daemons, daemons_down) = {
        let table = lock(&daemon.table);
        (table.live().count() + 1, table.down().count())
    };
    let status = Status {
        name: &daemon.settings.name,
        incarnation: daemon.incarnation,
        data_centre: &daemon.settings.data_centre,
        phase: daemon.phase.get(),
        config_version: daemon.config.version(),
        uptime_s: daemon.started.elapsed().as_secs(),
        in_flight: daemon.in_flight(),
        daemons,
        daemons_down,
        ticket_records: daemon.home.tally().records,
        guard: daemon.guard.count(),
        endpoints: daemon.guard.rows(),
        services: daemon.view.counts(),
    };
    respond_json(req, 200, &status);
}

/// Asks every daemon which version it has in force.
fn in_force(daemon: &Daemon, req: Request, target: &str) {
    let Some(version) = super::http_server::query(target, "version").and_then(|it| it.parse().ok()) else {
        return refuse(req, "`version` must be a number".into());
    };
    let peers: Vec<_> = lock(&daemon.table).live().filter(|it| !it.leaving).cloned().collect();
    let mut count =
        RolloutStatus { daemons: peers.len() + 1, active: 0, outdated: Vec::new(), unreachable: Vec::new() };
    count.add(&daemon.settings.name, Some(daemon.config.version()), version);
    for row in peers {
        let answer = daemon.peers.call(row.peers, PeerCall::InForce, &(), Connection::Fresh, CONTROL_TIMEOUT);
        let has = answer.ok().map(|it: ActiveVersion| it.version);
        count.add(&row.daemon, has, version);
    }
    respond_json(req, 200, &count);
}

impl RolloutStatus {
    fn add(&mut self, daemon: &str, has: Option<u64>, version: u64) {
        match has {
            Some(it) if it >= version => self.active += 1,
            Some(_) => self.outdated.push(daemon.into()),
            None => self.unreachable.push(daemon.into()),
        }
    }
}

/// Stops the daemon as SIGTERM does.
fn drain(daemon: &Daemon, req: Request) {
    log::info!(daemon = &*daemon.settings.name; "told to drain");
    respond(req, 202, &[], Vec::new());
    if let Err(error) = signal_hook::low_level::raise(signal_hook::consts::SIGTERM) {
        log::error!("the stop signal could not be raised: {error}");
    }
}
