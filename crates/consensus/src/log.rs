//! The part of the log that is in memory, and how much of it is durable.

use std::collections::VecDeque;

use crate::entry::Entry;

/// Entries behind `base_index`.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    bytes: usize,
    /// Last index that is durable.
    stable: u64,
    /// Last index that was handed out for writing.
    handed: u64,
}

impl Log {
    /// Log as it was read from the disk; `entries` follow `base_index` without a gap.
    pub(crate) fn new(base_index: u64, base_term: u64, entries: Vec<Entry>) -> Self {
        let last = base_index + entries.len() as u64;
        let bytes = entries.iter().map(Entry::size).sum();
        Self {
            base_index,
            base_term,
            entries: entries.into(),
            bytes,
            stable: last,
            handed: last,
        }
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn stable(&self) -> u64 {
        self.stable
    }

    /// Term of the entry at `index`; `None` when it is truncated or not written yet.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Last index before the run of entries that have the term of `index`.
    pub(crate) fn before_term_of(&self, index: u64) -> u64 {
        let term = self.term(index);
        let mut candidate = index;
        while candidate > self.base_index && self.term(candidate) == term {
            candidate -= 1;
        }
        candidate
    }

    /// Entries from `first` to `last`, at least one if there is one, at most `max_bytes` otherwise.
    pub(crate) fn slice(&self, first: u64, last: u64, max_bytes: usize) -> Vec<Entry> {
        let mut taken = Vec::new();
        let mut bytes = 0;
        for index in first..=last {
            let Some(entry) = self.get(index) else { break };
            bytes += entry.size();
            if !taken.is_empty() && bytes > max_bytes {
                break;
            }
            taken.push(entry.clone());
        }
        taken
    }

    /// Bytes of the entries behind `index`.
    pub(crate) fn bytes_after(&self, index: u64) -> usize {
        let first = index.max(self.base_index) + 1;
        let sizes = (first..=self.last_index()).filter_map(|index| self.get(index));
        sizes.map(Entry::size).sum()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Discards the entry at `first` and everything behind it.
    pub(crate) fn truncate_from(&mut self, first: u64) {
        while self.last_index() >= first {
            let Some(entry) = self.entries.pop_back() else {
                break;
            };
            self.bytes -= entry.size();
        }
        self.stable = self.stable.min(first - 1);
        self.handed = self.handed.min(first - 1);
    }

    /// Entries that are to be written next.
    pub(crate) fn take_unwritten(&mut self) -> Vec<Entry> {
        let entries = self.slice(self.handed + 1, self.last_index(), usize::MAX);
        self.handed = self.last_index();
        entries
    }

    /// The disk holds the log up to `index`.
    pub(crate) fn mark_stable(&mut self, index: u64) {
        self.stable = self.stable.max(index.min(self.handed));
    }

    /// Drops entries up to `index` from memory, except for the newest ones as far as neither of
    /// the limits is exceeded.
    pub(crate) fn compact(&mut self, index: u64, keep_entries: u64, keep_bytes: usize) {
        let must_go = |log: &Self| {
            let kept = index - log.base_index;
            kept > keep_entries || log.bytes > keep_bytes
        };
        while self.base_index < index && must_go(self) {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= entry.size();
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
    }

    /// Replaces the log by a snapshot that is not durable yet.
    pub(crate) fn restore(&mut self, index: u64, term: u64) {
        self.entries.clear();
        self.bytes = 0;
        self.base_index = index;
        self.base_term = term;
        self.stable = 0;
        self.handed = index;
    }
}
