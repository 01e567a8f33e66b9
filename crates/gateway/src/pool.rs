//! Backend servers as this gateway knows them: their health, load and idle connections, by service.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::{Retirement, ServerEvidence, short_key};
use radishpaddle_wire::ServerNews;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom as _;
use rand::{Rng as _, SeedableRng as _};

use crate::backend_connection::BackendConnection;
use crate::retry_budget::RetryBudget;
use crate::selection::{self, Candidate, Stake};
use crate::server::{AttemptResult, Server};
use crate::settings::RetryBudgetSettings;

/// Backend servers that are compared for one attempt of a busy service, drawn by lot when there are more. Gateways learn of
/// each other's requests a fraction of a second late, and would all choose the few servers that looked best then.
const SAMPLE: usize = 12;

/// Requests in flight for each backend server above which a service is busy. Below it the servers that answered lately
/// are few and worth finding, and they have room for all.
const BUSY: f64 = 0.25;

/// Share of unserved requests above which a service serves badly.
const DEGRADED: f64 = 0.05;

/// Time over which the outcomes of a service are averaged.
const OUTCOMES_WINDOW: Duration = Duration::from_secs(2);

/// A service without an idempotent request for this long has none for trials.
const IDEMPOTENT_SEEN: Duration = Duration::from_secs(3);

/// A backend server that was chosen for an attempt.
#[derive(Debug)]
pub struct Chosen {
    /// Name of the backend server.
    pub id: Arc<str>,
    /// Where it is.
    pub address: SocketAddr,
    /// Life of the backend server.
    pub life: u64,
    /// A connection that was used before.
    pub connection: Option<BackendConnection>,
    /// Probability that the request fails, as estimated.
    pub failure_probability: f64,
    /// Requests in flight at the server, as far as known.
    pub in_flight: u32,
}

/// All backend servers.
#[derive(Debug)]
pub struct Pools {
    zone: Arc<str>,
    services: HashMap<Arc<str>, HashMap<Arc<str>, Server>>,
    service_of: HashMap<Arc<str>, Arc<str>>,
    by_key: HashMap<u32, Arc<str>>,
    retired: HashMap<Arc<str>, Retirement>,
    /// Index of the log of the newest list of retirements.
    retired_index: u64,
    budgets: HashMap<Arc<str>, RetryBudget>,
    budget_settings: RetryBudgetSettings,
    gateways: u32,
    /// Newest idempotent request of each service here.
    idempotent_at: HashMap<Arc<str>, Duration>,
    /// How each service serves, for trials.
    outcomes: HashMap<Arc<str>, Outcomes>,
    rng: SmallRng,
}

/// Requests that were served or not, the older ones with less weight.
#[derive(Debug, Clone, Copy, Default)]
struct Outcomes {
    served: f64,
    unserved: f64,
    updated_at: Duration,
}

impl Outcomes {
    fn record(&mut self, served: f64, unserved: f64, now: Duration) {
        let fade = self.fade(now);
        self.served = self.served * fade + served;
        self.unserved = self.unserved * fade + unserved;
        self.updated_at = now;
    }

    fn unserved_share(&self, now: Duration) -> f64 {
        let fade = self.fade(now);
        let unserved = self.unserved * fade;
        unserved / (unserved + self.served * fade).max(1.0)
    }

    fn fade(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        (-age / OUTCOMES_WINDOW.as_secs_f64()).exp()
    }
}

impl Pools {
    /// Empty pools.
    #[must_use]
    pub fn new(zone: Arc<str>, budget_settings: RetryBudgetSettings) -> Self {
        Self {
            zone,
            services: HashMap::new(),
            service_of: HashMap::new(),
            by_key: HashMap::new(),
            retired: HashMap::new(),
            retired_index: 0,
            budgets: HashMap::new(),
            budget_settings,
            gateways: 1,
            idempotent_at: HashMap::new(),
            outcomes: HashMap::new(),
            rng: SmallRng::from_os_rng(),
        }
    }

