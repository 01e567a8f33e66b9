//! Token bucket with integer arithmetic.

use std::time::Duration;

/// Divisor that converts a refill from rate (tokens per second) × nanoseconds × parts per million to tokens. The
/// remainder of a bucket is in the same unit.
const REFILL_DIVISOR: u128 = 1_000_000_000 * 1_000_000;

/// Sub-bucket of a limit. The rate is in tokens per second; burst and tokens are in tokens, which are millionths of a
/// request.
#[derive(Debug, Clone)]
pub(super) struct Bucket {
    pub rate: u64,
    pub burst: u64,
    pub tokens: u64,
    remainder: u128,
    updated_at: Duration,
    /// Part of the rate that is refilled, in millionths.
    refill_ppm: u64,
}

impl Bucket {
    /// Creates a bucket without rate, burst and tokens. `clock_margin_ppm` is the part of the rate that is not
    /// refilled, in millionths.
    pub fn new(now: Duration, clock_margin_ppm: u32) -> Self {
        Self {
            rate: 0,
            burst: 0,
            tokens: 0,
            remainder: 0,
            updated_at: now,
            refill_ppm: 1_000_000_u64.saturating_sub(u64::from(clock_margin_ppm)),
        }
    }

    /// Adds the tokens for the time since the last call. Fractions of a token are carried over, so the result does not
    /// depend on the frequency of calls. A time before the last call adds nothing.
    pub fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let gained = u128::from(self.rate) * u128::from(self.refill_ppm) * elapsed.as_nanos();
        let gained = gained + self.remainder;
        let tokens = u128::from(self.tokens) + gained / REFILL_DIVISOR;
        self.remainder = gained % REFILL_DIVISOR;
        self.tokens = u64::try_from(tokens).unwrap_or(u64::MAX);
        self.discard_excess();
    }

    /// Discards tokens above the burst.
    pub fn discard_excess(&mut self) {
        if self.tokens >= self.burst {
            self.tokens = self.burst;
            self.remainder = 0;
        }
    }

    /// Sets rate, burst and tokens to 0.
    pub fn clear(&mut self) {
        self.rate = 0;
        self.burst = 0;
        self.discard_excess();
    }
}
