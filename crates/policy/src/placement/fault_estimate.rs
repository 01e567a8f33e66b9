//! Probability that a backend server is faulty now, from results that become outdated within a second.
//!
//! The model is that of a server that becomes faulty at random times and stays so for about a second. After a success the
//! probability rises back to the share of time that servers are faulty; after a failure it falls back to it.

use std::time::Duration;

/// Probability that a request fails at a faulty server.
const FAILURE_PROBABILITY_FAULTY: f64 = 0.65;

/// Probability that a request fails at a healthy server.
const FAILURE_PROBABILITY_HEALTHY: f64 = 0.015;

/// Share of time for which a server is faulty: about a second in 30.
const PRIOR: f64 = 1.0 / 30.0;

/// Time constant with which evidence of health decays, since the next fault may begin at any moment.
const HEALTH_DECAY: Duration = Duration::from_secs(1);

/// Time constant with which evidence of a fault decays. It is longer than that of health, since some faults last
/// longer than a second, and a success proves the end of a fault sooner.
const FAULT_DECAY: Duration = Duration::from_millis(4_500);

/// Bounds of the estimate, so that a few results move it away from certainty.
const MIN_FAULTY: f64 = 0.002;
const MAX_FAULTY: f64 = 0.998;

/// Probability above which a server gets no request that would be lost by a failure.
const DOUBT_THRESHOLD: f64 = 0.15;

/// Estimated probability that one server is faulty.
#[derive(Debug, Clone)]
pub struct FaultEstimate {
    faulty: f64,
    updated_at: Option<Duration>,
}

impl Default for FaultEstimate {
    fn default() -> Self {
        Self {
            faulty: PRIOR,
            updated_at: None,
        }
    }
}

impl FaultEstimate {
    /// Updates the estimate with results that became known at `now`.
    pub fn record(&mut self, succeeded: u32, failed: u32, now: Duration) {
        let prior = self.faulty(now);
        let power = |base: f64, count: u32| base.powi(i32::try_from(count).unwrap_or(i32::MAX));
        let faulty = prior
            * power(FAILURE_PROBABILITY_FAULTY, failed)
            * power(1.0 - FAILURE_PROBABILITY_FAULTY, succeeded);
        let healthy = (1.0 - prior)
            * power(FAILURE_PROBABILITY_HEALTHY, failed)
            * power(1.0 - FAILURE_PROBABILITY_HEALTHY, succeeded);
        let estimate = faulty / (faulty + healthy);
        // Both probabilities of a very long series of results may underflow to zero.
        let estimate = if estimate.is_finite() {
            estimate
        } else {
            prior
        };
        self.faulty = estimate.clamp(MIN_FAULTY, MAX_FAULTY);
        self.updated_at = Some(now);
    }

    /// Probability that the next request fails, from 0 to 1.
    #[must_use]
    pub fn failure_probability(&self, now: Duration) -> f64 {
        let faulty = self.faulty(now);
        faulty * FAILURE_PROBABILITY_FAULTY + (1.0 - faulty) * FAILURE_PROBABILITY_HEALTHY
    }

    /// Whether a request that would be lost by a failure should go elsewhere.
    #[must_use]
    pub fn is_doubtful(&self, now: Duration) -> bool {
        self.faulty(now) > DOUBT_THRESHOLD
    }

    /// Age of the newest result; `None` before the first one.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.updated_at.map(|at| now.saturating_sub(at))
    }

    fn faulty(&self, now: Duration) -> f64 {
        let age = self.age(now).unwrap_or_default();
        let decay_time = if self.faulty > PRIOR {
            FAULT_DECAY
        } else {
            HEALTH_DECAY
        };
        let decay = (-age.as_secs_f64() / decay_time.as_secs_f64()).exp();
        PRIOR + (self.faulty - PRIOR) * decay
    }
}
