//! Witness group that forms quorums, and the numbers that order group generations and leader epochs.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use radishpaddle_model::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// Time after a message was sent for which its reply may count towards a majority.
///
/// A witness that restarts loses its replies. It requests state copies only after [`RESTART_QUIET_PERIOD`], so every
/// majority that contains one of the lost replies is complete before the copies are taken.
pub const VOTE_VALIDITY: Duration = Duration::from_secs(2);

/// Time after its start for which a witness neither grants leases nor requests state copies.
///
/// Exceeds both [`VOTE_VALIDITY`] and [`crate::lease::GRANT_DURATION`] by more than the 2 % by which the rates of two
/// clocks may differ.
pub const RESTART_QUIET_PERIOD: Duration = Duration::from_millis(2100);

/// Generation of the witness group. Control starts the next generation when so many witnesses lost their state that
/// recovery from the others is impossible.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Generation(pub u64);

/// Fencing number of the leader lease. No two leaseholders use the same epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// One incarnation of an instance: a single run of its process, from start to exit.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct InstanceIncarnation {
    /// Identifier of the instance, the same for all incarnations.
    pub instance: InstanceId,
    /// Number of the incarnation; later incarnations have higher numbers.
    pub incarnation: Incarnation,
}

/// Witnesses of one generation.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WitnessGroup {
    /// Generation of the group.
    pub generation: Generation,
    /// Instances that act as witnesses.
    pub witnesses: BTreeSet<InstanceId>,
}

impl WitnessGroup {
    /// Returns the size of a majority: any two sets of that many witnesses have a witness in common.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.witnesses.len() / 2 + 1
    }

    /// Returns whether a message of `witness` in `generation` counts towards a majority of this group.
    #[must_use]
    pub fn admits(&self, generation: Generation, witness: &InstanceId) -> bool {
        generation == self.generation && self.witnesses.contains(witness)
    }
}

impl Epoch {
    const GENERATION_SHIFT: u32 = 32;

    /// Returns an epoch below every leader epoch of the generation and above those of earlier generations.
    #[must_use]
    pub const fn floor(generation: Generation) -> Self {
        Self(generation.0 << Self::GENERATION_SHIFT)
    }

    /// Returns the epoch that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for InstanceIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.instance, self.incarnation)
    }
}

impl fmt::Display for Generation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Returns the highest value that at least `majority` of the values reach or exceed; `None` when there are fewer
/// values.
pub(crate) fn majority_value<T: Ord + Copy>(
    majority: usize,
    values: impl Iterator<Item = T>,
) -> Option<T> {
    let mut sorted: Vec<T> = values.collect();
    sorted.sort_unstable_by(|left, right| right.cmp(left));
    sorted.get(majority - 1).copied()
}
