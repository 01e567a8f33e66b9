//! Entries of attempts in the decision log.

use std::sync::Arc;

use radishpaddle_policy::placement::Reason;
use serde::Serialize;
use tokio::time::Instant;

use crate::next_step::AttemptLabel;
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
    /// Why the server was selected; absent for a selection by requests in flight.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub placement: Option<PlacementRecord>,
    /// Why this copy was sent beside another one; absent for a copy that was sent alone.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hedge: Option<HedgeReason>,
    /// Result label, as in the metric of attempts.
    pub result: &'static str,
    /// Duration of the attempt in milliseconds.
    pub elapsed_ms: u64,
}

/// Why a further copy of a request was sent beside one in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HedgeReason {
    /// The answer was late.
    Late,
    /// The answer had begun, and nothing more of it arrived.
    Stalled,
}

/// Why placement by expected work selected a server. Terms of the cost are in milliseconds of the request.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementRecord {
    /// The request probes a server without recent requests.
    Probe,
    /// The server had the lowest cost.
    Cost {
        /// Expected wait for a slot.
        wait_ms: f64,
        /// Expected service time.
        service_ms: f64,
        /// Cost of the expected time after the target latency.
        lateness_ms: f64,
        /// Failure probability times the cost of a failure.
        failure_ms: f64,
        /// Cost of crossing zones.
        crossing_ms: f64,
        /// Cost of slots and bytes in use, of warm-up and of missing announcements.
        state_ms: f64,
    },
}

impl PlacementRecord {
    fn of(reason: &Reason) -> Option<Self> {
        let ms = |seconds: f64| (seconds * 1e4).round() / 10.0;
        match reason {
            Reason::Count => None,
            Reason::Probe => Some(Self::Probe),
            Reason::Cost(terms) => Some(Self::Cost {
                wait_ms: ms(terms.wait_s),
                service_ms: ms(terms.service_s),
                lateness_ms: ms(terms.lateness_s),
                failure_ms: ms(terms.failure_s),
                crossing_ms: ms(terms.crossing_s),
                state_ms: ms(terms.state_s),
            }),
        }
    }
}

impl AttemptRecord {
    /// Creates the entry of an attempt that has not ended.
    pub(crate) fn new(chosen: &ChosenServer) -> Self {
        Self {
            server: Arc::clone(&chosen.server.name),
            failure_probability: (chosen.failure_probability * 1000.0).round() / 1000.0,
            in_flight: chosen.in_flight,
            reused: chosen.connection.is_some(),
            placement: PlacementRecord::of(&chosen.reason),
            hedge: None,
            result: "",
            elapsed_ms: 0,
        }
    }

    /// Ends the entry with a result label.
    pub(crate) fn end(&mut self, label: AttemptLabel, started_at: Instant) {
        self.result = label.as_str();
        self.elapsed_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    }

    /// Ends the entry of a copy that another copy of the request has overtaken.
    pub(crate) fn cancel(&mut self, started_at: Instant) {
        self.end(AttemptLabel::Overtaken, started_at);
    }
}
