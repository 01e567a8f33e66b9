//! Linearisable reads without writing to the log (read index, Raft thesis 6.4).

use crate::entry::ReplicaId;
use crate::error::ProposeError;
use crate::leader::Leadership;
use crate::ready::{ReadId, ReadResult};
use crate::replica::{Replica, Role};

/// A read that waits for its round or for the application.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingRead {
    id: ReadId,
    /// Commit index when the round began.
    index: u64,
    round: u64,
    confirmed: bool,
}

impl Leadership {
    /// Takes every read that has no result yet.
    pub(crate) fn take_reads(&mut self) -> Vec<ReadId> {
        let mut ids = std::mem::take(&mut self.queued_reads);
        ids.extend(self.pending_reads.drain(..).map(|read| read.id));
        ids
    }
}

impl Replica {
    pub(crate) fn queue_read(&mut self, id: ReadId) -> Result<(), ProposeError> {
        let waiting = self.lead.queued_reads.len() + self.lead.pending_reads.len();
        if waiting >= self.config.max_pending_reads {
            return Err(ProposeError::Busy);
        }
        self.lead.queued_reads.push(id);
        Ok(())
    }

    /// Begins a round for the queued reads. A new leader waits until an entry of its own term is
    /// committed, because before that it may not know the newest commit index.
    pub(crate) fn start_reads(&mut self) {
        if self.lead.queued_reads.is_empty() || self.commit < self.lead.first_index {
            return;
        }
        self.lead.round += 1;
        let (index, round) = (self.commit, self.lead.round);
        let queued = std::mem::take(&mut self.lead.queued_reads);
        let pending = queued.into_iter().map(|id| PendingRead {
            id,
            index,
            round,
            confirmed: false,
        });
        self.lead.pending_reads.extend(pending);
        self.lead.broadcast_wanted = true;
        self.confirm_reads();
    }

    /// Confirms the reads whose round a quorum answered.
    pub(crate) fn confirm_reads(&mut self) {
        let me = self.id();
        let progress = &self.lead.progress;
        let membership = self.membership();
        let answered = |id: ReplicaId, round: u64| {
            id == me || progress.get(&id).is_some_and(|peer| peer.round >= round)
        };
        let confirmed = |round: u64| membership.is_quorum(|id| answered(id, round));
        let unconfirmed = |read: &&PendingRead| !read.confirmed;
        let rounds = self.lead.pending_reads.iter().filter(unconfirmed);
        let newest = rounds
            .map(|read| read.round)
            .filter(|round| confirmed(*round));
        let Some(newest) = newest.max() else { return };
        for read in &mut self.lead.pending_reads {
            read.confirmed |= read.round <= newest;
        }
    }

    /// Reports the confirmed reads whose index is handed out for application.
    pub(crate) fn confirm_applied_reads(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let applied = self.applied;
        while let Some(read) = self.lead.pending_reads.front() {
            if !read.confirmed || read.index > applied {
                break;
            }
            self.read_results.push(ReadResult::Confirmed(read.id));
            self.lead.pending_reads.pop_front();
        }
    }
}
