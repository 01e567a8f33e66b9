//! Placement by expected work, while load is managed.
//!
//! Costs are in seconds of the request.

use std::time::Duration;

use rand::Rng;

use super::by_count::{choose_probe, longest_unused};
use super::{Candidate, Choice, FailureImpact, Reason, Standing};
use crate::cost::CostEstimate;

/// Cost of a failure that loses the request, in service times. A lost request has no value for its caller, while a
/// wait costs nothing before the target latency, so this is several times the usual wait.
const FAILURE_COST_FINAL: f64 = 40.0;

/// Cost of a failure after which the request is retried: the time and the work of both attempts.
const FAILURE_COST_RETRYABLE: f64 = 2.0;

/// Cost of a fully used server in service times; proportional to the share of slots in use.
const SLOT_USE_COST: f64 = 0.25;

/// Cost of each second after the target latency; a late answer is worth a tenth to a third of one in time.
const LATENESS_COST: f64 = 3.0;

/// Cost of a server that is warming up, in service times.
const WARMUP_COST: f64 = 0.6;

/// Cost of a server that no longer sends announcements, in service times.
const SILENT_COST: f64 = 0.7;

/// Upper bound of the random cost in service times, so that gateways with the same information spread their requests.
const COST_JITTER: f64 = 0.3;

/// Cost of a request that crosses zones, whatever its size, in seconds.
const CROSSING_COST_S: f64 = 0.06;

/// Cost of a byte that crosses zones, in seconds: an answer of 5 kB may wait 20 ms longer for a server of the own zone.
const CROSSING_COST_S_PER_BYTE: f64 = 4e-6;

/// Upper bound of the cost of crossing zones in seconds. Callers of large bodies have a target latency of 1.5 s.
const MAX_CROSSING_COST_S: f64 = 0.5;

/// Cost of a byte that is in progress at the server, in seconds. A server that holds too many bytes crashes.
const HELD_COST_S_PER_BYTE: f64 = 3e-7;

/// Size from which a request probes servers of other zones only when they are overdue.
const LARGE_BYTES: u64 = 32 << 10;

/// Time without a request from which a server is overdue for a probe. While more than a tenth of the requests of a service
/// fail, most of its servers need a request every 2 s.
const OVERDUE: Duration = Duration::from_millis(1_300);

/// Probability that a request of a degraded service, of whatever kind, goes to a server that is overdue. The other requests
/// stay at servers with fresh evidence: in a large service nearly all servers are overdue.
const DEGRADED_PROBE_PROBABILITY: f64 = 0.6;

/// What is known about the request.
#[derive(Debug, Clone, Copy)]
pub struct RequestTerms {
    /// Expected cost.
    pub cost: CostEstimate,
    /// Time left until the target latency; zero when it has passed.
    pub objective_left: Duration,
    /// Whether the share of unserved requests of the service is too high now.
    pub degraded: bool,
}

/// Backend server that can be selected.
#[derive(Debug, Clone, Copy)]
pub struct WorkCandidate {
    /// Load, zone and state. Its failure probability is the one that decays within a second.
    pub server: Candidate,
    /// Expected remaining work of the requests in flight from all gateways.
    pub outstanding: Duration,
    /// Service time relative to the median server of the service.
    pub slowness: f64,
    /// Whether the server has failed recently and has not been proved healthy since.
    pub is_doubtful: bool,
    /// Bytes in progress at the server.
    pub held_bytes: u64,
    /// Age of the newest result; `None` before the first one.
    pub evidence_age: Option<Duration>,
}

/// Terms of the cost of a server in seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Terms {
    /// Expected wait for a slot.
    pub wait_s: f64,
    /// Expected service time.
    pub service_s: f64,
    /// Cost of the expected time after the target latency.
    pub lateness_s: f64,
    /// Failure probability times the cost of a failure.
    pub failure_s: f64,
    /// Cost of crossing zones.
    pub crossing_s: f64,
    /// Cost of slots and bytes in use, of warm-up and of missing announcements.
    pub state_s: f64,
}

impl Terms {
    /// Sum of the terms.
    #[must_use]
    pub fn total_s(&self) -> f64 {
        self.wait_s
            + self.service_s
            + self.lateness_s
            + self.failure_s
            + self.crossing_s
            + self.state_s
    }

