//! Conversions and random draws that the emulator needs.

use std::time::Duration;

use rand::Rng;

/// A count as a floating-point number. Counts of a run are far below 2^52.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run are far below 2^52"
)]
pub fn float(count: u64) -> f64 {
    count as f64
}

/// A length as a floating-point number.
#[must_use]
pub fn float_len(length: usize) -> f64 {
    float(u64::try_from(length).unwrap_or(u64::MAX))
}

/// `part / whole`, or `otherwise` when the whole is 0.
#[must_use]
pub fn ratio(part: u64, whole: u64, otherwise: f64) -> f64 {
    if whole == 0 {
        otherwise
    } else {
        float(part) / float(whole)
    }
}

/// Nearest whole number, for values that are known to be small and not negative.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "callers pass small values that are not negative"
)]
pub fn rounded(value: f64) -> u32 {
    value.round() as u32
}

/// Time between two arrivals of a Poisson process with this rate per second.
pub fn exponential_gap(rate_per_s: f64, rng: &mut impl Rng) -> Duration {
    let uniform: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate_per_s)
}

/// Log-normal time with this mean; `sigma` is the standard deviation of the logarithm.
pub fn log_normal(mean: Duration, sigma: f64, rng: &mut impl Rng) -> Duration {
    let first: f64 = rng.random();
    let second: f64 = rng.random();
    // Box-Muller transform.
    let normal = (-2.0 * (1.0 - first).ln()).sqrt() * (std::f64::consts::TAU * second).cos();
    let factor = (sigma * normal - sigma * sigma / 2.0).exp();
    mean.mul_f64(factor)
}

/// Mixes numbers into one well-spread number; used for draws that must not depend on the order of
/// events.
#[must_use]
pub fn mixed(parts: &[u64]) -> u64 {
    parts.iter().fold(0x9e37_79b9_7f4a_7c15, |state, part| {
        let mut value = state ^ part.wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value ^= value >> 30;
        value = value.wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    })
}
