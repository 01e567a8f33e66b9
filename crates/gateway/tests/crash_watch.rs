//! Quarantine of requests that crash backend servers at one gateway.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::header::HOST;
use radishpaddle_gateway::HeaderNames;
use radishpaddle_gateway::crash_watch::{CrashWatch, LostRequest, ObservedCrash};
use radishpaddle_gateway::forward::{ForwardRequest, Headers};
use radishpaddle_model::{
    BackendState, Fingerprint, RequestCrash, ServerIncarnation, ServerPresence, SuspectRequest,
};
use radishpaddle_policy::lost_requests::CRASH_WINDOW;
use radishpaddle_wire::ServerUpdate;

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

fn lost() -> LostRequest {
    LostRequest {
        server: ServerIncarnation {
            name: "i-1".into(),
            started_at_ms: 1_000,
        },
        address: SocketAddr::from(([127, 0, 0, 1], 8080)),
        request_id: None,
        crash: OBSERVED,
    }
}

fn start(id: &str, port: u16, started_at_ms: u64) -> ServerUpdate {
    ServerUpdate {
        presence: ServerPresence {
            id: id.into(),
            service: "orders".into(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            zone: "a".into(),
            slots: 4,
            state: BackendState::Serving,
            started_at_ms,
            sequence: 1,
            warmup_left_ms: 0,
        },
        silent: false,
    }
}

/// Guards against a crash that does not count because the successor of the server accepts connections at once, and against
/// a living server that counts as crashed.
#[test]
fn a_later_start_shows_that_a_server_has_ended() {
    let cases = [
        ("another server", start("i-2", 8081, 2_000), 0),
        ("the same start", start("i-1", 8080, 1_000), 0),
        (
            "an earlier start at the address",
            start("i-0", 8080, 900),
            0,
        ),
        ("a later start of the server", start("i-1", 8081, 1_001), 1),
        ("a later start at the address", start("i-2", 8080, 1_001), 1),
    ];
    for (name, update, expected) in cases {
        let mut watch = CrashWatch::default();
        watch.record_lost(lost(), NOW);

        let ended = watch.take_ended(std::slice::from_ref(&update), NOW);

        assert_eq!(ended.len(), expected, "{name}");
        let is_left = watch.take_refused(&lost(), NOW).is_some();
        assert_eq!(is_left, expected == 0, "{name}");
    }
}

/// Guards against a loss that is attributed to a restart long after it, against one that counts twice, and against one that
/// counts because of the check for another request.
#[test]
fn a_lost_request_counts_once_and_for_a_limited_time() {
    let mut watch = CrashWatch::default();
    let other = LostRequest {
        crash: ObservedCrash {
            request: Fingerprint([8; 16]),
            ..OBSERVED
        },
        ..lost()
    };
    watch.record_lost(other, NOW);
    watch.record_lost(lost(), NOW);
    assert_eq!(watch.take_refused(&lost(), NOW), Some(lost()));
    assert_eq!(watch.take_refused(&lost(), NOW), None);

    watch.record_lost(lost(), NOW);

    let later = NOW + CRASH_WINDOW;
    assert_eq!(watch.take_ended(&[start("i-1", 8080, 2_000)], later), []);
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
