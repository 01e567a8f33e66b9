//! Decision log: one JSON line on standard output for each decision that touches a request or changes
//! what the process believes.
//!
//! Lines go through a bounded queue to a thread that writes them in batches. When the queue is full
//! or the budget of a kind is used up, lines are dropped and counted; a caller never waits.

use std::collections::HashMap;
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Map, Value};

use crate::incarnation::unix_ms;

/// Lines that wait for the writer.
const QUEUE_LINES: usize = 2_048;

/// Pause between two batches, so that a busy process wakes the writer rarely.
const BATCH_PAUSE: Duration = Duration::from_millis(200);

/// Lines of one kind per second. Failures and changes of belief are rarer than this on an ordinary day.
const LINES_PER_KIND_PER_S: u32 = 40;

/// Lines of a sampled kind per second.
const SAMPLED_LINES_PER_S: u32 = 2;

/// How often lines of a kind are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Keep {
    /// Every line within the budget of its kind.
    Each,
    /// A few lines a second as a sample.
    Sample,
}

/// Handle to the log of the process. Clones share the queue.
#[derive(Clone)]
pub struct DecisionLog {
    lines: SyncSender<Line>,
    shared: Arc<Shared>,
}

struct Shared {
    instance: Arc<str>,
    dropped: AtomicU64,
    budgets: Mutex<HashMap<&'static str, Budget>>,
}

struct Budget {
    second: Instant,
    used: u32,
}

enum Line {
    Text(String),
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
        let (lines, receiver) = sync_channel(QUEUE_LINES);
        let shared = Arc::new(Shared {
            instance,
            dropped: AtomicU64::new(0),
            budgets: Mutex::default(),
        });
        let counted = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("decision-log".to_owned())
            .spawn(move || write_lines(&receiver, &counted))
            .expect("the operating system can start a thread");
        Self { lines, shared }
    }

    /// Records a decision. `fields` is an object; other values are recorded under `detail`.
    pub fn record(&self, event: &'static str, keep: Keep, fields: impl FnOnce() -> Value) {
        if !self.shared.permits(event, keep) {
            // A sample leaves lines out on purpose.
            if keep == Keep::Each {
                self.shared.dropped.fetch_add(1, Ordering::Relaxed);
            }
            return;
        }
        let line = Line::Text(self.shared.line(event, fields()));
        if self.lines.try_send(line).is_err() {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits for the lines recorded so far, for a short time at most; used at the end of the process.
    pub fn flush(&self) {
        let (written, wait) = sync_channel(1);
        if self.lines.try_send(Line::Flush(written)).is_ok() {
            let _ = wait.recv_timeout(BATCH_PAUSE * 2);
        }
    }

    /// Lines dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::Relaxed)
    }
}

impl Shared {
    fn permits(&self, event: &'static str, keep: Keep) -> bool {
        let limit = match keep {
            Keep::Each => LINES_PER_KIND_PER_S,
            Keep::Sample => SAMPLED_LINES_PER_S,
        };
        let now = Instant::now();
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets.entry(event).or_insert(Budget {
            second: now,
            used: 0,
        });
        if now.duration_since(budget.second) >= Duration::from_secs(1) {
            budget.second = now;
            budget.used = 0;
        }
        budget.used += 1;
        budget.used <= limit
    }

    fn line(&self, event: &str, fields: Value) -> String {
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

fn write_lines(lines: &Receiver<Line>, shared: &Shared) {
    let mut reported = 0;
    let mut batch = String::new();
    while let Ok(first) = lines.recv() {
        let mut waiting = Vec::new();
        let mut next = Some(first);
        while let Some(line) = next {
            match line {
                Line::Text(text) => {
                    batch.push_str(&text);
                    batch.push('\n');
                }
                Line::Flush(written) => waiting.push(written),
            }
            next = lines.try_recv().ok();
        }
        let dropped = shared.dropped.load(Ordering::Relaxed);
        if dropped > reported {
            let fields = serde_json::json!({"lines": dropped - reported});
            batch.push_str(&shared.line("log_lines_dropped", fields));
            batch.push('\n');
            reported = dropped;
        }
        // Without a reader there is nobody to tell about the failure.
        let _ = std::io::stdout().lock().write_all(batch.as_bytes());
        let _ = std::io::stdout().flush();
        batch.clear();
        let pause = waiting.is_empty();
        for written in waiting {
            let _ = written.send(());
        }
        if pause {
            std::thread::sleep(BATCH_PAUSE);
        }
    }
}
