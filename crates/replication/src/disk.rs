//! The thread that owns the data directory. Writes block until they are durable, so they run beside
//! the runtime.

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

/// Work for the thread.
pub enum DiskJob {
    /// Makes writes durable.
    Write {
        /// Number of the [`radishpaddle_consensus::Ready`].
        number: u64,
        /// The writes.
        writes: Box<Writes>,
    },
    /// Makes a snapshot of the local state durable.
    Save(Box<Snapshot>),
}

/// Result of the work.
pub enum DiskDone {
    /// The writes with this number are durable.
    Synced(u64),
    /// The snapshot is durable.
    Saved(Box<Snapshot>),
    /// Nothing more can be made durable.
    Failed(StorageError),
}

/// Starts the thread. It ends when the sender is dropped or a write fails.
///
/// # Panics
///
/// Panics when the operating system cannot start a thread.
#[must_use]
pub fn spawn(storage: Storage, done: UnboundedSender<DiskDone>) -> Sender<DiskJob> {
    let (jobs, receiver) = channel();
    std::thread::Builder::new()
        .name("replica-disk".to_owned())
        .spawn(move || run(storage, &receiver, &done))
        .expect("the operating system can start a thread");
    jobs
}

fn run(mut storage: Storage, jobs: &Receiver<DiskJob>, done: &UnboundedSender<DiskDone>) {
    for job in jobs {
        let result = carry_out(&mut storage, job);
        let failed = result.is_err();
        let message = result.unwrap_or_else(DiskDone::Failed);
        if done.send(message).is_err() || failed {
            return;
        }
    }
}

fn carry_out(storage: &mut Storage, job: DiskJob) -> Result<DiskDone, StorageError> {
    match job {
        DiskJob::Write { number, writes } => {
            storage.write(&batch(&writes))?;
            Ok(DiskDone::Synced(number))
        }
        DiskJob::Save(snapshot) => {
            storage.save_snapshot(&stored_snapshot(&snapshot))?;
            Ok(DiskDone::Saved(snapshot))
        }
    }
}

fn batch(writes: &Writes) -> Batch {
    Batch {
        hard_state: writes.hard_state.as_ref().map(stored_hard_state),
        install: writes.snapshot.as_ref().map(stored_snapshot),
        entries: writes.entries.iter().map(log_entry).collect(),
    }
}

/// Hard state in the form of the data directory.
#[must_use]
pub fn stored_hard_state(state: &HardState) -> StoredHardState {
    StoredHardState {
        replica_id: state.replica_id.0,
        term: state.term,
        voted_for: state.voted_for.map(|id| id.0),
    }
}

/// Snapshot in the form of the data directory.
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

/// State of the replica from what the data directory holds.
///
/// # Errors
///
/// Fails when an entry or the snapshot has a correct checksum and no valid content, which a data
/// directory of another version may have.
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

/// Random identity for a new data directory.
#[must_use]
pub fn new_replica_id() -> u64 {
    SmallRng::from_os_rng().next_u64().max(1)
}
