//! Faults that a sample backend server injects. They can be changed while it runs.

use serde::{Deserialize, Serialize};

use super::signal::ResponseHeader;

/// When a request makes the server crash.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashMoment {
    /// Before the first byte of the response.
    #[default]
    BeforeResponse,
    /// After the first byte of the response body.
    WithinResponse,
}

/// Faults that a sample backend server injects. The default injects none.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultPlan {
    /// Delay added to the service time of every request, in milliseconds.
    pub extra_delay_ms: u64,
    /// Factor on the service time; 0 and 1 leave it unchanged.
    pub slow_factor: f64,
    /// Fraction of requests answered with status 500 after the service time, from 0 to 1.
    pub error_share: f64,
    /// Fraction of requests refused with status 503 and `X-Shed: 1`, from 0 to 1.
    pub shed_share: f64,
    /// Number of body bytes after which the connection is closed.
    pub truncate_after_bytes: Option<usize>,
    /// Whether responses are sent with chunked encoding instead of a content length.
    pub chunked: bool,
    /// Declared minus sent body bytes. If positive, the response declares more bytes than it sends, and the
    /// connection closes. If negative, additional bytes follow the declared end.
    pub length_error_bytes: i64,
    /// Whether the response is sent only after the deadline in `X-Deadline-Ms` has passed.
    pub answer_after_deadline: bool,
    /// Whether the response stops after the head and one body byte, with the connection left open.
    pub hang_after_first_byte: bool,
    /// Text in the path, the query or the body of a request that makes the server crash.
    pub crash_marker: Option<String>,
    /// When such a request makes the server crash.
    pub crash_moment: CrashMoment,
    /// Time between a crash and the restart with a higher incarnation, in milliseconds; `None` means no
    /// restart.
    pub restart_after_ms: Option<u64>,
    /// Headers added to responses, for example `X-Leaving` or `Retry-After`. Several headers of one name
    /// are sent as several values.
    pub headers: Vec<ResponseHeader>,
    /// Time between the first response of an incarnation with `X-Leaving: 1` and its end, in milliseconds.
    /// It ends as by a crash, so that requests in progress are lost, and its announcements stop. `None`
    /// means that it goes on.
    pub end_after_leaving_ms: Option<u64>,
}

impl FaultPlan {
    /// Returns whether a request with this path and query and this body makes the server crash.
    #[must_use]
    pub fn is_crash_trigger(&self, path: &str, body: &[u8]) -> bool {
        let Some(marker) = self.crash_marker.as_deref().filter(|text| !text.is_empty()) else {
            return false;
        };
        path.contains(marker) || contains(body, marker.as_bytes())
    }
}

fn contains(body: &[u8], marker: &[u8]) -> bool {
    body.windows(marker.len()).any(|window| window == marker)
}
