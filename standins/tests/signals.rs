//! A reload that reached a proxy in its first moments ended it: the system's default for the signal is to end the process,
//! and the handler came only after the settings had been read, the listeners opened and the tasks started.

use std::{
    io::Write as _,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;
use rustix::process::{Pid, Signal, kill_process};
use standins::fleet;

/// Long enough for a process to begin to read its settings.
const BEGUN: Duration = Duration::from_millis(300);
/// Within this it has done with a signal, or hasn't heard it.
const HEARD: Duration = Duration::from_millis(1_500);

/// Settings with addresses of their own.
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

/// A proxy that waits for its settings.
fn beginning() -> Child {
    let mut command = Command::new(fleet::program_path("jayreach").expect("it is built"));
    command.args(["proxy", "--settings", "/dev/stdin"]);
    let child = command.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("it starts");
    thread::sleep(BEGUN);
    child
}

fn ends_within(child: &mut Child, limit: Duration) -> Option<std::process::ExitStatus> {
    let start = Instant::now();
    while start.elapsed() < limit {
        if let Some(it) = child.try_wait().expect("it is ours") {
            return Some(it);
        }
        thread::sleep(Duration::from_millis(20));
    }
    None
}

#[rstest]
#[case::reload(1, Signal::HUP, false)]
#[case::stop(2, Signal::TERM, true)]
fn a_signal_before_the_settings_are_read_is_kept(#[case] number: u8, #[case] signal: Signal, #[case] ends: bool) {
    let mut proxy = beginning();

    kill_process(Pid::from_child(&proxy), signal).expect("it runs");
    thread::sleep(BEGUN);
    assert!(proxy.try_wait().expect("it is ours").is_none(), "it has not ended by the signal itself");
    proxy.stdin.take().expect("piped").write_all(settings(number).as_bytes()).expect("it reads its settings");

    let ended = ends_within(&mut proxy, HEARD);
    // One that has ended needs no signal.
    _ = proxy.kill();
    _ = proxy.wait();
    assert_eq!(ended.map(|it| it.success()), ends.then_some(true));
}
