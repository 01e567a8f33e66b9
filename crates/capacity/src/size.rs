//! Sizes of fleets for which the page is computed.

/// Size of a fleet and what happens in it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetSize {
    /// Name in the page.
    pub name: &'static str,
    /// Entry instances.
    pub instances: f64,
    /// Backend servers.
    pub backend_servers: f64,
    /// Services.
    pub services: f64,
    /// Routes.
    pub routes: f64,
    /// Organisations.
    pub organisations: f64,
    /// Requests per second at the peak.
    pub requests_per_s: f64,
    /// Part of the requests that are actions, 0 to 1.
    pub action_part: f64,
    /// Configuration changes a day.
    pub changes_per_day: f64,
    /// Restarts, replacements and failures of backend servers and instances a day.
    pub restarts_per_day: f64,
}

/// User M of design 1.3.
pub const USER_M: FleetSize = FleetSize {
    name: "user M",
    instances: 14.0,
    backend_servers: 26.0,
    services: 2.0,
    routes: 6.0,
    organisations: 8.0,
    requests_per_s: 1_500.0,
    action_part: 0.1,
    changes_per_day: 20.0,
    restarts_per_day: 20.0,
};

/// User E of design 1.3.
pub const USER_E: FleetSize = FleetSize {
    name: "user E",
    instances: 17.0,
    backend_servers: 36.0,
    services: 2.0,
    routes: 8.0,
    organisations: 8.0,
    requests_per_s: 4_000.0,
    action_part: 0.1,
    changes_per_day: 20.0,
    restarts_per_day: 20.0,
};

/// The size to design for, design 1.4.
pub const TARGET: FleetSize = FleetSize {
    name: "target",
    instances: 710.0,
    backend_servers: 10_000.0,
    services: 600.0,
    routes: 8_300.0,
    organisations: 18_000.0,
    requests_per_s: 190_000.0,
    action_part: 0.1,
    changes_per_day: 750.0,
    restarts_per_day: 1_216.0,
};

/// Limits of design 1.4 for the control work of one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeLimits {
    /// Part of a core in percent.
    pub core_percent: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Traffic in KB per second.
    pub traffic_kb_per_s: f64,
}

/// Limits of design 1.4.
pub const LIMITS: NodeLimits = NodeLimits {
    core_percent: 3.9,
    memory_mb: 128.0,
    traffic_kb_per_s: 8.0,
};
