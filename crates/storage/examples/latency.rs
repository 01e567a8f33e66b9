//! Measures the latency of a synced append and of opening a data directory whose log holds 1,000,
//! 10,000 or 100,000 entries.
//!
//! Usage: `cargo run --release -p radishpaddle-storage --example latency -- DIRECTORY [BYTES]`
//! where DIRECTORY is an empty directory on the disk to measure and BYTES is the payload size of an
//! entry (default 2,048).

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use radishpaddle_storage::{Batch, LogEntry, Storage, StorageError};

/// Number of entries at the end of each log that are appended with one sync each and timed. The
/// entries before them are written in batches.
const TIMED_APPENDS: u64 = 1_000;

/// Entries per batch of the untimed writes.
const UNTIMED_BATCH_ENTRIES: u64 = 1_000;

fn main() -> Result<(), StorageError> {
    let mut arguments = std::env::args().skip(1);
    let directory = PathBuf::from(arguments.next().unwrap_or_else(|| "latency-data".into()));
    let payload_bytes = arguments.next().and_then(|text| text.parse().ok());
    let payload = vec![b'x'; payload_bytes.unwrap_or(2_048)];
    for count in [1_000, 10_000, 100_000] {
        measure(&directory.join(count.to_string()), count, &payload)?;
    }
    Ok(())
}

fn measure(directory: &Path, count: u64, payload: &[u8]) -> Result<(), StorageError> {
    let (mut storage, _) = Storage::open(directory, 1)?;
    let mut next = storage.last_index() + 1;
    while next + TIMED_APPENDS <= count {
        let last = (next + UNTIMED_BATCH_ENTRIES - 1).min(count - TIMED_APPENDS);
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
