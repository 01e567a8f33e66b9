//! Suspect requests: requests that were in flight when a backend server crashed, as reported by all gateways.
//!
//! Backend servers that crash at the same time, for example with their rack, have a common cause other than the
//! requests that they share. Two crashes therefore both count against a request only if it was sent to the second
//! backend server after the first one had crashed.

use std::collections::HashMap;
use std::time::Duration;

use radishpaddle_model::{Fingerprint, RequestCrash, SuspectRequest};

/// Time after its last crash at which a suspect request expires.
const SUSPECT_EXPIRY: Duration = Duration::from_mins(10);

/// Maximum number of suspect requests. The request whose last crash is the oldest is evicted first.
const MAX_SUSPECTS: usize = 1_024;

/// Maximum number of crashes recorded for one request. Beyond it, crashes that do not count are dropped first, and
/// then the oldest one, so that a request whose copies crash many servers together is still counted.
const MAX_CRASHES_PER_REQUEST: usize = 16;

/// Crash of one backend server while the request was in flight there, in local time.
#[derive(Debug, Clone, Copy)]
struct Crash {
    server: u64,
    sent_at: Duration,
    ended_at: Duration,
}

/// Suspect requests, with a position that increases with each change.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: HashMap<Fingerprint, Vec<Crash>>,
    position: u64,
}

impl Suspects {
    /// Records a crash. Returns `false` for a crash of the same backend server process that another gateway has
    /// already reported for this request, and when the request has reached its maximum number of crashes and this one
    /// does not count.
    pub fn record(&mut self, crash: &RequestCrash, now: Duration) -> bool {
        if !self.suspects.contains_key(&crash.request) {
            self.evict_oldest_if_full();
        }
        let crashes = self.suspects.entry(crash.request).or_default();
        if crashes.iter().any(|other| other.server == crash.server) {
            return false;
        }
        let at = |ago_ms: u32| now.saturating_sub(Duration::from_millis(ago_ms.into()));
        crashes.push(Crash {
            server: crash.server,
            sent_at: at(crash.sent_ms_ago),
            ended_at: at(crash.ended_ms_ago),
        });
        crashes.sort_by_key(|crash| (crash.ended_at, crash.server));
        if crashes.len() > MAX_CRASHES_PER_REQUEST {
            let dropped = crashes.remove(least_relevant(crashes));
            if dropped.server == crash.server {
                return false;
            }
        }
        self.position += 1;
        true
    }

    /// Removes a request that a backend server has answered. Returns whether the request was a suspect.
    pub fn clear(&mut self, request: &Fingerprint) -> bool {
        let was_suspect = self.suspects.remove(request).is_some();
        self.position += u64::from(was_suspect);
        was_suspect
    }

    /// Removes requests whose last crash is older than `SUSPECT_EXPIRY`.
    pub fn expire(&mut self, now: Duration) {
        let before = self.suspects.len();
        self.suspects
            .retain(|_, crashes| now.saturating_sub(last_end(crashes)) < SUSPECT_EXPIRY);
        self.position += u64::from(self.suspects.len() != before);
    }

    /// Returns the position of the newest change.
    #[must_use]
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// Returns every suspect request with its crash count, for gateways.
    #[must_use]
    pub fn list(&self) -> Vec<SuspectRequest> {
        let suspects = self.suspects.iter();
        suspects
            .map(|(request, crashes)| SuspectRequest {
                request: *request,
                crashes: u32::try_from(longest_sequence(crashes).len()).unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// Returns every recorded crash, for a coordinator that needs the full state.
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

    fn evict_oldest_if_full(&mut self) {
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

/// Returns the indices of the longest sequence of crashes in which the request was sent to each backend server after
/// the previous one had crashed. `crashes` must be sorted by `ended_at`.
fn longest_sequence(crashes: &[Crash]) -> Vec<usize> {
    let mut sequence = Vec::new();
    let mut last_end = None;
    for (index, crash) in crashes.iter().enumerate() {
        if last_end.is_none_or(|end| crash.sent_at >= end) {
            sequence.push(index);
            last_end = Some(crash.ended_at);
        }
    }
    sequence
}

/// Returns the index of the newest crash outside the longest sequence, or of the oldest crash if all belong to it.
fn least_relevant(crashes: &[Crash]) -> usize {
    let sequence = longest_sequence(crashes);
    let mut newest_first = (0..crashes.len()).rev();
    newest_first
        .find(|index| !sequence.contains(index))
        .unwrap_or(0)
}
