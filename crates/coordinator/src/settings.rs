//! Settings of a coordinator and their checks.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use radishpaddle_kernel::settings::ValidationReport;
use serde::{Deserialize, Serialize};

/// Settings of a coordinator. Read at start; a reload changes only the contacts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorSettings {
    /// Name of the fleet. Connections from peers of another fleet are refused.
    pub fleet: Arc<str>,
    /// Name of this instance.
    pub instance: Arc<str>,
    /// Availability zone of this instance.
    pub zone: Arc<str>,
    /// Address on which other processes of the fleet reach this instance.
    pub peer_listen: SocketAddr,
    /// Address on which the metrics are served.
    pub metrics_listen: SocketAddr,
    /// Directory of the replicated log. Only one process may use it at a time.
    pub data_directory: PathBuf,
    /// Peer addresses of coordinators to which join requests are sent.
    pub contacts: Vec<SocketAddr>,
    /// Whether to found a new group when the data directory is empty. Only one coordinator of a fleet may
    /// do so.
    pub found: bool,
    /// Whether the whole fleet starts for the first time, so that nobody has used a rate limit yet.
    #[serde(default)]
    pub first_start: bool,
    /// Whether gateways that start get the levels of the rate limits. Without them a gateway grants the burst again; with
    /// them callers that return after a restart of all processes are refused more often.
    #[serde(default)]
    pub hand_over_limits: bool,
    /// Number of coordinators that may lose their disk at the same time without loss of state. The group
    /// keeps at least `2 * tolerated_losses + 1` voters.
    pub tolerated_losses: usize,
    /// Period, in milliseconds, in which backend servers announce themselves.
    pub heartbeat_ms: u64,
    /// Time, in milliseconds, after the start of a replacement within which the group must tolerate
    /// `tolerated_losses` again.
    #[serde(default = "default_repair_within_ms")]
    pub repair_within_ms: u64,
    /// Time, in milliseconds, for which a voter may be unreachable before it is replaced. Derived from
    /// `repair_within_ms` if it is not set.
    #[serde(default)]
    pub repair_after_ms: Option<u64>,
    /// Time, in milliseconds, for which a member without a vote may be unreachable before it is removed.
    #[serde(default = "default_remove_after_ms")]
    pub remove_after_ms: u64,
    /// Time, in milliseconds, for which callers may cache the addresses of a lookup.
    #[serde(default = "default_address_ttl_ms")]
    pub address_ttl_ms: u64,
}

const fn default_repair_within_ms() -> u64 {
    4_000
}

const fn default_remove_after_ms() -> u64 {
    12_000
}

const fn default_address_ttl_ms() -> u64 {
    3_000
}

impl CoordinatorSettings {
    /// Adds an error to the report for each field that is outside its allowed range.
    pub fn check(&self, report: &mut ValidationReport) {
        report.range("heartbeat_ms", self.heartbeat_ms, 100, 60_000);
        report.range("tolerated_losses", self.tolerated_losses, 0, 3);
        report.range("repair_within_ms", self.repair_within_ms, 1_000, 3_600_000);
        if let Some(repair_after_ms) = self.repair_after_ms {
            report.range("repair_after_ms", repair_after_ms, 1_000, 3_600_000);
        }
        report.range("remove_after_ms", self.remove_after_ms, 1_000, 3_600_000);
        report.range("address_ttl_ms", self.address_ttl_ms, 100, 600_000);
        if self.instance.is_empty() {
            report.add("instance", &self.instance, "a name");
        }
    }
}
