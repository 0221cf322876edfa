//! What the endpoint says about itself in its answers, and what other proxies report of it.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{task::spawn_local, time::sleep};

use super::{Endpoint, EndpointPhase, Guard};
use crate::{
    decide::{
        incarnation::{EndpointId, is_retired},
        rate_limit::{EndpointLimit, LimitStatement, RequestRate},
    },
    proxy::{clock, endpoint::EndpointNotice, events::Event, message::EndpointReport},
};

/// Where this proxy learnt the endpoint's limit.
#[derive(Debug, Clone, Copy)]
enum LimitSource<'a> {
    /// From the answer to this request.
    Answer(&'a str),
    /// From the answer to a health check.
    HealthCheck,
    /// From a proxy that passed on an answer so long ago.
    Peer(Duration),
}

impl Guard {
    /// Handles the notice in an answer of the endpoint `id` to the request `request_id`, which was sent at `sent`.
    pub(super) fn handle_notice(
        self: &Rc<Self>,
        id: &EndpointId,
        notice: EndpointNotice,
        request_id: &str,
        sent: Instant,
    ) {
        let matches = |it: &Endpoint| it.announcement.id == *id;
        self.update_limit(matches, LimitSource::Answer(request_id), |it, now| {
            it.record_answer(notice.limit, sent, now);
        });
        if notice.leaving {
            self.leave_by_notice(id, &format!("said so in its answer to {request_id}"));
        }
    }

    /// Handles the answer to a health check of the endpoint `name`, which was sent at `sent`.
    pub fn handle_health_notice(self: &Rc<Self>, name: &str, limit: LimitStatement, sent: Instant) {
        let matches = |it: &Endpoint| *it.announcement.id.name == *name;
        self.update_limit(matches, LimitSource::HealthCheck, |it, now| it.record_health_check(limit, sent, now));
    }

    /// Handles the answer to a health check by which the endpoint `name` is leaving.
    pub fn handle_health_leaving(self: &Rc<Self>, name: &str) {
        let known = self.state.borrow().endpoint.as_ref().map(|it| it.announcement.id.clone());
        let id = known
            .filter(|it| *it.name == *name)
            .unwrap_or_else(|| EndpointId { name: name.into(), started_at: Some(clock::unix_millis()) });
        self.leave_by_notice(&id, "said so in its answer to a health check");
    }

