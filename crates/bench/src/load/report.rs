//! Report of a run, as tables or JSON.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::stats::{Group, GroupKey, Stats};

/// Report of a run.
#[derive(Debug)]
#[derive(Serialize)]
pub struct Report {
    /// Number of scheduled requests.
    pub scheduled: u64,
    /// Time from the start of the run to the last result, in milliseconds.
    pub elapsed_ms: u64,
    /// Delay between the scheduled time and the start of a request. A high value means that the
    /// generator was too slow or reached its limit of requests in flight.
    pub start_lag: Quantiles,
    /// Groups, sorted by organisation, service and kind.
    pub groups: Vec<GroupReport>,
}

/// Report on the requests of one kind from one organisation to one service.
#[derive(Debug)]
#[derive(Serialize)]
pub struct GroupReport {
    /// Name of the calling organisation.
    pub organisation: String,
    /// Name of the called service.
    pub service: String,
    /// `action` or `idempotent`.
    pub kind: &'static str,
    /// Number of finished requests.
    pub requests: u64,
    /// Number of requests that a backend server answered with a status below 500.
    pub delivered: u64,
    /// Latency of delivered requests from the scheduled time.
    pub latency: Quantiles,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
}

/// Quantiles of a time, in milliseconds.
#[derive(Debug)]
#[derive(Serialize)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub struct Quantiles {
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Highest value.
    pub max_ms: f64,
}

impl Quantiles {
    fn new(histogram_us: &Histogram<u64>) -> Self {
        let quantile = |q| milliseconds(histogram_us.value_at_quantile(q));
        Self {
            p50_ms: quantile(0.5),
            p90_ms: quantile(0.9),
            p99_ms: quantile(0.99),
            p999_ms: quantile(0.999),
            max_ms: milliseconds(histogram_us.max()),
        }
    }
}

/// Converts microseconds to milliseconds. The largest value of the histograms is far below 2^53, up to
/// which the conversion to floating point is exact.
#[expect(clippy::cast_precision_loss)]
fn milliseconds(time_us: u64) -> f64 {
    time_us as f64 / 1_000.0
}

impl Report {
    /// Summarises the statistics.
    #[must_use]
    pub fn new(stats: &Stats) -> Self {
        Self {
            scheduled: stats.scheduled,
            elapsed_ms: u64::try_from(stats.elapsed.as_millis()).unwrap_or(u64::MAX),
            start_lag: Quantiles::new(&stats.start_lag_us),
            groups: stats.groups.iter().map(GroupReport::new).collect(),
        }
    }
}

impl GroupReport {
    fn new(((organisation, service, action), group): (&GroupKey, &Group)) -> Self {
        Self {
            organisation: organisation.to_string(),
            service: service.to_string(),
            kind: if *action { "action" } else { "idempotent" },
            requests: group.requests,
            delivered: group.delivered,
            latency: Quantiles::new(&group.latency_us),
            outcomes: group.outcomes.clone(),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lag = &self.start_lag;
        writeln!(
            f,
            "{} requests scheduled, {} ms",
            self.scheduled, self.elapsed_ms
        )?;
        writeln!(
            f,
            "start lag p50 {:.3} ms, p99 {:.3} ms, max {:.3} ms",
            lag.p50_ms, lag.p99_ms, lag.max_ms
        )?;
        writeln!(
            f,
            "\nlatency of delivered requests from the scheduled time, in ms"
        )?;
        let columns = ["organisation", "service", "kind", "requests", "delivered"];
        let quantiles = ["p50", "p90", "p99", "p99.9", "max"];
        for column in columns {
            write!(f, "{column:<14}")?;
        }
        for quantile in quantiles {
            write!(f, "{quantile:>10}")?;
        }
        writeln!(f)?;
        for group in &self.groups {
            group.write_latency(f)?;
        }
        writeln!(f, "\noutcomes")?;
        for group in &self.groups {
            group.write_outcomes(f)?;
        }
        Ok(())
    }
}

impl GroupReport {
    fn write_latency(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            organisation,
            service,
            kind,
            requests,
            delivered,
            latency,
            ..
        } = self;
        write!(
            f,
            "{organisation:<13} {service:<13} {kind:<13} {requests:<13} {delivered:<13} "
        )?;
        let Quantiles {
            p50_ms,
            p90_ms,
            p99_ms,
            p999_ms,
            max_ms,
        } = latency;
        for value in [p50_ms, p90_ms, p99_ms, p999_ms, max_ms] {
            write!(f, "{value:>10.2}")?;
        }
        writeln!(f)
    }

    fn write_outcomes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            organisation,
            service,
            kind,
            ..
        } = self;
        for (outcome, count) in &self.outcomes {
            writeln!(
                f,
                "{organisation:<13} {service:<13} {kind:<13} {count:<13} {outcome}"
            )?;
        }
        Ok(())
    }
}
