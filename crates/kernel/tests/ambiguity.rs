//! Requests that a proxy and a backend server could interpret differently.

use hyper::Uri;
use hyper::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};
use proptest::prelude::*;
use radishpaddle_kernel::ambiguity::is_ambiguous;

const API_KEY: HeaderName = HeaderName::from_static("x-api-key");

fn ambiguous(uri: &str, headers: &[(&'static str, &'static str)]) -> bool {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.append(
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        );
    }
    is_ambiguous(&uri.parse().unwrap(), &map, &[AUTHORIZATION, API_KEY])
}

/// Guards against a request that is routed, authorised or framed by one header and run by another one.
#[test]
fn headers_with_two_readings_are_found() {
    let host = ("host", "a.example");
    let cases = [
        ("/", vec![host], false),
        ("/", vec![host, ("x-other", "1"), ("x-other", "2")], false),
        ("/", vec![host, ("content-length", "3")], false),
        ("/", vec![host, ("transfer-encoding", "chunked")], false),
        (
            "/",
            vec![host, ("authorization", "Bearer a"), ("x-api-key", "a")],
            false,
        ),
        ("http://a.example/", vec![host], false),
        ("http://A.example/", vec![host], false),
        ("/", vec![host, ("host", "b.example")], true),
        ("/", vec![host, host], true),
        (
            "/",
            vec![
                host,
                ("authorization", "Bearer a"),
                ("authorization", "Bearer b"),
            ],
            true,
        ),
        (
            "/",
            vec![host, ("x-api-key", "a"), ("x-api-key", "b")],
            true,
        ),
        (
            "/",
            vec![
                host,
                ("content-length", "3"),
                ("transfer-encoding", "chunked"),
            ],
            true,
        ),
        ("http://b.example/", vec![host], true),
        ("http://a.example:81/", vec![host], true),
    ];
    for (uri, headers, expected) in cases {
        assert_eq!(ambiguous(uri, &headers), expected, "{uri} {headers:?}");
    }
}

/// Guards against a path that is routed as one and run as another one.
#[test]
fn paths_with_two_readings_are_found() {
    let plain = [
        "/",
        "/a/b",
        "/a..b/.c/d./...",
        "/a?x=/../b",
        "/%2e%2e%2e/a",
        "/a//b",
        "/a;x=../b",
    ];
    let dotted = [
        "/lookup/../holds",
        "/lookup/%2e%2E/holds",
        "/lookup/.%2e/holds",
        "/lookup%2f..%2Fholds",
        "/lookup/..%5cholds",
        "/lookup/..;x=1/holds",
        "/lookup/..%3Bx/holds",
        "/./holds",
        "/lookup/..",
        "/lookup/.",
    ];
    for path in plain {
        assert!(!ambiguous(path, &[]), "{path}");
    }
    for path in dotted {
        assert!(ambiguous(path, &[]), "{path}");
    }
}

/// Returns the segments that a server sees which decodes the path, drops parameters and resolves dot segments.
fn resolved(path: &str) -> Vec<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut rest = path.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let escape = (*first == b'%').then(|| tail.get(..2)).flatten();
        let escape = escape.and_then(|hex| std::str::from_utf8(hex).ok());
        match escape.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => (bytes.push(byte), rest = &tail[2..]),
            None => (bytes.push(*first), rest = tail),
        };
    }
    let mut segments: Vec<Vec<u8>> = Vec::new();
    for segment in bytes.split(|byte| matches!(byte, b'/' | b'\\')) {
        let name = segment
            .split(|byte| *byte == b';')
            .next()
            .unwrap_or_default();
        match name {
            b"." => {}
            b".." => {
                segments.pop();
            }
            name => segments.push(name.to_vec()),
        }
    }
    segments
}

/// Returns the segments of the decoded path without resolving any.
fn unresolved(path: &str) -> usize {
    let decoded = path
        .to_ascii_lowercase()
        .replace("%2f", "/")
        .replace("%5c", "/");
    decoded.split(['/', '\\']).count()
}

proptest! {
    /// Guards against any spelling of a path that the check lets pass and a backend server resolves.
    #[test]
    fn no_path_that_passes_is_resolved_to_another_one(
        parts in prop::collection::vec(
            prop::sample::select(vec![
                "/", "a", ".", "..", "%2e", "%2E", "%2f", "%2F", "%5c", "%5C", ";", "%3b", "%", "%2", "x=1", "%61",
            ]),
            0..12,
        )
    ) {
        let path = format!("/{}", parts.concat());
        let Ok(uri) = path.parse::<Uri>() else {
            return Ok(());
        };
        if !is_ambiguous(&uri, &HeaderMap::new(), &[]) {
            prop_assert_eq!(resolved(uri.path()).len(), unresolved(uri.path()), "{}", uri.path());
        }
    }

    /// Guards against a panic on any header bytes.
    #[test]
    fn any_header_bytes_are_checked(value in prop::collection::vec(any::<u8>(), 0..40)) {
        if let Ok(value) = HeaderValue::from_bytes(&value) {
            let headers = HeaderMap::from_iter([(hyper::header::HOST, value)]);
            let uri = Uri::from_static("http://a.example/");
            let same = headers[hyper::header::HOST].as_bytes().eq_ignore_ascii_case(b"a.example");
            prop_assert_eq!(is_ambiguous(&uri, &headers, &[]), !same);
        }
    }
}
