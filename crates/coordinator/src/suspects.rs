//! Requests that were in flight when backend servers ended, from the reports of all gateways.
//!
//! Servers that end at the same moment, with a rack for instance, have another cause than the requests that they share.
//! Crashes count for a request only when each was sent after the server before had ended.

use std::collections::HashMap;
use std::time::Duration;

use radishpaddle_model::{Fingerprint, RequestCrash, SuspectRequest};

/// Time for which a request is remembered after its last crash.
const REMEMBERED: Duration = Duration::from_mins(10);

/// Requests that are remembered; the one whose last crash is the oldest makes room.
const MAX_SUSPECTS: usize = 1_024;

/// Crashes that are told apart for one request; more of them change nothing.
const MAX_CRASHES: usize = 16;

/// One crash, in local time.
#[derive(Debug, Clone, Copy)]
struct Crash {
    server: u64,
    sent_at: Duration,
    ended_at: Duration,
}

/// Suspect requests, with a position that grows with each change.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: HashMap<Fingerprint, Vec<Crash>>,
    position: u64,
}

impl Suspects {
    /// Counts a crash. Returns whether it is new: several gateways may have had the request at the same server.
    pub fn record(&mut self, crash: &RequestCrash, now: Duration) -> bool {
        if !self.suspects.contains_key(&crash.request) {
            self.make_room();
        }
        let crashes = self.suspects.entry(crash.request).or_default();
        let known = crashes.iter().any(|known| known.server == crash.server);
        if known || crashes.len() >= MAX_CRASHES {
            return false;
        }
        let at = |ago_ms: u32| now.saturating_sub(Duration::from_millis(ago_ms.into()));
        crashes.push(Crash {
            server: crash.server,
            sent_at: at(crash.sent_ms_ago),
            ended_at: at(crash.ended_ms_ago),
        });
        crashes.sort_by_key(|crash| crash.ended_at);
        self.position += 1;
        true
    }

    /// Forgets a request that a backend server answered. Returns whether it was known.
    pub fn clear(&mut self, request: &Fingerprint) -> bool {
        let known = self.suspects.remove(request).is_some();
        self.position += u64::from(known);
        known
    }

    /// Forgets requests without a crash for long.
    pub fn expire(&mut self, now: Duration) {
        let before = self.suspects.len();
        self.suspects
            .retain(|_, crashes| now.saturating_sub(last_end(crashes)) < REMEMBERED);
        self.position += u64::from(self.suspects.len() != before);
    }

    /// Position of the newest change.
    #[must_use]
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// The list for gateways.
    #[must_use]
    pub fn list(&self) -> Vec<SuspectRequest> {
        let suspects = self.suspects.iter();
        suspects
            .map(|(request, crashes)| SuspectRequest {
                request: *request,
                crashes: in_sequence(crashes),
            })
            .collect()
    }

    /// Every crash that is known, for a coordinator that has just started.
    #[must_use]
    pub fn crashes(&self, now: Duration) -> Vec<RequestCrash> {
        let ago = |at: Duration| {
            let age = now.saturating_sub(at).as_millis();
            u32::try_from(age).unwrap_or(u32::MAX)
        };
        let suspects = self.suspects.iter();
        let crashes = suspects.flat_map(|(request, crashes)| {
            crashes.iter().map(|crash| RequestCrash {
                request: *request,
                server: crash.server,
                sent_ms_ago: ago(crash.sent_at),
                ended_ms_ago: ago(crash.ended_at),
            })
        });
        crashes.collect()
    }

    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, crashes)| last_end(crashes));
        if let Some(request) = oldest.map(|(request, _)| *request) {
            self.suspects.remove(&request);
        }
    }
}

fn last_end(crashes: &[Crash]) -> Duration {
    crashes
        .last()
        .map_or(Duration::ZERO, |crash| crash.ended_at)
}

/// Length of the longest sequence of crashes of which each was sent after the one before had ended; `crashes` is in the
/// order of the ends.
fn in_sequence(crashes: &[Crash]) -> u32 {
    let mut count = 0;
    let mut last_end = None;
    for crash in crashes {
        if last_end.is_none_or(|end| crash.sent_at >= end) {
            count += 1;
            last_end = Some(crash.ended_at);
        }
    }
    count
}
