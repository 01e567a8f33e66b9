//! What the application keeps in the replicated log.

use anyhow::Result;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// State that every replica derives from the committed commands.
pub trait ReplicatedState: Clone + Default + Send + Sync + 'static {
    /// Entry of the log.
    type Command: Serialize + DeserializeOwned + Send + 'static;
    /// What the proposer of a command learns.
    type Outcome: Clone + Send + 'static;

    /// Applies a command; every replica must come to the same result.
    ///
    /// # Errors
    ///
    /// An error ends the replica, since its state would differ from the others.
    fn apply(&mut self, command: &Self::Command) -> Result<Self::Outcome>;

    /// Bytes of a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the state cannot be encoded.
    fn encode(&self) -> Result<Vec<u8>>;

    /// Reads what [`Self::encode`] wrote. No bytes are the state with which a group is founded.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a state of this version.
    fn decode(bytes: &[u8]) -> Result<Self>;
}
