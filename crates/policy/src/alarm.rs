//! Decides whether the pooled evidence about a server suffices for an alarm, and whether the server
//! or a path is at fault.

use std::collections::BTreeMap;

use radishpaddle_model::InstanceId;

use crate::explanation::{Cause, Evidence, Finding};
use crate::key::ServerKey;
use crate::pooled_evidence::{Connectivity, Mode, PooledEvidence, Reporter};

/// Threshold for a server that returns to rotation. It was ejected before, so less evidence
/// suffices.
const RAMP_THRESHOLD: f64 = 10.0;

/// Fraction of the threshold that must remain without the instance that contributes most.
const INSTANCE_CORROBORATION_FRACTION: f64 = 0.3;

/// Fraction of the threshold that must remain without the availability zone that contributes most.
/// It is lower than for instances because a server with three slots often has all its requests in
/// flight from one zone.
const ZONE_CORROBORATION_FRACTION: f64 = 0.2;

/// Share of the requests from which the other instances or zones must provide the full fraction.
/// With a smaller share they have little evidence, and the requirement decreases in proportion.
const FULL_CORROBORATION_SHARE: f64 = 0.5;

/// Minimum score that is required of the other instances or zones.
const MIN_CORROBORATION_SCORE: f64 = 1.0;

/// Fraction of the threshold above which the median score of the peers indicates a common cause.
const COMMON_CAUSE_FRACTION: f64 = 0.5;

/// Minimum failure rate for an alarm.
const MIN_FAILURE_RATE: f64 = 0.1;

/// Minimum failure rate for an alarm, as a multiple of the rate of the peers.
const MIN_FAILURE_RATE_FACTOR: f64 = 3.0;

/// Minimum slow-down for an alarm, as a multiple of the slot time of the peers.
const MIN_SLOWDOWN: f64 = 2.0;

/// Minimum slow-down for an alarm in milliseconds. It is above the differences between availability
/// zones.
const MIN_SLOWDOWN_MS: f64 = 10.0;

/// Decayed number of requests above which an instance counts as using the service.
const MIN_ACTIVE_REQUESTS: f64 = 0.5;

/// Median of a value over the peers of a server.
pub(crate) struct PeerMedian {
    values: Vec<(f64, ServerKey)>,
}

impl PeerMedian {
    pub(crate) fn new(values: &[(ServerKey, f64)]) -> Self {
        let mut values: Vec<(f64, ServerKey)> = values
            .iter()
            .map(|(server, value)| (*value, *server))
            .collect();
        values.sort_by(|left, right| left.0.total_cmp(&right.0));
        Self { values }
    }

    /// Returns the median over all servers but `server`, or 0 when there are no others.
    pub(crate) fn median_of_others(&self, server: ServerKey) -> f64 {
        let own = self.values.iter().position(|value| value.1 == server);
        let count = self.values.len() - usize::from(own.is_some());
        if count == 0 {
            return 0.0;
        }
        let at = |index: usize| {
            let skipped = own.is_some_and(|own| index >= own);
            self.values[index + usize::from(skipped)].0
        };
        f64::midpoint(at((count - 1) / 2), at(count / 2))
    }
}

/// Sufficient evidence for a fault of a server or of a path to it.
#[derive(Debug)]
pub(crate) struct Alarm {
    server: ServerKey,
    /// Instance whose path is at fault; `None` if the server is.
    instance: Option<u64>,
    evidence: Evidence,
}

impl Alarm {
    /// Returns the server and the instance of a path fault.
    pub(crate) fn faulty_path(&self) -> Option<(ServerKey, u64)> {
        self.instance.map(|instance| (self.server, instance))
    }

    pub(crate) fn cause(&self) -> Cause {
        self.evidence.cause
    }

    /// Converts the alarm into a finding; `None` when the instance of a path fault is no longer
    /// known.
    pub(crate) fn into_finding(self, id: impl Fn(u64) -> Option<InstanceId>) -> Option<Finding> {
        let (server, evidence) = (self.server, self.evidence);
        match self.instance {
            None => Some(Finding::Server { server, evidence }),
            Some(key) => id(key).map(|instance| Finding::Path {
                server,
                instance,
                evidence,
            }),
        }
    }
}

/// Location of a fault.
enum FaultLocation {
    Server,
    /// Path from this instance to the server.
    Path(u64),
    /// The evidence does not distinguish the server from a path yet.
    Undetermined,
}

