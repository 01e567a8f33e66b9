//! Time after which a rejected caller may return.
//!
//! Handles callers that are rejected together and would return together. Each return gets a place behind the present backlog
//! and behind the returns that were announced before, at the rate at which the gateway works off requests. Urgent callers
//! are placed before less urgent ones.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::{RejectReason, Rejection};
use crate::urgency::Urgency;

/// Part of the remaining time of a caller within which it honours the time.
const HONOURED_PART: u32 = 3;

/// Minimum time, so that a caller does not return before anything has changed.
const MIN_RETURN_TIME: Duration = Duration::from_millis(50);

/// Part of the honoured time over which callers are spread for which no place is left.
const LATE_SPREAD: f64 = 0.5;

/// Returns of rejected callers that were announced by one gateway.
#[derive(Debug, Clone, Default)]
pub struct ReturnTimes {
    /// Time at which the last place of each urgency ends.
    places_end_at: BTreeMap<Urgency, Duration>,
}

impl ReturnTimes {
    /// Returns the time after which the caller of a rejected request may return; `None` when a return makes no sense.
    /// `remaining` is the time until the deadline of the request, and `random` is from 0 (inclusive) to 1 (exclusive).
    pub fn announce(
        &mut self,
        now: Duration,
        urgency: Urgency,
        rejection: &Rejection,
        remaining: Duration,
        random: f64,
    ) -> Option<Duration> {
        let usable = remaining.saturating_sub(rejection.service_time);
        let honoured = (remaining / HONOURED_PART).min(usable);
        if rejection.reason == RejectReason::Time || honoured < MIN_RETURN_TIME {
            return None;
        }
        self.places_end_at.retain(|_, end_at| *end_at > now);
        let ends = self.places_end_at.range(..=urgency);
        let last_end = ends.map(|(_, &end_at)| end_at).max().unwrap_or(now);
        let wait = rejection.expected_wait.max(MIN_RETURN_TIME);
        let place = last_end.max(now + wait);
        // A random part of the place keeps gateways with the same backlog apart.
        let jitter = rejection.interval.mul_f64(random.clamp(0.0, 1.0));
        let time = (place + jitter).saturating_sub(now);
        if time <= honoured {
            self.places_end_at
                .insert(urgency, place + rejection.interval);
            return Some(time);
        }
        // No place within the honoured time. The caller may still find capacity that others do not use.
        let spread = honoured.mul_f64(LATE_SPREAD * random.clamp(0.0, 1.0));
        Some(honoured.saturating_sub(spread).max(MIN_RETURN_TIME))
    }
}