    /// Sets the number of gateways that share budgets.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// Takes news about a backend server.
    pub fn update(&mut self, news: ServerNews, now: Duration) {
        let presence = news.presence;
        let moved = self
            .service_of
            .get(&presence.id)
            .is_some_and(|service| *service != presence.service);
        if moved {
            self.remove(&presence.id);
        }
        let key = short_key(&presence.id);
        self.by_key.insert(key, Arc::clone(&presence.id));
        self.service_of
            .insert(Arc::clone(&presence.id), Arc::clone(&presence.service));
        let servers = self
            .services
            .entry(Arc::clone(&presence.service))
            .or_default();
        let warm_at = now + Duration::from_millis(presence.warmup_left_ms.into());
        match servers.get_mut(&presence.id) {
            Some(known) if known.presence.started_at_ms == presence.started_at_ms => {
                if known.presence.rank() <= presence.rank() {
                    known.presence = presence;
                }
                known.silent = news.silent;
            }
            Some(known) if known.presence.started_at_ms > presence.started_at_ms => (),
            _ => {
                servers.insert(
                    Arc::clone(&presence.id),
                    Server::new(presence, key, warm_at, news.silent),
                );
            }
        }
    }

    /// Forgets a backend server.
    pub fn remove(&mut self, id: &str) {
        let Some(service) = self.service_of.remove(id) else {
            return;
        };
        self.by_key.remove(&short_key(id));
        if let Some(servers) = self.services.get_mut(&service) {
            servers.remove(id);
        }
    }

    /// Forgets every backend server that is not named.
    pub fn retain(&mut self, names: &HashSet<Arc<str>>) {
        let gone: Vec<_> = self.service_of.keys().cloned().collect();
        for id in gone.iter().filter(|id| !names.contains(*id)) {
            self.remove(id);
        }
    }

