//! `jayreach apply`: makes a targets file the configuration, and can wait until all daemons have it.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use attohttpc::Method;
use serde::Serialize;

use crate::{
    cmd::{Run, args, call_daemon, print_json, read_targets},
    daemon::RolloutStatus,
    error::Error,
    store::{ApplyOutcome, StoreClient, apply},
    targets::{Difference, Version},
};

/// Time between two requests for the rollout status.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Output of `--json`.
#[derive(Serialize)]
struct Report {
    version: Version,
    changed: bool,
    differences: Vec<Difference>,
    #[serde(rename = "in_force")]
    rollout: Option<RolloutStatus>,
}

impl Run for args::Apply {
    fn run(self) -> Result<(), Error> {
        let daemon = self.daemon_to_wait_for()?;
        let file = read_targets(&self.file)?;
        let store = StoreClient::new(self.store);
        let timeout = Duration::from_secs(self.timeout_s);
        let based_on = self.based_on.or(file.based_on);
        let applied = apply(&store, &file.targets, based_on, &self.who, &self.why, timeout)?;
        let mut report = Report::new(applied);
        if !self.json {
            report.print();
        }
        if let Some(daemon) = daemon {
            report.rollout = Some(wait_until_active(daemon, report.version, Instant::now() + timeout, self.json)?);
        }
        if self.json {
            print_json(&report);
        }
        Ok(())
    }
}

impl args::Apply {
    /// Returns the address of the daemon that reports the rollout, if `--wait` is given.
    ///
    /// # Errors
    ///
    /// `--daemon` is missing. This is checked before the change, so that an error leaves the configuration unchanged.
    fn daemon_to_wait_for(&self) -> Result<Option<SocketAddr>, Error> {
        match (self.wait, self.daemon) {
            (false, _) => Ok(None),
            (true, Some(it)) => Ok(Some(it)),
            (true, None) => Err(Error::Daemon {
                address: "--daemon".into(),
                message: "--wait needs --daemon with the local address of a daemon; nothing was changed".into(),
            }),
        }
    }
}

impl Report {
    fn new(applied: ApplyOutcome) -> Self {
        match applied {
            ApplyOutcome::Accepted { version, differences } => {
                Self { version, changed: true, differences, rollout: None }
            }
            ApplyOutcome::Unchanged { version } => {
                Self { version, changed: false, differences: Vec::new(), rollout: None }
            }
        }
    }

    fn print(&self) {
        if !self.changed {
            println!("version {} already has these targets; nothing was changed", self.version);
            return;
        }
        println!("accepted as version {}", self.version);
        for it in &self.differences {
            println!("{it}");
        }
    }
}

/// Waits until `version` or a later one is active at all daemons that `daemon` lists.
///
/// # Errors
///
/// `daemon` can't be asked, or `deadline` passes.
fn wait_until_active(
    daemon: SocketAddr,
    version: Version,
    deadline: Instant,
    is_quiet: bool,
) -> Result<RolloutStatus, Error> {
    let started = Instant::now();
    loop {
        let rollout = query_rollout(daemon, version)?;
        let RolloutStatus { daemons, active, .. } = rollout;
        if active == daemons {
            if !is_quiet {
                println!("in force in all {daemons} daemons after {:.1} s", started.elapsed().as_secs_f64());
            }
            return Ok(rollout);
        }
        if Instant::now() >= deadline {
            let join = |names: &[Box<str>]| names.join(", ");
            let message = format!(
                "version {version} is accepted, and in force in {active} of {daemons} daemons; behind: {}; silent: {}",
                join(&rollout.outdated),
                join(&rollout.unreachable)
            );
            return Err(Error::TimedOut(message.into()));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Asks the daemon at the local address `daemon` at how many daemons `version` or a later one is active.
fn query_rollout(daemon: SocketAddr, version: Version) -> Result<RolloutStatus, Error> {
    let address = daemon.to_string();
    let bytes = call_daemon(&address, Method::GET, &format!("/in-force?version={version}"))?;
    serde_json::from_slice(&bytes)
        .map_err(|it| Error::Daemon { address: address.into(), message: it.to_string().into() })
}
