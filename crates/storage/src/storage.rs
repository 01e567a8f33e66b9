//! [`Storage`], the handle of an open data directory.

use std::fmt;
use std::io;
use std::path::Path;
use std::sync::Arc;

use crate::error::StorageError;
use crate::file_system::{DataFile, FileSystem, LocalFileSystem};
use crate::layout::{
    Directory, LOCK_FILE, segment_name, set_length, snapshot_name, sync_file, write_all,
};
use crate::record::{MAX_PAYLOAD_BYTES, encode_entry};
use crate::recovery::{RecoveredLog, SegmentIndex, read_newest_snapshot, recover_log};
use crate::segment::{HEADER_BYTES, encode_header};
use crate::snapshot::{read_hard_state, write_hard_state, write_snapshot};
use crate::sync_marker::{SyncMarker, SyncMarkerFile};

/// Default size above which the log continues in a new segment, in bytes. At the design load of 750
/// configuration changes a day (design 1.4), of a few KiB each, a segment holds about a day.
const DEFAULT_SEGMENT_BYTES: u64 = 4 << 20;

/// Persistent identity, term and vote of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HardState {
    /// Identity of the replica, assigned when the directory was created.
    pub replica_id: u64,
    /// Highest term that the replica has seen.
    pub term: u64,
    /// Replica that this replica voted for in that term.
    pub voted_for: Option<u64>,
}

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// Position in the log.
    pub index: u64,
    /// Term of the leader that created it.
    pub term: u64,
    /// Encoded content, at most 1 MiB.
    pub payload: Vec<u8>,
}

/// A snapshot of the application state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredSnapshot {
    /// Index of the last entry that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Encoded content.
    pub data: Vec<u8>,
}

/// Writes of one call of [`Storage::write`]. They are applied in the order of the fields; a crash
/// during the call may leave only the first of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// New hard state; `None` keeps the stored one.
    pub hard_state: Option<HardState>,
    /// Snapshot that replaces the stored snapshot and the whole log: one from the leader, or the
    /// first one of a new group.
    pub install_snapshot: Option<StoredSnapshot>,
    /// Entries to append. Stored entries with the index of the first one or above are discarded
    /// first.
    pub entries: Vec<LogEntry>,
}

/// Content of a data directory when it was opened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovered {
    /// Whether the directory was empty and was assigned its replica id by this call.
    pub is_new: bool,
    /// Identity, term and vote.
    pub hard_state: HardState,
    /// Newest snapshot, if any.
    pub snapshot: Option<StoredSnapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// Bytes of an interrupted write that were truncated; this write was never acknowledged.
    pub truncated_bytes: u64,
}

/// Options of [`Storage::open_with`].
#[derive(Debug, Clone)]
pub struct Options {
    /// File system that holds the directory.
    pub file_system: Arc<dyn FileSystem>,
    /// Size above which the log continues in a new segment, in bytes.
    pub segment_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            file_system: Arc::new(LocalFileSystem),
            segment_bytes: DEFAULT_SEGMENT_BYTES,
        }
    }
}

/// An open data directory, which stays locked until the handle is dropped.
#[derive(Debug)]
pub struct Storage {
    directory: Directory,
    segment_bytes: u64,
    marker: SyncMarkerFile,
    /// Segments of the log in ascending order; the last one is the active segment.
    segments: Vec<SegmentIndex>,
    /// File of the active segment, to which entries are appended.
    active_file: Option<Box<dyn DataFile>>,
    /// Index and term of the last entry, or of the snapshot when no entry follows it.
    last: (u64, u64),
    /// Index of the newest snapshot; 0 when there is none.
    snapshot_index: u64,
    /// Whether a write has failed, after which the handle refuses further writes.
    failed: bool,
    _lock: Box<dyn fmt::Debug + Send>,
}

