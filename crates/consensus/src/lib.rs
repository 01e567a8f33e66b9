//! Replicated log for control state without I/O.
//!
//! [`Replica`] is a state machine. Its inputs are ticks, messages and proposals; its
//! outputs are messages, writes to sync, committed entries and confirmed reads, which the caller
//! gets from [`Replica::take_ready`]. [`Ready`] defines which writes must be durable before which
//! messages may be sent. The example `design_size` shows the event loop around a replica, including
//! the data directory and the application state.
//!
//! The protocol follows Raft (Ongaro and Ousterhout 2014; Ongaro's thesis 2014 for pre-vote, check
//! quorum, read index, single-server membership changes and leadership transfer). A replica that
//! lost its disk rejoins under a new identity, following the treatment of lost state in Viewstamped
//! Replication Revisited (Liskov and Cowling 2012).

mod codec;
pub mod config;
mod election;
pub mod entry;
pub mod error;
mod follower;
pub mod health;
mod leader;
mod log;
pub mod membership;
pub mod message;
mod output;
mod persisted;
mod progress;
mod reads;
pub mod ready;
mod repair;
pub mod replica;
mod snapshot_transfer;
pub mod submissions;

pub use codec::DecodeError;
pub use config::Config;
pub use entry::{Entry, Payload, ReplicaId, Snapshot, SnapshotMeta};
pub use error::{CompactError, ProposeError, StartError};
pub use health::{GroupHealth, RepairStatus};
pub use leader::PeerStatus;
pub use membership::{Member, MemberRole, Membership, MembershipChange};
pub use message::{Body, Message};
pub use persisted::PersistedState;
pub use ready::{HardState, Notice, ReadId, ReadResult, Ready, Writes};
pub use replica::{Replica, Role};
pub use submissions::{StateError, Submission, SubmissionResult, Submissions};
