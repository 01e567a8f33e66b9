//! Tests with backend servers that say in their responses that they leave or want a pause.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use radishpaddle_e2e::fleet::Node;
use radishpaddle_e2e::operator::admin_page;
use radishpaddle_e2e::plan::{HOST, service_document};
use radishpaddle_e2e::scenario::{eventually, is_success, lookup, unique_id};
use radishpaddle_e2e::{FleetPlan, Scenario};
use radishpaddle_testkit::backend::{FaultPlan, ResponseHeader, ResponseKind};
use radishpaddle_testkit::caller::AttemptResult;
use radishpaddle_testkit::http;

/// Time after a response that says that the server leaves during which requests that were on their way may
/// still arrive, in microseconds.
const IN_TRANSIT_US: u64 = 500_000;

/// Maximum number of requests of one instance to a server from half a second after its request for a pause
/// until the end of the pause.
const MAX_ARRIVALS_IN_PAUSE: usize = 2;

/// Time within which callers learn that no server takes requests, although their deadline is 3 s.
const IMMEDIATE: Duration = Duration::from_millis(500);

/// Maximum time after the end of a pause until the server gets requests again: the random extension of
/// 0.25 s and the pauses of the callers.
const RETURN_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time until every entry instance has got a response from a given server under traffic.
const SIGNAL_TIMEOUT: Duration = Duration::from_secs(5);

fn leaving() -> ResponseHeader {
    ResponseHeader::new("X-Leaving", "1")
}

fn retry_after(value: &str) -> ResponseHeader {
    ResponseHeader::new("Retry-After", value).only_on(&[ResponseKind::Shed])
}

/// Returns a plan in which a server sheds every request with these `Retry-After` values.
fn shedding(values: &[&str]) -> FaultPlan {
    FaultPlan {
        shed_share: 1.0,
        headers: values.iter().map(|value| retry_after(value)).collect(),
        ..FaultPlan::default()
    }
}

fn assert_no_failed_attempt(scenario: &Scenario) {
    let attempts = scenario.traffic_attempts();
    let failed: Vec<_> = attempts
        .iter()
        .filter(|attempt| !is_success(&attempt.told))
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

fn executions_of(scenario: &Scenario, backend: usize, incarnation: u64) -> usize {
    let executions = scenario.backend(backend).executions();
    let of_incarnation = executions
        .iter()
        .filter(|execution| execution.incarnation.0 == incarnation);
    of_incarnation.count()
}

/// Returns the value of a counter of an entry instance, summed over its labels other than `label`.
fn counter(scenario: &Scenario, entry: usize, name: &str, label: &str) -> f64 {
    let admin = scenario.fleet.admin_address(Node::Entry(entry));
    let page = tokio::task::block_in_place(|| admin_page(admin, "/metrics")).unwrap();
    let lines = page
        .lines()
        .filter(|line| line.starts_with(name) && line.contains(label));
    let values = lines.filter_map(|line| line.rsplit_once(' '));
    values.map(|(_, value)| value.parse::<f64>().unwrap()).sum()
}

/// Returns the kinds of the journal events of an entry instance.
fn journal_kinds(scenario: &Scenario, entry: usize) -> Vec<String> {
    let admin = scenario.fleet.admin_address(Node::Entry(entry));
    let page = tokio::task::block_in_place(|| admin_page(admin, "/v1/journal?since=0")).unwrap();
    let events = page.lines().map(|line| serde_json::from_str(line).unwrap());
    events
        .map(|event: serde_json::Value| event["kind"].as_str().unwrap().to_owned())
        .collect()
}

/// Sends a lookup with a deadline of 3 s to an entry instance and returns status and headers.
async fn raw_lookup(scenario: &Scenario, entry: usize) -> (StatusCode, HeaderMap) {
    let address = scenario.fleet.caller_addresses()[entry];
    let request = Request::get("/lookup/raw")
        .header("host", HOST)
        .header("x-api-key", scenario.key())
        .body(Full::new(Bytes::new()))
        .unwrap();
    let mut connection = http::connect(address).await.unwrap();
    let response = connection.send_request(request).await.unwrap();
    (response.status(), response.headers().clone())
}

/// Guards against requests for a server that has said in a response that it leaves, while it still
/// announces itself as serving, and against a new configuration or announcement that brings it back; also
/// against an end of the state that a newer incarnation does not cause.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_nothing_new_until_a_newer_incarnation() {
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    let traffic = scenario.start_traffic(4, 10, 1).unwrap();
    let server = scenario.backend(3);
    server.set_faults(FaultPlan {
        extra_delay_ms: 100,
        end_after_leaving_ms: Some(5_000),
        restart_after_ms: Some(500),
        headers: vec![leaving()],
        ..FaultPlan::default()
    });
    let told = || server.signals().leaving.len();
    let every_entry = eventually("every entry instance is told", SIGNAL_TIMEOUT, || {
        told() == 3
    });
    every_entry.await.unwrap();

    tokio::time::sleep(Duration::from_secs(1)).await;
    let document = service_document(2_000.0, 501).unwrap();
    tokio::task::block_in_place(|| scenario.operator.submit_document(&document)).unwrap();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let open_connections = scenario.fleet.backend_proxies()[3].status().open;
    let intakes: Vec<_> = (0..3).map(|entry| scenario.intake(entry, 3)).collect();
    let announcements = server.status().announcements_accepted;
    server.set_faults(FaultPlan::default());
    let restarted = eventually("the server restarts", Duration::from_secs(6), || {
        server.incarnation().0 == 2
    });
    restarted.await.unwrap();
    let signals = server.signals();
    let late = signals.arrivals_after_leaving(IN_TRANSIT_US);
    assert!(late.is_empty(), "{} late: {:?}", late.len(), late.first());
    let returned = eventually("the new incarnation gets requests", SIGNAL_TIMEOUT, || {
        executions_of(&scenario, 3, 2) > 0
    });
    returned.await.unwrap();
    let logged = eventually("the return is logged", SIGNAL_TIMEOUT, || {
        let kinds = journal_kinds(&scenario, 0);
        kinds.iter().any(|kind| kind == "server_returned")
    });
    logged.await.unwrap();
    traffic.stop().await;

    assert!(announcements > 1, "{announcements}");
    assert_eq!(open_connections, 0);
    assert_eq!(intakes, ["Leaving"; 3]);
    assert!(counter(&scenario, 0, "radishpaddle_server_signals_total", "leaving") >= 1.0);
    let kinds = journal_kinds(&scenario, 0);
    assert!(
        kinds.iter().any(|kind| kind == "server_leaving"),
        "{kinds:?}"
    );
    assert_no_failed_attempt(&scenario);
    scenario.assert_guarantees();
}

