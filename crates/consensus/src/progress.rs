//! Replication progress of one follower or learner, as tracked by the leader.

use std::collections::VecDeque;

use crate::entry::Snapshot;

/// Flow control of the entries sent to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplicationMode {
    /// The common prefix of the logs is unknown, so one message is sent at a time.
    Probe,
    /// Entries are sent without waiting for the responses to earlier ones.
    Replicate,
    /// A snapshot is being sent; `offset` is the position of the next chunk in bytes.
    Snapshot { offset: u64 },
}

/// Replication progress of one replica.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// Index of the next entry to send.
    pub(crate) next_index: u64,
    /// Highest index known to be durable and equal in both logs.
    pub(crate) match_index: u64,
    pub(crate) mode: ReplicationMode,
    /// Snapshot being sent. The transfer continues even if newer snapshots are created, because a
    /// transfer that restarted with each of them might never complete.
    pub(crate) outgoing_snapshot: Option<Snapshot>,
    /// Whether a message of the `Probe` or `Snapshot` mode was sent and neither a response arrived
    /// nor a heartbeat was sent since.
    pub(crate) awaiting_response: bool,
    /// Last index of each unacknowledged batch.
    pub(crate) unacknowledged_batches: VecDeque<u64>,
    /// Whether the replica has responded in this term. A new leader doesn't know who is alive.
    pub(crate) has_responded: bool,
    /// Ticks since the last response in this term, or since the term began.
    pub(crate) ticks_since_response: u32,
    /// Newest read round that the replica acknowledged.
    pub(crate) read_round: u64,
}

impl Progress {
    pub(crate) fn new(next_index: u64) -> Self {
        Self {
            next_index,
            match_index: 0,
            mode: ReplicationMode::Probe,
            outgoing_snapshot: None,
            awaiting_response: false,
            unacknowledged_batches: VecDeque::new(),
            has_responded: false,
            ticks_since_response: 0,
            read_round: 0,
        }
    }

    /// Records that a response arrived, for check quorum and the read round.
    pub(crate) fn record_response(&mut self, read_round: u64) {
        self.has_responded = true;
        self.ticks_since_response = 0;
        self.read_round = self.read_round.max(read_round);
    }

    /// Records that entries up to `match_index` are durable. Returns whether the index increased.
    pub(crate) fn record_accepted(&mut self, match_index: u64) -> bool {
        let increased = match_index > self.match_index;
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        while self
            .unacknowledged_batches
            .front()
            .is_some_and(|last| *last <= self.match_index)
        {
            self.unacknowledged_batches.pop_front();
        }
        match self.mode {
            ReplicationMode::Probe if increased || self.next_index == self.match_index + 1 => {
                self.enter_replicate_mode();
            }
            ReplicationMode::Snapshot { .. }
                if self.match_index >= self.outgoing_snapshot_index() =>
            {
                self.enter_replicate_mode();
            }
            _ => {}
        }
        increased
    }

    fn enter_replicate_mode(&mut self) {
        self.mode = ReplicationMode::Replicate;
        self.outgoing_snapshot = None;
        self.next_index = self.match_index + 1;
        self.awaiting_response = false;
        self.unacknowledged_batches.clear();
    }

    /// Records that the logs differ at `prev_index` and moves `next_index` back. Outdated responses
    /// are ignored.
    pub(crate) fn record_rejected(&mut self, prev_index: u64, hint: u64) {
        let outdated = match self.mode {
            ReplicationMode::Probe => prev_index + 1 != self.next_index,
            ReplicationMode::Replicate => prev_index <= self.match_index,
            ReplicationMode::Snapshot { .. } => true,
        };
        if outdated {
            return;
        }
        self.next_index = prev_index.min(hint + 1).max(self.match_index + 1);
        self.mode = ReplicationMode::Probe;
        self.awaiting_response = false;
        self.unacknowledged_batches.clear();
    }

    /// Returns the index of the snapshot being sent; 0 if there is none.
    pub(crate) fn outgoing_snapshot_index(&self) -> u64 {
        let index = |snapshot: &Snapshot| snapshot.meta.index;
        self.outgoing_snapshot.as_ref().map_or(0, index)
    }

    pub(crate) fn begin_snapshot(&mut self, snapshot: Snapshot) {
        self.mode = ReplicationMode::Snapshot { offset: 0 };
        self.outgoing_snapshot = Some(snapshot);
        self.awaiting_response = false;
        self.unacknowledged_batches.clear();
    }

    /// Returns whether flow control permits a message with entries.
    pub(crate) fn may_send_entries(&self, max_unacknowledged: usize) -> bool {
        match self.mode {
            ReplicationMode::Probe => !self.awaiting_response,
            ReplicationMode::Replicate => self.unacknowledged_batches.len() < max_unacknowledged,
            ReplicationMode::Snapshot { .. } => false,
        }
    }
}
