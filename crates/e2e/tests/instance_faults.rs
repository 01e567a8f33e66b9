//! Tests with entry instances that are killed, restarted, suspended or lost one after the other, and with
//! control instances that are down.

use std::sync::Arc;
use std::time::{Duration, Instant};

use radishpaddle_e2e::fleet::Node;
use radishpaddle_e2e::scenario::{action, eventually, is_success, lookup, resend_of};
use radishpaddle_e2e::{FleetPlan, Scenario};
use radishpaddle_testkit::backend::FaultPlan;
use radishpaddle_testkit::caller::{AttemptResult, Caller};

/// Maximum time until a restarted entry instance answers. The instance may have been the witness leader: a
/// new leader is elected within 3 s and treats allocations that were not transferred as expired after 10 s
/// (`docs/design.md`, section 4.2). A restarted instance holds no allocation and may have to wait until
/// then. The remaining 2 s are for its own recovery.
const RESTART_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum time until a faulty backend server is ejected after the loss of the witness leader: at most 3 s
/// without verdicts (`docs/design.md`, section 5) and 5 s for the ejection itself (section 1.2).
const FAILOVER_AND_EJECTION_TIMEOUT: Duration = Duration::from_secs(8);

/// Time until the latency of a new backend server counts as evidence. It is ignored in the first 10 s after
/// the start, because the caches of the server are cold.
const BACKEND_WARM_UP: Duration = Duration::from_secs(11);

/// Maximum time until the surviving instances admit requests again after the loss of an instance: 3 s for
/// the election of a leader and 10 s until allocations that were not transferred have expired
/// (`docs/design.md`, section 4.2).
const SURVIVOR_TIMEOUT: Duration = Duration::from_secs(13);

fn delay_plan(extra_delay_ms: u64) -> FaultPlan {
    FaultPlan {
        extra_delay_ms,
        ..FaultPlan::default()
    }
}

/// Starts concurrent actions with these operation ids. The tasks return their outcomes.
fn start_actions(caller: &Arc<Caller>, ids: &[String]) -> tokio::task::JoinSet<AttemptResult> {
    let mut tasks = tokio::task::JoinSet::new();
    for id in ids {
        let (caller, operation) = (Arc::clone(caller), action(id));
        tasks.spawn(async move { caller.perform(&operation).await });
    }
    tasks
}

/// Guards against an action that runs twice because the entry instance that dispatched it is killed before
/// the response and the caller resends it through another instance, and against a recorded answer that is
/// lost with the instance.
#[tokio::test(flavor = "multi_thread")]
async fn killed_mid_action_and_resent_through_another_instance() {
    let mut scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    let finished = action("kill-after");
    let told = scenario.caller(&[0], 1).perform(&finished).await;
    assert!(is_success(&told), "{told:?}");
    scenario.set_faults_on_all_backends(&delay_plan(800));
    let ids: Vec<String> = (0..6)
        .map(|number| format!("kill-before-{number}"))
        .collect();
    let running = start_actions(&Arc::new(scenario.caller(&[0], 1)), &ids);
    let started = eventually("all actions have started", Duration::from_secs(2), || {
        scenario.executions("kill-before") == ids.len()
    });
    started.await.unwrap();

    scenario.fleet.process(Node::Entry(0)).kill().unwrap();
    let told = running.join_all().await;
    assert!(!told.iter().any(is_success), "{told:?}");
    scenario.set_faults_on_all_backends(&FaultPlan::default());
    let other = scenario.caller(&[1], 1);
    for id in &ids {
        let told = other.perform(&resend_of(&action(id))).await;
        assert!(
            matches!(told, AttemptResult::OutcomeUnknown { .. }),
            "{id}: {told:?}"
        );
    }
    let told = other.perform(&resend_of(&finished)).await;
    assert!(
        matches!(
            told,
            AttemptResult::Answer {
                code: Some(1001),
                ..
            }
        ),
        "{told:?}"
    );

    scenario.fleet.restart(Node::Entry(0)).unwrap();
    scenario
        .wait_entry_answers(0, RESTART_TIMEOUT)
        .await
        .unwrap();
    for id in &ids {
        let told = scenario
            .caller(&[0], 1)
            .perform(&resend_of(&action(id)))
            .await;
        assert!(!is_success(&told), "{id}: {told:?}");
    }
    assert_eq!(scenario.executions("kill-before"), ids.len());
    scenario.assert_guarantees();
}

/// Guards against a slow backend server that stays in rotation because the witness leader is killed before
/// it ejects the server, and against a new leader that ejects further servers below the floor.
#[tokio::test(flavor = "multi_thread")]
async fn witness_leader_killed_while_a_server_is_slow() {
    let plan = FleetPlan {
        service_time_ms: 40.0,
        organisations: 8,
        ..FleetPlan::default()
    };
    let mut scenario = Scenario::start(plan).await.unwrap();
    let traffic = scenario.start_traffic(3, 40, 3).unwrap();
    tokio::time::sleep(BACKEND_WARM_UP).await;
    let leader = scenario
        .witness_leader(0)
        .expect("entry-1 reports a witness leader");
    let survivor = (leader + 1) % 3;
    scenario.backend(0).set_faults(FaultPlan {
        slow_factor: 10.0,
        ..FaultPlan::default()
    });
    scenario.fleet.process(Node::Entry(leader)).kill().unwrap();
    let ejected = || scenario.is_out_of_rotation(survivor, 0);
    let taken = eventually(
        "ejected by the next leader",
        FAILOVER_AND_EJECTION_TIMEOUT,
        ejected,
    )
    .await;
    eprintln!("time until the slow server was ejected after the loss of the leader: {taken:?}");
    taken.unwrap_or_else(|error| panic!("{error}\n{}", scenario.diagnostics("probe")));
    scenario.fleet.restart(Node::Entry(leader)).unwrap();
    scenario
        .wait_entry_answers(leader, RESTART_TIMEOUT)
        .await
        .unwrap();
    traffic.stop().await;

    scenario.assert_guarantees();
}

