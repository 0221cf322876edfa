//! Callers that send requests one after the other and keep their connection until the proxy closes it.

use std::{
    io::{BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use crate::platform::{caller::CallerRequest, endpoint_rules::AnswerNotice, http, site::HOST};

/// Deadline of each request; longer than the routes' timeout of two seconds.
const DEADLINE: Duration = Duration::from_secs(3);
/// Read timeout; a response isn't expected any more after this.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a failed attempt to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Prefix of the response body when a request is refused because it is quarantined.
const QUARANTINE_PREFIX: &[u8] = b"held back";

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// A response came.
    Response {
        /// Status of the response.
        status: u16,
        /// Whether it is the endpoint's complete response to this request.
        from_endpoint: bool,
        /// Whether the request was refused because it is quarantined.
        quarantined: bool,
    },
    /// The connection ended without a complete response.
    Closed,
    /// No complete response came within the read timeout.
    Silent,
}

/// One request and its outcome.
#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) request_id: String,
    pub(super) idempotent: bool,
    /// Index of the proxy that it was sent to.
    pub(super) proxy: usize,
    pub(super) method_and_target: String,
    pub(super) sent: Instant,
    pub(super) ended: Instant,
    pub(super) outcome: Outcome,
    pub(super) notice: AnswerNotice,
}

/// A caller of one proxy.
pub(super) struct Caller {
    name: String,
    rng: SmallRng,
    address: SocketAddr,
    proxy: usize,
}

impl Caller {
    pub(super) fn new(seed: u64, number: usize, address: SocketAddr, proxy: usize) -> Self {
        let rng = SmallRng::seed_from_u64(seed ^ (number as u64) << 32);
        Self { name: format!("{seed:x}-{number:x}"), rng, address, proxy }
    }

    /// Sends requests, one after the other, until `stop` is set; returns their records.
    pub(super) fn run(mut self, stop: &AtomicBool) -> Vec<Record> {
        let mut records = Vec::new();
        let mut idle_connection: Option<BufReader<TcpStream>> = None;
        for number in 0.. {
            if stop.load(Ordering::Acquire) {
                break;
            }
            thread::sleep(Duration::from_millis(self.rng.random_range(5..60)));
            let mut stream = match idle_connection.take().map_or_else(|| self.connect(), Ok) {
                Ok(it) => it,
                Err(_) => {
                    thread::sleep(RECONNECT_PAUSE);
                    continue;
                }
            };
            let idempotent = self.rng.random_bool(0.5);
            let method_and_target =
                if idempotent { format!("GET /read/{number}") } else { format!("POST /write/{number}") };
            let request_id = format!("{}-{number:x}", self.name);
            let sent = Instant::now();
            let (outcome, notice, reusable) = exchange(&mut stream, &method_and_target, &request_id);
            let (proxy, ended) = (self.proxy, Instant::now());
            records.push(Record { request_id, idempotent, proxy, method_and_target, sent, ended, outcome, notice });
            if reusable {
                idle_connection = Some(stream);
            }
        }
        records
    }

    fn connect(&self) -> std::io::Result<BufReader<TcpStream>> {
        Self::connect_to(self.address)
    }

    /// Opens a connection to a proxy.
    pub(super) fn connect_to(address: SocketAddr) -> std::io::Result<BufReader<TcpStream>> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(BufReader::new(stream))
    }
}

/// Sends a request and reads the response; the flag is true if the connection can be reused.
pub(super) fn exchange(
    stream: &mut BufReader<TcpStream>,
    method_and_target: &str,
    request_id: &str,
) -> (Outcome, AnswerNotice, bool) {
    let body: &[u8] = if method_and_target.starts_with("POST") { request_id.as_bytes() } else { b"" };
    let req = CallerRequest { method_and_target, host: HOST, request_id, deadline: DEADLINE, body };
    if stream.get_mut().write_all(&req.encode()).is_err() {
        return (Outcome::Closed, AnswerNotice::default(), false);
    }
    let without_response = |outcome| (outcome, AnswerNotice::default(), false);
    match http::read_message(stream) {
        Ok(Some(resp)) => {
            let status = resp.status();
            let from_endpoint = resp.header("x-response-seal") == Some(&format!("seal-{request_id}"))
                && resp.header("x-request-id") == Some(request_id)
                && (status != 200 || resp.body.ends_with(format!(" {request_id}").as_bytes()));
            let reusable = resp.header("connection") != Some("close");
            let quarantined = resp.body.starts_with(QUARANTINE_PREFIX);
            (Outcome::Response { status, from_endpoint, quarantined }, AnswerNotice::of(&resp), reusable)
        }
        Ok(None) => without_response(Outcome::Closed),
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => without_response(Outcome::Silent),
        Err(_) => without_response(Outcome::Closed),
    }
}
