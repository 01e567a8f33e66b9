//! Checks of rate and burst over every window, and the token bucket that defines entitlement.

use std::time::Duration;

use radishpaddle_model::OrganisationLimit;

/// Largest number of admissions above `burst + rate * w` over all windows; at most 0 when the bound
/// holds.
///
/// Keeps one number per admission stream: the largest excess of a window that ends now.
#[derive(Debug, Clone)]
pub struct WindowCheck {
    rate_per_s: f64,
    burst: f64,
    last: Duration,
    ending_now: f64,
    largest: f64,
}

impl WindowCheck {
    /// Check of one organisation at one service.
    #[must_use]
    pub fn new(limit: &OrganisationLimit) -> Self {
        let burst = f64::from(limit.burst);
        Self {
            rate_per_s: limit.rate_per_s.as_f64(),
            burst,
            last: Duration::ZERO,
            ending_now: 0.0,
            largest: -burst,
        }
    }

    /// Counts an admission. Times must not decrease.
    pub fn record(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.last).as_secs_f64();
        self.last = now;
        let carried = (self.ending_now - elapsed * self.rate_per_s).max(0.0);
        self.ending_now = carried + 1.0;
        self.largest = self.largest.max(self.ending_now - self.burst);
    }

    /// Largest excess in requests; values up to a rounding error of 1e-6 count as 0.
    #[must_use]
    pub fn excess(&self) -> f64 {
        if self.largest > 1e-6 {
            self.largest
        } else {
            0.0
        }
    }
}

/// Token bucket of an organisation over the whole fleet.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// A full bucket.
    #[must_use]
    pub fn new(rate_per_s: f64, burst: f64) -> Self {
        Self {
            rate_per_s,
            burst,
            tokens: burst,
            refilled_at: Duration::ZERO,
        }
    }

    /// Full bucket of a limit.
    #[must_use]
    pub fn of_limit(limit: &OrganisationLimit) -> Self {
        Self::new(limit.rate_per_s.as_f64(), f64::from(limit.burst))
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.rate_per_s).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
