//! Messages of the decision libraries inside frames, in the compact postcard encoding.

use radishpaddle_model::{Incarnation, InstanceId, Revision};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::WireError;

/// Version of the peer protocol. It grows with every change of a payload type, because the encoding
/// has no field names. Peers of different versions refuse each other.
pub const PROTOCOL_VERSION: u32 = 2;

/// Encodes a payload.
///
/// # Errors
///
/// Fails with `Malformed` when the type cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, WireError> {
    postcard::to_stdvec(value).map_err(|error| WireError::Malformed(error.to_string()))
}

/// Decodes a payload; bytes after its end are an error.
///
/// # Errors
///
/// Fails with `Malformed` when the bytes are not exactly one value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    let (value, rest) = postcard::take_from_bytes(bytes)
        .map_err(|error| WireError::Malformed(error.to_string()))?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(WireError::Malformed("payload is too long".into()))
    }
}

/// What a witness says of itself to control.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WitnessStatus {
    /// The witness.
    pub instance: InstanceId,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Whether it still lacks the state of its earlier life.
    pub recovering: bool,
    /// Generation in which it answers; 0 while it recovers.
    pub generation: u64,
    /// Highest revision that it has stored.
    pub revision: Revision,
    /// Members with the revision that each had applied when it polled last.
    pub members: Vec<(InstanceId, Revision)>,
}
