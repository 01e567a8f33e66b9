//! The task that owns the consensus replica and the state that is derived from its log.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender as JobSender;
use std::time::Duration;

use anyhow::Result;
use radishpaddle_consensus::{
    Entry, MemberRole, MembershipChange, Message, Notice, Payload, ProposeError, ReadId,
    ReadResult, Ready, Replica, ReplicaId, Role,
};
use radishpaddle_wire::message::request;
use radishpaddle_wire::{ClientIdentity, PeerClient};
use tokio::sync::{mpsc, oneshot, watch};

use crate::disk::{DiskDone, DiskJob};
use crate::handle::{
    Command, Confirmed, JoinRequest, ProposeReply, ReadReply, ReplicaError, ReplicaView,
    VoterTarget,
};
use crate::state::ReplicatedState;

/// Period of ticks; the timing of the consensus configuration counts in it.
pub(crate) const TICK: Duration = Duration::from_millis(50);

/// Entries after which a snapshot is made, so that a restart reads few entries.
const SNAPSHOT_EVERY: u64 = 2_000;

/// Bytes of the log in memory after which a snapshot is made, so that large entries leave room in a small instance.
const SNAPSHOT_LOG_BYTES: usize = 16 << 20;

/// Longest wait for the delivery of one consensus message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the task of a replica ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    HandlesDropped,
    StorageFailed,
}

/// One replica while its disk works.
pub(crate) struct ReplicaTask<'a, S: ReplicatedState> {
    pub(crate) replica: Replica,
    pub(crate) state: Arc<S>,
    pub(crate) jobs: JobSender<DiskJob>,
    pub(crate) after_sync: HashMap<u64, Vec<Message>>,
    pub(crate) snapshot_index: u64,
    pub(crate) saving_snapshot: bool,
    pub(crate) proposals: BTreeMap<u64, (u64, oneshot::Sender<ProposeReply<S>>)>,
    pub(crate) reads: HashMap<ReadId, oneshot::Sender<ReadReply<S>>>,
    pub(crate) next_read: u64,
    pub(crate) peers: HashMap<Arc<str>, PeerClient>,
    pub(crate) identity: ClientIdentity,
    pub(crate) own_address: Arc<str>,
    pub(crate) contacts: watch::Receiver<Vec<SocketAddr>>,
    pub(crate) voters: VoterTarget,
    pub(crate) next_join_tick: u32,
    /// Whether another member told that this replica lost its vote.
    pub(crate) removed: bool,
    pub(crate) view: &'a watch::Sender<ReplicaView<S>>,
    pub(crate) storage_works: bool,
}

impl<S: ReplicatedState> ReplicaTask<'_, S> {
    pub(crate) async fn run(
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
            Command::Receive(message) => self.receive(*message),
            Command::Join(request) => self.admit(request),
            Command::Change(change, reply) => {
                let _ = reply.send(self.replica.propose_membership(&change).map(|_| ()));
            }
            Command::StepDown => {
                let _ = self.replica.transfer_leadership(None);
            }
        }
    }

    /// A replica that is joining does not know the address of the leader, and sends its answers to its contacts.
    fn receive(&mut self, message: Message) {
        if message.to == self.replica.id() {
            self.replica.receive(message);
            return;
        }
        let member = self.replica.membership().members.get(&message.to);
        let address = member.map(|member| Arc::clone(&member.address));
        if let Some(address) = address.filter(|address| *address != self.own_address) {
            self.deliver(&address, request::Kind::Consensus(message.encode()));
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

    fn admit(&mut self, request: JoinRequest) {
        if self.replica.role() != Role::Leader {
            self.pass_on(request);
            return;
        }
        let (id, address) = (ReplicaId(request.id), request.address);
        if self.replica.membership().role(id).is_some() {
            return;
        }
        self.remove_earlier_disk(id, &address);
        let change = MembershipChange::AddLearner { id, address };
        match self.replica.propose_membership(&change) {
            Ok(_) => log::info!("replica: replica {id} joins as learner"),
            Err(error) => log::debug!("replica: replica {id} cannot join yet: {error}"),
        }
    }

    /// The contacts of a new replica need not contain the leader.
    fn pass_on(&mut self, request: JoinRequest) {
        let leader = self.replica.leader();
        let members = &self.replica.membership().members;
        let leader = leader.and_then(|leader| members.get(&leader));
        let leader = leader.map(|member| Arc::clone(&member.address));
        if request.passed_on || leader.as_ref() == Some(&self.own_address) {
            return;
        }
        if let Some(leader) = leader {
            let request = JoinRequest {
                passed_on: true,
                ..request
            };
            self.ask(&leader, &request);
        }
    }

    fn ask(&mut self, address: &Arc<str>, join: &JoinRequest) {
        match radishpaddle_wire::encode(join) {
            Ok(bytes) => self.deliver(address, request::Kind::Join(bytes)),
            Err(error) => log::error!("replica: a request to join cannot be encoded: {error}"),
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
        let join = JoinRequest {
            id: self.replica.id().0,
            address: Arc::clone(&self.own_address),
            passed_on: false,
        };
        let contacts = self.contacts.borrow().clone();
        let contacts = contacts.iter().map(|contact| contact.to_string().into());
        let members = self.replica.membership().members.values();
        let members = members.map(|member| Arc::clone(&member.address));
        let asked: BTreeSet<Arc<str>> = contacts.chain(members).collect();
        for address in asked {
            if address != self.own_address {
                self.ask(&address, &join);
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
        // A replica that is joining does not know the members yet; its contacts pass on what is not for them.
        let contacts = self.contacts.borrow().clone();
        for contact in contacts {
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
