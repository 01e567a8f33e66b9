//! Compact keys that replace text identifiers in evidence and verdicts.
//!
//! A key is a hash of the identifiers, so that all instances compute the same key without a shared
//! table. With 10,000 backend servers the probability of any collision of 64-bit keys is below
//! 3e-12.

use std::collections::HashMap;
use std::fmt;
use std::hash::{BuildHasherDefault, Hasher};

use radishpaddle_model::{AvailabilityZone, BackendServerId, InstanceId, ServiceId};
use serde::{Deserialize, Serialize};

/// Identifies a backend server of a service. The key stays the same when the server restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerKey(pub u64);

/// Identifies a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceKey(pub u64);

/// Identifies a class of requests with comparable service times, usually one route of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestClass(pub u32);

impl ServerKey {
    /// Computes the key of a backend server.
    #[must_use]
    pub fn new(service: &ServiceId, server: &BackendServerId) -> Self {
        let hash = fnv1a(FNV_OFFSET, service.as_str().as_bytes());
        let hash = fnv1a(hash, b"/");
        Self(mix(fnv1a(hash, server.as_str().as_bytes())))
    }
}

impl ServiceKey {
    /// Computes the key of a service.
    #[must_use]
    pub fn new(service: &ServiceId) -> Self {
        Self(mix(fnv1a(FNV_OFFSET, service.as_str().as_bytes())))
    }
}

impl RequestClass {
    /// Class of requests that a recorder no longer separates ([`crate::evidence::MAX_CELLS`]).
    pub const OTHER: Self = Self(0);

    /// Computes the class of the requests of one route. The result is never [`Self::OTHER`].
    #[must_use]
    pub fn of_route(route_name: &str) -> Self {
        let hash = mix(fnv1a(FNV_OFFSET, route_name.as_bytes()));
        let folded = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
        Self(folded.max(1))
    }
}

impl fmt::Display for ServerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for ServiceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Display for RequestClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Continues an FNV-1a hash from `start`. The hash of the standard library may change between Rust
/// versions, and instances of two versions run together during an upgrade.
fn fnv1a(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Hash map whose keys are hashes already, so that the hasher only combines their words.
pub(crate) type KeyMap<K, V> = HashMap<K, V, BuildHasherDefault<KeyHasher>>;

/// Hasher of [`KeyMap`]; combines the words of a key.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = fnv1a(self.0, bytes);
    }

    fn write_u32(&mut self, word: u32) {
        self.write_u64(u64::from(word));
    }

    fn write_u64(&mut self, word: u64) {
        self.0 = mix(self.0 ^ word);
    }
}

/// Computes the key of an entry instance. It is used only within the tables of one process.
pub(crate) fn instance_key(instance: &InstanceId) -> u64 {
    mix(fnv1a(FNV_OFFSET, instance.as_str().as_bytes()))
}

/// Computes the key of an availability zone. It is used only within the tables of one process.
pub(crate) fn zone_key(zone: &AvailabilityZone) -> u64 {
    mix(fnv1a(FNV_OFFSET, zone.as_str().as_bytes()))
}

/// Finalizer of `MurmurHash3`. It compensates for the weak high bits of FNV-1a.
pub(crate) fn mix(mut value: u64) -> u64 {
    value ^= value >> 33;
    value = value.wrapping_mul(0xff51_afd7_ed55_8ccd);
    value ^= value >> 33;
    value = value.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}