/// Guards against a fleet that stops serving while the control instance is down, and against an entry
/// instance that needs a control instance to become fresh after a restart.
#[tokio::test(flavor = "multi_thread")]
async fn control_away_while_traffic_goes_on_and_an_entry_restarts() {
    let mut scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    let traffic = scenario.start_traffic(3, 20, 3).unwrap();
    scenario.fleet.process(Node::Control(0)).kill().unwrap();
    tokio::time::sleep(Duration::from_secs(5)).await;
    scenario
        .wait_all_entries_answer(Duration::from_secs(1))
        .await
        .unwrap();
    let before = scenario.status(1).unwrap()["revision"].clone();

    scenario.fleet.process(Node::Entry(1)).kill().unwrap();
    scenario.fleet.restart(Node::Entry(1)).unwrap();
    let taken = scenario.wait_entry_answers(1, RESTART_TIMEOUT).await;
    eprintln!("time until the entry instance answered after a restart without control: {taken:?}");
    taken.unwrap();
    assert_eq!(scenario.status(1).unwrap()["revision"], before);
    traffic.stop().await;

    scenario.fleet.restart(Node::Control(0)).unwrap();
    let operator = scenario.operator.clone();
    let given = tokio::task::spawn_blocking(move || operator.create_key("north", "north-2"));
    given.await.unwrap().unwrap();
    scenario.assert_guarantees();
}

/// Guards against a fleet that stops serving when a second witness is lost right after the first one was
/// restarted, and against idempotency claims that are lost in this sequence.
#[tokio::test(flavor = "multi_thread")]
async fn second_witness_lost_right_after_the_first_returned() {
    // Five witnesses tolerate the loss of any two (`docs/design.md`, section 4.1). The first one may not
    // have recovered its state in memory when the second one is lost.
    let plan = FleetPlan {
        entries: 5,
        ..FleetPlan::default()
    };
    let mut scenario = Scenario::start(plan).await.unwrap();
    let finished = action("second-loss");
    let told = scenario.caller(&[2], 1).perform(&finished).await;
    assert!(is_success(&told), "{told:?}");
    scenario.fleet.process(Node::Entry(0)).kill().unwrap();
    scenario.fleet.restart(Node::Entry(0)).unwrap();
    scenario
        .wait_entry_answers(0, RESTART_TIMEOUT)
        .await
        .unwrap();

    scenario.fleet.process(Node::Entry(1)).kill().unwrap();
    for entry in [0, 2, 3, 4] {
        scenario
            .wait_entry_answers(entry, SURVIVOR_TIMEOUT)
            .await
            .unwrap();
        let code = scenario
            .resend_until_answered(entry, &finished, SURVIVOR_TIMEOUT)
            .await;
        assert_eq!(code.unwrap(), Some(1001), "the recorded answer was lost");
    }
    let new = action("second-new");
    let code = scenario
        .resend_until_answered(0, &new, SURVIVOR_TIMEOUT)
        .await;
    assert_eq!(code.unwrap(), Some(1000));
    scenario.fleet.restart(Node::Entry(1)).unwrap();
    scenario
        .wait_entry_answers(1, RESTART_TIMEOUT)
        .await
        .unwrap();
    let diagnostics = scenario.diagnostics("second-loss");
    assert_eq!(scenario.executions("second-loss"), 1, "{diagnostics}");
    scenario.assert_guarantees();
}

/// Guards against a suspended entry instance that serves with stale configuration or repeats requests after
/// it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn suspended_entry_refuses_until_it_is_fresh() {
    let mut scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    scenario.fleet.process(Node::Entry(0)).suspend().unwrap();
    // Longer than the freshness limit of 4 s.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let caller = scenario.caller(&[1], 1);
    let told = caller.perform(&lookup("while-suspended")).await;
    assert!(is_success(&told), "{told:?}");
    let operator = scenario.operator.clone();
    let withdrawn = tokio::task::spawn_blocking(move || operator.withdraw_key("north-1"));
    withdrawn.await.unwrap().unwrap();
    let withdrawn_at = Instant::now();
    scenario.record_withdrawal(0);
    tokio::time::sleep(Duration::from_millis(4_100)).await;
    scenario.fleet.process(Node::Entry(0)).resume().unwrap();
    let caller = scenario.caller(&[0], 1);
    for number in 0..20 {
        let told = caller.perform(&lookup(&format!("resumed-{number}"))).await;
        assert!(!is_success(&told), "{:?}: {told:?}", withdrawn_at.elapsed());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    scenario.assert_guarantees();
}
