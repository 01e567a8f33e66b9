//! Runs a replica of the log: the task that owns it, the thread that owns its disk, and the state of
//! the application that every replica derives from the committed commands.

pub mod disk;
pub mod replica_task;
pub mod state;

pub use replica_task::{
    Confirmed, ReplicaError, ReplicaHandle, ReplicaSettings, ReplicaView, VoterTarget,
};
pub use state::ReplicatedState;