/// Scores of one test at all servers of a service.
struct ServiceTest<'a> {
    cause: Cause,
    medians: PeerMedian,
    peers: u32,
    threshold: f64,
    tick: u64,
    /// Whether only one instance uses the service, so that no other can corroborate a fault.
    single_instance: bool,
    pool: &'a [&'a PooledEvidence],
}

/// Runs both tests on all servers of one service.
pub(crate) fn run_tests(pool: &[&PooledEvidence], threshold: f64, tick: u64) -> Vec<Alarm> {
    if pool.len() < 2 {
        return Vec::new();
    }
    let single_instance = is_used_by_one_instance(pool);
    let mut alarms = Vec::new();
    for cause in [Cause::Failures, Cause::Latency] {
        let test = ServiceTest::new(pool, cause, threshold, tick, single_instance);
        alarms.extend(test.alarms());
    }
    alarms
}

fn is_used_by_one_instance(pool: &[&PooledEvidence]) -> bool {
    let reporters = pool.iter().flat_map(|pooled| &pooled.reporters);
    let mut active = reporters.filter(|reporter| reporter.requests() > MIN_ACTIVE_REQUESTS);
    let first = active.next().map(|reporter| reporter.instance);
    active.all(|reporter| Some(reporter.instance) == first)
}

fn score(pooled: &PooledEvidence, cause: Cause) -> f64 {
    match cause {
        Cause::Failures => pooled.failure.score,
        Cause::Latency => pooled.latency_score(),
    }
}

fn contribution(reporter: &Reporter, cause: Cause) -> f64 {
    match cause {
        Cause::Failures => reporter.failure_score,
        Cause::Latency => reporter.latency_score,
    }
}

