//! How much of the newest segment is known to be durable.
//!
//! The marker is written after each successful sync of the log and not synced itself. It can lag
//! behind, but it never names more than what was synced. Damage below it is damage of synced data
//! and refused; what follows it may be a torn write.

use crate::error::StorageError;
use crate::file_system::DataFile;
use crate::layout::{Directory, MARKER};
use crate::record::{decode_numbers, encode_numbers};

const MAGIC: [u8; 8] = *b"RPMARK01";

/// Durable length of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Marker {
    /// First index of the segment.
    pub(crate) segment: u64,
    /// Durable length of the segment, in bytes.
    pub(crate) length: u64,
}

#[derive(Debug)]
pub(crate) struct MarkerFile(Box<dyn DataFile>);

impl MarkerFile {
    pub(crate) fn open(directory: &Directory) -> Result<Self, StorageError> {
        Ok(Self(directory.open(MARKER)?))
    }

    /// Writes the marker without a sync. A failure only leaves an older or invalid marker, which
    /// recovery handles, so it is not reported.
    pub(crate) fn write(&mut self, marker: Marker) {
        let bytes = encode_numbers(MAGIC, &[marker.segment, marker.length]);
        let _ = self.0.write_at(0, &bytes);
    }

    /// Writes the marker durably.
    pub(crate) fn write_synced(
        &mut self,
        directory: &Directory,
        marker: Marker,
    ) -> Result<(), StorageError> {
        let path = directory.join(MARKER);
        let bytes = encode_numbers(MAGIC, &[marker.segment, marker.length]);
        let written = self
            .0
            .write_at(0, &bytes)
            .map_err(|error| StorageError::io("write", &path, error))?;
        if written != bytes.len() {
            let error = std::io::ErrorKind::WriteZero.into();
            return Err(StorageError::io("write", &path, error));
        }
        crate::layout::sync_file(self.0.as_mut(), &path)
    }
}

/// Reads the marker; `None` when there is none or it was torn.
pub(crate) fn read_marker(directory: &Directory) -> Result<Option<Marker>, StorageError> {
    let Some(bytes) = directory.read(MARKER)? else {
        return Ok(None);
    };
    let numbers = decode_numbers::<2>(MAGIC, &bytes);
    Ok(numbers.map(|[segment, length]| Marker { segment, length }))
}
