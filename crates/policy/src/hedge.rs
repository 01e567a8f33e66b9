//! Hedging: when to send a second copy of an idempotent request to another backend server.
//!
//! The delay is a high quantile of the service time of the request class (The Tail at Scale, 2013).
//! A tail that load causes is not hedged, since the copies would lengthen it.

use std::time::Duration;

use radishpaddle_model::BackendServerId;

use crate::budget::{NoRepeat, RepeatBudget};
use crate::cost::CostEstimate;
use crate::service_times::{ServiceTimes, quantile_us_of};

/// Quantile of the service time after which a request is hedged.
pub const HEDGE_QUANTILE: f64 = 0.95;

/// Minimum hedge delay as a multiple of the median. It prevents hedging half of the requests of a
/// class whose service time has almost no spread.
pub const MIN_MEDIAN_MULTIPLE: f64 = 2.0;

/// Maximum hedge delay as a multiple of the median. One slow server out of six determines the 95 %
/// quantile, and a delay of that length would hedge nothing.
pub const MAX_MEDIAN_MULTIPLE: f64 = 4.0;

/// Fraction of the slots in use above which a tail is attributed to load.
pub const MAX_UTILISATION: f64 = 0.8;

/// Ratio of the median to its long-term value above which a tail is attributed to load.
pub const MAX_MEDIAN_SHIFT: f64 = 1.5;

/// Minimum time without a byte of an answer that has begun after which it counts as stalled. TCP sends lost data again after
/// up to a second.
pub const MIN_STALL_LIMIT: Duration = Duration::from_secs(1);

/// Time without a byte of an answer that has begun after which it counts as stalled; `slow_after` is the time after which an
/// unanswered request counts against its server. The server may still be at work, so the answer is not given up.
#[must_use]
pub fn stall_limit(slow_after: Duration) -> Duration {
    slow_after.max(MIN_STALL_LIMIT)
}

/// Number of service times that a class needs before its tail is known.
pub const MIN_SAMPLES: u64 = 50;

/// Number of service times that a class needs before its median is known.
pub const MIN_MEDIAN_SAMPLES: u64 = 5;

/// Fraction of the objective after which a request is hedged while the tail of its class is not
/// known. The rest is left to the second copy.
pub const OBJECTIVE_FRACTION: f64 = 0.5;

/// Length of one window of service times. Quantiles cover one to two windows.
pub const SERVICE_TIME_WINDOW: Duration = Duration::from_secs(10);

/// Weight of a finished window in the long-term median, which is an exponential moving average.
/// With windows of 10 s, the last few minutes dominate it.
const BASELINE_MEDIAN_EMA_WEIGHT: f64 = 0.1;

/// Reason why a request is not hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NoHedge {
    /// The request may not run more than once.
    NotIdempotent,
    /// The class has too few service times to estimate its quantiles.
    TooFewSamples,
    /// The hedge delay has not passed.
    TooEarly,
    /// Load explains the tail: too many slots are in use, or the median of the whole class has
    /// grown.
    TailCausedByLoad,
    /// The remaining time is shorter than the median service time.
    DeadlineTooShort,
    /// No other backend server has a free slot.
    NoOtherServer,
    /// The number of attempts or the retry budget is exhausted.
    Budget(NoRepeat),
}

/// Request in flight, as input to the hedge decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgeQuery {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Target latency of the request, if it has one.
    pub objective: Option<Duration>,
    /// Time since the first attempt was dispatched.
    pub elapsed: Duration,
    /// Time left until the deadline of the request.
    pub remaining: Duration,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Requests of the whole fleet in flight at the servers in rotation.
    pub in_flight: u32,
    /// Slots of the servers in rotation.
    pub slots: u32,
    /// Whether a server that the request has not tried has a free slot.
    pub other_server_free: bool,
    /// Whether an answer has begun and nothing more of it has arrived for [`stall_limit`].
    pub stalled: bool,
}

/// Service times of one request class at one entry instance, and its hedge decisions.
#[derive(Debug, Clone)]
pub struct HedgeClass {
    current: ServiceTimes,
    previous: ServiceTimes,
    window_start: Duration,
    baseline_median_us: Option<f64>,
}

