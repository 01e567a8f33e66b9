//! The data directory on the file system of the machine.

use std::path::PathBuf;

use radishpaddle_storage::{Storage, StorageError};

use crate::script::{Content, carry_out, script};

/// Directory that is removed at the end of a test.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Self {
        let name = format!("radishpaddle-storage-{}-{name}", std::process::id());
        Self(std::env::temp_dir().join(name))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Guards against acknowledged state that a restart does not find, and against discarded entries
/// that come back.
#[test]
fn state_survives_reopening() {
    let scratch = Scratch::new("reopening");
    let mut content = Content::empty();
    for operation in script() {
        let (mut storage, recovered) = Storage::open(&scratch.0, 7).unwrap();
        assert_eq!(Content::from(recovered), content);
        carry_out(&mut storage, &operation).unwrap();
        content.apply(&operation);
    }

    let (_storage, recovered) = Storage::open(&scratch.0, 8).unwrap();

    assert!(!recovered.is_new);
    assert_eq!(Content::from(recovered), content);
}

/// Guards against two processes that write to one directory.
#[test]
fn second_open_is_refused() {
    let scratch = Scratch::new("second");
    let (_storage, _) = Storage::open(&scratch.0, 1).unwrap();

    let second = Storage::open(&scratch.0, 2);

    assert!(matches!(second, Err(StorageError::Locked { .. })));
}
