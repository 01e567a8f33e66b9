//! Reads and writes snapshot files and the hard state file.

use crate::error::StorageError;
use crate::layout::{Directory, HARD_STATE_FILE, snapshot_name};
use crate::record::{decode_fields, encode_fields, encoded_fields_bytes};
use crate::storage::{HardState, StoredSnapshot};

const SNAPSHOT_MAGIC: [u8; 8] = *b"RPSNAP01";
const HARD_STATE_MAGIC: [u8; 8] = *b"RPHARD01";
const SNAPSHOT_HEADER_BYTES: usize = encoded_fields_bytes(4);

pub(crate) fn write_snapshot(
    directory: &Directory,
    snapshot: &StoredSnapshot,
) -> Result<(), StorageError> {
    let fields = [
        snapshot.index,
        snapshot.term,
        snapshot.data.len() as u64,
        u64::from(crc32fast::hash(&snapshot.data)),
    ];
    let header = encode_fields(SNAPSHOT_MAGIC, &fields);
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
    let [found_index, term, length, checksum] = decode_fields::<4>(SNAPSHOT_MAGIC, &bytes)
        .ok_or_else(|| corrupt(0, "the header does not match its checksum"))?;
    if found_index != index {
        return Err(corrupt(
            8,
            "the index in the header differs from the index in the file name",
        ));
    }
    let data = bytes.split_off(SNAPSHOT_HEADER_BYTES);
    if data.len() as u64 != length {
        return Err(corrupt(
            bytes.len(),
            "the length of the data differs from the length in the header",
        ));
    }
    if u64::from(crc32fast::hash(&data)) != checksum {
        return Err(corrupt(
            SNAPSHOT_HEADER_BYTES,
            "the data does not match its checksum",
        ));
    }
    Ok(StoredSnapshot { index, term, data })
}

pub(crate) fn write_hard_state(
    directory: &Directory,
    state: &HardState,
) -> Result<(), StorageError> {
    let fields = [
        state.replica_id,
        state.term,
        u64::from(state.voted_for.is_some()),
        state.voted_for.unwrap_or(0),
    ];
    let bytes = encode_fields(HARD_STATE_MAGIC, &fields);
    directory.replace(HARD_STATE_FILE, &[&bytes])
}

pub(crate) fn read_hard_state(directory: &Directory) -> Result<Option<HardState>, StorageError> {
    let Some(bytes) = directory.read(HARD_STATE_FILE)? else {
        return Ok(None);
    };
    let path = directory.join(HARD_STATE_FILE);
    let checksum_error =
        || StorageError::corrupt(&path, 0, "the hard state does not match its checksum");
    if bytes.len() != encoded_fields_bytes(4) {
        return Err(checksum_error());
    }
    let [replica_id, term, has_vote, vote] =
        decode_fields::<4>(HARD_STATE_MAGIC, &bytes).ok_or_else(checksum_error)?;
    Ok(Some(HardState {
        replica_id,
        term,
        voted_for: (has_vote == 1).then_some(vote),
    }))
}
