//! Tells callers which entry addresses to use, and for how long they may cache the list.

use std::time::Duration;

use radishpaddle_model::{AvailabilityZone, FleetConfig, InstanceId, OrganisationKey};
use radishpaddle_quorum::address::{DEFAULT_ADDRESSES, choose_addresses};
use radishpaddle_quorum::witness::{InstanceRecord, InstanceState};
use serde::Serialize;

use crate::caller_response::CallerResponse;
use crate::config_store::organisation_for_key;
use crate::fleet_view::FleetViewReceiver;

/// Path of the address list on every entry instance.
pub const ADDRESSES_PATH: &str = "/.well-known/radishpaddle/addresses";

/// Creates address lists from the members of the fleet.
#[derive(Clone)]
pub struct AddressResponder {
    fleet: FleetViewReceiver,
    lifetime: Duration,
}

#[derive(Debug)]
#[derive(Serialize)]
struct AddressList {
    lifetime_ms: u64,
    addresses: Vec<AddressEntry>,
}

#[derive(Debug)]
#[derive(Serialize)]
struct AddressEntry {
    address: std::net::SocketAddr,
    instance: InstanceId,
    availability_zone: AvailabilityZone,
}

impl AddressResponder {
    /// Creates a responder whose address lists may be cached for `lifetime`.
    #[must_use]
    pub const fn new(fleet: FleetViewReceiver, lifetime: Duration) -> Self {
        Self { fleet, lifetime }
    }

    /// Returns the address list: the addresses chosen for the organisation if the key is known,
    /// else all serving instances.
    #[must_use]
    pub fn respond(&self, config: &FleetConfig, presented_key: Option<&str>) -> CallerResponse {
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
            let chosen = choose_addresses(&members, &organisation, DEFAULT_ADDRESSES);
            let rank = |record: &InstanceRecord| {
                chosen.iter().position(|address| *address == record.address)
            };
            serving.retain(|(_, record)| rank(record).is_some());
            serving.sort_by_key(|(_, record)| rank(record));
        }
        let addresses = serving
            .into_iter()
            .map(|(instance, record)| AddressEntry {
                address: record.address,
                instance: instance.clone(),
                availability_zone: record.availability_zone.clone(),
            })
            .collect();
        let list = AddressList {
            lifetime_ms: u64::try_from(self.lifetime.as_millis()).unwrap_or(u64::MAX),
            addresses,
        };
        CallerResponse::json(&serde_json::to_value(list).unwrap_or_default())
    }
}
