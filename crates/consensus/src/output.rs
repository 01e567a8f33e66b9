//! The work that a replica hands out, and the confirmation of its writes.

use crate::entry::{Entry, Snapshot};
use crate::ready::{HardState, Ready, Writes};
use crate::replica::{Replica, Role};

/// Bytes of committed entries in one [`Ready`].
const MAX_COMMITTED_BYTES: usize = 1 << 20;

/// Writes that were handed out and are not confirmed.
#[derive(Debug, Clone)]
pub(crate) struct InFlight {
    pub(crate) number: u64,
    pub(crate) hard_state: HardState,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) last: u64,
    /// Ticks since the writes were handed out.
    pub(crate) ticks: u32,
}

impl Replica {
    /// Takes the work that is due; `None` when there is none.
    pub fn take_ready(&mut self) -> Option<Ready> {
        if self.role == Role::Leader {
            self.start_reads();
            self.broadcast_due();
        }
        let mut ready = Ready::default();
        if self.in_flight.is_none() {
            ready.writes = self.take_writes();
            if ready.writes.is_empty() {
                self.outbox.append(&mut self.waiting);
            } else {
                ready.messages_after_sync = std::mem::take(&mut self.waiting);
            }
        }
        ready.number = self.ready_number;
        ready.messages = std::mem::take(&mut self.outbox);
        ready.install = self.install.take();
        ready.committed = self.take_committed();
        self.confirm_applied_reads();
        ready.reads = std::mem::take(&mut self.read_results);
        ready.notices = std::mem::take(&mut self.notices);
        (!ready.is_empty()).then_some(ready)
    }

    fn take_writes(&mut self) -> Writes {
        let changed = self.hard_state != self.handed_hard_state;
        let writes = Writes {
            hard_state: changed.then_some(self.hard_state),
            snapshot: self.unwritten_snapshot.take(),
            entries: self.log.take_unwritten(),
        };
        if !writes.is_empty() {
            self.ready_number += 1;
            self.handed_hard_state = self.hard_state;
            self.in_flight = Some(InFlight {
                number: self.ready_number,
                hard_state: self.hard_state,
                snapshot: writes.snapshot.clone(),
                last: writes.entries.last().map_or(0, |entry| entry.index),
                ticks: 0,
            });
        }
        writes
    }

    pub(crate) fn tick_writes(&mut self) {
        if let Some(written) = &mut self.in_flight {
            written.ticks = written.ticks.saturating_add(1);
        }
    }

    /// Whether the writes take so long that this replica should not lead.
    pub(crate) fn disk_is_stalled(&self) -> bool {
        let limit = self.config.stalled_disk_ticks;
        let stalled = |written: &InFlight| written.ticks >= limit;
        self.in_flight.as_ref().is_some_and(stalled)
    }

    fn take_committed(&mut self) -> Vec<Entry> {
        let durable = self.commit.min(self.log.stable());
        let entries = self
            .log
            .slice(self.applied + 1, durable, MAX_COMMITTED_BYTES);
        self.applied += entries.len() as u64;
        entries
    }

    /// The writes of the [`Ready`] with this number are durable.
    pub fn synced(&mut self, number: u64) {
        let Some(written) = self.in_flight.take_if(|written| written.number == number) else {
            return;
        };
        self.synced_hard_state = written.hard_state;
        self.log.mark_stable(written.last);
        if let Some(snapshot) = written.snapshot {
            self.log.mark_stable(snapshot.meta.index);
            self.applied = snapshot.meta.index;
            self.install = Some(snapshot);
        }
        match self.role {
            Role::Candidate => self.count_own_vote(),
            Role::Leader => self.advance_commit(),
            Role::Follower | Role::PreCandidate => {}
        }
    }
}
