//! Pools of backend servers by service, with their health, load and idle connections.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::{Retirement, ServerEvidence, short_name_key};
use radishpaddle_wire::ServerUpdate;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom as _, IteratorRandom as _};
use rand::{Rng as _, SeedableRng as _};

use crate::backend_connection::BackendConnection;
use crate::outcomes::Outcomes;
use crate::retry_budget::RetryBudget;
use crate::selection::{self, Candidate, FailureImpact};
use crate::server::{AttemptResult, Server};
use crate::settings::RetryBudgetSettings;

/// Number of backend servers that are compared for one attempt of a busy service; they are a random sample when there are
/// more. Gateways learn of each other's requests a fraction of a second late, and without sampling all of them would
/// choose the few servers that looked best at that time.
const SAMPLE_SIZE: usize = 12;

/// Mean number of requests in flight per backend server from which a service is busy. Below it all servers are compared:
/// few of them have answered recently, and those have capacity for all requests.
const BUSY_IN_FLIGHT_PER_SERVER: f64 = 0.25;

/// Share of unserved requests above which a service is degraded.
const DEGRADED_UNSERVED_SHARE: f64 = 0.05;

/// Time after the last idempotent request of a service at this gateway from which the service counts as having
/// none that could serve as probes.
const IDEMPOTENT_TRAFFIC_TIMEOUT: Duration = Duration::from_secs(3);

/// Backend server that was selected for an attempt.
#[derive(Debug)]
pub struct ChosenServer {
    /// Name of the backend server.
    pub id: Arc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Identifier of the run of the backend server process.
    pub incarnation: u64,
    /// Idle connection to reuse, if there is one.
    pub connection: Option<BackendConnection>,
    /// Estimated probability that the request fails, from 0 to 1.
    pub failure_probability: f64,
    /// Requests in flight at the server from all gateways, before this one.
    pub in_flight: u32,
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
}

