//! Open connections to endpoints go silent without a reset while new connections work: requests must succeed over
//! new ones.

use std::{
    net::SocketAddr,
    sync::Arc,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use standins::{
    deployment::repository_file,
    endpoint::OPERATION_HEADER,
    fleet::{EndpointProfile, Fleet, TOKEN},
    relay::Relay,
};

const ENDPOINT_PROFILE: EndpointProfile = EndpointProfile { slots: 8, service_ms: 2, cold_start_ms: 0 };

/// Announces an address for `service` until `finished` is set.
fn announce(local: SocketAddr, service: &'static str, address: SocketAddr, finished: Arc<AtomicBool>) {
    thread::spawn(move || {
        while !finished.load(Ordering::Acquire) {
            let body = format!(r#"{{"service":"{service}","address":"{address}","slots":8,"state":"serving"}}"#);
            // An error is expected once the test has stopped its daemon.
            _ = ureq::post(format!("http://{local}/announce")).send(&body);
            thread::sleep(Duration::from_millis(500));
        }
    });
}

fn lookup(caller: SocketAddr, operation: &str) -> (u16, Duration) {
    let started = Instant::now();
    let req = ureq::post(format!("http://{caller}/portal")).header(OPERATION_HEADER, operation);
    let status = match req.send(operation) {
        Ok(it) => it.status().as_u16(),
        Err(ureq::Error::StatusCode(it)) => it,
        Err(_) => 0,
    };
    (status, started.elapsed())
}

fn charge(caller: SocketAddr, operation: &str) -> (u16, Duration) {
    let tickets = ureq::post(format!("http://{caller}/.jayreach/tickets")).send_empty();
    let text = tickets.expect("tickets").body_mut().read_to_string().expect("a body");
    let ticket = text.trim_matches(['[', ']', '"']).to_owned();
    let started = Instant::now();
    let req = ureq::post(format!("http://{caller}/billing/charges"))
        .header(OPERATION_HEADER, operation)
        .header("Authorization", format!("Bearer {TOKEN}"))
        .header("Jayreach-Ticket", ticket);
    let status = match req.send(operation) {
        Ok(it) => it.status().as_u16(),
        Err(ureq::Error::StatusCode(it)) => it,
        Err(_) => 0,
    };
    (status, started.elapsed())
}

#[test]
fn requests_succeed_over_new_connections() {
    let mut fleet = Fleet::start().expect("a store");
    fleet.add_daemon("dc-1").expect("a daemon");
    let (local, caller) = (fleet.daemons[0].local, fleet.callers()[0]);
    let finished = Arc::new(AtomicBool::new(false));
    let mut relays = Vec::new();
    for service in ["portal", "billing"] {
        // The endpoint announces itself under a service without a route, so that requests pass through the relay.
        let at = fleet.add_endpoint("behind-a-relay", 0, ENDPOINT_PROFILE).expect("an endpoint");
        let relay = Relay::start(fleet.endpoints[at].address).expect("a relay");
        announce(local, service, relay.address, Arc::clone(&finished));
        relays.push(relay);
    }
    fleet.apply(&repository_file("samples/prairie.toml")).expect("the sample is accepted");
    fleet.wait_for_endpoints(4).expect("the endpoints are eligible");
    let warm = thread::scope(|scope| {
        let running: Vec<_> = (0..6).map(|it| scope.spawn(move || lookup(caller, &format!("warm-{it}")).0)).collect();
        running.into_iter().map(|it| it.join().expect("a lookup")).collect::<Vec<_>>()
    });
    assert!(warm.iter().all(|it| *it == 200), "{warm:?}");

    relays.iter().for_each(Relay::silence_open_connections);
    let charged = charge(caller, "charge-1");
    let looked_up: Vec<_> = (0..4).map(|it| lookup(caller, &format!("after-{it}"))).collect();

    assert_eq!(charged.0, 200, "{charged:?}");
    assert!(looked_up.iter().all(|it| it.0 == 200 && it.1 < Duration::from_secs(1)), "{looked_up:?}");
    let runs = fleet.read_run_logs().expect("the run logs");
    assert_eq!(runs.iter().filter(|it| ***it == *"charge-1").count(), 1);
    finished.store(true, Ordering::Release);
    fleet.close();
}
