//! What a directory holds when it is opened.

use crate::error::StorageError;
use crate::layout::{Directory, segment_name};
use crate::marker::{Marker, read_marker};
use crate::segment::{SegmentContent, encode_header, read_segment};
use crate::snapshot::read_snapshot;
use crate::storage::{LogEntry, StoredSnapshot};

/// One segment of a recovered log.
#[derive(Debug, Clone)]
pub(crate) struct SegmentIndex {
    /// Index of the first entry.
    pub(crate) first_index: u64,
    /// Offset behind each entry, in bytes.
    pub(crate) ends: Vec<u64>,
}

/// The log as it was found.
#[derive(Debug, Default)]
pub(crate) struct RecoveredLog {
    pub(crate) segments: Vec<SegmentIndex>,
    pub(crate) entries: Vec<LogEntry>,
    pub(crate) prev_term: u64,
    /// Bytes of a torn write that were cut off.
    pub(crate) cut_bytes: u64,
}

pub(crate) fn newest_snapshot(
    directory: &Directory,
) -> Result<Option<StoredSnapshot>, StorageError> {
    let newest = directory.snapshots()?.last().copied();
    newest
        .map(|index| read_snapshot(directory, index))
        .transpose()
}

/// Reads every segment. A torn write at the end of the newest one is cut off; any other damage is
/// an error.
pub(crate) fn recover_log(directory: &Directory) -> Result<RecoveredLog, StorageError> {
    let marker = read_marker(directory)?;
    let firsts = directory.segments()?;
    let mut log = RecoveredLog::default();
    check_marked_segment(directory, marker, &firsts)?;
    for (position, first_index) in firsts.iter().copied().enumerate() {
        let content = read_segment(directory, first_index)?;
        check_continues(directory, &log, first_index, &content)?;
        if position + 1 == firsts.len() {
            finish_newest(directory, first_index, &content, marker, &mut log)?;
        } else if !content.is_whole() {
            return Err(damaged(directory, first_index, content.length));
        }
        if position == 0 {
            log.prev_term = content.prev_term;
        }
        let (entries, ends) = content.entries.into_iter().unzip::<_, _, Vec<_>, Vec<_>>();
        log.entries.extend(entries);
        log.segments.push(SegmentIndex { first_index, ends });
    }
    Ok(log)
}

fn damaged(directory: &Directory, first_index: u64, offset: u64) -> StorageError {
    let path = directory.join(&segment_name(first_index));
    StorageError::corrupt(&path, offset, "the record does not match its checksum")
}

/// A marker names the newest segment, or one before it if the process stopped after a new segment.
fn check_marked_segment(
    directory: &Directory,
    marker: Option<Marker>,
    firsts: &[u64],
) -> Result<(), StorageError> {
    let Some(marker) = marker else { return Ok(()) };
    let newest = firsts.last().copied().unwrap_or(0);
    if newest < marker.segment {
        let path = directory.join(&segment_name(marker.segment));
        return Err(StorageError::corrupt(&path, 0, "the file is missing"));
    }
    Ok(())
}

fn check_continues(
    directory: &Directory,
    log: &RecoveredLog,
    first_index: u64,
    content: &SegmentContent,
) -> Result<(), StorageError> {
    let Some(segment) = log.segments.last() else {
        return Ok(());
    };
    let expected = segment.first_index + segment.ends.len() as u64;
    let last_term = log.entries.last().map_or(log.prev_term, |entry| entry.term);
    if first_index == expected && content.prev_term == last_term {
        return Ok(());
    }
    let path = directory.join(&segment_name(first_index));
    let detail = "the segment does not continue the one before it";
    Err(StorageError::corrupt(&path, 8, detail))
}

/// Decides about the end of the newest segment and makes what remains durable.
fn finish_newest(
    directory: &Directory,
    first_index: u64,
    content: &SegmentContent,
    marker: Option<Marker>,
    log: &mut RecoveredLog,
) -> Result<(), StorageError> {
    let known = marker.filter(|marker| marker.segment == first_index);
    let durable = known.map_or(0, |marker| marker.length);
    let lost_synced = content.length < durable;
    // Without a marker an intact record behind a damaged one shows that the damage is not the end
    // of an interrupted write.
    let damaged_inside = known.is_none() && content.intact_behind;
    if lost_synced || damaged_inside {
        return Err(damaged(directory, first_index, content.length));
    }
    log.cut_bytes = content.file_length - content.length;
    if content.file_length != durable {
        rewrite(directory, first_index, content)?;
    }
    Ok(())
}

/// Writes the intact part again. After a failed sync the page cache may show data that the disk
/// does not hold, so reading it back does not prove that it is durable.
fn rewrite(
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