impl Storage {
    /// Opens or creates a data directory. `new_replica_id` is a random identity, used only when the
    /// directory has none, so that a replica that lost its disk becomes a new replica.
    ///
    /// # Errors
    ///
    /// The directory is in use, cannot be read or written, or is damaged.
    pub fn open(path: &Path, new_replica_id: u64) -> Result<(Self, Recovered), StorageError> {
        Self::open_with(path, new_replica_id, Options::default())
    }

    /// Opens or creates a data directory as [`Storage::open`] does, with a different file system or
    /// segment size.
    ///
    /// # Errors
    ///
    /// The directory is in use, cannot be read or written, or is damaged.
    pub fn open_with(
        path: &Path,
        new_replica_id: u64,
        options: Options,
    ) -> Result<(Self, Recovered), StorageError> {
        let directory = Directory {
            file_system: options.file_system,
            path: path.to_owned(),
        };
        let lock = lock(&directory)?;
        directory.remove_temporary_files()?;
        // After a failed sync of the directory, names are visible that a power loss would undo. What is read below
        // counts as durable: a vote is not cast twice, and older files are removed.
        directory.sync()?;
        let (hard_state, is_new) = open_hard_state(&directory, new_replica_id)?;
        let snapshot = read_newest_snapshot(&directory)?;
        let log = recover_log(&directory)?;
        let marker = SyncMarkerFile::open(&directory)?;
        let mut storage = Self {
            directory,
            segment_bytes: options.segment_bytes,
            marker,
            segments: Vec::new(),
            active_file: None,
            last: (0, 0),
            snapshot_index: 0,
            failed: false,
            _lock: lock,
        };
        let recovered = storage.load_recovered(hard_state, is_new, snapshot, log)?;
        Ok((storage, recovered))
    }

    /// Initialises the handle from the recovered snapshot and log, and removes obsolete files.
    fn load_recovered(
        &mut self,
        hard_state: HardState,
        is_new: bool,
        snapshot: Option<StoredSnapshot>,
        mut log: RecoveredLog,
    ) -> Result<Recovered, StorageError> {
        let base = snapshot
            .as_ref()
            .map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        self.snapshot_index = base.0;
        let log_matches = log_matches_snapshot(&log, base);
        self.segments = std::mem::take(&mut log.segments);
        self.check_log_follows_snapshot(base.0)?;
        if !log_matches {
            // The process stopped after it stored a snapshot from the leader and before it removed
            // the log that the snapshot replaces.
            self.remove_all_segments()?;
            log.entries.clear();
        }
        self.last = log
            .entries
            .last()
            .map_or(base, |entry| (entry.index, entry.term));
        self.open_active_segment()?;
        log.entries.retain(|entry| entry.index > base.0);
        self.remove_obsolete_files()?;
        Ok(Recovered {
            is_new,
            hard_state,
            snapshot,
            entries: log.entries,
            truncated_bytes: log.truncated_bytes,
        })
    }

    /// Checks that no entries are missing between the snapshot and the first segment.
    fn check_log_follows_snapshot(&self, snapshot_index: u64) -> Result<(), StorageError> {
        let first = self.segments.first().map(|segment| segment.first_index);
        match first {
            Some(first) if first > snapshot_index + 1 => {
                let path = self.directory.join(&segment_name(first));
                let detail = "entries between the newest snapshot and this segment are missing";
                Err(StorageError::corrupt(&path, 8, detail))
            }
            _ => Ok(()),
        }
    }

    /// Opens the last segment for appending and writes the sync marker for it.
    fn open_active_segment(&mut self) -> Result<(), StorageError> {
        let Some(segment) = self.segments.last() else {
            return Ok(());
        };
        let name = segment_name(segment.first_index);
        self.active_file = Some(self.directory.open(&name)?);
        let marker = sync_marker_for(segment);
        self.marker.write_synced(&self.directory, marker)?;
        self.directory.sync()
    }

