//! Replica of the log: construction, inputs and queued output.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use rand::Rng as _;
use rand::rngs::SmallRng;

use crate::config::Config;
use crate::entry::{
    Entry, MAX_ENTRY_BYTES, MAX_SNAPSHOT_BYTES, Payload, ReplicaId, Snapshot, SnapshotMeta,
};
use crate::error::{CompactError, ProposeError, StartError};
use crate::leader::Leadership;
use crate::log::Log;
use crate::membership::Membership;
use crate::message::{Body, Message};
use crate::output::PendingWrites;
use crate::persisted::PersistedState;
use crate::ready::{HardState, Notice, ReadId, ReadResult};
use crate::snapshot_transfer::IncomingSnapshot;

/// Divisor of [`Config::max_log_bytes`] that gives the maximum size of the retained entries that a
/// snapshot covers. It ensures that a snapshot always makes room for proposals.
const RETAINED_LOG_DIVISOR: usize = 4;

/// Maximum number of entries that are proposed and not yet committed. Bounds the cost of a
/// proposal, which adds up the sizes of these entries.
const MAX_UNCOMMITTED_ENTRIES: u64 = 1_024;

/// Role of a replica in its current term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for an election.
    Follower,
    /// Requests pre-votes to find out whether an election would succeed.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Replicates entries and commits them.
    Leader,
}

/// Replica of the log. The crate documentation describes how to drive it.
#[derive(Debug)]
pub struct Replica {
    pub(crate) config: Config,
    rng: SmallRng,
    pub(crate) hard_state: HardState,
    /// Hard state that was last passed to the caller for writing.
    pub(crate) issued_hard_state: HardState,
    /// Hard state that the disk holds.
    pub(crate) durable_hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Snapshot>,
    /// Memberships with the index of their entries, starting with the one in force at the snapshot.
    /// The last one may be uncommitted.
    memberships: VecDeque<(u64, Membership)>,
    /// Group of the membership. Before this replica has joined, the group of the last leader that
    /// sent a message.
    group: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    /// Ticks since the last message of the leader, or since the election started.
    pub(crate) election_elapsed_ticks: u32,
    pub(crate) election_timeout_ticks: u32,
    /// Responses in the current pre-vote or election.
    pub(crate) votes: BTreeMap<ReplicaId, bool>,
    /// State of the leader; meaningful only in [`Role::Leader`].
    pub(crate) leadership: Leadership,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    /// Received snapshot that was not passed to the caller for writing yet.
    pub(crate) unwritten_snapshot: Option<Snapshot>,
    /// Durable received snapshot that the caller has to install.
    pub(crate) snapshot_to_install: Option<Snapshot>,
    pub(crate) pending_writes: Option<PendingWrites>,
    pub(crate) ready_number: u64,
    /// Messages that may be sent immediately.
    pub(crate) outbox: Vec<Message>,
    /// Messages that depend on state that is not durable yet.
    pub(crate) outbox_after_sync: Vec<Message>,
    pub(crate) read_results: Vec<ReadResult>,
    pub(crate) notices: Vec<Notice>,
}

