//! Failure rate and slot time of one request class, as the null hypotheses of the two tests.

/// Memory of the two averages in seconds. The higher one counts: the fast average follows a
/// common cause within a tick, the slow one keeps a known level at low traffic.
const FAST_MEMORY_S: f64 = 1.0;
const SLOW_MEMORY_S: f64 = 30.0;

/// Weight of the slow average in the fast one, in requests.
const PRIOR_REQUESTS: f64 = 10.0;

/// Lowest failure rate that is assumed. Rarer failures come in bursts, and counting them as
/// independent would overstate the evidence.
const LOWEST_RATE: f64 = 0.005;

/// Lowest failure rate of the alternative, and its factor over the peers.
const LOWEST_FAULT_RATE: f64 = 0.2;
const FAULT_FACTOR: f64 = 4.0;
const HIGHEST_FAULT_RATE: f64 = 0.95;

/// Slow-down of the alternative. The score of a server that is slower by `s` grows for
/// `s > ln(4) / (1 - 1/4) = 1.85`, so differences between healthy servers up to this factor are
/// not found.
const SLOWDOWN: f64 = 4.0;

/// Responses from which on the slot time of a class is known.
const KNOWN_RESPONSES: f64 = 20.0;

/// Dispersion that is assumed before it is measured, and the weight of the assumption in
/// responses.
const PRIOR_DISPERSION: f64 = 1.5;
const PRIOR_EXPECTED: f64 = 50.0;

/// Memory of the dispersion, and the bound of one deviation in units of the mean.
const DISPERSION_MEMORY_S: f64 = 60.0;
const HIGHEST_DEVIATION: f64 = 8.0;

/// A sum over a number of requests.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    requests: f64,
    sum: f64,
}

impl Tally {
    fn add(&mut self, requests: f64, sum: f64) {
        self.requests += requests;
        self.sum += sum;
    }

    fn scale(&mut self, kept: f64) {
        self.requests *= kept;
        self.sum *= kept;
    }
}

/// A mean per request over all servers of a service, at three time scales.
#[derive(Debug, Clone, Copy, Default)]
struct Means {
    fast: Tally,
    slow: Tally,
    tick: Tally,
}

impl Means {
    fn decay(&mut self, elapsed_s: f64) {
        self.fast.scale((-elapsed_s / FAST_MEMORY_S).exp());
        self.slow.scale((-elapsed_s / SLOW_MEMORY_S).exp());
        self.tick = Tally::default();
    }

    /// Adds to the averages what is normal.
    fn learn(&mut self, requests: f64, sum: f64) {
        self.fast.add(requests, sum);
        self.slow.add(requests, sum);
    }

    /// Mean of the peers of a server with these outcomes in the present tick, given the slow
    /// mean.
    fn of_peers(&self, own_requests: f64, own_sum: f64, slow: f64) -> f64 {
        let requests = self.fast.requests + self.tick.requests - own_requests;
        let sum = self.fast.sum + self.tick.sum - own_sum;
        let fast = (sum + PRIOR_REQUESTS * slow) / (requests + PRIOR_REQUESTS);
        slow.max(fast)
    }
}

/// Outcomes of a request class in one tick, at one server or instance.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Outcomes {
    pub(crate) succeeded: f64,
    pub(crate) failed: f64,
    /// Responses, good or not.
    pub(crate) responses: f64,
    /// Use of the slots in slot-milliseconds; waiting requests use none.
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

/// What is normal for one request class of a service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Normal {
    failures: Means,
    slot_times: Means,
}

impl Normal {
    /// Forgets old outcomes and begins a tick.
    pub(crate) fn decay(&mut self, elapsed_s: f64) {
        self.failures.decay(elapsed_s);
        self.slot_times.decay(elapsed_s);
    }

    /// Counts the outcomes of a server in the present tick.
    pub(crate) fn observe(&mut self, outcomes: &Outcomes) {
        self.failures.tick.add(outcomes.requests(), outcomes.failed);
        self.slot_times
            .tick
            .add(outcomes.responses, outcomes.busy_ms);
    }

