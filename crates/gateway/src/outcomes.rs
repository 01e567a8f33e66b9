//! Recent outcomes of the requests of each service, and what they mean for requests that cannot be retried.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::selection::FailureImpact;

/// Share of unserved requests above which a service is degraded.
const DEGRADED_UNSERVED_SHARE: f64 = 0.05;

/// Time after the last idempotent request of a service at this gateway from which the service counts as having
/// none that could serve as probes.
const IDEMPOTENT_TRAFFIC_TIMEOUT: Duration = Duration::from_secs(3);

/// Time constant of the moving average.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Outcomes of all services at this and other gateways.
#[derive(Debug, Default)]
pub(crate) struct ServiceOutcomes {
    /// Local time of the last idempotent request of each service at this gateway.
    last_idempotent_at: HashMap<Arc<str>, Duration>,
    /// Served and unserved requests of each service; they decide how often requests that cannot be retried probe.
    outcomes: HashMap<Arc<str>, Outcomes>,
}

impl ServiceOutcomes {
    /// Effect of a failed attempt on its request; `is_last` tells that no retry can follow.
    pub(crate) fn failure_impact(
        &mut self,
        service: &str,
        idempotent: bool,
        is_last: bool,
        now: Duration,
    ) -> FailureImpact {
        if idempotent {
            self.last_idempotent_at.insert(service.into(), now);
            return if is_last {
                FailureImpact::Final
            } else {
                FailureImpact::Retryable
            };
        }
        let last = self.last_idempotent_at.get(service);
        if last.is_some_and(|at| now.saturating_sub(*at) < IDEMPOTENT_TRAFFIC_TIMEOUT) {
            FailureImpact::Final
        } else {
            FailureImpact::FinalWithoutProbes {
                degraded: self.is_degraded(service, now),
            }
        }
    }

    /// Whether the share of unserved requests of a service is too high.
    pub(crate) fn is_degraded(&self, service: &str, now: Duration) -> bool {
        let outcomes = self.outcomes.get(service);
        outcomes.is_some_and(|outcomes| outcomes.unserved_share(now) > DEGRADED_UNSERVED_SHARE)
    }

    /// Counts served and unserved requests of a service at this or another gateway.
    pub(crate) fn count(&mut self, service: &Arc<str>, served: f64, unserved: f64, now: Duration) {
        let outcomes = self.outcomes.entry(Arc::clone(service)).or_default();
        outcomes.record(served, unserved, now);
    }
}

/// Exponentially decayed counts of served and unserved requests of a service.
#[derive(Debug, Clone, Copy, Default)]
struct Outcomes {
    served: f64,
    unserved: f64,
    updated_at: Duration,
}

impl Outcomes {
    fn record(&mut self, served: f64, unserved: f64, now: Duration) {
        let decay = self.decay(now);
        self.served = self.served * decay + served;
        self.unserved = self.unserved * decay + unserved;
        self.updated_at = now;
    }

    fn unserved_share(&self, now: Duration) -> f64 {
        let decay = self.decay(now);
        let unserved = self.unserved * decay;
        unserved / (unserved + self.served * decay).max(1.0)
    }

    /// Factor by which the counts have decayed since the last update.
    fn decay(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}
