//! Choice of a backend server for one attempt.

use std::time::Duration;

use rand::Rng;

/// Cost of a certain failure that loses the request, in units of one service time.
const FAILURE_COST_FINAL: f64 = 8.0;

/// Cost of a certain failure after which the request is sent again.
const FAILURE_COST_REPEATABLE: f64 = 2.0;

/// Cost of each request that has to wait, relative to the slots of the server.
const WAITING_COST: f64 = 1.0;

/// Cost of a used slot: slow machines and bursts make the last slot worth less than the first.
const USE_COST: f64 = 0.25;

/// Cost of another availability zone: its bytes are priced.
const ZONE_COST: f64 = 0.45;

/// Cost of a server that is warming up, which is slow.
const WARMUP_COST: f64 = 0.6;

/// Cost of a server whose announcements have stopped.
const SILENT_COST: f64 = 0.7;

/// Random part, so that gateways with the same view do not all choose the same server.
const SPREAD: f64 = 0.2;

/// What is believed of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Good,
    /// It is likely in a spell of failure.
    Suspect,
    /// This gateway failed to connect to it a moment ago.
    Avoided,
}

/// What is known of a server when a request is placed.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Position in the pool.
    pub index: usize,
    /// What is believed of it.
    pub standing: Standing,
    /// Probability that the next request fails.
    pub failure_probability: f64,
    /// Requests in flight from all gateways, as far as known.
    pub in_flight: u32,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is in the availability zone of this gateway.
    pub same_zone: bool,
    /// Whether it started a moment ago.
    pub warming_up: bool,
    /// Whether its announcements have stopped.
    pub silent: bool,
    /// Time since a request to it was known.
    pub unused_for: Duration,
}

/// Time without any known request after which a server is due for a trial.
const TRIAL_DUE: Duration = Duration::from_millis(700);

/// The same where only requests that cannot be repeated go to the service, and each trial may lose one.
const COSTLY_TRIAL_DUE: Duration = Duration::from_secs(4);

/// The same while the service serves badly: servers that recovered are then needed.
const NEEDED_TRIAL_DUE: Duration = Duration::from_millis(1_100);

/// Probability that a fitting request is the trial of a server that is due. Other gateways learn of a
/// trial a fraction of a second later, and all of them would make it.
const TRIAL_PROBABILITY: f64 = 0.4;

/// The same when it has waited for twice the time.
const OVERDUE_TRIAL_PROBABILITY: f64 = 0.9;

/// What a failure of the attempt means to the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stake {
    /// Another attempt follows, so the server may be a trial.
    Repeatable,
    /// The request is lost.
    Final,
    /// The request is lost, and there are no other requests for trials at this service.
    FinalWithoutTrials {
        /// Whether the service serves badly now.
        degraded: bool,
    },
}

/// Chooses the candidate with the lowest cost; `None` without candidates.
///
/// Servers that this gateway could not connect to are used only when nothing else is left. Requests that
/// can be repeated are the trials of suspects, so that requests that cannot be repeated go where the
/// evidence is best.
pub fn choose(candidates: &[Candidate], stake: Stake, rng: &mut impl Rng) -> Option<usize> {
    let due = match stake {
        Stake::Repeatable => Some(TRIAL_DUE),
        Stake::Final => None,
        Stake::FinalWithoutTrials { degraded: true } => Some(NEEDED_TRIAL_DUE),
        Stake::FinalWithoutTrials { degraded: false } => Some(COSTLY_TRIAL_DUE),
    };
    if let Some(due) = due
        && let Some(trial) = longest_unused(candidates, due)
    {
        let overdue = trial.unused_for >= due * 2;
        let probability = if overdue {
            OVERDUE_TRIAL_PROBABILITY
        } else {
            TRIAL_PROBABILITY
        };
        if rng.random_bool(probability) {
            return Some(trial.index);
        }
    }
    let mut best = |avoided: bool| {
        let fitting = candidates
            .iter()
            .filter(|candidate| avoided || candidate.standing != Standing::Avoided);
        let costs = fitting.map(|candidate| {
            let spread = rng.random_range(0.0..SPREAD);
            (candidate.index, cost(candidate, stake) + spread)
        });
        costs
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(index, _)| index)
    };
    best(false).or_else(|| best(true))
}

/// The server that has waited longest for a request, so that every one of them gets its turn. It need not
/// be a suspect: one that is believed in half costs more than the others and would get nothing either.
fn longest_unused(candidates: &[Candidate], due: Duration) -> Option<&Candidate> {
    candidates
        .iter()
        .filter(|candidate| candidate.standing != Standing::Avoided && candidate.unused_for >= due)
        .max_by_key(|candidate| candidate.unused_for)
}

fn cost(candidate: &Candidate, stake: Stake) -> f64 {
    let failure_cost = match stake {
        Stake::Repeatable => FAILURE_COST_REPEATABLE,
        Stake::Final | Stake::FinalWithoutTrials { .. } => FAILURE_COST_FINAL,
    };
    let slots = f64::from(candidate.slots.max(1));
    let used = f64::from(candidate.in_flight) / slots;
    let waiting = (f64::from(candidate.in_flight) + 1.0 - slots).max(0.0) / slots;
    let mut cost = candidate.failure_probability * failure_cost + used * USE_COST;
    cost += waiting * WAITING_COST;
    if !candidate.same_zone {
        cost += ZONE_COST;
    }
    if candidate.warming_up {
        cost += WARMUP_COST;
    }
    if candidate.silent {
        cost += SILENT_COST;
    }
    cost
}

/// Time after which an unanswered request counts against its server: this many usual service times.
pub const SLOW_FACTOR: f64 = 4.0;

/// Usual service time of a route, averaged over its answers.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime {
    mean_s: Option<f64>,
}

impl ServiceTime {
    /// Weight of the newest answer.
    const GAIN: f64 = 0.05;

    /// Time that counts as usual before the first answer.
    const UNKNOWN: Duration = Duration::from_millis(300);

    /// Counts an answer.
    pub fn record(&mut self, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        let mean = self.mean_s.unwrap_or(elapsed);
        self.mean_s = Some(mean + (elapsed - mean) * Self::GAIN);
    }

    /// Usual time.
    #[must_use]
    pub fn mean(&self) -> Duration {
        self.mean_s.map_or(Self::UNKNOWN, Duration::from_secs_f64)
    }

    /// Time after which an unanswered request is slow.
    #[must_use]
    pub fn slow_after(&self) -> Duration {
        self.mean().mul_f64(SLOW_FACTOR)
    }
}
