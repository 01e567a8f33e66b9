//! Event-driven simulation of entry instances, backend servers and one leader.
#![allow(dead_code, reason = "each test file uses a part")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use radishpaddle_model::{AvailabilityZone, Incarnation, InstanceId, Percent};
use radishpaddle_policy::{
    Action, Completion, Decision, DispatchId, HealthLeader, HealthReport, LocalStanding, Member,
    PathAvoidance, PickRequest, Recorder, RequestClass, Router, ServerInfo, ServerKey, ServiceKey,
    Strategy, VerdictView,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const SERVICE: ServiceKey = ServiceKey(7);
const REPORT_PERIOD: Duration = Duration::from_millis(250);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(500);

/// Distribution of the service times around their mean.
#[derive(Debug, Clone, Copy)]
pub enum Spread {
    Exponential,
    /// Log-normal distribution; the value is the standard deviation of the logarithm.
    LogNormal(f64),
}

#[derive(Debug, Clone)]
pub struct Config {
    pub seed: u64,
    pub servers: usize,
    pub slots: u32,
    pub entries: usize,
    /// Offered load as a fraction of the capacity.
    pub load: f64,
    pub mean_ms: f64,
    pub spread: Spread,
    pub floor_percent: f64,
    pub strategy: Strategy,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            seed: 1,
            servers: 20,
            slots: 3,
            entries: 14,
            load: 0.5,
            mean_ms: 50.0,
            spread: Spread::Exponential,
            floor_percent: 60.0,
            strategy: Strategy::Fleet,
        }
    }
}

/// Fault of a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// Serves requests slower by this factor.
    Slow(f64),
    /// Answers this fraction of the requests with status 500.
    Failing(f64),
    /// Accepts requests and never answers.
    Hung,
    /// Refuses connections.
    Down,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Finish(usize),
    Timeout(usize),
    Drain(usize),
    Tick,
}

struct Request {
    entry: usize,
    server: usize,
    id: DispatchId,
    started: Duration,
    failing: bool,
    done: bool,
}

struct Server {
    fault: Fault,
    running: u32,
    queue: VecDeque<usize>,
}

struct Entry {
    id: InstanceId,
    router: Router,
    recorder: Recorder,
    verdicts: VerdictView,
    paths: PathAvoidance,
    /// Arrival times of requests that wait for a free slot.
    waiting: VecDeque<Duration>,
}

pub struct Simulation {
    pub config: Config,
    pub now: Duration,
    pub leader: HealthLeader,
    pub decisions: Vec<Decision>,
    pub answered: u64,
    pub failed: u64,
    /// Number of times that an instance was told to avoid a server.
    pub path_faults: u64,
    /// Lowest number of slots in rotation. A server counts as out when any instance has it out.
    pub lowest_in_rotation: u32,
    /// Pairs of an entry instance and a server between which nothing is delivered.
    pub broken_paths: Vec<(usize, usize)>,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    rng: SmallRng,
}

pub fn server_key(server: usize) -> ServerKey {
    ServerKey(1000 + server as u64)
}

fn instance(index: usize) -> InstanceId {
    format!("entry-{index}").parse().unwrap()
}

fn zone(index: usize) -> AvailabilityZone {
    format!("zone-{}", index % 3).parse().unwrap()
}

