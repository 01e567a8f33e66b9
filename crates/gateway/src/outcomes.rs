//! Recent outcomes of the requests of a service.

use std::time::Duration;

/// Time constant of the moving average.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Exponentially decayed counts of served and unserved requests of a service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Outcomes {
    served: f64,
    unserved: f64,
    updated_at: Duration,
}

impl Outcomes {
    /// Adds requests to the counts.
    pub(crate) fn record(&mut self, served: f64, unserved: f64, now: Duration) {
        let decay = self.decay(now);
        self.served = self.served * decay + served;
        self.unserved = self.unserved * decay + unserved;
        self.updated_at = now;
    }

    /// Share of unserved requests, from 0 to 1.
    pub(crate) fn unserved_share(&self, now: Duration) -> f64 {
        let decay = self.decay(now);
        let unserved = self.unserved * decay;
        unserved / (unserved + self.served * decay).max(1.0)
    }

    /// Factor by which the counts have decayed since the last update.
    fn decay(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}
