//! Three control instances that are killed, suspended, cut off or replaced while operators submit.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use radishpaddle_e2e::control_client::{self, ControlAnswer};
use radishpaddle_e2e::fleet::Node;
use radishpaddle_e2e::plan::document;
use radishpaddle_e2e::scenario::eventually;
use radishpaddle_e2e::{FleetPlan, Scenario, full_matrix};
use radishpaddle_model::ResultCode;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

/// A submission gets its answer in this time, a change of the leader (3 s), a commit (5 s) and the
/// spread (3 s) included.
const SUBMIT_LIMIT: Duration = Duration::from_secs(11);

/// A replacement is a voter after the repair time of 5 s, its join and the catch-up.
const REPAIR_LIMIT: Duration = Duration::from_secs(20);

/// A control instance that comes back follows the leader in this time.
const REJOIN_LIMIT: Duration = Duration::from_secs(5);

/// Changes of the test with killed leaders.
const CHANGES: u64 = 100;

/// Seed of the times at which leaders are killed.
const SEED: u64 = 20_261_204;

fn plan() -> FleetPlan {
    FleetPlan {
        controls: 3,
        backends: 2,
        ..FleetPlan::default()
    }
}

/// A fleet whose three control instances are voters.
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

fn leader(scenario: &Scenario) -> Option<usize> {
    let leads = |control: &usize| {
        let address = scenario.fleet.operator_address(*control);
        control_client::status(address).is_ok_and(|status| status["role"] == "Leader")
    };
    tokio::task::block_in_place(|| (0..3).find(leads))
}

async fn wait_leader(scenario: &Scenario) -> usize {
    let waited = eventually("a leader", SUBMIT_LIMIT, || leader(scenario).is_some());
    waited.await.unwrap();
    leader(scenario).expect("a leader was just seen")
}

/// Waits until these instances are the only voters, by the replica ids that run now. A lost disk that
/// still counts as a voter would leave no room for another loss.
async fn wait_voters(scenario: &Scenario, controls: &[usize]) {
    let are_voters = || {
        let pages: Vec<_> = controls
            .iter()
            .filter_map(|control| {
                let address = scenario.fleet.operator_address(*control);
                control_client::status(address).ok()
            })
            .collect();
        let Some(leading) = pages.iter().find(|page| page["role"] == "Leader") else {
            return false;
        };
        let members = leading["members"].as_array().cloned().unwrap_or_default();
        let voter = |page: &serde_json::Value| {
            members
                .iter()
                .any(|member| member["replica"] == page["replica"] && member["role"] == "Voter")
        };
        let voters = members.iter().filter(|member| member["role"] == "Voter");
        voters.count() == controls.len() && pages.len() == controls.len() && pages.iter().all(voter)
    };
    let waited = eventually("voters", REPAIR_LIMIT, || {
        tokio::task::block_in_place(are_voters)
    });
    waited.await.unwrap();
}

/// Sends a submission to the instances in turn, always with the same id, until one decides it.
fn submit(controls: &[SocketAddr], id: &str, replaces: u64) -> ControlAnswer {
    let document = document(2_000.0, 500).unwrap();
    let undecided = [
        ResultCode::NotLeader,
        ResultCode::CommitUnknown,
        ResultCode::StorageFailed,
    ];
    let started = Instant::now();
    let mut last = String::new();
    while started.elapsed() < SUBMIT_LIMIT {
        for control in controls {
            match control_client::put(*control, &document, id, replaces) {
                Ok(answer) if undecided.iter().all(|code| code.number() != answer.code) => {
                    return answer;
                }
                Ok(answer) => last = format!("{answer:?}"),
                Err(error) => last = error.to_string(),
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("{id} was not decided within {SUBMIT_LIMIT:?}: {last}");
}

/// Submits a change that replaces the given revision and returns the new one.
fn change(controls: &[SocketAddr], id: &str, replaces: u64) -> u64 {
    let answer = tokio::task::block_in_place(|| submit(controls, id, replaces));
    assert!(answer.is_committed(), "{id}: {answer:?}");
    let revision = answer
        .revision()
        .expect("a committed change has a revision");
    assert!(revision > replaces, "{id}: {revision} after {replaces}");
    revision
}

/// Revision of the service as the leader reads it.
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
            assert!(started.elapsed() < SUBMIT_LIMIT, "nobody answers a read");
        }
    })
}

/// Waits until every entry instance serves with the revision.
async fn wait_in_force(scenario: &Scenario, revision: u64) {
    let everywhere = eventually("in force everywhere", Duration::from_secs(8), || {
        (0..scenario.fleet.plan().entries).all(|entry| {
            let status = scenario.status(entry).unwrap_or_default();
            status["revision"].as_u64() >= Some(revision)
        })
    });
    everywhere.await.unwrap();
}

