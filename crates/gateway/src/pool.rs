//! Pools of backend servers by service, with their health, load and idle connections.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::{Retirement, ServerEvidence, ServerIncarnation, short_name_key};
use radishpaddle_policy::placement::{
    Candidate, FailureImpact, PlacedWork, Placement, Reason, RequestTerms, sample_zones,
};
use radishpaddle_policy::{IntakeTable, Urgency};
use radishpaddle_wire::ServerUpdate;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom as _;
use rand::{Rng as _, SeedableRng as _};

use crate::availability::{Availabilities, Availability};
use crate::backend_connection::BackendConnection;
use crate::cold::ColdServers;
use crate::left_out::{LeftOut, NoServer};
use crate::outcomes::ServiceOutcomes;
use crate::placement::AttemptTerms;
use crate::retirements::Retirements;
use crate::retry_budget::RetryBudget;
use crate::server::{AttemptResult, Server};
use crate::settings::{PlacementPolicy, RetryBudgetSettings};
use crate::zones::Zones;

/// Number of backend servers that are compared for one attempt of a busy service; they are a random sample when there are
/// more. Gateways learn of each other's requests a fraction of a second late, and without sampling all of them would
/// choose the few servers that looked best at that time.
const SAMPLE_SIZE: usize = 12;

/// Mean number of requests in flight per backend server from which a service is busy. Below it all servers are compared:
/// few of them have answered recently, and those have capacity for all requests.
const BUSY_IN_FLIGHT_PER_SERVER: f64 = 0.25;

/// Backend server that was selected for an attempt.
#[derive(Debug)]
pub struct ChosenServer {
    /// Name and start of the backend server.
    pub server: ServerIncarnation,
    /// Address for requests.
    pub address: SocketAddr,
    /// Identifier of the run of the backend server process in reports of crashes.
    pub incarnation_key: u64,
    /// Idle connection to reuse, if there is one.
    pub connection: Option<BackendConnection>,
    /// Estimated probability that the request fails, from 0 to 1.
    pub failure_probability: f64,
    /// Requests in flight at the server from all gateways, before this one.
    pub in_flight: u32,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Local time at which a pause of the server ended, if this is the first request since.
    pub pause_ended_at: Option<Duration>,
    /// Local time of the permit for the request, if the server is cold.
    pub permitted_at: Option<Duration>,
    /// Servers that were left out of the selection.
    pub left_out: LeftOut,
    /// Expected work of the request.
    pub work: PlacedWork,
    /// Why the server was selected.
    pub reason: Reason,
}

/// Load of the backend servers of a service that accept requests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServiceLoad {
    /// Requests in flight from all gateways.
    pub(crate) in_flight: u32,
    /// Requests that the servers run concurrently.
    pub(crate) slots: u32,
    /// Whether a server that is not excluded has a free slot.
    pub(crate) has_free_server: bool,
    /// Expected work of the requests in flight.
    pub(crate) outstanding: Duration,
    /// Age of the newest report of another gateway; `None` before the first one.
    pub(crate) age: Option<Duration>,
}

/// Backend servers, retry budgets and outcomes of all services.
#[derive(Debug)]
pub struct Pools {
    zone: Arc<str>,
    pub(crate) services: HashMap<Arc<str>, HashMap<Arc<str>, Server>>,
    pub(crate) service_of: HashMap<Arc<str>, Arc<str>>,
    names_by_short_key: HashMap<u32, Arc<str>>,
    pub(crate) retirements: Retirements,
    /// What servers said in their answers about new requests.
    pub(crate) intakes: IntakeTable,
    /// Evacuated availability zones.
    pub(crate) zones: Zones,
    pub(crate) cold: ColdServers,
    budgets: HashMap<Arc<str>, RetryBudget>,
    budget_settings: RetryBudgetSettings,
    gateways: u32,
    outcomes: ServiceOutcomes,
    /// Local time of the newest report of another gateway.
    reported_at: Option<Duration>,
    /// Whether requests with terms are placed by expected work.
    places_by_work: bool,
    pub(crate) rng: SmallRng,
}

