//! Leader logic: replication, commit, check quorum and leadership transfer.

use std::collections::{BTreeMap, VecDeque};

use crate::entry::{Entry, Payload, ReplicaId};
use crate::error::ProposeError;
use crate::message::Body;
use crate::progress::{Progress, ReplicationMode};
use crate::reads::PendingRead;
use crate::ready::ReadId;
use crate::replica::{Replica, Role};

/// State that exists only while a replica leads.
#[derive(Debug, Default)]
pub(crate) struct Leadership {
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    /// Index of the first entry of the leader's term.
    pub(crate) first_index: u64,
    /// Ticks since the last heartbeat was sent.
    pub(crate) ticks_since_heartbeat: u32,
    /// Whether new entries, a new commit index or a new read round are to be sent without waiting
    /// for the next heartbeat.
    pub(crate) broadcast_pending: bool,
    pub(crate) transfer: Option<Transfer>,
    /// Number of the newest read round.
    pub(crate) read_round: u64,
    /// Reads that wait for the next read round.
    pub(crate) queued_reads: Vec<ReadId>,
    /// Reads of a started round, oldest first.
    pub(crate) pending_reads: VecDeque<PendingRead>,
}

/// Replication status of another member as known to the leader, for operators and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStatus {
    /// Id of the member.
    pub id: ReplicaId,
    /// Highest index known to be durable on the member.
    pub match_index: u64,
    /// Ticks since its last response.
    pub ticks_since_response: u32,
    /// Whether its log is close enough to the log of the leader for a promotion to voter.
    pub is_caught_up: bool,
}

/// Leadership transfer in progress.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Transfer {
    target: ReplicaId,
    elapsed_ticks: u32,
    /// Whether [`Body::TimeoutNow`] was sent since the last tick.
    timeout_now_sent: bool,
}

