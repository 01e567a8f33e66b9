//! Planned stop of an instance that serves callers.

use std::sync::OnceLock;

use radishpaddle_policy::StopPlan;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// State of the planned stop, which begins at most once.
#[derive(Debug)]
pub struct PlannedStop {
    plan: StopPlan,
    begun_at: OnceLock<Instant>,
    /// Cancelled when requests in progress end without the answer of a backend server.
    requests_end: CancellationToken,
}

impl PlannedStop {
    /// Creates the state of a process that has got no stop signal.
    #[must_use]
    pub fn new(plan: StopPlan) -> Self {
        Self {
            plan,
            begun_at: OnceLock::new(),
            requests_end: CancellationToken::new(),
        }
    }

    /// Begins the stop and returns when it began.
    pub fn begin(&self) -> Instant {
        *self.begun_at.get_or_init(Instant::now)
    }

    /// Times of the stop.
    #[must_use]
    pub const fn plan(&self) -> &StopPlan {
        &self.plan
    }

    /// Time of the stop signal, if there was one.
    #[must_use]
    pub fn begun_at(&self) -> Option<Instant> {
        self.begun_at.get().copied()
    }

    /// Whether the stop has begun.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.begun_at().is_some()
    }

    /// Whether a request that may take until its deadline ends before the process does.
    #[must_use]
    pub fn can_finish(&self, deadline: Instant) -> bool {
        self.begun_at().is_none_or(|begun_at| {
            self.plan
                .can_finish(deadline.saturating_duration_since(begun_at))
        })
    }

    /// Ends the requests in progress.
    pub fn end_requests(&self) {
        self.requests_end.cancel();
    }

    /// Waits until the requests in progress have to end.
    pub async fn requests_end(&self) {
        self.requests_end.cancelled().await;
    }
}
