//! Guards against what endpoints say in their answers being read by nobody: a limit of requests a second, and that the
//! endpoint is leaving.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;
use serde_json::Value;
use standins::platform::{
    endpoint::EndpointMode,
    endpoint_rules::{AnswerNotice, CallerRecord, EndpointRecord, EndpointRules, ProxyFault},
    fixtures::{caller_request, explained_cause, two_routes},
    site::{Site, eventually},
};

/// Time that an endpoint takes to run a request: short, so that its slots allow far more requests than the limit.
const WORK_TIME: Duration = Duration::from_millis(20);
/// Number of callers of each proxy; each sends one request after the other.
const CALLERS: usize = 3;
/// Pause between the requests of one caller.
const PAUSE: Duration = Duration::from_millis(15);

/// Starts two endpoints of `desk` and one of `ledger`, each with its proxy. They run a request in `WORK_TIME`.
fn start_site() -> Site {
    start_site_with(4, WORK_TIME)
}

fn start_site_with(slots: u32, work_time: Duration) -> Site {
    let mut site = Site::start().expect("the store starts");
    site.store.put_config(two_routes(1));
    for (service, data_centre) in [("desk", "dc-1"), ("desk", "dc-2"), ("ledger", "dc-1")] {
        site.add_vm(service, data_centre, slots, work_time).expect("the proxy starts");
    }
    assert!(site.wait_until_ready(3), "a proxy has not learnt of all endpoints");
    site
}

/// A request and its response.
struct Sent {
    record: CallerRecord,
    idempotent: bool,
    /// Status of the response; 0 without one.
    status: u16,
    /// `Retry-After` of the response, in seconds.
    retry_after: Option<f64>,
}

impl Sent {
    fn took(&self) -> Duration {
        self.record.ended - self.record.sent
    }
}

/// Sends requests to `proxy`, one after the other, until `stop` is set.
fn send_requests(name: &str, proxy: usize, callers: std::net::SocketAddr, stop: &AtomicBool) -> Vec<Sent> {
    let mut records = Vec::new();
    for number in 0.. {
        if stop.load(Ordering::Acquire) {
            break;
        }
        let request_id = format!("{name}-{number}");
        let idempotent = number % 2 == 0;
        let line = if idempotent { format!("GET /read/{number}") } else { format!("POST /write/{number}") };
        let sent = Instant::now();
        // The connection ends while the proxy restarts.
        let answer = caller_request(&line, &request_id).send_and_read(callers);
        let answer = answer.unwrap_or_default();
        let retry_after = answer.header("retry-after").and_then(|it| it.parse().ok());
        let (status, notice) = (answer.status(), AnswerNotice::of(&answer));
        let record = CallerRecord { request_id, proxy, sent, ended: Instant::now(), notice };
        records.push(Sent { record, idempotent, status, retry_after });
        thread::sleep(PAUSE);
    }
    records
}

/// Sends requests to all proxies while `act` runs, and returns their records.
fn under_load(site: &mut Site, act: impl FnOnce(&mut Site)) -> Vec<Sent> {
    let addresses: Vec<_> = site.proxies.iter().map(|it| it.callers).collect();
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let stop = &stop;
        let threads: Vec<_> = (0..addresses.len() * CALLERS)
            .map(|it| {
                let (proxy, callers) = (it % addresses.len(), addresses[it % addresses.len()]);
                scope.spawn(move || send_requests(&format!("c{it}"), proxy, callers, stop))
            })
            .collect();
        act(site);
        stop.store(true, Ordering::Release);
        threads.into_iter().flat_map(|it| it.join().expect("a caller does not panic")).collect()
    })
}

/// What the callers saw, for the checks.
fn caller_records(sent: &[Sent]) -> Vec<CallerRecord> {
    sent.iter().map(|it| it.record.clone()).collect()
}

/// Number of requests that arrived at an endpoint since `from`.
fn arrivals_since(site: &Site, proxy: usize, from: Instant) -> u32 {
    let arrivals = site.proxies[proxy].endpoint.arrivals();
    u32::try_from(arrivals.iter().filter(|it| it.at >= from).count()).expect("few requests arrive")
}

fn endpoint_records(site: &Site) -> Vec<EndpointRecord> {
    let endpoints = site.proxies.iter().map(|it| &it.endpoint);
    let records = endpoints.map(|it| EndpointRecord {
        arrivals: it.arrivals(),
        limits: it.named_limits(),
        path_faults: Vec::new(),
    });
    records.collect()
}

