//! The data directory on the local file system.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use radishpaddle_storage::{Batch, HardState, LogEntry, Storage, StorageError, StoredSnapshot};

/// Directory that is removed at the end of a test.
struct Scratch(PathBuf);

impl Scratch {
    fn new() -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("radishpaddle-storage-{}-{number}", std::process::id());
        Self(std::env::temp_dir().join(name))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry {
        index,
        term,
        payload: format!("entry {index} of term {term}").into_bytes(),
    }
}

fn entries(indexes: std::ops::RangeInclusive<u64>, term: u64) -> Batch {
    Batch {
        entries: indexes.map(|index| entry(index, term)).collect(),
        ..Batch::default()
    }
}

/// Guards against acknowledged state that a restart does not find.
#[test]
fn state_survives_reopening() {
    let scratch = Scratch::new();
    let hard_state = HardState {
        replica_id: 7,
        term: 3,
        voted_for: Some(9),
    };
    let (mut storage, recovered) = Storage::open(&scratch.0, 7).unwrap();
    assert!(recovered.is_new);
    let mut batch = entries(1..=5, 3);
    batch.hard_state = Some(hard_state);
    storage.write(&batch).unwrap();
    drop(storage);

    let (_storage, recovered) = Storage::open(&scratch.0, 8).unwrap();

    assert!(!recovered.is_new);
    assert_eq!(recovered.hard_state, hard_state);
    assert_eq!(recovered.entries, batch.entries);
}

/// Guards against two processes that write to one directory.
#[test]
fn second_open_is_refused() {
    let scratch = Scratch::new();
    let (_storage, _) = Storage::open(&scratch.0, 1).unwrap();

    let second = Storage::open(&scratch.0, 2);

    assert!(matches!(second, Err(StorageError::Locked { .. })));
}

/// Guards against entries of a deposed leader that come back after a restart.
#[test]
fn overwritten_entries_stay_away() {
    let scratch = Scratch::new();
    let (mut storage, _) = Storage::open(&scratch.0, 1).unwrap();
    storage.write(&entries(1..=9, 1)).unwrap();
    storage.write(&entries(4..=5, 2)).unwrap();
    drop(storage);

    let (_storage, recovered) = Storage::open(&scratch.0, 1).unwrap();

    let terms: Vec<_> = recovered.entries.iter().map(|entry| entry.term).collect();
    assert_eq!(terms, [1, 1, 1, 2, 2]);
}

/// Guards against a log that returns after a snapshot of the leader replaced it.
#[test]
fn installed_snapshot_replaces_the_log() {
    let scratch = Scratch::new();
    let (mut storage, _) = Storage::open(&scratch.0, 1).unwrap();
    storage.write(&entries(1..=9, 1)).unwrap();
    let snapshot = StoredSnapshot {
        index: 20,
        term: 4,
        data: b"state".to_vec(),
    };
    let mut batch = entries(21..=22, 4);
    batch.install = Some(snapshot.clone());
    storage.write(&batch).unwrap();
    drop(storage);

    let (_storage, recovered) = Storage::open(&scratch.0, 1).unwrap();

    assert_eq!(recovered.snapshot, Some(snapshot));
    assert_eq!(recovered.entries, batch.entries);
}
