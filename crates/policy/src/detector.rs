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
//! a healthy server responds at the rate `k / slot time of the peers`. Requests above the slot count
//! wait in the server and use no slot, so neither load nor queueing looks like slowness, and a
//! server that never answers is found without a single service time. The peers are measured in
//! the same second; if all slow down or fail together, the null hypothesis moves along.
//!
//! # False-alarm bound
//!
//! Under the null hypothesis `E[exp(ratio)] <= 1` for each increment, so by Ville's inequality a sum
//! that starts at zero ever reaches `h` with probability at most `exp(-h)`. The test may start
//! anew with each request (Lorden 1971), so `n` requests raise at most `n * exp(-h)` false alarms
//! in expectation. With `n` requests per hour in the fleet and the two tests,
//! `h = ln(2 * n / 0.01)` bounds the false alarms of the whole fleet at 0.01 per hour. At 800
//! requests/s this is 20.2, at 190,000 requests/s it is 25.6. For the latency test the bound rests
//! on counts whose variance is the mean times the measured dispersion. What is not independent,
//! such as a pause that hits all slots of a server at once, is covered by the requirement of
//! evidence from several instances and zones, and of a minimum effect.
//!
//! # Cost
//!
//! A tick costs one step per received cell, of at most 24 comparisons to find the reporter, and one
//! step per known server and reporter. Memory is at most 3 KB for a server with 24 reporters,
//! 200 bytes for a request class and 150 bytes for a cell of the present tick.

use std::time::Duration;

use radishpaddle_model::{AvailabilityZone, Incarnation, InstanceId};

use crate::alarm;
use crate::evidence::{Cell, DRAIN_PERIOD};
use crate::explanation::Finding;
use crate::key::{KeyMap, RequestClass, ServerKey, ServiceKey, instance_key, zone_key};
use crate::pool::{Mode, Origin, Pooled, Trial};
use crate::rates::{Dispersion, Normal, Outcomes};
use crate::scoring::{is_suspicious, outcomes, score_failures, score_latency, score_trial};

/// False alarms per hour in the whole fleet that the threshold permits.
const FALSE_ALARMS_PER_HOUR: f64 = 0.01;

/// Bounds of the threshold, for a fleet without traffic and beyond the planned size.
const THRESHOLD_BOUNDS: (f64, f64) = (18.0, 28.0);

/// Memory of the scores. Evidence older than minutes says nothing about the present.
const SCORE_MEMORY_S: f64 = 60.0;

/// Time after its start in which a server is not judged by latency.
pub const COLD_START: Duration = Duration::from_secs(10);

/// Memory of the request rate, for the threshold.
const RATE_MEMORY_S: f64 = 10.0;

/// Tick length that is assumed for the first tick.
const NOMINAL_TICK: Duration = DRAIN_PERIOD;

/// Ticks over which the dispersion is measured.
const TICKS_PER_SECOND: u64 = 4;

/// Time after which the requests in flight of an instance that does not report are forgotten.
const SILENT_AFTER: Duration = Duration::from_secs(2);

/// Cells that are taken in one tick. 710 instances with 67 requests each per tick send 48,000.
pub const MAX_PENDING: usize = 200_000;

/// Time after which a request class without requests may be forgotten.
const IDLE_CLASS_S: f64 = 600.0;

/// Request classes that are kept. The classes of idle routes make room.
const MAX_CLASSES: usize = 16_384;

/// A backend server as the leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerInfo {
    /// The backend server.
    pub server: ServerKey,
    /// Its service.
    pub service: ServiceKey,
    /// Requests it runs at the same time.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Its incarnation; a new one clears the evidence.
    pub incarnation: Incarnation,
    /// Time at which this incarnation was first announced; `Duration::ZERO` when it is not known.
    pub announced_at: Duration,
}

#[derive(Debug, Default)]
struct Service {
    members: Vec<ServerKey>,
    dispersion: Dispersion,
}

#[derive(Debug)]
struct Class {
    normal: Normal,
    idle_s: f64,
}

#[derive(Debug)]
struct Pending {
    origin: Origin,
    service: ServiceKey,
    cell: Cell,
}

#[derive(Debug)]
struct Instance {
    id: InstanceId,
    reported_at: Duration,
    in_flight: Vec<(ServerKey, u32)>,
}

/// Pools the cells of all entry instances and finds faulty servers and paths.
#[derive(Debug)]
pub struct Detector {
    servers: KeyMap<ServerKey, Pooled>,
    services: KeyMap<ServiceKey, Service>,
    classes: KeyMap<(ServiceKey, RequestClass), Class>,
    instances: KeyMap<u64, Instance>,
    pending: Vec<Pending>,
    tick: u64,
    ticked_at: Option<Duration>,
    requests_per_s: f64,
}

