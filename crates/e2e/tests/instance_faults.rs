//! Entry instances that are killed, restarted or lost one after the other, and control that is away.

use std::sync::Arc;
use std::time::{Duration, Instant};

use radishpaddle_e2e::fleet::Node;
use radishpaddle_e2e::scenario::{action, again, eventually, is_answer, lookup};
use radishpaddle_e2e::{FleetPlan, Scenario};
use radishpaddle_testkit::backend::FaultPlan;
use radishpaddle_testkit::caller::{Caller, Told};

/// The instance may have been the witness leader: a new one is there within 3 s and counts the
/// allocations that were not carried over as expired after 10 s (design 4.2). An instance that
/// restarted holds none and may have to wait for them; 2 s are for its own recovery.
const RESTART_LIMIT: Duration = Duration::from_secs(15);

/// No verdicts for at most 3 s after the loss of the witness leader (design 5), and 5 s for the
/// ejection itself (design 1.2).
const LEADER_AND_EJECTION_LIMIT: Duration = Duration::from_secs(8);

/// The latency of a backend server is no evidence in the first 10 s after its start, because of its cold
/// caches.
const WARM_UP: Duration = Duration::from_secs(11);

/// A survivor of a lost instance admits again when the next leader is there and allocations that were
/// not carried over have expired: 3 s and 10 s (design 4.2).
const SURVIVOR_LIMIT: Duration = Duration::from_secs(13);

fn delayed(extra_delay_ms: u64) -> FaultPlan {
    FaultPlan {
        extra_delay_ms,
        ..FaultPlan::default()
    }
}

/// Actions that run at the same time; the handles give what they were told.
fn start_actions(caller: &Arc<Caller>, ids: &[String]) -> tokio::task::JoinSet<Told> {
    let mut tasks = tokio::task::JoinSet::new();
    for id in ids {
        let (caller, operation) = (Arc::clone(caller), action(id));
        tasks.spawn(async move { caller.perform(&operation).await });
    }
    tasks
}

/// Guards against an action that runs again when the instance that dispatched it is killed before the
/// response and the caller sends it again through another one, and against a recorded answer that is
/// lost with the instance.
#[tokio::test(flavor = "multi_thread")]
async fn killed_mid_action_and_resent_through_another_instance() {
    let mut scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    let finished = action("kill-after");
    let told = scenario.caller(&[0], 1).perform(&finished).await;
    assert!(is_answer(&told), "{told:?}");
    scenario.set_all_faults(&delayed(800));
    let ids: Vec<String> = (0..6)
        .map(|number| format!("kill-before-{number}"))
        .collect();
    let running = start_actions(&Arc::new(scenario.caller(&[0], 1)), &ids);
    let started = eventually("the actions run", Duration::from_secs(2), || {
        scenario.executions("kill-before") == ids.len()
    });
    started.await.unwrap();

    scenario.fleet.process(Node::Entry(0)).kill().unwrap();
    let told = running.join_all().await;
    assert!(!told.iter().any(is_answer), "{told:?}");
    scenario.set_all_faults(&FaultPlan::default());
    let other = scenario.caller(&[1], 1);
    for id in &ids {
        let told = other.perform(&again(&action(id))).await;
        assert!(
            matches!(told, Told::OutcomeUnknown { .. }),
            "{id}: {told:?}"
        );
    }
    let told = other.perform(&again(&finished)).await;
    assert!(
        matches!(
            told,
            Told::Answer {
                code: Some(1001),
                ..
            }
        ),
        "{told:?}"
    );

    scenario.fleet.restart(Node::Entry(0)).unwrap();
    scenario.wait_answers(0, RESTART_LIMIT).await.unwrap();
    for id in &ids {
        let told = scenario.caller(&[0], 1).perform(&again(&action(id))).await;
        assert!(!is_answer(&told), "{id}: {told:?}");
    }
    assert_eq!(scenario.executions("kill-before"), ids.len());
    scenario.assert_guarantees();
}

/// Guards against a slow backend server that stays in rotation because the witness leader that would
/// eject it was killed, and against a second ejection below the floor by its successor.
#[tokio::test(flavor = "multi_thread")]
async fn witness_leader_killed_while_a_server_is_slow() {
    let plan = FleetPlan {
        service_time_ms: 40.0,
        organisations: 8,
        ..FleetPlan::default()
    };
    let mut scenario = Scenario::start(plan).await.unwrap();
    let traffic = scenario.traffic(3, 40, 3).unwrap();
    tokio::time::sleep(WARM_UP).await;
    let leader = scenario.witness_leader(0).expect("a leader is known");
    let survivor = (leader + 1) % 3;
    scenario.backend(0).set_faults(FaultPlan {
        slow_factor: 10.0,
        ..FaultPlan::default()
    });
    scenario.fleet.process(Node::Entry(leader)).kill().unwrap();
    let ejected = || scenario.is_out(survivor, 0);
    let taken = eventually(
        "ejected by the next leader",
        LEADER_AND_EJECTION_LIMIT,
        ejected,
    )
    .await;
    eprintln!("leader killed, slow server ejected: {taken:?}");
    taken.unwrap_or_else(|error| panic!("{error}\n{}", scenario.trace("probe")));
    scenario.fleet.restart(Node::Entry(leader)).unwrap();
    scenario.wait_answers(leader, RESTART_LIMIT).await.unwrap();
    traffic.stop().await;

    scenario.assert_guarantees();
}

