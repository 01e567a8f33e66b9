//! Process time, which the policy and quorum code gets passed as an argument.

use std::time::Duration;

use tokio::time::Instant;

/// Monotonic clock that counts from the start of the process. It follows the clock of the Tokio
/// runtime.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Converts an instant of the runtime to the time since the start; zero for earlier instants.
    #[must_use]
    pub fn at(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.started_at)
    }
}
