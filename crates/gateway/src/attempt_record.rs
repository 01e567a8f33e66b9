//! Entries of attempts in the decision log.

use std::sync::Arc;

use serde::Serialize;
use tokio::time::Instant;

use crate::pool::ChosenServer;

/// Entry of one attempt in the decision log.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct AttemptRecord {
    /// Name of the backend server.
    pub server: Arc<str>,
    /// Estimated probability of failure when the server was selected.
    pub failure_probability: f64,
    /// Requests in flight at the server from all gateways when it was selected.
    pub in_flight: u32,
    /// Whether an idle connection was reused.
    pub reused: bool,
    /// Result label, as in the metric of attempts.
    pub result: &'static str,
    /// Duration of the attempt in milliseconds.
    pub elapsed_ms: u64,
}

impl AttemptRecord {
    /// Creates the entry of an attempt that has not ended.
    pub(crate) fn new(chosen: &ChosenServer) -> Self {
        Self {
            server: Arc::clone(&chosen.id),
            failure_probability: (chosen.failure_probability * 1000.0).round() / 1000.0,
            in_flight: chosen.in_flight,
            reused: chosen.connection.is_some(),
            result: "",
            elapsed_ms: 0,
        }
    }

    /// Ends the entry with a result label.
    pub(crate) fn end(&mut self, result: &'static str, started_at: Instant) {
        self.result = result;
        self.elapsed_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    }

    /// Ends the entry of a copy that another copy of the request has overtaken.
    pub(crate) fn cancel(&mut self, started_at: Instant) {
        self.end("overtaken", started_at);
    }
}
