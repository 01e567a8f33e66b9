//! Script of operations on a data directory, and the states that an interrupted operation may
//! leave.

use std::path::Path;
use std::sync::Arc;

use radishpaddle_storage::{
    Batch, HardState, LogEntry, Options, Recovered, Storage, StorageError, StoredSnapshot,
};

use crate::memory::MemoryFileSystem;

pub const DIRECTORY: &str = "/data";

/// One call of a write method of [`Storage`].
#[derive(Debug, Clone)]
pub enum Operation {
    Write(Batch),
    Save(StoredSnapshot),
}

/// Expected or recovered content of a data directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Content {
    pub hard_state: HardState,
    pub snapshot: Option<StoredSnapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
}

impl From<Recovered> for Content {
    fn from(recovered: Recovered) -> Self {
        Self {
            hard_state: recovered.hard_state,
            snapshot: recovered.snapshot,
            entries: recovered.entries,
        }
    }
}

pub fn open(system: &MemoryFileSystem) -> Result<(Storage, Recovered), StorageError> {
    let options = Options {
        file_system: Arc::new(system.clone()),
        segment_bytes: 150,
    };
    Storage::open_with(Path::new(DIRECTORY), 7, options)
}

pub fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry {
        index,
        term,
        payload: format!("entry {index}/{term}").into_bytes(),
    }
}

pub fn write(indexes: std::ops::RangeInclusive<u64>, term: u64) -> Operation {
    Operation::Write(Batch {
        entries: indexes.map(|index| entry(index, term)).collect(),
        ..Batch::default()
    })
}

/// An operation that changes nothing.
pub fn empty_write() -> Operation {
    Operation::Write(Batch::default())
}

pub fn snapshot(index: u64, term: u64) -> StoredSnapshot {
    StoredSnapshot {
        index,
        term,
        data: format!("state at {index}").into_bytes(),
    }
}

fn vote(term: u64) -> HardState {
    HardState {
        replica_id: 7,
        term,
        voted_for: Some(term),
    }
}

/// Operations that append entries, overwrite entries of several segments, save snapshots and
/// install a snapshot from the leader.
pub fn script() -> Vec<Operation> {
    let install = Batch {
        hard_state: Some(vote(5)),
        install_snapshot: Some(snapshot(30, 5)),
        entries: (31..=33).map(|index| entry(index, 5)).collect(),
    };
    let first_vote = Batch {
        hard_state: Some(vote(1)),
        ..Batch::default()
    };
    vec![
        Operation::Write(first_vote),
        write(1..=3, 1),
        write(4..=12, 1),
        write(6..=7, 2),
        write(8..=14, 2),
        Operation::Save(snapshot(9, 2)),
        write(11..=11, 3),
        write(12..=16, 3),
        Operation::Save(snapshot(16, 3)),
        write(17..=18, 4),
        Operation::Write(install),
        write(34..=40, 5),
        Operation::Save(snapshot(36, 5)),
    ]
}

pub fn execute(storage: &mut Storage, operation: &Operation) -> Result<(), StorageError> {
    match operation {
        Operation::Write(batch) => storage.write(batch),
        Operation::Save(snapshot) => storage.save_snapshot(snapshot),
    }
}

impl Content {
    pub fn empty() -> Self {
        let hard_state = HardState {
            replica_id: 7,
            term: 0,
            voted_for: None,
        };
        Self {
            hard_state,
            snapshot: None,
            entries: Vec::new(),
        }
    }

    pub fn apply(&mut self, operation: &Operation) {
        match operation {
            Operation::Write(batch) => {
                self.hard_state = batch.hard_state.unwrap_or(self.hard_state);
                if let Some(snapshot) = &batch.install_snapshot {
                    self.snapshot = Some(snapshot.clone());
                    self.entries.clear();
                }
                if let Some(first) = batch.entries.first() {
                    self.entries.retain(|entry| entry.index < first.index);
                }
                self.entries.extend_from_slice(&batch.entries);
            }
            Operation::Save(snapshot) => {
                self.entries.retain(|entry| entry.index > snapshot.index);
                self.snapshot = Some(snapshot.clone());
            }
        }
    }

    /// Whether the operation, interrupted at any point, may leave the content `found`.
    pub fn may_leave(&self, operation: &Operation, found: &Self) -> bool {
        self.possible_states(operation).contains(found)
    }

    /// Every state from this one to the one after the operation, including both.
    fn possible_states(&self, operation: &Operation) -> Vec<Self> {
        let mut after = self.clone();
        after.apply(operation);
        let mut states = vec![self.clone(), after];
        let Operation::Write(batch) = operation else {
            return states;
        };
        let mut state = self.clone();
        state.hard_state = batch.hard_state.unwrap_or(self.hard_state);
        states.push(state.clone());
        if batch.install_snapshot.is_some() {
            state.snapshot.clone_from(&batch.install_snapshot);
            state.entries.clear();
            states.push(state.clone());
        }
        let first = batch.entries.first().map_or(u64::MAX, |entry| entry.index);
        while state.entries.last().is_some_and(|last| last.index >= first) {
            state.entries.pop();
            states.push(state.clone());
        }
        for entry in &batch.entries {
            state.entries.push(entry.clone());
            states.push(state.clone());
        }
        states
    }
}
