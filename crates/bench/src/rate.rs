//! Rate limits of the organisations at the entry instances.

use std::collections::{BTreeMap, VecDeque};

use radishpaddle_quorum::InstanceIncarnation;
use radishpaddle_quorum::allocation::{AllocationSettings, Holder, LimitKey};

use crate::deployment::{Fleet, Service};
use crate::policy::Policy;
use crate::window::TokenBucket;

/// Rate limits of all organisations at all services, as the entry instances apply them.
#[derive(Debug)]
pub enum RateLimits {
    /// Each instance has an equal share of each rate; buckets by instance, service and organisation.
    Fixed(Vec<Vec<Vec<TokenBucket>>>),
    /// Each instance holds allocations from the pool of the leader.
    Allocated(RateAllocations),
}

/// Allocations that the instances hold, and the requests that wait for them.
#[derive(Debug)]
pub struct RateAllocations {
    /// Holders of allocations by instance.
    pub holders: Vec<Holder>,
    /// Keys of the limits by service and organisation.
    pub keys: Vec<Vec<LimitKey>>,
    /// Requests that wait for a token, by instance and limit.
    pub waiting: Vec<BTreeMap<LimitKey, VecDeque<WaitingRequest>>>,
}

/// Request that waits for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Id of the request.
    pub request: u64,
    /// Number of the send that waits; a resend makes the entry obsolete.
    pub send_number: u32,
}

impl RateLimits {
    /// Creates full buckets with fixed shares, or holders without allocations.
    #[must_use]
    pub fn new(policy: Policy, fleet: &Fleet) -> Self {
        if policy.allocates_rate() {
            return Self::Allocated(RateAllocations::new(fleet));
        }
        let fraction = 1.0 / crate::number::len_to_f64(fleet.instances.len());
        let instances = fleet.instances.iter();
        Self::Fixed(instances.map(|_| buckets(fleet, fraction)).collect())
    }

    /// Returns the allocations, or `None` with fixed shares.
    pub fn allocations(&mut self) -> Option<&mut RateAllocations> {
        match self {
            Self::Fixed(_) => None,
            Self::Allocated(allocations) => Some(allocations),
        }
    }
}

impl RateAllocations {
    fn new(fleet: &Fleet) -> Self {
        let holders = fleet.instances.iter().map(|instance| {
            let life = InstanceIncarnation {
                instance: instance.clone(),
                incarnation: radishpaddle_model::Incarnation(1),
            };
            Holder::new(life, AllocationSettings::default())
        });
        let keys = fleet.services.iter().map(|service| {
            let organisations = fleet.organisations.iter();
            organisations
                .map(|organisation| LimitKey {
                    service: service.id.clone(),
                    organisation: organisation.clone(),
                })
                .collect()
        });
        Self {
            holders: holders.collect(),
            keys: keys.collect(),
            waiting: vec![BTreeMap::new(); fleet.instances.len()],
        }
    }

    /// Replaces the holder of an instance whose process has restarted by one without allocations, and
    /// drops the requests that waited there.
    pub fn restart(&mut self, instance: usize, life: InstanceIncarnation) {
        self.holders[instance] = Holder::new(life, AllocationSettings::default());
        self.waiting[instance].clear();
    }
}

fn buckets(fleet: &Fleet, fraction: f64) -> Vec<Vec<TokenBucket>> {
    let of_service = |service: &Service| {
        let limits = service.limits.iter();
        limits
            .map(|limit| {
                let rate = limit.rate_per_s.as_f64() * fraction;
                TokenBucket::new(rate, f64::from(limit.burst) * fraction)
            })
            .collect()
    };
    fleet.services.iter().map(of_service).collect()
}