impl<'a> ServiceTest<'a> {
    fn new(
        pool: &'a [&'a PooledEvidence],
        cause: Cause,
        threshold: f64,
        tick: u64,
        single_instance: bool,
    ) -> Self {
        let in_rotation = pool.iter().filter(|pooled| pooled.mode == Mode::Rotation);
        let scores: Vec<(ServerKey, f64)> = in_rotation
            .map(|pooled| (pooled.server, score(pooled, cause)))
            .collect();
        Self {
            cause,
            peers: u32::try_from(scores.len()).unwrap_or(u32::MAX),
            medians: PeerMedian::new(&scores),
            threshold,
            tick,
            single_instance,
            pool,
        }
    }

    fn alarms(&self) -> Vec<Alarm> {
        self.pool
            .iter()
            .filter_map(|pooled| self.alarm(pooled))
            .collect()
    }

    fn alarm(&self, pooled: &PooledEvidence) -> Option<Alarm> {
        let threshold = match pooled.mode {
            Mode::Rotation => self.threshold,
            Mode::Ramp => RAMP_THRESHOLD,
            Mode::Ejected | Mode::Trial => return None,
        };
        let common_score = self.medians.median_of_others(pooled.server).max(0.0);
        let total = score(pooled, self.cause) - common_score;
        if total < threshold || common_score > COMMON_CAUSE_FRACTION * threshold {
            return None;
        }
        let evidence = self.evidence(pooled, total, threshold);
        if !has_minimum_effect(&evidence) {
            return None;
        }
        let mut partitioned = match pooled.connectivity(self.tick) {
            Connectivity::Undecided if !self.single_instance => return None,
            Connectivity::Partial(instances) => instances,
            _ => Vec::new(),
        };
        if self.cause == Cause::Latency {
            partitioned.extend(pooled.unanswered_instances());
        }
        let instance = match self.locate_fault(pooled, &partitioned, common_score, threshold) {
            FaultLocation::Server => None,
            FaultLocation::Path(instance) => Some(instance),
            FaultLocation::Undetermined => return None,
        };
        Some(Alarm {
            server: pooled.server,
            instance,
            evidence,
        })
    }

    fn locate_fault(
        &self,
        pooled: &PooledEvidence,
        partitioned: &[u64],
        common_score: f64,
        threshold: f64,
    ) -> FaultLocation {
        if self.single_instance {
            return FaultLocation::Server;
        }
        let counted: Vec<&Reporter> = pooled
            .reporters
            .iter()
            .filter(|reporter| !partitioned.contains(&reporter.instance))
            .collect();
        let parts = counted
            .iter()
            .map(|reporter| contribution(reporter, self.cause));
        let exceeds_threshold = parts.sum::<f64>() - common_score >= threshold;
        let by_instance = self.is_corroborated(
            &counted,
            INSTANCE_CORROBORATION_FRACTION * threshold,
            |reporter| reporter.instance,
        );
        let by_zone = self.is_corroborated(
            &counted,
            ZONE_CORROBORATION_FRACTION * threshold,
            |reporter| reporter.zone,
        );
        if exceeds_threshold && by_instance && by_zone {
            return FaultLocation::Server;
        }
        self.worst_path(pooled, partitioned, threshold)
            .map_or(FaultLocation::Undetermined, FaultLocation::Path)
    }

    /// Returns whether enough evidence remains without the group that contributes most. Reporters
    /// of unknown zone form one group; without any other group, the zones are not required to
    /// corroborate.
    fn is_corroborated(
        &self,
        reporters: &[&Reporter],
        required: f64,
        group: impl Fn(&Reporter) -> u64,
    ) -> bool {
        let mut groups: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
        for reporter in reporters {
            let sums = groups.entry(group(reporter)).or_default();
            sums.0 += contribution(reporter, self.cause);
            sums.1 += reporter.requests();
        }
        let by_score = |left: &&(f64, f64), right: &&(f64, f64)| left.0.total_cmp(&right.0);
        let Some(worst) = groups.values().max_by(by_score) else {
            return false;
        };
        let score: f64 = groups.values().map(|sums| sums.0).sum::<f64>() - worst.0;
        let requests: f64 = groups.values().map(|sums| sums.1).sum();
        let other_share = (requests - worst.1) / requests.max(1.0);
        if other_share <= 0.0 && group(reporters[0]) == 0 {
            return true;
        }
        let needed = required * (other_share / FULL_CORROBORATION_SHARE).min(1.0);
        score >= needed.max(MIN_CORROBORATION_SCORE)
    }

    /// Returns the instance that contributes most if its path is at fault: it is partitioned from a
    /// server that works for others, or the others have no evidence against the server. If the
    /// others have some, the decision waits for more evidence.
    fn worst_path(
        &self,
        pooled: &PooledEvidence,
        partitioned: &[u64],
        threshold: f64,
    ) -> Option<u64> {
        let parts: Vec<(f64, u64)> = pooled
            .reporters
            .iter()
            .map(|reporter| (contribution(reporter, self.cause), reporter.instance))
            .collect();
        let worst = parts
            .iter()
            .max_by(|left, right| left.0.total_cmp(&right.0))?;
        let other_score = parts.iter().map(|part| part.0).sum::<f64>() - worst.0;
        let is_path = partitioned.contains(&worst.1) || other_score < MIN_CORROBORATION_SCORE;
        (is_path && worst.0 >= INSTANCE_CORROBORATION_FRACTION * threshold).then_some(worst.1)
    }

    fn evidence(&self, pooled: &PooledEvidence, score: f64, threshold: f64) -> Evidence {
        let requests = match self.cause {
            Cause::Failures => pooled.failure.requests,
            Cause::Latency => pooled.latency.requests,
        };
        let reporters = pooled
            .reporters
            .iter()
            .filter(|reporter| contribution(reporter, self.cause) > 0.0);
        Evidence {
            cause: self.cause,
            requests,
            failure_rate: pooled.failure.mean(),
            peer_failure_rate: pooled.peer_failure_rate,
            slot_ms: pooled.latency.mean(),
            peer_slot_ms: pooled.peer_slot_ms,
            score,
            threshold,
            reporters: u32::try_from(reporters.count()).unwrap_or(u32::MAX),
            peers: self.peers.saturating_sub(1),
        }
    }
}

/// Returns whether the effect is large enough to matter, apart from being significant.
fn has_minimum_effect(evidence: &Evidence) -> bool {
    match evidence.cause {
        Cause::Failures => {
            let least = MIN_FAILURE_RATE_FACTOR * evidence.peer_failure_rate;
            // The bound of 0.9 keeps the requirement reachable: with peers above 30 %, three times
            // their rate would approach or exceed 100 %.
            evidence.failure_rate >= MIN_FAILURE_RATE.max(least.min(0.9))
        }
        Cause::Latency => {
            let least = evidence.peer_slot_ms * MIN_SLOWDOWN;
            let excess = evidence.slot_ms - evidence.peer_slot_ms;
            evidence.slot_ms >= least && excess >= MIN_SLOWDOWN_MS
        }
    }
}