impl Pools {
    /// Creates pools without backend servers; `zone` is the availability zone of this gateway.
    #[must_use]
    pub fn new(zone: Arc<str>, budget_settings: RetryBudgetSettings) -> Self {
        Self {
            zone,
            services: HashMap::new(),
            service_of: HashMap::new(),
            names_by_short_key: HashMap::new(),
            retirements: Retirements::default(),
            intakes: IntakeTable::default(),
            zones: Zones::default(),
            cold: ColdServers::new("".into(), Duration::ZERO),
            budgets: HashMap::new(),
            budget_settings,
            gateways: 1,
            outcomes: ServiceOutcomes::default(),
            reported_at: None,
            places_by_work: false,
            rng: SmallRng::from_os_rng(),
        }
    }

    /// Number of gateways of the fleet.
    pub(crate) const fn gateways(&self) -> u32 {
        self.gateways
    }

    /// Sets how servers are chosen for requests with terms.
    pub fn set_placement(&mut self, policy: PlacementPolicy) {
        self.places_by_work = policy == PlacementPolicy::Work;
    }

    /// Sets the number of gateways that share the retry budgets.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// Adds a backend server or updates its state. An announcement that is older than the known one is ignored.
    pub fn update(&mut self, update: ServerUpdate, now: Duration) {
        let presence = update.presence;
        let changed_service = self
            .service_of
            .get(&presence.id)
            .is_some_and(|service| *service != presence.service);
        if changed_service {
            self.remove(&presence.id);
        }
        let key = short_name_key(&presence.id);
        self.names_by_short_key
            .insert(key, Arc::clone(&presence.id));
        self.service_of
            .insert(Arc::clone(&presence.id), Arc::clone(&presence.service));
        let servers = self
            .services
            .entry(Arc::clone(&presence.service))
            .or_default();
        let warmup_ends_at = now + Duration::from_millis(presence.warmup_left_ms.into());
        match servers.get_mut(&presence.id) {
            Some(known) if known.presence.started_at_ms == presence.started_at_ms => {
                if known.presence.rank() < presence.rank() {
                    known.record_warmup(presence.warmup_left_ms, now);
                    if self.cold.has_warmup(&presence.service) {
                        known.warmup_ends_at = warmup_ends_at;
                    }
                }
                if known.presence.rank() <= presence.rank() {
                    known.presence = presence;
                }
                known.silent = update.silent;
            }
            Some(known) if known.presence.started_at_ms > presence.started_at_ms => (),
            _ => {
                let (id, warmup_left_ms) = (Arc::clone(&presence.id), presence.warmup_left_ms);
                let mut server = Server::new(presence, key, warmup_ends_at, update.silent);
                server.record_warmup(warmup_left_ms, now);
                servers.insert(id, server);
            }
        }
    }

    /// Removes a backend server and closes its idle connections.
    pub fn remove(&mut self, id: &str) {
        let Some(service) = self.service_of.remove(id) else {
            return;
        };
        self.names_by_short_key.remove(&short_name_key(id));
        if let Some(servers) = self.services.get_mut(&service) {
            servers.remove(id);
        }
    }

    /// Removes all backend servers except the named ones.
    pub fn retain(&mut self, names: &HashSet<Arc<str>>) {
        let known: Vec<_> = self.service_of.keys().cloned().collect();
        for id in known.iter().filter(|id| !names.contains(*id)) {
            self.remove(id);
        }
    }

    /// Applies the retirements up to an index of the replicated log.
    pub fn retire(&mut self, retirements: Vec<Retirement>, applied_index: u64) {
        self.retirements.apply(retirements, applied_index);
    }

    /// Applies evidence that another gateway reported.
    pub fn record_evidence(&mut self, gateway: u32, evidence: ServerEvidence, now: Duration) {
        let Some(name) = self.names_by_short_key.get(&evidence.server).cloned() else {
            return;
        };
        self.reported_at = Some(now);
        if let Some(server) = self.server_mut(&name) {
            server.record_results(evidence.succeeded.into(), evidence.failed.into(), now);
            let before = server
                .reported_load
                .insert(gateway, (evidence.in_flight, now));
            let before = before.map_or(0, |(in_flight, _)| u32::from(in_flight));
            // A request that hangs stays in flight in many reports; only new requests count as use.
            let ended = u32::from(evidence.succeeded) + u32::from(evidence.failed);
            if u32::from(evidence.in_flight) + ended > before {
                server.last_used_at = now;
            }
            let service = Arc::clone(&server.presence.service);
            let (succeeded, failed) = (evidence.succeeded.into(), evidence.failed.into());
            self.outcomes.count(&service, succeeded, failed, now);
        }
    }

