//! Rate and burst of organisations at the entry instances.

use std::collections::{BTreeMap, VecDeque};

use radishpaddle_quorum::InstanceIncarnation;
use radishpaddle_quorum::allocation::{AllocationSettings, Holder, LimitKey};

use crate::policy::Policy;
use crate::user::{Fleet, Service};
use crate::window::TokenBucket;

/// Rates of all organisations at all services.
#[derive(Debug)]
pub enum Rates {
    /// Each instance has an equal part; buckets by instance, service and organisation.
    Fixed(Vec<Vec<Vec<TokenBucket>>>),
    /// Each instance holds allocations of the leader's pool.
    Allocated(Allocations),
}

/// Allocations of all instances.
#[derive(Debug)]
pub struct Allocations {
    /// Holder by instance.
    pub holders: Vec<Holder>,
    /// Limit by service and organisation.
    pub keys: Vec<Vec<LimitKey>>,
    /// Requests that wait for tokens, by instance, service and organisation.
    pub waiting: Vec<BTreeMap<LimitKey, VecDeque<WaitingRequest>>>,
}

/// A request that waits for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The request.
    pub request: u64,
    /// Its sending.
    pub sending: u32,
}

impl Rates {
    /// Full buckets, or holders without allocations.
    #[must_use]
    pub fn new(policy: Policy, fleet: &Fleet) -> Self {
        if policy.allocates_rate() {
            return Self::Allocated(Allocations::new(fleet));
        }
        let part = 1.0 / crate::number::float_len(fleet.instances.len());
        let instances = fleet.instances.iter();
        Self::Fixed(instances.map(|_| buckets(fleet, part)).collect())
    }

    /// The allocations, if the rate follows demand.
    pub fn allocations(&mut self) -> Option<&mut Allocations> {
        match self {
            Self::Fixed(_) => None,
            Self::Allocated(allocations) => Some(allocations),
        }
    }
}

impl Allocations {
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

    /// The process of an instance has started again.
    pub fn restart(&mut self, instance: usize, life: InstanceIncarnation) {
        self.holders[instance] = Holder::new(life, AllocationSettings::default());
        self.waiting[instance].clear();
    }
}

fn buckets(fleet: &Fleet, part: f64) -> Vec<Vec<TokenBucket>> {
    let of_service = |service: &Service| {
        let limits = service.limits.iter();
        limits
            .map(|limit| {
                let rate = limit.rate_per_s.as_f64() * part;
                TokenBucket::new(rate, f64::from(limit.burst) * part)
            })
            .collect()
    };
    fleet.services.iter().map(of_service).collect()
}
