//! What backend servers and gateways say about themselves to coordinators.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::announcement::BackendState;
use crate::fingerprint::Fingerprint;

/// One announcement of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerPresence {
    /// Name of the backend server; it may be kept over a restart.
    pub id: Arc<str>,
    /// Service that it runs.
    pub service: Arc<str>,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: BackendState,
    /// Start of this life in Unix milliseconds; a later start outranks an earlier one.
    pub started_at_ms: u64,
    /// Grows with each announcement of one life.
    pub sequence: u64,
    /// Time for which it stays slow after its start.
    pub warmup_left_ms: u32,
}

impl ServerPresence {
    /// Order of two announcements of one backend server; the higher one replaces the lower one. Within
    /// one life the state only moves forward, whatever order announcements arrive in.
    #[must_use]
    pub fn rank(&self) -> (u64, BackendState, u64) {
        (self.started_at_ms, self.state, self.sequence)
    }

    /// Key of this life of the backend server.
    #[must_use]
    pub fn life(&self) -> u64 {
        name_hash(&self.id) ^ self.started_at_ms
    }
}

/// A backend server that was acknowledged as draining or gone.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Retirement {
    /// Name of the backend server.
    pub id: Arc<str>,
    /// Life that ends; a later life under the same name is not concerned. `u64::MAX` when not known.
    pub started_at_ms: u64,
    /// Draining or left.
    pub state: BackendState,
}

/// Results of requests at one backend server since the last report of one gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerEvidence {
    /// Key of the backend server, see [`short_key`].
    pub server: u32,
    /// Requests answered in the usual time.
    pub succeeded: u16,
    /// Requests that failed in a way that counts against the server.
    pub failed: u16,
    /// Requests in flight from the gateway now.
    pub in_flight: u16,
}

/// A backend server that ended with a request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestCrash {
    /// The request.
    pub request: Fingerprint,
    /// Life of the backend server, see [`ServerPresence::life`].
    pub server: u64,
    /// Age of the send when this was reported.
    pub sent_ms_ago: u32,
    /// Age of the end of the server when this was reported.
    pub ended_ms_ago: u32,
}

/// A request that was in flight when backend servers ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspectRequest {
    /// The request.
    pub request: Fingerprint,
    /// Backend servers that ended with it in flight one after the other, without an answer to it since the first one.
    pub crashes: u32,
}

/// What a gateway says about itself with each poll.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct GatewayPresence {
    /// Name of the gateway.
    pub instance: Arc<str>,
    /// Life of the process.
    pub incarnation: u64,
    /// Grows with each report of one life.
    pub sequence: u64,
    /// Address for callers.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Whether it takes callers.
    pub ready: bool,
    /// Demand of organisations here.
    pub demand: Vec<OrganisationDemand>,
}

/// Requests of one organisation at one gateway or at all of them.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct OrganisationDemand {
    /// The organisation.
    pub organisation: Arc<str>,
    /// Requests per second that it asks for.
    pub rate_per_s: f32,
    /// Requests that were admitted since the count began.
    pub admitted: u64,
}

/// Stable key of a name, shorter than the name. Two names with the same key share evidence, which is
/// harmless and rare.
#[must_use]
pub fn short_key(name: &str) -> u32 {
    let hash = name_hash(name);
    #[expect(clippy::cast_possible_truncation, reason = "the halves are combined")]
    let folded = (hash ^ (hash >> 32)) as u32;
    folded
}

/// Hash of a name, the same on every instance.
#[must_use]
pub fn name_hash(id: &str) -> u64 {
    // FNV-1a, 64 bits: the same on every instance, unlike the hasher of the standard library.
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    id.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}
