//! Answers to callers: those of backend servers, recorded ones and refusals.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use radishpaddle_model::{Refusal, ResultCode};

/// Header with the number of the result code.
pub const RESULT_CODE: HeaderName = HeaderName::from_static("x-result-code");

/// Header with the id that the fleet gave to the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Body of an answer; always complete in memory before the first byte goes out.
pub type AnswerBody = Full<Bytes>;

/// A complete answer with its result code.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Result code.
    pub code: ResultCode,
    /// HTTP status.
    pub status: StatusCode,
    /// Headers of the backend server, hop-by-hop ones removed.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Answer {
    /// A refusal with a sentence for a person.
    #[must_use]
    pub fn refusal(code: ResultCode, message: impl Into<String>) -> Self {
        let refusal = Refusal::new(code, message);
        let body = serde_json::to_vec(&refusal).unwrap_or_default();
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if matches!(code, ResultCode::RateExceeded | ResultCode::Overloaded) {
            headers.insert(hyper::header::RETRY_AFTER, HeaderValue::from_static("1"));
        }
        Self {
            code,
            status: StatusCode::from_u16(code.http_status()).unwrap_or_default(),
            headers,
            body: body.into(),
        }
    }

    /// A JSON document of the fleet itself.
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

    /// The HTTP response with result code and request id.
    #[must_use]
    pub fn into_response(self, request_id: &str) -> Response<AnswerBody> {
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
