//! Prepares requests for backend servers: removes organisation key and hop-by-hop headers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Uri};
use radishpaddle_kernel::http_headers;
use radishpaddle_model::{KeyHash, OrganisationId, OrganisationKey};

use crate::caller_response::REQUEST_ID;

/// Request header with an organisation key.
pub const API_KEY: HeaderName = HeaderName::from_static("x-api-key");

/// Request header with the time left until the deadline, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Header that tells backend servers the organisation of the caller; absent on open routes.
pub const ORGANISATION: HeaderName = HeaderName::from_static("x-organisation");

/// Request header that identifies an action across resends of the caller.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Returns the key that a caller presents in `X-Api-Key` or as bearer token.
#[must_use]
pub fn presented_key(headers: &HeaderMap) -> Option<&str> {
    match headers.get(API_KEY) {
        Some(value) => value.to_str().ok(),
        None => bearer_token(headers),
    }
}

/// Returns whether `X-Api-Key` and the bearer token are different keys.
#[must_use]
pub fn presents_two_keys(headers: &HeaderMap) -> bool {
    let api_key = headers.get(API_KEY).map(HeaderValue::as_bytes);
    let token = bearer_token(headers).map(str::as_bytes);
    api_key.zip(token).is_some_and(|(key, token)| key != token)
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let authorization = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = authorization.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| token.trim_start())
}

/// Returns whether path, query or body contain the presented key. Such a request is not forwarded,
/// because the backend server would learn the key.
#[must_use]
pub fn contains_presented_key(uri: &Uri, body: &[u8], key: &OrganisationKey) -> bool {
    let secret = key.reveal().as_bytes();
    contains(uri.to_string().as_bytes(), secret)
        || contains(&percent_decoded(&uri.to_string()), secret)
        || contains(body, secret)
}

/// Returns whether a path segment or a query value is an active key, whichever key the request
/// presents.
#[must_use]
pub fn contains_active_key(uri: &Uri, is_active: impl Fn(&KeyHash) -> bool) -> bool {
    let path = uri.path().split('/');
    let query = uri.query().unwrap_or_default().split(['&', '=', ';']);
    path.chain(query).any(|part| {
        let decoded = percent_decoded(part);
        let key = std::str::from_utf8(&decoded).ok();
        let key = key.and_then(|text| text.parse::<OrganisationKey>().ok());
        key.is_some_and(|key| is_active(&key.hash()))
    })
}

/// Decodes the `%XX` escapes of a URI; malformed escapes stay as they are.
fn percent_decoded(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let escape = (bytes[index] == b'%').then(|| text.get(index + 1..index + 3));
        let value = escape
            .flatten()
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        decoded.push(value.unwrap_or(bytes[index]));
        index += if value.is_some() { 3 } else { 1 };
    }
    decoded
}

fn contains(haystack: &[u8], needle: &[u8]) -> bool {
    haystack
        .windows(needle.len())
        .any(|window| window[0] == needle[0] && window == needle)
}

/// Request that is complete in memory and can be sent more than once.
#[derive(Debug, Clone)]
pub struct ForwardRequest {
    parts: Parts,
    body: Bytes,
}

impl ForwardRequest {
    /// Removes keys and hop-by-hop headers, and sets request id and organisation.
    #[must_use]
    pub fn new(
        mut parts: Parts,
        body: Bytes,
        key: Option<&OrganisationKey>,
        organisation: Option<&OrganisationId>,
        id: &str,
    ) -> Self {
        http_headers::strip_request_headers(&mut parts.headers);
        parts.headers.remove(API_KEY);
        parts.headers.remove(ORGANISATION);
        if let Some(key) = key {
            remove_headers_containing(&mut parts.headers, key.reveal().as_bytes());
        }
        if let Ok(value) = HeaderValue::from_str(id) {
            parts.headers.insert(REQUEST_ID, value);
        }
        let organisation = organisation.map(|name| HeaderValue::from_str(name.as_str()));
        if let Some(Ok(value)) = organisation {
            parts.headers.insert(ORGANISATION, value);
        }
        parts.version = hyper::Version::HTTP_11;
        parts.extensions.clear();
        if let Some(path) = parts.uri.path_and_query() {
            parts.uri = Uri::from(path.clone());
        }
        Self { parts, body }
    }

    /// Returns the request for one attempt, with the remaining time in its deadline header.
    #[must_use]
    pub fn for_attempt(&self, remaining: Duration) -> Request<Full<Bytes>> {
        let mut parts = self.parts.clone();
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        parts
            .headers
            .insert(DEADLINE_MS, HeaderValue::from(remaining_ms));
        Request::from_parts(parts, Full::new(self.body.clone()))
    }

    /// Returns whether this is a HEAD request. Its response has no body, whatever its
    /// `Content-Length` is.
    #[must_use]
    pub fn is_head(&self) -> bool {
        self.parts.method == hyper::Method::HEAD
    }

    /// Returns method, path with query, and body, which fingerprints are computed from.
    #[must_use]
    pub fn fingerprint_input(&self) -> (&str, &str, &[u8]) {
        let path = self
            .parts
            .uri
            .path_and_query()
            .map_or("", |path| path.as_str());
        (self.parts.method.as_str(), path, &self.body)
    }
}

fn remove_headers_containing(headers: &mut HeaderMap, secret: &[u8]) {
    let names: Vec<HeaderName> = headers
        .iter()
        .filter(|(_, value)| contains(value.as_bytes(), secret))
        .map(|(name, _)| name.clone())
        .collect();
    for name in names {
        headers.remove(name);
    }
}
