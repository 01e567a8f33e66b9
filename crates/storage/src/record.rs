//! Checksummed encoding of log records, file headers and small files.

use crate::storage::LogEntry;

/// Largest payload of a log entry, in bytes. The consensus layer limits the data of an entry to
/// 1,020 KiB, which leaves 4 KiB for its encoding.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 1 << 20;

/// Size of the prefix of a record, in bytes: length and checksum.
const RECORD_PREFIX_BYTES: usize = 8;

/// Size of the fields between the prefix and the payload, in bytes: index and term.
const ENTRY_HEADER_BYTES: usize = 16;

/// Appends the record of a log entry to `out`: length of the bytes after the prefix, checksum,
/// index, term, payload. The checksum covers everything except itself.
pub(crate) fn encode_entry(entry: &LogEntry, out: &mut Vec<u8>) {
    let length = ENTRY_HEADER_BYTES + entry.payload.len();
    let length = u32::try_from(length).expect("the payload size was checked");
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&length.to_le_bytes());
    checksum.update(&entry.index.to_le_bytes());
    checksum.update(&entry.term.to_le_bytes());
    checksum.update(&entry.payload);
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&checksum.finalize().to_le_bytes());
    out.extend_from_slice(&entry.index.to_le_bytes());
    out.extend_from_slice(&entry.term.to_le_bytes());
    out.extend_from_slice(&entry.payload);
}

/// Decodes the record at the start of `bytes` and returns the entry with the size of the record in
/// bytes; `None` when the record is incomplete or does not match its checksum.
pub(crate) fn decode_entry(bytes: &[u8]) -> Option<(LogEntry, usize)> {
    let length = u32_at(bytes, 0)?;
    let checksum = u32_at(bytes, 4)?;
    let size = usize::try_from(length).ok()?;
    if !(ENTRY_HEADER_BYTES..=ENTRY_HEADER_BYTES + MAX_PAYLOAD_BYTES).contains(&size) {
        return None;
    }
    let body = bytes.get(RECORD_PREFIX_BYTES..RECORD_PREFIX_BYTES + size)?;
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(body);
    if hasher.finalize() != checksum {
        return None;
    }
    let entry = LogEntry {
        index: u64_at(body, 0)?,
        term: u64_at(body, 8)?,
        payload: body[ENTRY_HEADER_BYTES..].to_vec(),
    };
    Some((entry, RECORD_PREFIX_BYTES + size))
}

/// Encodes a magic number and integer fields, followed by their checksum.
pub(crate) fn encode_fields(magic: [u8; 8], fields: &[u64]) -> Vec<u8> {
    let mut bytes = magic.to_vec();
    for field in fields {
        bytes.extend_from_slice(&field.to_le_bytes());
    }
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Size of the output of [`encode_fields`] for `count` fields, in bytes.
pub(crate) const fn encoded_fields_bytes(count: usize) -> usize {
    8 + 8 * count + 4
}

/// Decodes the output of [`encode_fields`] at the start of `bytes`; `None` when it is incomplete,
/// has a different magic number or does not match its checksum.
pub(crate) fn decode_fields<const N: usize>(magic: [u8; 8], bytes: &[u8]) -> Option<[u64; N]> {
    let checked = bytes.get(..8 + 8 * N)?;
    let checksum = u32_at(bytes, 8 + 8 * N)?;
    if !checked.starts_with(&magic) || crc32fast::hash(checked) != checksum {
        return None;
    }
    let mut fields = [0; N];
    for (position, field) in fields.iter_mut().enumerate() {
        *field = u64_at(checked, 8 + 8 * position)?;
    }
    Some(fields)
}

fn u32_at(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + 4)?.try_into().ok()?;
    Some(u32::from_le_bytes(field))
}

fn u64_at(bytes: &[u8], offset: usize) -> Option<u64> {
    let field = bytes.get(offset..offset + 8)?.try_into().ok()?;
    Some(u64::from_le_bytes(field))
}
