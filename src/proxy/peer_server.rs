//! Serves the calls of other proxies.

use std::{rc::Rc, sync::Arc};

use http_body_util::BodyExt as _;
use hyper::{
    HeaderMap, Request, StatusCode,
    body::{Bytes, Incoming},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    platform::ParsedConfig,
    proxy::{
        Proxy,
        body::Upload,
        client,
        message::{
            GrantRefusal, GuardReport, RelayedQuery, ReserveRequest, ReserveResponse, RunEnd, RunQuery, RunRequest,
            RunResponse, UnknownReason, path,
        },
        peer_link::{Link, LinkError, MESSAGE_LENGTH},
        routes::Version,
        server::{FullResponse, response},
    },
    rows::member_key,
};

/// The longest call without a separate body, in bytes: proxies of earlier releases send whole requests.
const MAX_CALL_BYTES: usize = client::MAX_RESPONSE_BYTES + (1 << 20);
/// The longest message before a body, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Responds to one call of a peer.
pub(super) async fn handle(proxy: Rc<Proxy>, req: Request<Incoming>) -> FullResponse {
    let (head, mut body) = req.into_parts();
    if let Some(len) = message_length(&head.headers) {
        return match read_message(&mut body, len).await {
            Some((message, first)) if head.uri.path() == path::RUN => {
                decode_and_reply(&message, |it| proxy.run_upload(it, first, body)).await
            }
            Some(_) | None => response(StatusCode::BAD_REQUEST, Bytes::new()),
        };
    }
    let body = match client::collect_body(body, MAX_CALL_BYTES).await {
        Ok(it) => it,
        Err(error) => {
            log::debug!("reading the body of a peer's call: {error}");
            return response(StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    match head.uri.path() {
        path::RESERVE => decode_and_reply(&body, |it| proxy.reserve(it)).await,
        path::RUN => decode_and_reply(&body, |it| proxy.run_request(it, None)).await,
        path::RUN_QUERY => decode_and_reply(&body, async |it: RunQuery| proxy.guard.query_run_end(&it).await).await,
        path::RELAY => decode_and_reply(&body, |it| proxy.relay_query(it)).await,
        path::HELLO => decode_and_reply(&body, async |it| proxy.answer_hello(it)).await,
        path::BRIEF => decode_and_reply(&body, async |it| proxy.apply_status_update(&it)).await,
        path::NEWS => decode_and_reply(&body, async |it| proxy.apply_version_news(&it)).await,
        path::CONFIG => decode_and_reply(&body, async |it| proxy.newer_config(it)).await,
        path::SUMMARY => decode_and_reply(&body, async |it| proxy.answer_summary(it)).await,
        path::COMPARE => decode_and_reply(&body, async |it| proxy.answer_compare(&it)).await,
        path::LEAVING => decode_and_reply(&body, async |it| proxy.note_peer_endpoint_leaving(&it)).await,
        path::WATCH_DUTY => decode_and_reply(&body, async |()| proxy.watch_duty()).await,
        path::WATCH => decode_and_reply(&body, |()| proxy.read_store_for_peer()).await,
        path::CRASH_RECORDS => decode_and_reply(&body, async |it| proxy.exchange_crash_records(&it)).await,
        path::DELIVER => decode_and_reply(&body, async |it| proxy.answer_deliver(it)).await,
        _ => response(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

/// The length of the message if a body follows it.
fn message_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(MESSAGE_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Reads a message of `len` bytes. Returns it with the beginning of the body that follows it; `None` if it is too long
/// or incomplete.
async fn read_message(body: &mut Incoming, len: usize) -> Option<(Vec<u8>, Bytes)> {
    if len > MAX_MESSAGE_BYTES {
        return None;
    }
    let mut message = Vec::with_capacity(len);
    loop {
        let mut data = body.frame().await?.ok()?.into_data().unwrap_or_default();
        message.extend_from_slice(&data.split_to(data.len().min(len - message.len())));
        if message.len() == len {
            return Some((message, data));
        }
    }
}

async fn decode_and_reply<Req, Resp>(body: &[u8], handle: impl AsyncFnOnce(Req) -> Resp) -> FullResponse
where
    Req: DeserializeOwned,
    Resp: Serialize,
{
    match rmp_serde::from_slice(body) {
        Ok(req) => {
            let resp = handle(req).await;
            response(StatusCode::OK, rmp_serde::to_vec(&resp).expect("messages can be encoded"))
        }
        Err(error) => {
            log::warn!("decoding the body of a peer's call: {error}");
            response(StatusCode::BAD_REQUEST, Bytes::new())
        }
    }
}

impl Proxy {
    fn guard_report(&self) -> GuardReport {
        let (running, waiting) = self.guard.load();
        GuardReport {
            update: self.status_update(),
            running,
            waiting,
            retry_budget_exhausted: self.guard.retry_budget_exhausted(),
            start_delay: self.guard.start_delay(),
        }
    }

    async fn reserve(self: &Rc<Self>, req: ReserveRequest) -> ReserveResponse {
        self.fetch_config((req.version, member_key(&req.ingress)));
        let result = self.guard.reserve(&req, self.reservation_context(&req)).await;
        let crash_record = self.guard.crash_record(req.fingerprint);
        let is_rate_limited = result == Err(GrantRefusal::RateLimited);
        ReserveResponse {
            report: self.guard_report(),
            result: if is_rate_limited { Err(GrantRefusal::NotServed) } else { result },
            is_caller_route: self.guard.callers_use_route(&req.route),
            crash_record,
            is_rate_limited,
        }
    }

    async fn run_request(self: &Rc<Self>, run: RunRequest, upload: Option<Upload>) -> RunResponse {
        let (fingerprint, first_part) = (run.fingerprint, run.first_part);
        let end = self.guard.run(run, upload).await.part(0, first_part);
        RunResponse { report: self.guard_report(), end, crash_record: self.guard.crash_record(fingerprint) }
    }

    /// Runs a request whose body follows the message; `first` is its beginning.
    async fn run_upload(self: &Rc<Self>, run: RunRequest, first: Bytes, rest: Incoming) -> RunResponse {
        let upload = Upload::new(first, rest, run.content.left);
        self.run_request(run, Some(upload)).await
    }

    async fn relay_query(self: &Rc<Self>, relayed: RelayedQuery) -> RunEnd {
        match self.forward_query(&relayed).await {
            Ok(it) => it,
            Err(error) => {
                log::debug!("forwarding a run query to {}: {error}", relayed.guard_address);
                RunEnd::Unknown(UnknownReason::TimedOut)
            }
        }
    }

    /// Sends a query to its guard, on the link to it or on a new connection.
    async fn forward_query(&self, relayed: &RelayedQuery) -> Result<RunEnd, LinkError> {
        let link =
            self.links.borrow().iter().find(|it| it.1.address == relayed.guard_address).map(|it| Rc::clone(&it.1));
        if let Some(it) = link {
            return it.call(path::RUN_QUERY, &relayed.query).await;
        }
        let row = self
            .directory
            .borrow()
            .members()
            .find(|it| it.1.peer_address == relayed.guard_address)
            .map(|it| Arc::clone(it.1));
        let Some(row) = row else { return Err(LinkError::NotConnected) };
        let (link, _connection) = Link::open(&row).await?;
        link.call(path::RUN_QUERY, &relayed.query).await
    }

    /// The active configuration with its findings, if it is newer than `known`.
    fn newer_config(&self, known: Version) -> Option<ParsedConfig> {
        let config = self.config.borrow();
        let newer = config.as_deref().filter(|it| it.version > known)?;
        Some(ParsedConfig { config: newer.clone(), findings: self.config_findings.borrow().clone() })
    }
}
