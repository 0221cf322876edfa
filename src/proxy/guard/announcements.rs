//! Which endpoint is beside this proxy, and whether it takes work.

use std::{rc::Rc, time::Instant};

use super::{Announcement, AnnouncementEffect, Endpoint, EndpointPhase, Guard, State};
use crate::{
    decide::{
        incarnation::{self, AnnouncementClass, DEAD_AFTER_HEARTBEATS, EndpointId, KnownIncarnation, is_retired},
        suspicion::StandingTracker,
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
    pub fn handle_announcement(self: &Rc<Self>, it: Announcement) -> AnnouncementEffect {
        let verdict = self.judge(&it);
        match verdict {
            AnnouncementClass::Stale => AnnouncementEffect::Unchanged,
            AnnouncementClass::Update => self.heard_again(&it),
            AnnouncementClass::NewIncarnation => {
                self.replace(it, "announced");
                AnnouncementEffect::Changed
            }
            AnnouncementClass::Unconfirmed => {
                if it.phase == EndpointPhase::Leaving {
                    retire(&mut self.state.borrow_mut(), it.id);
                }
                AnnouncementEffect::Conflicting
            }
        }
    }

    fn judge(&self, it: &Announcement) -> AnnouncementClass {
        let state = self.state.borrow();
        let known = state.endpoint.as_ref().map(|known| KnownIncarnation {
            id: &known.announced.id,
            sequence: known.announced.sequence,
            accepts_work: known.announced.phase == EndpointPhase::Serving,
            missed_heartbeats: self.silent_beats(known),
        });
        incarnation::classify_announcement(known, &state.retired, &it.id, it.sequence)
    }

    fn silent_beats(&self, endpoint: &Endpoint) -> f64 {
        let silent = clock::now().saturating_duration_since(endpoint.heard);
        silent.as_secs_f64() / self.announce_every.as_secs_f64()
    }

    /// The known life of the endpoint announced itself once more.
    fn heard_again(self: &Rc<Self>, it: &Announcement) -> AnnouncementEffect {
        let mut state = self.state.borrow_mut();
        let Some(known) = &mut state.endpoint else { return AnnouncementEffect::Unchanged };
        known.heard = clock::now();
        known.announced.sequence = it.sequence;
        known.announced.slots = it.slots;
        let says_its_start = known.announced.id.started_at.is_none() && it.id.started_at.is_some();
        if says_its_start {
            known.announced.id = it.id.clone();
        }
        let leaves = it.phase == EndpointPhase::Leaving && known.announced.phase == EndpointPhase::Serving;
        let id = known.announced.id.clone();
        drop(state);
        if leaves {
            self.mark_leaving(&id, "announced");
            return AnnouncementEffect::Changed;
        }
        if says_its_start {
            self.row_changed.notify_one();
        }
        AnnouncementEffect::Unchanged
    }

    /// Takes in what the endpoint's address answered to a health question, which does not tell its life.
    pub fn handle_health_reply(self: &Rc<Self>, it: Announcement) {
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

    fn replace(self: &Rc<Self>, it: Announcement, why: &str) {
        let now = clock::now();
        self.events.emit(&Event::Endpoint {
            id: &it.id.name,
            born: it.id.started_at,
            service: &it.service,
            phase: it.phase.name(),
            sequence: it.sequence,
            why,
        });
        let mut state = self.state.borrow_mut();
        let pool = Rc::new(EndpointPool::new(it.address));
        let cold_until = now + it.warmup_left;
        let next = Endpoint { announced: it, pool, record: StandingTracker::default(), heard: now, cold_until };
        if let Some(before) = state.endpoint.replace(next) {
            retire(&mut state, before.announced.id);
            if let Ok(pool) = Rc::try_unwrap(before.pool) {
                pool.close();
            }
        }
        drop(state);
        self.row_changed.notify_one();
        self.issue_grants();
    }

    /// The endpoint `name` says that it is gone, in the life that began at `born` if it says so.
    pub fn handle_deregistration(self: &Rc<Self>, told: EndpointId) {
        let known = self.state.borrow().endpoint.as_ref().map(|it| it.announced.id.clone());
        match known {
            // What a later life says ends an earlier one as well.
            Some(it) if it.name == told.name && (told.started_at.is_none() || told.started_at >= it.started_at) => {
                self.mark_leaving(&it, "deregistered");
                retire(&mut self.state.borrow_mut(), told);
            }
            Some(_) | None => self.mark_leaving(&told, "deregistered"),
        }
    }

    /// The endpoint `id` leaves: from now on it gets no new work.
    pub fn mark_leaving(self: &Rc<Self>, id: &EndpointId, why: &str) {
        let mut state = self.state.borrow_mut();
        match &mut state.endpoint {
            Some(known) if known.announced.id == *id => {
                known.announced.phase = EndpointPhase::Leaving;
                self.events.emit(&Event::Endpoint {
                    id: &id.name,
                    born: id.started_at,
                    service: &known.announced.service,
                    phase: EndpointPhase::Leaving.name(),
                    sequence: known.announced.sequence,
                    why,
                });
            }
            Some(_) | None => retire(&mut state, id.clone()),
        }
        // Places that are offered and not used yet are taken back: the ingress is told "not run".
        let offered = state.ledger.unused_grants();
        drop(state);
        for grant in offered {
            self.end_grant(grant, RunEnd::NotRun(NotRunReason::NoGrant));
        }
        self.row_changed.notify_one();
        self.issue_grants();
    }

    /// A crashed endpoint says nothing; two signs together are enough.
    pub(super) fn mark_leaving_if_silent(self: &Rc<Self>, id: &EndpointId) {
        let state = self.state.borrow();
        let Some(endpoint) = state.endpoint.as_ref().filter(|it| it.announced.id == *id) else { return };
        let silent = self.silent_beats(endpoint) >= DEAD_AFTER_HEARTBEATS;
        drop(state);
        if silent {
            self.mark_leaving(id, "silent and unreachable");
        }
    }

    /// Gives places only to work that is likely to end before `ends`; at once none if the endpoint may be gone.
    pub fn drain_until(self: &Rc<Self>, ends: Instant) {
        let mut state = self.state.borrow_mut();
        state.ends = Some(ends);
        let heard = state.endpoint.as_ref().map(|it| it.heard);
        drop(state);
        if heard.is_none_or(|it| clock::now().saturating_duration_since(it) > self.announce_every * 2) {
            self.stop_granting();
        } else {
            self.issue_grants();
        }
    }

    /// Stops giving places: all that wait are sent elsewhere.
    pub fn stop_granting(self: &Rc<Self>) {
        let id = self.state.borrow().endpoint.as_ref().map(|it| it.announced.id.clone());
        if let Some(id) = id {
            self.mark_leaving(&id, "this proxy stops");
        }
    }
}

/// Remembers that a life is over. One that never told its start is over with all lives that began until now.
fn retire(state: &mut State, id: EndpointId) {
    if state.retired.len() >= RETIRED_KEPT {
        state.retired.remove(0);
    }
    let born = id.started_at.unwrap_or_else(clock::unix_millis);
    state.retired.push(EndpointId { started_at: Some(born), ..id });
}
