//! Tests that the single-pass check of rate and burst agrees with a comparison of all windows.

use std::time::Duration;

use proptest::prelude::*;
use radishpaddle_bench::window::{TokenBucket, WindowBoundCheck};
use radishpaddle_model::{OrganisationLimit, RatePerSecond};

fn limit(rate_per_s: f64, burst: u32) -> OrganisationLimit {
    OrganisationLimit {
        organisation: "org".parse().unwrap(),
        rate_per_s: RatePerSecond::try_from(rate_per_s).unwrap(),
        burst,
    }
}

fn excess(limit: &OrganisationLimit, times_ms: &[u64]) -> f64 {
    let mut check = WindowBoundCheck::new(limit);
    for time_ms in times_ms {
        check.record(Duration::from_millis(*time_ms));
    }
    check.excess()
}

/// Returns the largest excess over all pairs of first and last admission.
fn excess_of_all_windows(limit: &OrganisationLimit, times_ms: &[u64]) -> f64 {
    let mut largest: f64 = 0.0;
    for (first, from_ms) in times_ms.iter().enumerate() {
        let mut admitted = 0.0;
        for to_ms in &times_ms[first..] {
            admitted += 1.0;
            let window = Duration::from_millis(to_ms - from_ms).as_secs_f64();
            let allowed = f64::from(limit.burst) + limit.rate_per_s.as_f64() * window;
            largest = largest.max(admitted - allowed);
        }
    }
    largest
}

/// Guards against a check that never reports a violation. Two bursts of 20 a second apart, at a rate of
/// 10 per second and a burst of 20, exceed the bound by 10, although each of them alone is allowed.
#[test]
fn violating_history_is_found() {
    let mut times_ms = vec![0; 20];
    times_ms.extend([1000; 20]);

    let found = excess(&limit(10.0, 20), &times_ms);

    assert!((found - 10.0).abs() < 1e-9, "{found}");
}

/// Guards against a check that misses a violation that follows steady traffic and a long idle time.
#[test]
fn violation_after_a_quiet_time_is_found() {
    let mut times_ms: Vec<u64> = (0..100).map(|index| index * 100).collect();
    times_ms.extend([600_000; 21]);

    assert!((excess(&limit(10.0, 20), &times_ms) - 1.0).abs() < 1e-9);
}

proptest! {
    /// Guards against windows that the single pass misses or whose excess it overestimates.
    #[test]
    fn single_pass_equals_all_windows(
        gaps_ms in proptest::collection::vec(0..400_u64, 0..80),
        rate_per_s in 0.0..50.0_f64,
        burst in 1..20_u32,
    ) {
        let mut now_ms = 0;
        let times_ms: Vec<u64> = gaps_ms.iter().map(|gap_ms| { now_ms += gap_ms; now_ms }).collect();
        let limit = limit(rate_per_s, burst);

        let expected = excess_of_all_windows(&limit, &times_ms);

        prop_assert!((excess(&limit, &times_ms) - expected).abs() < 1e-5);
    }

    /// Guards against a token bucket that admits more than the bound allows, which would overstate the
    /// entitlement of organisations.
    #[test]
    fn token_bucket_keeps_the_bound(
        gaps_ms in proptest::collection::vec(0..100_u64, 0..200),
        rate_per_s in 0.0..50.0_f64,
        burst in 1..20_u32,
    ) {
        let limit = limit(rate_per_s, burst);
        let mut bucket = TokenBucket::of_limit(&limit);
        let mut check = WindowBoundCheck::new(&limit);
        let mut now = Duration::ZERO;
        for gap_ms in gaps_ms {
            now += Duration::from_millis(gap_ms);
            if bucket.take(now) {
                check.record(now);
            }
        }

        prop_assert!(check.excess() < 1e-6, "{}", check.excess());
    }
}