impl Default for Detector {
    fn default() -> Self {
        Self::new()
    }
}

impl Detector {
    /// Detector without evidence.
    #[must_use]
    pub fn new() -> Self {
        Self {
            servers: KeyMap::default(),
            services: KeyMap::default(),
            classes: KeyMap::default(),
            instances: KeyMap::default(),
            pending: Vec::new(),
            tick: 1,
            ticked_at: None,
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
            .or_insert_with(|| Pooled::new(info.server, info.service));
        pooled.slots = info.slots.max(1);
        if pooled.incarnation != info.incarnation {
            pooled.incarnation = info.incarnation;
            pooled.clear();
        }
        if info.announced_at > Duration::ZERO {
            pooled.cold_until = info.announced_at + COLD_START;
        }
    }

    /// Forgets a server.
    pub fn remove_server(&mut self, server: ServerKey) {
        let Some(pooled) = self.servers.remove(&server) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&pooled.service) {
            service.members.retain(|member| *member != server);
        }
        self.pending.retain(|entry| entry.cell.server != server);
    }

    /// Forgets the evidence about a server, for example because its crash was charged to a
    /// poison request.
    pub fn clear_evidence(&mut self, server: ServerKey) {
        if let Some(pooled) = self.servers.get_mut(&server) {
            pooled.clear();
        }
    }

    /// Sets how the requests of a server are judged, and starts its evidence anew.
    pub(crate) fn set_mode(&mut self, server: ServerKey, mode: Mode) {
        let pooled = self.servers.get_mut(&server);
        if let Some(pooled) = pooled.filter(|pooled| pooled.mode != mode) {
            pooled.mode = mode;
            pooled.clear();
        }
    }

    /// Starts the count of trial requests anew.
    pub(crate) fn restart_trial(&mut self, server: ServerKey) {
        if let Some(pooled) = self.servers.get_mut(&server) {
            pooled.trial = Trial::default();
        }
    }

    /// Instances whose last report has requests of a service, in a fixed order.
    pub(crate) fn users(&self, service: ServiceKey) -> Vec<InstanceId> {
        let has_requests = |known: &&Instance| {
            let mut servers = known.in_flight.iter();
            servers.any(|entry| {
                let pooled = self.servers.get(&entry.0);
                pooled.is_some_and(|pooled| pooled.service == service)
            })
        };
        let mut users: Vec<InstanceId> = self
            .instances
            .values()
            .filter(has_requests)
            .map(|known| known.id.clone())
            .collect();
        users.sort_unstable();
        users
    }

    /// Result of the trial requests since the trial began.
    pub(crate) fn trial(&self, server: ServerKey) -> Trial {
        self.servers
            .get(&server)
            .map(|pooled| pooled.trial)
            .unwrap_or_default()
    }

    /// Requests of the whole fleet in flight at a server, from the last report of each instance.
    #[must_use]
    pub fn in_flight(&self, server: ServerKey) -> u32 {
        self.servers
            .get(&server)
            .map_or(0, |pooled| pooled.in_flight)
    }

    /// Requests that all instances but one have in flight at a server.
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

    /// Present threshold of the tests.
    #[must_use]
    pub fn threshold(&self) -> f64 {
        let tests_per_hour = 2.0 * self.requests_per_s * 3600.0;
        let threshold = (tests_per_hour / FALSE_ALARMS_PER_HOUR).max(1.0).ln();
        threshold.clamp(THRESHOLD_BOUNDS.0, THRESHOLD_BOUNDS.1)
    }

    /// Takes the cells of one drain period of an instance. Cells of unknown servers are ignored,
    /// and cells above [`MAX_PENDING`] in one tick are dropped.
    ///
    /// `zone` is the availability zone of the instance; it serves to tell a partition between zones
    /// from a fault of the server.
    pub fn report(
        &mut self,
        instance: &InstanceId,
        zone: Option<&AvailabilityZone>,
        cells: Vec<Cell>,
        now: Duration,
    ) {
        let key = instance_key(instance);
        let origin = Origin {
            instance: key,
            zone: zone.map_or(0, zone_key),
        };
        self.forget_in_flight(key);
        let mut in_flight = Vec::with_capacity(cells.len());
        for cell in cells {
            let Some(pooled) = self.servers.get_mut(&cell.server) else {
                continue;
            };
            pooled.in_flight = pooled.in_flight.saturating_add(cell.in_flight);
            in_flight.push((cell.server, cell.in_flight));
            if self.pending.len() < MAX_PENDING {
                self.pending.push(Pending {
                    origin,
                    service: pooled.service,
                    cell,
                });
            }
        }
        let known = Instance {
            id: instance.clone(),
            reported_at: now,
            in_flight,
        };
        self.instances.insert(key, known);
    }

