//! What goes on to the backend server: the request without key and hop-by-hop headers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Uri};
use radishpaddle_kernel::http_headers;
use radishpaddle_model::{KeyHash, OrganisationId, OrganisationKey};

use crate::answer::REQUEST_ID;

/// Header with an organisation key.
pub const API_KEY: HeaderName = HeaderName::from_static("x-api-key");

/// Header with the remaining time in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Header with the organisation whose key came with the request; absent on open routes.
pub const ORGANISATION: HeaderName = HeaderName::from_static("x-organisation");

/// Header that names an action over its attempts.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Key that a caller presents in `X-Api-Key` or as bearer token.
#[must_use]
pub fn presented_key(headers: &HeaderMap) -> Option<&str> {
    if let Some(value) = headers.get(API_KEY) {
        return value.to_str().ok();
    }
    let authorization = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = authorization.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then(|| token.trim_start())
}

/// Whether path, query or body contain the presented key, so that forwarding them would reveal it.
#[must_use]
pub fn reveals_key(uri: &Uri, body: &[u8], key: &OrganisationKey) -> bool {
    let secret = key.reveal().as_bytes();
    contains(uri.to_string().as_bytes(), secret)
        || contains(&percent_decoded(&uri.to_string()), secret)
        || contains(body, secret)
}

/// Whether a part of the path or a value of the query is a key in force, also when no key was
/// presented or another one.
#[must_use]
pub fn holds_known_key(uri: &Uri, is_known: impl Fn(&KeyHash) -> bool) -> bool {
    let path = uri.path().split('/');
    let query = uri.query().unwrap_or_default().split(['&', '=', ';']);
    path.chain(query).any(|part| {
        let decoded = percent_decoded(part);
        let key = std::str::from_utf8(&decoded).ok();
        let key = key.and_then(|text| text.parse::<OrganisationKey>().ok());
        key.is_some_and(|key| is_known(&key.hash()))
    })
}

/// Bytes of a URI with its `%XX` escapes resolved; malformed escapes stay as they are.
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
        key: Option<&OrganisationKey>,
        organisation: Option<&OrganisationId>,
        id: &str,
    ) -> Self {
        http_headers::strip(&mut parts.headers);
        parts.headers.remove(API_KEY);
        parts.headers.remove(ORGANISATION);
        if let Some(key) = key {
            remove_values_with(&mut parts.headers, key.reveal().as_bytes());
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

    /// The request for one attempt with the time that is left for it.
    #[must_use]
    pub fn attempt(&self, remaining: Duration) -> Request<Full<Bytes>> {
        let mut parts = self.parts.clone();
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        parts
            .headers
            .insert(DEADLINE_MS, HeaderValue::from(remaining_ms));
        Request::from_parts(parts, Full::new(self.body.clone()))
    }

    /// Whether the answer has no body whatever its Content-Length says.
    #[must_use]
    pub fn is_head(&self) -> bool {
        self.parts.method == hyper::Method::HEAD
    }

    /// Method, path with query and body, for fingerprints.
    #[must_use]
    pub fn identity(&self) -> (&str, &str, &[u8]) {
        let path = self
            .parts
            .uri
            .path_and_query()
            .map_or("", |path| path.as_str());
        (self.parts.method.as_str(), path, &self.body)
    }
}

fn remove_values_with(headers: &mut HeaderMap, secret: &[u8]) {
    let revealing: Vec<HeaderName> = headers
        .iter()
        .filter(|(_, value)| contains(value.as_bytes(), secret))
        .map(|(name, _)| name.clone())
        .collect();
    for name in revealing {
        headers.remove(name);
    }
}
