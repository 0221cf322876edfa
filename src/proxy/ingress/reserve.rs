//! Reserves an endpoint of a service for a request: ranks the endpoints and requests grants from their guards.
//!
//! Reservations are requested from several guards, since one may be unreachable or have a long queue.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt as _, future::LocalBoxFuture, stream::FuturesUnordered};
use tokio::time::{sleep, sleep_until, timeout};

use super::{GuardRef, IngressRequest, Reservation, ReserveFailure};
use crate::{
    decide::{
        incarnation::EndpointId,
        latest_start::{WorkTiming, latest_start},
        origin::RequestOrigin,
        placement::{CandidateRanking, PlacementCandidate, RateBound, rank_candidates},
        rate_limit::{LimitStatement, RequestRate},
        suspicion::{self, EndpointStanding},
    },
    proxy::{
        Proxy, clock,
        directory::{EndpointRow, ProxyName},
        events::Event,
        guard::ServingEndpoint,
        message::{Grant, GrantRefusal, ReserveRequest, ReserveResponse, path},
        peer_link::{Link, LinkError},
    },
};

/// How long to wait for one guard before a reservation is requested from the next one too: a few round trips between
/// data centres. All reservations stay queued; the first grant is taken.
const NEXT_GUARD_DELAY: Duration = Duration::from_millis(15);
/// The initial number of concurrent reservations. More would shorten the wait little and cost CPU time under load.
const INITIAL_RESERVATIONS: usize = 2;
/// The limit of concurrent reservations grows by one each time this passes: a guard behind a network partition can't be
/// distinguished from one with a long queue.
const EXTRA_RESERVATION_INTERVAL: Duration = Duration::from_millis(120);

/// How long after its start a proxy may still be learning the directory. Until then it waits for endpoints to become
/// known instead of refusing requests.
const STARTUP_PERIOD: Duration = Duration::from_millis(1_500);
/// How long a request waits for links to open: a restarted proxy has them within a few hundred milliseconds, and a
/// refusal should be sent soon.
const MAX_LINK_WAIT: Duration = Duration::from_millis(700);
/// The interval of checks for an open link: a few round trips.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(15);

/// An endpoint that could run a request.
struct ReachableEndpoint {
    guard: GuardRef,
    /// The endpoint as seen by the ranking.
    candidate: PlacementCandidate,
    /// The age of the last load report.
    load_age: Duration,
}

/// The endpoints that could run a request, with their ranking.
struct RankedEndpoints {
    endpoints: Vec<ReachableEndpoint>,
    /// Ranks the indices of `endpoints`.
    ranking: CandidateRanking,
}

/// The terms of a reservation.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReservationTerms {
    /// The latest time at which the request should start; waiting for a grant beyond it is useless.
    start_deadline: Instant,
    /// How often the guards are asked if all refuse.
    max_rounds: u32,
    /// Whether an endpoint that is warming up is of no use.
    needs_warm_endpoint: bool,
}

impl ReservationTerms {
    /// The terms of an attempt while no other one is running.
    fn of_attempt(start_deadline: Instant) -> Self {
        /// The ranking may have been stale if all guards refuse; more rounds seldom help.
        const MAX_ROUNDS: u32 = 3;
        Self { start_deadline, max_rounds: MAX_ROUNDS, needs_warm_endpoint: false }
    }

    /// The terms of a hedge. An endpoint that is warming up may take as long as the run that it hedges.
    pub(super) fn of_hedge(start_deadline: Instant, needs_warm_endpoint: bool) -> Self {
        Self { start_deadline, max_rounds: 1, needs_warm_endpoint }
    }
}

/// Why the guards refused one reservation.
#[derive(Debug, Default)]
struct Refusals {
    /// The shortest time until a request may start at one of the endpoints whose rate limit doesn't let it start in
    /// time.
    start_delay: Option<Duration>,
    /// Whether a guard refused for another reason, which may have passed when it is asked again.
    any_other: bool,
}

impl Refusals {
    fn add(&mut self, reason: GrantRefusal, start_delay: Duration) {
        if reason == GrantRefusal::RateLimited {
            self.start_delay = Some(self.start_delay.map_or(start_delay, |it| it.min(start_delay)));
        } else {
            self.any_other = true;
        }
    }

    fn failure(&self) -> ReserveFailure {
        self.start_delay.map_or(ReserveFailure::NoCapacity, ReserveFailure::RateLimited)
    }
}