/// Guards against a fleet that stops with control, and an entry instance that needs control to become
/// fresh after a restart.
#[tokio::test(flavor = "multi_thread")]
async fn control_away_while_traffic_goes_on_and_an_entry_restarts() {
    let mut scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    let traffic = scenario.traffic(3, 20, 3).unwrap();
    scenario.fleet.process(Node::Control(0)).kill().unwrap();
    tokio::time::sleep(Duration::from_secs(5)).await;
    scenario
        .wait_all_answer(Duration::from_secs(1))
        .await
        .unwrap();
    let before = scenario.status(1).unwrap()["revision"].clone();

    scenario.fleet.process(Node::Entry(1)).kill().unwrap();
    scenario.fleet.restart(Node::Entry(1)).unwrap();
    let taken = scenario.wait_answers(1, RESTART_LIMIT).await;
    eprintln!("restart without control: {taken:?}");
    taken.unwrap();
    assert_eq!(scenario.status(1).unwrap()["revision"], before);
    traffic.stop().await;

    scenario.fleet.restart(Node::Control(0)).unwrap();
    let operator = scenario.operator.clone();
    let given = tokio::task::spawn_blocking(move || operator.give("north", "north-2"));
    given.await.unwrap().unwrap();
    scenario.assert_guarantees();
}

/// Guards against a fleet that stops when a second witness is lost right after the first one was
/// restarted, and against claims that are forgotten on the way.
#[tokio::test(flavor = "multi_thread")]
async fn second_witness_lost_right_after_the_first_returned() {
    // Five witnesses survive the loss of any two (design 4.1); the first one may not have recovered its
    // memory when the second one is lost.
    let plan = FleetPlan {
        entries: 5,
        ..FleetPlan::default()
    };
    let mut scenario = Scenario::start(plan).await.unwrap();
    let finished = action("second-loss");
    let told = scenario.caller(&[2], 1).perform(&finished).await;
    assert!(is_answer(&told), "{told:?}");
    scenario.fleet.process(Node::Entry(0)).kill().unwrap();
    scenario.fleet.restart(Node::Entry(0)).unwrap();
    scenario.wait_answers(0, RESTART_LIMIT).await.unwrap();

    scenario.fleet.process(Node::Entry(1)).kill().unwrap();
    for entry in [0, 2, 3, 4] {
        scenario.wait_answers(entry, SURVIVOR_LIMIT).await.unwrap();
        let code = scenario.wait_action(entry, &finished, SURVIVOR_LIMIT).await;
        assert_eq!(code.unwrap(), Some(1001), "the recorded answer is lost");
    }
    let new = action("second-new");
    let code = scenario.wait_action(0, &new, SURVIVOR_LIMIT).await;
    assert_eq!(code.unwrap(), Some(1000));
    scenario.fleet.restart(Node::Entry(1)).unwrap();
    scenario.wait_answers(1, RESTART_LIMIT).await.unwrap();
    let trace = scenario.trace("second-loss");
    assert_eq!(scenario.executions("second-loss"), 1, "{trace}");
    scenario.assert_guarantees();
}

/// Guards against a suspended entry instance that answers with old configuration or repeats work when
/// it continues.
#[tokio::test(flavor = "multi_thread")]
async fn suspended_entry_refuses_until_it_is_fresh() {
    let mut scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    scenario.fleet.process(Node::Entry(0)).suspend().unwrap();
    // Longer than the freshness limit of 4 s.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let caller = scenario.caller(&[1], 1);
    let told = caller.perform(&lookup("while-suspended")).await;
    assert!(is_answer(&told), "{told:?}");
    let operator = scenario.operator.clone();
    let withdrawn = tokio::task::spawn_blocking(move || operator.withdraw("north-1"));
    withdrawn.await.unwrap().unwrap();
    let withdrawn_at = Instant::now();
    scenario.withdrawn(0);
    tokio::time::sleep(Duration::from_millis(4_100)).await;
    scenario.fleet.process(Node::Entry(0)).resume().unwrap();
    let caller = scenario.caller(&[0], 1);
    for number in 0..20 {
        let told = caller.perform(&lookup(&format!("resumed-{number}"))).await;
        assert!(!is_answer(&told), "{:?}: {told:?}", withdrawn_at.elapsed());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    scenario.assert_guarantees();
}
