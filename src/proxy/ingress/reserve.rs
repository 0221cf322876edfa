//! Finding a free place at one of a service's endpoints.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt as _, future::LocalBoxFuture, stream::FuturesUnordered};
use tokio::time::{sleep, sleep_until, timeout};

use super::{Guarded, Job, NoPlace, Placed};
use crate::{
    decide::{
        incarnation::EndpointId,
        latest_start::{WorkTiming, latest_start},
        origin::RequestOrigin,
        placement::{CandidateRanking, PlacementCandidate, rank_candidates},
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

/// How long one guard is waited for before another is asked too: a few round trips between data
/// centres. All asked guards keep the wish in their queues; the first free place is taken.
const ASK_ANOTHER_AFTER: Duration = Duration::from_millis(15);
/// How many guards hold a wish at first. More shorten the wait little, and each costs two small VMs processor time
/// just when they are short of it.
const WISHES: usize = 2;
/// After this one more guard may hold a wish: some of the first may be behind a cut, and their
/// silence looks like a queue.
const ONE_MORE_WISH: Duration = Duration::from_millis(120);

/// For how long after its start a proxy may not have found the guards yet. Callers come at once, and without this a proxy
/// that starts again refuses them until it has the others' rows.
const FRESH: Duration = Duration::from_millis(1_500);
/// How long a request waits for links at most: a restarted proxy has them within a few hundred milliseconds, and a caller
/// who must be refused should hear it soon.
const OPENING_WAIT: Duration = Duration::from_millis(700);
/// How often it is looked whether a link has opened: a few round trips.
const OPENING_PAUSE: Duration = Duration::from_millis(15);

/// An endpoint that may do a piece of work.
struct Reachable {
    guard: Guarded,
    /// What is known of it.
    candidate: PlacementCandidate,
    /// How long ago its load was told.
    told_ago: Duration,
}

/// The endpoints that may do a piece of work, and the order in which their guards are asked.
struct Choice {
    endpoints: Vec<Reachable>,
    /// By place in `endpoints`.
    order: CandidateRanking,
}

impl Proxy {
    /// Waits for a free place at one of the service's endpoints.
    pub(super) async fn place(self: &Rc<Self>, job: &Job, tried: &[EndpointId]) -> Result<Placed, NoPlace> {
        let start = clock::now();
        let result = self.find_place(job, tried, start).await;
        job.waited.set(job.waited.get() + clock::now().saturating_duration_since(start));
        result
    }

    async fn find_place(self: &Rc<Self>, job: &Job, tried: &[EndpointId], start: Instant) -> Result<Placed, NoPlace> {
        /// Refusals that were stale news are worth another look; more of them are not.
        const LOOKS: u32 = 3;
        let patience = self.patience(job);
        self.note_service_needed(&job.service);
        for _ in 0..LOOKS {
            let mut choice = self.choice(job, tried);
            let wait_until = patience.min(start + OPENING_WAIT);
            while choice.endpoints.is_empty() && clock::now() < wait_until && self.may_reach_soon(&job.service) {
                sleep(OPENING_PAUSE).await;
                choice = self.choice(job, tried);
            }
            if choice.endpoints.is_empty() {
                return Err(NoPlace::NoEndpoint);
            }
            let left = patience.saturating_duration_since(clock::now());
            match timeout(left, self.ask(job, &choice, patience, start)).await {
                Ok(Some(it)) => return Ok(it),
                Ok(None) if self.is_held(job) => return Err(NoPlace::Quarantined),
                Ok(None) => (),
                Err(_) => return Err(NoPlace::Full),
            }
        }
        Err(NoPlace::Full)
    }

    /// Until when waiting for a place makes sense.
    fn patience(&self, job: &Job) -> Instant {
        let route = job.route();
        let give_up = self.stop.get().map_or(job.give_up, |it| job.give_up.min(it.answer_deadline()));
        let timing = WorkTiming {
            arrived: job.arrived,
            target_latency: route.target_latency,
            deadline: give_up,
            is_nested_call: job.is_call(),
        };
        latest_start(timing, self.ingress.borrow().pace.mean(&route.name))
    }

    /// The endpoints that may do the work, as they are known now.
    fn choice(&self, job: &Job, tried: &[EndpointId]) -> Choice {
        let here = self.guard.serving_endpoint().filter(|it| it.service == job.service && !tried.contains(&it.id));
        let here = here.map(|it| self.reachable_here(&it));
        let directory = self.directory.borrow();
        let links = self.links.borrow();
        let there = links.iter().filter_map(|(name, link)| {
            let served = &directory.get_by_key(link.key)?.endpoints;
            let endpoint = served.endpoint.as_ref().filter(|it| !tried.contains(&it.id))?;
            (served.service == job.service).then(|| Self::reachable_there(name, link, endpoint))?
        });
        let endpoints: Vec<Reachable> = here.into_iter().chain(there).collect();
        let candidates: Vec<PlacementCandidate> = endpoints.iter().map(|it| it.candidate).collect();
        let order = rank_candidates(&candidates, Self::may_be_trial(job), &mut rand::rng());
        Choice { endpoints, order }
    }

    /// This VM's endpoint.
    fn reachable_here(&self, endpoint: &ServingEndpoint) -> Reachable {
        let (running, waiting) = self.guard.load();
        let candidate = PlacementCandidate {
            same_data_centre: true,
            standing: endpoint.standing,
            path_backing_off: false,
            load: running + waiting,
            slots: endpoint.slots,
        };
        Reachable { guard: Guarded::Here, candidate, told_ago: Duration::ZERO }
    }

    /// Another VM's endpoint, if there is a connection: a lost VM stays in the directory for a while, and asking it says
    /// nothing new.
    fn reachable_there(name: &ProxyName, link: &Rc<Link>, endpoint: &EndpointRow) -> Option<Reachable> {
        if !link.is_connected() {
            return None;
        }
        let now = clock::now();
        let candidate = PlacementCandidate {
            same_data_centre: link.same_data_centre,
            standing: link.standing(),
            path_backing_off: link.is_backing_off(now),
            load: link.estimated_load(now),
            slots: endpoint.slots,
        };
        let told_ago = link.load_age(now);
        Some(Reachable { guard: Guarded::There(name.clone(), Rc::clone(link)), candidate, told_ago })
    }

    /// Whether the service's guards may be known or reached soon: this proxy has just started, or has had no request for the
    /// service for long.
    fn may_reach_soon(&self, service: &str) -> bool {
        let now = clock::now();
        if now.saturating_duration_since(self.started) < FRESH {
            return true;
        }
        let directory = self.directory.borrow();
        let serves = |link: &Link| directory.get_by_key(link.key).is_some_and(|it| *it.endpoints.service == *service);
        self.links.borrow().iter().any(|it| it.1.is_opening(now) && serves(&it.1))
    }

    fn may_be_trial(job: &Job) -> bool {
        suspicion::may_be_trial(job.idempotent(), job.attempts.get(), job.route().max_attempts)
    }

    /// Asks guards in order until one gives a place; `None` if all refused.
    async fn ask(self: &Rc<Self>, job: &Job, choice: &Choice, patience: Instant, start: Instant) -> Option<Placed> {
        let mut rest = choice.order.ranked.iter();
        let mut wishes: FuturesUnordered<LocalBoxFuture<'_, (usize, Result<Grant, GrantRefusal>)>> =
            FuturesUnordered::new();
        let asked_before = job.asked.get();
        let begin = tokio::time::Instant::now();
        loop {
            let more = begin.elapsed().as_millis() / ONE_MORE_WISH.as_millis();
            let held = WISHES + usize::try_from(more).unwrap_or(usize::MAX - WISHES);
            if wishes.len() < held
                && let Some(at) = rest.next()
            {
                job.asked.set(job.asked.get() + 1);
                wishes.push(Box::pin(self.wish(
                    job,
                    &choice.endpoints[*at].guard,
                    *at,
                    choice.order.worst_accepted,
                    patience,
                )));
            }
            let pause = if wishes.len() < held { ASK_ANOTHER_AFTER } else { ONE_MORE_WISH };
            let another = tokio::time::Instant::now() + pause;
            let can_ask = rest.len() > 0;
            tokio::select! {
                done = wishes.next() => {
                    let (at, result) = done?;
                    let guard = &choice.endpoints[at].guard;
                    let waited = clock::now().saturating_duration_since(start);
                    match result {
                        Ok(grant) => {
                            let asked = job.asked.get() - asked_before;
                            self.tell_placed(job, choice, at, &grant, asked, waited);
                            return Some(Placed { guard: guard.clone(), grant });
                        }
                        Err(why) => {
                            let (guard, waited_ms) = (guard.name(self), waited.as_millis());
                            self.events.emit(&Event::NoPlace { request: &job.request, guard, why, waited_ms });
                            if why == GrantRefusal::Quarantined || (wishes.is_empty() && rest.len() == 0) {
                                return None;
                            }
                        }
                    }
                }
                () = sleep_until(another), if can_ask => (),
            }
        }
    }

    /// Writes down a place with what was known when its guard was asked.
    fn tell_placed(&self, job: &Job, choice: &Choice, at: usize, grant: &Grant, asked: u32, waited: Duration) {
        let Reachable { guard, candidate, told_ago } = &choice.endpoints[at];
        self.events.emit(&Event::Placed {
            request: &job.request,
            guard: guard.name(self),
            endpoint: &grant.endpoint.name,
            attempt: job.attempts.get() + 1,
            waited_ms: waited.as_millis(),
            asked,
            of: choice.endpoints.len(),
            load: candidate.load,
            slots: candidate.slots,
            standing: candidate.standing,
            told_ms_ago: told_ago.as_millis(),
        });
    }

    async fn wish(
        self: &Rc<Self>,
        job: &Job,
        guard: &Guarded,
        at: usize,
        accepts: EndpointStanding,
        patience: Instant,
    ) -> (usize, Result<Grant, GrantRefusal>) {
        let req = ReserveRequest {
            ingress: self.name.clone(),
            version: self.version(),
            service: job.service.clone(),
            route: job.route().name.clone(),
            fingerprint: job.fingerprint,
            case: self.guard.case(job.fingerprint),
            is_quarantine_trial: job.released.get(),
            idempotent: job.idempotent(),
            allows_endpoint_trial: Self::may_be_trial(job),
            attempt_kind: job.next_arrival(),
            is_nested_call: job.is_call(),
            is_certain_caller_request: job.origin == RequestOrigin::Caller { certain: true },
            rank: job.rank,
            start_within: patience.saturating_duration_since(clock::now()),
            worst_standing: accepts,
        };
        let link = match guard {
            Guarded::Here => return (at, self.guard.reserve(&req, self.reservation_context(&req)).await),
            Guarded::There(_, link) => link,
        };
        link.count_reserve_request();
        match link.call::<_, ReserveResponse>(path::RESERVE, &req).await {
            Ok(it) => {
                self.apply_guard_report(it.report);
                if let Some(is_callers) = it.is_caller_route {
                    self.guard.set_callers_use_route(&req.route, is_callers);
                }
                self.guard.merge_case(req.fingerprint, it.case);
                (at, it.result)
            }
            Err(error) => {
                if !matches!(error, LinkError::NotConnected) {
                    link.record_failure(clock::now());
                }
                log::debug!("request {}: {error}", job.request);
                (at, Err(GrantRefusal::NotServed))
            }
        }
    }
}
