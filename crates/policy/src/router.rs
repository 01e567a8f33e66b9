//! Routing strategies: the balancer of the fleet, and simpler baselines for comparison.

use std::time::Duration;

use radishpaddle_model::{AvailabilityZone, InstanceId, Percent};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::balancer::{Balancer, Member, Pick, PickRequest};
use crate::evidence::Completion;
use crate::key::ServerKey;
use crate::path::PathAvoidance;
use crate::verdict::VerdictView;

/// Number of consecutive errors after which the local ejector ejects a server.
pub const CONSECUTIVE_ERRORS: u32 = 5;

/// Maximum percentage of the servers that the local ejector of one instance ejects at the same
/// time.
pub const MAX_EJECTED_PERCENT: usize = 50;

/// Duration of the first ejection by the local ejector; multiplied by the number of ejections.
pub const LOCAL_EJECTION: Duration = Duration::from_secs(30);

/// Routing strategy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Strategy {
    /// Each server in turn.
    RoundRobin,
    /// The server with the fewest requests of this instance in flight.
    LeastInFlight,
    /// The less loaded of two random servers.
    PowerOfTwo,
    /// Power of two choices. An instance ejects a server after five consecutive errors, up to half
    /// of the servers.
    LocalEjector,
    /// The balancer with the verdicts of the fleet.
    Fleet,
}

/// Router of one service at one entry instance.
#[derive(Debug)]
pub enum Router {
    /// See [`Strategy::RoundRobin`].
    RoundRobin(BaselineMembers),
    /// See [`Strategy::LeastInFlight`].
    LeastInFlight(BaselineMembers),
    /// See [`Strategy::PowerOfTwo`].
    PowerOfTwo(BaselineMembers),
    /// See [`Strategy::LocalEjector`].
    LocalEjector(BaselineMembers),
    /// See [`Strategy::Fleet`].
    Fleet(Box<Balancer>),
}

/// Backend servers of a baseline strategy.
#[derive(Debug, Default)]
pub struct BaselineMembers {
    members: Vec<BaselineMember>,
    last_picked: usize,
}

#[derive(Debug, Clone)]
struct BaselineMember {
    server: ServerKey,
    slots: u32,
    in_flight: u32,
    consecutive_errors: u32,
    ejections: u32,
    ejected_until: Duration,
}

impl Router {
    /// Creates a router without members.
    #[must_use]
    pub fn new(strategy: Strategy, instance: &InstanceId, zone: AvailabilityZone) -> Self {
        match strategy {
            Strategy::RoundRobin => Self::RoundRobin(BaselineMembers::default()),
            Strategy::LeastInFlight => Self::LeastInFlight(BaselineMembers::default()),
            Strategy::PowerOfTwo => Self::PowerOfTwo(BaselineMembers::default()),
            Strategy::LocalEjector => Self::LocalEjector(BaselineMembers::default()),
            Strategy::Fleet => Self::Fleet(Box::new(Balancer::new(instance, zone))),
        }
    }

    /// Replaces the members, see [`Balancer::set_members`]. The baselines send to all members.
    pub fn set_members(&mut self, members: &[Member], floor: Percent, subset_size: usize) {
        match self {
            Self::Fleet(balancer) => balancer.set_members(members, floor, subset_size),
            Self::RoundRobin(baseline)
            | Self::LeastInFlight(baseline)
            | Self::PowerOfTwo(baseline)
            | Self::LocalEjector(baseline) => baseline.replace(members),
        }
    }

    /// Sets the requests that other instances have in flight. The baselines ignore them.
    pub fn set_others_in_flight(&mut self, server: ServerKey, others: u32) {
        if let Self::Fleet(balancer) = self {
            balancer.set_others_in_flight(server, others);
        }
    }

    /// Chooses a server. Returns `None` when no server is usable.
    pub fn pick(
        &mut self,
        request: &PickRequest<'_>,
        verdicts: &VerdictView,
        paths: &PathAvoidance,
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        match self {
            Self::Fleet(balancer) => balancer.pick(request, verdicts, paths, rng),
            Self::RoundRobin(baseline) => baseline.pick_round_robin(request),
            Self::LeastInFlight(baseline) => baseline.pick_least_in_flight(request, rng),
            Self::PowerOfTwo(baseline) | Self::LocalEjector(baseline) => {
                baseline.pick_power_of_two(request, rng)
            }
        }
    }

    /// Records the dispatch of a request.
    pub fn dispatched(&mut self, server: ServerKey) {
        match self {
            Self::Fleet(balancer) => balancer.dispatched(server),
            Self::RoundRobin(baseline)
            | Self::LeastInFlight(baseline)
            | Self::PowerOfTwo(baseline)
            | Self::LocalEjector(baseline) => baseline.dispatched(server),
        }
    }

