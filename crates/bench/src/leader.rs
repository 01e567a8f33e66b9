//! The witness leader of a run and the synchronisation of the entry instances with it.
//!
//! The detection and ejection code is the real one. The lease is a fake with the times of the real
//! lease: a leader that loses its majority ends after the lease, and the next one follows.

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
use crate::ejection::{Router, floor, server_keys};
use crate::emulator::{Emulator, Event};
use crate::fault::Node;
use crate::user::Fleet;

/// Time from the end of a lease to the start of the next one. Together with the lease it stays
/// below the 3 s of the design.
pub const ELECTION: Duration = Duration::from_millis(700);

/// Leadership of a run.
#[derive(Debug)]
pub struct Leadership {
    /// The leader, if there is one.
    pub leader: Option<Leader>,
    /// Epoch of the present or last leader.
    epoch: u64,
    /// Time of the last majority, or of the end of the last lease.
    since: Duration,
    /// Last leader, if it held next to nothing of the rates.
    predecessor: Option<InstanceIncarnation>,
}

/// The present leader.
#[derive(Debug)]
pub struct Leader {
    /// Entry instance that leads.
    pub instance: usize,
    /// Its life.
    pub life: InstanceIncarnation,
    /// Epoch of the lease.
    pub epoch: u64,
    /// Detection and ejection.
    pub health: HealthLeader,
    /// Rates of the organisations.
    pub pool: Pool,
}

/// What an entry instance sends to the leader.
#[derive(Debug)]
pub struct SyncRequest {
    /// The instance.
    pub instance: usize,
    /// Its life.
    pub incarnation: Incarnation,
    /// Time at which it sent the request.
    pub sent_at: Duration,
    /// Evidence and verdicts.
    pub health: HealthReport,
}

/// What the leader answers.
#[derive(Debug)]
pub struct SyncResponse {
    /// The instance.
    pub instance: usize,
    /// Its life.
    pub incarnation: Incarnation,
    /// Time at which the request was sent.
    pub sent_at: Duration,
    /// Verdicts and path faults.
    pub health: HealthResponse,
    /// Requests that the other instances have in flight, by server.
    pub others_in_flight: Vec<u32>,
}

impl Leadership {
    /// The first instance leads from the start.
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
            since: Duration::ZERO,
            predecessor: None,
        }
    }
}

/// Instance, life and epoch of a leader.
struct Term {
    instance: usize,
    life: InstanceIncarnation,
    epoch: u64,
}

fn term(fleet: &Fleet, instance: usize, incarnation: u64, epoch: u64) -> Term {
    let life = InstanceIncarnation {
        instance: fleet.instances[instance].clone(),
        incarnation: Incarnation(incarnation),
    };
    Term {
        instance,
        life,
        epoch,
    }
}

impl Leader {
    fn new(
        fleet: &Fleet,
        term: Term,
        incarnations: &[u64],
        predecessor: Option<InstanceIncarnation>,
        now: Duration,
    ) -> Self {
        let mut health = HealthLeader::new(term.epoch, now);
        health.set_instances(&fleet.instances);
        for service in &fleet.services {
            health.put_service(ServiceKey::new(&service.id), floor());
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

    /// Lease of the leader, as the real lease would show it.
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
    /// Sends the report of an instance to the leader.
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
            self.pump(message.instance, service);
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

    /// Settles the pool once every life that may hold an allocation has registered.
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
            self.leadership.since = now;
        } else if now >= self.leadership.since + LEASE_DURATION {
            let ready = leader.pool.is_handover_ready();
            self.leadership.predecessor = ready.then(|| leader.life.clone());
            self.leadership.leader = None;
            self.leadership.since = now;
        }
    }

    fn elect(&mut self) {
        if self.now < self.leadership.since + ELECTION {
            return;
        }
        let candidate = (0..WITNESSES).find(|witness| self.has_majority(*witness));
        let Some(instance) = candidate else { return };
        self.leadership.epoch += 1;
        self.leadership.since = self.now;
        let incarnation = self.entries[instance].incarnation.0;
        let term = term(&self.fleet, instance, incarnation, self.leadership.epoch);
        let predecessor = self.leadership.predecessor.take();
        let servers = &self.server_incarnations;
        let leader = Leader::new(&self.fleet, term, servers, predecessor, self.now);
        self.leadership.leader = Some(leader);
    }

    /// Whether a witness runs and exchanges messages with a majority, itself included.
    fn has_majority(&self, witness: usize) -> bool {
        let now = self.now;
        let reached = (0..WITNESSES).filter(|other| {
            let (from, to) = (Node::Instance(witness), Node::Instance(*other));
            self.plan.instance_up(*other, now)
                && self.plan.passes(from, to, now)
                && self.plan.passes(to, from, now)
        });
        self.plan.instance_up(witness, now) && reached.count() > WITNESSES / 2
    }

    /// A crashed server announces its new incarnation.
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
