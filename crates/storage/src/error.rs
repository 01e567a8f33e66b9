//! What can go wrong with a data directory.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// The data directory could not be used. After an error nothing may be acknowledged.
#[derive(Debug)]
#[derive(Error)]
pub enum StorageError {
    /// Another process uses the directory.
    #[error(
        "{} is locked by another process; stop that process or use another data directory",
        path.display()
    )]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// The disk or the quota is full.
    #[error(
        "cannot {action} {}: the disk is full; free space and restart the process",
        path.display()
    )]
    Full {
        /// What was attempted.
        action: &'static str,
        /// File concerned.
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
        /// What was attempted.
        action: &'static str,
        /// File concerned.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Any other error of the operating system.
    #[error("cannot {action} {}: {source}; check the disk and restart the process", path.display())]
    Io {
        /// What was attempted.
        action: &'static str,
        /// File concerned.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file does not hold what was written to it.
    #[error(
        "{} is damaged at offset {offset}: {detail}; move the data directory away and start this \
         instance with an empty one so that it joins as a new replica, or restore an export if no \
         majority of the group is left",
        path.display()
    )]
    Corrupt {
        /// The damaged file.
        path: PathBuf,
        /// Where the damage begins, in bytes from the start of the file.
        offset: u64,
        /// What was found.
        detail: &'static str,
    },
    /// An earlier write or sync failed.
    #[error(
        "{} takes no writes since an earlier write failed; restart the process",
        path.display()
    )]
    Failed {
        /// The data directory.
        path: PathBuf,
    },
    /// Entries do not continue the log, or a snapshot is older than the newest one.
    #[error("the log goes on at index {expected}, not at {found}")]
    OutOfOrder {
        /// Index that was expected.
        expected: u64,
        /// Index that was given.
        found: u64,
    },
    /// An entry is larger than a record may be.
    #[error("entry {index} has {bytes} bytes; at most {limit} are allowed")]
    TooLarge {
        /// Index of the entry.
        index: u64,
        /// Its size in bytes.
        bytes: usize,
        /// Largest size in bytes.
        limit: usize,
    },
    /// A group is founded or restored only in an empty directory.
    #[error(
        "{} already holds the state of a replica; use an empty data directory",
        path.display()
    )]
    NotEmpty {
        /// The data directory.
        path: PathBuf,
    },
}

impl StorageError {
    /// Classifies an error of the operating system.
    pub(crate) fn io(action: &'static str, path: &Path, source: io::Error) -> Self {
        let path = path.to_owned();
        match source.kind() {
            io::ErrorKind::StorageFull
            | io::ErrorKind::QuotaExceeded
            | io::ErrorKind::WriteZero => Self::Full {
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
