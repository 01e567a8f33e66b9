//! Choice and ejection of backend servers at one entry instance.

use std::collections::HashMap;
use std::time::Duration;

use radishpaddle_model::{AvailabilityZone, InstanceId, Percent};
use radishpaddle_policy::{
    Balancer, Completion, DispatchId, HealthReport, HealthResponse, LocalStanding, Member,
    PathAvoidance, PickRequest, Recorder, RequestClass, ServerKey, VerdictView, subset_size,
};
use rand::rngs::SmallRng;

use radishpaddle_policy::router::{CONSECUTIVE_ERRORS, LOCAL_EJECTION, MAX_EJECTED_PERCENT};

use crate::deployment::{FLOOR_FRACTION, Fleet, zone_id};
use crate::fault::Node;
use crate::number::round_to_u32;
use crate::policy::Policy;
use crate::request::Kind;

/// Smoothing factor of the exponential moving averages of the load of other instances. At one report
/// per 250 ms the time constant is about 8 s. A single report is several service times old: without
/// smoothing, all instances would choose the servers that were idle at that time.
pub const LOAD_SMOOTHING_FACTOR: f64 = 0.03;

/// Period of the health checks of the round-robin policies.
pub const HEALTH_CHECK_PERIOD: Duration = Duration::from_secs(2);

/// Number of consecutive failed health checks at which [`RoundRobinRouter`] ejects a server.
pub const FAILED_HEALTH_CHECKS: u32 = 2;

/// Backend server chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerChoice {
    /// Index of the server.
    pub server: usize,
    /// Whether all its slots are in use according to the state of the instance. Always false for
    /// [`RoundRobinRouter`].
    pub over_slots: bool,
}

/// Chooses and ejects servers at one entry instance.
#[derive(Debug)]
pub enum Router {
    /// Round robin, with or without ejection after consecutive errors.
    RoundRobin(RoundRobinRouter),
    /// Decision code of this project.
    Pooled(Box<PooledRouter>),
}

/// Round robin over the servers of each service.
#[derive(Debug)]
pub struct RoundRobinRouter {
    ranges: Vec<std::ops::Range<usize>>,
    next: Vec<usize>,
    ejects: bool,
    servers: Vec<ServerErrors>,
}

/// Error counts and ejection of one server at one instance.
#[derive(Debug, Clone, Default)]
struct ServerErrors {
    /// Consecutive failed requests.
    consecutive: u32,
    /// Consecutive failed health checks.
    failed_checks: u32,
    /// Ejections since the start; the ejection time grows with them.
    ejections: u32,
    ejected_until: Duration,
}

/// Entry side of the pooled outlier detection, which combines the evidence of all instances at the
/// leader.
#[derive(Debug)]
pub struct PooledRouter {
    /// Availability zone of the instance.
    pub zone: AvailabilityZone,
    /// Balancers by service.
    pub balancers: Vec<Balancer>,
    /// Records the evidence of this instance.
    pub recorder: Recorder,
    /// Verdicts of the leader that this instance applies.
    pub verdicts: VerdictView,
    /// Network paths to servers that this instance avoids.
    pub paths: PathAvoidance,
    /// Moving averages of the requests that the other instances have in flight, by server.
    pub others_in_flight: Vec<f64>,
    /// Keys of the servers by index.
    pub keys: Vec<ServerKey>,
    /// Indexes of the servers by key.
    pub index_by_key: HashMap<ServerKey, usize>,
}

impl Router {
    /// Creates the router of an instance.
    #[must_use]
    pub fn new(policy: Policy, fleet: &Fleet, instance: usize) -> Self {
        match policy {
            Policy::NoEjection => Self::RoundRobin(RoundRobinRouter::new(fleet, instance, false)),
            Policy::ConsecutiveErrors => {
                Self::RoundRobin(RoundRobinRouter::new(fleet, instance, true))
            }
            Policy::Radishpaddle | Policy::FixedShares => {
                Self::Pooled(Box::new(PooledRouter::new(fleet, instance)))
            }
        }
    }

    /// Chooses a server for the next attempt of a request, other than those in `tried`.
    pub fn pick(
        &mut self,
        service: usize,
        tried: &[usize],
        kind: Kind,
        now: Duration,
        rng: &mut SmallRng,
    ) -> Option<ServerChoice> {
        match self {
            Self::RoundRobin(router) => router.pick(service, tried, now),
            Self::Pooled(router) => router.pick(service, tried, kind, now, rng),
        }
    }

    /// Records the dispatch of an attempt. Returns its id in the evidence recorder, if there is one.
    pub fn dispatched(
        &mut self,
        service: usize,
        choice: ServerChoice,
        kind: Kind,
        now: Duration,
    ) -> Option<DispatchId> {
        match self {
            Self::RoundRobin(_) => None,
            Self::Pooled(router) => Some(router.dispatched(service, choice, kind, now)),
        }
    }

