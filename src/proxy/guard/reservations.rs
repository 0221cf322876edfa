//! Places at the endpoint: who waits for one, who gets one, and when it is taken back.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{sync::oneshot, task::spawn_local, time::sleep};

use super::{EndpointPhase, Guard, PlaceSender, ReservationContext, State, count, ledger::GrantedWork};
use crate::{
    decide::{
        guard_retry_budget::Retry,
        service_times::ServiceTimes,
        suspicion::EndpointStanding,
        wait_queue::{Waiter, WaiterId},
    },
    proxy::{
        clock,
        message::{AttemptKind, Grant, GrantId, GrantRefusal, NotRunReason, ReserveRequest, RunEnd},
    },
};

/// How long a place is kept for an ingress that does not use it: many round trips between data
/// centres, and short beside the work.
const GRANT_TTL: Duration = Duration::from_millis(300);

impl Guard {
    /// Waits for a place. Dropping the future takes the wish, or the place, back.
    pub async fn reserve(
        self: &Rc<Self>,
        req: &ReserveRequest,
        known: ReservationContext,
    ) -> Result<Grant, GrantRefusal> {
        self.merge_case(req.fingerprint, req.case);
        let (tx, rx) = oneshot::channel();
        let id = self.state.borrow_mut().admit(req, known, tx, clock::now())?;
        let mut wish = Wish { guard: self, id, rx };
        self.issue_grants();
        (&mut wish.rx).await.unwrap_or(Err(GrantRefusal::NotServed))
    }

    /// Gives free places to those that wait, in order, and turns those away that can't begin here.
    pub(super) fn issue_grants(self: &Rc<Self>) {
        let now = clock::now();
        let mut offered = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            while let Some(id) = state.offer_next(now) {
                offered.push(id);
            }
            state.turn_away(now);
            state.account(now);
        }
        for id in offered {
            self.expire(id);
        }
    }

    /// Takes a place back that is not used in time.
    fn expire(self: &Rc<Self>, id: GrantId) {
        let guard = Rc::clone(self);
        spawn_local(async move {
            sleep(GRANT_TTL).await;
            let unused = guard.state.borrow().ledger.unused_grants().contains(&id);
            if unused {
                guard.end_grant(id, RunEnd::NotRun(NotRunReason::NoGrant));
            }
        });
    }
}

impl State {
    /// Adds a wish to the queue, unless this is no place for it.
    fn admit(
        &mut self,
        req: &ReserveRequest,
        known: ReservationContext,
        tx: PlaceSender,
        now: Instant,
    ) -> Result<WaiterId, GrantRefusal> {
        let endpoint = self.endpoint.as_ref().ok_or(GrantRefusal::NotServed)?;
        let leaves = endpoint.announced.phase == EndpointPhase::Leaving;
        if endpoint.announced.service != req.service || leaves || !fits(self.ends, &self.pace, &req.route, now) {
            return Err(GrantRefusal::NotServed);
        }
        if self.quarantine.crash_record(req.fingerprint).is_quarantined() && !req.is_quarantine_trial {
            return Err(GrantRefusal::Quarantined);
        }
        self.origins.record(&req.route, req.is_certain_caller_request);
        if !endpoint.record.admits(
            req.worst_standing,
            req.allows_endpoint_trial,
            count(self.ledger.endpoint_trials()),
            now,
        ) {
            return Err(GrantRefusal::Suspect);
        }
        // The guards of a service know better than an ingress whether callers use a route.
        let call = req.is_nested_call && self.origins.used_by_callers(&req.route) != Some(true);
        self.allowance.set_guard_count(known.service_guards);
        if req.attempt_kind == AttemptKind::Retry {
            let retry = Retry { rank: req.rank, is_nested_call: call };
            self.allowance.record_demand(retry, now);
            if known.callee_budget_exhausted || !self.allowance.allows(retry, now) {
                return Err(GrantRefusal::RetryBudgetExhausted);
            }
        }
        self.last_waiter += 1;
        let id = self.last_waiter;
        self.queue.push(Waiter {
            id,
            is_nested_call: call,
            rank: req.rank,
            idempotent: req.idempotent,
            may_be_trial: req.allows_endpoint_trial,
            accepts: req.worst_standing,
            arrived: now,
            latest_start: now + req.start_within,
            is_retry: req.attempt_kind == AttemptKind::Retry,
            repeat_share: req.attempt_kind.retry_share(),
            route: req.route.clone(),
            fingerprint: req.fingerprint,
            is_quarantine_trial: req.is_quarantine_trial,
        });
        self.senders.push((id, tx));
        Ok(id)
    }

