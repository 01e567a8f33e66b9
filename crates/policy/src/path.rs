//! Local avoidance of backend servers that this entry instance cannot reach.

use std::collections::HashMap;
use std::time::Duration;

use crate::evidence::Completion;
use crate::key::ServerKey;

/// Path failures in a row that start the avoidance. One lost connection is common at a restart of
/// the server; three in a row without any response are not.
pub const FAILURES_TO_AVOID: u32 = 3;

/// First avoidance time; doubles with each failed attempt.
pub const FIRST_AVOIDANCE: Duration = Duration::from_secs(1);

/// Longest avoidance time.
pub const LONGEST_AVOIDANCE: Duration = Duration::from_secs(30);

/// Time after which an entry without events is forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(5);

/// Whether this instance should send to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathState {
    /// No reason to avoid the server.
    Clear,
    /// The server is avoided.
    Avoided,
    /// The avoidance time has passed; one request at a time may test the path.
    Retest,
}

#[derive(Debug, Clone, Copy)]
struct Path {
    failures: u32,
    avoidance: Duration,
    avoided_until: Duration,
    last_event: Duration,
}

/// Path faults as one entry instance sees them.
///
/// Memory is bounded by the number of servers with a recent path failure; a healthy server has no
/// entry.
#[derive(Debug, Default)]
pub struct PathAvoidance {
    paths: HashMap<ServerKey, Path>,
    generation: u64,
}

impl PathAvoidance {
    /// No server avoided.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records how a request to a server ended.
    pub fn observe(&mut self, server: ServerKey, completion: Completion, now: Duration) {
        match completion {
            Completion::Answered { .. } | Completion::Truncated | Completion::Shed => {
                if self.paths.remove(&server).is_some() {
                    self.generation += 1;
                }
            }
            Completion::ConnectFailed | Completion::ConnectionLost | Completion::TimedOut => {
                self.fail(server, 1, now);
            }
            Completion::Cancelled | Completion::ChargedToRequest => {}
        }
    }

    /// Starts the avoidance on advice of the leader, which saw other instances reach the server.
    pub fn advise(&mut self, server: ServerKey, now: Duration) {
        if self.state(server, now) == PathState::Clear {
            self.fail(server, FAILURES_TO_AVOID, now);
        }
    }

    /// Whether to send to a server. The floor takes precedence; see [`crate::Balancer`].
    #[must_use]
    pub fn state(&self, server: ServerKey, now: Duration) -> PathState {
        match self.paths.get(&server) {
            Some(path) if now < path.avoided_until => PathState::Avoided,
            Some(path) if path.failures >= FAILURES_TO_AVOID => PathState::Retest,
            _ => PathState::Clear,
        }
    }

    /// Changes whenever an answer of [`Self::state`] changes for another reason than time.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Forgets servers without events for five minutes. Cost: one step per entry.
    pub fn forget_old(&mut self, now: Duration) {
        self.paths
            .retain(|_, path| now < path.last_event + FORGET_AFTER);
    }

    fn fail(&mut self, server: ServerKey, failures: u32, now: Duration) {
        let path = self.paths.entry(server).or_insert(Path {
            failures: 0,
            avoidance: FIRST_AVOIDANCE,
            avoided_until: Duration::ZERO,
            last_event: now,
        });
        path.last_event = now;
        path.failures = path.failures.saturating_add(failures);
        let already_avoided = now < path.avoided_until;
        if path.failures < FAILURES_TO_AVOID || already_avoided {
            return;
        }
        path.avoided_until = now + path.avoidance;
        path.avoidance = (path.avoidance * 2).min(LONGEST_AVOIDANCE);
        self.generation += 1;
    }
}
