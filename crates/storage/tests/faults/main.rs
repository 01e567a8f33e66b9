//! Tests of the data directory with failed and interrupted file operations and with damaged files.

mod local;
mod memory;
mod script;

use std::io;
use std::path::Path;
use std::sync::Arc;

use proptest::prelude::*;
use proptest::sample::Index;
use radishpaddle_storage::{Export, StorageError};

use crate::memory::{Fault, MemoryFileSystem};
use crate::script::{Content, Operation, empty_write, execute, open, script, write};

/// Runs the script until an operation fails. Returns the acknowledged content and the failed
/// operation, if any.
fn run_script(system: &MemoryFileSystem) -> (Content, Option<Operation>) {
    let mut content = Content::empty();
    let Ok((mut storage, _)) = open(system) else {
        return (content, Some(empty_write()));
    };
    for operation in script() {
        if execute(&mut storage, &operation).is_err() {
            let retried = execute(&mut storage, &operation);
            assert!(matches!(
                retried,
                Err(StorageError::EarlierWriteFailed { .. })
            ));
            return (content, Some(operation));
        }
        content.apply(&operation);
    }
    (content, None)
}

/// Opens the directory again and checks that its content is a possible result of the interrupted
/// operation, and that further writes succeed and survive a crash.
fn check_restart(system: &MemoryFileSystem, acknowledged: &Content, interrupted: &Operation) {
    let (mut storage, recovered) =
        open(system).expect("the directory opens after an interrupted write");
    let found = Content::from(recovered);
    assert!(
        acknowledged.may_leave(interrupted, &found),
        "found {found:?} after {acknowledged:?} and the interrupted {interrupted:?}"
    );
    let next = storage.last_index() + 1;
    let further_write = write(next..=next + 4, 9);
    execute(&mut storage, &further_write).unwrap();
    drop(storage);
    system.crash(|| 0.0);
    let (_storage, recovered) = open(system).unwrap();
    let mut expected = found;
    expected.apply(&further_write);
    assert_eq!(Content::from(recovered), expected);
}

/// Returns a function that yields a pseudo-random number from 0 to 1 on each call.
fn pseudo_random_shares(seed: u32) -> impl FnMut() -> f64 {
    let mut calls = 0_u32;
    move || {
        calls += 1;
        let number = crc32fast::hash(&[seed.to_le_bytes(), calls.to_le_bytes()].concat());
        f64::from(number) / f64::from(u32::MAX)
    }
}

/// Injects the fault at each file operation of the script in turn, then reopens the directory:
/// without a crash, and after crashes that lose all, none or a part of the unsynced data. Returns
/// the number of the first operation that the script does not reach.
fn check_with_fault_at_every_operation(fault: Fault) -> u64 {
    for operation in 1.. {
        for crash in 0..8 {
            let system = MemoryFileSystem::default();
            system.fail_at(operation, fault);
            let (acknowledged, interrupted) = run_script(&system);
            if !system.fault_triggered() {
                return operation;
            }
            system.clear_faults();
            match crash {
                0 => {}
                1 => system.crash(|| 0.0),
                2 => system.crash(|| 1.0),
                seed => system.crash(pseudo_random_shares(seed)),
            }
            // A failed write of the sync marker without a sync is ignored, so the script may
            // complete although the fault was triggered.
            let interrupted = interrupted.unwrap_or_else(empty_write);
            check_restart(&system, &acknowledged, &interrupted);
        }
    }
    unreachable!("the script has a finite number of operations")
}

/// Guards against lost acknowledged state and a directory that does not open, when the process
/// stops at any file operation.
#[test]
fn stop_at_every_operation() {
    let operations = check_with_fault_at_every_operation(Fault::Stop);
    assert!(operations > 200, "only {operations} operations were tried");
}

/// Guards against an acknowledgement after a failed write or sync, and against trust in the page
/// cache after a failed sync: it shows data that is not on the disk and that a later sync does not
/// write.
#[test]
fn error_at_every_operation() {
    check_with_fault_at_every_operation(Fault::Error(io::ErrorKind::Other));
    check_with_fault_at_every_operation(Fault::Error(io::ErrorKind::StorageFull));
}

