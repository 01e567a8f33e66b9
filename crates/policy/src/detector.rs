//! Detection of gray failures from the evidence of all entry instances.
//!
//! # Tests
//!
//! Each server has two cumulative-sum tests (Page 1954), one for failures and one for latency. Each
//! tick adds the logarithm of the likelihood ratio between "faulty" and "like its peers"; the sum
//! restarts when it falls to zero.
//!
//! Failures are Bernoulli trials against the failure rate of the peers in the same request class.
//! Latency compares the number of responses with the use of the slots: while `k` slots are in use,
//! a healthy server responds at the rate `k / slot time of the peers`. Requests above the slot
//! count wait at the server and use no slot, so neither load nor queueing is mistaken for slowness,
//! and a server that never answers is detected without a single service time. The peers are
//! measured in the same second; if all servers slow down or fail together, the null hypothesis
//! follows them.
//!
//! # False-alarm bound
//!
//! Under the null hypothesis `E[exp(ratio)] <= 1` for each increment, so by Ville's inequality a
//! sum that starts at zero ever reaches `h` with probability at most `exp(-h)`. The test may start
//! anew with each request (Lorden 1971), so `n` requests raise at most `n * exp(-h)` false alarms
//! in expectation. With `n` requests per hour in the fleet and the two tests,
//! `h = ln(2 * n / 0.01)` bounds the false alarms of the whole fleet at 0.01 per hour. At 800
//! requests/s this is 20.2, at 190,000 requests/s it is 25.6. For the latency test the bound
//! assumes counts whose variance is the mean times the measured dispersion. Correlated events, such
//! as a pause that affects all slots of a server at once, are not covered by the bound. Against
//! them, an alarm also requires evidence from several instances and zones, and a minimum effect.
//!
//! # Cost
//!
//! A tick costs one step per received cell, with at most 24 comparisons to find the reporter, and
//! one step per known server and reporter. Memory is at most 3 KB for a server with 24 reporters,
//! 200 bytes for a request class and 150 bytes for a cell of the current tick.

use std::time::Duration;

use radishpaddle_model::{AvailabilityZone, Incarnation, InstanceId};

use crate::alarm;
use crate::evidence::{DRAIN_PERIOD, EvidenceCell};
use crate::explanation::Finding;
use crate::key::{KeyMap, RequestClass, ServerKey, ServiceKey, instance_key, zone_key};
use crate::pooled_evidence::{Mode, Origin, PooledEvidence, TrialResult};
use crate::rates::{ClassReference, Dispersion, Outcomes};
use crate::scoring::{cell_outcomes, is_suspicious, score_failures, score_latency, score_trial};

/// False alarms per hour in the whole fleet that the threshold permits.
const FALSE_ALARMS_PER_HOUR: f64 = 0.01;

/// Bounds of the threshold. The lower one applies to a fleet without traffic, the upper one beyond
/// the planned size of the fleet.
const THRESHOLD_BOUNDS: (f64, f64) = (18.0, 28.0);

/// Time constant of the decay of the scores, in seconds. Evidence that is minutes old says nothing
/// about the current state of a server.
const SCORE_TIME_CONSTANT_S: f64 = 60.0;

/// Time after the start of a server for which its latency is not scored.
pub const COLD_START_PERIOD: Duration = Duration::from_secs(10);

/// Time constant of the average request rate that sets the threshold, in seconds.
const REQUEST_RATE_TIME_CONSTANT_S: f64 = 10.0;

/// Duration that is assumed for the first tick.
const NOMINAL_TICK_PERIOD: Duration = DRAIN_PERIOD;

/// Number of ticks over which one sample of the dispersion is measured; about one second.
const TICKS_PER_DISPERSION_SAMPLE: u64 = 4;

/// Time after which an instance that does not report no longer counts with its requests in flight.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of cells per tick. 710 instances with 67 requests each per tick send 48,000.
pub const MAX_PENDING_CELLS: usize = 200_000;

/// Time in seconds after which a request class without requests may be evicted.
const CLASS_IDLE_TIMEOUT_S: f64 = 600.0;

/// Number of request classes above which idle classes are evicted.
const MAX_CLASSES: usize = 16_384;

