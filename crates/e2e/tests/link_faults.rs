//! Tests with one-way loss, cut connections and isolated availability zones on the links between processes.

use std::sync::Arc;
use std::time::Duration;

use radishpaddle_e2e::control_client;
use radishpaddle_e2e::fleet::Node;
use radishpaddle_e2e::plan::service_document;
use radishpaddle_e2e::scenario::{action, eventually, is_success, lookup, unique_id};
use radishpaddle_e2e::{FleetPlan, Scenario};
use radishpaddle_model::ResultCode;
use radishpaddle_testkit::backend::FaultPlan;
use radishpaddle_testkit::caller::{AttemptResult, Operation};
use radishpaddle_testkit::fault_proxy::{Cut, DirectionPlan, Loss, ProxyPlan};

/// Maximum time until an isolated entry instance reports that it is not fresh: the freshness limit of 4 s
/// (`docs/design.md`, section 4.1) and one period of the status page.
const STALE_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Maximum time until an entry instance is fresh and answers after its links heal. It first opens broken
/// connections again, and a poll is then answered within its period of 500 ms and its timeout of 1 s.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time until a change is in force at every entry instance (`docs/design.md`, section 1.4).
const DISTRIBUTION_TIMEOUT: Duration = Duration::from_secs(8);

/// Result code of an instance that is not fresh.
const NOT_FRESH: u16 = 2003;

fn with_loss(loss: Loss) -> DirectionPlan {
    DirectionPlan {
        loss,
        ..DirectionPlan::default()
    }
}

/// Resets the connection after this number of bytes.
fn reset_after(bytes: u64) -> DirectionPlan {
    DirectionPlan {
        cut_after_bytes: Some(bytes),
        cut: Cut::Reset,
        ..DirectionPlan::default()
    }
}

fn to_target(direction: DirectionPlan) -> ProxyPlan {
    ProxyPlan {
        to_target: direction,
        ..ProxyPlan::default()
    }
}

fn to_client(direction: DirectionPlan) -> ProxyPlan {
    ProxyPlan {
        to_client: direction,
        ..ProxyPlan::default()
    }
}

/// Performs 4 actions and 8 lookups concurrently, with a deadline of 1 s, and returns their outcomes.
async fn perform_mixed_operations(
    scenario: &Scenario,
    cell: &str,
    entries: &[usize],
    attempts: u32,
) -> Vec<AttemptResult> {
    let caller = Arc::new(scenario.caller(entries, attempts));
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..12 {
        let id = unique_id(cell);
        let operation = if number % 3 == 0 {
            action(&id)
        } else {
            lookup(&id)
        };
        let operation = Operation {
            deadline_ms: 1_000,
            ..operation
        };
        let caller = Arc::clone(&caller);
        tasks.spawn(async move { caller.perform(&operation).await });
    }
    tasks.join_all().await
}

/// Guards against an action that runs twice, a false outcome "not run", and a truncated response that is
/// passed on as complete, when the links to all backend servers lose or cut a request at each of its steps.
#[tokio::test(flavor = "multi_thread")]
async fn backend_links_lose_and_cut_at_each_step() {
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    let refuse = ProxyPlan {
        refuse_connections: true,
        ..ProxyPlan::default()
    };
    let cells = [
        ("backend-refuses", refuse),
        ("entry-to-backend-lost", to_target(with_loss(Loss::Discard))),
        ("entry-to-backend-late", to_target(with_loss(Loss::Stall))),
        ("backend-to-entry-lost", to_client(with_loss(Loss::Discard))),
        ("backend-to-entry-late", to_client(with_loss(Loss::Stall))),
        ("cut-after-first-byte", to_target(reset_after(20))),
        ("cut-during-response", to_client(reset_after(150))),
    ];
    for (cell, plan) in cells {
        for proxy in scenario.fleet.backend_proxies() {
            proxy.set_plan(plan.clone());
            proxy.reset_connections();
        }
        let told = perform_mixed_operations(&scenario, cell, &[0, 1, 2], 2).await;
        scenario.fleet.heal();
        assert!(!told.iter().any(is_success), "{cell}: {told:?}");
        let taken = scenario.wait_all_entries_answer(RECOVERY_TIMEOUT).await;
        taken.unwrap_or_else(|error| panic!("{cell}: {error}"));
    }

    scenario.assert_guarantees();
}

/// Guards against an action that runs twice because its connection is reset while the backend server
/// processes it.
#[tokio::test(flavor = "multi_thread")]
async fn reset_before_the_response_never_repeats_an_action() {
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    scenario.set_faults_on_all_backends(&FaultPlan {
        extra_delay_ms: 300,
        ..FaultPlan::default()
    });
    let running = perform_mixed_operations(&scenario, "reset", &[0, 1, 2], 3);
    let reset = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        for proxy in scenario.fleet.backend_proxies() {
            proxy.reset_connections();
        }
    };
    tokio::join!(running, reset);
    scenario.set_faults_on_all_backends(&FaultPlan::default());

    scenario
        .wait_all_entries_answer(RECOVERY_TIMEOUT)
        .await
        .unwrap();
    scenario.assert_guarantees();
}

