//! What each request meant for the service-level objective, weighted by its route.

use std::collections::BTreeMap;
use std::ops::AddAssign;

use radishpaddle_model::{ResultCode, Route, ServiceDocument};
use serde::Serialize;

use crate::samples::Counts;

/// Refusals whose cause is the caller. They neither spend the budget nor count as requests that the
/// organisation was entitled to.
const BY_CALLER: &[ResultCode] = &[
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

/// Weighted requests by what happened to them.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize)]
pub struct Tally {
    /// Answered within the objective's latency.
    pub in_time: f64,
    /// Answered after it.
    pub late: f64,
    /// Refused although within the rate: wrongful refusals.
    pub refused: f64,
    /// Dispatched on an idempotent route without a usable response.
    pub failed: f64,
    /// Dispatched as an action and not known to have run or not.
    pub outcome_unknown: f64,
    /// Refused because of the rate. They do not spend the budget.
    pub rate_refused: f64,
    /// Refused because of a mistake of the caller. They do not spend the budget.
    pub caller_mistakes: f64,
    /// Wrongful refusals by result code.
    pub refused_by_code: BTreeMap<u16, f64>,
}

impl Tally {
    /// Requests that the organisation was entitled to.
    #[must_use]
    pub fn entitled(&self) -> f64 {
        self.delivered() + self.refused + self.failed + self.outcome_unknown
    }

    /// Answered requests, late ones included.
    #[must_use]
    pub fn delivered(&self) -> f64 {
        self.in_time + self.late
    }

    /// Requests that spent the budget.
    #[must_use]
    pub fn bad(&self) -> f64 {
        self.late + self.refused + self.failed + self.outcome_unknown
    }

    /// Share of delivered among entitled requests; `None` without requests.
    #[must_use]
    pub fn served_share(&self) -> Option<f64> {
        (self.entitled() > 0.0).then(|| self.delivered() / self.entitled())
    }

    /// The tally with every count multiplied by `factor`.
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

/// Classifies the counts of one series. A route that the document does not name has weight 1 and counts
/// as idempotent.
#[must_use]
pub fn tally(counts: &Counts, route: &str, document: &ServiceDocument) -> Tally {
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
    tally.late = late(counts, document).min(answered);
    tally.in_time = answered - tally.late;
    tally.scaled(weight(route))
}

fn add_refusal(tally: &mut Tally, code: u16, count: f64) {
    let by_caller = BY_CALLER.iter().any(|known| known.number() == code);
    if by_caller {
        tally.caller_mistakes += count;
    } else if code == ResultCode::RateExceeded.number() {
        tally.rate_refused += count;
    } else {
        tally.refused += count;
        *tally.refused_by_code.entry(code).or_default() += count;
    }
}

fn late(counts: &Counts, document: &ServiceDocument) -> f64 {
    // Latencies are limited to 10 minutes, far below the exact range of a float.
    #[expect(clippy::cast_precision_loss)]
    let limit_s = document.objective.latency_ms as f64 / 1_000.0;
    (counts.measured() - counts.within(limit_s)).max(0.0)
}

fn weight(route: Option<&Route>) -> f64 {
    route.map_or(1.0, |route| f64::from(route.weight))
}
