//! Tests with backend servers that are slow, return errors, damage responses, shed load, crash or drain.

use std::sync::Arc;
use std::time::{Duration, Instant};

use radishpaddle_e2e::scenario::{action, eventually, is_success, lookup, resend_of, unique_id};
use radishpaddle_e2e::{FleetPlan, Scenario, full_matrix_enabled};
use radishpaddle_testkit::backend::{CrashMoment, FaultPlan};
use radishpaddle_testkit::caller::{AttemptResult, Caller, Operation};

/// Maximum time until a faulty backend server of a small service is ejected (`docs/design.md`,
/// section 1.2).
const EJECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time until the latency of a new backend server counts as evidence. It is ignored in the first 10 s after
/// the start, because the caches of the server are cold.
const BACKEND_WARM_UP: Duration = Duration::from_secs(11);

/// Maximum time until a recovered backend server returns after its first ejection: the first probation of
/// 5 s (`docs/design.md`, section 4.9) and the same time again until the trial shows on the status
/// page.
const RETURN_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum time until requests are answered again after a fault of all backend servers. Backend servers
/// renew their announcement every 2 s, and a crashed one restarts within 1 s.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which a backend server that has announced its drain receives no new requests (P9).
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns a plan in which 24 callers of 8 organisations use half of the capacity: 4 servers with 6 slots
/// and a service time of 40 ms process 600 requests/s.
fn half_load_plan() -> FleetPlan {
    FleetPlan {
        service_time_ms: 40.0,
        organisations: 8,
        ..FleetPlan::default()
    }
}

/// Performs the operations concurrently and returns their outcomes in no particular order.
async fn perform_all(caller: Arc<Caller>, operations: Vec<Operation>) -> Vec<AttemptResult> {
    let mut tasks = tokio::task::JoinSet::new();
    for operation in operations {
        let caller = Arc::clone(&caller);
        tasks.spawn(async move { caller.perform(&operation).await });
    }
    tasks.join_all().await
}

/// Returns 4 actions and 8 lookups with a deadline of 600 ms.
fn mixed_operations(cell: &str) -> Vec<Operation> {
    (0..12)
        .map(|number| {
            let id = unique_id(cell);
            let operation = if number % 3 == 0 {
                action(&id)
            } else {
                lookup(&id)
            };
            Operation {
                deadline_ms: 600,
                ..operation
            }
        })
        .collect()
}

/// Guards against a slow or failing backend server that stays in rotation, a recovered one that never
/// returns, and ejections that leave fewer servers in rotation than the floor requires.
#[tokio::test(flavor = "multi_thread")]
async fn slow_and_failing_servers_are_ejected_above_the_floor() {
    let scenario = Scenario::start(half_load_plan()).await.unwrap();
    let traffic = scenario.start_traffic(3, 40, 2).unwrap();
    tokio::time::sleep(BACKEND_WARM_UP).await;
    let is_ejected = |backend| scenario.is_out_of_rotation(0, backend);

    let slow = FaultPlan {
        slow_factor: 10.0,
        ..FaultPlan::default()
    };
    scenario.backend(0).set_faults(slow.clone());
    let taken = eventually("slow server ejected", EJECTION_TIMEOUT, || is_ejected(0)).await;
    eprintln!("time until the slow server was ejected: {taken:?}");
    taken.unwrap_or_else(|error| panic!("{error}\n{}", scenario.diagnostics("probe")));
    scenario.backend(1).set_faults(FaultPlan {
        error_share: 0.3,
        ..FaultPlan::default()
    });
    let taken = eventually("failing server ejected", EJECTION_TIMEOUT, || is_ejected(1)).await;
    eprintln!("time until the failing server was ejected: {taken:?}");
    taken.unwrap_or_else(|error| panic!("{error}\n{}", scenario.diagnostics("probe")));
    // The ejection of a third server would violate the floor of two; the observer checks that it stays in.
    scenario.backend(2).set_faults(slow);
    tokio::time::sleep(EJECTION_TIMEOUT).await;
    scenario.set_faults_on_all_backends(&FaultPlan::default());
    let returned = eventually("servers return", RETURN_TIMEOUT * 2, || {
        !(0..3).any(|backend| scenario.is_out_of_rotation(0, backend))
    });
    returned.await.unwrap();
    traffic.stop().await;

    scenario.assert_guarantees();
}

