//! Pre-vote, votes and changes of role.

use crate::entry::ReplicaId;
use crate::membership::MemberRole;
use crate::message::{Body, Message};
use crate::ready::{Notice, ReadResult};
use crate::replica::{Replica, Role};

impl Replica {
    /// Whether this replica may lead: its disk works and it votes in the newest or in the committed
    /// membership. A voter that is
    /// being removed may still be needed to commit its removal (Raft thesis 4.2.2).
    fn may_campaign(&self) -> bool {
        let id = self.id();
        let votes = self.membership().is_voter(id) || self.committed_membership().1.is_voter(id);
        votes && self.is_able_to_lead()
    }

    fn is_able_to_lead(&self) -> bool {
        self.unwritten_snapshot.is_none() && !self.disk_is_stalled()
    }

    pub(crate) fn election_timeout(&mut self) {
        self.restart_election_timer();
        self.leader = None;
        if self.may_campaign() {
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
        let body = Body::PreVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            membership_index: self.membership_index(),
        };
        let term = self.term() + 1;
        for voter in self.other_voters() {
            self.send_in_term(voter, term, body.clone());
        }
    }

    /// Starts a term as candidate. The vote for itself counts once it is durable.
    pub(crate) fn start_election(&mut self, transfer: bool) {
        self.enter_term(self.term() + 1, Some(self.id()));
        self.role = Role::Candidate;
        self.leader = None;
        self.votes.clear();
        self.restart_election_timer();
        let body = Body::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            membership_index: self.membership_index(),
            transfer,
        };
        for voter in self.other_voters() {
            self.send(voter, body.clone());
        }
    }

    pub(crate) fn other_voters(&self) -> Vec<ReplicaId> {
        let me = self.id();
        self.membership().voters().filter(|id| *id != me).collect()
    }

    fn has_majority_of_votes(&self) -> bool {
        let granted = |id| self.votes.get(&id) == Some(&true);
        self.membership().is_quorum(granted)
    }

    pub(crate) fn count_own_vote(&mut self) {
        if self.hard_state_is_synced() {
            self.votes.insert(self.id(), true);
            self.finish_election();
        }
    }

    fn finish_election(&mut self) {
        let own_vote_is_durable = self.votes.contains_key(&self.id());
        if own_vote_is_durable && self.has_majority_of_votes() {
            self.become_leader();
        }
    }

    pub(crate) fn on_vote_response(&mut self, from: ReplicaId, granted: bool) {
        if self.role == Role::Candidate {
            self.votes.insert(from, granted);
            self.finish_election();
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
            Body::PreVote {
                last_index,
                last_term,
                membership_index,
            } => (last_index, last_term, membership_index, false, true),
            Body::Vote {
                last_index,
                last_term,
                membership_index,
                transfer,
            } => (last_index, last_term, membership_index, transfer, false),
            _ => return,
        };
        if self.tell_removed(message.from, membership_index) {
            return;
        }
        let up_to_date = (last_term, last_index) >= (self.log.last_term(), self.log.last_index());
        let leader_is_alive = self.hears_leader() && !transfer;
        if pre_vote {
            self.answer_pre_vote(message, up_to_date && !leader_is_alive);
        } else if message.term <= self.term() || !leader_is_alive {
            self.answer_vote(message, up_to_date);
        }
        if !up_to_date && !leader_is_alive {
            self.campaign_as_learner();
        }
    }

    /// Starts an election as a learner whose vote is asked for and that has newer entries than the
    /// sender. The sender counts this replica as a voter because of an uncommitted promotion, and
    /// without this vote the group might never elect a leader again. The votes of the membership
    /// known here are counted, not the own one, so the election is as safe as any other; once its
    /// entries are committed, a leader that does not vote steps down.
    fn campaign_as_learner(&mut self) {
        let learns = self.membership().role(self.id()) == Some(MemberRole::Learner);
        if learns && self.role == Role::Follower && self.is_able_to_lead() {
            self.start_pre_vote();
        }
    }

    /// Whether a leader was heard within the shortest election timeout. Such a replica helps to
    /// elect nobody else, so that a replica that cannot hear the leader does not disturb it.
    fn hears_leader(&self) -> bool {
        let heard = self.leader.is_some() && self.elapsed < self.config.election_ticks;
        self.role == Role::Leader || heard
    }

    fn answer_pre_vote(&mut self, message: &Message, would_vote: bool) {
        let granted = would_vote && message.term > self.term();
        let term = if granted { message.term } else { self.term() };
        self.send_in_term(message.from, term, Body::PreVoteResponse { granted });
    }

    fn answer_vote(&mut self, message: &Message, up_to_date: bool) {
        if message.term > self.term() {
            self.become_follower(message.term, None);
        }
        let free = self
            .hard_state
            .voted_for
            .is_none_or(|id| id == message.from);
        let granted = message.term == self.term() && up_to_date && free;
        if granted && self.hard_state.voted_for.is_none() {
            self.become_follower(message.term, None);
            self.hard_state.voted_for = Some(message.from);
        }
        self.send(message.from, Body::VoteResponse { granted });
    }

    /// Answers a replica that a newer committed membership does not contain.
    fn tell_removed(&mut self, from: ReplicaId, known_index: u64) -> bool {
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
        if self.leader == Some(from) && self.may_campaign() {
            self.start_election(true);
        }
    }

    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        if term > self.term() {
            self.enter_term(term, None);
        }
        if self.role == Role::Leader {
            self.fail_reads();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.restart_election_timer();
    }

    /// Recognises the sender as the leader of the current term.
    pub(crate) fn follow(&mut self, leader: ReplicaId) {
        debug_assert!(self.role != Role::Leader, "two leaders in one term");
        if self.leader != Some(leader) {
            self.incoming = None;
        }
        self.become_follower(self.term(), Some(leader));
    }

    fn fail_reads(&mut self) {
        for id in self.lead.take_reads() {
            self.read_results.push(ReadResult::LeadershipLost(id));
        }
    }
}
