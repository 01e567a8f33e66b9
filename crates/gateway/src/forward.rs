//! Requests as they are forwarded to backend servers: without the key and without hop-by-hop headers.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Uri};

use radishpaddle_kernel::http_headers;
use radishpaddle_model::Fingerprint;

use crate::settings::HeaderNames;

/// Parsed header names of the settings.
#[derive(Debug, Clone)]
pub struct Headers {
    /// Id of a request.
    pub request_id: HeaderName,
    /// Remaining time for a request in milliseconds.
    pub deadline_ms: HeaderName,
    /// Organisation whose key came with the request.
    pub organisation: HeaderName,
    /// Backend server that the request is addressed to.
    pub expected_server: HeaderName,
    /// Present in an answer when the backend server did not run the request.
    pub not_run: HeaderName,
}

impl Headers {
    /// Parses the header names of the settings.
    ///
    /// # Errors
    ///
    /// Fails when a name is not a valid header name.
    pub fn parse(names: &HeaderNames) -> Result<Self> {
        let name = |text: &Arc<str>| {
            HeaderName::from_bytes(text.as_bytes())
                .with_context(|| format!("invalid header name {text:?}"))
        };
        Ok(Self {
            request_id: name(&names.request_id)?,
            deadline_ms: name(&names.deadline_ms)?,
            organisation: name(&names.organisation)?,
            expected_server: name(&names.expected_server)?,
            not_run: name(&names.not_run)?,
        })
    }
}

/// Request with its complete body in memory, so that it can be sent more than once.
#[derive(Debug, Clone)]
pub struct ForwardRequest {
    parts: Parts,
    body: Bytes,
}

impl ForwardRequest {
    /// Creates the forwarded request: removes the key and hop-by-hop headers and sets the organisation header.
    #[must_use]
    pub fn new(
        mut parts: Parts,
        body: Bytes,
        organisation: Option<&str>,
        headers: &Headers,
    ) -> Self {
        http_headers::strip_request_headers(&mut parts.headers);
        parts.headers.remove(&headers.organisation);
        parts.headers.remove(&headers.expected_server);
        let organisation = organisation.map(HeaderValue::from_str);
        if let Some(Ok(value)) = organisation {
            parts.headers.insert(headers.organisation.clone(), value);
        }
        parts.version = hyper::Version::HTTP_11;
        parts.extensions.clear();
        if let Some(path) = parts.uri.path_and_query() {
            parts.uri = Uri::from(path.clone());
        }
        Self { parts, body }
    }

    /// Computes the fingerprint that identifies the request by its content.
    #[must_use]
    pub fn fingerprint(&self, route: &str, names: &Headers) -> Fingerprint {
        let organisation = self.parts.headers.get(&names.organisation);
        let organisation = organisation.and_then(|value| value.to_str().ok());
        let path = self.parts.uri.path_and_query();
        Fingerprint::of(
            organisation.unwrap_or_default(),
            route,
            self.parts.method.as_str(),
            path.map_or("", PathAndQuery::as_str),
            &self.body,
        )
    }

    /// Returns the request id for logs, if the caller sent a valid one.
    #[must_use]
    pub fn id(&self, names: &Headers) -> Option<&str> {
        self.parts.headers.get(&names.request_id)?.to_str().ok()
    }

    /// Whether the method is HEAD, so that the answer has no body although it may have a content length.
    #[must_use]
    pub fn is_head(&self) -> bool {
        self.parts.method == Method::HEAD
    }

    /// Builds the HTTP request for one attempt at the named backend server, with the remaining time in its header.
    #[must_use]
    pub fn for_attempt(
        &self,
        server: &str,
        remaining: Duration,
        names: &Headers,
    ) -> Request<Full<Bytes>> {
        let mut parts = self.parts.clone();
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        let headers = &mut parts.headers;
        headers.insert(names.deadline_ms.clone(), HeaderValue::from(remaining_ms));
        if let Ok(value) = HeaderValue::from_str(server) {
            headers.insert(names.expected_server.clone(), value);
        }
        Request::from_parts(parts, Full::new(self.body.clone()))
    }
}