impl HedgeClass {
    /// Creates a class without samples. `now` is the time since an arbitrary start of the calling
    /// process.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            current: ServiceTimes::default(),
            previous: ServiceTimes::default(),
            window_start: now,
            baseline_median_us: None,
        }
    }

    /// Records the service time of a successful attempt. The caller does not record cancelled
    /// attempts.
    pub fn record(&mut self, now: Duration, service_time: Duration) {
        self.rotate_windows(now);
        self.current.add(service_time);
    }

    /// Returns the time after the dispatch at which a request may be hedged. Instances that each get
    /// few requests of a class seldom know its tail, and then go by the objective; without an
    /// objective the result is `None` while there are too few samples.
    #[must_use]
    pub fn delay(&self, objective: Option<Duration>) -> Option<Duration> {
        let wanted = match (self.quantile_us(HEDGE_QUANTILE), objective) {
            (Some(tail), _) => tail,
            (None, Some(objective)) => objective.as_secs_f64() * 1e6 * OBJECTIVE_FRACTION,
            (None, None) => return None,
        };
        let bounded =
            |median: f64| wanted.clamp(median * MIN_MEDIAN_MULTIPLE, median * MAX_MEDIAN_MULTIPLE);
        let delay = self.early_median_us().map_or(wanted, bounded);
        Some(Duration::from_secs_f64(delay / 1e6))
    }

    /// Returns the median service time; `None` while there are too few samples.
    #[must_use]
    pub fn median(&self) -> Option<Duration> {
        let median = self.quantile_us(0.5)?;
        Some(Duration::from_secs_f64(median / 1e6))
    }

    /// Returns the [`HEDGE_QUANTILE`] of the service time; `None` while there are too few samples.
    /// A request with less remaining time is better refused as "not run" than dispatched.
    #[must_use]
    pub fn tail(&self) -> Option<Duration> {
        let tail = self.quantile_us(HEDGE_QUANTILE)?;
        Some(Duration::from_secs_f64(tail / 1e6))
    }

    /// Permits a hedge and consumes its token from the budget.
    ///
    /// # Errors
    ///
    /// Returns the first rule that forbids the hedge; no token is consumed in this case.
    pub fn try_hedge(
        &self,
        now: Duration,
        query: &HedgeQuery,
        budget: &mut RepeatBudget,
    ) -> Result<(), NoHedge> {
        self.check(query)?;
        budget
            .try_hedge(now, query.attempts)
            .map_err(NoHedge::Budget)
    }

    /// Checks every rule but the budget. Load does not explain a stalled answer, so its second copy need not wait for a free
    /// slot.
    ///
    /// # Errors
    ///
    /// Returns the first rule that forbids the hedge.
    pub fn check(&self, query: &HedgeQuery) -> Result<(), NoHedge> {
        if !query.idempotent {
            return Err(NoHedge::NotIdempotent);
        }
        let delay = self.delay(query.objective).ok_or(NoHedge::TooFewSamples)?;
        let median_us = self.early_median_us();
        let median = median_us.map_or(Duration::ZERO, |median| {
            Duration::from_secs_f64(median / 1e6)
        });
        if query.elapsed < delay && !query.stalled {
            return Err(NoHedge::TooEarly);
        }
        if query.remaining < median {
            return Err(NoHedge::DeadlineTooShort);
        }
        if query.stalled {
            return Ok(());
        }
        if self.is_tail_caused_by_load(query, median) {
            return Err(NoHedge::TailCausedByLoad);
        }
        if !query.other_server_free {
            return Err(NoHedge::NoOtherServer);
        }
        Ok(())
    }

    fn is_tail_caused_by_load(&self, query: &HedgeQuery, median: Duration) -> bool {
        let used = f64::from(query.in_flight);
        if used > f64::from(query.slots) * MAX_UTILISATION {
            return true;
        }
        self.baseline_median_us
            .is_some_and(|baseline| median.as_secs_f64() * 1e6 > baseline * MAX_MEDIAN_SHIFT)
    }

    fn quantile_us(&self, quantile: f64) -> Option<f64> {
        self.quantile_of_at_least(MIN_SAMPLES, quantile)
    }

    /// Median that a few samples are enough for.
    fn early_median_us(&self) -> Option<f64> {
        self.quantile_of_at_least(MIN_MEDIAN_SAMPLES, 0.5)
    }

    fn quantile_of_at_least(&self, samples: u64, quantile: f64) -> Option<f64> {
        let total = self.current.count() + self.previous.count();
        if total < samples {
            return None;
        }
        Some(quantile_us_of(&self.previous, &self.current, quantile))
    }

    fn rotate_windows(&mut self, now: Duration) {
        let age = now.saturating_sub(self.window_start);
        if age < SERVICE_TIME_WINDOW {
            return;
        }
        if self.current.count() >= MIN_SAMPLES {
            let median = quantile_us_of(&self.current, &ServiceTimes::default(), 0.5);
            let baseline = self.baseline_median_us.unwrap_or(median);
            self.baseline_median_us =
                Some(baseline + (median - baseline) * BASELINE_MEDIAN_EMA_WEIGHT);
        }
        let finished = std::mem::take(&mut self.current);
        self.previous = if age < SERVICE_TIME_WINDOW * 2 {
            finished
        } else {
            ServiceTimes::default()
        };
        self.window_start = now;
    }
}