#[rstest]
#[case::one_a_second("1", EndpointMode::Good)]
#[case::a_decimal_number("3.4", EndpointMode::Good)]
#[case::declines_all_requests("1", EndpointMode::Sheds)]
#[case::fails_fast("1", EndpointMode::FailsFast)]
#[case::breaks_off_after_the_headers("1", EndpointMode::Truncates)]
fn an_endpoint_gets_no_more_requests_than_the_limit_that_it_named(#[case] limit: &str, #[case] mode: EndpointMode) {
    let mut site = start_site();
    // Every answer of the first endpoint is of this kind, the second one's are good.
    site.proxies[0].endpoint.set_mode(mode);
    let mut arrived = [0; 2];

    let sent = under_load(&mut site, |site| {
        thread::sleep(Duration::from_secs(1));
        site.proxies[0].endpoint.set_limit(Some(limit));
        site.proxies[1].endpoint.set_limit(Some(limit));
        thread::sleep(Duration::from_secs(5));
        let from = Instant::now();
        thread::sleep(Duration::from_secs(4));
        arrived = [0, 1].map(|it| arrivals_since(site, it, from));
    });

    let endpoints = endpoint_records(&site);
    let exceeded = EndpointRules::new(&caller_records(&sent), &endpoints, &[]).limits_exceeded();
    assert!(exceeded.is_empty(), "{exceeded:#?}");
    // Callers get no answers that were declined or broke off, but the guard does.
    let allowed = 1.5 * 4.0 * limit.parse::<f64>().expect("a number") + 5.0;
    assert!(arrived.iter().all(|it| f64::from(*it) <= allowed), "{arrived:?} requests arrived in 4 s");
}

#[test]
fn a_limited_endpoint_keeps_getting_what_it_takes_beside_one_without_a_limit() {
    let mut site = start_site();
    let mut arrived = 0;

    under_load(&mut site, |site| {
        site.proxies[0].endpoint.set_limit(Some("5"));
        thread::sleep(Duration::from_secs(2));
        let from = Instant::now();
        thread::sleep(Duration::from_secs(4));
        arrived = arrivals_since(site, 0, from);
    });

    assert!((12..=35).contains(&arrived), "{arrived} requests arrived in 4 s at a limit of 5 a second");
}

#[test]
fn requests_beyond_all_limits_are_rejected_at_once_and_urgent_ones_go_first() {
    let mut site = start_site();
    let mut limited_from = Instant::now();

    let sent = under_load(&mut site, |site| {
        site.proxies[0].endpoint.set_limit(Some("2"));
        site.proxies[1].endpoint.set_limit(Some("2"));
        thread::sleep(Duration::from_secs(2));
        limited_from = Instant::now();
        thread::sleep(Duration::from_secs(6));
    });

    let sent: Vec<_> = sent.iter().filter(|it| it.record.sent >= limited_from).collect();
    let rejected: Vec<_> = sent.iter().filter(|it| it.status == 503).collect();
    assert!(rejected.len() > 100, "{} of {} rejected", rejected.len(), sent.len());
    let at_once = rejected.iter().filter(|it| it.took() < Duration::from_millis(100)).count();
    assert!(at_once * 10 >= rejected.len() * 8, "{at_once} of {} rejected within 0.1 s", rejected.len());
    let too_soon = rejected.iter().filter(|it| it.retry_after.is_none_or(|it| it < 0.25)).count();
    assert!(too_soon * 10 <= rejected.len(), "{too_soon} of {} told to come back too soon", rejected.len());
    let served = |idempotent| sent.iter().filter(|it| it.status == 200 && it.idempotent == idempotent).count();
    // Writes have rank 0, reads rank 2.
    let (writes, reads) = (served(false), served(true));
    assert!(writes >= 3 * reads && writes + reads >= 16, "{writes} writes and {reads} reads served");
    let cause = explained_cause(&site, &rejected[0].record.request_id);
    assert!(cause.contains("rate limits of desk's endpoints"), "{cause}");
}

#[test]
fn event_lines_status_and_metrics_show_a_limit_while_it_is_named() {
    let site = start_site();
    let guard = &site.proxies[0];
    let send = |id: &str| _ = caller_request("GET /read/1", id).send_and_read(guard.callers);
    let status_limit = || guard.status()["row"]["endpoint"]["limit"].as_f64();

    guard.endpoint.set_limit(Some("2.5"));
    (0..4).for_each(|it| send(&format!("named-{it}")));
    let shown = eventually(|| status_limit() == Some(2.5));
    let metrics = guard.metrics_text();
    guard.endpoint.set_limit(None);
    let ended = eventually(|| {
        send("not-named");
        status_limit().is_none()
    });

    assert!(shown && ended, "status: {}", guard.status());
    assert!(
        metrics.contains("jayreach_endpoint_limit 2.5") && metrics.contains("jayreach_endpoint_limited 1"),
        "{metrics}"
    );
    let is_limit = |it: &Value| it["event"] == "limit" && it["endpoint"] == "i-1" && it["source"] == "answer";
    assert!(eventually(|| guard.events().iter().filter(|it| is_limit(it)).count() == 2));
    let rates: Vec<_> = guard.events().into_iter().filter(is_limit).map(|it| it["rate"].as_f64()).collect();
    assert_eq!(rates, [Some(2.5), None]);
}

