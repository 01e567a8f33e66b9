//! Settings of a coordinator.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use radishpaddle_kernel::settings::Report;
use serde::{Deserialize, Serialize};

/// Settings of a coordinator, built once at start.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorSettings {
    /// Name of the fleet; peers of another fleet are refused.
    pub fleet: Arc<str>,
    /// Name of this instance.
    pub instance: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address for other processes of the fleet.
    pub peer_listen: SocketAddr,
    /// Address of the metrics.
    pub metrics_listen: SocketAddr,
    /// Directory of the log; used by one process at a time.
    pub data_directory: PathBuf,
    /// Peer addresses of coordinators that are asked to let this one join.
    pub contacts: Vec<SocketAddr>,
    /// Whether an empty data directory founds the group. Only one coordinator of a fleet may.
    pub found: bool,
    /// Coordinators that may lose their disk at the same time without loss of state.
    pub tolerated_losses: usize,
    /// Period in which backend servers announce themselves.
    pub heartbeat_ms: u64,
    /// Time after which an unreachable voter is replaced.
    #[serde(default = "default_repair_after_ms")]
    pub repair_after_ms: u64,
    /// Time for which callers may keep an address answer.
    #[serde(default = "default_address_ttl_ms")]
    pub address_ttl_ms: u64,
}

const fn default_repair_after_ms() -> u64 {
    12_000
}

const fn default_address_ttl_ms() -> u64 {
    3_000
}

impl CoordinatorSettings {
    /// Reports each field that is outside its range.
    pub fn check(&self, report: &mut Report) {
        report.range("heartbeat_ms", self.heartbeat_ms, 100, 60_000);
        report.range("tolerated_losses", self.tolerated_losses, 0, 3);
        report.range("repair_after_ms", self.repair_after_ms, 1_000, 3_600_000);
        report.range("address_ttl_ms", self.address_ttl_ms, 100, 600_000);
        if self.instance.is_empty() {
            report.add("instance", &self.instance, "a name");
        }
    }
}