impl Proxy {
    /// Waits for a grant for one of the service's endpoints, except those `tried` before.
    pub(super) async fn reserve_endpoint(
        self: &Rc<Self>,
        req: &IngressRequest,
        tried: &[EndpointId],
    ) -> Result<Reservation, ReserveFailure> {
        self.reserve_on_terms(req, tried, ReservationTerms::of_attempt(self.start_deadline(req))).await
    }

    /// Waits for a grant on these terms for one of the service's endpoints, except those `tried` before.
    pub(super) async fn reserve_on_terms(
        self: &Rc<Self>,
        req: &IngressRequest,
        tried: &[EndpointId],
        terms: ReservationTerms,
    ) -> Result<Reservation, ReserveFailure> {
        let start = clock::now();
        let result = self.try_reserve(req, tried, terms).await;
        req.reservation_wait.set(req.reservation_wait.get() + clock::now().saturating_duration_since(start));
        result
    }

    async fn try_reserve(
        self: &Rc<Self>,
        req: &IngressRequest,
        tried: &[EndpointId],
        terms: ReservationTerms,
    ) -> Result<Reservation, ReserveFailure> {
        let ReservationTerms { start_deadline, max_rounds, .. } = terms;
        let start = clock::now();
        let mut failure = ReserveFailure::NoCapacity;
        self.note_service_needed(&req.service);
        for _ in 0..max_rounds {
            let mut ranked = self.rank_endpoints(req, tried);
            let wait_until = start_deadline.min(start + MAX_LINK_WAIT);
            while ranked.endpoints.is_empty() && clock::now() < wait_until && self.may_be_reachable_soon(&req.service) {
                sleep(LINK_CHECK_INTERVAL).await;
                ranked = self.rank_endpoints(req, tried);
            }
            if ranked.endpoints.is_empty() {
                return Err(ReserveFailure::NoEndpoint);
            }
            let left = start_deadline.saturating_duration_since(clock::now());
            match timeout(left, self.reserve_first(req, &ranked, terms, start)).await {
                Ok(Ok(it)) => return Ok(it),
                Ok(Err(_)) if self.is_quarantined(req) => return Err(ReserveFailure::Quarantined),
                Ok(Err(it)) if !it.any_other => return Err(it.failure()),
                Ok(Err(it)) => failure = it.failure(),
                Err(_) => return Err(ReserveFailure::NoCapacity),
            }
        }
        Err(failure)
    }

    /// The latest time at which the request should start; waiting for a grant beyond it is useless.
    pub(super) fn start_deadline(&self, req: &IngressRequest) -> Instant {
        let route = req.route();
        if req.open_attempts.get() > 0 {
            return self.open_run(req, req.arrived).latest_second_start(self.ingress_stop());
        }
        let timing = WorkTiming {
            // A long upload must not use up the time that the request may wait for an endpoint.
            arrived: req.complete_at,
            target_latency: route.target_latency,
            deadline: self.answer_deadline(req),
            is_nested_call: req.is_nested_call(),
        };
        latest_start(timing, self.ingress.borrow().service_times.mean(&route.name))
    }

    /// The time by which this proxy answers the request, earlier than the request's own while it stops.
    pub(super) fn answer_deadline(&self, req: &IngressRequest) -> Instant {
        self.stop.get().map_or(req.answer_deadline, |it| req.answer_deadline.min(it.answer_deadline()))
    }

    /// Ranks the reachable endpoints that could run the request, except those `tried` before.
    fn rank_endpoints(&self, req: &IngressRequest, tried: &[EndpointId]) -> RankedEndpoints {
        let local = self.guard.serving_endpoint().filter(|it| it.service == req.service && !tried.contains(&it.id));
        let mean_time = self.ingress.borrow().service_times.mean(&req.route().name);
        let local = local.map(|it| self.local_endpoint(&it, mean_time));
        let directory = self.directory.borrow();
        let links = self.links.borrow();
        let reports = self.endpoint_reports.borrow();
        let remote = links.iter().filter_map(|(name, link)| {
            let served = &directory.get_by_key(link.key)?.endpoints;
            let endpoint = served.endpoint.as_ref().filter(|it| !tried.contains(&it.id))?;
            if reports.is_leaving(name, &endpoint.id) {
                return None;
            }
            (served.service == req.service).then(|| self.remote_endpoint(name, link, endpoint, mean_time))?
        });
        let endpoints: Vec<ReachableEndpoint> = local.into_iter().chain(remote).collect();
        let candidates: Vec<PlacementCandidate> = endpoints.iter().map(|it| it.candidate).collect();
        let ranking = rank_candidates(&candidates, Self::may_be_trial(req), &mut rand::rng());
        RankedEndpoints { endpoints, ranking }
    }