/// Guards against two operators who both replace the same revision, and a submission that is carried
/// out again when it is sent again after a lost response, through another instance and after the
/// leader that took it was killed.
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
    let answers: Vec<ControlAnswer> = tokio::task::block_in_place(|| {
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

/// Guards against a change that is lost, carried out twice or reverted when the leader is killed at
/// any moment, and against a state that a restart of every instance does not bring back.
#[tokio::test(flavor = "multi_thread")]
async fn leader_killed_at_any_moment_over_a_hundred_changes() {
    let every = if full_matrix("a kill at each change") {
        1
    } else {
        10
    };
    let mut scenario = start().await;
    let controls = addresses(&scenario);
    let mut random = SmallRng::seed_from_u64(SEED);
    let mut revision = read_revision(&controls);
    for number in 0..CHANGES {
        let id = format!("change-{number}");
        if number % every > 0 {
            revision = change(&controls, &id, revision);
            continue;
        }
        let leader = wait_leader(&scenario).await;
        let submitting = controls.clone();
        let thread = std::thread::spawn(move || submit(&submitting, &id, revision));
        let wait = Duration::from_millis(random.random_range(0..60));
        tokio::time::sleep(wait).await;
        scenario
            .fleet
            .process(Node::Control(leader))
            .kill()
            .unwrap();
        let answer = tokio::task::block_in_place(|| thread.join().unwrap());
        assert!(answer.is_committed(), "seed {SEED}: {answer:?}");
        let next = answer.revision().unwrap();
        assert!(next > revision, "seed {SEED}: {next} after {revision}");
        revision = next;
        scenario.fleet.restart(Node::Control(leader)).unwrap();
        let node = Node::Control(leader);
        tokio::task::block_in_place(|| scenario.fleet.wait_node(node, REJOIN_LIMIT)).unwrap();
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
    change(&controls, "after-restart", revision);
    scenario.assert_guarantees();
}

/// Guards against an old leader that answers or commits when it returns after a long silence.
#[tokio::test(flavor = "multi_thread")]
async fn old_leader_returns_after_a_silence() {
    let silence = if full_matrix("a silence of 60 s") {
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
        revision = change(&others, &format!("silent-{number}"), revision);
    }
    tokio::time::sleep(Duration::from_secs(silence)).await;

    let returned = controls[old];
    let stale = std::thread::spawn(move || {
        control_client::put(returned, &document(2_000.0, 500).unwrap(), "stale", first)
    });
    scenario.fleet.process(Node::Control(old)).resume().unwrap();
    let until = Instant::now() + REJOIN_LIMIT;
    while Instant::now() < until {
        let read = tokio::task::block_in_place(|| control_client::service_revision(returned));
        if let Ok(read) = read {
            assert_eq!(read, revision, "the old leader answered with an old state");
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let stale = tokio::task::block_in_place(|| stale.join().unwrap());
    if let Ok(answer) = stale {
        assert!(!answer.is_committed(), "{answer:?}");
    }
    assert_eq!(read_revision(&controls), revision);
    wait_in_force(&scenario, revision).await;
    scenario.assert_guarantees();
}

/// Guards against a leader that goes on while it receives nothing, and blocks every change or answers
/// with an old state.
#[tokio::test(flavor = "multi_thread")]
async fn leader_that_receives_nothing_is_replaced() {
    let scenario = start().await;
    let controls = addresses(&scenario);
    let mut revision = read_revision(&controls);
    let old = wait_leader(&scenario).await;
    scenario.fleet.isolate_incoming(Node::Control(old));
    for number in 0..3 {
        revision = change(&controls, &format!("one-way-{number}"), revision);
        let read = tokio::task::block_in_place(|| control_client::service_revision(controls[old]));
        if let Ok(read) = read {
            assert_eq!(read, revision, "the cut leader answered with an old state");
        }
    }
    scenario.fleet.heal();
    let caught_up = eventually("the old leader catches up", REJOIN_LIMIT, || {
        let status = tokio::task::block_in_place(|| control_client::status(controls[old]));
        status.is_ok_and(|status| status["revision"].as_u64() >= Some(revision))
    });
    caught_up.await.unwrap();
    assert_eq!(read_revision(&controls), revision);
    wait_in_force(&scenario, revision).await;
    scenario.assert_guarantees();
}

/// Guards against a replacement with an empty disk that votes before it has caught up, so that the
/// next loss takes acknowledged changes with it or stops the group.
#[tokio::test(flavor = "multi_thread")]
async fn empty_disk_replaced_and_a_second_loss_follows() {
    let mut scenario = start().await;
    let controls = addresses(&scenario);
    let mut revision = read_revision(&controls);
    for number in 0..10 {
        revision = change(&controls, &format!("before-{number}"), revision);
    }
    let lost = (wait_leader(&scenario).await + 1) % 3;
    scenario.fleet.replace_disk(lost).unwrap();
    revision = change(&controls, "during-repair", revision);
    wait_voters(&scenario, &[0, 1, 2]).await;

    let second = wait_leader(&scenario).await;
    scenario
        .fleet
        .process(Node::Control(second))
        .kill()
        .unwrap();
    assert_eq!(read_revision(&controls), revision);
    revision = change(&controls, "after-second-loss", revision);
    scenario.fleet.replace_disk(second).unwrap();
    wait_voters(&scenario, &[0, 1, 2]).await;
    assert_eq!(read_revision(&controls), revision);
    wait_in_force(&scenario, revision).await;
    scenario.assert_guarantees();
}
