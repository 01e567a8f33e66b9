//! Streaming quantiles of service times: counts in logarithmic buckets, in constant memory.

use std::time::Duration;

/// Number of buckets that a doubling of the service time spans; the error of a quantile is at most
/// 9 %.
const BUCKETS_PER_DOUBLING: f64 = 8.0;

/// Number of buckets, which cover 1 us to 2^30 us or about 18 minutes. The longest route time-out
/// is 10 minutes.
const BUCKETS: usize = 240;

/// Service times in logarithmic buckets.
#[derive(Debug, Clone)]
pub(crate) struct ServiceTimes {
    counts: Box<[u32; BUCKETS]>,
    count: u64,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        Self {
            counts: Box::new([0; BUCKETS]),
            count: 0,
        }
    }
}

impl ServiceTimes {
    /// Counts one service time.
    pub(crate) fn add(&mut self, service_time: Duration) {
        let index = bucket_of(service_time);
        self.counts[index] = self.counts[index].saturating_add(1);
        self.count += 1;
    }

    /// Number of counted service times.
    pub(crate) const fn count(&self) -> u64 {
        self.count
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is between 0 and the number of buckets"
)]
fn bucket_of(service_time: Duration) -> usize {
    let micros = (service_time.as_secs_f64() * 1e6).max(1.0);
    let index = (micros.log2() * BUCKETS_PER_DOUBLING) as usize;
    index.min(BUCKETS - 1)
}

/// Returns a quantile of two sets of service times together, in microseconds.
#[expect(
    clippy::cast_precision_loss,
    reason = "window counts and bucket numbers are far below 2^52"
)]
pub(crate) fn quantile_us_of(first: &ServiceTimes, second: &ServiceTimes, quantile: f64) -> f64 {
    let rank = (first.count + second.count) as f64 * quantile;
    let mut seen = 0.0;
    for index in 0..BUCKETS {
        seen += f64::from(first.counts[index]) + f64::from(second.counts[index]);
        if seen >= rank && seen > 0.0 {
            return ((index as f64 + 0.5) / BUCKETS_PER_DOUBLING).exp2();
        }
    }
    (BUCKETS as f64 / BUCKETS_PER_DOUBLING).exp2()
}
