//! Malformed requests and unauthenticated clients on all three listeners: they are refused with a clear status, and
//! neither crash the daemon, exhaust its memory, nor disturb other callers.

use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use jayreach::daemon::{AnnouncedState, Announcement};

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rstest::rstest;
use standins::{
    deployment::repository_file,
    fleet::{EndpointProfile, Fleet},
    proc::usage,
};

const ENDPOINT_PROFILE: EndpointProfile = EndpointProfile { slots: 4, service_ms: 2, cold_start_ms: 0 };
/// Limit for the growth of a daemon's memory under malformed input.
const MAX_GROWTH_BYTES: u64 = 64 << 20;

fn fleet() -> Fleet {
    let mut fleet = Fleet::start().expect("a store");
    fleet.add_daemon("dc-1").expect("a daemon");
    fleet.add_endpoint("portal", 0, ENDPOINT_PROFILE).expect("an endpoint");
    fleet.apply(&repository_file("samples/prairie.toml")).expect("the sample is accepted");
    fleet.wait_for_endpoints(1).expect("the endpoint is eligible");
    fleet
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_millis(300))).expect("a timeout");
    stream
}

/// Sends bytes, closes the sending direction, and returns the response, which may be empty.
fn send(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(address);
    // The daemon may close the connection before it has read everything.
    _ = stream.write_all(bytes);
    _ = stream.shutdown(Shutdown::Write);
    let mut buf = Vec::new();
    let mut chunk = [0; 4096];
    while let Ok(count) = stream.read(&mut chunk) {
        if count == 0 || buf.len() > 65_536 {
            break;
        }
        buf.extend_from_slice(&chunk[..count]);
    }
    String::from_utf8_lossy(&buf).into_owned()
}

fn lookup_succeeds(fleet: &Fleet) -> bool {
    let resp = ureq::get(format!("http://{}/portal", fleet.callers()[0])).call();
    resp.is_ok_and(|it| it.status() == 200)
}

fn request() -> impl Strategy<Value = Vec<u8>> {
    let line = prop_oneof![
        Just("GET /portal HTTP/1.1".to_owned()),
        Just("POST /peer/dispatch HTTP/1.1".to_owned()),
        Just("POST /announce HTTP/1.1".to_owned()),
        Just("POST /.jayreach/tickets?count=99999999999999999999 HTTP/1.1".to_owned()),
        Just("GET /.jayreach/tickets/vm-1.1.99999999999999999999 HTTP/1.1".to_owned()),
        "[A-Z]{0,8} [ -~]{0,60} HTTP/[0-9]\\.[0-9]",
    ];
    let header = prop_oneof![
        Just("Content-Length: 5".to_owned()),
        Just("Content-Length: -1".to_owned()),
        Just("Content-Length: 99999999999".to_owned()),
        Just("Transfer-Encoding: chunked".to_owned()),
        Just("Jayreach-Timeout-Ms: -3".to_owned()),
        Just("Jayreach-Peer-Key: a-key-for-stand-ins-only".to_owned()),
        Just("Expect: 100-continue".to_owned()),
        "[A-Za-z-]{1,20}: [ -~]{0,200}",
    ];
    let body = prop::collection::vec(any::<u8>(), 0..200);
    let whole = (line, prop::collection::vec(header, 0..6), body).prop_map(|(line, headers, body)| {
        let head = headers.into_iter().fold(line, |head, it| head + "\r\n" + &it) + "\r\n\r\n";
        [head.into_bytes(), body].concat()
    });
    prop_oneof![3 => whole, 1 => prop::collection::vec(any::<u8>(), 0..400)]
}

#[test]
fn malformed_requests_neither_crash_a_daemon_nor_exhaust_its_memory() {
    let mut fleet = fleet();
    let daemon = &fleet.daemons[0];
    let listeners = [daemon.callers, daemon.peers, daemon.local];
    let before = usage(daemon.process.id()).expect("usage").resident;
    let config = Config { cases: 150, failure_persistence: None, max_shrink_iters: 0, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));

    let result = runner.run(&(0..3_usize, request()), |(listener, bytes)| {
        send(listeners[listener], &bytes);
        prop_assert!(lookup_succeeds(&fleet));
        Ok(())
    });

    result.expect("lookups of other callers succeed");
    let after = usage(fleet.daemons[0].process.id()).expect("usage").resident;
    assert!(after < before + MAX_GROWTH_BYTES, "{before} to {after} bytes");
    assert!(!fleet.daemons[0].process.has_exited());
    fleet.close();
}

#[test]
fn slow_and_silent_callers_do_not_block_others() {
    let fleet = fleet();
    let caller = fleet.callers()[0];

    let silent: Vec<_> = (0..300).map(|_| connect(caller)).collect();
    let stuck: Vec<_> = (0..100)
        .map(|_| {
            let mut stream = connect(caller);
            stream.write_all(b"POST /portal HTTP/1.1\r\nContent-Length: 50\r\n\r\nhalf").expect("a write");
            stream
        })
        .collect();

    assert!((0..20).all(|_| lookup_succeeds(&fleet)));
    thread::sleep(Duration::from_secs(12));
    let closed = silent.iter().chain(&stuck).filter(|it| is_closed(it)).count();
    assert_eq!(closed, 400, "silent connections are closed in time");
    fleet.close();
}

