//! Numeric conversions and random distributions for the emulator.

use std::time::Duration;

use rand::Rng;

/// Converts a count to floating point, exactly for counts up to 2^53.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run are far below 2^53"
)]
pub fn to_f64(count: u64) -> f64 {
    count as f64
}

/// Converts the length of a collection to floating point.
#[must_use]
pub fn len_to_f64(length: usize) -> f64 {
    to_f64(u64::try_from(length).unwrap_or(u64::MAX))
}

/// Returns `numerator / denominator`, or `default` when the denominator is 0.
#[must_use]
pub fn ratio(numerator: u64, denominator: u64, default: f64) -> f64 {
    if denominator == 0 {
        default
    } else {
        to_f64(numerator) / to_f64(denominator)
    }
}

/// Rounds to the nearest integer. Values below 0 give 0, and values beyond the range of `u32` its
/// largest value.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "callers pass values within the range of u32"
)]
pub fn round_to_u32(value: f64) -> u32 {
    value.round() as u32
}

/// Draws the time between two arrivals of a Poisson process with this rate per second.
pub fn draw_poisson_gap(rate_per_s: f64, rng: &mut impl Rng) -> Duration {
    let uniform: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate_per_s)
}

/// Draws a log-normally distributed time with this mean; `sigma` is the standard deviation of its
/// logarithm.
pub fn draw_log_normal(mean: Duration, sigma: f64, rng: &mut impl Rng) -> Duration {
    let first: f64 = rng.random();
    let second: f64 = rng.random();
    // Box-Muller transform.
    let normal = (-2.0 * (1.0 - first).ln()).sqrt() * (std::f64::consts::TAU * second).cos();
    let factor = (sigma * normal - sigma * sigma / 2.0).exp();
    mean.mul_f64(factor)
}

/// Hashes numbers to a seed for a random draw that must not depend on the order of events.
#[must_use]
pub fn hash_to_seed(parts: &[u64]) -> u64 {
    parts.iter().fold(0x9e37_79b9_7f4a_7c15, |state, part| {
        let mut value = state ^ part.wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value ^= value >> 30;
        value = value.wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    })
}