    /// Ends a tick: pools the reported cells and returns what they show. Call every 250 ms.
    pub fn tick(&mut self, now: Duration) -> Vec<Finding> {
        let since = self
            .ticked_at
            .map_or(NOMINAL_TICK, |at| now.saturating_sub(at));
        self.ticked_at = Some(now);
        self.tick += 1;
        self.decay(since.as_secs_f64());
        self.forget_silent(now);
        let mut pending = std::mem::take(&mut self.pending);
        // By server, so that the state of a server is loaded once; also makes the sums independent of
        // the order of the reports.
        pending.sort_unstable_by_key(|entry| {
            (entry.cell.server, entry.cell.class, entry.origin.instance)
        });
        let mut services: Vec<ServiceKey> = pending.iter().map(|entry| entry.service).collect();
        services.sort_unstable();
        services.dedup();
        self.observe_use(&pending, since.as_secs_f64());
        let own = self.observe(&pending, since.as_secs_f64());
        let mut groups = own.iter().peekable();
        for entry in &pending {
            let key = (entry.cell.server, entry.cell.class);
            while groups.next_if(|group| group.0 < key).is_some() {}
            if let Some(group) = groups.peek().filter(|group| group.0 == key) {
                self.score(entry, &group.1, now);
            }
        }
        self.servers.values_mut().for_each(Pooled::settle);
        self.learn(&own, &services);
        self.learn_dispersion(&own);
        services
            .iter()
            .flat_map(|service| self.findings(*service))
            .collect()
    }

    fn decay(&mut self, elapsed_s: f64) {
        let kept = (-elapsed_s / SCORE_MEMORY_S).exp();
        for pooled in self.servers.values_mut() {
            pooled.decay(kept);
        }
        for service in self.services.values_mut() {
            service.dispersion.decay(elapsed_s);
        }
        for class in self.classes.values_mut() {
            class.normal.decay(elapsed_s);
            class.idle_s += elapsed_s;
        }
        if self.classes.len() > MAX_CLASSES {
            self.classes.retain(|_, class| class.idle_s < IDLE_CLASS_S);
        }
    }

    fn forget_in_flight(&mut self, key: u64) {
        let Some(known) = self.instances.get_mut(&key) else {
            return;
        };
        for (server, count) in std::mem::take(&mut known.in_flight) {
            if let Some(pooled) = self.servers.get_mut(&server) {
                pooled.in_flight = pooled.in_flight.saturating_sub(count);
            }
        }
    }

    fn forget_silent(&mut self, now: Duration) {
        let silent = |known: &Instance| now >= known.reported_at + SILENT_AFTER;
        let gone: Vec<u64> = self
            .instances
            .iter()
            .filter(|(_, known)| silent(known))
            .map(|(key, _)| *key)
            .collect();
        for key in gone {
            self.forget_in_flight(key);
            self.instances.remove(&key);
        }
    }

    /// Determines which part of the requests in flight at each server used its slots.
    fn observe_use(&mut self, pending: &[Pending], elapsed_s: f64) {
        for entry in pending {
            if let Some(pooled) = self.servers.get_mut(&entry.cell.server) {
                pooled.tick_busy_ms += f64::from(entry.cell.busy_ms);
            }
        }
        for pooled in self.servers.values_mut() {
            pooled.close_use(elapsed_s * 1000.0);
        }
    }

    /// Counts the outcomes of the tick, and returns them per server and class, in the order of the
    /// cells.
    fn observe(&mut self, pending: &[Pending], elapsed_s: f64) -> Vec<(CellKey, Outcomes)> {
        let mut own: Vec<(CellKey, Outcomes)> = Vec::new();
        let mut requests = 0.0;
        for entry in pending {
            let cell = &entry.cell;
            let Some(pooled) = self.servers.get(&cell.server) else {
                continue;
            };
            let outcomes = outcomes(cell, pooled.use_factor);
            requests += outcomes.succeeded + outcomes.failed;
            let key = (cell.server, cell.class);
            match own.last_mut() {
                Some(last) if last.0 == key => last.1.add(&outcomes),
                _ => own.push((key, outcomes)),
            }
            if pooled.mode != Mode::Ejected {
                self.class(entry.service, cell.class)
                    .normal
                    .observe(&outcomes);
            }
        }
        let gain = (elapsed_s / RATE_MEMORY_S).min(1.0);
        let rate = requests / elapsed_s.max(0.001);
        self.requests_per_s += gain * (rate - self.requests_per_s);
        own
    }

