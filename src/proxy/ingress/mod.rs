//! Serves the requests that this proxy receives: finds the route, reserves endpoints, runs attempts and sends one
//! response.

mod answer;
mod attempt;
mod reserve;

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use http_body_util::BodyExt as _;
use hyper::{
    Request, Response, StatusCode,
    body::{Body as _, Incoming},
    header::{AUTHORIZATION, CONNECTION, HOST, HeaderValue},
    http::request::Parts,
};
use rand::RngExt as _;
use tokio::{task::spawn_local, time::timeout};

use crate::{
    decide::{
        fingerprint::Fingerprint, origin::RequestOrigin, service_times::ServiceTimes,
        weighted_round_robin::WeightedRoundRobin,
    },
    platform,
    proxy::{
        Proxy,
        body::{self, OwnWait, ReadError},
        clock,
        directory::ProxyName,
        endpoint::EndpointNotice,
        events::{AnsweredRequest, Event},
        guard::ReservationContext,
        headers,
        message::{AttemptKind, Grant, HttpContent, ReserveRequest},
        peer_link::Link,
        routes::{Config, Idempotency, Route, RouteName, ServiceName},
        server::{FullResponse, response},
    },
};

/// How long a guard's report of an exhausted retry budget counts: a tenth of the usual retry window.
const BUDGET_EXHAUSTED_TTL: Duration = Duration::from_secs(1);
/// How much later than the route's timeout the answer of an endpoint may arrive.
const TIMEOUT_SLACK: Duration = Duration::from_millis(120);
/// The `Retry-After` of a refused request of the highest rank, before jitter: queues drain within this.
const RETRY_AFTER_BASE: Duration = Duration::from_millis(600);
/// The `Retry-After` of a quarantined request without trials left: an operator must look at it.
const RETRY_AFTER_TRIALS_USED_UP: Duration = Duration::from_secs(3_600);
/// The least `Retry-After` of a request for whose body there was no memory.
const RETRY_AFTER_NO_MEMORY: Duration = Duration::from_secs(1);
/// How long the rest of a refused request's body is read and dropped, so that its sender gets to read the response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(10);
/// The relative jitter of `Retry-After`, so that refused callers don't retry at the same time.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// The state that the ingress keeps between requests.
#[derive(Default)]
pub(super) struct IngressState {
    /// Chooses among the services of a route; sorted by route.
    balancers: Vec<(RouteName, WeightedRoundRobin)>,
    /// Services whose guards reported an exhausted retry budget, and until when that counts; sorted by service.
    exhausted_budgets: Vec<(ServiceName, Instant)>,
    /// Service times as reported with the answers of endpoints.
    service_times: ServiceTimes,
}

impl IngressState {
    /// Removes the data of all routes for which `keep` is false.
    pub(super) fn retain_routes(&mut self, keep: impl Fn(&str) -> bool) {
        self.balancers.retain(|it| keep(&it.0));
        self.service_times.retain(keep);
    }
}

/// A request that the ingress is serving.
struct IngressRequest {
    id: Box<str>,
    fingerprint: Fingerprint,
    /// Whether the next attempt is a trial of a quarantined request.
    is_quarantine_trial: Cell<bool>,
    config: Rc<Config>,
    /// The index in the configuration's routes.
    route_index: usize,
    service: ServiceName,
    origin: RequestOrigin,
    /// The rank of the route, or of the run that made this nested call; 0 goes first.
    rank: u32,
    method: Box<str>,
    target: Box<str>,
    content: HttpContent,
    arrived: Instant,
    /// When its last byte arrived.
    complete_at: Instant,
    /// The deadline sent to endpoints: the caller's deadline or the route's timeout, whichever is earlier.
    work_deadline: Instant,
    /// The response is sent by then.
    answer_deadline: Instant,
    attempts: Cell<u32>,
    /// The number of reservation requests.
    guards_asked: Cell<u32>,
    /// The number of attempts that are running or whose end is unknown.
    open_attempts: Cell<u32>,
    reservation_wait: Cell<Duration>,
}