impl Simulation {
    pub fn new(config: Config) -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            leader: new_leader(&config, 1, Duration::ZERO),
            decisions: Vec::new(),
            answered: 0,
            failed: 0,
            path_faults: 0,
            lowest_in_rotation: u32::MAX,
            broken_paths: Vec::new(),
            servers: (0..config.servers).map(|_| Server::new()).collect(),
            entries: (0..config.entries)
                .map(|index| Entry::new(index, &config))
                .collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(config.seed),
            config,
        };
        simulation.schedule(Duration::ZERO, Event::Arrival);
        simulation.schedule(REPORT_PERIOD, Event::Tick);
        for index in 0..simulation.entries.len() {
            let offset = REPORT_PERIOD.mul_f64(simulation.rng.random());
            simulation.schedule(offset, Event::Drain(index));
        }
        simulation
    }

    pub fn set_fault(&mut self, server: usize, fault: Fault) {
        self.servers[server].fault = fault;
        if fault == Fault::Down {
            let requests = 0..self.requests.len();
            let lost: Vec<usize> = requests
                .filter(|index| self.is_at(*index, server))
                .collect();
            self.servers[server].queue.clear();
            self.servers[server].running = 0;
            for index in lost {
                self.complete(index, Completion::ConnectionLost);
            }
        }
    }

    /// Replaces the leader by the leader of the next epoch, without any state.
    pub fn change_leader(&mut self, epoch: u64) {
        self.leader = new_leader(&self.config, epoch, self.now);
    }

    pub fn run_until(&mut self, end: Duration) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                self.schedule(at, event);
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Runs until every instance has the server out of rotation, at most for `limit`. Returns the
    /// time since `from`.
    pub fn time_until_out(&mut self, server: usize, from: Duration, limit: Duration) -> Duration {
        while self.now < from + limit && !self.is_out_everywhere(server) {
            self.run_until(self.now + Duration::from_millis(10));
        }
        self.now.saturating_sub(from)
    }

    pub fn is_out_everywhere(&self, server: usize) -> bool {
        let mut entries = self.entries.iter();
        entries.all(|entry| entry.has_out(server, self.now))
    }

    pub fn ejections(&self) -> Vec<&Decision> {
        let ejected = |decision: &&Decision| matches!(decision.action, Action::Ejected { .. });
        self.decisions.iter().filter(ejected).collect()
    }

    fn is_at(&self, request: usize, server: usize) -> bool {
        let request = &self.requests[request];
        !request.done && request.server == server
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Finish(request) => self.finish(request),
            Event::Timeout(request) => self.complete(request, Completion::TimedOut),
            Event::Drain(entry) => self.drain(entry),
            Event::Tick => {
                let decisions = self.leader.tick(self.now, &mut self.rng);
                self.decisions.extend(decisions);
                self.schedule(self.now + REPORT_PERIOD, Event::Tick);
            }
        }
    }

    fn arrive(&mut self) {
        let slots = self.config.slots * u32::try_from(self.config.servers).unwrap();
        let rate_per_s = self.config.load * f64::from(slots) * 1000.0 / self.config.mean_ms;
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate_per_s;
        self.schedule(self.now + Duration::from_secs_f64(gap), Event::Arrival);
        let entry = self.rng.random_range(0..self.entries.len());
        self.entries[entry].waiting.push_back(self.now);
        self.dispatch(entry);
    }

    /// Dispatches waiting requests while a server with a free slot is known.
    fn dispatch(&mut self, index: usize) {
        let now = self.now;
        loop {
            let entry = &mut self.entries[index];
            while entry
                .waiting
                .front()
                .is_some_and(|at| now > *at + MAX_QUEUE_WAIT)
            {
                entry.waiting.pop_front();
            }
            if entry.waiting.is_empty() {
                return;
            }
            let request = PickRequest {
                now,
                may_trial: true,
                exclude: &[],
            };
            let pick = entry
                .router
                .pick(&request, &entry.verdicts, &entry.paths, &mut self.rng);
            let Some(pick) = pick.filter(|pick| !pick.over_slots) else {
                return;
            };
            entry.waiting.pop_front();
            self.send(index, pick.server);
        }
    }

    fn send(&mut self, entry: usize, key: ServerKey) {
        let server = usize::try_from(key.0).unwrap() - 1000;
        let state = &mut self.entries[entry];
        state.router.dispatched(key);
        let class = RequestClass(1);
        let request = Request {
            entry,
            server,
            id: state.recorder.dispatched(key, class, false, self.now),
            started: self.now,
            failing: false,
            done: false,
        };
        let index = self.insert(request);
        self.schedule(self.now + REQUEST_TIMEOUT, Event::Timeout(index));
        let fault = self.servers[server].fault;
        if fault == Fault::Down {
            self.complete(index, Completion::ConnectFailed);
        } else if !self.broken_paths.contains(&(entry, server)) {
            self.start(index, server);
        }
    }

    fn insert(&mut self, request: Request) -> usize {
        // Indices are not reused, since events may refer to completed requests.
        self.requests.push(request);
        self.requests.len() - 1
    }

    fn start(&mut self, request: usize, server: usize) {
        let state = &mut self.servers[server];
        if state.running >= self.config.slots {
            if state.queue.len() >= 2 * self.config.slots as usize {
                self.complete(request, Completion::Shed);
            } else {
                state.queue.push_back(request);
            }
            return;
        }
        state.running += 1;
        let fault = state.fault;
        let mut time = self.service_time();
        match fault {
            Fault::Slow(factor) => time = time.mul_f64(factor),
            Fault::Failing(part) if self.rng.random_bool(part) => {
                self.requests[request].failing = true;
            }
            Fault::Hung => return,
            _ => {}
        }
        self.schedule(self.now + time, Event::Finish(request));
    }

    fn service_time(&mut self) -> Duration {
        let mean = self.config.mean_ms / 1000.0;
        let seconds = match self.config.spread {
            Spread::Exponential => -(1.0 - self.rng.random::<f64>()).ln() * mean,
            Spread::LogNormal(sigma) => {
                let (u, v): (f64, f64) = (1.0 - self.rng.random::<f64>(), self.rng.random());
                let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
                mean * (sigma * normal - sigma * sigma / 2.0).exp()
            }
        };
        Duration::from_secs_f64(seconds)
    }

    /// Ends a request at the server, whether or not the instance still waits for it.
    fn finish(&mut self, request: usize) {
        let server = self.requests[request].server;
        let state = &mut self.servers[server];
        if state.fault == Fault::Down {
            return;
        }
        state.running = state.running.saturating_sub(1);
        let next = state.queue.pop_front();
        let status = if self.requests[request].failing {
            500
        } else {
            200
        };
        self.complete(request, Completion::Answered { status });
        if let Some(next) = next {
            self.start(next, server);
        }
    }

    fn complete(&mut self, index: usize, completion: Completion) {
        let request = &mut self.requests[index];
        if std::mem::replace(&mut request.done, true) {
            return;
        }
        let (entry, key, id) = (request.entry, server_key(request.server), request.id);
        let elapsed = self.now.saturating_sub(request.started);
        let state = &mut self.entries[entry];
        state.recorder.completed(id, completion, self.now);
        state.router.completed(key, completion, elapsed, self.now);
        state.paths.observe(key, completion, self.now);
        if completion == (Completion::Answered { status: 200 }) {
            self.answered += 1;
        } else {
            self.failed += 1;
        }
        self.dispatch(entry);
    }

    fn drain(&mut self, index: usize) {
        self.schedule(self.now + REPORT_PERIOD, Event::Drain(index));
        let (now, entry) = (self.now, &mut self.entries[index]);
        let report = HealthReport {
            zone: Some(zone(index)),
            cells: entry.recorder.drain(now),
            applied: entry.verdicts.applied(now),
            held: entry.verdicts.held(now),
        };
        let response = self.leader.sync(&entry.id, report, now);
        entry.verdicts.apply(response.update, now);
        for server in response.avoid {
            self.path_faults += 1;
            entry.paths.advise(server, now);
        }
        for server in (0..self.config.servers).map(server_key) {
            let others = self.leader.detector().others_in_flight(&entry.id, server);
            entry.router.set_others_in_flight(server, others);
        }
        self.dispatch(index);
        self.observe_floor();
    }

    fn observe_floor(&mut self) {
        let is_in = |server: &usize| {
            let mut entries = self.entries.iter();
            entries.all(|entry| !entry.has_out(*server, self.now))
        };
        let servers = (0..self.config.servers).filter(is_in).count();
        let servers = u32::try_from(servers).unwrap();
        self.lowest_in_rotation = self.lowest_in_rotation.min(servers * self.config.slots);
    }
}

