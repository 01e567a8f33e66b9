//! Opens the data directory, runs the replica, and reopens the data directory after a failed write.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use radishpaddle_consensus::{Config, PersistedState, Replica};
use radishpaddle_storage::{FileSystem, Options, Storage};
use radishpaddle_wire::ClientIdentity;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{mpsc, watch};

use crate::disk;
use crate::handle::{RepairPace, ReplicaCommand, ReplicaSettings, ReplicaView, VoterTarget};
use crate::replica_task::{ReplicaTask, TICK_PERIOD, TaskEnd};
use crate::state::ReplicatedState;

/// Delay between a storage failure and the next attempt to open the data directory.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

fn consensus_config(settings: &ReplicaSettings) -> Config {
    let target_voters = match settings.voter_target {
        VoterTarget::Fixed(voters) => voters,
        VoterTarget::LiveMembers { minimum } => minimum,
    };
    let config = Config::default();
    let repair_after_ticks = match settings.repair {
        RepairPace::After(silence) => ticks(silence),
        RepairPace::Within(time) => config.repair_after(ticks(time)),
    };
    Config {
        target_voters,
        repair_after_ticks,
        remove_after_ticks: ticks(settings.remove_after).max(repair_after_ticks),
        ..config
    }
}

fn ticks(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis() / TICK_PERIOD.as_millis()).unwrap_or(u32::MAX)
}

/// Replica restored from an open data directory, ready to run.
pub(crate) struct OpenReplica<S> {
    storage: Storage,
    replica: Replica,
    state: Arc<S>,
    snapshot_index: u64,
}

impl<S: ReplicatedState> OpenReplica<S> {
    pub(crate) fn open(
        file_system: &Arc<dyn FileSystem>,
        settings: &ReplicaSettings,
    ) -> Result<Self> {
        let options = Options {
            file_system: Arc::clone(file_system),
            ..Options::default()
        };
        let (mut storage, recovered) =
            Storage::open_with(&settings.data_directory, disk::new_replica_id(), options)?;
        if recovered.truncated_bytes > 0 {
            let bytes = recovered.truncated_bytes;
            log::warn!("replica: truncated {bytes} bytes of an interrupted write");
        }
        let mut persisted = disk::persisted_state(&recovered)?;
        let is_empty = persisted.snapshot.is_none() && persisted.entries.is_empty();
        if settings.found && is_empty {
            let id = persisted.hard_state.replica_id;
            persisted = PersistedState::bootstrap(id, settings.own_address.to_string().into());
            let snapshot = persisted.snapshot.as_ref();
            let snapshot = snapshot.context("the founding state has no snapshot")?;
            let hard_state = disk::stored_hard_state(&persisted.hard_state);
            storage.bootstrap(hard_state, disk::stored_snapshot(snapshot))?;
            log::info!("replica: replica {id} founded a new group");
        }
        let state = match &persisted.snapshot {
            Some(snapshot) => S::decode(&snapshot.data).context("reading the newest snapshot")?,
            None => S::default(),
        };
        let snapshot_index = persisted
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.meta.index);
        let replica = Replica::new(
            consensus_config(settings),
            persisted,
            SmallRng::from_os_rng(),
        )?;
        Ok(Self {
            storage,
            replica,
            state: Arc::new(state),
            snapshot_index,
        })
    }

    /// Returns the view before the replica runs.
    pub(crate) fn first_view(&self) -> ReplicaView<S> {
        ReplicaView {
            id: self.replica.id(),
            role: self.replica.role(),
            term: self.replica.term(),
            leader: None,
            membership: self.replica.membership().clone(),
            health: None,
            applied_index: self.snapshot_index,
            state: Arc::clone(&self.state),
            storage_works: true,
        }
    }
}

/// Receiving ends of the channels from the replica's handles.
pub(crate) struct ReplicaInputs<S: ReplicatedState> {
    pub(crate) commands: mpsc::Receiver<ReplicaCommand<S>>,
    pub(crate) contacts: watch::Receiver<Vec<SocketAddr>>,
}

/// Keeps a replica running.
pub(crate) struct Supervisor {
    /// File system that holds the data directory.
    pub(crate) file_system: Arc<dyn FileSystem>,
    pub(crate) settings: ReplicaSettings,
    pub(crate) identity: ClientIdentity,
}

impl Supervisor {
    /// Runs the replica until every handle is dropped. After a storage failure, fails queued commands and
    /// reopens the data directory every [`REOPEN_DELAY`], since a full disk may have space again.
    pub(crate) async fn run<S: ReplicatedState>(
        self,
        opened: OpenReplica<S>,
        inputs: ReplicaInputs<S>,
        view: watch::Sender<ReplicaView<S>>,
    ) {
        let ReplicaInputs {
            mut commands,
            contacts,
        } = inputs;
        let mut next = Some(opened);
        loop {
            if let Some(opened) = next.take() {
                view.send_modify(|current| *current = opened.first_view().not_older_than(current));
                let (disk_results, disk_results_receiver) = mpsc::unbounded_channel();
                let task = ReplicaTask {
                    replica: opened.replica,
                    state: opened.state,
                    disk_jobs: disk::spawn(opened.storage, disk_results),
                    messages_after_sync: HashMap::new(),
                    snapshot_index: opened.snapshot_index,
                    saving_snapshot: false,
                    proposals: BTreeMap::new(),
                    reads: HashMap::new(),
                    last_read_id: 0,
                    peers: HashMap::new(),
                    identity: self.identity.clone(),
                    own_address: self.settings.own_address.to_string().into(),
                    contacts: contacts.clone(),
                    voter_target: self.settings.voter_target,
                    ticks_until_join: 0,
                    ticks_without_leader: 0,
                    joining: VecDeque::new(),
                    removed: false,
                    view: &view,
                    storage_works: true,
                };
                if task.run(&mut commands, disk_results_receiver).await == TaskEnd::HandlesDropped {
                    return;
                }
            }
            let reopen_at = tokio::time::Instant::now() + REOPEN_DELAY;
            while let Ok(command) = tokio::time::timeout_at(reopen_at, commands.recv()).await {
                match command {
                    Some(command) => command.fail(),
                    None => return,
                }
            }
            match OpenReplica::open(&self.file_system, &self.settings) {
                Ok(opened) => next = Some(opened),
                Err(error) => log::warn!("replica: cannot reopen the data directory: {error:#}"),
            }
        }
    }
}