impl IngressRequest {
    fn route(&self) -> &Route {
        &self.config.routes()[self.route_index]
    }

    fn is_idempotent(&self) -> bool {
        self.route().idempotency == Idempotency::Idempotent
    }
}

/// The guard of this proxy or of another one.
#[derive(Clone)]
enum GuardRef {
    Local,
    Remote(ProxyName, Rc<Link>),
}

impl GuardRef {
    fn name<'a>(&'a self, proxy: &'a Proxy) -> &'a str {
        match self {
            Self::Local => &proxy.name,
            Self::Remote(name, _) => name,
        }
    }
}

#[derive(Clone)]
struct Reservation {
    guard: GuardRef,
    grant: Grant,
}

/// Why no endpoint could be reserved for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReserveFailure {
    /// No known endpoint serves the service.
    NoEndpoint,
    /// No slot became free in time.
    NoCapacity,
    /// The request is quarantined because it crashes endpoints.
    Quarantined,
    /// The endpoints' rate limits don't let it start in time; a request may start after this long.
    RateLimited(Duration),
}

/// The result of a request, from which its response is made.
enum RequestOutcome {
    /// An endpoint answered; its guard is the one of this proxy or of another one.
    Endpoint { status: u16, content: HttpContent, reservation: Reservation },
    /// The request did not run and never will.
    NotRun(ReserveFailure),
    /// The request may have run.
    Unknown,
    /// The request may have run, and its deadline has passed.
    TimedOut,
}

/// Serves one request and returns its response.
pub(super) async fn handle_request(proxy: Rc<Proxy>, req: Request<Incoming>) -> FullResponse {
    let (head, mut body) = req.into_parts();
    let resp = serve(proxy, head, &mut body).await;
    let is_refused = matches!(resp.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::NOT_FOUND);
    if is_refused && !body.is_end_stream() {
        spawn_local(timeout(DISCARD_TIMEOUT, async move { while let Some(Ok(_)) = body.frame().await {} }));
    }
    resp
}

