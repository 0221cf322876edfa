//! A backend deregisters and the proxy beside it, which acknowledged that, is killed and started again. A ping that the
//! backend had sent before arrives late.

#[path = "../shared-2/kit.rs"]
mod kit;

use std::{
    path::PathBuf,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use kit::*;

/// Time budget of the requests, and timeout of the route.
const BUDGET: Duration = Duration::from_secs(4);
/// How long a machine counts as out of touch after the start of its process.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// How long the backend goes on serving after its deregistration; the days of the site have 15 s.
const STAYS: Duration = Duration::from_secs(12);

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
    store.put_config(&config(
        5,
        &[route("drop-log", "/drop/", "non_idempotent", "acopio", 4.0, 2)],
        &["acopio", "mapa"],
    ));
    let leaver = Backend::start("acopio", "i-leaver", 4, Duration::from_millis(400), record);
    let other = Backend::start("acopio", "i-other", 4, Duration::from_millis(400), record);
    let third = Backend::start("mapa", "i-third", 4, Duration::from_millis(400), record);
    let mut beside_leaver = Proxy::start(dir, "sidecar-1", "qro-a", &leaver, store.address, record);
    let beside_other = Proxy::start(dir, "sidecar-2", "qro-a", &other, store.address, record);
    let ingress = Proxy::start(dir, "sidecar-3", "qro-a", &third, store.address, record);
    leaver.start_pings(beside_leaver.control);
    other.start_pings(beside_other.control);
    third.start_pings(ingress.control);
    if !wait_until(Duration::from_secs(15), || {
        [&beside_leaver, &beside_other, &ingress].iter().all(|it| it.is_ready() && it.endpoints() == 3)
    }) {
        return Err("the proxies didn't become ready".into());
    }

    let stop = flag();
    let answers = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..8)
        .map(|_| {
            let (stop, answers, to, record) = (stop.clone(), answers.clone(), ingress.outbound, record.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let id = request_id("drop");
                    let sent = Instant::now();
                    let answer = request(to, "POST", "/drop/one", &id, BUDGET, b"a battery");
                    record.line_at(sent, format!("client sent {id}, answer {}", shown(&answer)));
                    answers.lock().unwrap().push((sent, id, answer.map(|it| it.status()).unwrap_or(0)));
                    sleep_ms(100);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));

    // The last ping before the backend leaves; it arrives late if there is trouble.
    leaver.lock().pings = false;
    sleep_ms(200);
    let sequence = leaver.next_sequence();
    if trouble {
        record.line(format!("backend i-leaver sends ping {sequence} (ready), which is delayed"));
    } else {
        record.line(format!("ping {sequence}: {:?}", leaver.send_ping(beside_leaver.control, "ready", sequence)));
    }
    sleep_ms(400);
    leaver.lock().leaving = true;
    let status = leaver.deregister(beside_leaver.control).map_err(|it| it.to_string())?;
    let acknowledged = Instant::now();
    record.line(format!("backend i-leaver deregisters: {status}"));
    if status / 100 != 2 {
        return Err("the deregistration was not acknowledged".into());
    }
    let mut in_touch = acknowledged;
    if trouble {
        sleep_ms(300);
        beside_leaver.kill();
        sleep_ms(700);
        beside_leaver.spawn();
        in_touch = Instant::now() + STABLE_WINDOW;
        sleep_ms(1_000);
        let status = leaver.send_ping(beside_leaver.control, "ready", sequence);
        record.line(format!("the delayed ping {sequence} arrives: {status:?}"));
        status.map_err(|it| format!("the delayed ping got no answer: {it}"))?;
    }
    thread::sleep(STAYS.saturating_sub(acknowledged.elapsed()));
    record.line("backend i-leaver exits");
    leaver.exit();
    let exit = Instant::now();
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|it| _ = it.join());

    let arrivals = [&leaver, &other].map(|it| it.lock().arrivals.clone());
    for it in arrivals.iter().flatten() {
        record.line_at(it.at, format!("{} got {} ran={}", it.instance, it.id, it.ran));
    }
    // Both ends of the path were in touch and the time to drain was over.
    let judged_from = (acknowledged + DRAIN).max(in_touch);
    let late: Vec<Arrival> = leaver.lock().arrivals.iter().filter(|it| it.at > judged_from).cloned().collect();
    let lost: Vec<String> = {
        let answers = answers.lock().unwrap();
        let unanswered = |id: &str| answers.iter().any(|it| it.1 == id && it.2 != 200);
        late.iter().filter(|it| it.ran && unanswered(&it.id)).map(|it| it.id.clone()).collect()
    };
    let served = answers.lock().unwrap().iter().filter(|it| it.2 == 200).count();
    record.line(format!(
        "{} requests reached i-leaver more than {:.1} s after the acknowledgement (the last {:.1} s after it); {} of them \
         ran there without an answer for the client, as the backend exited {:.1} s after it; {served} requests were served",
        late.len(),
        judged_from.saturating_duration_since(acknowledged).as_secs_f64(),
        late.last().map_or(0.0, |it| (it.at - acknowledged).as_secs_f64()),
        lost.len(),
        (exit - acknowledged).as_secs_f64(),
    ));
    if served < 20 {
        return Err("hardly any request was served".into());
    }
    Ok(late.is_empty())
}
