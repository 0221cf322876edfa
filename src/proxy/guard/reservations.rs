//! Queues reservations, issues grants for free slots and revokes grants that are not used in time.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{sync::oneshot, task::spawn_local, time::sleep};

use super::{EndpointPhase, GrantSender, Guard, GuardState, ReservationContext, ledger::GrantedWork, saturating_u32};
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

/// How long a grant may stay unused: many round trips between data centres, but short compared to a run.
const GRANT_TTL: Duration = Duration::from_millis(300);

impl Guard {
    /// Waits for a grant. Dropping the future cancels the reservation, or revokes the grant.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the endpoint does not accept the request, at once or while it waits.
    pub async fn reserve(
        self: &Rc<Self>,
        req: &ReserveRequest,
        context: ReservationContext,
    ) -> Result<Grant, GrantRefusal> {
        self.merge_crash_record(req.fingerprint, req.crash_record);
        if let Some(it) = &req.endpoint_report {
            self.apply_endpoint_report(it);
        }
        let (tx, rx) = oneshot::channel();
        let id = self.state.borrow_mut().enqueue(req, context, tx, clock::now())?;
        let mut pending = PendingReservation { guard: self, id, rx };
        self.issue_grants();
        (&mut pending.rx).await.unwrap_or(Err(GrantRefusal::NotServed))
    }

