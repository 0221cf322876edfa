//! Nested calls of the endpoint's runs: which requests of this VM they are, which services they go to, and which failed
//! runs they explain.

use std::time::Instant;

use super::{
    Guard, GuardState,
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

/// The maximum number of remembered runs that may still be running; well above the slots of an endpoint.
const MAX_UNFINISHED: usize = 256;

impl Guard {
    /// Classifies a request that this VM received for `route` and `service`, and that expires at `deadline`, as a
    /// caller request or a nested call.
    pub fn classify_origin(&self, route: &str, service: &str, deadline: Instant) -> RequestOrigin {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let GuardState { ledger, unfinished, origin_tracker, nested_calls, .. } = &mut *state;
        let active_runs = ledger.active_runs();
        let unfinished_runs = unfinished.iter().filter_map(GrantEntry::as_active_run).filter(|it| now < it.2.deadline);
        let to_running_work = |(id, route, it): (GrantId, _, &ActiveRun)| RunningWork {
            id,
            route,
            deadline: it.deadline,
            retry_share: it.retry_share,
        };
        let running_work: Vec<RunningWork<'_>> = active_runs.chain(unfinished_runs).map(to_running_work).collect();
        let origin = origin_tracker.classify(route, deadline, &running_work);
        if let RequestOrigin::NestedCall { parents, .. } = &origin {
            let mut routes = running_work.iter().filter(|it| parents.contains(&it.id)).map(|it| it.route);
            // The calling route is certain only if all possible parents have the same one.
            if let Some(caller) = routes.next().filter(|it| routes.all(|other| other == *it)) {
                record_nested_call(nested_calls, caller, service);
            }
        }
        origin
    }

    /// The routes of those of `grants` that are running here or may still run.
    pub fn routes_of_grants(&self, grants: &[GrantId]) -> Vec<RouteName> {
        let state = self.state.borrow();
        let active_runs = state.ledger.active_runs();
        let unfinished_runs = state.unfinished.iter().filter_map(GrantEntry::as_active_run);
        let matching_runs = active_runs.chain(unfinished_runs).filter(|it| grants.contains(&it.0));
        matching_runs.map(|it| it.1.into()).collect()
    }

    /// Whether callers use `route`, by the reservations requested here; `None` if there were too few.
    pub fn callers_use_route(&self, route: &str) -> Option<bool> {
        self.state.borrow().origin_tracker.used_by_callers(route)
    }

    /// Stores whether callers use `route`, as reported by a guard of its service.
    pub fn set_callers_use_route(&self, route: &str, used_by_callers: bool) {
        self.state.borrow_mut().origin_tracker.set_used_by_callers(route, used_by_callers);
    }

    /// Removes the data of all routes for which `keep` is false.
    pub fn retain_routes(&self, keep: impl Fn(&str) -> bool) {
        let mut state = self.state.borrow_mut();
        state.origin_tracker.retain(&keep);
        state.service_times.retain(&keep);
        state.nested_calls.retain(|it| keep(&it.0));
    }

    /// Whether runs of `route` called a service through this proxy for which `matches_service` is true.
    pub fn calls_matching_service(&self, route: &str, matches_service: impl Fn(&str) -> bool) -> bool {
        self.state.borrow().nested_calls.iter().any(|it| *it.0 == *route && matches_service(&it.1))
    }

    /// Records a failed nested call of one of the runs `parents`.
    pub fn record_failed_call(&self, parents: &[GrantId]) {
        let mut state = self.state.borrow_mut();
        state.last_failed_call_id += 1;
        let call = state.last_failed_call_id;
        state.ledger.add_failed_call(call, parents);
    }
}

impl GuardState {
    /// Remembers a run that ended here but may still run at the endpoint, and drops those past their deadline.
    pub(super) fn keep_unfinished(&mut self, entry: GrantEntry, now: Instant) {
        self.unfinished.retain(|it| it.active_run.as_ref().is_some_and(|it| now < it.deadline));
        if self.unfinished.len() < MAX_UNFINISHED {
            self.unfinished.push(entry);
        }
    }
}

/// Records that runs of `route` call `service`.
fn record_nested_call(nested_calls: &mut Vec<(RouteName, ServiceName)>, route: &str, service: &str) {
    if let Err(at) = nested_calls.binary_search_by(|it| (&*it.0, &*it.1).cmp(&(route, service))) {
        nested_calls.insert(at, (route.into(), service.into()));
    }
}
