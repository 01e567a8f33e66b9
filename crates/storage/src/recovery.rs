//! Recovery of the log and the newest snapshot when a data directory is opened.

use crate::error::StorageError;
use crate::layout::{Directory, segment_name};
use crate::segment::{SegmentContent, encode_header, read_segment};
use crate::snapshot::read_snapshot;
use crate::storage::{LogEntry, StoredSnapshot};
use crate::sync_marker::{SyncMarker, read_sync_marker};

/// Index range and record offsets of one log segment.
#[derive(Debug, Clone)]
pub(crate) struct SegmentIndex {
    /// Index of the first entry.
    pub(crate) first_index: u64,
    /// For each entry, the offset at which its record ends, in bytes.
    pub(crate) end_offsets: Vec<u64>,
}

/// The log as read from the disk.
#[derive(Debug, Default)]
pub(crate) struct RecoveredLog {
    pub(crate) segments: Vec<SegmentIndex>,
    pub(crate) entries: Vec<LogEntry>,
    /// Term of the entry before the first segment.
    pub(crate) prev_term: u64,
    /// Bytes of a torn write that were truncated.
    pub(crate) truncated_bytes: u64,
}

pub(crate) fn read_newest_snapshot(
    directory: &Directory,
) -> Result<Option<StoredSnapshot>, StorageError> {
    let newest = directory.list_snapshots()?.last().copied();
    newest
        .map(|index| read_snapshot(directory, index))
        .transpose()
}

/// Reads all segments. A torn write at the end of the newest segment is truncated; any other damage
/// is an error.
pub(crate) fn recover_log(directory: &Directory) -> Result<RecoveredLog, StorageError> {
    let marker = read_sync_marker(directory)?;
    let first_indexes = directory.list_segments()?;
    let mut log = RecoveredLog::default();
    check_marked_segment_exists(directory, marker, &first_indexes)?;
    for (position, first_index) in first_indexes.iter().copied().enumerate() {
        let content = read_segment(directory, first_index)?;
        check_segment_continues_log(directory, &log, first_index, &content)?;
        if position + 1 == first_indexes.len() {
            recover_active_segment(directory, first_index, &content, marker, &mut log)?;
        } else if !content.is_intact() {
            return Err(checksum_error(directory, first_index, content.intact_bytes));
        }
        if position == 0 {
            log.prev_term = content.prev_term;
        }
        let (entries, end_offsets) = content.entries.into_iter().unzip::<_, _, Vec<_>, Vec<_>>();
        log.entries.extend(entries);
        log.segments.push(SegmentIndex {
            first_index,
            end_offsets,
        });
    }
    Ok(log)
}

fn checksum_error(directory: &Directory, first_index: u64, offset: u64) -> StorageError {
    let path = directory.join(&segment_name(first_index));
    StorageError::corrupt(&path, offset, "the record does not match its checksum")
}

/// Checks that the segment in the sync marker was not lost. The marker refers to the newest
/// segment, or to an earlier one if the process stopped between the creation of a segment and the
/// update of the marker.
fn check_marked_segment_exists(
    directory: &Directory,
    marker: Option<SyncMarker>,
    first_indexes: &[u64],
) -> Result<(), StorageError> {
    let Some(marker) = marker else { return Ok(()) };
    let newest = first_indexes.last().copied().unwrap_or(0);
    if newest < marker.segment {
        let path = directory.join(&segment_name(marker.segment));
        return Err(StorageError::corrupt(&path, 0, "the file is missing"));
    }
    Ok(())
}

/// Checks that a segment starts with the index and previous term at which the log before it ends.
fn check_segment_continues_log(
    directory: &Directory,
    log: &RecoveredLog,
    first_index: u64,
    content: &SegmentContent,
) -> Result<(), StorageError> {
    let Some(segment) = log.segments.last() else {
        return Ok(());
    };
    let expected = segment.first_index + segment.end_offsets.len() as u64;
    let last_term = log.entries.last().map_or(log.prev_term, |entry| entry.term);
    if first_index == expected && content.prev_term == last_term {
        return Ok(());
    }
    let path = directory.join(&segment_name(first_index));
    let detail = "the segment does not continue the previous segment";
    Err(StorageError::corrupt(&path, 8, detail))
}

/// Decides whether damage at the end of the newest segment is a torn write, which is truncated, or
/// corruption, which is an error. Rewrites the segment unless all of it is known to be synced.
fn recover_active_segment(
    directory: &Directory,
    first_index: u64,
    content: &SegmentContent,
    marker: Option<SyncMarker>,
    log: &mut RecoveredLog,
) -> Result<(), StorageError> {
    let segment_marker = marker.filter(|marker| marker.segment == first_index);
    let synced_bytes = segment_marker.map_or(0, |marker| marker.length);
    let synced_data_lost = content.intact_bytes < synced_bytes;
    // Without a marker, an intact record after the damage shows that the damage is corruption and
    // not a torn write, which only affects the end of the file.
    let damaged_before_end = segment_marker.is_none() && content.intact_record_after_damage;
    if synced_data_lost || damaged_before_end {
        return Err(checksum_error(directory, first_index, content.intact_bytes));
    }
    log.truncated_bytes = content.file_bytes - content.intact_bytes;
    if content.file_bytes != synced_bytes {
        rewrite_segment(directory, first_index, content)?;
    }
    Ok(())
}

/// Replaces a segment file by its header and intact records. After a failed sync the page cache may
/// show data that is not on the disk, so a successful read does not prove that the data is durable.
fn rewrite_segment(
    directory: &Directory,
    first_index: u64,
    content: &SegmentContent,
) -> Result<(), StorageError> {
    let mut bytes = encode_header(first_index, content.prev_term);
    for (entry, _) in &content.entries {
        crate::record::encode_entry(entry, &mut bytes);
    }
    directory.replace(&segment_name(first_index), &[&bytes])
}
