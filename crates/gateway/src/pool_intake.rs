//! Which backend servers take no new requests, because they are leaving or have asked for a pause.

use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::ServerIncarnation;
use radishpaddle_policy::{AnswerSource, NoNewRequests, PauseChange, RetryAfter};

use crate::pool::Pools;

impl Pools {
    /// Records that a server said that it is leaving, and closes its idle connections. Returns whether that is new.
    pub fn record_leaving(&mut self, source: impl Into<AnswerSource>, now: Duration) -> bool {
        let source = source.into();
        let name = Arc::clone(&source.earliest.name);
        let is_new = self.intakes.record_leaving(source, now);
        if let Some(known) = self.server_mut(&name).map(|known| known.incarnation())
            && self.intakes.is_leaving(&name, known.started_at_ms, now)
            && let Some(known) = self.incarnation_mut(&known)
        {
            known.idle.clear();
        }
        is_new
    }

    /// Records that a server asked for a pause. Returns `None` when nothing changes.
    pub fn record_pause(
        &mut self,
        source: impl Into<AnswerSource>,
        pause: RetryAfter,
        now: Duration,
    ) -> Option<PauseChange> {
        let random = self.random();
        self.intakes.record_pause(source, pause, random, now)
    }

    /// Why a server gets no new requests because of its answers; `None` when it gets some.
    #[must_use]
    pub fn no_new_requests(
        &self,
        server: &ServerIncarnation,
        now: Duration,
    ) -> Option<NoNewRequests> {
        self.intakes
            .refusal(&server.name, server.started_at_ms, now)
    }

    /// Whether a server has said that it is leaving, or its drain or departure was acknowledged.
    #[must_use]
    pub(crate) fn has_left(&self, server: &ServerIncarnation, now: Duration) -> bool {
        self.no_new_requests(server, now) == Some(NoNewRequests::Leaving)
            || self
                .retirements
                .cover_start(&server.name, server.started_at_ms)
    }

    /// Number of servers that are paused.
    #[must_use]
    pub fn paused_servers(&self, now: Duration) -> usize {
        self.intakes.paused_servers(now)
    }
}