    /// Takes the retirements up to an index of the log. A newer list replaces the one before, since coordinators forget
    /// old ones; of an older list the newest retirement of each backend server counts.
    pub fn retire(&mut self, retirements: Vec<Retirement>, applied_index: u64) {
        if applied_index >= self.retired_index {
            self.retired_index = applied_index;
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

    /// Takes evidence of another gateway.
    pub fn observe(&mut self, gateway: u32, evidence: ServerEvidence, now: Duration) {
        let Some(server) = self.by_key.get(&evidence.server).cloned() else {
            return;
        };
        if let Some(server) = self.server_mut(&server) {
            server
                .health
                .record(evidence.succeeded.into(), evidence.failed.into(), now);
            let before = server.others.insert(gateway, (evidence.in_flight, now));
            let before = before.map_or(0, |(in_flight, _)| u32::from(in_flight));
            // A request that hangs is in flight for long; only new ones count as use.
            let ended = u32::from(evidence.succeeded) + u32::from(evidence.failed);
            if u32::from(evidence.in_flight) + ended > before {
                server.used_at = now;
            }
            let service = Arc::clone(&server.presence.service);
            let (good, bad) = (evidence.succeeded.into(), evidence.failed.into());
            self.count_outcomes(&service, good, bad, now);
        }
    }

    /// Evidence of this gateway since the last call.
    pub fn take_evidence(&mut self) -> Vec<ServerEvidence> {
        let servers = self.services.values_mut().flat_map(HashMap::values_mut);
        servers.filter_map(Server::take_evidence).collect()
    }

    /// Counts a request for the retry budget of its service.
    pub fn record_request(&mut self, service: &Arc<str>, now: Duration) {
        self.budget(service).record_request(now);
    }

    /// Takes one repeat out of the budget of a service, if there is one.
    pub fn try_repeat(&mut self, service: &Arc<str>, now: Duration) -> bool {
        let gateways = self.gateways;
        self.budget(service).try_repeat(gateways, now)
    }

    fn budget(&mut self, service: &Arc<str>) -> &mut RetryBudget {
        let settings = &self.budget_settings;
        self.budgets
            .entry(Arc::clone(service))
            .or_insert_with(|| RetryBudget::new(settings.clone()))
    }

    /// Chooses a backend server and counts the request as in flight there.
    pub fn choose(
        &mut self,
        service: &str,
        idempotent: bool,
        is_last: bool,
        exclude: &[Arc<str>],
        now: Duration,
    ) -> Option<Chosen> {
        let stake = self.stake(service, idempotent, is_last, now);
        let servers = self.services.get_mut(service)?;
        let fitting = servers.iter().filter(|(name, server)| {
            server.takes_work(self.retired.get(*name)) && !exclude.contains(name)
        });
        let fitting = fitting.map(|(name, _)| Arc::clone(name));
        let names: Vec<Arc<str>> = if is_busy(servers, self.gateways) {
            fitting.choose_multiple(&mut self.rng, SAMPLE)
        } else {
            fitting.collect()
        };
        let candidates: Vec<Candidate> = names
            .iter()
            .enumerate()
            .map(|(index, name)| servers[name].candidate(index, &self.zone, now))
            .collect();
        let index = selection::choose(&candidates, stake, &mut self.rng)?;
        let candidate = candidates
            .iter()
            .find(|candidate| candidate.index == index)?;
        let server = servers.get_mut(&names[index])?;
        server.in_flight += 1;
        server.used_at = now;
        Some(Chosen {
            id: Arc::clone(&names[index]),
            address: server.presence.address,
            life: server.presence.life(),
            connection: server.idle_connection(idempotent),
            failure_probability: candidate.failure_probability,
            in_flight: candidate.in_flight,
        })
    }

    fn stake(&mut self, service: &str, idempotent: bool, is_last: bool, now: Duration) -> Stake {
        if idempotent {
            self.idempotent_at.insert(service.into(), now);
            return if is_last {
                Stake::Final
            } else {
                Stake::Repeatable
            };
        }
        let seen = self.idempotent_at.get(service);
        if seen.is_some_and(|at| now.saturating_sub(*at) < IDEMPOTENT_SEEN) {
            Stake::Final
        } else {
            let outcomes = self.outcomes.get(service);
            Stake::FinalWithoutTrials {
                degraded: outcomes.is_some_and(|outcomes| outcomes.unserved_share(now) > DEGRADED),
            }
        }
    }

    /// Counts requests of a service that were served or not, here or at other gateways.
    fn count_outcomes(&mut self, service: &Arc<str>, served: f64, unserved: f64, now: Duration) {
        let outcomes = self.outcomes.entry(Arc::clone(service)).or_default();
        outcomes.record(served, unserved, now);
    }

    /// Counts a request that the gateway refused itself. Other gateways refuse as many.
    pub fn count_refused(&mut self, service: &Arc<str>, now: Duration) {
        let weight = f64::from(self.gateways);
        self.count_outcomes(service, 0.0, weight, now);
    }

    /// Counts the end of an attempt and takes its connection back.
    pub fn finish(
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
        server.count(result, now);
        let service = Arc::clone(&server.presence.service);
        if let Some(connection) = connection {
            server.keep(connection);
        }
        match result {
            AttemptResult::Succeeded => self.count_outcomes(&service, 1.0, 0.0, now),
            AttemptResult::Failed => self.count_outcomes(&service, 0.0, 1.0, now),
            _ => (),
        }
        if result == AttemptResult::Moved {
            self.remove(id);
        }
    }

    /// Counts a result without the end of an attempt, such as an answer that is overdue.
    pub fn note(&mut self, id: &str, result: AttemptResult, now: Duration) {
        if let Some(server) = self.server_mut(id) {
            server.count(result, now);
        }
    }

    /// Keeps a connection that was opened without a request.
    pub fn keep(&mut self, id: &str, connection: BackendConnection) {
        if let Some(server) = self.server_mut(id) {
            server.keep(connection);
        }
    }

    /// Random number from 0 to 1, for weighted choices.
    pub fn random(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }

    /// Closes idle connections that a backend server may close itself at any moment.
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

/// Whether a service is busy, judged by the requests of this gateway: the others are taken to have as many.
fn is_busy(servers: &HashMap<Arc<str>, Server>, gateways: u32) -> bool {
    let own: u32 = servers.values().map(|server| server.in_flight).sum();
    let servers = u32::try_from(servers.len()).unwrap_or(u32::MAX);
    f64::from(own) * f64::from(gateways) >= f64::from(servers) * BUSY
}
