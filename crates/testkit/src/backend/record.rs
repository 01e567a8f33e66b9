//! Record of the requests that a backend server ran, for the history checker.

use std::sync::{Arc, Mutex, PoisonError};

use radishpaddle_model::{BackendServerId, Incarnation};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::clock::now_us;

/// Number of bytes up to which a request body is recorded.
pub const RECORDED_BODY_BYTES: usize = 64 << 10;

/// Execution of a request by a backend server. Times are microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Execution {
    /// Backend server that ran the request.
    pub backend_server: BackendServerId,
    /// Incarnation that ran the request.
    pub incarnation: Incarnation,
    /// Sequence number of the execution at this backend server, from 1.
    pub number: u64,
    /// Value of the `X-Request-Id` header.
    pub request_id: Option<String>,
    /// Value of the `X-Test-Operation` header, see [`crate::caller::Attempt::tag`].
    pub operation: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Names, in lower case, and values of all request headers.
    pub headers: Vec<(String, String)>,
    /// Request body, up to [`RECORDED_BODY_BYTES`]; invalid UTF-8 is replaced.
    pub body: String,
    /// Time at which the request acquired a slot.
    pub start_us: u64,
    /// Time at which the response was complete or the execution was cancelled.
    pub end_us: Option<u64>,
    /// Whether the caller closed the connection before the response was complete.
    pub cancelled: bool,
    /// HTTP status of the response.
    pub status: Option<u16>,
    /// Digest of the complete response body, computed by [`digest`].
    pub answer_digest: Option<String>,
}

/// Returns the first 16 hexadecimal digits of the SHA-256 hash of a body.
#[must_use]
pub fn digest(body: &[u8]) -> String {
    let hash = Sha256::digest(body);
    let number = hash
        .iter()
        .take(8)
        .fold(0_u64, |sum, byte| (sum << 8) | u64::from(*byte));
    format!("{number:016x}")
}

/// Log of the executions of one backend server, bounded in length.
#[derive(Debug)]
pub(super) struct ExecutionLog {
    executions: Mutex<LogState>,
    capacity: usize,
}

#[derive(Debug, Default)]
struct LogState {
    list: Vec<Execution>,
    /// Executions started, including those that are not kept.
    started: u64,
    /// Incremented when the log is cleared, which invalidates the indexes that guards hold.
    generation: u64,
}

/// Updates the record of a running execution. Marks it as cancelled when dropped before
/// [`ExecutionGuard::finish`].
#[derive(Debug)]
pub(super) struct ExecutionGuard {
    log: Arc<ExecutionLog>,
    /// Position in the log; `None` if the execution is not kept.
    index: Option<usize>,
    generation: u64,
    unfinished: bool,
}

impl ExecutionLog {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            executions: Mutex::default(),
            capacity,
        }
    }

    /// Records the start of an execution and returns its sequence number. When the log is full, the
    /// execution is counted but not kept.
    pub(super) fn start(self: &Arc<Self>, mut execution: Execution) -> (u64, ExecutionGuard) {
        let mut state = self.lock();
        state.started += 1;
        let number = state.started;
        execution.number = number;
        let index = (state.list.len() < self.capacity).then_some(state.list.len());
        if index.is_some() {
            state.list.push(execution);
        }
        let guard = ExecutionGuard {
            log: Arc::clone(self),
            index,
            generation: state.generation,
            unfinished: true,
        };
        (number, guard)
    }

    pub(super) fn executions(&self) -> Vec<Execution> {
        self.lock().list.clone()
    }

    pub(super) fn started(&self) -> u64 {
        self.lock().started
    }

    pub(super) fn clear(&self) {
        let mut state = self.lock();
        state.list.clear();
        state.generation += 1;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LogState> {
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl ExecutionGuard {
    /// Records the status and body of the response that the execution is about to send.
    pub(super) fn record_response(&self, status: u16, body: &[u8]) {
        self.update(|execution| {
            execution.status = Some(status);
            execution.answer_digest = Some(digest(body));
        });
    }

    /// Records the end of the execution.
    pub(super) fn finish(&mut self) {
        self.unfinished = false;
        self.update(|execution| execution.end_us = Some(now_us()));
    }

    fn update(&self, change: impl FnOnce(&mut Execution)) {
        let mut state = self.log.lock();
        if state.generation != self.generation {
            return;
        }
        if let Some(execution) = self.index.and_then(|index| state.list.get_mut(index)) {
            change(execution);
        }
    }
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        if self.unfinished {
            self.update(|execution| {
                execution.cancelled = true;
                execution.end_us = Some(now_us());
            });
        }
    }
}