/// Guards against a directory that is opened again after a full disk and whose content is lost at a power loss during
/// or after the opening: the names that were changed last are not durable, because the sync of the directory failed.
#[test]
fn disk_full_before_power_loss_while_opening() {
    for operation in 1.. {
        let mut stop = 0;
        let mut stopped = true;
        while stopped {
            stop += 1;
            for crash in 0..8 {
                let system = MemoryFileSystem::default();
                system.fail_at(operation, Fault::Error(io::ErrorKind::StorageFull));
                let (acknowledged, interrupted) = run_script(&system);
                if !system.fault_triggered() {
                    return;
                }
                system.fail_at(stop, Fault::Stop);
                let opened = open(&system).map(|(_, recovered)| Content::from(recovered));
                stopped = system.fault_triggered();
                system.clear_faults();
                match crash {
                    0 => {}
                    1 => system.crash(|| 0.0),
                    2 => system.crash(|| 1.0),
                    seed => system.crash(pseudo_random_shares(seed)),
                }
                let copy = system.copy();
                let interrupted = interrupted.unwrap_or_else(empty_write);
                check_restart(&system, &acknowledged, &interrupted);
                if let (Ok(opened), false) = (opened, crash == 0) {
                    let (_storage, recovered) = open(&copy).unwrap();
                    let found = Content::from(recovered);
                    assert_eq!(
                        (found.hard_state, &found.snapshot),
                        (opened.hard_state, &opened.snapshot),
                        "after operation {operation}"
                    );
                    // Entries that an interrupted write discarded may come back: they were not committed.
                    assert!(found.entries.starts_with(&opened.entries), "{found:?}");
                }
            }
        }
    }
}

/// Guards against a write that is acknowledged although the disk is full, and against an error
/// other than [`StorageError::DiskFull`].
#[test]
fn full_disk_is_reported() {
    let system = MemoryFileSystem::default();
    let (acknowledged, _) = run_script(&system);
    let (mut storage, _) = open(&system).unwrap();
    system.limit_additional_bytes(60);

    let operation = write(41..=45, 5);
    let result = execute(&mut storage, &operation);

    assert!(matches!(result, Err(StorageError::DiskFull { .. })));
    let message = result.unwrap_err().to_string();
    assert!(message.contains("free space"), "{message}");
    drop(storage);
    system.clear_faults();
    check_restart(&system, &acknowledged, &operation);
}

/// Guards against an error other than [`StorageError::ReadOnly`] on a read-only file system.
#[test]
fn read_only_disk_is_reported() {
    let system = MemoryFileSystem::default();
    let (mut storage, _) = open(&system).unwrap();
    system.fail_at(1, Fault::Error(io::ErrorKind::ReadOnlyFilesystem));

    let result = execute(&mut storage, &write(1..=2, 1));

    assert!(matches!(result, Err(StorageError::ReadOnly { .. })));
}

/// Runs the whole script. Returns a copy of the directory and its expected content.
fn directory_after_script() -> (MemoryFileSystem, Content) {
    let system = MemoryFileSystem::default();
    let (content, _) = run_script(&system);
    drop(open(&system).unwrap());
    (system.copy(), content)
}

/// Opens a damaged directory and checks that it is either refused as corrupt, with the path of a
/// file in it, or read as it was written. Returns whether it was refused.
fn check_damaged(system: &MemoryFileSystem, content: &Content) -> bool {
    match open(system) {
        Ok((_storage, recovered)) => {
            assert_eq!(&Content::from(recovered), content, "damage not detected");
            false
        }
        Err(StorageError::Corrupt { path, .. }) => {
            assert!(path.starts_with(script::DIRECTORY));
            true
        }
        Err(error) => panic!("{error}"),
    }
}

/// Guards against a flipped bit that is read as data, or that truncates synced records as if they
/// were a torn write.
#[test]
fn every_flipped_bit_is_found() {
    let (system, content) = directory_after_script();
    for path in system.files() {
        let is_marker = path.ends_with("log-synced");
        let mut size = 0;
        system.edit(&path, |bytes| size = bytes.len());
        for bit in 0..size * 8 {
            let damaged = system.copy();
            damaged.edit(&path, |bytes| bytes[bit / 8] ^= 1 << (bit % 8));
            let refused = check_damaged(&damaged, &content);
            assert!(refused || is_marker, "{} bit {bit}", path.display());
        }
    }
}

/// Guards against a file that lost its end after a sync and is read as if it were complete.
#[test]
fn every_lost_end_is_found() {
    let (system, content) = directory_after_script();
    for path in system.files() {
        let mut size = 0;
        system.edit(&path, |bytes| size = bytes.len());
        for length in 0..size {
            let damaged = system.copy();
            damaged.edit(&path, |bytes| bytes.truncate(length));
            let refused = check_damaged(&damaged, &content);
            assert!(refused || path.ends_with("log-synced"));
        }
    }
}

