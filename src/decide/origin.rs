//! Whether a request that begins on a VM was sent by a caller, or by work that runs at the VM's endpoint.
//!
//! Load pattern: endpoints at their slots, whose work can't end before its own calls were answered. Calls must
//! go first, and must not be counted as new requests where repeated work made them; but nothing on a request
//! says that it is a call. What is promised: an endpoint calls through the proxy beside it, only while it
//! works, and a call expires no later than the work that made it. So a request that expires later than all
//! work here was certainly sent by a caller. Of a route that callers use, many requests are certain; of one that
//! only endpoints call, none. The guards of a route's service hear of all its requests, so they count, and tell each
//! ingress that asks: an ingress beside an endpoint with long work would seldom find out by itself.

use std::time::{Duration, Instant};

/// How much later than the work that made it a call may seem to expire: its time is told in whole
/// milliseconds, and what it spends on its way here on a slow VM is not taken off.
const LATE: Duration = Duration::from_millis(100);

/// Work that may be running at the endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunningWork<'a> {
    /// Names it at its guard.
    pub id: u64,
    /// Its class.
    pub route: &'a str,
    /// The endpoint was told to stop by then.
    pub deadline: Instant,
    /// How much of it counts as a repeat, 0 to 1.
    pub repeat_share: f64,
}

/// Where a request began.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestOrigin {
    /// With a caller.
    Caller {
        /// No work that runs at the VM's endpoint can have made it; else its route alone says so.
        certain: bool,
    },
    /// With work that runs at the VM's endpoint.
    NestedCall {
        /// The work that may have made it; not empty.
        parents: Vec<u64>,
        /// How likely that work is a repeat, so that its calls count as repeats where they go; 0 to 1.
        repeat_share: f64,
    },
}

/// The certain requests of callers among a route's requests; older ones fade.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Evidence {
    certain: f64,
    all: f64,
}

/// After so many requests, what was counted of a route weighs half.
const MEMORY: f64 = 512.0;
/// Fewer requests say nothing of a route.
const ENOUGH: f64 = 8.0;
/// A route is callers' if this part of its requests was certain to be. In recorded load it is above an eighth for
/// each class of callers; calls seem to be callers' only when their parent's end was lost.
const CERTAIN_PART: f64 = 0.03;

impl Evidence {
    fn record(&mut self, certain: bool) {
        if self.all >= MEMORY {
            self.certain /= 2.0;
            self.all /= 2.0;
        }
        self.all += 1.0;
        self.certain += f64::from(u8::from(certain));
    }

    /// Whether callers use the route, if that can be said.
    fn used_by_callers(&self) -> Option<bool> {
        (self.all >= ENOUGH).then_some(self.certain >= self.all * CERTAIN_PART)
    }
}

/// What is known of the use of routes.
#[derive(Debug, Clone, Default)]
pub struct OriginTracker {
    /// Routes whose requests ask for places here; sorted.
    seen: Vec<(Box<str>, Evidence)>,
    /// Whether callers use a route, as last told by a guard of its service, or as a request of this VM proved;
    /// sorted by route.
    told: Vec<(Box<str>, bool)>,
}

impl OriginTracker {
    /// Judges a request of this VM, of `route`, that expires at `until`, with all work that may be running here.
    pub fn classify(&mut self, route: &str, until: Instant, works: &[RunningWork<'_>]) -> RequestOrigin {
        let may_have_made_it = |it: &&RunningWork<'_>| it.deadline + LATE >= until;
        let parents: Vec<&RunningWork<'_>> = works.iter().filter(may_have_made_it).collect();
        if parents.is_empty() {
            self.set_used_by_callers(route, true);
            return RequestOrigin::Caller { certain: true };
        }
        if self.was_told(route) {
            return RequestOrigin::Caller { certain: false };
        }
        let repeats: f64 = parents.iter().map(|it| it.repeat_share).sum();
        RequestOrigin::NestedCall {
            repeat_share: repeats / parents.len() as f64,
            parents: parents.into_iter().map(|it| it.id).collect(),
        }
    }

    /// Counts a request that asks for a place here.
    pub fn record(&mut self, route: &str, certain: bool) {
        let at = match self.seen.binary_search_by(|it| (*it.0).cmp(route)) {
            Ok(at) => at,
            Err(at) => {
                self.seen.insert(at, (route.into(), Evidence::default()));
                at
            }
        };
        self.seen[at].1.record(certain);
    }

    /// Whether callers use `route`, if enough of its requests asked for places here.
    pub fn used_by_callers(&self, route: &str) -> Option<bool> {
        let at = self.seen.binary_search_by(|it| (*it.0).cmp(route)).ok()?;
        self.seen[at].1.used_by_callers()
    }

    /// Takes in whether callers use `route`, as a guard of its service says.
    pub fn set_used_by_callers(&mut self, route: &str, is_callers: bool) {
        match self.told.binary_search_by(|it| (*it.0).cmp(route)) {
            Ok(at) => self.told[at].1 = is_callers,
            Err(at) => self.told.insert(at, (route.into(), is_callers)),
        }
    }

    /// Forgets routes that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.seen.retain(|it| keep(&it.0));
        self.told.retain(|it| keep(&it.0));
    }

    fn was_told(&self, route: &str) -> bool {
        self.told.binary_search_by(|it| (*it.0).cmp(route)).is_ok_and(|at| self.told[at].1)
    }
}
