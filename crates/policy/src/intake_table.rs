//! What backend servers said about new requests, by server and incarnation.
//!
//! An answer counts for all starts of its server that may have given it, see [`AnswerSource`].
//!
//! The table is separate from the list of known servers: a server that coordinators remove and announce again, or a list
//! that was on its way, must not end what the server said itself.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::answer_source::AnswerSource;
use crate::intake::{Intake, NoNewRequests, PauseChange, RetryAfter, extended_pause};

/// Maximum number of servers in the table, which bounds its memory to about 2 MB. Servers that left stay in it.
pub const MAX_SERVERS: usize = 16_384;

/// Time for which an answer counts for starts that were announced later. By then a server that was leaving has ended, and
/// one that was not has been kept out long enough for a difference between the clocks of two machines.
pub const UNANNOUNCED_START_TIMEOUT: Duration = Duration::from_secs(30);

/// State of all servers that asked for a pause or are leaving.
#[derive(Debug, Default)]
pub struct IntakeTable {
    entries: HashMap<Arc<str>, Entry>,
}

/// State of the incarnations with one server name.
#[derive(Debug, Default)]
struct Entry {
    /// Newest incarnation that is known to have asked for a pause or said that it is leaving.
    started_at_ms: u64,
    /// Latest incarnation that may have said so instead.
    latest_start_ms: u64,
    intake: Intake,
    /// Newest incarnation before it that is leaving. A coordinator that fell behind may announce that one again.
    left_before: Option<u64>,
    changed_at: Duration,
}

impl Entry {
    fn new(started_at_ms: u64) -> Self {
        Self {
            started_at_ms,
            latest_start_ms: started_at_ms,
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
        self.latest_start_ms = started_at_ms;
        self.intake = Intake::default();
    }

    /// Whether what was said counts for an incarnation. Requests for an earlier one than the newest would reach the newest.
    fn covers(&self, started_at_ms: u64, now: Duration) -> bool {
        let may_have_answered = started_at_ms <= self.latest_start_ms
            && now.saturating_sub(self.changed_at) < UNANNOUNCED_START_TIMEOUT;
        started_at_ms <= self.started_at_ms || may_have_answered
    }

    /// Why an incarnation gets no new requests.
    fn refusal(&self, started_at_ms: u64, now: Duration) -> Option<NoNewRequests> {
        let has_left = self.left_before.is_some_and(|left| started_at_ms <= left);
        if has_left {
            return Some(NoNewRequests::Leaving);
        }
        let refusal = self.intake.refusal(now)?;
        self.covers(started_at_ms, now).then_some(refusal)
    }
}

impl IntakeTable {
    /// Records that a server is leaving. Returns whether that is new.
    pub fn record_leaving(&mut self, source: impl Into<AnswerSource>, now: Duration) -> bool {
        let source = source.into();
        let server = &source.earliest;
        let was_leaving = self.is_leaving(&server.name, server.started_at_ms, now);
        let entry = self.entry(&source, now);
        if source.latest_start_ms < entry.started_at_ms {
            if !was_leaving {
                entry.left_before = Some(server.started_at_ms);
            }
            return !was_leaving;
        }
        entry.latest_start_ms = entry.latest_start_ms.max(source.latest_start_ms);
        entry.changed_at = now;
        entry.intake.record_leaving()
    }

    /// Records that a server wants a pause, which is extended at random; `random` is from 0 (inclusive) to 1 (exclusive).
    /// Returns `None` when nothing changes, also when a later incarnation has answered already.
    pub fn record_pause(
        &mut self,
        source: impl Into<AnswerSource>,
        pause: RetryAfter,
        random: f64,
        now: Duration,
    ) -> Option<PauseChange> {
        let source = source.into();
        let entry = self.entry(&source, now);
        if source.latest_start_ms < entry.started_at_ms {
            return None;
        }
        entry.latest_start_ms = entry.latest_start_ms.max(source.latest_start_ms);
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
    pub fn is_leaving(&self, name: &str, started_at_ms: u64, now: Duration) -> bool {
        self.refusal(name, started_at_ms, now) == Some(NoNewRequests::Leaving)
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
    fn entry(&mut self, source: &AnswerSource, now: Duration) -> &mut Entry {
        let server = &source.earliest;
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
