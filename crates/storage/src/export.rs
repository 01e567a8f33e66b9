//! Writes the application state to a portable export file, and reads and verifies it for a restore.

use std::path::Path;
use std::sync::Arc;

use crate::error::StorageError;
use crate::file_system::FileSystem;
use crate::layout::Directory;
use crate::record::{decode_fields, encode_fields, encoded_fields_bytes};

const MAGIC: [u8; 8] = *b"RPEXPT01";
const HEADER_BYTES: usize = encoded_fields_bytes(3);

/// Application state at one log index. An export contains no replica id, term or vote, so a restore
/// always creates a new group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Export {
    /// Index of the last log entry that is applied to the state.
    pub index: u64,
    /// Encoded application state.
    pub data: Vec<u8>,
}

impl Export {
    /// Writes and syncs the export. An existing file is replaced atomically, after the new content
    /// is complete.
    ///
    /// # Errors
    ///
    /// The file cannot be written or synced.
    pub fn write(&self, system: Arc<dyn FileSystem>, path: &Path) -> Result<(), StorageError> {
        let fields = [
            self.index,
            self.data.len() as u64,
            u64::from(crc32fast::hash(&self.data)),
        ];
        let header = encode_fields(MAGIC, &fields);
        let (directory, name) = split_path(system, path)?;
        directory.replace(&name, &[&header, &self.data])
    }

    /// Reads an export and verifies its checksums.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is not an export or is damaged.
    pub fn read(system: Arc<dyn FileSystem>, path: &Path) -> Result<Self, StorageError> {
        let (directory, name) = split_path(system, path)?;
        let corrupt = |offset: usize, detail| StorageError::corrupt(path, offset as u64, detail);
        let mut bytes = directory
            .read(&name)?
            .ok_or_else(|| corrupt(0, "the file is missing"))?;
        let [index, length, checksum] = decode_fields::<3>(MAGIC, &bytes)
            .ok_or_else(|| corrupt(0, "not an export file, or its header is damaged"))?;
        let data = bytes.split_off(HEADER_BYTES);
        if data.len() as u64 != length {
            return Err(corrupt(
                bytes.len(),
                "the length of the data differs from the length in the header",
            ));
        }
        if u64::from(crc32fast::hash(&data)) != checksum {
            return Err(corrupt(
                HEADER_BYTES,
                "the data does not match its checksum",
            ));
        }
        Ok(Self { index, data })
    }
}

/// Splits a path into its directory and file name.
fn split_path(
    system: Arc<dyn FileSystem>,
    path: &Path,
) -> Result<(Directory, String), StorageError> {
    let name = path.file_name().and_then(|name| name.to_str());
    let name = name.ok_or_else(|| {
        let error = std::io::ErrorKind::InvalidInput.into();
        StorageError::from_io("open", path, error)
    })?;
    let parent = path.parent().filter(|parent| *parent != Path::new(""));
    let directory = Directory {
        file_system: system,
        path: parent.unwrap_or(Path::new(".")).to_owned(),
    };
    Ok((directory, name.to_owned()))
}