    /// The endpoint of this VM.
    fn local_endpoint(&self, endpoint: &ServingEndpoint, mean_time: Option<Duration>) -> ReachableEndpoint {
        let (running, waiting) = self.guard.load();
        let candidate = PlacementCandidate {
            same_data_centre: true,
            standing: endpoint.standing,
            path_backing_off: false,
            load: running + waiting,
            slots: endpoint.slots,
            limit: self.limit_at(&GuardRef::Local).map(|(rate, delay)| RateBound::new(rate, delay, mean_time)),
        };
        ReachableEndpoint { guard: GuardRef::Local, candidate, load_age: Duration::ZERO }
    }

    /// The endpoint of another VM, if its proxy is connected: a lost VM stays in the directory for a while.
    fn remote_endpoint(
        &self,
        name: &ProxyName,
        link: &Rc<Link>,
        endpoint: &EndpointRow,
        mean_time: Option<Duration>,
    ) -> Option<ReachableEndpoint> {
        if !link.is_connected() {
            return None;
        }
        let now = clock::now();
        let guard = GuardRef::Remote(name.clone(), Rc::clone(link));
        let candidate = PlacementCandidate {
            same_data_centre: link.same_data_centre,
            standing: link.standing(),
            path_backing_off: link.is_backing_off(now),
            load: link.estimated_load(now),
            slots: endpoint.slots,
            limit: self.limit_at(&guard).map(|(rate, delay)| RateBound::new(rate, delay, mean_time)),
        };
        let load_age = link.load_age(now);
        Some(ReachableEndpoint { guard, candidate, load_age })
    }

    /// The rate limit of a guard's endpoint and the estimated time until a request may start there.
    fn limit_at(&self, guard: &GuardRef) -> Option<(RequestRate, Duration)> {
        let (name, link) = match guard {
            GuardRef::Local => return self.guard.limit(),
            GuardRef::Remote(name, link) => (name, link),
        };
        let rate = match link.limit() {
            LimitStatement::Limit(it) => it,
            LimitStatement::None => return None,
            // The guard may have restarted and forgotten what its endpoint said.
            LimitStatement::Unknown => self.endpoint_report(name)?.limit?,
        };
        Some((rate, link.start_delay(rate, clock::now())))
    }

    /// Whether endpoints of the service may become reachable soon, because this proxy has just started or is opening a
    /// link to one of their proxies.
    fn may_be_reachable_soon(&self, service: &str) -> bool {
        let now = clock::now();
        if now.saturating_duration_since(self.started) < STARTUP_PERIOD {
            return true;
        }
        let directory = self.directory.borrow();
        let serves = |link: &Link| directory.get_by_key(link.key).is_some_and(|it| *it.endpoints.service == *service);
        self.links.borrow().iter().any(|it| it.1.is_opening(now) && serves(&it.1))
    }

    fn may_be_trial(req: &IngressRequest) -> bool {
        suspicion::may_be_trial(req.is_idempotent(), req.attempts.get(), req.route().max_attempts)
    }

