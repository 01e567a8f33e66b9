//! Measures append with sync, and opening a directory, for 1,000, 10,000 and 100,000 changes.
//!
//! Usage: `cargo run --release -p radishpaddle-storage --example latency -- DIRECTORY [BYTES]`
//! with an empty directory on the disk to measure and the payload of a change in bytes.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use radishpaddle_storage::{Batch, LogEntry, Storage, StorageError};

/// Changes that are appended with one sync each; the rest of a log is filled in batches.
const TIMED_APPENDS: u64 = 1_000;

/// Changes in one batch while the log is filled.
const FILL_BATCH: u64 = 1_000;

fn main() -> Result<(), StorageError> {
    let mut arguments = std::env::args().skip(1);
    let directory = PathBuf::from(arguments.next().unwrap_or_else(|| "latency-data".into()));
    let bytes = arguments.next().and_then(|text| text.parse().ok());
    let payload = vec![b'x'; bytes.unwrap_or(2_048)];
    for count in [1_000, 10_000, 100_000] {
        measure(&directory.join(count.to_string()), count, &payload)?;
    }
    Ok(())
}

fn measure(directory: &Path, count: u64, payload: &[u8]) -> Result<(), StorageError> {
    let (mut storage, _) = Storage::open(directory, 1)?;
    let mut next = storage.last_index() + 1;
    while next + TIMED_APPENDS <= count {
        let last = (next + FILL_BATCH - 1).min(count - TIMED_APPENDS);
        storage.write(&batch(next..=last, payload))?;
        next = last + 1;
    }
    let mut times = Vec::new();
    for index in next..=count {
        let started = Instant::now();
        storage.write(&batch(index..=index, payload))?;
        times.push(started.elapsed());
    }
    drop(storage);
    let started = Instant::now();
    let (_storage, recovered) = Storage::open(directory, 1)?;
    let open = started.elapsed();
    println!(
        "{count} changes of {} bytes: append+sync p50 {} ms, p99 {} ms; open {} ms, {} entries",
        payload.len(),
        milliseconds(percentile(&mut times, 50)),
        milliseconds(percentile(&mut times, 99)),
        milliseconds(open),
        recovered.entries.len()
    );
    Ok(())
}

fn batch(indexes: std::ops::RangeInclusive<u64>, payload: &[u8]) -> Batch {
    let entry = |index| LogEntry {
        index,
        term: 1,
        payload: payload.to_vec(),
    };
    Batch {
        entries: indexes.map(entry).collect(),
        ..Batch::default()
    }
}

fn percentile(times: &mut [Duration], percent: usize) -> Duration {
    times.sort_unstable();
    let position = (times.len() * percent / 100).min(times.len().saturating_sub(1));
    times.get(position).copied().unwrap_or_default()
}

fn milliseconds(time: Duration) -> String {
    format!("{:.3}", time.as_secs_f64() * 1_000.0)
}