    /// Returns the evidence of this gateway that is due for a coordinator.
    pub fn take_evidence(&mut self, now: Duration) -> Vec<ServerEvidence> {
        let servers = self.services.values_mut().flat_map(HashMap::values_mut);
        servers
            .filter_map(|server| server.take_evidence(now))
            .collect()
    }

    /// Counts a request in the retry budget of its service.
    pub fn record_request(&mut self, service: &Arc<str>, now: Duration) {
        self.budget(service).record_request(now);
    }

    /// Takes one retry out of the budget of a service. Returns `false` when the budget is exhausted, or the rest of it is
    /// reserved for more urgent requests.
    pub fn try_retry(
        &mut self,
        service: &Arc<str>,
        urgency: Option<Urgency>,
        now: Duration,
    ) -> bool {
        let gateways = self.gateways;
        self.budget(service).try_retry(urgency, gateways, now)
    }

    fn budget(&mut self, service: &Arc<str>) -> &mut RetryBudget {
        let settings = &self.budget_settings;
        self.budgets
            .entry(Arc::clone(service))
            .or_insert_with(|| RetryBudget::new(settings.clone()))
    }

    /// Selects a backend server by the number of requests in flight and counts the request as in flight there; `is_last`
    /// tells that no retry can follow.
    ///
    /// # Errors
    ///
    /// Fails when no server of the service accepts requests apart from those in `exclude`.
    pub fn choose(
        &mut self,
        service: &str,
        idempotent: bool,
        is_last: bool,
        exclude: &[Arc<str>],
        now: Duration,
    ) -> Result<ChosenServer, NoServer> {
        let attempt = AttemptTerms {
            idempotent,
            is_last,
            exclude,
            work: None,
        };
        self.place(service, &attempt, now)
    }

    /// Selects a backend server and counts the request as in flight there.
    ///
    /// # Errors
    ///
    /// Fails when no server of the service accepts requests apart from the excluded ones.
    pub(crate) fn place(
        &mut self,
        service: &str,
        attempt: &AttemptTerms<'_>,
        now: Duration,
    ) -> Result<ChosenServer, NoServer> {
        let impact = self.failure_impact(service, attempt, now);
        let held_back = self.draw_held_back(service, now);
        let chosen = self.place_among(service, attempt, impact, &held_back, now);
        if held_back.is_empty() || chosen.is_ok() {
            return chosen;
        }
        self.place_among(service, attempt, impact, &[], now)
    }

