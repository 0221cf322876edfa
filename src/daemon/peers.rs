//! Calls to other daemons, and the listener that answers theirs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_bytes::ByteBuf;
use subtle::ConstantTimeEq as _;
use ureq::http;

use crate::{
    daemon::{
        Daemon,
        active_config::Config,
        http_client::{Client, Connection},
        http_server::{Request, path, respond},
    },
    rows::{Compare, Compared, DaemonId, Deliver, Delivered, Push},
    targets::{Importance, PartRef},
    ticket::Silence,
    wire::{
        ActiveVersion, Dispatch, DispatchReply, Forward, Outcome, PEER_KEY_HEADER, Revoke, RevokeReply, TicketQuery,
        TicketStatus, decode, encode,
    },
};

/// Tells the importance of work before its body is read.
const IMPORTANCE_HEADER: &str = "Jayreach-Importance";
/// How long a call that does no work may take.
pub(crate) const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an asked helper waits for the daemon it probes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// How many bytes of parts one answer holds, unless a single part is larger.
const PARTS_LIMIT: usize = 512 * 1024;

/// What a peer can be called for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum PeerCall {
    /// `Dispatch` to `DispatchReply`.
    Dispatch,
    /// `Forward` to `Outcome`.
    Forward,
    /// `Revoke` to `RevokeReply`.
    Revoke,
    /// `TicketQuery` to `TicketStatus`, from the home.
    Ticket,
    /// `TicketQuery` to `TicketStatus`, from a guard's ledger.
    Ledger,
    /// `Compare` to `Compared`.
    Compare,
    /// `Deliver` to `Delivered`.
    Deliver,
    /// `Push` to nothing.
    Push,
    /// `Probe` to `Probed`.
    Probe,
    /// Nothing to the coded root.
    Root,
    /// `WantParts` to `GotParts`.
    Parts,
    /// Nothing to `InForce`.
    InForce,
}

const CALLS: [(PeerCall, &str); 12] = [
    (PeerCall::Dispatch, "/peer/dispatch"),
    (PeerCall::Forward, "/peer/forward"),
    (PeerCall::Revoke, "/peer/revoke"),
    (PeerCall::Ticket, "/peer/ticket"),
    (PeerCall::Ledger, "/peer/ledger"),
    (PeerCall::Compare, "/peer/compare"),
    (PeerCall::Deliver, "/peer/deliver"),
    (PeerCall::Push, "/peer/push"),
    (PeerCall::Probe, "/peer/probe"),
    (PeerCall::Root, "/peer/root"),
    (PeerCall::Parts, "/peer/parts"),
    (PeerCall::InForce, "/peer/in-force"),
];

impl PeerCall {
    fn path(self) -> &'static str {
        let found = CALLS.iter().find(|it| it.0 == self);
        found.expect("every call has a path").1
    }

    fn from_path(path: &str) -> Option<Self> {
        CALLS.iter().find(|it| it.1 == path).map(|it| it.0)
    }

    /// Whether it does callers' work, which must not take the threads that control needs.
    fn works(self) -> bool {
        matches!(self, Self::Dispatch | Self::Forward | Self::Revoke)
    }
}

/// Asks a daemon to see whether another one answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Probe {
    pub(crate) address: SocketAddr,
}

/// Whether the probed daemon answered.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Probed {
    pub(crate) answered: bool,
}

/// Asks for parts of the configuration.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct WantParts {
    pub(crate) parts: Vec<PartRef>,
}

/// The first few of the parts that were asked for, in order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct GotParts {
    pub(crate) parts: Vec<ByteBuf>,
}

/// Calls to other daemons.
pub(crate) struct Peers {
    client: Arc<Client>,
    key: Box<str>,
}

impl Peers {
    pub(crate) fn new(client: Arc<Client>, key: Box<str>) -> Self {
        Self { client, key }
    }

    /// Calls a peer. An answer that cannot be understood counts as lost.
    pub(crate) fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        call: PeerCall,
        message: &Q,
        connection: Connection,
        timeout: Duration,
    ) -> Result<A, Silence> {
        let bytes = self.send(address, call, encode(message), 0, connection, timeout)?;
        decode(&bytes).map_err(|_| Silence::Lost)
    }

    /// Sends a dispatch.
    pub(crate) fn dispatch(
        &self,
        address: SocketAddr,
        dispatch: &Dispatch,
        connection: Connection,
        timeout: Duration,
    ) -> Result<DispatchReply, Silence> {
        let bytes = encode(dispatch);
        let bytes = self.send(address, PeerCall::Dispatch, bytes, dispatch.importance, connection, timeout)?;
        decode(&bytes).map_err(|_| Silence::Lost)
    }

    /// Sends work to its ticket's home.
    pub(crate) fn forward(
        &self,
        address: SocketAddr,
        forward: &Forward,
        timeout: Duration,
    ) -> Result<Outcome, Silence> {
        let bytes = encode(forward);
        let bytes = self.send(address, PeerCall::Forward, bytes, forward.importance, Connection::Fresh, timeout)?;
        decode(&bytes).map_err(|_| Silence::Lost)
    }

    /// Sends a coded message and returns the coded answer.
    pub(crate) fn send(
        &self,
        address: SocketAddr,
        call: PeerCall,
        body: Vec<u8>,
        importance: Importance,
        connection: Connection,
        timeout: Duration,
    ) -> Result<Vec<u8>, Silence> {
        let req = http::Request::builder()
            .method("POST")
            .uri(format!("http://{address}{}", call.path()))
            .header(PEER_KEY_HEADER, &*self.key)
            .header(IMPORTANCE_HEADER, u16::from(importance))
            .body(body)
            .map_err(|_| Silence::Refused)?;
        let reply = self.client.call(req, connection, timeout)?;
        match reply.status {
            200 => Ok(reply.body),
            // The peer refused before it looked into the message.
            403 | 503 => Err(Silence::Refused),
            _ => Err(Silence::Lost),
        }
    }
}

