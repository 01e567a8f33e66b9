//! Announcements with which backend servers register at the entry instances.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{AvailabilityZone, BackendServerId, Incarnation, ServiceId};

/// Body of `POST /v1/backend-servers/announce`. A backend server repeats it to renew its registration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the backend server provides.
    pub service: ServiceId,
    /// Name of the backend server, stable across restarts.
    pub backend_server: BackendServerId,
    /// Incarnation number, higher after each restart. Announcements of a lower incarnation are rejected.
    pub incarnation: Incarnation,
    /// Sequence number, higher with each announcement of one incarnation. Lower ones are ignored.
    pub sequence: u64,
    /// Address at which the backend server accepts requests.
    pub address: SocketAddr,
    /// Availability zone in which the backend server runs.
    pub availability_zone: AvailabilityZone,
    /// Number of requests that the backend server executes concurrently.
    pub slots: u32,
    /// Whether the backend server accepts new requests.
    pub state: BackendState,
}

/// Lifecycle state of a backend server. Within one incarnation it only changes in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendState {
    /// Accepts new requests.
    Serving,
    /// Completes the requests in flight and accepts no new ones.
    Draining,
    /// Has left the fleet deliberately.
    Left,
}

impl Announcement {
    /// Returns the version by which announcements of one backend server are ordered. The announcement with the
    /// highest version is in effect.
    #[must_use]
    pub fn version(&self) -> (Incarnation, BackendState, u64) {
        (self.incarnation, self.state, self.sequence)
    }
}
