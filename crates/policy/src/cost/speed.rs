//! Speed of the backend servers of one service relative to each other.

use std::collections::HashMap;
use std::time::Duration;

/// Time constant with which the ratios of a server decay.
const DECAY_TIME: Duration = Duration::from_secs(20);

/// Number of answers at normal speed that a server counts as having before the first one.
const PRIOR_ANSWERS: f64 = 2.0;

/// Bounds of the logarithm of one ratio, so that a single answer in the tail does not decide.
const MAX_LOG_RATIO: f64 = 2.3;

/// Period in which the median is computed, and servers without answers are forgotten.
const MEDIAN_PERIOD: Duration = Duration::from_millis(250);

/// Age at which a server without answers is forgotten.
const MAX_AGE: Duration = Duration::from_mins(2);

/// Decayed sum of the logarithms of the ratios of actual to expected service time.
#[derive(Debug, Clone, Copy, Default)]
struct Ratio {
    log_sum: f64,
    answers: f64,
    updated_at: Duration,
}

impl Ratio {
    fn mean_log(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let decay = (-age / DECAY_TIME.as_secs_f64()).exp();
        self.log_sum * decay / (self.answers * decay + PRIOR_ANSWERS)
    }

    fn record(&mut self, log_ratio: f64, now: Duration) {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let decay = (-age / DECAY_TIME.as_secs_f64()).exp();
        self.log_sum = self.log_sum * decay + log_ratio;
        self.answers = self.answers * decay + 1.0;
        self.updated_at = now;
    }
}

/// Speeds of the backend servers of one service.
#[derive(Debug, Clone, Default)]
pub(super) struct Speeds {
    ratios: HashMap<u64, Ratio>,
    /// Median of the servers. A change of the requests themselves moves all servers and with them the median, so it is not
    /// taken for a change of speed.
    median_log: f64,
    median_at: Option<Duration>,
}

impl Speeds {
    /// Service time at a server relative to the median server.
    pub(super) fn slowness(&self, server: u64, now: Duration) -> f64 {
        self.ratios
            .get(&server)
            .map_or(1.0, |ratio| (ratio.mean_log(now) - self.median_log).exp())
    }

    /// Updates the speed of a server with an answer.
    pub(super) fn record(
        &mut self,
        server: u64,
        actual: Duration,
        expected: Duration,
        now: Duration,
    ) {
        let ratio = actual.as_secs_f64().max(1e-6) / expected.as_secs_f64().max(1e-6);
        let log_ratio = ratio.ln().clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        self.ratios
            .entry(server)
            .or_default()
            .record(log_ratio, now);
        let is_due = |at: Duration| now.saturating_sub(at) >= MEDIAN_PERIOD;
        if self.median_at.is_none_or(is_due) {
            self.update_median(now);
        }
    }

    fn update_median(&mut self, now: Duration) {
        self.ratios
            .retain(|_, ratio| now.saturating_sub(ratio.updated_at) <= MAX_AGE);
        let mut logs: Vec<f64> = self
            .ratios
            .values()
            .map(|ratio| ratio.mean_log(now))
            .collect();
        logs.sort_by(f64::total_cmp);
        let middle = logs.len() / 2;
        self.median_log = if logs.len() % 2 == 1 {
            logs[middle]
        } else {
            f64::midpoint(logs[middle - 1], logs[middle])
        };
        self.median_at = Some(now);
    }
}
