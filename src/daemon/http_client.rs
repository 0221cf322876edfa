//! HTTP calls to peers and endpoints, on pooled or new connections.
//!
//! A pooled connection may be broken without notice. A call that must not be repeated therefore uses a new connection,
//! or can be resolved by a second call on a new one.

use std::{io, time::Duration};

use ureq::{
    Agent, Body, Timeout,
    http::{Request, Response},
};

use crate::{daemon::http_server::MAX_BODY_BYTES, ticket::ConnectionFailure, wire::Header};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The most idle connections in the pool for one address.
const MAX_IDLE_PER_ADDRESS: usize = 8;
/// The most idle connections in the pool.
const MAX_IDLE: usize = 256;
/// How long an idle connection stays in the pool.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);

/// The connection that a call uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Connection {
    /// One from the pool if there is an idle one.
    Pooled,
    /// A new one, which is closed after the call.
    New,
}

/// A response whose body was read completely.
pub(crate) struct ClientResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Vec<u8>,
}

/// The HTTP client of a daemon.
pub(crate) struct Client {
    pooled: Agent,
    unpooled: Agent,
}

impl Client {
    pub(crate) fn new() -> Self {
        Self { pooled: agent(MAX_IDLE_PER_ADDRESS, MAX_IDLE), unpooled: agent(0, 0) }
    }

    /// Makes a call and reads the response. A response with an incomplete body is an error.
    pub(crate) fn call(
        &self,
        req: Request<Vec<u8>>,
        connection: Connection,
        timeout: Duration,
    ) -> Result<ClientResponse, ConnectionFailure> {
        let agent = match connection {
            Connection::Pooled => &self.pooled,
            Connection::New => &self.unpooled,
        };
        let req = agent.configure_request(req).timeout_global(Some(timeout)).build();
        // The response to HEAD has the Content-Length of a body that isn't sent.
        let has_body = req.method() != ureq::http::Method::HEAD;
        let resp = agent.run(req).map_err(|it| classify_error(&it))?;
        read_response(resp, has_body).map_err(|it| classify_error(&it))
    }
}

fn agent(max_idle_per_address: usize, max_idle: usize) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .user_agent("jayreach")
        .accept("")
        .accept_encoding("")
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections(max_idle)
        .max_idle_connections_per_host(max_idle_per_address)
        .max_idle_age(MAX_IDLE_AGE)
        .build();
    Agent::new_with_config(config)
}

fn read_response(mut resp: Response<Body>, has_body: bool) -> Result<ClientResponse, ureq::Error> {
    let content_length = resp.headers().get("content-length").and_then(|it| it.to_str().ok()?.parse().ok());
    let headers = resp.headers().iter();
    let headers = headers
        .filter_map(|(name, value)| Some(Header { name: name.as_str().into(), value: value.to_str().ok()?.into() }))
        .collect();
    let body = resp.body_mut().with_config().limit(MAX_BODY_BYTES as u64).read_to_vec()?;
    if has_body && content_length.is_some_and(|it: usize| it != body.len()) {
        return Err(ureq::Error::Io(io::ErrorKind::UnexpectedEof.into()));
    }
    Ok(ClientResponse { status: resp.status().as_u16(), headers, body })
}

/// Classifies an error of a call. Only a failure to connect proves that nothing was sent.
fn classify_error(error: &ureq::Error) -> ConnectionFailure {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(Timeout::Connect) => ConnectionFailure::Refused,
        ureq::Error::Io(it) if it.kind() == io::ErrorKind::ConnectionRefused => ConnectionFailure::Refused,
        ureq::Error::Io(it) if it.kind() == io::ErrorKind::AddrNotAvailable => ConnectionFailure::NoLocalPort,
        _ => ConnectionFailure::Lost,
    }
}
