//! Adds the outcomes of one cell to the scores of a server.

use crate::evidence::Cell;
use crate::pool::{Origin, Pooled};
use crate::rates::{Normal, Outcomes, failure_ratio, latency_ratio};

/// Score from which on the requests of a server are not learned as normal.
const SUSPICION: f64 = 3.0;

/// Whether a server has evidence against it that makes its requests unfit as a reference.
pub(crate) fn is_suspicious(pooled: &Pooled) -> bool {
    pooled.failure.score > SUSPICION || pooled.latency.score > SUSPICION
}

/// Outcomes of a cell at a server of which `use_factor` of the requests in flight use slots.
pub(crate) fn outcomes(cell: &Cell, use_factor: f64) -> Outcomes {
    Outcomes {
        succeeded: f64::from(cell.succeeded),
        failed: f64::from(cell.failures()),
        responses: f64::from(cell.responses()),
        busy_ms: f64::from(cell.busy_ms) * use_factor,
    }
}

pub(crate) fn score_failures(
    pooled: &mut Pooled,
    origin: Origin,
    cell: &Cell,
    peer_rate: f64,
    tick: u64,
) {
    let outcomes = outcomes(cell, pooled.use_factor);
    let requests = outcomes.succeeded + outcomes.failed;
    if requests <= 0.0 {
        return;
    }
    let score = failure_ratio(&outcomes, peer_rate);
    pooled.peer_failure_rate = peer_rate;
    pooled.failure.add(score, requests, outcomes.failed);
    let reporter = pooled.reporter(origin);
    reporter.failure += score;
    reporter.outcomes(cell.responses(), cell.unreached(), tick);
}

pub(crate) fn score_latency(
    pooled: &mut Pooled,
    origin: Origin,
    cell: &Cell,
    slot_ms: f64,
    dispersion: f64,
    tick: u64,
) {
    let outcomes = outcomes(cell, pooled.use_factor);
    if outcomes.responses + outcomes.busy_ms <= 0.0 {
        return;
    }
    let score = latency_ratio(&outcomes, slot_ms, dispersion);
    pooled.peer_slot_ms = slot_ms;
    pooled
        .latency
        .add(score, outcomes.responses, outcomes.busy_ms);
    pooled.given_up += f64::from(cell.timed_out) + f64::from(cell.cancelled);
    let reporter = pooled.reporter(origin);
    reporter.latency += score;
    reporter.used(outcomes.responses, outcomes.busy_ms, tick);
}

pub(crate) fn score_trial(
    pooled: &mut Pooled,
    cell: &Cell,
    own: &Outcomes,
    normal: &Normal,
    dispersion: f64,
) {
    pooled.trial.succeeded += cell.succeeded;
    pooled.trial.failed += cell.failures();
    if let Some(slot_ms) = normal.peer_slot_ms(own) {
        let outcomes = outcomes(cell, pooled.use_factor);
        pooled.trial.latency_score += latency_ratio(&outcomes, slot_ms, dispersion);
    }
}
