//! Requests that were in flight when backend servers ended.

use std::time::Duration;

use radishpaddle_coordinator::suspects::Suspects;
use radishpaddle_model::{Fingerprint, RequestCrash};

const REQUEST: Fingerprint = Fingerprint([7; 16]);

fn crash(server: u64) -> RequestCrash {
    RequestCrash {
        request: REQUEST,
        server,
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

    let new = [1, 1, 2].map(|server| suspects.record(crash(server), Duration::ZERO));

    assert_eq!(new, [true, false, true]);
    assert_eq!(crashes(&suspects), Some(2));
    assert_eq!(suspects.position(), 2);
}

/// Guards against a harmless request that is refused because it was in flight when servers ended by themselves.
#[test]
fn an_answer_clears_a_request() {
    let mut suspects = Suspects::default();
    suspects.record(crash(1), Duration::ZERO);
    suspects.record(crash(2), Duration::ZERO);

    let cleared = suspects.clear(&REQUEST);
    suspects.record(crash(3), Duration::ZERO);

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
        let request = Fingerprint(bytes);
        let at = Duration::from_millis(number.into());
        suspects.record(RequestCrash { request, server: 1 }, at);
    }
    suspects.record(crash(1), Duration::from_mins(2));

    assert_eq!(suspects.list().len(), 1_024);
    suspects.expire(Duration::from_mins(11));
    assert_eq!(suspects.list().len(), 1);
    suspects.expire(Duration::from_mins(13));
    assert_eq!(suspects.list().len(), 0);
}
