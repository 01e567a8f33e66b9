//! Handle to a running coordinator, with the operations for operators, backend servers, callers and gateways.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::{Context as _, Result};
use radishpaddle_consensus::{Member, MemberRole, Membership, ReplicaId};
use radishpaddle_kernel::{DecisionLog, LogSampling, boot_clock};
use radishpaddle_model::{BackendState, ConfigDetails, Retirement, RoutingConfig, ServerPresence};
use radishpaddle_replication::{
    RepairPace, ReplicaError, ReplicaHandle, ReplicaSettings, ReplicaView, VoterTarget,
};
use radishpaddle_wire::message::{Hello, request};
use radishpaddle_wire::{
    ClientIdentity, PROTOCOL_VERSION, PeerSecurity, PeerServer, PresenceExchange, ServerIdentity,
    WireError, decode_response,
};
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::confirm::{Confirmer, LeaderClient};
use crate::exchange;
use crate::metrics::CoordinatorMetrics;
use crate::peer_handler::CoordinatorPeerHandler;
use crate::roster;
use crate::settings::CoordinatorSettings;
use crate::soft_state::SoftState;
use crate::state::{Command, CoordinatorState, Outcome, StoredConfig};
use crate::zone_reports::ZoneReports;

/// Timeout of a commit, including retries. Shorter than one second, after which operators and backend servers
/// try another instance.
pub(crate) const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum time for which a stopping coordinator answers the requests in progress. The longest ones are commits.
pub const STOP_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Delay before a failed proposal is retried.
pub(crate) const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Reason why a command was not acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitError {
    /// The command may or may not be committed. It is safe to submit it again.
    Unknown,
    /// The command could not be committed in time, for example because no leader is known. It is safe to submit
    /// it again.
    Unavailable,
    /// The command exceeds the size limit of a log entry.
    TooLarge,
}

/// Reason why a read failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// This instance cannot prove that its state is current.
    NotCurrent,
}

/// Reason why an announcement was not acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnounceError {
    /// The retirement is not known to be committed. It is safe to send the announcement again.
    Unavailable,
}

/// Handle to a running coordinator. Clones refer to the same coordinator.
#[derive(Clone)]
pub struct Coordinator {
    pub(crate) shared: Arc<Shared>,
}

pub(crate) struct Shared {
    pub(crate) settings: CoordinatorSettings,
    pub(crate) incarnation: u64,
    pub(crate) started_at: Instant,
    pub(crate) replica: ReplicaHandle<CoordinatorState>,
    pub(crate) confirmer: Confirmer,
    pub(crate) leader: LeaderClient,
    pub(crate) soft_state: Mutex<SoftState>,
    zone_reports: Mutex<ZoneReports>,
    /// Wakes held polls that may have updates for their gateway.
    pub(crate) updates: Notify,
    pub(crate) log: DecisionLog,
    pub(crate) metrics: CoordinatorMetrics,
    /// Keeps the peer server running. Set after construction, because its handler needs the coordinator.
    pub(crate) peer_server: Mutex<Option<PeerServer>>,
}

impl Coordinator {
    /// Starts a coordinator: opens the data directory, binds the peer address and spawns the background tasks.
    ///
    /// # Errors
    ///
    /// Fails when the data directory cannot be used or the address cannot be bound.
    pub async fn spawn(settings: CoordinatorSettings, log: DecisionLog) -> Result<Self> {
        let incarnation = radishpaddle_kernel::incarnation::from_wall_clock().0;
        let identity = identity(&settings, incarnation);
        let replica = ReplicaHandle::open(replica_settings(&settings), identity.clone())
            .context("opening the replica")?;
        let leader = LeaderClient::new(identity.clone());
        let heartbeat = Duration::from_millis(settings.heartbeat_ms);
        let address = settings.peer_listen;
        let sender = PresenceExchange {
            sender: incarnation,
            address,
            zone: Arc::clone(&settings.zone),
            servers: Vec::new(),
            gateways: Vec::new(),
            evidence: Vec::new(),
            crashes: Vec::new(),
            answered: Vec::new(),
        };
        let shared = Shared {
            incarnation,
            started_at: Instant::now(),
            confirmer: Confirmer::spawn(replica.clone(), leader.clone()),
            replica: replica.clone(),
            leader,
            soft_state: Mutex::new(SoftState::new(sender, heartbeat)),
            zone_reports: Mutex::default(),
            updates: Notify::new(),
            log,
            metrics: CoordinatorMetrics::register()?,
            peer_server: Mutex::default(),
            settings,
        };
        let coordinator = Self {
            shared: Arc::new(shared),
        };
        if coordinator.settings().first_start {
            coordinator.soft_state().levels.set_first_start();
        }
        let handler = Arc::new(CoordinatorPeerHandler {
            coordinator: coordinator.clone(),
        });
        let server_identity = ServerIdentity {
            hello: identity.hello.clone(),
            security: identity.security.clone(),
        };
        let server = PeerServer::bind(address, server_identity, handler)
            .await
            .with_context(|| format!("peer address {address}"))?;
        let peer_server = coordinator.shared.peer_server.lock();
        *peer_server.unwrap_or_else(PoisonError::into_inner) = Some(server);
        exchange::spawn(coordinator.clone(), identity);
        roster::spawn(coordinator.clone());
        tokio::spawn(follow_replica(coordinator.clone()));
        Ok(coordinator)
    }

