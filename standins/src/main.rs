//! The `standins` program.

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

/// What to be or to measure.
#[derive(Debug, Clone, Bpaf)]
enum Command {
    /// Be the platform's store
    #[bpaf(command)]
    Store {
        /// Where to listen
        #[bpaf(argument("ADDRESS"))]
        address: SocketAddr,
    },
    /// Be an endpoint
    #[bpaf(command)]
    Endpoint {
        /// The service it belongs to
        #[bpaf(argument("NAME"))]
        service: String,
        /// Where to listen
        #[bpaf(argument("ADDRESS"))]
        address: SocketAddr,
        /// The local address of its daemon
        #[bpaf(argument("ADDRESS"))]
        daemon: SocketAddr,
        /// How many requests it takes at once
        #[bpaf(argument("COUNT"), fallback(4))]
        slots: u16,
        /// How long a request takes on average, in milliseconds
        #[bpaf(argument("MS"), fallback(10))]
        service_ms: u64,
        /// How long its cold start takes, in milliseconds
        #[bpaf(argument("MS"), fallback(0))]
        cold_start_ms: u64,
        /// Its run log
        #[bpaf(argument("FILE"))]
        log: PathBuf,
    },
    /// Be the callers of a deployment: make load on daemons that run, and print what became of it
    #[bpaf(command)]
    Caller {
        /// The callers' address of a daemon; once for each daemon
        #[bpaf(argument("ADDRESS"), some("name at least one daemon"))]
        daemon: Vec<SocketAddr>,
        /// Make Pila Verde's load, not Prairie's
        pila_verde: bool,
        /// Requests a second
        #[bpaf(argument("RATE"), fallback(100.0))]
        rate: f64,
        /// For how long
        #[bpaf(argument("SECONDS"), fallback(10))]
        seconds: u64,
        /// Seeds the load
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
    },
    /// Show both deployments of the brief under load, with one endpoint broken
    #[bpaf(command)]
    Demo {
        /// Requests a second
        #[bpaf(argument("RATE"), fallback(300.0))]
        rate: f64,
        /// Seeds the load
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
    },
    /// Measure what a pair of daemons adds to a request
    #[bpaf(command)]
    Bench {
        /// Requests a second of the open loop
        #[bpaf(argument("RATE"), fallback(1000.0))]
        rate: f64,
    },
    /// Print detection time against false ejections, beside two published rules
    #[bpaf(command)]
    Gray {
        /// How long a trace is
        #[bpaf(argument("HOURS"), fallback(24.0))]
        hours: f64,
        /// Seeds the traces
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
    },
    /// Load a service with up to four times its capacity, and stall it
    #[bpaf(command)]
    Overload {
        /// Seeds the load
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
    },
    /// Measure what one unit of each thing costs
    #[bpaf(command)]
    Slopes {
        /// Seeds the random parts
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
    },
    /// Measure what an idle fleet of daemons spends, and how fast it sees changes
    #[bpaf(command)]
    Idle {
        /// How many daemons
        #[bpaf(argument("COUNT"), fallback(24))]
        daemons: usize,
        /// How many changes of configuration
        #[bpaf(argument("COUNT"), fallback(20))]
        changes: usize,
        /// How many endpoints announce themselves to each daemon; 11 at the size of letter 1
        #[bpaf(argument("COUNT"), fallback(11))]
        endpoints: u16,
        /// Use a configuration of the size of letter 1
        large: bool,
    },
    /// Keep proxies between stand-ins of the users' platform under load and faults, and end with a verdict
    #[bpaf(command)]
    ProxySoak {
        /// Seeds the load and the faults
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// How many soaks, with this seed and the next ones
        #[bpaf(argument("COUNT"), fallback(1))]
        count: u64,
        /// For how long each has faults
        #[bpaf(argument("SECONDS"), fallback(20))]
        seconds: u64,
        /// How many proxies
        #[bpaf(argument("COUNT"), fallback(6))]
        proxies: usize,
        /// Have a request come again and again that ends its endpoints
        crashing: bool,
        /// Have the store restored from a backup from time to time
        restoring: bool,
        /// Print each fault
        verbose: bool,
    },
    /// Keep a deployment under load and faults, and end with a verdict
    #[bpaf(command)]
    Soak {
        /// Seeds the load and the faults; an even one picks Pila Verde, an odd one Prairie
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// For how long
        #[bpaf(argument("MINUTES"), fallback(1.0))]
        minutes: f64,
        /// Requests a second
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

/// Runs a command; false if what it checks does not hold.
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
        Command::ProxySoak { seed, count, seconds, proxies, crashing, restoring, verbose } => {
            let duration = Duration::from_secs(seconds);
            let mut holds = true;
            for seed in seed..seed + count {
                let options = platform::soak::SoakOptions { seed, duration, proxies, crashing, restoring, verbose };
                let verdict = platform::soak::run(&options)?;
                println!("seed {seed}: {}: {verdict}", if verdict.holds() { "kept" } else { "BROKEN" });
                holds &= verdict.holds();
            }
            Ok(holds)
        }
        Command::Soak { seed, minutes, rate } => soak(seed, minutes, rate),
    }
}

fn soak(seed: u64, minutes: f64, rate: f64) -> io::Result<bool> {
    let duration = Duration::from_secs_f64(minutes * 60.0);
    println!("seed {seed}, {minutes} minutes, {rate} requests/s");
    let options = SoakOptions { seed, duration, rate, faults: FAULTS.to_vec(), verbose: true };
    let verdict = soak::run(&options)?;
    println!("{verdict}");
    println!("verdict: {}", if verdict.passed() { "every promise was kept" } else { "A PROMISE WAS BROKEN" });
    Ok(verdict.passed())
}
