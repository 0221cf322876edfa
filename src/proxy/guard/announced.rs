//! Which endpoint is beside this proxy, and whether it takes work.

use std::{rc::Rc, time::Instant};

use super::{Announced, Endpoint, EndpointPhase, Guard, Heard, State};
use crate::{
    decide::{
        life::{self, EndpointId, KnownLife, SILENT_BEATS, Verdict, is_retired},
        suspicion::Record,
    },
    proxy::{
        clock,
        endpoint::EndpointPool,
        events::Event,
        message::{NotRunReason, RunEnd},
    },
};

/// How many former lives are remembered, for announcements that come late.
const RETIRED_KEPT: usize = 64;

impl Guard {
    /// Takes in an announcement.
    pub fn announced(self: &Rc<Self>, it: Announced) -> Heard {
        let verdict = self.judge(&it);
        match verdict {
            Verdict::Late => Heard::Known,
            Verdict::Same => self.heard_again(&it),
            Verdict::Later => {
                self.replace(it, "announced");
                Heard::Changed
            }
            Verdict::Doubtful => {
                if it.phase == EndpointPhase::Leaving {
                    retire(&mut self.state.borrow_mut(), it.id);
                }
                Heard::Doubtful
            }
        }
    }

    fn judge(&self, it: &Announced) -> Verdict {
        let state = self.state.borrow();
        let known = state.endpoint.as_ref().map(|known| KnownLife {
            id: &known.announced.id,
            sequence: known.announced.sequence,
            serves: known.announced.phase == EndpointPhase::Serving,
            silent_beats: self.silent_beats(known),
        });
        life::judge(known, &state.retired, &it.id, it.sequence)
    }

    fn silent_beats(&self, endpoint: &Endpoint) -> f64 {
        let silent = clock::now().saturating_duration_since(endpoint.heard);
        silent.as_secs_f64() / self.announce_every.as_secs_f64()
    }

    /// The known life of the endpoint announced itself once more.
    fn heard_again(self: &Rc<Self>, it: &Announced) -> Heard {
        let mut state = self.state.borrow_mut();
        let Some(known) = &mut state.endpoint else { return Heard::Known };
        known.heard = clock::now();
        known.announced.sequence = it.sequence;
        known.announced.slots = it.slots;
        let says_its_start = known.announced.id.born.is_none() && it.id.born.is_some();
        if says_its_start {
            known.announced.id = it.id.clone();
        }
        let leaves = it.phase == EndpointPhase::Leaving && known.announced.phase == EndpointPhase::Serving;
        let id = known.announced.id.clone();
        drop(state);
        if leaves {
            self.leave(&id, "announced");
            return Heard::Changed;
        }
        if says_its_start {
            self.changed.notify_one();
        }
        Heard::Known
    }

    /// Takes in what the endpoint's address answered to a health question, which does not tell its life.
    pub fn found(self: &Rc<Self>, it: Announced) {
        let mut state = self.state.borrow_mut();
        if let Some(known) = &mut state.endpoint
            && known.announced.id.name == it.id.name
        {
            known.heard = clock::now();
            return;
        }
        if is_retired(&state.retired, &it.id) {
            return;
        }
        drop(state);
        self.replace(it, "found by health");
    }

    fn replace(self: &Rc<Self>, it: Announced, why: &str) {
        let now = clock::now();
        self.events.emit(&Event::Endpoint {
            id: &it.id.name,
            born: it.id.born,
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

    /// The endpoint `name` says that it is gone, in the life that began at `born` if it says so.
    pub fn deregistered(self: &Rc<Self>, told: EndpointId) {
        let known = self.state.borrow().endpoint.as_ref().map(|it| it.announced.id.clone());
        match known {
            // What a later life says ends an earlier one as well.
            Some(it) if it.name == told.name && (told.born.is_none() || told.born >= it.born) => {
                self.leave(&it, "deregistered");
                retire(&mut self.state.borrow_mut(), told);
            }
            Some(_) | None => self.leave(&told, "deregistered"),
        }
    }

    /// The endpoint `id` leaves: from now on it gets no new work.
    pub fn leave(self: &Rc<Self>, id: &EndpointId, why: &str) {
        let mut state = self.state.borrow_mut();
        match &mut state.endpoint {
            Some(known) if known.announced.id == *id => {
                known.announced.phase = EndpointPhase::Leaving;
                self.events.emit(&Event::Endpoint {
                    id: &id.name,
                    born: id.born,
                    service: &known.announced.service,
                    phase: EndpointPhase::Leaving.name(),
                    sequence: known.announced.sequence,
                    why,
                });
            }
            Some(_) | None => retire(&mut state, id.clone()),
        }
        // Places that are offered and not used yet are taken back: the ingress is told "not run".
        let offered = state.ledger.offered();
        drop(state);
        for grant in offered {
            self.end(grant, RunEnd::NotRun(NotRunReason::NoGrant));
        }
        self.changed.notify_one();
        self.pump();
    }

    /// A crashed endpoint says nothing; two signs together are enough.
    pub(super) fn forget_if_silent(self: &Rc<Self>, id: &EndpointId) {
        let state = self.state.borrow();
        let Some(endpoint) = state.endpoint.as_ref().filter(|it| it.announced.id == *id) else { return };
        let silent = self.silent_beats(endpoint) >= SILENT_BEATS;
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

/// Remembers that a life is over. One that never told its start is over with all lives that began until now.
fn retire(state: &mut State, id: EndpointId) {
    if state.retired.len() >= RETIRED_KEPT {
        state.retired.remove(0);
    }
    let born = id.born.unwrap_or_else(clock::unix_millis);
    state.retired.push(EndpointId { born: Some(born), ..id });
}
