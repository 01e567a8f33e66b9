//! Checksummed encoding of records, headers and small files.

use crate::storage::LogEntry;

/// Largest payload of an entry, in bytes. Four times what consensus puts into one entry.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 1 << 20;

/// Length and checksum in front of each record, in bytes.
const PREFIX_BYTES: usize = 8;

/// Index and term in front of the payload, in bytes.
const FIXED_BYTES: usize = 16;

/// Appends the record of an entry: length and checksum of the rest, index, term, payload.
pub(crate) fn encode_entry(entry: &LogEntry, out: &mut Vec<u8>) {
    let length = FIXED_BYTES + entry.payload.len();
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

/// Reads the record at the start of `bytes` and returns it with its size in bytes; `None` when it
/// is incomplete or does not match its checksum.
pub(crate) fn decode_entry(bytes: &[u8]) -> Option<(LogEntry, usize)> {
    let length = u32_at(bytes, 0)?;
    let checksum = u32_at(bytes, 4)?;
    let size = usize::try_from(length).ok()?;
    if !(FIXED_BYTES..=FIXED_BYTES + MAX_PAYLOAD_BYTES).contains(&size) {
        return None;
    }
    let body = bytes.get(PREFIX_BYTES..PREFIX_BYTES + size)?;
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(body);
    if hasher.finalize() != checksum {
        return None;
    }
    let entry = LogEntry {
        index: u64_at(body, 0)?,
        term: u64_at(body, 8)?,
        payload: body[FIXED_BYTES..].to_vec(),
    };
    Some((entry, PREFIX_BYTES + size))
}

/// Magic and numbers with a checksum behind them.
pub(crate) fn encode_numbers(magic: [u8; 8], numbers: &[u64]) -> Vec<u8> {
    let mut bytes = magic.to_vec();
    for number in numbers {
        bytes.extend_from_slice(&number.to_le_bytes());
    }
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Size in bytes of what [`encode_numbers`] writes.
pub(crate) const fn numbers_bytes(count: usize) -> usize {
    8 + 8 * count + 4
}

/// Reads what [`encode_numbers`] wrote at the start of `bytes`.
pub(crate) fn decode_numbers<const N: usize>(magic: [u8; 8], bytes: &[u8]) -> Option<[u64; N]> {
    let checked = bytes.get(..8 + 8 * N)?;
    let checksum = u32_at(bytes, 8 + 8 * N)?;
    if !checked.starts_with(&magic) || crc32fast::hash(checked) != checksum {
        return None;
    }
    let mut numbers = [0; N];
    for (position, number) in numbers.iter_mut().enumerate() {
        *number = u64_at(checked, 8 + 8 * position)?;
    }
    Some(numbers)
}

fn u32_at(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset + 4)?.try_into().ok()?;
    Some(u32::from_le_bytes(field))
}

fn u64_at(bytes: &[u8], offset: usize) -> Option<u64> {
    let field = bytes.get(offset..offset + 8)?.try_into().ok()?;
    Some(u64::from_le_bytes(field))
}
