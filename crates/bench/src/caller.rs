//! Callers: arrivals, the addresses they use, and what they do with a refusal.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::number::{float_len, mixed, rounded};
use crate::policy::Policy;
use crate::user::{Fleet, ORGANISATION_SHARES};

/// Most times that a caller sends one request.
pub const MAX_SENDINGS: u32 = 3;

/// Time that a caller waits before it sends a request again whose outcome is unknown.
pub const RESEND_DELAY: std::time::Duration = std::time::Duration::from_millis(300);

/// Addresses per organisation as a multiple of its part of the load.
const ADDRESSES_PER_SHARE: f64 = 1.5;

/// Fewest addresses of an organisation; the loss of one instance must leave another.
const MIN_ADDRESSES: usize = 2;

/// Entry instances that the callers of each organisation use, the most used one first.
#[derive(Debug, Clone)]
pub struct Callers {
    addresses: Vec<Vec<usize>>,
}

impl Callers {
    /// Addresses by rendezvous hash. Where the rate is divided into fixed shares, the addresses of
    /// all instances are given out.
    #[must_use]
    pub fn new(fleet: &Fleet, policy: Policy, seed: u64) -> Self {
        let all = fleet.instances.len();
        let mut addresses = Vec::new();
        for (organisation, share) in ORGANISATION_SHARES.iter().enumerate() {
            let wanted = rounded((share * float_len(all) * ADDRESSES_PER_SHARE).ceil()) as usize;
            let count = if policy.allocates_rate() {
                wanted.clamp(MIN_ADDRESSES, all)
            } else {
                all
            };
            addresses.push(rendezvous(organisation, all, count, seed));
        }
        Self { addresses }
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

fn rendezvous(organisation: usize, all: usize, count: usize, seed: u64) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..all).collect();
    ranked.sort_by_key(|instance| mixed(&[seed, organisation as u64, *instance as u64]));
    ranked.truncate(count);
    ranked
}
