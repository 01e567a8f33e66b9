//! Latencies and outcomes of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use radishpaddle_model::{OrganisationId, ResultCode, ServiceId};
use radishpaddle_testkit::caller::Told;

/// Longest latency that the histograms tell apart, in microseconds (10 minutes).
const MAX_LATENCY_US: u64 = 600_000_000;

/// Significant decimal digits of the histograms.
const DIGITS: u8 = 3;

/// A request with its result.
#[derive(Debug)]
pub struct Finished {
    /// Organisation that called.
    pub organisation: OrganisationId,
    /// Service that was called.
    pub service: ServiceId,
    /// Whether the request was an action.
    pub action: bool,
    /// What the caller was told; `None` when the generator could not start the request in time.
    pub told: Option<Told>,
    /// Time from the scheduled arrival to the result.
    pub latency: Duration,
    /// Time from the scheduled arrival to the start.
    pub start_lag: Duration,
}

/// Organisation, service, and whether the request was an action.
pub type GroupKey = (OrganisationId, ServiceId, bool);

/// Requests of one group.
#[derive(Debug)]
pub struct Group {
    /// Finished requests.
    pub requests: u64,
    /// Requests that a backend server answered with a status below 500.
    pub delivered: u64,
    /// Latency of the delivered requests, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
}

/// Statistics of a run.
#[derive(Debug)]
pub struct Stats {
    /// Requests that the schedule held.
    pub scheduled: u64,
    /// Time from the start of the run to the last result.
    pub elapsed: Duration,
    /// Time from the scheduled arrival to the start, over all requests, in microseconds.
    pub start_lag_us: Histogram<u64>,
    /// Requests by group.
    pub groups: BTreeMap<GroupKey, Group>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
}

impl Default for Stats {
    fn default() -> Self {
        Self {
            scheduled: 0,
            elapsed: Duration::ZERO,
            start_lag_us: histogram(),
            groups: BTreeMap::new(),
        }
    }
}

impl Default for Group {
    fn default() -> Self {
        Self {
            requests: 0,
            delivered: 0,
            latency_us: histogram(),
            outcomes: BTreeMap::new(),
        }
    }
}

impl Stats {
    /// Adds a finished request.
    pub fn add(&mut self, finished: &Finished) {
        record(&mut self.start_lag_us, finished.start_lag);
        let service = finished.service.clone();
        let key = (finished.organisation.clone(), service, finished.action);
        let group = self.groups.entry(key).or_default();
        group.requests += 1;
        *group
            .outcomes
            .entry(label(finished.told.as_ref()))
            .or_default() += 1;
        if matches!(finished.told, Some(Told::Answer { status: ..500, .. })) {
            group.delivered += 1;
            record(&mut group.latency_us, finished.latency);
        }
    }
}

fn label(told: Option<&Told>) -> String {
    match told {
        Some(Told::Answer { status, code, .. }) => match code {
            Some(code) => format!("{}, status {status}", named(*code)),
            None => format!("no result code, status {status}"),
        },
        Some(Told::NotRun { code }) => format!("{}, not run", named(*code)),
        Some(Told::OutcomeUnknown { code }) => format!("{}, outcome unknown", named(*code)),
        Some(Told::NotSent { .. }) => "not sent".into(),
        Some(Told::Broken { .. }) => "no complete response".into(),
        None => "not started by the generator".into(),
    }
}

fn named(number: u16) -> String {
    let known = ResultCode::ALL.iter().find(|code| code.number() == number);
    known.map_or_else(|| format!("{number} unknown"), ToString::to_string)
}
