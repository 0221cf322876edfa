//! `standins overload`: one service at several times its capacity, through real processes.
//!
//! The same load runs on two configurations: one with importances, and one in which all classes
//! matter alike, which makes the queue at the guard serve the most urgent first.

use std::{fs, io, thread, time::Duration};

use rustix::process::Signal;

use crate::{
    fleet::{EndpointProfile, Fleet},
    load::{self, Load, ReportedOutcome, RequestClass, Summary},
};

/// Endpoints of the service.
const ENDPOINTS: usize = 4;
/// What each is like.
const ENDPOINT_PROFILE: EndpointProfile = EndpointProfile { slots: 5, service_ms: 100, cold_start_ms: 0 };
/// The service's capacity, in requests a second.
const CAPACITY: f64 =
    (ENDPOINTS * ENDPOINT_PROFILE.slots as usize) as f64 * 1000.0 / ENDPOINT_PROFILE.service_ms as f64;
/// The loads, in shares of the capacity.
const LOADS: [f64; 5] = [0.8, 1.0, 1.5, 2.0, 4.0];
/// How long each load lasts.
const DURATION: Duration = Duration::from_secs(10);
/// How long all endpoints are stalled.
const STALL: Duration = Duration::from_secs(3);

/// The targets; the numbers stand for the importances of the three classes.
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

/// Runs all loads on both configurations, and a stall, and prints a table.
pub fn run(seed: u64) -> io::Result<()> {
    println!("capacity {CAPACITY} requests/s; 20% charges, 30% vouchers, 50% lookups; share in time by class");
    println!("{:14} {:>6} {:>9} {:>9} {:>9} {:>12}", "importances", "load", "charge", "voucher", "lookup", "useful/s");
    for importances in [[90, 60, 30], [50, 50, 50]] {
        let fleet = start(importances)?;
        for share in LOADS {
            let load = Load {
                mix: mix(),
                rate: CAPACITY * share,
                duration: DURATION,
                seed,
                workers: 512,
                retries_unknown: false,
            };
            let history = load::run(&load, &fleet.callers());
            print_row(importances, share, &load::summarize(&load, &history));
        }
        fleet.close();
    }
    stall(seed)
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

fn print_row(importances: [u8; 3], share: f64, summaries: &[Summary]) {
    let in_time = |it: &Summary| 100.0 * it.in_time as f64 / it.requests.max(1) as f64;
    let useful: usize = summaries.iter().map(|it| it.in_time).sum();
    let [charge, voucher, lookup] = [0, 1, 2].map(|at| in_time(&summaries[at]));
    println!(
        "{:14} {share:>5.1}x {charge:>8.2}% {voucher:>8.2}% {lookup:>8.2}% {:>12.1}",
        format!("{importances:?}"),
        useful as f64 / DURATION.as_secs_f64()
    );
}

/// Pauses all endpoints for a while under lookups at 0.8 of the capacity, and counts the runs that
/// were more than one an operation.
fn stall(seed: u64) -> io::Result<()> {
    let fleet = start([90, 60, 30])?;
    let lookups = RequestClass { percent: 100, ..mix().remove(2) };
    let load = Load {
        mix: vec![lookups],
        rate: CAPACITY * 0.8,
        duration: DURATION,
        seed,
        workers: 512,
        retries_unknown: false,
    };
    let callers = fleet.callers();
    let history = thread::scope(|scope| {
        let running = scope.spawn(|| load::run(&load, &callers));
        thread::sleep(Duration::from_secs(3));
        fleet.endpoints.iter().for_each(|it| it.process.signal(Signal::STOP));
        thread::sleep(STALL);
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
        STALL.as_secs(),
        history.len(),
        100.0 * (runs as f64 / (history.len() - refused) as f64 - 1.0).max(0.0),
        100.0 * good as f64 / after.count().max(1) as f64
    );
    fleet.close();
    Ok(())
}
