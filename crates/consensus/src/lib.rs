//! Replicated log for control state without I/O.
//!
//! [`Replica`] is a state machine: ticks, messages and proposals go in; messages, writes to sync,
//! committed entries and confirmed reads come out of [`Replica::take_ready`]. [`Ready`] states
//! which writes have to be durable before which messages may be sent. The example `design_size`
//! shows the loop around a replica, with the data directory and the state of the application.
//!
//! The protocol follows Raft (Ongaro and Ousterhout 2014; Ongaro's thesis 2014 for pre-vote, check
//! quorum, read index, single-server membership changes and leadership transfer). The rule that a
//! replica without its disk comes back under a new identity follows the treatment of lost state in
//! Viewstamped Replication Revisited (Liskov and Cowling 2012).

mod codec;
pub mod config;
mod election;
pub mod entry;
pub mod error;
mod follower;
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
pub use leader::PeerStatus;
pub use membership::{Member, MemberRole, Membership, MembershipChange};
pub use message::{Body, Message};
pub use persisted::PersistedState;
pub use ready::{HardState, Notice, ReadId, ReadResult, Ready, Writes};
pub use replica::{Replica, Role};
pub use submissions::{StateError, Submission, SubmissionResult, Submissions};
