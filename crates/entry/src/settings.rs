//! Settings of an entry instance.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_kernel::settings::ValidationReport;
use radishpaddle_kernel::{CommonSettings, ProcessSettings};
use radishpaddle_model::{AvailabilityZone, ByteSize, InstanceId};
use radishpaddle_policy::StopPlan;
use serde::{Deserialize, Serialize};

/// Time limit at the end of a planned stop, after the last request, for returning the rate allocations to the witness
/// leader.
pub const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings file of `radishpaddle-entry`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Settings that every program of the fleet has.
    pub common: CommonSettings,
    /// Addresses that the instance listens on.
    pub listen: ListenSettings,
    /// Addresses that the instance advertises where they differ from the ones it listens on.
    #[serde(default)]
    pub advertise: AdvertiseSettings,
    /// Witnesses of the fleet; the list must be the same on every instance.
    pub witnesses: Vec<WitnessSettings>,
    /// Shared secret that backend servers present in announcements.
    pub backend_token: Arc<str>,
    /// Limits on callers and backend servers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Periods, freshness limit and lifetimes.
    #[serde(default)]
    pub timing: TimingSettings,
}

/// Addresses that the instance listens on.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for announcements of backend servers.
    pub backend_servers: SocketAddr,
    /// Address for other processes of the fleet.
    pub peers: SocketAddr,
}

/// Addresses that the instance advertises where they differ from the ones it listens on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdvertiseSettings {
    /// Address for callers; required when `listen.callers` is an unspecified address.
    pub callers: Option<SocketAddr>,
}

/// A witness of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WitnessSettings {
    /// Instance that runs the witness.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZone,
    /// Address of the instance for other processes of the fleet.
    pub peer_address: SocketAddr,
}

/// Limits on callers and backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum number of open caller connections; further ones are closed on accept.
    pub caller_connections: usize,
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Time limit for receiving a request head, in milliseconds; also closes idle connections.
    pub header_timeout_ms: u64,
    /// Time limit for receiving a request body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Maximum number of queued requests per service.
    pub queue_length: usize,
    /// Time limit for connecting to a backend server, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Maximum number of idle connections per backend server.
    pub idle_connections_per_server: usize,
    /// Time for which a witness keeps a claim after the last event of the claim, in milliseconds;
    /// must be the same on every witness.
    pub claim_retention_ms: u64,
    /// Memory limit of a witness for claims; claims beyond it are refused.
    pub claim_memory: ByteSize,
}

/// Periods, freshness limit and lifetimes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// Period of polls to the witnesses, in milliseconds.
    pub poll_ms: u64,
    /// Period of sync requests to the witness leader and of backend server updates from the
    /// witnesses, in milliseconds.
    pub sync_ms: u64,
    /// Maximum age of the freshness evidence with which requests are admitted, in milliseconds.
    pub freshness_limit_ms: u64,
    /// Time for which a caller may cache the list of entry addresses, in milliseconds.
    pub address_lifetime_ms: u64,
    /// Time for which a caller may keep an idle connection, in milliseconds.
    pub keep_alive_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            caller_connections: 4096,
            header_bytes: 32 << 10,
            header_timeout_ms: 10_000,
            body_timeout_ms: 10_000,
            queue_length: 1024,
            connect_timeout_ms: 500,
            idle_connections_per_server: 16,
            claim_retention_ms: 600_000,
            claim_memory: ByteSize(64 << 20),
        }
    }
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            poll_ms: 500,
            sync_ms: 250,
            freshness_limit_ms: 4_000,
            address_lifetime_ms: 5_000,
            keep_alive_ms: 5_000,
        }
    }
}

