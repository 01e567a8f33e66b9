//! The task that owns the consensus replica and the state machine of this control instance.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender as JobSender;
use std::time::Duration;

use anyhow::{Context as _, Result};
use radishpaddle_consensus::submissions::{StateError, SubmissionResult};
use radishpaddle_consensus::{
    Config, Entry, MemberRole, Membership, MembershipChange, Message, Notice, Payload,
    ProposeError, ReadId, ReadResult, Ready, Replica, ReplicaId, Role,
};
use radishpaddle_storage::Storage;
use radishpaddle_wire::message::request;
use radishpaddle_wire::{ClientIdentity, PeerClient};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{mpsc, oneshot, watch};

use crate::control_state::{ControlState, LogCommand};
use crate::disk::{self, DiskDone, DiskJob};
use crate::settings::ControlSettings;

/// Period of ticks; the timing of [`Config`] counts in it.
const TICK: Duration = Duration::from_millis(50);

/// Commands that wait for the task.
const COMMAND_QUEUE: usize = 1024;

/// Entries after which a snapshot is made, so that a restart reads few entries.
const SNAPSHOT_EVERY: u64 = 2_000;

/// Longest wait for the delivery of one consensus message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a command gave no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaError {
    /// Another replica leads, or none.
    NotLeader,
    /// Too much waits; nothing was done.
    Busy,
    /// The command is too large; nothing was done.
    TooLarge,
    /// Leadership was lost after the proposal; it may still be committed.
    Unknown,
    /// The data directory cannot be written.
    StorageFailed,
}

/// What others may know of the replica.
#[derive(Debug, Clone)]
pub struct ReplicaView {
    /// Identity of the replica and its disk.
    pub id: ReplicaId,
    /// What it does.
    pub role: Role,
    /// Current term.
    pub term: u64,
    /// Peer address of the leader.
    pub leader: Option<Arc<str>>,
    /// Members of the group.
    pub membership: Membership,
    /// Index up to which the state is applied.
    pub applied_index: u64,
    /// Applied state. Changes may be newer at the leader.
    pub state: Arc<ControlState>,
    /// Whether the data directory can be written.
    pub storage_works: bool,
}

enum Command {
    Propose(Box<LogCommand>, oneshot::Sender<ProposeReply>),
    Read(oneshot::Sender<Result<Arc<ControlState>, ReplicaError>>),
    Receive(Box<Message>),
    Join(ReplicaId, Arc<str>),
    Change(MembershipChange, oneshot::Sender<Result<(), ProposeError>>),
    StepDown,
}

type ProposeReply = Result<Option<SubmissionResult>, ReplicaError>;

/// Handle to the replica of this process.
#[derive(Clone)]
pub struct ReplicaHandle {
    commands: mpsc::Sender<Command>,
    view: watch::Receiver<ReplicaView>,
}

