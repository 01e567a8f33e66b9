//! No server is ejected without a fault of its own: load for an hour, broken paths, common causes.

mod simulation;

use std::time::Duration;

use simulation::{Config, Fault, Simulation, Spread};

const HOUR: Duration = Duration::from_hours(1);

fn assert_no_ejection_in_an_hour(config: Config) {
    let mut simulation = Simulation::new(config);

    simulation.run_until(HOUR);

    let ejections: Vec<String> = simulation
        .ejections()
        .iter()
        .map(|decision| format!("{:?}: {decision}", decision.at))
        .collect();
    assert!(ejections.is_empty(), "{ejections:#?}");
    println!(
        "{:?}: {} answered, {} shed or failed, {} advised paths",
        simulation.config, simulation.answered, simulation.failed, simulation.path_faults
    );
}

/// Guards against queueing at 90 % load that is mistaken for slowness.
#[test]
fn hour_at_90_percent_of_capacity_ejects_nobody() {
    assert_no_ejection_in_an_hour(Config {
        load: 0.9,
        ..Config::default()
    });
}

/// Guards against overload and shed requests that are mistaken for faults.
#[test]
fn hour_at_120_percent_of_capacity_ejects_nobody() {
    assert_no_ejection_in_an_hour(Config {
        load: 1.2,
        ..Config::default()
    });
}

/// Guards against false alarms from a comparison with few peers.
#[test]
fn hour_of_six_servers_ejects_nobody() {
    for load in [0.9, 1.2] {
        assert_no_ejection_in_an_hour(Config {
            servers: 6,
            load,
            ..Config::default()
        });
    }
}

/// Guards against ejections when a shared dependency slows down or fails all servers at once.
#[test]
fn common_cause_ejects_nobody() {
    for fault in [Fault::Slow(10.0), Fault::Failing(0.3), Fault::Hung] {
        let mut simulation = Simulation::new(Config::default());
        simulation.run_until(Duration::from_secs(20));
        for server in 0..simulation.config.servers {
            simulation.set_fault(server, fault);
        }
        simulation.run_until(Duration::from_secs(80));
        assert_eq!(simulation.ejections().len(), 0, "{fault:?}");
    }
}

/// Guards against the ejection of a server for the whole fleet because one instance does not reach
/// it.
#[test]
fn one_way_broken_path_ejects_nobody() {
    let mut simulation = Simulation::new(Config::default());
    simulation.run_until(Duration::from_secs(20));
    simulation.broken_paths = vec![(3, 2)];
    simulation.run_until(Duration::from_mins(5));
    assert_eq!(simulation.ejections().len(), 0);
}

/// Guards against broken paths of two instances in different zones that count as independent
/// evidence against the server.
#[test]
fn two_broken_paths_to_one_server_eject_nobody() {
    for seed in 1..11 {
        let mut simulation = Simulation::new(Config {
            seed,
            ..Config::default()
        });
        simulation.run_until(Duration::from_secs(20));
        simulation.broken_paths = vec![(3, 2), (7, 2)];
        simulation.run_until(Duration::from_mins(5));
        assert_eq!(simulation.ejections().len(), 0, "seed {seed}");
    }
}

/// Guards against the ejection of the servers of a zone because the instances of another zone are
/// partitioned from them.
#[test]
fn partition_between_two_zones_ejects_nobody() {
    let mut simulation = Simulation::new(Config::default());
    simulation.run_until(Duration::from_secs(20));
    let config = &simulation.config;
    let entries = (0..config.entries).filter(|entry| entry % 3 == 0);
    let paths = entries.flat_map(|entry| {
        let servers = (0..config.servers).filter(|server| server % 3 == 1);
        servers.map(move |server| (entry, server))
    });
    let paths = paths.collect();
    simulation.broken_paths = paths;
    simulation.run_until(Duration::from_mins(5));
    assert_eq!(simulation.ejections().len(), 0);
}

/// Guards against false alarms with heavy-tailed service times, for which single long requests are
/// normal.
#[test]
fn hour_of_heavy_tailed_service_times_ejects_nobody() {
    assert_no_ejection_in_an_hour(Config {
        load: 0.9,
        spread: Spread::LogNormal(1.0),
        ..Config::default()
    });
}
