//! What has to hold after every step.

use std::collections::BTreeMap;

use radishpaddle_consensus::{Entry, Membership, Payload, ReplicaId, Role};

use crate::machine::Machine;
use crate::node::Node;

/// Everything that was ever observed to be committed, led or answered.
#[derive(Debug, Default)]
pub struct Checker {
    pub committed: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, ReplicaId>,
    winners: Vec<u64>,
    /// Highest revision that a client has seen.
    pub seen_revision: u64,
    /// Revision that a read has to show at least.
    pub read_floors: BTreeMap<u64, u64>,
    pub confirmed_reads: u64,
    pub acknowledged: u64,
    pub installs: u64,
}

impl Checker {
    /// At most one leader a term.
    pub fn check_leader(&mut self, node: &Node) {
        let Some(replica) = &node.replica else { return };
        if replica.role() == Role::Leader {
            let first = *self.leaders.entry(replica.term()).or_insert(replica.id());
            assert_eq!(
                first,
                replica.id(),
                "two leaders in term {}",
                replica.term()
            );
        }
    }

    /// No committed entry is lost or changed, and no position is skipped or repeated.
    pub fn check_applied(&mut self, node: &Machine, entry: &Entry) {
        assert_eq!(
            entry.index,
            node.applied + 1,
            "an index is skipped or repeated"
        );
        let first = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        assert_eq!(first, entry, "a committed entry changed");
    }

    /// One winner per revision, the same on every replica.
    pub fn check_winner(&mut self, revision: u64, id: u64) {
        let position = usize::try_from(revision - 1).unwrap();
        if position == self.winners.len() {
            self.winners.push(id);
        }
        assert_eq!(
            self.winners[position], id,
            "two winners of revision {revision}"
        );
    }

    /// A snapshot holds the winners that were applied one by one elsewhere, and reverts nothing.
    pub fn check_install(&mut self, old: &Machine, new: &Machine) {
        self.installs += 1;
        assert!(new.applied > old.applied, "a snapshot reverts the state");
        assert!(self.winners.starts_with(&new.winners), "a snapshot differs");
    }

    pub fn acknowledge(&mut self, revision: u64) {
        self.acknowledged += 1;
        self.seen_revision = self.seen_revision.max(revision);
    }

    /// A read is at least as new as everything seen before it was asked.
    pub fn check_read(&mut self, id: u64, revision: u64) {
        let floor = self
            .read_floors
            .remove(&id)
            .expect("a read is confirmed once");
        assert!(revision >= floor, "read {revision} after {floor} was seen");
        self.seen_revision = self.seen_revision.max(revision);
        self.confirmed_reads += 1;
    }

    /// Number of terms that had a leader.
    pub fn terms(&self) -> u64 {
        self.leaders.len() as u64
    }

    /// The newest membership that is known to be committed.
    pub fn membership(&self) -> Option<&Membership> {
        let mut newest_first = self.committed.values().rev();
        newest_first.find_map(|entry| match &entry.payload {
            Payload::Membership(membership) => Some(membership),
            _ => None,
        })
    }
}
