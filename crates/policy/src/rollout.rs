//! Tracks which verdict list each entry instance applies, as reported to the leader.

use std::collections::HashMap;
use std::time::Duration;

use radishpaddle_model::InstanceId;

use crate::key::instance_key;
use crate::verdict::{VERDICT_LIFETIME, VerdictVersion};

/// Margin for the difference between the clock rates of two instances over the lifetime of a list.
const CLOCK_RATE_MARGIN: Duration = Duration::from_millis(100);

/// Time for which an instance may apply a list after the leader sent it.
pub(crate) const LIST_LIFETIME: Duration = VERDICT_LIFETIME.saturating_add(CLOCK_RATE_MARGIN);

/// Last synchronisation of an instance with the leader.
#[derive(Debug)]
struct InstanceSync {
    synced_at: Duration,
    applied: VerdictVersion,
}

/// Verdict lists that the instances apply.
///
/// The lifetime of a list starts when the instance requests it. An instance that has sent no
/// request for [`LIST_LIFETIME`] therefore applies no list.
#[derive(Debug, Default)]
pub(crate) struct VerdictRollout {
    synced_instances: HashMap<u64, InstanceSync>,
    fleet_instances: Vec<u64>,
}

impl VerdictRollout {
    /// Sets the instances of the fleet.
    pub(crate) fn set_instances(&mut self, instances: &[InstanceId]) {
        self.fleet_instances = instances.iter().map(instance_key).collect();
    }

    /// Records that an instance requested the list while it applies version `applied`.
    pub(crate) fn record_sync(
        &mut self,
        instance: &InstanceId,
        applied: VerdictVersion,
        now: Duration,
    ) {
        let sync = InstanceSync {
            synced_at: now,
            applied,
        };
        self.synced_instances.insert(instance_key(instance), sync);
    }

    /// Removes instances whose list has expired.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.synced_instances
            .retain(|_, sync| now < sync.synced_at + LIST_LIFETIME);
    }

    /// Returns whether every instance that may apply a list applies this version or a later one.
    pub(crate) fn is_applied_everywhere(&self, version: VerdictVersion) -> bool {
        self.synced_instances
            .values()
            .all(|sync| sync.applied >= version)
    }

    /// Returns whether every instance of the fleet applies a list of this epoch; `false` until the
    /// instances of the fleet are set.
    pub(crate) fn all_in_epoch(&self, epoch: u64) -> bool {
        let in_epoch = |key: &u64| {
            let sync = self.synced_instances.get(key);
            sync.is_some_and(|sync| sync.applied.epoch == epoch)
        };
        !self.fleet_instances.is_empty() && self.fleet_instances.iter().all(in_epoch)
    }
}
