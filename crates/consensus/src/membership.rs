//! Members of a group and their voting rights.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::codec::{DecodeError, Reader, Writer};
use crate::entry::ReplicaId;

/// Maximum number of voters (design 1.4).
pub const MAX_VOTERS: usize = 7;

/// Maximum number of members. The leader sends the log to each of them.
pub const MAX_MEMBERS: usize = 128;

/// Maximum number of learners: the members that are not voters.
pub const MAX_LEARNERS: usize = MAX_MEMBERS - MAX_VOTERS;

/// Maximum length of a member's address, in bytes.
pub const MAX_ADDRESS_BYTES: usize = 256;

/// Set of the replicas in a group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Membership {
    /// Identity of the group: the id of its first replica. 0 before this replica has joined a
    /// group.
    pub group: u64,
    /// Members by id.
    pub members: BTreeMap<ReplicaId, Member>,
}

/// Replica in a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Whether the replica is a voter or a learner.
    pub role: MemberRole,
    /// Network address, opaque to the log.
    pub address: Arc<str>,
}

/// Whether a member counts towards a quorum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberRole {
    /// Votes in elections and counts towards quorums.
    Voter,
    /// Receives the log but does not vote or count towards quorums.
    Learner,
}

/// Change of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a replica as a learner. For an existing member only the address is updated.
    AddLearner {
        /// Id of the replica.
        id: ReplicaId,
        /// Network address, at most [`MAX_ADDRESS_BYTES`] long.
        address: Arc<str>,
    },
    /// Turns a learner that has caught up into a voter.
    Promote(ReplicaId),
    /// Turns a voter into a learner, which still receives the log.
    Demote(ReplicaId),
    /// Removes a voter or learner.
    Remove(ReplicaId),
}

impl Membership {
    /// Creates the membership of a new group with one voter.
    #[must_use]
    pub fn single_voter(id: ReplicaId, address: Arc<str>) -> Self {
        let member = Member {
            role: MemberRole::Voter,
            address,
        };
        Self {
            group: id.0,
            members: BTreeMap::from([(id, member)]),
        }
    }

    /// Returns the ids of the voters in ascending order.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.with_role(MemberRole::Voter)
    }

    /// Returns the ids of the learners in ascending order.
    pub fn learners(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.with_role(MemberRole::Learner)
    }

    /// Returns whether the replica is a voter.
    #[must_use]
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.role(id) == Some(MemberRole::Voter)
    }

    /// Returns the role of a replica; `None` if it is not a member.
    #[must_use]
    pub fn role(&self, id: ReplicaId) -> Option<MemberRole> {
        self.members.get(&id).map(|member| member.role)
    }

    /// Returns the size of a quorum: more than half of the voters.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether the voters that satisfy `condition` form a quorum.
    pub fn is_quorum(&self, condition: impl Fn(ReplicaId) -> bool) -> bool {
        let votes = self.voters().filter(|id| condition(*id)).count();
        votes >= self.quorum()
    }

    /// Returns the membership after a change; `None` if the change cannot be applied.
    #[must_use]
    pub fn with_change(&self, change: &MembershipChange) -> Option<Self> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner { id, address } => next.add_learner(*id, address)?,
            MembershipChange::Promote(id) => next.promote(*id)?,
            MembershipChange::Demote(id) => next.demote(*id)?,
            MembershipChange::Remove(id) => {
                next.members.remove(id)?;
            }
        }
        let has_voter = next.voters().next().is_some();
        has_voter.then_some(next)
    }

    fn add_learner(&mut self, id: ReplicaId, address: &Arc<str>) -> Option<()> {
        if address.len() > MAX_ADDRESS_BYTES {
            return None;
        }
        if let Some(member) = self.members.get_mut(&id) {
            member.address = Arc::clone(address);
            return Some(());
        }
        if self.learners().count() >= MAX_LEARNERS {
            return None;
        }
        let member = Member {
            role: MemberRole::Learner,
            address: Arc::clone(address),
        };
        self.members.insert(id, member);
        Some(())
    }

    fn promote(&mut self, id: ReplicaId) -> Option<()> {
        if self.voters().count() >= MAX_VOTERS || self.role(id) != Some(MemberRole::Learner) {
            return None;
        }
        self.members.get_mut(&id)?.role = MemberRole::Voter;
        Some(())
    }

    fn demote(&mut self, id: ReplicaId) -> Option<()> {
        if self.learners().count() >= MAX_LEARNERS || self.role(id) != Some(MemberRole::Voter) {
            return None;
        }
        self.members.get_mut(&id)?.role = MemberRole::Learner;
        Some(())
    }

    fn with_role(&self, role: MemberRole) -> impl Iterator<Item = ReplicaId> + '_ {
        let matches = move |(_, member): &(&ReplicaId, &Member)| member.role == role;
        self.members.iter().filter(matches).map(|(id, _)| *id)
    }

    /// Upper bound of the encoded size, in bytes.
    pub(crate) fn size(&self) -> usize {
        let member_bytes = |member: &Member| 13 + member.address.len();
        12 + self.members.values().map(member_bytes).sum::<usize>()
    }

    pub(crate) fn write(&self, writer: &mut Writer) {
        writer.u64(self.group);
        writer.length(self.members.len());
        for (id, member) in &self.members {
            writer.u64(id.0);
            writer.bool(member.role == MemberRole::Voter);
            writer.bytes(member.address.as_bytes());
        }
    }

    pub(crate) fn read(reader: &mut Reader<'_>) -> Result<Self, DecodeError> {
        let group = reader.u64()?;
        let count = reader.length()?;
        if count > MAX_MEMBERS {
            return Err(DecodeError);
        }
        let mut members = BTreeMap::new();
        for _ in 0..count {
            let id = ReplicaId(reader.u64()?);
            let role = if reader.bool()? {
                MemberRole::Voter
            } else {
                MemberRole::Learner
            };
            let address = std::str::from_utf8(reader.bytes()?).map_err(|_| DecodeError)?;
            let address = address.into();
            members.insert(id, Member { role, address });
        }
        Ok(Self { group, members })
    }
}
