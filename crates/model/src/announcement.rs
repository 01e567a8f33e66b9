//! What a backend server tells the fleet about itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{AvailabilityZone, BackendServerId, Incarnation, ServiceId};

/// Body of `POST /v1/backend-servers/announce`; repeated to renew.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the backend server runs.
    pub service: ServiceId,
    /// Name of the backend server, stable over restarts.
    pub backend_server: BackendServerId,
    /// Grows with each restart of the backend server; a lower one is refused.
    pub incarnation: Incarnation,
    /// Grows with each announcement of one incarnation; a lower one is ignored.
    pub sequence: u64,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Where it runs.
    pub availability_zone: AvailabilityZone,
    /// Requests it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: BackendState,
}

/// Whether a backend server takes new work. Within one incarnation the state only moves forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BackendState {
    /// Takes new work.
    Serving,
    /// Finishes its requests and takes no new ones.
    Draining,
    /// Gone on purpose.
    Left,
}

impl Announcement {
    /// Order of two announcements of one backend server: the higher one replaces the lower one.
    #[must_use]
    pub fn version(&self) -> (Incarnation, BackendState, u64) {
        (self.incarnation, self.state, self.sequence)
    }
}
