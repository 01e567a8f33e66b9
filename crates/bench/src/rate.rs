//! Rate and burst of organisations at the entry instances.

use std::time::Duration;

use crate::policy::Policy;
use crate::user::{Fleet, Service};
use crate::window::TokenBucket;

/// What an entry instance does with a request that needs a token of its organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateDecision {
    /// The request is admitted.
    Admit,
    /// The organisation is over its rate.
    Refuse,
}

/// Rates of all organisations at all services.
#[derive(Debug)]
pub enum Rates {
    /// Each instance has an equal part; buckets by instance, service and organisation.
    Fixed(Vec<Vec<Vec<TokenBucket>>>),
    /// One bucket for the fleet, without any delay; a stand-in for the allocations.
    Central(Vec<Vec<TokenBucket>>),
}

impl Rates {
    /// Full buckets.
    #[must_use]
    pub fn new(policy: Policy, fleet: &Fleet) -> Self {
        if policy.allocates_rate() {
            return Self::Central(buckets(fleet, 1.0));
        }
        let part = 1.0 / crate::number::float_len(fleet.instances.len());
        let instances = fleet.instances.iter();
        Self::Fixed(instances.map(|_| buckets(fleet, part)).collect())
    }

    /// Asks for a token.
    pub fn admit(
        &mut self,
        instance: usize,
        service: usize,
        organisation: usize,
        now: Duration,
    ) -> RateDecision {
        let bucket = match self {
            Self::Fixed(buckets) => &mut buckets[instance][service][organisation],
            Self::Central(buckets) => &mut buckets[service][organisation],
        };
        if bucket.take(now) {
            RateDecision::Admit
        } else {
            RateDecision::Refuse
        }
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
