//! Fleet-wide rate limits with a burst, per organisation and service (design section 4.2).
//!
//! The token bucket of each limit is divided into sub-buckets: the [`Pool`] at the leader and a [`Holder`] at each
//! entry instance. At any time the rates of the sub-buckets sum up to at most the rate of the limit, and their bursts
//! to at most its burst. Tokens move only together with burst capacity. Over every window of length `w` the fleet
//! therefore admits at most `burst + rate * w` requests.
//!
//! A request that finds no local token waits for one exchange with the leader. If the pool is empty as well, it waits
//! for the refill and for tokens that other holders return. The time in which the rate yields half of the burst,
//! bounded by [`MIN_TOKEN_WAIT_MS`] and [`MAX_TOKEN_WAIT_MS`], limits the queue: a holder queues only as many requests
//! as its share of the rate admits in that time, and refuses others at once. So this time is approximately the longest
//! wait. While there is no leader, requests wait until their deadline, and a holder queues as many as its share of the
//! rate admits in 3 s.

mod bucket;
mod holder;
mod message;
mod pool;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use holder::{Admission, Holder};
pub use message::{AllocationReply, AllocationRequest, Limit, LimitGrant, LimitKey, LimitReport};
pub use pool::Pool;

/// Number of tokens that one request costs; a token is a millionth of a request.
pub const TOKENS_PER_REQUEST: u64 = 1_000_000;

/// Time for which a holder may use an allocation, from when it sent the report that was answered with a grant.
pub const ALLOCATION_LIFETIME: Duration = Duration::from_secs(10);

/// Time after its last report at which the leader expires the allocation of a holder and returns it to the pool.
/// Exceeds [`ALLOCATION_LIFETIME`] by 3 %; clock rates differ by at most 2 %.
pub const ALLOCATION_RECORD_LIFETIME: Duration = Duration::from_millis(10_300);

/// Lower bound of the maximum wait for tokens that other holders return, in milliseconds. Two report periods, because a
/// holder may have sent a report just before.
pub const MIN_TOKEN_WAIT_MS: u64 = 500;

/// Upper bound of the maximum wait for tokens that other holders return, in milliseconds.
pub const MAX_TOKEN_WAIT_MS: u64 = 2000;

/// Settings of holders and pools.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AllocationSettings {
    /// Time between two reports of a holder about a limit in use.
    pub report_period: Duration,
    /// Part of the rate that is not used, in millionths, to compensate for fast clocks. The fleet-wide bound holds as
    /// long as no clock runs faster than true time by more than this. Time synchronisation speeds a clock up by at
    /// most 500 ppm; a larger margin would refuse requests that are within the rate.
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

/// Rounds tokens up to whole requests.
fn round_up_to_requests(tokens: u64) -> u64 {
    tokens.div_ceil(TOKENS_PER_REQUEST) * TOKENS_PER_REQUEST
}

/// Rounds tokens down to whole requests.
fn round_down_to_requests(tokens: u64) -> u64 {
    tokens / TOKENS_PER_REQUEST * TOKENS_PER_REQUEST
}

/// Returns `value * numerator / denominator` without intermediate overflow; 0 if `denominator` is 0.
fn mul_div(value: u64, numerator: u64, denominator: u64) -> u64 {
    let product = u128::from(value) * u128::from(numerator);
    let quotient = product.checked_div(u128::from(denominator)).unwrap_or(0);
    u64::try_from(quotient).unwrap_or(u64::MAX)
}

/// Returns the tokens that a rate yields in a time.
fn tokens_in(rate: u64, time: Duration) -> u64 {
    let nanos = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
    mul_div(rate, nanos, 1_000_000_000)
}

/// Returns the burst capacity that a bucket needs for its refill until the next report, in whole requests.
fn refill_capacity(rate: u64, period: Duration) -> u64 {
    if rate == 0 {
        return 0;
    }
    round_up_to_requests(tokens_in(rate, period)).max(TOKENS_PER_REQUEST)
}
