//! Signals that arrive while the process starts.
//!
//! Until a handler is installed, the default action of SIGHUP, SIGINT and SIGTERM kills the process. They are held from
//! the start of `main` and delivered once the handlers are installed. While the operating system still loads the
//! program, only whoever starts the process can block or ignore them.

use std::{fs, sync::OnceLock};

use nix::sys::signal::{SigSet, SigmaskHow, Signal};
use serde::Serialize;

/// The signals that are held.
const HELD: [Signal; 3] = [Signal::SIGHUP, Signal::SIGINT, Signal::SIGTERM];

/// Signals that the process inherited as blocked; set by [`hold`].
static INHERITED_BLOCKED: OnceLock<SigSet> = OnceLock::new();

/// What the process that started this one set for a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Disposition {
    /// The default action: the signal kills a process that has no handler yet.
    Default,
    /// The signal has no effect until a handler is installed.
    Ignored,
    /// The signal is kept until it is unblocked.
    Blocked,
}

/// Holds the signals until [`release`].
pub fn hold() {
    // Fails only for an invalid argument.
    if let Ok(blocked) = held().thread_swap_mask(SigmaskHow::SIG_BLOCK) {
        INHERITED_BLOCKED.get_or_init(|| blocked);
    }
}

/// Delivers the signals from now on, also those that arrived meanwhile, and those that the process inherited as
/// blocked: without SIGTERM it could not be stopped gracefully. Call it before other threads start, because a thread
/// inherits what is blocked.
pub fn release() {
    // Fails only for an invalid argument.
    _ = held().thread_unblock();
}

/// What this process inherited for `signal`; [`Disposition::Default`] if the system doesn't tell. Call it after [`hold`]
/// and before a handler of the signal is installed.
pub fn inherited(signal: Signal) -> Disposition {
    if INHERITED_BLOCKED.get().is_some_and(|it| it.contains(signal)) {
        return Disposition::Blocked;
    }
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let is_ignored = ignored_signals(&status) >> (signal as u32 - 1) & 1 == 1;
    if is_ignored { Disposition::Ignored } else { Disposition::Default }
}

fn held() -> SigSet {
    HELD.into_iter().collect()
}

/// Mask of the ignored signals in a process's status as Linux shows it; bit n - 1 is for signal n.
fn ignored_signals(status: &str) -> u64 {
    let mask = status.lines().find_map(|it| it.strip_prefix("SigIgn:"));
    mask.and_then(|it| u64::from_str_radix(it.trim(), 16).ok()).unwrap_or(0)
}
