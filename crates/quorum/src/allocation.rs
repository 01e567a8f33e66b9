//! Rate and burst of an organisation for the whole fleet (design section 4.2).
//!
//! One token bucket per limit is split into sub-buckets: the [`Pool`] at the leader and a [`Holder`] at each entry
//! instance. At any time the rates sum up to at most the rate and the bursts to at most the burst; tokens move only
//! together with burst capacity. So over every window of length `w` the fleet admits at most `burst + rate * w` requests.
//!
//! A request that finds no local token waits for one exchange with the leader. If the pool is empty too, it waits for
//! tokens that other holders give back and for the refill. No more requests wait at a holder than its part of the rate
//! admits in the time that the rate takes to yield half of the burst, within [`MIN_TOKEN_WAIT_MS`] and
//! [`MAX_TOKEN_WAIT_MS`]; so this is about the longest wait, and others are refused at once. While there is no leader,
//! requests wait until their deadline, as many as the rate admits in 3 s.

mod bucket;
mod holder;
mod message;
mod pool;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use holder::{Admission, Holder};
pub use message::{AllocationReply, AllocationRequest, Limit, LimitGrant, LimitKey, LimitReport};
pub use pool::Pool;

/// One request, in the unit of tokens.
pub const TOKEN: u64 = 1_000_000;

/// Time for which a holder may use an allocation, from when it sent the request that was granted.
pub const ALLOCATION_LIFETIME: Duration = Duration::from_secs(10);

/// Time after which the leader takes an allocation back, from when it granted it. Exceeds [`ALLOCATION_LIFETIME`] by 3 %;
/// clock rates differ by at most 2 %.
pub const RECORD_LIFETIME: Duration = Duration::from_millis(10_300);

/// Lower bound of the longest wait for tokens that other holders give back, in milliseconds; two report periods, because
/// a report may just have left.
pub const MIN_TOKEN_WAIT_MS: u64 = 500;

/// Upper bound of the longest wait for tokens that other holders give back, in milliseconds.
pub const MAX_TOKEN_WAIT_MS: u64 = 2000;

/// Settings of holders and pools.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AllocationSettings {
    /// Time between two reports of a limit in use.
    pub report_period: Duration,
    /// Part of the rate that is held back, in millionths. The bound holds while no clock is faster than true time by more
    /// than this. 500 is the most by which time synchronisation speeds a clock up; more would refuse requests that are
    /// within the rate.
    pub clock_margin_ppm: u32,
}

impl Default for AllocationSettings {
    fn default() -> Self {
        Self {
            report_period: Duration::from_millis(250),
            clock_margin_ppm: 500,
        }
    }
}

/// Rounds up to whole requests.
fn whole_up(tokens: u64) -> u64 {
    tokens.div_ceil(TOKEN) * TOKEN
}

/// Rounds down to whole requests.
fn whole_down(tokens: u64) -> u64 {
    tokens / TOKEN * TOKEN
}

/// `value * part / whole` without overflow; 0 when `whole` is 0.
fn fraction(value: u64, part: u64, whole: u64) -> u64 {
    let product = u128::from(value) * u128::from(part);
    let quotient = product.checked_div(u128::from(whole)).unwrap_or(0);
    u64::try_from(quotient).unwrap_or(u64::MAX)
}

/// Tokens that a rate gives in a time.
fn tokens_in(rate: u64, time: Duration) -> u64 {
    let nanos = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
    fraction(rate, nanos, 1_000_000_000)
}

/// Capacity that a bucket needs for its refill until the next report.
fn refill_room(rate: u64, period: Duration) -> u64 {
    if rate == 0 {
        return 0;
    }
    whole_up(tokens_in(rate, period)).max(TOKEN)
}
