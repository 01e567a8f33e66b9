//! Choice of the addresses for callers (design sections 4.2 and 4.5, P10).

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use common::life;
use radishpaddle_model::OrganisationId;
use radishpaddle_quorum::InstanceIncarnation;
use radishpaddle_quorum::address::{DEFAULT_ADDRESSES, choose_addresses};
use radishpaddle_quorum::witness::{InstanceRecord, InstanceState};

fn members(count: usize) -> BTreeMap<InstanceIncarnation, InstanceRecord> {
    let record = |number: usize| InstanceRecord {
        address: address(number),
        availability_zone: format!("zone-{}", number % 3).parse().expect("a valid id"),
        state: InstanceState::Serving,
    };
    (0..count)
        .map(|number| (life(number, 1), record(number)))
        .collect()
}

fn address(number: usize) -> SocketAddr {
    format!("127.0.0.1:{}", 1000 + number)
        .parse()
        .expect("an address")
}

fn organisation(number: usize) -> OrganisationId {
    format!("organisation-{number}")
        .parse()
        .expect("a valid id")
}

/// Guards against a choice whose addresses are all in one availability zone, which a caller loses together.
#[test]
fn the_first_addresses_are_in_different_zones() {
    let members = members(14);
    for number in 0..100 {
        let chosen = choose_addresses(&members, &organisation(number), DEFAULT_ADDRESSES);

        let zones: BTreeSet<u16> = chosen[..3]
            .iter()
            .map(|address| (address.port() - 1000) % 3)
            .collect();
        assert_eq!(chosen.len(), DEFAULT_ADDRESSES);
        assert_eq!(zones.len(), 3, "{chosen:?}");
    }
}

/// Guards against addresses of instances that are lost, leaving or not ready.
#[test]
fn only_serving_instances_are_told() {
    let mut members = members(5);
    for (number, state) in [
        (0, InstanceState::Leaving),
        (1, InstanceState::NotReady),
        (2, InstanceState::Lost),
    ] {
        members.get_mut(&life(number, 1)).expect("a member").state = state;
    }

    let chosen: BTreeSet<_> = choose_addresses(&members, &organisation(1), 10)
        .into_iter()
        .collect();

    assert_eq!(chosen, BTreeSet::from([address(3), address(4)]));
}

/// Guards against a choice that moves all callers when one instance is lost, which would leave their allocations
/// unused at the other instances.
#[test]
fn a_lost_instance_moves_only_its_own_callers() {
    let before = members(14);
    let mut after = before.clone();
    after.remove(&life(5, 1));
    for number in 0..500 {
        let first = choose_addresses(&before, &organisation(number), 1);
        let next = choose_addresses(&after, &organisation(number), 1);

        assert!(
            first == next || first == [address(5)],
            "organisation {number} moved"
        );
    }
}

/// Guards against an uneven distribution of organisations over instances. With 14 instances and 2,000 organisations,
/// an equal share is 143; the test accepts half to twice of it.
#[test]
fn organisations_are_spread_over_the_instances() {
    let members = members(14);
    let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for number in 0..2000 {
        for address in choose_addresses(&members, &organisation(number), 1) {
            *counts.entry(address).or_default() += 1;
        }
    }

    assert_eq!(counts.len(), 14);
    assert!(
        counts.values().all(|count| (71..286).contains(count)),
        "{counts:?}"
    );
}
