//! In-memory part of the log and its durability.

use std::collections::VecDeque;

use crate::entry::Entry;

/// Log entries after `base_index`.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    /// Index of the last entry that is no longer in memory.
    base_index: u64,
    /// Term of the entry at `base_index`.
    base_term: u64,
    entries: VecDeque<Entry>,
    /// Size of `entries`, in bytes.
    bytes: usize,
    /// Highest durable index.
    last_durable: u64,
    /// Highest index that was passed to the caller for writing.
    last_issued: u64,
}

impl Log {
    /// Creates a log from entries that were read from disk and follow `base_index` without a gap.
    pub(crate) fn new(base_index: u64, base_term: u64, entries: Vec<Entry>) -> Self {
        let last = base_index + entries.len() as u64;
        let bytes = entries.iter().map(Entry::size).sum();
        Self {
            base_index,
            base_term,
            entries: entries.into(),
            bytes,
            last_durable: last,
            last_issued: last,
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

    pub(crate) fn last_durable(&self) -> u64 {
        self.last_durable
    }

    /// Returns the term of the entry at `index`; `None` if it was compacted or does not exist yet.
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

    /// Returns the last index before the consecutive entries that have the term of `index`.
    pub(crate) fn last_index_before_term_of(&self, index: u64) -> u64 {
        let term = self.term(index);
        let mut candidate = index;
        while candidate > self.base_index && self.term(candidate) == term {
            candidate -= 1;
        }
        candidate
    }

    /// Returns entries from `first` to `last`, limited to `max_bytes`. The first entry is returned
    /// even if it is larger.
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

    /// Returns the size of the entries after `index`, in bytes.
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

    /// Removes the entry at `first` and all entries after it.
    pub(crate) fn truncate_from(&mut self, first: u64) {
        while self.last_index() >= first {
            let Some(entry) = self.entries.pop_back() else {
                break;
            };
            self.bytes -= entry.size();
        }
        self.last_durable = self.last_durable.min(first - 1);
        self.last_issued = self.last_issued.min(first - 1);
    }

    /// Returns the entries that were not passed to the caller for writing yet, and marks them as
    /// passed.
    pub(crate) fn take_unwritten(&mut self) -> Vec<Entry> {
        let entries = self.slice(self.last_issued + 1, self.last_index(), usize::MAX);
        self.last_issued = self.last_index();
        entries
    }

    /// Marks the log as durable up to `index`, limited to the entries that were passed on for
    /// writing.
    pub(crate) fn mark_durable(&mut self, index: u64) {
        self.last_durable = self.last_durable.max(index.min(self.last_issued));
    }

    /// Removes entries up to `index` from memory, oldest first, until at most `keep_entries` of
    /// them remain and the log takes at most `keep_bytes`.
    pub(crate) fn compact(&mut self, index: u64, keep_entries: u64, keep_bytes: usize) {
        let exceeds_limits = |log: &Self| {
            let kept = index - log.base_index;
            kept > keep_entries || log.bytes > keep_bytes
        };
        while self.base_index < index && exceeds_limits(self) {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= entry.size();
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
    }

    /// Replaces the log with the position of a snapshot that is not durable yet.
    pub(crate) fn reset_to_snapshot(&mut self, index: u64, term: u64) {
        self.entries.clear();
        self.bytes = 0;
        self.base_index = index;
        self.base_term = term;
        self.last_durable = 0;
        self.last_issued = index;
    }
}
