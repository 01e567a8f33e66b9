//! The witnesses that form one quorum, and the numbers that order leaders and generations.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use radishpaddle_model::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// How long after a message was sent its answer may still count towards a majority.
///
/// A witness that restarts forgets its answers. It asks for copies only after [`RESTART_HOLD`], so every majority that
/// contains one of its forgotten answers is complete before the copies are taken.
pub const VOTE_VALIDITY: Duration = Duration::from_secs(2);

/// Time after its start for which a witness neither answers nor asks for copies.
///
/// Exceeds [`VOTE_VALIDITY`] and the granted lease by more than the 2 % by which two clock rates may differ.
pub const RESTART_HOLD: Duration = Duration::from_millis(2100);

/// Life of the witness group; a loss of more witnesses than can be recovered starts the next one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Generation(pub u64);

/// Orders the holders of the leader lease. Never used by two holders.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// One life of an instance, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Life {
    /// The instance.
    pub instance: InstanceId,
    /// Distinguishes its lives.
    pub incarnation: Incarnation,
}

/// The witnesses of one generation.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WitnessGroup {
    /// Life of the group.
    pub generation: Generation,
    /// Instances that are witnesses.
    pub witnesses: BTreeSet<InstanceId>,
}

impl WitnessGroup {
    /// Number of witnesses of which any two sets of that size share one.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.witnesses.len() / 2 + 1
    }

    /// Whether the message of a witness counts in this group.
    #[must_use]
    pub fn admits(&self, generation: Generation, witness: &InstanceId) -> bool {
        generation == self.generation && self.witnesses.contains(witness)
    }
}

impl Epoch {
    const GENERATION_SHIFT: u32 = 32;

    /// Epoch below every epoch of the generation, and above those of earlier generations.
    #[must_use]
    pub const fn floor(generation: Generation) -> Self {
        Self(generation.0 << Self::GENERATION_SHIFT)
    }

    /// The epoch that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Life {
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

/// The value that at least `majority` of the values reach; `None` when there are fewer values.
pub(crate) fn reached_by<T: Ord + Copy>(
    majority: usize,
    values: impl Iterator<Item = T>,
) -> Option<T> {
    let mut sorted: Vec<T> = values.collect();
    sorted.sort_unstable_by(|left, right| right.cmp(left));
    sorted.get(majority - 1).copied()
}
