//! The commands. Each has its own file; `args` declares their arguments.

mod apply;
mod args;
mod audit;
mod check;
mod daemon;
mod diff;
mod drain;
mod explain;
mod proxy;
mod show;
mod status;
mod ticket;

use std::{fs, path::Path, process::ExitCode, time::Duration};

use serde::Serialize;

use crate::{
    error::Error,
    startup_signals,
    store::{self, ObjectVersion, StoreClient},
    targets::{ConfigRoot, Targets, TargetsFile, parse_targets},
};

/// Maximum time for a daemon's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// A command with its arguments.
trait Run {
    /// Runs the command.
    fn run(self) -> Result<(), Error>;
}

/// Parses the command line, runs the command and returns the exit code: 0 for success, 1 for a failure, 2 for findings
/// or a wrong command line, 3 if another change was accepted first, and 4 if a time limit passed.
pub fn main() -> ExitCode {
    match args::command().run().run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jayreach: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

impl Run for args::Command {
    fn run(self) -> Result<(), Error> {
        // Daemons and proxies release the signals once their handlers are installed.
        if !matches!(self, Self::Daemon(_) | Self::Proxy(_)) {
            startup_signals::release();
        }
        match self {
            Self::Daemon(it) => it.run(),
            Self::Proxy(it) => it.run(),
            Self::Check(it) => it.run(),
            Self::Apply(it) => it.run(),
            Self::Diff(it) => it.run(),
            Self::Show(it) => it.run(),
            Self::Status(it) => it.run(),
            Self::Audit(it) => it.run(),
            Self::Drain(it) => it.run(),
            Self::Ticket(it) => it.run(),
            Self::Explain(it) => it.run(),
        }
    }
}

/// Reads and parses a targets file.
fn read_targets(path: &Path) -> Result<TargetsFile, Error> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|it| Error::io(name.clone(), it))?;
    parse_targets(&name, &text).map_err(Error::Findings)
}

/// Reads the active configuration from the store. Returns `None` if the store has none.
fn active_config(store: &StoreClient) -> Result<Option<(ObjectVersion, ConfigRoot, Targets)>, Error> {
    let Some((object_version, root)) = store::current_root(store)? else { return Ok(None) };
    let targets = store::load_targets(store, &root)?;
    Ok(Some((object_version, root, targets)))
}

/// Sends a request to a daemon and returns the body of the response.
///
/// # Errors
///
/// The request fails, or the response's status is not a success.
fn call_daemon(address: &str, method: attohttpc::Method, target: &str) -> Result<Vec<u8>, Error> {
    let failed = |message: String| Error::Daemon { address: address.into(), message: message.into() };
    let url = format!("http://{address}{target}");
    let req = attohttpc::RequestBuilder::try_new(method, url).map_err(|it| failed(it.to_string()))?;
    let resp = req.timeout(RESPONSE_TIMEOUT).send().map_err(|it| failed(it.to_string()))?;
    let status = resp.status();
    let body = resp.bytes().map_err(|it| failed(it.to_string()))?;
    if !status.is_success() {
        return Err(failed(format!("status {status}: {}", String::from_utf8_lossy(&body))));
    }
    Ok(body)
}

/// Prints `value` as JSON over several lines.
fn print_json<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string_pretty(value).expect("all printed values can be encoded"));
}
