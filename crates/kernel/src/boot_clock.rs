//! Local time that goes on while the machine is suspended. The clock of the runtime stands still then, and
//! a proof of freshness or a report that is older than it seems would be trusted.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since the machine was started, suspensions included. Only differences mean something.
#[must_use]
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
