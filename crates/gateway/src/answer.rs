//! Answers to callers: those of backend servers, and refusals of the gateway itself.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Why the gateway gave an answer of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The request is malformed.
    BadRequest,
    /// No route takes the path.
    NoRoute,
    /// The key is missing, unknown or withdrawn.
    KeyUnknown,
    /// The body is larger than allowed.
    TooLarge,
    /// The organisation is over its limit.
    OverQuota,
    /// This gateway cannot prove that its configuration is current.
    NotFresh,
    /// No backend server of the service takes work.
    NoServer,
    /// Backend servers ended with this request in flight, again and again.
    CrashesServers,
    /// Every backend server that was tried refused the request, or none could be reached.
    NotRun,
    /// The time was over before a backend server got the request.
    ExpiredNotRun,
    /// A backend server may have run the request; its answer is lost.
    OutcomeUnknown,
    /// The time is over; a backend server may have run the request.
    TimedOut,
}

impl Refusal {
    /// Status. 429 and 503 promise that the request has not run and will not run.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::KeyUnknown => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::NotFresh
            | Self::NoServer
            | Self::CrashesServers
            | Self::NotRun
            | Self::ExpiredNotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Name in logs, metrics and answers.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::NoRoute => "no_route",
            Self::KeyUnknown => "key_unknown",
            Self::TooLarge => "too_large",
            Self::OverQuota => "over_quota",
            Self::NotFresh => "not_fresh",
            Self::NoServer => "no_backend_server",
            Self::CrashesServers => "crashes_backend_servers",
            Self::NotRun => "not_run",
            Self::ExpiredNotRun => "expired_not_run",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::TimedOut => "timed_out",
        }
    }
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers without those of the connection to the backend server.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Answer {
    /// A refusal, with the time after which the caller may come back.
    #[must_use]
    pub fn refusal(refusal: Refusal, retry_after: Option<Duration>) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = retry_after
            && let Ok(value) = HeaderValue::from_str(&format!("{:.2}", after.as_secs_f64()))
        {
            headers.insert(RETRY_AFTER, value);
        }
        Self {
            status: refusal.status(),
            headers,
            body: format!("{{\"refused\":\"{}\"}}", refusal.name()).into(),
        }
    }

    /// The HTTP response.
    #[must_use]
    pub fn into_response(self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}