    /// Selects a server that is neither excluded nor held back.
    fn place_among(
        &mut self,
        service: &str,
        attempt: &AttemptTerms<'_>,
        impact: FailureImpact,
        held_back: &[Arc<str>],
        now: Duration,
    ) -> Result<ChosenServer, NoServer> {
        let work = attempt.work.as_ref().filter(|_| self.places_by_work);
        let mut none = NoServer::default();
        let availabilities = Availabilities {
            retirements: &self.retirements,
            intakes: &self.intakes,
            zones: &self.zones,
            cold: &self.cold,
            now,
        };
        let servers = self.services.get_mut(service).ok_or(none)?;
        let eligible = servers.iter().filter(|(name, server)| {
            let availability = availabilities.of(server);
            match availability {
                Availability::Accepting => none.any_accepting = true,
                Availability::LeftOut(reason) => none.left_out.add(reason),
                Availability::Evacuated => none.evacuated += 1,
                Availability::Cold { until } => none.add_cold(until),
                Availability::Retired => (),
            }
            availability == Availability::Accepting
                && !attempt.exclude.contains(name)
                && !held_back.contains(name)
        });
        let eligible = eligible.map(|(name, _)| Arc::clone(name));
        let names: Vec<Arc<str>> = if !is_busy(servers, self.gateways) {
            eligible.collect()
        } else if work.is_some() {
            let in_zone = |name: &Arc<str>| *servers[name].presence.zone == *self.zone;
            sample_zones(eligible, in_zone, &mut self.rng)
        } else {
            eligible.choose_multiple(&mut self.rng, SAMPLE_SIZE)
        };
        let candidates: Vec<Candidate> = names
            .iter()
            .enumerate()
            .map(|(index, name)| {
                let server = &servers[name];
                let start = server.presence.started_at_ms;
                let resumed = self.intakes.has_ended_pause(name, start, now);
                server.candidate(index, &self.zone, resumed, now)
            })
            .collect();
        let by_work = work.map(|query| {
            let located = candidates.iter().zip(&names);
            let located = located.map(|(candidate, name)| (*candidate, &servers[name]));
            query.candidates(service, located, now)
        });
        let request = work.map(|query| RequestTerms {
            degraded: self.outcomes.is_degraded(service, now),
            ..query.request
        });
        let placement = match (&by_work, &request) {
            (Some(candidates), Some(request)) => Placement::ByWork(candidates, request),
            _ => Placement::ByCount(&candidates),
        };
        let choice = placement.choose(impact, &mut self.rng).ok_or(none)?;
        let index = choice.index;
        let candidate = &candidates[index];
        let work = attempt.placed_work(now);
        let server = servers.get_mut(&names[index]).ok_or(none)?;
        let is_cold = self.cold.is_cold(server, &self.zones, now);
        if self.cold.has_warmup(service) {
            self.cold.permits.record_sent(&names[index], is_cold, now);
        }
        server.in_flight += 1;
        server.work.add(work);
        server.last_used_at = now;
        let start = server.presence.started_at_ms;
        Ok(ChosenServer {
            server: server.incarnation(),
            address: server.presence.address,
            incarnation_key: server.presence.incarnation_key(),
            connection: server.take_idle(attempt.idempotent),
            failure_probability: candidate.failure_probability,
            in_flight: candidate.in_flight,
            slots: candidate.slots,
            pause_ended_at: self.intakes.take_ended_pause(&names[index], start, now),
            permitted_at: is_cold.then_some(now),
            left_out: none.left_out,
            work,
            reason: choice.reason,
        })
    }

    /// Effect of a failed attempt. A request that the retry budget would not let be retried does not explore.
    fn failure_impact(
        &mut self,
        service: &str,
        attempt: &AttemptTerms<'_>,
        now: Duration,
    ) -> FailureImpact {
        let (idempotent, is_last) = (attempt.idempotent, attempt.is_last);
        let impact = self
            .outcomes
            .failure_impact(service, idempotent, is_last, now);
        if impact != FailureImpact::Retryable || attempt.work.is_none() || !self.places_by_work {
            return impact;
        }
        let gateways = self.gateways;
        let budget = self.budgets.get_mut(service);
        let may_retry = budget.is_none_or(|budget| budget.has_retry(None, gateways, now));
        if may_retry {
            impact
        } else {
            FailureImpact::Final
        }
    }

    /// Returns the load of a service; servers in `exclude` count as having no free slot. `mean` is the expected service time
    /// of its requests.
    pub(crate) fn load(
        &self,
        service: &str,
        exclude: &[Arc<str>],
        mean: Duration,
        now: Duration,
    ) -> ServiceLoad {
        let mut load = ServiceLoad {
            age: self.reported_at.map(|at| now.saturating_sub(at)),
            ..ServiceLoad::default()
        };
        let servers = self.services.get(service).into_iter().flatten();
        let availabilities = self.availabilities(now);
        let accepting = servers.filter(|(_, server)| availabilities.is_accepting(server));
        for (name, server) in accepting {
            let in_flight = server.fleet_in_flight(now);
            load.in_flight += in_flight;
            load.outstanding += server.outstanding(mean, now);
            // Servers announce any number of slots.
            load.slots = load.slots.saturating_add(server.presence.slots);
            load.has_free_server |= in_flight < server.presence.slots && !exclude.contains(name);
        }
        load
    }

