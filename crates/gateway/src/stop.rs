//! Planned stop of a gateway.

use std::sync::OnceLock;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// State of the planned stop, which begins at most once.
#[derive(Debug, Default)]
pub struct PlannedStop {
    begun_at: OnceLock<Instant>,
    /// Cancelled when requests in progress end without the answer of a backend server.
    requests_end: CancellationToken,
}

impl PlannedStop {
    /// Begins the stop and returns when it began.
    pub(crate) fn begin(&self) -> Instant {
        *self.begun_at.get_or_init(Instant::now)
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

    /// Ends the requests in progress.
    pub(crate) fn end_requests(&self) {
        self.requests_end.cancel();
    }

    /// Waits until the requests in progress have to end.
    pub(crate) async fn requests_end(&self) {
        self.requests_end.cancelled().await;
    }
}
