//! What a replica wants its caller to do.

use crate::entry::{Entry, ReplicaId, Snapshot};
use crate::message::Message;

/// State that has to survive a restart besides log and snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HardState {
    /// Identity of the replica and its disk.
    pub replica_id: ReplicaId,
    /// Newest term that the replica has seen.
    pub term: u64,
    /// Vote in that term.
    pub voted_for: Option<ReplicaId>,
}

/// Chosen by the caller to recognise the result of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// Result of [`crate::Replica::read`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadResult {
    /// After the committed entries of the same [`Ready`] are applied, the state is at least as new
    /// as every change acknowledged before the read.
    Confirmed(ReadId),
    /// This replica lost the leadership before a quorum confirmed it.
    LeadershipLost(ReadId),
}

/// Something that the operator or the process should know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// This replica was removed from the group while it could not be reached. It can join again as
    /// a learner; with an emptied disk it does so under a new identity.
    Removed,
    /// The leader proposed to replace or add a member by itself.
    RepairProposed(crate::membership::MembershipChange),
}

/// Writes that have to be durable together. They are carried out in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Writes {
    /// Replaces the hard state.
    pub hard_state: Option<HardState>,
    /// Replaces snapshot and log: the log on disk is discarded and continues behind the snapshot.
    pub snapshot: Option<Snapshot>,
    /// Appended to the log. Entries on disk at or after the first index are discarded before.
    pub entries: Vec<Entry>,
}

impl Writes {
    /// Whether nothing has to be written.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.snapshot.is_none() && self.entries.is_empty()
    }
}

/// Work for the caller, in the order of the fields.
///
/// 1. `messages` may be sent at once; none of them promises anything that `writes` contains.
/// 2. `writes`, unless empty, are written and synced.
/// 3. Only then `messages_after_sync` may be sent and [`crate::Replica::synced`] is called with
///    `number`. When the sync fails, the process must not go on with this replica.
/// 4. `install` replaces the state of the application, then `committed` is applied.
/// 5. `reads` are answered from the state.
///
/// Steps 4 and 5 do not depend on step 2. While a sync runs, [`crate::Replica::take_ready`] may be
/// called again; it returns no further writes until [`crate::Replica::synced`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ready {
    /// Identifies the writes for [`crate::Replica::synced`].
    pub number: u64,
    /// Messages that do not depend on `writes`.
    pub messages: Vec<Message>,
    /// What has to become durable.
    pub writes: Writes,
    /// Votes, vote requests and acknowledgements that promise what `writes` contains.
    pub messages_after_sync: Vec<Message>,
    /// Snapshot that replaces the state of the application; it is already durable.
    pub install: Option<Snapshot>,
    /// Entries to apply, in order, each exactly once per run. They are durable on this replica.
    pub committed: Vec<Entry>,
    /// Results of reads.
    pub reads: Vec<ReadResult>,
    /// Events for logs and operators.
    pub notices: Vec<Notice>,
}

impl Ready {
    pub(crate) fn is_empty(&self) -> bool {
        self.messages.is_empty()
            && self.writes.is_empty()
            && self.messages_after_sync.is_empty()
            && self.install.is_none()
            && self.committed.is_empty()
            && self.reads.is_empty()
            && self.notices.is_empty()
    }
}
