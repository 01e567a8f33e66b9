//! Planned stop of an entry instance while callers go on using it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use radishpaddle_e2e::control_client::{self, ControlResponse};
use radishpaddle_e2e::fleet::Node;
use radishpaddle_e2e::operator::admin_page;
use radishpaddle_e2e::plan::service_document;
use radishpaddle_e2e::scenario::{action, eventually, is_success, lookup, resend_of};
use radishpaddle_e2e::{FleetPlan, Scenario};
use radishpaddle_entry::settings::TimingSettings;
use radishpaddle_model::{ResultCode, ServiceDocument};
use radishpaddle_testkit::backend::FaultPlan;
use radishpaddle_testkit::caller::{
    ADDRESSES_PATH, AttemptResult, Caller, Operation, parse_addresses,
};

/// Longest planned stop of an instance. Callers have cached addresses for the first 5 s of it.
const STOP_DEADLINE: Duration = Duration::from_secs(7);

/// Time after the stop signal at which a request arrives that its server would answer after the stop deadline.
const LATE: Duration = Duration::from_millis(4_500);

/// Service time of the backend servers, below the time limit of 3 s of the requests.
const SERVICE_TIME_MS: u64 = 2_800;

/// Time within which a refusal arrives that does not wait for anything.
const AT_ONCE: Duration = Duration::from_millis(500);

/// Time within which every instance has learned of a stop: two polls and their replies.
const LEAVING_IS_KNOWN: Duration = Duration::from_secs(2);

/// Number of concurrent submissions, above the number that a control instance serves at a time.
const SUBMISSIONS: usize = 24;

async fn start_scenario() -> Scenario {
    let plan = FleetPlan {
        timing: TimingSettings {
            address_lifetime_ms: 2_000,
            keep_alive_ms: 1_000,
            ..TimingSettings::default()
        },
        stop_deadline_ms: u64::try_from(STOP_DEADLINE.as_millis()).unwrap(),
        ..FleetPlan::default()
    };
    Scenario::start(plan).await.unwrap()
}

fn delay_requests(scenario: &Scenario, extra_delay_ms: u64) {
    scenario.set_faults_on_all_backends(&FaultPlan {
        extra_delay_ms,
        ..FaultPlan::default()
    });
}

/// Sends the stop signal to the first entry instance.
fn begin_stop(scenario: &mut Scenario) -> Instant {
    scenario.fleet.process(Node::Entry(0)).terminate().unwrap();
    Instant::now()
}

async fn sleep_until(since: Instant, after: Duration) {
    tokio::time::sleep(after.saturating_sub(since.elapsed())).await;
}

/// Creates a caller with an open connection to the first entry instance, on which nothing was sent since the stop.
async fn connected_caller(scenario: &Scenario, id: &str) -> Caller {
    let caller = scenario.direct_caller(0);
    let told = caller.perform(&lookup(id)).await;
    assert!(is_success(&told), "{told:?}");
    caller
}

/// Resends an action through another instance, which must run it.
async fn assert_runs_elsewhere(scenario: &Scenario, operation: &Operation) {
    delay_requests(scenario, 0);
    let told = scenario
        .caller(&[1], 3)
        .perform(&resend_of(operation))
        .await;
    assert!(is_success(&told), "{}: {told:?}", operation.id);
    assert_eq!(scenario.executions(&operation.id), 1, "{}", operation.id);
}

/// Guards against a connection that is accepted so late in a planned stop that its action is cut without an answer
/// while its server works, with the idempotency key in an unknown state. A refused connection leaves the caller all
/// time for another instance.
#[tokio::test(flavor = "multi_thread")]
async fn an_action_on_a_late_connection_is_cut_by_the_end_of_a_planned_stop() {
    let mut scenario = start_scenario().await;
    delay_requests(&scenario, SERVICE_TIME_MS);
    let stopped_at = begin_stop(&mut scenario);
    sleep_until(stopped_at, LATE).await;

    let late = action("late-connection");
    let told = scenario.direct_caller(0).perform(&late).await;

    assert!(
        matches!(told, AttemptResult::NotSent { .. }),
        "{told:?} {:?} after the signal",
        stopped_at.elapsed()
    );
    assert_runs_elsewhere(&scenario, &late).await;
    scenario.assert_guarantees();
}

