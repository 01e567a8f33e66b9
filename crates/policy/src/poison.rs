//! Quarantine of poison requests, which crash backend servers; decided by the leader.
//!
//! A request that crashes every server that runs it costs at most two servers, plus one for each
//! copy that was in flight when the first crash was reported. The first crash makes the request
//! suspect. A suspect request runs only under its single outstanding ticket, and a crash or a
//! missing result under that ticket quarantines it. Copies without a ticket were dispatched before
//! the request was marked.

use std::collections::HashMap;
use std::time::Duration;

use radishpaddle_model::{Fingerprint, InstanceId};
use serde::{Deserialize, Serialize};

use crate::quarantine::{CrashId, PoisonState, QuarantineEntry, to_whole_ms};

/// Time for which a request stays suspect after its last crash.
pub const SUSPECT_LIFETIME: Duration = Duration::from_mins(10);

/// Time for which a quarantined request is refused.
pub const QUARANTINE_LIFETIME: Duration = Duration::from_mins(10);

/// Upper bound of the time for which a ticket allows its request to run. A new leader grants no
/// ticket for an adopted suspect before this time has passed, since a ticket of its predecessor may
/// be outstanding.
pub const MAX_TICKET_LIFETIME: Duration = Duration::from_secs(30);

/// Maximum number of fingerprints. An entry takes about 100 bytes, so the table stays below 1 MB. A
/// full table evicts the suspect that expires first, or without suspects the quarantined
/// fingerprint that expires first.
pub const MAX_ENTRIES: usize = 4096;

/// Identifies a ticket for one run of a suspect request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TicketId {
    /// Epoch of the leader.
    pub epoch: u64,
    /// Number of the ticket within the epoch.
    pub number: u64,
}

/// Response to a request for a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TicketResponse {
    /// The request may run once. It must be cancelled when `valid_ms` have passed since the request
    /// for the ticket.
    Granted {
        /// The granted ticket.
        ticket: TicketId,
        /// Time for which the request may run, in milliseconds.
        valid_ms: u64,
    },
    /// No ticket is granted at present, since another one is or may be outstanding.
    Busy {
        /// Upper bound of the time until a ticket can be granted, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request is quarantined.
    Refused {
        /// Time until the quarantine ends, in milliseconds.
        remaining_ms: u64,
    },
    /// The fingerprint is not suspect; the request runs without a ticket.
    NotSuspect,
}

/// Result of a request that ran under a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TicketOutcome {
    /// A backend server answered. The fingerprint is no longer suspect.
    Answered,
    /// The request reached no backend server.
    NotRun,
    /// The backend server crashed.
    Crashed {
        /// Identifies the crash.
        crash: CrashId,
    },
    /// Neither an answer nor a crash, for example a time-out. The fingerprint stays suspect.
    Unknown,
}

#[derive(Debug, Clone)]
struct OutstandingTicket {
    id: TicketId,
    holder: InstanceId,
    /// Time at which the ticket counts as a crash if no result has arrived.
    expires_at: Duration,
}

#[derive(Debug, Clone)]
struct RegistryEntry {
    state: PoisonState,
    crashes: u32,
    first_crash: Option<CrashId>,
    expires_at: Duration,
    /// Time before which a ticket of an earlier leader may be outstanding.
    no_ticket_before: Duration,
    ticket: Option<OutstandingTicket>,
}

/// Fingerprints at the leader that were in flight when a backend server crashed.
#[derive(Debug)]
pub struct PoisonRegistry {
    epoch: u64,
    started_at: Duration,
    last_ticket_number: u64,
    generation: u64,
    entries: HashMap<Fingerprint, RegistryEntry>,
}

impl PoisonRegistry {
    /// Creates the empty registry of the leader of `epoch`, whose term begins at `now`.
    #[must_use]
    pub fn new(epoch: u64, now: Duration) -> Self {
        Self {
            epoch,
            started_at: now,
            last_ticket_number: 0,
            generation: 0,
            entries: HashMap::new(),
        }
    }

