//! What a follower does with entries.

use crate::entry::{Entry, ReplicaId};
use crate::message::Body;
use crate::replica::Replica;

impl Replica {
    /// Stores entries behind `prev` (index and term) if the log holds `prev`.
    pub(crate) fn on_append(
        &mut self,
        from: ReplicaId,
        prev: (u64, u64),
        commit: u64,
        round: u64,
        mut entries: Vec<Entry>,
    ) {
        let (mut prev_index, mut prev_term) = prev;
        let follows = |entry: &Entry| entry.index.checked_sub(1) == Some(prev_index);
        if !entries.first().is_none_or(follows) {
            return;
        }
        if prev_index < self.commit {
            // Committed entries equal the leader's, so only the part behind them matters.
            entries.retain(|entry| entry.index > self.commit);
            prev_index = self.commit;
            prev_term = self.log.term(self.commit).unwrap_or(prev_term);
        }
        if self.log.term(prev_index) != Some(prev_term) {
            self.reject(from, prev_index, round);
            return;
        }
        let matched = prev_index + entries.len() as u64;
        let is_heartbeat = entries.is_empty();
        self.store(entries);
        self.set_commit(commit.min(matched));
        let matched = if is_heartbeat {
            matched.min(self.log.stable())
        } else {
            matched
        };
        self.send(from, Body::Accepted { matched, round });
    }

    fn reject(&mut self, from: ReplicaId, prev_index: u64, round: u64) {
        let hint = if prev_index > self.log.last_index() {
            self.log.last_index()
        } else {
            self.log.before_term_of(prev_index).max(self.commit)
        };
        let body = Body::Rejected {
            prev_index,
            hint,
            round,
        };
        self.send(from, body);
    }

    fn store(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    assert!(entry.index > self.commit, "a committed entry would change");
                    self.truncate_log(entry.index);
                }
                None => {}
            }
            self.push_entry(entry);
        }
    }
}
