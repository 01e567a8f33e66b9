//! Prometheus metrics of a gateway.

use std::time::Duration;

use anyhow::Result;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use radishpaddle_policy::Urgency;
use radishpaddle_policy::{ByteBudget, ByteUse};

/// Urgency from which on requests are counted together.
const MAX_URGENCY_LABEL: u32 = 9;

/// Upper bounds of the buckets of the latency histogram in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0, 8.0,
];

/// Counters, gauges and histograms of one gateway. The number of time series is bounded by the services and outcomes.
pub struct GatewayMetrics {
    registry: Registry,
    requests: IntCounterVec,
    attempts: IntCounterVec,
    placements: IntCounterVec,
    relays: IntCounterVec,
    admissions: IntCounterVec,
    latency: HistogramVec,
    held_bytes: IntGaugeVec,
    bodies_refused: IntCounter,
    /// Requests that wait for admission.
    pub admission_waiting: IntGauge,
    /// 1 while backend servers can be reached, 0 otherwise.
    pub backend_servers_reachable: IntGauge,
    /// Pauses that backend servers asked for.
    pub pauses: IntCounter,
    /// Backend servers that said in an answer that they leave.
    pub leaving: IntCounter,
    /// Invalid values of the header by which backend servers ask for a pause.
    pub retry_after_ignored: IntCounter,
    /// Backend servers that are paused.
    pub paused_servers: IntGauge,
    /// Cold backend servers.
    pub cold_servers: IntGauge,
    /// 1 while the roster of gateways may be used, 0 otherwise.
    pub roster_usable: IntGauge,
    /// Availability zones that are evacuated.
    pub evacuated_zones: IntGauge,
    /// Requests that are being served.
    pub in_progress: IntGauge,
    /// Open caller connections.
    pub connections: IntGauge,
    /// Version of the configuration in use.
    pub config_version: IntGauge,
    /// 1 while the configuration is proved to be current, 0 otherwise.
    pub fresh: IntGauge,
    /// Dropped lines of the decision log.
    pub log_dropped: IntGauge,
    /// Replies of coordinators that were refused because their demand was invalid.
    pub invalid_replies: IntCounter,
}

impl GatewayMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Fails when two metrics have the same name.
    pub fn register() -> Result<Self> {
        let registry = Registry::new_custom(Some("radishpaddle_gateway".to_owned()), None)?;
        let gauge = |name: &str, help: &str| -> Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let counter = |name: &str, help: &str| -> Result<IntCounter> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let requests = Opts::new("requests_total", "Requests by service and outcome.");
        let requests = IntCounterVec::new(requests, &["service", "outcome"])?;
        registry.register(Box::new(requests.clone()))?;
        let attempts = Opts::new("attempts_total", "Attempts at backend servers by result.");
        let attempts = IntCounterVec::new(attempts, &["service", "result"])?;
        registry.register(Box::new(attempts.clone()))?;
        let placements = Opts::new("placements_total", "Selected servers by reason.");
        let placements = IntCounterVec::new(placements, &["service", "reason"])?;
        registry.register(Box::new(placements.clone()))?;
        let relays = Opts::new(
            "relays_total",
            "Requests sent to another gateway by result.",
        );
        let relays = IntCounterVec::new(relays, &["result"])?;
        registry.register(Box::new(relays.clone()))?;
        let held_bytes = Opts::new("held_bytes", "Bytes of bodies in memory by use.");
        let held_bytes = IntGaugeVec::new(held_bytes, &["use"])?;
        registry.register(Box::new(held_bytes.clone()))?;
        let admissions = Opts::new("admissions_total", "Admission decisions by urgency.");
        let admissions = IntCounterVec::new(admissions, &["urgency", "decision"])?;
        registry.register(Box::new(admissions.clone()))?;
        let reachable = gauge(
            "backend_servers_reachable",
            "1 while backend servers can be reached.",
        )?;
        reachable.set(1);
        let latency = HistogramOpts::new("request_seconds", "Time from the head to the answer.");
        let latency = latency.buckets(LATENCY_BUCKETS_S.to_vec());
        let latency = HistogramVec::new(latency, &["service"])?;
        registry.register(Box::new(latency.clone()))?;
        Ok(Self {
            requests,
            attempts,
            placements,
            relays,
            admissions,
            latency,
            held_bytes,
            bodies_refused: counter(
                "bodies_refused_total",
                "Requests and answers for which the budget of bytes had no room.",
            )?,
            admission_waiting: gauge("admission_waiting", "Requests that wait for admission.")?,
            backend_servers_reachable: reachable,
            pauses: counter(
                "backend_server_pauses_total",
                "Pauses that backend servers asked for.",
            )?,
            leaving: counter(
                "backend_servers_leaving_total",
                "Backend servers that said in an answer that they leave.",
            )?,
            retry_after_ignored: counter(
                "retry_after_ignored_total",
                "Invalid values in answers of backend servers that ask for a pause.",
            )?,
            paused_servers: gauge(
                "backend_servers_paused",
                "Backend servers that get no requests because they asked for a pause.",
            )?,
            cold_servers: gauge(
                "backend_servers_cold",
                "Backend servers that get few requests because they are cold.",
            )?,
            roster_usable: gauge(
                "roster_usable",
                "1 while cold backend servers may get requests of this gateway.",
            )?,
            evacuated_zones: gauge("evacuated_zones", "Availability zones that are evacuated.")?,
            in_progress: gauge("requests_in_progress", "Requests that are being served.")?,
            connections: gauge("caller_connections", "Open connections of callers.")?,
            config_version: gauge("config_version", "Version of the configuration in use.")?,
            fresh: gauge(
                "fresh",
                "1 while the configuration is proved to be current.",
            )?,
            log_dropped: gauge(
                "log_lines_dropped",
                "Lines of the decision log not written.",
            )?,
            invalid_replies: counter(
                "invalid_replies_total",
                "Replies of coordinators refused because their demand was invalid.",
            )?,
            registry,
        })
    }

    /// Records the outcome and duration of a request.
    pub fn record_request(&self, service: &str, outcome: &str, elapsed: Duration) {
        self.requests.with_label_values(&[service, outcome]).inc();
        let latency = self.latency.with_label_values(&[service]);
        latency.observe(elapsed.as_secs_f64());
    }

    /// Counts the result of an attempt.
    pub fn record_attempt(&self, service: &str, result: &str) {
        self.attempts.with_label_values(&[service, result]).inc();
    }

    /// Updates the metrics of the bodies in memory.
    pub(crate) fn record_budget(&self, budget: &ByteBudget) {
        for usage in ByteUse::ALL {
            let bytes = i64::try_from(budget.held_bytes(usage)).unwrap_or(i64::MAX);
            self.held_bytes
                .with_label_values(&[usage.name()])
                .set(bytes);
        }
        let counted = self.bodies_refused.get();
        self.bodies_refused
            .inc_by(budget.refused().saturating_sub(counted));
    }

    /// Counts an admission decision.
    pub fn record_admission(&self, urgency: Urgency, decision: &str) {
        let urgency = urgency.0.min(MAX_URGENCY_LABEL).to_string();
        let labels = &[urgency.as_str(), decision];
        self.admissions.with_label_values(labels).inc();
    }

    /// Counts the reason for which a server was selected.
    pub fn record_placement(&self, service: &str, reason: &str) {
        self.placements.with_label_values(&[service, reason]).inc();
    }

    /// Counts the result of sending a request to another gateway.
    pub fn record_relay(&self, result: &str) {
        self.relays.with_label_values(&[result]).inc();
    }

    /// Renders the metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# {error}\n"))
    }
}
