//! Computes error budgets, burn rates, wrongful refusals and the worst-served organisation.

use std::collections::BTreeMap;

use radishpaddle_model::ServiceDocument;
use serde::Serialize;

use crate::classify::{Tally, classify_series};
use crate::events::{Event, events_in_intervals};
use crate::samples::{Increase, Sample, increases};

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Windows for which burn rates are computed, in milliseconds: 5 minutes, 1 hour, 6 hours and 3 days, as
/// in the multi-window alerts of the Site Reliability Workbook (2018).
pub const BURN_RATE_WINDOWS_MS: [u64; 4] = [5 * MINUTE_MS, HOUR_MS, 6 * HOUR_MS, 72 * HOUR_MS];

/// Number of intervals with the highest budget use whose events are listed, per service.
const MAX_WORST_INTERVALS: usize = 3;

/// Maximum number of journal events listed per service.
const MAX_EVENTS: usize = 12;

/// Burn report over all services.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// Time of the newest sample, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Time between the oldest and the newest sample, in milliseconds. 0 if all samples have the same time;
    /// the counts then start when the instances started.
    pub covered_ms: u64,
    /// Number of instances with samples.
    pub instances: usize,
    /// Organisations with wrongful refusals, in descending order of their share.
    pub wrongly_refused: Vec<WronglyRefused>,
    /// Organisation with the lowest share of delivered requests; `None` without requests.
    pub worst_served: Option<ServedShare>,
    /// Reports on the services that have a document and occur in the metrics.
    pub services: Vec<ServiceReport>,
    /// Services that occur in the metrics but have no service document.
    pub without_document: Vec<String>,
}

/// Wrongful refusals of one organisation at one service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct WronglyRefused {
    /// Service.
    pub service: String,
    /// Organisation.
    pub organisation: String,
    /// Weighted number of wrongful refusals.
    pub refused: f64,
    /// Wrongful refusals as a fraction of the requests that the organisation was entitled to.
    pub share: f64,
    /// Weighted number of wrongful refusals by result code.
    pub by_code: BTreeMap<u16, f64>,
}

/// Share of delivered requests of one organisation at one service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct ServedShare {
    /// Service.
    pub service: String,
    /// Organisation.
    pub organisation: String,
    /// Weighted number of requests that the organisation was entitled to.
    pub entitled: f64,
    /// Delivered requests as a fraction of `entitled`.
    pub share: f64,
}

/// Report on one service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct ServiceReport {
    /// Service.
    pub service: String,
    /// Objective: percentage of requests to be answered within `latency_ms`.
    pub success_percent: f64,
    /// Objective: maximum latency of a request, in milliseconds.
    pub latency_ms: u64,
    /// Error budget over all organisations.
    pub total: Budget,
    /// Error budget by organisation, in ascending order of the share of delivered requests.
    pub organisations: Vec<(String, Budget)>,
    /// Budget use between samples, ordered by end time.
    pub history: Vec<Interval>,
    /// Journal events around the intervals that spent most of the error budget.
    pub events: Vec<Event>,
}

/// Error budget of a service, over all organisations or for one of them.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Budget {
    /// Weighted request counts over the time that the samples cover.
    pub tally: Tally,
    /// Remaining fraction of the error budget. Negative if overspent, `None` without a budget or requests.
    pub left: Option<f64>,
    /// Burn rates for the windows of [`BURN_RATE_WINDOWS_MS`]. A rate of 1 spends the budget exactly.
    pub burn: Vec<BurnRate>,
}

/// Burn rate over one window.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct BurnRate {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Time within the window that the samples cover, in milliseconds.
    pub covered_ms: u64,
    /// Burn rate; `None` without requests, without budget, or if all samples have the same time.
    pub rate: Option<f64>,
}

/// Weighted request counts of a service between two samples.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Interval {
    /// Time of the earlier sample, in milliseconds since the Unix epoch. Equal to `end_unix_ms` when the
    /// counters started at an unknown time.
    pub start_unix_ms: u64,
    /// Time of the later sample, in milliseconds since the Unix epoch.
    pub end_unix_ms: u64,
    /// Weighted number of requests that the organisations were entitled to.
    pub entitled: f64,
    /// Weighted number of requests that spent the error budget.
    pub bad: f64,
}

/// Classified requests of one instance between two samples.
struct ClassifiedIncrease {
    start_unix_ms: u64,
    end_unix_ms: u64,
    /// Weighted request counts by service and organisation.
    tallies: BTreeMap<(String, String), Tally>,
}

