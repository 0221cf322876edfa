//! Command line: commands, flags and their help texts. The parser takes the names of flags from the fields.

use std::{net::SocketAddr, path::PathBuf};

use bpaf::{Bpaf, Parser as _};

use crate::targets::Version;

/// A command with its arguments.
#[derive(Debug, Clone)]
pub(super) enum Command {
    Daemon(Daemon),
    Proxy(Proxy),
    Check(Check),
    Apply(Apply),
    Diff(Diff),
    Show(Show),
    Status(Status),
    Audit(Audit),
    Drain(Drain),
    Ticket(Ticket),
    Explain(Explain),
}

/// Builds the parser of the command line.
pub(super) fn command() -> bpaf::OptionParser<Command> {
    let daemon = daemon().map(Command::Daemon);
    let proxy = proxy().map(Command::Proxy);
    let check = check().map(Command::Check);
    let apply = apply().map(Command::Apply);
    let diff = diff().map(Command::Diff);
    let show = show().map(Command::Show);
    let status = status().map(Command::Status);
    let audit = audit().map(Command::Audit);
    let drain = drain().map(Command::Drain);
    let ticket = ticket().map(Command::Ticket);
    let explain = explain().map(Command::Explain);
    bpaf::construct!([daemon, proxy, check, apply, diff, show, status, audit, drain, ticket, explain])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("A proxy fleet for back ends with gray failures")
        .footer("Operators set targets and the system chooses how to meet them. See docs/OPERATIONS.md.")
}

/// Run a daemon for the endpoints of this VM
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, footer("Example: jayreach daemon --settings /etc/jayreach.toml"))]
pub(super) struct Daemon {
    /// The daemon's settings file
    #[bpaf(argument("FILE"))]
    pub(super) settings: PathBuf,
}

/// Run a proxy for the endpoint of this VM, on the users' platform
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, footer("Example: jayreach proxy --settings /etc/jayreach/boot.toml"))]
pub(super) struct Proxy {
    /// The proxy's settings file
    #[bpaf(argument("FILE"), env("JAYREACH_SETTINGS"))]
    pub(super) settings: PathBuf,
}

/// Check a targets file, a settings file or a configuration and report all findings
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, footer("Example: jayreach check targets.toml\nExample: jayreach check --settings jayreach.toml"))]
pub(super) struct Check {
    /// Check a daemon's settings file instead of a targets file
    pub(super) settings: bool,
    /// Check a proxy's settings file instead of a targets file
    pub(super) proxy: bool,
    /// Check a configuration as the operator writes it to the users' platform, instead of a targets file
    pub(super) config: bool,
    /// The file to check
    #[bpaf(positional("FILE"))]
    pub(super) file: PathBuf,
}

/// Make a targets file the configuration
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    command,
    footer("Example: jayreach apply targets.toml --store 10.0.0.2:7000 --why 'charges may take 3 s' --wait")
)]
pub(super) struct Apply {
    #[bpaf(external)]
    pub(super) store: SocketAddr,
    /// The version that the change is based on; if another version is active, the change fails as a conflict
    #[bpaf(argument("VERSION"))]
    pub(super) based_on: Option<Version>,
    /// Who makes the change, for the audit trail
    #[bpaf(argument("NAME"), env("USER"), fallback("unknown".into()))]
    pub(super) who: String,
    /// Why the change is made, for the audit trail
    #[bpaf(argument("TEXT"))]
    pub(super) why: String,
    /// Wait until the change is active at the daemon given by --daemon and at every daemon that it lists as alive
    pub(super) wait: bool,
    /// The local address of the daemon that --wait asks
    #[bpaf(argument("ADDRESS"))]
    pub(super) daemon: Option<SocketAddr>,
    /// How many seconds to retry the change, and then to wait with --wait
    #[bpaf(long("patience"), argument("SECONDS"), fallback(30))]
    pub(super) timeout_s: u64,
    /// Print JSON
    pub(super) json: bool,
    /// The targets file
    #[bpaf(positional("FILE"))]
    pub(super) file: PathBuf,
}

/// Compare a targets file with the active configuration
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, footer("Example: jayreach diff targets.toml --store 10.0.0.2:7000"))]
pub(super) struct Diff {
    #[bpaf(external)]
    pub(super) store: SocketAddr,
    /// Print JSON
    pub(super) json: bool,
    /// The targets file
    #[bpaf(positional("FILE"))]
    pub(super) file: PathBuf,
}

/// Print the active configuration as a targets file
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, footer("Example: jayreach show --store 10.0.0.2:7000 > targets.toml"))]
pub(super) struct Show {
    #[bpaf(external)]
    pub(super) store: SocketAddr,
}

/// Print a daemon's status
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, footer("Example: jayreach status --daemon 10.0.0.7:7102 --json"))]
pub(super) struct Status {
    #[bpaf(external(daemon_address))]
    pub(super) daemon: SocketAddr,
    /// Print JSON
    pub(super) json: bool,
}

/// Print the changes of the configuration: who made each one, when, why, and what it changed
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, footer("Example: jayreach audit --store 10.0.0.2:7000 --last 5"))]
pub(super) struct Audit {
    #[bpaf(external)]
    pub(super) store: SocketAddr,
    /// How many changes to print, newest first
    #[bpaf(argument("COUNT"), fallback(20))]
    pub(super) last: usize,
    /// Print JSON
    pub(super) json: bool,
}

/// Stop a daemon gracefully, as SIGTERM does
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, footer("Example: jayreach drain --daemon 10.0.0.7:7102"))]
pub(super) struct Drain {
    #[bpaf(external(daemon_address))]
    pub(super) daemon: SocketAddr,
}

/// Print the status of a ticket
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, footer("Example: jayreach ticket --callers 10.0.0.7:7100 vm-7.1842.12"))]
pub(super) struct Ticket {
    /// The address on which any daemon listens for callers
    #[bpaf(argument("ADDRESS"))]
    pub(super) callers: SocketAddr,
    /// The ticket
    #[bpaf(positional("TICKET"))]
    pub(super) ticket: String,
}

/// Explain how a request ended, or the state of an endpoint, a configuration or a fingerprint, from event lines
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    command,
    footer(
        "Example: jayreach explain --request 9c41d07be2a35f68 vm-*.log\nExample: jayreach explain --config 12 vm-*.log"
    )
)]
pub(super) struct Explain {
    /// The id of a request
    #[bpaf(argument("ID"))]
    pub(super) request: Option<String>,
    /// The incarnation id of an endpoint
    #[bpaf(argument("ID"))]
    pub(super) endpoint: Option<String>,
    /// A version of the configuration
    #[bpaf(argument("VERSION"))]
    pub(super) config: Option<u64>,
    /// The fingerprint of requests, from a `failed` or `ended-under` line
    #[bpaf(argument("FINGERPRINT"))]
    pub(super) fingerprint: Option<String>,
    /// The files with the event lines
    #[bpaf(positional("FILE"), some("name the files with the event lines"))]
    pub(super) files: Vec<PathBuf>,
}

fn store() -> impl bpaf::Parser<SocketAddr> {
    bpaf::long("store").help("The platform's store").env("JAYREACH_STORE").argument("ADDRESS")
}

fn daemon_address() -> impl bpaf::Parser<SocketAddr> {
    bpaf::long("daemon").help("The local address of a daemon").env("JAYREACH_DAEMON").argument("ADDRESS")
}
