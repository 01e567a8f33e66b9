//! Snapshot files and the hard state file.

use crate::error::StorageError;
use crate::layout::{Directory, HARD_STATE, snapshot_name};
use crate::record::{decode_numbers, encode_numbers, numbers_bytes};
use crate::storage::{HardState, StoredSnapshot};

const SNAPSHOT_MAGIC: [u8; 8] = *b"RPSNAP01";
const HARD_STATE_MAGIC: [u8; 8] = *b"RPHARD01";
const SNAPSHOT_HEADER_BYTES: usize = numbers_bytes(4);

pub(crate) fn write_snapshot(
    directory: &Directory,
    snapshot: &StoredSnapshot,
) -> Result<(), StorageError> {
    let numbers = [
        snapshot.index,
        snapshot.term,
        snapshot.data.len() as u64,
        u64::from(crc32fast::hash(&snapshot.data)),
    ];
    let header = encode_numbers(SNAPSHOT_MAGIC, &numbers);
    directory.replace(&snapshot_name(snapshot.index), &[&header, &snapshot.data])
}

pub(crate) fn read_snapshot(
    directory: &Directory,
    index: u64,
) -> Result<StoredSnapshot, StorageError> {
    let name = snapshot_name(index);
    let path = directory.join(&name);
    let corrupt = |offset: usize, detail| StorageError::corrupt(&path, offset as u64, detail);
    let mut bytes = directory
        .read(&name)?
        .ok_or_else(|| corrupt(0, "the file is missing"))?;
    let [found_index, term, length, checksum] = decode_numbers::<4>(SNAPSHOT_MAGIC, &bytes)
        .ok_or_else(|| corrupt(0, "the header does not match its checksum"))?;
    if found_index != index {
        return Err(corrupt(8, "the header names another index than the file"));
    }
    let data = bytes.split_off(SNAPSHOT_HEADER_BYTES);
    if data.len() as u64 != length {
        return Err(corrupt(bytes.len(), "the file has another length"));
    }
    if u64::from(crc32fast::hash(&data)) != checksum {
        return Err(corrupt(
            SNAPSHOT_HEADER_BYTES,
            "the content does not match its checksum",
        ));
    }
    Ok(StoredSnapshot { index, term, data })
}

pub(crate) fn write_hard_state(
    directory: &Directory,
    state: &HardState,
) -> Result<(), StorageError> {
    let numbers = [
        state.replica_id,
        state.term,
        u64::from(state.voted_for.is_some()),
        state.voted_for.unwrap_or(0),
    ];
    let bytes = encode_numbers(HARD_STATE_MAGIC, &numbers);
    directory.replace(HARD_STATE, &[&bytes])
}

pub(crate) fn read_hard_state(directory: &Directory) -> Result<Option<HardState>, StorageError> {
    let Some(bytes) = directory.read(HARD_STATE)? else {
        return Ok(None);
    };
    let path = directory.join(HARD_STATE);
    let damaged = || StorageError::corrupt(&path, 0, "the hard state does not match its checksum");
    if bytes.len() != numbers_bytes(4) {
        return Err(damaged());
    }
    let [replica_id, term, voted, vote] =
        decode_numbers::<4>(HARD_STATE_MAGIC, &bytes).ok_or_else(damaged)?;
    Ok(Some(HardState {
        replica_id,
        term,
        voted_for: (voted == 1).then_some(vote),
    }))
}
