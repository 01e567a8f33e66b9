//! Incarnation numbers: a restarted process outranks its older life.

use std::time::{SystemTime, UNIX_EPOCH};

use radishpaddle_model::Incarnation;

/// Incarnation from the wall clock in milliseconds. Instances have no disk to count restarts on;
/// a clock that was set back makes the new life be ignored until it has caught up.
#[must_use]
pub fn from_wall_clock() -> Incarnation {
    Incarnation(unix_ms())
}

/// Milliseconds since 1970, for people and for incarnations; never for leases or timeouts.
#[must_use]
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
