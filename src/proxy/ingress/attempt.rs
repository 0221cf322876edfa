//! Attempts at endpoints: which end of one ends the request, and which asks for another.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::time::{sleep, timeout};

use super::{Guarded, Job, NoPlace, Placed, Verdict};
use crate::{
    decide::incarnation::EndpointId,
    proxy::{
        Proxy, clock,
        events::{AttemptFailure, Event},
        message::{Grant, NotRunReason, RelayedQuery, RunEnd, RunQuery, RunRequest, RunResponse, UnknownReason, path},
        peer_link::{Link, LinkError},
    },
};

/// How often an attempt may be moved on without having reached an endpoint.
const FREE_MOVES: u32 = 6;
/// Idempotent work is overdue, and may begin elsewhere, after this many times its usual length.
const OVERDUE_FACTOR: u32 = 4;
/// See `OVERDUE_FACTOR`: short work varies more.
const OVERDUE_MORE: Duration = Duration::from_millis(300);
/// How long a lost run is asked for in one try, and the pause between tries.
const ASK_TIMEOUT: Duration = Duration::from_millis(1_000);
const ASK_PAUSE: Duration = Duration::from_millis(100);

impl Proxy {
    pub(super) async fn serve(self: &Rc<Self>, job: &Job) -> Verdict {
        let mut tried: Vec<EndpointId> = Vec::new();
        let mut last: Option<Verdict> = None;
        let mut moves = 0;
        if self.guard.note_request(job.fingerprint).is_quarantined() {
            job.released.set(self.begin_trial(job.fingerprint).await);
        }
        loop {
            if self.is_held(job) {
                return last.unwrap_or(job.without_place(NoPlace::Quarantined));
            }
            let placed = match self.place(job, &tried).await {
                Ok(it) => it,
                Err(_) if last.is_some() => return last.expect("just looked"),
                Err(it) => return job.without_place(it),
            };
            let (placed, end, took) = self.attempt(job, placed, &mut tried).await;
            match end {
                RunEnd::Answered { status, content, took } => {
                    let verdict = Verdict::Answer { status, content };
                    if status < 500 {
                        self.ingress.borrow_mut().pace.record(&job.route().name, took);
                        return verdict;
                    }
                    self.failed(job, &placed, AttemptFailure::Status(status), took);
                    if !job.idempotent() || !self.may_repeat(job) {
                        return verdict;
                    }
                    last = Some(verdict);
                    tried.push(placed.grant.endpoint);
                }
                RunEnd::NotRun(why) => {
                    self.failed(job, &placed, AttemptFailure::NotRun(why), took);
                    let reached = matches!(why, NotRunReason::Declined | NotRunReason::OtherInstance);
                    moves += 1;
                    if reached {
                        tried.push(placed.grant.endpoint);
                    } else {
                        job.attempts.set(job.attempts.get() - 1);
                    }
                    if (reached && !self.may_repeat(job)) || moves > FREE_MOVES {
                        return last.unwrap_or(job.without_place(NoPlace::Full));
                    }
                }
                RunEnd::Unknown(why) => {
                    self.failed(job, &placed, AttemptFailure::Unknown(why), took);
                    // Silence lasts until the time is over: there is none left for another attempt.
                    if why == UnknownReason::TimedOut {
                        return Verdict::OutOfTime;
                    }
                    if !job.idempotent() || !self.may_repeat(job) {
                        return Verdict::Unknown;
                    }
                    tried.push(placed.grant.endpoint);
                }
            }
            job.released.set(false);
        }
    }

    /// Whether the request is held back, and this isn't its trial.
    pub(super) fn is_held(&self, job: &Job) -> bool {
        self.guard.case(job.fingerprint).is_quarantined() && !job.released.get()
    }

    fn failed(&self, job: &Job, placed: &Placed, why: AttemptFailure, took: Duration) {
        let guard = placed.guard.name(self);
        let attempt = job.attempts.get();
        self.events.emit(&Event::Failed {
            request: &job.request,
            fingerprint: job.fingerprint,
            guard,
            attempt,
            why,
            took_ms: took.as_millis(),
        });
        metrics::counter!("jayreach_attempts_failed_total", "service" => job.service.to_string()).increment(1);
    }

    /// Whether the work may be sent to one more endpoint, if its guard has an allowance for it.
    fn may_repeat(&self, job: &Job) -> bool {
        job.attempts.get() < job.route().max_attempts && clock::now() < job.give_up
    }

