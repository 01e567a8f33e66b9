//! Size, names, timing and service document of a test fleet.

use std::sync::Arc;

use anyhow::{Context as _, Result};
use radishpaddle_entry::settings::TimingSettings;
use radishpaddle_model::{AvailabilityZone, InstanceId, OrganisationId, ServiceDocument};

/// Name of the service that the backend servers provide.
pub const SERVICE: &str = "bookings";

/// Host name of the service.
pub const HOST: &str = "bookings.example";

/// Availability zones, assigned to processes round robin.
const AVAILABILITY_ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Organisations in the service document.
pub const ORGANISATIONS: [&str; 8] = [
    "north", "south", "east", "west", "spring", "summer", "autumn", "winter",
];

/// Size and timing of a test fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Number of control instances.
    pub controls: usize,
    /// Number of entry instances. The first ones are witnesses, see [`Self::witnesses`].
    pub entries: usize,
    /// Number of backend servers.
    pub backends: usize,
    /// Whether entry instances reach the backend servers through fault proxies.
    pub backend_proxies: bool,
    /// Number of requests that a backend server processes concurrently.
    pub slots: u32,
    /// Service time of the backend servers, in milliseconds.
    pub service_time_ms: f64,
    /// Number of organisations that get a key, at most the length of [`ORGANISATIONS`].
    pub organisations: usize,
    /// Rate limit of each organisation, in requests per second, and its burst, in requests.
    pub rate_and_burst: (f64, u32),
    /// Periods and lifetimes of the entry instances.
    pub timing: TimingSettings,
    /// Longest planned stop of a process, in milliseconds.
    pub stop_deadline_ms: u64,
    /// Log filter of the processes, such as `info`.
    pub log: Arc<str>,
}

impl Default for FleetPlan {
    /// Returns a plan with one control instance, three entry instances and four backend servers. The
    /// drain window is 4 s instead of 12 s to keep the tests short.
    fn default() -> Self {
        Self {
            controls: 1,
            entries: 3,
            backends: 4,
            backend_proxies: true,
            slots: 6,
            service_time_ms: 5.0,
            organisations: 2,
            rate_and_burst: (2_000.0, 500),
            timing: TimingSettings {
                address_lifetime_ms: 1_000,
                keep_alive_ms: 1_000,
                ..TimingSettings::default()
            },
            stop_deadline_ms: 30_000,
            log: "info".into(),
        }
    }
}

impl FleetPlan {
    /// Returns the number of witnesses: 5 with at least 5 entry instances, 3 with 3 or 4, else 1.
    #[must_use]
    pub fn witnesses(&self) -> usize {
        match self.entries {
            0..=2 => 1,
            3..=4 => 3,
            _ => 5,
        }
    }
}

/// Returns the name of the entry instance with this zero-based index.
///
/// # Errors
///
/// Returns an error if the name is too long for an instance name, which small numbers never cause.
pub fn entry_name(entry: usize) -> Result<InstanceId> {
    Ok(format!("entry-{}", entry + 1).parse()?)
}

/// Returns the availability zone of the process with this zero-based index.
///
/// # Errors
///
/// Returns an error if a name in the built-in list of zones is invalid.
pub fn zone(number: usize) -> Result<AvailabilityZone> {
    AVAILABILITY_ZONES[number % AVAILABILITY_ZONES.len()]
        .parse()
        .context("invalid name of an availability zone")
}

/// Returns the document of [`SERVICE`], which gives each of the [`ORGANISATIONS`] the same rate, in
/// requests per second, and burst, in requests.
///
/// # Errors
///
/// Returns an error if the document model rejects the rate or the burst.
pub fn service_document(rate_per_s: f64, burst: u32) -> Result<ServiceDocument> {
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

/// Parses an organisation identifier.
///
/// # Errors
///
/// Returns an error if the name is not a valid identifier.
pub fn parse_organisation(name: &str) -> Result<OrganisationId> {
    Ok(name.parse()?)
}
