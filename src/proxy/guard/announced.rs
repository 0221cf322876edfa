//! Which endpoint is beside this proxy, and whether it takes work.

use std::{rc::Rc, time::Instant};

use super::{Announced, Endpoint, EndpointPhase, Guard, Heard, State};
use crate::{
    decide::suspicion::Record,
    proxy::{
        clock,
        endpoint::EndpointPool,
        events::Event,
        message::{NotRun, RunEnd},
        view::EndpointId,
    },
};

/// An endpoint that fails and has not announced itself for this many times its rhythm is gone.
const SILENT_BEATS: u32 = 4;
/// How many former incarnations are remembered, for announcements that come late.
const RETIRED_KEPT: usize = 64;

impl Guard {
    /// Takes in an announcement.
    pub fn announced(self: &Rc<Self>, it: Announced) -> Heard {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        if state.retired.contains(&it.id) {
            return Heard::Known;
        }
        let silent = self.announce_every * 2;
        match &mut state.endpoint {
            Some(known) if known.announced.id == it.id => {
                if known.announced.sequence >= it.sequence {
                    return Heard::Known;
                }
                known.heard = now;
                known.announced.sequence = it.sequence;
                known.announced.slots = it.slots;
                let leaves = it.phase == EndpointPhase::Leaving && known.announced.phase == EndpointPhase::Serving;
                drop(state);
                if leaves {
                    self.leave(&it.id, "announced");
                    return Heard::Changed;
                }
                return Heard::Known;
            }
            Some(known)
                if known.announced.phase == EndpointPhase::Serving
                    && now.saturating_duration_since(known.heard) < silent =>
            {
                if it.phase == EndpointPhase::Leaving {
                    retire(&mut state, it.id);
                }
                return Heard::Doubtful;
            }
            Some(_) | None => (),
        }
        drop(state);
        self.replace(it, "announced");
        Heard::Changed
    }

    /// Takes in what the endpoint's address answered to a health question.
    pub fn found(self: &Rc<Self>, it: Announced) {
        let mut state = self.state.borrow_mut();
        if state.retired.contains(&it.id) {
            return;
        }
        if let Some(known) = &mut state.endpoint
            && known.announced.id == it.id
        {
            known.heard = clock::now();
            return;
        }
        drop(state);
        self.replace(it, "found by health");
    }

    fn replace(self: &Rc<Self>, it: Announced, why: &str) {
        let now = clock::now();
        self.events.emit(&Event::Endpoint {
            id: &it.id,
            service: &it.service,
            phase: it.phase.name(),
            sequence: it.sequence,
            why,
        });
        let mut state = self.state.borrow_mut();
        let pool = Rc::new(EndpointPool::new(it.address));
        let cold_until = now + it.cold_for;
        let next = Endpoint { announced: it, pool, record: Record::default(), heard: now, cold_until };
        if let Some(before) = state.endpoint.replace(next) {
            retire(&mut state, before.announced.id);
            if let Ok(pool) = Rc::try_unwrap(before.pool) {
                pool.close();
            }
        }
        drop(state);
        self.changed.notify_one();
        self.pump();
    }

    /// The endpoint `id` leaves: from now on it gets no new work.
    pub fn leave(self: &Rc<Self>, id: &str, why: &str) {
        let mut state = self.state.borrow_mut();
        match &mut state.endpoint {
            Some(known) if *known.announced.id == *id => {
                known.announced.phase = EndpointPhase::Leaving;
                self.events.emit(&Event::Endpoint {
                    id,
                    service: &known.announced.service,
                    phase: EndpointPhase::Leaving.name(),
                    sequence: known.announced.sequence,
                    why,
                });
            }
            Some(_) | None => retire(&mut state, id.into()),
        }
        // Places that are offered and not used yet are taken back: the ingress is told "not run".
        let offered = state.ledger.offered();
        drop(state);
        for grant in offered {
            self.end(grant, RunEnd::NotRun(NotRun::NoGrant));
        }
        self.changed.notify_one();
        self.pump();
    }

    /// A crashed endpoint says nothing; two signs together are enough.
    pub(super) fn forget_if_silent(self: &Rc<Self>, id: &str) {
        let state = self.state.borrow();
        let Some(endpoint) = state.endpoint.as_ref().filter(|it| *it.announced.id == *id) else { return };
        let silent = clock::now().saturating_duration_since(endpoint.heard) > self.announce_every * SILENT_BEATS;
        drop(state);
        if silent {
            self.leave(id, "silent and unreachable");
        }
    }

    /// Gives places only to work that is likely to end before `ends`; at once none if the endpoint may be gone.
    pub fn stop_soon(self: &Rc<Self>, ends: Instant) {
        let mut state = self.state.borrow_mut();
        state.ends = Some(ends);
        let heard = state.endpoint.as_ref().map(|it| it.heard);
        drop(state);
        if heard.is_none_or(|it| clock::now().saturating_duration_since(it) > self.announce_every * 2) {
            self.stop();
        } else {
            self.pump();
        }
    }

    /// Stops giving places: all that wait are sent elsewhere.
    pub fn stop(self: &Rc<Self>) {
        let id = self.state.borrow().endpoint.as_ref().map(|it| it.announced.id.clone());
        if let Some(id) = id {
            self.leave(&id, "this proxy stops");
        }
    }
}

fn retire(state: &mut State, id: EndpointId) {
    if state.retired.len() >= RETIRED_KEPT {
        state.retired.remove(0);
    }
    state.retired.push(id);
}
