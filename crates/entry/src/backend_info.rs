//! A backend server as the request path needs it.

use std::net::SocketAddr;
use std::time::Duration;

use radishpaddle_model::{
    Announcement, AvailabilityZone, BackendServerId, BackendState, Incarnation, ServiceId,
};
use radishpaddle_policy::{Member, ServerKey};

/// Time after the first announcement of an incarnation during which a server counts as cold.
pub const WARM_UP: Duration = Duration::from_secs(5);

/// One announced backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendInfo {
    /// Key in evidence and verdicts.
    pub key: ServerKey,
    /// Service that it runs.
    pub service: ServiceId,
    /// Name.
    pub backend_server: BackendServerId,
    /// Life of the server process.
    pub incarnation: Incarnation,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Where it runs.
    pub availability_zone: AvailabilityZone,
    /// Requests it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: BackendState,
    /// Local time at which this incarnation was first seen here.
    pub first_seen: Duration,
}

impl BackendInfo {
    /// Server from its announcement.
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

    /// The server as the balancer needs it.
    #[must_use]
    pub fn member(&self) -> Member {
        Member {
            server: self.key,
            zone: self.availability_zone.clone(),
            slots: self.slots,
            draining: self.state != BackendState::Serving,
            cold_until: self.first_seen + WARM_UP,
        }
    }
}
