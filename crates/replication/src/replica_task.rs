//! The task that owns the consensus replica and the state that is derived from its log.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::Sender as JobSender;
use std::time::Duration;

use anyhow::{Context as _, Result};
use radishpaddle_consensus::{
    Config, Entry, MemberRole, Membership, MembershipChange, Message, Notice, Payload,
    PersistedState, ProposeError, ReadId, ReadResult, Ready, Replica, ReplicaId, Role,
};
use radishpaddle_storage::Storage;
use radishpaddle_wire::message::request;
use radishpaddle_wire::{ClientIdentity, PeerClient};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::{mpsc, oneshot, watch};

use crate::disk::{self, DiskDone, DiskJob};
use crate::state::ReplicatedState;

/// Period of ticks; the timing of [`Config`] counts in it.
const TICK: Duration = Duration::from_millis(50);

/// Commands that wait for the task.
const COMMAND_QUEUE: usize = 1024;

/// Entries after which a snapshot is made, so that a restart reads few entries.
const SNAPSHOT_EVERY: u64 = 2_000;

/// Bytes of the log in memory after which a snapshot is made: the machines have 256 MB.
const SNAPSHOT_LOG_BYTES: usize = 16 << 20;

/// Pause after a failed write before the data directory is opened again.
const REOPEN_AFTER: Duration = Duration::from_millis(500);

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
pub struct ReplicaView<S> {
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
    pub state: Arc<S>,
    /// Whether the data directory can be written.
    pub storage_works: bool,
}

/// State that contains every command acknowledged before it was asked for.
#[derive(Debug, Clone)]
pub struct Confirmed<S> {
    /// Index up to which the state is applied.
    pub index: u64,
    /// The state.
    pub state: Arc<S>,
}

/// Number of voters that automatic repair aims for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoterTarget {
    /// A number set by the operator.
    Fixed(usize),
    /// Every member that answers votes, up to the largest voting set, for groups whose size nobody
    /// tells. Lost members are removed down to `least`.
    Live {
        /// Voters that are kept although some of them do not answer.
        least: usize,
    },
}

/// Settings of one replica.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    /// Directory of the log; used by one process at a time.
    pub data_directory: PathBuf,
    /// Address at which the other replicas reach this one.
    pub own_address: SocketAddr,
    /// Replicas that are asked to let this one join.
    pub contacts: Vec<SocketAddr>,
    /// Voters that repair aims for.
    pub voters: VoterTarget,
    /// Time after which an unreachable voter is replaced.
    pub repair_after: Duration,
    /// Whether an empty data directory founds a group. Exactly one replica of a fleet may.
    pub found: bool,
}

enum Command<S: ReplicatedState> {
    Propose(Box<S::Command>, oneshot::Sender<ProposeReply<S>>),
    Read(oneshot::Sender<ReadReply<S>>),
    Receive(Box<Message>),
    Join(ReplicaId, Arc<str>),
    Change(MembershipChange, oneshot::Sender<Result<(), ProposeError>>),
    StepDown,
}

type ProposeReply<S> = Result<<S as ReplicatedState>::Outcome, ReplicaError>;
type ReadReply<S> = Result<Confirmed<S>, ReplicaError>;

/// Handle to the replica of this process.
pub struct ReplicaHandle<S: ReplicatedState> {
    commands: mpsc::Sender<Command<S>>,
    view: watch::Receiver<ReplicaView<S>>,
}

impl<S: ReplicatedState> Clone for ReplicaHandle<S> {
    fn clone(&self) -> Self {
        Self {
            commands: self.commands.clone(),
            view: self.view.clone(),
        }
    }
}

