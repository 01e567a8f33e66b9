//! Tests a fleet of real processes from the first submission to a planned stop and the withdrawal of a key.

use std::time::{Duration, Instant};

use radishpaddle_e2e::fleet::Node;
use radishpaddle_e2e::plan::{parse_organisation, service_document};
use radishpaddle_e2e::traffic::{TrafficPlan, operation};
use radishpaddle_e2e::{FleetPlan, ProcessFleet, Traffic};
use radishpaddle_testkit::caller::{AttemptResult, Caller, CallerSettings};
use radishpaddle_testkit::history::{History, RateLimit};

fn traffic_plan(name: &str, key: &str) -> TrafficPlan {
    TrafficPlan {
        organisation: parse_organisation(name).unwrap(),
        key: key.to_owned(),
        callers: 4,
        pause: Duration::from_millis(10),
        action_every: 5,
        max_attempts: 1,
    }
}

fn is_success(told: &AttemptResult) -> bool {
    matches!(told, AttemptResult::Answer { status: 200, .. })
}

/// Guards against a planned stop that interrupts requests, a withdrawn key that still works on open
/// connections, and responses or executions that violate the guarantees.
#[tokio::test(flavor = "multi_thread")]
async fn submissions_calls_withdrawal_and_planned_stop() {
    let mut fleet = ProcessFleet::start(FleetPlan::default()).await.unwrap();
    let operator = fleet.operator();
    operator
        .submit_document(&service_document(2_000.0, 500).unwrap())
        .unwrap();
    let north = operator.create_key("north", "north-1").unwrap();
    let south = operator.create_key("south", "south-1").unwrap();
    wait_first_success(&fleet, &north).await;
    let traffic = Traffic::new();
    let callers = fleet.caller_addresses();
    traffic
        .start(&callers, &traffic_plan("north", &north))
        .unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;

    fleet.process(Node::Entry(2)).terminate().unwrap();
    let limit = Duration::from_secs(25);
    let status =
        tokio::task::block_in_place(|| fleet.process(Node::Entry(2)).wait_for_exit(limit)).unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    traffic.stop().await;

    assert!(status.success(), "{}", fleet.log(Node::Entry(2)).unwrap());
    let attempts = traffic.recorder().attempts();
    let failed: Vec<_> = attempts
        .iter()
        .filter(|attempt| !is_success(&attempt.told))
        .collect();
    // With this many attempts, requests were in progress throughout the stop.
    assert!(attempts.len() > 100, "{} attempts", attempts.len());
    assert!(failed.is_empty(), "{failed:#?}");
    assert_eq!(
        violations(&fleet, &traffic, &[&north, &south]),
        Vec::<String>::new()
    );
    withdrawal_reaches_open_connections(&fleet, &south).await;
}

/// Checks that a key on open connections stops working within 4 s after its withdrawal.
async fn withdrawal_reaches_open_connections(fleet: &ProcessFleet, key: &str) {
    let seeds = fleet.caller_addresses()[..2].to_vec();
    let settings = CallerSettings::new(seeds).with_key(parse_organisation("south").unwrap(), key);
    let caller = Caller::new(settings, None);
    let service = "bookings".parse().unwrap();
    let told = caller
        .perform(&operation(&service, "before".into(), false))
        .await;
    assert!(is_success(&told), "{told:?}");

    let operator = fleet.operator();
    tokio::task::block_in_place(|| operator.withdraw_key("south-1")).unwrap();
    let withdrawn_at = Instant::now();
    let mut last_success = Duration::ZERO;
    for number in 0..50 {
        let operation = operation(&service, format!("after-{number}"), false);
        let told = caller.perform(&operation).await;
        if is_success(&told) {
            last_success = withdrawn_at.elapsed();
        } else {
            assert_eq!(told, AttemptResult::NotRun { code: 2002 });
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    // A withdrawn key may work for at most 4 s after the acknowledgement (`docs/design.md`, section 4.1).
    assert!(last_success < Duration::from_secs(4), "{last_success:?}");
}

/// Waits until the fleet answers a lookup. After the start, it takes a few seconds until the entry
/// instances have the configuration, know the backend servers and are fresh.
async fn wait_first_success(fleet: &ProcessFleet, key: &str) {
    let settings = CallerSettings::new(fleet.caller_addresses())
        .with_key(parse_organisation("north").unwrap(), key);
    let caller = Caller::new(settings, None);
    let service = "bookings".parse().unwrap();
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let told = caller
            .perform(&operation(&service, "warm-up".into(), false))
            .await;
        if is_success(&told) {
            return;
        }
        assert!(Instant::now() < deadline, "no answer within 10 s: {told:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn violations(fleet: &ProcessFleet, traffic: &Traffic, keys: &[&str]) -> Vec<String> {
    let limits = ["north", "south"].map(|name| RateLimit {
        service: "bookings".parse().unwrap(),
        organisation: parse_organisation(name).unwrap(),
        rate_per_s: 2_000.0,
        burst: 500,
    });
    let grants = ["north", "south"].iter().zip(keys).map(|(name, key)| {
        radishpaddle_testkit::history::KeyGrant {
            key: (*key).to_owned(),
            organisation: parse_organisation(name).unwrap(),
            withdrawn_us: None,
        }
    });
    let history = History {
        attempts: traffic.recorder().attempts(),
        executions: fleet
            .backends()
            .iter()
            .flat_map(radishpaddle_testkit::backend::RunningBackend::executions)
            .filter(|execution| !execution.path.contains("warm-up"))
            .collect(),
        keys: grants.collect(),
        limits: limits.to_vec(),
        withdrawal_grace_us: 4_000_000,
        organisation_header: Some("x-organisation".to_owned()),
    };
    let found = history.violations();
    found
        .iter()
        .map(|violation| format!("{:?}: {}", violation.guarantee, violation.message))
        .collect()
}