impl Server {
    fn new() -> Self {
        Self {
            fault: Fault::None,
            running: 0,
            queue: VecDeque::new(),
        }
    }
}

impl Entry {
    fn new(index: usize, config: &Config) -> Self {
        let id = instance(index);
        let mut router = Router::new(config.strategy, &id, zone(index));
        let members: Vec<Member> = (0..config.servers)
            .map(|server| Member {
                server: server_key(server),
                zone: zone(server),
                slots: config.slots,
                draining: false,
                cold_until: Duration::ZERO,
            })
            .collect();
        let floor = Percent::try_from(config.floor_percent).unwrap();
        router.set_members(&members, floor, usize::MAX);
        Self {
            verdicts: VerdictView::new(id.clone()),
            id,
            router,
            recorder: Recorder::new(),
            paths: PathAvoidance::new(),
            waiting: VecDeque::new(),
        }
    }

    fn has_out(&self, server: usize, now: Duration) -> bool {
        let standing = self.verdicts.standing(server_key(server), now);
        !matches!(standing, LocalStanding::InRotation { .. })
    }
}

fn new_leader(config: &Config, epoch: u64, now: Duration) -> HealthLeader {
    let mut leader = HealthLeader::new(epoch, now);
    let instances: Vec<InstanceId> = (0..config.entries).map(instance).collect();
    leader.set_instances(&instances);
    leader.put_service(SERVICE, Percent::try_from(config.floor_percent).unwrap());
    for server in 0..config.servers {
        let info = ServerInfo {
            server: server_key(server),
            service: SERVICE,
            slots: config.slots,
            draining: false,
            incarnation: Incarnation(1),
            announced_at: Duration::ZERO,
        };
        leader.put_server(info, now);
    }
    leader
}
