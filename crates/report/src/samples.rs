//! Counters of the instances at several times, kept in a sample file.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::ErrorKind;
use std::path::Path;

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};

use crate::exposition::MetricSample;

const REQUESTS: &str = "radishpaddle_requests_total";
const BUCKETS: &str = "radishpaddle_request_seconds_bucket";

/// Service, organisation and route of a counter. The organisation of open routes may be empty.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct SeriesKey {
    /// Service.
    pub service: String,
    /// Organisation.
    pub organisation: String,
    /// Route.
    pub route: String,
}

/// Counts of one series.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Requests by result code.
    pub by_code: BTreeMap<u16, f64>,
    /// Cumulative histogram buckets: upper bound in seconds and count, ascending. The last bound is
    /// [`f64::MAX`] for `+Inf`, which JSON cannot express.
    pub buckets: Vec<(f64, f64)>,
}

/// Counters of one instance at one time.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// When the counters were read, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// Instance, or the file or URL that the counters came from.
    pub instance: String,
    /// Counts by series.
    pub series: Vec<(SeriesKey, Counts)>,
}

/// Increase of the counters of one instance between two samples.
#[derive(Debug, Clone, PartialEq)]
pub struct Increase {
    /// Time of the earlier sample; equal to `end_unix_ms` when the beginning is not known.
    pub start_unix_ms: u64,
    /// Time of the later sample.
    pub end_unix_ms: u64,
    /// Increase by series.
    pub series: BTreeMap<SeriesKey, Counts>,
}

/// Picks the counters of requests out of all metrics of an instance. Series without the expected labels,
/// or with a value that is not finite, are skipped.
#[must_use]
pub fn from_metrics(at_unix_ms: u64, instance: &str, metrics: &[MetricSample]) -> Sample {
    let mut series: BTreeMap<SeriesKey, Counts> = BTreeMap::new();
    for metric in metrics.iter().filter(|metric| metric.value.is_finite()) {
        let Some(key) = series_key(metric) else {
            continue;
        };
        if metric.name == REQUESTS {
            let code = metric.labels.get("code").and_then(|text| text.parse().ok());
            if let Some(code) = code {
                *series
                    .entry(key)
                    .or_default()
                    .by_code
                    .entry(code)
                    .or_default() += metric.value;
            }
        } else if metric.name == BUCKETS {
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

/// Reads a sample file: one sample as JSON per line. A file that does not exist holds no samples.
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

/// Replaces a sample file. A crash leaves either the old or the new file.
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

/// Increases between the samples of each instance, in order of their end.
///
/// The first sample of an instance is only a baseline, with two exceptions: if all samples were taken at
/// one time, they count from zero, and an instance that appears after the first sample of all counts
/// from zero, since it was started in between.
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
            increases.push(increase(None, list[0]));
        }
        for pair in list.windows(2) {
            increases.push(increase(Some(pair[0]), pair[1]));
        }
    }
    increases.sort_by_key(|increase| increase.end_unix_ms);
    increases
}

fn increase(earlier: Option<&Sample>, later: &Sample) -> Increase {
    let earlier_series = earlier.map_or(&[][..], |sample| sample.series.as_slice());
    let known: BTreeMap<&SeriesKey, &Counts> = earlier_series
        .iter()
        .map(|(key, counts)| (key, counts))
        .collect();
    let series = later.series.iter().map(|(key, counts)| {
        let grown = match known.get(key) {
            Some(before) => counts.since(before),
            None => counts.clone(),
        };
        (key.clone(), grown)
    });
    Increase {
        start_unix_ms: earlier.map_or(later.at_unix_ms, |sample| sample.at_unix_ms),
        end_unix_ms: later.at_unix_ms,
        series: series.collect(),
    }
}

impl Counts {
    /// Increase since an earlier reading. If any counter is lower than before, the instance has
    /// restarted and everything counts from zero.
    fn since(&self, before: &Self) -> Self {
        let code_before = |code: &u16| before.by_code.get(code).copied().unwrap_or(0.0);
        let bucket_before = |bound: f64| {
            let mut buckets = before.buckets.iter();
            let found = buckets.find(|(other, _)| other.total_cmp(&bound).is_eq());
            found.map_or(0.0, |(_, count)| *count)
        };
        let restarted = self
            .by_code
            .iter()
            .any(|(code, count)| *count < code_before(code))
            || self
                .buckets
                .iter()
                .any(|(bound, count)| *count < bucket_before(*bound))
            || before
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
                .map(|(code, count)| (*code, count - code_before(code)))
                .collect(),
            buckets: buckets
                .map(|(bound, count)| (*bound, count - bucket_before(*bound)))
                .collect(),
        }
    }

    /// Requests in the histogram that took at most `limit_s` seconds. Within a bucket the requests count
    /// as evenly spread; those above the highest finite bound count as slower than every limit.
    #[must_use]
    pub fn within(&self, limit_s: f64) -> f64 {
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

    /// Requests in the histogram.
    #[must_use]
    pub fn measured(&self) -> f64 {
        self.buckets.last().map_or(0.0, |(_, count)| *count)
    }
}