/// Guards against the response with the header being lost, or the header being passed on to callers, whose
/// own proxy would take it for a signal of the entry instance.
#[tokio::test(flavor = "multi_thread")]
async fn response_of_a_leaving_server_is_delivered_without_the_header() {
    let plan = FleetPlan {
        backends: 1,
        ..FleetPlan::default()
    };
    let scenario = Scenario::start(plan).await.unwrap();
    scenario.backend(0).set_faults(FaultPlan {
        headers: vec![leaving()],
        ..FaultPlan::default()
    });

    let (status, headers) = raw_lookup(&scenario, 0).await;
    let started_at = Instant::now();
    let told = scenario.caller(&[0], 1).perform(&lookup("after")).await;

    assert_eq!(status, StatusCode::OK);
    assert!(!headers.contains_key("x-leaving"), "{headers:?}");
    assert!(!headers.contains_key("x-incarnation"), "{headers:?}");
    assert_eq!(told, AttemptResult::NotRun { code: 2006 });
    assert!(
        started_at.elapsed() < IMMEDIATE,
        "{:?}",
        started_at.elapsed()
    );
    // The history is not checked: it does not contain the lookup that reads the headers.
}

/// Guards against requests for a server during the pause that it asked for, against callers who notice the
/// pause, and against a server that is not found again or is ejected because of its pause.
#[tokio::test(flavor = "multi_thread")]
async fn paused_server_gets_at_most_two_requests_and_work_after_the_pause() {
    const PAUSE: Duration = Duration::from_secs(3);
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    let traffic = scenario.start_traffic(4, 10, 1).unwrap();
    let server = scenario.backend(0);
    for _ in 0..2 {
        server.clear_signals();
        server.set_faults(shedding(&["3"]));
        let asked = || {
            let mut callers: Vec<_> = server.signals().pauses;
            callers.sort_by(|left, right| left.caller.cmp(&right.caller));
            callers.dedup_by(|left, right| left.caller == right.caller);
            callers.len()
        };
        let every_entry = eventually("every entry instance is asked", SIGNAL_TIMEOUT, || {
            asked() == 3
        });
        every_entry.await.unwrap();
        server.set_faults(FaultPlan::default());
        let intake = scenario.intake(0, 0);
        tokio::time::sleep(PAUSE).await;
        let started = server.status().started;
        let resumed = eventually("the server gets requests again", RETURN_TIMEOUT, || {
            assert!(!scenario.is_out_of_rotation(0, 0));
            server.status().started > started + 10
        });
        resumed.await.unwrap();

        let signals = server.signals();
        let worst = signals.max_arrivals_in_pause();
        assert!(worst <= MAX_ARRIVALS_IN_PAUSE, "{worst} in one pause");
        assert!(intake.starts_with("Paused"), "{intake:?}");
    }
    traffic.stop().await;

    let kinds = journal_kinds(&scenario, 0);
    for kind in ["server_paused", "server_resumed"] {
        assert!(kinds.iter().any(|known| known == kind), "{kind}: {kinds:?}");
    }
    assert_no_failed_attempt(&scenario);
    scenario.assert_guarantees();
}

