//! Removal of headers that a proxy must not forward: hop-by-hop headers (RFC 9110, section 7.6.1), framing
//! headers and the credentials of the caller; and a check of the framing of responses.

use hyper::StatusCode;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

const NON_FORWARDED_HEADERS: [HeaderName; 11] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::AUTHORIZATION,
    HeaderName::from_static("keep-alive"),
];

/// Removes hop-by-hop headers, the headers that `Connection` names, and the `Authorization` header, which
/// contains the key of the caller.
pub fn strip_request_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in NON_FORWARDED_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Removes the hop-by-hop headers from a response of a backend server.
///
/// The response to a HEAD request keeps its `Content-Length`, which there describes the body that a GET
/// would return.
pub fn strip_response_headers(headers: &mut HeaderMap, is_head: bool) {
    let length = headers.get(header::CONTENT_LENGTH).cloned();
    strip_request_headers(headers);
    if let Some(length) = length.filter(|_| is_head) {
        headers.insert(header::CONTENT_LENGTH, length);
    }
}

/// Whether a status is that of a final response.
///
/// Statuses outside 100 to 599 are invalid (RFC 9110, section 15), although the type accepts those up to 999. Interim
/// responses are skipped by the client; status 101 ends the exchange without a response, and no other protocol is asked for.
#[must_use]
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether a response has a transfer coding other than a single `chunked`.
///
/// No other coding is asked for, so such a body would be passed on still encoded. Without `chunked` at the end, a
/// truncated body cannot be told from a complete one, even when the response has a length.
#[must_use]
pub fn has_foreign_transfer_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let is_chunked = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"chunked");
    codings
        .next()
        .is_some_and(|first| !is_chunked(first) || codings.next().is_some())
}
