//! Error types of the crate.

use thiserror::Error;

use crate::entry::{MAX_SNAPSHOT_BYTES, ReplicaId};

/// Error returned when a proposal, read, membership change or leadership transfer is rejected. The
/// replica has not started it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum ProposeError {
    /// Another replica leads, or there is no leader.
    #[error("this replica is not the leader")]
    NotLeader {
        /// The current leader, if known.
        leader: Option<ReplicaId>,
    },
    /// The payload is larger than [`crate::entry::MAX_ENTRY_BYTES`].
    #[error("the entry has {bytes} bytes; at most {limit} are allowed")]
    TooLarge {
        /// Size of the payload in bytes.
        bytes: usize,
        /// Maximum size in bytes.
        limit: usize,
    },
    /// Too many entries are uncommitted, too many reads wait, or the log is full until the next
    /// snapshot. A later attempt may succeed.
    #[error("too many proposals or reads are waiting")]
    Busy,
    /// A leadership transfer is in progress.
    #[error("leadership is being transferred")]
    Transferring,
    /// An earlier membership change, or the first entry of the leader's term, is not committed yet.
    #[error("an earlier membership change is not committed yet")]
    ChangePending,
    /// The change cannot be applied to the current membership, or would remove the leader itself.
    #[error("the membership change cannot be applied to the current membership")]
    InvalidChange,
    /// No quorum of the membership after the change responded within the election timeout.
    #[error("no quorum of the changed membership responds")]
    QuorumUnreachable,
    /// The learner to be promoted has not caught up with the log.
    #[error("replica {0} has not caught up")]
    NotCaughtUp(ReplicaId),
    /// No other voter is available to take over the leadership.
    #[error("no voter is available to take over the leadership")]
    NoTransferTarget,
}

/// Error returned when a snapshot cannot be created.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum CompactError {
    /// The entry at this index is not applied, or the newest snapshot covers it.
    #[error("cannot create a snapshot at index {0}: not applied or already covered by a snapshot")]
    Index(u64),
    /// The snapshot is larger than [`crate::entry::MAX_SNAPSHOT_BYTES`].
    #[error("the snapshot has {0} bytes; at most {MAX_SNAPSHOT_BYTES} are allowed")]
    TooLarge(usize),
}

/// Error returned when a replica cannot start from its configuration and persisted state.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum StartError {
    /// A value of [`crate::Config`] is outside its range.
    #[error("the consensus configuration has a value outside its range")]
    Config,
    /// The entry with this index is missing between the snapshot and the log, or within the log.
    #[error("the log has a gap: entry {0} is missing")]
    Gap(u64),
}