impl<S: ReplicatedState> ReplicaHandle<S> {
    /// Opens the data directory and starts the replica. When the disk fails later, the directory is
    /// opened again until it works.
    ///
    /// # Errors
    ///
    /// Fails when the data directory is in use, damaged, or holds something else.
    pub fn open(settings: ReplicaSettings, identity: ClientIdentity) -> Result<Self> {
        let opened = Opened::<S>::open(&settings)?;
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE);
        let (view, watch) = watch::channel(opened.view());
        tokio::spawn(supervise(settings, identity, opened, receiver, view));
        Ok(Self {
            commands,
            view: watch,
        })
    }

    /// What is known of the replica now.
    #[must_use]
    pub fn view(&self) -> ReplicaView<S> {
        self.view.borrow().clone()
    }

    /// Wakes on each change of [`Self::view`].
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<ReplicaView<S>> {
        self.view.clone()
    }

    /// Commits a command and returns its result.
    ///
    /// # Errors
    ///
    /// With `Unknown` the command may be committed later; every other error means that it is not.
    pub async fn propose(&self, command: S::Command) -> ProposeReply<S> {
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
    pub async fn read(&self) -> Result<Arc<S>, ReplicaError> {
        self.read_confirmed().await.map(|confirmed| confirmed.state)
    }

    /// Like [`Self::read`], with the index of the state.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not lead or loses the leadership meanwhile.
    pub async fn read_confirmed(&self) -> Result<Confirmed<S>, ReplicaError> {
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

    async fn send(&self, command: Command<S>) -> Result<(), ReplicaError> {
        let sent = self.commands.send(command).await;
        sent.map_err(|_| ReplicaError::StorageFailed)
    }
}

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
struct Opened<S> {
    storage: Storage,
    replica: Replica,
    state: Arc<S>,
    snapshot_index: u64,
}

impl<S: ReplicatedState> Opened<S> {
    fn open(settings: &ReplicaSettings) -> Result<Self> {
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

    fn view(&self) -> ReplicaView<S> {
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

/// Runs the replica, and opens the data directory again after a failed write: a full disk may have
/// room again.
async fn supervise<S: ReplicatedState>(
    settings: ReplicaSettings,
    identity: ClientIdentity,
    opened: Opened<S>,
    mut commands: mpsc::Receiver<Command<S>>,
    view: watch::Sender<ReplicaView<S>>,
) {
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
                contacts: settings.contacts.clone(),
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

impl<S: ReplicatedState> Command<S> {
    /// Answers that the disk does not work.
    fn fail(self) {
        match self {
            Self::Propose(_, reply) => {
                let _ = reply.send(Err(ReplicaError::StorageFailed));
            }
            Self::Read(reply) => {
                let _ = reply.send(Err(ReplicaError::StorageFailed));
            }
            Self::Change(_, reply) => {
                let _ = reply.send(Err(ProposeError::NotLeader { leader: None }));
            }
            Self::Receive(_) | Self::Join(..) | Self::StepDown => (),
        }
    }
}

/// Why the task of a replica ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    HandlesDropped,
    StorageFailed,
}

struct ReplicaTask<'a, S: ReplicatedState> {
    replica: Replica,
    state: Arc<S>,
    jobs: JobSender<DiskJob>,
    after_sync: HashMap<u64, Vec<Message>>,
    snapshot_index: u64,
    saving_snapshot: bool,
    proposals: BTreeMap<u64, (u64, oneshot::Sender<ProposeReply<S>>)>,
    reads: HashMap<ReadId, oneshot::Sender<ReadReply<S>>>,
    next_read: u64,
    peers: HashMap<Arc<str>, PeerClient>,
    identity: ClientIdentity,
    own_address: Arc<str>,
    contacts: Vec<SocketAddr>,
    voters: VoterTarget,
    next_join_tick: u32,
    /// Whether another member told that this replica lost its vote.
    removed: bool,
    view: &'a watch::Sender<ReplicaView<S>>,
    storage_works: bool,
}

impl<S: ReplicatedState> ReplicaTask<'_, S> {
    async fn run(
        mut self,
        commands: &mut mpsc::Receiver<Command<S>>,
        mut finished: mpsc::UnboundedReceiver<DiskDone>,
    ) -> End {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.take(command),
                    None => return End::HandlesDropped,
                },
                Some(done) = finished.recv() => self.disk_done(done),
                _ = ticks.tick() => self.tick(),
            }
            if !self.storage_works {
                log::error!("replica: the replica stops until its disk works again");
                self.publish();
                return End::StorageFailed;
            }
            while let Some(ready) = self.replica.take_ready() {
                self.carry_out(ready);
            }
            self.publish();
        }
    }

    fn tick(&mut self) {
        self.replica.tick();
        if let VoterTarget::Live { least } = self.voters {
            let target = self.replica.live_members().max(least);
            self.replica.set_target_voters(target);
        }
        if self.replica.leader().is_some() {
            self.removed = false;
            return;
        }
        // A learner that was removed is not told; it asks again when it hears of no leader. A removed
        // voter still knows the membership from before its removal.
        let outside = !self.replica.membership().is_voter(self.replica.id());
        if outside || self.removed {
            self.ask_to_join();
        }
    }

    fn take(&mut self, command: Command<S>) {
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

    fn propose(&mut self, command: &S::Command, reply: oneshot::Sender<ProposeReply<S>>) {
        let bytes = match serde_json::to_vec(command) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("replica: a command cannot be encoded: {error}");
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

    fn read(&mut self, reply: oneshot::Sender<ReadReply<S>>) {
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
            Ok(_) => log::info!("replica: replica {id} joins as learner"),
            Err(error) => log::debug!("replica: replica {id} cannot join yet: {error}"),
        }
    }

    /// A replica that comes back at the same address with another id has lost its disk. A learner is
    /// removed at once; a voter is marked as lost, and repair removes it after its replacement.
    fn remove_earlier_disk(&mut self, id: ReplicaId, address: &Arc<str>) {
        let membership = self.replica.membership().members.clone();
        for (known, member) in membership {
            if known != id && member.address == *address {
                self.replica.mark_lost(known);
            }
        }
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
        let contacts = self
            .contacts
            .iter()
            .map(|contact| contact.to_string().into());
        let members = self.replica.membership().members.values();
        let members = members.map(|member| Arc::clone(&member.address));
        let asked: BTreeSet<Arc<str>> = contacts.chain(members).collect();
        for address in asked {
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
            match S::decode(&snapshot.data) {
                Ok(state) => self.state = Arc::new(state),
                Err(error) => {
                    log::error!("replica: a received snapshot cannot be read: {error:#}");
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
            self.removed |= notice == Notice::Removed;
            report(&notice);
        }
        self.maybe_snapshot();
    }

    fn apply(&mut self, entry: &Entry) {
        let outcome = match &entry.payload {
            Payload::Data(bytes) => match self.apply_command(bytes) {
                Ok(outcome) => Some(outcome),
                Err(error) => {
                    log::error!(
                        "replica: entry {} cannot be applied: {error:#}",
                        entry.index
                    );
                    self.storage_works = false;
                    None
                }
            },
            Payload::Empty | Payload::Membership(_) => None,
        };
        while let Some(proposal) = self.proposals.first_entry() {
            if *proposal.key() > entry.index {
                return;
            }
            let (index, (term, reply)) = proposal.remove_entry();
            let same = index == entry.index && term == entry.term;
            let result = outcome.clone().filter(|_| same);
            let _ = reply.send(result.ok_or(ReplicaError::Unknown));
        }
    }

    fn apply_command(&mut self, bytes: &[u8]) -> Result<S::Outcome> {
        let command: S::Command = serde_json::from_slice(bytes)?;
        Arc::make_mut(&mut self.state).apply(&command)
    }

    fn finish_read(&mut self, read: ReadResult) {
        let (id, answer) = match read {
            ReadResult::Confirmed(id) => {
                let confirmed = Confirmed {
                    index: self.replica.applied_index(),
                    state: Arc::clone(&self.state),
                };
                (id, Ok(confirmed))
            }
            ReadResult::LeadershipLost(id) => (id, Err(ReplicaError::NotLeader)),
        };
        if let Some(reply) = self.reads.remove(&id) {
            let _ = reply.send(answer);
        }
    }

    fn maybe_snapshot(&mut self) {
        let applied = self.replica.applied_index();
        let due = applied >= self.snapshot_index + SNAPSHOT_EVERY
            || (self.replica.log_bytes() > SNAPSHOT_LOG_BYTES && applied > self.snapshot_index);
        if self.saving_snapshot || !due {
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
                log::error!("replica: {error}");
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
        Notice::Removed => log::warn!("replica: this replica was removed from the group"),
        Notice::RepairProposed(change) => {
            log::warn!("replica: automatic repair proposes {change:?}");
        }
    }
}
