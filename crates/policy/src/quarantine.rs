//! Poison requests as one entry instance sees them: fingerprints, crashes, and the list of the
//! leader.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use radishpaddle_model::{Fingerprint, Incarnation};
use serde::{Deserialize, Serialize};

use crate::key::ServerKey;
use crate::poison::{MAX_ENTRIES, SUSPECT_LIFETIME, TicketId};

/// Time within which a lost connection can be explained by a crash.
pub const CRASH_WINDOW: Duration = Duration::from_secs(10);

/// Time for which a mark made here outlives a list of the leader that lacks it.
const LOCAL_MARK_LIFETIME: Duration = Duration::from_secs(5);

/// Lost requests that are remembered while it is open whether the server crashed.
pub const MAX_LOST_REQUESTS: usize = 1024;

/// One crash of a backend server. Several requests in flight and several instances report the same
/// one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CrashId {
    /// The backend server.
    pub server: ServerKey,
    /// Incarnation that crashed.
    pub incarnation: Incarnation,
}

/// What is known about a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum PoisonState {
    /// One crash; runs only with a ticket.
    Suspect,
    /// Two crashes; refused.
    Quarantined,
}

/// Entry of the quarantine list, as the leader sends it and entry instances report it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// What is known about it.
    pub state: PoisonState,
    /// Crashes that were attributed to it.
    pub crashes: u32,
    /// The first of them, `None` when it is a ticket without result.
    pub first_crash: Option<CrashId>,
    /// Time until the entry expires, in milliseconds.
    pub remaining_ms: u64,
}

/// Whether a request may be dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// No crash is known.
    Run,
    /// Needs a ticket from the leader.
    NeedsTicket,
    /// Refuse as "not run" with code 2012.
    Refuse {
        /// Time until the quarantine ends.
        remaining: Duration,
    },
}

#[derive(Debug, Clone, Copy)]
struct KnownFingerprint {
    state: PoisonState,
    crashes: u32,
    first_crash: Option<CrashId>,
    expires_at: Duration,
    local_mark_until: Duration,
}

/// Quarantine list as one entry instance knows it. An entry stays in force until it expires, also
/// while the leader is unreachable.
#[derive(Debug, Default)]
pub struct QuarantineView {
    fingerprints: HashMap<Fingerprint, KnownFingerprint>,
}

impl QuarantineView {
    /// Empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether no fingerprint is known; the caller may then skip hashing the request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.fingerprints.is_empty()
    }

    /// Whether a request may be dispatched.
    #[must_use]
    pub fn admit(&self, fingerprint: &Fingerprint, now: Duration) -> Admission {
        match self.fingerprints.get(fingerprint) {
            Some(known) if now < known.expires_at => match known.state {
                PoisonState::Suspect => Admission::NeedsTicket,
                PoisonState::Quarantined => Admission::Refuse {
                    remaining: known.expires_at.saturating_sub(now),
                },
            },
            _ => Admission::Run,
        }
    }

    /// Marks a fingerprint as suspect at the first sign of a crash, before the leader has
    /// answered.
    pub fn suspect(&mut self, fingerprint: Fingerprint, crash: CrashId, now: Duration) {
        self.evict_if_full(now);
        self.fingerprints
            .entry(fingerprint)
            .or_insert(KnownFingerprint {
                state: PoisonState::Suspect,
                crashes: 1,
                first_crash: Some(crash),
                expires_at: now + SUSPECT_LIFETIME,
                local_mark_until: now + LOCAL_MARK_LIFETIME,
            });
    }

    /// Replaces the list by that of the leader, which was received at `now`. The caller checks the
    /// epoch ([`crate::VerdictView::apply`]). Marks made here remain for five seconds, since the
    /// list may have been made before the leader knew of the crash.
    pub fn replace(&mut self, entries: &[QuarantineEntry], now: Duration) {
        self.fingerprints
            .retain(|_, known| now < known.local_mark_until);
        for entry in entries.iter().take(MAX_ENTRIES) {
            let known = KnownFingerprint {
                state: entry.state,
                crashes: entry.crashes,
                first_crash: entry.first_crash,
                expires_at: now + Duration::from_millis(entry.remaining_ms),
                local_mark_until: Duration::ZERO,
            };
            self.fingerprints.insert(entry.fingerprint, known);
        }
    }

    /// Entries in force, to report to a new leader.
    #[must_use]
    pub fn entries(&self, now: Duration) -> Vec<QuarantineEntry> {
        let in_force = self
            .fingerprints
            .iter()
            .filter(|(_, known)| now < known.expires_at);
        in_force
            .map(|(fingerprint, known)| QuarantineEntry {
                fingerprint: *fingerprint,
                state: known.state,
                crashes: known.crashes,
                first_crash: known.first_crash,
                remaining_ms: to_whole_ms(known.expires_at.saturating_sub(now)),
            })
            .collect()
    }

    fn evict_if_full(&mut self, now: Duration) {
        if self.fingerprints.len() < MAX_ENTRIES {
            return;
        }
        self.fingerprints.retain(|_, known| now < known.expires_at);
        while self.fingerprints.len() >= MAX_ENTRIES {
            let first = self
                .fingerprints
                .iter()
                .min_by_key(|(fingerprint, known)| (known.state, known.expires_at, **fingerprint));
            let Some(oldest) = first.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.fingerprints.remove(&oldest);
        }
    }
}

