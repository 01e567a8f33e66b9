//! What backend servers said about new requests, by server and incarnation.
//!
//! The table is separate from the list of known servers: a server that coordinators remove and announce again, or a list
//! that was on its way, must not end what the server said itself.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::ServerIncarnation;

use crate::intake::{Intake, NoNewRequests, PauseChange, RetryAfter, extended_pause};

/// Maximum number of servers in the table, which bounds its memory to about 2 MB. Servers that left stay in it.
pub const MAX_SERVERS: usize = 16_384;

/// State of all servers that asked for a pause or are leaving.
#[derive(Debug, Default)]
pub struct IntakeTable {
    entries: HashMap<Arc<str>, Entry>,
}

/// State of the incarnations with one server name.
#[derive(Debug, Default)]
struct Entry {
    /// Newest incarnation that asked for a pause or said that it is leaving.
    started_at_ms: u64,
    intake: Intake,
    /// Newest incarnation before it that is leaving. A coordinator that fell behind may announce that one again.
    left_before: Option<u64>,
    changed_at: Duration,
}

impl Entry {
    fn new(started_at_ms: u64) -> Self {
        Self {
            started_at_ms,
            ..Self::default()
        }
    }

    /// Makes an incarnation the newest one, unless a later one has answered already.
    fn advance_to(&mut self, started_at_ms: u64) {
        if started_at_ms <= self.started_at_ms {
            return;
        }
        if self.intake.is_leaving() {
            self.left_before = Some(self.started_at_ms);
        }
        self.started_at_ms = started_at_ms;
        self.intake = Intake::default();
    }

    /// Why an incarnation gets no new requests. Requests for an earlier one than the newest would reach the newest.
    fn refusal(&self, started_at_ms: u64, now: Duration) -> Option<NoNewRequests> {
        let has_left = self.left_before.is_some_and(|left| started_at_ms <= left);
        if has_left {
            return Some(NoNewRequests::Leaving);
        }
        let is_covered = started_at_ms <= self.started_at_ms;
        self.intake.refusal(now).filter(|_| is_covered)
    }
}

impl IntakeTable {
    /// Records that a server is leaving. Returns whether that is new.
    pub fn record_leaving(&mut self, server: &ServerIncarnation, now: Duration) -> bool {
        if self.is_leaving(&server.name, server.started_at_ms) {
            return false;
        }
        let entry = self.entry(server, now);
        if server.started_at_ms < entry.started_at_ms {
            entry.left_before = Some(server.started_at_ms);
            return true;
        }
        entry.changed_at = now;
        entry.intake.record_leaving()
    }

    /// Records that a server wants a pause, which is extended at random; `random` is from 0 (inclusive) to 1 (exclusive).
    /// Returns `None` when nothing changes, also when a later incarnation has answered already.
    pub fn record_pause(
        &mut self,
        server: &ServerIncarnation,
        pause: RetryAfter,
        random: f64,
        now: Duration,
    ) -> Option<PauseChange> {
        let entry = self.entry(server, now);
        if server.started_at_ms < entry.started_at_ms {
            return None;
        }
        entry.changed_at = now;
        entry
            .intake
            .record_pause(extended_pause(pause, random), now)
    }

    /// Why an incarnation of a server gets no new requests; `None` when it gets some.
    #[must_use]
    pub fn refusal(&self, name: &str, started_at_ms: u64, now: Duration) -> Option<NoNewRequests> {
        self.entries.get(name)?.refusal(started_at_ms, now)
    }

    /// Whether an incarnation of a server is leaving.
    #[must_use]
    pub fn is_leaving(&self, name: &str, started_at_ms: u64) -> bool {
        // Leaving does not depend on the time.
        let refusal = self.refusal(name, started_at_ms, Duration::ZERO);
        refusal == Some(NoNewRequests::Leaving)
    }

    /// Whether a pause of the server has ended and [`take_ended_pause`](Self::take_ended_pause) was not called since.
    #[must_use]
    pub fn has_ended_pause(&self, name: &str, started_at_ms: u64, now: Duration) -> bool {
        self.entries.get(name).is_some_and(|entry| {
            entry.started_at_ms == started_at_ms && entry.intake.has_ended_pause(now)
        })
    }

    /// Returns the time at which the last pause of a server ended and forgets it; `None` without a pause or while it lasts.
    pub fn take_ended_pause(
        &mut self,
        name: &str,
        started_at_ms: u64,
        now: Duration,
    ) -> Option<Duration> {
        let entry = self.entries.get_mut(name)?;
        if entry.started_at_ms != started_at_ms {
            return None;
        }
        entry.intake.take_ended_pause(now)
    }

    /// Number of servers that are paused and not leaving.
    #[must_use]
    pub fn paused_servers(&self, now: Duration) -> usize {
        let entries = self.entries.values();
        let refusals = entries.map(|entry| entry.intake.refusal(now));
        let paused = |refusal: &Option<_>| matches!(refusal, Some(NoNewRequests::Paused { .. }));
        refusals.filter(paused).count()
    }

    /// Number of servers in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no server has asked for a pause or said that it is leaving.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the entry of a server, with the incarnation as the newest one unless a later one is known.
    fn entry(&mut self, server: &ServerIncarnation, now: Duration) -> &mut Entry {
        if self.entries.len() >= MAX_SERVERS && !self.entries.contains_key(&server.name) {
            self.evict(now);
        }
        let entry = self.entries.entry(Arc::clone(&server.name));
        let entry = entry.or_insert_with(|| Entry::new(server.started_at_ms));
        entry.advance_to(server.started_at_ms);
        entry
    }

    /// Removes the servers whose pause has ended, or the entry that is unchanged for longest if there are none.
    fn evict(&mut self, now: Duration) {
        self.entries
            .retain(|_, entry| entry.intake.refusal(now).is_some() || entry.left_before.is_some());
        if self.entries.len() < MAX_SERVERS {
            return;
        }
        let oldest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.changed_at);
        if let Some(name) = oldest.map(|(name, _)| Arc::clone(name)) {
            self.entries.remove(&name);
        }
    }
}
