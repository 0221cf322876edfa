//! Signals sent to a proxy that is still starting. Without an early handler, SIGHUP would kill the process by its
//! default action.

use std::{
    io::Write as _,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;
use rustix::process::{Pid, Signal, kill_process};
use standins::fleet;

/// Time after which a started process waits for its settings.
const STARTUP_TIME: Duration = Duration::from_millis(300);
/// Time to wait for the exit of a proxy after it got its settings.
const EXIT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Settings with addresses that no other test uses.
fn settings(number: u8) -> String {
    let address = |port: u16| format!("127.63.1.{number}:{port}");
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

/// Starts a proxy that waits for its settings on standard input.
fn start_proxy() -> Child {
    let mut command = Command::new(fleet::program_path("jayreach").expect("the jayreach program is built"));
    command.args(["proxy", "--settings", "/dev/stdin"]);
    let child =
        command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("the proxy starts");
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
#[case::reload(1, Signal::HUP, false)]
#[case::stop(2, Signal::TERM, true)]
fn a_signal_received_before_the_settings_are_read_is_handled(
    #[case] number: u8,
    #[case] signal: Signal,
    #[case] exits: bool,
) {
    let mut proxy = start_proxy();

    kill_process(Pid::from_child(&proxy), signal).expect("the proxy runs");
    thread::sleep(STARTUP_TIME);
    assert!(
        proxy.try_wait().expect("the process can be waited for").is_none(),
        "the signal ended the proxy before it read its settings"
    );
    proxy
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(settings(number).as_bytes())
        .expect("the proxy reads its settings");

    let exit_status = wait_for_exit(&mut proxy, EXIT_TIMEOUT);
    // Fails if the proxy has exited.
    _ = proxy.kill();
    _ = proxy.wait();
    assert_eq!(exit_status.map(|it| it.success()), exits.then_some(true));
}
