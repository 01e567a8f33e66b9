//! Settings of a sample backend server.

use std::net::SocketAddr;

use radishpaddle_model::{AvailabilityZone, BackendServerId, Incarnation, ServiceId};

use super::FaultPlan;

/// Settings of a sample backend server.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Request port; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Address to announce when it differs from the bound one, for example a fault proxy in front.
    pub announced_address: Option<SocketAddr>,
    /// HTTP control port, if one is wanted.
    pub control: Option<SocketAddr>,
    /// Service that it runs.
    pub service: ServiceId,
    /// Name, stable over restarts.
    pub backend_server: BackendServerId,
    /// First incarnation.
    pub incarnation: Incarnation,
    /// Availability zone that it announces.
    pub availability_zone: AvailabilityZone,
    /// Requests that run at the same time; more wait.
    pub slots: u32,
    /// Waiting requests above which new ones are shed; without it nothing is shed for load.
    pub queue_limit: Option<usize>,
    /// Backend ports of the entry instances that it announces itself to.
    pub entries: Vec<SocketAddr>,
    /// Bearer token for announcements.
    pub token: String,
    /// Time between two announcements, in milliseconds.
    pub announce_period_ms: u64,
    /// Mean service time, in milliseconds.
    pub service_time_ms: f64,
    /// Uniform spread of the service time as a part of its mean, from 0 to 1.
    pub service_time_spread: f64,
    /// Requests of each incarnation that are slow because caches are cold.
    pub cold_requests: u64,
    /// Factor on the service time of cold requests.
    pub cold_factor: f64,
    /// Service time of a health or load probe, in milliseconds.
    pub probe_time_ms: u64,
    /// Filler bytes in each response body.
    pub answer_filler_bytes: usize,
    /// Answers address requests with its own address, so that callers can be measured without a fleet.
    pub answers_addresses: bool,
    /// Executions that are kept in memory.
    pub record_limit: usize,
    /// Seed for service times and fault shares.
    pub seed: u64,
    /// Faults from the start.
    pub faults: FaultPlan,
}

impl BackendSettings {
    /// Settings of a fast backend server on a free loopback port, without entry instances.
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
            cold_requests: 0,
            cold_factor: 5.0,
            probe_time_ms: 25,
            answer_filler_bytes: 0,
            answers_addresses: false,
            record_limit: 200_000,
            seed: 1,
            faults: FaultPlan::default(),
        }
    }
}
