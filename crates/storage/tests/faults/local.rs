//! Tests of the data directory on the file system of the operating system.

use std::path::PathBuf;

use radishpaddle_storage::{Storage, StorageError};

use crate::script::{Content, execute, script};

/// Path of a temporary directory, which is removed when the value is dropped.
struct ScratchDirectory(PathBuf);

impl ScratchDirectory {
    fn new(name: &str) -> Self {
        let name = format!("radishpaddle-storage-{}-{name}", std::process::id());
        Self(std::env::temp_dir().join(name))
    }
}

impl Drop for ScratchDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Guards against acknowledged state that is lost, and discarded entries that reappear, when the
/// directory is opened again.
#[test]
fn state_survives_reopening() {
    let scratch = ScratchDirectory::new("reopening");
    let mut content = Content::empty();
    for operation in script() {
        let (mut storage, recovered) = Storage::open(&scratch.0, 7).unwrap();
        assert_eq!(Content::from(recovered), content);
        execute(&mut storage, &operation).unwrap();
        content.apply(&operation);
    }

    let (_storage, recovered) = Storage::open(&scratch.0, 8).unwrap();

    assert!(!recovered.is_new);
    assert_eq!(Content::from(recovered), content);
}

/// Guards against two handles that write to the same directory.
#[test]
fn second_open_is_refused() {
    let scratch = ScratchDirectory::new("second");
    let (_storage, _) = Storage::open(&scratch.0, 1).unwrap();

    let second = Storage::open(&scratch.0, 2);

    assert!(matches!(second, Err(StorageError::Locked { .. })));
}
