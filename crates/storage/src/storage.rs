//! The handle of an open data directory.

use std::fmt;
use std::io;
use std::path::Path;
use std::sync::Arc;

use crate::error::StorageError;
use crate::file_system::{DataFile, FileSystem, LocalFileSystem};
use crate::layout::{
    Directory, LOCK, segment_name, set_length, snapshot_name, sync_file, write_all,
};
use crate::marker::{Marker, MarkerFile};
use crate::record::{MAX_PAYLOAD_BYTES, encode_entry};
use crate::recovery::{RecoveredLog, SegmentIndex, newest_snapshot, recover_log};
use crate::segment::{HEADER_BYTES, encode_header};
use crate::snapshot::{read_hard_state, write_hard_state, write_snapshot};

/// Size above which a new segment is begun, in bytes. At 750 changes a day of a few KiB each
/// (design 1.4) a segment holds about a day.
const SEGMENT_BYTES: u64 = 4 << 20;

/// Term, vote and identity of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HardState {
    /// Identity of the replica; drawn when the directory was created.
    pub replica_id: u64,
    /// Newest term seen.
    pub term: u64,
    /// Replica that got the vote in that term.
    pub voted_for: Option<u64>,
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// Position.
    pub index: u64,
    /// Term of the leader that created it.
    pub term: u64,
    /// Content, at most 1 MiB.
    pub payload: Vec<u8>,
}

/// A snapshot of the application.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredSnapshot {
    /// Index of the last entry that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Content.
    pub data: Vec<u8>,
}

/// Writes that become durable together, in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// Replaces the hard state.
    pub hard_state: Option<HardState>,
    /// Replaces snapshot and log.
    pub install: Option<StoredSnapshot>,
    /// Appended; entries at or behind the first index are discarded before.
    pub entries: Vec<LogEntry>,
}

/// What an opened directory holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovered {
    /// Whether the directory was empty and got its replica id now.
    pub is_new: bool,
    /// Term, vote and identity.
    pub hard_state: HardState,
    /// Newest snapshot.
    pub snapshot: Option<StoredSnapshot>,
    /// Entries behind the snapshot.
    pub entries: Vec<LogEntry>,
    /// Bytes of an interrupted write that were cut off; they were never acknowledged.
    pub cut_bytes: u64,
}

/// How a directory is opened.
#[derive(Debug, Clone)]
pub struct Options {
    /// File operations.
    pub file_system: Arc<dyn FileSystem>,
    /// Size above which a new segment is begun, in bytes.
    pub segment_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            file_system: Arc::new(LocalFileSystem),
            segment_bytes: SEGMENT_BYTES,
        }
    }
}

/// An open data directory; it is locked until the handle is dropped.
#[derive(Debug)]
pub struct Storage {
    directory: Directory,
    segment_bytes: u64,
    marker: MarkerFile,
    segments: Vec<SegmentIndex>,
    newest: Option<Box<dyn DataFile>>,
    /// Index and term of the last entry, or of the snapshot when there is none behind it.
    last: (u64, u64),
    snapshot_index: u64,
    failed: bool,
    _lock: Box<dyn fmt::Debug + Send>,
}

impl Storage {
    /// Opens or creates a data directory. `new_replica_id` is random and is used only when the
    /// directory holds no identity, so that a replica with an empty disk is a new one.
    ///
    /// # Errors
    ///
    /// The directory is in use, cannot be read or written, or is damaged.
    pub fn open(path: &Path, new_replica_id: u64) -> Result<(Self, Recovered), StorageError> {
        Self::open_with(path, new_replica_id, Options::default())
    }