/// Guards against an action that runs twice because its request or response is lost between the caller and
/// an entry instance, and the caller resends it through another instance.
#[tokio::test(flavor = "multi_thread")]
async fn caller_links_lose_one_way_and_the_resend_goes_elsewhere() {
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    let cells = [
        (
            "caller-to-entry-lost",
            to_target(with_loss(Loss::Discard)),
            0,
        ),
        (
            "entry-to-caller-lost",
            to_client(with_loss(Loss::Discard)),
            1,
        ),
        ("entry-to-caller-cut", to_client(reset_after(40)), 1),
    ];
    for (cell, plan, runs) in cells {
        let front = scenario.fleet.front_proxy(Node::Entry(0));
        front.set_plan(plan);
        front.reset_connections();
        let first = action(cell);
        let short = Operation {
            deadline_ms: 700,
            ..first.clone()
        };
        let told = scenario.caller(&[0], 1).perform(&short).await;
        assert!(
            matches!(told, AttemptResult::Broken { .. }),
            "{cell}: {told:?}"
        );
        assert_eq!(scenario.executions(cell), runs, "{cell}");
        let resend = Operation {
            id: format!("{cell}-again"),
            ..first
        };
        let told = scenario.caller(&[1], 1).perform(&resend).await;
        assert!(is_success(&told), "{cell}: {told:?}");
        assert_eq!(scenario.executions(cell), 1, "{cell}");
        scenario.fleet.heal();
        front.reset_connections();
    }

    scenario
        .wait_all_entries_answer(RECOVERY_TIMEOUT)
        .await
        .unwrap();
    scenario.assert_guarantees();
}

/// Guards against an entry instance that continues to serve while it cannot confirm that its configuration
/// is current, because what it sends is lost, what it receives is lost, or its zone is isolated.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_entry_stops_and_the_others_serve() {
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    let traffic = scenario.start_traffic(3, 20, 3).unwrap();
    let others = [Node::Entry(1), Node::Entry(2)];
    let isolated = Node::Entry(0);
    for (cell, outgoing, incoming) in [
        ("outgoing", true, false),
        ("incoming", false, true),
        ("zone", true, true),
    ] {
        for other in others {
            if outgoing {
                scenario.fleet.stall_one_way(isolated, other);
            }
            if incoming {
                scenario.fleet.stall_one_way(other, isolated);
            }
        }
        if incoming {
            scenario.fleet.stall_one_way(Node::Control(0), isolated);
        }
        let taken = eventually(cell, STALE_TIMEOUT, || !scenario.is_fresh(0)).await;
        taken.unwrap();
        let told = scenario
            .caller(&[0], 1)
            .perform(&lookup(&unique_id(cell)))
            .await;
        assert_eq!(told, AttemptResult::NotRun { code: NOT_FRESH }, "{cell}");
        for entry in [1, 2] {
            let taken = scenario.wait_entry_answers(entry, RECOVERY_TIMEOUT).await;
            taken.unwrap_or_else(|error| panic!("{cell}: {error}"));
        }
        scenario.fleet.heal();
        let taken = scenario.wait_entry_answers(0, RECOVERY_TIMEOUT).await;
        taken.unwrap_or_else(|error| panic!("{cell}: {error}"));
    }
    traffic.stop().await;

    scenario.assert_guarantees();
}

/// Guards against a change that never arrives at a witness to which the link from control is lost, and
/// against a change that is reported as "in force" although control reaches no majority of the witnesses.
#[tokio::test(flavor = "multi_thread")]
async fn control_cut_off_from_witnesses() {
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    let control = Node::Control(0);
    scenario.fleet.stall_one_way(control, Node::Entry(0));
    let address = scenario.fleet.operator_address(0);
    let submit = |id: &str| {
        tokio::task::block_in_place(|| {
            let replaces = control_client::service_revision(address).unwrap();
            let document = service_document(2_000.0, 500).unwrap();
            control_client::put(address, &document, id, replaces).unwrap()
        })
    };
    let answer = submit("one-lost");
    assert_eq!(answer.code, ResultCode::InForce.number(), "{answer:?}");
    let first_revision = answer.revision().unwrap();
    let revision_at = |entry| {
        let status = scenario.status(entry).unwrap_or_default();
        status["revision"].as_u64().unwrap_or(0)
    };
    let everywhere = eventually(
        "change distributed despite the lost link",
        DISTRIBUTION_TIMEOUT,
        || (0..3).all(|entry| revision_at(entry) >= first_revision),
    );
    everywhere.await.unwrap();

    scenario.fleet.stall_one_way(control, Node::Entry(1));
    let answer = submit("majority-lost");
    assert_eq!(answer.code, ResultCode::Committed.number(), "{answer:?}");
    scenario.fleet.heal();
    let everywhere = eventually(
        "change distributed after the heal",
        DISTRIBUTION_TIMEOUT,
        || (0..3).all(|entry| revision_at(entry) > first_revision),
    );
    everywhere.await.unwrap();
    scenario.assert_guarantees();
}
