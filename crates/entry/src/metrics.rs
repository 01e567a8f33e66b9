//! Metrics of an entry instance.

use std::time::Duration;

use anyhow::Result;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
};
use radishpaddle_model::ResultCode;

/// Upper bounds of the buckets of the request duration histogram, in seconds.
const REQUEST_SECONDS_BUCKETS: [f64; 15] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
];

/// Metrics of the request path.
#[derive(Clone)]
pub struct RequestMetrics {
    requests_total: IntCounterVec,
    request_seconds: HistogramVec,
    /// Number of requests in progress.
    pub in_progress: IntGauge,
    /// Number of open caller connections.
    pub connections: IntGauge,
    /// Applied revision of the configuration.
    pub revision: IntGauge,
    /// 1 while requests may be admitted, else 0.
    pub fresh: IntGauge,
}

/// Metric labels of a request. A label is empty if the request failed before it was known.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestLabels<'a> {
    /// Id of the service.
    pub service: &'a str,
    /// Id of the organisation.
    pub organisation: &'a str,
    /// Name of the route.
    pub route: &'a str,
}

impl RequestMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Fails when a metric of the same name is already registered.
    pub fn register(registry: &Registry) -> Result<Self> {
        let requests_total = IntCounterVec::new(
            Opts::new("radishpaddle_requests_total", "Requests by result code"),
            &["service", "organisation", "route", "code"],
        )?;
        let request_seconds = HistogramVec::new(
            HistogramOpts::new("radishpaddle_request_seconds", "Time of answered requests")
                .buckets(REQUEST_SECONDS_BUCKETS.to_vec()),
            &["service", "organisation", "route"],
        )?;
        let metrics = Self {
            requests_total,
            request_seconds,
            in_progress: IntGauge::new(
                "radishpaddle_requests_in_progress",
                "Requests in progress",
            )?,
            connections: IntGauge::new("radishpaddle_caller_connections", "Open connections")?,
            revision: IntGauge::new("radishpaddle_config_revision", "Applied revision")?,
            fresh: IntGauge::new("radishpaddle_fresh", "1 while requests may be admitted")?,
        };
        registry.register(Box::new(metrics.requests_total.clone()))?;
        registry.register(Box::new(metrics.request_seconds.clone()))?;
        for gauge in [
            &metrics.in_progress,
            &metrics.connections,
            &metrics.revision,
            &metrics.fresh,
        ] {
            registry.register(Box::new(gauge.clone()))?;
        }
        Ok(metrics)
    }

    /// Counts a finished request. Observes its duration only if the response comes from a backend
    /// server, directly or from the record of an earlier attempt.
    pub fn record_finished(&self, labels: RequestLabels<'_>, code: ResultCode, elapsed: Duration) {
        let number = code.number().to_string();
        self.requests_total
            .with_label_values(&[labels.service, labels.organisation, labels.route, &number])
            .inc();
        if matches!(code, ResultCode::Answered | ResultCode::Replayed) {
            self.request_seconds
                .with_label_values(&[labels.service, labels.organisation, labels.route])
                .observe(elapsed.as_secs_f64());
        }
    }
}

/// Metrics of what backend servers say in their responses about new requests.
#[derive(Clone)]
pub struct ServerSignalMetrics {
    signals_total: IntCounterVec,
    paused: IntGaugeVec,
}

impl ServerSignalMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Fails when a metric of the same name is already registered.
    pub fn register(registry: &Registry) -> Result<Self> {
        let metrics = Self {
            signals_total: IntCounterVec::new(
                Opts::new(
                    "radishpaddle_server_signals_total",
                    "Responses of backend servers with a signal",
                ),
                &["service", "signal"],
            )?,
            paused: IntGaugeVec::new(
                Opts::new(
                    "radishpaddle_backend_servers_paused",
                    "Backend servers that want a pause from this instance",
                ),
                &["service"],
            )?,
        };
        registry.register(Box::new(metrics.signals_total.clone()))?;
        registry.register(Box::new(metrics.paused.clone()))?;
        Ok(metrics)
    }

    /// Counts signals of one kind.
    pub fn add(&self, service: &str, signal: &str, count: u64) {
        if count > 0 {
            let counter = self.signals_total.with_label_values(&[service, signal]);
            counter.inc_by(count);
        }
    }

    /// Sets the number of paused backend servers of a service.
    pub fn set_paused(&self, service: &str, servers: i64) {
        self.paused.with_label_values(&[service]).set(servers);
    }
}
