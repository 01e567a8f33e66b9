//! Runs a replica of the log: the task that owns it, the thread that owns its disk, and the state of
//! the application that every replica derives from the committed commands.

pub mod disk;
pub mod handle;
mod replica_task;
pub mod state;
mod supervisor;

pub use handle::{
    Confirmed, JoinRequest, ReplicaError, ReplicaHandle, ReplicaSettings, ReplicaView, VoterTarget,
};
pub use state::ReplicatedState;
