//! Signals sent to a proxy or daemon that is still starting. Unless they are held, their default action kills the process.

use std::{
    io::{BufRead as _, BufReader, Write as _},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;
use rustix::process::{Pid, Signal, kill_process};
use standins::fleet;

/// Time after which a started process waits for its settings.
const STARTUP_TIME: Duration = Duration::from_millis(300);

/// A program under test, which reads its settings from standard input.
#[derive(Debug, Clone, Copy)]
enum Role {
    Proxy,
    Daemon,
}

impl Role {
    fn command(self) -> &'static str {
        match self {
            Self::Proxy => "proxy",
            Self::Daemon => "daemon",
        }
    }

    /// Settings with addresses that no other test uses.
    fn settings(self, number: u8) -> String {
        match self {
            Self::Proxy => proxy_settings(number),
            Self::Daemon => daemon_settings(number),
        }
    }

    /// Time to wait for the exit after it got its settings.
    fn exit_timeout(self) -> Duration {
        match self {
            Self::Proxy => Duration::from_millis(1_500),
            // A daemon tells its peers first that it leaves, and lingers.
            Self::Daemon => Duration::from_secs(10),
        }
    }
}

fn address(number: u8, port: u16) -> String {
    format!("127.63.1.{number}:{port}")
}

fn proxy_settings(number: u8) -> String {
    let address = |port| address(number, port);
    format!(
        "name = \"vm-1\"\ndata_centre = \"dc-1\"\nservice = \"desk\"\ncallers = \"{}\"\npeers = \"{}\"\n\
         announcements = \"{}\"\nreadiness = \"{}\"\nmetrics = \"{}\"\nendpoint = \"{}\"\nstore = \"{}\"\n\
         announce_every_s = 0.15\ngrace_s = 1\nretry_ratio = 0.2\nretry_slack = 60\n",
        address(7100),
        address(7101),
        address(7102),
        address(7103),
        address(7104),
        address(7105),
        address(7106),
    )
}

fn daemon_settings(number: u8) -> String {
    let address = |port| address(number, port);
    format!(
        "name = \"vm-1\"\ndata_centre = \"dc-1\"\ncallers = \"{}\"\npeers = \"{}\"\nlocal = \"{}\"\n\
         platform = \"{}\"\npeer_key = \"a-key-for-this-test-only\"\n",
        address(7100),
        address(7101),
        address(7102),
        address(7103),
    )
}

/// Starts a process that waits for its settings on standard input.
fn start(role: Role) -> Child {
    let mut command = Command::new(fleet::program_path("jayreach").expect("the jayreach program is built"));
    command.args([role.command(), "--settings", "/dev/stdin"]);
    let child =
        command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("the process starts");
    thread::sleep(STARTUP_TIME);
    child
}

fn wait_for_exit(child: &mut Child, timeout: Duration) -> Option<std::process::ExitStatus> {
    let start = Instant::now();
    while start.elapsed() < timeout {
        if let Some(status) = child.try_wait().expect("the process can be waited for") {
            return Some(status);
        }
        thread::sleep(Duration::from_millis(20));
    }
    None
}

#[rstest]
#[case::reload(Role::Proxy, 1, Signal::HUP, false)]
#[case::stop(Role::Proxy, 2, Signal::TERM, true)]
#[case::stop_of_a_daemon(Role::Daemon, 3, Signal::TERM, true)]
#[case::interrupt_of_a_daemon(Role::Daemon, 4, Signal::INT, true)]
#[case::hangup_of_a_daemon(Role::Daemon, 5, Signal::HUP, false)]
#[case::interrupt(Role::Proxy, 6, Signal::INT, true)]
fn a_signal_received_before_the_settings_are_read_is_handled(
    #[case] role: Role,
    #[case] number: u8,
    #[case] signal: Signal,
    #[case] exits: bool,
) {
    let mut process = start(role);

    kill_process(Pid::from_child(&process), signal).expect("the process runs");
    thread::sleep(STARTUP_TIME);
    assert!(
        process.try_wait().expect("the process can be waited for").is_none(),
        "the signal ended the process before it read its settings"
    );
    process
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(role.settings(number).as_bytes())
        .expect("the process reads its settings");

    let exit_status = wait_for_exit(&mut process, role.exit_timeout());
    // Fails if the process has exited.
    _ = process.kill();
    _ = process.wait();
    assert_eq!(exit_status.map(|it| it.success()), exits.then_some(true));
}

/// Ignores SIGHUP, sends many of them to itself, and meanwhile becomes the program in `$0`.
const START_UNDER_SIGHUP: &str = r#"
trap '' HUP
(for i in $(seq 2000); do kill -HUP $$ 2>/dev/null || exit; done) >/dev/null &
exec "$0" proxy --settings /dev/stdin
"#;

/// Nothing else can protect a process from SIGHUP while the system still loads its program.
#[test]
fn a_proxy_started_with_sighup_ignored_survives_it_at_once_and_says_so() {
    let program = fleet::program_path("jayreach").expect("the jayreach program is built");
    let mut command = Command::new("sh");
    command.args(["-c", START_UNDER_SIGHUP]).arg(program).stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut proxy = command.spawn().expect("the proxy starts");

    let mut stdin = proxy.stdin.take().expect("standard input is piped");
    stdin.write_all(proxy_settings(7).as_bytes()).expect("the proxy reads its settings");
    drop(stdin);
    let mut line = String::new();
    let read = BufReader::new(proxy.stdout.take().expect("standard output is piped")).read_line(&mut line);

    // Fails if the proxy has exited.
    _ = proxy.kill();
    _ = proxy.wait();
    read.expect("the proxy logs its start");
    assert!(line.contains(r#""event":"started""#), "{line}");
    assert!(line.contains(r#""hup":"ignored","term":"default""#), "{line}");
}
