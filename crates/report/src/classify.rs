//! Classifies requests with regard to the service-level objective, weighted by route.

use std::collections::BTreeMap;
use std::ops::AddAssign;

use radishpaddle_model::{ResultCode, Route, ServiceDocument};
use serde::Serialize;

use crate::samples::Counts;

/// Result codes of refusals that are caused by the caller. They neither spend the error budget nor count
/// as requests that the organisation was entitled to.
const CALLER_ERRORS: &[ResultCode] = &[
    ResultCode::NoRoute,
    ResultCode::KeyMissing,
    ResultCode::KeyUnknown,
    ResultCode::OrganisationNotAllowed,
    ResultCode::IdempotencyKeyRequired,
    ResultCode::IdempotencyKeyReused,
    ResultCode::RequestTooLarge,
    ResultCode::BadRequest,
    ResultCode::MethodNotAllowed,
    ResultCode::ClaimContended,
    ResultCode::RequestTimeout,
];

/// Weighted request counts by outcome.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize)]
pub struct Tally {
    /// Answered within the latency objective.
    pub in_time: f64,
    /// Answered, but later than the latency objective.
    pub late: f64,
    /// Refused although within the rate limit (wrongful refusals).
    pub refused: f64,
    /// Dispatched on an idempotent route, but without a usable response.
    pub failed: f64,
    /// Dispatched as an action; unknown whether the action was executed.
    pub outcome_unknown: f64,
    /// Refused by the rate limit; these do not spend the error budget.
    pub rate_refused: f64,
    /// Refused because of a caller error; these do not spend the error budget.
    pub caller_mistakes: f64,
    /// Wrongful refusals by result code.
    pub refused_by_code: BTreeMap<u16, f64>,
}

impl Tally {
    /// Returns the requests that the organisation was entitled to: all except those refused by the rate
    /// limit or because of a caller error.
    #[must_use]
    pub fn entitled(&self) -> f64 {
        self.delivered() + self.refused + self.failed + self.outcome_unknown
    }

    /// Returns the answered requests, late ones included.
    #[must_use]
    pub fn delivered(&self) -> f64 {
        self.in_time + self.late
    }

    /// Returns the requests that spent the error budget.
    #[must_use]
    pub fn bad(&self) -> f64 {
        self.late + self.refused + self.failed + self.outcome_unknown
    }

    /// Returns delivered requests as a fraction of the entitled ones, or `None` without entitled requests.
    #[must_use]
    pub fn served_share(&self) -> Option<f64> {
        (self.entitled() > 0.0).then(|| self.delivered() / self.entitled())
    }

    /// Returns a copy with every count multiplied by `factor`.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        let by_code = self.refused_by_code.iter();
        Self {
            in_time: self.in_time * factor,
            late: self.late * factor,
            refused: self.refused * factor,
            failed: self.failed * factor,
            outcome_unknown: self.outcome_unknown * factor,
            rate_refused: self.rate_refused * factor,
            caller_mistakes: self.caller_mistakes * factor,
            refused_by_code: by_code
                .map(|(code, count)| (*code, count * factor))
                .collect(),
        }
    }
}

impl AddAssign<&Tally> for Tally {
    fn add_assign(&mut self, other: &Tally) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.outcome_unknown += other.outcome_unknown;
        self.rate_refused += other.rate_refused;
        self.caller_mistakes += other.caller_mistakes;
        for (code, count) in &other.refused_by_code {
            *self.refused_by_code.entry(*code).or_default() += count;
        }
    }
}

/// Classifies the requests of one series. A route that is missing in the document has weight 1 and counts
/// as idempotent.
#[must_use]
pub fn classify_series(counts: &Counts, route: &str, document: &ServiceDocument) -> Tally {
    let route = document.routes.iter().find(|known| &*known.name == route);
    let mut tally = Tally::default();
    let mut answered = 0.0;
    for (code, count) in &counts.by_code {
        match *code {
            1000..2000 => answered += count,
            2000..3000 => add_refusal(&mut tally, *code, *count),
            _ if route.is_some_and(|route| !route.idempotent) => tally.outcome_unknown += count,
            _ => tally.failed += count,
        }
    }
    tally.late = late_requests(counts, document).min(answered);
    tally.in_time = answered - tally.late;
    tally.scaled(route_weight(route))
}

/// Adds requests that were refused before dispatch with a result code from 2000 to 2999.
fn add_refusal(tally: &mut Tally, code: u16, count: f64) {
    let by_caller = CALLER_ERRORS.iter().any(|known| known.number() == code);
    if by_caller {
        tally.caller_mistakes += count;
    } else if code == ResultCode::RateExceeded.number() {
        tally.rate_refused += count;
    } else {
        tally.refused += count;
        *tally.refused_by_code.entry(code).or_default() += count;
    }
}

/// Returns the requests in the histogram that took longer than the latency objective.
fn late_requests(counts: &Counts, document: &ServiceDocument) -> f64 {
    // Documents limit the latency objective to 10 minutes, so the conversion to f64 is exact.
    #[expect(clippy::cast_precision_loss)]
    let limit_s = document.objective.latency_ms as f64 / 1_000.0;
    (counts.histogram_total() - counts.requests_within(limit_s)).max(0.0)
}

fn route_weight(route: Option<&Route>) -> f64 {
    route.map_or(1.0, |route| f64::from(route.weight))
}
