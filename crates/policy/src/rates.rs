//! Failure rate of one request class, as the null hypothesis of the failure test.

/// Memory of the two averages in seconds. The higher one counts: the fast average follows a
/// common cause within a tick, the slow one keeps a known level at low traffic.
const FAST_MEMORY_S: f64 = 1.0;
const SLOW_MEMORY_S: f64 = 30.0;

/// Lowest failure rate that is assumed. Rarer failures come in bursts, and counting them as
/// independent would overstate the evidence.
const LOWEST_RATE: f64 = 0.005;

/// Weight of the slow average in the fast one, in requests.
const PRIOR_REQUESTS: f64 = 10.0;

/// Lowest failure rate of the alternative, and its factor over the peers.
const LOWEST_FAULT_RATE: f64 = 0.2;
const FAULT_FACTOR: f64 = 4.0;
const HIGHEST_FAULT_RATE: f64 = 0.95;

#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    requests: f64,
    failures: f64,
}

impl Tally {
    fn add(&mut self, requests: f64, failures: f64) {
        self.requests += requests;
        self.failures += failures;
    }

    fn decay(&mut self, elapsed_s: f64, memory_s: f64) {
        let kept = (-elapsed_s / memory_s).exp();
        self.requests *= kept;
        self.failures *= kept;
    }
}

/// Failures of one request class over all servers of a service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FailureRates {
    fast: Tally,
    slow: Tally,
    tick: Tally,
}

impl FailureRates {
    pub(crate) fn decay(&mut self, elapsed_s: f64) {
        self.fast.decay(elapsed_s, FAST_MEMORY_S);
        self.slow.decay(elapsed_s, SLOW_MEMORY_S);
        self.tick = Tally::default();
    }

    /// Counts the outcomes of a server in the present tick.
    pub(crate) fn observe(&mut self, requests: f64, failures: f64) {
        self.tick.add(requests, failures);
    }

    /// Adds outcomes to the averages.
    pub(crate) fn learn(&mut self, requests: f64, failures: f64) {
        self.fast.add(requests, failures);
        self.slow.add(requests, failures);
    }

    /// Failure rate of the peers of a server that had these outcomes in the present tick.
    pub(crate) fn peer_rate(&self, own_requests: f64, own_failures: f64) -> f64 {
        let slow = self.slow.failures / (self.slow.requests + PRIOR_REQUESTS);
        let requests = self.fast.requests + self.tick.requests - own_requests;
        let failures = self.fast.failures + self.tick.failures - own_failures;
        let fast = (failures + PRIOR_REQUESTS * slow) / (requests + PRIOR_REQUESTS);
        slow.max(fast).max(LOWEST_RATE)
    }
}

/// Log-likelihood ratio of outcomes against the failure rate of the peers.
pub(crate) fn failure_ratio(succeeded: f64, failed: f64, peer_rate: f64) -> f64 {
    let fault_rate = (FAULT_FACTOR * peer_rate).clamp(LOWEST_FAULT_RATE, HIGHEST_FAULT_RATE);
    if fault_rate <= peer_rate {
        return 0.0;
    }
    let failure = (fault_rate / peer_rate).ln();
    let success = ((1.0 - fault_rate) / (1.0 - peer_rate)).ln();
    failed * failure + succeeded * success
}
