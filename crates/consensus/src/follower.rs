//! Handling of replicated entries on a follower.

use crate::entry::{Entry, ReplicaId};
use crate::message::Body;
use crate::replica::Replica;

impl Replica {
    /// Appends the entries after `prev` (index and term) if the log contains `prev`, and rejects
    /// them otherwise.
    pub(crate) fn on_append(
        &mut self,
        from: ReplicaId,
        prev: (u64, u64),
        commit_index: u64,
        read_round: u64,
        mut entries: Vec<Entry>,
    ) {
        let (mut prev_index, mut prev_term) = prev;
        let follows = |entry: &Entry| entry.index.checked_sub(1) == Some(prev_index);
        if !entries.first().is_none_or(follows) {
            return;
        }
        if prev_index < self.commit_index {
            // Committed entries are equal to those of the leader, so only the entries after them
            // count.
            entries.retain(|entry| entry.index > self.commit_index);
            prev_index = self.commit_index;
            prev_term = self.log.term(self.commit_index).unwrap_or(prev_term);
        }
        if self.log.term(prev_index) != Some(prev_term) {
            self.reject_append(from, prev_index, read_round);
            return;
        }
        let match_index = prev_index + entries.len() as u64;
        let is_heartbeat = entries.is_empty();
        self.store_entries(entries);
        self.raise_commit_index(commit_index.min(match_index));
        let match_index = if is_heartbeat {
            match_index.min(self.log.last_durable())
        } else {
            match_index
        };
        self.send(
            from,
            Body::Accepted {
                match_index,
                read_round,
            },
        );
    }

    /// Rejects an append, with a hint for the last index at which the logs may be equal.
    fn reject_append(&mut self, from: ReplicaId, prev_index: u64, read_round: u64) {
        let hint = if prev_index > self.log.last_index() {
            self.log.last_index()
        } else {
            self.log
                .last_index_before_term_of(prev_index)
                .max(self.commit_index)
        };
        let body = Body::Rejected {
            prev_index,
            hint,
            read_round,
        };
        self.send(from, body);
    }

    /// Appends entries that the log does not contain yet; conflicting uncommitted entries are
    /// truncated first.
    fn store_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    assert!(
                        entry.index > self.commit_index,
                        "an append conflicts with a committed entry"
                    );
                    self.truncate_log(entry.index);
                }
                None => {}
            }
            self.push_entry(entry);
        }
    }
}
