//! Tests under load without faults.

use std::time::Duration;

use radishpaddle_e2e::scenario::is_success;
use radishpaddle_e2e::{FleetPlan, Scenario};

/// Guards against wrongful refusals and queued requests without a fault, while one organisation sends far
/// less than its rate and the backend servers have free slots. Without a fault, no request may be refused
/// wrongly (`docs/design.md`, section 1.2).
#[tokio::test(flavor = "multi_thread")]
async fn fault_free_load_of_one_organisation_is_never_refused() {
    let plan = FleetPlan {
        service_time_ms: 40.0,
        organisations: 1,
        ..FleetPlan::default()
    };
    let scenario = Scenario::start(plan).await.unwrap();
    let traffic = scenario.start_traffic(24, 40, 1).unwrap();
    tokio::time::sleep(Duration::from_secs(5)).await;
    traffic.stop().await;

    let attempts = scenario.traffic_attempts();
    let failed = attempts.iter().filter(|attempt| !is_success(&attempt.told));
    let failed = failed.count();
    assert!(attempts.len() > 100, "{} attempts", attempts.len());
    assert_eq!(failed, 0, "{}", scenario.diagnostics("none"));
    scenario.assert_guarantees();
}
