//! Detection of faults in simulated fleets with fixed seeds. The bounds are the design targets: 2 s
//! at half load, and 5 s for services with six servers.

mod simulation;

use std::time::Duration;

use simulation::{Config, Fault, Simulation, Spread};

const WARM_UP: Duration = Duration::from_secs(20);
const SEEDS: std::ops::Range<u64> = 1..21;

const TWENTY_SERVERS_LIMIT: Duration = Duration::from_secs(2);
const SIX_SERVERS_LIMIT: Duration = Duration::from_secs(5);

fn six_servers() -> Config {
    Config {
        servers: 6,
        ..Config::default()
    }
}

/// Returns the sorted times over all seeds until every instance has the faulty server out of
/// rotation.
fn detection_times(base: &Config, fault: Fault) -> Vec<Duration> {
    let times = SEEDS.map(|seed| {
        let config = Config {
            seed,
            ..base.clone()
        };
        let mut simulation = Simulation::new(config);
        simulation.run_until(WARM_UP);
        assert!(simulation.ejections().is_empty(), "seed {seed}");
        simulation.set_fault(2, fault);
        simulation.time_until_out(2, WARM_UP, Duration::from_mins(1))
    });
    let mut times: Vec<Duration> = times.collect();
    times.sort_unstable();
    let median = times[times.len() / 2];
    println!("{fault:?} {base:?}: median {median:?}, times {times:?}");
    times
}

fn assert_detected(config: &Config, fault: Fault, limit: Duration) {
    let times = detection_times(config, fault);
    let slowest = times.last().unwrap();
    assert!(*slowest <= limit, "{fault:?} took {slowest:?}");
}

/// Guards against a slow server whose health endpoint reports no fault. The simulation has no
/// health checks, so only the evidence from requests can show the fault.
#[test]
fn slow_server_is_out_in_time() {
    for spread in [Spread::Exponential, Spread::LogNormal(0.5)] {
        let config = Config {
            spread,
            ..Config::default()
        };
        assert_detected(&config, Fault::Slow(10.0), TWENTY_SERVERS_LIMIT);
    }
    assert_detected(&six_servers(), Fault::Slow(10.0), SIX_SERVERS_LIMIT);
}

/// Guards against a partial failure that is too small for the success rate at one instance to show
/// it.
#[test]
fn partially_failing_server_is_out_in_time() {
    assert_detected(
        &Config::default(),
        Fault::Failing(0.3),
        TWENTY_SERVERS_LIMIT,
    );
    assert_detected(&six_servers(), Fault::Failing(0.3), SIX_SERVERS_LIMIT);
}

/// Guards against a server that never answers, so that no service time is ever measured.
#[test]
fn hung_server_is_out_in_time() {
    assert_detected(&Config::default(), Fault::Hung, TWENTY_SERVERS_LIMIT);
    assert_detected(&six_servers(), Fault::Hung, SIX_SERVERS_LIMIT);
}

/// Guards against a server that is down and whose failure is mistaken for path faults of all
/// instances.
#[test]
fn dead_server_is_out_in_time() {
    assert_detected(&Config::default(), Fault::Down, TWENTY_SERVERS_LIMIT);
    assert_detected(&six_servers(), Fault::Down, SIX_SERVERS_LIMIT);
}
