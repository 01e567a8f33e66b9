//! Requests that were in flight when backend servers ended, from the reports of all gateways.

use std::collections::HashMap;
use std::time::Duration;

use radishpaddle_model::{Fingerprint, RequestCrash, SuspectRequest};

/// Time for which a request is remembered after its last crash.
const REMEMBERED: Duration = Duration::from_mins(10);

/// Requests that are remembered; the one whose last crash is the oldest makes room.
const MAX_SUSPECTS: usize = 1_024;

/// Crashes that are told apart for one request; more of them change nothing.
const MAX_CRASHES: usize = 16;

#[derive(Debug)]
struct Suspect {
    servers: Vec<u64>,
    crashed_at: Duration,
}

/// Suspect requests, with a position that grows with each change.
#[derive(Debug, Default)]
pub struct Suspects {
    suspects: HashMap<Fingerprint, Suspect>,
    position: u64,
}

impl Suspects {
    /// Counts a crash. Returns whether it is new: several gateways may have had the request at the same server.
    pub fn record(&mut self, crash: RequestCrash, now: Duration) -> bool {
        if !self.suspects.contains_key(&crash.request) {
            self.make_room();
        }
        let suspect = self.suspects.entry(crash.request).or_insert(Suspect {
            servers: Vec::new(),
            crashed_at: now,
        });
        if suspect.servers.contains(&crash.server) || suspect.servers.len() >= MAX_CRASHES {
            return false;
        }
        suspect.servers.push(crash.server);
        suspect.crashed_at = now;
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
            .retain(|_, suspect| now.saturating_sub(suspect.crashed_at) < REMEMBERED);
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
            .map(|(request, suspect)| SuspectRequest {
                request: *request,
                crashes: u32::try_from(suspect.servers.len()).unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// Every crash that is known, for a coordinator that has just started.
    pub fn crashes(&self) -> impl Iterator<Item = RequestCrash> {
        self.suspects.iter().flat_map(|(request, suspect)| {
            let servers = suspect.servers.iter();
            servers.map(|server| RequestCrash {
                request: *request,
                server: *server,
            })
        })
    }

    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| suspect.crashed_at);
        if let Some(request) = oldest.map(|(request, _)| *request) {
            self.suspects.remove(&request);
        }
    }
}
