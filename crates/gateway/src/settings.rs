//! Settings of a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_kernel::settings::ValidationReport;
use radishpaddle_policy::StopPlan;
pub use radishpaddle_policy::quota::QuotaSettings;
pub use radishpaddle_policy::retry_budget::RetryBudgetSettings;
use serde::{Deserialize, Serialize};

/// Settings of a gateway, built once at start.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the fleet; peers with another fleet name are refused.
    pub fleet: Arc<str>,
    /// Name of this instance.
    pub instance: Arc<str>,
    /// Availability zone of this instance.
    pub zone: Arc<str>,
    /// Listen address for callers.
    pub callers_listen: SocketAddr,
    /// Listen address of the readiness check.
    pub ready_listen: SocketAddr,
    /// Listen address of the metrics page.
    pub metrics_listen: SocketAddr,
    /// Peer addresses of the coordinators that are polled first.
    pub contacts: Vec<SocketAddr>,
    /// Names of headers between callers, gateways and backend servers.
    pub headers: HeaderNames,
    /// Age of the newest freshness proof in milliseconds above which requests that need a key are refused.
    pub freshness_limit_ms: u64,
    /// Fleet-wide retry budget of each service.
    pub retry_budget: RetryBudgetSettings,
    /// Tolerance of the fleet-wide rate limits of organisations.
    pub quota: QuotaSettings,
    /// Time in milliseconds after the stop signal for which new connections are accepted.
    pub stop_accepting_after_ms: u64,
    /// Time in milliseconds after the stop signal at which the process ends even with requests in flight.
    pub stop_deadline_ms: u64,
    /// Whether requests are admitted, placed and held by their cost.
    #[serde(default)]
    pub load_management: LoadManagement,
    /// How backend servers are chosen while load is managed.
    #[serde(default)]
    pub placement: PlacementPolicy,
    /// Resources of the machine, if they are known.
    #[serde(default)]
    pub machine: Option<MachineLimits>,
    /// Tolerance of the rate limit of cold backend servers.
    #[serde(default)]
    pub warmup: WarmupSettings,
    /// Maximum number of bytes per second that this gateway exchanges with coordinators in steady state.
    #[serde(default = "default_control_bytes_per_s")]
    pub control_bytes_per_s: u64,
}

const fn default_control_bytes_per_s() -> u64 {
    8_000
}

/// Whether requests are admitted, placed and held by their cost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadManagement {
    /// While the configuration has a route that declares large requests or large answers.
    #[default]
    Auto,
    /// Always.
    On,
    /// Never.
    Off,
}

/// How backend servers are chosen while load is managed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementPolicy {
    /// By the number of requests in flight.
    #[default]
    Count,
    /// By the expected end of the request, from the work that each server still has to do.
    Work,
}

/// Resources of the machine that a gateway runs on.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineLimits {
    /// Memory of the process in bytes.
    pub memory_bytes: u64,
    /// Bandwidth of the network link in bytes per second, in each direction.
    pub link_bytes_per_s: u64,
    /// Share of a processor core.
    pub cpu_share: f64,
}

/// Tolerance of the rate limit of a cold backend server over the whole fleet, in each window of one second.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WarmupSettings {
    /// Factor by which the tolerated rate may be exceeded.
    pub overage: f64,
    /// Requests by which it may be exceeded in addition.
    pub slack: f64,
}

impl Default for WarmupSettings {
    fn default() -> Self {
        Self {
            overage: 1.0,
            slack: 0.0,
        }
    }
}