/// Guards against requests on open connections that a stopping instance takes although the process ends before their
/// time limit: an action, whose idempotency key must stay usable, and a lookup, which has no claim.
#[tokio::test(flavor = "multi_thread")]
async fn requests_on_open_connections_are_cut_by_the_end_of_a_planned_stop() {
    let mut scenario = start_scenario().await;
    let for_action = connected_caller(&scenario, "before-action").await;
    let for_lookup = connected_caller(&scenario, "before-lookup").await;
    delay_requests(&scenario, SERVICE_TIME_MS);
    let stopped_at = begin_stop(&mut scenario);
    sleep_until(stopped_at, LATE).await;

    let (late_action, late_lookup) = (action("late-action"), lookup("late-lookup"));
    let told = tokio::join!(
        for_action.perform(&late_action),
        for_lookup.perform(&late_lookup)
    );
    let elapsed = stopped_at.elapsed();

    let refused = AttemptResult::NotRun { code: 2022 };
    assert_eq!(told, (refused.clone(), refused), "{elapsed:?}");
    assert!(elapsed < LATE + AT_ONCE, "refused after {elapsed:?}");
    assert_eq!(scenario.executions("late-"), 0, "a refused request was run");
    assert_runs_elsewhere(&scenario, &late_action).await;
    scenario.assert_guarantees();
}

/// Guards against requests that were taken before the stop with more time than it leaves, and whose connections close
/// without an answer: one at its server, whose outcome is unknown, and one that waits for a server. The second has
/// not run, so its idempotency key must stay usable.
#[tokio::test(flavor = "multi_thread")]
async fn requests_in_progress_at_the_end_of_a_planned_stop_get_no_answer() {
    let plan = FleetPlan {
        stop_deadline_ms: 3_500,
        backends: 1,
        slots: 1,
        ..FleetPlan::default()
    };
    let mut scenario = Scenario::start(plan).await.unwrap();
    delay_requests(&scenario, 4_600);
    let with_all_time = |id: &str| Operation {
        deadline_ms: 5_000,
        ..action(id)
    };
    let (running, queued) = (with_all_time("running"), with_all_time("queued"));
    let caller = Arc::new(scenario.direct_caller(0));
    let send = |operation: &Operation| {
        let (caller, operation) = (Arc::clone(&caller), operation.clone());
        tokio::spawn(async move { caller.perform(&operation).await })
    };
    let running_told = send(&running);
    let started = || scenario.executions("running") == 1;
    let started = eventually("the first action runs", Duration::from_secs(1), started);
    started.await.unwrap();
    let queued_told = send(&queued);
    tokio::time::sleep(Duration::from_millis(100)).await;
    begin_stop(&mut scenario);

    let told = (running_told.await.unwrap(), queued_told.await.unwrap());

    let unknown = AttemptResult::OutcomeUnknown { code: 3008 };
    assert_eq!(told, (unknown, AttemptResult::NotRun { code: 2022 }));
    let process = scenario.fleet.process(Node::Entry(0));
    let status = process.wait_for_exit(STOP_DEADLINE).unwrap();
    assert!(status.success(), "{status}");
    let log = scenario.fleet.log(Node::Entry(0)).unwrap();
    let lines: Vec<_> = log.lines().filter(|line| line.contains("3008")).collect();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert_runs_elsewhere(&scenario, &queued).await;
    let resent = scenario.caller(&[1], 1).perform(&resend_of(&running)).await;
    assert_eq!(resent, AttemptResult::OutcomeUnknown { code: 3004 });
    scenario.assert_guarantees();
}

/// Guards against an action that a planned stop ends while it waits for its claim, and whose idempotency key stays
/// blocked although the action has not run: the witnesses have granted the claim, but their replies are delayed.
#[tokio::test(flavor = "multi_thread")]
async fn an_action_that_waits_for_its_claim_blocks_its_key_after_a_planned_stop() {
    let plan = FleetPlan {
        entries: 4,
        stop_deadline_ms: 2_000,
        ..FleetPlan::default()
    };
    let mut scenario = Scenario::start(plan).await.unwrap();
    let stopping = scenario.fleet.plan().witnesses();
    let caller = Arc::new(scenario.direct_caller(stopping));
    let told = caller.perform(&lookup("before")).await;
    assert!(is_success(&told), "{told:?}");
    // The leader answers, so that the action gets its rate token.
    let leader = scenario.witness_leader(stopping).unwrap();
    for witness in (0..stopping).filter(|witness| *witness != leader) {
        let (from, to) = (Node::Entry(witness), Node::Entry(stopping));
        scenario.fleet.stall_one_way(from, to);
    }
    let waiting = Operation {
        deadline_ms: 5_000,
        ..action("waiting")
    };
    let sent = {
        let (caller, operation) = (Arc::clone(&caller), waiting.clone());
        tokio::spawn(async move { caller.perform(&operation).await })
    };
    tokio::time::sleep(Duration::from_millis(200)).await;

    let process = scenario.fleet.process(Node::Entry(stopping));
    process.terminate().unwrap();

    assert_eq!(sent.await.unwrap(), AttemptResult::NotRun { code: 2022 });
    let process = scenario.fleet.process(Node::Entry(stopping));
    process.wait_for_exit(STOP_DEADLINE).unwrap();
    scenario.fleet.heal();
    let resent = scenario.caller(&[leader], 1);
    let resent = resent.perform(&resend_of(&waiting)).await;
    assert!(is_success(&resent), "{resent:?}");
    scenario.assert_guarantees();
}

