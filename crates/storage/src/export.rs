//! Export of the application state to one portable file, and its check on restore.

use std::path::Path;
use std::sync::Arc;

use crate::error::StorageError;
use crate::file_system::FileSystem;
use crate::layout::Directory;
use crate::record::{decode_numbers, encode_numbers, numbers_bytes};

const MAGIC: [u8; 8] = *b"RPEXPT01";
const HEADER_BYTES: usize = numbers_bytes(3);

/// State of the application at one position. It carries no identity, term or vote, so a restore
/// always makes a new group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Export {
    /// Index of the log up to which the state is applied.
    pub index: u64,
    /// State of the application.
    pub data: Vec<u8>,
}

impl Export {
    /// Writes the export durably; an existing file is replaced only when the new one is complete.
    ///
    /// # Errors
    ///
    /// The file cannot be written or synced.
    pub fn write(&self, system: Arc<dyn FileSystem>, path: &Path) -> Result<(), StorageError> {
        let numbers = [
            self.index,
            self.data.len() as u64,
            u64::from(crc32fast::hash(&self.data)),
        ];
        let header = encode_numbers(MAGIC, &numbers);
        let (directory, name) = locate(system, path)?;
        directory.replace(&name, &[&header, &self.data])
    }

    /// Reads and checks an export.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or does not hold what was exported.
    pub fn read(system: Arc<dyn FileSystem>, path: &Path) -> Result<Self, StorageError> {
        let (directory, name) = locate(system, path)?;
        let corrupt = |offset: usize, detail| StorageError::corrupt(path, offset as u64, detail);
        let mut bytes = directory
            .read(&name)?
            .ok_or_else(|| corrupt(0, "the file is missing"))?;
        let [index, length, checksum] = decode_numbers::<3>(MAGIC, &bytes)
            .ok_or_else(|| corrupt(0, "it is no export, or its header is damaged"))?;
        let data = bytes.split_off(HEADER_BYTES);
        if data.len() as u64 != length {
            return Err(corrupt(bytes.len(), "the file has another length"));
        }
        if u64::from(crc32fast::hash(&data)) != checksum {
            return Err(corrupt(
                HEADER_BYTES,
                "the content does not match its checksum",
            ));
        }
        Ok(Self { index, data })
    }
}

fn locate(system: Arc<dyn FileSystem>, path: &Path) -> Result<(Directory, String), StorageError> {
    let name = path.file_name().and_then(|name| name.to_str());
    let name = name.ok_or_else(|| {
        let error = std::io::ErrorKind::InvalidInput.into();
        StorageError::io("open", path, error)
    })?;
    let parent = path.parent().filter(|parent| *parent != Path::new(""));
    let directory = Directory {
        file_system: system,
        path: parent.unwrap_or(Path::new(".")).to_owned(),
    };
    Ok((directory, name.to_owned()))
}
