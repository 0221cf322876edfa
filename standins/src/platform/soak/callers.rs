//! Callers that use their open connections until the other side is gone.

use std::{
    io::{BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use crate::platform::{caller::CallerRequest, http, site::HOST};

/// How long a caller waits; more than the routes' timeout.
const DEADLINE: Duration = Duration::from_secs(3);
/// A caller's answer is not coming after this.
const SILENCE: Duration = Duration::from_secs(20);
/// The pause after a connection that could not be opened.
const PAUSE: Duration = Duration::from_millis(50);

/// How a refusal begins of a request that ends its endpoints.
const HELD_BACK: &[u8] = b"held back";

/// What a caller learnt of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// An answer.
    Told {
        /// Its status.
        status: u16,
        /// Whether it is the endpoint's whole answer to this request.
        genuine: bool,
        /// Whether it was refused as one that ends its endpoints.
        held_back: bool,
    },
    /// The connection ended without one.
    Closed,
    /// Nothing came.
    Silent,
}

/// One request.
#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) request: String,
    pub(super) idempotent: bool,
    /// The proxy it was sent to, by place.
    pub(super) proxy: usize,
    pub(super) line: String,
    pub(super) sent: Instant,
    pub(super) ended: Instant,
    pub(super) outcome: Outcome,
}

/// One caller of one proxy.
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

    /// Sends requests, one after the other, until it is over.
    pub(super) fn run(mut self, over: &AtomicBool) -> Vec<Record> {
        let mut records = Vec::new();
        let mut open: Option<BufReader<TcpStream>> = None;
        for number in 0.. {
            if over.load(Ordering::Acquire) {
                break;
            }
            thread::sleep(Duration::from_millis(self.rng.random_range(5..60)));
            let mut stream = match open.take().map_or_else(|| self.connect(), Ok) {
                Ok(it) => it,
                Err(_) => {
                    thread::sleep(PAUSE);
                    continue;
                }
            };
            let idempotent = self.rng.random_bool(0.5);
            let line = if idempotent { format!("GET /read/{number}") } else { format!("POST /write/{number}") };
            let request = format!("{}-{number:x}", self.name);
            let sent = Instant::now();
            let (outcome, kept) = exchange(&mut stream, &line, &request);
            let ended = Instant::now();
            records.push(Record { request, idempotent, proxy: self.proxy, line, sent, ended, outcome });
            if kept {
                open = Some(stream);
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
        stream.set_read_timeout(Some(SILENCE))?;
        Ok(BufReader::new(stream))
    }
}

/// Sends a request and reads its answer; says whether the connection may be used again.
pub(super) fn exchange(stream: &mut BufReader<TcpStream>, line: &str, request: &str) -> (Outcome, bool) {
    let body: &[u8] = if line.starts_with("POST") { request.as_bytes() } else { b"" };
    let call = CallerRequest { line, host: HOST, request, deadline: DEADLINE, body };
    if stream.get_mut().write_all(&call.encode()).is_err() {
        return (Outcome::Closed, false);
    }
    match http::read_message(stream) {
        Ok(Some(answer)) => {
            let status = answer.status();
            let genuine = answer.header("x-response-seal") == Some(&format!("seal-{request}"))
                && answer.header("x-request-id") == Some(request)
                && (status != 200 || answer.body.ends_with(format!(" {request}").as_bytes()));
            let kept = answer.header("connection") != Some("close");
            let held_back = answer.body.starts_with(HELD_BACK);
            (Outcome::Told { status, genuine, held_back }, kept)
        }
        Ok(None) => (Outcome::Closed, false),
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => (Outcome::Silent, false),
        Err(_) => (Outcome::Closed, false),
    }
}
