//! Addresses that a caller is told (rendezvous hashing per organisation, spread over availability zones).

use std::collections::BTreeMap;
use std::net::SocketAddr;

use radishpaddle_model::{AvailabilityZone, InstanceId, OrganisationId};

use crate::group::Life;
use crate::witness::{InstanceRecord, InstanceState};

/// Time for which a caller may use the addresses.
pub const ADDRESS_LIFETIME: std::time::Duration = std::time::Duration::from_secs(5);

/// Addresses told to one caller by default: one per availability zone today, and one more.
pub const DEFAULT_ADDRESSES: usize = 4;

/// Chooses up to `count` serving instances for an organisation, the preferred one first.
///
/// The same members give the same choice on every instance, and a member that comes or goes changes the choice only
/// where it is part of it. Each round takes the best instance of each zone, so that the first addresses are in different
/// zones. Members that leave or are not ready are omitted.
#[must_use]
pub fn choose_addresses(
    members: &BTreeMap<Life, InstanceRecord>,
    organisation: &OrganisationId,
    count: usize,
) -> Vec<SocketAddr> {
    let mut zones: BTreeMap<&AvailabilityZone, Vec<(u64, &InstanceRecord)>> = BTreeMap::new();
    let serving = members
        .iter()
        .filter(|(_, record)| record.state == InstanceState::Serving);
    for (life, record) in serving {
        let weight = weight(organisation, &life.instance);
        zones
            .entry(&record.availability_zone)
            .or_default()
            .push((weight, record));
    }
    let mut ranked: Vec<(usize, u64, &InstanceRecord)> = Vec::new();
    for instances in zones.values_mut() {
        instances.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let rounds = instances.iter().take(count).enumerate();
        ranked.extend(rounds.map(|(round, (weight, record))| (round, *weight, *record)));
    }
    ranked.sort_unstable_by_key(|(round, weight, _)| (*round, std::cmp::Reverse(*weight)));
    let chosen = ranked.into_iter().take(count);
    chosen.map(|(_, _, record)| record.address).collect()
}

/// Rendezvous weight: FNV-1a over both names, mixed so that near names give unrelated weights.
fn weight(organisation: &OrganisationId, instance: &InstanceId) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = organisation
        .as_str()
        .bytes()
        .chain([0])
        .chain(instance.as_str().bytes());
    let hash = bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}
