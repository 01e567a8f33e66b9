//! Responses to callers: responses of backend servers, recorded responses and refusals.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use radishpaddle_model::{Refusal, ResultCode};

/// Response header with the number of the result code.
pub const RESULT_CODE: HeaderName = HeaderName::from_static("x-result-code");

/// Header with the id of the request, on requests to backend servers and on responses to callers.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Body of a response. It is complete in memory before the first byte is sent.
pub type ResponseBody = Full<Bytes>;

/// Complete response to a caller with its result code.
#[derive(Debug, Clone)]
pub struct CallerResponse {
    /// Result code, sent in the header [`RESULT_CODE`].
    pub code: ResultCode,
    /// HTTP status.
    pub status: StatusCode,
    /// Headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl CallerResponse {
    /// Creates a refusal with a JSON body that holds the result code and `message`.
    #[must_use]
    pub fn refusal(code: ResultCode, message: impl Into<String>) -> Self {
        let refusal = Refusal::new(code, message);
        let body = serde_json::to_vec(&refusal).unwrap_or_default();
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if matches!(code, ResultCode::RateExceeded | ResultCode::Overloaded) {
            headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
        }
        Self {
            code,
            status: StatusCode::from_u16(code.http_status()).unwrap_or_default(),
            headers,
            body: body.into(),
        }
    }

    /// Sets `Retry-After`, in whole seconds as HTTP requires, rounded up. The rounding spreads callers
    /// that are refused at different times over a further second.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Option<Duration>) -> Self {
        if let Some(wait) = wait {
            let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
            let value = HeaderValue::from(seconds.max(1));
            self.headers.insert(RETRY_AFTER, value);
        }
        self
    }

    /// Creates a response with a JSON document.
    #[must_use]
    pub fn json(value: &serde_json::Value) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Self {
            code: ResultCode::Answered,
            status: StatusCode::OK,
            headers,
            body: value.to_string().into(),
        }
    }

    /// Converts to an HTTP response with result code and request id in its headers.
    #[must_use]
    pub fn into_response(self, request_id: &str) -> Response<ResponseBody> {
        let mut response = Response::new(Full::new(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        let headers = response.headers_mut();
        headers.insert(RESULT_CODE, HeaderValue::from(self.code.number()));
        if let Ok(value) = HeaderValue::from_str(request_id) {
            headers.insert(REQUEST_ID, value);
        }
        response
    }
}
