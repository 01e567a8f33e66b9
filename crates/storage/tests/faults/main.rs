//! The data directory under failing, interrupted and damaged files.

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
use crate::script::{Content, Operation, carry_out, nothing, open, script, write};

/// Runs the script until an operation fails. Returns what was acknowledged and what was not.
fn run_script(system: &MemoryFileSystem) -> (Content, Option<Operation>) {
    let mut content = Content::empty();
    let Ok((mut storage, _)) = open(system) else {
        return (content, Some(nothing()));
    };
    for operation in script() {
        if carry_out(&mut storage, &operation).is_err() {
            let again = carry_out(&mut storage, &operation);
            assert!(matches!(again, Err(StorageError::Failed { .. })));
            return (content, Some(operation));
        }
        content.apply(&operation);
    }
    (content, None)
}

/// Checks what a restart finds, and that the directory takes and keeps further writes.
fn check_restart(system: &MemoryFileSystem, acknowledged: &Content, open_operation: &Operation) {
    let (mut storage, recovered) = open(system).expect("an interrupted write can be opened");
    let found = Content::from(recovered);
    assert!(
        acknowledged.allows(open_operation, &found),
        "{found:?} found after {acknowledged:?} and {open_operation:?}"
    );
    let next = storage.last_index() + 1;
    let more = write(next..=next + 4, 9);
    carry_out(&mut storage, &more).unwrap();
    drop(storage);
    system.crash(|| 0.0);
    let (_storage, recovered) = open(system).unwrap();
    let mut expected = found;
    expected.apply(&more);
    assert_eq!(Content::from(recovered), expected);
}

/// A different share from 0 to 1 on each call.
fn shares(seed: u32) -> impl FnMut() -> f64 {
    let mut calls = 0_u32;
    move || {
        calls += 1;
        let number = crc32fast::hash(&[seed.to_le_bytes(), calls.to_le_bytes()].concat());
        f64::from(number) / f64::from(u32::MAX)
    }
}

/// Fails every operation of the script in turn, then reopens the directory: without a crash, and
/// after crashes that lose nothing, all or a part of what was not synced.
fn fail_every_operation(fault: Fault) -> u64 {
    for operation in 1.. {
        for crash in 0..8 {
            let system = MemoryFileSystem::default();
            system.fail_at(operation, fault);
            let (acknowledged, interrupted) = run_script(&system);
            if !system.fault_happened() {
                return operation;
            }
            system.clear_faults();
            match crash {
                0 => {}
                1 => system.crash(|| 0.0),
                2 => system.crash(|| 1.0),
                seed => system.crash(shares(seed)),
            }
            // The marker is written without a sync and its failure is not an error.
            let interrupted = interrupted.unwrap_or_else(nothing);
            check_restart(&system, &acknowledged, &interrupted);
        }
    }
    unreachable!("the script ends")
}

/// Guards against acknowledged state that is lost, and partial state that cannot be opened, when
/// the process stops at any operation.
#[test]
fn stop_at_every_operation() {
    let operations = fail_every_operation(Fault::Stop);
    assert!(operations > 200, "only {operations} operations were tried");
}

/// Guards against an acknowledgement after a failed write or sync, and against reading back from
/// the page cache what a failed sync dropped and a later sync does not write.
#[test]
fn error_at_every_operation() {
    fail_every_operation(Fault::Error(io::ErrorKind::Other));
    fail_every_operation(Fault::Error(io::ErrorKind::StorageFull));
}

/// Guards against a full disk that is reported as something else, or acknowledged.
#[test]
fn full_disk_is_reported() {
    let system = MemoryFileSystem::default();
    let (acknowledged, _) = run_script(&system);
    let (mut storage, _) = open(&system).unwrap();
    system.limit(60);

    let operation = write(41..=45, 5);
    let result = carry_out(&mut storage, &operation);

    assert!(matches!(result, Err(StorageError::Full { .. })));
    let message = result.unwrap_err().to_string();
    assert!(message.contains("free space"), "{message}");
    drop(storage);
    system.clear_faults();
    check_restart(&system, &acknowledged, &operation);
}

