//! All proxies that watch the store go at the same moment, and the configuration changes.

#[path = "../shared-2/kit.rs"]
mod kit;

use std::{
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

use kit::*;

/// `config_apply_s`.
const CONFIG_APPLY: Duration = Duration::from_secs(2);
const MACHINES: usize = 10;
/// The share of `herd_kill` in the list of kinds.
const LOST: usize = 6;
/// How long the clients ask for the new route.
const ASKS_FOR: Duration = Duration::from_secs(16);

fn main() {
    let record = Record::create(&format!("{}/record.txt", std::env::var("CASE").unwrap_or_else(|_| ".".into())));
    start_watchdog(&record);
    let dir = temporary_folder();
    let verdict = run(&dir, &record);
    finish(&dir, &record, verdict);
}

fn run(dir: &PathBuf, record: &Record) -> Result<bool, String> {
    let trouble = !without_trouble();
    let store = Store::start();
    let old_route = route("room-check", "/room/", "idempotent", "vouchers", 4.0, 2);
    store.put_config(&config(5, std::slice::from_ref(&old_route), &["vouchers"]));
    let mut machines = Vec::new();
    for at in 0..MACHINES {
        let zone = ["regina-hall", "brandon-hall"][at % 2];
        let backend = Backend::start("vouchers", &format!("i-{at}"), 7, Duration::from_millis(50), record);
        let proxy = Proxy::start(dir, &format!("sidecar-{zone}-{}", at / 2), zone, &backend, store.address, record);
        backend.start_pings(proxy.control);
        machines.push((proxy, backend));
    }
    if !wait_until(Duration::from_secs(20), || {
        machines.iter().all(|it| it.0.is_ready() && it.0.endpoints() == MACHINES)
    }) {
        return Err("the proxies didn't become ready".into());
    }
    // Extra watchers of the start have stepped back by then.
    thread::sleep(Duration::from_secs(8));
    let watches = |it: &Proxy| it.status().contains("\"watching\":true");
    let (watchers, others): (Vec<_>, Vec<_>) = machines.into_iter().partition(|it| watches(&it.0));
    record.line(format!("{} of {MACHINES} proxies watch the store", watchers.len()));
    if watchers.len() > LOST {
        return Err("more proxies watch the store than may be lost at once".into());
    }
    let mut watchers = watchers;
    if trouble {
        for (proxy, backend) in &mut watchers {
            proxy.kill();
            backend.exit();
        }
    }
    sleep_ms(300);
    store.put_config(&config(
        7,
        &[old_route, route("rate-read", "/rate/", "idempotent", "vouchers", 4.0, 2)],
        &["vouchers"],
    ));
    let acknowledged = Instant::now();
    record.line("the store acknowledges version 7, which adds the route /rate/");
    let mut late = 0;
    let mut last = Duration::ZERO;
    let mut served = 0;
    while acknowledged.elapsed() < ASKS_FOR {
        for (proxy, _) in &others {
            let (id, sent) = (request_id("rate"), Instant::now());
            let answer = request(proxy.outbound, "GET", "/rate/one", &id, Duration::from_secs(4), b"");
            let after = sent - acknowledged;
            record.line_at(sent, format!("client of {} sent {id}, answer {}", proxy.name, shown(&answer)));
            served += u32::from(answer.as_ref().is_ok_and(|it| it.status() == 200));
            // The store and these machines are undisturbed all the while.
            if after > CONFIG_APPLY && answer.is_ok_and(|it| it.status() == 404) {
                late += 1;
                last = after;
            }
        }
        sleep_ms(200);
    }
    for it in others.iter().flat_map(|it| it.1.lock().arrivals.clone()) {
        record.line_at(it.at, format!("{} got {} ran={}", it.instance, it.id, it.ran));
    }
    record.line(format!(
        "{late} requests later than {} s after the acknowledgement got 404 for the new route, the last {:.1} s after it; \
         {served} were served",
        CONFIG_APPLY.as_secs(),
        last.as_secs_f64(),
    ));
    if served == 0 && late == 0 {
        return Err("the new route was never served".into());
    }
    Ok(late == 0)
}
