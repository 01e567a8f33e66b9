//! Evidence about one backend server, pooled over the entry instances.

use std::time::Duration;

use radishpaddle_model::Incarnation;

use crate::explanation::Cause;
use crate::key::{ServerKey, ServiceKey};

/// Maximum number of entry instances with separate evidence per server. A further instance takes
/// over the evidence of the instance with the fewest requests.
const MAX_REPORTERS: usize = 24;

/// Consecutive requests without any response from which an instance counts as partitioned from the
/// server. If 30 % of the requests get no response, three in a row have probability 0.027.
const PARTITION_RUN_LENGTH: u32 = 3;

/// Statistic of one of the two tests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TestStatistic {
    /// Sum of the log-likelihood ratios since it was last at or below zero (CUSUM).
    pub(crate) score: f64,
    /// Requests since the same time.
    pub(crate) requests: f64,
    /// Failures since the same time, or for latency the use of the slots in milliseconds.
    pub(crate) sum: f64,
}

impl TestStatistic {
    fn scale(&mut self, decay_factor: f64) {
        self.score *= decay_factor;
        self.requests *= decay_factor;
        self.sum *= decay_factor;
    }

    pub(crate) fn add(&mut self, score: f64, requests: f64, sum: f64) {
        self.score += score;
        self.requests += requests;
        self.sum += sum;
    }

    pub(crate) fn mean(&self) -> f64 {
        self.sum / self.requests.max(1.0)
    }
}

/// Instance and availability zone that a report comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Origin {
    pub(crate) instance: u64,
    /// Key of the availability zone; 0 if it is unknown.
    pub(crate) zone: u64,
}

/// Contribution of one entry instance to the evidence about a server.
#[derive(Debug, Clone)]
pub(crate) struct Reporter {
    pub(crate) instance: u64,
    pub(crate) zone: u64,
    pub(crate) failure_score: f64,
    pub(crate) latency_score: f64,
    requests: f64,
    unreached_run: u32,
    run_start_tick: u64,
    last_reached_tick: u64,
    /// Tick since which the instance has requests in flight and got no response.
    unanswered_since_tick: Option<u64>,
    /// Recent responses and the use of the slots for them in milliseconds; the score is unused.
    recent: TestStatistic,
}

impl Reporter {
    fn new(origin: Origin) -> Self {
        Self {
            instance: origin.instance,
            zone: origin.zone,
            failure_score: 0.0,
            latency_score: 0.0,
            requests: 0.0,
            unreached_run: 0,
            run_start_tick: 0,
            last_reached_tick: 0,
            unanswered_since_tick: None,
            recent: TestStatistic::default(),
        }
    }

    /// Records the outcomes of one tick; ticks are numbered from 1. `reached` includes responses
    /// with an error status, since they show that the path works.
    pub(crate) fn record_outcomes(&mut self, reached: u32, unreached: u32, tick: u64) {
        self.requests += f64::from(reached) + f64::from(unreached);
        if reached > 0 {
            self.last_reached_tick = tick;
            self.unreached_run = 0;
        } else if unreached > 0 {
            if self.unreached_run == 0 {
                self.run_start_tick = tick;
            }
            self.unreached_run = self.unreached_run.saturating_add(unreached);
        }
    }

    /// Records the responses and the use of the slots in one tick.
    pub(crate) fn record_slot_use(&mut self, responses: f64, busy_ms: f64, tick: u64) {
        self.recent.add(0.0, responses, busy_ms);
        if responses > 0.0 {
            self.unanswered_since_tick = None;
        } else if busy_ms > 0.0 {
            self.unanswered_since_tick = self.unanswered_since_tick.or(Some(tick));
        }
    }

    /// Returns whether none of the recent requests of this instance reached the server.
    pub(crate) fn is_partitioned(&self) -> bool {
        self.unreached_run >= PARTITION_RUN_LENGTH
    }

    /// Returns the decayed number of requests with an outcome.
    pub(crate) fn requests(&self) -> f64 {
        self.requests
    }
}

/// How the requests of a server are scored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Mode {
    /// In rotation, including servers kept there because of the capacity floor.
    #[default]
    Rotation,
    /// Returning to rotation; a lower threshold applies.
    Ramp,
    /// Ejected. Its remaining requests are not scored.
    Ejected,
    /// On trial. Its requests count for the trial result.
    Trial,
}

/// Results of the trial requests so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct TrialResult {
    pub(crate) succeeded: u32,
    pub(crate) failed: u32,
    pub(crate) latency_score: f64,
}