/// Backend servers, retry budgets and outcomes of all services.
#[derive(Debug)]
pub struct Pools {
    zone: Arc<str>,
    services: HashMap<Arc<str>, HashMap<Arc<str>, Server>>,
    service_of: HashMap<Arc<str>, Arc<str>>,
    names_by_short_key: HashMap<u32, Arc<str>>,
    retired: HashMap<Arc<str>, Retirement>,
    /// Index of the replicated log up to which the newest list of retirements reaches.
    retirements_index: u64,
    budgets: HashMap<Arc<str>, RetryBudget>,
    budget_settings: RetryBudgetSettings,
    gateways: u32,
    /// Local time of the last idempotent request of each service at this gateway.
    last_idempotent_at: HashMap<Arc<str>, Duration>,
    /// Served and unserved requests of each service; they decide how often requests that cannot be retried probe.
    outcomes: HashMap<Arc<str>, Outcomes>,
    rng: SmallRng,
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
            retired: HashMap::new(),
            retirements_index: 0,
            budgets: HashMap::new(),
            budget_settings,
            gateways: 1,
            last_idempotent_at: HashMap::new(),
            outcomes: HashMap::new(),
            rng: SmallRng::from_os_rng(),
        }
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
                if known.presence.rank() <= presence.rank() {
                    known.presence = presence;
                }
                known.silent = update.silent;
            }
            Some(known) if known.presence.started_at_ms > presence.started_at_ms => (),
            _ => {
                servers.insert(
                    Arc::clone(&presence.id),
                    Server::new(presence, key, warmup_ends_at, update.silent),
                );
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

    /// Applies the retirements up to an index of the replicated log. A list with the same or a higher index replaces the
    /// previous one, because coordinators remove old retirements; an older list is merged, and the newest retirement
    /// of each backend server counts.
    pub fn retire(&mut self, retirements: Vec<Retirement>, applied_index: u64) {
        if applied_index >= self.retirements_index {
            self.retirements_index = applied_index;
            self.retired.clear();
        }
        for retirement in retirements {
            let rank = |known: &Retirement| (known.started_at_ms, known.state);
            let known = self.retired.get(&retirement.id);
            if known.is_none_or(|known| rank(known) < rank(&retirement)) {
                self.retired.insert(Arc::clone(&retirement.id), retirement);
            }
        }
    }

    /// Applies evidence that another gateway reported.
    pub fn record_evidence(&mut self, gateway: u32, evidence: ServerEvidence, now: Duration) {
        let Some(name) = self.names_by_short_key.get(&evidence.server).cloned() else {
            return;
        };
        if let Some(server) = self.server_mut(&name) {
            server
                .health
                .record(evidence.succeeded.into(), evidence.failed.into(), now);
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
            self.count_outcomes(&service, succeeded, failed, now);
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

    /// Takes one retry out of the budget of a service. Returns `false` when the budget is exhausted.
    pub fn try_retry(&mut self, service: &Arc<str>, now: Duration) -> bool {
        let gateways = self.gateways;
        self.budget(service).try_retry(gateways, now)
    }

    fn budget(&mut self, service: &Arc<str>) -> &mut RetryBudget {
        let settings = &self.budget_settings;
        self.budgets
            .entry(Arc::clone(service))
            .or_insert_with(|| RetryBudget::new(settings.clone()))
    }

    /// Selects a backend server and counts the request as in flight there. Returns `None` when no server of the service
    /// accepts requests apart from those in `exclude`; `is_last` tells that no retry can follow.
    pub fn choose(
        &mut self,
        service: &str,
        idempotent: bool,
        is_last: bool,
        exclude: &[Arc<str>],
        now: Duration,
    ) -> Option<ChosenServer> {
        let impact = self.failure_impact(service, idempotent, is_last, now);
        let servers = self.services.get_mut(service)?;
        let eligible = servers.iter().filter(|(name, server)| {
            server.accepts_requests(self.retired.get(*name)) && !exclude.contains(name)
        });
        let eligible = eligible.map(|(name, _)| Arc::clone(name));
        let names: Vec<Arc<str>> = if is_busy(servers, self.gateways) {
            eligible.choose_multiple(&mut self.rng, SAMPLE_SIZE)
        } else {
            eligible.collect()
        };
        let candidates: Vec<Candidate> = names
            .iter()
            .enumerate()
            .map(|(index, name)| servers[name].candidate(index, &self.zone, now))
            .collect();
        let index = selection::choose(&candidates, impact, &mut self.rng)?;
        let candidate = candidates
            .iter()
            .find(|candidate| candidate.index == index)?;
        let server = servers.get_mut(&names[index])?;
        server.in_flight += 1;
        server.last_used_at = now;
        Some(ChosenServer {
            id: Arc::clone(&names[index]),
            address: server.presence.address,
            incarnation: server.presence.incarnation_key(),
            connection: server.take_idle(idempotent),
            failure_probability: candidate.failure_probability,
            in_flight: candidate.in_flight,
        })
    }

    /// Returns the load of a service; servers in `exclude` count as having no free slot.
    pub(crate) fn load(&self, service: &str, exclude: &[Arc<str>], now: Duration) -> ServiceLoad {
        let mut load = ServiceLoad::default();
        let servers = self.services.get(service).into_iter().flatten();
        let accepting =
            servers.filter(|(name, server)| server.accepts_requests(self.retired.get(*name)));
        for (name, server) in accepting {
            let in_flight = server.fleet_in_flight(now);
            load.in_flight += in_flight;
            load.slots += server.presence.slots;
            load.has_free_server |= in_flight < server.presence.slots && !exclude.contains(name);
        }
        load
    }

    fn failure_impact(
        &mut self,
        service: &str,
        idempotent: bool,
        is_last: bool,
        now: Duration,
    ) -> FailureImpact {
        if idempotent {
            self.last_idempotent_at.insert(service.into(), now);
            return if is_last {
                FailureImpact::Final
            } else {
                FailureImpact::Retryable
            };
        }
        let last = self.last_idempotent_at.get(service);
        if last.is_some_and(|at| now.saturating_sub(*at) < IDEMPOTENT_TRAFFIC_TIMEOUT) {
            FailureImpact::Final
        } else {
            let outcomes = self.outcomes.get(service);
            FailureImpact::FinalWithoutProbes {
                degraded: outcomes
                    .is_some_and(|outcomes| outcomes.unserved_share(now) > DEGRADED_UNSERVED_SHARE),
            }
        }
    }

    /// Counts served and unserved requests of a service at this or another gateway.
    fn count_outcomes(&mut self, service: &Arc<str>, served: f64, unserved: f64, now: Duration) {
        let outcomes = self.outcomes.entry(Arc::clone(service)).or_default();
        outcomes.record(served, unserved, now);
    }

    /// Counts a request that this gateway refused itself. Gateways do not report their refusals to each other, so each
    /// one assumes that the others refuse as many.
    pub fn count_refused(&mut self, service: &Arc<str>, now: Duration) {
        let weight = f64::from(self.gateways);
        self.count_outcomes(service, 0.0, weight, now);
    }

    /// Records the end of an attempt and stores its connection for reuse.
    pub fn finish_attempt(
        &mut self,
        id: &str,
        result: AttemptResult,
        connection: Option<BackendConnection>,
        now: Duration,
    ) {
        let Some(server) = self.server_mut(id) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        server.record_result(result, now);
        let service = Arc::clone(&server.presence.service);
        if let Some(connection) = connection {
            server.store_idle(connection);
        }
        match result {
            AttemptResult::Succeeded => self.count_outcomes(&service, 1.0, 0.0, now),
            AttemptResult::Failed => self.count_outcomes(&service, 0.0, 1.0, now),
            _ => (),
        }
        if result == AttemptResult::Misdirected {
            self.remove(id);
        }
    }

    /// Records a result while the attempt goes on, such as an answer that is overdue.
    pub fn record_result(&mut self, id: &str, result: AttemptResult, now: Duration) {
        if let Some(server) = self.server_mut(id) {
            server.record_result(result, now);
        }
    }

    /// Stores a connection that was opened without a request, for reuse.
    pub fn store_idle(&mut self, id: &str, connection: BackendConnection) {
        if let Some(server) = self.server_mut(id) {
            server.store_idle(connection);
        }
    }

    /// Number of backend servers of all services.
    #[must_use]
    pub fn known_servers(&self) -> usize {
        self.service_of.len()
    }

    /// Returns at most `count` backend servers at random, of all services.
    pub fn sample_servers(&mut self, count: usize) -> Vec<(Arc<str>, SocketAddr)> {
        let servers = self.services.values().flatten();
        let accepting =
            servers.filter(|(name, server)| server.accepts_requests(self.retired.get(*name)));
        let addresses = accepting.map(|(name, server)| (Arc::clone(name), server.presence.address));
        addresses.choose_multiple(&mut self.rng, count)
    }

    /// Returns at most `count` of the gateways in random order.
    pub(crate) fn choose_relays(&mut self, relays: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
        let chosen = relays.choose_multiple(&mut self.rng, count);
        chosen.copied().collect()
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

    fn server_mut(&mut self, id: &str) -> Option<&mut Server> {
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