/// Guards against a damaged record that is taken for a torn write when the sync marker is lost too:
/// only a record at the end of the newest segment may be truncated.
#[test]
fn damage_before_the_end_is_found_without_a_marker() {
    let system = MemoryFileSystem::default();
    let (mut storage, _) = open(&system).unwrap();
    execute(&mut storage, &write(1..=3, 1)).unwrap();
    drop(storage);
    system.edit(&Path::new(script::DIRECTORY).join("log-synced"), Vec::clear);
    let segment = system.files().into_iter().find(|path| is_segment(path));
    let segment = segment.unwrap();
    let mut size = 0;
    system.edit(&segment, |bytes| size = bytes.len());
    let last_record = size - 8 - 16 - "entry 3/1".len();
    for at in 0..size {
        let damaged = system.copy();
        damaged.edit(&segment, |bytes| bytes[at] ^= 1);
        match open(&damaged) {
            Ok((_storage, recovered)) => {
                assert!(
                    at >= last_record,
                    "records from the damage at {at} on were truncated"
                );
                assert_eq!(
                    recovered.entries,
                    [script::entry(1, 1), script::entry(2, 1)]
                );
            }
            Err(error) => assert!(matches!(error, StorageError::Corrupt { .. })),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against a torn write at the end of the log that prevents the directory from opening.
    #[test]
    fn torn_tail_is_cut_off(tail in prop::collection::vec(any::<u8>(), 1..200)) {
        let (system, content) = directory_after_script();
        let newest = system.files().into_iter().rfind(|path| is_segment(path)).unwrap();
        system.edit(&newest, |bytes| bytes.extend_from_slice(&tail));

        let (_storage, recovered) = open(&system).unwrap();

        prop_assert_eq!(recovered.truncated_bytes, tail.len() as u64);
        prop_assert_eq!(Content::from(recovered), content);
    }

    /// Guards against corrupt data or gaps in the recovered log when several files are damaged at
    /// once, including the sync marker. A directory that opens must hold a prefix of the written
    /// log.
    #[test]
    fn damage_in_several_places_is_never_read_as_data(
        flipped_bits in prop::collection::vec((any::<Index>(), any::<u16>(), 0..8u8), 1..4),
        truncation in prop::option::of((any::<Index>(), any::<u16>())),
        lose_marker in any::<bool>(),
    ) {
        let (system, content) = directory_after_script();
        let files = system.files();
        for (file, at, bit) in flipped_bits {
            system.edit(&files[file.index(files.len())], |bytes| {
                let at = usize::from(at) % bytes.len().max(1);
                if let Some(byte) = bytes.get_mut(at) {
                    *byte ^= 1 << bit;
                }
            });
        }
        if let Some((file, at)) = truncation {
            let truncate =
                |bytes: &mut Vec<u8>| bytes.truncate(usize::from(at) % (bytes.len() + 1));
            system.edit(&files[file.index(files.len())], truncate);
        }
        if lose_marker {
            system.edit(&Path::new(script::DIRECTORY).join("log-synced"), Vec::clear);
        }
        if let Ok((_storage, recovered)) = open(&system) {
            prop_assert_eq!(&recovered.snapshot, &content.snapshot);
            prop_assert_eq!(recovered.hard_state, content.hard_state);
            prop_assert!(content.entries.starts_with(&recovered.entries));
        }
    }
}

fn is_segment(path: &Path) -> bool {
    path.extension()
        .is_some_and(|extension| extension == "segment")
}

/// Guards against a restore from a damaged export.
#[test]
fn damaged_export_is_refused() {
    let system = MemoryFileSystem::default();
    let path = Path::new("/backup/state.export");
    let export = Export {
        index: 12,
        data: b"state of the application".to_vec(),
    };
    export.write(Arc::new(system.clone()), path).unwrap();
    assert_eq!(
        Export::read(Arc::new(system.clone()), path).unwrap(),
        export
    );
    let mut size = 0;
    system.edit(path, |bytes| size = bytes.len());

    for bit in 0..size * 8 {
        let damaged = system.copy();
        damaged.edit(path, |bytes| bytes[bit / 8] ^= 1 << (bit % 8));
        assert!(Export::read(Arc::new(damaged), path).is_err());
    }
}

/// Guards against a restore that overwrites the existing state of a replica.
#[test]
fn restore_needs_an_empty_directory() {
    let system = MemoryFileSystem::default();
    let (mut storage, recovered) = open(&system).unwrap();
    storage
        .bootstrap(recovered.hard_state, script::snapshot(13, 1))
        .unwrap();

    let second = storage.bootstrap(recovered.hard_state, script::snapshot(13, 1));

    assert!(matches!(second, Err(StorageError::NotEmpty { .. })));
}