    /// Sends the work to a reserved place. Idempotent work that is overdue there begins at a second
    /// place, too, if there is one; the first good answer counts. Returns the place that ended it.
    async fn attempt(
        self: &Rc<Self>,
        job: &Job,
        placed: Placed,
        tried: &mut Vec<EndpointId>,
    ) -> (Placed, RunEnd, Duration) {
        let start = clock::now();
        let first = self.run_placed(job, placed.clone());
        tokio::pin!(first);
        let overdue = self.overdue(job).saturating_duration_since(start);
        if let Ok(end) = timeout(overdue, &mut first).await {
            return (placed, end, clock::now().saturating_duration_since(start));
        }
        tried.push(placed.grant.endpoint.clone());
        let second = tokio::select! {
            end = &mut first => return (placed, end, clock::now().saturating_duration_since(start)),
            it = self.place(job, tried) => it.ok(),
        };
        let Some(second) = second else {
            return (placed, first.await, clock::now().saturating_duration_since(start));
        };
        self.failed(job, &placed, AttemptFailure::Overdue, clock::now().saturating_duration_since(start));
        let other = self.run_placed(job, second.clone());
        tokio::pin!(other);
        let (end, placed) = tokio::select! {
            end = &mut first => if is_good(&end) { (end, placed) } else { (other.await, second) },
            end = &mut other => if is_good(&end) { (end, second) } else { (first.await, placed) },
        };
        (placed, end, clock::now().saturating_duration_since(start))
    }

    /// When work may begin at a second place; its end if it may not.
    fn overdue(&self, job: &Job) -> Instant {
        // A suspect request takes its endpoints one at a time.
        let suspect = self.guard.case(job.fingerprint).is_suspect();
        if suspect || !job.idempotent() || job.attempts.get() + 1 >= job.route().max_attempts {
            return job.give_up;
        }
        let usual = self.ingress.borrow().pace.mean(&job.route().name);
        usual.map_or(job.give_up, |it| job.give_up.min(clock::now() + it * OVERDUE_FACTOR + OVERDUE_MORE))
    }

    /// Sends the work to a reserved place, and counts it.
    async fn run_placed(self: &Rc<Self>, job: &Job, placed: Placed) -> RunEnd {
        let start = clock::now();
        job.attempts.set(job.attempts.get() + 1);
        job.open.set(job.open.get() + 1);
        let run = RunRequest {
            grant: placed.grant.clone(),
            request_id: job.request.clone(),
            retry_share: if job.attempts.get() > 1 { 1.0 } else { job.repeat_share() },
            method: job.method.clone(),
            target: job.target.clone(),
            content: job.content.clone(),
            timeout: job.work_until.saturating_duration_since(start),
            fingerprint: job.fingerprint,
        };
        let end = timeout(job.left(), self.run_at(job, &placed, run)).await;
        let end = end.unwrap_or(RunEnd::Unknown(UnknownReason::TimedOut));
        if !matches!(end, RunEnd::Unknown(_)) {
            job.open.set(job.open.get() - 1);
        }
        end
    }

    async fn run_at(self: &Rc<Self>, job: &Job, placed: &Placed, run: RunRequest) -> RunEnd {
        let (name, link) = match &placed.guard {
            Guarded::Here => return self.guard.run(run).await,
            Guarded::There(name, link) => (name, link),
        };
        match link.call::<_, RunResponse>(path::RUN, &run).await {
            Ok(it) => {
                self.apply_guard_report(it.report);
                self.guard.merge_case(job.fingerprint, it.case);
                it.end
            }
            Err(LinkError::NotConnected) => RunEnd::NotRun(NotRunReason::NoGrant),
            Err(error) => {
                link.record_failure(clock::now());
                log::debug!("request {}: {error}", job.request);
                if job.idempotent() {
                    RunEnd::Unknown(UnknownReason::GuardStateLost)
                } else {
                    self.find_out(job, name, link, run.grant).await
                }
            }
        }
    }

    /// Asks what became of work that must not run twice, at its guard or through others, until it is
    /// known; its caller's time bounds this.
    async fn find_out(self: &Rc<Self>, job: &Job, name: &str, link: &Rc<Link>, grant: Grant) -> RunEnd {
        let ask = RunQuery { grant };
        loop {
            let (through, found) = if link.is_connected() {
                (name.into(), link.call_within::<_, RunEnd>(job.left(), path::ASK, &ask).await)
            } else {
                match self.random_connected_link_except(name, false) {
                    Some((helper, it)) => {
                        let relay = RelayedQuery { to: link.address, ask: ask.clone() };
                        (helper, it.call_within::<_, RunEnd>(ASK_TIMEOUT, path::RELAY, &relay).await)
                    }
                    None => (name.into(), None),
                }
            };
            let told = match &found {
                None => "no answer",
                Some(RunEnd::Answered { .. }) => "answered",
                Some(RunEnd::NotRun(_)) => "not run",
                Some(RunEnd::Unknown(_)) => "unknown",
            };
            self.events.emit(&Event::Asked { request: &job.request, guard: name, through: &through, found: told });
            match found {
                // The guard says so itself; a silent one is asked again.
                Some(it) if it != RunEnd::Unknown(UnknownReason::TimedOut) => return it,
                Some(_) | None => sleep(ASK_PAUSE).await,
            }
        }
    }
}

/// Whether an end is the answer to give.
fn is_good(end: &RunEnd) -> bool {
    matches!(end, RunEnd::Answered { status, .. } if *status < 500)
}
