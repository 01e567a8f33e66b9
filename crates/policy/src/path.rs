//! Local avoidance of backend servers that this entry instance cannot reach.

use std::collections::HashMap;
use std::time::Duration;

use crate::evidence::Completion;
use crate::key::ServerKey;

/// Consecutive path failures that start the avoidance of a server. One lost connection is common
/// when the server restarts; three in a row without any response are not.
pub const AVOIDANCE_FAILURE_COUNT: u32 = 3;

/// Initial avoidance time. It doubles with each failed retest.
pub const INITIAL_AVOIDANCE: Duration = Duration::from_secs(1);

/// Upper bound of the avoidance time.
pub const MAX_AVOIDANCE: Duration = Duration::from_secs(30);

/// Time without events after which the record of a server is removed.
const RECORD_IDLE_TIMEOUT: Duration = Duration::from_mins(5);

/// Whether this instance should send to a server, judged by its own path to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathState {
    /// The server is not avoided.
    Clear,
    /// The server is avoided.
    Avoided,
    /// The avoidance time has passed; one request at a time may test the path.
    Retest,
}

#[derive(Debug, Clone, Copy)]
struct PathRecord {
    failures: u32,
    avoidance: Duration,
    avoided_until: Duration,
    last_event: Duration,
}

/// Path failures of one entry instance.
///
/// Only servers with a recent path failure have a record, which bounds the memory.
#[derive(Debug, Default)]
pub struct PathAvoidance {
    paths: HashMap<ServerKey, PathRecord>,
    generation: u64,
}

impl PathAvoidance {
    /// Creates a state in which no server is avoided.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records how a request to a server ended. Any response, including a shed or truncated one,
    /// shows that the path works.
    pub fn observe(&mut self, server: ServerKey, completion: Completion, now: Duration) {
        match completion {
            Completion::Answered { .. } | Completion::Truncated | Completion::Shed => {
                if self.paths.remove(&server).is_some() {
                    self.generation += 1;
                }
            }
            Completion::ConnectFailed | Completion::ConnectionLost | Completion::TimedOut => {
                self.record_failures(server, 1, now);
            }
            Completion::Cancelled | Completion::ChargedToRequest => {}
        }
    }

    /// Avoids a server because the leader found that other instances reach it and this one does
    /// not.
    pub fn advise(&mut self, server: ServerKey, now: Duration) {
        if self.state(server, now) == PathState::Clear {
            self.record_failures(server, AVOIDANCE_FAILURE_COUNT, now);
        }
    }

    /// Returns whether to send to a server. The capacity floor takes precedence; see
    /// [`crate::Balancer`].
    #[must_use]
    pub fn state(&self, server: ServerKey, now: Duration) -> PathState {
        match self.paths.get(&server) {
            Some(path) if now < path.avoided_until => PathState::Avoided,
            Some(path) if path.failures >= AVOIDANCE_FAILURE_COUNT => PathState::Retest,
            _ => PathState::Clear,
        }
    }

    /// Returns a counter that grows whenever a result of [`Self::state`] changes for another reason
    /// than the passage of time.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Removes servers without events for five minutes. Visits every record.
    pub fn expire_idle(&mut self, now: Duration) {
        self.paths
            .retain(|_, path| now < path.last_event + RECORD_IDLE_TIMEOUT);
    }

    fn record_failures(&mut self, server: ServerKey, failures: u32, now: Duration) {
        let path = self.paths.entry(server).or_insert(PathRecord {
            failures: 0,
            avoidance: INITIAL_AVOIDANCE,
            avoided_until: Duration::ZERO,
            last_event: now,
        });
        path.last_event = now;
        path.failures = path.failures.saturating_add(failures);
        let already_avoided = now < path.avoided_until;
        if path.failures < AVOIDANCE_FAILURE_COUNT || already_avoided {
            return;
        }
        path.avoided_until = now + path.avoidance;
        path.avoidance = (path.avoidance * 2).min(MAX_AVOIDANCE);
        self.generation += 1;
    }
}