    /// Merges the entries that an entry instance holds from an earlier leader. The worse state and
    /// the later expiry apply.
    pub fn adopt(&mut self, reported: &[QuarantineEntry], now: Duration) {
        for entry in reported.iter().take(MAX_ENTRIES) {
            let expires_at = now + Duration::from_millis(entry.remaining_ms);
            let no_ticket_before = self.started_at + MAX_TICKET_LIFETIME;
            let known = self.entry_or_insert(entry.fingerprint, no_ticket_before, now);
            let before = (known.state, known.crashes);
            known.merge(entry);
            known.expires_at = known.expires_at.max(expires_at);
            if before != (known.state, known.crashes) {
                self.generation += 1;
            }
        }
    }

    /// Records a crash with the request in flight, and returns the new state. A repeated report of
    /// the first crash is not counted again, since the server may have had several copies in
    /// flight.
    pub fn crashed(
        &mut self,
        fingerprint: Fingerprint,
        crash: CrashId,
        now: Duration,
    ) -> PoisonState {
        let entry = self.entry_or_insert(fingerprint, now, now);
        if entry.first_crash != Some(crash) {
            entry.record_crash(Some(crash), now);
        }
        let state = entry.state;
        self.generation += 1;
        state
    }

    /// Grants the ticket for a suspect request whose deadline is `deadline` from now, if no other
    /// ticket is outstanding.
    pub fn request_ticket(
        &mut self,
        fingerprint: Fingerprint,
        holder: &InstanceId,
        deadline: Duration,
        now: Duration,
    ) -> TicketResponse {
        self.expire(now);
        let number = self.last_ticket_number + 1;
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return TicketResponse::NotSuspect;
        };
        if entry.state == PoisonState::Quarantined {
            let remaining_ms = to_whole_ms(entry.expires_at.saturating_sub(now));
            return TicketResponse::Refused { remaining_ms };
        }
        let ticket_until = entry.ticket.as_ref().map(|ticket| ticket.expires_at);
        let busy_until = ticket_until.unwrap_or_default().max(entry.no_ticket_before);
        if now < busy_until {
            let retry_after_ms = to_whole_ms(busy_until.saturating_sub(now));
            return TicketResponse::Busy { retry_after_ms };
        }
        self.last_ticket_number = number;
        let id = TicketId {
            epoch: self.epoch,
            number,
        };
        entry.grant(id, holder, deadline, now)
    }

    /// Records the result of a request that ran under a ticket. Returns the new state, or `None`
    /// when the fingerprint is no longer suspect. The result of a ticket that is not outstanding is
    /// ignored, except that a crash always counts.
    pub fn finish_ticket(
        &mut self,
        fingerprint: Fingerprint,
        ticket: TicketId,
        outcome: TicketOutcome,
        now: Duration,
    ) -> Option<PoisonState> {
        self.expire(now);
        if let TicketOutcome::Crashed { crash } = outcome {
            return Some(self.crashed(fingerprint, crash, now));
        }
        let entry = self.entries.get_mut(&fingerprint)?;
        if entry.ticket.as_ref().map(|out| out.id) == Some(ticket) {
            entry.ticket = None;
            if outcome == TicketOutcome::Answered {
                self.entries.remove(&fingerprint);
                self.generation += 1;
                return None;
            }
        }
        self.entries.get(&fingerprint).map(|entry| entry.state)
    }

    /// Returns whether a crash with this request in flight is charged to the request and not to the
    /// server.
    #[must_use]
    pub fn is_charged(&self, fingerprint: &Fingerprint) -> bool {
        let entry = self.entries.get(fingerprint);
        entry.is_some_and(|entry| entry.state == PoisonState::Quarantined)
    }

    /// Returns the instance that holds the outstanding ticket of a suspect request.
    #[must_use]
    pub fn ticket_holder(&self, fingerprint: &Fingerprint) -> Option<&InstanceId> {
        let entry = self.entries.get(fingerprint)?;
        entry.ticket.as_ref().map(|ticket| &ticket.holder)
    }

    /// Returns a counter that grows whenever the list changes for another reason than the passage
    /// of time.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the list for the entry instances.
    #[must_use]
    pub fn entries(&self, now: Duration) -> Vec<QuarantineEntry> {
        let in_force = self
            .entries
            .iter()
            .filter(|(_, entry)| now < entry.expires_at);
        in_force
            .map(|(fingerprint, entry)| QuarantineEntry {
                fingerprint: *fingerprint,
                state: entry.state,
                crashes: entry.crashes,
                first_crash: entry.first_crash,
                remaining_ms: to_whole_ms(entry.expires_at.saturating_sub(now)),
            })
            .collect()
    }

    /// Removes expired entries. A ticket that expired without a result counts as a crash, since its
    /// holder may have been lost after the dispatch. The caller runs this every drain period; it
    /// visits every entry.
    pub fn expire(&mut self, now: Duration) {
        let mut crashes_recorded = 0;
        for entry in self.entries.values_mut() {
            let expired = |ticket: &OutstandingTicket| ticket.expires_at <= now;
            if entry.ticket.as_ref().is_some_and(expired) {
                entry.record_crash(None, now);
                crashes_recorded += 1;
            }
        }
        let before = self.entries.len();
        self.entries.retain(|_, entry| now < entry.expires_at);
        if crashes_recorded > 0 || self.entries.len() != before {
            self.generation += 1;
        }
    }

    fn entry_or_insert(
        &mut self,
        fingerprint: Fingerprint,
        no_ticket_before: Duration,
        now: Duration,
    ) -> &mut RegistryEntry {
        if !self.entries.contains_key(&fingerprint) {
            self.evict_if_full(now);
        }
        self.entries.entry(fingerprint).or_insert(RegistryEntry {
            state: PoisonState::Suspect,
            crashes: 0,
            first_crash: None,
            expires_at: now,
            no_ticket_before,
            ticket: None,
        })
    }

    fn evict_if_full(&mut self, now: Duration) {
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        self.expire(now);
        while self.entries.len() >= MAX_ENTRIES {
            let first = self
                .entries
                .iter()
                .min_by_key(|(fingerprint, entry)| (entry.state, entry.expires_at, **fingerprint));
            let Some(oldest) = first.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.entries.remove(&oldest);
        }
    }
}

