//! The gateway itself: its parts, and the handle that starts and stops them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::Result;
use radishpaddle_kernel::{DecisionLog, Keep, boot_clock};
use radishpaddle_model::{
    Fingerprint, OrganisationDemand, RequestCrash, RoutingConfig, RoutingTable, SuspectRequest,
};
use radishpaddle_wire::PollReply;
use serde_json::json;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::backend_connection::{BackendConnection, CONNECT_TIMEOUT, ConnectFailure};
use crate::callers::CallerListener;
use crate::crash_watch::{CRASH_CHECK_PAUSE, CrashWatch, SeenCrash};
use crate::forward::Headers;
use crate::metrics::GatewayMetrics;
use crate::poll_task;
use crate::pool::{Chosen, Pools};
use crate::quota::{FleetDemand, Limit, OverLimit, Quota};
use crate::selection::ServiceTime;
use crate::server::AttemptResult;
use crate::settings::GatewaySettings;

/// Period in which idle connections are looked through.
const IDLE_PERIOD: Duration = Duration::from_millis(500);

/// Parts of a gateway that requests share.
pub struct Shared {
    /// Settings.
    pub settings: GatewaySettings,
    /// Header names.
    pub headers: Headers,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Decision log.
    pub log: DecisionLog,
    /// Cancelled when a planned stop begins.
    pub stopping: CancellationToken,
    /// Wakes the poll task when evidence is urgent.
    pub urgent: Notify,
    contacts: Mutex<Vec<SocketAddr>>,
    table: Mutex<Arc<RoutingTable>>,
    pools: Mutex<Pools>,
    quota: Mutex<Quota>,
    crash_watch: Mutex<CrashWatch>,
    service_times: Mutex<HashMap<Arc<str>, ServiceTime>>,
    /// Local time at which the newest proof of the coordinators began.
    proved_at: Mutex<Option<Duration>>,
    /// Whether there was a proof since the start.
    started: watch::Sender<bool>,
}

/// Handle to a running gateway.
pub struct Gateway {
    shared: Arc<Shared>,
    callers: CallerListener,
}

impl Gateway {
    /// Binds the address for callers and starts the tasks.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or a header name is malformed.
    pub async fn spawn(settings: GatewaySettings, log: DecisionLog) -> Result<Self> {
        let budget = settings.retry_budget.clone();
        let shared = Arc::new(Shared {
            headers: Headers::parse(&settings.headers)?,
            metrics: GatewayMetrics::register()?,
            log,
            stopping: CancellationToken::new(),
            urgent: Notify::new(),
            contacts: Mutex::new(settings.contacts.clone()),
            table: Mutex::default(),
            pools: Mutex::new(Pools::new(Arc::clone(&settings.zone), budget)),
            quota: Mutex::new(Quota::new(settings.quota.clone())),
            crash_watch: Mutex::default(),
            service_times: Mutex::default(),
            proved_at: Mutex::default(),
            started: watch::Sender::new(false),
            settings,
        });
        let callers = CallerListener::bind(Arc::clone(&shared)).await?;
        poll_task::spawn(Arc::clone(&shared));
        tokio::spawn(close_idle(Arc::clone(&shared)));
        Ok(Self { shared, callers })
    }

    /// Whether this instance takes callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Replaces the coordinators that are asked when none of the known ones answers.
    pub fn set_contacts(&self, contacts: Vec<SocketAddr>) {
        *lock(&self.shared.contacts) = contacts;
    }

    /// Parts of the gateway, for the adapters beside it.
    #[must_use]
    pub const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Planned stop: no longer ready at once, requests are served until the deadline of the settings.
    pub async fn stop(self) {
        self.shared.stopping.cancel();
        self.callers.stop().await;
    }
}