    /// Learns the outcomes of a server in a tick as normal.
    pub(crate) fn learn(&mut self, outcomes: &Outcomes) {
        self.failures.learn(outcomes.requests(), outcomes.failed);
        self.slot_times.learn(outcomes.responses, outcomes.busy_ms);
    }

    /// Failure rate of the peers of a server that had `own` in the present tick.
    pub(crate) fn peer_failure_rate(&self, own: &Outcomes) -> f64 {
        let slow = self.failures.slow;
        let slow = slow.sum / (slow.requests + PRIOR_REQUESTS);
        self.failures
            .of_peers(own.requests(), own.failed, slow)
            .max(LOWEST_RATE)
    }

    /// Time in milliseconds for which a response of the peers used a slot. `None` while too few
    /// are known.
    pub(crate) fn peer_slot_ms(&self, own: &Outcomes) -> Option<f64> {
        let slow = self.slot_times.slow;
        if slow.requests < KNOWN_RESPONSES {
            return None;
        }
        let slow = slow.sum / slow.requests;
        let peers = self.slot_times.of_peers(own.responses, own.busy_ms, slow);
        Some(peers.max(1.0))
    }
}

/// Variance over mean of the responses of a healthy server in a second, for a service. It is 1 for
/// exponential service times, and grows with their spread and with the error in the slots in use,
/// which are known as an average over a tick only. A second is longer than most responses, so a
/// response that uses a slot over several ticks shows in it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Dispersion {
    /// Squared deviations of the responses from their expectation.
    squares: f64,
    expected: f64,
}

impl Dispersion {
    pub(crate) fn decay(&mut self, elapsed_s: f64) {
        let kept = (-elapsed_s / DISPERSION_MEMORY_S).exp();
        self.squares *= kept;
        self.expected *= kept;
    }

    /// Counts the responses of a server in a second. The deviation is bounded so that a faulty
    /// server hardly changes the result before it is found.
    pub(crate) fn observe(&mut self, expected: f64, responses: f64) {
        let square = (responses - expected).powi(2);
        self.squares += square.min(HIGHEST_DEVIATION * expected);
        self.expected += expected;
    }

    pub(crate) fn value(&self) -> f64 {
        let squares = self.squares + PRIOR_DISPERSION * PRIOR_EXPECTED;
        (squares / (self.expected + PRIOR_EXPECTED)).max(1.0)
    }
}

/// Log-likelihood ratio of outcomes against the failure rate of the peers.
pub(crate) fn failure_ratio(outcomes: &Outcomes, peer_rate: f64) -> f64 {
    let fault_rate = (FAULT_FACTOR * peer_rate).clamp(LOWEST_FAULT_RATE, HIGHEST_FAULT_RATE);
    if fault_rate <= peer_rate {
        return 0.0;
    }
    let failure = (fault_rate / peer_rate).ln();
    let success = ((1.0 - fault_rate) / (1.0 - peer_rate)).ln();
    outcomes.failed * failure + outcomes.succeeded * success
}

/// Log-likelihood ratio of responses over the use of the slots against the slot time of the peers.
///
/// If responses come at the rate `1/slot_ms` while a slot is in use, their number is Poisson with
/// mean `busy_ms / slot_ms`, and the ratio for a rate that is lower by the factor `SLOWDOWN`
/// follows. Dividing it by the dispersion keeps `E0[exp(ratio)] <= 1` for counts with a larger
/// variance (negative binomial).
pub(crate) fn latency_ratio(outcomes: &Outcomes, slot_ms: f64, dispersion: f64) -> f64 {
    let expected = outcomes.busy_ms / slot_ms;
    let missing = expected * (1.0 - 1.0 / SLOWDOWN);
    (missing - outcomes.responses * SLOWDOWN.ln()) / dispersion
}
