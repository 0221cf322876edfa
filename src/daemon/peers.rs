//! Calls to other daemons, and the listener that handles theirs.

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
    rows::{CompareRequest, CompareResponse, DaemonId, DeliverRequest, DeliverResponse, PushRequest},
    targets::{Importance, PartRef},
    ticket::ConnectionFailure,
    wire::{
        ActiveVersion, Dispatch, DispatchReply, Forward, Outcome, PEER_KEY_HEADER, Revoke, RevokeReply, TicketQuery,
        TicketStatus, decode, encode,
    },
};

/// The header with the importance of a call, so that the thread pool can be chosen before the message is decoded.
const IMPORTANCE_HEADER: &str = "Jayreach-Importance";
/// The time limit of a call that runs no caller's request.
pub(crate) const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a daemon that probes another one for a peer waits for its response.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The most bytes of configuration parts in one reply, unless a single part is larger.
const MAX_PARTS_BYTES: usize = 512 * 1024;

/// The calls between daemons, each with its message and its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum PeerCall {
    /// Message `Dispatch`, reply `DispatchReply`.
    Dispatch,
    /// Message `Forward`, reply `Outcome`.
    Forward,
    /// Message `Revoke`, reply `RevokeReply`.
    Revoke,
    /// Message `TicketQuery`, reply `TicketStatus` by the ticket's home.
    Ticket,
    /// Message `TicketQuery`, reply `TicketStatus` by a guard's ledger.
    Ledger,
    /// Message `CompareRequest`, reply `CompareResponse`.
    Compare,
    /// Message `DeliverRequest`, reply `DeliverResponse`.
    Deliver,
    /// Message `PushRequest`, empty reply.
    Push,
    /// Message `Probe`, reply `ProbeReply`.
    Probe,
    /// Empty message; the reply is the encoded root of the configuration.
    Root,
    /// Message `PartsRequest`, reply `PartsReply`.
    Parts,
    /// Empty message, reply `ActiveVersion`.
    InForce,
    /// Empty message; the reply is whether the store answers the daemon.
    ReadStore,
}

const CALL_PATHS: [(PeerCall, &str); 13] = [
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
    (PeerCall::ReadStore, "/peer/read-store"),
];

impl PeerCall {
    fn path(self) -> &'static str {
        let found = CALL_PATHS.iter().find(|it| it.0 == self);
        found.expect("every call has a path").1
    }

    fn from_path(path: &str) -> Option<Self> {
        CALL_PATHS.iter().find(|it| it.1 == path).map(|it| it.0)
    }

    /// Whether it serves a caller's request. Such calls have their own threads, so that they can't delay control calls.
    fn serves_request(self) -> bool {
        matches!(self, Self::Dispatch | Self::Forward | Self::Revoke)
    }
}

/// Asks a daemon to probe another one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Probe {
    pub(crate) address: SocketAddr,
}

/// Whether the probed daemon responded.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct ProbeReply {
    pub(crate) answered: bool,
}

/// Requests parts of the configuration.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PartsRequest {
    pub(crate) parts: Vec<PartRef>,
}

/// The first of the requested parts, in their order; at least one unless the daemon has none.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PartsReply {
    pub(crate) parts: Vec<ByteBuf>,
}

/// The client for calls to other daemons.
pub(crate) struct PeerClient {
    client: Arc<Client>,
    key: Box<str>,
}

impl PeerClient {
    pub(crate) fn new(client: Arc<Client>, key: Box<str>) -> Self {
        Self { client, key }
    }

    /// Calls a peer. A reply that can't be decoded counts as lost.
    pub(crate) fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        call: PeerCall,
        message: &Q,
        connection: Connection,
        timeout: Duration,
    ) -> Result<A, ConnectionFailure> {
        let bytes = self.send(address, call, encode(message), 0, connection, timeout)?;
        decode(&bytes).map_err(|_| ConnectionFailure::Lost)
    }

    /// Sends a dispatch to a guard.
    pub(crate) fn dispatch(
        &self,
        address: SocketAddr,
        dispatch: &Dispatch,
        connection: Connection,
        timeout: Duration,
    ) -> Result<DispatchReply, ConnectionFailure> {
        let bytes = encode(dispatch);
        let bytes = self.send(address, PeerCall::Dispatch, bytes, dispatch.importance, connection, timeout)?;
        decode(&bytes).map_err(|_| ConnectionFailure::Lost)
    }

    /// Sends a ticketed request to its ticket's home.
    pub(crate) fn forward(
        &self,
        address: SocketAddr,
        forward: &Forward,
        timeout: Duration,
    ) -> Result<Outcome, ConnectionFailure> {
        let bytes = encode(forward);
        let bytes = self.send(address, PeerCall::Forward, bytes, forward.importance, Connection::New, timeout)?;
        decode(&bytes).map_err(|_| ConnectionFailure::Lost)
    }

    /// Sends an encoded message and returns the encoded reply.
    pub(crate) fn send(
        &self,
        address: SocketAddr,
        call: PeerCall,
        body: Vec<u8>,
        importance: Importance,
        connection: Connection,
        timeout: Duration,
    ) -> Result<Vec<u8>, ConnectionFailure> {
        let req = http::Request::builder()
            .method("POST")
            .uri(format!("http://{address}{}", call.path()))
            .header(PEER_KEY_HEADER, &*self.key)
            .header(IMPORTANCE_HEADER, u16::from(importance))
            .body(body)
            .map_err(|_| ConnectionFailure::Refused)?;
        let resp = self.client.call(req, connection, timeout)?;
        match resp.status {
            200 => Ok(resp.body),
            // The peer refused before it decoded the message.
            403 | 503 => Err(ConnectionFailure::Refused),
            _ => Err(ConnectionFailure::Lost),
        }
    }
}

