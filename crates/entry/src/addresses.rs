//! Which entry addresses a caller should use, and for how long.

use std::time::Duration;

use radishpaddle_model::{AvailabilityZone, FleetConfig, InstanceId, OrganisationKey};
use radishpaddle_quorum::witness::{InstanceRecord, InstanceState};
use serde::Serialize;

use crate::answer::Answer;
use crate::config_store::organisation_for_key;
use crate::fleet_view::FleetWatch;

/// Path of the address answer on every entry instance.
pub const ADDRESSES_PATH: &str = "/.well-known/radishpaddle/addresses";

/// Addresses told to a caller with a key. Few instances for one organisation keep its rate
/// allocations together; three survive the loss of an availability zone.
const ADDRESSES_PER_ORGANISATION: usize = 4;

/// Makes address answers from the members of the fleet.
#[derive(Clone)]
pub struct AddressBook {
    fleet: FleetWatch,
    lifetime: Duration,
}

#[derive(Debug, Serialize)]
struct AddressAnswer {
    lifetime_ms: u64,
    addresses: Vec<AddressEntry>,
}

#[derive(Debug, Serialize)]
struct AddressEntry {
    address: std::net::SocketAddr,
    instance: InstanceId,
    availability_zone: AvailabilityZone,
}

impl AddressBook {
    /// Address answers with a lifetime.
    #[must_use]
    pub const fn new(fleet: FleetWatch, lifetime: Duration) -> Self {
        Self { fleet, lifetime }
    }

    /// Answer for a caller, by its key if it has one.
    #[must_use]
    pub fn answer(&self, config: &FleetConfig, presented_key: Option<&str>) -> Answer {
        let organisation = presented_key
            .and_then(|text| text.parse::<OrganisationKey>().ok())
            .and_then(|key| organisation_for_key(config, &key.hash()).cloned());
        let members = self.fleet.borrow().members.clone();
        let mut serving: Vec<(&InstanceId, &InstanceRecord)> = members
            .iter()
            .filter(|(_, record)| record.state == InstanceState::Serving)
            .map(|(life, record)| (&life.instance, record))
            .collect();
        if let Some(organisation) = organisation {
            serving = steer(serving, organisation.as_str());
        }
        let addresses = serving
            .into_iter()
            .map(|(instance, record)| AddressEntry {
                address: record.address,
                instance: instance.clone(),
                availability_zone: record.availability_zone.clone(),
            })
            .collect();
        let answer = AddressAnswer {
            lifetime_ms: u64::try_from(self.lifetime.as_millis()).unwrap_or(u64::MAX),
            addresses,
        };
        Answer::json(&serde_json::to_value(answer).unwrap_or_default())
    }
}

/// The instances with the highest rendezvous hash for the organisation, one zone after the other.
fn steer<'a>(
    mut serving: Vec<(&'a InstanceId, &'a InstanceRecord)>,
    organisation: &str,
) -> Vec<(&'a InstanceId, &'a InstanceRecord)> {
    serving.sort_by_key(|(instance, _)| std::cmp::Reverse(weight(organisation, instance)));
    let mut chosen: Vec<(&InstanceId, &InstanceRecord)> = Vec::new();
    while chosen.len() < ADDRESSES_PER_ORGANISATION && !serving.is_empty() {
        let zones = |record: &InstanceRecord| {
            chosen
                .iter()
                .filter(|(_, known)| known.availability_zone == record.availability_zone)
                .count()
        };
        let fewest = serving
            .iter()
            .enumerate()
            .min_by_key(|(index, (_, record))| (zones(record), *index))
            .map_or(0, |(index, _)| index);
        chosen.push(serving.remove(fewest));
    }
    chosen
}

/// Rendezvous hash (Thaler and Ravishankar 1998) by FNV-1a with a final mix.
fn weight(organisation: &str, instance: &InstanceId) -> u64 {
    let bytes = organisation
        .bytes()
        .chain([0])
        .chain(instance.as_str().bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash ^ (hash >> 32)).wrapping_mul(0xff51_afd7_ed55_8ccd)
}
