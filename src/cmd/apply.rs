//! `jayreach apply`

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use attohttpc::Method;
use serde::Serialize;

use crate::{
    cmd::{Run, args, ask_daemon, print_json, read_targets},
    daemon::RolloutStatus,
    error::Error,
    store::{ApplyOutcome, StoreClient, apply},
    targets::{Difference, Version},
};

/// How often a daemon is asked where the change is in force.
const ASK_EVERY: Duration = Duration::from_millis(250);

/// What `--json` prints.
#[derive(Serialize)]
struct Report {
    version: Version,
    changed: bool,
    differences: Vec<Difference>,
    in_force: Option<RolloutStatus>,
}

impl Run for args::Apply {
    fn run(self) -> Result<(), Error> {
        let daemon = self.daemon_to_ask()?;
        let file = read_targets(&self.file)?;
        let store = StoreClient::new(self.store);
        let patience = Duration::from_secs(self.patience);
        let based_on = self.based_on.or(file.based_on);
        let applied = apply(&store, &file.targets, based_on, &self.who, &self.why, patience)?;
        let mut report = Report::new(applied);
        if !self.json {
            report.print();
        }
        if let Some(daemon) = daemon {
            report.in_force = Some(wait(daemon, report.version, Instant::now() + patience, self.json)?);
        }
        if self.json {
            print_json(&report);
        }
        Ok(())
    }
}

impl args::Apply {
    /// The daemon that `--wait` asks; known before anything is changed.
    fn daemon_to_ask(&self) -> Result<Option<SocketAddr>, Error> {
        match (self.wait, self.daemon) {
            (false, _) => Ok(None),
            (true, Some(it)) => Ok(Some(it)),
            (true, None) => Err(Error::Daemon {
                address: "--daemon".into(),
                message: "--wait needs the local address of a daemon to ask; nothing was changed".into(),
            }),
        }
    }
}

impl Report {
    fn new(applied: ApplyOutcome) -> Self {
        match applied {
            ApplyOutcome::Accepted { version, differences } => {
                Self { version, changed: true, differences, in_force: None }
            }
            ApplyOutcome::Unchanged { version } => {
                Self { version, changed: false, differences: Vec::new(), in_force: None }
            }
        }
    }

    fn print(&self) {
        if !self.changed {
            println!("version {} already says so; nothing was changed", self.version);
            return;
        }
        println!("accepted as version {}", self.version);
        for it in &self.differences {
            println!("{it}");
        }
    }
}

/// Waits until no daemon that can be asked is behind.
fn wait(daemon: SocketAddr, version: Version, deadline: Instant, quiet: bool) -> Result<RolloutStatus, Error> {
    let started = Instant::now();
    loop {
        let count = ask(daemon, version)?;
        let RolloutStatus { daemons, active, .. } = count;
        if active == daemons {
            if !quiet {
                println!("in force in all {daemons} daemons after {:.1} s", started.elapsed().as_secs_f64());
            }
            return Ok(count);
        }
        if Instant::now() >= deadline {
            let list = |names: &[Box<str>]| names.join(", ");
            let message = format!(
                "version {version} is accepted, and in force in {active} of {daemons} daemons; behind: {}; silent: {}",
                list(&count.outdated),
                list(&count.unreachable)
            );
            return Err(Error::TimedOut(message.into()));
        }
        thread::sleep(ASK_EVERY);
    }
}

fn ask(daemon: SocketAddr, version: Version) -> Result<RolloutStatus, Error> {
    let address = daemon.to_string();
    let bytes = ask_daemon(&address, Method::GET, &format!("/in-force?version={version}"))?;
    serde_json::from_slice(&bytes)
        .map_err(|it| Error::Daemon { address: address.into(), message: it.to_string().into() })
}
