//! Selection of the entry instance addresses for a caller: rendezvous hashing per organisation, spread over
//! availability zones.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use radishpaddle_model::{AvailabilityZone, InstanceId, OrganisationId};

use crate::group::InstanceIncarnation;
use crate::witness::{InstanceRecord, InstanceState};

/// Time for which a caller may use the addresses before it has to look them up again.
pub const ADDRESS_LIFETIME: std::time::Duration = std::time::Duration::from_secs(5);

/// Default number of addresses for one caller: one for each of three availability zones, and a spare.
pub const DEFAULT_ADDRESSES: usize = 4;

/// Chooses up to `count` serving instances for an organisation, in the order of preference.
///
/// All instances with the same member list make the same choice. A member that joins or leaves affects only the
/// choices that contain it. Each round takes the highest-ranked remaining instance of every zone, so that the first
/// addresses are in different zones. Members in any other state than [`InstanceState::Serving`] are omitted.
#[must_use]
pub fn choose_addresses(
    members: &BTreeMap<InstanceIncarnation, InstanceRecord>,
    organisation: &OrganisationId,
    count: usize,
) -> Vec<SocketAddr> {
    let mut zones: BTreeMap<&AvailabilityZone, Vec<(u64, &InstanceRecord)>> = BTreeMap::new();
    let serving = members
        .iter()
        .filter(|(_, record)| record.state == InstanceState::Serving);
    for (life, record) in serving {
        let weight = rendezvous_weight(organisation, &life.instance);
        zones
            .entry(&record.availability_zone)
            .or_default()
            .push((weight, record));
    }
    let mut ranked: Vec<(usize, u64, &InstanceRecord)> = Vec::new();
    for zone_instances in zones.values_mut() {
        zone_instances.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let rounds = zone_instances.iter().take(count).enumerate();
        ranked.extend(rounds.map(|(round, (weight, record))| (round, *weight, *record)));
    }
    ranked.sort_unstable_by_key(|(round, weight, _)| (*round, std::cmp::Reverse(*weight)));
    let chosen = ranked.into_iter().take(count);
    chosen.map(|(_, _, record)| record.address).collect()
}

/// Returns the rendezvous weight: FNV-1a over both identifiers, followed by the finalizer of `MurmurHash3`, because
/// FNV-1a alone gives correlated weights for similar identifiers.
fn rendezvous_weight(organisation: &OrganisationId, instance: &InstanceId) -> u64 {
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
