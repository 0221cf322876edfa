//! Places at the endpoint: who waits for one, who gets one, and when it is taken back.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{sync::oneshot, task::spawn_local, time::sleep};

use super::{EndpointPhase, Guard, PlaceSender, State, Surroundings, count, ledger::Purpose};
use crate::{
    decide::{
        allowance::Repeat,
        pace::Pace,
        suspicion::Standing,
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
    pub async fn reserve(self: &Rc<Self>, req: &ReserveRequest, known: Surroundings) -> Result<Grant, GrantRefusal> {
        self.take_case(req.fingerprint, req.case);
        let (tx, rx) = oneshot::channel();
        let id = self.state.borrow_mut().admit(req, known, tx, clock::now())?;
        let mut wish = Wish { guard: self, id, rx };
        self.pump();
        (&mut wish.rx).await.unwrap_or(Err(GrantRefusal::NotServed))
    }

    /// Gives free places to those that wait, in order, and turns those away that can't begin here.
    pub(super) fn pump(self: &Rc<Self>) {
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
            let unused = guard.state.borrow().ledger.offered().contains(&id);
            if unused {
                guard.end(id, RunEnd::NotRun(NotRunReason::NoGrant));
            }
        });
    }
}

impl State {
    /// Adds a wish to the queue, unless this is no place for it.
    fn admit(
        &mut self,
        req: &ReserveRequest,
        known: Surroundings,
        tx: PlaceSender,
        now: Instant,
    ) -> Result<WaiterId, GrantRefusal> {
        let endpoint = self.endpoint.as_ref().ok_or(GrantRefusal::NotServed)?;
        let leaves = endpoint.announced.phase == EndpointPhase::Leaving;
        if endpoint.announced.service != req.service || leaves || !fits(self.ends, &self.pace, &req.route, now) {
            return Err(GrantRefusal::NotServed);
        }
        if self.quarantine.case(req.fingerprint).is_held() && !req.is_quarantine_trial {
            return Err(GrantRefusal::Quarantined);
        }
        self.origins.count(&req.route, req.is_certain_caller_request);
        if !endpoint.record.admits(req.worst_standing, req.allows_endpoint_trial, count(self.ledger.trials()), now) {
            return Err(GrantRefusal::Suspect);
        }
        // The guards of a service know better than an ingress whether callers use a route.
        let call = req.is_nested_call && self.origins.says(&req.route) != Some(true);
        self.allowance.share_with(known.guards);
        if req.attempt_kind == AttemptKind::Retry {
            let repeat = Repeat { rank: req.rank, call };
            self.allowance.want(repeat, now);
            if known.calls_tight || !self.allowance.allows(repeat, now) {
                return Err(GrantRefusal::RetryBudgetExhausted);
            }
        }
        self.last_waiter += 1;
        let id = self.last_waiter;
        self.queue.push(Waiter {
            id,
            call,
            rank: req.rank,
            idempotent: req.idempotent,
            trial: req.allows_endpoint_trial,
            accepts: req.worst_standing,
            arrived: now,
            useful_until: now + req.start_within,
            needs_allowance: req.attempt_kind == AttemptKind::Retry,
            repeat_share: req.attempt_kind.retry_share(),
            route: req.route.clone(),
            fingerprint: req.fingerprint,
            released: req.is_quarantine_trial,
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
            let trials = count(ledger.trials());
            let suspect_here = ledger.purposes().any(|it| quarantine.case(it.fingerprint).is_suspect());
            let admits = |it: &Waiter| {
                let case = quarantine.case(it.fingerprint);
                endpoint.record.admits(it.accepts, it.trial, trials, now)
                    && (it.released || !case.is_held())
                    && !(case.is_suspect() && suspect_here)
                    && (!it.needs_allowance || allowance.allows(it.repeat(), now))
                    && fits(*ends, pace, &it.route, now)
            };
            let waiter = queue.next(now, admits)?;
            let Some(at) = senders.iter().position(|it| it.0 == waiter.id) else { continue };
            let (_, tx) = senders.swap_remove(at);
            let purpose = Purpose {
                route: waiter.route,
                fingerprint: waiter.fingerprint,
                released: waiter.released,
                idempotent: waiter.idempotent,
                repeat_share: waiter.repeat_share,
                trial: endpoint.record.standing() != Standing::Clean,
            };
            let grant = ledger.offer(endpoint.announced.id.clone(), purpose);
            let id = grant.id;
            if tx.send(Ok(grant)).is_err() {
                ledger.end(id, RunEnd::NotRun(NotRunReason::NoGrant), now);
                continue;
            }
            endpoint.record.begun(now);
            allowance.count(waiter.repeat_share);
            return Some(id);
        }
        None
    }

    /// Refuses what waits and can't begin here: it is better off elsewhere.
    fn turn_away(&mut self, now: Instant) {
        let Self { endpoint, queue, senders, allowance, quarantine, pace, ends, .. } = self;
        let serving = endpoint.as_ref().filter(|it| it.announced.phase == EndpointPhase::Serving);
        let refusal = |it: &Waiter| match serving {
            _ if quarantine.case(it.fingerprint).is_held() && !it.released => Some(GrantRefusal::Quarantined),
            None => Some(GrantRefusal::NotServed),
            Some(_) if !fits(*ends, pace, &it.route, now) => Some(GrantRefusal::NotServed),
            Some(endpoint) if !endpoint.record.admits(it.accepts, it.trial, 0, now) => Some(GrantRefusal::Suspect),
            Some(_) if it.needs_allowance && !allowance.allows(it.repeat(), now) => {
                Some(GrantRefusal::RetryBudgetExhausted)
            }
            Some(_) => None,
        };
        while let Some(waiter) = queue.take(|it| refusal(it).is_some()) {
            let why = refusal(&waiter).expect("it was taken out for that");
            if let Some(at) = senders.iter().position(|it| it.0 == waiter.id) {
                // An ingress that is gone needs no answer.
                _ = senders.swap_remove(at).1.send(Err(why));
            }
        }
    }
}

/// Whether work of `route` that begins now is likely to end by `ends`, when this proxy stops.
fn fits(ends: Option<Instant>, pace: &Pace, route: &str, now: Instant) -> bool {
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
            self.guard.end(grant.id, RunEnd::NotRun(NotRunReason::NoGrant));
            return;
        }
        let mut state = self.guard.state.borrow_mut();
        state.queue.remove(self.id);
        state.senders.retain(|it| it.0 != self.id);
    }
}
