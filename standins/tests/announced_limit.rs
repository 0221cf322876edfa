//! Guards against an endpoint of the program's own interface getting more requests than the limit that it announces.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use standins::{
    deployment::repository_file,
    endpoint::OPERATION_HEADER,
    fleet::{EndpointProfile, Fleet},
    relay::Relay,
};

const ENDPOINT_PROFILE: EndpointProfile = EndpointProfile { slots: 8, service_ms: 2, cold_start_ms: 0 };
/// Requests a second that the endpoint announces.
const LIMIT: f64 = 2.0;
/// Time for which requests are sent.
const DURATION: Duration = Duration::from_secs(8);

/// Announces an address for `portal` with the limit, until `finished` is set.
fn announce(local: SocketAddr, address: SocketAddr, finished: Arc<AtomicBool>) {
    thread::spawn(move || {
        while !finished.load(Ordering::Acquire) {
            let body =
                format!(r#"{{"service":"portal","address":"{address}","slots":8,"state":"serving","limit":{LIMIT}}}"#);
            // An error is expected once the test has stopped its daemon.
            _ = ureq::post(format!("http://{local}/announce")).send(&body);
            thread::sleep(Duration::from_millis(500));
        }
    });
}

#[test]
fn an_endpoint_gets_no_more_requests_than_the_limit_that_it_announces() {
    let mut fleet = Fleet::start().expect("a store");
    fleet.add_daemon("dc-1").expect("a daemon");
    let (local, caller) = (fleet.daemons[0].local, fleet.callers()[0]);
    let finished = Arc::new(AtomicBool::new(false));
    // The endpoint announces itself under a service without a route, so that only the relay's announcement counts.
    let at = fleet.add_endpoint("behind-a-relay", 0, ENDPOINT_PROFILE).expect("an endpoint");
    let relay = Relay::start(fleet.endpoints[at].address).expect("a relay");
    announce(local, relay.address, Arc::clone(&finished));
    fleet.apply(&repository_file("samples/prairie.toml")).expect("the sample is accepted");
    fleet.wait_for_endpoints(2).expect("the endpoints are eligible");

    let start = Instant::now();
    thread::scope(|scope| {
        for worker in 0..4 {
            scope.spawn(move || {
                for number in 0.. {
                    if start.elapsed() >= DURATION {
                        break;
                    }
                    let operation = format!("lookup-{worker}-{number}");
                    let req = ureq::post(format!("http://{caller}/portal")).header(OPERATION_HEADER, &operation);
                    // Most requests are refused.
                    _ = req.send(&operation);
                    thread::sleep(Duration::from_millis(10));
                }
            });
        }
    });

    let runs = fleet.read_run_logs().expect("the run logs").iter().filter(|it| it.starts_with("lookup")).count();
    let (lowest, highest) = (LIMIT * DURATION.as_secs_f64() * 0.5, 1.5 * LIMIT * DURATION.as_secs_f64() + 5.0);
    assert!((lowest..=highest).contains(&(runs as f64)), "{runs} runs; {lowest} to {highest} expected");
    finished.store(true, Ordering::Release);
    fleet.close();
}
