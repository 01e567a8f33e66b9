//! Output of a replica: the work that its caller has to carry out.

use crate::entry::{Entry, ReplicaId, Snapshot};
use crate::message::Message;

/// State that must survive a restart, in addition to log and snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HardState {
    /// Identity of the replica and its disk.
    pub replica_id: ReplicaId,
    /// Highest term known to the replica.
    pub term: u64,
    /// Candidate that the replica voted for in this term.
    pub voted_for: Option<ReplicaId>,
}

/// Identifies a read and its result. Chosen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// Result of [`crate::Replica::read`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadResult {
    /// Once the committed entries of the same [`Ready`] are applied, the state includes every
    /// change acknowledged before the read.
    Confirmed(ReadId),
    /// This replica stopped leading before the read was confirmed.
    LeadershipLost(ReadId),
}

/// Event reported to the process and its operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// This replica was removed from the group while it was unreachable. It can rejoin as a
    /// learner; with an empty disk it does so under a new identity.
    Removed,
    /// Automatic repair on the leader proposed this membership change.
    RepairProposed(crate::membership::MembershipChange),
}

/// Writes that must become durable together, in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Writes {
    /// New hard state.
    pub hard_state: Option<HardState>,
    /// Snapshot received from the leader. It replaces the stored snapshot and log; the log
    /// continues after it.
    pub snapshot: Option<Snapshot>,
    /// Entries to append to the log. Stored entries at or after the index of the first one are
    /// removed before.
    pub entries: Vec<Entry>,
}

impl Writes {
    /// Returns whether there is nothing to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }
}

/// Work for the caller, in the order of the fields.
///
/// 1. `messages` may be sent immediately; none of them depends on `writes`.
/// 2. `writes`, unless empty, are written and synced.
/// 3. After the sync, `messages_after_sync` may be sent and [`crate::Replica::confirm_synced`] is
///    called with `number`. If the sync fails, the process must stop using this replica.
/// 4. `snapshot_to_install` replaces the application state, then `committed` is applied.
/// 5. `reads` are served from the application state.
///
/// Steps 4 and 5 do not depend on step 2. While a sync is in progress,
/// [`crate::Replica::take_ready`] may be called again; it returns no further writes until
/// [`crate::Replica::confirm_synced`] was called.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ready {
    /// Identifies the writes for [`crate::Replica::confirm_synced`].
    pub number: u64,
    /// Messages that do not depend on `writes`.
    pub messages: Vec<Message>,
    /// Writes that must become durable.
    pub writes: Writes,
    /// Votes, vote requests and acknowledgements that are valid only once `writes` are durable.
    pub messages_after_sync: Vec<Message>,
    /// Snapshot that replaces the application state. It is already durable.
    pub snapshot_to_install: Option<Snapshot>,
    /// Committed entries to apply in order. They are durable on this replica, and each is returned
    /// once per start of the replica.
    pub committed: Vec<Entry>,
    /// Results of [`crate::Replica::read`].
    pub reads: Vec<ReadResult>,
    /// Events to report to operators.
    pub notices: Vec<Notice>,
}

impl Ready {
    pub(crate) fn is_empty(&self) -> bool {
        self.messages.is_empty()
            && self.writes.is_empty()
            && self.messages_after_sync.is_empty()
            && self.snapshot_to_install.is_none()
            && self.committed.is_empty()
            && self.reads.is_empty()
            && self.notices.is_empty()
    }
}
