//! Errors of the public functions.

use thiserror::Error;

use crate::entry::ReplicaId;

/// A proposal, read or transfer was not taken. Nothing was done.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum ProposeError {
    /// Another replica leads, or none.
    #[error("this replica is not the leader")]
    NotLeader {
        /// The leader, if this replica knows it.
        leader: Option<ReplicaId>,
    },
    /// The payload is larger than [`crate::entry::MAX_ENTRY_BYTES`].
    #[error("the entry has {bytes} bytes; at most {limit} are allowed")]
    TooLarge {
        /// Size of the payload in bytes.
        bytes: usize,
        /// Largest size in bytes.
        limit: usize,
    },
    /// Too much waits for a commit, a read round or a snapshot; a later attempt may succeed.
    #[error("too many proposals or reads are waiting")]
    Busy,
    /// Leadership is moving to another replica.
    #[error("leadership is being transferred")]
    Transferring,
    /// An earlier membership change, or the first entry of the leader's term, is not committed.
    #[error("an earlier membership change is not committed yet")]
    ChangePending,
    /// The change does not fit the membership, or the leader removes itself before a transfer.
    #[error("the membership change is not possible in the current membership")]
    ChangeNotPossible,
    /// Too few voters of the membership after the change answer.
    #[error("too few voters of the changed membership answer")]
    NoQuorumAfter,
    /// The learner has not caught up with the log.
    #[error("replica {0} has not caught up")]
    NotCaughtUp(ReplicaId),
    /// No voter could take over.
    #[error("no voter can take over the leadership")]
    NoTarget,
}

/// A snapshot cannot be taken at this position.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum CompactError {
    /// The index is not applied, or is at or before the newest snapshot.
    #[error("no snapshot can be taken at index {0}")]
    Index(u64),
    /// The snapshot is larger than [`crate::entry::MAX_SNAPSHOT_BYTES`].
    #[error("the snapshot has {0} bytes and is too large")]
    TooLarge(usize),
}

/// The persisted state or the configuration does not fit together.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum StartError {
    /// A value of [`crate::Config`] is outside its range.
    #[error("the consensus configuration has a value outside its range")]
    Config,
    /// Entries are missing between the snapshot and the log, or within the log.
    #[error("the log has no entry {0}")]
    Gap(u64),
}
