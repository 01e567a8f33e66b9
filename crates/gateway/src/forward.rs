//! What goes on to the backend server: the request without key and without headers of one connection.

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

/// Header names of the settings, ready to use.
#[derive(Debug, Clone)]
pub struct Headers {
    /// Id of a request.
    pub request_id: HeaderName,
    /// Milliseconds that are left.
    pub deadline_ms: HeaderName,
    /// Organisation.
    pub organisation: HeaderName,
    /// Backend server that the request is meant for.
    pub expected_server: HeaderName,
    /// Proof that a request did not run.
    pub not_run: HeaderName,
}

impl Headers {
    /// Parses the names of the settings.
    ///
    /// # Errors
    ///
    /// Fails when a name is not a header name.
    pub fn parse(names: &HeaderNames) -> Result<Self> {
        let name = |text: &Arc<str>| {
            HeaderName::from_bytes(text.as_bytes()).with_context(|| format!("header name {text:?}"))
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

/// A request that is complete in memory and can be sent more than once.
#[derive(Debug, Clone)]
pub struct ForwardRequest {
    parts: Parts,
    body: Bytes,
}

impl ForwardRequest {
    /// Takes over what may be forwarded.
    #[must_use]
    pub fn new(
        mut parts: Parts,
        body: Bytes,
        organisation: Option<&str>,
        headers: &Headers,
    ) -> Self {
        http_headers::strip(&mut parts.headers);
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

    /// Identity of the request by its content.
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

    /// Id of the request, for logs.
    #[must_use]
    pub fn id(&self, names: &Headers) -> Option<&str> {
        self.parts.headers.get(&names.request_id)?.to_str().ok()
    }

    /// Whether the answer has no body whatever its length says.
    #[must_use]
    pub fn is_head(&self) -> bool {
        self.parts.method == Method::HEAD
    }

    /// The request for one attempt at a backend server with the time that is left for it.
    #[must_use]
    pub fn attempt(&self, server: &str, left: Duration, names: &Headers) -> Request<Full<Bytes>> {
        let mut parts = self.parts.clone();
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let headers = &mut parts.headers;
        headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
        if let Ok(value) = HeaderValue::from_str(server) {
            headers.insert(names.expected_server.clone(), value);
        }
        Request::from_parts(parts, Full::new(self.body.clone()))
    }
}