/// Evidence about one backend server at the leader.
#[derive(Debug, Clone)]
pub(crate) struct PooledEvidence {
    pub(crate) server: ServerKey,
    pub(crate) service: ServiceKey,
    pub(crate) slots: u32,
    pub(crate) incarnation: Incarnation,
    pub(crate) cold_until: Duration,
    pub(crate) mode: Mode,
    pub(crate) failure: TestStatistic,
    pub(crate) latency: TestStatistic,
    pub(crate) trial: TrialResult,
    pub(crate) reporters: Vec<Reporter>,
    pub(crate) in_flight: u32,
    /// Integral of the requests in flight over the current tick, in request-milliseconds.
    pub(crate) tick_busy_ms: f64,
    /// Fraction of the requests in flight that execute in a slot; the others wait at the server.
    pub(crate) executing_fraction: f64,
    /// Expected and received responses since the last sample of the dispersion.
    pub(crate) expected_and_received: (f64, f64),
    /// Timed-out and cancelled requests since the latency score was last at or below zero.
    pub(crate) abandoned: f64,
    /// Failure rate of the peers, 0 to 1.
    pub(crate) peer_failure_rate: f64,
    /// Time in milliseconds for which a response of the peers used a slot.
    pub(crate) peer_slot_ms: f64,
}

impl PooledEvidence {
    pub(crate) fn new(server: ServerKey, service: ServiceKey) -> Self {
        Self {
            server,
            service,
            slots: 1,
            incarnation: Incarnation(0),
            cold_until: Duration::ZERO,
            mode: Mode::Rotation,
            failure: TestStatistic::default(),
            latency: TestStatistic::default(),
            trial: TrialResult::default(),
            reporters: Vec::new(),
            in_flight: 0,
            tick_busy_ms: 0.0,
            executing_fraction: 1.0,
            expected_and_received: (0.0, 0.0),
            abandoned: 0.0,
            peer_failure_rate: 0.0,
            peer_slot_ms: 0.0,
        }
    }

    pub(crate) fn reporter(&mut self, origin: Origin) -> &mut Reporter {
        let known = self
            .reporters
            .iter()
            .position(|reporter| reporter.instance == origin.instance);
        let at = known.unwrap_or_else(|| self.new_reporter(origin));
        &mut self.reporters[at]
    }

    fn new_reporter(&mut self, origin: Origin) -> usize {
        if self.reporters.len() < MAX_REPORTERS {
            self.reporters.push(Reporter::new(origin));
            return self.reporters.len() - 1;
        }
        let counted = self.reporters.iter().enumerate();
        let least = counted.min_by(|left, right| left.1.requests.total_cmp(&right.1.requests));
        let at = least.map_or(0, |(index, _)| index);
        self.reporters[at].instance = origin.instance;
        self.reporters[at].zone = origin.zone;
        at
    }

    /// Decays all evidence.
    pub(crate) fn decay(&mut self, decay_factor: f64) {
        self.failure.scale(decay_factor);
        self.latency.scale(decay_factor);
        self.abandoned *= decay_factor;
        for reporter in &mut self.reporters {
            reporter.failure_score *= decay_factor;
            reporter.latency_score *= decay_factor;
            reporter.requests *= decay_factor;
            reporter.recent.scale(RECENT_USE_DECAY_PER_TICK);
        }
    }

    /// Computes the executing fraction at the end of a tick of `elapsed_ms`.
    pub(crate) fn update_executing_fraction(&mut self, elapsed_ms: f64) {
        let busy_ms = std::mem::take(&mut self.tick_busy_ms);
        let available_ms = f64::from(self.slots) * elapsed_ms;
        self.executing_fraction = (available_ms / busy_ms.max(1.0)).min(1.0);
    }

    /// Restarts each test whose score is at or below zero (CUSUM).
    pub(crate) fn restart_non_positive_tests(&mut self) {
        if self.failure.score <= 0.0 {
            self.clear_failures();
        }
        if self.latency.score <= 0.0 {
            self.clear_latency();
        }
    }

    /// Clears all evidence.
    pub(crate) fn clear(&mut self) {
        self.clear_failures();
        self.clear_latency();
        self.trial = TrialResult::default();
        self.reporters.clear();
    }

    fn clear_failures(&mut self) {
        self.failure = TestStatistic::default();
        for reporter in &mut self.reporters {
            reporter.failure_score = 0.0;
        }
    }

