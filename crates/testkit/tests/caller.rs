//! The caller follows the rules published for callers and records the result of each attempt.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use hyper::Method;
use proptest::prelude::*;
use radishpaddle_model::{Refusal, ResultCode};
use radishpaddle_testkit::caller::{
    AttemptResult, Caller, CallerSettings, Operation, parse_addresses,
};
use radishpaddle_testkit::history::AttemptRecorder;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Stub of an entry instance. It answers address requests, sends prepared responses to other requests in
/// order, and closes the connection when none is left.
struct StubEntry {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    connections: Arc<Mutex<u32>>,
}

async fn start_stub_entry(lifetime_ms: u64, responses: Vec<String>) -> StubEntry {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(Mutex::new(Vec::new()));
    let connections = Arc::new(Mutex::new(0));
    let responses = Arc::new(Mutex::new(VecDeque::from(responses)));
    let entry = StubEntry {
        address,
        requests,
        connections,
    };
    let (requests, connections) = (Arc::clone(&entry.requests), Arc::clone(&entry.connections));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            *connections.lock().unwrap() += 1;
            let (requests, responses) = (Arc::clone(&requests), Arc::clone(&responses));
            tokio::spawn(serve(stream, address, lifetime_ms, requests, responses));
        }
    });
    entry
}

async fn serve(
    mut stream: TcpStream,
    address: SocketAddr,
    lifetime_ms: u64,
    requests: Arc<Mutex<Vec<String>>>,
    responses: Arc<Mutex<VecDeque<String>>>,
) {
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        let request = String::from_utf8_lossy(&buffer[..count]).into_owned();
        let response = if request.contains("/.well-known/radishpaddle/addresses") {
            let body = format!(
                r#"{{"addresses":[{{"address":"{address}"}}],"lifetime_ms":{lifetime_ms}}}"#
            );
            Some(response(200, None, &body))
        } else {
            responses.lock().unwrap().pop_front()
        };
        requests.lock().unwrap().push(request);
        let Some(response) = response else { return };
        stream.write_all(response.as_bytes()).await.unwrap();
        if response.contains("cut here") {
            return;
        }
    }
}

fn response(status: u16, code: Option<u16>, body: &str) -> String {
    let code = code.map_or(String::new(), |code| format!("x-result-code: {code}\r\n"));
    let length = body.len();
    format!("HTTP/1.1 {status} x\r\n{code}content-length: {length}\r\n\r\n{body}")
}

fn refusal(code: ResultCode) -> String {
    let body = serde_json::to_string(&Refusal::new(code, "test")).unwrap();
    response(code.http_status(), Some(code.number()), &body)
}