impl Replica {
    /// Creates a replica from its persisted state. The caller must first restore the application
    /// from the snapshot; entries after the snapshot are returned again for application once they
    /// are known to be committed.
    ///
    /// # Errors
    ///
    /// Returns an error if a configuration value is out of range or the log has a gap.
    pub fn new(
        config: Config,
        state: PersistedState,
        mut rng: SmallRng,
    ) -> Result<Self, StartError> {
        if !config.is_valid() {
            return Err(StartError::Config);
        }
        let (base_index, base_term) = state
            .snapshot
            .as_ref()
            .map_or((0, 0), |snapshot| (snapshot.meta.index, snapshot.meta.term));
        let mut entries = state.entries;
        entries.retain(|entry| entry.index > base_index);
        check_consecutive(base_index, &entries)?;
        let memberships = collect_memberships(state.snapshot.as_ref(), &entries);
        let mut hard_state = state.hard_state;
        let last_term = entries.last().map_or(base_term, |entry| entry.term);
        if last_term > hard_state.term {
            hard_state.term = last_term;
            hard_state.voted_for = None;
        }
        // The first election timeout is shorter, so that a group whose processes all stopped elects
        // a leader soon. The pre-vote prevents the replica from deposing a working leader.
        let earliest = (config.election_ticks / 3).max(2 * config.heartbeat_ticks + 1);
        let election_timeout_ticks =
            rng.random_range(earliest..config.election_ticks.max(earliest + 1));
        Ok(Self {
            rng,
            hard_state,
            issued_hard_state: state.hard_state,
            durable_hard_state: state.hard_state,
            log: Log::new(base_index, base_term, entries),
            snapshot: state.snapshot,
            group: memberships.back().map_or(0, |(_, newest)| newest.group),
            memberships,
            role: Role::Follower,
            leader: None,
            commit_index: base_index,
            applied_index: base_index,
            election_elapsed_ticks: 0,
            election_timeout_ticks,
            votes: BTreeMap::new(),
            leadership: Leadership::default(),
            incoming_snapshot: None,
            unwritten_snapshot: None,
            snapshot_to_install: None,
            pending_writes: None,
            ready_number: 0,
            outbox: Vec::new(),
            outbox_after_sync: Vec::new(),
            read_results: Vec::new(),
            notices: Vec::new(),
            config,
        })
    }

