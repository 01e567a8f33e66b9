//! The coordinator itself: what operators, backend servers, callers and gateways may ask.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use anyhow::{Context as _, Result};
use radishpaddle_kernel::{DecisionLog, Keep, boot_clock};
use radishpaddle_model::{BackendState, Retirement, RoutingConfig, ServerPresence};
use radishpaddle_replication::{ReplicaError, ReplicaHandle, ReplicaSettings, VoterTarget};
use radishpaddle_wire::message::{Hello, request};
use radishpaddle_wire::{
    ClientIdentity, PROTOCOL_VERSION, PeerSecurity, PeerServer, PresenceExchange, ServerIdentity,
    WireError, decode_response,
};
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::board::Board;
use crate::confirm::{Confirmer, LeaderClient};
use crate::exchange;
use crate::metrics::CoordinatorMetrics;
use crate::peer_handler::CoordinatorPeerHandler;
use crate::settings::CoordinatorSettings;
use crate::state::{Command, CoordinatorState, Outcome, StoredConfig};

/// Longest wait for a commit. Operators and backend servers turn to another instance after a second.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause before a failed proposal is tried again.
const PROPOSE_PAUSE: Duration = Duration::from_millis(60);

/// Why a configuration was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitError {
    /// It is not known whether it was committed; it may be sent again.
    Unknown,
    /// It was not committed; it may be sent again.
    Unavailable,
    /// It is too large to be stored.
    TooLarge,
}

/// Why a read has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// This instance cannot prove that its state is current.
    NotCurrent,
}

/// Why an announcement was not acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnounceError {
    /// The retirement was not committed; it may be sent again.
    Unavailable,
}

/// Handle to a running coordinator. Clones share it.
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
    pub(crate) board: Mutex<Board>,
    pub(crate) news: Notify,
    pub(crate) log: DecisionLog,
    pub(crate) metrics: CoordinatorMetrics,
    /// Bound after the coordinator exists, since it answers with it.
    pub(crate) peers: Mutex<Option<PeerServer>>,
}

