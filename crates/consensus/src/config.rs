//! Time-outs and limits of a replica.

use crate::membership::MAX_VOTERS;
use crate::message::{MAX_BATCH_BYTES, MAX_CHUNK_BYTES};

/// Time-outs, in ticks, and limits of a replica. The default values assume a tick of 50 ms
/// (design 3).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Heartbeat interval of a leader, in ticks.
    pub heartbeat_ticks: u32,
    /// Minimum election timeout, in ticks. Each timeout is drawn at random between this value and
    /// twice this value. A leader that gets no response from a quorum for this long steps down.
    pub election_ticks: u32,
    /// Ticks that a write and its sync may take before a replica steps down as leader and starts no
    /// elections. Without this limit a leader whose disk hangs would keep its leadership through
    /// heartbeats although it applies no entries.
    pub stalled_disk_ticks: u32,
    /// Ticks after which an unreachable voter loses its vote, to a learner that has caught up if
    /// there is one. The counter starts anew in each term.
    pub repair_after_ticks: u32,
    /// Ticks after which an unreachable learner is removed. Longer than the restart of an instance,
    /// so that a restart does not end the membership.
    pub remove_after_ticks: u32,
    /// Whether the leader promotes and removes members automatically.
    pub automatic_repair: bool,
    /// Number of voters that automatic repair aims for.
    pub target_voters: usize,
    /// Number of entries by which a learner may lag behind the leader's log and still count as
    /// caught up.
    pub max_learner_lag_entries: u64,
    /// Maximum number of unacknowledged messages with entries per follower.
    pub max_unacknowledged_batches: usize,
    /// Maximum size of the entries in one message, in bytes; at most [`MAX_BATCH_BYTES`]. A larger
    /// entry is sent in a message of its own.
    pub max_batch_bytes: usize,
    /// Maximum size of the snapshot data in one message, in bytes; at most [`MAX_CHUNK_BYTES`].
    pub max_chunk_bytes: usize,
    /// Maximum size of the entries that are proposed and not yet committed, in bytes.
    pub max_uncommitted_bytes: usize,
    /// Maximum size of the entries in memory, in bytes. The leader rejects proposals above it until
    /// a snapshot allows the log to be compacted.
    pub max_log_bytes: usize,
    /// Number of entries covered by a snapshot that stay in memory, so that a slow follower can
    /// catch up without a snapshot transfer. Fewer are kept if they take more than a quarter of
    /// [`Config::max_log_bytes`].
    pub retained_entries: u64,
    /// Maximum number of reads that wait for confirmation.
    pub max_pending_reads: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            heartbeat_ticks: 1,
            election_ticks: 10,
            stalled_disk_ticks: 20,
            repair_after_ticks: 600,
            remove_after_ticks: 600,
            automatic_repair: true,
            target_voters: 3,
            max_learner_lag_entries: 16,
            max_unacknowledged_batches: 8,
            max_batch_bytes: MAX_BATCH_BYTES,
            max_chunk_bytes: MAX_CHUNK_BYTES,
            max_uncommitted_bytes: 4 << 20,
            max_log_bytes: 64 << 20,
            retained_entries: 1_000,
            max_pending_reads: 1_024,
        }
    }
}

/// Share of the time within which the group must again tolerate a loss that a silent voter may take to
/// respond. The rest is left for an election, the transfer of the state and two changes of members.
const SILENT_SHARE: u32 = 4;

impl Config {
    /// Returns the [`Config::repair_after_ticks`] with which the group again tolerates a loss within
    /// `ticks` after the start of a replacement.
    #[must_use]
    pub fn repair_after(&self, ticks: u32) -> u32 {
        (ticks / SILENT_SHARE).max(self.election_ticks + 1)
    }

    /// Returns whether every value is within its range.
    pub(crate) fn is_valid(&self) -> bool {
        self.heartbeat_ticks >= 1
            && self.election_ticks > 2 * self.heartbeat_ticks
            && self.stalled_disk_ticks >= self.election_ticks
            && self.repair_after_ticks > self.election_ticks
            && self.remove_after_ticks >= self.repair_after_ticks
            && (1..=MAX_VOTERS).contains(&self.target_voters)
            && self.max_unacknowledged_batches >= 1
            && (1..=MAX_BATCH_BYTES).contains(&self.max_batch_bytes)
            && (1..=MAX_CHUNK_BYTES).contains(&self.max_chunk_bytes)
    }
}
