//! Sync marker: the length up to which the newest log segment is known to be synced.
//!
//! The marker is written after each successful sync of the log. This write is not synced, so the
//! marker may be out of date, but it never exceeds the synced length. A damaged record before the
//! marked length is corruption of synced data, and recovery fails. A damaged record after it may be
//! a torn write, which recovery truncates.

use crate::error::StorageError;
use crate::file_system::DataFile;
use crate::layout::{Directory, SYNC_MARKER_FILE};
use crate::record::{decode_fields, encode_fields};

const MAGIC: [u8; 8] = *b"RPMARK01";

/// Synced length of a log segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SyncMarker {
    /// First index of the segment; 0 when the log has no segment.
    pub(crate) segment: u64,
    /// Synced length of the segment, in bytes.
    pub(crate) length: u64,
}

/// The open file of the sync marker.
#[derive(Debug)]
pub(crate) struct SyncMarkerFile(Box<dyn DataFile>);

impl SyncMarkerFile {
    pub(crate) fn open(directory: &Directory) -> Result<Self, StorageError> {
        Ok(Self(directory.open(SYNC_MARKER_FILE)?))
    }

    /// Writes the marker without a sync. A failed write leaves an older or invalid marker, which
    /// recovery tolerates, so the error is ignored.
    pub(crate) fn write(&mut self, marker: SyncMarker) {
        let bytes = encode_fields(MAGIC, &[marker.segment, marker.length]);
        let _ = self.0.write_at(0, &bytes);
    }

    /// Writes and syncs the marker.
    pub(crate) fn write_synced(
        &mut self,
        directory: &Directory,
        marker: SyncMarker,
    ) -> Result<(), StorageError> {
        let path = directory.join(SYNC_MARKER_FILE);
        let bytes = encode_fields(MAGIC, &[marker.segment, marker.length]);
        let written = self
            .0
            .write_at(0, &bytes)
            .map_err(|error| StorageError::from_io("write", &path, error))?;
        if written != bytes.len() {
            let error = std::io::ErrorKind::WriteZero.into();
            return Err(StorageError::from_io("write", &path, error));
        }
        crate::layout::sync_file(self.0.as_mut(), &path)
    }
}

/// Reads the marker; `None` when it is missing or does not match its checksum.
pub(crate) fn read_sync_marker(directory: &Directory) -> Result<Option<SyncMarker>, StorageError> {
    let Some(bytes) = directory.read(SYNC_MARKER_FILE)? else {
        return Ok(None);
    };
    let fields = decode_fields::<2>(MAGIC, &bytes);
    Ok(fields.map(|[segment, length]| SyncMarker { segment, length }))
}
