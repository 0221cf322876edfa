//! What a process reports of the signals that it inherited.

use jayreach::startup_signals::{self, Disposition};
use nix::sys::signal::{SigSet, Signal};

#[test]
fn a_signal_inherited_as_blocked_is_reported_and_released() {
    SigSet::from(Signal::SIGHUP).thread_block().expect("SIGHUP can be blocked");

    startup_signals::hold();
    let hup = startup_signals::inherited(Signal::SIGHUP);
    let term = startup_signals::inherited(Signal::SIGTERM);
    let while_held = SigSet::thread_get_mask().expect("the mask can be read");
    startup_signals::release();
    let released = SigSet::thread_get_mask().expect("the mask can be read");

    assert_eq!((hup, term), (Disposition::Blocked, Disposition::Default));
    for it in [Signal::SIGHUP, Signal::SIGINT, Signal::SIGTERM] {
        assert!(while_held.contains(it) && !released.contains(it), "{it}");
    }
}
