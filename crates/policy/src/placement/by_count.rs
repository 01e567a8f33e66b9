//! Placement by the number of requests in flight, for deployments without load management.
//!
//! Costs are in units of one service time.

use std::time::Duration;

use rand::Rng;

use super::{Candidate, FailureImpact, Standing};

/// Cost of a failure after which the request cannot be retried.
const FAILURE_COST_FINAL: f64 = 8.0;

/// Cost of a failure after which the request is retried.
const FAILURE_COST_RETRYABLE: f64 = 2.0;

/// Cost of a queue as long as the number of slots of the server; proportional for other lengths.
const QUEUEING_COST: f64 = 1.0;

/// Cost of a fully used server; proportional to the share of slots in use. Slow machines and bursts make the
/// last free slot worth less than the first.
const SLOT_USE_COST: f64 = 0.25;

/// Cost of a server in another availability zone, because traffic between zones is charged.
const OTHER_ZONE_COST: f64 = 0.45;

/// Cost of a server that is warming up and therefore slow.
const WARMUP_COST: f64 = 0.6;

/// Cost of a server that no longer sends announcements.
const SILENT_COST: f64 = 0.7;

/// Upper bound of the random cost added to each candidate, so that gateways with the same information do not
/// all choose the same server.
const COST_JITTER: f64 = 0.2;

/// Time without a known request after which a server is due for a probe by a request that can be retried.
const PROBE_DUE: Duration = Duration::from_millis(700);

/// Time without a known request after which a server is due for a probe when the service gets only requests
/// that cannot be retried, since each probe may lose one.
const COSTLY_PROBE_DUE: Duration = Duration::from_secs(4);

/// Time that replaces [`COSTLY_PROBE_DUE`] while the service is degraded and needs its recovered servers back.
const DEGRADED_PROBE_DUE: Duration = Duration::from_millis(1_100);

/// Probability that a suitable request is used as the probe of a server that is due. Other gateways learn of a
/// probe a fraction of a second later, so with certainty each of them would send one.
const PROBE_PROBABILITY: f64 = 0.4;

/// Probability that a suitable request is used as the probe of a server that has been due for as long again.
const OVERDUE_PROBE_PROBABILITY: f64 = 0.9;

/// Chooses the candidate with the lowest cost, or one that is due for a probe. Returns the index of the
/// candidate, or `None` without candidates.
///
/// Servers in connect back-off are used only when there are no others. Requests that can be retried probe the
/// servers without recent requests, so that requests that cannot be retried go to servers with recent
/// evidence of good health.
pub fn choose(
    candidates: &[Candidate],
    impact: FailureImpact,
    rng: &mut impl Rng,
) -> Option<usize> {
    if let Some(probe) = choose_probe(candidates, impact, rng) {
        return Some(probe);
    }
    let mut cheapest = |include_backoff: bool| {
        let eligible = candidates
            .iter()
            .filter(|candidate| include_backoff || candidate.standing != Standing::ConnectBackoff);
        let costs = eligible.map(|candidate| {
            let jitter = rng.random_range(0.0..COST_JITTER);
            (candidate.index, cost(candidate, impact) + jitter)
        });
        costs
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(index, _)| index)
    };
    cheapest(false).or_else(|| cheapest(true))
}

/// Chooses a server whose pause has ended or that is due for a probe, if this request should be the one to use it.
pub(super) fn choose_probe(
    candidates: &[Candidate],
    impact: FailureImpact,
    rng: &mut impl Rng,
) -> Option<usize> {
    if let Some(resumed) = longest_resumed(candidates)
        && rng.random_bool(PROBE_PROBABILITY)
    {
        return Some(resumed.index);
    }
    let due = match impact {
        FailureImpact::Retryable => Some(PROBE_DUE),
        FailureImpact::Final => None,
        FailureImpact::FinalWithoutProbes { degraded: true } => Some(DEGRADED_PROBE_DUE),
        FailureImpact::FinalWithoutProbes { degraded: false } => Some(COSTLY_PROBE_DUE),
    };
    if let Some(due) = due
        && let Some(probe) = longest_unused(candidates, due)
    {
        let overdue = probe.unused_for >= due * 2;
        let probability = if overdue {
            OVERDUE_PROBE_PROBABILITY
        } else {
            PROBE_PROBABILITY
        };
        if rng.random_bool(probability) {
            return Some(probe.index);
        }
    }
    None
}

/// Returns the server that has been without requests for longest of those whose pause has ended. Servers that answered
/// meanwhile have better evidence and would get all requests of a calm service.
fn longest_resumed(candidates: &[Candidate]) -> Option<&Candidate> {
    candidates
        .iter()
        .filter(|candidate| candidate.standing == Standing::Resumed)
        .max_by_key(|candidate| candidate.unused_for)
}

/// Returns the server that has been without requests for longest, so that each of them is probed in turn. It
/// need not be suspect: a server with a moderately raised failure probability costs more than the others and
/// would get no requests either.
pub(super) fn longest_unused(candidates: &[Candidate], due: Duration) -> Option<&Candidate> {
    candidates
        .iter()
        .filter(|candidate| {
            candidate.standing != Standing::ConnectBackoff && candidate.unused_for >= due
        })
        .max_by_key(|candidate| candidate.unused_for)
}

fn cost(candidate: &Candidate, impact: FailureImpact) -> f64 {
    let failure_cost = match impact {
        FailureImpact::Retryable => FAILURE_COST_RETRYABLE,
        FailureImpact::Final | FailureImpact::FinalWithoutProbes { .. } => FAILURE_COST_FINAL,
    };
    let slots = f64::from(candidate.slots.max(1));
    let used = f64::from(candidate.in_flight) / slots;
    let waiting = (f64::from(candidate.in_flight) + 1.0 - slots).max(0.0) / slots;
    let mut cost = candidate.failure_probability * failure_cost + used * SLOT_USE_COST;
    cost += waiting * QUEUEING_COST;
    if !candidate.same_zone {
        cost += OTHER_ZONE_COST;
    }
    if candidate.warming_up {
        cost += WARMUP_COST;
    }
    if candidate.silent {
        cost += SILENT_COST;
    }
    cost
}
