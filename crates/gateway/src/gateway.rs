//! State shared by the tasks of a gateway, and the handle that starts and stops them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Result;
use radishpaddle_kernel::{DecisionLog, LogSampling, PlannedStop, boot_clock};
use radishpaddle_model::{OrganisationDemand, RoutingConfig, RoutingTable, ServerIncarnation};
use radishpaddle_policy::placement::PlacedWork;
use radishpaddle_policy::reachability::{Reachability, ReachabilityChange};
use radishpaddle_policy::{ByteBudget, Urgency};
use radishpaddle_wire::PollReply;
use radishpaddle_wire::message::PollReplyExtension;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use serde_json::json;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout_at};

use crate::admission_queue::{self, AdmissionQueue};
use crate::backend_connection::{BackendConnection, Reception};
use crate::caller_body::SharedPace;
use crate::callers::CallerListener;
use crate::crash_watch::CrashWatch;
use crate::forward::Headers;
use crate::metrics::GatewayMetrics;
use crate::path_check;
use crate::poll_task;
use crate::pool::Pools;
use crate::quota::{FleetDemand, Limit, OverLimit, Quota};
use crate::received_details::ReceivedDetails;
use crate::server::AttemptResult;
use crate::service_times::ServiceTimes;
use crate::settings::{GatewaySettings, LoadManagement};

/// Period between two checks for idle connections that have expired.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// State of a gateway that is shared by requests and background tasks.
pub struct Shared {
    /// Settings of the process.
    pub settings: GatewaySettings,
    /// Parsed header names of the settings.
    pub headers: Headers,
    /// Counters, gauges and histograms.
    pub metrics: GatewayMetrics,
    /// Log of requests and state changes.
    pub log: DecisionLog,
    /// Planned stop of the process.
    pub stop: PlannedStop,
    /// Budget of the bodies that the process holds.
    pub budget: ByteBudget,
    /// Pace of large bodies, if the bandwidth of the link is known.
    pace: Option<SharedPace>,
    /// Requests that wait for admission.
    pub(crate) admission: AdmissionQueue,
    /// Wakes the task that checks whether backend servers can be reached.
    pub(crate) path_doubted: Notify,
    /// Wakes the poll task to report a failure or crash without waiting for the next poll.
    pub report_now: Notify,
    contacts: Mutex<Vec<SocketAddr>>,
    reachability: Mutex<Reachability>,
    /// Caller addresses of gateways that reach backend servers, while this one does not.
    relays: Mutex<Vec<SocketAddr>>,
    table: Mutex<Arc<RoutingTable>>,
    pools: Mutex<Pools>,
    quota: Mutex<Quota>,
    crash_watch: Mutex<CrashWatch>,
    /// Service times by route and kind of request.
    pub(crate) service_times: ServiceTimes,
    /// Local time up to which the newest freshness proof of a coordinator covers the configuration.
    proved_at: Mutex<Option<Duration>>,
    /// Whether there has been a freshness proof since the start of the process.
    has_proof: watch::Sender<bool>,
}

/// Handle to a running gateway.
pub struct Gateway {
    shared: Arc<Shared>,
    callers: CallerListener,
}

impl Gateway {
    /// Binds the address for callers and starts the background tasks.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound, a header name is malformed or a metric cannot be registered.
    pub async fn spawn(settings: GatewaySettings, log: DecisionLog) -> Result<Self> {
        let retry_budget = settings.retry_budget.clone();
        let machine = settings.machine.as_ref();
        let memory_bytes = machine.map(|machine| machine.memory_bytes);
        let pace = machine.map(|machine| SharedPace::new(machine.link_bytes_per_s));
        let shared = Arc::new(Shared {
            headers: Headers::parse(&settings.headers)?,
            metrics: GatewayMetrics::register()?,
            log,
            stop: PlannedStop::new(settings.stop_plan()),
            budget: ByteBudget::for_memory(memory_bytes),
            pace,
            admission: AdmissionQueue::new(
                settings.machine.as_ref(),
                SmallRng::from_os_rng().random(),
            ),
            path_doubted: Notify::new(),
            report_now: Notify::new(),
            reachability: Mutex::default(),
            relays: Mutex::default(),
            contacts: Mutex::new(settings.contacts.clone()),
            table: Mutex::default(),
            pools: Mutex::new(Pools::new(Arc::clone(&settings.zone), retry_budget)),
            quota: Mutex::new(Quota::new(settings.quota.clone(), SmallRng::from_os_rng())),
            crash_watch: Mutex::default(),
            service_times: ServiceTimes::default(),
            proved_at: Mutex::default(),
            has_proof: watch::Sender::new(false),
            settings,
        });
        let instance = Arc::clone(&shared.settings.instance);
        shared.pools().set_instance(instance, boot_clock::now());
        shared.pools().set_placement(shared.settings.placement);
        let callers = CallerListener::bind(Arc::clone(&shared)).await?;
        poll_task::spawn(Arc::clone(&shared));
        path_check::spawn(Arc::clone(&shared));
        tokio::spawn(close_idle(Arc::clone(&shared)));
        tokio::spawn(admission_queue::check_queue(Arc::clone(&shared)));
        Ok(Self { shared, callers })
    }

