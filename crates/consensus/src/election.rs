//! Pre-votes, elections and role changes.

use crate::entry::ReplicaId;
use crate::membership::MemberRole;
use crate::message::{Body, Message};
use crate::ready::{Notice, ReadResult};
use crate::replica::{Replica, Role};

impl Replica {
    /// Returns whether this replica may start an election: its disk is not stalled and it is a
    /// voter in the newest or in the committed membership. A voter that is being removed may still
    /// be needed to commit its removal (Raft thesis 4.2.2).
    fn may_start_election(&self) -> bool {
        let id = self.id();
        let is_voter = self.membership().is_voter(id) || self.committed_membership().1.is_voter(id);
        is_voter && self.can_lead()
    }

    /// Returns whether the disk allows this replica to lead: no write is stalled and no received
    /// snapshot waits to be written.
    fn can_lead(&self) -> bool {
        self.unwritten_snapshot.is_none() && !self.disk_is_stalled()
    }

    pub(crate) fn on_election_timeout(&mut self) {
        self.restart_election_timer();
        self.leader = None;
        if self.may_start_election() {
            self.start_pre_vote();
        } else {
            self.role = Role::Follower;
        }
    }

    fn start_pre_vote(&mut self) {
        self.role = Role::PreCandidate;
        self.votes.clear();
        self.votes.insert(self.id(), true);
        if self.has_majority_of_votes() {
            self.start_election(false);
            return;
        }
        self.request_votes(false);
    }

    /// Sends the request of the current pre-vote or election to the voters that have not responded.
    fn request_votes(&mut self, transfer: bool) {
        let last_index = self.log.last_index();
        let last_term = self.log.last_term();
        let membership_index = self.membership_index();
        let (term, body) = if self.role == Role::PreCandidate {
            let body = Body::PreVoteRequest {
                last_index,
                last_term,
                membership_index,
            };
            (self.term() + 1, body)
        } else {
            let body = Body::VoteRequest {
                last_index,
                last_term,
                membership_index,
                transfer,
            };
            (self.term(), body)
        };
        let mut voters = self.other_voters();
        voters.retain(|voter| !self.votes.contains_key(voter));
        for voter in voters {
            self.send_in_term(voter, term, body.clone());
        }
    }

    /// Repeats the requests for votes with each heartbeat period. After a loss the group may need the vote of every
    /// live voter; without the repetition, one lost message would cost an election timeout.
    pub(crate) fn tick_candidate(&mut self) {
        let campaigns = matches!(self.role, Role::PreCandidate | Role::Candidate);
        if campaigns
            && self
                .election_elapsed_ticks
                .is_multiple_of(self.config.heartbeat_ticks)
        {
            self.request_votes(false);
        }
    }

    /// Starts a new term as a candidate. The vote for itself counts once it is durable. `transfer`
    /// states that the current leader requested the election.
    pub(crate) fn start_election(&mut self, transfer: bool) {
        self.advance_term(self.term() + 1, Some(self.id()));
        self.role = Role::Candidate;
        self.leader = None;
        self.votes.clear();
        self.restart_election_timer();
        self.request_votes(transfer);
    }

    pub(crate) fn other_voters(&self) -> Vec<ReplicaId> {
        let local_id = self.id();
        self.membership()
            .voters()
            .filter(|id| *id != local_id)
            .collect()
    }

    fn has_majority_of_votes(&self) -> bool {
        let granted = |id| self.votes.get(&id) == Some(&true);
        self.membership().is_quorum(granted)
    }

    pub(crate) fn record_own_vote(&mut self) {
        if self.hard_state_is_durable() {
            self.votes.insert(self.id(), true);
            self.become_leader_if_elected();
        }
    }

    fn become_leader_if_elected(&mut self) {
        let own_vote_is_durable = self.votes.contains_key(&self.id());
        if own_vote_is_durable && self.has_majority_of_votes() {
            self.become_leader();
        }
    }

    pub(crate) fn on_vote_response(&mut self, from: ReplicaId, granted: bool) {
        if self.role == Role::Candidate {
            self.votes.insert(from, granted);
            self.become_leader_if_elected();
        }
    }

    pub(crate) fn on_pre_vote_response(&mut self, message: &Message, granted: bool) {
        if !granted {
            if message.term > self.term() {
                self.become_follower(message.term, None);
            }
            return;
        }
        if self.role == Role::PreCandidate && message.term == self.term() + 1 {
            self.votes.insert(message.from, true);
            if self.has_majority_of_votes() {
                self.start_election(false);
            }
        }
    }