    /// Records how an attempt ended.
    pub fn completed(
        &mut self,
        service: usize,
        server: usize,
        dispatch: Option<DispatchId>,
        completion: Completion,
        now: Duration,
    ) {
        match self {
            Self::RoundRobin(router) => router.completed(server, completion, now),
            Self::Pooled(router) => router.completed(service, server, dispatch, completion, now),
        }
    }

    /// Returns the evidence and verdicts to send to the leader of `epoch`; empty for [`RoundRobinRouter`].
    pub fn report(&mut self, epoch: u64, now: Duration) -> HealthReport {
        match self {
            Self::RoundRobin(_) => HealthReport::default(),
            Self::Pooled(router) => router.report(epoch, now),
        }
    }

    /// Records the result of a health check; only [`RoundRobinRouter`] uses it.
    pub fn health_checked(&mut self, server: usize, healthy: bool, now: Duration) {
        if let Self::RoundRobin(router) = self {
            router.health_checked(server, healthy, now);
        }
    }

    /// Returns whether the instance has ejected the server.
    #[must_use]
    pub fn is_ejected(&self, server: usize, now: Duration) -> bool {
        match self {
            Self::RoundRobin(router) => now < router.servers[server].ejected_until,
            Self::Pooled(router) => router.is_ejected(server, now),
        }
    }

    /// Returns whether the instance sends the server no regular requests, because it has ejected the
    /// server or avoids the path to it.
    #[must_use]
    pub fn receives_no_requests(&self, server: usize, now: Duration) -> bool {
        let avoided = match self {
            Self::RoundRobin(_) => false,
            Self::Pooled(router) => router.is_avoided(server, now),
        };
        avoided || self.is_ejected(server, now)
    }
}

impl RoundRobinRouter {
    fn new(fleet: &Fleet, instance: usize, ejects: bool) -> Self {
        let ranges: Vec<_> = fleet
            .services
            .iter()
            .map(crate::deployment::Service::server_range)
            .collect();
        Self {
            next: ranges
                .iter()
                .map(|range| range.start + instance % range.len())
                .collect(),
            ranges,
            ejects,
            servers: vec![ServerErrors::default(); fleet.server_count()],
        }
    }

    fn pick(&mut self, service: usize, tried: &[usize], now: Duration) -> Option<ServerChoice> {
        let range = self.ranges[service].clone();
        for _ in range.clone() {
            let server = self.next[service];
            self.next[service] = if server + 1 < range.end {
                server + 1
            } else {
                range.start
            };
            let usable = now >= self.servers[server].ejected_until && !tried.contains(&server);
            if usable {
                let over_slots = false;
                return Some(ServerChoice { server, over_slots });
            }
        }
        None
    }

    fn completed(&mut self, server: usize, completion: Completion, now: Duration) {
        let failed = match completion {
            Completion::Answered { status } => status >= 500,
            Completion::Truncated
            | Completion::TimedOut
            | Completion::ConnectFailed
            | Completion::ConnectionLost => true,
            Completion::Shed | Completion::Cancelled | Completion::ChargedToRequest => return,
        };
        let errors = &mut self.servers[server];
        errors.consecutive = if failed { errors.consecutive + 1 } else { 0 };
        if errors.consecutive >= CONSECUTIVE_ERRORS {
            self.eject(server, now);
        }
    }

    fn health_checked(&mut self, server: usize, healthy: bool, now: Duration) {
        let errors = &mut self.servers[server];
        errors.failed_checks = if healthy { 0 } else { errors.failed_checks + 1 };
        if errors.failed_checks >= FAILED_HEALTH_CHECKS {
            self.eject(server, now);
        }
    }

    fn eject(&mut self, server: usize, now: Duration) {
        let range = self.ranges.iter().find(|range| range.contains(&server));
        let range = range.expect("the server exists").clone();
        let allowed = range.len() * MAX_EJECTED_PERCENT / 100;
        let ejected = self.servers[range]
            .iter()
            .filter(|other| now < other.ejected_until);
        let within_cap = ejected.count() < allowed;
        let errors = &mut self.servers[server];
        if !self.ejects || !within_cap || now < errors.ejected_until {
            return;
        }
        errors.consecutive = 0;
        errors.ejections += 1;
        errors.ejected_until = now + LOCAL_EJECTION * errors.ejections;
    }
}