    /// Requests reservations in the order of the ranking until a guard issues a grant, or all refused.
    async fn reserve_first(
        self: &Rc<Self>,
        req: &IngressRequest,
        ranked: &RankedEndpoints,
        terms: ReservationTerms,
        start: Instant,
    ) -> Result<Reservation, Refusals> {
        let mut refusals = Refusals::default();
        let mut rest = ranked.ranking.ranked.iter();
        let mut pending: FuturesUnordered<LocalBoxFuture<'_, (usize, Result<Grant, GrantRefusal>)>> =
            FuturesUnordered::new();
        let asked_before = req.guards_asked.get();
        let begin = tokio::time::Instant::now();
        loop {
            let more = begin.elapsed().as_millis() / EXTRA_RESERVATION_INTERVAL.as_millis();
            let max_pending = INITIAL_RESERVATIONS + usize::try_from(more).unwrap_or(usize::MAX - INITIAL_RESERVATIONS);
            if pending.len() < max_pending
                && let Some(at) = rest.next()
            {
                req.guards_asked.set(req.guards_asked.get() + 1);
                pending.push(Box::pin(self.send_reservation(
                    req,
                    &ranked.endpoints[*at].guard,
                    *at,
                    ranked.ranking.worst_accepted,
                    terms,
                )));
            }
            let pause = if pending.len() < max_pending { NEXT_GUARD_DELAY } else { EXTRA_RESERVATION_INTERVAL };
            let next_at = tokio::time::Instant::now() + pause;
            let can_ask = rest.len() > 0;
            tokio::select! {
                done = pending.next() => {
                    let Some((at, result)) = done else { return Err(refusals) };
                    let guard = &ranked.endpoints[at].guard;
                    let waited = clock::now().saturating_duration_since(start);
                    match result {
                        Ok(grant) => {
                            let asked = req.guards_asked.get() - asked_before;
                            self.emit_placed(req, ranked, at, &grant, asked, waited);
                            return Ok(Reservation { guard: guard.clone(), grant });
                        }
                        Err(reason) => {
                            refusals.add(reason, self.limit_at(guard).map_or(Duration::ZERO, |it| it.1));
                            let (guard, waited_ms) = (guard.name(self), waited.as_millis());
                            self.events.emit(&Event::NoPlace { request: &req.id, guard, why: reason, waited_ms });
                            if reason == GrantRefusal::Quarantined || (pending.is_empty() && rest.len() == 0) {
                                return Err(refusals);
                            }
                        }
                    }
                }
                () = sleep_until(next_at), if can_ask => (),
            }
        }
    }

    /// Emits the event for a grant, with what was known about the endpoint when its guard was chosen.
    fn emit_placed(
        &self,
        req: &IngressRequest,
        ranked: &RankedEndpoints,
        at: usize,
        grant: &Grant,
        asked: u32,
        waited: Duration,
    ) {
        let ReachableEndpoint { guard, candidate, load_age } = &ranked.endpoints[at];
        self.events.emit(&Event::Placed {
            request: &req.id,
            guard: guard.name(self),
            endpoint: &grant.endpoint.name,
            attempt: req.attempts.get() + 1,
            waited_ms: waited.as_millis(),
            asked,
            of: ranked.endpoints.len(),
            load: candidate.load,
            slots: candidate.slots,
            standing: candidate.standing,
            told_ms_ago: load_age.as_millis(),
        });
    }

    async fn send_reservation(
        self: &Rc<Self>,
        req: &IngressRequest,
        guard: &GuardRef,
        at: usize,
        worst_accepted: EndpointStanding,
        terms: ReservationTerms,
    ) -> (usize, Result<Grant, GrantRefusal>) {
        let reserve_req = ReserveRequest {
            ingress: self.name.clone(),
            version: self.version(),
            service: req.service.clone(),
            route: req.route().name.clone(),
            fingerprint: req.fingerprint,
            crash_record: self.guard.crash_record(req.fingerprint),
            is_quarantine_trial: req.is_quarantine_trial.get(),
            idempotent: req.is_idempotent(),
            allows_endpoint_trial: Self::may_be_trial(req),
            attempt_kind: req.next_attempt_kind(),
            is_nested_call: req.is_nested_call(),
            is_certain_caller_request: req.origin == RequestOrigin::Caller { certain: true },
            rank: req.rank,
            start_within: terms.start_deadline.saturating_duration_since(clock::now()),
            worst_standing: worst_accepted,
            endpoint_report: self.endpoint_report(guard.name(self)).filter(|it| it.limit.is_some()),
            needs_warm_endpoint: terms.needs_warm_endpoint,
        };
        let link = match guard {
            GuardRef::Local => {
                return (at, self.guard.reserve(&reserve_req, self.reservation_context(&reserve_req)).await);
            }
            GuardRef::Remote(_, link) => link,
        };
        link.count_reserve_request();
        match link.call::<_, ReserveResponse>(path::RESERVE, &reserve_req).await {
            Ok(it) => {
                self.apply_guard_report(it.report);
                if let Some(used_by_callers) = it.is_caller_route {
                    self.guard.set_callers_use_route(&reserve_req.route, used_by_callers);
                }
                self.guard.merge_crash_record(reserve_req.fingerprint, it.crash_record);
                (at, if it.is_rate_limited { Err(GrantRefusal::RateLimited) } else { it.result })
            }
            Err(error) => {
                if !matches!(error, LinkError::NotConnected) {
                    link.record_failure(clock::now());
                }
                log::debug!("request {}: reservation at {} failed: {error}", req.id, link.address);
                (at, Err(GrantRefusal::NotServed))
            }
        }
    }
}