#[test]
fn a_limit_does_not_pass_to_the_next_incarnation_and_ends_when_it_is_no_longer_named() {
    let mut site = start_site();
    let mut arrived = [0; 2];

    under_load(&mut site, |site| {
        let (first, second) = (&site.proxies[0].endpoint, &site.proxies[1].endpoint);
        first.set_limit(Some("1"));
        second.set_limit(Some("1"));
        thread::sleep(Duration::from_secs(3));
        first.replace("i-next");
        second.set_limit(None);
        thread::sleep(Duration::from_secs(3));
        let from = Instant::now();
        thread::sleep(Duration::from_secs(2));
        arrived = [0, 1].map(|it| arrivals_since(site, it, from));
    });

    assert!(arrived.iter().all(|it| *it >= 20), "{arrived:?} requests arrived in 2 s");
}

#[test]
fn the_end_of_a_limit_of_zero_is_noticed() {
    let mut site = start_site();
    let mut arrived = [0; 2];

    under_load(&mut site, |site| {
        site.proxies[0].endpoint.set_limit(Some("0"));
        thread::sleep(Duration::from_secs(2));
        let from = Instant::now();
        thread::sleep(Duration::from_secs(6));
        arrived[0] = arrivals_since(site, 0, from);
        site.proxies[0].endpoint.set_limit(None);
        thread::sleep(Duration::from_secs(8));
        let from = Instant::now();
        thread::sleep(Duration::from_secs(2));
        arrived[1] = arrivals_since(site, 0, from);
    });

    assert_eq!(arrived[0], 0, "requests arrived although the limit is zero");
    assert!(arrived[1] >= 20, "{} requests arrived in 2 s after the limit ended", arrived[1]);
}

/// Endpoints with many slots and long requests would get a request in each slot before their first answer names the limit
/// again.
#[rstest]
#[case::short_requests(4, WORK_TIME)]
#[case::long_requests(8, Duration::from_millis(500))]
fn a_limit_binds_over_kills_of_the_guard(#[case] slots: u32, #[case] work_time: Duration) {
    let mut site = start_site_with(slots, work_time);
    let mut restarts = Vec::new();

    let sent = under_load(&mut site, |site| {
        thread::sleep(Duration::from_secs(1));
        // The second endpoint leaves no room for what the first one doesn't take.
        site.proxies[0].endpoint.set_limit(Some("1"));
        site.proxies[1].endpoint.set_limit(Some("1"));
        thread::sleep(Duration::from_secs(4));
        for _ in 0..3 {
            let from = Instant::now();
            site.proxies[0].restart().expect("the proxy starts again");
            restarts.push(ProxyFault { proxy: 0, from, to: Some(Instant::now()) });
            thread::sleep(Duration::from_millis(1_500));
        }
        thread::sleep(Duration::from_secs(2));
    });

    let endpoints = endpoint_records(&site);
    let exceeded = EndpointRules::new(&caller_records(&sent), &endpoints, &restarts).limits_exceeded();
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

#[rstest]
#[case::the_guard_goes_on(0)]
#[case::the_guard_is_killed_twice(2)]
fn an_endpoint_that_says_in_an_answer_that_it_leaves_gets_no_requests_although_it_announces_that_it_is_ready(
    #[case] kills: u32,
) {
    let mut site = start_site();
    let mut restarts = Vec::new();

    let sent = under_load(&mut site, |site| {
        thread::sleep(Duration::from_secs(1));
        site.proxies[0].endpoint.leave_by_answers();
        thread::sleep(Duration::from_secs(2));
        for _ in 0..kills {
            let from = Instant::now();
            site.proxies[0].restart().expect("the proxy starts again");
            restarts.push(ProxyFault { proxy: 0, from, to: Some(Instant::now()) });
            thread::sleep(Duration::from_millis(1_500));
        }
        thread::sleep(Duration::from_secs(2));
    });

    let endpoints = endpoint_records(&site);
    let late = EndpointRules::new(&caller_records(&sent), &endpoints, &restarts).arrived_after_leaving();
    assert!(late.is_empty(), "{} requests arrived late, the first: {:?}", late.len(), late.first());
    assert!(!endpoints[1].arrivals.is_empty(), "the other endpoint serves");
}
