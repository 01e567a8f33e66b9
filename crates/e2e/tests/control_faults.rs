//! Tests with three control instances that are killed, suspended, isolated or replaced while operators
//! submit changes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use radishpaddle_e2e::control_client::{self, ControlResponse};
use radishpaddle_e2e::fleet::Node;
use radishpaddle_e2e::plan::service_document;
use radishpaddle_e2e::scenario::eventually;
use radishpaddle_e2e::{FleetPlan, Scenario, full_matrix_enabled};
use radishpaddle_model::ResultCode;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// Maximum time until a submission is decided: 3 s for the election of a leader, 5 s for the commit and
/// 3 s for the distribution to the entry instances.
const SUBMISSION_TIMEOUT: Duration = Duration::from_secs(11);

/// Maximum time until a replaced control instance is a voter: the repair delay of 5 s, then its join and
/// catch-up.
const REPAIR_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum time until a control instance that returns follows the leader.
const REJOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of changes in the test that kills leaders.
const CHANGE_COUNT: u64 = 100;

/// Seed of the random times at which leaders are killed.
const KILL_TIME_SEED: u64 = 20_261_204;

fn plan() -> FleetPlan {
    FleetPlan {
        controls: 3,
        backends: 2,
        ..FleetPlan::default()
    }
}

/// Starts a fleet and waits until its three control instances are voters.
async fn start() -> Scenario {
    let scenario = Scenario::start(plan()).await.unwrap();
    wait_voters(&scenario, &[0, 1, 2]).await;
    scenario
}

fn addresses(scenario: &Scenario) -> Vec<SocketAddr> {
    (0..3)
        .map(|control| scenario.fleet.operator_address(control))
        .collect()
}

/// Returns the index of the control instance that reports itself as the leader.
fn leader(scenario: &Scenario) -> Option<usize> {
    let is_leader = |control: &usize| {
        let address = scenario.fleet.operator_address(*control);
        control_client::status(address).is_ok_and(|status| status["role"] == "Leader")
    };
    tokio::task::block_in_place(|| (0..3).find(is_leader))
}

async fn wait_leader(scenario: &Scenario) -> usize {
    let waited = eventually("control leader elected", SUBMISSION_TIMEOUT, || {
        leader(scenario).is_some()
    });
    waited.await.unwrap();
    leader(scenario).expect("a control instance reports itself as the leader")
}

