//! Work that a backend server still has to do for requests in flight.

use std::time::Duration;

/// Share of the expected service time that a request counts as remaining at least, however long it has run: service times
/// have tails.
const MIN_REMAINING_SHARE: f64 = 0.25;

/// Share of its service time that a request of another gateway has left on average.
const MEAN_REMAINING_SHARE: f64 = 0.5;

/// Expected work of one request that was sent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PlacedWork {
    /// Time at which the request was sent.
    pub sent_at: Duration,
    /// Expected service time.
    pub expected: Duration,
    /// Bytes of the request and the expected answer.
    pub bytes: u64,
}

/// Requests of this gateway in flight at one server.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkInProgress {
    requests: u32,
    /// Sum of the expected service times in seconds.
    expected_s: f64,
    /// Sum of the times of sending in seconds.
    sent_at_s: f64,
    bytes: u64,
}

impl WorkInProgress {
    /// Adds a request.
    pub fn add(&mut self, work: PlacedWork) {
        self.requests += 1;
        self.expected_s += work.expected.as_secs_f64();
        self.sent_at_s += work.sent_at.as_secs_f64();
        self.bytes = self.bytes.saturating_add(work.bytes);
    }

    /// Removes a request that was added.
    pub fn remove(&mut self, work: PlacedWork) {
        self.requests = self.requests.saturating_sub(1);
        if self.requests == 0 {
            // Sums of floating-point numbers would keep a remainder.
            *self = Self::default();
            return;
        }
        self.expected_s = (self.expected_s - work.expected.as_secs_f64()).max(0.0);
        self.sent_at_s = (self.sent_at_s - work.sent_at.as_secs_f64()).max(0.0);
        self.bytes = self.bytes.saturating_sub(work.bytes);
    }

    /// Expected work that is left, as if one request ran at a time.
    #[must_use]
    pub fn remaining(&self, now: Duration) -> Duration {
        let elapsed_s = f64::from(self.requests) * now.as_secs_f64() - self.sent_at_s;
        let least_s = self.expected_s * MIN_REMAINING_SHARE;
        let remaining_s = (self.expected_s - elapsed_s.max(0.0)).max(least_s);
        Duration::from_secs_f64(remaining_s)
    }

    /// Bytes of the requests and their expected answers.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }
}

/// Expected remaining work of requests of other gateways, from their number and the mean service time.
#[must_use]
pub fn reported_work(requests: u32, mean: Duration) -> Duration {
    mean.mul_f64(f64::from(requests) * MEAN_REMAINING_SHARE)
}
