//! Membership changes of one member at a time, and automatic repair of the membership by the
//! leader.

use crate::entry::{Payload, ReplicaId};
use crate::error::ProposeError;
use crate::membership::{MAX_LEARNERS, MAX_VOTERS, MemberRole, MembershipChange};
use crate::progress::ReplicationMode;
use crate::ready::Notice;
use crate::replica::Replica;

impl Replica {
    /// Proposes a change of one member and returns the index of its entry. This leader uses the new
    /// membership immediately; the change is permanent once the entry is committed. Only one change
    /// may be uncommitted, and a new leader must first commit an entry of its own term (the
    /// correction of 2015 to single-server changes in Raft).
    ///
    /// # Errors
    ///
    /// Returns an error if the replica does not lead, an earlier change is uncommitted, the learner
    /// has not caught up, the change is invalid, or no quorum of the new membership is reachable. A
    /// leader cannot remove itself; it must transfer the leadership first.
    pub fn propose_membership(&mut self, change: &MembershipChange) -> Result<u64, ProposeError> {
        self.ensure_leader()?;
        if self.has_uncommitted_change() {
            return Err(ProposeError::ChangePending);
        }
        match change {
            MembershipChange::Remove(id) | MembershipChange::Demote(id) if *id == self.id() => {
                return Err(ProposeError::InvalidChange);
            }
            MembershipChange::Promote(id) if !self.is_caught_up(*id) => {
                return Err(ProposeError::NotCaughtUp(*id));
            }
            _ => {}
        }
        let next = self
            .membership()
            .with_change(change)
            .ok_or(ProposeError::InvalidChange)?;
        if next == *self.membership() {
            return Ok(self.membership_index());
        }
        let limit = self.config.election_ticks;
        if !next.is_quorum(|id| self.responded_within(id, limit)) {
            return Err(ProposeError::QuorumUnreachable);
        }
        Ok(self.append_as_leader(Payload::Membership(next)))
    }

    /// Sets the number of voters that automatic repair aims for, clamped to 1 to [`MAX_VOTERS`].
    pub fn set_target_voters(&mut self, voters: usize) {
        self.config.target_voters = voters.clamp(1, MAX_VOTERS);
    }

    /// Returns the number of members, including this one, that responded within the minimum
    /// election timeout. Meaningful only on the leader.
    #[must_use]
    pub fn responsive_member_count(&self) -> usize {
        let limit = self.config.election_ticks;
        let members = self.membership().members.keys();
        members
            .filter(|id| self.responded_within(**id, limit))
            .count()
    }

    /// Marks a member whose disk is lost as unreachable, so that automatic repair does not wait for
    /// [`crate::Config::repair_after_ticks`] and [`crate::Config::remove_after_ticks`].
    pub fn mark_disk_lost(&mut self, id: ReplicaId) {
        if let Some(progress) = self.leadership.progress.get_mut(&id) {
            progress.ticks_since_response = progress
                .ticks_since_response
                .max(self.config.remove_after_ticks);
        }
    }

    /// Returns whether a membership change is uncommitted, or may be because the first entry of the
    /// term is not committed yet.
    pub(crate) fn has_uncommitted_change(&self) -> bool {
        self.commit_index < self.leadership.first_index
            || self.membership_index() > self.commit_index
    }

    /// Returns whether a member responds and its durable log lags by at most
    /// [`crate::Config::max_learner_lag_entries`].
    pub(crate) fn is_caught_up(&self, id: ReplicaId) -> bool {
        let Some(progress) = self.leadership.progress.get(&id) else {
            return false;
        };
        let lag = self.config.max_learner_lag_entries;
        progress.mode == ReplicationMode::Replicate
            && progress.ticks_since_response < self.config.election_ticks
            && progress.match_index + lag >= self.log.last_index()
            && progress.match_index >= self.leadership.first_index
            && progress.match_index >= self.membership_index()
    }

