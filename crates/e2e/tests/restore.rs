//! Tests the restore of control state from an export while the entry instances keep running.

use std::process::Command;
use std::time::{Duration, Instant};

use radishpaddle_e2e::fleet::Node;
use radishpaddle_e2e::plan::{parse_organisation, service_document};
use radishpaddle_e2e::traffic::operation;
use radishpaddle_e2e::{FleetPlan, ProcessFleet};
use radishpaddle_testkit::backend::RunningBackend;
use radishpaddle_testkit::caller::{AttemptResult, Caller, CallerSettings};
use radishpaddle_testkit::process::workspace_binary;

const CONTROL: Node = Node::Control(0);

/// Timeout for processes to become ready, and for the fleet to serve, after a start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

fn caller(fleet: &ProcessFleet, key: &str) -> Caller {
    let settings = CallerSettings {
        max_attempts: 1,
        ..CallerSettings::new(fleet.caller_addresses())
            .with_key(parse_organisation("north").unwrap(), key)
    };
    Caller::new(settings, None)
}

/// Polls a condition until it holds, and fails the test if it does not within the limit.
async fn wait_until(description: &str, limit: Duration, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + limit;
    while !condition().await {
        assert!(
            Instant::now() < deadline,
            "{description}: not within {limit:?}"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn perform_lookup(caller: &Caller) -> AttemptResult {
    let service = "bookings".parse().unwrap();
    caller
        .perform(&operation(&service, "lookup".into(), false))
        .await
}

async fn perform_action(caller: &Caller) -> AttemptResult {
    let service = "bookings".parse().unwrap();
    caller
        .perform(&operation(&service, "action".into(), true))
        .await
}

/// Returns how many times the backend servers executed an action.
fn executions(fleet: &ProcessFleet) -> usize {
    let executions = fleet.backends().iter().flat_map(RunningBackend::executions);
    executions
        .filter(|execution| execution.method == "POST")
        .count()
}

/// Kills the control instance, exports its state, and bootstraps a new group from the export in an empty
/// directory. The new group starts above the given revision.
fn restore_control(fleet: &mut ProcessFleet, above: &str) {
    let program = workspace_binary("radishpaddle-control").unwrap();
    fleet.process(CONTROL).kill().unwrap();
    let directory = fleet.process(CONTROL).directory().to_owned();
    let settings = directory.join("settings.json");
    let file = directory.join("export");
    let run = |arguments: &[&std::ffi::OsStr]| {
        let output = Command::new(&program).args(arguments).output().unwrap();
        assert!(output.status.success(), "{output:?}");
    };
    run(&["--export".as_ref(), file.as_ref(), settings.as_ref()]);
    std::fs::remove_dir_all(directory.join("data")).unwrap();
    run(&[
        "--restore".as_ref(),
        file.as_ref(),
        "--above".as_ref(),
        above.as_ref(),
        settings.as_ref(),
    ]);
    fleet.restart(CONTROL).unwrap();
    fleet.wait_node_ready(CONTROL, START_TIMEOUT).unwrap();
}

/// Guards against a restored control group whose changes never reach the running witnesses, and against an
/// action that runs twice because all witnesses restart after the restore.
#[tokio::test(flavor = "multi_thread")]
async fn restored_control_reaches_running_witnesses_and_no_action_runs_again() {
    let mut fleet = ProcessFleet::start(FleetPlan::default()).await.unwrap();
    let operator = fleet.operator();
    operator
        .submit_document(&service_document(1_000.0, 200).unwrap())
        .unwrap();
    let key = operator.create_key("north", "north-1").unwrap();
    let north = caller(&fleet, &key);
    wait_until("first answer", START_TIMEOUT, async || {
        matches!(
            perform_lookup(&north).await,
            AttemptResult::Answer { status: 200, .. }
        )
    })
    .await;
    assert!(matches!(
        perform_action(&north).await,
        AttemptResult::Answer {
            code: Some(1000),
            ..
        }
    ));

    tokio::task::block_in_place(|| restore_control(&mut fleet, "50"));

    let told = perform_action(&north).await;
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
    wait_until(
        "first revision of the restored group in force",
        START_TIMEOUT,
        async || {
            let printed = tokio::task::block_in_place(|| operator.run(&["status"]));
            printed.is_ok_and(|printed| printed.contains("\"in_force\": 51"))
        },
    )
    .await;
    tokio::task::block_in_place(|| operator.withdraw_key("north-1")).unwrap();
    // A withdrawn key may work for at most 4 s after the acknowledgement (`docs/design.md`, section 4.1).
    wait_until(
        "refusal of the withdrawn key",
        Duration::from_secs(4),
        async || {
            matches!(
                perform_lookup(&north).await,
                AttemptResult::NotRun { code: 2002 }
            )
        },
    )
    .await;
    let second_key =
        tokio::task::block_in_place(|| operator.create_key("north", "north-2")).unwrap();
    restart_entries(&mut fleet);
    let north = caller(&fleet, &second_key);
    wait_until("answers after the restart", START_TIMEOUT, async || {
        matches!(
            perform_lookup(&north).await,
            AttemptResult::Answer { status: 200, .. }
        )
    })
    .await;

    let told = perform_action(&north).await;

    assert!(
        matches!(told, AttemptResult::NotRun { code: 2011 }),
        "{told:?}"
    );
    assert_eq!(executions(&fleet), 1);
}

/// Restarts all entry instances so that all witnesses lose their state in memory at the same time.
fn restart_entries(fleet: &mut ProcessFleet) {
    for entry in 0..3 {
        fleet.process(Node::Entry(entry)).kill().unwrap();
    }
    for entry in 0..3 {
        fleet.restart(Node::Entry(entry)).unwrap();
    }
    tokio::task::block_in_place(|| fleet.wait_ready(START_TIMEOUT)).unwrap();
}
