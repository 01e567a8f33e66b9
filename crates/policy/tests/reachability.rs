//! Whether an instance notices that it reaches no backend server.

use std::sync::Arc;

use radishpaddle_policy::reachability::{
    MIN_UNREACHABLE_SERVERS, Reachability, ReachabilityChange,
};

fn server(number: usize) -> Arc<str> {
    format!("server-{number}").into()
}

/// Guards against an instance that goes on sending to servers although it reaches none, and against one that reports it
/// again with each failure.
#[test]
fn an_instance_that_reaches_no_server_notices_it_once() {
    let mut reachability = Reachability::default();

    let changes: Vec<_> = (0..MIN_UNREACHABLE_SERVERS + 3)
        .filter_map(|number| reachability.record_failure(&server(number), 30))
        .collect();

    assert_eq!(changes, [ReachabilityChange::Lost]);
    assert!(reachability.is_isolated());
    assert_eq!(
        reachability.record_connected(),
        Some(ReachabilityChange::Regained)
    );
    assert!(!reachability.is_isolated());
}

/// Guards against an instance that counts as cut off because a single server is down.
#[test]
fn a_single_server_that_is_down_isolates_nobody() {
    let mut reachability = Reachability::default();

    let changes: Vec<_> = (0..100)
        .filter_map(|_| reachability.record_failure(&server(1), 30))
        .collect();

    assert_eq!(changes, []);
}

/// Guards against an instance that counts as cut off because all servers of one service are down.
#[test]
fn failures_of_the_requests_of_one_service_isolate_nobody() {
    let mut reachability = Reachability::default();

    for number in 0..MIN_UNREACHABLE_SERVERS * 2 {
        reachability.record_doubt(&server(number));
    }
    let change = reachability.record_failure(&server(0), 30);

    assert_eq!(change, None);
    assert!(!reachability.is_isolated());
}

/// Guards against failures of different faults that add up although connections were opened in between.
#[test]
fn a_new_connection_ends_the_count_of_unreachable_servers() {
    let mut reachability = Reachability::default();

    let changes: Vec<_> = (0..100)
        .filter_map(|number| {
            let failed = reachability.record_failure(&server(number), 30);
            let is_last_before_limit = (number + 1) % (MIN_UNREACHABLE_SERVERS - 1) == 0;
            let connected = is_last_before_limit.then(|| reachability.record_connected());
            failed.or(connected.flatten())
        })
        .collect();

    assert_eq!(changes, []);
}

/// Guards against a small deployment whose instances never notice that they are cut off.
#[test]
fn all_servers_of_a_small_deployment_are_enough() {
    let mut reachability = Reachability::default();

    let first = reachability.record_failure(&server(1), 2);
    let second = reachability.record_failure(&server(2), 2);

    assert_eq!((first, second), (None, Some(ReachabilityChange::Lost)));
}