/// A crash of a backend server with the requests that it had in flight at this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The crash.
    pub id: CrashId,
    /// Requests lost, each with the ticket under which it ran.
    pub requests: Vec<(Fingerprint, Option<TicketId>)>,
}

#[derive(Debug, Clone, Copy)]
struct LostRequest {
    server: ServerKey,
    incarnation: Incarnation,
    fingerprint: Fingerprint,
    ticket: Option<TicketId>,
    at: Duration,
}

/// Tells a crash from a lost connection: a crash is a connection lost with the request in flight,
/// followed by a refused connection or a new incarnation within [`CRASH_WINDOW`].
#[derive(Debug, Default)]
pub struct CrashWatch {
    lost_requests: VecDeque<LostRequest>,
}

impl CrashWatch {
    /// Watch without lost requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request whose connection was lost. At most [`MAX_LOST_REQUESTS`] are remembered; the
    /// oldest is dropped first.
    pub fn lost(
        &mut self,
        server: ServerKey,
        incarnation: Incarnation,
        fingerprint: Fingerprint,
        ticket: Option<TicketId>,
        now: Duration,
    ) {
        self.expire(now);
        if self.lost_requests.len() == MAX_LOST_REQUESTS {
            self.lost_requests.pop_front();
        }
        self.lost_requests.push_back(LostRequest {
            server,
            incarnation,
            fingerprint,
            ticket,
            at: now,
        });
    }

    /// The server refused a connection. Returns the crash that this confirms.
    pub fn refused(&mut self, server: ServerKey, now: Duration) -> Option<Crash> {
        self.confirm(now, |lost| lost.server == server)
    }

    /// The server announced an incarnation. Returns the crash that this confirms.
    pub fn announced(
        &mut self,
        server: ServerKey,
        incarnation: Incarnation,
        now: Duration,
    ) -> Option<Crash> {
        let older = |lost: &LostRequest| lost.server == server && lost.incarnation < incarnation;
        self.confirm(now, older)
    }

    fn confirm(&mut self, now: Duration, crashed: impl Fn(&LostRequest) -> bool) -> Option<Crash> {
        self.expire(now);
        let first = self.lost_requests.iter().find(|lost| crashed(lost))?;
        let id = CrashId {
            server: first.server,
            incarnation: first.incarnation,
        };
        let requests = self.lost_requests.iter().filter(|lost| crashed(lost));
        let requests = requests
            .map(|lost| (lost.fingerprint, lost.ticket))
            .collect();
        self.lost_requests.retain(|lost| !crashed(lost));
        Some(Crash { id, requests })
    }

    fn expire(&mut self, now: Duration) {
        while let Some(first) = self.lost_requests.front() {
            if now < first.at + CRASH_WINDOW {
                return;
            }
            self.lost_requests.pop_front();
        }
    }
}

pub(crate) fn to_whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
