//! Places at the endpoint: who waits for one, who gets one, and when it is taken back.

use std::{rc::Rc, time::Duration};

use tokio::{sync::oneshot, task::spawn_local, time::sleep};

use super::{EndpointPhase, Guard, State, Surroundings, count, ledger::Purpose};
use crate::{
    decide::{
        suspicion::Standing,
        wait_queue::{Waiter, WaiterId},
    },
    proxy::{
        clock,
        message::{Arrival, Grant, GrantId, NotRun, Refusal, Reserve, RunEnd},
    },
};

/// How long a place is kept for an ingress that does not use it: many round trips between data
/// centres, and short beside the work.
const GRANT_TTL: Duration = Duration::from_millis(300);
/// An endpoint that warms up works at about half its speed.
const COLD_PART: u32 = 2;

impl Guard {
    /// Waits for a place. Dropping the future takes the wish, or the place, back.
    pub async fn reserve(self: &Rc<Self>, req: &Reserve, known: Surroundings) -> Result<Grant, Refusal> {
        let now = clock::now();
        let (tx, rx) = oneshot::channel();
        let id = {
            let mut state = self.state.borrow_mut();
            let Some(endpoint) = &state.endpoint else { return Err(Refusal::Elsewhere) };
            let announced = &endpoint.announced;
            if announced.service != req.service || announced.phase == EndpointPhase::Leaving {
                return Err(Refusal::Elsewhere);
            }
            if !endpoint.record.admits(req.accepts, req.trial, count(state.ledger.trials()), now) {
                return Err(Refusal::Suspect);
            }
            state.allowance.share_with(known.guards);
            let allowed = !known.calls_tight && state.allowance.allows(req.call);
            if req.arrival == Arrival::Repeat && !allowed {
                return Err(Refusal::NoAllowance);
            }
            state.last_waiter += 1;
            let id = state.last_waiter;
            state.queue.push(Waiter {
                id,
                call: req.call,
                rank: req.rank,
                idempotent: req.idempotent,
                trial: req.trial,
                accepts: req.accepts,
                arrived: now,
                useful_until: now + req.useful_for,
                needs_allowance: req.arrival == Arrival::Repeat,
                repeat: req.arrival != Arrival::First,
                route: req.route.clone(),
            });
            state.senders.push((id, tx));
            id
        };
        let mut wish = Wish { guard: self, id, rx };
        self.pump();
        (&mut wish.rx).await.unwrap_or(Err(Refusal::Elsewhere))
    }

    /// Gives free places to those that wait, in order.
    pub(super) fn pump(self: &Rc<Self>) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let State { endpoint, queue, senders, ledger, allowance, .. } = &mut *state;
        let serving = endpoint.as_mut().filter(|it| it.announced.phase == EndpointPhase::Serving);
        let Some(endpoint) = serving else {
            queue.drain();
            for (_, tx) in senders.drain(..) {
                // An ingress that is gone needs no answer.
                _ = tx.send(Err(Refusal::Elsewhere));
            }
            return;
        };
        let limit = if now < endpoint.cold_until {
            endpoint.announced.slots.div_ceil(COLD_PART)
        } else {
            endpoint.announced.slots
        };
        let mut offered = Vec::new();
        while count(ledger.len()) < limit {
            let trials = count(ledger.trials());
            let allowed = |it: &Waiter| allowance.allows(it.call) || !it.needs_allowance;
            let admits = |it: &Waiter| endpoint.record.admits(it.accepts, it.trial, trials, now) && allowed(it);
            let Some(waiter) = queue.next(now, admits) else { break };
            let Some(at) = senders.iter().position(|it| it.0 == waiter.id) else { continue };
            let (_, tx) = senders.swap_remove(at);
            let purpose = Purpose {
                route: waiter.route,
                idempotent: waiter.idempotent,
                repeat: waiter.repeat,
                trial: endpoint.record.standing() != Standing::Clean,
            };
            endpoint.record.begun(now);
            let grant = ledger.offer(endpoint.announced.id.clone(), purpose);
            let id = grant.id;
            if tx.send(Ok(grant)).is_err() {
                ledger.end(id, RunEnd::NotRun(NotRun::NoGrant), now);
                continue;
            }
            allowance.count(waiter.repeat);
            offered.push(id);
        }
        // Work that can't begin here is better off elsewhere.
        let suspect = |it: &Waiter| !endpoint.record.admits(it.accepts, it.trial, 0, now);
        let refused = |it: &Waiter| suspect(it) || (it.needs_allowance && !allowance.allows(it.call));
        while let Some(waiter) = queue.next(now, refused) {
            let why = if suspect(&waiter) { Refusal::Suspect } else { Refusal::NoAllowance };
            if let Some(at) = senders.iter().position(|it| it.0 == waiter.id) {
                // An ingress that is gone needs no answer.
                _ = senders.swap_remove(at).1.send(Err(why));
            }
        }
        drop(state);
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
                guard.end(id, RunEnd::NotRun(NotRun::NoGrant));
            }
        });
    }
}

/// A wish for a place, taken back when its future is dropped.
struct Wish<'a> {
    guard: &'a Rc<Guard>,
    id: WaiterId,
    rx: oneshot::Receiver<Result<Grant, Refusal>>,
}

impl Drop for Wish<'_> {
    fn drop(&mut self) {
        // A place that was given and not taken yet is free again.
        if let Ok(Ok(grant)) = self.rx.try_recv() {
            self.guard.end(grant.id, RunEnd::NotRun(NotRun::NoGrant));
            return;
        }
        let mut state = self.guard.state.borrow_mut();
        state.queue.remove(self.id);
        state.senders.retain(|it| it.0 != self.id);
    }
}
