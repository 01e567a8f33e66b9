//! Compact keys that replace text identifiers in evidence and verdicts.
//!
//! A key is a hash of the identifiers, so all instances compute the same one without a shared
//! table. With 10,000 backend servers the probability of any collision of 64-bit keys is below
//! 3e-12.

use std::collections::HashMap;
use std::fmt;
use std::hash::{BuildHasherDefault, Hasher};

use radishpaddle_model::{AvailabilityZone, BackendServerId, InstanceId, ServiceId};
use serde::{Deserialize, Serialize};

/// A backend server of a service, stable over restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerKey(pub u64);

/// A service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceKey(pub u64);

/// A kind of request whose service times are comparable, usually one route of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestClass(pub u32);

impl ServerKey {
    /// Key of a backend server.
    #[must_use]
    pub fn new(service: &ServiceId, server: &BackendServerId) -> Self {
        let hash = fnv1a(FNV_OFFSET, service.as_str().as_bytes());
        let hash = fnv1a(hash, b"/");
        Self(mix(fnv1a(hash, server.as_str().as_bytes())))
    }
}

impl ServiceKey {
    /// Key of a service.
    #[must_use]
    pub fn new(service: &ServiceId) -> Self {
        Self(mix(fnv1a(FNV_OFFSET, service.as_str().as_bytes())))
    }
}

impl RequestClass {
    /// Class of requests that exceed the number of classes that a recorder keeps.
    pub const OTHER: Self = Self(0);

    /// Class of the requests of one route.
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

/// FNV-1a. The hash of the standard library may change between Rust versions, and instances of
/// two versions run together during an upgrade.
fn fnv1a(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Map from keys, which are hashes already and need no second one.
pub(crate) type KeyMap<K, V> = HashMap<K, V, BuildHasherDefault<KeyHasher>>;

/// Combines the words of a key.
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

/// Key of an entry instance within the tables of one process.
pub(crate) fn instance_key(instance: &InstanceId) -> u64 {
    mix(fnv1a(FNV_OFFSET, instance.as_str().as_bytes()))
}

/// Key of an availability zone within the tables of one process.
pub(crate) fn zone_key(zone: &AvailabilityZone) -> u64 {
    mix(fnv1a(FNV_OFFSET, zone.as_str().as_bytes()))
}

/// Finalizer of `MurmurHash3`; spreads the weak high bits of FNV-1a.
pub(crate) fn mix(mut value: u64) -> u64 {
    value ^= value >> 33;
    value = value.wrapping_mul(0xff51_afd7_ed55_8ccd);
    value ^= value >> 33;
    value = value.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}
