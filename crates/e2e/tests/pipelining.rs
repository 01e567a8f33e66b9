//! Tests with callers that send further requests before the first one is answered.

use std::time::Duration;

use radishpaddle_e2e::plan::HOST;
use radishpaddle_e2e::scenario::eventually;
use radishpaddle_e2e::{FleetPlan, Scenario};
use radishpaddle_testkit::backend::{FaultPlan, RunningBackend};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

/// Service time, in milliseconds.
const SERVICE_TIME_MS: u64 = 1_500;

/// Time in which a request reaches a backend server.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time in which the end of a connection reaches the backend server that works for it.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// Value that marks the requests of the test in the records of the backend servers.
const OPERATION: &str = "pipelined";

/// Guards against a backend server that continues to run a request whose caller has closed its connection after it sent
/// further requests, and against those requests being run for it.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_are_cancelled_when_their_caller_leaves() {
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    scenario.set_faults_on_all_backends(&FaultPlan {
        extra_delay_ms: SERVICE_TIME_MS,
        ..FaultPlan::default()
    });
    let address = scenario.fleet.caller_listen_address(0);
    let key = scenario.key();
    let request = format!(
        "GET /lookup/7 HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {key}\r\nX-Test-Operation: {OPERATION}\r\n\r\n"
    );
    let mut caller = TcpStream::connect(address).await.unwrap();
    caller
        .write_all(request.repeat(4).as_bytes())
        .await
        .unwrap();
    let running = eventually("the first request runs", ARRIVAL_TIMEOUT, || {
        scenario.executions(OPERATION) == 1
    });
    running.await.unwrap();

    drop(caller);

    let cancelled = eventually("the request is cancelled", CANCEL_TIMEOUT, || {
        let backends = scenario.fleet.backends().iter();
        let mut runs = backends.flat_map(RunningBackend::executions);
        runs.any(|run| run.operation.as_deref() == Some(OPERATION) && run.cancelled)
    });
    cancelled.await.unwrap();
    tokio::time::sleep(Duration::from_millis(SERVICE_TIME_MS)).await;
    assert_eq!(
        scenario.executions(OPERATION),
        1,
        "a further request was run"
    );
}
