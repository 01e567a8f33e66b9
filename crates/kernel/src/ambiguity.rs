//! Requests that the proxy and a backend server could interpret differently. They are refused, since one of the
//! two would apply its rules to another request than the one that runs.

use hyper::Uri;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderName, TRANSFER_ENCODING};

/// Returns whether a request can be read in two ways. `single` names the headers beside `Host` that select route or
/// caller, and of which there may be one each.
#[must_use]
pub fn is_ambiguous(uri: &Uri, headers: &HeaderMap, single: &[HeaderName]) -> bool {
    let repeated = |name: &HeaderName| headers.get_all(name).iter().nth(1).is_some();
    let two_lengths =
        headers.contains_key(CONTENT_LENGTH) && headers.contains_key(TRANSFER_ENCODING);
    repeated(&HOST)
        || single.iter().any(repeated)
        || two_lengths
        || has_two_hosts(uri, headers)
        || has_dot_segment(uri.path())
}

/// Returns whether the host in the request line differs from the `Host` header, which is sent on.
fn has_two_hosts(uri: &Uri, headers: &HeaderMap) -> bool {
    let (Some(authority), Some(host)) = (uri.authority(), headers.get(HOST)) else {
        return false;
    };
    !authority
        .as_str()
        .as_bytes()
        .eq_ignore_ascii_case(host.as_bytes())
}

/// Returns whether the path has dot segments, plain, percent-encoded or with parameters: a backend server that
/// resolves them would see another path than the one that was routed. A backslash counts as a slash, as some servers
/// take it for one.
fn has_dot_segment(path: &str) -> bool {
    let decoded = path
        .to_ascii_lowercase()
        .replace("%2e", ".")
        .replace("%2f", "/")
        .replace("%5c", "/")
        .replace("%3b", ";")
        .replace('\\', "/");
    decoded
        .split('/')
        .filter_map(|segment| segment.split(';').next())
        .any(|name| name == "." || name == "..")
}