/// Guards against a flapping backend server, which becomes slow again after each return, that is back in
/// rotation as soon as one that failed once.
#[tokio::test(flavor = "multi_thread")]
async fn flapping_server_stays_out_longer() {
    if !full_matrix_enabled("a flapping backend server") {
        return;
    }
    let scenario = Scenario::start(half_load_plan()).await.unwrap();
    let traffic = scenario.start_traffic(3, 40, 2).unwrap();
    tokio::time::sleep(BACKEND_WARM_UP).await;
    let mut ejection_times = Vec::new();
    for _ in 0..3 {
        scenario.backend(0).set_faults(FaultPlan {
            slow_factor: 10.0,
            ..FaultPlan::default()
        });
        let ejected = eventually("server ejected", EJECTION_TIMEOUT, || {
            scenario.is_out_of_rotation(0, 0)
        })
        .await;
        ejected.unwrap_or_else(|error| panic!("{error}\n{}", scenario.diagnostics("probe")));
        scenario.set_faults_on_all_backends(&FaultPlan::default());
        // The probation starts at 5 s and doubles with each ejection; the third one is 20 s.
        let limit = Duration::from_secs(30);
        let returned = eventually("server returns", limit, || {
            !scenario.is_out_of_rotation(0, 0)
        })
        .await;
        ejection_times.push(returned.unwrap());
    }
    traffic.stop().await;

    eprintln!("times out of rotation: {ejection_times:?}");
    assert!(
        ejection_times[2] > ejection_times[0] * 2,
        "{ejection_times:?}"
    );
    scenario.assert_guarantees();
}

/// Guards against truncated, wrongly framed, hanging and late responses that a caller receives as
/// complete, and against an action that runs twice because it is resent after such a response.
#[tokio::test(flavor = "multi_thread")]
async fn damaged_responses_are_never_presented_as_complete() {
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    let no_faults = FaultPlan::default;
    let cells = [
        (
            "truncated",
            FaultPlan {
                truncate_after_bytes: Some(3),
                ..no_faults()
            },
        ),
        (
            "truncated-chunked",
            FaultPlan {
                truncate_after_bytes: Some(3),
                chunked: true,
                ..no_faults()
            },
        ),
        (
            "declares-more",
            FaultPlan {
                length_error_bytes: 10,
                ..no_faults()
            },
        ),
        (
            "hangs",
            FaultPlan {
                hang_after_first_byte: true,
                ..no_faults()
            },
        ),
        (
            "late",
            FaultPlan {
                answer_after_deadline: true,
                ..no_faults()
            },
        ),
    ];
    for (cell, faults) in cells {
        scenario.set_faults_on_all_backends(&faults);
        let told = perform_all(
            Arc::new(scenario.round_robin_caller(2)),
            mixed_operations(cell),
        )
        .await;
        scenario.set_faults_on_all_backends(&no_faults());
        assert!(!told.iter().any(is_success), "{cell}: {told:?}");
        scenario
            .wait_all_entries_answer(RECOVERY_TIMEOUT)
            .await
            .unwrap();
    }

    scenario.assert_guarantees();
}

/// Guards against bytes beyond the declared length of a response that are read as the response to the next
/// request on the same connection.
#[tokio::test(flavor = "multi_thread")]
async fn excess_bytes_never_cross_into_another_response() {
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    scenario.set_faults_on_all_backends(&FaultPlan {
        length_error_bytes: -40,
        ..FaultPlan::default()
    });
    for _ in 0..5 {
        perform_all(
            Arc::new(scenario.round_robin_caller(2)),
            mixed_operations("excess"),
        )
        .await;
    }
    scenario.set_faults_on_all_backends(&FaultPlan::default());
    scenario
        .wait_all_entries_answer(RECOVERY_TIMEOUT)
        .await
        .unwrap();

    scenario.assert_guarantees();
}