/// Checks the peer key of a call and passes the call to its thread pool.
pub(crate) fn accept(daemon: &Arc<Daemon>, req: Request) {
    if !has_peer_key(&req, &daemon.settings.peer_key) {
        metrics::counter!("jayreach_peer_refusals_total").increment(1);
        return respond(req, 403, &[], b"wrong or missing peer key".to_vec());
    }
    let Some(call) = PeerCall::from_path(path(req.target())) else {
        return respond(req, 404, &[], Vec::new());
    };
    let importance = req.header(IMPORTANCE_HEADER).and_then(|it| it.parse().ok()).unwrap_or(0);
    let (pool, share) = if call.serves_request() {
        (&daemon.pools.work, daemon.pool_share(importance))
    } else {
        (&daemon.pools.control, 1.0)
    };
    let cx = Arc::clone(daemon);
    if let Some(req) = pool.handle(req, share, move |req| handle_request(&cx, call, req)) {
        respond(req, 503, &[], Vec::new());
    }
}

fn has_peer_key(req: &Request, key: &str) -> bool {
    let given = req.header(PEER_KEY_HEADER).unwrap_or("");
    given.as_bytes().ct_eq(key.as_bytes()).into()
}

fn handle_request(daemon: &Arc<Daemon>, call: PeerCall, req: Request) {
    let reply = req.body().ok().and_then(|body| handle_call(daemon, call, body));
    match reply {
        Some(bytes) => respond(req, 200, &[], bytes),
        None => respond(req, 400, &[], Vec::new()),
    }
}

/// Handles an encoded message and returns the encoded reply; `None` if the message can't be decoded or nothing can be
/// replied yet.
fn handle_call(daemon: &Arc<Daemon>, call: PeerCall, body: &[u8]) -> Option<Vec<u8>> {
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
            Some(encode::<TicketStatus>(&daemon.tickets.status(&it.ticket)))
        }
        PeerCall::Ledger => {
            let it: TicketQuery = decode(body).ok()?;
            Some(encode::<TicketStatus>(&daemon.guard.status(&it.ticket)))
        }
        PeerCall::Compare => {
            let it: CompareRequest = decode(body).ok()?;
            Some(encode::<CompareResponse>(&daemon.answer_compare(&it)))
        }
        PeerCall::Deliver => {
            let it: DeliverRequest = decode(body).ok()?;
            Some(encode::<DeliverResponse>(&daemon.answer_deliver(it)))
        }
        PeerCall::Push => {
            let it: PushRequest = decode(body).ok()?;
            daemon.handle_push(it);
            Some(Vec::new())
        }
        PeerCall::Probe => {
            let it: Probe = decode(body).ok()?;
            Some(encode(&ProbeReply { answered: daemon.is_peer_reachable(it.address, PROBE_TIMEOUT) }))
        }
        PeerCall::Root => Some(daemon.config.get()?.root_bytes.clone()),
        PeerCall::Parts => {
            let it: PartsRequest = decode(body).ok()?;
            Some(encode(&collect_parts(&*daemon.config.get()?, &it)))
        }
        PeerCall::InForce => Some(encode(&ActiveVersion { version: daemon.config.version() })),
        PeerCall::ReadStore => Some(encode(&daemon.read_store_for_peer())),
    }
}

/// The requested parts in their order up to the first one that is missing or exceeds `MAX_PARTS_BYTES`; a first part is
/// returned whatever its size.
fn collect_parts(config: &Config, request: &PartsRequest) -> PartsReply {
    let mut reply = PartsReply { parts: Vec::new() };
    let mut size = 0;
    for it in &request.parts {
        let Some(part) = config.part(&it.0) else { break };
        size += part.len();
        if size > MAX_PARTS_BYTES && !reply.parts.is_empty() {
            break;
        }
        reply.parts.push(ByteBuf::from(part.to_vec()));
    }
    reply
}

/// The address of a daemon for calls from peers, if the daemon is in the table.
pub(crate) fn peer_address(daemon: &Daemon, id: &DaemonId) -> Option<SocketAddr> {
    let table = crate::util::lock(&daemon.table);
    table.get(id).map(|it| it.peer_address)
}
