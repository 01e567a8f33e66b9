//! Error budget, burn rates, wrongful refusals and the worst-served organisation.

use std::collections::BTreeMap;

use radishpaddle_model::ServiceDocument;
use serde::Serialize;

use crate::classify::{Tally, tally};
use crate::events::{Event, explaining};
use crate::samples::{Increase, Sample, increases};

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Windows of the burn rate, as in the multi-window alerts of the Site Reliability Workbook (2018).
pub const WINDOWS_MS: [u64; 4] = [5 * MINUTE_MS, HOUR_MS, 6 * HOUR_MS, 72 * HOUR_MS];

/// Intervals whose events are listed per service.
const EXPLAINED_INTERVALS: usize = 3;

/// Events that are listed per service.
const MAX_EVENTS: usize = 12;

/// The whole report.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Report {
    /// Time of the newest sample, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// Time between the oldest and the newest sample; 0 for one sample, which counts from the start of
    /// the instances.
    pub covered_ms: u64,
    /// Instances with samples.
    pub instances: usize,
    /// Organisations with wrongful refusals, the highest share first.
    pub wrongly_refused: Vec<WronglyRefused>,
    /// Organisation with the lowest share of delivered requests.
    pub worst_served: Option<Served>,
    /// Services with requests.
    pub services: Vec<ServiceReport>,
    /// Services in the metrics that have no document.
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
    /// Weighted requests that were refused.
    pub refused: f64,
    /// Share among the requests that the organisation was entitled to.
    pub share: f64,
    /// Weighted refusals by result code.
    pub by_code: BTreeMap<u16, f64>,
}

/// How well one organisation was served at one service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Served {
    /// Service.
    pub service: String,
    /// Organisation.
    pub organisation: String,
    /// Weighted requests that it was entitled to.
    pub entitled: f64,
    /// Share of them that was delivered.
    pub share: f64,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct ServiceReport {
    /// Service.
    pub service: String,
    /// Objective: percentage of requests that must be answered in time.
    pub success_percent: f64,
    /// Objective: longest time of a request, in milliseconds.
    pub latency_ms: u64,
    /// The service over all organisations.
    pub total: Budget,
    /// Organisations, the lowest share of delivered requests first.
    pub organisations: Vec<(String, Budget)>,
    /// Burn over time.
    pub history: Vec<Interval>,
    /// Journal events in the intervals that spent most.
    pub events: Vec<Event>,
}

/// Budget of a service or of one organisation at it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Budget {
    /// Weighted requests over the covered time.
    pub tally: Tally,
    /// Share of the budget that is left; negative when overspent, `None` when there is no budget.
    pub left: Option<f64>,
    /// Burn rate by window: 1 spends the budget exactly.
    pub burn: Vec<Burn>,
}

/// Burn rate over one window.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Burn {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Part of the window that samples cover, in milliseconds.
    pub covered_ms: u64,
    /// Burn rate; `None` without requests, samples or budget.
    pub rate: Option<f64>,
}

/// Weighted requests of a service between two samples.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Interval {
    /// Start, in milliseconds since 1970.
    pub start_unix_ms: u64,
    /// End, in milliseconds since 1970.
    pub end_unix_ms: u64,
    /// Requests that the organisations were entitled to.
    pub entitled: f64,
    /// Requests that spent the budget.
    pub bad: f64,
}

/// Classified requests between two samples, by service and organisation.
struct Piece {
    start_unix_ms: u64,
    end_unix_ms: u64,
    tallies: BTreeMap<(String, String), Tally>,
}