    pub(crate) const fn availabilities(&self, now: Duration) -> Availabilities<'_> {
        Availabilities {
            retirements: &self.retirements,
            intakes: &self.intakes,
            zones: &self.zones,
            cold: &self.cold,
            now,
        }
    }

    /// Counts a request that this gateway refused itself. Gateways do not report their refusals to each other, so each
    /// one assumes that the others refuse as many.
    pub fn count_refused(&mut self, service: &Arc<str>, now: Duration) {
        let weight = f64::from(self.gateways);
        self.outcomes.count(service, 0.0, weight, now);
    }

    /// Removes the expected work of an attempt that has ended.
    pub(crate) fn remove_work(&mut self, server: &ServerIncarnation, work: PlacedWork) {
        if let Some(known) = self.incarnation_mut(server) {
            known.work.remove(work);
        }
    }

    /// Records the end of an attempt and stores its connection for reuse. An attempt at an earlier incarnation has no
    /// effect on the one that is known.
    pub fn finish_attempt(
        &mut self,
        server: &ServerIncarnation,
        result: AttemptResult,
        connection: Option<BackendConnection>,
        now: Duration,
    ) {
        let Some(known) = self.incarnation_mut(server) else {
            return;
        };
        known.in_flight = known.in_flight.saturating_sub(1);
        known.record_result(result, now);
        let service = Arc::clone(&known.presence.service);
        if let Some(connection) = connection {
            self.store_idle(server, connection, now);
        }
        match result {
            AttemptResult::Succeeded => self.outcomes.count(&service, 1.0, 0.0, now),
            AttemptResult::Failed => self.outcomes.count(&service, 0.0, 1.0, now),
            _ => (),
        }
        if result == AttemptResult::Misdirected {
            self.remove(&server.name);
        }
    }

    /// Records a result while the attempt goes on, such as an answer that is overdue.
    pub fn record_result(
        &mut self,
        server: &ServerIncarnation,
        result: AttemptResult,
        now: Duration,
    ) {
        if let Some(known) = self.incarnation_mut(server) {
            known.record_result(result, now);
        }
    }

    /// Stores a connection for reuse, or closes it when the server is leaving or its incarnation is not the known one.
    pub fn store_idle(
        &mut self,
        server: &ServerIncarnation,
        connection: BackendConnection,
        now: Duration,
    ) {
        let is_leaving = self
            .intakes
            .is_leaving(&server.name, server.started_at_ms, now);
        if let Some(known) = self.incarnation_mut(server).filter(|_| !is_leaving) {
            known.store_idle(connection);
        }
    }

    /// Ends the back-off of all backend servers after failures to connect.
    pub fn clear_connect_backoff(&mut self) {
        for server in self.services.values_mut().flat_map(HashMap::values_mut) {
            server.connect_failures = 0;
            server.connect_backoff_until = Duration::ZERO;
        }
    }

    /// Returns a random number from 0 (inclusive) to 1 (exclusive), for weighted choices.
    pub fn random(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }

    /// Closes idle connections that have reached their idle limit, before the backend server closes them.
    pub fn close_idle(&mut self) {
        for server in self.services.values_mut().flat_map(HashMap::values_mut) {
            server.idle.retain(|connection| connection.is_usable(true));
        }
    }

    pub(crate) fn incarnation_mut(&mut self, server: &ServerIncarnation) -> Option<&mut Server> {
        let known = self.server_mut(&server.name)?;
        (known.presence.started_at_ms == server.started_at_ms).then_some(known)
    }

    pub(crate) fn server_mut(&mut self, id: &str) -> Option<&mut Server> {
        let service = self.service_of.get(id)?;
        self.services.get_mut(service)?.get_mut(id)
    }
}

/// Whether a service is busy, judged by the requests in flight of this gateway; the other gateways are assumed to have
/// as many.
fn is_busy(servers: &HashMap<Arc<str>, Server>, gateways: u32) -> bool {
    let own: u32 = servers.values().map(|server| server.in_flight).sum();
    let servers = u32::try_from(servers.len()).unwrap_or(u32::MAX);
    f64::from(own) * f64::from(gateways) >= f64::from(servers) * BUSY_IN_FLIGHT_PER_SERVER
}
