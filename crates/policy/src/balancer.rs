//! Choice of a backend server for a request, for one service at one entry instance.

use std::collections::HashMap;
use std::time::Duration;

use radishpaddle_model::{AvailabilityZone, InstanceId, Percent};
use rand::Rng;

use crate::floor::floor_slots;
use crate::key::{ServerKey, instance_key, mix};
use crate::path::{PathAvoidance, PathState};
use crate::verdict::{LAST_RESORT_WEIGHT, LocalStanding, VerdictVersion, VerdictView};

/// Number of candidates sampled per request. Two suffice to avoid the most loaded server (power of
/// two choices). Four find a free slot at 90 % load more often; if they find none, all candidates
/// are scanned.
const SAMPLE_COUNT: usize = 4;

/// Maximum age of the candidates. A change of the verdict list or of a path state recomputes them
/// at once; the period covers changes by time alone.
const CANDIDATE_REFRESH_PERIOD: Duration = Duration::from_millis(100);

/// Cost factor of a server in another availability zone. Among servers at equal load it prefers
/// those in the zone of the instance, without concentrating the load on them.
const OTHER_ZONE_COST_FACTOR: f64 = 1.1;

/// Upper bound of the weight of a server that has started recently.
const COLD_WEIGHT: f64 = 0.3;

/// Weight of a new sample in the exponential moving average of the latency of a server.
const LATENCY_EMA_WEIGHT: f64 = 0.1;

/// Bounds of the cost factor for latency. They are narrow because a slow server must keep receiving
/// requests until the leader has enough evidence to eject it.
const LATENCY_COST_BOUNDS: (f64, f64) = (0.8, 1.25);

/// Backend server as a member of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Backend server.
    pub server: ServerKey,
    /// Availability zone of the server.
    pub zone: AvailabilityZone,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server takes no new requests.
    pub draining: bool,
    /// Local time until which the server counts as cold after its start.
    pub cold_until: Duration,
}

/// Backend server chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// Chosen backend server.
    pub server: ServerKey,
    /// Whether all slots of the server are in use as far as this instance knows. The caller may
    /// queue the request instead.
    pub over_slots: bool,
    /// Whether the request is a trial request of an ejected server.
    pub trial: bool,
}

/// Properties of the request to dispatch.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// Time of the decision.
    pub now: Duration,
    /// Whether the request may be a trial request; true for idempotent requests.
    pub may_trial: bool,
    /// Servers that this request has tried already.
    pub exclude: &'a [ServerKey],
}

#[derive(Debug, Clone)]
struct MemberState {
    member: Member,
    /// Rendezvous hash of the server and this instance; the lowest ranks form the subset.
    rendezvous_rank: u64,
    own_in_flight: u32,
    others_in_flight: u32,
    /// Exponential moving average of the natural logarithm of the latency in milliseconds.
    latency_ln: Option<f64>,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    index: usize,
    weight: f64,
    cost_factor: f64,
}

/// Chooses backend servers of one service by load, zone, latency, verdicts and path state.
///
/// A choice costs a few samples, plus one step per candidate when all sampled servers are full. It
/// allocates nothing. The candidates are recomputed at most every 100 ms and on changes, with one
/// step per member.
#[derive(Debug)]
pub struct Balancer {
    instance_hash: u64,
    zone: AvailabilityZone,
    floor_slots: u32,
    subset_size: usize,
    members: Vec<MemberState>,
    index_by_server: HashMap<ServerKey, usize>,
    candidates: Vec<Candidate>,
    trial_member: Option<usize>,
    last_refresh: Option<(Duration, VerdictVersion, u64)>,
}

impl Balancer {
    /// Creates the balancer of an entry instance in `zone`, without members.
    #[must_use]
    pub fn new(instance: &InstanceId, zone: AvailabilityZone) -> Self {
        let instance_hash = instance_key(instance);
        Self {
            instance_hash,
            zone,
            floor_slots: 0,
            subset_size: usize::MAX,
            members: Vec::new(),
            index_by_server: HashMap::new(),
            candidates: Vec::new(),
            trial_member: None,
            last_refresh: None,
        }
    }

    /// Replaces the members and keeps the state of those that remain. `subset_size` is the number
    /// of usable servers that this instance sends to, see [`subset_size`].
    pub fn set_members(&mut self, members: &[Member], floor: Percent, subset_size: usize) {
        let mut known: HashMap<ServerKey, MemberState> = self
            .members
            .drain(..)
            .map(|state| (state.member.server, state))
            .collect();
        self.members = members
            .iter()
            .map(|member| updated_member(known.remove(&member.server), member, self.instance_hash))
            .collect();
        self.members
            .sort_unstable_by_key(|state| (state.rendezvous_rank, state.member.server));
        self.index_by_server = (self.members.iter().enumerate())
            .map(|(index, state)| (state.member.server, index))
            .collect();
        let announced = members.iter().map(|member| member.slots).sum();
        self.floor_slots = floor_slots(announced, floor);
        self.subset_size = subset_size.max(1);
        self.last_refresh = None;
    }