impl Replica {
    pub(crate) fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id());
        self.incoming_snapshot = None;
        self.election_elapsed_ticks = 0;
        self.leadership = Leadership::default();
        self.update_progress_entries();
        self.leadership.first_index = self.append_as_leader(Payload::Empty);
    }

    /// Adds progress for new members and drops it for removed ones.
    fn update_progress_entries(&mut self) {
        let local_id = self.id();
        let next = self.log.last_index() + 1;
        let members: Vec<_> = self.membership().members.keys().copied().collect();
        self.leadership
            .progress
            .retain(|id, _| members.contains(id));
        for id in members.into_iter().filter(|id| *id != local_id) {
            let new = || Progress::new(next);
            self.leadership.progress.entry(id).or_insert_with(new);
        }
    }

    /// Appends an entry in the current term and returns its index.
    pub(crate) fn append_as_leader(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        let changes_members = matches!(payload, Payload::Membership(_));
        let term = self.term();
        self.push_entry(Entry {
            index,
            term,
            payload,
        });
        if changes_members {
            self.update_progress_entries();
        }
        self.leadership.broadcast_pending = true;
        index
    }

    pub(crate) fn tick_leader(&mut self) {
        for progress in self.leadership.progress.values_mut() {
            progress.ticks_since_response = progress.ticks_since_response.saturating_add(1);
        }
        if !self.has_active_quorum() || self.disk_is_stalled() {
            self.become_follower(self.term(), None);
            return;
        }
        self.tick_transfer();
        self.propose_repair();
        self.leadership.ticks_since_heartbeat += 1;
        if self.leadership.ticks_since_heartbeat >= self.config.heartbeat_ticks {
            self.send_heartbeats();
        }
    }

    /// Returns whether a quorum responded within the minimum election timeout (check quorum). At
    /// the start of a term the members have as long for their first response.
    fn has_active_quorum(&self) -> bool {
        let limit = self.config.election_ticks;
        let is_active = |progress: &Progress| progress.ticks_since_response < limit;
        let progress = &self.leadership.progress;
        self.membership()
            .is_quorum(|id| id == self.id() || progress.get(&id).is_some_and(is_active))
    }

    /// Returns whether the replica is this one or responded within the last `limit` ticks of this
    /// term.
    pub(crate) fn responded_within(&self, id: ReplicaId, limit: u32) -> bool {
        let responded =
            |progress: &Progress| progress.has_responded && progress.ticks_since_response < limit;
        id == self.id() || self.leadership.progress.get(&id).is_some_and(responded)
    }

    pub(crate) fn send_heartbeats(&mut self) {
        self.leadership.ticks_since_heartbeat = 0;
        let peers: Vec<_> = self.leadership.progress.keys().copied().collect();
        for peer in peers {
            if let Some(progress) = self.leadership.progress.get_mut(&peer) {
                progress.awaiting_response = false;
            }
            self.send_entries(peer, true);
        }
    }

    /// Sends new entries, commit index and read round to all members if a broadcast is pending.
    pub(crate) fn broadcast_if_pending(&mut self) {
        if !std::mem::take(&mut self.leadership.broadcast_pending) {
            return;
        }
        let peers: Vec<_> = self.leadership.progress.keys().copied().collect();
        for peer in peers {
            self.send_entries(peer, true);
        }
    }

    /// Sends as many entries as the flow control of the peer allows. `allow_empty` permits one
    /// message without entries.
    pub(crate) fn send_entries(&mut self, peer: ReplicaId, allow_empty: bool) {
        let mut allow_empty = allow_empty;
        loop {
            let Some(progress) = self.leadership.progress.get(&peer) else {
                return;
            };
            if matches!(progress.mode, ReplicationMode::Snapshot { .. }) {
                self.send_chunk(peer);
                return;
            }
            let prev_index = progress.next_index - 1;
            let may_send_entries =
                progress.may_send_entries(self.config.max_unacknowledged_batches);
            let Some(prev_term) = self.log.term(prev_index) else {
                self.start_snapshot(peer);
                return;
            };
            let entries = if may_send_entries {
                let last = self.log.last_index();
                let max_bytes = self.config.max_batch_bytes;
                self.log.slice(prev_index + 1, last, max_bytes)
            } else {
                Vec::new()
            };
            if entries.is_empty() && !allow_empty {
                return;
            }
            allow_empty = false;
            let more = self.record_sent(peer, entries.last());
            let body = Body::AppendEntries {
                prev_index,
                prev_term,
                commit_index: self.commit_index,
                read_round: self.leadership.read_round,
                entries,
            };
            self.send(peer, body);
            if !more {
                return;
            }
        }
    }

    /// Records that entries up to `last` were sent. Returns whether more may be sent immediately.
    fn record_sent(&mut self, peer: ReplicaId, last: Option<&Entry>) -> bool {
        let Some(progress) = self.leadership.progress.get_mut(&peer) else {
            return false;
        };
        let Some(last) = last else { return false };
        if progress.mode == ReplicationMode::Replicate {
            progress.next_index = last.index + 1;
            progress.unacknowledged_batches.push_back(last.index);
            return true;
        }
        progress.awaiting_response = true;
        false
    }

    /// Processes the response of a member to entries or to a snapshot chunk.
    pub(crate) fn on_replication_response(&mut self, from: ReplicaId, body: &Body) {
        if self.role != Role::Leader {
            return;
        }
        let Some(progress) = self.leadership.progress.get_mut(&from) else {
            return;
        };
        match *body {
            Body::Accepted {
                match_index,
                read_round,
            } => {
                progress.record_response(read_round);
                if progress.record_accepted(match_index.min(self.log.last_index())) {
                    self.advance_commit();
                }
            }
            Body::Rejected {
                prev_index,
                hint,
                read_round,
            } => {
                progress.record_response(read_round);
                progress.record_rejected(prev_index, hint);
            }
            Body::SnapshotChunkAccepted {
                index,
                next_offset,
                read_round,
            } => {
                progress.record_response(read_round);
                self.on_chunk_accepted(from, index, next_offset);
            }
            _ => return,
        }
        self.confirm_reads();
        if self.role == Role::Leader {
            self.send_entries(from, false);
            self.advance_transfer();
        }
    }

    /// Commits up to the highest index that is durable on a quorum, provided that its entry is of
    /// the current term.
    pub(crate) fn advance_commit(&mut self) {
        let local_id = self.id();
        let last_durable = self.log.last_durable();
        let match_index = |id: ReplicaId| {
            let progress = self.leadership.progress.get(&id);
            let on_peer = progress.map_or(0, |progress| progress.match_index);
            if id == local_id {
                last_durable
            } else {
                on_peer
            }
        };
        let mut indexes: Vec<u64> = self.membership().voters().map(match_index).collect();
        indexes.sort_unstable();
        let majority = indexes[indexes.len() - self.membership().quorum()];
        if majority > self.commit_index && self.log.term(majority) == Some(self.term()) {
            self.raise_commit_index(majority);
            self.leadership.broadcast_pending = true;
            self.step_down_if_removed();
        }
    }

    /// Steps down if this replica is not a voter in the committed membership. The commit index is
    /// sent first, so that the other members learn of it.
    fn step_down_if_removed(&mut self) {
        let (_, membership) = self.committed_membership();
        if !membership.is_voter(self.id()) {
            self.broadcast_if_pending();
            self.become_follower(self.term(), None);
        }
    }

    /// Returns the status of the other members; empty unless this replica leads.
    #[must_use]
    pub fn peers(&self) -> Vec<PeerStatus> {
        if self.role != Role::Leader {
            return Vec::new();
        }
        let status = |(id, progress): (&ReplicaId, &Progress)| PeerStatus {
            id: *id,
            match_index: progress.match_index,
            ticks_since_response: progress.ticks_since_response,
            is_caught_up: self.is_caught_up(*id),
        };
        self.leadership.progress.iter().map(status).collect()
    }

    /// Starts a transfer of the leadership to `target` or, by default, to the responsive voter with
    /// the most complete log. The leader rejects proposals until the transfer succeeds or
    /// [`crate::Config::election_ticks`] have passed.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica does not lead, another transfer is in progress, or no voter
    /// is available.
    pub fn transfer_leadership(&mut self, target: Option<ReplicaId>) -> Result<(), ProposeError> {
        self.ensure_leader()?;
        let target = target
            .or_else(|| self.select_transfer_target())
            .filter(|id| *id != self.id() && self.membership().is_voter(*id))
            .ok_or(ProposeError::NoTransferTarget)?;
        self.leadership.transfer = Some(Transfer {
            target,
            elapsed_ticks: 0,
            timeout_now_sent: false,
        });
        self.advance_transfer();
        Ok(())
    }

    fn select_transfer_target(&self) -> Option<ReplicaId> {
        let limit = self.config.election_ticks;
        let responsive = |id: &ReplicaId| self.responded_within(*id, limit);
        let match_index = |id: &ReplicaId| {
            self.leadership
                .progress
                .get(id)
                .map(|peer| peer.match_index)
        };
        let others = self.other_voters().into_iter();
        others.filter(responsive).max_by_key(match_index)
    }

    /// Asks the target to start an election once its log is complete.
    fn advance_transfer(&mut self) {
        let last = self.log.last_index();
        let Some(transfer) = &mut self.leadership.transfer else {
            return;
        };
        let progress = self.leadership.progress.get(&transfer.target);
        let log_is_complete = progress.is_some_and(|progress| progress.match_index == last);
        if log_is_complete && !transfer.timeout_now_sent {
            transfer.timeout_now_sent = true;
            let target = transfer.target;
            self.send(target, Body::TimeoutNow);
        }
    }

    /// Repeats the request to the target and aborts the transfer after the minimum election
    /// timeout.
    fn tick_transfer(&mut self) {
        let Some(transfer) = &mut self.leadership.transfer else {
            return;
        };
        transfer.elapsed_ticks += 1;
        transfer.timeout_now_sent = false;
        if transfer.elapsed_ticks >= self.config.election_ticks {
            self.leadership.transfer = None;
        }
        self.advance_transfer();
    }
}
