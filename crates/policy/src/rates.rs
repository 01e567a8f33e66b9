//! Reference failure rate and slot time of a request class, which are the null hypotheses of the
//! two tests, and the log-likelihood ratios against them.

/// Time constant of the fast exponential average in seconds. The higher of the two averages is the
/// reference; the fast one follows a common cause within a tick.
const FAST_TIME_CONSTANT_S: f64 = 1.0;

/// Time constant of the slow exponential average in seconds. It keeps a known level at low traffic.
const SLOW_TIME_CONSTANT_S: f64 = 30.0;

/// Weight of the slow average within the fast one, in requests.
const PRIOR_REQUESTS: f64 = 10.0;

/// Lower bound of the reference failure rate. Rarer failures come in bursts, and counting them as
/// independent would overstate the evidence.
const MIN_FAILURE_RATE: f64 = 0.005;

/// Lower bound of the failure rate of a faulty server in the alternative hypothesis.
const MIN_FAULT_RATE: f64 = 0.2;

/// Failure rate of a faulty server in the alternative hypothesis, as a multiple of the rate of its
/// peers.
const FAULT_RATE_FACTOR: f64 = 4.0;

/// Upper bound of the failure rate of a faulty server in the alternative hypothesis.
const MAX_FAULT_RATE: f64 = 0.95;

/// Slow-down factor of a faulty server in the alternative hypothesis. The score of a server that is
/// slower by the factor `s` grows for `s > ln(4) / (1 - 1/4) = 1.85`, so smaller differences
/// between healthy servers raise no alarm.
const FAULT_SLOWDOWN: f64 = 4.0;

/// Decayed number of responses from which the slot time of a class counts as known.
const MIN_KNOWN_RESPONSES: f64 = 20.0;

/// Dispersion that is assumed before it is measured.
const PRIOR_DISPERSION: f64 = 1.5;

/// Weight of [`PRIOR_DISPERSION`] in expected responses.
const PRIOR_RESPONSES: f64 = 50.0;

/// Time constant of the dispersion in seconds.
const DISPERSION_TIME_CONSTANT_S: f64 = 60.0;

/// Upper bound of one squared deviation, as a multiple of the expected responses.
const MAX_SQUARED_DEVIATION_FACTOR: f64 = 8.0;

/// Exponentially decayed sum over a decayed number of requests.
#[derive(Debug, Clone, Copy, Default)]
struct WeightedSum {
    requests: f64,
    sum: f64,
}

impl WeightedSum {
    fn add(&mut self, requests: f64, sum: f64) {
        self.requests += requests;
        self.sum += sum;
    }

    fn scale(&mut self, decay_factor: f64) {
        self.requests *= decay_factor;
        self.sum *= decay_factor;
    }
}

/// Mean per request over all servers of a service, at three time scales.
#[derive(Debug, Clone, Copy, Default)]
struct Means {
    fast: WeightedSum,
    slow: WeightedSum,
    tick: WeightedSum,
}

impl Means {
    fn decay(&mut self, elapsed_s: f64) {
        self.fast.scale((-elapsed_s / FAST_TIME_CONSTANT_S).exp());
        self.slow.scale((-elapsed_s / SLOW_TIME_CONSTANT_S).exp());
        self.tick = WeightedSum::default();
    }

    /// Adds outcomes of servers that are not suspicious to the averages.
    fn learn(&mut self, requests: f64, sum: f64) {
        self.fast.add(requests, sum);
        self.slow.add(requests, sum);
    }

    /// Returns the mean over the peers of a server that contributed `own_requests` and `own_sum` to
    /// the current tick. `slow` is the slow average.
    fn peer_mean(&self, own_requests: f64, own_sum: f64, slow: f64) -> f64 {
        let requests = self.fast.requests + self.tick.requests - own_requests;
        let sum = self.fast.sum + self.tick.sum - own_sum;
        let fast = (sum + PRIOR_REQUESTS * slow) / (requests + PRIOR_REQUESTS);
        slow.max(fast)
    }
}

/// Outcomes of one request class in one tick, at one server or instance.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Outcomes {
    pub(crate) succeeded: f64,
    pub(crate) failed: f64,
    /// Responses, successful or not.
    pub(crate) responses: f64,
    /// Use of the slots in slot-milliseconds; requests that wait at the server use none.
    pub(crate) busy_ms: f64,
}

impl Outcomes {
    pub(crate) fn add(&mut self, other: &Self) {
        self.succeeded += other.succeeded;
        self.failed += other.failed;
        self.responses += other.responses;
        self.busy_ms += other.busy_ms;
    }

    fn requests(&self) -> f64 {
        self.succeeded + self.failed
    }
}

/// Reference failure rate and slot time of one request class of a service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ClassReference {
    failures: Means,
    slot_times: Means,
}

