//! Counting of the crashes of backend servers that a request may have caused.

use std::time::Duration;

use radishpaddle_coordinator::suspects::Suspects;
use radishpaddle_model::{Fingerprint, RequestCrash};

const REQUEST: Fingerprint = Fingerprint([7; 16]);
const NOW: Duration = Duration::from_secs(1_000);

/// Crash of a backend server: the request was sent `sent_ms_ago` and the server crashed `ended_ms_ago`.
fn crash(server: u64, sent_ms_ago: u32, ended_ms_ago: u32) -> RequestCrash {
    RequestCrash {
        request: REQUEST,
        server,
        sent_ms_ago,
        ended_ms_ago,
    }
}

fn crashes(suspects: &Suspects) -> Option<u32> {
    let list = suspects.list();
    let suspect = list.iter().find(|suspect| suspect.request == REQUEST);
    suspect.map(|suspect| suspect.crashes)
}

/// Guards against a crash that is counted once for each gateway that had the request in flight at the server.
#[test]
fn each_life_of_a_server_counts_once() {
    let mut suspects = Suspects::default();

    let new = [(1, 900, 800), (1, 850, 800), (2, 500, 400)]
        .map(|(server, sent, ended)| suspects.record(&crash(server, sent, ended), NOW));

    assert_eq!(new, [true, false, true]);
    assert_eq!(crashes(&suspects), Some(2));
    assert_eq!(suspects.position(), 2);
}

/// Guards against refusing a frequent request because a whole rack failed while several copies were in flight.
#[test]
fn servers_that_end_together_count_once() {
    let mut suspects = Suspects::default();
    for server in 1..=5 {
        suspects.record(&crash(server, 300, 200), NOW);
    }

    assert_eq!(crashes(&suspects), Some(1));
}

/// Guards against a crash count that depends on the order in which reports arrive.
#[test]
fn crashes_in_sequence_count_in_any_order_of_reports() {
    let reports = [(1, 900, 800), (2, 700, 600), (3, 650, 550), (4, 500, 400)];
    let orders = [[0, 1, 2, 3], [3, 2, 1, 0], [2, 0, 3, 1]];
    for order in orders {
        let mut suspects = Suspects::default();
        for index in order {
            let (server, sent, ended) = reports[index];
            suspects.record(&crash(server, sent, ended), NOW);
        }

        assert_eq!(crashes(&suspects), Some(3), "{order:?}");
    }
}

/// Guards against losing the order of crashes when they are transferred to a coordinator that has just started.
#[test]
fn another_coordinator_counts_the_same() {
    let mut suspects = Suspects::default();
    suspects.record(&crash(1, 900, 800), NOW);
    suspects.record(&crash(2, 700, 600), NOW);
    suspects.record(&crash(3, 700, 600), NOW);

    let mut other = Suspects::default();
    let later = NOW + Duration::from_secs(5);
    for crash in suspects.crashes(later) {
        other.record(&crash, later);
    }

    assert_eq!(crashes(&other), Some(2));
}

/// Guards against refusing a harmless request that was in flight when servers crashed for another reason.
#[test]
fn an_answer_clears_a_request() {
    let mut suspects = Suspects::default();
    suspects.record(&crash(1, 900, 800), NOW);
    suspects.record(&crash(2, 700, 600), NOW);

    let cleared = suspects.clear(&REQUEST);
    suspects.record(&crash(3, 500, 400), NOW);

    assert!(cleared);
    assert!(!suspects.clear(&Fingerprint([8; 16])));
    assert_eq!(crashes(&suspects), Some(1));
}

/// Guards against unbounded memory: without expiry and a limit, every request that was in flight during a crash
/// would be kept.
#[test]
fn suspects_expire_and_are_bounded() {
    let mut suspects = Suspects::default();
    for number in 0..5_000_u32 {
        let mut bytes = [0; 16];
        bytes[..4].copy_from_slice(&number.to_le_bytes());
        let crash = RequestCrash {
            request: Fingerprint(bytes),
            ..crash(1, 0, 0)
        };
        suspects.record(&crash, Duration::from_millis(number.into()));
    }
    suspects.record(&crash(1, 0, 0), Duration::from_mins(2));

    assert_eq!(suspects.list().len(), 1_024);
    suspects.expire(Duration::from_mins(11));
    assert_eq!(suspects.list().len(), 1);
    suspects.expire(Duration::from_mins(13));
    assert_eq!(suspects.list().len(), 0);
}

/// Guards against a request that is never refused because many copies crashed servers at once and further crashes
/// were ignored.
#[test]
fn crashes_in_sequence_count_after_many_copies_crashed_together() {
    let mut suspects = Suspects::default();
    for server in 1..=20 {
        suspects.record(&crash(server, 900, 800), NOW);
    }
    for (server, sent, ended) in [(21, 700, 600), (22, 700, 590), (23, 500, 400)] {
        suspects.record(&crash(server, sent, ended), NOW);
    }
    let position = suspects.position();
    let repeated = suspects.record(&crash(20, 900, 800), NOW);

    assert_eq!(crashes(&suspects), Some(3));
    assert!(!repeated);
    assert_eq!(suspects.position(), position);
    assert_eq!(suspects.crashes(NOW).len(), 16);
}

/// Guards against a quarantine that expires ten minutes after the first crashes although the request goes on to crash
/// servers.
#[test]
fn a_request_that_crashes_servers_for_long_stays_suspect() {
    let mut suspects = Suspects::default();
    for number in 1..=40_u32 {
        let now = NOW + Duration::from_mins(number.into());
        suspects.record(&crash(number.into(), 300, 0), now);
    }

    suspects.expire(NOW + Duration::from_mins(49));
    let before = crashes(&suspects);
    suspects.expire(NOW + Duration::from_mins(51));

    assert_eq!(before, Some(16));
    assert_eq!(crashes(&suspects), None);
}