    /// Commits a configuration, which takes effect unless the version in force is the same or higher.
    ///
    /// # Errors
    ///
    /// Fails when the configuration is too large or not known to be committed.
    pub async fn put_config(
        &self,
        config: RoutingConfig,
        document: String,
    ) -> Result<Outcome, SubmitError> {
        let version = config.version;
        // The applied state is committed, so a repeated submission needs no new log entry.
        if self.shared.replica.view().state.version() >= version {
            self.record_submission(version, "unchanged");
            return Ok(Outcome::Unchanged);
        }
        let stored = StoredConfig {
            // Without details nothing says that requests need no key.
            details: config.details.clone().unwrap_or_else(|| ConfigDetails {
                names_organisations: true,
                ..ConfigDetails::default()
            }),
            config,
            document,
        };
        let result = self.commit(&Command::PutConfig(Arc::new(stored))).await;
        match &result {
            Ok(outcome) => self.record_submission(version, &format!("{outcome:?}")),
            Err(error) => self.record_submission(version, &format!("{error:?}")),
        }
        result
    }

    fn record_submission(&self, version: u64, outcome: &str) {
        let in_force = self.version();
        self.shared.metrics.count_submission(outcome);
        self.shared.log.record(
            "config_submitted",
            LogSampling::Each,
            || json!({"version": version, "in_force": in_force, "outcome": outcome}),
        );
    }

    /// Returns the configuration in force, if there is one. The read is linearizable.
    ///
    /// # Errors
    ///
    /// Fails when this instance cannot prove that its state is current.
    pub async fn read_config(&self) -> Result<Option<Arc<StoredConfig>>, ReadError> {
        if !self.shared.confirmer.confirm().await {
            self.shared.log.record(
                "config_read",
                LogSampling::Each,
                || json!({"outcome": "not_current", "version": self.version()}),
            );
            return Err(ReadError::NotCurrent);
        }
        Ok(self.shared.replica.view().state.config().cloned())
    }

    /// Handles an announcement of a backend server. If the backend server drains or leaves, returns only after
    /// its retirement is committed, so that every coordinator with a fresh state reports it to gateways.
    ///
    /// # Errors
    ///
    /// Fails when the retirement is not known to be committed.
    pub async fn announce(&self, presence: &ServerPresence) -> Result<(), AnnounceError> {
        self.soft_state().announce(presence, boot_clock::now());
        self.shared.metrics.announcements.inc();
        if presence.state == BackendState::Serving {
            return Ok(());
        }
        self.notify_polls();
        let retirement = Retirement {
            id: Arc::clone(&presence.id),
            started_at_ms: presence.started_at_ms,
            state: presence.state,
        };
        self.retire(retirement).await
    }

    /// Retires a backend server that leaves. `started_at_ms` identifies the process; without it, the newest
    /// announced process is meant, or any process started until now if none has announced itself.
    ///
    /// # Errors
    ///
    /// Fails when the retirement is not known to be committed.
    pub async fn leave(&self, id: &str, started_at_ms: Option<u64>) -> Result<(), AnnounceError> {
        let announced_start = self
            .soft_state()
            .table
            .get(id)
            .map(|entry| entry.presence.started_at_ms);
        let now_ms = radishpaddle_kernel::incarnation::unix_ms();
        let retirement = Retirement {
            id: id.into(),
            started_at_ms: started_at_ms.or(announced_start).unwrap_or(now_ms),
            state: BackendState::Left,
        };
        self.retire(retirement).await
    }