impl ReplicaHandle {
    /// Opens the data directory and starts the replica.
    ///
    /// # Errors
    ///
    /// Fails when the data directory is in use, damaged, or holds something else.
    pub fn open(settings: &ControlSettings, identity: ClientIdentity) -> Result<Self> {
        let (storage, recovered) = Storage::open(&settings.data_directory, disk::new_replica_id())?;
        if recovered.cut_bytes > 0 {
            let bytes = recovered.cut_bytes;
            log::warn!("control: {bytes} bytes of an interrupted write were cut off");
        }
        let persisted = disk::persisted_state(&recovered)?;
        let state: ControlState = match &persisted.snapshot {
            Some(snapshot) => {
                ControlState::decode(&snapshot.data).context("reading the newest snapshot")?
            }
            None => ControlState::default(),
        };
        let snapshot_index = persisted.snapshot.as_ref().map_or(0, |old| old.meta.index);
        let replica = Replica::new(config(settings), persisted, SmallRng::from_os_rng())?;
        let (done, finished) = mpsc::unbounded_channel();
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE);
        let (view, watch) = watch::channel(ReplicaView {
            id: replica.id(),
            role: replica.role(),
            term: replica.term(),
            leader: None,
            membership: replica.membership().clone(),
            applied_index: snapshot_index,
            state: Arc::new(state.clone()),
            storage_works: true,
        });
        let task = ReplicaTask {
            replica,
            state: Arc::new(state),
            jobs: disk::spawn(storage, done),
            after_sync: HashMap::new(),
            snapshot_index,
            saving_snapshot: false,
            proposals: BTreeMap::new(),
            reads: HashMap::new(),
            next_read: 0,
            peers: HashMap::new(),
            identity,
            own_address: settings.peer_address().to_string().into(),
            contacts: settings.controls.clone(),
            next_join_tick: 0,
            view,
            storage_works: true,
        };
        tokio::spawn(task.run(receiver, finished));
        Ok(Self {
            commands,
            view: watch,
        })
    }

    /// What is known of the replica now.
    #[must_use]
    pub fn view(&self) -> ReplicaView {
        self.view.borrow().clone()
    }

    /// Wakes on each change of [`Self::view`].
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<ReplicaView> {
        self.view.clone()
    }

    /// Commits a command and returns its result.
    ///
    /// # Errors
    ///
    /// With `Unknown` the command may be committed later; every other error means that it is not.
    pub async fn propose(&self, command: LogCommand) -> ProposeReply {
        let (reply, answer) = oneshot::channel();
        self.send(Command::Propose(Box::new(command), reply))
            .await?;
        answer.await.unwrap_or(Err(ReplicaError::Unknown))
    }

    /// State that contains every change that was acknowledged before the call.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not lead or loses the leadership meanwhile.
    pub async fn read(&self) -> Result<Arc<ControlState>, ReplicaError> {
        let (reply, answer) = oneshot::channel();
        self.send(Command::Read(reply)).await?;
        answer.await.unwrap_or(Err(ReplicaError::NotLeader))
    }

    /// Takes a message of another replica.
    pub async fn receive(&self, message: Message) {
        let _ = self.send(Command::Receive(Box::new(message))).await;
    }

    /// Another replica asks to become a learner.
    pub async fn join(&self, id: ReplicaId, address: Arc<str>) {
        let _ = self.send(Command::Join(id, address)).await;
    }

    /// Proposes a change of the members.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not lead or the change is not possible now.
    pub async fn change_membership(&self, change: MembershipChange) -> Result<(), ProposeError> {
        let (reply, answer) = oneshot::channel();
        let not_leader = ProposeError::NotLeader { leader: None };
        if self.send(Command::Change(change, reply)).await.is_err() {
            return Err(not_leader);
        }
        answer.await.unwrap_or(Err(not_leader))
    }

    /// Hands the leadership over before a planned stop.
    pub async fn step_down(&self) {
        let _ = self.send(Command::StepDown).await;
    }

    async fn send(&self, command: Command) -> Result<(), ReplicaError> {
        let sent = self.commands.send(command).await;
        sent.map_err(|_| ReplicaError::StorageFailed)
    }
}

fn config(settings: &ControlSettings) -> Config {
    let tick_ms = u64::try_from(TICK.as_millis()).unwrap_or(u64::MAX);
    Config {
        target_voters: settings.target_voters,
        repair_after_ticks: u32::try_from(settings.repair_after_ms / tick_ms).unwrap_or(u32::MAX),
        ..Config::default()
    }
}

struct ReplicaTask {
    replica: Replica,
    state: Arc<ControlState>,
    jobs: JobSender<DiskJob>,
    after_sync: HashMap<u64, Vec<Message>>,
    snapshot_index: u64,
    saving_snapshot: bool,
    proposals: BTreeMap<u64, (u64, oneshot::Sender<ProposeReply>)>,
    reads: HashMap<ReadId, oneshot::Sender<Result<Arc<ControlState>, ReplicaError>>>,
    next_read: u64,
    peers: HashMap<Arc<str>, PeerClient>,
    identity: ClientIdentity,
    own_address: Arc<str>,
    contacts: Vec<SocketAddr>,
    next_join_tick: u32,
    view: watch::Sender<ReplicaView>,
    storage_works: bool,
}