    /// Issues grants for free slots to waiting reservations, in order, and refuses those that can't start here.
    pub(super) fn issue_grants(self: &Rc<Self>) {
        let now = clock::now();
        let mut issued = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            while let Some(id) = state.issue_next(now) {
                issued.push(id);
            }
            state.refuse_waiters(now);
            state.account_slot_time(now);
        }
        for id in issued {
            self.revoke_if_unused(id);
        }
        self.wake_when_limit_allows();
    }

    /// Revokes a grant that is still unused after `GRANT_TTL`.
    fn revoke_if_unused(self: &Rc<Self>, id: GrantId) {
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

impl GuardState {
    /// Adds a reservation to the queue, or refuses it.
    fn enqueue(
        &mut self,
        req: &ReserveRequest,
        context: ReservationContext,
        tx: GrantSender,
        now: Instant,
    ) -> Result<WaiterId, GrantRefusal> {
        let endpoint = self.endpoint.as_ref().ok_or(GrantRefusal::NotServed)?;
        let is_leaving = endpoint.announcement.phase == EndpointPhase::Leaving;
        if endpoint.announcement.service != req.service
            || is_leaving
            || !fits_before_shutdown(self.work_deadline, &self.service_times, &req.route, now)
        {
            return Err(GrantRefusal::NotServed);
        }
        if self.quarantine.crash_record(req.fingerprint).is_quarantined() && !req.is_quarantine_trial {
            return Err(GrantRefusal::Quarantined);
        }
        if req.needs_warm_endpoint && now < endpoint.warmup_until {
            return Err(GrantRefusal::WarmingUp);
        }
        self.origin_tracker.record(&req.route, req.is_certain_caller_request);
        if !endpoint.standing_tracker.admits(
            req.worst_standing,
            req.allows_endpoint_trial,
            saturating_u32(self.ledger.endpoint_trials()),
            now,
        ) {
            return Err(GrantRefusal::Suspect);
        }
        // The guards of a service receive the route's reservations from every ingress, so their count overrides the
        // ingress's own classification.
        let nested_call = req.is_nested_call && self.origin_tracker.used_by_callers(&req.route) != Some(true);
        self.retry_budget.set_guard_count(context.service_guards);
        if req.attempt_kind == AttemptKind::Retry {
            let retry = Retry { rank: req.rank, is_nested_call: nested_call };
            self.retry_budget.record_demand(retry, now);
            if context.callee_budget_exhausted || !self.retry_budget.allows(retry, now) {
                return Err(GrantRefusal::RetryBudgetExhausted);
            }
        }
        self.last_waiter_id += 1;
        let id = self.last_waiter_id;
        self.queue.push(Waiter {
            id,
            is_nested_call: nested_call,
            rank: req.rank,
            idempotent: req.idempotent,
            allows_endpoint_trial: req.allows_endpoint_trial,
            worst_standing: req.worst_standing,
            arrived: now,
            latest_start: now + req.start_within,
            is_retry: req.attempt_kind == AttemptKind::Retry,
            retry_share: req.attempt_kind.retry_share(),
            route: req.route.clone(),
            fingerprint: req.fingerprint,
            is_quarantine_trial: req.is_quarantine_trial,
        });
        self.grant_senders.push((id, tx));
        Ok(id)
    }

    /// Issues a grant to the first waiter that may start now; `None` if there is no free slot or no such waiter.
    fn issue_next(&mut self, now: Instant) -> Option<GrantId> {
        let Self {
            endpoint, queue, grant_senders, ledger, retry_budget, quarantine, service_times, work_deadline, ..
        } = self;
        let endpoint = endpoint.as_mut().filter(|it| it.announcement.phase == EndpointPhase::Serving)?;
        let usable_slots = endpoint.usable_slots(now);
        while saturating_u32(ledger.len()) < usable_slots && endpoint.limit.allows(now) {
            let endpoint_trials = saturating_u32(ledger.endpoint_trials());
            let has_suspect_request =
                ledger.granted_work().any(|it| quarantine.crash_record(it.fingerprint).is_suspect());
            let admits = |it: &Waiter| {
                let record = quarantine.crash_record(it.fingerprint);
                endpoint.standing_tracker.admits(it.worst_standing, it.allows_endpoint_trial, endpoint_trials, now)
                    && (it.is_quarantine_trial || !record.is_quarantined())
                    && !(record.is_suspect() && has_suspect_request)
                    && (!it.is_retry || retry_budget.allows(it.retry(), now))
                    && fits_before_shutdown(*work_deadline, service_times, &it.route, now)
            };
            let waiter = queue.next(now, admits)?;
            let Some(at) = grant_senders.iter().position(|it| it.0 == waiter.id) else { continue };
            let (_, tx) = grant_senders.swap_remove(at);
            let work = GrantedWork {
                route: waiter.route,
                fingerprint: waiter.fingerprint,
                quarantine_trial: waiter.is_quarantine_trial,
                idempotent: waiter.idempotent,
                retry_share: waiter.retry_share,
                endpoint_trial: endpoint.standing_tracker.standing() != EndpointStanding::Clean,
            };
            let grant = ledger.issue(endpoint.announcement.id.clone(), work);
            let id = grant.id;
            if tx.send(Ok(grant)).is_err() {
                ledger.end(id, RunEnd::NotRun(NotRunReason::NoGrant), now);
                continue;
            }
            endpoint.standing_tracker.record_start(now);
            endpoint.limit.record_start(now);
            retry_budget.record_arrival(waiter.retry_share);
            return Some(id);
        }
        None
    }

    /// Refuses the waiters that can't start here, so that their ingress can try another guard.
    fn refuse_waiters(&mut self, now: Instant) {
        let Self { endpoint, queue, grant_senders, retry_budget, quarantine, service_times, work_deadline, .. } = self;
        let serving = endpoint.as_ref().filter(|it| it.announcement.phase == EndpointPhase::Serving);
        let refusal = |it: &Waiter| match serving {
            _ if quarantine.crash_record(it.fingerprint).is_quarantined() && !it.is_quarantine_trial => {
                Some(GrantRefusal::Quarantined)
            }
            None => Some(GrantRefusal::NotServed),
            Some(_) if !fits_before_shutdown(*work_deadline, service_times, &it.route, now) => {
                Some(GrantRefusal::NotServed)
            }
            Some(endpoint)
                if !endpoint.standing_tracker.admits(it.worst_standing, it.allows_endpoint_trial, 0, now) =>
            {
                Some(GrantRefusal::Suspect)
            }
            Some(_) if it.is_retry && !retry_budget.allows(it.retry(), now) => Some(GrantRefusal::RetryBudgetExhausted),
            Some(_) => None,
        };
        let mut refused = Vec::new();
        while let Some(waiter) = queue.remove_first(|it| refusal(it).is_some()) {
            let reason = refusal(&waiter).expect("the waiter was removed because it has a refusal");
            refused.push((waiter, reason));
        }
        if let Some(endpoint) = serving.filter(|it| it.limit.rate().is_some()) {
            while let Some(waiter) = queue.remove_too_late(now, |starts| endpoint.limit.delay(starts, now)) {
                metrics::counter!("jayreach_rate_limit_refusals_total").increment(1);
                refused.push((waiter, GrantRefusal::RateLimited));
            }
        }
        for (waiter, reason) in refused {
            if let Some(at) = grant_senders.iter().position(|it| it.0 == waiter.id) {
                // The ingress may have dropped the receiver.
                _ = grant_senders.swap_remove(at).1.send(Err(reason));
            }
        }
    }
}

/// Whether a run of `route` that starts now is likely to end by `work_deadline`, which is set during a shutdown.
fn fits_before_shutdown(
    work_deadline: Option<Instant>,
    service_times: &ServiceTimes,
    route: &str,
    now: Instant,
) -> bool {
    /// Few runs take longer than this many times the mean service time.
    const SERVICE_TIME_FACTOR: u32 = 3;
    let Some(work_deadline) = work_deadline else { return true };
    service_times.mean(route).is_some_and(|it| now + it * SERVICE_TIME_FACTOR <= work_deadline)
}

/// A reservation that waits for its grant; dropping it cancels the reservation.
struct PendingReservation<'a> {
    guard: &'a Rc<Guard>,
    id: WaiterId,
    rx: oneshot::Receiver<Result<Grant, GrantRefusal>>,
}

impl Drop for PendingReservation<'_> {
    fn drop(&mut self) {
        // The grant was issued but not received yet: revoke it.
        if let Ok(Ok(grant)) = self.rx.try_recv() {
            self.guard.end_grant(grant.id, RunEnd::NotRun(NotRunReason::NoGrant));
            return;
        }
        let mut state = self.guard.state.borrow_mut();
        state.queue.remove(self.id);
        state.grant_senders.retain(|it| it.0 != self.id);
    }
}
