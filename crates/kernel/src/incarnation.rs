//! Incarnation numbers: a restarted process takes precedence over its earlier runs.

use std::time::{SystemTime, UNIX_EPOCH};

use radishpaddle_model::Incarnation;

/// Derives an incarnation number from the wall clock in milliseconds, because instances have no disk on which
/// to count restarts. If the clock was set back, the restarted process is ignored until its clock has passed
/// the start time of the previous run.
#[must_use]
pub fn from_wall_clock() -> Incarnation {
    Incarnation(unix_ms())
}

/// Returns the wall clock time in milliseconds since the Unix epoch, or 0 for an earlier time. For timestamps
/// and incarnation numbers only: leases and timeouts need a monotonic clock.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