    async fn retire(&self, retirement: Retirement) -> Result<(), AnnounceError> {
        let state = self.shared.replica.view().state;
        let current = state.retirement(&retirement.id, retirement.started_at_ms);
        let result = if current.is_some_and(|current| current.state >= retirement.state) {
            Ok(Outcome::Unchanged)
        } else {
            self.commit(&Command::Retire(retirement.clone())).await
        };
        self.shared
            .log
            .record("backend_server_retired", LogSampling::Each, || {
                json!({"backend_server": retirement.id, "started_at_ms": retirement.started_at_ms,
                   "state": retirement.state, "outcome": format!("{result:?}")})
            });
        result.map(|_| ()).map_err(|_| AnnounceError::Unavailable)
    }

    /// Looks up at most `max_count` gateway addresses for a caller in an availability zone. Also returns the time
    /// for which the caller may cache them.
    #[must_use]
    pub fn lookup_addresses(
        &self,
        zone: Option<&str>,
        max_count: usize,
    ) -> (Vec<SocketAddr>, Duration) {
        self.shared.metrics.lookups.inc();
        let ttl = Duration::from_millis(self.shared.settings.address_ttl_ms);
        let now = boot_clock::now();
        let addresses = self.soft_state().gateway_addresses(zone, max_count, now);
        (addresses, ttl)
    }

    /// Renders the metrics in the Prometheus text format.
    #[must_use]
    pub fn render_metrics(&self) -> String {
        let view = self.shared.replica.view();
        let gateways = self.soft_state().demand(boot_clock::now()).gateways;
        let servers = self.soft_state().table.entries().count();
        let invalid_reports = self.soft_state().invalid_reports();
        self.shared
            .metrics
            .render(&view, servers, gateways, invalid_reports)
    }

    /// Replaces the peer addresses to which join requests are sent, after a reload of the settings.
    pub fn set_contacts(&self, contacts: Vec<SocketAddr>) {
        self.shared.replica.set_contacts(contacts);
    }

    /// Starts a transfer of leadership to another coordinator, before a planned stop. The tasks keep running.
    pub async fn transfer_leadership(&self) {
        self.shared.replica.step_down().await;
    }

    /// Commits a command through the local replica or the leader, and retries until [`COMMIT_TIMEOUT`].
    async fn commit(&self, command: &Command) -> Result<Outcome, SubmitError> {
        let deadline = Instant::now() + COMMIT_TIMEOUT;
        let mut last_error = SubmitError::Unavailable;
        while Instant::now() < deadline {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let attempt = self.commit_once(command, remaining);
            last_error = match timeout(remaining, attempt).await {
                Ok(Ok(outcome)) => return Ok(outcome),
                Ok(Err(SubmitError::TooLarge)) => return Err(SubmitError::TooLarge),
                Ok(Err(error)) => error,
                Err(_) => SubmitError::Unknown,
            };
            // A retry is safe because commands are idempotent: the state compares the versions of
            // configurations and the start times of backend servers.
            tokio::time::sleep(COMMIT_RETRY_DELAY).await;
        }
        Err(last_error)
    }

    pub(crate) async fn commit_once(
        &self,
        command: &Command,
        remaining: Duration,
    ) -> Result<Outcome, SubmitError> {
        match self.propose_locally(command.clone()).await {
            Err(ReplicaError::NotLeader) => (),
            other => return other.map_err(submit_error),
        }
        let leader = self.shared.leader.connect(&self.shared.replica);
        let leader = leader.ok_or(SubmitError::Unavailable)?;
        let bytes = serde_json::to_vec(command).map_err(|_| SubmitError::TooLarge)?;
        let call = leader.call(request::Kind::Propose(bytes), remaining);
        match call.await.and_then(decode_response) {
            Ok(outcome) => Ok(outcome),
            Err(WireError::Refused(_)) => Err(SubmitError::Unavailable),
            Err(error) => {
                log::debug!("coordinator: proposal to the leader failed: {error}");
                self.shared.leader.disconnect();
                Err(SubmitError::Unknown)
            }
        }
    }

    /// Commits a command through the local replica, which must be the leader.
    ///
    /// # Errors
    ///
    /// Fails when this replica is not the leader, or the command is not known to be committed.
    pub async fn propose_locally(&self, command: Command) -> Result<Outcome, ReplicaError> {
        self.shared.replica.propose(command).await
    }

    /// Returns the peer addresses of the members of the coordinator group, including this one.
    #[must_use]
    pub fn coordinators(&self) -> Vec<SocketAddr> {
        let view = self.shared.replica.view();
        let members = view.membership.members.values();
        members
            .filter_map(|member| member.address.parse().ok())
            .collect()
    }

