//! Share of this gateway in the fleet-wide retry budget of one service.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::retry_reserve::RetryReserve;
use crate::urgency::Urgency;

/// Number of buckets that the sliding window is divided into.
const WINDOW_BUCKETS: u32 = 20;

/// Share of the budget that is used, because the windows of different gateways do not coincide.
const USABLE_SHARE: f64 = 0.85;

/// Limit on the retries of one service over the whole fleet in a sliding window.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// Allowed retries as a share of the requests in the window.
    pub ratio: f64,
    /// Allowed retries in the window in addition to the ratio.
    pub slack: f64,
    /// Length of the window in milliseconds.
    pub window_ms: u64,
}

/// Requests and retries in one bucket of the window.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// Number of the bucket since the start of the clock.
    index: u64,
    requests: u32,
    retries: u32,
}

/// Sliding-window retry budget of one service at this gateway.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    buckets: VecDeque<Bucket>,
    /// Part that is left to more urgent requests, for those whose urgency is known.
    reserve: RetryReserve,
}

impl RetryBudget {
    /// Creates a budget with an empty window.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            buckets: VecDeque::new(),
            reserve: RetryReserve::default(),
        }
    }

    /// Counts a request to the service; retries are not counted here.
    pub fn record_request(&mut self, now: Duration) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes one retry out of the budget. Returns `false` when the budget is exhausted, or the rest of it is reserved
    /// for more urgent requests; `gateways` is the number of gateways that share the slack.
    pub fn try_retry(&mut self, urgency: Option<Urgency>, gateways: u32, now: Duration) -> bool {
        if let Some(urgency) = urgency {
            self.reserve.record_wanted(urgency, now);
        }
        if !self.has_retry(urgency, gateways, now) {
            return false;
        }
        self.current_bucket(now).retries += 1;
        if let Some(urgency) = urgency {
            let window = Duration::from_millis(self.settings.window_ms);
            self.reserve.record_permitted(urgency, window, now);
        }
        true
    }

    /// Whether the budget permits one more retry.
    pub fn has_retry(&mut self, urgency: Option<Urgency>, gateways: u32, now: Duration) -> bool {
        self.current_bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = self.settings.slack / f64::from(gateways.max(1));
        let allowed = (self.settings.ratio * f64::from(requests) + slack) * USABLE_SHARE;
        let window = Duration::from_millis(self.settings.window_ms);
        let reserved = urgency.map_or(0.0, |urgency| {
            self.reserve.reserved(urgency, allowed, window, now)
        });
        f64::from(retries + 1) <= allowed - reserved
    }

    /// Bucket of the present time; drops the buckets that have left the window.
    fn current_bucket(&mut self, now: Duration) -> &mut Bucket {
        let bucket_ms = (self.settings.window_ms / u64::from(WINDOW_BUCKETS)).max(1);
        let index = u64::try_from(now.as_millis()).unwrap_or(u64::MAX) / bucket_ms;
        let oldest = index.saturating_sub(u64::from(WINDOW_BUCKETS) - 1);
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.index < oldest)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.index != index)
        {
            self.buckets.push_back(Bucket {
                index,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
