//! Decides whether a request that a proxy receives on its VM comes from a caller or is a nested call of a request
//! running at the VM's endpoint. Nested calls go first: a running request keeps its slot until they are answered, so
//! without this rule endpoints with all slots taken would wait for each other.
//!
//! No request says which it is. But an endpoint makes calls only through the proxy of its VM, only while a request runs
//! there, and a call expires no later than the request that makes it. So what expires later than all requests running
//! here certainly comes from a caller. Many requests of a route that callers use are certain, none of one that only
//! endpoints call; the guards of a service see all requests of a route, so they count these for the ingresses.

use std::time::{Duration, Instant};

/// Tolerance when the deadline of a nested call is compared with its parent's, which it may seem to exceed: timeouts
/// are sent in whole milliseconds, and the call's time in transit is not subtracted.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(100);

/// A request that may be running at the endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunningWork<'a> {
    /// Its grant's id at the guard.
    pub id: u64,
    /// The route by which it was sent.
    pub route: &'a str,
    /// The deadline given to the endpoint.
    pub deadline: Instant,
    /// Share of it that counts as a retry, from 0 to 1.
    pub retry_share: f64,
}

/// Where a request comes from.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestOrigin {
    /// Sent by a caller.
    Caller {
        /// Whether no running request can have made it; otherwise it is taken for a caller's because callers use the
        /// route.
        certain: bool,
    },
    /// Made by a request that runs at the VM's endpoint.
    NestedCall {
        /// Ids of the running requests that may have made it; not empty.
        parents: Vec<u64>,
        /// Mean retry share of the parents, from 0 to 1, which the nested call inherits.
        retry_share: f64,
    },
}

/// Decaying counts of a route's requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct RouteCounts {
    /// Those that certainly come from callers.
    certain: f64,
    all: f64,
}

/// When a route's count of requests reaches this, its counts are halved.
const DECAY_AT: f64 = 512.0;
/// Requests needed before a route is classified.
const MIN_REQUESTS: f64 = 8.0;
/// Callers use a route if at least this share of its requests certainly comes from callers. It is above zero because a
/// nested call seems to be a caller's if the end of its parent was lost.
const MIN_CERTAIN_SHARE: f64 = 0.03;

impl RouteCounts {
    fn record(&mut self, certain: bool) {
        if self.all >= DECAY_AT {
            self.certain /= 2.0;
            self.all /= 2.0;
        }
        self.all += 1.0;
        self.certain += f64::from(u8::from(certain));
    }

    /// Whether callers use the route; `None` after too few requests.
    fn used_by_callers(&self) -> Option<bool> {
        (self.all >= MIN_REQUESTS).then_some(self.certain >= self.all * MIN_CERTAIN_SHARE)
    }
}

/// Tracks which routes callers use, and classifies requests by it.
///
/// Requests don't say whether they are nested calls. An endpoint sends nested calls through the proxy on its VM,
/// while it runs the parent, and with a deadline no later than the parent's. So a request with a later deadline than
/// all running requests certainly comes from a caller, and callers use the routes that have enough of these. The
/// guards of a service count them and report the result to the ingresses, which may see too few.
#[derive(Debug, Clone, Default)]
pub struct OriginTracker {
    /// Counts of the routes requested at this guard; sorted by route.
    counts: Vec<(Box<str>, RouteCounts)>,
    /// Whether callers use a route, as last reported by a guard of its service or shown by a request of this VM;
    /// sorted by route.
    reported: Vec<(Box<str>, bool)>,
}

impl OriginTracker {
    /// Classifies a request of this VM to `route` that expires at `deadline`; `running` are all requests that may be
    /// running at the endpoint.
    pub fn classify(&mut self, route: &str, deadline: Instant, running: &[RunningWork<'_>]) -> RequestOrigin {
        let may_be_parent = |it: &&RunningWork<'_>| it.deadline + DEADLINE_TOLERANCE >= deadline;
        let parents: Vec<&RunningWork<'_>> = running.iter().filter(may_be_parent).collect();
        if parents.is_empty() {
            self.set_used_by_callers(route, true);
            return RequestOrigin::Caller { certain: true };
        }
        if self.is_reported(route) {
            return RequestOrigin::Caller { certain: false };
        }
        let retry_shares: f64 = parents.iter().map(|it| it.retry_share).sum();
        RequestOrigin::NestedCall {
            retry_share: retry_shares / parents.len() as f64,
            parents: parents.into_iter().map(|it| it.id).collect(),
        }
    }

    /// Counts a request for a grant at this guard; `certain` if it certainly comes from a caller.
    pub fn record(&mut self, route: &str, certain: bool) {
        let at = match self.counts.binary_search_by(|it| (*it.0).cmp(route)) {
            Ok(at) => at,
            Err(at) => {
                self.counts.insert(at, (route.into(), RouteCounts::default()));
                at
            }
        };
        self.counts[at].1.record(certain);
    }

    /// Whether callers use `route`, by the requests counted at this guard; `None` after too few of them.
    pub fn used_by_callers(&self, route: &str) -> Option<bool> {
        let at = self.counts.binary_search_by(|it| (*it.0).cmp(route)).ok()?;
        self.counts[at].1.used_by_callers()
    }

    /// Sets whether callers use `route`, as reported by a guard of its service.
    pub fn set_used_by_callers(&mut self, route: &str, used_by_callers: bool) {
        match self.reported.binary_search_by(|it| (*it.0).cmp(route)) {
            Ok(at) => self.reported[at].1 = used_by_callers,
            Err(at) => self.reported.insert(at, (route.into(), used_by_callers)),
        }
    }

    /// Drops the routes for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.counts.retain(|it| keep(&it.0));
        self.reported.retain(|it| keep(&it.0));
    }

    fn is_reported(&self, route: &str) -> bool {
        self.reported.binary_search_by(|it| (*it.0).cmp(route)).is_ok_and(|at| self.reported[at].1)
    }
}