/// Reads the body of a request as far as needed, and returns the response.
async fn serve(proxy: Rc<Proxy>, head: Parts, body: &mut Incoming) -> FullResponse {
    let arrived = clock::now();
    let id: Box<str> = platform::request_id(&head.headers).unwrap_or("").into();
    let rejected = |status: StatusCode, why: &str| {
        proxy.events.emit(&Event::Rejected { request: &id, status: status.as_u16(), why });
        metrics::counter!("jayreach_rejected_total", "status" => status.as_u16().to_string()).increment(1);
        close_if_stopping(&proxy, response(status, format!("{why}\n")))
    };
    let unavailable = |why: &str, rank: u32, delay: Duration| {
        with_retry_after(rejected(StatusCode::SERVICE_UNAVAILABLE, why), rank, delay)
    };
    let stopping = || unavailable("this proxy stops", 0, Duration::ZERO);
    let Some(config) = proxy.config.borrow().clone() else {
        return unavailable("no configuration yet", 0, Duration::ZERO);
    };
    if proxy.refuses_new_requests() {
        return stopping();
    }
    let host = head.headers.get(HOST).and_then(|it| it.to_str().ok()).or(head.uri.host());
    let Some(host) = host else { return rejected(StatusCode::BAD_REQUEST, "no host") };
    if id.is_empty() {
        return rejected(StatusCode::BAD_REQUEST, "no request id");
    }
    let Some(route) = config.route(host, head.uri.path()) else {
        return rejected(StatusCode::NOT_FOUND, "no route");
    };
    if !route.is_valid() {
        return unavailable("the route's terms aren't understood", route.rank, Duration::ZERO);
    }
    let route_index =
        config.routes().iter().position(|it| std::ptr::eq(it, route)).expect("the route is part of this configuration");
    let caller_timeout = platform::deadline(&head.headers).unwrap_or(route.timeout);
    // Leaves the caller time to come back, and the request time to run.
    let max_wait = caller_timeout.min(route.timeout) / 2;
    let (requests, own_wait) = (&proxy.body_memory.requests, OwnWait::default());
    let reading = body::read(body, config.limits.body_bytes, requests, max_wait, &own_wait);
    let reading = timeout(config.limits.header_timeout.max(route.timeout), reading);
    let read = tokio::select! {
        it = reading => it,
        () = proxy.wait_for_answer_deadline() => return stopping(),
    };
    let body = match read {
        Ok(Ok(it)) => it,
        Ok(Err(ReadError::TooLong)) => return rejected(StatusCode::PAYLOAD_TOO_LARGE, "body too long"),
        Ok(Err(ReadError::NoRoom)) => {
            return unavailable("no memory for the body", route.rank, RETRY_AFTER_NO_MEMORY);
        }
        Ok(Err(ReadError::BrokenOff(_))) => return rejected(StatusCode::BAD_REQUEST, "body broke off"),
        Err(_) => return rejected(StatusCode::REQUEST_TIMEOUT, "body too slow"),
    };
    let caller_deadline = arrived + caller_timeout;
    let mut forwarded_headers = headers::end_to_end(&head.headers);
    platform::set_caller_service(&mut forwarded_headers, &proxy.settings.borrow().service);
    let service = proxy.pick_service(route);
    let credentials = head.headers.get(AUTHORIZATION).map_or(&[][..], HeaderValue::as_bytes);
    let target = head.uri.path_and_query().map_or("/", |it| it.as_str());
    let origin = proxy.guard.classify_origin(&route.name, &service, caller_deadline);
    let req = IngressRequest {
        rank: proxy.rank(&config, route, &origin),
        origin,
        service,
        id: id.clone(),
        fingerprint: Fingerprint::of_segments(head.method.as_str(), host, target, credentials, body.segments()),
        is_quarantine_trial: Cell::new(false),
        method: head.method.as_str().into(),
        target: target.into(),
        content: HttpContent::new(&forwarded_headers, body),
        arrived,
        complete_at: clock::now(),
        work_deadline: caller_deadline.min(arrived + route.timeout),
        answer_deadline: caller_deadline.min(arrived + route.timeout + TIMEOUT_SLACK),
        attempts: Cell::new(0),
        guards_asked: Cell::new(0),
        open_attempts: Cell::new(0),
        reservation_wait: Cell::default(),
        route_index,
        config: Rc::clone(&config),
    };
    let cancel_report = CancelReport { proxy: &proxy, req: &req, answered: Cell::new(false) };
    let request_outcome = tokio::select! {
        it = proxy.serve_request(&req) => it,
        () = proxy.wait_for_answer_deadline() => req.without_grant(ReserveFailure::NoCapacity),
    };
    cancel_report.answered.set(true);
    proxy.respond(&req, request_outcome)
}

/// Reports a cancelled request if it is dropped before the response was made.
struct CancelReport<'a> {
    proxy: &'a Rc<Proxy>,
    req: &'a IngressRequest,
    answered: Cell<bool>,
}

impl Drop for CancelReport<'_> {
    fn drop(&mut self) {
        if self.answered.get() {
            return;
        }
        metrics::counter!("jayreach_cancelled_total").increment(1);
        self.proxy.events.emit(&Event::Cancelled {
            request: &self.req.id,
            route: &self.req.route().name,
            after_ms: clock::now().saturating_duration_since(self.req.arrived).as_millis(),
            attempts: self.req.attempts.get(),
        });
    }
}

impl Proxy {
    /// What the guard needs from the rest of the proxy to decide about a reservation.
    pub(super) fn reservation_context(&self, req: &ReserveRequest) -> ReservationContext {
        let is_exhausted = |service: &str| self.retry_budget_exhausted(service);
        ReservationContext {
            service_guards: self.directory.borrow_mut().guard_count(&req.service),
            callee_budget_exhausted: self.guard.calls_matching_service(&req.route, is_exhausted),
        }
    }

