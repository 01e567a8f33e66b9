//! Settings of a sample backend server.

use std::net::SocketAddr;

use radishpaddle_model::{AvailabilityZone, BackendServerId, Incarnation, ServiceId};

use super::{CallerIdentity, FaultPlan};

/// Settings of a sample backend server.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Address of the request port; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address to announce instead of the bound one, for example that of a fault proxy in front.
    pub announced_address: Option<SocketAddr>,
    /// Address of the HTTP control port; `None` opens no control port.
    pub control: Option<SocketAddr>,
    /// Service that the server belongs to.
    pub service: ServiceId,
    /// Name of the server, which stays the same over restarts.
    pub backend_server: BackendServerId,
    /// First incarnation; each restart increments it.
    pub incarnation: Incarnation,
    /// Availability zone that the server announces.
    pub availability_zone: AvailabilityZone,
    /// Number of requests that run at the same time; further requests wait.
    pub slots: u32,
    /// Number of waiting requests above which new ones are shed; `None` disables shedding by load.
    pub queue_limit: Option<usize>,
    /// Addresses of the backend ports of the entry instances to announce to.
    pub entries: Vec<SocketAddr>,
    /// Bearer token for announcements.
    pub token: String,
    /// Interval between announcements, in milliseconds.
    pub announce_period_ms: u64,
    /// Mean service time, in milliseconds.
    pub service_time_ms: f64,
    /// Half-width of the uniform distribution of service times, as a fraction of the mean from 0 to 1.
    pub service_time_spread: f64,
    /// Number of requests at the start of each incarnation that are slow, as with cold caches.
    pub cold_requests_per_incarnation: u64,
    /// Factor on the service time of these requests; values below 1 count as 1.
    pub cold_service_time_factor: f64,
    /// Service time of a health or load probe, in milliseconds.
    pub probe_service_time_ms: u64,
    /// How the instances that call the server are told apart in its record of signals.
    pub caller_identity: CallerIdentity,
    /// Number of filler bytes in each response body.
    pub response_filler_bytes: usize,
    /// Whether address requests are answered with the server's own address, so that callers can be measured
    /// without a fleet.
    pub serves_address_requests: bool,
    /// Largest number of executions kept in memory.
    pub max_recorded_executions: usize,
    /// Seed for the random service times and faults.
    pub seed: u64,
    /// Initial faults.
    pub faults: FaultPlan,
}

impl BackendSettings {
    /// Returns settings for a server with a mean service time of 5 ms on a free loopback port, without
    /// entry instances and faults.
    #[must_use]
    pub fn new(
        service: ServiceId,
        backend_server: BackendServerId,
        availability_zone: AvailabilityZone,
    ) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            announced_address: None,
            control: None,
            service,
            backend_server,
            incarnation: Incarnation(1),
            availability_zone,
            slots: 6,
            queue_limit: None,
            entries: Vec::new(),
            token: String::new(),
            announce_period_ms: 2_000,
            service_time_ms: 5.0,
            service_time_spread: 0.2,
            cold_requests_per_incarnation: 0,
            cold_service_time_factor: 5.0,
            probe_service_time_ms: 25,
            caller_identity: CallerIdentity::PeerAddress,
            response_filler_bytes: 0,
            serves_address_requests: false,
            max_recorded_executions: 200_000,
            seed: 1,
            faults: FaultPlan::default(),
        }
    }
}
