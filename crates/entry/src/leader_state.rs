//! State of the witness leader: rate allocations, ejections and quarantine of the fleet. It exists
//! as long as the lease. The next leader rebuilds it from the reports of the entry instances.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_kernel::Journal;
use radishpaddle_model::{Fingerprint, FleetConfig, InstanceId, Revision};
use radishpaddle_policy::detector::ServerInfo;
use radishpaddle_policy::{
    CrashId, Decision, HealthLeader, PoisonRegistry, ServerKey, ServiceKey, TicketResponse,
};
use radishpaddle_quorum::InstanceIncarnation;
use radishpaddle_quorum::allocation::{
    AllocationReply, AllocationRequest, AllocationSettings, Limit, LimitKey, Pool,
};
use radishpaddle_quorum::lease::Leadership;
use radishpaddle_wire::message::response;
use rand::rngs::SmallRng;
use serde_json::json;
use tokio::sync::oneshot;

use crate::backend_info::BackendInfo;
use crate::fleet_view::FleetView;
use crate::sync_message::{CrashReport, SyncReply, SyncRequest, TicketRequest};

/// Period of outlier detection and expiry.
const TICK_PERIOD: Duration = Duration::from_millis(250);

/// Maximum time for which the reply to a crash report is delayed until every instance has received
/// the quarantine list.
const QUARANTINE_SYNC_TIMEOUT: Duration = Duration::from_millis(300);

/// Age at which the in-flight counts of an instance expire: six default sync periods.
const IN_FLIGHT_EXPIRY: Duration = Duration::from_millis(1_500);

/// State of the witness leader during one lease.
pub struct LeaderState {
    leadership: Leadership,
    pool: Pool,
    health: HealthLeader,
    poison: PoisonRegistry,
    journal: Journal,
    next_tick: Duration,
    revision: Option<Revision>,
    configured_limits: HashSet<LimitKey>,
    servers: HashMap<ServerKey, Arc<BackendInfo>>,
    in_flight: HashMap<InstanceId, (Duration, HashMap<ServerKey, u32>)>,
    synced_generations: HashMap<InstanceId, u64>,
    pending_crash_reports: Vec<PendingCrashReport>,
}

/// Crash report whose reply is delayed until every instance has received the quarantine list.
struct PendingCrashReport {
    generation: u64,
    until: Duration,
    reply: oneshot::Sender<response::Kind>,
    response: response::Kind,
}

impl LeaderState {
    /// Creates the state of a lease that was just acquired.
    #[must_use]
    pub fn new(
        life: InstanceIncarnation,
        leadership: &Leadership,
        predecessor: Option<InstanceIncarnation>,
        journal: Journal,
        now: Duration,
    ) -> Self {
        let settings = AllocationSettings::default();
        Self {
            leadership: *leadership,
            pool: Pool::new(life, leadership, predecessor, settings, now),
            health: HealthLeader::new(leadership.since_epoch.0, now),
            poison: PoisonRegistry::new(leadership.since_epoch.0, now),
            journal,
            next_tick: now,
            revision: None,
            configured_limits: HashSet::new(),
            servers: HashMap::new(),
            in_flight: HashMap::new(),
            synced_generations: HashMap::new(),
            pending_crash_reports: Vec::new(),
        }
    }

    /// Returns whether the state belongs to the lease.
    #[must_use]
    pub fn belongs_to(&self, leadership: &Leadership) -> bool {
        self.leadership.since_epoch == leadership.since_epoch
    }

    /// Replies to crash reports that are due. Once per period applies changes of configuration and
    /// fleet and runs detection and expiry. Returns whether the leader may report to the other
    /// witnesses that its own instance holds at most one request of burst per limit; a successor
    /// then need not wait for its allocations to expire.
    pub fn tick(
        &mut self,
        now: Duration,
        config: &FleetConfig,
        fleet: &FleetView,
        rng: &mut SmallRng,
    ) -> bool {
        self.reply_to_crash_reports(now, fleet);
        if now < self.next_tick {
            return false;
        }
        self.next_tick = now + TICK_PERIOD;
        self.apply_config(now, config);
        self.update_servers(now, fleet);
        self.update_instances(fleet);
        self.pool.tick(now);
        self.settle_pool_early(now, fleet);
        self.poison.expire(now);
        for decision in self.health.tick(now, rng) {
            self.publish_decision(&decision);
        }
        self.in_flight
            .retain(|_, (received_at, _)| now < *received_at + IN_FLIGHT_EXPIRY);
        self.pool.is_handover_ready()
    }

