//! Behaviour after an ejection: probation, flapping, leader changes, gradual return.

mod simulation;

use std::time::Duration;

use radishpaddle_policy::Action;
use simulation::{Config, Fault, Simulation};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Guards against a flapping server that is ejected and returned at a constant rate. Each ejection
/// must last longer than the one before.
#[test]
fn probation_doubles_for_a_flapping_server() {
    let mut simulation = Simulation::new(Config::default());
    simulation.run_until(seconds(20));
    for _ in 0..120 {
        let is_out = simulation.is_out_everywhere(2);
        // The server is healthy while it is ejected or on trial, and faulty as soon as it is in
        // rotation.
        let fault = if is_out {
            Fault::None
        } else {
            Fault::Slow(10.0)
        };
        simulation.set_fault(2, fault);
        simulation.run_until(simulation.now + seconds(1));
    }

    let probations: Vec<u64> = simulation
        .ejections()
        .iter()
        .filter_map(|decision| match decision.action {
            Action::Ejected { probation, .. } => Some(probation.as_secs()),
            _ => None,
        })
        .collect();

    assert!(probations.len() >= 4, "{probations:?}");
    let doubles = |pair: &[u64]| pair[1] == (2 * pair[0]).min(300);
    assert_eq!(probations[0], 5);
    assert!(probations.windows(2).all(doubles), "{probations:?}");
}

/// Guards against a recovered server that stays ejected, and against one that returns with its full
/// weight at once.
#[test]
fn recovered_server_returns_step_by_step() {
    let mut simulation = Simulation::new(Config::default());
    simulation.run_until(seconds(20));
    simulation.set_fault(2, Fault::Failing(0.3));
    simulation.time_until_out(2, seconds(20), seconds(60));
    simulation.set_fault(2, Fault::None);

    simulation.run_until(simulation.now + seconds(30));

    let actions: Vec<&Action> = simulation
        .decisions
        .iter()
        .map(|decision| &decision.action)
        .collect();
    let steps = actions.iter().filter_map(|action| match action {
        Action::Ramped { weight_percent } => Some(*weight_percent),
        Action::Returned => Some(100),
        _ => None,
    });
    assert_eq!(steps.collect::<Vec<u8>>(), [25, 50, 100], "{actions:?}");
}

/// Guards against a new leader that returns ejected servers or ejects below the floor, because it
/// does not know the ejections of its predecessor.
#[test]
fn new_leader_keeps_the_ejections_of_its_predecessor() {
    let mut simulation = Simulation::new(Config {
        floor_percent: 90.0,
        ..Config::default()
    });
    simulation.run_until(seconds(20));
    simulation.set_fault(2, Fault::Slow(10.0));
    simulation.set_fault(3, Fault::Failing(0.5));
    simulation.run_until(seconds(24));
    assert!(simulation.is_out_everywhere(2) && simulation.is_out_everywhere(3));

    simulation.set_fault(4, Fault::Hung);
    simulation.change_leader(2);
    for _ in 0..40 {
        simulation.run_until(simulation.now + Duration::from_millis(50));
        assert!(simulation.is_out_everywhere(2) || simulation.is_out_everywhere(3));
    }
    simulation.run_until(seconds(40));

    assert!(simulation.lowest_in_rotation >= 54);
    assert!(simulation.is_out_everywhere(4));
}
