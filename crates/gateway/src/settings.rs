//! Settings of a gateway.

use std::net::SocketAddr;
use std::sync::Arc;

use radishpaddle_kernel::settings::Report;
use serde::{Deserialize, Serialize};

/// Settings of a gateway, built once at start.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the fleet; peers of another fleet are refused.
    pub fleet: Arc<str>,
    /// Name of this instance.
    pub instance: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Address for callers.
    pub callers_listen: SocketAddr,
    /// Address at which the platform asks whether this instance is ready.
    pub ready_listen: SocketAddr,
    /// Address of the metrics.
    pub metrics_listen: SocketAddr,
    /// Peer addresses of coordinators that are asked first.
    pub contacts: Vec<SocketAddr>,
    /// Names of headers between callers, gateways and backend servers.
    pub headers: HeaderNames,
    /// Age of the newest proof from the coordinators above which keyed requests are refused.
    pub freshness_limit_ms: u64,
    /// Fleet-wide limits on repeated requests.
    pub retry_budget: RetryBudgetSettings,
    /// Fleet-wide limits on the requests of organisations.
    pub quota: QuotaSettings,
    /// Time after the signal to stop for which new connections are accepted.
    pub stop_accepting_after_ms: u64,
    /// Time after the signal to stop at which the process ends whatever is in flight.
    pub stop_deadline_ms: u64,
}

/// Bound on repeated requests of one service over the whole fleet.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// Repeats as a part of the requests in the window.
    pub ratio: f64,
    /// Repeats in the window beyond the ratio.
    pub slack: f64,
    /// The window.
    pub window_ms: u64,
}

/// Tolerance of the bound on the requests of an organisation.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaSettings {
    /// Window over which requests are counted.
    pub window_ms: u64,
    /// Part by which the bound may be exceeded.
    pub overage: f64,
    /// Requests by which the bound may be exceeded besides.
    pub slack: f64,
}

/// Names of headers, in lower case.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeaderNames {
    /// Id of a request; backend servers echo it.
    pub request_id: Arc<str>,
    /// Milliseconds that are left for a request.
    pub deadline_ms: Arc<str>,
    /// Organisation whose key came with the request.
    pub organisation: Arc<str>,
    /// Backend server that the request is meant for.
    pub expected_server: Arc<str>,
    /// Present in an answer of a backend server that did not run the request.
    pub not_run: Arc<str>,
}

impl Default for HeaderNames {
    fn default() -> Self {
        Self {
            request_id: "x-request-id".into(),
            deadline_ms: "x-deadline-ms".into(),
            organisation: "x-organisation".into(),
            expected_server: "x-backend-server".into(),
            not_run: "x-shed".into(),
        }
    }
}

impl GatewaySettings {
    /// Reports each field that is outside its range.
    pub fn check(&self, report: &mut Report) {
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
        if self.contacts.is_empty() {
            report.add("contacts", &"(empty)", "at least one coordinator");
        }
        if self.instance.is_empty() {
            report.add("instance", &self.instance, "a name");
        }
    }
}