    /// Handles a request for rate allocations; `None` if it cannot be answered under this lease.
    pub fn handle_allocation_request(
        &mut self,
        now: Duration,
        leadership: &Leadership,
        request: &AllocationRequest,
    ) -> Option<AllocationReply> {
        self.pool.on_request(now, Some(leadership), request)
    }

    /// Handles a sync request: records evidence and in-flight counts, and returns verdicts, the
    /// in-flight counts of other instances and the quarantine list.
    pub fn handle_sync_request(
        &mut self,
        now: Duration,
        leadership: &Leadership,
        sync: SyncRequest,
    ) -> SyncReply {
        let instance = sync.life.instance;
        if !sync.quarantine.is_empty() {
            self.poison.adopt(&sync.quarantine, now);
        }
        let counts = sync.in_flight.into_iter().collect();
        self.in_flight.insert(instance.clone(), (now, counts));
        let health = self.health.sync(&instance, sync.health, now);
        let generation = self.poison.generation();
        let is_outdated =
            sync.epoch != leadership.epoch || sync.quarantine_generation != generation;
        self.synced_generations.insert(instance.clone(), generation);
        SyncReply {
            epoch: leadership.epoch,
            health,
            others_in_flight: self.others_in_flight(&instance),
            quarantine_generation: generation,
            quarantine: is_outdated.then(|| self.poison.entries(now)),
        }
    }

    /// Records the requests of crashes. Sends `response` when every instance has received the
    /// quarantine list, or after 300 ms.
    pub fn handle_crash_report(
        &mut self,
        now: Duration,
        report: &CrashReport,
        response: response::Kind,
        reply: oneshot::Sender<response::Kind>,
    ) {
        for (crash, fingerprints) in &report.crashes {
            self.health.clear_evidence(crash.server);
            for fingerprint in fingerprints {
                self.record_crash(*fingerprint, *crash, now);
            }
        }
        self.pending_crash_reports.push(PendingCrashReport {
            generation: self.poison.generation(),
            until: now + QUARANTINE_SYNC_TIMEOUT,
            reply,
            response,
        });
    }

    /// Grants the ticket of a suspect request, or records its outcome.
    pub fn handle_ticket_request(
        &mut self,
        now: Duration,
        request: &TicketRequest,
    ) -> TicketResponse {
        match request {
            TicketRequest::Ask {
                life,
                fingerprint,
                remaining_ms,
            } => {
                let remaining = Duration::from_millis(*remaining_ms);
                self.poison
                    .request_ticket(*fingerprint, &life.instance, remaining, now)
            }
            TicketRequest::Finish {
                fingerprint,
                ticket,
                outcome,
            } => {
                self.poison
                    .finish_ticket(*fingerprint, *ticket, *outcome, now);
                TicketResponse::NotSuspect
            }
        }
    }

    fn record_crash(&mut self, fingerprint: Fingerprint, crash: CrashId, now: Duration) {
        let state = self.poison.crashed(fingerprint, crash, now);
        let server = self.server_name(crash.server);
        let detail = json!({"fingerprint": fingerprint.to_string(), "state": format!("{state:?}")});
        self.journal
            .record("backend_server_crashed", None, Some(&server), detail);
    }

