//! The local listener, for endpoints that announce themselves and for the operator's commands: status, metrics, rollout
//! of a configuration version, drain and tickets.

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

/// The body of a 400 response.
#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

/// The response of `GET /status`.
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
    guard: super::guard::LedgerCounts,
    endpoints: Vec<EndpointRow>,
    services: Vec<ServiceCount>,
}

/// How many daemons have a configuration version active; the response of `GET /in-force`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The number of daemons that were asked, this one included.
    pub daemons: usize,
    /// The number of them with this or a later version active.
    #[serde(rename = "in_force")]
    pub active: usize,
    /// The daemons with an earlier version, or none.
    #[serde(rename = "behind")]
    pub outdated: Vec<Box<str>>,
    /// The daemons that did not respond.
    #[serde(rename = "silent")]
    pub unreachable: Vec<Box<str>>,
}

/// Passes a request to the control thread pool, or refuses it if that is full.
pub(crate) fn accept(daemon: &Arc<Daemon>, req: Request) {
    let cx = Arc::clone(daemon);
    if let Some(req) = daemon.pools.control.handle(req, 1.0, move |req| handle_request(&cx, req)) {
        respond(req, 503, &[("Retry-After", "1")], Vec::new());
    }
}

fn handle_request(daemon: &Arc<Daemon>, req: Request) {
    let target: Box<str> = req.target().into();
    match (req.method().clone(), path(&target)) {
        (Method::POST, "/announce") => announce(daemon, req),
        (Method::GET, "/status") => status(daemon, req),
        (Method::GET, "/metrics") => {
            let text = daemon.metrics.render().into_bytes();
            respond(req, 200, &[("Content-Type", "text/plain; version=0.0.4")], text);
        }
        (Method::GET, "/in-force") => rollout_status(daemon, req, &target),
        (Method::POST, "/drain") => drain(daemon, req),
        (Method::POST, "/tickets") => {
            let ticket = daemon.tickets.issue(1).remove(0);
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
    respond_json(req, 400, &ErrorBody { error });
}

fn status(daemon: &Daemon, req: Request) {
    let (daemons, daemons_down) = {
        let table = lock(&daemon.table);
        (table.live_peers().count() + 1, table.down_rows().count())
    };
    let status = Status {
        name: &daemon.settings.name,
        incarnation: daemon.incarnation,
        data_centre: &daemon.settings.data_centre,
        phase: daemon.phase.get(),
        config_version: daemon.config.version(),
        uptime_s: daemon.started.elapsed().as_secs(),
        in_flight: daemon.open_request_count(),
        daemons,
        daemons_down,
        ticket_records: daemon.tickets.counts().records,
        guard: daemon.guard.count(),
        endpoints: daemon.guard.rows(),
        services: daemon.view.counts(),
    };
    respond_json(req, 200, &status);
}

/// Asks each daemon that isn't leaving which version it has active.
fn rollout_status(daemon: &Daemon, req: Request, target: &str) {
    let Some(version) = super::http_server::query(target, "version").and_then(|it| it.parse().ok()) else {
        return refuse(req, "`version` must be a number".into());
    };
    let peers: Vec<_> = lock(&daemon.table).live_peers().filter(|it| !it.leaving).cloned().collect();
    let mut rollout =
        RolloutStatus { daemons: peers.len() + 1, active: 0, outdated: Vec::new(), unreachable: Vec::new() };
    rollout.add(&daemon.settings.name, Some(daemon.config.version()), version);
    for row in peers {
        let reply = daemon.peers.call(row.peer_address, PeerCall::InForce, &(), Connection::New, CONTROL_TIMEOUT);
        let active_version = reply.ok().map(|it: ActiveVersion| it.version);
        rollout.add(&row.name, active_version, version);
    }
    respond_json(req, 200, &rollout);
}

impl RolloutStatus {
    fn add(&mut self, daemon: &str, active_version: Option<u64>, version: u64) {
        match active_version {
            Some(it) if it >= version => self.active += 1,
            Some(_) => self.outdated.push(daemon.into()),
            None => self.unreachable.push(daemon.into()),
        }
    }
}

/// Shuts the daemon down as SIGTERM does.
fn drain(daemon: &Daemon, req: Request) {
    log::info!(daemon = &*daemon.settings.name; "drain requested");
    respond(req, 202, &[], Vec::new());
    if let Err(error) = signal_hook::low_level::raise(signal_hook::consts::SIGTERM) {
        log::error!("raising SIGTERM: {error}");
    }
}
