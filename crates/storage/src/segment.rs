//! Reads log segments, the files that hold the entries of the log.

use crate::error::StorageError;
use crate::layout::{Directory, segment_name};
use crate::record::{decode_entry, decode_fields, encode_fields, encoded_fields_bytes};
use crate::storage::LogEntry;

const MAGIC: [u8; 8] = *b"RPLOG001";

/// Size of the header of a segment file, in bytes.
pub(crate) const HEADER_BYTES: usize = encoded_fields_bytes(2);

/// Encodes the header of a segment. `prev_term` is the term of the entry before `first_index`.
pub(crate) fn encode_header(first_index: u64, prev_term: u64) -> Vec<u8> {
    encode_fields(MAGIC, &[first_index, prev_term])
}

/// Content of a segment up to its first damaged record.
#[derive(Debug)]
pub(crate) struct SegmentContent {
    /// Term of the entry before the first one.
    pub(crate) prev_term: u64,
    /// Entries, each with the offset at which its record ends, in bytes.
    pub(crate) entries: Vec<(LogEntry, u64)>,
    /// Length of the header and the intact records, in bytes.
    pub(crate) intact_bytes: u64,
    /// Length of the file, in bytes.
    pub(crate) file_bytes: u64,
    /// Whether any intact record follows the first damaged one.
    pub(crate) intact_record_after_damage: bool,
}

impl SegmentContent {
    pub(crate) fn is_intact(&self) -> bool {
        self.intact_bytes == self.file_bytes
    }
}

/// Reads a segment up to its first record that is incomplete or does not match its checksum.
pub(crate) fn read_segment(
    directory: &Directory,
    first_index: u64,
) -> Result<SegmentContent, StorageError> {
    let name = segment_name(first_index);
    let path = directory.join(&name);
    let corrupt = |offset: usize, detail| StorageError::corrupt(&path, offset as u64, detail);
    let bytes = directory
        .read(&name)?
        .ok_or_else(|| corrupt(0, "the file is missing"))?;
    let [found_index, prev_term] = decode_fields::<2>(MAGIC, &bytes)
        .ok_or_else(|| corrupt(0, "the header does not match its checksum"))?;
    if found_index != first_index {
        return Err(corrupt(
            8,
            "the index in the header differs from the index in the file name",
        ));
    }
    let mut content = SegmentContent {
        prev_term,
        entries: Vec::new(),
        intact_bytes: HEADER_BYTES as u64,
        file_bytes: bytes.len() as u64,
        intact_record_after_damage: false,
    };
    let mut offset = HEADER_BYTES;
    let mut last_term = prev_term;
    while let Some((entry, size)) = decode_entry(&bytes[offset..]) {
        let expected = first_index + content.entries.len() as u64;
        if entry.index != expected || entry.term < last_term {
            return Err(corrupt(
                offset,
                "the index or term of the record is out of order",
            ));
        }
        last_term = entry.term;
        offset += size;
        content.entries.push((entry, offset as u64));
    }
    content.intact_bytes = offset as u64;
    let next_index = first_index + content.entries.len() as u64;
    content.intact_record_after_damage = has_intact_record(&bytes, offset + 1, next_index);
    Ok(content)
}

/// Whether an intact record with an index above `next_index` starts at `offset` or later.
/// `next_index` is the index of the damaged record.
fn has_intact_record(bytes: &[u8], offset: usize, next_index: u64) -> bool {
    let starts = offset.min(bytes.len())..bytes.len();
    starts
        .filter_map(|start| decode_entry(&bytes[start..]))
        .any(|(entry, _)| entry.index > next_index)
}
