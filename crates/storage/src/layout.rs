//! File names of the data directory, and file operations whose errors contain the path.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use crate::error::StorageError;
use crate::file_system::{DataFile, FileSystem};

pub(crate) const LOCK_FILE: &str = "lock";
pub(crate) const HARD_STATE_FILE: &str = "hard-state";
pub(crate) const SYNC_MARKER_FILE: &str = "log-synced";
const TEMPORARY_SUFFIX: &str = ".temporary";

/// A directory on a file system, either a data directory or the target of an export.
#[derive(Debug, Clone)]
pub(crate) struct Directory {
    pub(crate) file_system: Arc<dyn FileSystem>,
    pub(crate) path: PathBuf,
}

/// Name of the log segment whose first entry has the index `first_index`.
pub(crate) fn segment_name(first_index: u64) -> String {
    format!("log-{first_index:020}.segment")
}

pub(crate) fn snapshot_name(index: u64) -> String {
    format!("snapshot-{index:020}.snapshot")
}

/// Parses the index between `prefix` and `suffix` of a file name; `None` for other names.
fn parse_index(name: &str, prefix: &str, suffix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?
        .strip_suffix(suffix)?
        .parse()
        .ok()
}

impl Directory {
    pub(crate) fn join(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Indexes in the names of all files with the prefix and suffix, in ascending order.
    fn list_indexes(&self, prefix: &str, suffix: &str) -> Result<Vec<u64>, StorageError> {
        let names = self
            .file_system
            .list(&self.path)
            .map_err(|error| StorageError::from_io("list", &self.path, error))?;
        let indexes = names
            .iter()
            .filter_map(|name| parse_index(name, prefix, suffix));
        let mut indexes: Vec<u64> = indexes.collect();
        indexes.sort_unstable();
        Ok(indexes)
    }

    /// First index of each log segment, in ascending order.
    pub(crate) fn list_segments(&self) -> Result<Vec<u64>, StorageError> {
        self.list_indexes("log-", ".segment")
    }

    /// Index of each snapshot, in ascending order.
    pub(crate) fn list_snapshots(&self) -> Result<Vec<u64>, StorageError> {
        self.list_indexes("snapshot-", ".snapshot")
    }

    /// Removes the incomplete files that an interrupted [`Self::replace`] left.
    pub(crate) fn remove_temporary_files(&self) -> Result<(), StorageError> {
        let names = self
            .file_system
            .list(&self.path)
            .map_err(|error| StorageError::from_io("list", &self.path, error))?;
        for name in names {
            if name.ends_with(TEMPORARY_SUFFIX) {
                self.remove(&name)?;
            }
        }
        Ok(())
    }

    /// Reads a whole file; `None` when it does not exist.
    pub(crate) fn read(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
        let path = self.join(name);
        match self.file_system.read(&path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(StorageError::from_io("read", &path, error)),
        }
    }

    pub(crate) fn open(&self, name: &str) -> Result<Box<dyn DataFile>, StorageError> {
        let path = self.join(name);
        self.file_system
            .open(&path)
            .map_err(|error| StorageError::from_io("open", &path, error))
    }

    pub(crate) fn remove(&self, name: &str) -> Result<(), StorageError> {
        let path = self.join(name);
        self.file_system
            .remove(&path)
            .map_err(|error| StorageError::from_io("remove", &path, error))
    }

    /// Makes created, renamed and removed file names durable.
    pub(crate) fn sync(&self) -> Result<(), StorageError> {
        self.file_system
            .sync_directory(&self.path)
            .map_err(|error| StorageError::from_io("sync", &self.path, error))
    }

    /// Replaces a file atomically and durably: after a crash it holds either the old or the new
    /// content.
    pub(crate) fn replace(&self, name: &str, parts: &[&[u8]]) -> Result<(), StorageError> {
        let temporary = format!("{name}{TEMPORARY_SUFFIX}");
        let mut file = self.open(&temporary)?;
        let path = self.join(&temporary);
        set_length(file.as_mut(), &path, 0)?;
        for part in parts {
            write_all(file.as_mut(), &path, part)?;
        }
        sync_file(file.as_mut(), &path)?;
        drop(file);
        self.file_system
            .rename(&path, &self.join(name))
            .map_err(|error| StorageError::from_io("rename", &path, error))?;
        self.sync()
    }
}

pub(crate) fn write_all(
    file: &mut dyn DataFile,
    path: &Path,
    mut bytes: &[u8],
) -> Result<(), StorageError> {
    while !bytes.is_empty() {
        match file.write(bytes) {
            Ok(0) => {
                let error = io::ErrorKind::WriteZero.into();
                return Err(StorageError::from_io("write", path, error));
            }
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(StorageError::from_io("write", path, error)),
        }
    }
    Ok(())
}

pub(crate) fn sync_file(file: &mut dyn DataFile, path: &Path) -> Result<(), StorageError> {
    file.sync()
        .map_err(|error| StorageError::from_io("sync", path, error))
}

pub(crate) fn set_length(
    file: &mut dyn DataFile,
    path: &Path,
    length: u64,
) -> Result<(), StorageError> {
    file.set_length(length)
        .map_err(|error| StorageError::from_io("truncate", path, error))
}
