//! Responses to callers: responses of backend servers, and refusals by the gateway.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use radishpaddle_kernel::http_headers;
use radishpaddle_policy::HeldBytes;
use radishpaddle_policy::admission::RejectReason;

use crate::backend_connection::BackendAnswer;
use crate::caller_body::{CallerBody, SharedPace};

/// Reason for a response that the gateway creates instead of forwarding one of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The request is malformed.
    BadRequest,
    /// No route matches host and path.
    NoRoute,
    /// The key is missing, unknown or revoked.
    KeyUnknown,
    /// The body exceeds the size limit of the configuration.
    TooLarge,
    /// The organisation exceeds its rate limit.
    OverQuota,
    /// This gateway cannot prove that its configuration is current.
    NotFresh,
    /// This gateway is stopping and ends before the time limit of the request.
    Stopping,
    /// This gateway reaches no backend server, and another gateway has relayed the request to it.
    Isolated,
    /// No backend server of the service accepts requests.
    NoServer,
    /// Each backend server that would accept requests asked for a pause.
    Paused,
    /// Each backend server that would accept requests is in an evacuated availability zone.
    Evacuated,
    /// The request cannot be served in time, or the capacity is used by others.
    NotAdmitted(RejectReason),
    /// Each backend server that would accept requests is cold, and may get none of this gateway now.
    Cold,
    /// The request is quarantined because several backend servers crashed with it in flight.
    CrashesServers,
    /// Each backend server that was tried refused the request without running it or could not be reached.
    NotRun,
    /// The bodies that this gateway holds leave no memory for the request.
    MemoryExhausted,
    /// The deadline passed before the request was sent to a backend server.
    ExpiredNotRun,
    /// A backend server may have run the request, but no valid response arrived.
    OutcomeUnknown,
    /// The deadline passed; a backend server may have run the request.
    TimedOut,
    /// The process ends before the answer of a backend server, which may have run the request.
    Stopped,
}

impl Refusal {
    /// HTTP status. 429 and 503 promise that the request has not run and will not run.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::KeyUnknown => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::NotFresh
            | Self::Stopping
            | Self::Isolated
            | Self::NoServer
            | Self::Paused
            | Self::Evacuated
            | Self::NotAdmitted(_)
            | Self::Cold
            | Self::CrashesServers
            | Self::NotRun
            | Self::MemoryExhausted
            | Self::ExpiredNotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut | Self::Stopped => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Name in logs, metrics and the body of the response.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::NoRoute => "no_route",
            Self::KeyUnknown => "key_unknown",
            Self::TooLarge => "too_large",
            Self::OverQuota => "over_quota",
            Self::NotFresh => "not_fresh",
            Self::Stopping => "stopping",
            Self::Isolated => "isolated",
            Self::NoServer => "no_backend_server",
            Self::Paused => "paused",
            Self::Evacuated => "evacuated",
            Self::NotAdmitted(reason) => reason.name(),
            Self::Cold => "warming_up",
            Self::CrashesServers => "crashes_backend_servers",
            Self::NotRun => "not_run",
            Self::MemoryExhausted => "memory_exhausted",
            Self::ExpiredNotRun => "expired_not_run",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::TimedOut => "timed_out",
            Self::Stopped => "stopped",
        }
    }
}

/// Returns a time in seconds with two decimals; rounded down, it would let callers return too early.
fn seconds_rounded_up(time: Duration) -> String {
    let hundredths = time.as_nanos().div_ceil(10_000_000);
    format!("{}.{:02}", hundredths / 100, hundredths % 100)
}

/// Complete response to a caller.
#[derive(Debug)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers, without the hop-by-hop headers of the backend connection.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Bytes of the body in the budget; `None` for a refusal.
    pub held: Option<Arc<HeldBytes>>,
}

impl CallerResponse {
    /// Creates the response for a refusal; `retry_after` is the time after which the caller may retry.
    #[must_use]
    pub fn refusal(refusal: Refusal, retry_after: Option<Duration>) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = retry_after
            && let Ok(value) = HeaderValue::from_str(&seconds_rounded_up(after))
        {
            headers.insert(RETRY_AFTER, value);
        }
        Self {
            status: refusal.status(),
            headers,
            body: format!("{{\"refused\":\"{}\"}}", refusal.name()).into(),
            held: None,
        }
    }

    /// Creates the response that passes an answer on, without its hop-by-hop headers. `is_head` tells that the request
    /// was a HEAD request.
    #[must_use]
    pub fn forwarded(mut answer: BackendAnswer, is_head: bool) -> Self {
        http_headers::strip_response_headers(&mut answer.headers, is_head);
        Self {
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
            held: answer.held,
        }
    }

    /// Converts this into an HTTP response; `pace` applies to a large body.
    pub(crate) fn into_response(self, pace: Option<SharedPace>) -> Response<CallerBody> {
        let body = CallerBody::new(self.body, self.held, pace);
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}
