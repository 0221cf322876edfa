//! Tracks which incarnation of an endpoint runs on this VM and whether it accepts requests.
//!
//! Late announcements of a former incarnation must not replace the current one, nor bring back one whose leaving was
//! acknowledged before this process started, and a silent endpoint must not get requests.

use std::{rc::Rc, time::Instant};

use super::{Announcement, AnnouncementEffect, Endpoint, EndpointPhase, Guard, notices};
use crate::{
    decide::{
        incarnation::{
            self, AnnouncementClass, DEAD_AFTER_HEARTBEATS, EndpointId, KnownIncarnation, UnconfirmedIncarnation,
            is_retired,
        },
        rate_limit::EndpointLimit,
        suspicion::StandingTracker,
    },
    proxy::{
        clock,
        endpoint::EndpointPool,
        events::Event,
        message::{NotRunReason, RunEnd},
    },
};

impl Guard {
    /// Handles an announcement of an endpoint.
    pub fn handle_announcement(self: &Rc<Self>, it: Announcement) -> AnnouncementEffect {
        let class = self.classify(&it);
        match class {
            AnnouncementClass::Stale => AnnouncementEffect::Unchanged,
            AnnouncementClass::Update => self.apply_update(&it),
            AnnouncementClass::NewIncarnation => {
                self.replace_endpoint(it, "announced");
                AnnouncementEffect::Changed
            }
            // An endpoint that leaves gets no requests, so it needs no confirmation.
            AnnouncementClass::Unconfirmed if it.phase == EndpointPhase::Leaving && self.has_no_endpoint() => {
                self.replace_endpoint(it, "announced");
                AnnouncementEffect::Changed
            }
            AnnouncementClass::Unconfirmed => {
                let mut state = self.state.borrow_mut();
                match it.phase {
                    EndpointPhase::Leaving => state.retire(it.id),
                    EndpointPhase::Serving => state.note_unconfirmed(it),
                }
                AnnouncementEffect::Unconfirmed
            }
        }
    }

    fn classify(&self, it: &Announcement) -> AnnouncementClass {
        let state = self.state.borrow();
        let known = state.endpoint.as_ref().map(|known| KnownIncarnation {
            id: &known.announcement.id,
            sequence: known.announcement.sequence,
            accepts_work: known.announcement.phase == EndpointPhase::Serving,
            missed_heartbeats: self.missed_heartbeats(known),
        });
        let unconfirmed = state.unconfirmed.as_ref().map(|unconfirmed| UnconfirmedIncarnation {
            id: &unconfirmed.announcement.id,
            first_sequence: unconfirmed.first_sequence,
            heartbeats_since_first: self.heartbeats_since(unconfirmed.first_seen),
        });
        incarnation::classify_announcement(known, unconfirmed, &state.retired, &it.id, it.sequence)
    }

    fn missed_heartbeats(&self, endpoint: &Endpoint) -> f64 {
        self.heartbeats_since(endpoint.last_seen)
    }

    fn heartbeats_since(&self, at: Instant) -> f64 {
        clock::now().saturating_duration_since(at).as_secs_f64() / self.announce_interval.as_secs_f64()
    }

    /// Applies a newer announcement of the current incarnation.
    fn apply_update(self: &Rc<Self>, it: &Announcement) -> AnnouncementEffect {
        let mut state = self.state.borrow_mut();
        let Some(known) = &mut state.endpoint else { return AnnouncementEffect::Unchanged };
        known.last_seen = clock::now();
        known.announcement.sequence = it.sequence;
        known.announcement.slots = it.slots;
        // A health check, by which the endpoint may have been found, doesn't tell whether it warms up.
        known.warmup_until = clock::now() + it.warmup_left;
        known.said_leaving |= it.phase == EndpointPhase::Leaving;
        let start_time_added = known.announcement.id.started_at.is_none() && it.id.started_at.is_some();
        if start_time_added {
            known.announcement.id = it.id.clone();
        }
        let starts_leaving = it.phase == EndpointPhase::Leaving && known.announcement.phase == EndpointPhase::Serving;
        let id = known.announcement.id.clone();
        drop(state);
        if it.phase == EndpointPhase::Leaving {
            self.said_leaving_changed.notify_waiters();
        }
        if starts_leaving {
            self.mark_leaving_by_own_word(&id, "announced");
            return AnnouncementEffect::Changed;
        }
        if start_time_added {
            self.row_changed.notify_one();
        }
        AnnouncementEffect::Unchanged
    }

    /// Handles a successful health check of the endpoint's address. The reply names the endpoint `name` but not its
    /// incarnation; `found` describes it, if the reply told enough.
    pub fn handle_health_reply(self: &Rc<Self>, name: &str, found: Option<Announcement>) {
        let mut state = self.state.borrow_mut();
        if let Some(known) = &mut state.endpoint
            && *known.announcement.id.name == *name
        {
            known.last_seen = clock::now();
            return;
        }
        let confirmed = state.unconfirmed.take_if(|it| *it.announcement.id.name == *name);
        // The endpoint's own announcement also tells its start and whether it warms up.
        let (next, why) = match (confirmed, found) {
            (Some(it), _) => (it.announcement, "announced, and confirmed by health check"),
            (None, Some(it)) => (it, "found by health check"),
            (None, None) => return,
        };
        if is_retired(&state.retired, &next.id) {
            return;
        }
        drop(state);
        self.replace_endpoint(next, why);
    }

