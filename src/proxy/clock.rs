//! Clocks: a monotonic time that includes VM suspension, and wall-clock milliseconds.
//!
//! `Instant` stops while the VM is suspended, so a deadline that was set before a suspension would expire too late.

use std::{
    sync::OnceLock,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use rustix::time::{ClockId, clock_gettime};

use crate::decide::incarnation::UnixMillis;

/// Value of [`suspended_time`] at the first call of [`now`].
static SUSPENDED_AT_START: OnceLock<Duration> = OnceLock::new();

/// The monotonic clock plus the time that this VM has been suspended since the first call.
pub(super) fn now() -> Instant {
    let start = *SUSPENDED_AT_START.get_or_init(suspended_time);
    Instant::now() + suspended_time().saturating_sub(start)
}

/// Milliseconds since the Unix epoch by the VM's wall clock, which may jump.
pub(super) fn unix_millis() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis::try_from(since.as_millis()).unwrap_or(UnixMillis::MAX)
}

/// Total time that the VM has been suspended: the difference of the boot-time and the monotonic clock.
fn suspended_time() -> Duration {
    let monotonic = clock_gettime(ClockId::Monotonic);
    let boot = clock_gettime(ClockId::Boottime);
    let nanos = (boot.tv_sec - monotonic.tv_sec) * 1_000_000_000 + (boot.tv_nsec - monotonic.tv_nsec);
    // The two clocks are not read at the same moment; smaller differences are not a suspension.
    const MIN_SUSPENSION: Duration = Duration::from_millis(1);
    let suspended = Duration::from_nanos(u64::try_from(nanos).unwrap_or(0));
    if suspended < MIN_SUSPENSION { Duration::ZERO } else { suspended }
}
