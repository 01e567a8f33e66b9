//! Invariants that are checked during the simulation.

use std::collections::BTreeMap;

use radishpaddle_consensus::{Entry, Membership, Payload, ReplicaId, Role};

use crate::machine::Machine;
use crate::node::Node;

/// History of committed entries, leaders and results, against which new events are checked.
#[derive(Debug, Default)]
pub struct Checker {
    pub committed: BTreeMap<u64, Entry>,
    /// Leader of each term.
    leaders: BTreeMap<u64, ReplicaId>,
    /// Submission that committed each revision.
    winners: Vec<u64>,
    /// Highest revision reported to a client.
    pub seen_revision: u64,
    /// Minimum revision that each pending read must return, by read id.
    pub min_read_revisions: BTreeMap<u64, u64>,
    pub confirmed_reads: u64,
    pub acknowledged: u64,
    pub installed_snapshots: u64,
}

impl Checker {
    /// Checks that there is at most one leader per term.
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

    /// Checks that no committed entry changes and that no index is skipped or applied twice.
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

    /// Checks that the same submission committed a revision on every replica.
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

    /// Checks that a snapshot equals the state after applying the same entries one by one, and that
    /// it does not revert the state of the node.
    pub fn check_install(&mut self, old: &Machine, new: &Machine) {
        self.installed_snapshots += 1;
        assert!(new.applied > old.applied, "a snapshot reverts the state");
        assert!(self.winners.starts_with(&new.winners), "a snapshot differs");
    }

    pub fn acknowledge(&mut self, revision: u64) {
        self.acknowledged += 1;
        self.seen_revision = self.seen_revision.max(revision);
    }

    /// Checks that a read returns at least the highest revision that was reported before it
    /// started.
    pub fn check_read(&mut self, id: u64, revision: u64) {
        let min_revision = self
            .min_read_revisions
            .remove(&id)
            .expect("a read is confirmed at most once");
        assert!(
            revision >= min_revision,
            "read returned revision {revision} after {min_revision} was reported"
        );
        self.seen_revision = self.seen_revision.max(revision);
        self.confirmed_reads += 1;
    }

    /// Returns the number of terms with a leader.
    pub fn terms_with_leader(&self) -> u64 {
        self.leaders.len() as u64
    }

    /// Returns the newest membership that was committed.
    pub fn membership(&self) -> Option<&Membership> {
        let mut newest_first = self.committed.values().rev();
        newest_first.find_map(|entry| match &entry.payload {
            Payload::Membership(membership) => Some(membership),
            _ => None,
        })
    }
}