/// Waits until these instances are the only voters, with the replica ids that they report. As long as the
/// replica of a lost disk is a voter, the group cannot tolerate another loss.
async fn wait_voters(scenario: &Scenario, controls: &[usize]) {
    let are_voters = || {
        let pages: Vec<_> = controls
            .iter()
            .filter_map(|control| {
                let address = scenario.fleet.operator_address(*control);
                control_client::status(address).ok()
            })
            .collect();
        let Some(leader_page) = pages.iter().find(|page| page["role"] == "Leader") else {
            return false;
        };
        let members = leader_page["members"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let is_voter = |page: &serde_json::Value| {
            members
                .iter()
                .any(|member| member["replica"] == page["replica"] && member["role"] == "Voter")
        };
        let voters = members.iter().filter(|member| member["role"] == "Voter");
        voters.count() == controls.len()
            && pages.len() == controls.len()
            && pages.iter().all(is_voter)
    };
    let waited = eventually("voters are the expected instances", REPAIR_TIMEOUT, || {
        tokio::task::block_in_place(are_voters)
    });
    waited.await.unwrap();
}

/// Sends a submission to the control instances in turn, always with the same id, until one of them commits
/// or refuses it. Returns the response.
fn submit(controls: &[SocketAddr], id: &str, replaces: u64) -> ControlResponse {
    let document = service_document(2_000.0, 500).unwrap();
    let undecided_codes = [
        ResultCode::NotLeader,
        ResultCode::CommitUnknown,
        ResultCode::StorageFailed,
    ];
    let started = Instant::now();
    let mut last_outcome = String::new();
    while started.elapsed() < SUBMISSION_TIMEOUT {
        for control in controls {
            match control_client::put(*control, &document, id, replaces) {
                Ok(answer)
                    if undecided_codes
                        .iter()
                        .all(|code| code.number() != answer.code) =>
                {
                    return answer;
                }
                Ok(answer) => last_outcome = format!("{answer:?}"),
                Err(error) => last_outcome = error.to_string(),
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("{id} was not decided within {SUBMISSION_TIMEOUT:?}: {last_outcome}");
}

/// Submits a document that replaces the given revision, and returns the new revision.
fn submit_change(controls: &[SocketAddr], id: &str, replaces: u64) -> u64 {
    let answer = tokio::task::block_in_place(|| submit(controls, id, replaces));
    assert!(answer.is_committed(), "{id}: {answer:?}");
    let revision = answer
        .revision()
        .expect("a committed change has a revision");
    assert!(revision > replaces, "{id}: {revision} after {replaces}");
    revision
}

/// Reads the revision of the service from the first control instance that serves the read.
fn read_revision(controls: &[SocketAddr]) -> u64 {
    let started = Instant::now();
    tokio::task::block_in_place(|| {
        loop {
            let mut answers = controls
                .iter()
                .copied()
                .map(control_client::service_revision);
            if let Some(revision) = answers.find_map(Result::ok) {
                return revision;
            }
            assert!(
                started.elapsed() < SUBMISSION_TIMEOUT,
                "no control instance serves reads"
            );
        }
    })
}

/// Waits until every entry instance reports the revision or a later one.
async fn wait_in_force(scenario: &Scenario, revision: u64) {
    let everywhere = eventually("in force everywhere", Duration::from_secs(8), || {
        (0..scenario.fleet.plan().entries).all(|entry| {
            let status = scenario.status(entry).unwrap_or_default();
            status["revision"].as_u64() >= Some(revision)
        })
    });
    everywhere.await.unwrap();
}

/// Guards against two operators who both replace the same revision, and against a submission that is
/// applied twice because it is resent through another instance after the leader that accepted it was
/// killed.
#[tokio::test(flavor = "multi_thread")]
async fn racing_and_repeated_submissions() {
    let mut scenario = start().await;
    let controls = addresses(&scenario);
    let first = read_revision(&controls);
    let racers: Vec<_> = (0..6)
        .map(|racer| {
            let mut controls = controls.clone();
            controls.rotate_left(racer % 3);
            std::thread::spawn(move || submit(&controls, &format!("race-{racer}"), first))
        })
        .collect();
    let answers: Vec<ControlResponse> = tokio::task::block_in_place(|| {
        let joined = racers.into_iter().map(|racer| racer.join().unwrap());
        joined.collect()
    });
    let winners: Vec<_> = answers
        .iter()
        .enumerate()
        .filter(|(_, answer)| answer.is_committed())
        .collect();
    assert_eq!(winners.len(), 1, "{answers:?}");
    let (winner, answer) = winners[0];
    let revision = answer.revision().unwrap();
    assert_eq!(read_revision(&controls), revision);

    let leader = wait_leader(&scenario).await;
    scenario
        .fleet
        .process(Node::Control(leader))
        .kill()
        .unwrap();
    let id = format!("race-{winner}");
    let again = tokio::task::block_in_place(|| submit(&controls, &id, first));
    assert!(again.is_committed(), "{again:?}");
    assert_eq!(again.revision(), Some(revision), "{again:?}");
    assert_eq!(read_revision(&controls), revision);
    wait_in_force(&scenario, revision).await;
    scenario.assert_guarantees();
}

/// Guards against a change that is lost, applied twice or reverted because the leader is killed at a random
/// moment, and against state that is not recovered after a restart of all instances.
#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_at_any_moment_over_a_hundred_changes() {
    let kill_every = if full_matrix_enabled("a kill at each change") {
        1
    } else {
        10
    };
    let mut scenario = start().await;
    let controls = addresses(&scenario);
    let mut random = SmallRng::seed_from_u64(KILL_TIME_SEED);
    let mut revision = read_revision(&controls);
    for number in 0..CHANGE_COUNT {
        let id = format!("change-{number}");
        if number % kill_every > 0 {
            revision = submit_change(&controls, &id, revision);
            continue;
        }
        let leader = wait_leader(&scenario).await;
        let thread_controls = controls.clone();
        let thread = std::thread::spawn(move || submit(&thread_controls, &id, revision));
        let kill_delay = Duration::from_millis(random.random_range(0..60));
        tokio::time::sleep(kill_delay).await;
        scenario
            .fleet
            .process(Node::Control(leader))
            .kill()
            .unwrap();
        let answer = tokio::task::block_in_place(|| thread.join().unwrap());
        assert!(answer.is_committed(), "seed {KILL_TIME_SEED}: {answer:?}");
        let next = answer.revision().unwrap();
        assert!(
            next > revision,
            "seed {KILL_TIME_SEED}: {next} after {revision}"
        );
        revision = next;
        scenario.fleet.restart(Node::Control(leader)).unwrap();
        let node = Node::Control(leader);
        tokio::task::block_in_place(|| scenario.fleet.wait_node_ready(node, REJOIN_TIMEOUT))
            .unwrap();
    }
    assert_eq!(read_revision(&controls), revision);
    wait_in_force(&scenario, revision).await;

    for control in 0..3 {
        scenario
            .fleet
            .process(Node::Control(control))
            .kill()
            .unwrap();
    }
    for control in 0..3 {
        scenario.fleet.restart(Node::Control(control)).unwrap();
    }
    assert_eq!(read_revision(&controls), revision);
    submit_change(&controls, "after-restart", revision);
    scenario.assert_guarantees();
}

/// Guards against a deposed leader that serves stale reads or commits a change when it resumes after a long
/// suspension.
#[tokio::test(flavor = "multi_thread")]
async fn old_leader_returns_after_a_silence() {
    let suspension_s = if full_matrix_enabled("a silence of 60 s") {
        60
    } else {
        6
    };
    let mut scenario = start().await;
    let controls = addresses(&scenario);
    let first = read_revision(&controls);
    let old = wait_leader(&scenario).await;
    scenario
        .fleet
        .process(Node::Control(old))
        .suspend()
        .unwrap();
    let others: Vec<SocketAddr> = (0..3)
        .filter(|control| *control != old)
        .map(|control| controls[control])
        .collect();
    let mut revision = first;
    for number in 0..3 {
        revision = submit_change(&others, &format!("silent-{number}"), revision);
    }
    tokio::time::sleep(Duration::from_secs(suspension_s)).await;

    let old_address = controls[old];
    let stale_submission = std::thread::spawn(move || {
        control_client::put(
            old_address,
            &service_document(2_000.0, 500).unwrap(),
            "stale",
            first,
        )
    });
    scenario.fleet.process(Node::Control(old)).resume().unwrap();
    let deadline = Instant::now() + REJOIN_TIMEOUT;
    while Instant::now() < deadline {
        let read = tokio::task::block_in_place(|| control_client::service_revision(old_address));
        if let Ok(read) = read {
            assert_eq!(read, revision, "the deposed leader served a stale revision");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let stale_result = tokio::task::block_in_place(|| stale_submission.join().unwrap());
    if let Ok(answer) = stale_result {
        assert!(!answer.is_committed(), "{answer:?}");
    }
    assert_eq!(read_revision(&controls), revision);
    wait_in_force(&scenario, revision).await;
    scenario.assert_guarantees();
}

/// Guards against a leader that stays in office while it receives no messages, and so blocks every change
/// or serves stale reads.
#[tokio::test(flavor = "multi_thread")]
async fn leader_that_receives_nothing_is_replaced() {
    let scenario = start().await;
    let controls = addresses(&scenario);
    let mut revision = read_revision(&controls);
    let old = wait_leader(&scenario).await;
    scenario.fleet.stall_incoming(Node::Control(old));
    for number in 0..3 {
        revision = submit_change(&controls, &format!("one-way-{number}"), revision);
        let read = tokio::task::block_in_place(|| control_client::service_revision(controls[old]));
        if let Ok(read) = read {
            assert_eq!(
                read, revision,
                "the isolated leader served a stale revision"
            );
        }
    }
    scenario.fleet.heal();
    let caught_up = eventually("the deposed leader catches up", REJOIN_TIMEOUT, || {
        let status = tokio::task::block_in_place(|| control_client::status(controls[old]));
        status.is_ok_and(|status| status["revision"].as_u64() >= Some(revision))
    });
    caught_up.await.unwrap();
    assert_eq!(read_revision(&controls), revision);
    wait_in_force(&scenario, revision).await;
    scenario.assert_guarantees();
}

/// Guards against a control instance with an empty disk that votes before it has caught up, so that the
/// next loss takes acknowledged changes with it or leaves the group without a majority.
#[tokio::test(flavor = "multi_thread")]
async fn empty_disk_replaced_and_a_second_loss_follows() {
    let mut scenario = start().await;
    let controls = addresses(&scenario);
    let mut revision = read_revision(&controls);
    for number in 0..10 {
        revision = submit_change(&controls, &format!("before-{number}"), revision);
    }
    let first = (wait_leader(&scenario).await + 1) % 3;
    scenario.fleet.replace_disk(first).unwrap();
    revision = submit_change(&controls, "during-repair", revision);
    wait_voters(&scenario, &[0, 1, 2]).await;

    let second = wait_leader(&scenario).await;
    scenario
        .fleet
        .process(Node::Control(second))
        .kill()
        .unwrap();
    assert_eq!(read_revision(&controls), revision);
    revision = submit_change(&controls, "after-second-loss", revision);
    scenario.fleet.replace_disk(second).unwrap();
    wait_voters(&scenario, &[0, 1, 2]).await;
    assert_eq!(read_revision(&controls), revision);
    wait_in_force(&scenario, revision).await;
    scenario.assert_guarantees();
}
