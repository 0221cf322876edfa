//! `standins demo`: both deployments as separate processes, under load, with one endpoint broken.

use std::{io, thread, time::Duration};

use crate::{
    deployment::{Deployment, pila_verde, prairie},
    endpoint::EndpointFault,
    history,
    load::{self, Load, Record, ReportedOutcome},
};

/// How many daemons a deployment gets.
const DAEMONS: usize = 6;
/// For how long each deployment is under load.
const DURATION: Duration = Duration::from_secs(12);
/// When the endpoint breaks.
const BREAK_AFTER: Duration = Duration::from_secs(4);

/// Runs the demo.
pub fn run(rate: f64, seed: u64) -> io::Result<bool> {
    let mut holds = true;
    for deployment in [prairie(), pila_verde()] {
        holds &= show(&deployment, rate, seed)?;
    }
    Ok(holds)
}

fn show(deployment: &Deployment, rate: f64, seed: u64) -> io::Result<bool> {
    println!("== {}: {DAEMONS} daemons, {:?}", deployment.name, deployment.services);
    let fleet = deployment.start(DAEMONS)?;
    let load =
        Load { mix: deployment.mix.clone(), rate, duration: DURATION, seed, workers: 128, retries_unknown: true };
    let broken = fleet.endpoints[0].address;
    let history = thread::scope(|scope| {
        let callers = fleet.callers();
        let load = &load;
        let running = scope.spawn(move || load::run(load, &callers));
        thread::sleep(BREAK_AFTER);
        println!("   after {} s, {broken} answers its health checks and fails all real work", BREAK_AFTER.as_secs());
        let fault = EndpointFault { errors: 1.0, ..EndpointFault::default() };
        let broke = fleet.set_fault(broken, &fault);
        let history = running.join().expect("the load does not panic");
        broke.map(|()| history)
    })?;
    load::print(&load::summarize(&load, &history));
    match last_error(&history) {
        Some(it) => println!("   last error {:.1} s after the break", (it.saturating_sub(BREAK_AFTER)).as_secs_f64()),
        None => println!("   no caller saw an error"),
    }
    let verdict = history::check(&load.mix, &history, &fleet.read_run_logs()?);
    println!("   {verdict}");
    fleet.close();
    Ok(verdict.passed())
}

fn last_error(history: &[Record]) -> Option<Duration> {
    let errors = history.iter().filter(|it| matches!(it.first_outcome, ReportedOutcome::Done(500..)));
    errors.map(|it| it.due).max()
}
