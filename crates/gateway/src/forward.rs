//! Requests as they are forwarded to backend servers: without the key and without hop-by-hop headers.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, HOST, HeaderName, HeaderValue};
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
    /// Name of the gateway that relayed a request.
    pub relayed_by: HeaderName,
    /// Incarnation of the backend server that answered a relayed request.
    pub served_by: HeaderName,
    /// Tells that the backend server is leaving.
    pub leaving: HeaderName,
    /// Time for which the backend server wants no requests.
    pub retry_after: HeaderName,
    /// Start of the backend server in Unix milliseconds.
    pub started_at: Option<HeaderName>,
    /// Proof that an answer is that of a backend server.
    pub proof: Option<HeaderName>,
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
            relayed_by: name(&names.relayed_by)?,
            served_by: name(&names.served_by)?,
            leaving: name(&names.leaving)?,
            retry_after: name(&names.retry_after)?,
            started_at: names.started_at.as_ref().map(name).transpose()?,
            proof: names.proof.as_ref().map(name).transpose()?,
        })
    }
}

/// Request with its complete body in memory, so that it can be sent more than once.
#[derive(Debug, Clone)]
pub struct ForwardRequest {
    parts: Parts,
    body: Bytes,
    /// Key of the caller, which only other gateways get.
    authorization: Option<HeaderValue>,
    /// Gateway that relayed the request to this one.
    relayed_by: Option<HeaderValue>,
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
        let authorization = parts.headers.get(AUTHORIZATION).cloned();
        let relayed_by = parts.headers.remove(&headers.relayed_by);
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
        Self {
            parts,
            body,
            authorization,
            relayed_by,
        }
    }

    /// Computes the fingerprint that identifies the request by its host and content. It does not contain route or service,
    /// because a new configuration may split the route or move it before the request is sent again.
    #[must_use]
    pub fn fingerprint(&self, names: &Headers) -> Fingerprint {
        let organisation = self.parts.headers.get(&names.organisation);
        let organisation = organisation.and_then(|value| value.to_str().ok());
        let host = self.parts.headers.get(HOST);
        let host = host.and_then(|value| value.to_str().ok());
        let path = self.parts.uri.path_and_query();
        Fingerprint::of(
            organisation.unwrap_or_default(),
            &host.unwrap_or_default().to_ascii_lowercase(),
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

    /// Organisation that the request is forwarded for.
    #[must_use]
    pub fn organisation(&self, names: &Headers) -> Option<&str> {
        self.parts.headers.get(&names.organisation)?.to_str().ok()
    }

    /// Size of the body in bytes.
    #[must_use]
    pub const fn body_bytes(&self) -> u64 {
        self.body.len() as u64
    }

    /// Name of the gateway that relayed the request to this one.
    #[must_use]
    pub fn relayed_by(&self) -> Option<&str> {
        self.relayed_by.as_ref()?.to_str().ok()
    }

    /// Whether another gateway relayed the request, so that it must not be relayed again.
    #[must_use]
    pub const fn is_relayed(&self) -> bool {
        self.relayed_by.is_some()
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
        let mut parts = self.parts_with_deadline(remaining, names);
        let headers = &mut parts.headers;
        if let Ok(value) = HeaderValue::from_str(server) {
            headers.insert(names.expected_server.clone(), value);
        }
        Request::from_parts(parts, Full::new(self.body.clone()))
    }

    /// Builds the HTTP request for another gateway, with the key of the caller and the name of this gateway.
    #[must_use]
    pub fn for_relay(
        &self,
        instance: &str,
        remaining: Duration,
        names: &Headers,
    ) -> Request<Full<Bytes>> {
        let mut parts = self.parts_with_deadline(remaining, names);
        let headers = &mut parts.headers;
        headers.remove(&names.organisation);
        if let Some(authorization) = &self.authorization {
            headers.insert(AUTHORIZATION, authorization.clone());
        }
        let instance = HeaderValue::from_str(instance);
        let instance = instance.unwrap_or(HeaderValue::from_static("gateway"));
        headers.insert(names.relayed_by.clone(), instance);
        Request::from_parts(parts, Full::new(self.body.clone()))
    }

    fn parts_with_deadline(&self, remaining: Duration, names: &Headers) -> Parts {
        let mut parts = self.parts.clone();
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        let deadline = HeaderValue::from(remaining_ms);
        parts.headers.insert(names.deadline_ms.clone(), deadline);
        parts
    }
}
