//! Output of a replica and confirmation of its writes.

use crate::entry::{Entry, Snapshot};
use crate::ready::{HardState, Ready, Writes};
use crate::replica::{Replica, Role};

/// Maximum size of the committed entries in one [`Ready`], in bytes; a larger entry is returned on
/// its own.
const MAX_COMMITTED_BYTES: usize = 1 << 20;

/// Writes that were passed to the caller and are not confirmed as durable.
#[derive(Debug, Clone)]
pub(crate) struct PendingWrites {
    /// [`Ready::number`] of the writes.
    pub(crate) number: u64,
    pub(crate) hard_state: HardState,
    pub(crate) snapshot: Option<Snapshot>,
    /// Index of the last entry; 0 if there is none, or if the log was replaced since.
    pub(crate) last_index: u64,
    /// Ticks since the writes were passed to the caller.
    pub(crate) elapsed_ticks: u32,
}

impl Replica {
    /// Returns the outstanding work for the caller and removes it from the replica; `None` if there
    /// is none.
    pub fn take_ready(&mut self) -> Option<Ready> {
        if self.role == Role::Leader {
            self.start_read_round();
            self.broadcast_if_pending();
        }
        let mut ready = Ready::default();
        if self.pending_writes.is_none() {
            ready.writes = self.take_writes();
            if ready.writes.is_empty() {
                self.outbox.append(&mut self.outbox_after_sync);
            } else {
                ready.messages_after_sync = std::mem::take(&mut self.outbox_after_sync);
            }
        }
        ready.number = self.ready_number;
        ready.messages = std::mem::take(&mut self.outbox);
        ready.snapshot_to_install = self.snapshot_to_install.take();
        ready.committed = self.take_committed();
        self.complete_applied_reads();
        ready.reads = std::mem::take(&mut self.read_results);
        ready.notices = std::mem::take(&mut self.notices);
        (!ready.is_empty()).then_some(ready)
    }

    /// Collects the changes that have to be written and records them as pending.
    fn take_writes(&mut self) -> Writes {
        let changed = self.hard_state != self.issued_hard_state;
        let writes = Writes {
            hard_state: changed.then_some(self.hard_state),
            snapshot: self.unwritten_snapshot.take(),
            entries: self.log.take_unwritten(),
        };
        if !writes.is_empty() {
            self.ready_number += 1;
            self.issued_hard_state = self.hard_state;
            self.pending_writes = Some(PendingWrites {
                number: self.ready_number,
                hard_state: self.hard_state,
                snapshot: writes.snapshot.clone(),
                last_index: writes.entries.last().map_or(0, |entry| entry.index),
                elapsed_ticks: 0,
            });
        }
        writes
    }

    pub(crate) fn tick_pending_writes(&mut self) {
        if let Some(pending) = &mut self.pending_writes {
            pending.elapsed_ticks = pending.elapsed_ticks.saturating_add(1);
        }
    }

    /// Returns whether the pending writes have taken [`crate::Config::stalled_disk_ticks`] or
    /// longer.
    pub(crate) fn disk_is_stalled(&self) -> bool {
        let limit = self.config.stalled_disk_ticks;
        let stalled = |pending: &PendingWrites| pending.elapsed_ticks >= limit;
        self.pending_writes.as_ref().is_some_and(stalled)
    }

    /// Returns the next entries to apply: committed, durable on this replica and not returned
    /// before.
    fn take_committed(&mut self) -> Vec<Entry> {
        let durable = self.commit_index.min(self.log.last_durable());
        let entries = self
            .log
            .slice(self.applied_index + 1, durable, MAX_COMMITTED_BYTES);
        self.applied_index += entries.len() as u64;
        entries
    }

    /// Confirms that the writes of the [`Ready`] with this number are durable. Other numbers are
    /// ignored.
    pub fn confirm_synced(&mut self, number: u64) {
        let Some(pending) = self
            .pending_writes
            .take_if(|pending| pending.number == number)
        else {
            return;
        };
        self.durable_hard_state = pending.hard_state;
        self.log.mark_durable(pending.last_index);
        if let Some(snapshot) = pending.snapshot {
            self.log.mark_durable(snapshot.meta.index);
            self.applied_index = snapshot.meta.index;
            self.snapshot_to_install = Some(snapshot);
        }
        match self.role {
            Role::Candidate => self.record_own_vote(),
            Role::Leader => self.advance_commit(),
            Role::Follower | Role::PreCandidate => {}
        }
    }
}
