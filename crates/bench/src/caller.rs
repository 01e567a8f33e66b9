//! Callers: arrivals, the addresses they use, and what they do with a refusal.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use radishpaddle_model::Incarnation;
use radishpaddle_quorum::InstanceIncarnation;
use radishpaddle_quorum::address::{DEFAULT_ADDRESSES, choose_addresses};
use radishpaddle_quorum::witness::{InstanceRecord, InstanceState};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::fault::Node;
use crate::number::float_len;
use crate::policy::Policy;
use crate::user::{Fleet, zone_id};

/// Most times that a caller sends one request.
pub const MAX_SENDINGS: u32 = 3;

/// Time that a caller waits before it sends a request again whose outcome is unknown.
pub const RESEND_DELAY: std::time::Duration = std::time::Duration::from_millis(300);

/// Entry instances that the callers of each organisation use, the most used one first.
#[derive(Debug, Clone)]
pub struct Callers {
    addresses: Vec<Vec<usize>>,
}

impl Callers {
    /// Addresses as the fleet tells them. Where the rate is divided into fixed shares, the
    /// addresses of all instances are given out.
    #[must_use]
    pub fn new(fleet: &Fleet, policy: Policy) -> Self {
        let all = fleet.instances.len();
        let count = if policy.allocates_rate() {
            DEFAULT_ADDRESSES
        } else {
            all
        };
        let members = members(fleet);
        let of_organisation = |organisation| {
            let chosen = choose_addresses(&members, organisation, count);
            chosen
                .iter()
                .map(|address| usize::from(address.port()))
                .collect()
        };
        Self {
            addresses: fleet.organisations.iter().map(of_organisation).collect(),
        }
    }

    /// Address for the first sending. Callers open few connections and keep them, so they are
    /// spread unevenly: the use of the addresses falls with the square root of their rank.
    pub fn first(&self, organisation: usize, rng: &mut SmallRng) -> usize {
        let addresses = &self.addresses[organisation];
        let weight = |rank: usize| 1.0 / float_len(rank + 1).sqrt();
        let total: f64 = (0..addresses.len()).map(weight).sum();
        let mut drawn = rng.random::<f64>() * total;
        for (rank, address) in addresses.iter().enumerate() {
            drawn -= weight(rank);
            if drawn <= 0.0 {
                return *address;
            }
        }
        addresses[0]
    }

    /// Address after one that refused or did not answer.
    #[must_use]
    pub fn next(&self, organisation: usize, instance: usize) -> usize {
        let addresses = &self.addresses[organisation];
        let position = addresses.iter().position(|address| *address == instance);
        addresses[position.map_or(0, |index| (index + 1) % addresses.len())]
    }
}

/// All instances as serving members; the port is the index of the instance.
fn members(fleet: &Fleet) -> BTreeMap<InstanceIncarnation, InstanceRecord> {
    let instances = fleet.instances.iter().enumerate();
    instances
        .map(|(index, instance)| {
            let life = InstanceIncarnation {
                instance: instance.clone(),
                incarnation: Incarnation(1),
            };
            let port = u16::try_from(index).unwrap_or(u16::MAX);
            let record = InstanceRecord {
                address: SocketAddr::from(([127, 0, 0, 1], port)),
                availability_zone: zone_id(Node::Instance(index).zone()),
                state: InstanceState::Serving,
            };
            (life, record)
        })
        .collect()
}
