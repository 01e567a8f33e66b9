//! Announced backend servers in the form that the request path needs.

use std::net::SocketAddr;
use std::time::Duration;

use radishpaddle_model::{
    Announcement, AvailabilityZone, BackendServerId, BackendState, Incarnation, ServiceId,
};
use radishpaddle_policy::{Member, ServerKey};

/// Time for which the balancer treats a new incarnation of a server as cold.
pub const WARM_UP_PERIOD: Duration = Duration::from_secs(5);

/// An announced backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendInfo {
    /// Key of the server in evidence and verdicts.
    pub key: ServerKey,
    /// Service that the server runs.
    pub service: ServiceId,
    /// Id of the server.
    pub backend_server: BackendServerId,
    /// Incarnation of the server process.
    pub incarnation: Incarnation,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub availability_zone: AvailabilityZone,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Announced state: serving, draining or left.
    pub state: BackendState,
    /// Process time at which this instance first saw the incarnation.
    pub first_seen: Duration,
}

impl BackendInfo {
    /// Creates the entry for an announcement.
    #[must_use]
    pub fn new(announcement: &Announcement, first_seen: Duration) -> Self {
        Self {
            key: ServerKey::new(&announcement.service, &announcement.backend_server),
            service: announcement.service.clone(),
            backend_server: announcement.backend_server.clone(),
            incarnation: announcement.incarnation,
            address: announcement.address,
            availability_zone: announcement.availability_zone.clone(),
            slots: announcement.slots,
            state: announcement.state,
            first_seen,
        }
    }

    /// Returns the server as a member for the balancer.
    #[must_use]
    pub fn member(&self) -> Member {
        Member {
            server: self.key,
            zone: self.availability_zone.clone(),
            slots: self.slots,
            draining: self.state != BackendState::Serving,
            cold_until: self.first_seen + WARM_UP_PERIOD,
        }
    }
}
