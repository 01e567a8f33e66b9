//! Membership changes, one member at a time, and the ones that the leader proposes by itself.

use crate::entry::{Payload, ReplicaId};
use crate::error::ProposeError;
use crate::membership::{MAX_VOTERS, MemberRole, MembershipChange};
use crate::progress::Flow;
use crate::ready::Notice;
use crate::replica::Replica;

impl Replica {
    /// Proposes a change of one member. It is in force for this leader at once and permanent when
    /// the returned index is committed. Only one change may be uncommitted, and a new leader first
    /// commits an entry of its term (the correction of 2015 to single-server changes in Raft).
    ///
    /// # Errors
    ///
    /// The replica does not lead, an earlier change is uncommitted, the learner has not caught up,
    /// the change does not fit, or too few voters would remain reachable. A leader cannot remove
    /// itself; it transfers the leadership first.
    pub fn propose_membership(&mut self, change: &MembershipChange) -> Result<u64, ProposeError> {
        self.check_leading()?;
        if self.change_is_pending() {
            return Err(ProposeError::ChangePending);
        }
        match change {
            MembershipChange::Remove(id) if *id == self.id() => {
                return Err(ProposeError::ChangeNotPossible);
            }
            MembershipChange::Promote(id) if !self.has_caught_up(*id) => {
                return Err(ProposeError::NotCaughtUp(*id));
            }
            _ => {}
        }
        let next = self
            .membership()
            .after(change)
            .ok_or(ProposeError::ChangeNotPossible)?;
        if next == *self.membership() {
            return Ok(self.membership_index());
        }
        let limit = self.config.election_ticks;
        if !next.is_quorum(|id| self.is_heard(id, limit)) {
            return Err(ProposeError::NoQuorumAfter);
        }
        Ok(self.append_own(Payload::Membership(next)))
    }

    /// Sets the number of voters that automatic repair aims for, at least one and at most
    /// [`MAX_VOTERS`].
    pub fn set_target_voters(&mut self, voters: usize) {
        self.config.target_voters = voters.clamp(1, MAX_VOTERS);
    }

    /// Members, this one included, that answered within an election timeout. Only a leader knows.
    #[must_use]
    pub fn live_members(&self) -> usize {
        let limit = self.config.election_ticks;
        let members = self.membership().members.keys();
        members.filter(|id| self.is_heard(**id, limit)).count()
    }

    /// Tells that the disk of a member is gone, so that repair does not wait for the member.
    pub fn mark_lost(&mut self, id: ReplicaId) {
        if let Some(progress) = self.lead.progress.get_mut(&id) {
            progress.silent_ticks = progress.silent_ticks.max(self.config.repair_after_ticks);
        }
    }

    fn change_is_pending(&self) -> bool {
        self.commit < self.lead.first_index || self.membership_index() > self.commit
    }

    /// Whether a member answers and its disk holds the log up to a small lag.
    pub(crate) fn has_caught_up(&self, id: ReplicaId) -> bool {
        let Some(progress) = self.lead.progress.get(&id) else {
            return false;
        };
        let lag = self.config.caught_up_lag;
        progress.flow == Flow::Replicate
            && progress.silent_ticks < self.config.election_ticks
            && progress.matched + lag >= self.log.last_index()
            && progress.matched >= self.lead.first_index
            && progress.matched >= self.membership_index()
    }

    /// Proposes at most one change: a caught-up learner replaces a voter that has been unreachable
    /// for [`crate::Config::repair_after_ticks`].
    ///
    /// The learner is promoted before the lost voter is removed. From three voters this keeps the
    /// group alive when one disk is lost at any moment, even if the unreachable voter was only cut
    /// off; in the other order the loss of a disk during the interim set of two would end the
    /// group. With the largest voting set the lost voter is removed first, and until the learner is
    /// promoted the six that remain survive the loss of two disks. Each step is proposed only if a
    /// quorum of the membership after it answers and has caught up, so that a second loss right
    /// after it meets a set whose majority holds every committed entry.
    pub(crate) fn repair(&mut self) {
        let transferring = self.lead.transfer.is_some();
        if !self.config.automatic_repair || transferring || self.change_is_pending() {
            return;
        }
        let Some(change) = self.next_repair() else {
            return;
        };
        let next = self.membership().after(&change);
        let safe = next.is_some_and(|next| next.is_quorum(|id| self.is_current(id)));
        if safe && self.propose_membership(&change).is_ok() {
            self.notices.push(Notice::RepairProposed(change));
        }
    }

    fn is_current(&self, id: ReplicaId) -> bool {
        id == self.id() || self.has_caught_up(id)
    }

    fn next_repair(&self) -> Option<MembershipChange> {
        let voters = self.membership().voters().count();
        let lost_voter = self.lost(MemberRole::Voter);
        let wanted = self.config.target_voters + usize::from(lost_voter.is_some());
        let mut learners = self.membership().learners();
        let spare = learners.find(|id| self.has_caught_up(*id));
        if voters < wanted.min(MAX_VOTERS)
            && let Some(spare) = spare
        {
            return Some(MembershipChange::Promote(spare));
        }
        let no_room = voters == MAX_VOTERS && spare.is_some();
        if let Some(lost) = lost_voter
            && (voters > self.config.target_voters || no_room)
        {
            return Some(MembershipChange::Remove(lost));
        }
        self.lost(MemberRole::Learner).map(MembershipChange::Remove)
    }

    /// The member with the role that has been unreachable for longest, if that is too long.
    fn lost(&self, role: MemberRole) -> Option<ReplicaId> {
        let silent = |id: &ReplicaId| {
            let progress = self.lead.progress.get(id);
            progress.map_or(0, |progress| progress.silent_ticks)
        };
        let membership = self.membership();
        let ids = self.lead.progress.keys().copied();
        ids.filter(|id| membership.role(*id) == Some(role))
            .filter(|id| silent(id) >= self.config.repair_after_ticks)
            .max_by_key(silent)
    }
}
