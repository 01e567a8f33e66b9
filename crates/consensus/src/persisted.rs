//! What a replica starts from.

use std::sync::Arc;

use crate::entry::{Entry, ReplicaId, Snapshot, SnapshotMeta};
use crate::membership::Membership;
use crate::ready::HardState;

/// State of a replica as its disk holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PersistedState {
    /// Term, vote and identity.
    pub hard_state: HardState,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Log entries in order. They may begin at or before the end of the snapshot.
    pub entries: Vec<Entry>,
}

impl PersistedState {
    /// State of a replica that has joined no group yet.
    #[must_use]
    pub fn empty(replica_id: ReplicaId) -> Self {
        Self {
            hard_state: HardState {
                replica_id,
                term: 0,
                voted_for: None,
            },
            snapshot: None,
            entries: Vec::new(),
        }
    }

    /// State of the first replica of a new group. The caller makes it durable before it starts
    /// the replica. A group is founded once; every other replica joins as a learner.
    #[must_use]
    pub fn founding(replica_id: ReplicaId, address: Arc<str>) -> Self {
        Self::founding_from(replica_id, address, 0, None)
    }

    /// Like [`PersistedState::founding`], with the application state of an export. The log goes on
    /// behind `index`, which is higher than any index used before.
    #[must_use]
    pub fn founding_from(
        replica_id: ReplicaId,
        address: Arc<str>,
        index: u64,
        data: Option<Arc<[u8]>>,
    ) -> Self {
        let membership = Membership::founding(replica_id, address);
        let meta = SnapshotMeta {
            index: index + 1,
            term: 1,
            membership,
            membership_index: index + 1,
        };
        let data = data.unwrap_or_else(|| Arc::from([]));
        let mut state = Self::empty(replica_id);
        state.hard_state.term = 1;
        state.snapshot = Some(Snapshot { meta, data });
        state
    }
}
