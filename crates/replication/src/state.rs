//! Interface of the application state machine.

use anyhow::Result;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// State machine to which every replica applies the committed commands.
pub trait ReplicatedState: Clone + Default + Send + Sync + 'static {
    /// Command stored in a log entry, as JSON.
    type Command: Serialize + DeserializeOwned + Send + 'static;
    /// Result of applying a command, returned to its proposer.
    type Outcome: Clone + Send + 'static;

    /// Applies a committed command. Must be deterministic: every replica has to reach the same state.
    ///
    /// # Errors
    ///
    /// An error stops the replica, because its state would diverge from the other replicas.
    fn apply(&mut self, command: &Self::Command) -> Result<Self::Outcome>;

    /// Encodes the state as the data of a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the state cannot be serialized.
    fn encode(&self) -> Result<Vec<u8>>;

    /// Decodes the output of [`Self::encode`]. Empty input gives the initial state of a newly founded
    /// group.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a valid encoding of this version of the state.
    fn decode(bytes: &[u8]) -> Result<Self>;
}
