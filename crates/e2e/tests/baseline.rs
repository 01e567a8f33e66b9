//! Load without a fault.

use std::time::Duration;

use radishpaddle_e2e::scenario::is_answer;
use radishpaddle_e2e::{FleetPlan, Scenario};

/// Guards against refusals and held requests without a fault: one organisation sends far less than
/// its rate and the backend servers have free slots (design 1.2: wrongful refusals are zero without
/// a fault).
#[tokio::test(flavor = "multi_thread")]
async fn fault_free_load_of_one_organisation_is_never_refused() {
    let plan = FleetPlan {
        service_time_ms: 40.0,
        organisations: 1,
        ..FleetPlan::default()
    };
    let scenario = Scenario::start(plan).await.unwrap();
    let traffic = scenario.traffic(24, 40, 1).unwrap();
    tokio::time::sleep(Duration::from_secs(5)).await;
    traffic.stop().await;

    let attempts = scenario.traffic_attempts();
    let refused = attempts.iter().filter(|attempt| !is_answer(&attempt.told));
    let refused = refused.count();
    assert!(attempts.len() > 100, "{} attempts", attempts.len());
    assert_eq!(refused, 0, "{}", scenario.trace("none"));
    scenario.assert_guarantees();
}