impl RegistryEntry {
    /// Merges the entry of another instance. Two different first crashes count as two crashes.
    fn merge(&mut self, other: &QuarantineEntry) {
        let is_new = self.crashes == 0;
        let differ = self.first_crash != other.first_crash && !is_new;
        self.state = self.state.max(other.state);
        self.crashes = self.crashes.max(other.crashes);
        if differ && other.crashes > 0 {
            self.crashes = self.crashes.max(2);
            self.state = PoisonState::Quarantined;
        }
        self.first_crash = self.first_crash.or(other.first_crash);
    }

    fn record_crash(&mut self, crash: Option<CrashId>, now: Duration) {
        self.crashes = self.crashes.saturating_add(1);
        self.first_crash = self.first_crash.or(crash);
        self.ticket = None;
        if self.crashes >= 2 {
            self.state = PoisonState::Quarantined;
        }
        let life = match self.state {
            PoisonState::Suspect => SUSPECT_LIFETIME,
            PoisonState::Quarantined => QUARANTINE_LIFETIME,
        };
        self.expires_at = now + life;
    }

    fn grant(
        &mut self,
        id: TicketId,
        holder: &InstanceId,
        deadline: Duration,
        now: Duration,
    ) -> TicketResponse {
        let valid = deadline.min(MAX_TICKET_LIFETIME);
        self.ticket = Some(OutstandingTicket {
            id,
            holder: holder.clone(),
            // The margin covers the message that reports the result.
            expires_at: now + valid + TICKET_RESULT_MARGIN,
        });
        TicketResponse::Granted {
            ticket: id,
            valid_ms: to_whole_ms(valid),
        }
    }
}

/// Time for the result of a ticket to reach the leader after the request ended.
const TICKET_RESULT_MARGIN: Duration = Duration::from_secs(2);
