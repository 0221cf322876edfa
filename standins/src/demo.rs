//! `standins demo`: runs both sample deployments as separate processes under load while one endpoint fails.

use std::{io, thread, time::Duration};

use crate::{
    deployment::{Deployment, pila_verde, prairie},
    endpoint::EndpointFault,
    history,
    load::{self, Load, Record, ReportedOutcome},
};

/// Number of daemons of a deployment.
const DAEMONS: usize = 6;
/// Duration of the load on each deployment.
const DURATION: Duration = Duration::from_secs(12);
/// Time from the start of the load to the endpoint's fault.
const FAULT_AFTER: Duration = Duration::from_secs(4);

/// Runs the demo and prints its tables; false if a history check failed.
pub fn run(rate: f64, seed: u64) -> io::Result<bool> {
    let mut passed = true;
    for deployment in [prairie(), pila_verde()] {
        passed &= run_deployment(&deployment, rate, seed)?;
    }
    Ok(passed)
}

fn run_deployment(deployment: &Deployment, rate: f64, seed: u64) -> io::Result<bool> {
    println!("== {}: {DAEMONS} daemons, {:?}", deployment.name, deployment.services);
    let fleet = deployment.start(DAEMONS)?;
    let load =
        Load { mix: deployment.mix.clone(), rate, duration: DURATION, seed, workers: 128, retries_unknown: true };
    let faulty = fleet.endpoints[0].address;
    let history = thread::scope(|scope| {
        let callers = fleet.callers();
        let load = &load;
        let running = scope.spawn(move || load::run(load, &callers));
        thread::sleep(FAULT_AFTER);
        println!(
            "   after {} s, endpoint {faulty} fails all requests and still announces itself as serving",
            FAULT_AFTER.as_secs()
        );
        let fault = EndpointFault { errors: 1.0, ..EndpointFault::default() };
        let fault_set = fleet.set_fault(faulty, &fault);
        let history = running.join().expect("the load does not panic");
        fault_set.map(|()| history)
    })?;
    load::print(&load::summarize(&load, &history));
    match last_error(&history) {
        Some(it) => println!("   last error {:.1} s after the fault", (it.saturating_sub(FAULT_AFTER)).as_secs_f64()),
        None => println!("   no caller saw an error"),
    }
    let report = history::check(&load.mix, &history, &fleet.read_run_logs()?);
    println!("   {report}");
    fleet.close();
    Ok(report.passed())
}

fn last_error(history: &[Record]) -> Option<Duration> {
    let errors = history.iter().filter(|it| matches!(it.first_outcome, ReportedOutcome::Done(500..)));
    errors.map(|it| it.due).max()
}
