//! The sample backend server injects the faults that tests rely on, and records its executions.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use radishpaddle_model::{Announcement, BackendState};
use radishpaddle_testkit::backend::{
    self, BackendSettings, BackendStatus, CallerIdentity, FaultPlan, PAUSE_GRACE_US,
    ResponseHeader, ResponseKind, RunningBackend, SignalRecord, digest,
};
use radishpaddle_testkit::http;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(5);

fn settings() -> BackendSettings {
    let ids = ("dispatch".parse(), "d-1".parse(), "zone-a".parse());
    let mut settings = BackendSettings::new(ids.0.unwrap(), ids.1.unwrap(), ids.2.unwrap());
    settings.service_time_ms = 1.0;
    settings
}

async fn start(faults: FaultPlan) -> RunningBackend {
    let mut settings = settings();
    settings.faults = faults;
    backend::spawn(settings).await.unwrap()
}

async fn send(address: SocketAddr, body: &'static str) -> anyhow::Result<(StatusCode, Bytes)> {
    let request = Request::post("/jobs?x=1")
        .header("host", "dispatch")
        .header("X-Test-Operation", "op-1/1")
        .header("X-Request-Id", "r-1")
        .body(Full::new(Bytes::from_static(body.as_bytes())))?;
    let response = http::connect(address).await?.send_request(request).await?;
    let status = response.status();
    Ok((status, response.into_body().collect().await?.to_bytes()))
}

/// Returns the raw bytes that the server sends until it closes the connection or sends nothing for 200
/// ms, and whether it closed the connection.
async fn raw_exchange(address: SocketAddr) -> (Vec<u8>, bool) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET /raw HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let read = tokio::time::timeout(Duration::from_millis(200), stream.read(&mut chunk));
        match read.await {
            Ok(Ok(0) | Err(_)) => return (received, true),
            Ok(Ok(count)) => received.extend_from_slice(&chunk[..count]),
            Err(_) => return (received, false),
        }
    }
}

fn split_body(raw: &[u8]) -> (String, Vec<u8>) {
    let end = raw.windows(4).position(|part| part == b"\r\n\r\n").unwrap();
    let head = String::from_utf8(raw[..end].to_vec()).unwrap();
    (head, raw[end + 4..].to_vec())
}

fn declared_length(head: &str) -> usize {
    let line = head.lines().find(|line| line.starts_with("content-length"));
    line.unwrap().split(": ").nth(1).unwrap().parse().unwrap()
}

/// Guards against an execution log that lacks data the checker needs.
#[tokio::test]
async fn execution_is_recorded_with_headers_body_and_digest() {
    let server = start(FaultPlan::default()).await;

    let (status, body) = send(server.address(), "payload").await.unwrap();

    let executions = server.executions();
    assert_eq!((status, executions.len()), (StatusCode::OK, 1));
    let execution = &executions[0];
    assert_eq!(execution.operation.as_deref(), Some("op-1/1"));
    assert_eq!(execution.request_id.as_deref(), Some("r-1"));
    assert_eq!(
        (execution.method.as_str(), execution.path.as_str()),
        ("POST", "/jobs?x=1")
    );
    assert_eq!(execution.body, "payload");
    assert!(
        execution
            .headers
            .contains(&("host".into(), "dispatch".into()))
    );
    assert_eq!(
        execution.answer_digest.as_deref(),
        Some(digest(&body).as_str())
    );
    assert!(execution.end_us.unwrap() >= execution.start_us + 800);
    assert!(!execution.cancelled);
}

/// Guards against a truncated response that the client reads as complete.
#[tokio::test]
async fn truncated_body_ends_early_with_and_without_length() {
    for chunked in [false, true] {
        let plan = FaultPlan {
            truncate_after_bytes: Some(10),
            chunked,
            ..FaultPlan::default()
        };
        let server = start(plan).await;

        let result = send(server.address(), "").await;
        let (raw, closed) = raw_exchange(server.address()).await;

        assert!(result.is_err(), "chunked {chunked}");
        let (head, body) = split_body(&raw);
        assert!(
            closed && body.len() >= 10 && body.len() < 30,
            "{head} {body:?}"
        );
    }
}

