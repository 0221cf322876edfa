//! Whether a request that begins on a VM was sent by a caller, or by work that runs at the VM's endpoint.
//!
//! Load pattern: endpoints at their slots, whose work can't end before its own calls were answered. Calls must
//! go first, and must not be counted as new requests where repeated work made them; but nothing on a request
//! says that it is a call. What is promised: an endpoint calls through the proxy beside it, only while it
//! works, and a call expires no later than the work that made it. So a request that expires later than all
//! work here was sent by a caller, and so is whatever else comes on its route. Callers' requests come at all
//! times, so each of their routes gives itself away within its first few requests on a VM.

use std::time::{Duration, Instant};

/// How much later than the work that made it a call may seem to expire: its time is told in whole
/// milliseconds, and what it spends on its way here on a slow VM is not taken off.
const LATE: Duration = Duration::from_millis(100);

/// Work that may be running at the endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Work<'a> {
    /// Names it at its guard.
    pub id: u64,
    /// Its class.
    pub route: &'a str,
    /// The endpoint was told to stop by then.
    pub until: Instant,
    /// How much of it counts as a repeat, 0 to 1.
    pub repeat_share: f64,
}

/// Where a request began.
#[derive(Debug, Clone, PartialEq)]
pub enum Origin {
    /// With a caller.
    Caller,
    /// With work that runs at the VM's endpoint.
    Call {
        /// The work that may have made it; not empty.
        parents: Vec<u64>,
        /// How likely that work is a repeat, so that its calls count as repeats where they go; 0 to 1.
        repeat_share: f64,
    },
}

/// Which routes callers use, as far as this VM has seen.
#[derive(Debug, Clone)]
pub struct Origins {
    /// Sorted.
    callers_routes: Vec<Box<str>>,
    /// Before this, work may be running here that a former run of this process began.
    learns_from: Instant,
}

impl Origins {
    /// Knows nothing yet.
    pub fn new(learns_from: Instant) -> Self {
        Self { callers_routes: Vec::new(), learns_from }
    }

    /// Judges a request of `route` that expires at `until`, with all work that may be running here.
    pub fn judge(&mut self, route: &str, until: Instant, works: &[Work<'_>], now: Instant) -> Origin {
        let may_have_made_it = |it: &&Work<'_>| it.until + LATE >= until;
        let parents: Vec<&Work<'_>> = works.iter().filter(may_have_made_it).collect();
        if parents.is_empty() {
            if now >= self.learns_from {
                self.add_callers_route(route);
            }
            return Origin::Caller;
        }
        if self.is_callers_route(route) {
            return Origin::Caller;
        }
        let repeats: f64 = parents.iter().map(|it| it.repeat_share).sum();
        Origin::Call {
            repeat_share: repeats / parents.len() as f64,
            parents: parents.into_iter().map(|it| it.id).collect(),
        }
    }

    /// The routes that callers use, sorted.
    pub fn callers_routes(&self) -> &[Box<str>] {
        &self.callers_routes
    }

    /// Takes in that callers use a route.
    pub fn add_callers_route(&mut self, route: &str) {
        if let Err(at) = self.callers_routes.binary_search_by(|it| (**it).cmp(route)) {
            self.callers_routes.insert(at, route.into());
        }
    }

    /// Forgets routes that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.callers_routes.retain(|it| keep(it));
    }

    fn is_callers_route(&self, route: &str) -> bool {
        self.callers_routes.binary_search_by(|it| (**it).cmp(route)).is_ok()
    }
}
