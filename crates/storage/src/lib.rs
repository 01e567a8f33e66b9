//! Data directory of a control instance: lock, log, hard state and snapshots.
//!
//! [`Storage::open`] locks the directory, recovers its content and returns a running handle.
//! Everything that a function of the handle wrote is durable when it returns `Ok`. After any
//! failed write or sync the handle refuses further writes until the directory is opened again,
//! because the content of the page cache after a failed sync says nothing about the disk.
//!
//! | File | Content |
//! |---|---|
//! | `lock` | Locked exclusively while a process uses the directory |
//! | `hard-state` | Replica id, term and vote |
//! | `log-N.segment` | Log entries from index N on |
//! | `log-synced` | Segment and length that are known to be durable |
//! | `snapshot-N.snapshot` | Snapshot at index N |
//! | `*.temporary` | Incomplete; removed when the directory is opened |

mod error;
pub mod export;
mod file_system;
mod layout;
mod marker;
mod record;
mod recovery;
mod segment;
mod snapshot;
mod storage;

pub use error::StorageError;
pub use export::Export;
pub use file_system::{DataFile, FileSystem, LocalFileSystem};
pub use storage::{Batch, HardState, LogEntry, Options, Recovered, Storage, StoredSnapshot};
