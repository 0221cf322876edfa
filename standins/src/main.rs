//! The `standins` program.

use std::{io, net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::{Bpaf, Parser as _};
use standins::{
    demo,
    endpoint::{self, EndpointOptions},
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
        Command::Demo { rate, seed } => demo::run(rate, seed),
    }
}