/// Multiple of the delay of [`kind_delay`] after which a server without an answer counts as silent.
pub const SILENCE_FACTOR: u32 = 2;

/// Time after the dispatch at which a request may be hedged, by the expected cost of its kind: the tail, within the same
/// multiples of the mean as for a class. A second copy started then is expected to end by the target latency, if the tail
/// permits it.
#[must_use]
pub fn kind_delay(cost: &CostEstimate, objective: Duration) -> Duration {
    let earliest = cost.mean.mul_f64(MIN_MEDIAN_MULTIPLE);
    let wanted = if cost.age.is_some() {
        cost.tail
    } else {
        objective.mul_f64(OBJECTIVE_FRACTION)
    };
    let latest = cost.mean.mul_f64(MAX_MEDIAN_MULTIPLE);
    wanted
        .min(latest)
        .min(objective.saturating_sub(cost.mean))
        .max(earliest)
}

/// Checks every rule but the budget for a request whose expected cost is known. A server that has been without an answer for
/// [`SILENCE_FACTOR`] delays is silent; load does not explain that or a stalled answer, so the second copy need not wait for
/// a free slot.
///
/// # Errors
///
/// Returns the first rule that forbids the hedge.
pub fn check_kind(cost: &CostEstimate, query: &HedgeQuery) -> Result<(), NoHedge> {
    if !query.idempotent {
        return Err(NoHedge::NotIdempotent);
    }
    let delay = kind_delay(cost, query.objective.unwrap_or(query.remaining));
    if query.elapsed < delay && !query.stalled {
        return Err(NoHedge::TooEarly);
    }
    if query.remaining < cost.mean {
        return Err(NoHedge::DeadlineTooShort);
    }
    if query.stalled || query.elapsed >= delay * SILENCE_FACTOR {
        return Ok(());
    }
    if f64::from(query.in_flight) > f64::from(query.slots) * MAX_UTILISATION {
        return Err(NoHedge::TailCausedByLoad);
    }
    if !query.other_server_free {
        return Err(NoHedge::NoOtherServer);
    }
    Ok(())
}

/// Copy of a hedged request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RaceCopy {
    /// The first attempt.
    First,
    /// The hedge.
    Hedge,
}

/// Next step after an event of a hedged request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RaceStep {
    /// Return the answer of this copy to the caller and cancel the other copy.
    Answer {
        /// Server of the other copy, if that copy is still in flight.
        cancel: Option<BackendServerId>,
    },
    /// Wait for the other copy, which is still in flight.
    Wait,
    /// Both copies have failed.
    Failed,
    /// Drop the event; the race was decided before or the copy has ended.
    Ignore,
}

/// Hedged request with two copies in flight; the first complete answer wins.
#[derive(Debug, Clone)]
pub struct HedgeRace {
    first: Option<BackendServerId>,
    hedge: Option<BackendServerId>,
    decided: bool,
}

/// Error: both copies were meant for the same backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SameServer;

impl HedgeRace {
    /// Creates a race between two servers.
    ///
    /// # Errors
    ///
    /// Returns `SameServer` when both copies name the same server, which would slow down both if it
    /// is slow.
    pub fn new(first: BackendServerId, hedge: BackendServerId) -> Result<Self, SameServer> {
        if first == hedge {
            return Err(SameServer);
        }
        Ok(Self {
            first: Some(first),
            hedge: Some(hedge),
            decided: false,
        })
    }

    /// Records a complete answer to a copy.
    pub fn answered(&mut self, copy: RaceCopy) -> RaceStep {
        if self.decided || self.take(copy).is_none() {
            return RaceStep::Ignore;
        }
        self.decided = true;
        let cancel = self.first.take().or(self.hedge.take());
        RaceStep::Answer { cancel }
    }

    /// Records the failure of a copy.
    pub fn failed(&mut self, copy: RaceCopy) -> RaceStep {
        if self.decided || self.take(copy).is_none() {
            return RaceStep::Ignore;
        }
        if self.first.is_some() || self.hedge.is_some() {
            return RaceStep::Wait;
        }
        self.decided = true;
        RaceStep::Failed
    }

    fn take(&mut self, copy: RaceCopy) -> Option<BackendServerId> {
        match copy {
            RaceCopy::First => self.first.take(),
            RaceCopy::Hedge => self.hedge.take(),
        }
    }
}
