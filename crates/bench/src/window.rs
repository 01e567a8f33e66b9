//! Check of the bound on admissions over every time window, and the token bucket that defines which
//! requests an organisation is entitled to.

use std::time::Duration;

use radishpaddle_model::OrganisationLimit;

/// Checks that the admissions in every window of length `w` are at most `burst + rate * w`.
///
/// Works in one pass with constant memory: it keeps the largest value of `admissions - rate * w` over
/// the windows that end at the latest admission.
#[derive(Debug, Clone)]
pub struct WindowBoundCheck {
    rate_per_s: f64,
    burst: f64,
    /// Time of the latest admission.
    last: Duration,
    /// Largest value of `admissions - rate * w` over the windows that end at `last`.
    max_ending_at_last: f64,
    /// Largest number of admissions above the bound over all windows; negative while there is room.
    max_excess: f64,
}

impl WindowBoundCheck {
    /// Creates the check for the limit of one organisation at one service.
    #[must_use]
    pub fn new(limit: &OrganisationLimit) -> Self {
        let burst = f64::from(limit.burst);
        Self {
            rate_per_s: limit.rate_per_s.as_f64(),
            burst,
            last: Duration::ZERO,
            max_ending_at_last: 0.0,
            max_excess: -burst,
        }
    }

    /// Records an admission. Times must not decrease.
    pub fn record(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.last).as_secs_f64();
        self.last = now;
        let remaining = (self.max_ending_at_last - elapsed * self.rate_per_s).max(0.0);
        self.max_ending_at_last = remaining + 1.0;
        self.max_excess = self.max_excess.max(self.max_ending_at_last - self.burst);
    }

    /// Returns the largest number of requests above the bound. Values up to 1e-6 are rounding errors
    /// and give 0.
    #[must_use]
    pub fn excess(&self) -> f64 {
        if self.max_excess > 1e-6 {
            self.max_excess
        } else {
            0.0
        }
    }
}

/// Token bucket for the requests of one organisation; starts full.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket with a refill rate in tokens per second and a capacity in tokens.
    #[must_use]
    pub fn new(rate_per_s: f64, burst: f64) -> Self {
        Self {
            rate_per_s,
            burst,
            tokens: burst,
            refilled_at: Duration::ZERO,
        }
    }

    /// Creates a full bucket with the rate and burst of a limit.
    #[must_use]
    pub fn of_limit(limit: &OrganisationLimit) -> Self {
        Self::new(limit.rate_per_s.as_f64(), f64::from(limit.burst))
    }

    /// Takes a token. Returns false when less than one token is left.
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
