//! Input of placement by expected work: the terms of a request and the candidate servers.

use std::sync::Arc;
use std::time::Duration;

use radishpaddle_policy::CostModel;
use radishpaddle_policy::placement::{Candidate, PlacedWork, RequestTerms, WorkCandidate};

use crate::server::Server;

/// One attempt for which a server is selected.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptTerms<'a> {
    pub(crate) idempotent: bool,
    /// Whether no retry can follow.
    pub(crate) is_last: bool,
    /// Servers that are not selected.
    pub(crate) exclude: &'a [Arc<str>],
    /// Present while load is managed.
    pub(crate) work: Option<WorkQuery<'a>>,
}

/// What placement by expected work needs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkQuery<'a> {
    pub(crate) request: RequestTerms,
    pub(crate) costs: &'a CostModel,
}

impl AttemptTerms<'_> {
    /// Expected work of the request; nothing is expected while load is not managed.
    pub(crate) fn placed_work(&self, now: Duration) -> PlacedWork {
        let cost = self.work.map(|query| query.request.cost);
        PlacedWork {
            sent_at: now,
            expected: cost.map_or(Duration::ZERO, |cost| cost.mean),
            bytes: cost.map_or(0, |cost| {
                cost.request_bytes.saturating_add(cost.answer_bytes)
            }),
        }
    }
}

impl WorkQuery<'_> {
    /// Adds to each candidate what placement by expected work depends on.
    pub(crate) fn candidates<'s>(
        &self,
        service: &str,
        located: impl Iterator<Item = (Candidate, &'s Server)>,
        now: Duration,
    ) -> Vec<WorkCandidate> {
        let mean = self.costs.service_mean(service, now);
        let candidates = located.map(|(candidate, server)| WorkCandidate {
            server: Candidate {
                failure_probability: server.fault.failure_probability(now),
                ..candidate
            },
            outstanding: server.outstanding(mean, now),
            slowness: self.costs.slowness(service, &server.presence.id, now),
            is_doubtful: server.fault.is_doubtful(now),
            held_bytes: server.work.bytes(),
            evidence_age: server.fault.age(now),
        });
        candidates.collect()
    }
}
