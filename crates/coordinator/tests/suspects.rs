//! Requests that were in flight when backend servers ended.

use std::time::Duration;

use radishpaddle_coordinator::suspects::Suspects;
use radishpaddle_model::{Fingerprint, RequestCrash};

const REQUEST: Fingerprint = Fingerprint([7; 16]);
const NOW: Duration = Duration::from_secs(1_000);

/// Crash of a request that was sent and broke off this long ago.
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

/// Guards against one crash that counts more than once because several gateways had the request there.
#[test]
fn each_life_of_a_server_counts_once() {
    let mut suspects = Suspects::default();

    let new = [(1, 900, 800), (1, 850, 800), (2, 500, 400)]
        .map(|(server, sent, ended)| suspects.record(&crash(server, sent, ended), NOW));

    assert_eq!(new, [true, false, true]);
    assert_eq!(crashes(&suspects), Some(2));
    assert_eq!(suspects.position(), 2);
}

/// Guards against a popular request that is refused because a rack ended with several copies of it in flight.
#[test]
fn servers_that_end_together_count_once() {
    let mut suspects = Suspects::default();
    for server in 1..=5 {
        suspects.record(&crash(server, 300, 200), NOW);
    }

    assert_eq!(crashes(&suspects), Some(1));
}

/// Guards against a count that depends on the order in which reports arrive.
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

/// Guards against crashes that lose their order on the way to a coordinator that has just started.
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

/// Guards against a harmless request that is refused because it was in flight when servers ended by themselves.
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

/// Guards against memory that grows with every request that ever met a crash.
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
