//! Guards against answers of endpoints in trouble that break off or never end: no caller may take one for a whole
//! answer, and none may hold a slot, fill the memory or keep the proxy from other requests.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;
use standins::platform::{
    caller::CallerRequest,
    endpoint::{EndpointMode, RawAnswer},
    fixtures::{WORK_TIME, caller_request},
    http::Message,
    site::{HOST, Site, config, eventually, route},
    store::StoreMode,
};

/// Time budget of the requests to the endpoint in trouble, and timeout of their route.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the timeout until the answer is late.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// Limit for a proxy's memory with a few endless answers of 64 MiB at most, which the memory for bodies has room for.
const MEMORY_MB: f64 = 100.0;
/// Limit for a proxy's memory while its own calls get endless answers. Several may be open beside the bodies of
/// callers.
const OWN_CALLS_MEMORY_MB: f64 = 40.0;

/// One endpoint of `desk` and one of `ledger`; `/write/` goes to `desk` and `/ledger/` to `ledger`.
fn start_site() -> Site {
    let mut site = Site::start().expect("a store");
    let write = route("/write/", "non_idempotent", 0, &[("desk", 1)]);
    let ledger = route("/ledger/", "idempotent", 2, &[("ledger", 1)]);
    site.store.put_config(config(1, &[("write", write), ("ledger", ledger)]));
    for service in ["desk", "ledger"] {
        site.add_vm(service, "dc-1", 4, WORK_TIME).expect("a proxy");
    }
    assert!(site.wait_until_ready(2), "a proxy has not learnt of all endpoints");
    site
}

fn write(site: &Site, request_id: &str) -> Message {
    let req =
        CallerRequest { method_and_target: "POST /write/1", host: HOST, request_id, deadline: TIMEOUT, body: b"x" };
    req.send_and_read(site.proxies[1].callers).unwrap_or_default()
}

/// Sends requests for `ledger` to the proxy whose own endpoint is in trouble, while `act` runs. Returns the result of
/// `act`, the statuses of those requests and the longest time that one took.
fn beside_others<T>(site: &Site, act: impl FnOnce() -> T) -> (T, Vec<u16>, Duration) {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let others = scope.spawn(|| {
            let (mut statuses, mut longest) = (Vec::new(), Duration::ZERO);
            while !stop.load(Ordering::Acquire) {
                let started = Instant::now();
                let id = format!("other-{}", statuses.len());
                let answer = caller_request("GET /ledger/1", &id).send_and_read(site.proxies[0].callers);
                statuses.push(answer.map_or(0, |it| it.status()));
                longest = longest.max(started.elapsed());
                thread::sleep(Duration::from_millis(20));
            }
            (statuses, longest)
        });
        let result = act();
        stop.store(true, Ordering::Release);
        let (statuses, longest) = others.join().expect("the caller doesn't panic");
        (result, statuses, longest)
    })
}

/// Guards against a 200 with an empty or short body for an answer whose endpoint closed in the middle of it.
#[rstest]
#[case::nothing("")]
#[case::in_the_status_line("HTTP/1.1 200")]
#[case::after_the_status_line("HTTP/1.1 200 x\r\n")]
#[case::in_a_header("HTTP/1.1 200 x\r\nX-Request-Id: {id}\r\nX-Response-Se")]
#[case::after_the_seal("HTTP/1.1 200 x\r\nX-Request-Id: {id}\r\nX-Response-Seal: s\r\n")]
#[case::after_the_length("HTTP/1.1 200 x\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n")]
#[case::in_the_last_line("HTTP/1.1 200 x\r\nX-Response-Seal: s\r\nContent-Length: 0\r\n\r")]
#[case::in_the_body("HTTP/1.1 200 x\r\nX-Response-Seal: s\r\nContent-Length: 5\r\n\r\nhel")]
#[case::in_a_chunk("HTTP/1.1 200 x\r\nX-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel")]
#[case::before_the_last_chunk("HTTP/1.1 200 x\r\nX-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n")]
#[case::after_an_interim_answer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 x\r\nX-Response-Seal: s\r\n")]
fn an_answer_that_breaks_off_is_passed_on_as_a_failure(#[case] start: &'static str) {
    let site = start_site();
    site.proxies[0].endpoint.set_mode(EndpointMode::Raw(RawAnswer { start, repeated: "" }));

    let answer = write(&site, "cut");

    assert_eq!((answer.status(), answer.header("x-response-seal")), (502, None), "{answer:?}");
}