    fn replace_endpoint(self: &Rc<Self>, it: Announcement, why: &str) {
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
        let warmup_until = now + it.warmup_left;
        let said_leaving = it.phase == EndpointPhase::Leaving;
        let next = Endpoint {
            announcement: it,
            pool,
            standing_tracker: StandingTracker::default(),
            last_seen: now,
            warmup_until,
            limit: EndpointLimit::default(),
            said_leaving,
        };
        state.unconfirmed = None;
        if let Some(previous) = state.endpoint.replace(next) {
            state.retire(previous.announcement.id);
            if let Ok(pool) = Rc::try_unwrap(previous.pool) {
                pool.close();
            }
        }
        drop(state);
        notices::set_limit_gauges(None);
        self.said_leaving_changed.notify_waiters();
        self.row_changed.notify_one();
        self.issue_grants();
    }

    /// Handles the deregistration of an endpoint. Without a start time it applies to any incarnation under that name.
    pub fn handle_deregistration(self: &Rc<Self>, id: EndpointId) {
        let known = self.state.borrow().endpoint.as_ref().map(|it| it.announcement.id.clone());
        match known {
            // The deregistration of a later incarnation also ends an earlier one.
            Some(it) if it.name == id.name && (id.started_at.is_none() || id.started_at >= it.started_at) => {
                self.mark_leaving_by_own_word(&it, "deregistered");
                self.state.borrow_mut().retire(id);
            }
            Some(_) | None => self.mark_leaving(&id, "deregistered"),
        }
    }

    /// Marks the endpoint `id` as leaving by its own word.
    pub(super) fn mark_leaving_by_own_word(self: &Rc<Self>, id: &EndpointId, why: &str) {
        if let Some(known) = self.state.borrow_mut().endpoint.as_mut().filter(|it| it.announcement.id == *id) {
            known.said_leaving = true;
        }
        self.said_leaving_changed.notify_waiters();
        self.mark_leaving(id, why);
    }

    /// Marks the endpoint `id` as leaving: it gets no new requests, and its unused grants are revoked.
    pub fn mark_leaving(self: &Rc<Self>, id: &EndpointId, why: &str) {
        let mut state = self.state.borrow_mut();
        match &mut state.endpoint {
            Some(known) if known.announcement.id == *id => {
                known.announcement.phase = EndpointPhase::Leaving;
                self.events.emit(&Event::Endpoint {
                    id: &id.name,
                    born: id.started_at,
                    service: &known.announcement.service,
                    phase: EndpointPhase::Leaving.name(),
                    sequence: known.announcement.sequence,
                    why,
                });
            }
            Some(_) | None => state.retire(id.clone()),
        }
        // Unused grants are revoked; an ingress that tries to use one gets "not run".
        let unused = state.ledger.unused_grants();
        drop(state);
        for grant in unused {
            self.end_grant(grant, RunEnd::NotRun(NotRunReason::NoGrant));
        }
        self.row_changed.notify_one();
        self.issue_grants();
    }

    /// Marks the endpoint as leaving if it has also missed its heartbeats; the caller could not connect to it.
    pub(super) fn mark_leaving_if_silent(self: &Rc<Self>, id: &EndpointId) {
        let state = self.state.borrow();
        let Some(endpoint) = state.endpoint.as_ref().filter(|it| it.announcement.id == *id) else { return };
        let silent = self.missed_heartbeats(endpoint) >= DEAD_AFTER_HEARTBEATS;
        drop(state);
        if silent {
            self.mark_leaving(id, "silent and unreachable");
        }
    }

    /// Issues grants only for requests that are likely to end before `work_deadline`. Stops at once if the endpoint
    /// was not seen for two heartbeat intervals, since it may be gone.
    pub fn drain_until(self: &Rc<Self>, work_deadline: Instant) {
        let mut state = self.state.borrow_mut();
        state.work_deadline = Some(work_deadline);
        let last_seen = state.endpoint.as_ref().map(|it| it.last_seen);
        drop(state);
        if last_seen.is_none_or(|it| clock::now().saturating_duration_since(it) > self.announce_interval * 2) {
            self.stop_granting();
        } else {
            self.issue_grants();
        }
    }

    /// Issues no more grants and refuses all waiting reservations.
    pub fn stop_granting(self: &Rc<Self>) {
        let id = self.state.borrow().endpoint.as_ref().map(|it| it.announcement.id.clone());
        if let Some(id) = id {
            self.mark_leaving(&id, "this proxy stops");
        }
    }
}
