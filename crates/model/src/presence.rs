//! State that backend servers and gateways report to coordinators.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::announcement::BackendState;
use crate::fingerprint::Fingerprint;

/// Announcement of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerPresence {
    /// Name of the backend server; may stay the same across restarts.
    pub id: Arc<str>,
    /// Service that the backend server provides.
    pub service: Arc<str>,
    /// Address at which the backend server accepts requests.
    pub address: SocketAddr,
    /// Availability zone in which the backend server runs.
    pub zone: Arc<str>,
    /// Number of requests that the backend server executes concurrently.
    pub slots: u32,
    /// Whether the backend server accepts new requests.
    pub state: BackendState,
    /// Start time of this incarnation in Unix milliseconds; a later start takes precedence over an earlier one.
    pub started_at_ms: u64,
    /// Sequence number, higher with each announcement of one incarnation.
    pub sequence: u64,
    /// Remaining warm-up time in milliseconds, during which the backend server is slower than usual.
    pub warmup_left_ms: u32,
}

impl ServerPresence {
    /// Returns the rank by which announcements of one backend server are ordered: a higher rank replaces a lower
    /// one. The state precedes the sequence number, so within one incarnation it never moves back, in whatever
    /// order announcements arrive.
    #[must_use]
    pub fn rank(&self) -> (u64, BackendState, u64) {
        (self.started_at_ms, self.state, self.sequence)
    }

    /// Returns a key that identifies this incarnation of the backend server.
    #[must_use]
    pub fn incarnation_key(&self) -> u64 {
        name_hash(&self.id) ^ self.started_at_ms
    }
}

/// One run of a backend server process. The text form is the start time and the name, separated by a slash.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ServerIncarnation {
    /// Name of the backend server; may stay the same across restarts.
    pub name: Arc<str>,
    /// Start time in Unix milliseconds.
    pub started_at_ms: u64,
}

impl fmt::Display for ServerIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.started_at_ms, self.name)
    }
}

impl FromStr for ServerIncarnation {
    type Err = InvalidServerIncarnation;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (started_at_ms, name) = text.split_once('/').ok_or(InvalidServerIncarnation)?;
        if name.is_empty() {
            return Err(InvalidServerIncarnation);
        }
        let started_at_ms = started_at_ms.parse();
        Ok(Self {
            name: name.into(),
            started_at_ms: started_at_ms.map_err(|_| InvalidServerIncarnation)?,
        })
    }
}

/// The text is not a start time and the name of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidServerIncarnation;

impl fmt::Display for InvalidServerIncarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("not a start time and the name of a backend server")
    }
}

impl std::error::Error for InvalidServerIncarnation {}

/// Acknowledged drain or departure of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Retirement {
    /// Name of the backend server.
    pub id: Arc<str>,
    /// Start time of the incarnation that is retired, in Unix milliseconds; a later incarnation under the same
    /// name is not affected. `u64::MAX` if unknown.
    pub started_at_ms: u64,
    /// [`BackendState::Draining`] or [`BackendState::Left`].
    pub state: BackendState,
}

/// Request results at one backend server that one gateway counted since its last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerEvidence {
    /// Short key of the backend server, see [`short_name_key`].
    pub server: u32,
    /// Number of requests that the backend server answered within the usual time.
    pub succeeded: u16,
    /// Number of requests that failed in a way attributed to the backend server.
    pub failed: u16,
    /// Number of requests of the gateway that are in flight at the backend server.
    pub in_flight: u16,
}

/// Termination of a backend server while a request was in flight to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestCrash {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Incarnation key of the backend server, see [`ServerPresence::incarnation_key`].
    pub server: u64,
    /// Time between the sending of the request and this report, in milliseconds.
    pub sent_ms_ago: u32,
    /// Time between the termination of the backend server and this report, in milliseconds.
    pub ended_ms_ago: u32,
}

/// Request suspected of crashing backend servers, because it was in flight when they terminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspectRequest {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Number of backend servers that terminated one after the other with the request in flight, without an
    /// answer to it since the first termination.
    pub crashes: u32,
}

/// State that a gateway reports with each poll.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct GatewayPresence {
    /// Instance name of the gateway.
    pub instance: Arc<str>,
    /// Incarnation number of the gateway process.
    pub incarnation: u64,
    /// Sequence number, higher with each report of one incarnation.
    pub sequence: u64,
    /// Address at which the gateway accepts callers.
    pub address: SocketAddr,
    /// Availability zone of the gateway.
    pub zone: Arc<str>,
    /// Whether the gateway is ready for requests of callers.
    pub ready: bool,
    /// Whether the network path of the gateway to backend servers works.
    pub reaches_servers: bool,
    /// Demand of the organisations at this gateway.
    pub demand: Vec<OrganisationDemand>,
}

/// Demand of one organisation at one gateway or, in totals, at all gateways.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct OrganisationDemand {
    /// Name of the organisation.
    pub organisation: Arc<str>,
    /// Requested rate in requests per second, including refused requests.
    pub rate_per_s: f32,
    /// Number of requests admitted since the counter started.
    pub admitted: u64,
}

/// Returns a 32-bit key of a name that is the same on all instances. Two names with the same key share their
/// evidence, which is rare and harmless.
#[must_use]
pub fn short_name_key(name: &str) -> u32 {
    let hash = name_hash(name);
    #[expect(clippy::cast_possible_truncation, reason = "the halves are combined")]
    let folded = (hash ^ (hash >> 32)) as u32;
    folded
}

/// Returns a 64-bit hash of a name that is the same on all instances.
#[must_use]
pub fn name_hash(id: &str) -> u64 {
    // 64-bit FNV-1a, because the hasher of the standard library gives different values in each process.
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    id.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// Returns a hash with all bits mixed (the finalizer of `MurmurHash3`), so that the order of hashes of names that
/// differ only in their last characters is unrelated to the order of the names.
#[must_use]
pub fn mix_hash(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
