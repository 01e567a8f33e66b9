//! Token bucket in integers.

use std::time::Duration;

/// One millionth of a token times one nanosecond times one millionth of the rate: the unit of the remainder.
const REMAINDER_UNIT: u128 = 1_000_000_000 * 1_000_000;

/// Sub-bucket. Tokens are millionths of a request; the rate is in tokens per second.
#[derive(Debug, Clone)]
pub(super) struct Bucket {
    pub rate: u64,
    pub burst: u64,
    pub tokens: u64,
    remainder: u128,
    updated_at: Duration,
    speed_ppm: u64,
}

impl Bucket {
    /// Bucket without rate, burst and tokens.
    pub fn new(now: Duration, clock_margin_ppm: u32) -> Self {
        Self {
            rate: 0,
            burst: 0,
            tokens: 0,
            remainder: 0,
            updated_at: now,
            speed_ppm: 1_000_000_u64.saturating_sub(u64::from(clock_margin_ppm)),
        }
    }

    /// Adds the tokens of the time since the last call. Fractions of a unit are carried over, so nothing is gained or
    /// lost by frequent calls. A time before the last call adds nothing.
    pub fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let gained = u128::from(self.rate) * u128::from(self.speed_ppm) * elapsed.as_nanos();
        let gained = gained + self.remainder;
        let tokens = u128::from(self.tokens) + gained / REMAINDER_UNIT;
        self.remainder = gained % REMAINDER_UNIT;
        self.tokens = u64::try_from(tokens).unwrap_or(u64::MAX);
        self.cap();
    }

    /// Drops tokens above the burst.
    pub fn cap(&mut self) {
        if self.tokens >= self.burst {
            self.tokens = self.burst;
            self.remainder = 0;
        }
    }

    /// Removes everything.
    pub fn clear(&mut self) {
        self.rate = 0;
        self.burst = 0;
        self.cap();
    }
}