    /// Returns the identity of this replica.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.hard_state.replica_id
    }

    /// Returns the current role.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the highest index known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the highest index passed to the caller to apply.
    #[must_use]
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Returns the index of the last entry in the log.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Returns the size of the entries in memory, in bytes. The caller should create a snapshot
    /// before this reaches [`Config::max_log_bytes`].
    #[must_use]
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Returns the newest membership, committed or not. Its group is 0 before the replica has
    /// joined one.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    pub(crate) fn membership_index(&self) -> u64 {
        self.memberships[self.memberships.len() - 1].0
    }

    /// Returns the newest committed membership with the index of its entry.
    #[must_use]
    pub fn committed_membership(&self) -> (u64, &Membership) {
        let committed = self
            .memberships
            .iter()
            .rev()
            .find(|(index, _)| *index <= self.commit_index);
        let (index, membership) = committed.unwrap_or(&self.memberships[0]);
        (*index, membership)
    }

    /// Advances the clock of the replica by one tick.
    pub fn tick(&mut self) {
        self.election_elapsed_ticks = self.election_elapsed_ticks.saturating_add(1);
        self.tick_pending_writes();
        if self.role == Role::Leader {
            self.tick_leader();
        } else if self.election_elapsed_ticks >= self.election_timeout_ticks {
            self.on_election_timeout();
        } else {
            self.tick_candidate();
        }
    }

    /// Processes a message from another replica. Messages for other replicas and of other groups
    /// are dropped.
    pub fn receive(&mut self, message: Message) {
        let joined = self.membership().group != 0;
        let may_join_group = matches!(
            message.body,
            Body::AppendEntries { .. } | Body::SnapshotChunk { .. }
        );
        let accepted_group = message.group != 0
            && (message.group == self.membership().group || (!joined && may_join_group));
        if message.to != self.id() || message.from == self.id() || !accepted_group {
            return;
        }
        self.group = message.group;
        match message.body {
            Body::PreVoteRequest { .. } | Body::VoteRequest { .. } => {
                self.on_vote_request(&message);
            }
            Body::PreVoteResponse { granted } => self.on_pre_vote_response(&message, granted),
            Body::NotMember { membership_index } => self.on_not_member(membership_index),
            _ => self.receive_in_term(message),
        }
    }

    fn receive_in_term(&mut self, message: Message) {
        if message.term < self.term() {
            self.reject_stale_term(&message);
            return;
        }
        if message.term > self.term() {
            self.become_follower(message.term, None);
        }
        let from = message.from;
        match message.body {
            Body::VoteResponse { granted } => self.on_vote_response(from, granted),
            Body::AppendEntries {
                prev_index,
                prev_term,
                commit_index,
                read_round,
                entries,
            } => {
                self.follow_leader(from);
                self.on_append(
                    from,
                    (prev_index, prev_term),
                    commit_index,
                    read_round,
                    entries,
                );
            }
            Body::SnapshotChunk {
                meta,
                total_bytes,
                offset,
                read_round,
                data,
            } => {
                self.follow_leader(from);
                self.on_chunk(from, meta, total_bytes, offset, read_round, &data);
            }
            Body::TimeoutNow => self.on_timeout_now(from),
            body => self.on_replication_response(from, &body),
        }
    }

    /// Rejects a message from a leader of an earlier term, which thereby learns the current term.
    fn reject_stale_term(&mut self, message: &Message) {
        let (Body::AppendEntries { read_round, .. } | Body::SnapshotChunk { read_round, .. }) =
            message.body
        else {
            return;
        };
        let body = Body::Rejected {
            prev_index: 0,
            hint: 0,
            read_round,
        };
        self.send(message.from, body);
    }

    /// Proposes an entry with a command of the application and returns its index. The proposal is
    /// committed if the entry that is later committed at that index has the current term.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica does not lead or does not accept proposals at the moment.
    /// The log is unchanged.
    pub fn propose(&mut self, data: Arc<[u8]>) -> Result<u64, ProposeError> {
        self.ensure_leader()?;
        if data.len() > MAX_ENTRY_BYTES {
            return Err(ProposeError::TooLarge {
                bytes: data.len(),
                limit: MAX_ENTRY_BYTES,
            });
        }
        if self.last_index() - self.commit_index >= MAX_UNCOMMITTED_ENTRIES {
            return Err(ProposeError::Busy);
        }
        let uncommitted = self.log.bytes_after(self.commit_index);
        if uncommitted + data.len() > self.config.max_uncommitted_bytes
            || self.log.bytes() + data.len() > self.config.max_log_bytes
        {
            return Err(ProposeError::Busy);
        }
        Ok(self.append_as_leader(Payload::Data(data)))
    }

    pub(crate) fn ensure_leader(&self) -> Result<(), ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader {
                leader: self.leader,
            });
        }
        if self.leadership.transfer.is_some() {
            return Err(ProposeError::Transferring);
        }
        Ok(())
    }

    /// Creates a snapshot from the application state after the entry at `index`. The caller must
    /// make it durable and then call [`Replica::compact`].
    ///
    /// # Errors
    ///
    /// Returns an error if the index was not passed to the caller to apply, is covered by a
    /// snapshot, or the data is too large.
    pub fn make_snapshot(&self, index: u64, data: Arc<[u8]>) -> Result<Snapshot, CompactError> {
        if data.len() > MAX_SNAPSHOT_BYTES {
            return Err(CompactError::TooLarge(data.len()));
        }
        let newest = self.snapshot.as_ref().map_or(0, |old| old.meta.index);
        let term = self
            .log
            .term(index)
            .filter(|_| index > newest && index <= self.applied_index)
            .ok_or(CompactError::Index(index))?;
        let at_or_before = |(at, _): &&(u64, Membership)| *at <= index;
        let (membership_index, membership) = self
            .memberships
            .iter()
            .rev()
            .find(at_or_before)
            .ok_or(CompactError::Index(index))?
            .clone();
        let meta = SnapshotMeta {
            index,
            term,
            membership,
            membership_index,
        };
        Ok(Snapshot { meta, data })
    }

    /// Removes the entries that a durable snapshot covers from memory, except for the newest
    /// [`Config::retained_entries`]. Snapshots older than the current one are ignored.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let newest = self.snapshot.as_ref().map_or(0, |old| old.meta.index);
        let index = snapshot.meta.index;
        if index <= newest || index > self.applied_index || self.log.term(index).is_none() {
            return;
        }
        self.snapshot = Some(snapshot);
        while self.memberships.len() > 1 && self.memberships[1].0 <= index {
            self.memberships.pop_front();
        }
        let keep_bytes = self.config.max_log_bytes / RETAINED_LOG_DIVISOR;
        self.log
            .compact(index, self.config.retained_entries, keep_bytes);
    }

    pub(crate) fn hard_state_is_durable(&self) -> bool {
        self.hard_state == self.durable_hard_state
    }

    /// Sends a message in the current term.
    pub(crate) fn send(&mut self, to: ReplicaId, body: Body) {
        self.send_in_term(to, self.term(), body);
    }

    /// Queues a message in the given term. It is held back until the next sync if it depends on
    /// state that is not durable yet.
    pub(crate) fn send_in_term(&mut self, to: ReplicaId, term: u64, body: Body) {
        let last_durable = self.log.last_durable();
        let acknowledges_unsynced =
            matches!(body, Body::Accepted { match_index, .. } if match_index > last_durable);
        let needs_sync = acknowledges_unsynced || !self.hard_state_is_durable();
        let message = Message {
            from: self.id(),
            to,
            group: self.group,
            term,
            body,
        };
        if needs_sync {
            self.outbox_after_sync.push(message);
        } else {
            self.outbox.push(message);
        }
    }

    /// Moves to a later term. Messages of earlier terms that wait for a sync are discarded.
    pub(crate) fn advance_term(&mut self, term: u64, voted_for: Option<ReplicaId>) {
        self.hard_state.term = term;
        self.hard_state.voted_for = voted_for;
        self.outbox_after_sync
            .retain(|message| message.term >= term);
    }

    pub(crate) fn restart_election_timer(&mut self) {
        self.election_elapsed_ticks = 0;
        let shortest = self.config.election_ticks;
        self.election_timeout_ticks = self.rng.random_range(shortest..2 * shortest);
    }

    /// Appends an entry to the log and records the membership that it contains.
    pub(crate) fn push_entry(&mut self, entry: Entry) {
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships
                .push_back((entry.index, membership.clone()));
        }
        self.log.push(entry);
    }

    /// Removes the uncommitted entries at and after `first`, with their memberships.
    pub(crate) fn truncate_log(&mut self, first: u64) {
        self.log.truncate_from(first);
        if let Some(pending) = &mut self.pending_writes {
            pending.last_index = pending.last_index.min(first - 1);
        }
        while self.memberships.len() > 1 && self.membership_index() >= first {
            self.memberships.pop_back();
        }
    }

    /// Replaces log and membership with those of a received snapshot, which still has to be
    /// written.
    pub(crate) fn reset_log_to_snapshot(&mut self, snapshot: Snapshot) {
        let meta = &snapshot.meta;
        self.log.reset_to_snapshot(meta.index, meta.term);
        self.memberships = VecDeque::from([(meta.membership_index, meta.membership.clone())]);
        self.commit_index = meta.index;
        if let Some(pending) = &mut self.pending_writes {
            pending.last_index = 0;
            pending.snapshot = None;
        }
        self.snapshot_to_install = None;
        self.snapshot = Some(snapshot.clone());
        self.unwritten_snapshot = Some(snapshot);
    }

    /// Raises the commit index; lower values are ignored.
    pub(crate) fn raise_commit_index(&mut self, commit_index: u64) {
        self.commit_index = self.commit_index.max(commit_index);
    }

    /// Requests a linearisable read. The result with this id is returned in
    /// [`crate::Ready::reads`].
    ///
    /// # Errors
    ///
    /// Returns an error if the replica does not lead or too many reads are waiting.
    pub fn read(&mut self, id: ReadId) -> Result<(), ProposeError> {
        self.ensure_leader()?;
        self.queue_read(id)
    }
}

fn check_consecutive(base_index: u64, entries: &[Entry]) -> Result<(), StartError> {
    for (expected, entry) in (base_index + 1..).zip(entries) {
        if entry.index != expected {
            return Err(StartError::Gap(expected));
        }
    }
    Ok(())
}

fn collect_memberships(
    snapshot: Option<&Snapshot>,
    entries: &[Entry],
) -> VecDeque<(u64, Membership)> {
    let first = snapshot.map_or((0, Membership::default()), |snapshot| {
        let meta = &snapshot.meta;
        (meta.membership_index, meta.membership.clone())
    });
    let mut memberships = VecDeque::from([first]);
    for entry in entries {
        if let Payload::Membership(membership) = &entry.payload {
            memberships.push_back((entry.index, membership.clone()));
        }
    }
    memberships
}
