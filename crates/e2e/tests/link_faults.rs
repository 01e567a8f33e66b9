//! One-way loss, cut connections and cut zones on the links between processes.

use std::sync::Arc;
use std::time::Duration;

use radishpaddle_e2e::control_client;
use radishpaddle_e2e::fleet::Node;
use radishpaddle_e2e::plan::document;
use radishpaddle_e2e::scenario::{action, eventually, is_answer, lookup, unique};
use radishpaddle_e2e::{FleetPlan, Scenario};
use radishpaddle_model::ResultCode;
use radishpaddle_testkit::backend::FaultPlan;
use radishpaddle_testkit::caller::{Operation, Told};
use radishpaddle_testkit::fault_proxy::{Cut, DirectionPlan, Loss, ProxyPlan};

/// Freshness limit of 4 s (design 4.1) and one period of the status page.
const STALE_LIMIT: Duration = Duration::from_millis(4_500);

/// "Restart, recover, fresh in seconds": after a heal a poll is answered within its period of 500 ms
/// and its timeout of 1 s, after connections that were broken are made again.
const FRESH_LIMIT: Duration = Duration::from_secs(5);

/// "In force everywhere within 8 s" (design 1.4).
const SPREAD_LIMIT: Duration = Duration::from_secs(8);

/// Result code of an instance that is not fresh.
const NOT_FRESH: u16 = 2003;

fn lost(loss: Loss) -> DirectionPlan {
    DirectionPlan {
        loss,
        ..DirectionPlan::default()
    }
}