    /// Like [`Storage::open`], with other file operations or segment size.
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
        directory.remove_temporary()?;
        let (hard_state, is_new) = open_hard_state(&directory, new_replica_id)?;
        let snapshot = newest_snapshot(&directory)?;
        let log = recover_log(&directory)?;
        let marker = MarkerFile::open(&directory)?;
        let mut storage = Self {
            directory,
            segment_bytes: options.segment_bytes,
            marker,
            segments: Vec::new(),
            newest: None,
            last: (0, 0),
            snapshot_index: 0,
            failed: false,
            _lock: lock,
        };
        let recovered = storage.adopt(hard_state, is_new, snapshot, log)?;
        Ok((storage, recovered))
    }

    /// Takes over what recovery found.
    fn adopt(
        &mut self,
        hard_state: HardState,
        is_new: bool,
        snapshot: Option<StoredSnapshot>,
        mut log: RecoveredLog,
    ) -> Result<Recovered, StorageError> {
        let base = snapshot
            .as_ref()
            .map_or((0, 0), |old| (old.index, old.term));
        self.snapshot_index = base.0;
        let reaches = log_reaches(&log, base);
        self.segments = std::mem::take(&mut log.segments);
        self.check_no_gap(base.0)?;
        if !reaches {
            // The process stopped while a snapshot from the leader replaced the log.
            self.remove_log()?;
            log.entries.clear();
        }
        self.last = log
            .entries
            .last()
            .map_or(base, |entry| (entry.index, entry.term));
        self.open_newest()?;
        log.entries.retain(|entry| entry.index > base.0);
        self.remove_covered()?;
        Ok(Recovered {
            is_new,
            hard_state,
            snapshot,
            entries: log.entries,
            cut_bytes: log.cut_bytes,
        })
    }

    fn check_no_gap(&self, snapshot_index: u64) -> Result<(), StorageError> {
        let first = self.segments.first().map(|segment| segment.first_index);
        match first {
            Some(first) if first > snapshot_index + 1 => {
                let path = self.directory.join(&segment_name(first));
                let detail = "the entries before this segment are missing";
                Err(StorageError::corrupt(&path, 8, detail))
            }
            _ => Ok(()),
        }
    }

    fn open_newest(&mut self) -> Result<(), StorageError> {
        let Some(segment) = self.segments.last() else {
            return Ok(());
        };
        let name = segment_name(segment.first_index);
        self.newest = Some(self.directory.open(&name)?);
        let marker = marker_of(segment);
        self.marker.write_synced(&self.directory, marker)?;
        self.directory.sync()
    }

    /// Index of the last entry, or of the snapshot when there is none behind it.
    #[must_use]
    pub fn last_index(&self) -> u64 {
        self.last.0
    }

    /// Index of the newest snapshot; 0 when there is none.
    #[must_use]
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot_index
    }

    /// Makes a batch durable.
    ///
    /// # Errors
    ///
    /// The disk is full, read-only or failing: what is durable is unknown, nothing may be
    /// acknowledged, and the handle refuses further writes. Entries that do not continue the log
    /// or are too large are refused before anything is written.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StorageError> {
        self.check_usable()?;
        self.check_batch(batch)?;
        self.guarded(|storage| {
            if let Some(hard_state) = &batch.hard_state {
                write_hard_state(&storage.directory, hard_state)?;
            }
            if let Some(snapshot) = &batch.install {
                storage.install(snapshot)?;
            }
            storage.append(&batch.entries)
        })
    }

    /// Stores the first state of a group, founded or restored from an export.
    ///
    /// # Errors
    ///
    /// The directory already holds log entries or a snapshot, or cannot be written.
    pub fn found(
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
            install: Some(snapshot),
            entries: Vec::new(),
        })
    }

    /// Makes a snapshot of the local state durable, then removes the segments that it covers.
    ///
    /// # Errors
    ///
    /// The snapshot is not newer than the last one or beyond the log, or the disk fails as in
    /// [`Storage::write`].
    pub fn save_snapshot(&mut self, snapshot: &StoredSnapshot) -> Result<(), StorageError> {
        self.check_usable()?;
        if snapshot.index <= self.snapshot_index || snapshot.index > self.last.0 {
            return Err(StorageError::OutOfOrder {
                expected: self.snapshot_index + 1,
                found: snapshot.index,
            });
        }
        self.guarded(|storage| {
            write_snapshot(&storage.directory, snapshot)?;
            storage.snapshot_index = snapshot.index;
            storage.remove_covered()
        })
    }

    fn check_usable(&self) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Failed {
                path: self.directory.path.clone(),
            });
        }
        Ok(())
    }

    /// Carries out a write; the handle stays unusable when it fails.
    fn guarded(
        &mut self,
        write: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        self.failed = true;
        write(self)?;
        self.failed = false;
        Ok(())
    }

    fn check_batch(&self, batch: &Batch) -> Result<(), StorageError> {
        let last = batch.install.as_ref().map_or(self.last.0, |new| new.index);
        let floor = batch
            .install
            .as_ref()
            .map_or(self.snapshot_index, |new| new.index);
        let Some(first) = batch.entries.first() else {
            return Ok(());
        };
        let first_allowed = first.index.clamp(floor + 1, last + 1);
        for (expected, entry) in (first_allowed..).zip(&batch.entries) {
            if entry.index != expected {
                let found = entry.index;
                return Err(StorageError::OutOfOrder { expected, found });
            }
            if entry.payload.len() > MAX_PAYLOAD_BYTES {
                return Err(StorageError::TooLarge {
                    index: entry.index,
                    bytes: entry.payload.len(),
                    limit: MAX_PAYLOAD_BYTES,
                });
            }
        }
        Ok(())
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StorageError> {
        let Some(first) = entries.first() else {
            return Ok(());
        };
        if first.index <= self.last.0 {
            self.truncate_from(first.index)?;
        }
        let mut bytes = Vec::new();
        for entry in entries {
            let is_full = self.newest_length() > self.segment_bytes;
            if self.newest.is_none() || is_full {
                self.flush(&mut bytes)?;
                self.begin_segment()?;
            }
            let before = bytes.len();
            encode_entry(entry, &mut bytes);
            self.note_entry(entry, (bytes.len() - before) as u64);
        }
        self.flush(&mut bytes)
    }

    /// Length of the newest segment with what is collected for it, in bytes.
    fn newest_length(&self) -> u64 {
        self.segments.last().map_or(0, end_of)
    }

    fn note_entry(&mut self, entry: &LogEntry, size: u64) {
        self.last = (entry.index, entry.term);
        if let Some(segment) = self.segments.last_mut() {
            let end = end_of(segment) + size;
            segment.ends.push(end);
        }
    }

    /// Writes and syncs what was collected for the newest segment.
    fn flush(&mut self, bytes: &mut Vec<u8>) -> Result<(), StorageError> {
        let (Some(segment), Some(file)) = (self.segments.last(), &mut self.newest) else {
            return Ok(());
        };
        if bytes.is_empty() {
            return Ok(());
        }
        let path = self.directory.join(&segment_name(segment.first_index));
        write_all(file.as_mut(), &path, bytes)?;
        sync_file(file.as_mut(), &path)?;
        self.marker.write(marker_of(segment));
        bytes.clear();
        Ok(())
    }

    fn begin_segment(&mut self) -> Result<(), StorageError> {
        let (last_index, last_term) = self.last;
        let first_index = last_index + 1;
        let name = segment_name(first_index);
        let header = encode_header(first_index, last_term);
        self.directory.replace(&name, &[&header])?;
        self.segments.push(SegmentIndex {
            first_index,
            ends: Vec::new(),
        });
        self.open_newest()
    }

    /// Discards the entries from `first` on, durably. The marker is lowered before the file is
    /// cut, so that it never names more than what is durable.
    fn truncate_from(&mut self, first: u64) -> Result<(), StorageError> {
        while let Some(segment) = self.segments.last() {
            if segment.first_index < first || self.segments.len() == 1 {
                break;
            }
            let name = segment_name(segment.first_index);
            self.segments.pop();
            let marker = self.segments.last().map(marker_of);
            if let Some(marker) = marker {
                self.marker.write_synced(&self.directory, marker)?;
            }
            self.newest = None;
            self.directory.remove(&name)?;
            self.directory.sync()?;
        }
        self.cut_newest(first)
    }

    fn cut_newest(&mut self, first: u64) -> Result<(), StorageError> {
        let Some(segment) = self.segments.last_mut() else {
            return Ok(());
        };
        let keep = usize::try_from(first.saturating_sub(segment.first_index)).unwrap_or(usize::MAX);
        segment.ends.truncate(keep);
        let marker = marker_of(segment);
        let name = segment_name(segment.first_index);
        self.marker.write_synced(&self.directory, marker)?;
        let mut file = self.directory.open(&name)?;
        let path = self.directory.join(&name);
        set_length(file.as_mut(), &path, marker.length)?;
        sync_file(file.as_mut(), &path)?;
        self.newest = Some(file);
        Ok(())
    }

    fn install(&mut self, snapshot: &StoredSnapshot) -> Result<(), StorageError> {
        write_snapshot(&self.directory, snapshot)?;
        self.snapshot_index = snapshot.index;
        self.remove_log()?;
        self.last = (snapshot.index, snapshot.term);
        self.remove_covered()
    }

    /// Removes every segment, the newest one first. Each removal is durable before the next, so
    /// that a crash leaves no gap.
    fn remove_log(&mut self) -> Result<(), StorageError> {
        self.newest = None;
        let none = Marker {
            segment: 0,
            length: 0,
        };
        self.marker.write_synced(&self.directory, none)?;
        while let Some(segment) = self.segments.last() {
            let name = segment_name(segment.first_index);
            self.directory.remove(&name)?;
            self.directory.sync()?;
            self.segments.pop();
        }
        Ok(())
    }

    /// Removes older snapshots and the segments whose entries the snapshot covers.
    fn remove_covered(&mut self) -> Result<(), StorageError> {
        for index in self.directory.snapshots()? {
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

fn lock(directory: &Directory) -> Result<Box<dyn fmt::Debug + Send>, StorageError> {
    let system = &directory.file_system;
    system
        .create_directory(&directory.path)
        .map_err(|error| StorageError::io("create", &directory.path, error))?;
    let path = directory.join(LOCK);
    match system.lock(&path) {
        Ok(lock) => Ok(lock),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
            Err(StorageError::Locked { path })
        }
        Err(error) => Err(StorageError::io("lock", &path, error)),
    }
}

/// Reads the hard state, or stores the identity of a new directory.
fn open_hard_state(
    directory: &Directory,
    new_replica_id: u64,
) -> Result<(HardState, bool), StorageError> {
    if let Some(state) = read_hard_state(directory)? {
        return Ok((state, false));
    }
    let has_data = !directory.segments()?.is_empty() || !directory.snapshots()?.is_empty();
    if has_data {
        let path = directory.join(crate::layout::HARD_STATE);
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

/// Makes the name of a new data directory durable.
fn sync_parent(directory: &Directory) -> Result<(), StorageError> {
    let parent = directory.path.parent();
    let Some(parent) = parent.filter(|parent| *parent != Path::new("")) else {
        return Ok(());
    };
    directory
        .file_system
        .sync_directory(parent)
        .map_err(|error| StorageError::io("sync", parent, error))
}

/// Whether the log holds the entry that the snapshot ends with, or begins right behind it.
fn log_reaches(log: &RecoveredLog, (index, term): (u64, u64)) -> bool {
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

fn end_of(segment: &SegmentIndex) -> u64 {
    segment.ends.last().copied().unwrap_or(HEADER_BYTES as u64)
}

fn marker_of(segment: &SegmentIndex) -> Marker {
    Marker {
        segment: segment.first_index,
        length: end_of(segment),
    }
}
