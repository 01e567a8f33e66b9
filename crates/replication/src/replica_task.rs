//! Task that drives the consensus replica and applies committed commands to the state.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender as JobSender;
use std::time::Duration;

use anyhow::Result;
use radishpaddle_consensus::membership::MAX_MEMBERS;
use radishpaddle_consensus::{
    Entry, MemberRole, MembershipChange, Message, Notice, Payload, ProposeError, ReadId,
    ReadResult, Ready, Replica, ReplicaId, Role,
};
use radishpaddle_wire::message::request;
use radishpaddle_wire::{ClientIdentity, PeerClient};
use tokio::sync::{mpsc, oneshot, watch};

use crate::disk::{DiskJob, DiskResult};
use crate::handle::{
    ConfirmedState, JoinRequest, ProposeReply, ReadReply, ReplicaCommand, ReplicaError,
    ReplicaView, VoterTarget,
};
use crate::state::ReplicatedState;

/// Period of the consensus clock. Timeouts in the consensus configuration are given in ticks.
pub(crate) const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Number of applied entries between snapshots. Limits the entries that a restart has to replay.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 2_000;

/// Size of the in-memory log, in bytes, above which a snapshot is taken before the entry interval is
/// reached. Limits the memory that large entries occupy on small instances.
const SNAPSHOT_LOG_BYTES: usize = 16 << 20;

/// Timeout of the call that delivers one message to another replica.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without a leader, in ticks, after which a voter requests to join: it may have been removed. An election is
/// usually over before.
const REMOVED_SUSPECTED_TICKS: u32 = 30;

/// Reason why the replica task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskEnd {
    HandlesDropped,
    StorageFailed,
}

/// State of the replica task. A new task is created each time the data directory is opened.
pub(crate) struct ReplicaTask<'a, S: ReplicatedState> {
    pub(crate) replica: Replica,
    pub(crate) state: Arc<S>,
    pub(crate) disk_jobs: JobSender<DiskJob>,
    /// Messages to send after the writes of the `Ready` with this number are durable.
    pub(crate) messages_after_sync: HashMap<u64, Vec<Message>>,
    pub(crate) snapshot_index: u64,
    pub(crate) saving_snapshot: bool,
    /// Pending proposals by log index, each with the term in which it was proposed.
    pub(crate) proposals: BTreeMap<u64, (u64, oneshot::Sender<ProposeReply<S>>)>,
    pub(crate) reads: HashMap<ReadId, oneshot::Sender<ReadReply<S>>>,
    pub(crate) last_read_id: u64,
    pub(crate) peers: HashMap<Arc<str>, PeerClient>,
    pub(crate) identity: ClientIdentity,
    pub(crate) own_address: Arc<str>,
    pub(crate) contacts: watch::Receiver<Vec<SocketAddr>>,
    pub(crate) voter_target: VoterTarget,
    pub(crate) ticks_until_join: u32,
    /// Ticks since a leader was last known.
    pub(crate) ticks_without_leader: u32,
    /// Join requests that the leader has not proposed yet, because only one change may be uncommitted.
    pub(crate) joining: VecDeque<JoinRequest>,
    /// Whether another member reported that this replica was removed from the group.
    pub(crate) removed: bool,
    pub(crate) view: &'a watch::Sender<ReplicaView<S>>,
    pub(crate) storage_works: bool,
}