impl ReplicaTask {
    async fn run(
        mut self,
        mut commands: mpsc::Receiver<Command>,
        mut finished: mpsc::UnboundedReceiver<DiskDone>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.take(command),
                    None => return,
                },
                Some(done) = finished.recv() => self.disk_done(done),
                _ = ticks.tick() => self.tick(),
            }
            if !self.storage_works {
                log::error!("control: the replica stops because its disk failed");
                self.publish();
                return;
            }
            while let Some(ready) = self.replica.take_ready() {
                self.carry_out(ready);
            }
            self.publish();
        }
    }

    fn tick(&mut self) {
        self.replica.tick();
        // A learner that was removed is not told; it asks again when it hears of no leader.
        let outside = !self.replica.membership().is_voter(self.replica.id());
        if outside && self.replica.leader().is_none() {
            self.ask_to_join();
        }
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Propose(command, reply) => self.propose(&command, reply),
            Command::Read(reply) => self.read(reply),
            Command::Receive(message) => self.replica.receive(*message),
            Command::Join(id, address) => self.admit(id, address),
            Command::Change(change, reply) => {
                let _ = reply.send(self.replica.propose_membership(&change).map(|_| ()));
            }
            Command::StepDown => {
                let _ = self.replica.transfer_leadership(None);
            }
        }
    }

    fn propose(&mut self, command: &LogCommand, reply: oneshot::Sender<ProposeReply>) {
        let bytes = match serde_json::to_vec(command) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("control: a command cannot be encoded: {error}");
                let _ = reply.send(Err(ReplicaError::TooLarge));
                return;
            }
        };
        match self.replica.propose(bytes.into()) {
            Ok(index) => {
                self.proposals.insert(index, (self.replica.term(), reply));
            }
            Err(error) => {
                let _ = reply.send(Err(replica_error(&error)));
            }
        }
    }

    fn read(&mut self, reply: oneshot::Sender<Result<Arc<ControlState>, ReplicaError>>) {
        self.next_read += 1;
        let id = ReadId(self.next_read);
        match self.replica.read(id) {
            Ok(()) => {
                self.reads.insert(id, reply);
            }
            Err(error) => {
                let _ = reply.send(Err(replica_error(&error)));
            }
        }
    }

    fn admit(&mut self, id: ReplicaId, address: Arc<str>) {
        if self.replica.role() != Role::Leader || self.replica.membership().role(id).is_some() {
            return;
        }
        self.remove_earlier_disk(id, &address);
        let change = MembershipChange::AddLearner { id, address };
        match self.replica.propose_membership(&change) {
            Ok(_) => log::info!("control: replica {id} joins as learner"),
            Err(error) => log::debug!("control: replica {id} cannot join yet: {error}"),
        }
    }

    /// A learner that comes back at the same address with another id has lost its disk.
    fn remove_earlier_disk(&mut self, id: ReplicaId, address: &Arc<str>) {
        let membership = self.replica.membership();
        let earlier = membership.members.iter().find(|(known, member)| {
            **known != id && member.address == *address && member.role == MemberRole::Learner
        });
        if let Some((earlier, _)) = earlier {
            let change = MembershipChange::Remove(*earlier);
            let _ = self.replica.propose_membership(&change);
        }
    }

    fn ask_to_join(&mut self) {
        const JOIN_EVERY_TICKS: u32 = 20;
        if self.next_join_tick > 0 {
            self.next_join_tick -= 1;
            return;
        }
        self.next_join_tick = JOIN_EVERY_TICKS;
        let join = (self.replica.id().0, self.own_address.to_string());
        let Ok(bytes) = radishpaddle_wire::encode(&join) else {
            return;
        };
        for contact in self.contacts.clone() {
            let address: Arc<str> = contact.to_string().into();
            if address != self.own_address {
                self.deliver(&address, request::Kind::Join(bytes.clone()));
            }
        }
    }

    fn carry_out(&mut self, ready: Ready) {
        for message in ready.messages {
            self.send(&message);
        }
        if !ready.writes.is_empty() {
            self.after_sync
                .insert(ready.number, ready.messages_after_sync);
            let job = DiskJob::Write {
                number: ready.number,
                writes: Box::new(ready.writes),
            };
            self.storage_works &= self.jobs.send(job).is_ok();
        }
        if let Some(snapshot) = ready.install {
            match ControlState::decode(&snapshot.data) {
                Ok(state) => self.state = Arc::new(state),
                Err(error) => {
                    log::error!("control: a received snapshot cannot be read: {error}");
                    self.storage_works = false;
                }
            }
            self.snapshot_index = snapshot.meta.index;
        }
        for entry in ready.committed {
            self.apply(&entry);
        }
        for read in ready.reads {
            self.finish_read(read);
        }
        for notice in ready.notices {
            report(&notice);
        }
        self.maybe_snapshot();
    }

    fn apply(&mut self, entry: &Entry) {
        let result = match &entry.payload {
            Payload::Data(bytes) => self.apply_command(bytes).unwrap_or_else(|error| {
                log::error!("control: entry {} cannot be read: {error}", entry.index);
                self.storage_works = false;
                None
            }),
            Payload::Empty | Payload::Membership(_) => None,
        };
        while let Some(proposal) = self.proposals.first_entry() {
            if *proposal.key() > entry.index {
                return;
            }
            let (index, (term, reply)) = proposal.remove_entry();
            let same = index == entry.index && term == entry.term;
            let _ = reply.send(if same {
                Ok(result.clone())
            } else {
                Err(ReplicaError::Unknown)
            });
        }
    }

    fn apply_command(&mut self, bytes: &[u8]) -> Result<Option<SubmissionResult>, StateError> {
        let command: LogCommand = serde_json::from_slice(bytes)?;
        Arc::make_mut(&mut self.state).apply(&command)
    }

    fn finish_read(&mut self, read: ReadResult) {
        let (id, answer) = match read {
            ReadResult::Confirmed(id) => (id, Ok(Arc::clone(&self.state))),
            ReadResult::LeadershipLost(id) => (id, Err(ReplicaError::NotLeader)),
        };
        if let Some(reply) = self.reads.remove(&id) {
            let _ = reply.send(answer);
        }
    }

    fn maybe_snapshot(&mut self) {
        let applied = self.replica.applied_index();
        if self.saving_snapshot || applied < self.snapshot_index + SNAPSHOT_EVERY {
            return;
        }
        let Ok(data) = self.state.encode() else {
            return;
        };
        if let Ok(snapshot) = self.replica.make_snapshot(applied, data.into()) {
            self.saving_snapshot = true;
            let job = DiskJob::Save(Box::new(snapshot));
            self.storage_works &= self.jobs.send(job).is_ok();
        }
    }

    fn disk_done(&mut self, done: DiskDone) {
        match done {
            DiskDone::Synced(number) => {
                for message in self.after_sync.remove(&number).unwrap_or_default() {
                    self.send(&message);
                }
                self.replica.synced(number);
            }
            DiskDone::Saved(snapshot) => {
                self.snapshot_index = snapshot.meta.index;
                self.saving_snapshot = false;
                self.replica.compact(*snapshot);
            }
            DiskDone::Failed(error) => {
                log::error!("control: {error}");
                self.storage_works = false;
            }
        }
    }

    fn send(&mut self, message: &Message) {
        let bytes = message.encode();
        let member = self.replica.membership().members.get(&message.to);
        if let Some(address) = member.map(|member| Arc::clone(&member.address)) {
            self.deliver(&address, request::Kind::Consensus(bytes));
            return;
        }
        // A replica that is joining does not know the members yet; others ignore what is not for them.
        for contact in self.contacts.clone() {
            let address: Arc<str> = contact.to_string().into();
            if address != self.own_address {
                self.deliver(&address, request::Kind::Consensus(bytes.clone()));
            }
        }
    }

    /// Sends without waiting; consensus tolerates lost messages.
    fn deliver(&mut self, address: &Arc<str>, kind: request::Kind) {
        let Some(peer) = self.peer(address) else {
            return;
        };
        tokio::spawn(async move {
            let _ = peer.call(kind, MESSAGE_TIMEOUT).await;
        });
    }

    fn peer(&mut self, address: &Arc<str>) -> Option<PeerClient> {
        if let Some(peer) = self.peers.get(address) {
            return Some(peer.clone());
        }
        let socket: SocketAddr = address.parse().ok()?;
        let peer = PeerClient::spawn(socket, self.identity.clone());
        self.peers.insert(Arc::clone(address), peer.clone());
        Some(peer)
    }

    fn publish(&mut self) {
        let membership = self.replica.membership();
        let leader = self.replica.leader();
        let leader = leader.and_then(|id| Some(Arc::clone(&membership.members.get(&id)?.address)));
        let view = ReplicaView {
            id: self.replica.id(),
            role: self.replica.role(),
            term: self.replica.term(),
            leader,
            membership: membership.clone(),
            applied_index: self.replica.applied_index(),
            state: Arc::clone(&self.state),
            storage_works: self.storage_works,
        };
        self.view.send_if_modified(|known| {
            let same = known.role == view.role
                && known.term == view.term
                && known.leader == view.leader
                && known.applied_index == view.applied_index
                && known.storage_works == view.storage_works
                && known.membership == view.membership;
            *known = view;
            !same
        });
        if self.replica.role() != Role::Leader {
            self.fail_proposals();
        }
    }

    /// After the loss of the leadership a proposal may still be committed by the next leader.
    fn fail_proposals(&mut self) {
        while let Some((_, (_, reply))) = self.proposals.pop_first() {
            let _ = reply.send(Err(ReplicaError::Unknown));
        }
    }
}

const fn replica_error(error: &ProposeError) -> ReplicaError {
    match error {
        ProposeError::NotLeader { .. } => ReplicaError::NotLeader,
        ProposeError::TooLarge { .. } => ReplicaError::TooLarge,
        _ => ReplicaError::Busy,
    }
}

fn report(notice: &Notice) {
    match notice {
        Notice::Removed => log::warn!("control: this replica was removed from the group"),
        Notice::RepairProposed(change) => {
            log::warn!("control: automatic repair proposes {change:?}");
        }
    }
}
