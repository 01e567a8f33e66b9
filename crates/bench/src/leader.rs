//! Witness leader of a run, and the exchange of evidence and verdicts between it and the entry
//! instances.
//!
//! Detection, ejection and allocation run the code of the project. The lease is simulated with the times
//! of the real one: a leader without a majority leads until its lease ends, and a successor is elected
//! [`ELECTION`] later.

use std::time::Duration;

use radishpaddle_model::Incarnation;
use radishpaddle_policy::evidence::DRAIN_PERIOD;
use radishpaddle_policy::{HealthLeader, HealthReport, HealthResponse, ServerInfo, ServiceKey};
use radishpaddle_quorum::allocation::{
    ALLOCATION_RECORD_LIFETIME, AllocationSettings, Limit, LimitKey, Pool,
};
use radishpaddle_quorum::lease::{LEASE_DURATION, Leadership as Lease};
use radishpaddle_quorum::{Epoch, InstanceIncarnation};

use crate::claims::WITNESSES;
use crate::deployment::Fleet;
use crate::ejection::{Router, floor_percent, server_keys};
use crate::emulator::{Emulator, Event};
use crate::fault::Node;

/// Time from the end of a lease to the start of the next one. With the lease itself, the time without a
/// leader stays below the limit of 3 s in the design.
pub const ELECTION: Duration = Duration::from_millis(700);

/// State of the leader election.
#[derive(Debug)]
pub struct Leadership {
    /// Current leader, if there is one.
    pub leader: Option<Leader>,
    /// Epoch of the current or last leader.
    epoch: u64,
    /// Time at which the leader last reached a majority; without a leader, the time at which the last
    /// lease ended.
    last_held_at: Duration,
    /// Last leader, if its pool was ready when the lease ended: it kept almost no allocations for itself,
    /// so that its successor need not wait until they expire.
    predecessor: Option<InstanceIncarnation>,
}

/// State of the current leader.
#[derive(Debug)]
pub struct Leader {
    /// Index of the entry instance that leads.
    pub instance: usize,
    /// Incarnation of its process.
    pub life: InstanceIncarnation,
    /// Epoch of the lease.
    pub epoch: u64,
    /// Outlier detection and ejection.
    pub health: HealthLeader,
    /// Pool from which the rates of the organisations are allocated.
    pub pool: Pool,
}

/// Report of an entry instance to the leader.
#[derive(Debug)]
pub struct SyncRequest {
    /// Index of the sender.
    pub instance: usize,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Time at which the report was sent.
    pub sent_at: Duration,
    /// Evidence and verdicts of the sender.
    pub health: HealthReport,
}

/// Answer of the leader to a [`SyncRequest`].
#[derive(Debug)]
pub struct SyncResponse {
    /// Index of the instance that sent the request.
    pub instance: usize,
    /// Incarnation that sent the request; a later one ignores the answer.
    pub incarnation: Incarnation,
    /// Time at which the request was sent.
    pub sent_at: Duration,
    /// Verdicts, and the servers to which the path of the instance is faulty.
    pub health: HealthResponse,
    /// Requests that the other instances have in flight, by server.
    pub others_in_flight: Vec<u32>,
}

impl Leadership {
    /// Creates the state at the start of a run, in which instance 0 leads.
    #[must_use]
    pub fn new(fleet: &Fleet) -> Self {
        Self {
            leader: Some(Leader::new(
                fleet,
                term(fleet, 0, 1, 1),
                &[],
                None,
                Duration::ZERO,
            )),
            epoch: 1,
            last_held_at: Duration::ZERO,
            predecessor: None,
        }
    }
}

/// Instance, life and epoch of a term of leadership.
struct LeaderTerm {
    instance: usize,
    life: InstanceIncarnation,
    epoch: u64,
}

fn term(fleet: &Fleet, instance: usize, incarnation: u64, epoch: u64) -> LeaderTerm {
    let life = InstanceIncarnation {
        instance: fleet.instances[instance].clone(),
        incarnation: Incarnation(incarnation),
    };
    LeaderTerm {
        instance,
        life,
        epoch,
    }
}

impl Leader {
    fn new(
        fleet: &Fleet,
        term: LeaderTerm,
        incarnations: &[u64],
        predecessor: Option<InstanceIncarnation>,
        now: Duration,
    ) -> Self {
        let mut health = HealthLeader::new(term.epoch, now);
        health.set_instances(&fleet.instances);
        for service in &fleet.services {
            health.put_service(ServiceKey::new(&service.id), floor_percent());
        }
        for server in 0..fleet.server_count() {
            let incarnation = incarnations.get(server).copied().unwrap_or(1);
            let info = server_info(fleet, server, incarnation, Duration::ZERO);
            health.put_server(info, now);
        }
        let lease = lease(term.epoch, now);
        let settings = AllocationSettings::default();
        let mut pool = Pool::new(term.life.clone(), &lease, predecessor, settings, now);
        set_limits(&mut pool, fleet, now);
        Self {
            instance: term.instance,
            life: term.life,
            epoch: term.epoch,
            health,
            pool,
        }
    }

    /// Returns the lease as a leader holds it that has just renewed it.
    #[must_use]
    pub fn lease(&self, now: Duration) -> Lease {
        lease(self.epoch, now)
    }
}

fn lease(epoch: u64, now: Duration) -> Lease {
    Lease {
        epoch: Epoch(epoch),
        since_epoch: Epoch(epoch),
        until: now + LEASE_DURATION,
    }
}

fn set_limits(pool: &mut Pool, fleet: &Fleet, now: Duration) {
    for service in &fleet.services {
        for limit in &service.limits {
            let key = LimitKey {
                service: service.id.clone(),
                organisation: limit.organisation.clone(),
            };
            let limit = Limit::new(limit.rate_per_s, limit.burst);
            pool.set_limit(now, &key, Some(limit));
        }
    }
}

