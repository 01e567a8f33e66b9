//! Requests whose connection was lost while they were in flight, until the cause is known.
//!
//! The loss alone does not tell a crash of the backend server from a fault of the network path. Evidence of a crash,
//! such as a refused connection or a later start of the server, is attributed to the losses shortly before it.

use std::collections::VecDeque;
use std::time::Duration;

/// Time after a lost connection in which evidence of a crash is attributed to it.
pub const CRASH_WINDOW: Duration = Duration::from_secs(10);

/// Maximum number of lost requests that wait for evidence of a crash. Beyond it, the oldest is dropped.
pub const MAX_LOST_REQUESTS: usize = 1024;

/// Lost requests of the last [`CRASH_WINDOW`], oldest first.
#[derive(Debug)]
pub struct LostRequests<T> {
    requests: VecDeque<(Duration, T)>,
}

impl<T> Default for LostRequests<T> {
    fn default() -> Self {
        Self {
            requests: VecDeque::new(),
        }
    }
}

impl<T> LostRequests<T> {
    /// Records a request whose connection was lost at `now`.
    pub fn record(&mut self, request: T, now: Duration) {
        self.expire(now);
        if self.requests.len() == MAX_LOST_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back((now, request));
    }

    /// Removes the requests whose loss is explained, and returns them.
    pub fn take(&mut self, now: Duration, is_explained: impl Fn(&T) -> bool) -> Vec<T> {
        self.expire(now);
        if !self
            .requests
            .iter()
            .any(|(_, request)| is_explained(request))
        {
            return Vec::new();
        }
        let mut taken = Vec::new();
        for (at, request) in std::mem::take(&mut self.requests) {
            if is_explained(&request) {
                taken.push(request);
            } else {
                self.requests.push_back((at, request));
            }
        }
        taken
    }

    fn expire(&mut self, now: Duration) {
        while let Some((at, _)) = self.requests.front() {
            if now < *at + CRASH_WINDOW {
                return;
            }
            self.requests.pop_front();
        }
    }
}
