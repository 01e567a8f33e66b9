//! Errors of the data directory.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// A failed operation on a data directory. A write that returned an error must not be acknowledged,
/// because it may not be durable.
#[derive(Debug)]
#[derive(Error)]
pub enum StorageError {
    /// Another process holds the lock of the directory.
    #[error(
        "{} is locked by another process; stop that process or use another data directory",
        path.display()
    )]
    Locked {
        /// Path of the lock file.
        path: PathBuf,
    },
    /// The disk is full or the disk quota is used up.
    #[error(
        "cannot {action} {}: the disk is full; free space and restart the process",
        path.display()
    )]
    DiskFull {
        /// Verb that names the failed operation, such as "write".
        action: &'static str,
        /// Path of the file or directory.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file system is mounted read-only or the process may not write.
    #[error(
        "cannot {action} {}: it is read-only; make the data directory writable for this process \
         and restart it",
        path.display()
    )]
    ReadOnly {
        /// Verb that names the failed operation, such as "write".
        action: &'static str,
        /// Path of the file or directory.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Any other error of the operating system.
    #[error("cannot {action} {}: {source}; check the disk and restart the process", path.display())]
    Io {
        /// Verb that names the failed operation, such as "write".
        action: &'static str,
        /// Path of the file or directory.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The content of a file fails a checksum or consistency check.
    #[error(
        "{} is damaged at offset {offset}: {detail}; move the data directory away and start this \
         instance with an empty one so that it joins as a new replica, or restore an export if no \
         majority of the group is left",
        path.display()
    )]
    Corrupt {
        /// Path of the damaged file.
        path: PathBuf,
        /// Where the damage begins, in bytes from the start of the file.
        offset: u64,
        /// Description of the damage.
        detail: &'static str,
    },
    /// The handle refuses all writes because an earlier write or sync failed.
    #[error(
        "{} refuses writes because an earlier write failed; restart the process",
        path.display()
    )]
    EarlierWriteFailed {
        /// Path of the data directory.
        path: PathBuf,
    },
    /// Entries are not consecutive or leave a gap in the log, or the index of a snapshot is not
    /// above that of the newest snapshot or exceeds that of the last entry.
    #[error("index out of order: expected {expected}, got {found}")]
    OutOfOrder {
        /// Next valid index.
        expected: u64,
        /// Index in the refused write.
        found: u64,
    },
    /// The payload of an entry exceeds the size limit.
    #[error("entry {index} has {bytes} bytes; at most {limit} are allowed")]
    EntryTooLarge {
        /// Index of the entry.
        index: u64,
        /// Size of the payload, in bytes.
        bytes: usize,
        /// Largest allowed payload, in bytes.
        limit: usize,
    },
    /// A new group was to be stored in a directory that already holds a log or a snapshot.
    #[error(
        "{} already holds the state of a replica; use an empty data directory",
        path.display()
    )]
    NotEmpty {
        /// Path of the data directory.
        path: PathBuf,
    },
}

impl StorageError {
    /// Converts an error of the operating system into [`Self::DiskFull`], [`Self::ReadOnly`] or
    /// [`Self::Io`].
    pub(crate) fn from_io(action: &'static str, path: &Path, source: io::Error) -> Self {
        let path = path.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull
            | io::ErrorKind::QuotaExceeded
            | io::ErrorKind::WriteZero => Self::DiskFull {
                action,
                path,
                source,
            },
            io::ErrorKind::ReadOnlyFilesystem | io::ErrorKind::PermissionDenied => Self::ReadOnly {
                action,
                path,
                source,
            },
            _ => Self::Io {
                action,
                path,
                source,
            },
        }
    }

    pub(crate) fn corrupt(path: &Path, offset: u64, detail: &'static str) -> Self {
        Self::Corrupt {
            path: path.to_owned(),
            offset,
            detail,
        }
    }
}