    /// Whether a guard of `service` reported an exhausted retry budget within `BUDGET_EXHAUSTED_TTL`.
    fn retry_budget_exhausted(&self, service: &str) -> bool {
        let now = clock::now();
        self.ingress.borrow().exhausted_budgets.iter().any(|it| *it.0 == *service && now < it.1)
    }

    /// Records whether a guard of `service` reported an exhausted retry budget.
    pub(super) fn note_retry_budget(&self, service: &str, exhausted: bool) {
        if !exhausted {
            return;
        }
        let until = clock::now() + BUDGET_EXHAUSTED_TTL;
        let exhausted_budgets = &mut self.ingress.borrow_mut().exhausted_budgets;
        match exhausted_budgets.binary_search_by(|it| (*it.0).cmp(service)) {
            Ok(at) => exhausted_budgets[at].1 = until,
            Err(at) => exhausted_budgets.insert(at, (service.into(), until)),
        }
    }

    /// The rank of a request. A nested call has that of the most urgent run that may have made it.
    fn rank(&self, config: &Config, route: &Route, origin: &RequestOrigin) -> u32 {
        let RequestOrigin::NestedCall { parents, .. } = origin else { return route.rank };
        let routes = self.guard.routes_of_grants(parents);
        let ranks = config.routes().iter().filter(|it| routes.contains(&it.name)).map(|it| it.rank);
        ranks.min().unwrap_or(route.rank)
    }

    /// Picks the service for the next request of a route, in proportion to the weights.
    fn pick_service(&self, route: &Route) -> ServiceName {
        if let [only] = &route.clusters[..] {
            return only.service.clone();
        }
        let weights: Vec<f64> = route.clusters.iter().map(|it| it.weight).collect();
        let mut state = self.ingress.borrow_mut();
        let at = match state.balancers.binary_search_by(|it| it.0.cmp(&route.name)) {
            Ok(at) => at,
            Err(at) => {
                state
                    .balancers
                    .insert(at, (route.name.clone(), WeightedRoundRobin::new(weights.clone(), &mut rand::rng())));
                at
            }
        };
        let balancer = &mut state.balancers[at].1;
        if balancer.weights() != weights {
            *balancer = WeightedRoundRobin::new(weights, &mut rand::rng());
        }
        route.clusters[balancer.pick()].service.clone()
    }

    /// Makes the response to a request and reports its result in events and metrics.
    fn respond(self: &Rc<Self>, req: &IngressRequest, request_outcome: RequestOutcome) -> FullResponse {
        let (resp, outcome) = match request_outcome {
            RequestOutcome::Endpoint { status, content, reservation } => {
                (self.pass_on(status, content, reservation), "answered")
            }
            RequestOutcome::NotRun(ReserveFailure::NoEndpoint) => (self.refuse(req, "no endpoint\n"), "no-endpoint"),
            RequestOutcome::NotRun(ReserveFailure::NoCapacity) => (self.refuse(req, "no free place in time\n"), "full"),
            RequestOutcome::NotRun(ReserveFailure::Quarantined) => (self.refuse_quarantined(req), "quarantined"),
            RequestOutcome::NotRun(ReserveFailure::RateLimited(delay)) => {
                let resp =
                    response(StatusCode::SERVICE_UNAVAILABLE, "the endpoints' rate limits leave no room in time\n");
                (with_retry_after(resp, req.route().rank, delay), "rate-limited")
            }
            RequestOutcome::Unknown => (response(StatusCode::BAD_GATEWAY, "it may have run\n"), "unknown"),
            RequestOutcome::TimedOut => (response(StatusCode::GATEWAY_TIMEOUT, "out of time\n"), "timeout"),
        };
        let took = clock::now().saturating_duration_since(req.arrived);
        let route = req.route();
        if let RequestOrigin::NestedCall { parents, .. } = &req.origin
            && !resp.status().is_success()
        {
            self.guard.record_failed_call(parents);
        }
        self.events.emit(&Event::Answered(AnsweredRequest {
            request: &req.id,
            route: &route.name,
            version: req.config.version,
            service: &req.service,
            status: resp.status().as_u16(),
            outcome,
            quarantined: self.guard.crash_record(req.fingerprint).is_quarantined().then_some(req.fingerprint),
            call: req.is_nested_call(),
            asked: req.guards_asked.get(),
            attempts: req.attempts.get(),
            took_ms: took.as_millis(),
            waited_ms: req.reservation_wait.get().as_millis(),
        }));
        let labels = [("route", route.name.to_string()), ("outcome", outcome.to_owned())];
        metrics::counter!("jayreach_requests_total", &labels).increment(1);
        metrics::histogram!("jayreach_request_seconds", "route" => route.name.to_string()).record(took.as_secs_f64());
        close_if_stopping(self, resp)
    }

