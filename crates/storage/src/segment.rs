//! One file of the log.

use crate::error::StorageError;
use crate::layout::{Directory, segment_name};
use crate::record::{decode_entry, decode_numbers, encode_numbers, numbers_bytes};
use crate::storage::LogEntry;

const MAGIC: [u8; 8] = *b"RPLOG001";

/// Size of the header of a segment, in bytes.
pub(crate) const HEADER_BYTES: usize = numbers_bytes(2);

/// Header of the segment that begins behind an entry with term `prev_term`.
pub(crate) fn encode_header(first_index: u64, prev_term: u64) -> Vec<u8> {
    encode_numbers(MAGIC, &[first_index, prev_term])
}

/// Content of a segment.
#[derive(Debug)]
pub(crate) struct SegmentContent {
    /// Term of the entry before the first one.
    pub(crate) prev_term: u64,
    /// Entries with the offset behind each, in bytes.
    pub(crate) entries: Vec<(LogEntry, u64)>,
    /// Length of header and intact records, in bytes.
    pub(crate) length: u64,
    /// Length of the file, in bytes.
    pub(crate) file_length: u64,
    /// Whether intact records follow the first damaged one.
    pub(crate) intact_behind: bool,
}

impl SegmentContent {
    pub(crate) fn is_whole(&self) -> bool {
        self.length == self.file_length
    }
}

/// Reads a segment up to the first record that is not intact.
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
    let [found_index, prev_term] = decode_numbers::<2>(MAGIC, &bytes)
        .ok_or_else(|| corrupt(0, "the header does not match its checksum"))?;
    if found_index != first_index {
        return Err(corrupt(8, "the header names another index than the file"));
    }
    let mut content = SegmentContent {
        prev_term,
        entries: Vec::new(),
        length: HEADER_BYTES as u64,
        file_length: bytes.len() as u64,
        intact_behind: false,
    };
    let mut offset = HEADER_BYTES;
    let mut last_term = prev_term;
    while let Some((entry, size)) = decode_entry(&bytes[offset..]) {
        let expected = first_index + content.entries.len() as u64;
        if entry.index != expected || entry.term < last_term {
            return Err(corrupt(offset, "the record is out of order"));
        }
        last_term = entry.term;
        offset += size;
        content.entries.push((entry, offset as u64));
    }
    content.length = offset as u64;
    let next_index = first_index + content.entries.len() as u64;
    content.intact_behind = has_intact_record(&bytes, offset + 1, next_index);
    Ok(content)
}

/// Whether any record at or behind `offset` is intact and later than `next_index`.
fn has_intact_record(bytes: &[u8], offset: usize, next_index: u64) -> bool {
    let starts = offset.min(bytes.len())..bytes.len();
    starts
        .filter_map(|start| decode_entry(&bytes[start..]))
        .any(|(entry, _)| entry.index > next_index)
}
