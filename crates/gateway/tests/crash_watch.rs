//! Quarantine of requests that crash backend servers at one gateway.

use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::header::HOST;
use radishpaddle_gateway::HeaderNames;
use radishpaddle_gateway::crash_watch::{CrashWatch, ObservedCrash};
use radishpaddle_gateway::forward::{ForwardRequest, Headers};
use radishpaddle_model::{Fingerprint, RequestCrash, SuspectRequest};

const REQUEST: Fingerprint = Fingerprint([7; 16]);
const NOW: Duration = Duration::from_secs(100);
const OBSERVED: ObservedCrash = ObservedCrash {
    request: REQUEST,
    server_incarnation: 5,
    sent_at: Duration::from_secs(98),
    ended_at: Duration::from_secs(99),
};
const CRASH: RequestCrash = RequestCrash {
    request: REQUEST,
    server: 5,
    sent_ms_ago: 2_000,
    ended_ms_ago: 1_000,
};

fn suspect(crashes: u32) -> Vec<SuspectRequest> {
    vec![SuspectRequest {
        request: REQUEST,
        crashes,
    }]
}

/// Guards against a quarantine after so few crashes that they may have another cause, and against a missing
/// quarantine after more of them.
#[test]
fn a_request_is_refused_after_three_crashes() {
    let mut watch = CrashWatch::default();

    let mut states = Vec::new();
    for crashes in 0..5 {
        let newly_quarantined = watch.set_suspects(suspect(crashes), true).len();
        states.push((watch.is_quarantined(&REQUEST), newly_quarantined));
    }

    let expected = [(false, 0), (false, 0), (false, 0), (true, 1), (true, 0)];
    assert_eq!(states, expected);
    assert!(!watch.is_quarantined(&Fingerprint([8; 16])));
}

/// Guards against a crash that no coordinator learns of because the poll that reported it was lost, and against a
/// quarantine that ends when all coordinators restart.
#[test]
fn a_crash_is_reported_until_it_is_taken_and_again_to_a_new_coordinator() {
    let mut watch = CrashWatch::default();
    watch.record_crash(OBSERVED);
    watch.record_crash(OBSERVED);

    let first = watch.report(false, NOW);
    let again = watch.report(false, NOW);
    watch.acknowledge(&again.0, &again.1);
    watch.set_suspects(suspect(1), true);
    let after = watch.report(false, NOW);
    watch.set_suspects(Vec::new(), false);
    let to_another = watch.report(true, NOW);

    assert_eq!(first.0, [CRASH]);
    assert_eq!(again.0, [CRASH]);
    assert_eq!(after.0, []);
    assert_eq!(to_another.0, [CRASH]);
}

/// Guards against an own observation that makes a request suspect again after another gateway got an answer to it.
#[test]
fn a_crash_is_forgotten_when_the_request_was_answered() {
    let mut watch = CrashWatch::default();
    watch.record_crash(OBSERVED);
    watch.acknowledge(&[CRASH], &[]);
    watch.set_suspects(suspect(1), true);

    watch.record_answer(REQUEST);
    let answered = watch.report(false, NOW).1;
    watch.set_suspects(Vec::new(), true);

    assert_eq!(answered, [REQUEST]);
    assert_eq!(watch.report(true, NOW).0, []);
}

fn fingerprint(organisation: &str, method: &str, path: &str, body: &'static str) -> Fingerprint {
    fingerprint_at("orders.example", organisation, method, path, body)
}

fn fingerprint_at(
    host: &str,
    organisation: &str,
    method: &str,
    path: &str,
    body: &'static str,
) -> Fingerprint {
    let names = Headers::parse(&HeaderNames::default()).unwrap();
    let request = Request::builder().method(method).uri(path);
    let request = request.header(HOST, host);
    let (parts, ()) = request.body(()).unwrap().into_parts();
    ForwardRequest::new(parts, Bytes::from(body), Some(organisation), &names).fingerprint(&names)
}

/// Guards against a crashing request that is a new one for the quarantine after its route was split, and against a
/// quarantine of other requests.
#[test]
fn a_fingerprint_holds_the_content_of_a_request_and_no_route() {
    let request = fingerprint("acme", "POST", "/orders/1?x=2", "body");

    assert_eq!(
        fingerprint("acme", "POST", "/orders/1?x=2", "body"),
        request
    );
    for other in [
        fingerprint("other", "POST", "/orders/1?x=2", "body"),
        fingerprint("acme", "PUT", "/orders/1?x=2", "body"),
        fingerprint("acme", "POST", "/orders/2?x=2", "body"),
        fingerprint("acme", "POST", "/orders/1?x=3", "body"),
        fingerprint("acme", "POST", "/orders/1?x=2", "other"),
        fingerprint_at("stock.example", "acme", "POST", "/orders/1?x=2", "body"),
    ] {
        assert_ne!(other, request);
    }
}