/// Guards against shed requests that count as failures of the backend server and eject it, and against
/// shed requests that are not retried on another server.
#[tokio::test(flavor = "multi_thread")]
async fn shed_requests_are_retried_and_eject_nobody() {
    let scenario = Scenario::start(half_load_plan()).await.unwrap();
    scenario.backend(0).set_faults(FaultPlan {
        shed_share: 0.5,
        ..FaultPlan::default()
    });
    let traffic = scenario.start_traffic(2, 40, 1).unwrap();
    let deadline = Instant::now() + EJECTION_TIMEOUT;
    while Instant::now() < deadline {
        assert!(
            !scenario.is_out_of_rotation(0, 0),
            "{}",
            scenario.diagnostics("probe")
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    traffic.stop().await;

    assert!(
        scenario.backend(0).status().shed > 0,
        "the backend server shed no request"
    );
    let attempts = scenario.traffic_attempts();
    let failed: Vec<_> = attempts
        .iter()
        .filter(|attempt| !is_success(&attempt.told))
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
    scenario.assert_guarantees();
}

/// Guards against an action that runs twice because a backend server crashes before the dispatch or while
/// it processes the action, and against a recorded answer that a crash loses, so that a resend runs the
/// action again.
#[tokio::test(flavor = "multi_thread")]
async fn crashes_neither_repeat_actions_nor_lose_recorded_answers() {
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    let finished = action("crash-after-1");
    let told = scenario.round_robin_caller(1).perform(&finished).await;
    assert!(is_success(&told), "{told:?}");

    scenario.backend(0).crash(Some(500));
    perform_all(
        Arc::new(scenario.round_robin_caller(3)),
        mixed_operations("crash-before-dispatch"),
    )
    .await;
    scenario.set_faults_on_all_backends(&FaultPlan {
        extra_delay_ms: 200,
        ..FaultPlan::default()
    });
    let running = perform_all(
        Arc::new(scenario.round_robin_caller(3)),
        mixed_operations("crash-before-response"),
    );
    let running = tokio::spawn(running);
    tokio::time::sleep(Duration::from_millis(100)).await;
    scenario.backend(1).crash(Some(500));
    scenario.backend(2).crash(Some(500));
    running.await.unwrap();
    scenario.set_faults_on_all_backends(&FaultPlan::default());

    let told = scenario
        .round_robin_caller(1)
        .perform(&resend_of(&finished))
        .await;
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
    assert_eq!(scenario.executions("crash-after-1"), 1);
    scenario
        .wait_all_entries_answer(RECOVERY_TIMEOUT)
        .await
        .unwrap();
    scenario.assert_guarantees();
}

/// Guards against a poison request that crashes one backend server after the other because it is resent
/// through other entry instances.
#[tokio::test(flavor = "multi_thread")]
async fn poison_request_costs_at_most_two_servers() {
    check_poison_request(CrashMoment::BeforeResponse).await;
}

/// Guards against a poison request whose crashes do not count because they come after the begin of the response.
#[tokio::test(flavor = "multi_thread")]
async fn poison_request_that_crashes_within_responses_costs_at_most_two_servers() {
    check_poison_request(CrashMoment::WithinResponse).await;
}

async fn check_poison_request(crash_moment: CrashMoment) {
    // Entry instances detect a crash by refused connections, which a fault proxy would hide.
    let plan = FleetPlan {
        backend_proxies: false,
        ..FleetPlan::default()
    };
    let scenario = Scenario::start(plan).await.unwrap();
    scenario.set_faults_on_all_backends(&FaultPlan {
        crash_marker: Some("poison".into()),
        crash_moment,
        restart_after_ms: Some(300),
        ..FaultPlan::default()
    });
    let poison = lookup("poison");
    let mut told = Vec::new();
    for round in 0..12 {
        let caller = scenario.caller(&[round % 3], 1);
        told.push(caller.perform(&resend_of(&poison)).await);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }

    let crashes: u64 = scenario
        .fleet
        .backends()
        .iter()
        .map(|backend| backend.incarnation().0 - 1)
        .sum();
    let diagnostics = scenario.diagnostics("poison");
    assert!(crashes <= 2, "{crashes} crashes; {told:?}\n{diagnostics}");
    assert_eq!(
        told.last(),
        Some(&AttemptResult::NotRun { code: 2012 }),
        "{told:?}"
    );
    scenario.set_faults_on_all_backends(&FaultPlan::default());
    scenario
        .wait_all_entries_answer(RECOVERY_TIMEOUT)
        .await
        .unwrap();
    scenario.assert_guarantees();
}

/// Guards against new requests for a backend server that has announced its drain.
#[tokio::test(flavor = "multi_thread")]
async fn draining_server_receives_no_new_work() {
    let scenario = Scenario::start(FleetPlan::default()).await.unwrap();
    let traffic = scenario.start_traffic(4, 10, 1).unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let accepted = scenario.backend(3).drain().await;
    let drained_at = Instant::now();
    tokio::time::sleep(DRAIN_TIMEOUT).await;
    let arrived_within_timeout = scenario.backend(3).status().arrived_after_drain;
    tokio::time::sleep(DRAIN_TIMEOUT).await;
    let status = scenario.backend(3).status();
    traffic.stop().await;

    assert!(
        accepted > 0,
        "no entry instance accepted the drain announcement"
    );
    assert_eq!(
        status.arrived_after_drain, arrived_within_timeout,
        "{status:?} {drained_at:?}"
    );
    let attempts = scenario.traffic_attempts();
    let failed: Vec<_> = attempts
        .iter()
        .filter(|attempt| !is_success(&attempt.told))
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
    scenario.assert_guarantees();
}

/// Guards against a request whose copy at work is given up because another server sheds its second copy.
#[tokio::test(flavor = "multi_thread")]
async fn a_shed_second_copy_ends_the_first_one_at_work() {
    let plan = FleetPlan {
        backends: 2,
        service_time_ms: 40.0,
        ..FleetPlan::default()
    };
    let scenario = Scenario::start(plan).await.unwrap();
    let caller = Arc::new(scenario.caller(&[0], 1));
    for _ in 0..60 {
        let told = caller.perform(&lookup(&unique_id("known"))).await;
        assert!(is_success(&told), "{told:?}");
    }
    scenario.set_faults_on_all_backends(&FaultPlan {
        extra_delay_ms: 1_200,
        ..FaultPlan::default()
    });

    let id = unique_id("hedged");
    let operations = vec![lookup(&id)];
    let request = tokio::spawn(perform_all(caller, operations));
    let is_at = |backend: usize| scenario.backend(backend).status().in_flight > 0;
    while !is_at(0) && !is_at(1) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let other = usize::from(is_at(0));
    scenario.backend(other).set_faults(FaultPlan {
        shed_share: 1.0,
        ..FaultPlan::default()
    });
    let told = request.await.unwrap();

    assert!(told.iter().all(is_success), "{told:?}");
    assert_eq!(scenario.backend(other).status().shed, 1, "no second copy");
    assert_eq!(scenario.executions(&id), 1);
    scenario.assert_guarantees();
}
