//! Selection of the backend server for one attempt, and the limit of slow answers.

use std::time::Duration;

pub use radishpaddle_policy::placement::{Candidate, FailureImpact, Standing, choose};

/// Multiple of the mean service time after which an unanswered request counts as a failure of its server.
pub const SLOW_FACTOR: f64 = 4.0;

/// Exponential moving average of the service time of one route.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime {
    mean_s: Option<f64>,
}

impl ServiceTime {
    /// Weight of the newest answer in the average.
    const SMOOTHING_FACTOR: f64 = 0.05;

    /// Mean that is assumed before the first answer.
    const INITIAL_MEAN: Duration = Duration::from_millis(300);

    /// Adds the service time of one answer to the average.
    pub fn record(&mut self, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        let mean = self.mean_s.unwrap_or(elapsed);
        self.mean_s = Some(mean + (elapsed - mean) * Self::SMOOTHING_FACTOR);
    }

    /// Mean service time.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.mean_s
            .map_or(Self::INITIAL_MEAN, Duration::from_secs_f64)
    }

    /// Time after sending at which an unanswered request counts as a failure of its server.
    #[must_use]
    pub fn slow_after(&self) -> Duration {
        self.mean().mul_f64(SLOW_FACTOR)
    }
}
