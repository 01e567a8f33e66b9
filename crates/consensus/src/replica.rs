//! One replica of the log: construction, inputs, and the work it hands out.

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
use crate::output::InFlight;
use crate::persisted::PersistedState;
use crate::ready::{HardState, Notice, ReadId, ReadResult};
use crate::snapshot_transfer::Incoming;

/// Part of [`Config::max_log_bytes`] that entries behind a snapshot may take, so that a snapshot
/// always makes room for proposals.
const RETAINED_PART: usize = 4;

/// Most entries that may be proposed and not yet committed; bounds the work of a proposal.
const MAX_UNCOMMITTED_ENTRIES: u64 = 1_024;

/// What a replica is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether an election could succeed.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// One replica of the log. See the crate documentation for the flow of work.
#[derive(Debug)]
pub struct Replica {
    pub(crate) config: Config,
    rng: SmallRng,
    pub(crate) hard_state: HardState,
    pub(crate) handed_hard_state: HardState,
    pub(crate) synced_hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) snapshot: Option<Snapshot>,
    /// Memberships by index, from the one in force at the snapshot on. The last one may be
    /// uncommitted.
    memberships: VecDeque<(u64, Membership)>,
    /// Group of the membership; before there is one, the group of the leader that was heard.
    group: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    /// Ticks since the leader was heard, or since the election began.
    pub(crate) elapsed: u32,
    pub(crate) timeout: u32,
    pub(crate) votes: BTreeMap<ReplicaId, bool>,
    pub(crate) lead: Leadership,
    pub(crate) incoming: Option<Incoming>,
    pub(crate) unwritten_snapshot: Option<Snapshot>,
    pub(crate) install: Option<Snapshot>,
    pub(crate) in_flight: Option<InFlight>,
    pub(crate) ready_number: u64,
    pub(crate) outbox: Vec<Message>,
    pub(crate) waiting: Vec<Message>,
    pub(crate) read_results: Vec<ReadResult>,
    pub(crate) notices: Vec<Notice>,
}