    /// Refuses a quarantined request, with `Retry-After` set to its next trial.
    fn refuse_quarantined(&self, req: &IngressRequest) -> FullResponse {
        let mut resp = response(StatusCode::SERVICE_UNAVAILABLE, "held back: endpoints ended under it\n");
        let (name, value) =
            platform::retry_after(self.guard.time_to_next_trial(req.fingerprint).unwrap_or(RETRY_AFTER_TRIALS_USED_UP));
        resp.headers_mut().insert(name, value);
        resp
    }

    fn refuse(&self, req: &IngressRequest, why: &'static str) -> FullResponse {
        with_retry_after(response(StatusCode::SERVICE_UNAVAILABLE, why), req.route().rank, Duration::ZERO)
    }

    /// Makes the response from an endpoint's answer, and remembers what the answer states about the endpoint.
    fn pass_on(self: &Rc<Self>, status: u16, content: HttpContent, reservation: Reservation) -> FullResponse {
        let headers = content.headers();
        if let GuardRef::Remote(name, _) = &reservation.guard {
            self.record_passed_on(name, &reservation.grant.endpoint, EndpointNotice::new(&headers));
        }
        let mut resp = Response::new(self.answer_body(content, reservation));
        *resp.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        *resp.headers_mut() = headers;
        resp
    }
}

impl IngressRequest {
    /// The result of a request that gets no (further) grant: "not run" only if no attempt may have run.
    fn without_grant(&self, why: ReserveFailure) -> RequestOutcome {
        if self.open_attempts.get() > 0 { RequestOutcome::Unknown } else { RequestOutcome::NotRun(why) }
    }

    fn is_nested_call(&self) -> bool {
        matches!(self.origin, RequestOrigin::NestedCall { .. })
    }

    /// The kind of the next attempt, by which its guard charges the retry budget.
    fn next_attempt_kind(&self) -> AttemptKind {
        match self.attempts.get() {
            0 => AttemptKind::First { retry_share: self.retry_share() },
            _ => AttemptKind::Retry,
        }
    }

    /// The part of the request's first attempt that counts as a retry, 0 to 1.
    fn retry_share(&self) -> f64 {
        match self.origin {
            RequestOrigin::NestedCall { retry_share, .. } => retry_share,
            RequestOrigin::Caller { .. } => 0.0,
        }
    }

    fn time_left(&self) -> Duration {
        self.answer_deadline.saturating_duration_since(clock::now())
    }
}

/// Adds `Retry-After` with jitter, at least `delay`; lower ranks wait longer.
fn with_retry_after(mut resp: FullResponse, rank: u32, delay: Duration) -> FullResponse {
    let jitter = 1.0 + rand::rng().random_range(-RETRY_AFTER_JITTER..RETRY_AFTER_JITTER);
    let pause = delay + RETRY_AFTER_BASE.mul_f64(jitter * f64::from(rank.min(4) + 1));
    let (name, value) = platform::retry_after(pause);
    resp.headers_mut().insert(name, value);
    resp
}

/// Closes the connection after the response if the proxy is shutting down.
fn close_if_stopping(proxy: &Proxy, mut resp: FullResponse) -> FullResponse {
    if proxy.is_stopping() {
        resp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    resp
}