impl EntrySettings {
    /// Returns the address that callers use.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.advertise.callers.unwrap_or(self.listen.callers)
    }

    /// Returns the times of a planned stop, as far as callers are concerned. Requests end [`RELEASE_TIMEOUT`] before
    /// the stop deadline, or a quarter of it if that is shorter.
    #[must_use]
    pub fn stop_plan(&self) -> StopPlan {
        let stop_deadline = Duration::from_millis(self.common.stop_deadline_ms);
        let release_time = RELEASE_TIMEOUT.min(stop_deadline / 4);
        let callers_end_after = stop_deadline.saturating_sub(release_time);
        StopPlan::new(self.timing.drain_window(), callers_end_after)
    }

    /// Returns whether this instance is a witness.
    #[must_use]
    pub fn is_witness(&self) -> bool {
        let own = &self.common.instance;
        self.witnesses
            .iter()
            .any(|witness| &witness.instance == own)
    }

    fn check_witnesses(&self, report: &mut ValidationReport) {
        let count = self.witnesses.len();
        if count.is_multiple_of(2) || count > 7 {
            report.add("witnesses", &count, "1, 3, 5 or 7 witnesses");
        }
        let mut names = BTreeSet::new();
        for (index, witness) in self.witnesses.iter().enumerate() {
            if !names.insert(&witness.instance) {
                let field = format!("witnesses[{index}].instance");
                report.add(&field, &witness.instance, "each instance once");
            }
        }
    }
}

impl ProcessSettings for EntrySettings {
    fn common(&self) -> &CommonSettings {
        &self.common
    }

    fn check(&self, report: &mut ValidationReport) {
        self.common.check(report);
        self.check_witnesses(report);
        let mut addresses = vec![("listen.peers".to_owned(), self.listen.peers)];
        for (index, witness) in self.witnesses.iter().enumerate() {
            let field = format!("witnesses[{index}].peer_address");
            addresses.push((field, witness.peer_address));
        }
        self.common.check_peer_addresses(report, &addresses);
        if self.caller_address().ip().is_unspecified() {
            let allowed = "an address that callers can reach";
            report.add("advertise.callers", &self.caller_address(), allowed);
        }
        if self.backend_token.len() < 16 {
            report.add("backend_token", &"(hidden)", "at least 16 characters");
        }
        self.limits.check(report);
        self.timing.check(report);
    }
}

impl LimitSettings {
    fn check(&self, report: &mut ValidationReport) {
        report.range(
            "limits.caller_connections",
            self.caller_connections,
            1,
            100_000,
        );
        report.range("limits.header_bytes", self.header_bytes, 8 << 10, 1 << 20);
        report.range(
            "limits.header_timeout_ms",
            self.header_timeout_ms,
            100,
            120_000,
        );
        report.range("limits.body_timeout_ms", self.body_timeout_ms, 100, 600_000);
        report.range("limits.queue_length", self.queue_length, 1, 100_000);
        report.range(
            "limits.connect_timeout_ms",
            self.connect_timeout_ms,
            10,
            60_000,
        );
        let idle = self.idle_connections_per_server;
        report.range("limits.idle_connections_per_server", idle, 0, 1024);
        report.range(
            "limits.claim_retention_ms",
            self.claim_retention_ms,
            60_000,
            86_400_000,
        );
        let (low, high) = (ByteSize(1 << 20), ByteSize(1 << 30));
        report.range("limits.claim_memory", self.claim_memory, low, high);
    }
}

impl TimingSettings {
    /// Returns the time of a planned stop during which callers may still send requests, because
    /// they cached the address list or hold an idle connection.
    #[must_use]
    pub const fn drain_window(&self) -> Duration {
        const MARGIN_MS: u64 = 2_000;
        Duration::from_millis(self.address_lifetime_ms + self.keep_alive_ms + MARGIN_MS)
    }

    /// Maximum age of the freshness evidence with which requests are admitted.
    #[must_use]
    pub const fn freshness_limit(&self) -> Duration {
        Duration::from_millis(self.freshness_limit_ms)
    }

    fn check(&self, report: &mut ValidationReport) {
        report.range("timing.poll_ms", self.poll_ms, 10, 1_000);
        report.range("timing.sync_ms", self.sync_ms, 10, 1_000);
        report.range(
            "timing.freshness_limit_ms",
            self.freshness_limit_ms,
            100,
            4_000,
        );
        report.range(
            "timing.address_lifetime_ms",
            self.address_lifetime_ms,
            0,
            60_000,
        );
        report.range("timing.keep_alive_ms", self.keep_alive_ms, 100, 60_000);
        if self.poll_ms * 3 > self.freshness_limit_ms {
            let allowed = "at least three times timing.poll_ms";
            report.add(
                "timing.freshness_limit_ms",
                &self.freshness_limit_ms,
                allowed,
            );
        }
    }
}