    /// Handles what a proxy reports about this VM's endpoint.
    pub fn apply_endpoint_report(self: &Rc<Self>, report: &EndpointReport) {
        let EndpointReport { endpoint, limit, leaving, age } = report;
        let unix_now = clock::unix_millis();
        let matches = |it: &Endpoint| report.may_be_about(&it.announcement.id, unix_now);
        if let Some(rate) = limit {
            self.update_limit(matches, LimitSource::Peer(*age), |it, now| it.record_report(*rate, now));
        }
        if !*leaving {
            return;
        }
        let known = self.state.borrow().endpoint.as_ref().map(|it| it.announcement.id.clone());
        // While the current incarnation's start is unknown here, it may be a later one under the same name.
        let is_current = |it: &EndpointId| {
            report.may_be_about(it, unix_now) && (it.started_at.is_some() || endpoint.started_at.is_none())
        };
        let said_at = unix_now.saturating_sub(u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        let id = known.filter(is_current).unwrap_or_else(|| EndpointId {
            name: endpoint.name.clone(),
            started_at: Some(endpoint.started_at.unwrap_or(said_at)),
        });
        self.leave_by_notice(&id, "said so in an answer that a peer passed on");
    }

    /// Marks the endpoint `id` as leaving because of what it said, unless that is known.
    fn leave_by_notice(self: &Rc<Self>, id: &EndpointId, why: &str) {
        let mut state = self.state.borrow_mut();
        let retired = is_retired(&state.retired, id);
        match state.endpoint.as_mut().filter(|it| it.announcement.id == *id) {
            Some(it) if it.announcement.phase == EndpointPhase::Leaving => {
                it.said_leaving = true;
                self.said_leaving_changed.notify_waiters();
            }
            Some(_) => {
                drop(state);
                self.mark_leaving_by_own_word(id, why);
            }
            None if retired => (),
            None => state.retire(id.clone()),
        }
    }

    /// Whether the endpoint's limit is so low that only health checks tell in time when it ends.
    pub fn needs_health_check(&self) -> bool {
        self.state.borrow().serving().is_some_and(|it| it.limit.needs_health_check())
    }

    /// What the endpoint's answers state about its limit.
    pub fn limit_statement(&self) -> LimitStatement {
        self.state.borrow().serving().map(|it| it.limit.statement()).unwrap_or_default()
    }

    /// The endpoint's limit and the time until a request that is reserved now may start by it.
    pub fn limit(&self) -> Option<(RequestRate, Duration)> {
        let state = self.state.borrow();
        let limit = &state.serving()?.limit;
        Some((limit.rate()?, limit.delay(state.queue.len() + 1, clock::now())))
    }

    /// The time until a request that is reserved now may start, by the endpoint's limit.
    pub fn start_delay(&self) -> Duration {
        self.limit().map_or(Duration::ZERO, |it| it.1)
    }

    /// Applies `record` to the limit of the current endpoint if `matches` is true for it, and reports a change.
    fn update_limit(
        self: &Rc<Self>,
        matches: impl Fn(&Endpoint) -> bool,
        source: LimitSource<'_>,
        record: impl FnOnce(&mut EndpointLimit, Instant),
    ) {
        let mut state = self.state.borrow_mut();
        let Some(endpoint) = state.endpoint.as_mut().filter(|it| matches(it)) else { return };
        let before = (endpoint.limit.rate(), endpoint.limit.statement());
        record(&mut endpoint.limit, clock::now());
        let after = (endpoint.limit.rate(), endpoint.limit.statement());
        let id = endpoint.announcement.id.clone();
        drop(state);
        if after.0 != before.0 {
            self.report_limit(&id, after.0, before.0, source);
        }
        if after != before {
            self.standing_changed.notify_one();
            self.issue_grants();
        }
    }

    fn report_limit(
        &self,
        id: &EndpointId,
        rate: Option<RequestRate>,
        before: Option<RequestRate>,
        source: LimitSource<'_>,
    ) {
        let (source, request, age) = match source {
            LimitSource::Answer(request) => ("answer", request, Duration::ZERO),
            LimitSource::HealthCheck => ("health check", "", Duration::ZERO),
            LimitSource::Peer(age) => ("peer", "", age),
        };
        self.events.emit(&Event::Limit { endpoint: &id.name, rate, before, source, request, age_ms: age.as_millis() });
        set_limit_gauges(rate);
    }

    /// Issues grants again once the endpoint's limit lets the next request start, if one waits for that.
    pub(super) fn wake_when_limit_allows(self: &Rc<Self>) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        if state.queue.is_empty() {
            return;
        }
        let Some(delay) = state.serving().map(|it| it.limit.delay(1, now)).filter(|it| !it.is_zero()) else { return };
        if state.next_wake.is_some_and(|it| it <= now + delay) {
            return;
        }
        state.next_wake = Some(now + delay);
        drop(state);
        let guard = Rc::clone(self);
        spawn_local(async move {
            sleep(delay).await;
            guard.state.borrow_mut().next_wake = None;
            guard.issue_grants();
        });
    }
}

/// Sets the gauges of the endpoint's limit; `None` for no limit.
pub(super) fn set_limit_gauges(rate: Option<RequestRate>) {
    metrics::gauge!("jayreach_endpoint_limited").set(f64::from(u8::from(rate.is_some())));
    metrics::gauge!("jayreach_endpoint_limit").set(rate.map_or(0.0, f64::from));
}
