//! Detection of faults in simulated fleets with fixed seeds. The bounds are the targets of the
//! design: 2 s at half load, 5 s for services of six servers.

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

/// Times until a fault is out of rotation at every instance, sorted, over all seeds.
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

/// Guards against a server that is slow while its health endpoint is fine; no health check is
/// part of the simulation, so only the evidence of requests can find it.
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

/// Guards against a partial failure that a success-rate check of one instance does not see.
#[test]
fn partially_failing_server_is_out_in_time() {
    assert_detected(
        &Config::default(),
        Fault::Failing(0.3),
        TWENTY_SERVERS_LIMIT,
    );
    assert_detected(&six_servers(), Fault::Failing(0.3), SIX_SERVERS_LIMIT);
}

/// Guards against a server that never answers, for which no service time is ever known.
#[test]
fn hung_server_is_out_in_time() {
    assert_detected(&Config::default(), Fault::Hung, TWENTY_SERVERS_LIMIT);
    assert_detected(&six_servers(), Fault::Hung, SIX_SERVERS_LIMIT);
}

/// Guards against a dead server that is taken for a path fault of every instance.
#[test]
fn dead_server_is_out_in_time() {
    assert_detected(&Config::default(), Fault::Down, TWENTY_SERVERS_LIMIT);
    assert_detected(&six_servers(), Fault::Down, SIX_SERVERS_LIMIT);
}
