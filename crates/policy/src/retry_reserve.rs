//! Part of a retry budget that is reserved for more urgent requests.
//!
//! Answers the load pattern in which servers shed or fail so many requests that the budget does not suffice for all
//! retries. Without a reserve, the kind of request with the most traffic uses up the budget, however urgent the others
//! are. First attempts need no budget, so less urgent requests are not starved by the reserve.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::urgency::Urgency;

/// Time constant of the rates of wanted and permitted retries. Shorter than the window of a budget, so that the reserve
/// follows a shortage before less urgent requests have used up the budget.
const RATE_DECAY_TIME: Duration = Duration::from_secs(3);

/// Maximum number of urgencies whose rates are kept. Operators use a few.
const MAX_URGENCIES: usize = 16;

/// Retries that the requests of one service want, by urgency.
#[derive(Debug, Clone, Default)]
pub struct RetryReserve {
    rates: BTreeMap<Urgency, Rates>,
}

/// Retries of one urgency.
#[derive(Debug, Clone, Default)]
struct Rates {
    wanted: DecayedRate,
    /// Times of the permitted retries of the newest window.
    permitted_at: VecDeque<Duration>,
}

impl Rates {
    /// Retries that the requests lack: those wanted in a window at the present rate, less those permitted in the newest.
    fn lacking(&self, window: Duration, now: Duration) -> f64 {
        let in_window = |at: &&Duration| now.saturating_sub(**at) < window;
        let permitted = self.permitted_at.iter().filter(in_window).count();
        let permitted = f64::from(u32::try_from(permitted).unwrap_or(u32::MAX));
        (self.wanted.at(now) * window.as_secs_f64() - permitted).max(0.0)
    }
}

/// Exponentially decayed rate of events.
#[derive(Debug, Clone, Copy, Default)]
struct DecayedRate {
    per_s: f64,
    updated_at: Duration,
}

impl DecayedRate {
    fn record(&mut self, now: Duration) {
        self.per_s = self.at(now) + 1.0 / RATE_DECAY_TIME.as_secs_f64();
        self.updated_at = now;
    }

    fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.per_s * (-age / RATE_DECAY_TIME.as_secs_f64()).exp()
    }
}

impl RetryReserve {
    /// Counts a retry that a request wants, whether or not the budget permits it.
    pub fn record_wanted(&mut self, urgency: Urgency, now: Duration) {
        self.rates_of(urgency, now).wanted.record(now);
    }

    /// Counts a wanted retry that the budget permitted.
    pub fn record_permitted(&mut self, urgency: Urgency, window: Duration, now: Duration) {
        let permitted_at = &mut self.rates_of(urgency, now).permitted_at;
        while permitted_at
            .front()
            .is_some_and(|at| now.saturating_sub(*at) >= window)
        {
            permitted_at.pop_front();
        }
        permitted_at.push_back(now);
    }

    /// Rates of an urgency. If there are too many, those with the fewest wanted retries are dropped first.
    fn rates_of(&mut self, urgency: Urgency, now: Duration) -> &mut Rates {
        if self.rates.len() >= MAX_URGENCIES && !self.rates.contains_key(&urgency) {
            let wanted = |rates: &Rates| rates.wanted.at(now);
            let rates = self.rates.iter();
            let fewest = rates.min_by(|left, right| wanted(left.1).total_cmp(&wanted(right.1)));
            if let Some(fewest) = fewest.map(|(urgency, _)| *urgency) {
                self.rates.remove(&fewest);
            }
        }
        self.rates.entry(urgency).or_default()
    }

    /// Number of retries, of `allowed` in a window, that a request must leave to more urgent ones, which lack them.
    #[must_use]
    pub fn reserved(&self, urgency: Urgency, allowed: f64, window: Duration, now: Duration) -> f64 {
        let more_urgent = self.rates.range(..urgency);
        let lacking: f64 = more_urgent
            .map(|(_, rates)| rates.lacking(window, now))
            .sum();
        lacking.clamp(0.0, allowed.max(0.0))
    }
}