    /// Index of the last entry, or of the snapshot when no entry follows it; 0 for an empty
    /// directory.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.last.0
    }

    /// Index of the newest snapshot; 0 when there is none.
    #[must_use]
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot_index
    }

    /// Writes a batch and syncs it.
    ///
    /// # Errors
    ///
    /// When the disk is full, read-only or faulty, it is unknown which part of the batch is
    /// durable: the batch must not be acknowledged, and the handle refuses further writes. Entries
    /// that are out of order or exceed the size limit are refused before anything is written.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StorageError> {
        self.check_not_failed()?;
        self.check_batch(batch)?;
        self.mark_failed_on_error(|storage| {
            if let Some(hard_state) = &batch.hard_state {
                write_hard_state(&storage.directory, hard_state)?;
            }
            if let Some(snapshot) = &batch.install_snapshot {
                storage.install_snapshot(snapshot)?;
            }
            storage.append(&batch.entries)
        })
    }

    /// Stores the initial state of a new group, which is either empty or restored from an export.
    ///
    /// # Errors
    ///
    /// The directory already holds log entries or a snapshot, or cannot be written.
    pub fn bootstrap(
        &mut self,
        hard_state: HardState,
        snapshot: StoredSnapshot,
    ) -> Result<(), StorageError> {
        if self.last.0 > 0 || self.snapshot_index > 0 {
            return Err(StorageError::NotEmpty {
                path: self.directory.path.clone(),
            });
        }
        self.write(&Batch {
            hard_state: Some(hard_state),
            install_snapshot: Some(snapshot),
            entries: Vec::new(),
        })
    }

    /// Writes and syncs a snapshot of the local state, then removes the older snapshots and the
    /// segments that it covers.
    ///
    /// # Errors
    ///
    /// `OutOfOrder` when the index of the snapshot is not above that of the newest snapshot or
    /// exceeds that of the last entry; disk errors as in [`Storage::write`].
    pub fn save_snapshot(&mut self, snapshot: &StoredSnapshot) -> Result<(), StorageError> {
        self.check_not_failed()?;
        if snapshot.index <= self.snapshot_index || snapshot.index > self.last.0 {
            return Err(StorageError::OutOfOrder {
                expected: self.snapshot_index + 1,
                found: snapshot.index,
            });
        }
        self.mark_failed_on_error(|storage| {
            write_snapshot(&storage.directory, snapshot)?;
            storage.snapshot_index = snapshot.index;
            storage.remove_obsolete_files()
        })
    }

    fn check_not_failed(&self) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::EarlierWriteFailed {
                path: self.directory.path.clone(),
            });
        }
        Ok(())
    }

    /// Executes a write. When it fails, the handle refuses all further writes.
    fn mark_failed_on_error(
        &mut self,
        write: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        self.failed = true;
        write(self)?;
        self.failed = false;
        Ok(())
    }

    /// Checks the size and order of the entries of a batch before anything is written.
    fn check_batch(&self, batch: &Batch) -> Result<(), StorageError> {
        let install = batch.install_snapshot.as_ref();
        let last_index = install.map_or(self.last.0, |snapshot| snapshot.index);
        let snapshot_index = install.map_or(self.snapshot_index, |snapshot| snapshot.index);
        let Some(first) = batch.entries.first() else {
            return Ok(());
        };
        let first_allowed = first.index.clamp(snapshot_index + 1, last_index + 1);
        for (expected, entry) in (first_allowed..).zip(&batch.entries) {
            if entry.index != expected {
                let found = entry.index;
                return Err(StorageError::OutOfOrder { expected, found });
            }
            if entry.payload.len() > MAX_PAYLOAD_BYTES {
                return Err(StorageError::EntryTooLarge {
                    index: entry.index,
                    bytes: entry.payload.len(),
                    limit: MAX_PAYLOAD_BYTES,
                });
            }
        }
        Ok(())
    }

    /// Appends entries to the log and syncs them; overwritten entries are discarded first.
    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StorageError> {
        let Some(first) = entries.first() else {
            return Ok(());
        };
        if first.index <= self.last.0 {
            self.truncate_from(first.index)?;
        }
        let mut bytes = Vec::new();
        for entry in entries {
            let segment_is_full = self.active_segment_bytes() > self.segment_bytes;
            if self.active_file.is_none() || segment_is_full {
                self.flush(&mut bytes)?;
                self.start_segment()?;
            }
            let before = bytes.len();
            encode_entry(entry, &mut bytes);
            self.add_entry_end(entry, (bytes.len() - before) as u64);
        }
        self.flush(&mut bytes)
    }

    /// Length of the active segment including its buffered records, in bytes.
    fn active_segment_bytes(&self) -> u64 {
        self.segments.last().map_or(0, segment_end)
    }

    /// Updates the last entry and the offsets of the active segment for a record of `size` bytes.
    fn add_entry_end(&mut self, entry: &LogEntry, size: u64) {
        self.last = (entry.index, entry.term);
        if let Some(segment) = self.segments.last_mut() {
            let end = segment_end(segment) + size;
            segment.end_offsets.push(end);
        }
    }

    /// Writes the buffered records to the active segment and syncs it.
    fn flush(&mut self, bytes: &mut Vec<u8>) -> Result<(), StorageError> {
        let (Some(segment), Some(file)) = (self.segments.last(), &mut self.active_file) else {
            return Ok(());
        };
        if bytes.is_empty() {
            return Ok(());
        }
        let path = self.directory.join(&segment_name(segment.first_index));
        write_all(file.as_mut(), &path, bytes)?;
        sync_file(file.as_mut(), &path)?;
        self.marker.write(sync_marker_for(segment));
        bytes.clear();
        Ok(())
    }

    /// Creates a new segment after the last entry and makes it the active one.
    fn start_segment(&mut self) -> Result<(), StorageError> {
        let (last_index, last_term) = self.last;
        let first_index = last_index + 1;
        let name = segment_name(first_index);
        let header = encode_header(first_index, last_term);
        self.directory.replace(&name, &[&header])?;
        self.segments.push(SegmentIndex {
            first_index,
            end_offsets: Vec::new(),
        });
        self.open_active_segment()
    }

    /// Durably discards the entries with the index `first` or above. The sync marker is lowered
    /// before the file is truncated, so that it never exceeds the synced length.
    fn truncate_from(&mut self, first: u64) -> Result<(), StorageError> {
        while let Some(segment) = self.segments.last() {
            if segment.first_index < first || self.segments.len() == 1 {
                break;
            }
            let name = segment_name(segment.first_index);
            self.segments.pop();
            let marker = self.segments.last().map(sync_marker_for);
            if let Some(marker) = marker {
                self.marker.write_synced(&self.directory, marker)?;
            }
            self.active_file = None;
            self.directory.remove(&name)?;
            self.directory.sync()?;
        }
        self.truncate_active_segment(first)
    }

    fn truncate_active_segment(&mut self, first: u64) -> Result<(), StorageError> {
        let Some(segment) = self.segments.last_mut() else {
            return Ok(());
        };
        let kept_entries =
            usize::try_from(first.saturating_sub(segment.first_index)).unwrap_or(usize::MAX);
        segment.end_offsets.truncate(kept_entries);
        let marker = sync_marker_for(segment);
        let name = segment_name(segment.first_index);
        self.marker.write_synced(&self.directory, marker)?;
        let mut file = self.directory.open(&name)?;
        let path = self.directory.join(&name);
        set_length(file.as_mut(), &path, marker.length)?;
        sync_file(file.as_mut(), &path)?;
        self.active_file = Some(file);
        Ok(())
    }

    /// Stores a snapshot that replaces the whole log.
    fn install_snapshot(&mut self, snapshot: &StoredSnapshot) -> Result<(), StorageError> {
        write_snapshot(&self.directory, snapshot)?;
        self.snapshot_index = snapshot.index;
        self.remove_all_segments()?;
        self.last = (snapshot.index, snapshot.term);
        self.remove_obsolete_files()
    }

    /// Removes all segments, the newest one first. Each removal is synced before the next one, so
    /// that a crash leaves no gap in the log.
    fn remove_all_segments(&mut self) -> Result<(), StorageError> {
        self.active_file = None;
        let no_segment = SyncMarker {
            segment: 0,
            length: 0,
        };
        self.marker.write_synced(&self.directory, no_segment)?;
        while let Some(segment) = self.segments.last() {
            let name = segment_name(segment.first_index);
            self.directory.remove(&name)?;
            self.directory.sync()?;
            self.segments.pop();
        }
        Ok(())
    }

    /// Removes the snapshots older than the newest one and the segments that it covers. The active
    /// segment is always kept.
    fn remove_obsolete_files(&mut self) -> Result<(), StorageError> {
        for index in self.directory.list_snapshots()? {
            if index < self.snapshot_index {
                self.directory.remove(&snapshot_name(index))?;
            }
        }
        while self.segments.len() > 1 && self.segments[1].first_index <= self.snapshot_index + 1 {
            let name = segment_name(self.segments[0].first_index);
            self.directory.remove(&name)?;
            self.directory.sync()?;
            self.segments.remove(0);
        }
        Ok(())
    }
}