/// Names of headers between callers, gateways and backend servers, in lower case.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeaderNames {
    /// Request id; backend servers return it in the answer.
    pub request_id: Arc<str>,
    /// Remaining time for a request in milliseconds.
    pub deadline_ms: Arc<str>,
    /// Organisation whose key came with the request.
    pub organisation: Arc<str>,
    /// Backend server that the request is addressed to.
    pub expected_server: Arc<str>,
    /// Present in an answer when the backend server did not run the request.
    pub not_run: Arc<str>,
    /// Name of the gateway that relayed a request to this one.
    #[serde(default = "default_relayed_by")]
    pub relayed_by: Arc<str>,
    /// Incarnation of the backend server that answered a relayed request; for the gateway that relayed it.
    #[serde(default = "default_served_by")]
    pub served_by: Arc<str>,
    /// `1` in an answer of a backend server that is leaving.
    #[serde(default = "default_leaving")]
    pub leaving: Arc<str>,
    /// Seconds for which a backend server that answered 503 wants no requests.
    #[serde(default = "default_retry_after")]
    pub retry_after: Arc<str>,
    /// Start of the backend server that answered in Unix milliseconds; absent where backend servers don't state it.
    #[serde(default)]
    pub started_at: Option<Arc<str>>,
    /// Proof that an answer is that of a backend server; absent where backend servers send none.
    #[serde(default)]
    pub proof: Option<Arc<str>>,
}

impl Default for HeaderNames {
    fn default() -> Self {
        Self {
            request_id: "x-request-id".into(),
            deadline_ms: "x-deadline-ms".into(),
            organisation: "x-organisation".into(),
            expected_server: "x-backend-server".into(),
            not_run: "x-shed".into(),
            relayed_by: default_relayed_by(),
            served_by: default_served_by(),
            leaving: default_leaving(),
            retry_after: default_retry_after(),
            started_at: None,
            proof: None,
        }
    }
}

fn default_relayed_by() -> Arc<str> {
    "x-relayed-by".into()
}

fn default_served_by() -> Arc<str> {
    "x-served-by".into()
}

fn default_leaving() -> Arc<str> {
    "x-leaving".into()
}

fn default_retry_after() -> Arc<str> {
    "retry-after".into()
}

impl GatewaySettings {
    /// Times of a planned stop.
    #[must_use]
    pub fn stop_plan(&self) -> StopPlan {
        let accept_for = Duration::from_millis(self.stop_accepting_after_ms);
        StopPlan::new(accept_for, Duration::from_millis(self.stop_deadline_ms))
    }

    /// Checks the ranges of the fields and adds each problem to the report.
    pub fn check(&self, report: &mut ValidationReport) {
        report.range("freshness_limit_ms", self.freshness_limit_ms, 500, 600_000);
        report.range("retry_budget.ratio", self.retry_budget.ratio, 0.0, 10.0);
        report.range(
            "retry_budget.window_ms",
            self.retry_budget.window_ms,
            100,
            600_000,
        );
        report.range("quota.window_ms", self.quota.window_ms, 100, 600_000);
        report.range("stop_deadline_ms", self.stop_deadline_ms, 0, 600_000);
        report.range(
            "stop_accepting_after_ms",
            self.stop_accepting_after_ms,
            0,
            self.stop_deadline_ms,
        );
        report.range("warmup.overage", self.warmup.overage, 0.1, 100.0);
        report.range("warmup.slack", self.warmup.slack, 0.0, 1e6);
        report.range(
            "control_bytes_per_s",
            self.control_bytes_per_s,
            1_000,
            1_000_000_000,
        );
        if let Some(machine) = &self.machine {
            let min_memory_bytes = 16 << 20;
            report.range(
                "machine.memory_bytes",
                machine.memory_bytes,
                min_memory_bytes,
                u64::MAX,
            );
            let (link, cpu_share) = (machine.link_bytes_per_s, machine.cpu_share);
            report.range("machine.link_bytes_per_s", link, 1_000, u64::MAX);
            report.range("machine.cpu_share", cpu_share, 0.001, 1_024.0);
        }
        if self.contacts.is_empty() {
            report.add("contacts", &"(empty)", "at least one coordinator");
        }
        if self.instance.is_empty() {
            report.add("instance", &self.instance, "a name");
        }
    }
}