impl Replica {
    /// Starts a replica from what its disk holds. Committed entries behind the snapshot are handed
    /// out again once they are known to be committed; the caller restores the application from
    /// the snapshot first.
    ///
    /// # Errors
    ///
    /// The configuration is out of range, or the log has a gap.
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
        let memberships = memberships_of(state.snapshot.as_ref(), &entries);
        let mut hard_state = state.hard_state;
        let last_term = entries.last().map_or(base_term, |entry| entry.term);
        if last_term > hard_state.term {
            hard_state.term = last_term;
            hard_state.voted_for = None;
        }
        // A replica that starts campaigns early, so that a group whose processes all ended has a leader
        // soon. The pre-vote keeps it from disturbing a leader that the others hear.
        let earliest = (config.election_ticks / 3).max(2 * config.heartbeat_ticks + 1);
        let timeout = rng.random_range(earliest..config.election_ticks.max(earliest + 1));
        Ok(Self {
            rng,
            hard_state,
            handed_hard_state: state.hard_state,
            synced_hard_state: state.hard_state,
            log: Log::new(base_index, base_term, entries),
            snapshot: state.snapshot,
            group: memberships.back().map_or(0, |(_, newest)| newest.group),
            memberships,
            role: Role::Follower,
            leader: None,
            commit: base_index,
            applied: base_index,
            elapsed: 0,
            timeout,
            votes: BTreeMap::new(),
            lead: Leadership::default(),
            incoming: None,
            unwritten_snapshot: None,
            install: None,
            in_flight: None,
            ready_number: 0,
            outbox: Vec::new(),
            waiting: Vec::new(),
            read_results: Vec::new(),
            notices: Vec::new(),
            config,
        })
    }

    /// Identity of this replica.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.hard_state.replica_id
    }

    /// What the replica is doing.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Current term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The leader of the current term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Index up to which entries are known to be committed.
    #[must_use]
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Index up to which entries were handed out for application.
    #[must_use]
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Index of the last entry of the log.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Bytes of entries in memory; the caller takes a snapshot before this reaches
    /// [`Config::max_log_bytes`].
    #[must_use]
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Newest membership, committed or not. Its group is 0 before the replica has joined one.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.memberships[self.memberships.len() - 1].1
    }

    pub(crate) fn membership_index(&self) -> u64 {
        self.memberships[self.memberships.len() - 1].0
    }

    /// Newest committed membership with the index of its entry.
    #[must_use]
    pub fn committed_membership(&self) -> (u64, &Membership) {
        let committed = self
            .memberships
            .iter()
            .rev()
            .find(|(index, _)| *index <= self.commit);
        let (index, membership) = committed.unwrap_or(&self.memberships[0]);
        (*index, membership)
    }

    /// Advances time by one tick.
    pub fn tick(&mut self) {
        self.elapsed = self.elapsed.saturating_add(1);
        self.tick_writes();
        if self.role == Role::Leader {
            self.tick_leader();
        } else if self.elapsed >= self.timeout {
            self.election_timeout();
        }
    }

    /// Takes a message that arrived from another replica.
    pub fn receive(&mut self, message: Message) {
        let joined = self.membership().group != 0;
        let first_contact = matches!(message.body, Body::Append { .. } | Body::Chunk { .. });
        let accepted_group = message.group != 0
            && (message.group == self.membership().group || (!joined && first_contact));
        if message.to != self.id() || message.from == self.id() || !accepted_group {
            return;
        }
        self.group = message.group;
        match message.body {
            Body::PreVote { .. } | Body::Vote { .. } => self.on_vote_request(&message),
            Body::PreVoteResponse { granted } => self.on_pre_vote_response(&message, granted),
            Body::NotMember { membership_index } => self.on_not_member(membership_index),
            _ => self.receive_in_term(message),
        }
    }

    fn receive_in_term(&mut self, message: Message) {
        if message.term < self.term() {
            self.refuse_old_term(&message);
            return;
        }
        if message.term > self.term() {
            self.become_follower(message.term, None);
        }
        let from = message.from;
        match message.body {
            Body::VoteResponse { granted } => self.on_vote_response(from, granted),
            Body::Append {
                prev_index,
                prev_term,
                commit,
                round,
                entries,
            } => {
                self.follow(from);
                self.on_append(from, (prev_index, prev_term), commit, round, entries);
            }
            Body::Chunk {
                meta,
                total_bytes,
                offset,
                round,
                data,
            } => {
                self.follow(from);
                self.on_chunk(from, meta, total_bytes, offset, round, &data);
            }
            Body::TimeoutNow => self.on_timeout_now(from),
            body => self.on_answer(from, &body),
        }
    }

    /// Tells a leader of an earlier term about the current one.
    fn refuse_old_term(&mut self, message: &Message) {
        let (Body::Append { round, .. } | Body::Chunk { round, .. }) = message.body else {
            return;
        };
        let body = Body::Rejected {
            prev_index: 0,
            hint: 0,
            round,
        };
        self.send(message.from, body);
    }

    /// Proposes an entry with bytes of the application. Returns the index that it gets if it is
    /// committed; the entry at that index is this one only if its term is the current one.
    ///
    /// # Errors
    ///
    /// The replica does not lead, or takes no proposals now. Nothing was done.
    pub fn propose(&mut self, data: Arc<[u8]>) -> Result<u64, ProposeError> {
        self.check_leading()?;
        if data.len() > MAX_ENTRY_BYTES {
            return Err(ProposeError::TooLarge {
                bytes: data.len(),
                limit: MAX_ENTRY_BYTES,
            });
        }
        if self.last_index() - self.commit >= MAX_UNCOMMITTED_ENTRIES {
            return Err(ProposeError::Busy);
        }
        let uncommitted = self.log.bytes_after(self.commit);
        if uncommitted + data.len() > self.config.max_uncommitted_bytes
            || self.log.bytes() + data.len() > self.config.max_log_bytes
        {
            return Err(ProposeError::Busy);
        }
        Ok(self.append_own(Payload::Data(data)))
    }

    pub(crate) fn check_leading(&self) -> Result<(), ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader {
                leader: self.leader,
            });
        }
        if self.lead.transfer.is_some() {
            return Err(ProposeError::Transferring);
        }
        Ok(())
    }

    /// Builds the snapshot for the application state after the entry at `index`. The caller makes
    /// it durable and then calls [`Replica::compact`].
    ///
    /// # Errors
    ///
    /// The index was not handed out for application, is covered by a snapshot, or the data is too
    /// large.
    pub fn make_snapshot(&self, index: u64, data: Arc<[u8]>) -> Result<Snapshot, CompactError> {
        if data.len() > MAX_SNAPSHOT_BYTES {
            return Err(CompactError::TooLarge(data.len()));
        }
        let newest = self.snapshot.as_ref().map_or(0, |old| old.meta.index);
        let term = self
            .log
            .term(index)
            .filter(|_| index > newest && index <= self.applied)
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

    /// Drops the entries that a durable snapshot covers, except for the newest
    /// [`Config::retained_entries`]. Snapshots older than the newest one are ignored.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let newest = self.snapshot.as_ref().map_or(0, |old| old.meta.index);
        let index = snapshot.meta.index;
        if index <= newest || index > self.applied || self.log.term(index).is_none() {
            return;
        }
        self.snapshot = Some(snapshot);
        while self.memberships.len() > 1 && self.memberships[1].0 <= index {
            self.memberships.pop_front();
        }
        let keep_bytes = self.config.max_log_bytes / RETAINED_PART;
        self.log
            .compact(index, self.config.retained_entries, keep_bytes);
    }

    pub(crate) fn hard_state_is_synced(&self) -> bool {
        self.hard_state == self.synced_hard_state
    }

    /// Sends a message in the current term.
    pub(crate) fn send(&mut self, to: ReplicaId, body: Body) {
        self.send_in_term(to, self.term(), body);
    }

    /// Queues a message; it waits for a sync when it promises something that is not durable.
    pub(crate) fn send_in_term(&mut self, to: ReplicaId, term: u64, body: Body) {
        let promises_entries =
            matches!(body, Body::Accepted { matched, .. } if matched > self.log.stable());
        let waits = promises_entries || !self.hard_state_is_synced();
        let message = Message {
            from: self.id(),
            to,
            group: self.group,
            term,
            body,
        };
        if waits {
            self.waiting.push(message);
        } else {
            self.outbox.push(message);
        }
    }

    /// Moves to a later term. Messages of earlier terms that wait for a sync are dropped.
    pub(crate) fn enter_term(&mut self, term: u64, voted_for: Option<ReplicaId>) {
        self.hard_state.term = term;
        self.hard_state.voted_for = voted_for;
        self.waiting.retain(|message| message.term >= term);
    }

    pub(crate) fn restart_election_timer(&mut self) {
        self.elapsed = 0;
        let shortest = self.config.election_ticks;
        self.timeout = self.rng.random_range(shortest..2 * shortest);
    }

    /// Appends to the log and keeps track of the membership.
    pub(crate) fn push_entry(&mut self, entry: Entry) {
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships
                .push_back((entry.index, membership.clone()));
        }
        self.log.push(entry);
    }

    pub(crate) fn truncate_log(&mut self, first: u64) {
        self.log.truncate_from(first);
        if let Some(written) = &mut self.in_flight {
            written.last = written.last.min(first - 1);
        }
        while self.memberships.len() > 1 && self.membership_index() >= first {
            self.memberships.pop_back();
        }
    }

    pub(crate) fn restore_log(&mut self, snapshot: Snapshot) {
        let meta = &snapshot.meta;
        self.log.restore(meta.index, meta.term);
        self.memberships = VecDeque::from([(meta.membership_index, meta.membership.clone())]);
        self.commit = meta.index;
        if let Some(written) = &mut self.in_flight {
            written.last = 0;
            written.snapshot = None;
        }
        self.install = None;
        self.snapshot = Some(snapshot.clone());
        self.unwritten_snapshot = Some(snapshot);
    }

    /// Moves the commit index forward.
    pub(crate) fn set_commit(&mut self, commit: u64) {
        self.commit = self.commit.max(commit);
    }

    /// Reads the state linearisably: the result with this id appears in
    /// [`crate::Ready::reads`].
    ///
    /// # Errors
    ///
    /// The replica does not lead, or too many reads wait.
    pub fn read(&mut self, id: ReadId) -> Result<(), ProposeError> {
        self.check_leading()?;
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

fn memberships_of(snapshot: Option<&Snapshot>, entries: &[Entry]) -> VecDeque<(u64, Membership)> {
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
