//! What the three listeners share: sockets, bodies, answers.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use tiny_http::{Header, Request, Response, Server};

use crate::error::Error;

/// The longest body of a request or an answer, in bytes.
pub(crate) const BODY_LIMIT: usize = 1 << 20;
/// How long a connection may be silent before it is dropped.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a listener is connected to; well below the read timeout.
const KEEP_AWAKE: Duration = Duration::from_secs(3);
/// How long a write may be stuck before the connection is dropped.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a whole body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How many connections may wait to be accepted.
const BACKLOG: i32 = 1024;

/// A listening socket. `tiny_http` has no timeouts, so the socket hands them down to the accepted
/// ones; but its own `accept` obeys the read timeout as well, and a server whose `accept` has
/// failed once takes no new connections. [`Listener::keep_awake`] connects often enough that this
/// does not happen; after a pause of the whole process it does, and [`Listener::serve`] goes on
/// with a second server on the same socket.
pub(crate) struct Listener {
    address: SocketAddr,
    socket: TcpListener,
}

impl Listener {
    /// Listens on `address`.
    pub(crate) fn open(address: SocketAddr) -> Result<Self, Error> {
        let socket = open(address).map_err(|it| Error::io(format!("listening on {address}"), it))?;
        Ok(Self { address, socket: socket.into() })
    }

    /// Passes requests to `accept`, for ever.
    pub(crate) fn serve(self: Arc<Self>, accept: impl Fn(Request) + Clone + Send + 'static) {
        let server = match self.server() {
            Ok(it) => it,
            Err(error) => {
                log::error!("no server on {}: {error}", self.address);
                std::process::abort();
            }
        };
        loop {
            match server.recv() {
                Ok(req) => accept(req),
                Err(error) => {
                    log::warn!("accepting on {} failed and begins anew: {error}", self.address);
                    metrics::counter!("jayreach_listeners_renewed_total").increment(1);
                    // This thread goes on with the connections that the first server has.
                    let (next, accept) = (Arc::clone(&self), accept.clone());
                    thread::spawn(move || next.serve(accept));
                }
            }
        }
    }

    /// Connects now and then, for ever, so that `accept` does not time out for want of callers.
    pub(crate) fn keep_awake(&self) {
        loop {
            if let Err(error) = TcpStream::connect_timeout(&self.address, KEEP_AWAKE) {
                log::debug!("connecting to {}: {error}", self.address);
            }
            thread::sleep(KEEP_AWAKE);
        }
    }

    fn server(&self) -> io::Result<Server> {
        Server::from_listener(self.socket.try_clone()?, None).map_err(io::Error::other)
    }
}

fn open(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_read_timeout(Some(READ_TIMEOUT))?;
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    socket.set_tcp_user_timeout(Some(WRITE_TIMEOUT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(READ_TIMEOUT))?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket)
}

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than `BODY_LIMIT`.
    TooLarge,
    /// It ended early, came too slowly or was malformed.
    Broken,
}

/// Reads the whole body.
pub(crate) fn read_body(req: &mut Request) -> Result<Vec<u8>, BodyError> {
    let length = req.body_length();
    if length.is_some_and(|it| it > BODY_LIMIT) {
        return Err(BodyError::TooLarge);
    }
    let deadline = Instant::now() + BODY_TIMEOUT;
    let mut body = Vec::with_capacity(length.unwrap_or(0));
    let mut buf = [0; 16 * 1024];
    loop {
        let count = req.as_reader().read(&mut buf).map_err(|_| BodyError::Broken)?;
        if count == 0 {
            break;
        }
        body.extend_from_slice(&buf[..count]);
        if body.len() > BODY_LIMIT {
            return Err(BodyError::TooLarge);
        }
        if Instant::now() > deadline {
            return Err(BodyError::Broken);
        }
    }
    match length {
        Some(length) if body.len() != length => Err(BodyError::Broken),
        _ => Ok(body),
    }
}

/// The value of a header.
pub(crate) fn header<'a>(req: &'a Request, name: &'static str) -> Option<&'a str> {
    let found = req.headers().iter().find(|it| it.field.as_str().as_str().eq_ignore_ascii_case(name))?;
    Some(found.value.as_str())
}

/// Answers a request; a caller that is gone is its own matter.
pub(crate) fn respond(req: Request, status: u16, headers: &[(&str, &str)], body: Vec<u8>) {
    let mut resp = Response::from_data(body).with_status_code(status);
    for (name, value) in headers {
        if let Ok(it) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
            resp.add_header(it);
        }
    }
    if let Err(error) = req.respond(resp) {
        log::debug!("an answer did not reach its caller: {error}");
        metrics::counter!("jayreach_answers_lost_total").increment(1);
    }
}

/// Answers with JSON.
pub(crate) fn respond_json<T: serde::Serialize>(req: Request, status: u16, value: &T) {
    let body = serde_json::to_vec(value).expect("answers can be coded");
    respond(req, status, &[("Content-Type", "application/json")], body);
}

/// The path of a request's target, without the query.
pub(crate) fn path(target: &str) -> &str {
    target.split(['?', '#']).next().unwrap_or(target)
}

/// The value of a key in a request's query.
pub(crate) fn query<'a>(target: &'a str, key: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let pairs = query.split('&').filter_map(|it| it.split_once('='));
    pairs.into_iter().find(|(name, _)| *name == key).map(|(_, value)| value)
}
