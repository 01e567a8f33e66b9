//! Turns one cell into log-likelihood ratios of a server.

use crate::evidence::Cell;
use crate::latency::{BUCKETS_PER_DOUBLING, Histogram};
use crate::pool::{Mode, Pooled};
use crate::rates::failure_ratio;
use crate::reference::Reference;

/// Score from which on the requests of a server are not learned as normal.
const SUSPICION: f64 = 3.0;

/// Ratio from which on a request in flight counts in the typical time that is shown; younger ones
/// say nothing yet.
const TELLING_RATIO: f64 = 0.5;

/// Evidence of a histogram.
#[derive(Debug, Clone, Copy, Default)]
struct Scored {
    score: f64,
    requests: f64,
    position_sum: f64,
}

/// Whether a server has evidence against it that makes its requests unfit as a reference.
pub(crate) fn is_suspicious(pooled: &Pooled) -> bool {
    pooled.failure.score > SUSPICION || pooled.latency_score() > SUSPICION
}

/// Deviation from the reference that the load and the peers explain, in buckets.
fn explained(pooled: &Pooled) -> f64 {
    pooled.overload.log2() * BUCKETS_PER_DOUBLING + pooled.shift
}

pub(crate) fn score_failures(
    pooled: &mut Pooled,
    instance: u64,
    cell: &Cell,
    peer_rate: f64,
    tick: u64,
) {
    let (succeeded, failed) = (cell.succeeded, cell.failures());
    if succeeded + failed == 0 {
        return;
    }
    let score = failure_ratio(f64::from(succeeded), f64::from(failed), peer_rate);
    pooled.peer_failure_rate = peer_rate;
    pooled
        .failure
        .add(score, f64::from(succeeded + failed), f64::from(failed));
    let reporter = pooled.reporter(instance);
    reporter.failure += score;
    reporter.outcomes(succeeded, failed, tick);
}

pub(crate) fn score_latency(
    pooled: &mut Pooled,
    instance: u64,
    cell: &Cell,
    reference: &Reference,
) {
    let explained = explained(pooled);
    pooled.peer_position = reference.mean() + pooled.shift;
    let complete = score_complete(&cell.latency, reference, explained);
    let censored = score_censored(&cell.censored, reference, explained);
    let waiting = score_censored(&cell.waiting, reference, explained);
    for scored in [complete, censored] {
        let (score, requests) = (scored.score, scored.requests);
        pooled.latency.add(score, requests, scored.position_sum);
    }
    if complete.requests + censored.requests + waiting.requests == 0.0 {
        return;
    }
    let reporter = pooled.reporter(instance);
    reporter.latency += complete.score + censored.score;
    reporter.waiting.score += waiting.score;
    reporter.waiting.requests += waiting.requests;
    reporter.waiting.position_sum += waiting.position_sum;
}

pub(crate) fn score_trial(pooled: &mut Pooled, cell: &Cell, reference: Option<&Reference>) {
    debug_assert_eq!(pooled.mode, Mode::Trial);
    pooled.trial.succeeded += cell.succeeded;
    pooled.trial.failed += cell.failures();
    if let Some(reference) = reference {
        let explained = pooled.shift;
        let complete = score_complete(&cell.latency, reference, explained);
        let censored = score_censored(&cell.censored, reference, explained);
        pooled.trial.latency_score += complete.score + censored.score;
        pooled.trial.waiting_score = score_censored(&cell.waiting, reference, explained).score;
    }
}

fn score_complete(times: &Histogram, reference: &Reference, explained: f64) -> Scored {
    let mut scored = Scored::default();
    for entry in &times.0 {
        let position = f64::from(entry.bucket) + 0.5 - explained;
        let count = f64::from(entry.count);
        scored.score += count * reference.ratio(position);
        scored.requests += count;
        scored.position_sum += count * (position - reference.mean());
    }
    scored
}

/// A lower bound counts by the ratio of the survival functions, which is never negative.
fn score_censored(times: &Histogram, reference: &Reference, explained: f64) -> Scored {
    let mut scored = Scored::default();
    for entry in &times.0 {
        let position = f64::from(entry.bucket) + 0.5 - explained;
        let count = f64::from(entry.count);
        let ratio = reference.survival_ratio(position);
        scored.score += count * ratio;
        if ratio > TELLING_RATIO {
            scored.requests += count;
            scored.position_sum += count * (position - reference.mean());
        }
    }
    scored
}
