//! Choice of the entry instance by the callers, and their limits for resends.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use radishpaddle_model::Incarnation;
use radishpaddle_quorum::InstanceIncarnation;
use radishpaddle_quorum::address::{DEFAULT_ADDRESSES, choose_addresses};
use radishpaddle_quorum::witness::{InstanceRecord, InstanceState};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::deployment::{Fleet, zone_id};
use crate::fault::Node;
use crate::number::len_to_f64;
use crate::policy::Policy;

/// Maximum number of times that a caller sends one request, the first one included.
pub const MAX_SENDS: u32 = 3;

/// Delay before a caller resends a request after a lost connection or a result that does not say that
/// the request did not run.
pub const RESEND_DELAY: std::time::Duration = std::time::Duration::from_millis(300);

/// Entry instances that the callers of each organisation use.
#[derive(Debug, Clone)]
pub struct Callers {
    /// Indexes of the entry instances by organisation, the most used instance first.
    instances: Vec<Vec<usize>>,
}

impl Callers {
    /// Chooses the instances as the address endpoint of the fleet does. With fixed rate shares, callers
    /// use all instances, because each instance admits only its share of the rate.
    #[must_use]
    pub fn new(fleet: &Fleet, policy: Policy) -> Self {
        let all = fleet.instances.len();
        let count = if policy.allocates_rate() {
            DEFAULT_ADDRESSES
        } else {
            all
        };
        let members = serving_members(fleet);
        let of_organisation = |organisation| {
            let chosen = choose_addresses(&members, organisation, count);
            chosen
                .iter()
                .map(|address| usize::from(address.port()))
                .collect()
        };
        Self {
            instances: fleet.organisations.iter().map(of_organisation).collect(),
        }
    }

    /// Draws the instance to which a new request is sent. Callers open few connections and keep them,
    /// which spreads their load unevenly; the weight of an instance is the inverse square root of its
    /// rank.
    pub fn first_instance(&self, organisation: usize, rng: &mut SmallRng) -> usize {
        let instances = &self.instances[organisation];
        let weight = |rank: usize| 1.0 / len_to_f64(rank + 1).sqrt();
        let total: f64 = (0..instances.len()).map(weight).sum();
        let mut drawn = rng.random::<f64>() * total;
        for (rank, instance) in instances.iter().enumerate() {
            drawn -= weight(rank);
            if drawn <= 0.0 {
                return *instance;
            }
        }
        instances[0]
    }

    /// Returns the instance to try after `instance` has refused or not answered.
    #[must_use]
    pub fn next_instance(&self, organisation: usize, instance: usize) -> usize {
        let instances = &self.instances[organisation];
        let position = instances.iter().position(|other| *other == instance);
        instances[position.map_or(0, |index| (index + 1) % instances.len())]
    }
}

/// Returns records of all instances in state serving; the port is the index of the instance.
fn serving_members(fleet: &Fleet) -> BTreeMap<InstanceIncarnation, InstanceRecord> {
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
