//! Part of this gateway in the fleet-wide budget for repeated requests of one service.

use std::collections::VecDeque;
use std::time::Duration;

use crate::settings::RetryBudgetSettings;

/// Parts of the window in which requests are counted.
const PARTS: u32 = 20;

/// Part of the budget that is used: windows of gateways do not coincide.
const USED: f64 = 0.85;

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    at: u64,
    requests: u32,
    repeats: u32,
}

/// Budget of one service at this gateway.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    counts: VecDeque<Count>,
}

impl RetryBudget {
    /// Empty window.
    #[must_use]
    pub const fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            counts: VecDeque::new(),
        }
    }

    /// Counts a request for the service.
    pub fn record_request(&mut self, now: Duration) {
        self.current(now).requests += 1;
    }

    /// Takes one repeat out of the budget, if there is one.
    pub fn try_repeat(&mut self, gateways: u32, now: Duration) -> bool {
        self.current(now);
        let requests: u32 = self.counts.iter().map(|count| count.requests).sum();
        let repeats: u32 = self.counts.iter().map(|count| count.repeats).sum();
        let slack = self.settings.slack / f64::from(gateways.max(1));
        let allowed = (self.settings.ratio * f64::from(requests) + slack) * USED;
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.current(now).repeats += 1;
        true
    }

    fn current(&mut self, now: Duration) -> &mut Count {
        let part_ms = (self.settings.window_ms / u64::from(PARTS)).max(1);
        let at = u64::try_from(now.as_millis()).unwrap_or(u64::MAX) / part_ms;
        let oldest = at.saturating_sub(u64::from(PARTS) - 1);
        while self.counts.front().is_some_and(|count| count.at < oldest) {
            self.counts.pop_front();
        }
        if self.counts.back().is_none_or(|count| count.at != at) {
            self.counts.push_back(Count {
                at,
                ..Count::default()
            });
        }
        let last = self.counts.len() - 1;
        &mut self.counts[last]
    }
}
