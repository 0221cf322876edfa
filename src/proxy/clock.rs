//! Time that goes on while the VM is suspended.
//!
//! The steady clock stops during a suspension, so deadlines that a caller set before it would seem
//! to lie further ahead than they do.

use std::{
    sync::OnceLock,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};

use crate::decide::incarnation::UnixMillis;

/// How far the boot clock was ahead of the steady one when the process first asked.
static AHEAD_AT_START: OnceLock<Duration> = OnceLock::new();

/// Now, on the steady clock plus all time this VM was suspended since the process started.
pub(super) fn now() -> Instant {
    let start = *AHEAD_AT_START.get_or_init(ahead);
    Instant::now() + ahead().saturating_sub(start)
}

/// Milliseconds since 1970 by the VM's clock, which may be set at any time.
pub(super) fn unix_millis() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis::try_from(since.as_millis()).unwrap_or(UnixMillis::MAX)
}

/// By how much the boot clock is ahead of the steady one: the time spent suspended.
fn ahead() -> Duration {
    let steady = clock_gettime(ClockId::Monotonic);
    let boot = clock_gettime(ClockId::Boottime);
    let nanos = (boot.tv_sec - steady.tv_sec) * 1_000_000_000 + (boot.tv_nsec - steady.tv_nsec);
    // Two readings microseconds apart aren't a suspension.
    const NOISE: Duration = Duration::from_millis(1);
    let ahead = Duration::from_nanos(u64::try_from(nanos).unwrap_or(0));
    if ahead < NOISE { Duration::ZERO } else { ahead }
}
