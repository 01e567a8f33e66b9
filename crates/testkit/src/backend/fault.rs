//! Faults that a sample backend server injects, changeable while it runs.

use serde::{Deserialize, Serialize};

/// Faults in force. The default injects none.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultPlan {
    /// Added to the service time of every request, in milliseconds.
    pub extra_delay_ms: u64,
    /// Factor on the service time; 0 and 1 leave it unchanged.
    pub slow_factor: f64,
    /// Share of requests answered with status 500 after the service time, from 0 to 1.
    pub error_share: f64,
    /// Share of requests that are refused with status 503 and `X-Shed: 1`, from 0 to 1.
    pub shed_share: f64,
    /// Closes the connection after this number of body bytes.
    pub truncate_after_bytes: Option<usize>,
    /// Sends responses with chunked encoding instead of a content length.
    pub chunked: bool,
    /// Difference between declared and sent body bytes. Positive: the response declares more than it
    /// sends and the connection closes. Negative: additional bytes follow the declared end.
    pub length_error_bytes: i64,
    /// Answers only after the deadline in `X-Deadline-Ms` has passed.
    pub answer_after_deadline: bool,
    /// Sends the response head and one body byte, then nothing.
    pub hang_after_first_byte: bool,
    /// Crashes when this text occurs in the path, the query or the body.
    pub crash_marker: Option<String>,
    /// Time between a crash and the restart with a higher incarnation, in milliseconds; without it
    /// the backend server stays down.
    pub restart_after_ms: Option<u64>,
}

impl FaultPlan {
    /// Whether a request with this path and body crashes the backend server.
    #[must_use]
    pub fn crashes(&self, path: &str, body: &[u8]) -> bool {
        let Some(marker) = self.crash_marker.as_deref().filter(|text| !text.is_empty()) else {
            return false;
        };
        path.contains(marker) || contains(body, marker.as_bytes())
    }
}

fn contains(body: &[u8], marker: &[u8]) -> bool {
    body.windows(marker.len()).any(|window| window == marker)
}
