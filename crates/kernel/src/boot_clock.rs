//! Monotonic clock that continues while the machine is suspended.
//!
//! The clock of the async runtime stops during a suspension. With it, a proof of freshness or a report would
//! appear younger than it is after the machine resumes, and would still be trusted.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since boot, including time in suspension. Only differences between two readings on one
/// machine are meaningful.
#[must_use]
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
