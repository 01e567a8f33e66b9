//! Progress of an answer whose body is being received.

use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::gateway::lock;

/// When the last part of an answer arrived.
#[derive(Debug, Default)]
pub struct AnswerProgress {
    last_part_at: Mutex<Option<Instant>>,
    begun: Notify,
}

impl AnswerProgress {
    /// Records that the head or a part of the body has arrived.
    pub fn record_part(&self) {
        let before = lock(&self.last_part_at).replace(Instant::now());
        if before.is_none() {
            self.begun.notify_one();
        }
    }

    /// Whether the answer has begun and no part of it has arrived for this time.
    #[must_use]
    pub fn is_stalled(&self, limit: Duration) -> bool {
        self.stalls_at(limit).is_some_and(|at| at <= Instant::now())
    }

    /// Waits until no part of an answer that has begun has arrived for this time.
    pub async fn stalled(&self, limit: Duration) {
        loop {
            match self.stalls_at(limit) {
                None => self.begun.notified().await,
                Some(at) if at <= Instant::now() => return,
                Some(at) => sleep_until(at).await,
            }
        }
    }

    fn stalls_at(&self, limit: Duration) -> Option<Instant> {
        lock(&self.last_part_at).map(|at| at + limit)
    }
}