    /// Automatic repair: proposes at most one change towards replacing a voter that has been
    /// unreachable for [`crate::Config::repair_after_ticks`] by a learner that has caught up, or
    /// towards reaching the target number of voters.
    ///
    /// The learner is promoted before the unreachable voter is demoted. With three voters the group
    /// then survives the loss of one disk at any time, even if the unreachable voter was only
    /// partitioned; in the opposite order, the loss of a disk while there are only two voters would
    /// be fatal. With [`MAX_VOTERS`] voters the unreachable one is demoted first; until the learner
    /// is promoted, the remaining six voters survive the loss of two disks. An unreachable learner
    /// is removed after [`crate::Config::remove_after_ticks`]; until then a voter that was only
    /// silent gets its vote back without joining anew. Each change is proposed
    /// only if a quorum of the resulting membership responds and has caught up, so that a second
    /// loss directly afterwards leaves a majority that holds every committed entry.
    pub(crate) fn propose_repair(&mut self) {
        let transferring = self.leadership.transfer.is_some();
        if !self.config.automatic_repair || transferring || self.has_uncommitted_change() {
            return;
        }
        let Some(change) = self.next_repair_change() else {
            return;
        };
        let next = self.membership().with_change(&change);
        let quorum_is_up_to_date =
            next.is_some_and(|next| next.is_quorum(|id| self.is_up_to_date(id)));
        if quorum_is_up_to_date && self.propose_membership(&change).is_ok() {
            self.notices.push(Notice::RepairProposed(change));
        }
    }

    fn is_up_to_date(&self, id: ReplicaId) -> bool {
        id == self.id() || self.is_caught_up(id)
    }

    /// Returns the next change: promote a learner, demote an unreachable voter, or remove an
    /// unreachable learner.
    fn next_repair_change(&self) -> Option<MembershipChange> {
        let voters = self.membership().voters().count();
        let unreachable_voter = self.longest_unreachable(MemberRole::Voter);
        let wanted_voters = self.config.target_voters + usize::from(unreachable_voter.is_some());
        let mut learners = self.membership().learners();
        let caught_up_learner = learners.find(|id| self.is_caught_up(*id));
        if voters < wanted_voters.min(MAX_VOTERS)
            && let Some(caught_up_learner) = caught_up_learner
        {
            return Some(MembershipChange::Promote(caught_up_learner));
        }
        let at_voter_limit = voters == MAX_VOTERS && caught_up_learner.is_some();
        if let Some(unreachable) = unreachable_voter
            && (voters > self.config.target_voters || at_voter_limit)
        {
            return Some(self.withdraw_vote(unreachable));
        }
        self.longest_unreachable(MemberRole::Learner)
            .map(MembershipChange::Remove)
    }

    fn withdraw_vote(&self, voter: ReplicaId) -> MembershipChange {
        if self.membership().learners().count() < MAX_LEARNERS {
            MembershipChange::Demote(voter)
        } else {
            MembershipChange::Remove(voter)
        }
    }

    /// Returns the member with this role that has been unreachable for longest, if that is at least
    /// [`crate::Config::repair_after_ticks`] for a voter and [`crate::Config::remove_after_ticks`]
    /// for a learner.
    pub(crate) fn longest_unreachable(&self, role: MemberRole) -> Option<ReplicaId> {
        let unreachable_ticks = |id: &ReplicaId| {
            let progress = self.leadership.progress.get(id);
            progress.map_or(0, |progress| progress.ticks_since_response)
        };
        let limit = match role {
            MemberRole::Voter => self.config.repair_after_ticks,
            MemberRole::Learner => self.config.remove_after_ticks,
        };
        let membership = self.membership();
        let ids = self.leadership.progress.keys().copied();
        ids.filter(|id| membership.role(*id) == Some(role))
            .filter(|id| unreachable_ticks(id) >= limit)
            .max_by_key(unreachable_ticks)
    }
}