fn ok_response() -> String {
    response(200, Some(1000), r#"{"operation":"op/1"}"#)
}

fn cut() -> String {
    "HTTP/1.1 200 x\r\nx-result-code: 1000\r\ncontent-length: 100\r\n\r\ncut here".into()
}

fn operation(idempotent: bool, key: Option<&str>) -> Operation {
    Operation {
        id: "op".into(),
        service: "ledger".parse().unwrap(),
        host: "ledger.test".into(),
        method: Method::POST,
        path: "/entries".into(),
        body: Bytes::from_static(b"{}"),
        open: false,
        idempotent,
        idempotency_key: key.map(Into::into),
        deadline_ms: 2_000,
    }
}

fn caller(entry: &StubEntry) -> (Caller, AttemptRecorder) {
    let recorder = AttemptRecorder::default();
    let settings = CallerSettings::new(vec![entry.address])
        .with_key("large".parse().unwrap(), "rk_large_0123456789");
    (Caller::new(settings, Some(recorder.clone())), recorder)
}

/// Guards against missing or misspelt request headers, and against connections that are not reused.
#[tokio::test]
async fn request_carries_the_published_headers_on_one_connection() {
    let entry = start_stub_entry(60_000, vec![ok_response(), ok_response()]).await;
    let (caller, recorder) = caller(&entry);

    let told = caller.perform(&operation(false, Some("key-1"))).await;
    caller.perform(&operation(true, None)).await;

    assert!(
        matches!(
            told,
            AttemptResult::Answer {
                status: 200,
                code: Some(1000),
                ..
            }
        ),
        "{told:?}"
    );
    let requests = entry.requests.lock().unwrap().clone();
    assert_eq!(requests.len(), 3, "one address request and two operations");
    for header in [
        "x-api-key: rk_large_0123456789",
        "idempotency-key: key-1",
        "x-deadline-ms: ",
        "x-test-operation: op/1",
        "host: ledger.test",
    ] {
        assert!(requests[1].contains(header), "{header} in {}", requests[1]);
    }
    assert_eq!(
        *entry.connections.lock().unwrap(),
        2,
        "address request and operations"
    );
    let attempt = &recorder.attempts()[0];
    assert_eq!(
        (attempt.tag(), attempt.entry),
        ("op/1".into(), Some(entry.address))
    );
    assert!(attempt.received_us >= attempt.sent_us);
}

/// Guards against a caller that caches addresses beyond their lifetime.
#[tokio::test]
async fn addresses_are_asked_again_after_their_lifetime() {
    let entry = start_stub_entry(50, vec![ok_response(), ok_response()]).await;
    let (caller, _) = caller(&entry);

    caller.perform(&operation(true, None)).await;
    tokio::time::sleep(std::time::Duration::from_millis(60)).await;
    caller.perform(&operation(true, None)).await;

    let requests = entry.requests.lock().unwrap();
    let asked = requests
        .iter()
        .filter(|request| request.contains("well-known"))
        .count();
    assert_eq!(asked, 2);
}

/// Guards against resends that the rules forbid, and against missing resends where the rules allow them.
#[tokio::test]
async fn attempts_follow_the_resend_rules() {
    let unknown = || refusal(ResultCode::BackendFailed);
    let cases = [
        (
            "temporary refusal",
            false,
            None,
            refusal(ResultCode::NotFresh),
            2,
        ),
        (
            "final refusal",
            false,
            Some("k"),
            refusal(ResultCode::KeyUnknown),
            1,
        ),
        ("unknown, idempotent", true, None, unknown(), 2),
        ("unknown, action with key", false, Some("k"), unknown(), 2),
        ("unknown, action without key", false, None, unknown(), 1),
        ("cut, action without key", false, None, cut(), 1),
        ("cut, action with key", false, Some("k"), cut(), 2),
        (
            "never resolved",
            false,
            Some("k"),
            refusal(ResultCode::AnswerNotRecorded),
            1,
        ),
    ];
    for (case, idempotent, key, first, attempts) in cases {
        let entry = start_stub_entry(60_000, vec![first, ok_response()]).await;
        let (caller, recorder) = caller(&entry);

        let told = caller.perform(&operation(idempotent, key)).await;

        assert_eq!(recorder.attempts().len(), attempts, "{case}: {told:?}");
        let answered = matches!(told, AttemptResult::Answer { .. });
        assert_eq!(answered, attempts == 2, "{case}: {told:?}");
    }
}

/// Guards against a truncated or malformed response that is recorded as complete.
#[tokio::test]
async fn broken_responses_are_not_answers() {
    let not_json = response(503, Some(2003), "not json");
    let other_code = response(
        503,
        Some(2003),
        r#"{"code":1,"name":"","outcome":"not_run","message":""}"#,
    );
    for broken in [cut(), not_json, other_code] {
        let entry = start_stub_entry(60_000, vec![broken.clone()]).await;
        let (caller, _) = caller(&entry);

        let told = caller.perform(&operation(false, None)).await;

        assert!(
            matches!(told, AttemptResult::Broken { .. }),
            "{broken}: {told:?}"
        );
    }
}

/// Guards against a refused connection that is recorded as a request that may have run.
#[tokio::test]
async fn refused_connection_is_not_sent() {
    let free = radishpaddle_testkit::process::free_address().unwrap();
    let caller = Caller::new(CallerSettings::new(vec![free]), None);

    let told = caller.perform(&operation(false, None)).await;

    assert!(matches!(told, AttemptResult::NotSent { .. }), "{told:?}");
}

proptest! {
    /// Guards against a panic on malformed address responses.
    #[test]
    fn any_address_response_is_handled(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = parse_addresses(&body);
    }

    /// Guards against addresses that are lost in parsing, and against a lifetime above the upper bound.
    #[test]
    fn address_response_is_read_back(ports in proptest::collection::vec(1_u16.., 1..9), lifetime_ms: u64) {
        let addresses: Vec<SocketAddr> =
            ports.iter().map(|port| SocketAddr::from(([127, 0, 0, 1], *port))).collect();
        let entries: Vec<_> = addresses
            .iter()
            .map(|address| serde_json::json!({"address": address, "instance": "e-1"}))
            .collect();
        let body = serde_json::json!({"addresses": entries, "lifetime_ms": lifetime_ms, "new": 1});

        let answer = parse_addresses(body.to_string().as_bytes()).unwrap();

        let found: Vec<SocketAddr> = answer.addresses.iter().map(|entry| entry.address).collect();
        prop_assert_eq!(found, addresses);
        prop_assert_eq!(answer.lifetime_ms, lifetime_ms.min(600_000));
    }
}