    pub(crate) fn on_vote_request(&mut self, message: &Message) {
        let (last_index, last_term, membership_index, transfer, pre_vote) = match message.body {
            Body::PreVoteRequest {
                last_index,
                last_term,
                membership_index,
            } => (last_index, last_term, membership_index, false, true),
            Body::VoteRequest {
                last_index,
                last_term,
                membership_index,
                transfer,
            } => (last_index, last_term, membership_index, transfer, false),
            _ => return,
        };
        if self.notify_if_removed(message.from, membership_index) {
            return;
        }
        let up_to_date = (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        let leader_is_alive = self.has_live_leader() && !transfer;
        if pre_vote {
            self.respond_to_pre_vote(message, up_to_date && !leader_is_alive);
        } else if message.term <= self.term() || !leader_is_alive {
            self.respond_to_vote(message, up_to_date);
        }
        if !up_to_date && !leader_is_alive {
            self.campaign_as_learner();
        }
    }

    /// Starts a pre-vote as a learner that received a vote request from a sender with older
    /// entries. The sender counts this replica as a voter because of an uncommitted promotion, and
    /// without this replica the group might never elect a leader again. The election is as safe as
    /// any other because only the votes of the voters in the membership known here count, not the
    /// vote of the learner itself. A leader that is not a voter steps down once its entries are
    /// committed.
    fn campaign_as_learner(&mut self) {
        let is_learner = self.membership().role(self.id()) == Some(MemberRole::Learner);
        if is_learner && self.role == Role::Follower && self.can_lead() {
            self.start_pre_vote();
        }
    }

    /// Returns whether this replica leads or received a message from the leader within the minimum
    /// election timeout. In that case it grants no pre-votes and ignores vote requests for newer
    /// terms, so that a replica that cannot receive from the leader does not depose it.
    fn has_live_leader(&self) -> bool {
        let recently_heard =
            self.leader.is_some() && self.election_elapsed_ticks < self.config.election_ticks;
        self.role == Role::Leader || recently_heard
    }

    fn respond_to_pre_vote(&mut self, message: &Message, would_vote: bool) {
        let granted = would_vote && message.term > self.term();
        let term = if granted { message.term } else { self.term() };
        self.send_in_term(message.from, term, Body::PreVoteResponse { granted });
    }

    fn respond_to_vote(&mut self, message: &Message, up_to_date: bool) {
        if message.term > self.term() {
            self.become_follower(message.term, None);
        }
        let vote_available = self
            .hard_state
            .voted_for
            .is_none_or(|id| id == message.from);
        let granted = message.term == self.term() && up_to_date && vote_available;
        if granted && self.hard_state.voted_for.is_none() {
            self.become_follower(message.term, None);
            self.hard_state.voted_for = Some(message.from);
        }
        self.send(message.from, Body::VoteResponse { granted });
    }

    /// Sends [`Body::NotMember`] to a replica that a newer committed membership does not contain.
    /// Returns whether it was sent.
    fn notify_if_removed(&mut self, from: ReplicaId, known_index: u64) -> bool {
        let (index, membership) = self.committed_membership();
        let removed = index > known_index && membership.role(from).is_none();
        if removed {
            let body = Body::NotMember {
                membership_index: index,
            };
            self.send(from, body);
        }
        removed
    }

    pub(crate) fn on_not_member(&mut self, membership_index: u64) {
        if membership_index > self.membership_index() && self.role != Role::Leader {
            self.notices.push(Notice::Removed);
        }
    }

    pub(crate) fn on_timeout_now(&mut self, from: ReplicaId) {
        if self.leader == Some(from) && self.may_start_election() {
            self.start_election(true);
        }
    }

    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        if term > self.term() {
            self.advance_term(term, None);
        }
        if self.role == Role::Leader {
            self.fail_pending_reads();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.restart_election_timer();
    }

    /// Becomes a follower of the leader of the current term and discards a partial snapshot of
    /// another leader.
    pub(crate) fn follow_leader(&mut self, leader: ReplicaId) {
        debug_assert!(self.role != Role::Leader, "two leaders in one term");
        if self.leader != Some(leader) {
            self.incoming_snapshot = None;
        }
        self.become_follower(self.term(), Some(leader));
    }

    fn fail_pending_reads(&mut self) {
        for id in self.leadership.drain_reads() {
            self.read_results.push(ReadResult::LeadershipLost(id));
        }
    }
}
