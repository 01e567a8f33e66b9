//! Fleet sizes for which the page is computed, and the limits of one node.

/// Size and load of a fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetSize {
    /// Name of the fleet in the page.
    pub name: &'static str,
    /// Number of entry instances.
    pub instances: f64,
    /// Number of backend servers.
    pub backend_servers: f64,
    /// Number of services.
    pub services: f64,
    /// Number of routes of all services.
    pub routes: f64,
    /// Number of organisations.
    pub organisations: f64,
    /// Requests per second at peak load.
    pub requests_per_s: f64,
    /// Fraction of the requests that are actions, 0 to 1.
    pub action_share: f64,
    /// Configuration changes per day.
    pub changes_per_day: f64,
    /// Restarts, replacements and failures of backend servers and instances per day.
    pub restarts_per_day: f64,
}

/// Fleet of user M in section 1.3 of the design document.
pub const USER_M: FleetSize = FleetSize {
    name: "user M",
    instances: 14.0,
    backend_servers: 26.0,
    services: 2.0,
    routes: 6.0,
    organisations: 8.0,
    requests_per_s: 1_500.0,
    action_share: 0.1,
    changes_per_day: 20.0,
    restarts_per_day: 20.0,
};

/// Fleet of user E in section 1.3 of the design document.
pub const USER_E: FleetSize = FleetSize {
    name: "user E",
    instances: 17.0,
    backend_servers: 36.0,
    services: 2.0,
    routes: 8.0,
    organisations: 8.0,
    requests_per_s: 4_000.0,
    action_share: 0.1,
    changes_per_day: 20.0,
    restarts_per_day: 20.0,
};

/// Fleet size that the design has to support, section 1.4 of the design document.
pub const TARGET: FleetSize = FleetSize {
    name: "target",
    instances: 710.0,
    backend_servers: 10_000.0,
    services: 600.0,
    routes: 8_300.0,
    organisations: 18_000.0,
    requests_per_s: 190_000.0,
    action_share: 0.1,
    changes_per_day: 750.0,
    restarts_per_day: 1_216.0,
};

/// Upper limits for the control work of one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeLimits {
    /// Processor time in percent of a core.
    pub core_percent: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Traffic in both directions, in KB per second.
    pub traffic_kb_per_s: f64,
}

/// Limits of section 1.4 of the design document.
pub const NODE_LIMITS: NodeLimits = NodeLimits {
    core_percent: 3.9,
    memory_mb: 128.0,
    traffic_kb_per_s: 8.0,
};
