//! Command line of the `standins` program: stand-ins, measurements and soaks.

use std::{io, net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::{Bpaf, Parser as _};
use standins::{
    bench, demo, deployment,
    endpoint::{self, EndpointOptions},
    gray,
    idle::{self, IdleOptions},
    load::{self, Load},
    overload, platform, slopes,
    soak::{self, FAULTS, SoakOptions},
    store,
};

/// The commands of `standins`.
#[derive(Debug, Clone, Bpaf)]
enum Command {
    /// Run a stand-in for the platform's store
    #[bpaf(command)]
    Store {
        /// Address to listen on
        #[bpaf(argument("ADDRESS"))]
        address: SocketAddr,
    },
    /// Run a stand-in for an endpoint
    #[bpaf(command)]
    Endpoint {
        /// Service of the endpoint
        #[bpaf(argument("NAME"))]
        service: String,
        /// Address to listen on
        #[bpaf(argument("ADDRESS"))]
        address: SocketAddr,
        /// Local address of the daemon on the same VM
        #[bpaf(argument("ADDRESS"))]
        daemon: SocketAddr,
        /// Number of requests that may run at the same time
        #[bpaf(argument("COUNT"), fallback(4))]
        slots: u16,
        /// Mean service time of a request, in milliseconds
        #[bpaf(argument("MS"), fallback(10))]
        service_ms: u64,
        /// Duration of the cold start, in milliseconds
        #[bpaf(argument("MS"), fallback(0))]
        cold_start_ms: u64,
        /// File that each executed operation is appended to
        #[bpaf(argument("FILE"))]
        log: PathBuf,
    },
    /// Send a deployment's load to running daemons and print the outcomes
    #[bpaf(command)]
    Caller {
        /// Address of a daemon for callers; repeat it for each daemon
        #[bpaf(argument("ADDRESS"), some("name at least one daemon"))]
        daemon: Vec<SocketAddr>,
        /// Send Pila Verde's load instead of Prairie's
        pila_verde: bool,
        /// Requests per second
        #[bpaf(argument("RATE"), fallback(100.0))]
        rate: f64,
        /// Duration of the load, in seconds
        #[bpaf(argument("SECONDS"), fallback(10))]
        seconds: u64,
        /// Seed of the load
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
    },
    /// Run both sample deployments under load while one endpoint fails
    #[bpaf(command)]
    Demo {
        /// Requests per second
        #[bpaf(argument("RATE"), fallback(300.0))]
        rate: f64,
        /// Seed of the load
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
    },
    /// Measure the latency and processor time that a pair of daemons adds to a request
    #[bpaf(command)]
    Bench {
        /// Requests per second of the open loop
        #[bpaf(argument("RATE"), fallback(1000.0))]
        rate: f64,
    },
    /// Print detection time and false ejections of the failure detector and of two published rules
    #[bpaf(command)]
    Gray {
        /// Length of a trace, in hours
        #[bpaf(argument("HOURS"), fallback(24.0))]
        hours: f64,
        /// Seed of the traces
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
    },
    /// Load a service with up to four times its capacity, then pause all its endpoints
    #[bpaf(command)]
    Overload {
        /// Seed of the load
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
    },
    /// Measure the cost of one row, ticket, route, account and decision
    #[bpaf(command)]
    Slopes {
        /// Seed of the random parts
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
    },
    /// Measure what an idle fleet of daemons uses and how fast changes spread
    #[bpaf(command)]
    Idle {
        /// Number of daemons
        #[bpaf(argument("COUNT"), fallback(24))]
        daemons: usize,
        /// Number of configuration changes
        #[bpaf(argument("COUNT"), fallback(20))]
        changes: usize,
        /// Number of endpoints announced to each daemon; 11 in a fleet of full size
        #[bpaf(argument("COUNT"), fallback(11))]
        endpoints: u16,
        /// Use a configuration of full size: 22,000 routes and 190,000 accounts
        large: bool,
    },
    /// Run proxies on a stand-in of the users' platform under load and faults, and check the outcomes
    #[bpaf(command)]
    ProxySoak {
        /// Seed of the load and the faults
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Number of soaks, with this seed and the following ones
        #[bpaf(argument("COUNT"), fallback(1))]
        count: u64,
        /// Duration of the faults of each soak, in seconds
        #[bpaf(argument("SECONDS"), fallback(20))]
        seconds: u64,
        /// Number of proxies
        #[bpaf(argument("COUNT"), fallback(6))]
        proxies: usize,
        /// Repeatedly send a request that crashes its endpoints
        crashing: bool,
        /// Restore the store from a backup from time to time
        restoring: bool,
        /// Let endpoints name limits and say that they are leaving in their answers
        notices: bool,
        /// Reload each proxy several times after its restarts, from the opening of its ports on
        reloading: bool,
        /// Print each fault
        verbose: bool,
    },
    /// Run a sample deployment under load and faults, and check the outcomes
    #[bpaf(command)]
    Soak {
        /// Seed of the load and the faults; even: Pila Verde, odd: Prairie
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Duration of load and faults, in minutes
        #[bpaf(argument("MINUTES"), fallback(1.0))]
        minutes: f64,
        /// Requests per second
        #[bpaf(argument("RATE"), fallback(150.0))]
        rate: f64,
    },
}

fn main() -> ExitCode {
    match run(command().to_options().run()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("standins: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a command; `Ok(false)` if one of its checks failed.
fn run(command: Command) -> io::Result<bool> {
    match command {
        Command::Store { address } => store::run(address).map(|()| true),
        Command::Endpoint { service, address, daemon, slots, service_ms, cold_start_ms, log } => {
            let service = service.into();
            let service_time = Duration::from_millis(service_ms);
            let cold_start = Duration::from_millis(cold_start_ms);
            let options = EndpointOptions { service, address, daemon, slots, service_time, cold_start, log };
            endpoint::run(options).map(|()| true)
        }
        Command::Caller { daemon, pila_verde, rate, seconds, seed } => {
            let deployment = if pila_verde { deployment::pila_verde() } else { deployment::prairie() };
            let duration = Duration::from_secs(seconds);
            let load = Load { mix: deployment.mix, rate, duration, seed, workers: 128, retries_unknown: true };
            load::print(&load::summarize(&load, &load::run(&load, &daemon)));
            Ok(true)
        }
        Command::Demo { rate, seed } => demo::run(rate, seed),
        Command::Bench { rate } => bench::run(rate).map(|()| true),
        Command::Gray { hours, seed } => {
            gray::print(gray::PRAIRIE, hours, seed);
            gray::print(gray::PILA_VERDE, hours, seed);
            Ok(true)
        }
        Command::Overload { seed } => overload::run(seed).map(|()| true),
        Command::Slopes { seed } => {
            slopes::run(seed);
            Ok(true)
        }
        Command::Idle { daemons, changes, endpoints, large } => {
            idle::run(IdleOptions { daemons, changes, endpoints, large }).map(|()| true)
        }
        Command::ProxySoak { seed, count, seconds, proxies, crashing, restoring, notices, reloading, verbose } => {
            let duration = Duration::from_secs(seconds);
            let mut passed = true;
            for seed in seed..seed + count {
                let options = platform::soak::SoakOptions {
                    seed,
                    duration,
                    proxies,
                    crashing,
                    restoring,
                    notices,
                    reloading,
                    verbose,
                };
                let report = platform::soak::run(&options)?;
                println!("seed {seed}: {}: {report}", if report.passed() { "kept" } else { "BROKEN" });
                passed &= report.passed();
            }
            Ok(passed)
        }
        Command::Soak { seed, minutes, rate } => soak(seed, minutes, rate),
    }
}

fn soak(seed: u64, minutes: f64, rate: f64) -> io::Result<bool> {
    let duration = Duration::from_secs_f64(minutes * 60.0);
    println!("seed {seed}, {minutes} minutes, {rate} requests/s");
    let options = SoakOptions { seed, duration, rate, faults: FAULTS.to_vec(), verbose: true };
    let report = soak::run(&options)?;
    println!("{report}");
    println!("verdict: {}", if report.passed() { "every promise was kept" } else { "A PROMISE WAS BROKEN" });
    Ok(report.passed())
}
