//! Timing and bounds of a replica.

use crate::membership::MAX_VOTERS;
use crate::message::{MAX_BATCH_BYTES, MAX_CHUNK_BYTES};

/// Timing in ticks and bounds of a replica. The default assumes a tick of 50 ms (design 3).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Ticks between heartbeats.
    pub heartbeat_ticks: u32,
    /// Shortest election timeout; the timeout is drawn from here to twice as long. A leader that
    /// hears no quorum for this long steps down.
    pub election_ticks: u32,
    /// Ticks for a write and its sync above which a replica gives up the leadership and does not
    /// campaign. A leader whose disk hangs still answers heartbeats but applies nothing.
    pub stalled_disk_ticks: u32,
    /// Ticks after which an unreachable voter is replaced by a learner that has caught up. Longer
    /// than a restart of an instance, so that a restart causes no change.
    pub repair_after_ticks: u32,
    /// Whether the leader promotes and removes members by itself.
    pub automatic_repair: bool,
    /// Number of voters that automatic repair aims for.
    pub target_voters: usize,
    /// Entries by which a learner may lag behind the leader's log and still count as caught up.
    pub caught_up_lag: u64,
    /// Messages with entries that may be unanswered per follower.
    pub max_unanswered_batches: usize,
    /// Bytes of entries in one message, at most [`MAX_BATCH_BYTES`]; a single larger entry is sent
    /// alone.
    pub max_batch_bytes: usize,
    /// Bytes of a snapshot in one message, at most [`MAX_CHUNK_BYTES`].
    pub max_chunk_bytes: usize,
    /// Bytes of entries that may be proposed and not yet committed.
    pub max_uncommitted_bytes: usize,
    /// Bytes of entries in memory above which the leader takes no proposals until the log is
    /// truncated behind a snapshot.
    pub max_log_bytes: usize,
    /// Entries kept in memory behind a snapshot, so that a slow follower needs no snapshot; fewer
    /// when they take more than a quarter of [`Config::max_log_bytes`].
    pub retained_entries: u64,
    /// Reads that may wait for confirmation.
    pub max_pending_reads: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            heartbeat_ticks: 1,
            election_ticks: 10,
            stalled_disk_ticks: 20,
            repair_after_ticks: 600,
            automatic_repair: true,
            target_voters: 3,
            caught_up_lag: 16,
            max_unanswered_batches: 8,
            max_batch_bytes: MAX_BATCH_BYTES,
            max_chunk_bytes: MAX_CHUNK_BYTES,
            max_uncommitted_bytes: 4 << 20,
            max_log_bytes: 64 << 20,
            retained_entries: 1_000,
            max_pending_reads: 1_024,
        }
    }
}

impl Config {
    /// Whether every value is within its range.
    pub(crate) fn is_valid(&self) -> bool {
        self.heartbeat_ticks >= 1
            && self.election_ticks > 2 * self.heartbeat_ticks
            && self.stalled_disk_ticks >= self.election_ticks
            && self.repair_after_ticks > self.election_ticks
            && (1..=MAX_VOTERS).contains(&self.target_voters)
            && self.max_unanswered_batches >= 1
            && (1..=MAX_BATCH_BYTES).contains(&self.max_batch_bytes)
            && (1..=MAX_CHUNK_BYTES).contains(&self.max_chunk_bytes)
    }
}
