//! Data directory of a control instance: lock file, replicated log, hard state and snapshots.
//!
//! [`Storage::open`] locks the directory, recovers its content and returns a handle. When a write
//! method of the handle returns `Ok`, its writes are durable. After any failed write or sync the
//! handle refuses further writes until the directory is opened again, because after a failed sync
//! the page cache may show data that is not on the disk.
//!
//! | File | Content |
//! |---|---|
//! | `lock` | Locked exclusively while a process uses the directory |
//! | `hard-state` | Replica id, term and vote |
//! | `log-N.segment` | Log segment whose first entry has index N |
//! | `log-synced` | Sync marker: a segment and its length that is known to be synced |
//! | `snapshot-N.snapshot` | Snapshot that covers the entries up to index N |
//! | `*.temporary` | Incomplete file; removed when the directory is opened |

mod error;
pub mod export;
mod file_system;
mod layout;
mod record;
mod recovery;
mod segment;
mod snapshot;
mod storage;
mod sync_marker;

pub use error::StorageError;
pub use export::Export;
pub use file_system::{DataFile, FileSystem, LocalFileSystem};
pub use storage::{Batch, HardState, LogEntry, Options, Recovered, Storage, StoredSnapshot};