impl Emulator {
    /// Sends the evidence and verdicts of an instance to the leader.
    pub(crate) fn on_sync(&mut self, instance: usize) {
        self.add_after(DRAIN_PERIOD, Event::Sync { instance });
        let Some(leader) = &self.leadership.leader else {
            return;
        };
        let (epoch, to) = (leader.epoch, leader.instance);
        let now = self.now;
        let entry = &mut self.entries[instance];
        if !entry.up {
            return;
        }
        let health = entry.router.report(epoch, now);
        let message = SyncRequest {
            instance,
            incarnation: entry.incarnation,
            sent_at: now,
            health,
        };
        let event = Event::SyncAtLeader {
            message: Box::new(message),
        };
        self.send(Node::Instance(instance), Node::Instance(to), event);
    }

    pub(crate) fn on_sync_at_leader(&mut self, message: SyncRequest) {
        let instance = message.instance;
        let id = self.fleet.instances[instance].clone();
        let keys = server_keys(&self.fleet);
        let Some(leader) = &mut self.leadership.leader else {
            return;
        };
        let from = leader.instance;
        let health = leader.health.sync(&id, message.health, self.now);
        let detector = leader.health.detector();
        let others_in_flight = keys
            .iter()
            .map(|key| detector.others_in_flight(&id, *key))
            .collect();
        let response = SyncResponse {
            instance,
            incarnation: message.incarnation,
            sent_at: message.sent_at,
            health,
            others_in_flight,
        };
        let event = Event::SyncResponse {
            message: Box::new(response),
        };
        self.send(Node::Instance(from), Node::Instance(instance), event);
    }

    pub(crate) fn on_sync_response(&mut self, message: SyncResponse) {
        let now = self.now;
        let entry = &mut self.entries[message.instance];
        if !entry.up || entry.incarnation != message.incarnation {
            return;
        }
        if let Router::Pooled(pooled) = &mut entry.router {
            pooled.apply(
                message.health,
                &message.others_in_flight,
                message.sent_at,
                now,
            );
        }
        for service in 0..self.fleet.services.len() {
            self.dispatch_waiting(message.instance, service);
        }
    }

    pub(crate) fn on_leader_tick(&mut self) {
        self.add_after(DRAIN_PERIOD, Event::LeaderTick);
        self.renew_or_elect();
        let now = self.now;
        if let Some(leader) = &mut self.leadership.leader {
            leader.health.tick(now, &mut self.rng);
            leader.pool.tick(now);
        }
        self.settle_pool();
    }

    /// Ends the waiting time of a new pool early when every life that may hold an allocation has
    /// registered.
    fn settle_pool(&mut self) {
        let now = self.now;
        let mut lives = self.lives();
        let lost = self.lost_lives.iter();
        let recent = lost.filter(|(_, at)| now < *at + ALLOCATION_RECORD_LIFETIME);
        lives.extend(recent.map(|(life, _)| life.clone()));
        if let Some(leader) = &mut self.leadership.leader {
            leader.pool.settle_early(now, &lives);
        }
    }

    fn renew_or_elect(&mut self) {
        let now = self.now;
        let Some(leader) = &self.leadership.leader else {
            self.elect();
            return;
        };
        if self.has_majority(leader.instance) {
            self.leadership.last_held_at = now;
        } else if now >= self.leadership.last_held_at + LEASE_DURATION {
            let ready = leader.pool.is_handover_ready();
            self.leadership.predecessor = ready.then(|| leader.life.clone());
            self.leadership.leader = None;
            self.leadership.last_held_at = now;
        }
    }

    fn elect(&mut self) {
        if self.now < self.leadership.last_held_at + ELECTION {
            return;
        }
        let candidate = (0..WITNESSES).find(|witness| self.has_majority(*witness));
        let Some(instance) = candidate else { return };
        self.leadership.epoch += 1;
        self.leadership.last_held_at = self.now;
        let incarnation = self.entries[instance].incarnation.0;
        let term = term(&self.fleet, instance, incarnation, self.leadership.epoch);
        let predecessor = self.leadership.predecessor.take();
        let servers = &self.server_incarnations;
        let leader = Leader::new(&self.fleet, term, servers, predecessor, self.now);
        self.leadership.leader = Some(leader);
    }

    /// Returns whether a witness runs and can exchange messages with a majority of the witnesses, itself
    /// included.
    fn has_majority(&self, witness: usize) -> bool {
        let now = self.now;
        let reached = (0..WITNESSES).filter(|other| {
            let (from, to) = (Node::Instance(witness), Node::Instance(*other));
            self.plan.is_instance_up(*other, now)
                && self.plan.delivers(from, to, now)
                && self.plan.delivers(to, from, now)
        });
        self.plan.is_instance_up(witness, now) && reached.count() > WITNESSES / 2
    }

    /// Raises the incarnation of a restarted server and announces it to the leader.
    pub(crate) fn on_server_restart(&mut self, server: usize) {
        self.server_incarnations[server] += 1;
        let incarnation = self.server_incarnations[server];
        let info = server_info(&self.fleet, server, incarnation, self.now);
        if let Some(leader) = &mut self.leadership.leader {
            leader.health.put_server(info, self.now);
        }
    }
}

fn server_info(
    fleet: &Fleet,
    server: usize,
    incarnation: u64,
    announced_at: Duration,
) -> ServerInfo {
    let service = &fleet.services[fleet.service_of(server)];
    ServerInfo {
        server: server_keys(fleet)[server],
        service: ServiceKey::new(&service.id),
        slots: service.slots,
        draining: false,
        incarnation: Incarnation(incarnation),
        announced_at,
    }
}