    /// Whether this instance should get requests of callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Replaces the addresses of coordinators that are polled when none of the known coordinators answers.
    pub fn set_contacts(&self, contacts: Vec<SocketAddr>) {
        *lock(&self.shared.contacts) = contacts;
    }

    /// State of the gateway, for the readiness check and the metrics page.
    #[must_use]
    pub const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Stops the gateway gracefully: it reports itself as not ready at once and serves requests in progress until the
    /// stop deadline of the settings.
    pub async fn stop(self) {
        self.callers.stop().await;
    }
}

/// Closes idle connections that have expired and counts paused and cold servers, periodically.
async fn close_idle(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(IDLE_CHECK_PERIOD).await;
        lock(&shared.pools).close_idle();
        shared.count_paused_servers();
        shared.metrics.record_budget(&shared.budget);
        shared.count_cold_servers();
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Whether this instance should get requests of callers: it is not stopping, has a configuration and can prove
    /// that it is current.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stop.has_begun() && self.table().config().version > 0 && self.is_fresh()
    }

    /// Returns the routing table of the configuration in use.
    #[must_use]
    pub fn table(&self) -> Arc<RoutingTable> {
        Arc::clone(&lock(&self.table))
    }

    /// Age of the newest freshness proof, which shows that the configuration was current; `None` before the first one.
    #[must_use]
    pub fn proof_age(&self) -> Option<Duration> {
        let proved_at = *lock(&self.proved_at);
        proved_at.map(|at| boot_clock::now().saturating_sub(at))
    }

    /// Whether the newest freshness proof is recent enough to serve requests that need a key.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let limit = Duration::from_millis(self.settings.freshness_limit_ms);
        self.proof_age().is_some_and(|age| age <= limit)
    }

    /// Waits until the first freshness proof after the start of the process, or until the deadline. Without the wait,
    /// requests that arrive shortly before the proof would be refused.
    pub async fn wait_for_proof(&self, deadline: Instant) {
        let mut has_proof = self.has_proof.subscribe();
        // After a timeout the request is checked without a proof and refused if it needs one.
        let _ = timeout_at(deadline, has_proof.wait_for(|has_proof| *has_proof)).await;
    }

    /// Applies the reply of a coordinator to a poll that was sent at the local time `sent_at`.
    pub fn apply_poll_reply(
        &self,
        reply: PollReply,
        extension: &PollReplyExtension,
        sent_at: Duration,
    ) {
        let now = boot_clock::now();
        // Retirements and starts first: they tell what the servers that are known so far have done.
        if let Some(retired) = reply.retired {
            lock(&self.pools).retire(retired, reply.applied_index);
        }
        self.record_starts(&reply.servers);
        {
            let mut pools = lock(&self.pools);
            pools.set_gateways(reply.gateways);
            // The list of a coordinator that has just started is not complete and must not remove servers.
            if reply.whole && reply.complete {
                let names = reply.servers.iter();
                let names = names
                    .map(|update| Arc::clone(&update.presence.id))
                    .collect();
                pools.retain(&names);
            }
            for update in reply.servers {
                pools.update(update, now);
            }
            for id in &reply.removed {
                pools.remove(id);
            }
            for (gateway, evidence) in reply.evidence {
                pools.record_evidence(gateway, evidence, now);
            }
        }
        self.apply_zones(extension);
        let demand = FleetDemand {
            coordinator: reply.coordinator,
            total: reply.demand,
            unknown_gateways: reply.unknown_gateways,
            own: reply.own_demand,
            gateways: reply.gateways,
        };
        {
            let mut quota = lock(&self.quota);
            quota.set_demand(&demand, now);
            let levels = extension.levels.iter();
            let levels = levels.map(|level| (level.organisation.as_str().into(), level.tokens));
            if quota.set_initial_tokens(levels) > 0 {
                log::warn!("gateway: a coordinator reported invalid levels of limits");
                self.metrics.invalid_replies.inc();
            }
        }
        let version = reply.config_version;
        let details = ReceivedDetails::of(extension, reply.config_version);
        if let Some(config) = reply.config {
            self.set_config(&config, details.as_ref());
        }
        if let Some(details) = details {
            self.set_config_details(details);
        }
        self.apply_warmups(extension, version, reply.proof_age_ms, sent_at);
        // The proof covers the configuration of the coordinator, so it is valid here only once this gateway uses at
        // least that version.
        if self.table().config().version >= version
            && let Some(age_ms) = reply.proof_age_ms
        {
            let proved_at = sent_at.saturating_sub(Duration::from_millis(age_ms.into()));
            let mut newest = lock(&self.proved_at);
            *newest = Some(newest.map_or(proved_at, |newest| newest.max(proved_at)));
            self.has_proof
                .send_if_modified(|has_proof| !std::mem::replace(has_proof, true));
        }
    }

    /// Version of the configuration in use if its details are known, else 0.
    pub(crate) fn details_version(&self) -> u64 {
        let table = self.table();
        let config = table.config();
        config.details.as_ref().map_or(0, |_| config.version)
    }

    /// Adds details of the configuration in use that arrive after it.
    fn set_config_details(&self, received: ReceivedDetails) {
        let mut table = lock(&self.table);
        if table.config().details.is_some() || received.version != table.config().version {
            return;
        }
        let mut config = table.config().clone();
        config.details = Some(received.details);
        *table = Arc::new(RoutingTable::new(config));
    }

    /// Puts a configuration in use unless the present one is at least as new, with its details if they are at hand.
    fn set_config(&self, config: &RoutingConfig, details: Option<&ReceivedDetails>) {
        let mut table = lock(&self.table);
        if table.config().version >= config.version {
            return;
        }
        let before = table.config().version;
        self.log.record(
            "config_applied",
            LogSampling::Each,
            || json!({"version": config.version, "before": before}),
        );
        let version = i64::try_from(config.version).unwrap_or(i64::MAX);
        self.metrics.config_version.set(version);
        let limited = config.organisations.iter();
        let limited = limited.filter(|organisation| organisation.rate_per_s > 0.0);
        let limits =
            limited.map(|organisation| (Arc::clone(&organisation.name), Limit::from(organisation)));
        lock(&self.quota).set_limits(limits, boot_clock::now());
        let details = details.filter(|received| received.version == config.version);
        let mut config = config.clone();
        config.details = details.map(|received| received.details.clone());
        *table = Arc::new(RoutingTable::new(config));
    }

    pub(crate) fn contacts(&self) -> Vec<SocketAddr> {
        lock(&self.contacts).clone()
    }

    pub(crate) fn crash_watch(&self) -> MutexGuard<'_, CrashWatch> {
        lock(&self.crash_watch)
    }

    pub(crate) fn pools(&self) -> MutexGuard<'_, Pools> {
        lock(&self.pools)
    }

    pub(crate) fn finish_attempt(
        &self,
        server: &ServerIncarnation,
        work: PlacedWork,
        result: AttemptResult,
        connection: Option<BackendConnection>,
    ) {
        let mut pools = lock(&self.pools);
        pools.remove_work(server, work);
        pools.finish_attempt(server, result, connection, boot_clock::now());
        drop(pools);
        if result == AttemptResult::Failed {
            self.report_now.notify_one();
        }
    }

    pub(crate) fn record_result(&self, server: &ServerIncarnation, result: AttemptResult) {
        lock(&self.pools).record_result(server, result, boot_clock::now());
        if result == AttemptResult::Failed {
            self.report_now.notify_one();
        }
    }

    /// Whether this gateway reaches no backend server.
    pub(crate) fn is_isolated(&self) -> bool {
        lock(&self.reachability).is_isolated()
    }

    /// Whether a connection to a backend server failed and none has been opened since.
    pub(crate) fn is_path_doubtful(&self) -> bool {
        lock(&self.reachability).unreachable_servers() > 0
    }

    /// Records that a connection to a backend server was opened.
    pub(crate) fn record_connected(&self) {
        let change = lock(&self.reachability).record_connected();
        if change == Some(ReachabilityChange::Regained) {
            // The failures before had no cause at the servers.
            lock(&self.pools).clear_connect_backoff();
            self.report_reachability(ReachabilityChange::Regained);
        }
    }

    /// Records that no connection to the backend server of a request could be opened.
    pub(crate) fn record_connect_failure(&self, server: &Arc<str>) {
        lock(&self.reachability).record_doubt(server);
        self.path_doubted.notify_one();
    }

    /// Records that a check of the path could not connect to a backend server, of `known_servers` from which it draws.
    pub(crate) fn record_check_failure(&self, server: &Arc<str>, known_servers: usize) {
        let change = lock(&self.reachability).record_failure(server, known_servers);
        if change == Some(ReachabilityChange::Lost) {
            self.report_reachability(ReachabilityChange::Lost);
        }
    }

    /// Reports a change of the reachability to the log, the metrics and a coordinator.
    fn report_reachability(&self, change: ReachabilityChange) {
        let (event, reachable) = match change {
            ReachabilityChange::Lost => ("backend_servers_lost", 0),
            ReachabilityChange::Regained => ("backend_servers_regained", 1),
        };
        self.metrics.backend_servers_reachable.set(reachable);
        let unreachable = lock(&self.reachability).unreachable_servers();
        self.log.record(
            event,
            LogSampling::Each,
            || json!({"unreachable_servers": unreachable, "relays": lock(&self.relays).len()}),
        );
        self.report_now.notify_one();
    }

    /// Returns backend servers at random to check the path to them.
    pub(crate) fn sample_servers(&self, count: usize) -> Vec<(ServerIncarnation, SocketAddr)> {
        lock(&self.pools).sample_servers(count, boot_clock::now())
    }

    pub(crate) fn store_idle(&self, server: &ServerIncarnation, connection: BackendConnection) {
        lock(&self.pools).store_idle(server, connection, boot_clock::now());
    }

    /// Replaces the gateways to which requests may be relayed.
    pub(crate) fn set_relays(&self, relays: Vec<SocketAddr>) {
        *lock(&self.relays) = relays;
    }

    /// Returns gateways at random to which a request may be relayed.
    pub(crate) fn choose_relays(&self, count: usize) -> Vec<SocketAddr> {
        let relays = lock(&self.relays).clone();
        lock(&self.pools).choose_relays(&relays, count)
    }

    /// Whether requests are admitted, placed and held by their cost.
    #[must_use]
    pub fn manages_load(&self) -> bool {
        match self.settings.load_management {
            LoadManagement::Auto => self.table().config().has_bulk_routes(),
            LoadManagement::On => true,
            LoadManagement::Off => false,
        }
    }

    /// How answers are received, without a limit on the silence of the server.
    pub(crate) const fn reception(&self) -> Reception<'_> {
        Reception::new(&self.headers.request_id, &self.budget)
    }

    /// Pace of large bodies to callers; `None` where they are sent without one.
    pub(crate) fn large_body_pace(&self) -> Option<SharedPace> {
        self.pace.clone().filter(|_| self.manages_load())
    }

    pub(crate) fn record_request(&self, service: &Arc<str>) {
        lock(&self.pools).record_request(service, boot_clock::now());
    }

    pub(crate) fn count_refused(&self, service: &Arc<str>) {
        lock(&self.pools).count_refused(service, boot_clock::now());
    }

    pub(crate) fn try_retry(&self, service: &Arc<str>, urgency: Option<Urgency>) -> bool {
        lock(&self.pools).try_retry(service, urgency, boot_clock::now())
    }

    pub(crate) fn random(&self) -> f64 {
        lock(&self.pools).random()
    }

    pub(crate) fn admit(&self, organisation: &Arc<str>, limit: Limit) -> Result<(), OverLimit> {
        lock(&self.quota).admit(organisation, limit, boot_clock::now())
    }

    pub(crate) fn own_demand(&self) -> Vec<OrganisationDemand> {
        lock(&self.quota).own_demand(boot_clock::now())
    }

    pub(crate) fn take_evidence(&self) -> Vec<radishpaddle_model::ServerEvidence> {
        lock(&self.pools).take_evidence(boot_clock::now())
    }
}
