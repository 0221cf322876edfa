//! Checks what endpoints ask for in their answers: that they get no more requests than the limits that they named, and no
//! requests after they said that they are leaving. Bound are the proxies that passed such an answer on to a caller.

use std::time::{Duration, Instant};

use super::endpoint::{Arrival, NamedLimit};

/// Length of the windows in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first naming of a limit until windows end.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// How long a proxy must have passed on an answer that names the limit.
const TOLD_BEFORE: Duration = Duration::from_millis(500);
/// Time after a proxy passed on an answer that the endpoint is leaving, until requests of callers must not reach it.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// A request as its caller saw it.
#[derive(Debug, Clone)]
pub struct CallerRecord {
    /// Id of the request.
    pub request_id: String,
    /// Index of the proxy that it was sent to.
    pub proxy: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When it ended.
    pub ended: Instant,
    /// Whether its response named a limit.
    pub named_limit: bool,
    /// Whether its response said that the endpoint is leaving.
    pub said_leaving: bool,
}

/// A time at which a proxy was killed, stopped, suspended or cut off: what it passed on before no longer binds it.
#[derive(Debug, Clone, Copy)]
pub struct Excuse {
    /// Index of the proxy.
    pub proxy: usize,
    /// When the fault began.
    pub from: Instant,
    /// When it ended.
    pub to: Instant,
}

/// Arrivals and limits of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointRecord {
    /// Requests that arrived.
    pub arrivals: Vec<Arrival>,
    /// Limits that it named.
    pub limits: Vec<NamedLimit>,
    /// Periods in which requests on the way to it may have been held up and arrive together.
    pub held_up: Vec<(Instant, Instant)>,
}

/// A proxy passed on an answer of an incarnation.
struct Told<'a> {
    proxy: usize,
    instance: &'a str,
    at: Instant,
}

/// Records of callers and endpoints, and the faults that excuse proxies.
pub struct EndpointRules<'a> {
    /// Sorted by request id.
    records: Vec<&'a CallerRecord>,
    endpoints: &'a [EndpointRecord],
    excuses: &'a [Excuse],
}

impl<'a> EndpointRules<'a> {
    /// Prepares the checks.
    pub fn new(records: &'a [CallerRecord], endpoints: &'a [EndpointRecord], excuses: &'a [Excuse]) -> Self {
        let mut records: Vec<_> = records.iter().collect();
        records.sort_by(|a, b| a.request_id.cmp(&b.request_id));
        Self { records, endpoints, excuses }
    }

    /// Descriptions of windows in which an endpoint got too many requests from proxies that had passed on its limit.
    pub fn limits_exceeded(&self) -> Vec<String> {
        self.endpoints.iter().flat_map(|it| self.limit_exceeded(it)).collect()
    }

    /// Descriptions of arrivals from proxies that had passed on an answer that the endpoint is leaving.
    pub fn arrived_after_leaving(&self) -> Vec<String> {
        self.endpoints.iter().flat_map(|it| self.arrivals_after_leaving(it)).collect()
    }

    fn limit_exceeded(&self, endpoint: &EndpointRecord) -> Option<String> {
        let told = self.told(endpoint, |it| it.named_limit);
        let counted = |it: &&Arrival| self.is_bound(it, &told, it.at.checked_sub(TOLD_BEFORE));
        let mut arrivals: Vec<_> = endpoint.arrivals.iter().filter(counted).collect();
        arrivals.sort_by_key(|it| it.at);
        for (at, last) in arrivals.iter().enumerate() {
            let (start, end) = (last.at.checked_sub(WINDOW)?, last.at);
            if endpoint.held_up.iter().any(|it| it.0 <= end && start <= it.1) {
                continue;
            }
            let of_incarnation = endpoint.limits.iter().filter(|it| it.instance == last.instance);
            // A limit that was named without interruption counts from its first value on.
            let mut first_named = None;
            let mut highest = 0.0_f64;
            let mut previous_end = None;
            for limit in of_incarnation.filter(|it| it.from <= end) {
                if previous_end != Some(limit.from) {
                    (first_named, highest) = (Some(limit.from), 0.0);
                }
                if limit.to.is_none_or(|it| it >= start) {
                    highest = highest.max(limit.per_second);
                }
                previous_end = limit.to;
            }
            let Some(first_named) = first_named.filter(|it| *it + STABLE_TIME <= end) else { continue };
            if previous_end.is_some_and(|it| it < end) {
                continue;
            }
            let in_window = |it: &&&Arrival| it.at > start && it.at >= first_named && it.instance == last.instance;
            let count = arrivals[..=at].iter().filter(in_window).count();
            let allowed = (1.5 * WINDOW.as_secs_f64() * highest).floor() + 5.0;
            if count as f64 > allowed {
                return Some(format!(
                    "{} named a limit of {highest} a second and got {count} requests in {WINDOW:?}; allowed {allowed}; the last is {}",
                    last.instance, last.request_id
                ));
            }
        }
        None
    }

    fn arrivals_after_leaving(&self, endpoint: &EndpointRecord) -> Vec<String> {
        let told = self.told(endpoint, |it| it.said_leaving);
        let late = endpoint.arrivals.iter().filter(|it| {
            let Some(record) = self.record(&it.request_id) else { return false };
            self.is_bound(it, &told, record.sent.checked_sub(DRAIN_TIME))
        });
        late.map(|it| format!("{} reached {} though it had said that it is leaving", it.request_id, it.instance))
            .collect()
    }

    /// The answers of an endpoint that proxies passed on, among those for which `matches` is true.
    fn told(&self, endpoint: &'a EndpointRecord, matches: impl Fn(&CallerRecord) -> bool) -> Vec<Told<'a>> {
        let answered = endpoint.arrivals.iter().filter(|it| it.ran).filter_map(|it| {
            let record = self.record(&it.request_id).filter(|it| matches(it))?;
            Some(Told { proxy: record.proxy, instance: &it.instance, at: record.ended })
        });
        answered.collect()
    }

    /// Whether the proxy of an arrival's request passed on an answer of the incarnation by `told_by`, without an excuse
    /// since.
    fn is_bound(&self, arrival: &Arrival, told: &[Told<'_>], told_by: Option<Instant>) -> bool {
        let (Some(record), Some(told_by)) = (self.record(&arrival.request_id), told_by) else { return false };
        let excused_since = |at: Instant| {
            self.excuses.iter().any(|it| it.proxy == record.proxy && it.from <= arrival.at && at <= it.to)
        };
        told.iter().any(|it| {
            it.proxy == record.proxy && it.instance == arrival.instance && it.at <= told_by && !excused_since(it.at)
        })
    }

    fn record(&self, request_id: &str) -> Option<&'a CallerRecord> {
        let at = self.records.binary_search_by(|it| (*it.request_id).cmp(request_id)).ok()?;
        Some(self.records[at])
    }
}
