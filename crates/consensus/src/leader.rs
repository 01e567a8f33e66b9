//! What a leader does: replication, commit, check quorum and leadership transfer.

use std::collections::{BTreeMap, VecDeque};

use crate::entry::{Entry, Payload, ReplicaId};
use crate::error::ProposeError;
use crate::message::Body;
use crate::progress::{Flow, Progress};
use crate::reads::PendingRead;
use crate::ready::ReadId;
use crate::replica::{Replica, Role};

/// State that exists only while a replica leads.
#[derive(Debug, Default)]
pub(crate) struct Leadership {
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    /// Index of the entry that began the leader's term.
    pub(crate) first_index: u64,
    pub(crate) heartbeat_elapsed: u32,
    /// Whether entries or a commit index should be sent before the next heartbeat.
    pub(crate) broadcast_wanted: bool,
    pub(crate) transfer: Option<Transfer>,
    pub(crate) round: u64,
    pub(crate) queued_reads: Vec<ReadId>,
    pub(crate) pending_reads: VecDeque<PendingRead>,
}

/// What a leader knows about another member, for operators and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStatus {
    /// The member.
    pub id: ReplicaId,
    /// Last index that is known to be on its disk.
    pub matched: u64,
    /// Ticks since it answered.
    pub silent_ticks: u32,
    /// Whether it is close enough to the leader's log to vote.
    pub has_caught_up: bool,
}

/// A leadership transfer in progress.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Transfer {
    target: ReplicaId,
    elapsed: u32,
    asked: bool,
}

