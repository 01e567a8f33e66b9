//! Detection of changes to a settings file that come without a reload signal.

use std::path::PathBuf;
use std::time::Duration;

use tokio::time::{Interval, MissedTickBehavior};

/// Period in which the file is read.
const CHECK_PERIOD: Duration = Duration::from_secs(2);

/// Compares the content of a file with what it was before. Modification times don't tell two changes in a row apart on
/// every file system.
pub struct FileWatch {
    path: PathBuf,
    content: Option<Vec<u8>>,
    checks: Interval,
}

impl FileWatch {
    /// Starts to watch a file from its present content.
    #[must_use]
    pub fn new(path: PathBuf) -> Self {
        let mut checks = tokio::time::interval(CHECK_PERIOD);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self {
            content: std::fs::read(&path).ok(),
            path,
            checks,
        }
    }

    /// Waits until the content differs from what it was at the last change. A file that can't be read counts as unchanged.
    pub async fn changed(&mut self) {
        loop {
            self.checks.tick().await;
            let content = std::fs::read(&self.path).ok();
            if content.is_some() && content != self.content {
                self.content = content;
                return;
            }
        }
    }
}
