//! Proxies that stop while answers are on their way: a request is at work until its last byte is written.

use std::{
    fs,
    io::{self, BufReader, Write as _},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;
use rustix::process::Signal;
use serde_json::json;
use standins::platform::{
    endpoint::long_body,
    fixtures::{caller_request, desk_endpoints, start_site, two_routes},
    http::{self, encode},
    site::{HOST, Proxy, Site, eventually},
};

/// Longer than fits into the buffers of a connection, with 6.4 seconds to read it.
const ANSWER_BYTES: usize = 16_000_000;
const READ_BYTES_PER_S: usize = 2_500_000;
/// Time from the request to the SIGTERM; the answer has begun by then.
const BEFORE_SIGTERM: Duration = Duration::from_millis(500);

/// Starts a deployment whose proxies have this grace and whose endpoints give long answers.
fn start_site_with_grace(grace_s: u32) -> Site {
    let site = start_site();
    desk_endpoints(&site).iter().for_each(|it| it.set_answer_len(ANSWER_BYTES));
    for proxy in &site.proxies {
        let settings = fs::read_to_string(proxy.settings_path()).expect("the settings can be read");
        let settings = settings.replace("grace_s = 3", &format!("grace_s = {grace_s}"));
        fs::write(proxy.settings_path(), settings).expect("the settings can be written");
        proxy.signal(Signal::HUP);
    }
    let has_reloaded = |it: &Proxy| it.events().iter().any(|it| it["event"] == "reloaded" && it["changed"] == true);
    assert!(eventually(|| site.proxies.iter().all(has_reloaded)), "a proxy didn't read its settings again");
    site
}

fn download(proxy: &Proxy) -> io::Result<(u16, Vec<u8>)> {
    caller_request("GET /read/x", "r-1").send_and_read_slowly(proxy.callers, READ_BYTES_PER_S)
}

/// Guards against answers that are cut off when their ingress, or the guard that holds them, stops.
#[rstest]
#[case::of_another_vms_endpoint(2, &[2])]
#[case::of_the_vms_own_endpoint(0, &[0])]
#[case::at_its_guard(2, &[0, 1])]
#[case::everywhere(2, &[0, 1, 2])]
fn a_stopping_proxy_completes_the_answers_that_are_on_their_way(#[case] ingress: usize, #[case] stopping: &[usize]) {
    let mut site = start_site_with_grace(8);
    if ingress == 0 {
        site.proxies[1].kill();
    }

    let answer = thread::scope(|scope| {
        let caller = scope.spawn(|| download(&site.proxies[ingress]));
        thread::sleep(BEFORE_SIGTERM);
        stopping.iter().for_each(|it| site.proxies[*it].signal(Signal::TERM));
        caller.join().expect("the caller thread does not panic")
    });

    let (status, body) = answer.expect("a complete answer");
    assert_eq!(status, 200);
    assert!(body == long_body("r-1", ANSWER_BYTES));
    assert!(stopping.iter().all(|it| site.proxies[*it].exits_in_time()), "a process did not exit");
}

/// Guards against an answer that is cut off at the end of the first grace although a second SIGTERM restarted it.
#[test]
fn a_second_sigterm_gives_an_answer_on_its_way_more_time() {
    let site = start_site_with_grace(4);

    let answer = thread::scope(|scope| {
        let caller = scope.spawn(|| download(&site.proxies[2]));
        thread::sleep(BEFORE_SIGTERM);
        site.proxies[2].signal(Signal::TERM);
        thread::sleep(Duration::from_secs(3));
        site.proxies[2].signal(Signal::TERM);
        caller.join().expect("the caller thread does not panic")
    });

    let (status, body) = answer.expect("a complete answer");
    assert_eq!((status, body.len()), (200, ANSWER_BYTES));
}

/// Guards against callers that hold up a stop until the platform kills the process.
#[test]
fn a_caller_that_stops_reading_holds_up_a_stop_no_longer_than_the_grace() {
    const GRACE_S: u32 = 5;
    let mut site = start_site_with_grace(GRACE_S);
    let _unread = caller_request("GET /read/x", "r-1").send(site.proxies[2].callers).expect("the connection opens");
    thread::sleep(BEFORE_SIGTERM);
    let start = Instant::now();

    site.proxies[2].signal(Signal::TERM);
    let exited = site.proxies[2].exits_in_time();

    assert!(exited && start.elapsed() < Duration::from_secs(u64::from(GRACE_S)), "{:?}", start.elapsed());
}

/// Guards against a stop that closes the connection of a caller that is still sending.
#[test]
fn a_request_that_is_still_arriving_when_the_grace_ends_gets_503() {
    let site = start_site();
    let mut config = two_routes(2);
    config["routes"]["write"]["timeout_s"] = json!(30);
    site.store.put_config(config);
    assert!(eventually(|| site.proxies[2].status()["row"]["version"] == 2));
    let headers = [("Host", HOST), ("X-Request-Id", "r-1"), ("X-Deadline-Ms", "60000")];
    let encoded = encode("POST /write/x HTTP/1.1", &headers, &[0; 2000]);
    let mut stream = TcpStream::connect(site.proxies[2].callers).expect("the proxy accepts connections");
    stream.write_all(&encoded[..encoded.len() - 1000]).expect("the proxy reads");
    thread::sleep(Duration::from_millis(100));

    site.proxies[2].signal(Signal::TERM);
    let resp = http::read_message(&mut BufReader::new(stream));

    let resp = resp.expect("a response").expect("the connection is still open");
    assert_eq!(resp.status(), 503);
    assert!(resp.header("retry-after").is_some());
}