impl Replica {
    pub(crate) fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id());
        self.incoming = None;
        self.elapsed = 0;
        self.lead = Leadership::default();
        self.track_members();
        self.lead.first_index = self.append_own(Payload::Empty);
    }

    /// Keeps one progress per other member.
    fn track_members(&mut self) {
        let me = self.id();
        let next = self.log.last_index() + 1;
        let members: Vec<_> = self.membership().members.keys().copied().collect();
        self.lead.progress.retain(|id, _| members.contains(id));
        for id in members.into_iter().filter(|id| *id != me) {
            let new = || Progress::new(next);
            self.lead.progress.entry(id).or_insert_with(new);
        }
    }

    /// Appends an entry of the leader's term.
    pub(crate) fn append_own(&mut self, payload: Payload) -> u64 {
        let index = self.log.last_index() + 1;
        let changes_members = matches!(payload, Payload::Membership(_));
        let term = self.term();
        self.push_entry(Entry {
            index,
            term,
            payload,
        });
        if changes_members {
            self.track_members();
        }
        self.lead.broadcast_wanted = true;
        index
    }

    pub(crate) fn tick_leader(&mut self) {
        for progress in self.lead.progress.values_mut() {
            progress.silent_ticks = progress.silent_ticks.saturating_add(1);
        }
        if !self.hears_quorum() || self.disk_is_stalled() {
            self.become_follower(self.term(), None);
            return;
        }
        self.tick_transfer();
        self.repair();
        self.lead.heartbeat_elapsed += 1;
        if self.lead.heartbeat_elapsed >= self.config.heartbeat_ticks {
            self.heartbeat();
        }
    }

    /// Check quorum: whether a quorum answered within the shortest election timeout.
    fn hears_quorum(&self) -> bool {
        let limit = self.config.election_ticks;
        self.membership().is_quorum(|id| self.is_heard(id, limit))
    }

    /// Whether the replica is this one or answered within the last `limit` ticks.
    pub(crate) fn is_heard(&self, id: ReplicaId, limit: u32) -> bool {
        let answered = |progress: &Progress| progress.silent_ticks < limit;
        id == self.id() || self.lead.progress.get(&id).is_some_and(answered)
    }

    pub(crate) fn heartbeat(&mut self) {
        self.lead.heartbeat_elapsed = 0;
        let peers: Vec<_> = self.lead.progress.keys().copied().collect();
        for peer in peers {
            if let Some(progress) = self.lead.progress.get_mut(&peer) {
                progress.probe_sent = false;
            }
            self.send_entries(peer, true);
        }
    }

    /// Sends what is new since the last call.
    pub(crate) fn broadcast_due(&mut self) {
        if !std::mem::take(&mut self.lead.broadcast_wanted) {
            return;
        }
        let peers: Vec<_> = self.lead.progress.keys().copied().collect();
        for peer in peers {
            self.send_entries(peer, true);
        }
    }

    /// Sends entries as far as the flow allows; `allow_empty` permits a message without entries.
    pub(crate) fn send_entries(&mut self, peer: ReplicaId, allow_empty: bool) {
        let mut allow_empty = allow_empty;
        loop {
            let Some(progress) = self.lead.progress.get(&peer) else {
                return;
            };
            if matches!(progress.flow, Flow::Snapshot { .. }) {
                self.send_chunk(peer);
                return;
            }
            let prev_index = progress.next - 1;
            let may_send = progress.may_send(self.config.max_unanswered_batches);
            let Some(prev_term) = self.log.term(prev_index) else {
                self.start_snapshot(peer);
                return;
            };
            let entries = if may_send {
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
            let more = self.note_sent(peer, entries.last());
            let body = Body::Append {
                prev_index,
                prev_term,
                commit: self.commit,
                round: self.lead.round,
                entries,
            };
            self.send(peer, body);
            if !more {
                return;
            }
        }
    }

    /// Records a message with entries up to `last`. Returns whether more may follow at once.
    fn note_sent(&mut self, peer: ReplicaId, last: Option<&Entry>) -> bool {
        let Some(progress) = self.lead.progress.get_mut(&peer) else {
            return false;
        };
        let Some(last) = last else { return false };
        if progress.flow == Flow::Replicate {
            progress.next = last.index + 1;
            progress.unanswered.push_back(last.index);
            return true;
        }
        progress.probe_sent = true;
        false
    }

    /// Takes an answer to an append or a chunk.
    pub(crate) fn on_answer(&mut self, from: ReplicaId, body: &Body) {
        if self.role != Role::Leader {
            return;
        }
        let Some(progress) = self.lead.progress.get_mut(&from) else {
            return;
        };
        match *body {
            Body::Accepted { matched, round } => {
                progress.heard(round);
                if progress.accept(matched.min(self.log.last_index())) {
                    self.advance_commit();
                }
            }
            Body::Rejected {
                prev_index,
                hint,
                round,
            } => {
                progress.heard(round);
                progress.reject(prev_index, hint);
            }
            Body::ChunkAccepted {
                index,
                next_offset,
                round,
            } => {
                progress.heard(round);
                self.on_chunk_accepted(from, index, next_offset);
            }
            _ => return,
        }
        self.confirm_reads();
        if self.role == Role::Leader {
            self.send_entries(from, false);
            self.continue_transfer();
        }
    }

    /// Commits the highest entry of the leader's term that a quorum holds.
    pub(crate) fn advance_commit(&mut self) {
        let me = self.id();
        let stable = self.log.stable();
        let matched = |id: ReplicaId| {
            let progress = self.lead.progress.get(&id);
            let others = progress.map_or(0, |progress| progress.matched);
            if id == me { stable } else { others }
        };
        let mut indexes: Vec<u64> = self.membership().voters().map(matched).collect();
        indexes.sort_unstable();
        let majority = indexes[indexes.len() - self.membership().quorum()];
        if majority > self.commit && self.log.term(majority) == Some(self.term()) {
            self.set_commit(majority);
            self.lead.broadcast_wanted = true;
            self.leave_when_removed();
        }
    }

    /// A leader that is not in the committed membership steps down.
    fn leave_when_removed(&mut self) {
        let (_, membership) = self.committed_membership();
        if !membership.is_voter(self.id()) {
            self.broadcast_due();
            self.become_follower(self.term(), None);
        }
    }

    /// State of the other members; empty unless this replica leads.
    #[must_use]
    pub fn peers(&self) -> Vec<PeerStatus> {
        if self.role != Role::Leader {
            return Vec::new();
        }
        let status = |(id, progress): (&ReplicaId, &Progress)| PeerStatus {
            id: *id,
            matched: progress.matched,
            silent_ticks: progress.silent_ticks,
            has_caught_up: self.has_caught_up(*id),
        };
        self.lead.progress.iter().map(status).collect()
    }

    /// Hands the leadership to `target`, or to the voter that has most of the log. The leader
    /// takes no proposals until the transfer succeeds or an election timeout has passed.
    ///
    /// # Errors
    ///
    /// The replica does not lead, a transfer is running, or no voter can take over.
    pub fn transfer_leadership(&mut self, target: Option<ReplicaId>) -> Result<(), ProposeError> {
        self.check_leading()?;
        let target = target
            .or_else(|| self.best_target())
            .filter(|id| *id != self.id() && self.membership().is_voter(*id))
            .ok_or(ProposeError::NoTarget)?;
        self.lead.transfer = Some(Transfer {
            target,
            elapsed: 0,
            asked: false,
        });
        self.continue_transfer();
        Ok(())
    }

    fn best_target(&self) -> Option<ReplicaId> {
        let limit = self.config.election_ticks;
        let heard = |id: &ReplicaId| self.is_heard(*id, limit);
        let matched = |id: &ReplicaId| self.lead.progress.get(id).map(|peer| peer.matched);
        let others = self.other_voters().into_iter();
        others.filter(heard).max_by_key(matched)
    }

    fn continue_transfer(&mut self) {
        let last = self.log.last_index();
        let Some(transfer) = &mut self.lead.transfer else {
            return;
        };
        let matched = self.lead.progress.get(&transfer.target);
        let complete = matched.is_some_and(|progress| progress.matched == last);
        if complete && !transfer.asked {
            transfer.asked = true;
            let target = transfer.target;
            self.send(target, Body::TimeoutNow);
        }
    }

    fn tick_transfer(&mut self) {
        let Some(transfer) = &mut self.lead.transfer else {
            return;
        };
        transfer.elapsed += 1;
        transfer.asked = false;
        if transfer.elapsed >= self.config.election_ticks {
            self.lead.transfer = None;
        }
        self.continue_transfer();
    }
}
