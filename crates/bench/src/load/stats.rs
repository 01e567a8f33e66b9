//! Statistics of the latencies and outcomes of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use radishpaddle_model::{OrganisationId, ResultCode, ServiceId};
use radishpaddle_testkit::caller::AttemptResult;

/// Highest value of the histograms, in microseconds (10 minutes); longer times are recorded as this.
const MAX_TIME_US: u64 = 600_000_000;

/// Precision of the histograms in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Result of one request.
#[derive(Debug)]
pub struct Finished {
    /// Calling organisation.
    pub organisation: OrganisationId,
    /// Called service.
    pub service: ServiceId,
    /// Whether the request was an action.
    pub action: bool,
    /// Result that the caller received; `None` if the generator could not start the request before its
    /// deadline.
    pub told: Option<AttemptResult>,
    /// Time from the scheduled arrival to the result.
    pub latency: Duration,
    /// Time from the scheduled arrival to the start of the request.
    pub start_lag: Duration,
}

/// Key of a group: organisation, service, and whether its requests are actions.
pub type GroupKey = (OrganisationId, ServiceId, bool);

/// Statistics of one group of requests.
#[derive(Debug)]
pub struct Group {
    /// Number of finished requests.
    pub requests: u64,
    /// Number of requests that a backend server answered with a status below 500.
    pub delivered: u64,
    /// Latency of the delivered requests, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
}

/// Statistics of a run.
#[derive(Debug)]
pub struct Stats {
    /// Number of scheduled requests.
    pub scheduled: u64,
    /// Time from the start of the run to the last result.
    pub elapsed: Duration,
    /// Times from the scheduled arrival to the start, over all requests, in microseconds.
    pub start_lag_us: Histogram<u64>,
    /// Statistics by group.
    pub groups: BTreeMap<GroupKey, Group>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
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
    /// Records the result of a request.
    pub fn add(&mut self, finished: &Finished) {
        record(&mut self.start_lag_us, finished.start_lag);
        let service = finished.service.clone();
        let key = (finished.organisation.clone(), service, finished.action);
        let group = self.groups.entry(key).or_default();
        group.requests += 1;
        *group
            .outcomes
            .entry(outcome_label(finished.told.as_ref()))
            .or_default() += 1;
        if matches!(
            finished.told,
            Some(AttemptResult::Answer { status: ..500, .. })
        ) {
            group.delivered += 1;
            record(&mut group.latency_us, finished.latency);
        }
    }
}

fn outcome_label(told: Option<&AttemptResult>) -> String {
    match told {
        Some(AttemptResult::Answer { status, code, .. }) => match code {
            Some(code) => format!("{}, status {status}", code_name(*code)),
            None => format!("no result code, status {status}"),
        },
        Some(AttemptResult::NotRun { code }) => format!("{}, not run", code_name(*code)),
        Some(AttemptResult::OutcomeUnknown { code }) => {
            format!("{}, outcome unknown", code_name(*code))
        }
        Some(AttemptResult::NotSent { .. }) => "not sent".into(),
        Some(AttemptResult::Broken { .. }) => "no complete response".into(),
        None => "not started by the generator".into(),
    }
}

fn code_name(number: u16) -> String {
    let known = ResultCode::ALL.iter().find(|code| code.number() == number);
    known.map_or_else(|| format!("{number} unknown"), ToString::to_string)
}