/// Computes the report.
#[must_use]
pub fn report(samples: &[Sample], documents: &[ServiceDocument], events: &[Event]) -> Report {
    let increases = increases(samples);
    let pieces: Vec<Piece> = increases
        .iter()
        .map(|part| classify(part, documents))
        .collect();
    let times = || samples.iter().map(|sample| sample.at_unix_ms);
    let (first, last) = (times().min().unwrap_or(0), times().max().unwrap_or(0));
    let span = Span { first, last };
    let services = documents
        .iter()
        .filter_map(|document| service_report(document, &pieces, &span, events))
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

/// Times of the oldest and the newest sample.
struct Span {
    first: u64,
    last: u64,
}

fn classify(increase: &Increase, documents: &[ServiceDocument]) -> Piece {
    let mut tallies: BTreeMap<(String, String), Tally> = BTreeMap::new();
    for (key, counts) in &increase.series {
        let mut documents = documents.iter();
        let document = documents.find(|document| document.service.as_str() == key.service);
        if let Some(document) = document {
            let owner = (key.service.clone(), key.organisation.clone());
            *tallies.entry(owner).or_default() += &tally(counts, &key.route, document);
        }
    }
    Piece {
        start_unix_ms: increase.start_unix_ms,
        end_unix_ms: increase.end_unix_ms,
        tallies,
    }
}

fn service_report(
    document: &ServiceDocument,
    pieces: &[Piece],
    span: &Span,
    events: &[Event],
) -> Option<ServiceReport> {
    let service = document.service.as_str();
    let owners = pieces.iter().flat_map(|piece| piece.tallies.keys());
    let mut organisations: Vec<&str> = owners
        .filter(|(name, _)| name == service)
        .map(|(_, organisation)| organisation.as_str())
        .collect();
    organisations.sort_unstable();
    organisations.dedup();
    if organisations.is_empty() {
        return None;
    }
    let allowed = 1.0 - document.objective.success_percent.as_fraction();
    let total = budget(pieces, span, allowed, &|owner| owner.0 == service);
    let mut parts: Vec<(String, Budget)> = organisations
        .into_iter()
        .map(|name| {
            let select = |owner: &(String, String)| owner.0 == service && owner.1 == name;
            (name.to_owned(), budget(pieces, span, allowed, &select))
        })
        .collect();
    parts.sort_by(|a, b| served(&a.1).total_cmp(&served(&b.1)));
    let history = history(pieces, service);
    let events = explaining(events, service, &worst_intervals(&history));
    Some(ServiceReport {
        service: service.to_owned(),
        success_percent: document.objective.success_percent.into(),
        latency_ms: document.objective.latency_ms,
        total,
        organisations: parts,
        history,
        events: events.into_iter().take(MAX_EVENTS).cloned().collect(),
    })
}

fn served(budget: &Budget) -> f64 {
    budget.tally.served_share().unwrap_or(1.0)
}

/// Whether a service and organisation belong to a sum.
type Select<'a> = dyn Fn(&(String, String)) -> bool + 'a;

fn budget(pieces: &[Piece], span: &Span, allowed: f64, select: &Select) -> Budget {
    let tally = sum(pieces, None, span, select);
    let burn = WINDOWS_MS.iter().map(|window_ms| {
        let tally = sum(pieces, Some(*window_ms), span, select);
        let covered_ms = (span.last - span.first).min(*window_ms);
        Burn {
            window_ms: *window_ms,
            covered_ms,
            rate: (covered_ms > 0)
                .then(|| burn_rate(&tally, allowed))
                .flatten(),
        }
    });
    Budget {
        left: burn_rate(&tally, allowed).map(|rate| 1.0 - rate),
        burn: burn.collect(),
        tally,
    }
}

fn burn_rate(tally: &Tally, allowed: f64) -> Option<f64> {
    // Objectives come with few decimals; a smaller remainder is rounding of "100 %".
    let has_budget = allowed > 1e-9 && tally.entitled() > 0.0;
    has_budget.then(|| tally.bad() / tally.entitled() / allowed)
}

/// Sum over the window that ends at the newest sample. A piece that lies partly in the window counts in
/// proportion to its time.
fn sum(pieces: &[Piece], window_ms: Option<u64>, span: &Span, select: &Select) -> Tally {
    let start = window_ms.map_or(0, |window_ms| span.last.saturating_sub(window_ms));
    let mut total = Tally::default();
    for piece in pieces {
        let share = overlap(piece, start);
        let owners = piece.tallies.iter().filter(|(owner, _)| select(owner));
        for (_, tally) in owners.filter(|_| share > 0.0) {
            total += &tally.scaled(share);
        }
    }
    total
}

/// Share of the piece after `start`; pieces end no later than the newest sample.
#[expect(clippy::cast_precision_loss)]
fn overlap(piece: &Piece, start: u64) -> f64 {
    let length = piece.end_unix_ms - piece.start_unix_ms;
    if length == 0 {
        return f64::from(u8::from(piece.end_unix_ms >= start));
    }
    let inside = piece
        .end_unix_ms
        .saturating_sub(start.max(piece.start_unix_ms));
    inside as f64 / length as f64
}

fn history(pieces: &[Piece], service: &str) -> Vec<Interval> {
    let mut intervals: BTreeMap<(u64, u64), Interval> = BTreeMap::new();
    for piece in pieces {
        let (start_unix_ms, end_unix_ms) = (piece.start_unix_ms, piece.end_unix_ms);
        let interval = intervals
            .entry((end_unix_ms, start_unix_ms))
            .or_insert(Interval {
                start_unix_ms,
                end_unix_ms,
                entitled: 0.0,
                bad: 0.0,
            });
        for (_, tally) in piece.tallies.iter().filter(|(owner, _)| owner.0 == service) {
            interval.entitled += tally.entitled();
            interval.bad += tally.bad();
        }
    }
    intervals.into_values().collect()
}

fn worst_intervals(history: &[Interval]) -> Vec<(u64, u64)> {
    let mut spent: Vec<&Interval> = history
        .iter()
        .filter(|interval| interval.bad > 0.0)
        .collect();
    spent.sort_by(|a, b| b.bad.total_cmp(&a.bad));
    let worst = spent.into_iter().take(EXPLAINED_INTERVALS);
    worst
        .map(|interval| (interval.start_unix_ms, interval.end_unix_ms))
        .collect()
}

fn wrongly_refused(services: &[ServiceReport]) -> Vec<WronglyRefused> {
    let mut found = Vec::new();
    for service in services {
        for (organisation, budget) in &service.organisations {
            let tally = &budget.tally;
            if tally.refused > 0.0 {
                found.push(WronglyRefused {
                    service: service.service.clone(),
                    organisation: organisation.clone(),
                    refused: tally.refused,
                    share: tally.refused / tally.entitled(),
                    by_code: tally.refused_by_code.clone(),
                });
            }
        }
    }
    found.sort_by(|a, b| b.share.total_cmp(&a.share));
    found
}

fn worst_served(services: &[ServiceReport]) -> Option<Served> {
    let mut all = Vec::new();
    for service in services {
        for (organisation, budget) in &service.organisations {
            let share = budget.tally.served_share();
            all.extend(share.map(|share| Served {
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
        // Requests that match no service have an empty name.
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