    /// Sets the requests that the other instances have in flight at a server, as reported by the
    /// leader.
    pub fn set_others_in_flight(&mut self, server: ServerKey, others: u32) {
        if let Some(state) = self.state_mut(server) {
            state.others_in_flight = others;
        }
    }

    /// Records the dispatch of a request by this instance.
    pub fn dispatched(&mut self, server: ServerKey) {
        if let Some(state) = self.state_mut(server) {
            state.own_in_flight = state.own_in_flight.saturating_add(1);
        }
    }

    /// Records the completion of a request of this instance. `latency` is set for successful
    /// responses only.
    pub fn completed(&mut self, server: ServerKey, latency: Option<Duration>) {
        let Some(state) = self.state_mut(server) else {
            return;
        };
        state.own_in_flight = state.own_in_flight.saturating_sub(1);
        if let Some(latency) = latency {
            let sample = (latency.as_secs_f64() * 1000.0).max(0.1).ln();
            let average = state.latency_ln.unwrap_or(sample);
            state.latency_ln = Some(average + LATENCY_EMA_WEIGHT * (sample - average));
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
        self.refresh(verdicts, paths, request.now);
        if let Some(pick) = self.pick_trial(request) {
            return Some(pick);
        }
        let sampled = self.sample_candidates(request, rng);
        let free = sampled.filter(|candidate| self.in_flight(*candidate) < self.slots(*candidate));
        let chosen = free.or_else(|| self.scan_candidates(request, rng))?;
        Some(Pick {
            server: self.members[chosen.index].member.server,
            over_slots: self.in_flight(chosen) >= self.slots(chosen),
            trial: false,
        })
    }

    /// Returns the slots of the servers that are neither draining nor ejected, and that are not
    /// avoided unless the capacity floor requires them. For metrics.
    pub fn usable_slots(
        &mut self,
        verdicts: &VerdictView,
        paths: &PathAvoidance,
        now: Duration,
    ) -> u32 {
        self.last_refresh = None;
        let subset_size = std::mem::replace(&mut self.subset_size, usize::MAX);
        self.refresh(verdicts, paths, now);
        let usable = self
            .candidates
            .iter()
            .map(|candidate| self.slots(*candidate));
        let usable = usable.sum();
        self.subset_size = subset_size;
        self.last_refresh = None;
        usable
    }

    fn state_mut(&mut self, server: ServerKey) -> Option<&mut MemberState> {
        let index = *self.index_by_server.get(&server)?;
        self.members.get_mut(index)
    }

    fn slots(&self, candidate: Candidate) -> u32 {
        self.members[candidate.index].member.slots.max(1)
    }

    fn in_flight(&self, candidate: Candidate) -> u32 {
        let state = &self.members[candidate.index];
        state.own_in_flight.saturating_add(state.others_in_flight)
    }

    fn cost(&self, candidate: Candidate) -> f64 {
        let busy = f64::from(self.in_flight(candidate)) + 1.0;
        busy / f64::from(self.slots(candidate)) * candidate.cost_factor
    }

    fn pick_trial(&self, request: &PickRequest<'_>) -> Option<Pick> {
        let state = &self.members[self.trial_member?];
        let server = state.member.server;
        if !request.may_trial || state.own_in_flight > 0 || request.exclude.contains(&server) {
            return None;
        }
        Some(Pick {
            server,
            over_slots: false,
            trial: true,
        })
    }

    fn sample_candidates(
        &self,
        request: &PickRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<Candidate> {
        if self.candidates.is_empty() {
            return None;
        }
        let mut best: Option<(f64, Candidate)> = None;
        for _ in 0..SAMPLE_COUNT {
            let candidate = self.candidates[rng.random_range(0..self.candidates.len())];
            // A reduced weight lowers the frequency at which the server is considered, so that its
            // share of the requests is reduced even while the other servers are hardly loaded.
            let considered = candidate.weight >= 1.0 || rng.random_bool(candidate.weight);
            if !considered || self.is_excluded(candidate, request) {
                continue;
            }
            let cost = self.cost(candidate);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    fn scan_candidates(&self, request: &PickRequest<'_>, rng: &mut impl Rng) -> Option<Candidate> {
        let count = self.candidates.len();
        if count == 0 {
            return None;
        }
        let start = rng.random_range(0..count);
        let rotated = self.candidates[start..]
            .iter()
            .chain(&self.candidates[..start]);
        let allowed = rotated.filter(|candidate| !self.is_excluded(**candidate, request));
        let weighted = |candidate: &Candidate| self.cost(*candidate) / candidate.weight;
        allowed
            .min_by(|left, right| weighted(left).total_cmp(&weighted(right)))
            .copied()
    }

    fn is_excluded(&self, candidate: Candidate, request: &PickRequest<'_>) -> bool {
        let server = self.members[candidate.index].member.server;
        request.exclude.contains(&server)
    }

    fn refresh(&mut self, verdicts: &VerdictView, paths: &PathAvoidance, now: Duration) {
        let version = verdicts.applied(now);
        let generation = paths.generation();
        if let Some((at, known_version, known_generation)) = self.last_refresh {
            let unchanged = (known_version, known_generation) == (version, generation);
            if unchanged && now < at + CANDIDATE_REFRESH_PERIOD {
                return;
            }
        }
        self.last_refresh = Some((now, version, generation));
        self.rebuild(verdicts, paths, now);
    }

    fn rebuild(&mut self, verdicts: &VerdictView, paths: &PathAvoidance, now: Duration) {
        self.candidates.clear();
        self.trial_member = None;
        let mean_ln = self.mean_latency_ln();
        let mut usable = 0;
        for index in 0..self.members.len() {
            let state = &self.members[index];
            if state.member.draining {
                continue;
            }
            let server = state.member.server;
            let weight = match verdicts.standing(server, now) {
                LocalStanding::InRotation { weight } => weight,
                LocalStanding::TrialHere => {
                    self.trial_member = Some(index);
                    continue;
                }
                LocalStanding::Out => continue,
            };
            if is_avoided(state, paths, now) {
                continue;
            }
            usable += state.member.slots;
            if self.candidates.len() < self.subset_size {
                let candidate = self.candidate(index, weight, mean_ln, now);
                self.candidates.push(candidate);
            }
        }
        if usable < self.floor_slots || self.candidates.is_empty() {
            self.readmit_avoided(usable, verdicts, paths, now);
        }
    }

    /// Adds avoided servers with the lowest weight until the capacity floor is met.
    fn readmit_avoided(
        &mut self,
        mut usable: u32,
        verdicts: &VerdictView,
        paths: &PathAvoidance,
        now: Duration,
    ) {
        for index in 0..self.members.len() {
            if usable >= self.floor_slots.max(1) {
                return;
            }
            let state = &self.members[index];
            let standing = verdicts.standing(state.member.server, now);
            let in_rotation = matches!(standing, LocalStanding::InRotation { .. });
            if state.member.draining || !in_rotation || !is_avoided(state, paths, now) {
                continue;
            }
            usable += state.member.slots;
            self.candidates.push(Candidate {
                index,
                weight: LAST_RESORT_WEIGHT,
                cost_factor: 1.0,
            });
        }
    }

    fn candidate(&self, index: usize, weight: f64, mean_ln: f64, now: Duration) -> Candidate {
        let state = &self.members[index];
        let cold = now < state.member.cold_until;
        let zone = if state.member.zone == self.zone {
            1.0
        } else {
            OTHER_ZONE_COST_FACTOR
        };
        let ratio = state
            .latency_ln
            .map_or(1.0, |latency| (latency - mean_ln).exp());
        Candidate {
            index,
            weight: if cold {
                weight.min(COLD_WEIGHT)
            } else {
                weight
            },
            cost_factor: zone * ratio.clamp(LATENCY_COST_BOUNDS.0, LATENCY_COST_BOUNDS.1),
        }
    }

    fn mean_latency_ln(&self) -> f64 {
        let known = self.members.iter().filter_map(|state| state.latency_ln);
        let (sum, count) = known.fold((0.0, 0.0), |(sum, count), latency| {
            (sum + latency, count + 1.0)
        });
        if count > 0.0 { sum / count } else { 0.0 }
    }
}

fn is_avoided(state: &MemberState, paths: &PathAvoidance, now: Duration) -> bool {
    match paths.state(state.member.server, now) {
        PathState::Clear => false,
        PathState::Avoided => true,
        PathState::Retest => state.own_in_flight > 0,
    }
}

fn updated_member(known: Option<MemberState>, member: &Member, instance_hash: u64) -> MemberState {
    let fresh = MemberState {
        member: member.clone(),
        rendezvous_rank: mix(member.server.0 ^ instance_hash),
        own_in_flight: 0,
        others_in_flight: 0,
        latency_ln: None,
    };
    known.map_or(fresh, |state| MemberState {
        member: member.clone(),
        ..state
    })
}

/// Returns the number of servers that one instance sends to, so that no server exceeds its
/// connection limit: `servers * connection_limit / (instances * connections_per_pair)`. It is at
/// least 3, which leaves a choice and servers for retries, and at most `servers`.
#[must_use]
pub fn subset_size(
    servers: usize,
    instances: usize,
    connection_limit: usize,
    connections_per_pair: usize,
) -> usize {
    let pairs = instances.saturating_mul(connections_per_pair).max(1);
    let share = servers.saturating_mul(connection_limit) / pairs;
    share.max(3).min(servers)
}
