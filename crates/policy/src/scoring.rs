//! Adds the outcomes of one cell to the test statistics of a server.

use crate::evidence::EvidenceCell;
use crate::pooled_evidence::{Origin, PooledEvidence};
use crate::rates::{ClassReference, Outcomes, failure_log_ratio, latency_log_ratio};

/// Score above which the requests of a server no longer update the reference of their class.
const SUSPICIOUS_SCORE: f64 = 3.0;

/// Returns whether the evidence against a server makes its requests unfit as a reference.
pub(crate) fn is_suspicious(pooled: &PooledEvidence) -> bool {
    pooled.failure.score > SUSPICIOUS_SCORE || pooled.latency.score > SUSPICIOUS_SCORE
}

/// Converts a cell into outcomes. `executing_fraction` is the fraction of the requests in flight at
/// the server that execute in a slot.
pub(crate) fn cell_outcomes(cell: &EvidenceCell, executing_fraction: f64) -> Outcomes {
    Outcomes {
        succeeded: f64::from(cell.succeeded),
        failed: f64::from(cell.failures()),
        responses: f64::from(cell.responses()),
        busy_ms: f64::from(cell.busy_ms) * executing_fraction,
    }
}

/// Adds the log-likelihood ratio of a cell to the failure test of a server.
pub(crate) fn score_failures(
    pooled: &mut PooledEvidence,
    origin: Origin,
    cell: &EvidenceCell,
    peer_rate: f64,
    tick: u64,
) {
    let outcomes = cell_outcomes(cell, pooled.executing_fraction);
    let requests = outcomes.succeeded + outcomes.failed;
    if requests <= 0.0 {
        return;
    }
    let score = failure_log_ratio(&outcomes, peer_rate);
    pooled.peer_failure_rate = peer_rate;
    pooled.failure.add(score, requests, outcomes.failed);
    let reporter = pooled.reporter(origin);
    reporter.failure_score += score;
    reporter.record_outcomes(cell.responses(), cell.unreached(), tick);
}

/// Adds the log-likelihood ratio of a cell to the latency test of a server. `slot_ms` is the slot
/// time of its peers.
pub(crate) fn score_latency(
    pooled: &mut PooledEvidence,
    origin: Origin,
    cell: &EvidenceCell,
    slot_ms: f64,
    dispersion: f64,
    tick: u64,
) {
    let outcomes = cell_outcomes(cell, pooled.executing_fraction);
    if outcomes.responses + outcomes.busy_ms <= 0.0 {
        return;
    }
    let score = latency_log_ratio(&outcomes, slot_ms, dispersion);
    pooled.peer_slot_ms = slot_ms;
    pooled
        .latency
        .add(score, outcomes.responses, outcomes.busy_ms);
    pooled.abandoned += f64::from(cell.timed_out) + f64::from(cell.cancelled);
    let reporter = pooled.reporter(origin);
    reporter.latency_score += score;
    reporter.record_slot_use(outcomes.responses, outcomes.busy_ms, tick);
}

/// Adds a cell to the trial result of a server. The latency counts only once the slot time of the
/// peers is known.
pub(crate) fn score_trial(
    pooled: &mut PooledEvidence,
    cell: &EvidenceCell,
    own: &Outcomes,
    reference: &ClassReference,
    dispersion: f64,
) {
    pooled.trial.succeeded += cell.succeeded;
    pooled.trial.failed += cell.failures();
    if let Some(slot_ms) = reference.peer_slot_ms(own) {
        let outcomes = cell_outcomes(cell, pooled.executing_fraction);
        pooled.trial.latency_score += latency_log_ratio(&outcomes, slot_ms, dispersion);
    }
}
