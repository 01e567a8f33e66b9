//! Metrics of an entry instance.

use std::time::Duration;

use anyhow::Result;
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry};
use radishpaddle_model::ResultCode;

/// Upper bounds of the request time histogram, in seconds.
const SECONDS: [f64; 15] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
];

/// Metrics of the request path.
#[derive(Clone)]
pub struct RequestMetrics {
    requests: IntCounterVec,
    seconds: HistogramVec,
    /// Requests in progress.
    pub in_progress: IntGauge,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Revision that is applied.
    pub revision: IntGauge,
    /// 1 while requests may be admitted.
    pub fresh: IntGauge,
}

/// Labels of one request; empty where nothing is known.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestLabels<'a> {
    /// Service.
    pub service: &'a str,
    /// Organisation.
    pub organisation: &'a str,
    /// Route.
    pub route: &'a str,
}

impl RequestMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails when a metric of the same name is registered.
    pub fn register(registry: &Registry) -> Result<Self> {
        let requests = IntCounterVec::new(
            Opts::new("radishpaddle_requests_total", "Requests by result code"),
            &["service", "organisation", "route", "code"],
        )?;
        let seconds = HistogramVec::new(
            HistogramOpts::new("radishpaddle_request_seconds", "Time of answered requests")
                .buckets(SECONDS.to_vec()),
            &["service", "organisation", "route"],
        )?;
        let metrics = Self {
            requests,
            seconds,
            in_progress: IntGauge::new(
                "radishpaddle_requests_in_progress",
                "Requests in progress",
            )?,
            connections: IntGauge::new("radishpaddle_caller_connections", "Open connections")?,
            revision: IntGauge::new("radishpaddle_config_revision", "Applied revision")?,
            fresh: IntGauge::new("radishpaddle_fresh", "1 while requests may be admitted")?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.seconds.clone()))?;
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

    /// Counts a finished request.
    pub fn finished(&self, labels: RequestLabels<'_>, code: ResultCode, elapsed: Duration) {
        let number = code.number().to_string();
        self.requests
            .with_label_values(&[labels.service, labels.organisation, labels.route, &number])
            .inc();
        if matches!(code, ResultCode::Answered | ResultCode::Replayed) {
            self.seconds
                .with_label_values(&[labels.service, labels.organisation, labels.route])
                .observe(elapsed.as_secs_f64());
        }
    }
}