fn cut_after(bytes: u64) -> DirectionPlan {
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

/// Lookups and actions at the same time with a deadline of 1 s.
async fn run_mixed(scenario: &Scenario, cell: &str, entries: &[usize], attempts: u32) -> Vec<Told> {
    let caller = Arc::new(scenario.caller(entries, attempts));
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..12 {
        let id = unique(cell);
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

/// Guards against a lost or cut exchange with every backend server that makes an action run twice, a
/// false "not run", or a cut response that looks complete, at each step of a request.
#[tokio::test(flavor = "multi_thread")]
async fn backend_links_lose_and_cut_at_each_step() {
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    let refuse = ProxyPlan {
        refuse_connections: true,
        ..ProxyPlan::default()
    };
    let cells = [
        ("backend-refuses", refuse),
        ("entry-to-backend-lost", to_target(lost(Loss::Discard))),
        ("entry-to-backend-late", to_target(lost(Loss::Stall))),
        ("backend-to-entry-lost", to_client(lost(Loss::Discard))),
        ("backend-to-entry-late", to_client(lost(Loss::Stall))),
        ("cut-after-first-byte", to_target(cut_after(20))),
        ("cut-during-response", to_client(cut_after(150))),
    ];
    for (cell, plan) in cells {
        for proxy in scenario.fleet.backend_proxies() {
            proxy.set_plan(plan.clone());
            proxy.reset_connections();
        }
        let told = run_mixed(&scenario, cell, &[0, 1, 2], 2).await;
        scenario.fleet.heal();
        assert!(!told.iter().any(is_answer), "{cell}: {told:?}");
        let taken = scenario.wait_all_answer(FRESH_LIMIT).await;
        taken.unwrap_or_else(|error| panic!("{cell}: {error}"));
    }

    scenario.assert_guarantees();
}

/// Guards against a connection that is reset while the backend server works and makes the action run
/// again.
#[tokio::test(flavor = "multi_thread")]
async fn reset_before_the_response_never_repeats_an_action() {
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    scenario.set_all_faults(&FaultPlan {
        extra_delay_ms: 300,
        ..FaultPlan::default()
    });
    let running = run_mixed(&scenario, "reset", &[0, 1, 2], 3);
    let reset = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        for proxy in scenario.fleet.backend_proxies() {
            proxy.reset_connections();
        }
    };
    tokio::join!(running, reset);
    scenario.set_all_faults(&FaultPlan::default());

    scenario.wait_all_answer(FRESH_LIMIT).await.unwrap();
    scenario.assert_guarantees();
}

/// Guards against a caller that loses its request or its response on the way and, on the resend
/// through another instance, gets its action run twice.
#[tokio::test(flavor = "multi_thread")]
async fn caller_links_lose_one_way_and_the_resend_goes_elsewhere() {
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    let cells = [
        ("caller-to-entry-lost", to_target(lost(Loss::Discard)), 0),
        ("entry-to-caller-lost", to_client(lost(Loss::Discard)), 1),
        ("entry-to-caller-cut", to_client(cut_after(40)), 1),
    ];
    for (cell, plan, runs) in cells {
        let front = scenario.fleet.front(Node::Entry(0));
        front.set_plan(plan);
        front.reset_connections();
        let first = action(cell);
        let short = Operation {
            deadline_ms: 700,
            ..first.clone()
        };
        let told = scenario.caller(&[0], 1).perform(&short).await;
        assert!(matches!(told, Told::Broken { .. }), "{cell}: {told:?}");
        assert_eq!(scenario.executions(cell), runs, "{cell}");
        let resend = Operation {
            id: format!("{cell}-again"),
            ..first
        };
        let told = scenario.caller(&[1], 1).perform(&resend).await;
        assert!(is_answer(&told), "{cell}: {told:?}");
        assert_eq!(scenario.executions(cell), 1, "{cell}");
        scenario.fleet.heal();
        front.reset_connections();
    }

    scenario.wait_all_answer(FRESH_LIMIT).await.unwrap();
    scenario.assert_guarantees();
}

/// Guards against an entry instance that serves on while it cannot know the current configuration:
/// what it sends is lost, what it receives is lost, or its zone is cut off.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_entry_stops_and_the_others_serve() {
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    let traffic = scenario.traffic(3, 20, 3).unwrap();
    let others = [Node::Entry(1), Node::Entry(2)];
    let own = Node::Entry(0);
    for (cell, outgoing, incoming) in [
        ("outgoing", true, false),
        ("incoming", false, true),
        ("zone", true, true),
    ] {
        for other in others {
            if outgoing {
                scenario.fleet.lose(own, other);
            }
            if incoming {
                scenario.fleet.lose(other, own);
            }
        }
        if incoming {
            scenario.fleet.lose(Node::Control(0), own);
        }
        let taken = eventually(cell, STALE_LIMIT, || !scenario.is_fresh(0)).await;
        taken.unwrap();
        let told = scenario
            .caller(&[0], 1)
            .perform(&lookup(&unique(cell)))
            .await;
        assert_eq!(told, Told::NotRun { code: NOT_FRESH }, "{cell}");
        for entry in [1, 2] {
            let taken = scenario.wait_answers(entry, FRESH_LIMIT).await;
            taken.unwrap_or_else(|error| panic!("{cell}: {error}"));
        }
        scenario.fleet.heal();
        let taken = scenario.wait_answers(0, FRESH_LIMIT).await;
        taken.unwrap_or_else(|error| panic!("{cell}: {error}"));
    }
    traffic.stop().await;

    scenario.assert_guarantees();
}

/// Guards against a change that does not reach a witness which control cannot reach, and a change
/// that is called "in force" although control reaches no majority of the witnesses.
#[tokio::test(flavor = "multi_thread")]
async fn control_cut_off_from_witnesses() {
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    let control = Node::Control(0);
    scenario.fleet.lose(control, Node::Entry(0));
    let address = scenario.fleet.operator_address(0);
    let submit = |id: &str| {
        tokio::task::block_in_place(|| {
            let replaces = control_client::service_revision(address).unwrap();
            let document = document(2_000.0, 500).unwrap();
            control_client::put(address, &document, id, replaces).unwrap()
        })
    };
    let answer = submit("one-lost");
    assert_eq!(answer.code, ResultCode::InForce.number(), "{answer:?}");
    let reached = answer.revision().unwrap();
    let revision = |entry| {
        let status = scenario.status(entry).unwrap_or_default();
        status["revision"].as_u64().unwrap_or(0)
    };
    let everywhere = eventually("spread past the lost link", SPREAD_LIMIT, || {
        (0..3).all(|entry| revision(entry) >= reached)
    });
    everywhere.await.unwrap();

    scenario.fleet.lose(control, Node::Entry(1));
    let answer = submit("majority-lost");
    assert_eq!(answer.code, ResultCode::Committed.number(), "{answer:?}");
    scenario.fleet.heal();
    let everywhere = eventually("spread after the heal", SPREAD_LIMIT, || {
        (0..3).all(|entry| revision(entry) > reached)
    });
    everywhere.await.unwrap();
    scenario.assert_guarantees();
}
