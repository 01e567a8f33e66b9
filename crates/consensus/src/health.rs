//! Health of the group as its leader sees it: what it can still lose, and what its repair waits for.

use std::fmt;

use crate::entry::ReplicaId;
use crate::membership::MemberRole;
use crate::replica::{Replica, Role};

/// Health of the group as its leader sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupHealth {
    /// Members that have not responded within the minimum election timeout.
    pub silent: Vec<ReplicaId>,
    /// Number of further voters that may be lost before the group has no quorum.
    pub tolerated_losses: usize,
    /// What automatic repair waits for.
    pub repair: RepairStatus,
}

/// What automatic repair waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepairStatus {
    /// Every voter responds.
    Complete,
    /// A membership change is not committed yet.
    Commit,
    /// A silent voter may come back; it is replaced after [`crate::Config::repair_after_ticks`].
    Timeout,
    /// A learner has not caught up with the log.
    CatchUp,
    /// No learner can take the place of a silent voter.
    Replacement,
}

impl fmt::Display for RepairStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Complete => "complete",
            Self::Commit => "waits for a commit",
            Self::Timeout => "waits for a silent voter",
            Self::CatchUp => "waits for a learner to catch up",
            Self::Replacement => "waits for a replacement",
        })
    }
}

impl Replica {
    /// Returns the health of the group; `None` unless this replica leads.
    #[must_use]
    pub fn group_health(&self) -> Option<GroupHealth> {
        if self.role != Role::Leader {
            return None;
        }
        let limit = self.config.election_ticks;
        let membership = self.membership();
        let members = membership.members.keys().copied();
        let silent: Vec<_> = members
            .filter(|id| !self.responded_within(*id, limit))
            .collect();
        let live_voters = membership.voters().filter(|id| !silent.contains(id));
        let tolerated_losses = live_voters.count().saturating_sub(membership.quorum());
        let repair = self.repair_status(&silent);
        Some(GroupHealth {
            silent,
            tolerated_losses,
            repair,
        })
    }

    fn repair_status(&self, silent: &[ReplicaId]) -> RepairStatus {
        let membership = self.membership();
        if self.has_uncommitted_change() {
            return RepairStatus::Commit;
        }
        if !silent.iter().any(|id| membership.is_voter(*id)) {
            return RepairStatus::Complete;
        }
        if self.longest_unreachable(MemberRole::Voter).is_none() {
            return RepairStatus::Timeout;
        }
        let mut learners = membership.learners().filter(|id| !silent.contains(id));
        if learners.next().is_some() {
            RepairStatus::CatchUp
        } else {
            RepairStatus::Replacement
        }
    }
}
