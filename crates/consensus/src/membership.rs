//! Who belongs to the group and who votes.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::codec::{DecodeError, Reader, Writer};
use crate::entry::ReplicaId;

/// Most replicas that may vote (design 1.4).
pub const MAX_VOTERS: usize = 7;

/// Most replicas that may learn at the same time: one spare for each voter.
pub const MAX_LEARNERS: usize = 7;

/// Longest address of a member, in bytes.
pub const MAX_ADDRESS_BYTES: usize = 256;

/// The replicas of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Membership {
    /// Identity of the group: the id of the replica that founded it. 0 before a replica has joined.
    pub group: u64,
    /// Members by id.
    pub members: BTreeMap<ReplicaId, Member>,
}

/// One replica of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Whether it votes.
    pub role: MemberRole,
    /// Where it is reached; opaque to the log.
    pub address: Arc<str>,
}

/// Whether a member counts towards a quorum.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberRole {
    /// Counts towards quorums.
    Voter,
    /// Receives the log and counts towards nothing.
    Learner,
}

/// A change of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a replica that receives the log and does not vote; updates the address of a member.
    AddLearner {
        /// The replica.
        id: ReplicaId,
        /// Where it is reached, at most [`MAX_ADDRESS_BYTES`].
        address: Arc<str>,
    },
    /// Makes a learner that has caught up a voter.
    Promote(ReplicaId),
    /// Removes a voter or learner.
    Remove(ReplicaId),
}

impl Membership {
    /// Membership of a new group with one voter.
    #[must_use]
    pub fn founding(id: ReplicaId, address: Arc<str>) -> Self {
        let member = Member {
            role: MemberRole::Voter,
            address,
        };
        Self {
            group: id.0,
            members: BTreeMap::from([(id, member)]),
        }
    }

    /// Ids of the voters in ascending order.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.with_role(MemberRole::Voter)
    }

    /// Ids of the learners in ascending order.
    pub fn learners(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.with_role(MemberRole::Learner)
    }

    /// Whether the replica votes.
    #[must_use]
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.role(id) == Some(MemberRole::Voter)
    }

    /// Role of a replica; `None` when it is no member.
    #[must_use]
    pub fn role(&self, id: ReplicaId) -> Option<MemberRole> {
        self.members.get(&id).map(|member| member.role)
    }

    /// Number of voters that decide: more than half of them.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the voters for which the condition holds are a quorum.
    pub fn is_quorum(&self, condition: impl Fn(ReplicaId) -> bool) -> bool {
        let votes = self.voters().filter(|id| condition(*id)).count();
        votes >= self.quorum()
    }

    /// The membership after a change; `None` when the change is not possible.
    #[must_use]
    pub fn after(&self, change: &MembershipChange) -> Option<Self> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner { id, address } => next.add_learner(*id, address)?,
            MembershipChange::Promote(id) => next.promote(*id)?,
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

    fn with_role(&self, role: MemberRole) -> impl Iterator<Item = ReplicaId> + '_ {
        let matches = move |(_, member): &(&ReplicaId, &Member)| member.role == role;
        self.members.iter().filter(matches).map(|(id, _)| *id)
    }

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
        if count > MAX_VOTERS + MAX_LEARNERS {
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
