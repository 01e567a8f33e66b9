//! Counter readings of the instances over time, and the sample file that stores them between runs.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::ErrorKind;
use std::path::Path;

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};

use crate::exposition::MetricSample;

/// Counter of requests by service, organisation, route and result code.
const REQUESTS_METRIC: &str = "radishpaddle_requests_total";
/// Cumulative buckets of the request latency histogram.
const LATENCY_BUCKET_METRIC: &str = "radishpaddle_request_seconds_bucket";

/// Labels that identify a series of counters.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct SeriesKey {
    /// Service; empty for requests that match no service.
    pub service: String,
    /// Organisation; may be empty for open routes.
    pub organisation: String,
    /// Name of the route in the service document.
    pub route: String,
}

/// Request counters and latency histogram of one series.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Number of requests by result code.
    pub by_code: BTreeMap<u16, f64>,
    /// Cumulative histogram buckets: upper bound in seconds and count, ascending. The last bound is
    /// [`f64::MAX`] for `+Inf`, which JSON cannot express.
    pub buckets: Vec<(f64, f64)>,
}

/// Counters of one instance at one point in time; one line of the sample file.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// Time of the reading, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Name of the instance, or the file or URL that the counters were read from.
    pub instance: String,
    /// Counters by series.
    pub series: Vec<(SeriesKey, Counts)>,
}

/// Increase of the counters of one instance between two samples.
#[derive(Debug, Clone, PartialEq)]
pub struct Increase {
    /// Time of the earlier sample, in milliseconds since the Unix epoch. Equal to `end_unix_ms` when the
    /// counters started at an unknown time.
    pub start_unix_ms: u64,
    /// Time of the later sample, in milliseconds since the Unix epoch.
    pub end_unix_ms: u64,
    /// Increase by series.
    pub series: BTreeMap<SeriesKey, Counts>,
}

/// Extracts the request counters and latency buckets from the metrics of an instance. Metrics without the
/// expected labels, or with an infinite or `NaN` value, are skipped.
#[must_use]
pub fn from_metrics(at_unix_ms: u64, instance: &str, metrics: &[MetricSample]) -> Sample {
    let mut series: BTreeMap<SeriesKey, Counts> = BTreeMap::new();
    for metric in metrics.iter().filter(|metric| metric.value.is_finite()) {
        let Some(key) = series_key(metric) else {
            continue;
        };
        if metric.name == REQUESTS_METRIC {
            let code = metric.labels.get("code").and_then(|text| text.parse().ok());
            if let Some(code) = code {
                *series
                    .entry(key)
                    .or_default()
                    .by_code
                    .entry(code)
                    .or_default() += metric.value;
            }
        } else if metric.name == LATENCY_BUCKET_METRIC {
            let bound = metric
                .labels
                .get("le")
                .and_then(|text| text.parse::<f64>().ok());
            if let Some(bound) = bound.filter(|bound| !bound.is_nan()) {
                let bucket = (bound.min(f64::MAX), metric.value);
                series.entry(key).or_default().buckets.push(bucket);
            }
        }
    }
    for counts in series.values_mut() {
        counts.buckets.sort_by(|a, b| a.0.total_cmp(&b.0));
    }
    Sample {
        at_unix_ms,
        instance: instance.to_owned(),
        series: series.into_iter().collect(),
    }
}

fn series_key(metric: &MetricSample) -> Option<SeriesKey> {
    let label = |name: &str| metric.labels.get(name).cloned();
    Some(SeriesKey {
        service: label("service")?,
        organisation: label("organisation").unwrap_or_default(),
        route: label("route").unwrap_or_default(),
    })
}

/// Reads a sample file with one JSON sample per line. A missing file yields no samples.
///
/// # Errors
///
/// Returns an error when the file cannot be read or a line is not a sample.
pub fn load(path: &Path) -> Result<Vec<Sample>> {
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(error).with_context(|| path.display().to_string()),
    };
    parse(&text).with_context(|| path.display().to_string())
}

/// Parses the text of a sample file.
///
/// # Errors
///
/// Returns an error with the number of the first line that is not a sample.
pub fn parse(text: &str) -> Result<Vec<Sample>> {
    let lines = text.lines().enumerate();
    lines
        .filter(|(_, line)| !line.trim().is_empty())
        .map(|(index, line)| {
            serde_json::from_str(line).with_context(|| format!("sample line {}", index + 1))
        })
        .collect()
}