/// Takes a peer's call, if the key fits, and gives it to the pool it belongs to.
pub(crate) fn accept(daemon: &Arc<Daemon>, req: Request) {
    if !key_fits(&req, &daemon.settings.peer_key) {
        metrics::counter!("jayreach_peer_refusals_total").increment(1);
        return respond(req, 403, &[], b"wrong or missing peer key".to_vec());
    }
    let Some(call) = PeerCall::from_path(path(req.target())) else {
        return respond(req, 404, &[], Vec::new());
    };
    let importance = req.header(IMPORTANCE_HEADER).and_then(|it| it.parse().ok()).unwrap_or(0);
    let (pool, share) =
        if call.works() { (&daemon.pools.work, daemon.share(importance)) } else { (&daemon.pools.control, 1.0) };
    let cx = Arc::clone(daemon);
    if let Some(req) = pool.answer(req, share, move |req| answer(&cx, call, req)) {
        respond(req, 503, &[], Vec::new());
    }
}

fn key_fits(req: &Request, key: &str) -> bool {
    let given = req.header(PEER_KEY_HEADER).unwrap_or("");
    given.as_bytes().ct_eq(key.as_bytes()).into()
}

fn answer(daemon: &Arc<Daemon>, call: PeerCall, req: Request) {
    let answer = req.body().ok().and_then(|body| handle(daemon, call, body));
    match answer {
        Some(bytes) => respond(req, 200, &[], bytes),
        None => respond(req, 400, &[], Vec::new()),
    }
}

/// The coded answer to a coded message; `None` if the message makes no sense.
fn handle(daemon: &Arc<Daemon>, call: PeerCall, body: &[u8]) -> Option<Vec<u8>> {
    match call {
        PeerCall::Dispatch => {
            let it: Dispatch = decode(body).ok()?;
            Some(encode(&daemon.execute(&it)))
        }
        PeerCall::Forward => {
            let it: Forward = decode(body).ok()?;
            Some(encode::<Outcome>(&daemon.run_at_home(&it)))
        }
        PeerCall::Revoke => {
            let it: Revoke = decode(body).ok()?;
            Some(encode::<RevokeReply>(&daemon.guard.revoke(&it)))
        }
        PeerCall::Ticket => {
            let it: TicketQuery = decode(body).ok()?;
            Some(encode::<TicketStatus>(&daemon.home.status(&it.ticket)))
        }
        PeerCall::Ledger => {
            let it: TicketQuery = decode(body).ok()?;
            Some(encode::<TicketStatus>(&daemon.guard.status(&it.ticket)))
        }
        PeerCall::Compare => {
            let it: Compare = decode(body).ok()?;
            Some(encode::<Compared>(&daemon.compared(&it)))
        }
        PeerCall::Deliver => {
            let it: Deliver = decode(body).ok()?;
            Some(encode::<Delivered>(&daemon.delivered(it)))
        }
        PeerCall::Push => {
            let it: Push = decode(body).ok()?;
            daemon.pushed(it);
            Some(Vec::new())
        }
        PeerCall::Probe => {
            let it: Probe = decode(body).ok()?;
            Some(encode(&Probed { answered: daemon.answers(it.address, PROBE_TIMEOUT) }))
        }
        PeerCall::Root => Some(daemon.config.get()?.root_bytes.clone()),
        PeerCall::Parts => {
            let it: WantParts = decode(body).ok()?;
            Some(encode(&got_parts(&*daemon.config.get()?, &it)))
        }
        PeerCall::InForce => Some(encode(&ActiveVersion { version: daemon.config.version() })),
    }
}

/// As many of the wanted parts as fit into one answer, but one at least.
fn got_parts(config: &Config, want: &WantParts) -> GotParts {
    let mut got = GotParts { parts: Vec::new() };
    let mut size = 0;
    for it in &want.parts {
        let Some(part) = config.part(&it.0) else { break };
        size += part.len();
        if size > PARTS_LIMIT && !got.parts.is_empty() {
            break;
        }
        got.parts.push(ByteBuf::from(part.to_vec()));
    }
    got
}

/// A daemon's address in the table.
pub(crate) fn address_of(daemon: &Daemon, id: &DaemonId) -> Option<SocketAddr> {
    let table = crate::util::lock(&daemon.table);
    table.get(id).map(|it| it.peers)
}