/// Computes the report from counter samples, service documents and journal events.
#[must_use]
pub fn build_report(samples: &[Sample], documents: &[ServiceDocument], events: &[Event]) -> Report {
    let increases = increases(samples);
    let classified: Vec<ClassifiedIncrease> = increases
        .iter()
        .map(|increase| classify_increase(increase, documents))
        .collect();
    let times = || samples.iter().map(|sample| sample.at_unix_ms);
    let (first, last) = (times().min().unwrap_or(0), times().max().unwrap_or(0));
    let covered = CoveredTime { first, last };
    let services = documents
        .iter()
        .filter_map(|document| service_report(document, &classified, &covered, events))
        .collect::<Vec<_>>();
    let mut instances: Vec<&str> = samples
        .iter()
        .map(|sample| sample.instance.as_str())
        .collect();
    instances.sort_unstable();
    instances.dedup();
    Report {
        at_unix_ms: last,
        covered_ms: last - first,
        instances: instances.len(),
        wrongly_refused: wrongly_refused(&services),
        worst_served: worst_served(&services),
        services,
        without_document: without_document(&increases, documents),
    }
}

/// Times of the oldest and the newest sample, in milliseconds since the Unix epoch.
struct CoveredTime {
    first: u64,
    last: u64,
}

fn classify_increase(increase: &Increase, documents: &[ServiceDocument]) -> ClassifiedIncrease {
    let mut tallies: BTreeMap<(String, String), Tally> = BTreeMap::new();
    for (key, counts) in &increase.series {
        let mut documents = documents.iter();
        let document = documents.find(|document| document.service.as_str() == key.service);
        if let Some(document) = document {
            let tally_key = (key.service.clone(), key.organisation.clone());
            *tallies.entry(tally_key).or_default() +=
                &classify_series(counts, &key.route, document);
        }
    }
    ClassifiedIncrease {
        start_unix_ms: increase.start_unix_ms,
        end_unix_ms: increase.end_unix_ms,
        tallies,
    }
}

fn service_report(
    document: &ServiceDocument,
    classified: &[ClassifiedIncrease],
    covered: &CoveredTime,
    events: &[Event],
) -> Option<ServiceReport> {
    let service = document.service.as_str();
    let keys = classified
        .iter()
        .flat_map(|increase| increase.tallies.keys());
    let mut organisations: Vec<&str> = keys
        .filter(|(name, _)| name == service)
        .map(|(_, organisation)| organisation.as_str())
        .collect();
    organisations.sort_unstable();
    organisations.dedup();
    if organisations.is_empty() {
        return None;
    }
    let allowed_failures = 1.0 - document.objective.success_percent.as_fraction();
    let total = budget(classified, covered, allowed_failures, &|(name, _)| {
        name == service
    });
    let mut budgets: Vec<(String, Budget)> = organisations
        .into_iter()
        .map(|name| {
            let filter = |key: &(String, String)| key.0 == service && key.1 == name;
            let budget = budget(classified, covered, allowed_failures, &filter);
            (name.to_owned(), budget)
        })
        .collect();
    budgets.sort_by(|a, b| served_share(&a.1).total_cmp(&served_share(&b.1)));
    let history = history(classified, service);
    let events = events_in_intervals(events, service, &worst_intervals(&history));
    Some(ServiceReport {
        service: service.to_owned(),
        success_percent: document.objective.success_percent.into(),
        latency_ms: document.objective.latency_ms,
        total,
        organisations: budgets,
        history,
        events: events.into_iter().take(MAX_EVENTS).cloned().collect(),
    })
}

/// Returns the share of delivered requests; organisations without entitled requests sort as fully served.
fn served_share(budget: &Budget) -> f64 {
    budget.tally.served_share().unwrap_or(1.0)
}

/// Selects the pairs of service and organisation that are summed up.
type KeyFilter<'a> = dyn Fn(&(String, String)) -> bool + 'a;

fn budget(
    classified: &[ClassifiedIncrease],
    covered: &CoveredTime,
    allowed_failures: f64,
    filter: &KeyFilter,
) -> Budget {
    let tally = sum_window(classified, None, covered, filter);
    let burn = BURN_RATE_WINDOWS_MS.iter().map(|window_ms| {
        let tally = sum_window(classified, Some(*window_ms), covered, filter);
        let covered_ms = (covered.last - covered.first).min(*window_ms);
        BurnRate {
            window_ms: *window_ms,
            covered_ms,
            rate: (covered_ms > 0)
                .then(|| burn_rate(&tally, allowed_failures))
                .flatten(),
        }
    });
    Budget {
        left: burn_rate(&tally, allowed_failures).map(|rate| 1.0 - rate),
        burn: burn.collect(),
        tally,
    }
}