/// Guards against a length fault that is not visible on the wire.
#[tokio::test]
async fn content_length_differs_from_the_body_in_both_directions() {
    let longer = FaultPlan {
        length_error_bytes: 7,
        ..FaultPlan::default()
    };
    let shorter = FaultPlan {
        length_error_bytes: -7,
        ..FaultPlan::default()
    };
    let server = start(longer).await;

    let (raw, closed) = raw_exchange(server.address()).await;
    let (head, body) = split_body(&raw);
    assert!(closed);
    assert_eq!(declared_length(&head), body.len() + 7);

    server.set_faults(shorter);
    let (raw, closed) = raw_exchange(server.address()).await;
    let (head, body) = split_body(&raw);
    assert!(!closed);
    assert_eq!(declared_length(&head) + 7, body.len());
    assert!(body.ends_with(b"#######"));
}

/// Guards against a hang that closes the connection, and against a cancellation that is not recorded.
#[tokio::test]
async fn hang_sends_one_byte_and_records_the_cancellation() {
    let plan = FaultPlan {
        hang_after_first_byte: true,
        ..FaultPlan::default()
    };
    let server = start(plan).await;

    let (raw, closed) = raw_exchange(server.address()).await;

    assert!(!closed);
    assert_eq!(split_body(&raw).1, b"{");
    wait_until(&server, |status| status.in_flight == 0).await;
    assert!(server.executions()[0].cancelled);
}

