//! Histogram of service times in logarithmic buckets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of buckets. Bucket `b` holds times from `2^(b/4)` to `2^((b+1)/4)` milliseconds, which
/// covers 1 ms to 65 s. Times outside this range are counted in the first or last bucket.
pub const BUCKETS: usize = 64;

/// Number of buckets that a doubling of the time spans.
pub const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Number of requests whose service time falls into one bucket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BucketCount {
    /// Index of the bucket, below [`BUCKETS`].
    pub bucket: u8,
    /// Number of requests.
    pub count: u32,
}

/// Counts of the non-empty buckets, ordered by bucket index.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Histogram(pub Vec<BucketCount>);

impl Histogram {
    /// Counts one service time.
    pub fn add(&mut self, time: Duration) {
        self.add_bucket(bucket_of(time), 1);
    }

    /// Adds `count` service times to one bucket.
    pub fn add_bucket(&mut self, bucket: u8, count: u32) {
        match self.0.binary_search_by_key(&bucket, |entry| entry.bucket) {
            Ok(at) => self.0[at].count = self.0[at].count.saturating_add(count),
            Err(at) => self.0.insert(at, BucketCount { bucket, count }),
        }
    }

    /// Returns the number of counted service times.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.0
            .iter()
            .fold(0, |sum, entry| sum.saturating_add(entry.count))
    }

    /// Returns whether the histogram has no counts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Returns the index of the bucket that holds a service time.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to 0..BUCKETS"
)]
pub fn bucket_of(time: Duration) -> u8 {
    let milliseconds = time.as_secs_f64() * 1000.0;
    let position = milliseconds.max(1.0).log2() * BUCKETS_PER_DOUBLING;
    position.min(63.0) as u8
}

/// Returns the service time in the middle of a bucket on the logarithmic scale, in milliseconds. A
/// fractional `position` lies between two buckets.
#[must_use]
pub fn bucket_ms(position: f64) -> f64 {
    ((position + 0.5) / BUCKETS_PER_DOUBLING).exp2()
}
