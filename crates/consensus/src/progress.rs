//! What a leader knows about one other replica.

use std::collections::VecDeque;

use crate::entry::Snapshot;

/// How entries are sent to a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Flow {
    /// The common prefix of the logs is not known; one message at a time.
    Probe,
    /// Entries are sent ahead of the answers.
    Replicate,
    /// A snapshot is sent; holds the offset of the next part.
    Snapshot { offset: u64 },
}

/// Replication state of one replica.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// Index of the next entry to send.
    pub(crate) next: u64,
    /// Last index known to be durable and equal.
    pub(crate) matched: u64,
    pub(crate) flow: Flow,
    /// The snapshot that is sent. It is kept until its end even if newer ones are taken, because a
    /// transfer that began again with each of them might never end.
    pub(crate) outgoing: Option<Snapshot>,
    /// Whether the message of `Probe` or `Snapshot` is unanswered since the last heartbeat.
    pub(crate) probe_sent: bool,
    /// Last index of each unanswered batch.
    pub(crate) unanswered: VecDeque<u64>,
    /// Ticks since the last message in this term.
    pub(crate) silent_ticks: u32,
    /// Newest read round that the replica answered.
    pub(crate) round: u64,
}

impl Progress {
    pub(crate) fn new(next: u64) -> Self {
        Self {
            next,
            matched: 0,
            flow: Flow::Probe,
            outgoing: None,
            probe_sent: false,
            unanswered: VecDeque::new(),
            silent_ticks: 0,
            round: 0,
        }
    }

    pub(crate) fn heard(&mut self, round: u64) {
        self.silent_ticks = 0;
        self.round = self.round.max(round);
    }

    /// Records durable entries. Returns whether `matched` grew.
    pub(crate) fn accept(&mut self, matched: u64) -> bool {
        let grew = matched > self.matched;
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        while self
            .unanswered
            .front()
            .is_some_and(|last| *last <= self.matched)
        {
            self.unanswered.pop_front();
        }
        match self.flow {
            Flow::Probe if grew || self.next == self.matched + 1 => self.replicate(),
            Flow::Snapshot { .. } if self.matched >= self.outgoing_index() => self.replicate(),
            _ => {}
        }
        grew
    }

    fn replicate(&mut self) {
        self.flow = Flow::Replicate;
        self.outgoing = None;
        self.next = self.matched + 1;
        self.probe_sent = false;
        self.unanswered.clear();
    }

    /// Records that the logs differ at `prev_index`. Answers that are older than what is known
    /// are ignored.
    pub(crate) fn reject(&mut self, prev_index: u64, hint: u64) {
        let outdated = match self.flow {
            Flow::Probe => prev_index + 1 != self.next,
            Flow::Replicate => prev_index <= self.matched,
            Flow::Snapshot { .. } => true,
        };
        if outdated {
            return;
        }
        self.next = prev_index.min(hint + 1).max(self.matched + 1);
        self.flow = Flow::Probe;
        self.probe_sent = false;
        self.unanswered.clear();
    }

    /// Index of the snapshot that is sent; 0 when there is none.
    pub(crate) fn outgoing_index(&self) -> u64 {
        let index = |snapshot: &Snapshot| snapshot.meta.index;
        self.outgoing.as_ref().map_or(0, index)
    }

    pub(crate) fn start_snapshot(&mut self, snapshot: Snapshot) {
        self.flow = Flow::Snapshot { offset: 0 };
        self.outgoing = Some(snapshot);
        self.probe_sent = false;
        self.unanswered.clear();
    }

    /// Whether a message with entries may be sent now.
    pub(crate) fn may_send(&self, max_unanswered: usize) -> bool {
        match self.flow {
            Flow::Probe => !self.probe_sent,
            Flow::Replicate => self.unanswered.len() < max_unanswered,
            Flow::Snapshot { .. } => false,
        }
    }
}
