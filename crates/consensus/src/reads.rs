//! Linearisable reads that do not write to the log (read index, Raft thesis 6.4).
//!
//! A read round is one exchange of messages with the members, by which a quorum confirms that this
//! replica is still the leader.

use crate::entry::ReplicaId;
use crate::error::ProposeError;
use crate::leader::Leadership;
use crate::ready::{ReadId, ReadResult};
use crate::replica::{Replica, Role};

/// Read that waits for the confirmation of its round or for entries to be applied.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingRead {
    id: ReadId,
    /// Commit index at the start of the round.
    index: u64,
    /// Round in which the leadership is confirmed for this read.
    read_round: u64,
    /// Whether a quorum acknowledged the round.
    confirmed: bool,
}

impl Leadership {
    /// Removes and returns all reads that have no result yet.
    pub(crate) fn drain_reads(&mut self) -> Vec<ReadId> {
        let mut ids = std::mem::take(&mut self.queued_reads);
        ids.extend(self.pending_reads.drain(..).map(|read| read.id));
        ids
    }
}

impl Replica {
    pub(crate) fn queue_read(&mut self, id: ReadId) -> Result<(), ProposeError> {
        let waiting = self.leadership.queued_reads.len() + self.leadership.pending_reads.len();
        if waiting >= self.config.max_pending_reads {
            return Err(ProposeError::Busy);
        }
        self.leadership.queued_reads.push(id);
        Ok(())
    }

    /// Starts a round for the queued reads. A new leader waits until an entry of its own term is
    /// committed, because before that it may not know the newest commit index.
    pub(crate) fn start_read_round(&mut self) {
        if self.leadership.queued_reads.is_empty()
            || self.commit_index < self.leadership.first_index
        {
            return;
        }
        self.leadership.read_round += 1;
        let (index, read_round) = (self.commit_index, self.leadership.read_round);
        let queued = std::mem::take(&mut self.leadership.queued_reads);
        let pending = queued.into_iter().map(|id| PendingRead {
            id,
            index,
            read_round,
            confirmed: false,
        });
        self.leadership.pending_reads.extend(pending);
        self.leadership.broadcast_pending = true;
        self.confirm_reads();
    }

    /// Confirms the reads whose round was acknowledged by a quorum.
    pub(crate) fn confirm_reads(&mut self) {
        let local_id = self.id();
        let progress = &self.leadership.progress;
        let membership = self.membership();
        let acknowledged = |id: ReplicaId, read_round: u64| {
            id == local_id
                || progress
                    .get(&id)
                    .is_some_and(|peer| peer.read_round >= read_round)
        };
        let confirmed = |read_round: u64| membership.is_quorum(|id| acknowledged(id, read_round));
        let is_unconfirmed = |read: &&PendingRead| !read.confirmed;
        let unconfirmed_reads = self.leadership.pending_reads.iter().filter(is_unconfirmed);
        let newest_round = unconfirmed_reads
            .map(|read| read.read_round)
            .filter(|read_round| confirmed(*read_round));
        let Some(newest_round) = newest_round.max() else {
            return;
        };
        for read in &mut self.leadership.pending_reads {
            read.confirmed |= read.read_round <= newest_round;
        }
    }

    /// Reports the confirmed reads up to the index whose entries were passed to the caller to
    /// apply.
    pub(crate) fn complete_applied_reads(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let applied = self.applied_index;
        while let Some(read) = self.leadership.pending_reads.front() {
            if !read.confirmed || read.index > applied {
                break;
            }
            self.read_results.push(ReadResult::Confirmed(read.id));
            self.leadership.pending_reads.pop_front();
        }
    }
}