/// Guards against bytes without end that hold a run beyond its time, or the thread from other requests.
#[rstest]
#[case::interim_answers("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::interim_answers_with_headers("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nX-Request-Id: {id}\r\n\r\n")]
#[case::headers("HTTP/1.1 200 x\r\n", "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n")]
#[case::one_header("HTTP/1.1 200 x\r\nX-Filler: ", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")]
#[case::a_body_without_length("HTTP/1.1 200 x\r\nX-Response-Seal: s\r\n\r\n", "aaaaaaaaaaaaaaaaaaaaaaaaaaaa")]
#[case::chunks("HTTP/1.1 200 x\r\nX-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n")]
#[case::no_protocol("", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")]
fn answers_without_end_hold_no_slot_and_no_other_request(#[case] start: &'static str, #[case] repeated: &'static str) {
    let site = start_site();
    let endpoint = &site.proxies[0].endpoint;
    endpoint.set_mode(EndpointMode::Raw(RawAnswer { start, repeated }));

    let (answers, others, longest) = beside_others(&site, || {
        thread::scope(|scope| {
            let callers: Vec<_> = (0..3)
                .map(|number| {
                    let site = &site;
                    scope.spawn(move || {
                        let started = Instant::now();
                        (write(site, &format!("endless-{number}")).status(), started.elapsed())
                    })
                })
                .collect();
            callers.into_iter().map(|it| it.join().expect("the caller doesn't panic")).collect::<Vec<_>>()
        })
    });
    let closed = eventually(|| endpoint.endless_answers() == 0);
    endpoint.set_mode(EndpointMode::Good);
    let recovered = eventually(|| write(&site, "later").status() == 200);
    let peaks: Vec<f64> = site.proxies.iter().map(|it| it.peak_memory_mb()).collect();

    println!("{answers:.2?}; {} others, the longest {longest:.2?}; peaks {peaks:.1?} MB", others.len());
    assert!(answers.iter().all(|it| it.0 >= 500 && it.1 <= TIMEOUT + MAX_DELAY), "{answers:.2?}");
    assert!(closed && recovered, "closed: {closed}, the slot is free: {recovered}");
    assert!(others.iter().all(|it| *it == 200), "{others:?}");
    assert!(longest <= MAX_DELAY, "another request took {longest:.2?}");
    assert!(peaks.iter().all(|it| *it < MEMORY_MB), "{peaks:.1?} MB");
}

/// Guards against health checks and calls of the store whose answers never end.
#[rstest]
#[case::health_checks_with_interim_answers(Some(RawAnswer { start: "", repeated: "HTTP/1.1 100 Continue\r\n\r\n" }))]
#[case::health_checks_with_a_body(Some(RawAnswer {
    start: "HTTP/1.1 200 x\r\nX-Instance-Id: i-1\r\nX-Server-Load: 0,0,4\r\n\r\n",
    repeated: "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
}))]
#[case::the_store(None)]
fn other_calls_of_a_proxy_end_though_their_answers_do_not(#[case] health: Option<RawAnswer>) {
    let mut site = start_site();

    match health {
        Some(_) => {
            site.proxies[0].endpoint.set_raw_health(health);
            site.proxies[0].restart().expect("the proxy starts again");
        }
        None => site.store.set_mode(StoreMode::Endless),
    }
    assert!(eventually(|| site.proxies[0].is_ready()), "the proxy isn't ready");
    let ((), others, longest) = beside_others(&site, || thread::sleep(Duration::from_secs(3)));
    let known = eventually(|| site.proxies[0].status()["row"]["endpoint"].is_object());
    let peaks: Vec<f64> = site.proxies.iter().map(|it| it.peak_memory_mb()).collect();

    println!("{} others, the longest {longest:.2?}; peaks {peaks:.1?} MB", others.len());
    assert!(known, "{}", site.proxies[0].status());
    assert!(others.iter().all(|it| *it == 200) && longest <= MAX_DELAY, "{others:?}, the longest {longest:.2?}");
    assert!(peaks.iter().all(|it| *it < OWN_CALLS_MEMORY_MB), "{peaks:.1?} MB");
}
