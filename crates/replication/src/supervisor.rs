//! Opens the data directory, and again after a failed write.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use radishpaddle_consensus::{Config, PersistedState, Replica};
use radishpaddle_storage::Storage;
use radishpaddle_wire::ClientIdentity;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{mpsc, watch};

use crate::disk;
use crate::handle::{Command, ReplicaSettings, ReplicaView, VoterTarget};
use crate::replica_task::{End, ReplicaTask, TICK};
use crate::state::ReplicatedState;

/// Pause after a failed write before the data directory is opened again.
const REOPEN_AFTER: Duration = Duration::from_millis(500);

fn config(settings: &ReplicaSettings) -> Config {
    let target_voters = match settings.voters {
        VoterTarget::Fixed(voters) => voters,
        VoterTarget::Live { least } => least,
    };
    let repair_after_ticks = settings.repair_after.as_millis() / TICK.as_millis();
    Config {
        target_voters,
        repair_after_ticks: u32::try_from(repair_after_ticks).unwrap_or(u32::MAX),
        ..Config::default()
    }
}

/// A data directory that was read.
pub(crate) struct Opened<S> {
    storage: Storage,
    replica: Replica,
    state: Arc<S>,
    snapshot_index: u64,
}

impl<S: ReplicatedState> Opened<S> {
    pub(crate) fn open(settings: &ReplicaSettings) -> Result<Self> {
        let (mut storage, recovered) =
            Storage::open(&settings.data_directory, disk::new_replica_id())?;
        if recovered.cut_bytes > 0 {
            let bytes = recovered.cut_bytes;
            log::warn!("replica: {bytes} bytes of an interrupted write were cut off");
        }
        let mut persisted = disk::persisted_state(&recovered)?;
        let is_empty = persisted.snapshot.is_none() && persisted.entries.is_empty();
        if settings.found && is_empty {
            let id = persisted.hard_state.replica_id;
            persisted = PersistedState::founding(id, settings.own_address.to_string().into());
            let snapshot = persisted.snapshot.as_ref();
            let snapshot = snapshot.context("a founding state has a snapshot")?;
            let hard_state = disk::stored_hard_state(&persisted.hard_state);
            storage.found(hard_state, disk::stored_snapshot(snapshot))?;
            log::info!("replica: {id} founds a group");
        }
        let state = match &persisted.snapshot {
            Some(snapshot) => S::decode(&snapshot.data).context("reading the newest snapshot")?,
            None => S::default(),
        };
        let snapshot_index = persisted.snapshot.as_ref().map_or(0, |old| old.meta.index);
        let replica = Replica::new(config(settings), persisted, SmallRng::from_os_rng())?;
        Ok(Self {
            storage,
            replica,
            state: Arc::new(state),
            snapshot_index,
        })
    }

    pub(crate) fn view(&self) -> ReplicaView<S> {
        ReplicaView {
            id: self.replica.id(),
            role: self.replica.role(),
            term: self.replica.term(),
            leader: None,
            membership: self.replica.membership().clone(),
            applied_index: self.snapshot_index,
            state: Arc::clone(&self.state),
            storage_works: true,
        }
    }
}

/// What handles send to the replica.
pub(crate) struct Inputs<S: ReplicatedState> {
    pub(crate) commands: mpsc::Receiver<Command<S>>,
    pub(crate) contacts: watch::Receiver<Vec<SocketAddr>>,
}

/// Runs the replica, and opens the data directory again after a failed write: a full disk may have
/// room again.
pub(crate) async fn run<S: ReplicatedState>(
    settings: ReplicaSettings,
    identity: ClientIdentity,
    opened: Opened<S>,
    inputs: Inputs<S>,
    view: watch::Sender<ReplicaView<S>>,
) {
    let Inputs {
        mut commands,
        contacts,
    } = inputs;
    let mut next = Some(opened);
    loop {
        if let Some(opened) = next.take() {
            view.send_modify(|known| *known = opened.view());
            let (done, finished) = mpsc::unbounded_channel();
            let task = ReplicaTask {
                replica: opened.replica,
                state: opened.state,
                jobs: disk::spawn(opened.storage, done),
                after_sync: HashMap::new(),
                snapshot_index: opened.snapshot_index,
                saving_snapshot: false,
                proposals: BTreeMap::new(),
                reads: HashMap::new(),
                next_read: 0,
                peers: HashMap::new(),
                identity: identity.clone(),
                own_address: settings.own_address.to_string().into(),
                contacts: contacts.clone(),
                voters: settings.voters,
                next_join_tick: 0,
                removed: false,
                view: &view,
                storage_works: true,
            };
            if task.run(&mut commands, finished).await == End::HandlesDropped {
                return;
            }
        }
        let reopen_at = tokio::time::Instant::now() + REOPEN_AFTER;
        while let Ok(command) = tokio::time::timeout_at(reopen_at, commands.recv()).await {
            match command {
                Some(command) => command.fail(),
                None => return,
            }
        }
        match Opened::open(&settings) {
            Ok(opened) => next = Some(opened),
            Err(error) => log::warn!("replica: the data directory cannot be opened: {error:#}"),
        }
    }
}
