//! Calls that the endpoint's work makes: which requests of this VM they are, what they go to, and what their failure explains.

use std::time::Instant;

use super::{
    Guard, State,
    ledger::{ActiveRun, GrantEntry},
};
use crate::{
    decide::origin::{RequestOrigin, RunningWork},
    proxy::{
        clock,
        message::GrantId,
        routes::{RouteName, ServiceName},
    },
};

/// How much work that may go on is remembered; far above what an endpoint works on at once.
const LINGERING_KEPT: usize = 256;

impl Guard {
    /// Where a request of this VM of the class `route`, for `service`, began that expires at `until`.
    pub fn classify_origin(&self, route: &str, service: &str, until: Instant) -> RequestOrigin {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let State { ledger, lingering, origins, calls, .. } = &mut *state;
        let running = ledger.active_runs();
        let gone_on = lingering.iter().filter_map(GrantEntry::as_active_run).filter(|it| now < it.2.deadline);
        let work = |(id, route, it): (GrantId, _, &ActiveRun)| RunningWork {
            id,
            route,
            deadline: it.deadline,
            repeat_share: it.retry_share,
        };
        let works: Vec<RunningWork<'_>> = running.chain(gone_on).map(work).collect();
        let origin = origins.classify(route, until, &works);
        if let RequestOrigin::NestedCall { parents, .. } = &origin {
            let mut routes = works.iter().filter(|it| parents.contains(&it.id)).map(|it| it.route);
            // Only where it is certain which class called.
            if let Some(caller) = routes.next().filter(|it| routes.all(|other| other == *it)) {
                note_call(calls, caller, service);
            }
        }
        origin
    }

    /// The classes of those of `works` that run here, or may go on.
    pub fn routes_of_grants(&self, works: &[GrantId]) -> Vec<RouteName> {
        let state = self.state.borrow();
        let running = state.ledger.active_runs();
        let gone_on = state.lingering.iter().filter_map(GrantEntry::as_active_run);
        let named = running.chain(gone_on).filter(|it| works.contains(&it.0));
        named.map(|it| it.1.into()).collect()
    }

    /// Whether callers use `route`, as far as its requests for places here say.
    pub fn callers_use_route(&self, route: &str) -> Option<bool> {
        self.state.borrow().origins.used_by_callers(route)
    }

    /// Takes in whether callers use `route`, as a guard of its service says.
    pub fn set_callers_use_route(&self, route: &str, is_callers: bool) {
        self.state.borrow_mut().origins.set_used_by_callers(route, is_callers);
    }

    /// Forgets routes that `keep` does not name.
    pub fn retain_routes(&self, keep: impl Fn(&str) -> bool) {
        let mut state = self.state.borrow_mut();
        state.origins.retain(&keep);
        state.pace.retain(&keep);
        state.calls.retain(|it| keep(&it.0));
    }

    /// Whether work of `route` called a service here for which `tight` holds.
    pub fn calls_matching_service(&self, route: &str, tight: impl Fn(&str) -> bool) -> bool {
        self.state.borrow().calls.iter().any(|it| *it.0 == *route && tight(&it.1))
    }

    /// A call of one of `parents`, which run here, was not answered well.
    pub fn record_failed_call(&self, parents: &[GrantId]) {
        let mut state = self.state.borrow_mut();
        state.last_failed_call += 1;
        let call = state.last_failed_call;
        state.ledger.add_failed_call(call, parents);
    }
}

impl State {
    /// Remembers work that may go on at the endpoint.
    pub(super) fn keep_unfinished(&mut self, given: GrantEntry, now: Instant) {
        self.lingering.retain(|it| it.active_run.as_ref().is_some_and(|it| now < it.deadline));
        if self.lingering.len() < LINGERING_KEPT {
            self.lingering.push(given);
        }
    }
}

/// Writes down that work of the class `route` calls `service`.
fn note_call(calls: &mut Vec<(RouteName, ServiceName)>, route: &str, service: &str) {
    if let Err(at) = calls.binary_search_by(|it| (&*it.0, &*it.1).cmp(&(route, service))) {
        calls.insert(at, (route.into(), service.into()));
    }
}