/// Replaces a sample file through a temporary file and a rename, so that a crash of the process leaves
/// either the old or the new content.
///
/// # Errors
///
/// Returns an error when the file cannot be written.
pub fn store(path: &Path, samples: &[Sample]) -> Result<()> {
    let mut text = String::new();
    for sample in samples {
        writeln!(text, "{}", serde_json::to_string(sample)?)?;
    }
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    fs::write(&temporary, text).with_context(|| path.display().to_string())?;
    fs::rename(&temporary, path).with_context(|| path.display().to_string())
}

/// Computes the increases between consecutive samples of each instance, ordered by end time.
///
/// The first sample of an instance serves as the baseline and yields no increase, with two exceptions.
/// If all samples have the same time, each one counts from zero. An instance whose first sample is later
/// than the oldest sample of the fleet also counts from zero, because it was started in between.
#[must_use]
pub fn increases(samples: &[Sample]) -> Vec<Increase> {
    let mut by_instance: BTreeMap<&str, Vec<&Sample>> = BTreeMap::new();
    for sample in samples {
        by_instance
            .entry(&sample.instance)
            .or_default()
            .push(sample);
    }
    let times = || samples.iter().map(|sample| sample.at_unix_ms);
    let (Some(first), Some(last)) = (times().min(), times().max()) else {
        return Vec::new();
    };
    let mut increases = Vec::new();
    for list in by_instance.values_mut() {
        list.sort_by_key(|sample| sample.at_unix_ms);
        let from_zero = first == last || list[0].at_unix_ms > first;
        if from_zero {
            increases.push(increase_between(None, list[0]));
        }
        for pair in list.windows(2) {
            increases.push(increase_between(Some(pair[0]), pair[1]));
        }
    }
    increases.sort_by_key(|increase| increase.end_unix_ms);
    increases
}

/// Computes the increase from `earlier` to `later`; without `earlier` the counters count from zero.
fn increase_between(earlier: Option<&Sample>, later: &Sample) -> Increase {
    let earlier_series = earlier.map_or(&[][..], |sample| sample.series.as_slice());
    let earlier_counts: BTreeMap<&SeriesKey, &Counts> = earlier_series
        .iter()
        .map(|(key, counts)| (key, counts))
        .collect();
    let series = later.series.iter().map(|(key, counts)| {
        let increased = match earlier_counts.get(key) {
            Some(earlier) => counts.increase_since(earlier),
            None => counts.clone(),
        };
        (key.clone(), increased)
    });
    Increase {
        start_unix_ms: earlier.map_or(later.at_unix_ms, |sample| sample.at_unix_ms),
        end_unix_ms: later.at_unix_ms,
        series: series.collect(),
    }
}

impl Counts {
    /// Computes the increase since an earlier reading. A counter that is lower than before or missing
    /// indicates a restart of the instance; all counters then count from zero.
    fn increase_since(&self, earlier: &Self) -> Self {
        let earlier_count = |code: &u16| earlier.by_code.get(code).copied().unwrap_or(0.0);
        let earlier_bucket = |bound: f64| {
            let mut buckets = earlier.buckets.iter();
            let found = buckets.find(|(other, _)| other.total_cmp(&bound).is_eq());
            found.map_or(0.0, |(_, count)| *count)
        };
        let restarted = self
            .by_code
            .iter()
            .any(|(code, count)| *count < earlier_count(code))
            || self
                .buckets
                .iter()
                .any(|(bound, count)| *count < earlier_bucket(*bound))
            || earlier
                .by_code
                .keys()
                .any(|code| !self.by_code.contains_key(code));
        if restarted {
            return self.clone();
        }
        let codes = self.by_code.iter();
        let buckets = self.buckets.iter();
        Self {
            by_code: codes
                .map(|(code, count)| (*code, count - earlier_count(code)))
                .collect(),
            buckets: buckets
                .map(|(bound, count)| (*bound, count - earlier_bucket(*bound)))
                .collect(),
        }
    }

    /// Returns the number of requests in the histogram that took at most `limit_s` seconds. Counts are
    /// interpolated linearly within a bucket. Requests above the highest finite bound count as slower
    /// than any limit.
    #[must_use]
    pub fn requests_within(&self, limit_s: f64) -> f64 {
        let mut lower = (0.0, 0.0);
        for (bound, count) in &self.buckets {
            if *bound >= f64::MAX {
                break;
            }
            if *bound >= limit_s {
                let share = (limit_s - lower.0) / (bound - lower.0);
                return lower.1 + (count - lower.1) * share.clamp(0.0, 1.0);
            }
            lower = (*bound, *count);
        }
        lower.1
    }

    /// Returns the number of all requests in the histogram, that is, the count of the last bucket.
    #[must_use]
    pub fn histogram_total(&self) -> f64 {
        self.buckets.last().map_or(0.0, |(_, count)| *count)
    }
}
