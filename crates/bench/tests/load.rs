//! Tests of the load generator: schedule, counts by outcome, and the restriction to loopback addresses.

use std::net::SocketAddr;
use std::process::{Command, Output};
use std::time::Duration;

use radishpaddle_testkit::fault_proxy::{self, FaultProxySettings, Loss, ProxyPlan};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Starts a stub entry instance that refuses requests to `/refused`, answers all others at once and
/// announces `announced`, by default its own address.
async fn stub_entry(announced: Option<SocketAddr>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let announced = announced.unwrap_or(address);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, announced));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, announced: SocketAddr) {
    let mut buffer = [0; 8192];
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        let request = String::from_utf8_lossy(&buffer[..count]).into_owned();
        let (status, code, body) = if request.contains("/.well-known/radishpaddle/addresses") {
            let body = json!({"addresses": [{"address": announced}], "lifetime_ms": 5_000});
            (200, 1000, body.to_string())
        } else if request.starts_with("POST /refused") {
            let body = r#"{"code":2005,"name":"rate_exceeded","outcome":"not_run","message":""}"#;
            (429, 2005, body.to_owned())
        } else {
            (200, 1000, "{}".to_owned())
        };
        let head = format!("HTTP/1.1 {status} x\r\nx-result-code: {code}");
        let response = format!("{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn settings(seed: SocketAddr) -> Value {
    json!({
        "seeds": [seed],
        "duration_ms": 1_000,
        "max_requests": 10_000,
        "max_in_flight": 500,
        "traffic": [
            stream("large", 200.0, 0.5),
            stream("small", 20.0, 0.0),
        ],
    })
}

fn stream(organisation: &str, rate_per_s: f64, action_share: f64) -> Value {
    json!({
        "organisation": organisation,
        "key": "rk_0123456789abcdef",
        "service": "dispatch",
        "host": "dispatch.test",
        "rate_per_s": rate_per_s,
        "arrivals": "even",
        "action_share": action_share,
        "idempotent_path": "/jobs",
        "action_path": "/refused",
        "deadline_ms": 2_000,
    })
}

async fn run(settings: Value, arguments: &'static [&'static str]) -> Output {
    let directory = TempDir::new().unwrap();
    let file = directory.path().join("load.json");
    std::fs::write(&file, settings.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_radishpaddle-load"));
    command.arg("--settings").arg(&file).args(arguments);
    tokio::task::spawn_blocking(move || {
        let output = command.output().unwrap();
        drop(directory);
        output
    })
    .await
    .unwrap()
}

fn report(output: &Output) -> Value {
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{error}");
    serde_json::from_slice(&output.stdout).unwrap()
}

/// Guards against lost requests, and against outcomes counted for the wrong organisation or kind.
#[tokio::test(flavor = "multi_thread")]
async fn outcomes_are_counted_by_organisation_and_kind() {
    let entry = stub_entry(None).await;

    let report = report(&run(settings(entry), &["--json"]).await);

    // Even arrivals within 1 s: the stream with gaps of 5 ms has 199 before the end, and the one with
    // gaps of 50 ms has 19.
    assert_eq!(report["scheduled"], 199 + 19);
    let groups = report["groups"].as_array().unwrap();
    let requests = |organisation: &str, kind: &str| {
        let group = groups
            .iter()
            .find(|group| group["organisation"] == organisation && group["kind"] == kind);
        group.map(|group| {
            (
                group["requests"].as_u64().unwrap(),
                group["outcomes"].clone(),
            )
        })
    };
    let (idempotent, answered) = requests("large", "idempotent").unwrap();
    let (actions, refused) = requests("large", "action").unwrap();
    assert_eq!(idempotent + actions, 199);
    assert!((60..140).contains(&actions), "{actions}");
    assert_eq!(answered, json!({"1000 answered, status 200": idempotent}));
    assert_eq!(refused, json!({"2005 rate_exceeded, not run": actions}));
    assert_eq!(requests("small", "idempotent").unwrap().0, 19);
    assert_eq!(requests("small", "action"), None);
}

/// Guards against coordinated omission. A stall of 300 ms in a run of 1 s delays about 30 % of the
/// scheduled requests, uniformly by 0 to 300 ms; a closed loop would record only one slow request per
/// connection.
#[tokio::test(flavor = "multi_thread")]
async fn stall_shows_in_the_latency_of_every_request_that_was_due() {
    let entry = stub_entry(None).await;
    let proxy = fault_proxy::spawn(FaultProxySettings::new(entry))
        .await
        .unwrap();
    let front = stub_entry(Some(proxy.address())).await;
    let mut settings = settings(front);
    settings["traffic"] = json!([stream("large", 200.0, 0.0)]);
    let load = tokio::spawn(run(settings, &["--json"]));
    tokio::time::sleep(Duration::from_millis(400)).await;
    proxy.set_plan(ProxyPlan::partition(Loss::Stall));
    tokio::time::sleep(Duration::from_millis(300)).await;
    proxy.set_plan(ProxyPlan::default());

    let report = report(&load.await.unwrap());

    let latency = &report["groups"][0]["latency"];
    let quantile = |name: &str| latency[name].as_f64().unwrap();
    assert!(quantile("p50_ms") < 50.0, "{latency}");
    assert!((130.0..290.0).contains(&quantile("p90_ms")), "{latency}");
    assert!(quantile("p99_ms") > 250.0, "{latency}");
}

/// Guards against load on remote machines that the settings or an address response name.
#[tokio::test(flavor = "multi_thread")]
async fn remote_targets_are_refused() {
    let remote: SocketAddr = "192.0.2.1:80".parse().unwrap();
    let entry = stub_entry(Some(remote)).await;
    let mut short = settings(entry);
    short["duration_ms"] = json!(200);

    let by_settings = run(settings(remote), &[]).await;
    let by_response = report(&run(short, &["--json"]).await);

    assert!(!by_settings.status.success());
    let error = String::from_utf8_lossy(&by_settings.stderr).into_owned();
    assert!(
        error.contains("192.0.2.1:80 is not a loopback address"),
        "{error}"
    );
    for group in by_response["groups"].as_array().unwrap() {
        assert_eq!(group["outcomes"], json!({"not sent": group["requests"]}));
    }
}

/// Guards against a run that exceeds `max_requests`, and against tables without the outcomes.
#[tokio::test(flavor = "multi_thread")]
async fn run_is_bounded_and_prints_tables() {
    let entry = stub_entry(None).await;
    let mut settings = settings(entry);
    settings["max_requests"] = json!(10);

    let output = run(settings, &["--duration-ms", "300"]).await;

    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.starts_with("10 requests scheduled"), "{text}");
    assert!(text.contains("1000 answered, status 200"), "{text}");
}