/// Creates the data directory if it is missing and locks it.
fn lock(directory: &Directory) -> Result<Box<dyn fmt::Debug + Send>, StorageError> {
    let system = &directory.file_system;
    system
        .create_directory(&directory.path)
        .map_err(|error| StorageError::from_io("create", &directory.path, error))?;
    let path = directory.join(LOCK_FILE);
    match system.lock(&path) {
        Ok(lock) => Ok(lock),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
            Err(StorageError::Locked { path })
        }
        Err(error) => Err(StorageError::from_io("lock", &path, error)),
    }
}

/// Reads the hard state, or stores a first one in an empty directory. Returns whether the directory
/// was empty.
fn open_hard_state(
    directory: &Directory,
    new_replica_id: u64,
) -> Result<(HardState, bool), StorageError> {
    if let Some(state) = read_hard_state(directory)? {
        return Ok((state, false));
    }
    let has_data =
        !directory.list_segments()?.is_empty() || !directory.list_snapshots()?.is_empty();
    if has_data {
        let path = directory.join(crate::layout::HARD_STATE_FILE);
        return Err(StorageError::corrupt(&path, 0, "the file is missing"));
    }
    let state = HardState {
        replica_id: new_replica_id,
        term: 0,
        voted_for: None,
    };
    write_hard_state(directory, &state)?;
    sync_parent(directory)?;
    Ok((state, true))
}