    /// Returns the handle to the replica of this coordinator.
    #[must_use]
    pub fn replica(&self) -> &ReplicaHandle<CoordinatorState> {
        &self.shared.replica
    }

    /// Returns the settings with which this coordinator was started.
    #[must_use]
    pub fn settings(&self) -> &CoordinatorSettings {
        &self.shared.settings
    }

    /// Returns the incarnation of this process, which is higher after each restart.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.shared.incarnation
    }

    /// Locks the soft state.
    pub(crate) fn soft_state(&self) -> MutexGuard<'_, SoftState> {
        self.shared
            .soft_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the reports of gateways about the evacuation of zones.
    pub(crate) fn zone_reports(&self) -> MutexGuard<'_, ZoneReports> {
        self.shared
            .zone_reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the held polls, which then check for updates.
    pub(crate) fn notify_polls(&self) {
        self.shared.updates.notify_waiters();
    }

    pub(crate) fn log(&self) -> &DecisionLog {
        &self.shared.log
    }

    fn version(&self) -> u64 {
        self.shared.replica.view().state.version()
    }
}

const fn submit_error(error: ReplicaError) -> SubmitError {
    match error {
        ReplicaError::TooLarge => SubmitError::TooLarge,
        ReplicaError::Unknown => SubmitError::Unknown,
        ReplicaError::NotLeader | ReplicaError::Busy | ReplicaError::StorageFailed => {
            SubmitError::Unavailable
        }
    }
}

fn identity(settings: &CoordinatorSettings, incarnation: u64) -> ClientIdentity {
    ClientIdentity {
        hello: Hello {
            fleet: settings.fleet.to_string(),
            instance: settings.instance.to_string(),
            incarnation,
            protocol_version: PROTOCOL_VERSION,
        },
        security: PeerSecurity::Plain,
    }
}

fn replica_settings(settings: &CoordinatorSettings) -> ReplicaSettings {
    let repair = match settings.repair_after_ms {
        Some(silence_ms) => RepairPace::After(Duration::from_millis(silence_ms)),
        None => RepairPace::Within(Duration::from_millis(settings.repair_within_ms)),
    };
    ReplicaSettings {
        data_directory: settings.data_directory.clone(),
        own_address: settings.peer_listen,
        contacts: settings.contacts.clone(),
        voter_target: VoterTarget::LiveMembers {
            minimum: 2 * settings.tolerated_losses + 1,
        },
        repair,
        remove_after: Duration::from_millis(settings.remove_after_ms),
        found: settings.found,
    }
}

/// Describes the group for the decision log: who its members are and, on the leader, which of them are silent,
/// how many more voters may be lost and what the repair waits for.
fn group_line(view: &ReplicaView<CoordinatorState>) -> serde_json::Value {
    let silent = |id| {
        let health = view.health.as_ref();
        health.is_some_and(|health| health.silent.contains(&id))
    };
    let member = |(id, member): (&ReplicaId, &Member)| {
        json!({"id": id.0.to_string(), "address": member.address,
               "votes": member.role == MemberRole::Voter, "silent": silent(*id)})
    };
    let members: Vec<_> = view.membership.members.iter().map(member).collect();
    let health = view.health.as_ref();
    json!({"members": members, "voters": view.membership.voters().count(), "term": view.term,
           "tolerated_losses": health.map(|health| health.tolerated_losses),
           "repair": health.map(|health| health.repair.to_string())})
}

/// Wakes held polls when the view of the replica changes, and records changes of the leader, of the storage state
/// and of the group.
async fn follow_replica(coordinator: Coordinator) {
    let mut view = coordinator.replica().watch();
    let mut recorded = (None, false);
    let mut recorded_group = (Membership::default(), None);
    loop {
        {
            let view = view.borrow_and_update();
            let current = (view.leader.clone(), view.storage_works);
            if current != recorded {
                coordinator.log().record("leadership", LogSampling::Each, || {
                    json!({"leader": current.0, "term": view.term, "role": format!("{:?}", view.role),
                           "storage_works": current.1, "version": view.state.version(),
                           "applied_index": view.applied_index})
                });
                recorded = current;
            }
            let group = (view.membership.clone(), view.health.clone());
            if group != recorded_group {
                coordinator
                    .log()
                    .record("group", LogSampling::Each, || group_line(&view));
                recorded_group = group;
            }
        }
        coordinator.notify_polls();
        if view.changed().await.is_err() {
            return;
        }
    }
}
