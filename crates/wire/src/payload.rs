//! Payloads of requests and responses: serialized Rust types in the compact postcard encoding.

use radishpaddle_model::{Incarnation, InstanceId, Revision};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::WireError;

/// Version of the peer protocol. It must be incremented with every change of a payload type,
/// because the postcard encoding contains no field names. Peers of different versions refuse each
/// other.
pub const PROTOCOL_VERSION: u32 = 4;

/// Features of this build, which it states in the extensions of its messages. A peer that states a
/// feature accepts the messages and log entries that depend on it.
pub const FEATURES: u32 = FEATURE_ZONE_ORDERS | FEATURE_ROSTER | FEATURE_DEMAND_CHANGES;

/// Feature: orders to evacuate availability zones are commands of the replicated log.
pub const FEATURE_ZONE_ORDERS: u32 = 1;

/// Feature: the roster of gateways is kept in the replicated log.
pub const FEATURE_ROSTER: u32 = 2;

/// Feature: changes of the demand of organisations are accepted instead of complete lists, see
/// [`crate::demand`].
pub const FEATURE_DEMAND_CHANGES: u32 = 1 << 8;

/// Encodes a payload.
///
/// # Errors
///
/// Fails with `Malformed` when the type cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, WireError> {
    postcard::to_stdvec(value).map_err(|error| WireError::Malformed(error.to_string()))
}

/// Decodes a payload. Trailing bytes are an error.
///
/// # Errors
///
/// Fails with `Malformed` when the bytes are not the encoding of exactly one value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    let (value, rest) = postcard::take_from_bytes(bytes)
        .map_err(|error| WireError::Malformed(error.to_string()))?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(WireError::Malformed("payload is too long".into()))
    }
}

/// Status of a witness, as reported to a control instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WitnessStatus {
    /// Name of the witness.
    pub instance: InstanceId,
    /// Number that identifies the run of the witness process.
    pub incarnation: Incarnation,
    /// Whether the witness is still recovering its state from before the restart.
    pub recovering: bool,
    /// Generation of its witness group; 0 while it has none, for example during recovery.
    pub generation: u64,
    /// Highest configuration revision that the witness has stored.
    pub revision: Revision,
    /// Members that polled the witness, each with the revision that it had applied by its last
    /// poll.
    pub members: Vec<(InstanceId, Revision)>,
}
