//! Command-line interface of `radishpaddle-report`.

use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result, bail, ensure};
use lexopt::prelude::*;
use radishpaddle_model::ServiceDocument;

use crate::burn::{self, Report};
use crate::events::{self, Event};
use crate::exposition;
use crate::samples::{self, Sample};
use crate::source::{Source, parse_documents};
use crate::{html, text};

const HELP: &str = "\
Usage: radishpaddle-report --services FILE|URL [sources] [options]

Sources, each repeatable:
  --instance URL     reads URL/metrics and URL/v1/journal
  --metrics FILE     metrics of one instance in the Prometheus text format
  --journal FILE     journal events as JSON lines

Options:
  --services SOURCE  documents with the objectives: a file, or the URL of a control instance, of which
                     /v1/services is read
  --token-file FILE  bearer token for control
  --samples FILE     keeps the counters of each run; burn rates need at least two runs
  --period-hours N   age above which samples are dropped [720]
  --at-unix-ms N     time of the metrics files [now]
  --json             prints JSON
  --html FILE        also writes a page with plots";

/// Default age above which samples are dropped from the sample file, in hours (30 days).
const DEFAULT_RETENTION_HOURS: u64 = 720;

const MS_PER_HOUR: u64 = 3_600_000;

/// Parsed command-line arguments.
#[derive(Debug, Default)]
struct Arguments {
    instances: Vec<String>,
    metrics: Vec<PathBuf>,
    journals: Vec<PathBuf>,
    services: Option<String>,
    token_file: Option<PathBuf>,
    samples: Option<PathBuf>,
    period_hours: Option<u64>,
    at_unix_ms: Option<u64>,
    json: bool,
    html: Option<PathBuf>,
}

/// Reads all sources and prints the report.
///
/// # Errors
///
/// Returns an error when the command line is invalid, a source cannot be read, or a file cannot be
/// written. An instance that cannot be read is reported on standard error and skipped; if no metrics are left,
/// an error is returned.
pub fn run(parser: lexopt::Parser) -> Result<()> {
    let Some(arguments) = parse_arguments(parser)? else {
        println!("{HELP}");
        return Ok(());
    };
    let documents = read_documents(&arguments)?;
    let (new_samples, events) = read_sources(&arguments)?;
    let samples = merge_samples(&arguments, new_samples)?;
    let report = burn::build_report(&samples, &documents, &events);
    if let Some(path) = &arguments.html {
        let page = html::render(&report)?;
        std::fs::write(path, page).with_context(|| path.display().to_string())?;
    }
    print_report(&report, arguments.json)
}

fn print_report(report: &Report, json: bool) -> Result<()> {
    if json {
        println!("{}", serde_json::to_string_pretty(report)?);
    } else {
        print!("{}", text::render(report));
    }
    Ok(())
}

/// Parses the command line; returns `None` when help was requested.
fn parse_arguments(mut parser: lexopt::Parser) -> Result<Option<Arguments>> {
    let mut arguments = Arguments::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("instance") => arguments.instances.push(parser.value()?.string()?),
            Long("metrics") => arguments.metrics.push(parser.value()?.into()),
            Long("journal") => arguments.journals.push(parser.value()?.into()),
            Long("services") => arguments.services = Some(parser.value()?.string()?),
            Long("token-file") => arguments.token_file = Some(parser.value()?.into()),
            Long("samples") => arguments.samples = Some(parser.value()?.into()),
            Long("period-hours") => arguments.period_hours = Some(parser.value()?.parse()?),
            Long("at-unix-ms") => arguments.at_unix_ms = Some(parser.value()?.parse()?),
            Long("json") => arguments.json = true,
            Long("html") => arguments.html = Some(parser.value()?.into()),
            Long("help") | Short('h') => return Ok(None),
            _ => return Err(argument.unexpected().into()),
        }
    }
    Ok(Some(arguments))
}

fn read_documents(arguments: &Arguments) -> Result<Vec<ServiceDocument>> {
    let services = arguments
        .services
        .as_ref()
        .context("--services is missing")?;
    let token = match &arguments.token_file {
        Some(path) => {
            Some(std::fs::read_to_string(path).with_context(|| path.display().to_string())?)
        }
        None => None,
    };
    let source = match Source::new(services) {
        Source::Url(url) => Source::Url(format!("{url}/v1/services")),
        file @ Source::File(_) => file,
    };
    let text = source.read(token.as_deref().map(str::trim))?;
    parse_documents(&text).with_context(|| services.clone())
}

/// Reads metrics and journals from the given files and instances.
fn read_sources(arguments: &Arguments) -> Result<(Vec<Sample>, Vec<Event>)> {
    let at_unix_ms = arguments.at_unix_ms.unwrap_or_else(now_unix_ms);
    let mut samples = Vec::new();
    let mut events = Vec::new();
    for path in &arguments.metrics {
        let name = path.display().to_string();
        let metrics = exposition::parse(&Source::File(path.clone()).read(None)?);
        let metrics = metrics.with_context(|| name.clone())?;
        samples.push(samples::from_metrics(at_unix_ms, &name, &metrics));
    }
    for path in &arguments.journals {
        let journal = events::parse(&Source::File(path.clone()).read(None)?);
        events.extend(journal.with_context(|| path.display().to_string())?);
    }
    for url in &arguments.instances {
        match read_instance(url, at_unix_ms) {
            Ok((sample, journal)) => {
                samples.push(sample);
                events.extend(journal);
            }
            Err(error) => eprintln!("report: instance left out: {error:#}"),
        }
    }
    if samples.is_empty() && !arguments.instances.is_empty() {
        bail!("no instance answered");
    }
    Ok((samples, events))
}

fn read_instance(url: &str, at_unix_ms: u64) -> Result<(Sample, Vec<Event>)> {
    let Source::Url(url) = Source::new(url) else {
        bail!("--instance requires an http:// URL, got {url}");
    };
    let metrics = Source::Url(format!("{url}/metrics")).read(None)?;
    let metrics = exposition::parse(&metrics).with_context(|| url.clone())?;
    let journal = Source::Url(format!("{url}/v1/journal")).read(None)?;
    let journal = events::parse(&journal).with_context(|| url.clone())?;
    Ok((samples::from_metrics(at_unix_ms, &url, &metrics), journal))
}

/// Appends the new samples to those of the sample file, drops samples above the retention period, and
/// writes the file back.
fn merge_samples(arguments: &Arguments, new_samples: Vec<Sample>) -> Result<Vec<Sample>> {
    let mut samples = match &arguments.samples {
        Some(path) => samples::load(path)?,
        None => Vec::new(),
    };
    samples.extend(new_samples);
    ensure!(
        !samples.is_empty(),
        "no metrics: give --instance, --metrics or --samples"
    );
    let newest = samples
        .iter()
        .map(|sample| sample.at_unix_ms)
        .max()
        .unwrap_or(0);
    let retention_hours = arguments.period_hours.unwrap_or(DEFAULT_RETENTION_HOURS);
    let oldest = newest.saturating_sub(retention_hours.saturating_mul(MS_PER_HOUR));
    samples.retain(|sample| sample.at_unix_ms >= oldest);
    if let Some(path) = &arguments.samples {
        samples::store(path, &samples)?;
    }
    Ok(samples)
}

fn now_unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