/// Guards against a stopping instance that refuses requests which it can serve, and against an end of the process
/// before the answers to those that it has taken.
#[tokio::test(flavor = "multi_thread")]
async fn requests_taken_in_time_are_served_before_a_planned_stop_ends() {
    let mut scenario = start_scenario().await;
    delay_requests(&scenario, SERVICE_TIME_MS);
    let stopped_at = begin_stop(&mut scenario);

    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..6 {
        let caller = scenario.direct_caller(0);
        tasks.spawn(async move {
            tokio::time::sleep(Duration::from_millis(number * 100)).await;
            caller.perform(&action(&format!("in-time-{number}"))).await
        });
    }
    let told = tasks.join_all().await;

    assert!(told.iter().all(is_success), "{told:?}");
    let process = scenario.fleet.process(Node::Entry(0));
    let status = process.wait_for_exit(STOP_DEADLINE).unwrap();
    assert!(status.success(), "{status}");
    assert!(
        stopped_at.elapsed() < STOP_DEADLINE,
        "{:?}",
        stopped_at.elapsed()
    );
    scenario.assert_guarantees();
}

/// Guards against an address list that sends callers to an instance whose planned stop has begun.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_sent_to_a_stopping_instance() {
    let mut scenario = start_scenario().await;
    let stopping = scenario.fleet.caller_addresses()[0];
    let listed_by = |scenario: &Scenario, entry: usize| {
        let address = scenario.fleet.caller_listen_address(entry);
        let body = tokio::task::block_in_place(|| admin_page(address, ADDRESSES_PATH)).unwrap();
        let response = parse_addresses(body.as_bytes()).unwrap();
        response
            .addresses
            .iter()
            .any(|entry| entry.address == stopping)
    };
    let entries = 0..scenario.fleet.plan().entries;
    assert!(
        entries.clone().all(|entry| listed_by(&scenario, entry)),
        "the instance is not listed before the stop"
    );
    begin_stop(&mut scenario);

    let unlisted = || {
        entries
            .clone()
            .skip(1)
            .all(|entry| !listed_by(&scenario, entry))
    };
    let unlisted = eventually("the instance is not listed", LEAVING_IS_KNOWN, unlisted);

    unlisted.await.unwrap();
    scenario.assert_guarantees();
}

/// Guards against submissions whose operators get no answer because their control instance stops: some are committed
/// and wait until they are in force, and more of them wait for a free thread than the instance serves at a time.
#[tokio::test(flavor = "multi_thread")]
async fn submissions_in_progress_are_cut_by_a_planned_stop_of_control() {
    let mut scenario = start_scenario().await;
    let control = scenario.fleet.operator_address(0);
    // Changes are committed, but no witness stores them.
    for entry in 0..scenario.fleet.plan().entries {
        scenario
            .fleet
            .stall_one_way(Node::Control(0), Node::Entry(entry));
    }
    let mut submissions = tokio::task::JoinSet::new();
    for number in 0..SUBMISSIONS {
        let document = document_of_other_service(number);
        let submission = format!("during-the-stop-{number}");
        submissions.spawn_blocking(move || control_client::put(control, &document, &submission, 0));
    }
    tokio::time::sleep(AT_ONCE).await;

    let process = scenario.fleet.process(Node::Control(0));
    process.terminate().unwrap();

    let responses = submissions.join_all().await;
    let refused = ResultCode::NotLeader.number();
    let is_final = |response: &anyhow::Result<ControlResponse>| {
        let response = response.as_ref();
        response.is_ok_and(|response| response.is_committed() || response.code == refused)
    };
    let cut: Vec<_> = responses.iter().filter(|told| !is_final(told)).collect();
    assert!(cut.is_empty(), "{} of {SUBMISSIONS}: {cut:?}", cut.len());
    let process = scenario.fleet.process(Node::Control(0));
    let status = process.wait_for_exit(STOP_DEADLINE).unwrap();
    assert!(status.success(), "{status}");
}

fn document_of_other_service(number: usize) -> ServiceDocument {
    let mut document = service_document(10.0, 10).unwrap();
    document.service = format!("other-{number}").parse().unwrap();
    document.hosts = vec![format!("other-{number}.example").into()];
    document
}
