//! Evidence about one backend server, pooled over the entry instances.

use std::time::Duration;

use radishpaddle_model::Incarnation;

use crate::explanation::Cause;
use crate::key::{ServerKey, ServiceKey};

/// Entry instances that are told apart per server. Further ones are pooled in the place of the
/// instance with the fewest requests.
const MAX_REPORTERS: usize = 24;

/// Failures in a row, without success, from which on an instance counts as cut off from the
/// server. With 30 % failures three in a row have probability 0.027.
const CUT_OFF_RUN: u32 = 3;

/// Evidence for one of the two tests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Track {
    /// Sum of the log-likelihood ratios since it was last at or below zero (CUSUM).
    pub(crate) score: f64,
    /// Requests since then.
    pub(crate) requests: f64,
    /// Failures since then, or sum of the positions on the bucket scale for latency.
    pub(crate) sum: f64,
}

impl Track {
    fn scale(&mut self, kept: f64) {
        self.score *= kept;
        self.requests *= kept;
        self.sum *= kept;
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

/// Requests in flight as evidence; replaced with each report.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Waiting {
    pub(crate) score: f64,
    pub(crate) requests: f64,
    pub(crate) position_sum: f64,
}

/// Part of one entry instance in the evidence about a server.
#[derive(Debug, Clone)]
pub(crate) struct Reporter {
    pub(crate) instance: u64,
    pub(crate) failure: f64,
    pub(crate) latency: f64,
    pub(crate) waiting: Waiting,
    requests: f64,
    run: u32,
    run_began: u64,
    last_success: u64,
}

impl Reporter {
    fn new(instance: u64) -> Self {
        Self {
            instance,
            failure: 0.0,
            latency: 0.0,
            waiting: Waiting::default(),
            requests: 0.0,
            run: 0,
            run_began: 0,
            last_success: 0,
        }
    }

    /// Records the outcomes of one tick; ticks are numbered from 1.
    pub(crate) fn outcomes(&mut self, succeeded: u32, failed: u32, tick: u64) {
        self.requests += f64::from(succeeded) + f64::from(failed);
        if succeeded > 0 {
            self.last_success = tick;
            self.run = 0;
        }
        if failed > 0 {
            if self.run == 0 {
                self.run_began = tick;
            }
            // The order within a tick is not known; a tick with successes begins no run.
            if succeeded == 0 {
                self.run = self.run.saturating_add(failed);
            }
        }
    }

    /// Whether every recent request of this instance failed.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.run >= CUT_OFF_RUN
    }

    /// Decayed number of requests with an outcome.
    pub(crate) fn requests(&self) -> f64 {
        self.requests
    }

    pub(crate) fn total_latency(&self) -> f64 {
        self.latency + self.waiting.score
    }
}

/// Where a server stands, as far as scoring is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Mode {
    /// In rotation, or kept in it at the floor.
    #[default]
    Rotation,
    /// Returning; a lower threshold applies.
    Ramp,
    /// Ejected; its requests are leftovers.
    Ejected,
    /// On trial.
    Trial,
}

/// Result of trial requests so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Trial {
    pub(crate) succeeded: u32,
    pub(crate) failed: u32,
    pub(crate) latency_score: f64,
    /// Score of the request in flight; replaced with each report.
    pub(crate) waiting_score: f64,
}

/// State of one backend server at the leader.
#[derive(Debug, Clone)]
pub(crate) struct Pooled {
    pub(crate) server: ServerKey,
    pub(crate) service: ServiceKey,
    pub(crate) slots: u32,
    pub(crate) incarnation: Incarnation,
    pub(crate) cold_until: Duration,
    pub(crate) mode: Mode,
    pub(crate) failure: Track,
    pub(crate) latency: Track,
    pub(crate) trial: Trial,
    pub(crate) reporters: Vec<Reporter>,
    pub(crate) in_flight: u32,
    /// Requests in flight per slot, at least 1; falls slowly because responses lag the load.
    pub(crate) overload: f64,
    pub(crate) busy_ms: f64,
    /// Recent mean deviation from the reference, on the bucket scale.
    pub(crate) recent_sum: f64,
    pub(crate) recent_weight: f64,
    /// Failure rate of the peers, weighted by the request classes of the last tick.
    pub(crate) peer_failure_rate: f64,
    /// Median deviation of the peers from the reference, on the bucket scale.
    pub(crate) shift: f64,
    /// Typical position of the peers on the bucket scale.
    pub(crate) peer_position: f64,
}

impl Pooled {
    pub(crate) fn new(server: ServerKey, service: ServiceKey) -> Self {
        Self {
            server,
            service,
            slots: 1,
            incarnation: Incarnation(0),
            cold_until: Duration::ZERO,
            mode: Mode::Rotation,
            failure: Track::default(),
            latency: Track::default(),
            trial: Trial::default(),
            reporters: Vec::new(),
            in_flight: 0,
            overload: 1.0,
            busy_ms: 0.0,
            recent_sum: 0.0,
            recent_weight: 0.0,
            peer_failure_rate: 0.0,
            shift: 0.0,
            peer_position: 0.0,
        }
    }

