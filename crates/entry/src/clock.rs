//! Local time of this process for the decision code.

use std::time::Duration;

use tokio::time::Instant;

/// Time since the start of the process by the clock of the runtime.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Time since the start at an instant of the runtime.
    #[must_use]
    pub fn at(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.started_at)
    }
}