    fn of(candidate: &WorkCandidate, request: &RequestTerms, impact: FailureImpact) -> Self {
        let server = &candidate.server;
        let mean_s = request.cost.mean.as_secs_f64();
        let slots = f64::from(server.slots.max(1));
        let in_flight = f64::from(server.in_flight);
        let slowness = if candidate.slowness.is_finite() {
            candidate.slowness.max(0.0)
        } else {
            1.0
        };
        let wait_s = expected_wait_s(candidate) * slowness;
        let service_s = mean_s * slowness;
        let objective_s = request.objective_left.as_secs_f64();
        let failure_cost = match impact {
            FailureImpact::Retryable => FAILURE_COST_RETRYABLE,
            FailureImpact::Final | FailureImpact::FinalWithoutProbes { .. } => FAILURE_COST_FINAL,
        };
        let mut state = in_flight / slots * SLOT_USE_COST;
        if server.warming_up {
            state += WARMUP_COST;
        }
        if server.silent {
            state += SILENT_COST;
        }
        let crossing_s = if server.same_zone {
            0.0
        } else {
            crossing_cost(&request.cost).as_secs_f64()
        };
        Self {
            wait_s,
            service_s,
            lateness_s: (wait_s + service_s - objective_s).max(0.0) * LATENESS_COST,
            failure_s: server.failure_probability * failure_cost * mean_s,
            crossing_s,
            state_s: state * mean_s + as_f64(candidate.held_bytes) * HELD_COST_S_PER_BYTE,
        }
    }
}

/// Expected time until a slot is free for one more request, at a server of normal speed.
fn expected_wait_s(candidate: &WorkCandidate) -> f64 {
    let slots = f64::from(candidate.server.slots.max(1));
    let in_flight = f64::from(candidate.server.in_flight);
    let ahead = in_flight + 1.0 - slots;
    if ahead <= 0.0 {
        return 0.0;
    }
    candidate.outstanding.as_secs_f64() / slots * (ahead / in_flight.max(1.0))
}

/// Longest expected wait at a server of the own zone that a request accepts rather than cross zones.
#[must_use]
pub fn crossing_cost(cost: &CostEstimate) -> Duration {
    let bytes = as_f64(cost.request_bytes) + as_f64(cost.answer_bytes);
    let cost_s = CROSSING_COST_S + bytes * CROSSING_COST_S_PER_BYTE;
    Duration::from_secs_f64(cost_s.min(MAX_CROSSING_COST_S))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "sizes of bodies are far below 2^52"
)]
const fn as_f64(bytes: u64) -> f64 {
    bytes as f64
}

/// Chooses the candidate with the lowest cost, or one that is due for a probe.
///
/// A request that a failure would lose goes to a doubtful server, or to one in connect back-off, only when there are no
/// others.
pub(super) fn choose(
    candidates: &[WorkCandidate],
    request: &RequestTerms,
    impact: FailureImpact,
    rng: &mut impl Rng,
) -> Option<Choice> {
    let bytes = request
        .cost
        .request_bytes
        .saturating_add(request.cost.answer_bytes);
    let may_probe = |server: &Candidate| {
        bytes <= LARGE_BYTES || server.same_zone || server.unused_for >= OVERDUE
    };
    let is_action = impact != FailureImpact::Retryable;
    let known = candidates.iter();
    // Where no request can be retried, a server is proved healthy only by time or by requests that may be lost.
    let avoids_doubtful = impact == FailureImpact::Final;
    let known = known.filter(|candidate| !(avoids_doubtful && candidate.is_doubtful));
    let servers = known.map(|candidate| candidate.server);
    let probed: Vec<Candidate> = servers.filter(may_probe).collect();
    if let Some(index) = choose_probe(&probed, impact, rng) {
        return Some(Choice {
            index,
            reason: Reason::Probe,
        });
    }
    if request.degraded
        && let Some(overdue) = longest_unused(&probed, OVERDUE)
        && rng.random_bool(DEGRADED_PROBE_PROBABILITY)
    {
        return Some(Choice {
            index: overdue.index,
            reason: Reason::Probe,
        });
    }
    let jitter_s = request.cost.mean.as_secs_f64() * COST_JITTER;
    let mut cheapest = |is_eligible: &dyn Fn(&WorkCandidate) -> bool| {
        let eligible = candidates.iter().filter(|candidate| is_eligible(candidate));
        let costs = eligible.map(|candidate| {
            let terms = Terms::of(candidate, request, impact);
            let cost_s = terms.total_s() + rng.random_range(0.0..1.0) * jitter_s;
            (candidate.server.index, terms, cost_s)
        });
        costs
            .min_by(|left, right| left.2.total_cmp(&right.2))
            .map(|(index, terms, _)| Choice {
                index,
                reason: Reason::Cost(terms),
            })
    };
    let is_connectable =
        |candidate: &WorkCandidate| candidate.server.standing != Standing::ConnectBackoff;
    cheapest(&|candidate| is_connectable(candidate) && !(is_action && candidate.is_doubtful))
        .or_else(|| cheapest(&is_connectable))
        .or_else(|| cheapest(&|_| true))
}
