//! Health of one backend server, estimated as the probability that it is in a gray failure.
//!
//! The model is a hidden Markov process with two states. A server is healthy or failing, fails requests
//! with a different probability in each state, and changes state at known rates. Each result updates the
//! probability of the failing state by Bayes' rule; without results the probability decays towards the
//! share of time that servers spend failing.

use std::time::Duration;

/// Probability that a request fails at a server in the failing state.
const FAILURE_PROBABILITY_FAILING: f64 = 0.65;

/// Probability that a request fails at a server in the healthy state.
const FAILURE_PROBABILITY_HEALTHY: f64 = 0.015;

/// Share of time that a server spends failing; the prior in the absence of results.
const PRIOR_FAILING: f64 = 0.03;

/// Time constant with which the estimate decays to the prior. Gray failures last several seconds.
const DECAY_TIME: Duration = Duration::from_millis(4_500);

/// Bounds of the estimate, so that a few results are enough to move it away from certainty.
const MIN_FAILING: f64 = 0.002;
const MAX_FAILING: f64 = 0.998;

/// Estimate above which a server is suspect: it gets only probes while other servers are available.
const SUSPECT_THRESHOLD: f64 = 0.3;

/// Estimated probability that a backend server is in the failing state.
#[derive(Debug, Clone)]
pub struct Health {
    failing: f64,
    updated_at: Duration,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failing: PRIOR_FAILING,
            updated_at: Duration::ZERO,
        }
    }
}

impl Health {
    /// Updates the estimate with results of this or another gateway that became known at `now`.
    pub fn record(&mut self, succeeded: u32, failed: u32, now: Duration) {
        let prior = self.failing(now);
        let power = |base: f64, count: u32| base.powi(i32::try_from(count).unwrap_or(i32::MAX));
        let failing = prior
            * power(FAILURE_PROBABILITY_FAILING, failed)
            * power(1.0 - FAILURE_PROBABILITY_FAILING, succeeded);
        let healthy = (1.0 - prior)
            * power(FAILURE_PROBABILITY_HEALTHY, failed)
            * power(1.0 - FAILURE_PROBABILITY_HEALTHY, succeeded);
        let estimate = failing / (failing + healthy);
        // With hundreds of results of both kinds at once, both products are 0.
        let estimate = if estimate.is_finite() {
            estimate
        } else {
            prior
        };
        self.failing = estimate.clamp(MIN_FAILING, MAX_FAILING);
        self.updated_at = now;
    }

    /// Probability that the next request to the server fails, from 0 to 1.
    #[must_use]
    pub fn failure_probability(&self, now: Duration) -> f64 {
        let failing = self.failing(now);
        failing * FAILURE_PROBABILITY_FAILING + (1.0 - failing) * FAILURE_PROBABILITY_HEALTHY
    }

    /// Whether the server should get only probes while other servers are available.
    #[must_use]
    pub fn is_suspect(&self, now: Duration) -> bool {
        self.failing(now) > SUSPECT_THRESHOLD
    }

    fn failing(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let decay = (-age / DECAY_TIME.as_secs_f64()).exp();
        PRIOR_FAILING + (self.failing - PRIOR_FAILING) * decay
    }
}
