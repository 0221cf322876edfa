//! The commands: one file each, behind one trait; their arguments are declared in `args`.

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
    store::{self, ObjectVersion, StoreClient},
    targets::{ConfigRoot, Targets, TargetsFile, parse_targets},
};

/// How long a command waits for a daemon's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A command that can be run.
trait Run {
    /// Does what the command is for.
    fn run(self) -> Result<(), Error>;
}

/// Parses the command line, runs the command, and tells the exit code: 0 done, 1 failed, 2 the
/// input has findings, 3 another change came first, 4 a wait ended too early.
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

fn read_targets(path: &Path) -> Result<TargetsFile, Error> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|it| Error::io(name.clone(), it))?;
    parse_targets(&name, &text).map_err(Error::Findings)
}

/// The configuration in force, with its targets.
fn in_force(store: &StoreClient) -> Result<Option<(ObjectVersion, ConfigRoot, Targets)>, Error> {
    let Some((object_version, root)) = store::current_root(store)? else { return Ok(None) };
    let targets = store::load_targets(store, &root)?;
    Ok(Some((object_version, root, targets)))
}

/// Calls a daemon's local address and returns its answer.
fn ask_daemon(address: &str, method: attohttpc::Method, target: &str) -> Result<Vec<u8>, Error> {
    let failed = |message: String| Error::Daemon { address: address.into(), message: message.into() };
    let url = format!("http://{address}{target}");
    let req = attohttpc::RequestBuilder::try_new(method, url).map_err(|it| failed(it.to_string()))?;
    let resp = req.timeout(ANSWER_TIMEOUT).send().map_err(|it| failed(it.to_string()))?;
    let status = resp.status();
    let body = resp.bytes().map_err(|it| failed(it.to_string()))?;
    if !status.is_success() {
        return Err(failed(format!("status {status}: {}", String::from_utf8_lossy(&body))));
    }
    Ok(body)
}

fn print_json<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string_pretty(value).expect("what commands print can be coded"));
}