    /// Records the completion of a request.
    pub fn completed(
        &mut self,
        server: ServerKey,
        completion: Completion,
        elapsed: Duration,
        now: Duration,
    ) {
        match self {
            Self::Fleet(balancer) => {
                let succeeded = !is_error(completion) && is_answer(completion);
                balancer.completed(server, succeeded.then_some(elapsed));
            }
            Self::RoundRobin(baseline)
            | Self::LeastInFlight(baseline)
            | Self::PowerOfTwo(baseline) => {
                baseline.completed(server);
            }
            Self::LocalEjector(baseline) => {
                baseline.completed(server);
                baseline.update_ejection(server, completion, now);
            }
        }
    }
}

fn is_answer(completion: Completion) -> bool {
    matches!(completion, Completion::Answered { .. })
}

fn is_error(completion: Completion) -> bool {
    match completion {
        Completion::Answered { status } => status >= 500,
        Completion::Shed | Completion::Cancelled | Completion::ChargedToRequest => false,
        _ => true,
    }
}

impl BaselineMembers {
    fn replace(&mut self, members: &[Member]) {
        let serving = members.iter().filter(|member| !member.draining);
        self.members = serving.map(|member| self.updated_member(member)).collect();
    }

    fn updated_member(&self, member: &Member) -> BaselineMember {
        let known = self
            .members
            .iter()
            .find(|known| known.server == member.server);
        let fresh = BaselineMember {
            server: member.server,
            slots: member.slots,
            in_flight: 0,
            consecutive_errors: 0,
            ejections: 0,
            ejected_until: Duration::ZERO,
        };
        known.cloned().unwrap_or(fresh)
    }

    fn member(&mut self, server: ServerKey) -> Option<&mut BaselineMember> {
        self.members
            .iter_mut()
            .find(|member| member.server == server)
    }

    fn is_usable(&self, index: usize, request: &PickRequest<'_>) -> bool {
        let member = &self.members[index];
        request.now >= member.ejected_until && !request.exclude.contains(&member.server)
    }

    fn pick_at(&self, index: usize) -> Pick {
        let member = &self.members[index];
        Pick {
            server: member.server,
            over_slots: member.in_flight >= member.slots,
            trial: false,
        }
    }

    fn pick_round_robin(&mut self, request: &PickRequest<'_>) -> Option<Pick> {
        for _ in 0..self.members.len() {
            self.last_picked = (self.last_picked + 1) % self.members.len();
            if self.is_usable(self.last_picked, request) {
                return Some(self.pick_at(self.last_picked));
            }
        }
        None
    }

    fn pick_least_in_flight(&self, request: &PickRequest<'_>, rng: &mut impl Rng) -> Option<Pick> {
        let count = self.members.len();
        if count == 0 {
            return None;
        }
        // The random start breaks ties. Without it, all instances would prefer the same server.
        let start = rng.random_range(0..count);
        let indices = (0..count).map(|offset| (start + offset) % count);
        indices
            .filter(|index| self.is_usable(*index, request))
            .min_by_key(|index| self.members[*index].in_flight)
            .map(|index| self.pick_at(index))
    }

    fn pick_power_of_two(&self, request: &PickRequest<'_>, rng: &mut impl Rng) -> Option<Pick> {
        if self.members.is_empty() {
            return None;
        }
        let mut draw = || rng.random_range(0..self.members.len());
        let drawn = [draw(), draw()];
        let usable = drawn
            .into_iter()
            .filter(|index| self.is_usable(*index, request));
        let chosen = usable.min_by_key(|index| self.members[*index].in_flight);
        match chosen {
            Some(index) => Some(self.pick_at(index)),
            None => self.pick_least_in_flight(request, rng),
        }
    }

    fn dispatched(&mut self, server: ServerKey) {
        if let Some(member) = self.member(server) {
            member.in_flight = member.in_flight.saturating_add(1);
        }
    }

    fn completed(&mut self, server: ServerKey) {
        if let Some(member) = self.member(server) {
            member.in_flight = member.in_flight.saturating_sub(1);
        }
    }

    fn update_ejection(&mut self, server: ServerKey, completion: Completion, now: Duration) {
        let out = self
            .members
            .iter()
            .filter(|member| now < member.ejected_until);
        let may_eject = (out.count() + 1) * 100 <= self.members.len() * MAX_EJECTED_PERCENT;
        let Some(member) = self.member(server) else {
            return;
        };
        if !is_error(completion) {
            if is_answer(completion) {
                member.consecutive_errors = 0;
            }
            return;
        }
        member.consecutive_errors += 1;
        if member.consecutive_errors >= CONSECUTIVE_ERRORS && may_eject {
            member.consecutive_errors = 0;
            member.ejections = member.ejections.saturating_add(1);
            member.ejected_until = now + LOCAL_EJECTION * member.ejections.min(10);
        }
    }
}
