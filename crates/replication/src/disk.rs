//! Thread that owns the data directory. Writes block until they are durable, so they run outside the
//! async runtime.

use std::sync::mpsc::{Receiver, Sender, channel};

use radishpaddle_consensus::{
    Entry, HardState, Payload, PersistedState, ReplicaId, Snapshot, Writes,
};
use radishpaddle_storage::{
    Batch, HardState as StoredHardState, LogEntry, Recovered, Storage, StorageError, StoredSnapshot,
};
use rand::rngs::SmallRng;
use rand::{RngCore as _, SeedableRng as _};
use tokio::sync::mpsc::UnboundedSender;

/// Job for the disk thread.
pub enum DiskJob {
    /// Writes and syncs log entries, hard state and a received snapshot.
    Write {
        /// Number of the [`radishpaddle_consensus::Ready`] that requested the writes.
        number: u64,
        /// Data to write in one batch.
        writes: Box<Writes>,
    },
    /// Writes and syncs a snapshot of the local state.
    SaveSnapshot(Box<Snapshot>),
}

/// Result of a [`DiskJob`].
pub enum DiskResult {
    /// The writes of the `Ready` with this number are durable.
    WritesSynced(u64),
    /// The snapshot is durable.
    SnapshotSaved(Box<Snapshot>),
    /// A job failed. The thread has ended and runs no further jobs.
    Failed(StorageError),
}

/// Starts the disk thread and returns its job queue. Results are sent to `results`. The thread ends
/// when either channel is closed or a job fails.
///
/// # Panics
///
/// Panics when the operating system cannot start a thread.
#[must_use]
pub fn spawn(storage: Storage, results: UnboundedSender<DiskResult>) -> Sender<DiskJob> {
    let (jobs, receiver) = channel();
    std::thread::Builder::new()
        .name("replica-disk".to_owned())
        .spawn(move || run(storage, &receiver, &results))
        .expect("the operating system can start a thread");
    jobs
}

fn run(mut storage: Storage, jobs: &Receiver<DiskJob>, results: &UnboundedSender<DiskResult>) {
    for job in jobs {
        let result = execute(&mut storage, job);
        let failed = result.is_err();
        let message = result.unwrap_or_else(DiskResult::Failed);
        if results.send(message).is_err() || failed {
            return;
        }
    }
}

fn execute(storage: &mut Storage, job: DiskJob) -> Result<DiskResult, StorageError> {
    match job {
        DiskJob::Write { number, writes } => {
            storage.write(&stored_batch(&writes))?;
            Ok(DiskResult::WritesSynced(number))
        }
        DiskJob::SaveSnapshot(snapshot) => {
            storage.save_snapshot(&stored_snapshot(&snapshot))?;
            Ok(DiskResult::SnapshotSaved(snapshot))
        }
    }
}

fn stored_batch(writes: &Writes) -> Batch {
    Batch {
        hard_state: writes.hard_state.as_ref().map(stored_hard_state),
        install_snapshot: writes.snapshot.as_ref().map(stored_snapshot),
        entries: writes.entries.iter().map(log_entry).collect(),
    }
}

/// Converts the hard state of consensus to its stored form.
#[must_use]
pub fn stored_hard_state(state: &HardState) -> StoredHardState {
    StoredHardState {
        replica_id: state.replica_id.0,
        term: state.term,
        voted_for: state.voted_for.map(|id| id.0),
    }
}

/// Converts a snapshot of consensus to its stored form.
#[must_use]
pub fn stored_snapshot(snapshot: &Snapshot) -> StoredSnapshot {
    StoredSnapshot {
        index: snapshot.meta.index,
        term: snapshot.meta.term,
        data: snapshot.encode(),
    }
}

fn log_entry(entry: &Entry) -> LogEntry {
    LogEntry {
        index: entry.index,
        term: entry.term,
        payload: entry.payload.encode(),
    }
}

/// Decodes the recovered contents of the data directory into the persisted state of consensus.
///
/// # Errors
///
/// Fails when an entry or the snapshot passes its checksum but cannot be decoded, for example because
/// another version wrote the data directory.
pub fn persisted_state(recovered: &Recovered) -> anyhow::Result<PersistedState> {
    let snapshot = recovered
        .snapshot
        .as_ref()
        .map(|stored| Snapshot::decode(&stored.data))
        .transpose()?;
    let entries = recovered
        .entries
        .iter()
        .map(|stored| {
            Ok(Entry {
                index: stored.index,
                term: stored.term,
                payload: Payload::decode(&stored.payload)?,
            })
        })
        .collect::<anyhow::Result<Vec<_>>>()?;
    Ok(PersistedState {
        hard_state: HardState {
            replica_id: ReplicaId(recovered.hard_state.replica_id),
            term: recovered.hard_state.term,
            voted_for: recovered.hard_state.voted_for.map(ReplicaId),
        },
        snapshot,
        entries,
    })
}

/// Generates a random replica id for a new data directory. 0 is never returned.
#[must_use]
pub fn new_replica_id() -> u64 {
    SmallRng::from_os_rng().next_u64().max(1)
}
