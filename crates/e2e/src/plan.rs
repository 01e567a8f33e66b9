//! What a fleet of processes consists of.

use std::sync::Arc;

use anyhow::{Context as _, Result};
use radishpaddle_entry::settings::TimingSettings;
use radishpaddle_model::{AvailabilityZone, InstanceId, OrganisationId, ServiceDocument};

/// Service that the backend servers of the tests run.
pub const SERVICE: &str = "bookings";

/// Host of the service.
pub const HOST: &str = "bookings.example";

/// Availability zones; instances take turns.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Organisations of the document.
pub const ORGANISATIONS: [&str; 8] = [
    "north", "south", "east", "west", "spring", "summer", "autumn", "winter",
];

/// Size of a fleet and its timing.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Control instances.
    pub controls: usize,
    /// Entry instances; the first three or five are witnesses.
    pub entries: usize,
    /// Backend servers.
    pub backends: usize,
    /// Whether entry instances reach the backend servers through fault proxies.
    pub backend_proxies: bool,
    /// Requests that a backend server runs at the same time.
    pub slots: u32,
    /// Service time of the backend servers.
    pub service_time_ms: f64,
    /// Organisations that get a key, at most as many as the document has.
    pub organisations: usize,
    /// Rate and burst of each organisation.
    pub limit: (f64, u32),
    /// Periods and lifetimes of the entry instances.
    pub timing: TimingSettings,
    /// Log specification of the processes.
    pub log: Arc<str>,
}

impl Default for FleetPlan {
    /// One control and three entry instances, four backend servers; a drain window of 4 s instead of
    /// 12 s keeps the tests short.
    fn default() -> Self {
        Self {
            controls: 1,
            entries: 3,
            backends: 4,
            backend_proxies: true,
            slots: 6,
            service_time_ms: 5.0,
            organisations: 2,
            limit: (2_000.0, 500),
            timing: TimingSettings {
                address_lifetime_ms: 1_000,
                keep_alive_ms: 1_000,
                ..TimingSettings::default()
            },
            log: "info".into(),
        }
    }
}

impl FleetPlan {
    /// Number of witnesses: five if there are enough instances, else three or one.
    #[must_use]
    pub fn witnesses(&self) -> usize {
        match self.entries {
            0..=2 => 1,
            3..=4 => 3,
            _ => 5,
        }
    }
}

/// Name of an entry instance, from 0.
///
/// # Errors
///
/// Never fails for small numbers.
pub fn entry_name(entry: usize) -> Result<InstanceId> {
    Ok(format!("entry-{}", entry + 1).parse()?)
}

/// Availability zone of the process with this number.
///
/// # Errors
///
/// Never fails for the zones that are built in.
pub fn zone(number: usize) -> Result<AvailabilityZone> {
    ZONES[number % ZONES.len()].parse().context("zone name")
}

/// Document of the service with the [`ORGANISATIONS`].
///
/// # Errors
///
/// Never fails for the document that is built in.
pub fn document(rate_per_s: f64, burst: u32) -> Result<ServiceDocument> {
    let organisation = |name: &str| serde_json::json!({"organisation": name, "rate_per_s": rate_per_s, "burst": burst});
    let document = serde_json::json!({
        "service": SERVICE,
        "hosts": [HOST],
        "routes": [
            {"name": "lookup", "path_prefix": "/lookup", "methods": ["GET"], "access": "keyed",
             "idempotent": true, "timeout_ms": 3000},
            {"name": "hold", "path_prefix": "/holds", "methods": ["POST"], "access": "keyed",
             "idempotent": false, "timeout_ms": 5000, "weight": 5},
            {"name": "about", "path_prefix": "/about", "methods": ["GET"], "access": "open",
             "idempotent": true, "timeout_ms": 1000},
        ],
        "organisations": ORGANISATIONS.map(organisation),
        "floor_percent": 50,
        "objective": {"success_percent": 99.0, "latency_ms": 1000},
    });
    Ok(serde_json::from_value(document)?)
}

/// Identifier of an organisation.
///
/// # Errors
///
/// Fails when the name is not an identifier.
pub fn organisation(name: &str) -> Result<OrganisationId> {
    Ok(name.parse()?)
}
