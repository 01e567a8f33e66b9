//! What a backend server ran, for the history checker.

use std::sync::{Arc, Mutex, PoisonError};

use radishpaddle_model::{BackendServerId, Incarnation};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::clock::now_us;

/// Request bodies are recorded up to this number of bytes.
pub const RECORDED_BODY_BYTES: usize = 64 << 10;

/// One execution of a request by a backend server. Times are microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Execution {
    /// Backend server that ran the request.
    pub backend_server: BackendServerId,
    /// Incarnation that ran the request.
    pub incarnation: Incarnation,
    /// Number of the execution at this backend server.
    pub number: u64,
    /// Value of `X-Request-Id`.
    pub request_id: Option<String>,
    /// Value of `X-Test-Operation`.
    pub operation: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Names in lower case and values of all headers.
    pub headers: Vec<(String, String)>,
    /// Request body, up to [`RECORDED_BODY_BYTES`]; invalid UTF-8 is replaced.
    pub body: String,
    /// When the request got a slot.
    pub start_us: u64,
    /// When the response was complete or the execution was given up.
    pub end_us: Option<u64>,
    /// Whether the caller closed the connection before the response was complete.
    pub cancelled: bool,
    /// HTTP status of the response.
    pub status: Option<u16>,
    /// Digest of the complete response body, see [`digest`].
    pub answer_digest: Option<String>,
}

/// First 16 hexadecimal digits of the SHA-256 of a body.
#[must_use]
pub fn digest(body: &[u8]) -> String {
    let hash = Sha256::digest(body);
    let number = hash
        .iter()
        .take(8)
        .fold(0_u64, |sum, byte| (sum << 8) | u64::from(*byte));
    format!("{number:016x}")
}

/// Executions of one backend server, bounded in number.
#[derive(Debug)]
pub(super) struct Recorder {
    executions: Mutex<Recorded>,
    limit: usize,
}

#[derive(Debug, Default)]
struct Recorded {
    list: Vec<Execution>,
    started: u64,
    generation: u64,
}

/// Marks its execution as cancelled when it is dropped before [`Guard::finish`].
#[derive(Debug)]
pub(super) struct Guard {
    recorder: Arc<Recorder>,
    index: Option<usize>,
    generation: u64,
    open: bool,
}

impl Recorder {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            executions: Mutex::default(),
            limit,
        }
    }

    /// Records the start; executions above the limit are counted and not kept.
    pub(super) fn start(self: &Arc<Self>, mut execution: Execution) -> (u64, Guard) {
        let mut recorded = self.lock();
        recorded.started += 1;
        let number = recorded.started;
        execution.number = number;
        let index = (recorded.list.len() < self.limit).then_some(recorded.list.len());
        if index.is_some() {
            recorded.list.push(execution);
        }
        let guard = Guard {
            recorder: Arc::clone(self),
            index,
            generation: recorded.generation,
            open: true,
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
        let mut recorded = self.lock();
        recorded.list.clear();
        recorded.generation += 1;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Recorded> {
        self.executions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Guard {
    /// Notes the response that the execution is about to send.
    pub(super) fn answer(&self, status: u16, body: &[u8]) {
        self.update(|execution| {
            execution.status = Some(status);
            execution.answer_digest = Some(digest(body));
        });
    }

    /// Marks the execution as complete.
    pub(super) fn finish(&mut self) {
        self.open = false;
        self.update(|execution| execution.end_us = Some(now_us()));
    }

    fn update(&self, change: impl FnOnce(&mut Execution)) {
        let mut recorded = self.recorder.lock();
        if recorded.generation != self.generation {
            return;
        }
        if let Some(execution) = self.index.and_then(|index| recorded.list.get_mut(index)) {
            change(execution);
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.open {
            self.update(|execution| {
                execution.cancelled = true;
                execution.end_us = Some(now_us());
            });
        }
    }
}