/// Backend server as the leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerInfo {
    /// Backend server.
    pub server: ServerKey,
    /// Service of the backend server.
    pub service: ServiceKey,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server takes no new requests.
    pub draining: bool,
    /// Incarnation of the server. A new incarnation clears the evidence.
    pub incarnation: Incarnation,
    /// Time of the first announcement of this incarnation; `Duration::ZERO` if it is unknown.
    pub announced_at: Duration,
}

#[derive(Debug, Default)]
struct ServiceState {
    members: Vec<ServerKey>,
    dispersion: Dispersion,
}

#[derive(Debug)]
struct ClassState {
    reference: ClassReference,
    idle_s: f64,
}

#[derive(Debug)]
struct PendingCell {
    origin: Origin,
    service: ServiceKey,
    cell: EvidenceCell,
}

#[derive(Debug)]
struct InstanceState {
    id: InstanceId,
    reported_at: Duration,
    in_flight: Vec<(ServerKey, u32)>,
}

/// Pools the cells of all entry instances and detects faulty servers and paths.
#[derive(Debug)]
pub struct Detector {
    servers: KeyMap<ServerKey, PooledEvidence>,
    services: KeyMap<ServiceKey, ServiceState>,
    classes: KeyMap<(ServiceKey, RequestClass), ClassState>,
    instances: KeyMap<u64, InstanceState>,
    pending: Vec<PendingCell>,
    tick: u64,
    last_tick_at: Option<Duration>,
    requests_per_s: f64,
}

impl Default for Detector {
    fn default() -> Self {
        Self::new()
    }
}

impl Detector {
    /// Creates a detector without evidence.
    #[must_use]
    pub fn new() -> Self {
        Self {
            servers: KeyMap::default(),
            services: KeyMap::default(),
            classes: KeyMap::default(),
            instances: KeyMap::default(),
            pending: Vec::new(),
            tick: 1,
            last_tick_at: None,
            requests_per_s: 0.0,
        }
    }

    /// Adds or updates a server. A new incarnation clears its evidence.
    pub fn put_server(&mut self, info: &ServerInfo) {
        let members = &mut self.services.entry(info.service).or_default().members;
        if let Err(at) = members.binary_search(&info.server) {
            members.insert(at, info.server);
        }
        let pooled = self
            .servers
            .entry(info.server)
            .or_insert_with(|| PooledEvidence::new(info.server, info.service));
        pooled.slots = info.slots.max(1);
        if pooled.incarnation != info.incarnation {
            pooled.incarnation = info.incarnation;
            pooled.clear();
        }
        if info.announced_at > Duration::ZERO {
            pooled.cold_until = info.announced_at + COLD_START_PERIOD;
        }
    }