async fn close_idle(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(IDLE_PERIOD).await;
        lock(&shared.pools).close_idle();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    /// Whether callers may be named this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled() && self.table().config().version > 0 && self.is_fresh()
    }

    /// Configuration in use.
    #[must_use]
    pub fn table(&self) -> Arc<RoutingTable> {
        Arc::clone(&lock(&self.table))
    }

    /// Age of the newest proof that the configuration is current.
    #[must_use]
    pub fn proof_age(&self) -> Option<Duration> {
        let proved_at = *lock(&self.proved_at);
        proved_at.map(|at| boot_clock::now().saturating_sub(at))
    }

    /// Whether the configuration is proved to be recent enough for keyed requests.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let limit = Duration::from_millis(self.settings.freshness_limit_ms);
        self.proof_age().is_some_and(|age| age <= limit)
    }

    /// Waits for the first proof after the start of the process, until a deadline at most. Requests that
    /// arrive a moment before it would be refused otherwise.
    pub async fn wait_for_start(&self, deadline: Instant) {
        let mut started = self.started.subscribe();
        // Without a proof the request is refused as usual.
        let _ = timeout_at(deadline, started.wait_for(|started| *started)).await;
    }

    /// Takes the answer of a coordinator to a poll that was sent at `sent_at`.
    pub fn apply(&self, reply: PollReply, sent_at: Duration) {
        let now = boot_clock::now();
        {
            let mut pools = lock(&self.pools);
            pools.set_gateways(reply.gateways);
            // A coordinator that has just started has not heard every server.
            if reply.whole && reply.complete {
                let names = reply.servers.iter();
                let names = names.map(|news| Arc::clone(&news.presence.id)).collect();
                pools.retain(&names);
            }
            for news in reply.servers {
                pools.update(news, now);
            }
            for id in &reply.removed {
                pools.remove(id);
            }
            if let Some(retired) = reply.retired {
                pools.retire(retired, reply.applied_index);
            }
            for (gateway, evidence) in reply.evidence {
                pools.observe(gateway, evidence, now);
            }
        }
        let demand = FleetDemand {
            coordinator: reply.coordinator,
            total: reply.demand,
            own: reply.own_demand,
            gateways: reply.gateways,
        };
        lock(&self.quota).set_demand(&demand, now);
        let version = reply.config_version;
        if let Some(config) = reply.config {
            self.set_config(&config);
        }
        // The proof covers what the coordinator applied; this gateway has to apply as much.
        if self.table().config().version >= version
            && let Some(age_ms) = reply.proof_age_ms
        {
            let proved_at = sent_at.saturating_sub(Duration::from_millis(age_ms.into()));
            let mut known = lock(&self.proved_at);
            *known = Some(known.map_or(proved_at, |known| known.max(proved_at)));
            self.started
                .send_if_modified(|started| !std::mem::replace(started, true));
        }
    }

    fn set_config(&self, config: &RoutingConfig) {
        let mut table = lock(&self.table);
        if table.config().version >= config.version {
            return;
        }
        let before = table.config().version;
        self.log.record(
            "config_applied",
            Keep::Each,
            || json!({"version": config.version, "before": before}),
        );
        let version = i64::try_from(config.version).unwrap_or(i64::MAX);
        self.metrics.config_version.set(version);
        *table = Arc::new(RoutingTable::new(config.clone()));
    }

    pub(crate) fn contacts(&self) -> Vec<SocketAddr> {
        lock(&self.contacts).clone()
    }

    pub(crate) fn choose(
        &self,
        service: &str,
        idempotent: bool,
        is_last: bool,
        exclude: &[Arc<str>],
    ) -> Option<Chosen> {
        lock(&self.pools).choose(service, idempotent, is_last, exclude, boot_clock::now())
    }

    pub(crate) fn finish_attempt(
        &self,
        id: &str,
        result: AttemptResult,
        connection: Option<BackendConnection>,
    ) {
        lock(&self.pools).finish(id, result, connection, boot_clock::now());
        if result == AttemptResult::Failed {
            self.urgent.notify_one();
        }
    }

    pub(crate) fn note(&self, id: &str, result: AttemptResult) {
        lock(&self.pools).note(id, result, boot_clock::now());
        if result == AttemptResult::Failed {
            self.urgent.notify_one();
        }
    }

    pub(crate) fn record_request(&self, service: &Arc<str>) {
        lock(&self.pools).record_request(service, boot_clock::now());
    }

    pub(crate) fn count_refused(&self, service: &Arc<str>) {
        lock(&self.pools).count_refused(service, boot_clock::now());
    }

    pub(crate) fn try_repeat(&self, service: &Arc<str>) -> bool {
        lock(&self.pools).try_repeat(service, boot_clock::now())
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
        lock(&self.pools).take_evidence()
    }

    /// Whether a request crashes backend servers, as far as known. The fingerprint is made only when there are suspects.
    pub(crate) fn refuses(&self, fingerprint: impl FnOnce() -> Fingerprint) -> bool {
        let watch = lock(&self.crash_watch);
        !watch.is_empty() && watch.is_refused(&fingerprint())
    }

    pub(crate) fn record_answer(&self, fingerprint: impl FnOnce() -> Fingerprint) {
        let mut watch = lock(&self.crash_watch);
        if !watch.is_empty() {
            watch.record_answer(fingerprint());
        }
    }

    /// Looks whether a server that broke off a request still accepts connections. If it refuses, the request counts as
    /// in flight at a crash. A server in a spell of resets accepts connections, and behind a cut path there is no answer.
    pub(crate) async fn check_crash(
        &self,
        (server, address): (Arc<str>, SocketAddr),
        request_id: Option<String>,
        crash: SeenCrash,
    ) {
        tokio::time::sleep(CRASH_CHECK_PAUSE).await;
        match BackendConnection::open(address, CONNECT_TIMEOUT).await {
            Ok(connection) => return lock(&self.pools).keep(&server, connection),
            Err(ConnectFailure::Unreachable) => return,
            Err(ConnectFailure::Refused) => (),
        }
        self.log.record("request_crash", Keep::Each, || {
            json!({"request_id": request_id, "backend_server": server,
                   "fingerprint": crash.request.to_string()})
        });
        lock(&self.crash_watch).record_crash(crash);
        self.urgent.notify_one();
    }

    pub(crate) fn report_crashes(&self, everything: bool) -> (Vec<RequestCrash>, Vec<Fingerprint>) {
        lock(&self.crash_watch).report(everything, boot_clock::now())
    }

    /// Takes the list of suspects of a coordinator that has taken a report.
    pub(crate) fn set_suspects(&self, list: Vec<SuspectRequest>, continued: bool) {
        for refused in lock(&self.crash_watch).set_suspects(list, continued) {
            self.log.record(
                "request_quarantined",
                Keep::Each,
                || json!({"fingerprint": refused.request.to_string(), "crashes": refused.crashes}),
            );
        }
    }

    pub(crate) fn acknowledge_crashes(&self, crashes: &[RequestCrash], answered: &[Fingerprint]) {
        lock(&self.crash_watch).acknowledge(crashes, answered);
    }

    pub(crate) fn slow_after(&self, route: &str) -> Duration {
        let times = lock(&self.service_times);
        times.get(route).copied().unwrap_or_default().slow_after()
    }

    pub(crate) fn record_time(&self, route: &Arc<str>, elapsed: Duration) {
        let mut times = lock(&self.service_times);
        times.entry(Arc::clone(route)).or_default().record(elapsed);
    }

    /// Time at which a planned stop that begins now has to be over.
    pub(crate) fn stop_times(&self) -> (Instant, Instant) {
        let now = Instant::now();
        let accepting = Duration::from_millis(self.settings.stop_accepting_after_ms);
        let deadline = Duration::from_millis(self.settings.stop_deadline_ms);
        (now + accepting, now + deadline)
    }
}
