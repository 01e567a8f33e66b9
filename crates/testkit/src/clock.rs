//! Wall-clock timestamps, comparable between processes on the same machine.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the microseconds since the Unix epoch, or 0 if the system clock is before the epoch.
#[must_use]
pub fn now_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |time| {
        u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
    })
}