    fn clear_latency(&mut self) {
        self.latency = TestStatistic::default();
        self.abandoned = 0.0;
        for reporter in &mut self.reporters {
            reporter.latency_score = 0.0;
        }
    }

    /// Subtracts the contribution of one instance from the score of one test.
    pub(crate) fn remove_contribution(&mut self, instance: u64, cause: Cause) {
        let found = self
            .reporters
            .iter_mut()
            .find(|reporter| reporter.instance == instance);
        let Some(reporter) = found else {
            return;
        };
        match cause {
            Cause::Failures => self.failure.score -= std::mem::take(&mut reporter.failure_score),
            Cause::Latency => {
                self.latency.score -= std::mem::take(&mut reporter.latency_score);
            }
        }
    }

    /// Returns the score of the latency test. It is bounded per request that was in service since
    /// the score was last at or below zero, because a single request may have its own reason to
    /// take long.
    pub(crate) fn latency_score(&self) -> f64 {
        let in_service = f64::from(self.in_flight.min(self.slots));
        let requests = self.latency.requests + self.abandoned + in_service;
        self.latency.score.min(requests * MAX_SCORE_PER_REQUEST)
    }

    /// Returns the instances that wait for responses while others get theirs in normal time; empty
    /// when the server is slow for all instances. A path that drops responses looks like a slow
    /// server until the first time-out.
    pub(crate) fn unanswered_instances(&self) -> Vec<u64> {
        let is_unanswered = |reporter: &&Reporter| {
            reporter.unanswered_since_tick.is_some() && reporter.latency_score > 0.0
        };
        let unanswered = self.reporters.iter().filter(is_unanswered);
        let since = unanswered
            .clone()
            .filter_map(|reporter| reporter.unanswered_since_tick);
        let Some(began) = since.min() else {
            return Vec::new();
        };
        let mut recent = TestStatistic::default();
        let answered = self.reporters.iter();
        for reporter in
            answered.filter(|reporter| reporter.last_reached_tick > began + REPORT_SKEW_TICKS)
        {
            recent.add(0.0, reporter.recent.requests, reporter.recent.sum);
        }
        let is_normal = recent.mean() < MAX_NORMAL_SLOWDOWN * self.peer_slot_ms;
        if recent.requests < MIN_RECENT_RESPONSES || !is_normal {
            return Vec::new();
        }
        unanswered.map(|reporter| reporter.instance).collect()
    }

    /// Returns which instances are partitioned from the server, and whether the path or the server
    /// is the cause.
    pub(crate) fn connectivity(&self, tick: u64) -> Connectivity {
        let partitioned = self
            .reporters
            .iter()
            .filter(|reporter| reporter.is_partitioned());
        let Some(began) = partitioned
            .clone()
            .map(|reporter| reporter.run_start_tick)
            .min()
        else {
            return Connectivity::Reachable;
        };
        let is_reached = self.reporters.iter().any(|reporter| {
            !reporter.is_partitioned() && reporter.last_reached_tick > began + REPORT_SKEW_TICKS
        });
        if is_reached {
            Connectivity::Partial(partitioned.map(|reporter| reporter.instance).collect())
        } else if tick <= began + PATH_DECISION_TICKS {
            Connectivity::Undecided
        } else {
            Connectivity::Unreachable
        }
    }
}

/// Upper bound of the latency score per request. Three hung slots then reach the lowest threshold
/// of 18, two do not.
const MAX_SCORE_PER_REQUEST: f64 = 7.0;

/// Ticks by which reports of different instances may be apart. Their drain periods are not aligned,
/// so a success before a crash may arrive one tick after the first failure.
const REPORT_SKEW_TICKS: u64 = 1;

/// Minimum number of recent responses to other instances that show whether their slot time is
/// normal.
const MIN_RECENT_RESPONSES: f64 = 2.0;

/// Slow-down up to which the slot time of other instances counts as normal.
const MAX_NORMAL_SLOWDOWN: f64 = 2.0;

/// Factor by which the recent use of the slots decays per tick.
const RECENT_USE_DECAY_PER_TICK: f64 = 0.75;

/// Ticks after the first failure in which successes of other instances can show that the path is at
/// fault.
const PATH_DECISION_TICKS: u64 = 2;

/// Reachability of a server from the instances that use it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Connectivity {
    /// No instance is partitioned from the server.
    Reachable,
    /// The server responds to some instances; the listed ones are partitioned from it.
    Partial(Vec<u64>),
    /// Some instances are partitioned, and it is too early to know whether others reach the server.
    Undecided,
    /// No instance has reached the server since the first failure.
    Unreachable,
}