impl PooledRouter {
    fn new(fleet: &Fleet, instance: usize) -> Self {
        let id: &InstanceId = &fleet.instances[instance];
        let keys = server_keys(fleet);
        let index_by_key = keys
            .iter()
            .enumerate()
            .map(|(index, key)| (*key, index))
            .collect();
        let balancers = fleet.services.iter().map(|service| {
            let zone = zone_id(Node::Instance(instance).zone());
            let mut balancer = Balancer::new(id, zone);
            let members: Vec<Member> = service
                .server_range()
                .map(|server| member(&keys, server, service.slots))
                .collect();
            let subset = subset_size(members.len(), fleet.instances.len(), CONNECTION_LIMIT, 8);
            balancer.set_members(&members, floor_percent(), subset);
            balancer
        });
        Self {
            zone: zone_id(Node::Instance(instance).zone()),
            balancers: balancers.collect(),
            recorder: Recorder::new(),
            verdicts: VerdictView::new(id.clone()),
            paths: PathAvoidance::new(),
            others_in_flight: vec![0.0; keys.len()],
            keys,
            index_by_key,
        }
    }

    fn pick(
        &mut self,
        service: usize,
        tried: &[usize],
        kind: Kind,
        now: Duration,
        rng: &mut SmallRng,
    ) -> Option<ServerChoice> {
        let exclude: Vec<ServerKey> = tried.iter().map(|server| self.keys[*server]).collect();
        let request = PickRequest {
            now,
            may_trial: kind.is_idempotent(),
            exclude: &exclude,
        };
        let balancer = &mut self.balancers[service];
        let pick = balancer.pick(&request, &self.verdicts, &self.paths, rng)?;
        Some(ServerChoice {
            server: self.index_by_key[&pick.server],
            over_slots: pick.over_slots,
        })
    }

    fn dispatched(
        &mut self,
        service: usize,
        choice: ServerChoice,
        kind: Kind,
        now: Duration,
    ) -> DispatchId {
        let key = self.keys[choice.server];
        self.balancers[service].dispatched(key);
        let class = RequestClass::of_route(kind.route());
        self.recorder.dispatched(key, class, choice.over_slots, now)
    }

    fn completed(
        &mut self,
        service: usize,
        server: usize,
        dispatch: Option<DispatchId>,
        completion: Completion,
        now: Duration,
    ) {
        let key = self.keys[server];
        let recorded = dispatch.and_then(|id| self.recorder.completed(id, completion, now));
        let success = matches!(completion, Completion::Answered { status } if status < 500);
        let latency = recorded
            .filter(|_| success)
            .map(|recorded| recorded.elapsed);
        self.balancers[service].completed(key, latency);
        self.paths.observe(key, completion, now);
    }

    fn report(&mut self, epoch: u64, now: Duration) -> HealthReport {
        let applied = self.verdicts.applied(now);
        let held = if applied.epoch == epoch {
            Vec::new()
        } else {
            self.verdicts.held(now)
        };
        HealthReport {
            zone: Some(self.zone.clone()),
            cells: self.recorder.drain(now),
            applied,
            held,
        }
    }

    /// Applies the answer of the leader to a report sent at `sent_at`. `others_in_flight` holds the
    /// requests in flight from the other instances, by server.
    pub fn apply(
        &mut self,
        response: HealthResponse,
        others_in_flight: &[u32],
        sent_at: Duration,
        now: Duration,
    ) {
        self.verdicts.apply(response.update, sent_at);
        for server in response.avoid {
            self.paths.advise(server, now);
        }
        for (server, others) in others_in_flight.iter().enumerate() {
            let average = &mut self.others_in_flight[server];
            *average += (f64::from(*others) - *average) * LOAD_SMOOTHING_FACTOR;
            for balancer in &mut self.balancers {
                balancer.set_others_in_flight(self.keys[server], round_to_u32(*average));
            }
        }
    }

    fn is_ejected(&self, server: usize, now: Duration) -> bool {
        let standing = self.verdicts.standing(self.keys[server], now);
        !matches!(standing, LocalStanding::InRotation { .. })
    }

    fn is_avoided(&self, server: usize, now: Duration) -> bool {
        use radishpaddle_policy::path::PathState;
        self.paths.state(self.keys[server], now) != PathState::Clear
    }
}

/// Maximum number of connections that a backend server accepts; the smaller one of the two deployments.
const CONNECTION_LIMIT: usize = 330;

/// Returns the keys of all backend servers by index.
#[must_use]
pub fn server_keys(fleet: &Fleet) -> Vec<ServerKey> {
    let services = fleet.services.iter();
    services
        .flat_map(|service| {
            let servers = service.servers.iter();
            servers.map(|server| ServerKey::new(&service.id, server))
        })
        .collect()
}

/// Returns the minimum share of the slots that ejection must leave in rotation, as a percentage.
///
/// # Panics
///
/// Does not panic; the constant is a percentage.
#[must_use]
pub fn floor_percent() -> Percent {
    Percent::try_from(FLOOR_FRACTION * 100.0).expect("the floor is a percentage")
}

fn member(keys: &[ServerKey], server: usize, slots: u32) -> Member {
    Member {
        server: keys[server],
        zone: zone_id(Node::Server(server).zone()),
        slots,
        draining: false,
        cold_until: Duration::ZERO,
    }
}
