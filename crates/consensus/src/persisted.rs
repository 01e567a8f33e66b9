//! Persisted state from which a replica starts.

use std::sync::Arc;

use crate::entry::{Entry, ReplicaId, Snapshot, SnapshotMeta};
use crate::membership::Membership;
use crate::ready::HardState;

/// State of a replica that was read from its disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PersistedState {
    /// Identity, term and vote.
    pub hard_state: HardState,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Log entries in ascending order. Entries that the snapshot covers are ignored.
    pub entries: Vec<Entry>,
}

impl PersistedState {
    /// Creates the state of a replica that has not joined a group yet.
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

    /// Creates the state of the first replica of a new group. The caller must make it durable
    /// before it starts the replica. Only one replica of a group may start from this state; all
    /// others join as learners.
    #[must_use]
    pub fn bootstrap(replica_id: ReplicaId, address: Arc<str>) -> Self {
        Self::bootstrap_from_export(replica_id, address, 0, None)
    }

    /// Creates the state of the first replica like [`PersistedState::bootstrap`], with the
    /// application state of an export. The log continues after `index`, which must be higher than
    /// any index used before the export was restored.
    #[must_use]
    pub fn bootstrap_from_export(
        replica_id: ReplicaId,
        address: Arc<str>,
        index: u64,
        data: Option<Arc<[u8]>>,
    ) -> Self {
        let membership = Membership::single_voter(replica_id, address);
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