    pub(crate) fn reporter(&mut self, instance: u64) -> &mut Reporter {
        let known = self
            .reporters
            .iter()
            .position(|reporter| reporter.instance == instance);
        let at = known.unwrap_or_else(|| self.new_reporter(instance));
        &mut self.reporters[at]
    }

    fn new_reporter(&mut self, instance: u64) -> usize {
        if self.reporters.len() < MAX_REPORTERS {
            self.reporters.push(Reporter::new(instance));
            return self.reporters.len() - 1;
        }
        let counted = self.reporters.iter().enumerate();
        let least = counted.min_by(|left, right| left.1.requests.total_cmp(&right.1.requests));
        let at = least.map_or(0, |(index, _)| index);
        self.reporters[at].instance = instance;
        at
    }

    /// Clears the requests in flight of an instance that reports none.
    pub(crate) fn clear_waiting(&mut self, instance: u64) {
        let reporter = self
            .reporters
            .iter_mut()
            .find(|reporter| reporter.instance == instance);
        if let Some(reporter) = reporter {
            reporter.waiting = Waiting::default();
        }
    }

    /// Forgets old evidence: scores by `kept`, recent means by `recent_kept`.
    pub(crate) fn decay(&mut self, kept: f64, recent_kept: f64) {
        self.failure.scale(kept);
        self.latency.scale(kept);
        self.recent_sum *= recent_kept;
        self.recent_weight *= recent_kept;
        for reporter in &mut self.reporters {
            reporter.failure *= kept;
            reporter.latency *= kept;
            reporter.requests *= kept;
        }
    }

    /// Restarts a test whose score is at or below zero (CUSUM).
    pub(crate) fn settle(&mut self) {
        if self.failure.score <= 0.0 {
            self.clear_failures();
        }
        if self.latency.score <= 0.0 {
            self.clear_latency();
        }
    }

    /// Forgets all evidence.
    pub(crate) fn clear(&mut self) {
        self.clear_failures();
        self.clear_latency();
        self.trial = Trial::default();
        self.recent_sum = 0.0;
        self.recent_weight = 0.0;
        self.reporters.clear();
    }

    fn clear_failures(&mut self) {
        self.failure = Track::default();
        for reporter in &mut self.reporters {
            reporter.failure = 0.0;
        }
    }

    fn clear_latency(&mut self) {
        self.latency = Track::default();
        for reporter in &mut self.reporters {
            reporter.latency = 0.0;
        }
    }

    /// Takes the evidence of one instance out of one test.
    pub(crate) fn discharge(&mut self, instance: u64, cause: Cause) {
        let found = self
            .reporters
            .iter_mut()
            .find(|reporter| reporter.instance == instance);
        let Some(reporter) = found else {
            return;
        };
        match cause {
            Cause::Failures => self.failure.score -= std::mem::take(&mut reporter.failure),
            Cause::Latency => {
                self.latency.score -= std::mem::take(&mut reporter.latency);
                reporter.waiting = Waiting::default();
            }
        }
    }

    /// Score of the latency test with the requests in flight.
    pub(crate) fn latency_score(&self) -> f64 {
        let waiting: f64 = self
            .reporters
            .iter()
            .map(|reporter| reporter.waiting.score)
            .sum();
        self.latency.score + waiting
    }

    /// Latency evidence with the requests in flight.
    pub(crate) fn latency_with_waiting(&self) -> Track {
        let mut track = self.latency;
        for reporter in &self.reporters {
            let waiting = &reporter.waiting;
            track.add(waiting.score, waiting.requests, waiting.position_sum);
        }
        track
    }

    /// Who is cut off from the server, and whether that is the path or the server.
    pub(crate) fn connectivity(&self, tick: u64) -> Connectivity {
        let cut_off = self
            .reporters
            .iter()
            .filter(|reporter| reporter.is_cut_off());
        let Some(began) = cut_off.clone().map(|reporter| reporter.run_began).min() else {
            return Connectivity::Whole;
        };
        let works = self.reporters.iter().any(|reporter| {
            !reporter.is_cut_off() && reporter.last_success > began + OVERLAP_TICKS
        });
        if works {
            Connectivity::Partial(cut_off.map(|reporter| reporter.instance).collect())
        } else if tick <= began + DECISION_TICKS {
            Connectivity::Undecided
        } else {
            Connectivity::Down
        }
    }
}

/// Drain periods of the instances are not aligned, so a success before a crash may arrive one
/// tick after the first failure.
const OVERLAP_TICKS: u64 = 1;

/// Ticks after the first failure in which successes of other instances can show that the path is
/// at fault.
const DECISION_TICKS: u64 = 2;

/// Whether instances reach a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Connectivity {
    /// No instance is cut off.
    Whole,
    /// The server works for some instances; these ones are cut off.
    Partial(Vec<u64>),
    /// Some are cut off, and it is too early to know whether it works for others.
    Undecided,
    /// The server worked for nobody since the first failure.
    Down,
}
