//! Which verdict lists the entry instances act on, as far as the leader knows.

use std::collections::HashMap;
use std::time::Duration;

use radishpaddle_model::InstanceId;

use crate::key::instance_key;
use crate::verdict::{VERDICT_LIFE, VerdictVersion};

/// Margin for the difference between the clock rates of two instances.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);

/// Time for which a list may be in force at an instance after the leader sent it.
pub(crate) const LIST_LIFE: Duration = VERDICT_LIFE.saturating_add(CLOCK_MARGIN);

#[derive(Debug)]
struct View {
    synced_at: Duration,
    applied: VerdictVersion,
}

/// Lists that instances applied.
///
/// An instance that did not ask for [`LIST_LIFE`] holds no list: the life of a list starts when
/// the instance asked for it.
#[derive(Debug, Default)]
pub(crate) struct Rollout {
    views: HashMap<u64, View>,
    expected: Vec<u64>,
}

impl Rollout {
    /// Sets the instances of the fleet.
    pub(crate) fn expect(&mut self, instances: &[InstanceId]) {
        self.expected = instances.iter().map(instance_key).collect();
    }

    /// Records that an instance asked for the list while it acts on `applied`.
    pub(crate) fn synced(&mut self, instance: &InstanceId, applied: VerdictVersion, now: Duration) {
        let view = View {
            synced_at: now,
            applied,
        };
        self.views.insert(instance_key(instance), view);
    }

    /// Forgets instances that hold no list.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.views
            .retain(|_, view| now < view.synced_at + LIST_LIFE);
    }

    /// Whether every instance that may hold a list acts on this version or a later one.
    pub(crate) fn reached(&self, version: VerdictVersion) -> bool {
        self.views.values().all(|view| view.applied >= version)
    }

    /// Whether every instance of the fleet acts on a list of this epoch. Unknown while the
    /// instances of the fleet are not set.
    pub(crate) fn all_in_epoch(&self, epoch: u64) -> bool {
        let in_epoch = |key: &u64| {
            let view = self.views.get(key);
            view.is_some_and(|view| view.applied.epoch == epoch)
        };
        !self.expected.is_empty() && self.expected.iter().all(in_epoch)
    }
}