/// Guards against a wrong record of errors and shed requests: a request with an error runs, a shed one
/// does not.
#[tokio::test]
async fn error_runs_and_shed_does_not() {
    let server = start(FaultPlan {
        error_share: 1.0,
        ..FaultPlan::default()
    })
    .await;

    let (error, _) = send(server.address(), "").await.unwrap();
    server.set_faults(FaultPlan {
        shed_share: 1.0,
        ..FaultPlan::default()
    });
    let (shed, _) = send(server.address(), "").await.unwrap();

    assert_eq!(error, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(shed, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!((server.executions().len(), server.status().shed), (1, 1));
}

/// Guards against a late response that still meets its deadline.
#[tokio::test]
async fn answer_comes_after_the_deadline() {
    let plan = FaultPlan {
        answer_after_deadline: true,
        ..FaultPlan::default()
    };
    let server = start(plan).await;
    let request = Request::get("/")
        .header("X-Deadline-Ms", "100")
        .body(Full::new(Bytes::new()))
        .unwrap();
    let mut connection = http::connect(server.address()).await.unwrap();
    let start = std::time::Instant::now();

    connection.send_request(request).await.unwrap();

    assert!(
        start.elapsed() >= Duration::from_millis(150),
        "{:?}",
        start.elapsed()
    );
}

/// Guards against a crash that leaves connections or the port open, or a restart with the same incarnation.
#[tokio::test]
async fn crash_marker_drops_connections_and_restarts_with_a_higher_incarnation() {
    let plan = FaultPlan {
        crash_marker: Some("poison".into()),
        restart_after_ms: Some(300),
        ..FaultPlan::default()
    };
    let server = start(plan).await;
    let mut other = TcpStream::connect(server.address()).await.unwrap();

    let result = send(server.address(), "some poison here").await;

    assert!(result.is_err());
    assert_eq!(other.read(&mut [0]).await.unwrap_or(0), 0);
    wait_until(&server, |status| !status.up).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(TcpStream::connect(server.address()).await.is_err());
    wait_until(&server, |status| status.up).await;
    assert_eq!(server.incarnation().0, 2);
    assert!(send(server.address(), "harmless").await.is_ok());
    assert!(server.executions()[0].cancelled);
}

/// Guards against probes that reveal a fault, since the fleet has to detect gray failures from requests.
#[tokio::test]
async fn health_and_load_report_healthy_under_faults() {
    let plan = FaultPlan {
        error_share: 1.0,
        shed_share: 1.0,
        ..FaultPlan::default()
    };
    let server = start(plan).await;

    for path in ["/health", "/load"] {
        let none = Bytes::new();
        let reply = http::call(server.address(), Method::GET, path, None, none, TIMEOUT);
        let (status, body) = reply.await.unwrap();

        let value: serde_json::Value = serde_json::from_slice(&body).unwrap();
        assert_eq!((status, &value["healthy"]), (StatusCode::OK, &true.into()));
    }
}

/// Guards against a backend server that runs new requests after its drain.
#[tokio::test]
async fn drain_refuses_new_work_and_counts_it() {
    let server = start(FaultPlan::default()).await;

    server.drain().await;
    let (status, _) = send(server.address(), "").await.unwrap();

    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(server.status().arrived_after_drain, 1);
    assert!(server.executions().is_empty());
}

/// Guards against malformed announcements, and against a drain that is not announced.
#[tokio::test]
async fn announcements_are_renewed_and_carry_the_state() {
    let entry = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut settings = settings();
    settings.entries = vec![entry.local_addr().unwrap()];
    settings.token = "secret".into();
    settings.announce_period_ms = 20;
    let server = backend::spawn(settings).await.unwrap();

    let (path, first) = receive_announcement(&entry).await;
    let (_, second) = receive_announcement(&entry).await;
    assert_eq!(path, "/v1/backend-servers/announce");
    assert_eq!(
        (first.address, first.state),
        (server.address(), BackendState::Serving)
    );
    assert!(second.version() > first.version());

    let drained = tokio::spawn(async move { (server.drain().await, server) });
    let (path, third) = loop {
        let (path, announcement) = receive_announcement(&entry).await;
        if announcement.state != BackendState::Serving {
            break (path, announcement);
        }
    };
    assert_eq!(
        (path.as_str(), third.state),
        ("/v1/backend-servers/drain", BackendState::Draining)
    );
    assert_eq!(drained.await.unwrap().0, 1);
}

async fn receive_announcement(entry: &TcpListener) -> (String, Announcement) {
    let (mut stream, _) = entry.accept().await.unwrap();
    let mut received = Vec::new();
    loop {
        let mut chunk = [0; 2048];
        let count = stream.read(&mut chunk).await.unwrap();
        received.extend_from_slice(&chunk[..count]);
        let text = String::from_utf8_lossy(&received).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let Ok(announcement) = serde_json::from_str(body) else {
            continue;
        };
        assert!(head.contains("authorization: Bearer secret"), "{head}");
        let reply = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
        stream.write_all(reply).await.unwrap();
        return (head.split(' ').nth(1).unwrap().to_owned(), announcement);
    }
}

/// Guards against a control port that does not apply fault plans, accepts malformed ones or omits
/// executions.
#[tokio::test]
async fn control_port_changes_faults_and_shows_executions() {
    let mut settings = settings();
    settings.control = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
    let server = backend::spawn(settings).await.unwrap();
    let control = server.control_address().unwrap();
    let put = |body: &'static str| {
        let body = Bytes::from_static(body.as_bytes());
        http::call(control, Method::PUT, "/faults", None, body, TIMEOUT)
    };

    let (accepted, _) = put(r#"{"error_share":1.0}"#).await.unwrap();
    let (refused, _) = put(r#"{"unknown":1}"#).await.unwrap();
    let (status, _) = send(server.address(), "").await.unwrap();

    assert_eq!(
        (accepted, refused),
        (StatusCode::OK, StatusCode::UNPROCESSABLE_ENTITY)
    );
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
    let none = Bytes::new();
    let reply = http::call(control, Method::GET, "/executions", None, none, TIMEOUT);
    let list: Vec<backend::Execution> = serde_json::from_slice(&reply.await.unwrap().1).unwrap();
    assert_eq!(list, server.executions());
}

async fn wait_until(server: &RunningBackend, reached: impl Fn(&BackendStatus) -> bool) {
    let wait = async {
        while !reached(&server.status()) {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait)
        .await
        .expect("the state is reached");
}

/// Guards against callers that cannot reach the server in measurements without a fleet, where they
/// request addresses from it.
#[tokio::test]
async fn address_request_is_answered_with_the_own_address() {
    use radishpaddle_testkit::caller::{ADDRESSES_PATH, parse_addresses};

    let mut settings = settings();
    settings.serves_address_requests = true;
    let server = backend::spawn(settings).await.unwrap();

    let none = Bytes::new();
    let reply = http::call(
        server.address(),
        Method::GET,
        ADDRESSES_PATH,
        None,
        none,
        TIMEOUT,
    );

    let answer = parse_addresses(&reply.await.unwrap().1).unwrap();
    assert_eq!(answer.addresses[0].address, server.address());
    assert!(server.executions().is_empty());
}

/// Sends one request and returns the values of a response header in their order.
async fn header_values(address: SocketAddr, path: &str, name: &str) -> Vec<String> {
    let request = Request::get(path).body(Full::new(Bytes::new())).unwrap();
    let mut connection = http::connect(address).await.unwrap();
    let response = connection.send_request(request).await.unwrap();
    let values = response.headers().get_all(name).iter();
    values
        .map(|value| String::from_utf8(value.as_bytes().to_vec()).unwrap())
        .collect()
}

fn with_headers(headers: Vec<ResponseHeader>) -> FaultPlan {
    FaultPlan {
        headers,
        ..FaultPlan::default()
    }
}

/// Guards against a signal that is missing on one kind of response, appears on another kind, or loses one
/// of several values.
#[tokio::test]
async fn headers_are_sent_on_the_kinds_of_responses_that_the_plan_names() {
    use ResponseKind::{Failure, Probe, Shed, Success};
    let failing = |plan: FaultPlan| FaultPlan {
        error_share: 1.0,
        ..plan
    };
    let shedding = |plan: FaultPlan| FaultPlan {
        shed_share: 1.0,
        ..plan
    };
    for kind in [Success, Failure, Shed, Probe] {
        let header = |value| ResponseHeader::new("X-Leaving", value).only_on(&[kind]);
        let plan = with_headers(vec![header("1"), header("0")]);
        let server = start(FaultPlan::default()).await;
        let mut carrying = Vec::new();
        for (sent, path, plan) in [
            (Success, "/jobs", plan.clone()),
            (Failure, "/jobs", failing(plan.clone())),
            (Shed, "/jobs", shedding(plan.clone())),
            (Probe, "/health", plan.clone()),
            (Probe, "/load", plan),
        ] {
            server.set_faults(plan);
            let values = header_values(server.address(), path, "X-Leaving").await;
            if !values.is_empty() {
                assert_eq!(values, ["1", "0"]);
                carrying.push(sent);
            }
        }
        carrying.dedup();
        assert_eq!(carrying, [kind]);
    }
}

/// Guards against absurd values that the server corrects, drops or takes for a pause.
#[tokio::test]
async fn absurd_retry_after_values_are_sent_as_given_and_ask_for_no_pause() {
    let long = "9".repeat(4_000);
    let absurd = [
        "-1",
        "NaN",
        "Wed, 21 Oct 2026 07:28:00 GMT",
        "1e309",
        "",
        long.as_str(),
    ];
    let server = start(FaultPlan::default()).await;
    for value in absurd {
        server.set_faults(FaultPlan {
            shed_share: 1.0,
            ..with_headers(vec![ResponseHeader::new("Retry-After", value)])
        });

        let values = header_values(server.address(), "/", "Retry-After").await;

        assert_eq!(values, [value]);
    }
    assert_eq!(server.signals(), SignalRecord::default());
    server.set_faults(FaultPlan {
        shed_share: 1.0,
        ..with_headers(vec![ResponseHeader::new("Retry-After", "0.25")])
    });
    header_values(server.address(), "/", "Retry-After").await;
    let pause = &server.signals().pauses[0];
    assert_eq!(pause.until_us, pause.sent_us + 250_000);
}

/// Guards against a check of the drain that misses a caller which goes on after a leaving response, or
/// blames another caller, and against a leaving server that ends at once or never.
#[tokio::test]
async fn leaving_server_goes_on_for_a_time_and_records_who_ignores_it() {
    let mut settings = settings();
    settings.caller_identity = CallerIdentity::RequestIdPrefix;
    settings.faults = FaultPlan {
        end_after_leaving_ms: Some(400),
        ..with_headers(vec![ResponseHeader::new("X-Leaving", "1")])
    };
    let server = backend::spawn(settings).await.unwrap();

    send_as(server.address(), "obeys-1").await.unwrap();
    send_as(server.address(), "ignores-1").await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let status = send_as(server.address(), "ignores-2").await.unwrap();

    assert_eq!(status, StatusCode::OK);
    let signals = server.signals();
    let told: Vec<_> = signals
        .leaving
        .iter()
        .map(|signal| &signal.caller)
        .collect();
    assert_eq!(told, ["obeys", "ignores"]);
    let late = signals.arrivals_after_leaving(50_000);
    let late: Vec<_> = late.iter().map(|arrival| &arrival.request_id).collect();
    assert_eq!(late, [&Some("ignores-2".to_owned())]);
    assert!(signals.arrivals_after_leaving(10_000_000).is_empty());
    wait_until(&server, |status| !status.up).await;
    assert!(TcpStream::connect(server.address()).await.is_err());
}

async fn send_as(address: SocketAddr, request_id: &str) -> anyhow::Result<StatusCode> {
    let request = Request::get("/")
        .header("X-Request-Id", request_id)
        .body(Full::new(Bytes::new()))?;
    let response = http::connect(address).await?.send_request(request).await?;
    Ok(response.status())
}

/// Guards against a check of the pause that misses a caller which goes on, counts the requests of the
/// first half second or those after the end, or blames another caller.
#[tokio::test]
async fn pause_counts_the_arrivals_of_the_caller_that_was_asked() {
    let mut settings = settings();
    settings.caller_identity = CallerIdentity::RequestIdPrefix;
    settings.control = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
    settings.faults = FaultPlan {
        shed_share: 1.0,
        ..with_headers(vec![ResponseHeader::new("Retry-After", "0.9")])
    };
    let server = backend::spawn(settings).await.unwrap();
    let address = server.address();
    for caller in ["obeys-1", "ignores-1"] {
        let status = send_as(address, caller).await.unwrap();
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    }
    server.set_faults(FaultPlan::default());

    // Within the grace.
    send_as(address, "ignores-2").await.unwrap();
    assert_eq!(server.signals().max_arrivals_in_pause(), 0);
    tokio::time::sleep(Duration::from_micros(PAUSE_GRACE_US + 50_000)).await;
    for id in ["other-1", "ignores-3", "ignores-4", "ignores-5"] {
        send_as(address, id).await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    for id in ["obeys-2", "ignores-6"] {
        send_as(address, id).await.unwrap();
    }

    let signals = server.signals();
    assert_eq!(signals.max_arrivals_in_pause(), 3);
    assert!(signals.arrivals_in_pause(&signals.pauses[0]).is_empty());
    let control = server.control_address().unwrap();
    let none = Bytes::new();
    let reply = http::call(control, Method::GET, "/signals", None, none, TIMEOUT);
    let read: SignalRecord = serde_json::from_slice(&reply.await.unwrap().1).unwrap();
    assert_eq!(read, signals);
}
