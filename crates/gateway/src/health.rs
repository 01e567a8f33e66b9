//! Belief about one backend server: whether it is in a spell of gray failure.
//!
//! A two-state filter: a server is sound or failing, fails requests with a different probability in
//! either state, and moves between the states at known rates. Every result shifts the belief by Bayes'
//! rule; without results it returns to the share of time that servers spend failing.

use std::time::Duration;

/// Probability that a request fails at a server in a spell of gray failure.
const FAILING_FAILS: f64 = 0.65;

/// Probability that a request fails at a sound server.
const SOUND_FAILS: f64 = 0.015;

/// Share of the time that a server spends failing, as assumed without evidence.
const FAILING_SHARE: f64 = 0.03;

/// Time in which a belief loses most of its weight. Spells last several seconds.
const RELAXATION: Duration = Duration::from_millis(4_500);

/// Bounds of the belief, so that it can change within a few results.
const LOWEST: f64 = 0.002;
const HIGHEST: f64 = 0.998;

/// Belief above which a server is a suspect that only trials may use while there are others.
const SUSPECT: f64 = 0.3;

/// Belief that a server is failing.
#[derive(Debug, Clone)]
pub struct Health {
    failing: f64,
    updated_at: Duration,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failing: FAILING_SHARE,
            updated_at: Duration::ZERO,
        }
    }
}

impl Health {
    /// Counts results that became known at `now`, here or at other gateways.
    pub fn record(&mut self, succeeded: u32, failed: u32, now: Duration) {
        let prior = self.failing(now);
        let power = |base: f64, count: u32| base.powi(i32::try_from(count).unwrap_or(i32::MAX));
        let failing = prior * power(FAILING_FAILS, failed) * power(1.0 - FAILING_FAILS, succeeded);
        let sound =
            (1.0 - prior) * power(SOUND_FAILS, failed) * power(1.0 - SOUND_FAILS, succeeded);
        self.failing = (failing / (failing + sound)).clamp(LOWEST, HIGHEST);
        self.updated_at = now;
    }

    /// Probability that the next request fails.
    #[must_use]
    pub fn failure_probability(&self, now: Duration) -> f64 {
        let failing = self.failing(now);
        failing * FAILING_FAILS + (1.0 - failing) * SOUND_FAILS
    }

    /// Whether only trials should use the server while there are others.
    #[must_use]
    pub fn is_suspect(&self, now: Duration) -> bool {
        self.failing(now) > SUSPECT
    }

    fn failing(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let fade = (-age / RELAXATION.as_secs_f64()).exp();
        FAILING_SHARE + (self.failing - FAILING_SHARE) * fade
    }
}