fn is_closed(mut stream: &TcpStream) -> bool {
    let mut buf = [0; 4096];
    loop {
        match stream.read(&mut buf) {
            Ok(0) => return true,
            Ok(_) => (),
            Err(error) => return error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }
}

#[test]
fn invalid_requests_get_the_matching_status() {
    let fleet = fleet();
    let daemon = &fleet.daemons[0];
    let large = format!("GET /portal HTTP/1.1\r\nX-Large: {}\r\n\r\n", "x".repeat(40_000));

    let no_key = send(daemon.peers, b"POST /peer/dispatch HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    let bad_message = send(
        daemon.peers,
        b"POST /peer/dispatch HTTP/1.1\r\nJayreach-Peer-Key: a-key-for-stand-ins-only\r\nContent-Length: 3\r\n\r\nabc",
    );
    let bad_announcement = send(daemon.local, b"POST /announce HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}");
    let large = send(daemon.callers, large.as_bytes());
    let half = send(daemon.callers, b"POST /portal HTTP/1.1\r\nContent-Length: 50\r\n\r\nhalf");
    let timeout = send(daemon.callers, b"GET /portal HTTP/1.1\r\nJayreach-Timeout-Ms: soon\r\n\r\n");

    assert!(no_key.starts_with("HTTP/1.1 403"), "{no_key}");
    assert!(bad_message.starts_with("HTTP/1.1 400"), "{bad_message}");
    assert!(bad_announcement.contains("missing field"), "{bad_announcement}");
    assert!(large.starts_with("HTTP/1.1 431") && large.contains("not-run"), "{large}");
    assert!(half.starts_with("HTTP/1.1 400") && half.contains("not-run"), "{half}");
    assert!(timeout.starts_with("HTTP/1.1 400") && timeout.contains("not-run"), "{timeout}");
    fleet.close();
}

/// Time after which a lookup is late, and in which its caller gets the outcome.
const LOOKUP_TIME: Duration = Duration::from_millis(1_500);

/// Serves `start`, then `repeated` without end, or closes the connection if that is empty. Returns its address and the
/// number of answers that it is sending.
fn serve_raw(start: &'static str, repeated: &'static str) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let sending = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&sending);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let counter = Arc::clone(&counter);
            thread::spawn(move || {
                counter.fetch_add(1, Ordering::AcqRel);
                _ = stream.read(&mut [0; 4096]);
                let mut sent = stream.write_all(start.as_bytes());
                while sent.is_ok() && !repeated.is_empty() {
                    sent = stream.write_all(repeated.repeat(64).as_bytes());
                }
                counter.fetch_sub(1, Ordering::AcqRel);
            });
        }
    });
    (address, sending)
}

/// Guards against answers of an endpoint in trouble that fill a daemon's memory, hold its threads, or reach a caller as
/// whole.
#[rstest]
#[case::interim_answers("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::headers("HTTP/1.1 200 x\r\n", "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n")]
#[case::a_body("HTTP/1.1 200 x\r\n\r\n", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")]
#[case::chunks("HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\naaaa\r\n")]
#[case::a_cut_status_line("HTTP/1.1 20", "")]
#[case::a_cut_head("HTTP/1.1 200 x\r\nContent-Length: 0\r\n", "")]
#[case::a_cut_body("HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nhel", "")]
#[case::a_cut_chunk("HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhel", "")]
fn answers_of_endpoints_that_break_off_or_never_end_hold_nothing_in_a_daemon(
    #[case] start: &'static str,
    #[case] repeated: &'static str,
) {
    let mut fleet = Fleet::start().expect("a store");
    fleet.add_daemon("dc-1").expect("a daemon");
    fleet.apply(&repository_file("samples/prairie.toml")).expect("the sample is accepted");
    let (address, sending) = serve_raw(start, repeated);
    let (service, state) = ("portal".into(), AnnouncedState::Serving);
    let announcement = Announcement { service, address, slots: 4, state, load: 0, limit: None };
    let body = serde_json::to_vec(&announcement).expect("an announcement can be encoded");
    ureq::post(format!("http://{}/announce", fleet.daemons[0].local)).send(&body[..]).expect("it is accepted");
    fleet.wait_for_endpoints(1).expect("the endpoint is eligible");
    let before = usage(fleet.daemons[0].process.id()).expect("usage").resident;

    let caller = fleet.callers()[0];
    let started = Instant::now();
    let answers: Vec<_> = thread::scope(|scope| {
        let lookups: Vec<_> =
            (0..3).map(|_| scope.spawn(|| ureq::get(format!("http://{caller}/portal")).call().is_ok())).collect();
        lookups.into_iter().map(|it| it.join().expect("the caller doesn't panic")).collect()
    });
    let took = started.elapsed();
    thread::sleep(LOOKUP_TIME);
    let after = usage(fleet.daemons[0].process.id()).expect("usage").resident;

    println!("{took:.2?}; {before} to {after} bytes; {} answers are still being sent", sending.load(Ordering::Acquire));
    assert!(answers.iter().all(|it| !it) && took <= LOOKUP_TIME, "{answers:?} after {took:.2?}");
    assert_eq!(sending.load(Ordering::Acquire), 0, "connections are still open");
    assert!(after < before + MAX_GROWTH_BYTES, "{before} to {after} bytes");
    fleet.close();
}
