//! What other proxies ask of this one.

use std::{rc::Rc, sync::Arc};

use hyper::{
    Request, StatusCode,
    body::{Bytes, Incoming},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    platform::ParsedConfig,
    proxy::{
        Proxy, client,
        message::{
            GuardReport, RelayedQuery, ReserveRequest, ReserveResponse, RunEnd, RunQuery, RunRequest, RunResponse,
            UnknownReason, path,
        },
        peer_link::{Link, LinkError},
        routes::Version,
        server::{FullResponse, response},
    },
};

/// The longest call, in bytes: a request with its body, and what is around it.
const CALL_LIMIT: usize = client::MAX_RESPONSE_BYTES + (1 << 20);

/// Answers one call of a peer.
pub(super) async fn handle(proxy: Rc<Proxy>, req: Request<Incoming>) -> FullResponse {
    let (head, body) = req.into_parts();
    let body = match client::collect_body(body, CALL_LIMIT).await {
        Ok(it) => it,
        Err(error) => {
            log::debug!("a peer's call broke off: {error}");
            return response(StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    match head.uri.path() {
        path::RESERVE => reply(&body, |it| proxy.reserve(it)).await,
        path::RUN => reply(&body, |it| proxy.run_here(it)).await,
        path::ASK => reply(&body, async |it: RunQuery| proxy.guard.query_run_end(&it.grant).await).await,
        path::RELAY => reply(&body, |it| proxy.relay(it)).await,
        path::HELLO => reply(&body, async |it| proxy.answer_hello(it)).await,
        path::BRIEF => reply(&body, async |it| proxy.apply_status_update(&it)).await,
        path::CONFIG => reply(&body, async |it| proxy.newer_config(it)).await,
        path::SUMMARY => reply(&body, async |it| proxy.answer_summary(it)).await,
        path::COMPARE => reply(&body, async |it| proxy.answer_compare(&it)).await,
        path::WATCH => reply(&body, async |()| proxy.start_substituting()).await,
        path::CASES => reply(&body, async |it| proxy.exchange_cases(&it)).await,
        path::DELIVER => reply(&body, async |it| proxy.answer_deliver(it)).await,
        _ => response(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

async fn reply<Req, Resp>(body: &[u8], handle: impl AsyncFnOnce(Req) -> Resp) -> FullResponse
where
    Req: DeserializeOwned,
    Resp: Serialize,
{
    match rmp_serde::from_slice(body) {
        Ok(req) => {
            let resp = handle(req).await;
            response(StatusCode::OK, rmp_serde::to_vec(&resp).expect("messages can be coded"))
        }
        Err(error) => {
            log::warn!("a peer's call can't be understood: {error}");
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
        }
    }

    async fn reserve(self: &Rc<Self>, req: ReserveRequest) -> ReserveResponse {
        if req.version > self.version()
            && let Some(it) = self.link(&req.ingress)
        {
            // Its answer tells the version, and the configuration is fetched.
            it.request_hello();
        }
        let result = self.guard.reserve(&req, self.reservation_context(&req)).await;
        let case = self.guard.case(req.fingerprint);
        ReserveResponse {
            report: self.guard_report(),
            result,
            is_caller_route: self.guard.callers_use_route(&req.route),
            case,
        }
    }

    async fn run_here(self: &Rc<Self>, run: RunRequest) -> RunResponse {
        let fingerprint = run.fingerprint;
        let end = self.guard.run(run).await;
        RunResponse { report: self.guard_report(), end, case: self.guard.case(fingerprint) }
    }

    async fn relay(self: &Rc<Self>, relay: RelayedQuery) -> RunEnd {
        match self.ask_at(&relay).await {
            Ok(it) => it,
            Err(error) => {
                log::debug!("relaying to {}: {error}", relay.to);
                RunEnd::Unknown(UnknownReason::TimedOut)
            }
        }
    }

    /// Asks a guard, on the link to it or on a connection of its own.
    async fn ask_at(&self, relay: &RelayedQuery) -> Result<RunEnd, LinkError> {
        let link = self.links.borrow().iter().find(|it| it.1.address == relay.to).map(|it| Rc::clone(&it.1));
        if let Some(it) = link {
            return it.call(path::ASK, &relay.ask).await;
        }
        let row = self.directory.borrow().members().find(|it| it.1.peer_address == relay.to).map(|it| Arc::clone(it.1));
        let Some(row) = row else { return Err(LinkError::NotConnected) };
        let (link, _connected) = Link::open(&row).await?;
        link.call(path::ASK, &relay.ask).await
    }

    /// The configuration in force if it is newer than `known`, with what of it wasn't understood.
    fn newer_config(&self, known: Version) -> Option<ParsedConfig> {
        let config = self.config.borrow();
        let newer = config.as_deref().filter(|it| it.version > known)?;
        Some(ParsedConfig { config: newer.clone(), findings: self.config_findings.borrow().clone() })
    }
}