    fn class(&mut self, service: ServiceKey, class: RequestClass) -> &mut Class {
        let class = self
            .classes
            .entry((service, class))
            .or_insert_with(|| Class {
                normal: Normal::default(),
                idle_s: 0.0,
            });
        class.idle_s = 0.0;
        class
    }

    fn score(&mut self, entry: &Pending, own: &Outcomes, now: Duration) {
        let cell = &entry.cell;
        let (Some(pooled), Some(class)) = (
            self.servers.get_mut(&cell.server),
            self.classes.get(&(entry.service, cell.class)),
        ) else {
            return;
        };
        let normal = &class.normal;
        let dispersion = self.services[&entry.service].dispersion.value();
        match pooled.mode {
            Mode::Ejected => return,
            Mode::Trial => return score_trial(pooled, cell, own, normal, dispersion),
            Mode::Rotation | Mode::Ramp => {}
        }
        let peer_rate = normal.peer_failure_rate(own);
        score_failures(pooled, entry.origin, cell, peer_rate, self.tick);
        let slot_ms = normal.peer_slot_ms(own);
        if let Some(slot_ms) = slot_ms.filter(|_| now >= pooled.cold_until) {
            score_latency(pooled, entry.origin, cell, slot_ms, dispersion, self.tick);
        }
    }

    /// Learns what is normal from the servers in rotation that are not suspicious. If more than
    /// half of the servers of a service are, the cause is common, and all are learned.
    fn learn(&mut self, own: &[(CellKey, Outcomes)], services: &[ServiceKey]) {
        let is_common = |service: &&ServiceKey| {
            let members = &self.services[service].members;
            let suspicious = members
                .iter()
                .filter(|server| is_suspicious(&self.servers[server]));
            suspicious.count() * 2 > members.len()
        };
        let common: Vec<ServiceKey> = services.iter().filter(is_common).copied().collect();
        for ((server, class), outcomes) in own {
            let Some(pooled) = self.servers.get(server) else {
                continue;
            };
            let is_common = common.contains(&pooled.service);
            if pooled.mode != Mode::Rotation || (is_suspicious(pooled) && !is_common) {
                continue;
            }
            if let Some(class) = self.classes.get_mut(&(pooled.service, *class)) {
                class.normal.learn(outcomes);
            }
        }
    }

    /// Suspicious servers are included: leaving out what looks bad would hide the dispersion.
    fn learn_dispersion(&mut self, own: &[(CellKey, Outcomes)]) {
        for ((server, class), outcomes) in own {
            let Some(pooled) = self.servers.get_mut(server) else {
                continue;
            };
            let class = self.classes.get(&(pooled.service, *class));
            let slot_ms = class.and_then(|class| class.normal.peer_slot_ms(outcomes));
            if let Some(slot_ms) = slot_ms.filter(|_| pooled.mode == Mode::Rotation) {
                pooled.second.0 += outcomes.busy_ms / slot_ms;
                pooled.second.1 += outcomes.responses;
            }
        }
        if !self.tick.is_multiple_of(TICKS_PER_SECOND) {
            return;
        }
        for pooled in self.servers.values_mut() {
            let (expected, responses) = std::mem::take(&mut pooled.second);
            if let Some(service) = self.services.get_mut(&pooled.service) {
                service.dispersion.observe(expected, responses);
            }
        }
    }

    fn findings(&mut self, service: ServiceKey) -> Vec<Finding> {
        let members = &self.services[&service].members;
        let pool: Vec<&Pooled> = members.iter().map(|server| &self.servers[server]).collect();
        let alarms = alarm::check(&pool, self.threshold(), self.tick);
        let mut findings = Vec::new();
        for alarm in alarms {
            if let Some((server, instance)) = alarm.path() {
                self.discharge(server, instance, &alarm);
            }
            let ids = |key: u64| self.instances.get(&key).map(|known| known.id.clone());
            findings.extend(alarm.finding(ids));
        }
        findings
    }

    /// Takes the evidence of an instance with a broken path out of the pool.
    fn discharge(&mut self, server: ServerKey, instance: u64, alarm: &alarm::Alarm) {
        if let Some(pooled) = self.servers.get_mut(&server) {
            pooled.discharge(instance, alarm.cause());
        }
    }
}

type CellKey = (ServerKey, RequestClass);