    /// Offers a free place to the first that may have one.
    fn offer_next(&mut self, now: Instant) -> Option<GrantId> {
        let Self { endpoint, queue, senders, ledger, allowance, quarantine, pace, ends, .. } = self;
        let endpoint = endpoint.as_mut().filter(|it| it.announced.phase == EndpointPhase::Serving)?;
        let limit = endpoint.usable_slots(now);
        while count(ledger.len()) < limit {
            let trials = count(ledger.endpoint_trials());
            let suspect_here = ledger.granted_work().any(|it| quarantine.crash_record(it.fingerprint).is_suspect());
            let admits = |it: &Waiter| {
                let case = quarantine.crash_record(it.fingerprint);
                endpoint.record.admits(it.accepts, it.may_be_trial, trials, now)
                    && (it.is_quarantine_trial || !case.is_quarantined())
                    && !(case.is_suspect() && suspect_here)
                    && (!it.is_retry || allowance.allows(it.retry(), now))
                    && fits(*ends, pace, &it.route, now)
            };
            let waiter = queue.next(now, admits)?;
            let Some(at) = senders.iter().position(|it| it.0 == waiter.id) else { continue };
            let (_, tx) = senders.swap_remove(at);
            let work = GrantedWork {
                route: waiter.route,
                fingerprint: waiter.fingerprint,
                quarantine_trial: waiter.is_quarantine_trial,
                idempotent: waiter.idempotent,
                retry_share: waiter.repeat_share,
                endpoint_trial: endpoint.record.standing() != EndpointStanding::Clean,
            };
            let grant = ledger.issue(endpoint.announced.id.clone(), work);
            let id = grant.id;
            if tx.send(Ok(grant)).is_err() {
                ledger.end(id, RunEnd::NotRun(NotRunReason::NoGrant), now);
                continue;
            }
            endpoint.record.record_start(now);
            allowance.record_arrival(waiter.repeat_share);
            return Some(id);
        }
        None
    }

    /// Refuses what waits and can't begin here: it is better off elsewhere.
    fn turn_away(&mut self, now: Instant) {
        let Self { endpoint, queue, senders, allowance, quarantine, pace, ends, .. } = self;
        let serving = endpoint.as_ref().filter(|it| it.announced.phase == EndpointPhase::Serving);
        let refusal = |it: &Waiter| match serving {
            _ if quarantine.crash_record(it.fingerprint).is_quarantined() && !it.is_quarantine_trial => {
                Some(GrantRefusal::Quarantined)
            }
            None => Some(GrantRefusal::NotServed),
            Some(_) if !fits(*ends, pace, &it.route, now) => Some(GrantRefusal::NotServed),
            Some(endpoint) if !endpoint.record.admits(it.accepts, it.may_be_trial, 0, now) => {
                Some(GrantRefusal::Suspect)
            }
            Some(_) if it.is_retry && !allowance.allows(it.retry(), now) => Some(GrantRefusal::RetryBudgetExhausted),
            Some(_) => None,
        };
        while let Some(waiter) = queue.remove_first(|it| refusal(it).is_some()) {
            let why = refusal(&waiter).expect("it was taken out for that");
            if let Some(at) = senders.iter().position(|it| it.0 == waiter.id) {
                // An ingress that is gone needs no answer.
                _ = senders.swap_remove(at).1.send(Err(why));
            }
        }
    }
}

/// Whether work of `route` that begins now is likely to end by `ends`, when this proxy stops.
fn fits(ends: Option<Instant>, pace: &ServiceTimes, route: &str, now: Instant) -> bool {
    /// Few pieces of work take longer than this many times the usual.
    const TIMES_USUAL: u32 = 3;
    let Some(ends) = ends else { return true };
    pace.mean(route).is_some_and(|it| now + it * TIMES_USUAL <= ends)
}

/// A wish for a place, taken back when its future is dropped.
struct Wish<'a> {
    guard: &'a Rc<Guard>,
    id: WaiterId,
    rx: oneshot::Receiver<Result<Grant, GrantRefusal>>,
}

impl Drop for Wish<'_> {
    fn drop(&mut self) {
        // A place that was given and not taken yet is free again.
        if let Ok(Ok(grant)) = self.rx.try_recv() {
            self.guard.end_grant(grant.id, RunEnd::NotRun(NotRunReason::NoGrant));
            return;
        }
        let mut state = self.guard.state.borrow_mut();
        state.queue.remove(self.id);
        state.senders.retain(|it| it.0 != self.id);
    }
}
