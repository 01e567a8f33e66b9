//! Poison requests at one entry instance: detection of crashes, and the quarantine list that it
//! applies.

use std::collections::HashMap;
use std::time::Duration;

use radishpaddle_model::{Fingerprint, Incarnation};
use serde::{Deserialize, Serialize};

use crate::key::ServerKey;
use crate::lost_requests::LostRequests;
use crate::poison::{MAX_ENTRIES, SUSPECT_LIFETIME, TicketId};

/// Time for which a fingerprint that this instance marked as suspect stays suspect although the
/// list of the leader lacks it.
const LOCAL_MARK_LIFETIME: Duration = Duration::from_secs(5);

/// Identifies a crash of a backend server. Several requests in flight and several instances can
/// report the same crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CrashId {
    /// Backend server that crashed.
    pub server: ServerKey,
    /// Incarnation that crashed.
    pub incarnation: Incarnation,
}

/// State of a fingerprint that was in flight at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum PoisonState {
    /// One crash; the request runs only with a ticket.
    Suspect,
    /// Two crashes; the request is refused.
    Quarantined,
}

/// Entry of the quarantine list, as sent by the leader and reported by entry instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// State of the fingerprint.
    pub state: PoisonState,
    /// Number of crashes attributed to the fingerprint.
    pub crashes: u32,
    /// First of these crashes; `None` if it is a ticket without a result.
    pub first_crash: Option<CrashId>,
    /// Time until the entry expires, in milliseconds.
    pub remaining_ms: u64,
}

/// Whether a request may be dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request may run without a ticket.
    Run,
    /// The request needs a ticket from the leader.
    NeedsTicket,
    /// The request is refused as "not run" with result code 2012.
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

/// Quarantine list that one entry instance applies. An entry stays in force until it expires, even
/// while the leader is unreachable.
#[derive(Debug, Default)]
pub struct QuarantineView {
    fingerprints: HashMap<Fingerprint, KnownFingerprint>,
}

impl QuarantineView {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the list is empty. The caller can then skip the fingerprint of the request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.fingerprints.is_empty()
    }

    /// Returns whether a request may be dispatched.
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

    /// Marks a fingerprint as suspect at the first evidence of a crash, without waiting for the
    /// leader.
    pub fn mark_suspect(&mut self, fingerprint: Fingerprint, crash: CrashId, now: Duration) {
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

    /// Replaces the list by that of the leader, received at `now`. The caller checks the epoch
    /// ([`crate::VerdictView::apply`]). Fingerprints marked by this instance stay suspect for five
    /// seconds, since the leader may have created the list before it learned of the crash.
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

    /// Returns the entries in force, which a new leader adopts.
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

/// Crash of a backend server, with the requests of this instance that were in flight there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// Identifies the crash.
    pub id: CrashId,
    /// Fingerprints of the lost requests, each with its ticket if it had one.
    pub requests: Vec<(Fingerprint, Option<TicketId>)>,
}

#[derive(Debug, Clone, Copy)]
struct LostRequest {
    server: ServerKey,
    incarnation: Incarnation,
    fingerprint: Fingerprint,
    ticket: Option<TicketId>,
}

/// Distinguishes crashes from lost connections. A crash is a connection lost with the request in
/// flight, followed by a refused connection or a new incarnation within
/// [`CRASH_WINDOW`](crate::lost_requests::CRASH_WINDOW).
#[derive(Debug, Default)]
pub struct CrashWatch {
    lost_requests: LostRequests<LostRequest>,
}

impl CrashWatch {
    /// Creates a watch without lost requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request whose connection was lost.
    pub fn record_lost(
        &mut self,
        server: ServerKey,
        incarnation: Incarnation,
        fingerprint: Fingerprint,
        ticket: Option<TicketId>,
        now: Duration,
    ) {
        let lost = LostRequest {
            server,
            incarnation,
            fingerprint,
            ticket,
        };
        self.lost_requests.record(lost, now);
    }

    /// Records that the server refused a connection. Returns the crash that this confirms.
    pub fn record_refused(&mut self, server: ServerKey, now: Duration) -> Option<Crash> {
        self.confirm(now, |lost| lost.server == server)
    }

    /// Records that the server announced an incarnation. Returns the crash that this confirms.
    pub fn record_announced(
        &mut self,
        server: ServerKey,
        incarnation: Incarnation,
        now: Duration,
    ) -> Option<Crash> {
        let older = |lost: &LostRequest| lost.server == server && lost.incarnation < incarnation;
        self.confirm(now, older)
    }

    fn confirm(&mut self, now: Duration, crashed: impl Fn(&LostRequest) -> bool) -> Option<Crash> {
        let lost_requests = self.lost_requests.take(now, crashed);
        let first = lost_requests.first()?;
        let id = CrashId {
            server: first.server,
            incarnation: first.incarnation,
        };
        let requests = lost_requests.iter();
        let requests = requests
            .map(|lost| (lost.fingerprint, lost.ticket))
            .collect();
        Some(Crash { id, requests })
    }
}

pub(crate) fn to_whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
