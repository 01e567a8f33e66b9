//! Runs one replica of the replicated log: the task that drives consensus, the thread that writes the
//! data directory, and the application state machine that the committed commands are applied to.

pub mod disk;
pub mod handle;
mod replica_task;
pub mod state;
mod supervisor;

pub use handle::{
    ConfirmedState, JoinRequest, RepairPace, ReplicaError, ReplicaHandle, ReplicaSettings,
    ReplicaView, VoterTarget,
};
pub use state::ReplicatedState;
