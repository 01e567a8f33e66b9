//! Planned stop: which requests a stopping instance still takes.
//!
//! Callers cache addresses, so requests arrive for a while after the stop signal. An instance that takes one must
//! be able to wait for its answer; a caller that is refused at once can still go to another instance.

use std::time::Duration;

/// Time between the end of the last request and the end of the process, in which its answer is sent.
pub const ANSWER_SEND_TIME: Duration = Duration::from_millis(50);

/// Times of a planned stop, counted from the stop signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    accept_for: Duration,
    requests_end_after: Duration,
    process_ends_after: Duration,
}

impl StopPlan {
    /// Creates a plan for a process that accepts connections for `accept_for` and ends at `process_ends_after`.
    #[must_use]
    pub fn new(accept_for: Duration, process_ends_after: Duration) -> Self {
        Self {
            accept_for: accept_for.min(process_ends_after),
            requests_end_after: process_ends_after.saturating_sub(ANSWER_SEND_TIME),
            process_ends_after,
        }
    }

    /// Time for which connections are accepted when a request may take up to `longest_time_limit`. A caller whose
    /// connection is refused goes to another instance, while many give up after a refusal of their request; so
    /// connections are refused before requests have to be.
    #[must_use]
    pub fn accept_for(&self, longest_time_limit: Duration) -> Duration {
        let last_start = self.requests_end_after.saturating_sub(longest_time_limit);
        self.accept_for.min(last_start)
    }

    /// Time at which requests that are still in progress end without the answer of a backend server.
    #[must_use]
    pub const fn requests_end_after(&self) -> Duration {
        self.requests_end_after
    }

    /// Time at which the process ends.
    #[must_use]
    pub const fn process_ends_after(&self) -> Duration {
        self.process_ends_after
    }

    /// Whether a request that may take until `request_deadline` ends before the process does.
    #[must_use]
    pub fn can_finish(&self, request_deadline: Duration) -> bool {
        request_deadline <= self.requests_end_after
    }
}