impl ClassReference {
    /// Decays earlier outcomes and begins a tick.
    pub(crate) fn decay(&mut self, elapsed_s: f64) {
        self.failures.decay(elapsed_s);
        self.slot_times.decay(elapsed_s);
    }

    /// Counts the outcomes of a server in the current tick.
    pub(crate) fn observe(&mut self, outcomes: &Outcomes) {
        self.failures.tick.add(outcomes.requests(), outcomes.failed);
        self.slot_times
            .tick
            .add(outcomes.responses, outcomes.busy_ms);
    }

    /// Adds the outcomes of a server in a tick to the long-term averages.
    pub(crate) fn learn(&mut self, outcomes: &Outcomes) {
        self.failures.learn(outcomes.requests(), outcomes.failed);
        self.slot_times.learn(outcomes.responses, outcomes.busy_ms);
    }

    /// Returns the failure rate of the peers of a server with outcomes `own` in the current tick.
    pub(crate) fn peer_failure_rate(&self, own: &Outcomes) -> f64 {
        let slow = self.failures.slow;
        let slow = slow.sum / (slow.requests + PRIOR_REQUESTS);
        self.failures
            .peer_mean(own.requests(), own.failed, slow)
            .max(MIN_FAILURE_RATE)
    }

    /// Returns the time in milliseconds for which a response of the peers used a slot; `None` while
    /// too few responses are known.
    pub(crate) fn peer_slot_ms(&self, own: &Outcomes) -> Option<f64> {
        let slow = self.slot_times.slow;
        if slow.requests < MIN_KNOWN_RESPONSES {
            return None;
        }
        let slow = slow.sum / slow.requests;
        let peers = self.slot_times.peer_mean(own.responses, own.busy_ms, slow);
        Some(peers.max(1.0))
    }
}

/// Index of dispersion (variance over mean) of the responses of a healthy server per second, for
/// one service.
///
/// It is 1 for exponential service times. It grows with their spread and with the error in the
/// number of slots in use, which is known only as an average over a tick. A second is longer than
/// most responses, so that a response that uses a slot over several ticks is reflected in it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Dispersion {
    /// Decayed sum of the squared deviations of the responses from their expected number.
    squared_deviations: f64,
    expected: f64,
}

impl Dispersion {
    pub(crate) fn decay(&mut self, elapsed_s: f64) {
        let decay_factor = (-elapsed_s / DISPERSION_TIME_CONSTANT_S).exp();
        self.squared_deviations *= decay_factor;
        self.expected *= decay_factor;
    }

    /// Counts the responses of a server in one second. The deviation is bounded so that a faulty
    /// server hardly changes the result before it is detected.
    pub(crate) fn observe(&mut self, expected: f64, responses: f64) {
        let square = (responses - expected).powi(2);
        self.squared_deviations += square.min(MAX_SQUARED_DEVIATION_FACTOR * expected);
        self.expected += expected;
    }

    pub(crate) fn value(&self) -> f64 {
        let squared_deviations = self.squared_deviations + PRIOR_DISPERSION * PRIOR_RESPONSES;
        (squared_deviations / (self.expected + PRIOR_RESPONSES)).max(1.0)
    }
}

/// Returns the log-likelihood ratio of outcomes for a faulty server against the failure rate of the
/// peers.
pub(crate) fn failure_log_ratio(outcomes: &Outcomes, peer_rate: f64) -> f64 {
    let fault_rate = (FAULT_RATE_FACTOR * peer_rate).clamp(MIN_FAULT_RATE, MAX_FAULT_RATE);
    if fault_rate <= peer_rate {
        return 0.0;
    }
    let failure = (fault_rate / peer_rate).ln();
    let success = ((1.0 - fault_rate) / (1.0 - peer_rate)).ln();
    outcomes.failed * failure + outcomes.succeeded * success
}

/// Returns the log-likelihood ratio of the responses, given the use of the slots, for a faulty
/// server against the slot time of the peers.
///
/// If responses come at the rate `1/slot_ms` while a slot is in use, their number is Poisson with
/// mean `busy_ms / slot_ms`. The ratio for a rate that is lower by the factor `FAULT_SLOWDOWN`
/// follows from this. Dividing it by the dispersion keeps `E0[exp(ratio)] <= 1` for counts with a
/// larger variance (negative binomial).
pub(crate) fn latency_log_ratio(outcomes: &Outcomes, slot_ms: f64, dispersion: f64) -> f64 {
    let expected = outcomes.busy_ms / slot_ms;
    let missing = expected * (1.0 - 1.0 / FAULT_SLOWDOWN);
    (missing - outcomes.responses * FAULT_SLOWDOWN.ln()) / dispersion
}
