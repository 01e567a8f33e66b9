//! Processor time that this process has used.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the processor time of all threads of the process since its start.
#[must_use]
pub fn used() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
