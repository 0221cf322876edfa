//! Calls to peers and endpoints, with and without kept connections.
//!
//! A kept connection may have gone silent, so a call that must not be doubled either opens its own
//! or can be asked about on another one.

use std::{io, time::Duration};

use ureq::{
    Agent, Body, Timeout,
    http::{Request, Response},
};

use crate::{daemon::http_server::BODY_LIMIT, ticket::Silence, wire::Header};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How many idle connections are kept for one address.
const IDLE_PER_ADDRESS: usize = 8;
/// How many idle connections are kept in all.
const IDLE_IN_ALL: usize = 256;
/// How long an idle connection is kept.
const IDLE_AGE: Duration = Duration::from_secs(5);

/// Whether a call may use a kept connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Connection {
    /// It may.
    Pooled,
    /// It opens its own.
    New,
}

/// A whole answer.
pub(crate) struct ClientResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Vec<u8>,
}

/// The clients of one daemon.
pub(crate) struct Client {
    kept: Agent,
    fresh: Agent,
}

impl Client {
    pub(crate) fn new() -> Self {
        Self { kept: agent(IDLE_PER_ADDRESS, IDLE_IN_ALL), fresh: agent(0, 0) }
    }

    /// Makes a call; an answer that is not whole is no answer.
    pub(crate) fn call(
        &self,
        req: Request<Vec<u8>>,
        connection: Connection,
        timeout: Duration,
    ) -> Result<ClientResponse, Silence> {
        let agent = match connection {
            Connection::Pooled => &self.kept,
            Connection::New => &self.fresh,
        };
        let req = agent.configure_request(req).timeout_global(Some(timeout)).build();
        // The answer to HEAD states the length of a body that it does not have.
        let has_body = req.method() != ureq::http::Method::HEAD;
        let resp = agent.run(req).map_err(|it| silence(&it))?;
        whole(resp, has_body).map_err(|it| silence(&it))
    }
}

fn agent(idle_per_address: usize, idle_in_all: usize) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .user_agent("jayreach")
        .accept("")
        .accept_encoding("")
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_connections(idle_in_all)
        .max_idle_connections_per_host(idle_per_address)
        .max_idle_age(IDLE_AGE)
        .build();
    Agent::new_with_config(config)
}

fn whole(mut resp: Response<Body>, has_body: bool) -> Result<ClientResponse, ureq::Error> {
    let stated = resp.headers().get("content-length").and_then(|it| it.to_str().ok()?.parse().ok());
    let headers = resp.headers().iter();
    let headers = headers
        .filter_map(|(name, value)| Some(Header { name: name.as_str().into(), value: value.to_str().ok()?.into() }))
        .collect();
    let body = resp.body_mut().with_config().limit(BODY_LIMIT as u64).read_to_vec()?;
    if has_body && stated.is_some_and(|it: usize| it != body.len()) {
        return Err(ureq::Error::Io(io::ErrorKind::UnexpectedEof.into()));
    }
    Ok(ClientResponse { status: resp.status().as_u16(), headers, body })
}

/// Only what fails while connecting proves that nothing was sent.
fn silence(error: &ureq::Error) -> Silence {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(Timeout::Connect) => Silence::Refused,
        ureq::Error::Io(it) if it.kind() == io::ErrorKind::ConnectionRefused => Silence::Refused,
        ureq::Error::Io(it) if it.kind() == io::ErrorKind::AddrNotAvailable => Silence::NoLocalPort,
        _ => Silence::Lost,
    }
}
