//! Decision log: one JSON line on standard output for each decision that affects a request or changes the
//! state on which the process bases its decisions.
//!
//! A bounded queue passes the lines to a thread that writes them in batches. When the queue is full or the
//! rate limit of an event is reached, lines are dropped and counted; callers never block.

use std::collections::HashMap;
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Map, Value};

use crate::incarnation::unix_ms;

/// Capacity of the queue to the writer thread, in lines.
const QUEUE_CAPACITY_LINES: usize = 2_048;

/// Interval between two batches. Limits how often a busy process wakes the writer thread.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Rate limit per event name, in lines per second. Failures and state changes stay below it in normal operation.
const MAX_LINES_PER_EVENT_PER_S: u32 = 40;

/// Rate limit per event name with [`LogSampling::Sample`], in lines per second.
const MAX_SAMPLED_LINES_PER_EVENT_PER_S: u32 = 2;

/// How many lines of an event are written, and whether suppressed lines count as dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogSampling {
    /// All lines up to the rate limit of the event; lines above it count as dropped.
    Each,
    /// A sample of a few lines per second; lines left out do not count as dropped.
    Sample,
}

/// Handle to the decision log of the process. Clones share the queue and the rate limits.
#[derive(Clone)]
pub struct DecisionLog {
    writer: SyncSender<WriterMessage>,
    shared: Arc<Shared>,
}

struct Shared {
    instance: Arc<str>,
    dropped_lines: AtomicU64,
    budgets: Mutex<HashMap<&'static str, LineBudget>>,
}

/// Lines of one event written in the current second.
struct LineBudget {
    second_start: Instant,
    used: u32,
}

enum WriterMessage {
    Line(String),
    /// Requests a message on the channel once all earlier lines are written.
    Flush(SyncSender<()>),
}

impl DecisionLog {
    /// Starts the writer thread.
    ///
    /// # Panics
    ///
    /// Panics when the operating system cannot start a thread.
    #[must_use]
    pub fn spawn(instance: Arc<str>) -> Self {
        let (writer, messages) = sync_channel(QUEUE_CAPACITY_LINES);
        let shared = Arc::new(Shared {
            instance,
            dropped_lines: AtomicU64::new(0),
            budgets: Mutex::default(),
        });
        let writer_shared = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("decision-log".to_owned())
            .spawn(move || write_lines(&messages, &writer_shared))
            .expect("the operating system can start a thread");
        Self { writer, shared }
    }

    /// Records a decision. `fields` returns a JSON object; another value is recorded under `detail`. It is not
    /// called when the rate limit of the event is reached.
    pub fn record(
        &self,
        event: &'static str,
        sampling: LogSampling,
        fields: impl FnOnce() -> Value,
    ) {
        if !self.shared.consume_budget(event, sampling) {
            // Lines left out of a sample are not lost, so they are not counted.
            if sampling == LogSampling::Each {
                self.shared.dropped_lines.fetch_add(1, Ordering::Relaxed);
            }
            return;
        }
        let line = WriterMessage::Line(self.shared.format_line(event, fields()));
        if self.writer.try_send(line).is_err() {
            self.shared.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the lines recorded so far are written, for at most two batch intervals. Called before the
    /// process exits.
    pub fn flush(&self) {
        let (written, wait) = sync_channel(1);
        if self.writer.try_send(WriterMessage::Flush(written)).is_ok() {
            let _ = wait.recv_timeout(BATCH_INTERVAL * 2);
        }
    }

    /// Returns the number of lines dropped since the start of the process.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.shared.dropped_lines.load(Ordering::Relaxed)
    }
}

impl Shared {
    /// Counts a line of the event and returns whether it is within the rate limit.
    fn consume_budget(&self, event: &'static str, sampling: LogSampling) -> bool {
        let limit = match sampling {
            LogSampling::Each => MAX_LINES_PER_EVENT_PER_S,
            LogSampling::Sample => MAX_SAMPLED_LINES_PER_EVENT_PER_S,
        };
        let now = Instant::now();
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets.entry(event).or_insert(LineBudget {
            second_start: now,
            used: 0,
        });
        if now.duration_since(budget.second_start) >= Duration::from_secs(1) {
            budget.second_start = now;
            budget.used = 0;
        }
        budget.used += 1;
        budget.used <= limit
    }

    fn format_line(&self, event: &str, fields: Value) -> String {
        let mut object = Map::new();
        object.insert("at_unix_ms".to_owned(), unix_ms().into());
        object.insert("instance".to_owned(), (*self.instance).into());
        object.insert("event".to_owned(), event.into());
        match fields {
            Value::Object(fields) => object.extend(fields),
            other => {
                object.insert("detail".to_owned(), other);
            }
        }
        Value::Object(object).to_string()
    }
}

fn write_lines(messages: &Receiver<WriterMessage>, shared: &Shared) {
    let mut reported_drops = 0;
    let mut batch = String::new();
    while let Ok(first) = messages.recv() {
        let mut flush_waiters = Vec::new();
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                WriterMessage::Line(line) => {
                    batch.push_str(&line);
                    batch.push('\n');
                }
                WriterMessage::Flush(written) => flush_waiters.push(written),
            }
            next = messages.try_recv().ok();
        }
        let dropped = shared.dropped_lines.load(Ordering::Relaxed);
        if dropped > reported_drops {
            let fields = serde_json::json!({"lines": dropped - reported_drops});
            batch.push_str(&shared.format_line("log_lines_dropped", fields));
            batch.push('\n');
            reported_drops = dropped;
        }
        // If standard output is closed, there is no channel left to report the error on.
        let _ = std::io::stdout().lock().write_all(batch.as_bytes());
        let _ = std::io::stdout().flush();
        batch.clear();
        let wait_for_batch = flush_waiters.is_empty();
        for written in flush_waiters {
            let _ = written.send(());
        }
        if wait_for_batch {
            std::thread::sleep(BATCH_INTERVAL);
        }
    }
}
