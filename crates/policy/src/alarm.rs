//! Decides when the pooled evidence about a server suffices, and whether it points at the server
//! or at a path.

use std::collections::BTreeMap;

use radishpaddle_model::InstanceId;

use crate::explanation::{Cause, Evidence, Finding};
use crate::key::ServerKey;
use crate::pooled_evidence::{Connectivity, Mode, PooledEvidence, Reporter};

/// Threshold for a server that returns. It was ejected before, so less evidence suffices.
const RAMP_THRESHOLD: f64 = 10.0;

/// Part of the threshold that must remain without the instance that contributes most.
const INSTANCE_CORROBORATION_FRACTION: f64 = 0.3;

/// The same for the availability zone that contributes most. It is lower because a server with
/// three slots often has all its requests in flight from one zone.
const ZONE_CORROBORATION_FRACTION: f64 = 0.2;

/// Share of the requests of the others up to which less is required of them, since they have
/// little evidence to give.
const FULL_CORROBORATION_SHARE: f64 = 0.5;

/// Least score that is required of the others.
const MIN_CORROBORATION_SCORE: f64 = 1.0;

/// Part of the threshold that the median of the peers may reach. Above it the cause is common.
const COMMON_CAUSE_FRACTION: f64 = 0.5;

/// Lowest failure rate for an ejection, and its factor over the peers.
const MIN_FAILURE_RATE: f64 = 0.1;
const MIN_FAILURE_RATE_FACTOR: f64 = 3.0;

/// Lowest slow-down for an ejection, as a factor of the slot time.
const MIN_SLOWDOWN: f64 = 2.0;

/// Lowest slow-down in milliseconds, above the differences between availability zones.
const MIN_SLOWDOWN_MS: f64 = 10.0;

/// Decayed requests from which on an instance counts as one that uses the service.
const MIN_ACTIVE_REQUESTS: f64 = 0.5;

/// Median over the peers of a server.
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

    /// Median of the values of the others, 0 when there are none.
    pub(crate) fn others(&self, server: ServerKey) -> f64 {
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

/// A test that was passed.
#[derive(Debug)]
pub(crate) struct Alarm {
    server: ServerKey,
    /// Instance whose path is at fault, `None` for the server.
    instance: Option<u64>,
    evidence: Evidence,
}

impl Alarm {
    /// Server and instance of a path fault.
    pub(crate) fn path(&self) -> Option<(ServerKey, u64)> {
        self.instance.map(|instance| (self.server, instance))
    }

    pub(crate) fn cause(&self) -> Cause {
        self.evidence.cause
    }

    /// The finding; `None` when the instance of a path fault is no longer known.
    pub(crate) fn finding(self, id: impl Fn(u64) -> Option<InstanceId>) -> Option<Finding> {
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

/// Who is at fault.
enum FaultLocation {
    Server,
    /// The path from this instance.
    Path(u64),
    /// The evidence does not tell yet.
    Undetermined,
}

/// Scores of one test at all servers of a service.
struct ServiceTest<'a> {
    cause: Cause,
    medians: PeerMedian,
    peers: u32,
    threshold: f64,
    tick: u64,
    /// Whether only one instance uses the service, so that no other can confirm a fault.
    single_instance: bool,
    pool: &'a [&'a PooledEvidence],
}

/// Checks both tests at all servers of one service.
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
        let common = self.medians.others(pooled.server).max(0.0);
        let total = score(pooled, self.cause) - common;
        if total < threshold || common > COMMON_CAUSE_FRACTION * threshold {
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
        let instance = match self.locate_fault(pooled, &partitioned, common, threshold) {
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
        common: f64,
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
        let is_enough = parts.sum::<f64>() - common >= threshold;
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
        if is_enough && by_instance && by_zone {
            return FaultLocation::Server;
        }
        self.worst_path(pooled, partitioned, threshold)
            .map_or(FaultLocation::Undetermined, FaultLocation::Path)
    }

    /// Whether enough evidence remains without the group that contributes most. With a single
    /// group there are no others to ask.
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
        let others = (requests - worst.1) / requests.max(1.0);
        if others <= 0.0 && group(reporters[0]) == 0 {
            return true;
        }
        let needed = required * (others / FULL_CORROBORATION_SHARE).min(1.0);
        score >= needed.max(MIN_CORROBORATION_SCORE)
    }

    /// The instance that contributes most, if its evidence alone would be enough from others.
    /// Either the server works for others while this instance is cut off, or the others have no
    /// evidence; while they have some, more of it decides.
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
        let others = parts.iter().map(|part| part.0).sum::<f64>() - worst.0;
        let is_path = partitioned.contains(&worst.1) || others < MIN_CORROBORATION_SCORE;
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

/// Whether the effect is large enough to matter, apart from being significant.
fn has_minimum_effect(evidence: &Evidence) -> bool {
    match evidence.cause {
        Cause::Failures => {
            let least = MIN_FAILURE_RATE_FACTOR * evidence.peer_failure_rate;
            // A rate above 90 % of the peers cannot be exceeded by a factor of three.
            evidence.failure_rate >= MIN_FAILURE_RATE.max(least.min(0.9))
        }
        Cause::Latency => {
            let least = evidence.peer_slot_ms * MIN_SLOWDOWN;
            let excess = evidence.slot_ms - evidence.peer_slot_ms;
            evidence.slot_ms >= least && excess >= MIN_SLOWDOWN_MS
        }
    }
}
