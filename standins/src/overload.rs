//! `standins overload`: loads one service with up to four times its capacity, through real processes.
//!
//! The same load runs on two configurations: one with a different importance for each class, and one with equal
//! importances, with which the guard's queue serves the earliest deadline first.

use std::{fs, io, thread, time::Duration};

use rustix::process::Signal;

use crate::{
    fleet::{EndpointProfile, Fleet},
    load::{self, Load, ReportedOutcome, RequestClass, Summary},
};

/// Number of endpoints of the service.
const ENDPOINTS: usize = 4;
const ENDPOINT_PROFILE: EndpointProfile = EndpointProfile { slots: 5, service_ms: 100, cold_start_ms: 0 };
/// Capacity of the service, in requests per second.
const CAPACITY: f64 =
    (ENDPOINTS * ENDPOINT_PROFILE.slots as usize) as f64 * 1000.0 / ENDPOINT_PROFILE.service_ms as f64;
/// Loads, as multiples of the capacity.
const LOAD_FACTORS: [f64; 5] = [0.8, 1.0, 1.5, 2.0, 4.0];
/// Duration of each load.
const LOAD_DURATION: Duration = Duration::from_secs(10);
/// How long all endpoints are paused.
const PAUSE: Duration = Duration::from_secs(3);

/// Targets with these importances of the classes charge, voucher and lookup.
fn targets(importances: [u8; 3]) -> String {
    let mut text = String::from("[service.mixed]\nfloor_percent = 60\nweighs = \"detection-time\"\n");
    let classes = [("charge", false), ("voucher", false), ("lookup", true)];
    for ((class, idempotent), importance) in classes.into_iter().zip(importances) {
        text += &format!("[class.{class}]\nlateness = \"1s\"\nimportance = {importance}\nidempotent = {idempotent}\n");
        text += &format!("[[route]]\nprefix = \"/{class}\"\nservice = \"mixed\"\nclass = \"{class}\"\npublic = true\n");
    }
    text
}

fn mix() -> Vec<RequestClass> {
    let class = |name, path, ticketed, percent| RequestClass {
        name,
        path,
        ticketed,
        percent,
        lateness: Duration::from_secs(1),
    };
    vec![
        class("charge", "/charge", true, 20),
        class("voucher", "/voucher", true, 30),
        class("lookup", "/lookup", false, 50),
    ]
}

/// Runs all loads on both configurations, then a pause of all endpoints, and prints a table.
pub fn run(seed: u64) -> io::Result<()> {
    println!("capacity {CAPACITY} requests/s; 20% charges, 30% vouchers, 50% lookups; share in time by class");
    println!("{:14} {:>6} {:>9} {:>9} {:>9} {:>12}", "importances", "load", "charge", "voucher", "lookup", "useful/s");
    for importances in [[90, 60, 30], [50, 50, 50]] {
        let fleet = start(importances)?;
        for factor in LOAD_FACTORS {
            let load = Load {
                mix: mix(),
                rate: CAPACITY * factor,
                duration: LOAD_DURATION,
                seed,
                workers: 512,
                retries_unknown: false,
            };
            let history = load::run(&load, &fleet.callers());
            print_row(importances, factor, &load::summarize(&load, &history));
        }
        fleet.close();
    }
    run_pause(seed)
}

fn start(importances: [u8; 3]) -> io::Result<Fleet> {
    let mut fleet = Fleet::start()?;
    for _ in 0..2 {
        fleet.add_daemon("dc-1")?;
    }
    for at in 0..ENDPOINTS {
        fleet.add_endpoint("mixed", at % 2, ENDPOINT_PROFILE)?;
    }
    let file = std::env::temp_dir().join(format!("jayreach-overload-{}.toml", std::process::id()));
    fs::write(&file, targets(importances))?;
    fleet.apply(&file)?;
    fleet.wait_for_endpoints(ENDPOINTS)?;
    fs::remove_file(file)?;
    Ok(fleet)
}

fn print_row(importances: [u8; 3], factor: f64, summaries: &[Summary]) {
    let in_time = |it: &Summary| 100.0 * it.in_time as f64 / it.requests.max(1) as f64;
    let useful: usize = summaries.iter().map(|it| it.in_time).sum();
    let [charge, voucher, lookup] = [0, 1, 2].map(|at| in_time(&summaries[at]));
    println!(
        "{:14} {factor:>5.1}x {charge:>8.2}% {voucher:>8.2}% {lookup:>8.2}% {:>12.1}",
        format!("{importances:?}"),
        useful as f64 / LOAD_DURATION.as_secs_f64()
    );
}

/// Pauses all endpoints under a load of lookups at 0.8 of the capacity, and prints the share of executions beyond
/// the first of an operation.
fn run_pause(seed: u64) -> io::Result<()> {
    let fleet = start([90, 60, 30])?;
    let lookups = RequestClass { percent: 100, ..mix().remove(2) };
    let load = Load {
        mix: vec![lookups],
        rate: CAPACITY * 0.8,
        duration: LOAD_DURATION,
        seed,
        workers: 512,
        retries_unknown: false,
    };
    let callers = fleet.callers();
    let history = thread::scope(|scope| {
        let running = scope.spawn(|| load::run(&load, &callers));
        thread::sleep(Duration::from_secs(3));
        fleet.endpoints.iter().for_each(|it| it.process.signal(Signal::STOP));
        thread::sleep(PAUSE);
        fleet.endpoints.iter().for_each(|it| it.process.signal(Signal::CONT));
        running.join().expect("the load does not panic")
    });
    let runs = fleet.read_run_logs()?.len();
    let refused = history.iter().filter(|it| it.first_outcome == ReportedOutcome::NotRun).count();
    let after = history.iter().filter(|it| it.due > Duration::from_secs(8));
    let good = after.clone().filter(|it| matches!(it.first_outcome, ReportedOutcome::Done(200))).count();
    println!(
        "stall of all endpoints for {} s at 0.8x, lookups only: {} operations, {refused} refused as not run, \
         {runs} runs, extra runs {:.1}%, answered well from 2 s after the stall {:.1}%",
        PAUSE.as_secs(),
        history.len(),
        100.0 * (runs as f64 / (history.len() - refused) as f64 - 1.0).max(0.0),
        100.0 * good as f64 / after.count().max(1) as f64
    );
    fleet.close();
    Ok(())
}
