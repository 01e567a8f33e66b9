//! Headers that belong to one connection and are never passed on (RFC 9110, section 7.6.1).

use hyper::header::{self, HeaderMap, HeaderName};

const NOT_FORWARDED: [HeaderName; 11] = [
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

/// Removes the headers of one connection, those that it names, and the key of the caller.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in NOT_FORWARDED.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Removes the headers of an answer that belong to the connection to the backend server.
///
/// The length stays in the answer to HEAD, where it describes a body that is not there.
pub fn strip_answer(headers: &mut HeaderMap, is_head: bool) {
    let length = headers.get(header::CONTENT_LENGTH).cloned();
    strip(headers);
    if let Some(length) = length.filter(|_| is_head) {
        headers.insert(header::CONTENT_LENGTH, length);
    }
}