/// Guards against a read-only disk that is reported as something else.
#[test]
fn read_only_disk_is_reported() {
    let system = MemoryFileSystem::default();
    let (mut storage, _) = open(&system).unwrap();
    system.fail_at(1, Fault::Error(io::ErrorKind::ReadOnlyFilesystem));

    let result = carry_out(&mut storage, &write(1..=2, 1));

    assert!(matches!(result, Err(StorageError::ReadOnly { .. })));
}

/// A directory after the script, and its content.
fn finished() -> (MemoryFileSystem, Content) {
    let system = MemoryFileSystem::default();
    let (content, _) = run_script(&system);
    drop(open(&system).unwrap());
    (system.copy(), content)
}

/// The damaged directory is refused with the file named, or read as it was written.
fn check_damaged(system: &MemoryFileSystem, content: &Content) -> bool {
    match open(system) {
        Ok((_storage, recovered)) => {
            assert_eq!(&Content::from(recovered), content, "silently wrong");
            false
        }
        Err(StorageError::Corrupt { path, .. }) => {
            assert!(path.starts_with(script::DIRECTORY));
            true
        }
        Err(error) => panic!("{error}"),
    }
}

/// Guards against a damaged bit that is read as data or cut off as an interrupted write.
#[test]
fn every_flipped_bit_is_found() {
    let (system, content) = finished();
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

/// Guards against a file that lost its end after a sync and is read as if it was complete.
#[test]
fn every_lost_end_is_found() {
    let (system, content) = finished();
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

/// Guards against reading a damaged record as an interrupted write when the marker is lost too:
/// only the end of the newest segment may be cut off.
#[test]
fn damage_before_the_end_is_found_without_a_marker() {
    let system = MemoryFileSystem::default();
    let (mut storage, _) = open(&system).unwrap();
    carry_out(&mut storage, &write(1..=3, 1)).unwrap();
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
                assert!(at >= last_record, "damage at {at} was cut off");
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

    /// Guards against an interrupted append that makes the directory unreadable.
    #[test]
    fn torn_tail_is_cut_off(tail in prop::collection::vec(any::<u8>(), 1..200)) {
        let (system, content) = finished();
        let newest = system.files().into_iter().rfind(|path| is_segment(path)).unwrap();
        system.edit(&newest, |bytes| bytes.extend_from_slice(&tail));

        let (_storage, recovered) = open(&system).unwrap();

        prop_assert_eq!(recovered.cut_bytes, tail.len() as u64);
        prop_assert_eq!(Content::from(recovered), content);
    }

    /// Guards against several damages at once, the marker of the durable length among them: what
    /// is read is a part of what was written, without a hole.
    #[test]
    fn damage_in_several_places_is_never_read_as_data(
        flips in prop::collection::vec((any::<Index>(), any::<u16>(), 0..8u8), 1..4),
        cut in prop::option::of((any::<Index>(), any::<u16>())),
        lose_marker in any::<bool>(),
    ) {
        let (system, content) = finished();
        let files = system.files();
        for (file, at, bit) in flips {
            system.edit(&files[file.index(files.len())], |bytes| {
                let at = usize::from(at) % bytes.len().max(1);
                if let Some(byte) = bytes.get_mut(at) {
                    *byte ^= 1 << bit;
                }
            });
        }
        if let Some((file, at)) = cut {
            let cut = |bytes: &mut Vec<u8>| bytes.truncate(usize::from(at) % (bytes.len() + 1));
            system.edit(&files[file.index(files.len())], cut);
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

/// Guards against an export that is restored although it was damaged.
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

/// Guards against a restore that overwrites the state of a replica.
#[test]
fn restore_needs_an_empty_directory() {
    let system = MemoryFileSystem::default();
    let (mut storage, recovered) = open(&system).unwrap();
    storage
        .found(recovered.hard_state, script::snapshot(13, 1))
        .unwrap();

    let second = storage.found(recovered.hard_state, script::snapshot(13, 1));

    assert!(matches!(second, Err(StorageError::NotEmpty { .. })));
}