/// Computes the burn rate: the fraction of bad requests divided by the fraction that the objective allows.
fn burn_rate(tally: &Tally, allowed_failures: f64) -> Option<f64> {
    // Objectives have few decimals, so a smaller remainder is a rounding error of an objective of 100 %.
    let has_budget = allowed_failures > 1e-9 && tally.entitled() > 0.0;
    has_budget.then(|| tally.bad() / tally.entitled() / allowed_failures)
}

/// Sums the selected counts over the window that ends at the newest sample, or over all samples without a
/// window. An increase that lies partly in the window counts in proportion to the overlap.
fn sum_window(
    classified: &[ClassifiedIncrease],
    window_ms: Option<u64>,
    covered: &CoveredTime,
    filter: &KeyFilter,
) -> Tally {
    let start = window_ms.map_or(0, |window_ms| covered.last.saturating_sub(window_ms));
    let mut total = Tally::default();
    for increase in classified {
        let overlap = overlap_fraction(increase, start);
        let selected = increase.tallies.iter().filter(|(key, _)| filter(key));
        for (_, tally) in selected.filter(|_| overlap > 0.0) {
            total += &tally.scaled(overlap);
        }
    }
    total
}

/// Returns the fraction of the increase's time after `start`. The end of the window needs no check, since
/// no increase ends after the newest sample.
#[expect(clippy::cast_precision_loss)]
fn overlap_fraction(increase: &ClassifiedIncrease, start: u64) -> f64 {
    let duration_ms = increase.end_unix_ms - increase.start_unix_ms;
    if duration_ms == 0 {
        return f64::from(u8::from(increase.end_unix_ms >= start));
    }
    let overlap_ms = increase
        .end_unix_ms
        .saturating_sub(start.max(increase.start_unix_ms));
    overlap_ms as f64 / duration_ms as f64
}

/// Sums the increases of all instances with the same start and end into intervals of the service.
fn history(classified: &[ClassifiedIncrease], service: &str) -> Vec<Interval> {
    let mut intervals: BTreeMap<(u64, u64), Interval> = BTreeMap::new();
    for increase in classified {
        let (start_unix_ms, end_unix_ms) = (increase.start_unix_ms, increase.end_unix_ms);
        let interval = intervals
            .entry((end_unix_ms, start_unix_ms))
            .or_insert(Interval {
                start_unix_ms,
                end_unix_ms,
                entitled: 0.0,
                bad: 0.0,
            });
        let tallies = increase.tallies.iter();
        for (_, tally) in tallies.filter(|(key, _)| key.0 == service) {
            interval.entitled += tally.entitled();
            interval.bad += tally.bad();
        }
    }
    intervals.into_values().collect()
}

/// Returns start and end of the intervals with the most requests that spent the error budget.
fn worst_intervals(history: &[Interval]) -> Vec<(u64, u64)> {
    let mut intervals: Vec<&Interval> = history
        .iter()
        .filter(|interval| interval.bad > 0.0)
        .collect();
    intervals.sort_by(|a, b| b.bad.total_cmp(&a.bad));
    let worst = intervals.into_iter().take(MAX_WORST_INTERVALS);
    worst
        .map(|interval| (interval.start_unix_ms, interval.end_unix_ms))
        .collect()
}

fn wrongly_refused(services: &[ServiceReport]) -> Vec<WronglyRefused> {
    let mut refusals = Vec::new();
    for service in services {
        for (organisation, budget) in &service.organisations {
            let tally = &budget.tally;
            if tally.refused > 0.0 {
                refusals.push(WronglyRefused {
                    service: service.service.clone(),
                    organisation: organisation.clone(),
                    refused: tally.refused,
                    share: tally.refused / tally.entitled(),
                    by_code: tally.refused_by_code.clone(),
                });
            }
        }
    }
    refusals.sort_by(|a, b| b.share.total_cmp(&a.share));
    refusals
}

fn worst_served(services: &[ServiceReport]) -> Option<ServedShare> {
    let mut all = Vec::new();
    for service in services {
        for (organisation, budget) in &service.organisations {
            let share = budget.tally.served_share();
            all.extend(share.map(|share| ServedShare {
                service: service.service.clone(),
                organisation: organisation.clone(),
                entitled: budget.tally.entitled(),
                share,
            }));
        }
    }
    all.into_iter().min_by(|a, b| a.share.total_cmp(&b.share))
}

fn without_document(increases: &[Increase], documents: &[ServiceDocument]) -> Vec<String> {
    let keys = increases.iter().flat_map(|increase| increase.series.keys());
    let mut names: Vec<String> = keys
        .map(|key| key.service.clone())
        // The label is empty for requests that match no service.
        .filter(|name| !name.is_empty())
        .filter(|name| {
            !documents
                .iter()
                .any(|document| document.service.as_str() == name)
        })
        .collect();
    names.sort_unstable();
    names.dedup();
    names
}