    fn apply_config(&mut self, now: Duration, config: &FleetConfig) {
        if self.revision == Some(config.revision) {
            return;
        }
        self.revision = Some(config.revision);
        let mut known = HashSet::new();
        for (service, entry) in &config.services {
            let floor = entry.document.floor_percent;
            self.health.put_service(ServiceKey::new(service), floor);
            for limit in &entry.document.organisations {
                let key = LimitKey {
                    service: service.clone(),
                    organisation: limit.organisation.clone(),
                };
                let limit = Limit::new(limit.rate_per_s, limit.burst);
                self.pool.set_limit(now, &key, Some(limit));
                known.insert(key);
            }
        }
        for removed in self.configured_limits.difference(&known) {
            self.pool.set_limit(now, removed, None);
        }
        self.configured_limits = known;
    }

    fn update_servers(&mut self, now: Duration, fleet: &FleetView) {
        let announced: HashMap<ServerKey, Arc<BackendInfo>> = fleet
            .backend_servers
            .iter()
            .filter(|server| server.state != radishpaddle_model::BackendState::Left)
            .map(|server| (server.key, Arc::clone(server)))
            .collect();
        for (key, server) in &announced {
            if self.servers.get(key) != Some(server) {
                self.health.put_server(server_info(server), now);
            }
        }
        for removed in self
            .servers
            .keys()
            .filter(|key| !announced.contains_key(key))
        {
            self.health.remove_server(*removed, now);
        }
        self.servers = announced;
    }

    fn update_instances(&mut self, fleet: &FleetView) {
        let instances: Vec<InstanceId> = fleet
            .members
            .keys()
            .map(|life| life.instance.clone())
            .collect();
        self.health.set_instances(&instances);
        let present: HashSet<&InstanceId> = instances.iter().collect();
        self.synced_generations
            .retain(|instance, _| present.contains(instance));
    }

    fn settle_pool_early(&mut self, now: Duration, fleet: &FleetView) {
        if self.pool.is_settled() {
            return;
        }
        let Some(group) = &fleet.group else {
            return;
        };
        if let Some(lives) = fleet.lives_since(self.pool.started_at(), group) {
            self.pool.settle_early(now, &lives);
        }
    }

    fn others_in_flight(&self, instance: &InstanceId) -> Vec<(ServerKey, u32)> {
        let mut totals: HashMap<ServerKey, u32> = HashMap::new();
        for (other, (_, counts)) in &self.in_flight {
            if other == instance {
                continue;
            }
            for (server, count) in counts {
                *totals.entry(*server).or_default() += count;
            }
        }
        let mut totals: Vec<_> = totals.into_iter().collect();
        totals.sort_unstable();
        totals
    }

    fn reply_to_crash_reports(&mut self, now: Duration, fleet: &FleetView) {
        let synced_generations = &self.synced_generations;
        let mut still_pending = Vec::new();
        for crash in self.pending_crash_reports.drain(..) {
            let all_synced = fleet.members.keys().all(|life| {
                synced_generations
                    .get(&life.instance)
                    .is_some_and(|generation| *generation >= crash.generation)
            });
            if all_synced || now >= crash.until {
                let _ = crash.reply.send(crash.response);
            } else {
                still_pending.push(crash);
            }
        }
        self.pending_crash_reports = still_pending;
    }

    fn publish_decision(&self, decision: &Decision) {
        let server = self.server_name(decision.server);
        let service = self
            .servers
            .get(&decision.server)
            .map(|server| server.service.to_string());
        log::info!("leader: {decision}");
        let detail = json!({
            "explanation": decision.to_string(),
            "slots_announced": decision.capacity.announced,
            "slots_in_rotation": decision.capacity.in_rotation,
            "slots_floor": decision.capacity.floor,
        });
        let kind = decision.action.name();
        self.journal
            .record(kind, service.as_deref(), Some(&server), detail);
    }

    fn server_name(&self, server: ServerKey) -> String {
        let known = self.servers.get(&server);
        known.map_or_else(
            || server.to_string(),
            |known| known.backend_server.to_string(),
        )
    }
}

fn server_info(server: &BackendInfo) -> ServerInfo {
    ServerInfo {
        server: server.key,
        service: ServiceKey::new(&server.service),
        slots: server.slots,
        draining: server.state != radishpaddle_model::BackendState::Serving,
        incarnation: server.incarnation,
        announced_at: server.first_seen,
    }
}
