//! Checks what endpoints ask for in their answers: that they get no more requests than the limits that they named, and
//! no requests after they said that they are leaving. Bound are the proxies that passed such an answer on to a caller.

use std::time::{Duration, Instant};

use super::{
    endpoint::{ANSWERED_BY, Arrival, NamedLimit},
    http::Message,
};

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
    /// What its response said about the endpoint.
    pub notice: AnswerNotice,
}

/// What a response says about the endpoint that made it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerNotice {
    /// The id of the incarnation; empty if the response isn't an endpoint's.
    pub answered_by: String,
    /// Whether it names a limit.
    pub named_limit: bool,
    /// Whether it says that the endpoint is leaving.
    pub said_leaving: bool,
}

impl AnswerNotice {
    /// The notice of a response.
    pub fn of(resp: &Message) -> Self {
        Self {
            answered_by: resp.header(ANSWERED_BY).unwrap_or("").to_owned(),
            named_limit: resp.header("server-limit").is_some(),
            said_leaving: resp.header("server-leaving").is_some(),
        }
    }
}

/// A fault of one proxy. After a restart, what the proxy passed on before no longer binds it.
#[derive(Debug, Clone, Copy)]
pub struct ProxyFault {
    /// Index of the proxy.
    pub proxy: usize,
    /// When the fault began.
    pub from: Instant,
    /// When it ended; `None` if it has not.
    pub to: Option<Instant>,
}

impl ProxyFault {
    fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && self.to.is_none_or(|it| from <= it)
    }
}

/// Arrivals and limits of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointRecord {
    /// Requests that arrived.
    pub arrivals: Vec<Arrival>,
    /// Limits that it named.
    pub limits: Vec<NamedLimit>,
    /// Faults that may have held up requests on the way to it, so that they arrive together.
    pub path_faults: Vec<ProxyFault>,
}

/// Records of callers and endpoints, and the restarts that free proxies.
pub struct EndpointRules<'a> {
    /// Sorted by request id.
    records: Vec<&'a CallerRecord>,
    endpoints: &'a [EndpointRecord],
    restarts: &'a [ProxyFault],
}

/// Times at which proxies passed on answers of incarnations, sorted.
struct PassedOn<'a>(Vec<(usize, &'a str, Instant)>);

impl PassedOn<'_> {
    /// The last time until `until` at which `proxy` passed on an answer of `instance`.
    fn last(&self, proxy: usize, instance: &str, until: Instant) -> Option<Instant> {
        let end = self.0.partition_point(|it| (it.0, it.1, it.2) <= (proxy, instance, until));
        let last = self.0[..end].last().filter(|it| it.0 == proxy && it.1 == instance)?;
        Some(last.2)
    }
}

impl<'a> EndpointRules<'a> {
    /// Prepares the checks.
    pub fn new(records: &'a [CallerRecord], endpoints: &'a [EndpointRecord], restarts: &'a [ProxyFault]) -> Self {
        let mut records: Vec<_> = records.iter().collect();
        records.sort_by(|a, b| a.request_id.cmp(&b.request_id));
        Self { records, endpoints, restarts }
    }

    /// Descriptions of the first window of each endpoint in which it got too many requests from proxies that had passed
    /// on its limit.
    pub fn limits_exceeded(&self) -> Vec<String> {
        let passed_on = self.passed_on(|it| it.named_limit);
        self.endpoints.iter().filter_map(|it| self.limit_exceeded(it, &passed_on)).collect()
    }

    /// Descriptions of arrivals from proxies that had passed on an answer that the endpoint is leaving.
    pub fn arrived_after_leaving(&self) -> Vec<String> {
        let passed_on = self.passed_on(|it| it.said_leaving);
        let is_late = |it: &&Arrival| {
            let until = self.record(it).and_then(|it| it.sent.checked_sub(DRAIN_TIME));
            !it.misdirected && until.is_some_and(|until| self.told_at(it, &passed_on, until).is_some())
        };
        let late = self.endpoints.iter().flat_map(|it| it.arrivals.iter().filter(is_late));
        late.map(|it| format!("{} reached {} though it had said that it is leaving", it.request_id, it.instance))
            .collect()
    }

    fn limit_exceeded(&self, endpoint: &EndpointRecord, passed_on: &PassedOn<'_>) -> Option<String> {
        let mut arrivals: Vec<_> = endpoint.arrivals.iter().filter(|it| !it.misdirected).collect();
        arrivals.sort_by_key(|it| it.at);
        arrivals.iter().enumerate().find_map(|(at, last)| {
            let (start, end) = (last.at.checked_sub(WINDOW)?, last.at);
            let (first_named, highest) = limit_in_window(&endpoint.limits, &last.instance, start, end)?;
            if end < first_named + STABLE_TIME || endpoint.path_faults.iter().any(|it| it.overlaps(start, end)) {
                return None;
            }
            let window = arrivals[..=at].iter().rev().take_while(|it| it.at > start);
            let counts = |it: &&&Arrival| {
                let told_at = it.at.checked_sub(TOLD_BEFORE).and_then(|until| self.told_at(it, passed_on, until));
                it.instance == last.instance && told_at.is_some_and(|it| it >= first_named)
            };
            let count = window.filter(counts).count();
            let allowed = (1.5 * WINDOW.as_secs_f64() * highest).floor() + 5.0;
            (count as f64 > allowed).then(|| {
                let (instance, last) = (&last.instance, &last.request_id);
                format!(
                    "{instance}, limit {highest}: {count} requests in {WINDOW:?}, allowed {allowed}; the last is {last}"
                )
            })
        })
    }

    /// When the proxies passed on answers for which `matches` is true.
    fn passed_on(&self, matches: impl Fn(&AnswerNotice) -> bool) -> PassedOn<'a> {
        let matching = self.records.iter().filter(|it| matches(&it.notice));
        let mut times: Vec<_> = matching.map(|it| (it.proxy, &*it.notice.answered_by, it.ended)).collect();
        times.sort_unstable();
        PassedOn(times)
    }

    /// When the proxy of an arrival's request last passed on an answer of the incarnation until `until`; `None` if it
    /// never did, or has restarted since.
    fn told_at(&self, arrival: &Arrival, passed_on: &PassedOn<'_>, until: Instant) -> Option<Instant> {
        let proxy = self.record(arrival)?.proxy;
        let told_at = passed_on.last(proxy, &arrival.instance, until)?;
        let restarted = self.restarts.iter().any(|it| it.proxy == proxy && it.overlaps(told_at, arrival.at));
        (!restarted).then_some(told_at)
    }

    /// The caller's record of an arrival.
    fn record(&self, arrival: &Arrival) -> Option<&'a CallerRecord> {
        let at = self.records.binary_search_by(|it| it.request_id.cmp(&arrival.request_id)).ok()?;
        Some(self.records[at])
    }
}

/// When the limit that an incarnation names at `end` was first named without interruption, and its highest value since
/// `start`; `None` if it names none at `end`.
fn limit_in_window(limits: &[NamedLimit], instance: &str, start: Instant, end: Instant) -> Option<(Instant, f64)> {
    let mut named = limits.iter().rev().filter(|it| it.instance == instance && it.from <= end);
    let last = named.next().filter(|it| it.to.is_none_or(|it| it >= end))?;
    let (mut first_named, mut highest) = (last.from, last.per_second);
    for it in named.take_while(|it| it.to.is_some()) {
        if it.to != Some(first_named) {
            break;
        }
        if first_named >= start {
            highest = highest.max(it.per_second);
        }
        first_named = it.from;
    }
    Some((first_named, highest))
}