impl<S: ReplicatedState> ReplicaTask<'_, S> {
    pub(crate) async fn run(
        mut self,
        commands: &mut mpsc::Receiver<ReplicaCommand<S>>,
        mut disk_results: mpsc::UnboundedReceiver<DiskResult>,
    ) -> TaskEnd {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return TaskEnd::HandlesDropped,
                },
                Some(result) = disk_results.recv() => self.handle_disk_result(result),
                _ = ticks.tick() => self.tick(),
            }
            if !self.storage_works {
                log::error!(
                    "replica: storage failed; stopping until the data directory can be reopened"
                );
                self.publish();
                return TaskEnd::StorageFailed;
            }
            self.process_all_ready();
            if self.propose_next_learner() {
                self.process_all_ready();
            }
            self.publish();
        }
    }

    fn process_all_ready(&mut self) {
        while let Some(ready) = self.replica.take_ready() {
            self.process_ready(ready);
        }
    }

    fn tick(&mut self) {
        self.replica.tick();
        if let VoterTarget::LiveMembers { minimum } = self.voter_target {
            let target = self.replica.responsive_member_count().max(minimum);
            self.replica.set_target_voters(target);
        }
        if self.replica.leader().is_some() {
            self.removed = false;
            self.ticks_without_leader = 0;
            return;
        }
        self.ticks_without_leader = self.ticks_without_leader.saturating_add(1);
        // A removed learner gets no notice of its removal, so every non-voter requests to join while no
        // leader is known. A removed voter still has the membership from before its removal, in which it
        // is a voter, and the notice reaches it only if the members have its address among their contacts.
        // The request of a voter that was not removed is ignored.
        let is_voter = self.replica.membership().is_voter(self.replica.id());
        let may_be_removed = self.removed || self.ticks_without_leader >= REMOVED_SUSPECTED_TICKS;
        if !is_voter || may_be_removed {
            self.request_join();
        }
    }

    fn handle_command(&mut self, command: ReplicaCommand<S>) {
        match command {
            ReplicaCommand::Propose(command, reply) => self.propose(&command, reply),
            ReplicaCommand::Read(reply) => self.read(reply),
            ReplicaCommand::Receive(message) => self.receive(*message),
            ReplicaCommand::Join(request) => self.handle_join(request),
            ReplicaCommand::Change(change, reply) => {
                let _ = reply.send(self.replica.propose_membership(&change).map(|_| ()));
            }
            ReplicaCommand::StepDown => {
                let _ = self.replica.transfer_leadership(None);
            }
        }
    }

    /// Handles a consensus message. A message for another member is forwarded: a joining replica does
    /// not know the address of the leader and sends its responses to its contacts.
    fn receive(&mut self, message: Message) {
        if message.to == self.replica.id() {
            self.replica.receive(message);
            return;
        }
        let member = self.replica.membership().members.get(&message.to);
        let address = member.map(|member| Arc::clone(&member.address));
        if let Some(address) = address.filter(|address| *address != self.own_address) {
            self.send_request(&address, request::Kind::Consensus(message.encode()));
        }
    }

    fn propose(&mut self, command: &S::Command, reply: oneshot::Sender<ProposeReply<S>>) {
        let bytes = match serde_json::to_vec(command) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("replica: cannot encode a command: {error}");
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
        self.last_read_id += 1;
        let id = ReadId(self.last_read_id);
        match self.replica.read(id) {
            Ok(()) => {
                self.reads.insert(id, reply);
            }
            Err(error) => {
                let _ = reply.send(Err(replica_error(&error)));
            }
        }
    }

    fn handle_join(&mut self, request: JoinRequest) {
        if self.replica.role() != Role::Leader {
            self.forward_join(request);
            return;
        }
        let (id, address) = (ReplicaId(request.id), request.address);
        if self.replica.membership().role(id).is_some() {
            return;
        }
        self.handle_replaced_member(id, &address);
        let is_queued = self.joining.iter().any(|queued| queued.id == request.id);
        if !is_queued && self.joining.len() < MAX_MEMBERS {
            let request = JoinRequest { address, ..request };
            self.joining.push_back(request);
        }
    }

    /// Proposes the replica that has waited longest as a learner. Returns whether a change was proposed.
    fn propose_next_learner(&mut self) -> bool {
        if self.replica.role() != Role::Leader {
            self.joining.clear();
            return false;
        }
        let Some(request) = self.joining.front() else {
            return false;
        };
        let id = ReplicaId(request.id);
        let address = Arc::clone(&request.address);
        match self
            .replica
            .propose_membership(&MembershipChange::AddLearner { id, address })
        {
            Ok(_) => log::info!("replica: adding replica {id} as a learner"),
            Err(ProposeError::ChangePending) => return false,
            // The replica sends another request while it does not belong to the group.
            Err(error) => log::debug!("replica: cannot add replica {id}: {error}"),
        }
        self.joining.pop_front();
        true
    }

    /// Forwards a join request to the leader, since the contacts of a new replica may not include it.
    fn forward_join(&mut self, request: JoinRequest) {
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
            self.send_join(&leader, &request);
        }
    }

    fn send_join(&mut self, address: &Arc<str>, join: &JoinRequest) {
        match radishpaddle_wire::encode(join) {
            Ok(bytes) => self.send_request(address, request::Kind::Join(bytes)),
            Err(error) => log::error!("replica: cannot encode a join request: {error}"),
        }
    }

    /// Handles the members that have the same address as a joining replica but another id: their data
    /// directory was lost. A learner is removed at once; a voter is marked as lost, and automatic repair
    /// removes it once it has been replaced.
    fn handle_replaced_member(&mut self, id: ReplicaId, address: &Arc<str>) {
        let members = self.replica.membership().members.clone();
        for (member_id, member) in members {
            if member_id != id && member.address == *address {
                self.replica.mark_disk_lost(member_id);
            }
        }
        let membership = self.replica.membership();
        let replaced = membership.members.iter().find(|(member_id, member)| {
            **member_id != id && member.address == *address && member.role == MemberRole::Learner
        });
        if let Some((replaced, _)) = replaced {
            let change = MembershipChange::Remove(*replaced);
            let _ = self.replica.propose_membership(&change);
        }
    }

    /// Sends a join request to every contact and known member, about once a second.
    fn request_join(&mut self) {
        const JOIN_INTERVAL_TICKS: u32 = 20;
        if self.ticks_until_join > 0 {
            self.ticks_until_join -= 1;
            return;
        }
        self.ticks_until_join = JOIN_INTERVAL_TICKS;
        let join = JoinRequest {
            id: self.replica.id().0,
            address: Arc::clone(&self.own_address),
            passed_on: false,
        };
        let contacts = self.contacts.borrow().clone();
        let contacts = contacts.iter().map(|contact| contact.to_string().into());
        let members = self.replica.membership().members.values();
        let members = members.map(|member| Arc::clone(&member.address));
        let addresses: BTreeSet<Arc<str>> = contacts.chain(members).collect();
        for address in addresses {
            if address != self.own_address {
                self.send_join(&address, &join);
            }
        }
    }

    fn process_ready(&mut self, ready: Ready) {
        for message in ready.messages {
            self.send(&message);
        }
        if !ready.writes.is_empty() {
            self.messages_after_sync
                .insert(ready.number, ready.messages_after_sync);
            let job = DiskJob::Write {
                number: ready.number,
                writes: Box::new(ready.writes),
            };
            self.storage_works &= self.disk_jobs.send(job).is_ok();
        }
        if let Some(snapshot) = ready.snapshot_to_install {
            match S::decode(&snapshot.data) {
                Ok(state) => self.state = Arc::new(state),
                Err(error) => {
                    log::error!("replica: cannot decode a received snapshot: {error:#}");
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
            log_notice(&notice);
        }
        self.save_snapshot_if_due();
    }

    fn apply(&mut self, entry: &Entry) {
        let outcome = match &entry.payload {
            Payload::Data(bytes) => match self.apply_command(bytes) {
                Ok(outcome) => Some(outcome),
                Err(error) => {
                    log::error!("replica: cannot apply log entry {}: {error:#}", entry.index);
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
            let is_own_entry = index == entry.index && term == entry.term;
            let result = outcome.clone().filter(|_| is_own_entry);
            let _ = reply.send(result.ok_or(ReplicaError::Unknown));
        }
    }

    fn apply_command(&mut self, bytes: &[u8]) -> Result<S::Outcome> {
        let command: S::Command = serde_json::from_slice(bytes)?;
        Arc::make_mut(&mut self.state).apply(&command)
    }

    fn finish_read(&mut self, read: ReadResult) {
        let (id, result) = match read {
            ReadResult::Confirmed(id) => {
                let confirmed = ConfirmedState {
                    index: self.replica.applied_index(),
                    state: Arc::clone(&self.state),
                };
                (id, Ok(confirmed))
            }
            ReadResult::LeadershipLost(id) => (id, Err(ReplicaError::NotLeader)),
        };
        if let Some(reply) = self.reads.remove(&id) {
            let _ = reply.send(result);
        }
    }

    fn save_snapshot_if_due(&mut self) {
        let applied = self.replica.applied_index();
        let due = applied >= self.snapshot_index + SNAPSHOT_INTERVAL_ENTRIES
            || (self.replica.log_bytes() > SNAPSHOT_LOG_BYTES && applied > self.snapshot_index);
        if self.saving_snapshot || !due {
            return;
        }
        let Ok(data) = self.state.encode() else {
            return;
        };
        if let Ok(snapshot) = self.replica.make_snapshot(applied, data.into()) {
            self.saving_snapshot = true;
            let job = DiskJob::SaveSnapshot(Box::new(snapshot));
            self.storage_works &= self.disk_jobs.send(job).is_ok();
        }
    }

    fn handle_disk_result(&mut self, result: DiskResult) {
        match result {
            DiskResult::WritesSynced(number) => {
                let messages = self.messages_after_sync.remove(&number);
                for message in messages.unwrap_or_default() {
                    self.send(&message);
                }
                self.replica.confirm_synced(number);
            }
            DiskResult::SnapshotSaved(snapshot) => {
                self.snapshot_index = snapshot.meta.index;
                self.saving_snapshot = false;
                self.replica.compact(*snapshot);
            }
            DiskResult::Failed(error) => {
                log::error!("replica: {error}");
                self.storage_works = false;
            }
        }
    }

    fn send(&mut self, message: &Message) {
        let bytes = message.encode();
        let member = self.replica.membership().members.get(&message.to);
        if let Some(address) = member.map(|member| Arc::clone(&member.address)) {
            self.send_request(&address, request::Kind::Consensus(bytes));
            return;
        }
        // A joining replica does not know the members yet. Its contacts forward the messages that are for
        // other members.
        let contacts = self.contacts.borrow().clone();
        for contact in contacts {
            let address: Arc<str> = contact.to_string().into();
            if address != self.own_address {
                self.send_request(&address, request::Kind::Consensus(bytes.clone()));
            }
        }
    }

    /// Sends a request without waiting for the response. Consensus and joins tolerate lost messages.
    fn send_request(&mut self, address: &Arc<str>, kind: request::Kind) {
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
            health: self.replica.group_health(),
            applied_index: self.replica.applied_index(),
            state: Arc::clone(&self.state),
            storage_works: self.storage_works,
        };
        self.view.send_if_modified(|current| {
            let view = view.not_older_than(current);
            let is_unchanged = current.role == view.role
                && current.term == view.term
                && current.leader == view.leader
                && current.applied_index == view.applied_index
                && current.storage_works == view.storage_works
                && current.membership == view.membership
                && current.health == view.health;
            *current = view;
            !is_unchanged
        });
        if self.replica.role() != Role::Leader {
            self.fail_proposals();
        }
    }

    /// Fails all pending proposals with [`ReplicaError::Unknown`] after leadership is lost: the next
    /// leader may still commit them.
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

fn log_notice(notice: &Notice) {
    match notice {
        Notice::Removed => log::warn!("replica: this replica was removed from the group"),
        Notice::RepairProposed(change) => {
            log::warn!("replica: automatic repair proposed {change:?}");
        }
    }
}