impl Coordinator {
    /// Opens the data directory, binds the peer address and starts the tasks.
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
            board: Mutex::new(Board::new(sender, heartbeat)),
            news: Notify::new(),
            log,
            metrics: CoordinatorMetrics::register()?,
            peers: Mutex::default(),
            settings,
        };
        let coordinator = Self {
            shared: Arc::new(shared),
        };
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
        let peers = coordinator.shared.peers.lock();
        *peers.unwrap_or_else(PoisonError::into_inner) = Some(server);
        exchange::spawn(coordinator.clone(), identity);
        tokio::spawn(follow_replica(coordinator.clone()));
        Ok(coordinator)
    }

    /// Puts a configuration in force, unless a higher or equal version is.
    ///
    /// # Errors
    ///
    /// Fails when the configuration is not known to be committed.
    pub async fn put_config(
        &self,
        config: RoutingConfig,
        document: String,
    ) -> Result<Outcome, SubmitError> {
        let version = config.version;
        // What is applied here is committed, so a resend needs no new entry.
        if self.shared.replica.view().state.version() >= version {
            self.log_config(version, "unchanged");
            return Ok(Outcome::Unchanged);
        }
        let stored = StoredConfig { config, document };
        let result = self.commit(&Command::PutConfig(Arc::new(stored))).await;
        match &result {
            Ok(outcome) => self.log_config(version, &format!("{outcome:?}")),
            Err(error) => self.log_config(version, &format!("{error:?}")),
        }
        result
    }

    fn log_config(&self, version: u64, outcome: &str) {
        let in_force = self.version();
        self.shared.metrics.submission(outcome);
        self.shared.log.record(
            "config_submitted",
            Keep::Each,
            || json!({"version": version, "in_force": in_force, "outcome": outcome}),
        );
    }

    /// The newest configuration.
    ///
    /// # Errors
    ///
    /// Fails when this instance cannot prove that its state is current.
    pub async fn read_config(&self) -> Result<Option<Arc<StoredConfig>>, ReadError> {
        if !self.shared.confirmer.confirm().await {
            self.shared.log.record(
                "config_read",
                Keep::Each,
                || json!({"outcome": "not_current", "version": self.version()}),
            );
            return Err(ReadError::NotCurrent);
        }
        Ok(self.shared.replica.view().state.config().cloned())
    }

    /// Takes an announcement of a backend server. A draining one is acknowledged only after every
    /// current coordinator will tell it.
    ///
    /// # Errors
    ///
    /// Fails when a retirement is not known to be committed.
    pub async fn announce(&self, presence: &ServerPresence) -> Result<(), AnnounceError> {
        self.board().announce(presence, boot_clock::now());
        self.shared.metrics.announcements.inc();
        if presence.state == BackendState::Serving {
            return Ok(());
        }
        self.shared.news.notify_waiters();
        let retirement = Retirement {
            id: Arc::clone(&presence.id),
            started_at_ms: presence.started_at_ms,
            state: presence.state,
        };
        self.retire(retirement).await
    }

    /// A backend server leaves. Without a start time the newest known life is meant.
    ///
    /// # Errors
    ///
    /// Fails when the retirement is not known to be committed.
    pub async fn leave(&self, id: &str, started_at_ms: Option<u64>) -> Result<(), AnnounceError> {
        let known = self
            .board()
            .table
            .get(id)
            .map(|entry| entry.presence.started_at_ms);
        let now_ms = radishpaddle_kernel::incarnation::unix_ms();
        let retirement = Retirement {
            id: id.into(),
            started_at_ms: started_at_ms.or(known).unwrap_or(now_ms),
            state: BackendState::Left,
        };
        self.retire(retirement).await
    }

    async fn retire(&self, retirement: Retirement) -> Result<(), AnnounceError> {
        let state = self.shared.replica.view().state;
        let known = state.retirement(&retirement.id, retirement.started_at_ms);
        let result = if known.is_some_and(|known| known.state >= retirement.state) {
            Ok(Outcome::Unchanged)
        } else {
            self.commit(&Command::Retire(retirement.clone())).await
        };
        self.shared
            .log
            .record("backend_server_retired", Keep::Each, || {
                json!({"backend_server": retirement.id, "started_at_ms": retirement.started_at_ms,
                   "state": retirement.state, "outcome": format!("{result:?}")})
            });
        result.map(|_| ()).map_err(|_| AnnounceError::Unavailable)
    }

    /// Addresses for a caller in an availability zone, `most` of them, and the time for which it may keep them.
    #[must_use]
    pub fn addresses(&self, zone: Option<&str>, most: usize) -> (Vec<SocketAddr>, Duration) {
        self.shared.metrics.lookups.inc();
        let ttl = Duration::from_millis(self.shared.settings.address_ttl_ms);
        let addresses = self.board().addresses(zone, most, boot_clock::now());
        (addresses, ttl)
    }

    /// Metrics as text.
    #[must_use]
    pub fn metrics(&self) -> String {
        let view = self.shared.replica.view();
        let (_, gateways) = self.board().demand(boot_clock::now());
        let servers = self.board().table.entries().count();
        self.shared.metrics.render(&view, servers, gateways)
    }

    /// Replaces the coordinators that are asked to let this one join.
    pub fn set_contacts(&self, contacts: Vec<SocketAddr>) {
        self.shared.replica.set_contacts(contacts);
    }

    /// Hands the leadership over before a planned stop.
    pub async fn stop(&self) {
        self.shared.replica.step_down().await;
    }

    /// Commits a command here or at the leader.
    async fn commit(&self, command: &Command) -> Result<Outcome, SubmitError> {
        let deadline = Instant::now() + COMMIT_TIMEOUT;
        let mut last = SubmitError::Unavailable;
        while Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            let attempt = self.commit_once(command, left);
            last = match timeout(left, attempt).await {
                Ok(Ok(outcome)) => return Ok(outcome),
                Ok(Err(SubmitError::TooLarge)) => return Err(SubmitError::TooLarge),
                Ok(Err(error)) => error,
                Err(_) => SubmitError::Unknown,
            };
            // Every command is idempotent: the state compares versions and lives.
            tokio::time::sleep(PROPOSE_PAUSE).await;
        }
        Err(last)
    }

    async fn commit_once(&self, command: &Command, left: Duration) -> Result<Outcome, SubmitError> {
        match self.propose_here(command.clone()).await {
            Err(ReplicaError::NotLeader) => (),
            other => return other.map_err(submit_error),
        }
        let leader = self.shared.leader.of(&self.shared.replica);
        let leader = leader.ok_or(SubmitError::Unavailable)?;
        let bytes = serde_json::to_vec(command).map_err(|_| SubmitError::TooLarge)?;
        let call = leader.call(request::Kind::Propose(bytes), left);
        match call.await.and_then(decode_response) {
            Ok(outcome) => Ok(outcome),
            Err(WireError::Refused(_)) => Err(SubmitError::Unavailable),
            Err(error) => {
                log::debug!("coordinator: the leader did not answer a proposal: {error}");
                self.shared.leader.reset();
                Err(SubmitError::Unknown)
            }
        }
    }

    /// Commits a command as leader.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not lead, or the command is not known to be committed.
    pub async fn propose_here(&self, command: Command) -> Result<Outcome, ReplicaError> {
        self.shared.replica.propose(command).await
    }

    /// Peer addresses of the members of the group.
    #[must_use]
    pub fn coordinators(&self) -> Vec<SocketAddr> {
        let view = self.shared.replica.view();
        let members = view.membership.members.values();
        members
            .filter_map(|member| member.address.parse().ok())
            .collect()
    }

    /// Replica of this coordinator.
    #[must_use]
    pub fn replica(&self) -> &ReplicaHandle<CoordinatorState> {
        &self.shared.replica
    }

    /// Settings of this coordinator.
    #[must_use]
    pub fn settings(&self) -> &CoordinatorSettings {
        &self.shared.settings
    }

    /// Life of this process.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.shared.incarnation
    }

    /// Soft state.
    pub(crate) fn board(&self) -> MutexGuard<'_, Board> {
        self.shared
            .board
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes polls that wait for news.
    pub(crate) fn notify(&self) {
        self.shared.news.notify_waiters();
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
    ReplicaSettings {
        data_directory: settings.data_directory.clone(),
        own_address: settings.peer_listen,
        contacts: settings.contacts.clone(),
        voter_target: VoterTarget::LiveMembers {
            minimum: 2 * settings.tolerated_losses + 1,
        },
        repair_after: Duration::from_millis(settings.repair_after_ms),
        found: settings.found,
    }
}

/// Wakes polls when the log moves, and records changes of leadership.
async fn follow_replica(coordinator: Coordinator) {
    let mut view = coordinator.replica().watch();
    let mut known = (None, false);
    loop {
        {
            let view = view.borrow_and_update();
            let now = (view.leader.clone(), view.storage_works);
            if now != known {
                coordinator.log().record("leadership", Keep::Each, || {
                    json!({"leader": now.0, "term": view.term, "role": format!("{:?}", view.role),
                           "storage_works": now.1, "version": view.state.version(),
                           "applied_index": view.applied_index})
                });
                known = now;
            }
        }
        coordinator.notify();
        if view.changed().await.is_err() {
            return;
        }
    }
}