/// Guards against requests that wait for their deadline although every server of the service wants a
/// pause, against a refusal without the time at which to return, and against servers that are not found
/// again.
#[tokio::test(flavor = "multi_thread")]
async fn pause_of_all_servers_refuses_at_once_with_a_time_to_return() {
    const PAUSE_S: u64 = 4;
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    scenario.set_faults_on_all_backends(&shedding(&["4"]));
    let all_paused = eventually("entry-1 has heard all servers", SIGNAL_TIMEOUT, || {
        let caller = scenario.caller(&[0], 1);
        let id = unique_id("probe");
        tokio::task::block_in_place(|| {
            tokio::runtime::Handle::current().block_on(caller.perform(&lookup(&id)))
        });
        (0..4).all(|backend| {
            let signals = scenario.backend(backend).signals();
            let of_entry = |caller: &str| caller.starts_with("entry-1-");
            signals.pauses.iter().any(|pause| of_entry(&pause.caller))
        })
    });
    all_paused.await.unwrap();
    let paused_at = Instant::now();
    scenario.set_faults_on_all_backends(&FaultPlan::default());

    let mut returns = Vec::new();
    for _ in 0..10 {
        let started_at = Instant::now();
        let (status, headers) = raw_lookup(&scenario, 0).await;
        let taken = started_at.elapsed();
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(headers["x-result-code"], "2006");
        assert!(taken < IMMEDIATE, "{taken:?}");
        let text = headers["retry-after"].to_str().unwrap();
        returns.push(text.parse::<u64>().unwrap());
    }
    // The rest of the pause, at most 1 s of spread, rounded up to whole seconds.
    let expected = PAUSE_S - 1..=PAUSE_S + 2;
    assert!(returns.iter().all(|s| expected.contains(s)), "{returns:?}");
    let answered = scenario.wait_entry_answers(0, Duration::from_secs(PAUSE_S) + RETURN_TIMEOUT);
    answered.await.unwrap();

    let taken = paused_at.elapsed();
    assert!(taken > Duration::from_secs(PAUSE_S - 1), "{taken:?}");
    for backend in scenario.fleet.backends() {
        let worst = backend.signals().max_arrivals_in_pause();
        assert!(worst <= MAX_ARRIVALS_IN_PAUSE, "{worst} in one pause");
    }
    scenario.assert_guarantees();
}

/// Guards against a server that loses its requests for ever, or an instance that fails, because of an
/// absurd `Retry-After` or a leaving header with another value.
#[tokio::test(flavor = "multi_thread")]
async fn absurd_signals_are_ignored_and_counted() {
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    let traffic = scenario.start_traffic(4, 10, 1).unwrap();
    let long = "9".repeat(4_000);
    let absurd = [
        "-1",
        "NaN",
        "inf",
        "1e309",
        "",
        "Wed, 21 Oct 2099 07:28:00 GMT",
        &long,
    ];
    let mut plan = shedding(&absurd);
    plan.shed_share = 0.2;
    plan.headers.push(ResponseHeader::new("X-Leaving", "0"));
    scenario.backend(0).set_faults(plan);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let started = scenario.backend(0).status().started;
    let goes_on = eventually("the server goes on", RETURN_TIMEOUT, || {
        scenario.backend(0).status().started > started + 10
    });
    goes_on.await.unwrap();
    traffic.stop().await;

    let name = "radishpaddle_server_signals_total";
    let entries = 0..3;
    let invalid: f64 = entries
        .map(|entry| counter(&scenario, entry, name, "invalid_retry_after"))
        .sum();
    let shed = scenario.backend(0).status().shed;
    assert!(shed > 0);
    assert!(invalid >= 7.0, "{invalid} invalid values, {shed} shed");
    assert_no_failed_attempt(&scenario);
    scenario.assert_guarantees();
}