    /// Removes a server and its pending cells.
    pub fn remove_server(&mut self, server: ServerKey) {
        let Some(pooled) = self.servers.remove(&server) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&pooled.service) {
            service.members.retain(|member| *member != server);
        }
        self.pending.retain(|entry| entry.cell.server != server);
    }

    /// Clears the evidence about a server, for example because its crash was charged to a poison
    /// request.
    pub fn clear_evidence(&mut self, server: ServerKey) {
        if let Some(pooled) = self.servers.get_mut(&server) {
            pooled.clear();
        }
    }

    /// Sets how the requests of a server are scored. A change of the mode clears its evidence.
    pub(crate) fn set_mode(&mut self, server: ServerKey, mode: Mode) {
        let pooled = self.servers.get_mut(&server);
        if let Some(pooled) = pooled.filter(|pooled| pooled.mode != mode) {
            pooled.mode = mode;
            pooled.clear();
        }
    }

    /// Clears the counts of trial requests.
    pub(crate) fn reset_trial(&mut self, server: ServerKey) {
        if let Some(pooled) = self.servers.get_mut(&server) {
            pooled.trial = TrialResult::default();
        }
    }

    /// Returns the instances whose last report contains requests of a service, in ascending order.
    pub(crate) fn instances_using(&self, service: ServiceKey) -> Vec<InstanceId> {
        let has_requests = |instance: &&InstanceState| {
            let mut servers = instance.in_flight.iter();
            servers.any(|entry| {
                let pooled = self.servers.get(&entry.0);
                pooled.is_some_and(|pooled| pooled.service == service)
            })
        };
        let mut users: Vec<InstanceId> = self
            .instances
            .values()
            .filter(has_requests)
            .map(|instance| instance.id.clone())
            .collect();
        users.sort_unstable();
        users
    }

    /// Returns the result of the trial requests since the trial began.
    pub(crate) fn trial_result(&self, server: ServerKey) -> TrialResult {
        self.servers
            .get(&server)
            .map(|pooled| pooled.trial)
            .unwrap_or_default()
    }

    /// Returns the requests that the whole fleet has in flight at a server, from the last report of
    /// each instance.
    #[must_use]
    pub fn in_flight(&self, server: ServerKey) -> u32 {
        self.servers
            .get(&server)
            .map_or(0, |pooled| pooled.in_flight)
    }

    /// Returns the requests that all instances other than `instance` have in flight at a server.
    #[must_use]
    pub fn others_in_flight(&self, instance: &InstanceId, server: ServerKey) -> u32 {
        let known = self.instances.get(&instance_key(instance));
        let entries = known.into_iter().flat_map(|known| &known.in_flight);
        let own: u32 = entries
            .filter(|entry| entry.0 == server)
            .map(|entry| entry.1)
            .sum();
        self.in_flight(server).saturating_sub(own)
    }

    /// Returns the current threshold of the tests. It grows with the request rate of the fleet.
    #[must_use]
    pub fn threshold(&self) -> f64 {
        let tests_per_hour = 2.0 * self.requests_per_s * 3600.0;
        let threshold = (tests_per_hour / FALSE_ALARMS_PER_HOUR).max(1.0).ln();
        threshold.clamp(THRESHOLD_BOUNDS.0, THRESHOLD_BOUNDS.1)
    }

    /// Queues the cells of one drain period of an instance for the next tick. Cells of unknown
    /// servers are ignored, and cells above [`MAX_PENDING_CELLS`] per tick are dropped.
    ///
    /// `zone` is the availability zone of the instance. It distinguishes a partition between zones
    /// from a fault of the server.
    pub fn report(
        &mut self,
        instance: &InstanceId,
        zone: Option<&AvailabilityZone>,
        cells: Vec<EvidenceCell>,
        now: Duration,
    ) {
        let key = instance_key(instance);
        let origin = Origin {
            instance: key,
            zone: zone.map_or(0, zone_key),
        };
        self.clear_in_flight(key);
        let mut in_flight = Vec::with_capacity(cells.len());
        for cell in cells {
            let Some(pooled) = self.servers.get_mut(&cell.server) else {
                continue;
            };
            pooled.in_flight = pooled.in_flight.saturating_add(cell.in_flight);
            in_flight.push((cell.server, cell.in_flight));
            if self.pending.len() < MAX_PENDING_CELLS {
                self.pending.push(PendingCell {
                    origin,
                    service: pooled.service,
                    cell,
                });
            }
        }
        let state = InstanceState {
            id: instance.clone(),
            reported_at: now,
            in_flight,
        };
        self.instances.insert(key, state);
    }

    /// Ends a tick: pools the reported cells and returns the faults that they show. The caller runs
    /// it every 250 ms.
    pub fn tick(&mut self, now: Duration) -> Vec<Finding> {
        let since = self
            .last_tick_at
            .map_or(NOMINAL_TICK_PERIOD, |at| now.saturating_sub(at));
        self.last_tick_at = Some(now);
        self.tick += 1;
        self.decay(since.as_secs_f64());
        self.expire_silent_instances(now);
        let mut pending = std::mem::take(&mut self.pending);
        // Sorted by server, so that the state of a server is loaded once. The order also makes the
        // sums independent of the order of the reports.
        pending.sort_unstable_by_key(|entry| {
            (entry.cell.server, entry.cell.class, entry.origin.instance)
        });
        let mut services: Vec<ServiceKey> = pending.iter().map(|entry| entry.service).collect();
        services.sort_unstable();
        services.dedup();
        self.measure_slot_use(&pending, since.as_secs_f64());
        let tick_outcomes = self.observe(&pending, since.as_secs_f64());
        let mut groups = tick_outcomes.iter().peekable();
        for entry in &pending {
            let key = (entry.cell.server, entry.cell.class);
            while groups.next_if(|group| group.0 < key).is_some() {}
            if let Some(group) = groups.peek().filter(|group| group.0 == key) {
                self.score_cell(entry, &group.1, now);
            }
        }
        self.servers
            .values_mut()
            .for_each(PooledEvidence::restart_non_positive_tests);
        self.update_references(&tick_outcomes, &services);
        self.update_dispersion(&tick_outcomes);
        services
            .iter()
            .flat_map(|service| self.findings(*service))
            .collect()
    }

    fn decay(&mut self, elapsed_s: f64) {
        let decay_factor = (-elapsed_s / SCORE_TIME_CONSTANT_S).exp();
        for pooled in self.servers.values_mut() {
            pooled.decay(decay_factor);
        }
        for service in self.services.values_mut() {
            service.dispersion.decay(elapsed_s);
        }
        for class in self.classes.values_mut() {
            class.reference.decay(elapsed_s);
            class.idle_s += elapsed_s;
        }
        if self.classes.len() > MAX_CLASSES {
            self.classes
                .retain(|_, class| class.idle_s < CLASS_IDLE_TIMEOUT_S);
        }
    }

    fn clear_in_flight(&mut self, key: u64) {
        let Some(instance) = self.instances.get_mut(&key) else {
            return;
        };
        for (server, count) in std::mem::take(&mut instance.in_flight) {
            if let Some(pooled) = self.servers.get_mut(&server) {
                pooled.in_flight = pooled.in_flight.saturating_sub(count);
            }
        }
    }

    fn expire_silent_instances(&mut self, now: Duration) {
        let silent = |instance: &InstanceState| now >= instance.reported_at + REPORT_TIMEOUT;
        let gone: Vec<u64> = self
            .instances
            .iter()
            .filter(|(_, instance)| silent(instance))
            .map(|(key, _)| *key)
            .collect();
        for key in gone {
            self.clear_in_flight(key);
            self.instances.remove(&key);
        }
    }

    /// Determines the fraction of the requests in flight at each server that executed in its slots.
    fn measure_slot_use(&mut self, pending: &[PendingCell], elapsed_s: f64) {
        for entry in pending {
            if let Some(pooled) = self.servers.get_mut(&entry.cell.server) {
                pooled.tick_busy_ms += f64::from(entry.cell.busy_ms);
            }
        }
        for pooled in self.servers.values_mut() {
            pooled.update_executing_fraction(elapsed_s * 1000.0);
        }
    }

    /// Counts the outcomes of the tick, and returns them per server and class in the order of the
    /// cells.
    fn observe(&mut self, pending: &[PendingCell], elapsed_s: f64) -> Vec<(CellKey, Outcomes)> {
        let mut tick_outcomes: Vec<(CellKey, Outcomes)> = Vec::new();
        let mut requests = 0.0;
        for entry in pending {
            let cell = &entry.cell;
            let Some(pooled) = self.servers.get(&cell.server) else {
                continue;
            };
            let outcomes = cell_outcomes(cell, pooled.executing_fraction);
            requests += outcomes.succeeded + outcomes.failed;
            let key = (cell.server, cell.class);
            match tick_outcomes.last_mut() {
                Some(last) if last.0 == key => last.1.add(&outcomes),
                _ => tick_outcomes.push((key, outcomes)),
            }
            if pooled.mode != Mode::Ejected {
                self.class_mut(entry.service, cell.class)
                    .reference
                    .observe(&outcomes);
            }
        }
        let gain = (elapsed_s / REQUEST_RATE_TIME_CONSTANT_S).min(1.0);
        let rate = requests / elapsed_s.max(0.001);
        self.requests_per_s += gain * (rate - self.requests_per_s);
        tick_outcomes
    }

    fn class_mut(&mut self, service: ServiceKey, class: RequestClass) -> &mut ClassState {
        let class = self
            .classes
            .entry((service, class))
            .or_insert_with(|| ClassState {
                reference: ClassReference::default(),
                idle_s: 0.0,
            });
        class.idle_s = 0.0;
        class
    }

    fn score_cell(&mut self, entry: &PendingCell, own: &Outcomes, now: Duration) {
        let cell = &entry.cell;
        let (Some(pooled), Some(class)) = (
            self.servers.get_mut(&cell.server),
            self.classes.get(&(entry.service, cell.class)),
        ) else {
            return;
        };
        let reference = &class.reference;
        let dispersion = self.services[&entry.service].dispersion.value();
        match pooled.mode {
            Mode::Ejected => return,
            Mode::Trial => return score_trial(pooled, cell, own, reference, dispersion),
            Mode::Rotation | Mode::Ramp => {}
        }
        let peer_rate = reference.peer_failure_rate(own);
        score_failures(pooled, entry.origin, cell, peer_rate, self.tick);
        let slot_ms = reference.peer_slot_ms(own);
        if let Some(slot_ms) = slot_ms.filter(|_| now >= pooled.cold_until) {
            score_latency(pooled, entry.origin, cell, slot_ms, dispersion, self.tick);
        }
    }

    /// Updates the references from the servers in rotation that are not suspicious. If more than
    /// half of the servers of a service are suspicious, the cause is common, and all of them count.
    fn update_references(
        &mut self,
        tick_outcomes: &[(CellKey, Outcomes)],
        services: &[ServiceKey],
    ) {
        let is_common = |service: &&ServiceKey| {
            let members = &self.services[service].members;
            let suspicious = members
                .iter()
                .filter(|server| is_suspicious(&self.servers[server]));
            suspicious.count() * 2 > members.len()
        };
        let common: Vec<ServiceKey> = services.iter().filter(is_common).copied().collect();
        for ((server, class), outcomes) in tick_outcomes {
            let Some(pooled) = self.servers.get(server) else {
                continue;
            };
            let is_common = common.contains(&pooled.service);
            if pooled.mode != Mode::Rotation || (is_suspicious(pooled) && !is_common) {
                continue;
            }
            if let Some(class) = self.classes.get_mut(&(pooled.service, *class)) {
                class.reference.learn(outcomes);
            }
        }
    }

    /// Updates the dispersion of the services. Suspicious servers count as well, since leaving out
    /// outliers would hide the dispersion.
    fn update_dispersion(&mut self, tick_outcomes: &[(CellKey, Outcomes)]) {
        for ((server, class), outcomes) in tick_outcomes {
            let Some(pooled) = self.servers.get_mut(server) else {
                continue;
            };
            let class = self.classes.get(&(pooled.service, *class));
            let slot_ms = class.and_then(|class| class.reference.peer_slot_ms(outcomes));
            if let Some(slot_ms) = slot_ms.filter(|_| pooled.mode == Mode::Rotation) {
                pooled.expected_and_received.0 += outcomes.busy_ms / slot_ms;
                pooled.expected_and_received.1 += outcomes.responses;
            }
        }
        if !self.tick.is_multiple_of(TICKS_PER_DISPERSION_SAMPLE) {
            return;
        }
        for pooled in self.servers.values_mut() {
            let (expected, responses) = std::mem::take(&mut pooled.expected_and_received);
            if let Some(service) = self.services.get_mut(&pooled.service) {
                service.dispersion.observe(expected, responses);
            }
        }
    }

    fn findings(&mut self, service: ServiceKey) -> Vec<Finding> {
        let members = &self.services[&service].members;
        let pool: Vec<&PooledEvidence> =
            members.iter().map(|server| &self.servers[server]).collect();
        let alarms = alarm::run_tests(&pool, self.threshold(), self.tick);
        let mut findings = Vec::new();
        for alarm in alarms {
            if let Some((server, instance)) = alarm.faulty_path() {
                self.remove_path_evidence(server, instance, &alarm);
            }
            let ids = |key: u64| self.instances.get(&key).map(|instance| instance.id.clone());
            findings.extend(alarm.into_finding(ids));
        }
        findings
    }

    /// Removes the contribution of an instance with a path fault from the evidence about a server.
    fn remove_path_evidence(&mut self, server: ServerKey, instance: u64, alarm: &alarm::Alarm) {
        if let Some(pooled) = self.servers.get_mut(&server) {
            pooled.remove_contribution(instance, alarm.cause());
        }
    }
}

type CellKey = (ServerKey, RequestClass);