/// Syncs the parent of a new data directory, which makes the name of the directory durable.
fn sync_parent(directory: &Directory) -> Result<(), StorageError> {
    let parent = directory.path.parent();
    let Some(parent) = parent.filter(|parent| *parent != Path::new("")) else {
        return Ok(());
    };
    directory
        .file_system
        .sync_directory(parent)
        .map_err(|error| StorageError::from_io("sync", parent, error))
}

/// Whether the log contains the last entry that the snapshot covers, or starts directly after it.
/// An empty log matches every snapshot.
fn log_matches_snapshot(log: &RecoveredLog, (index, term): (u64, u64)) -> bool {
    let Some(first) = log.segments.first().map(|segment| segment.first_index) else {
        return true;
    };
    if first == index + 1 {
        return log.prev_term == term;
    }
    let offset = usize::try_from(index.saturating_sub(first)).unwrap_or(usize::MAX);
    log.entries
        .get(offset)
        .is_some_and(|entry| entry.term == term)
}

/// Offset at which the last record of a segment ends, in bytes.
fn segment_end(segment: &SegmentIndex) -> u64 {
    segment
        .end_offsets
        .last()
        .copied()
        .unwrap_or(HEADER_BYTES as u64)
}

fn sync_marker_for(segment: &SegmentIndex) -> SyncMarker {
    SyncMarker {
        segment: segment.first_index,
        length: segment_end(segment),
    }
}
