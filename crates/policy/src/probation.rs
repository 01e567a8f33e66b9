//! Steps of a server from ejection back into rotation.

use std::time::Duration;

use radishpaddle_model::InstanceId;

use crate::detector::ServerInfo;
use crate::explanation::Evidence;
use crate::verdict::{Standing, Verdict, VerdictVersion};

/// Probation after the first ejection; doubles with each further one.
pub const INITIAL_PROBATION: Duration = Duration::from_secs(5);

/// Longest probation.
pub const MAX_PROBATION: Duration = Duration::from_mins(5);

/// Time without ejection after which a server counts as stable and its probation starts at the
/// first step again. Twice the longest probation, so that a server that fails at every return
/// cannot reset it.
pub const STRIKE_RESET_PERIOD: Duration = Duration::from_mins(10);

/// Trial requests that must succeed. A server that fails 30 % passes ten with probability 0.03.
pub const MIN_TRIAL_REQUESTS: u32 = 10;

/// Trial requests after which a server must no longer look slow.
pub(crate) const MAX_TRIAL_REQUESTS: u32 = 30;

/// Log-likelihood ratio from which on a trial fails by latency.
pub(crate) const TRIAL_FAILURE_SCORE: f64 = 6.0;

/// Time after which another instance takes over a trial without results.
pub(crate) const TRIAL_TIMEOUT: Duration = Duration::from_secs(3);

/// Instances that must fail a trial. The path of one holder may be broken.
pub(crate) const FAILED_HOLDERS_TO_EJECT: u32 = 2;

/// Weights in percent on the way back, and the time for each.
pub(crate) const RAMP_WEIGHTS: [u8; 2] = [25, 50];
pub(crate) const RAMP_STEP_DURATION: Duration = Duration::from_secs(2);

/// Severity that is assumed for a server whose evidence an earlier leader had.
const DEFAULT_SEVERITY: f64 = 1.0;

/// Probation after a number of ejections in a row.
#[must_use]
pub fn probation_duration(strikes: u32) -> Duration {
    let doublings = strikes.saturating_sub(1).min(16);
    INITIAL_PROBATION
        .saturating_mul(1 << doublings)
        .min(MAX_PROBATION)
}

/// Where a server stands.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Phase {
    InRotation,
    Ejected {
        until: Duration,
    },
    Trial {
        holder: InstanceId,
        since: Duration,
        failed_holders: u32,
    },
    Ramp {
        weight_percent: u8,
        until: Duration,
    },
    LastResort {
        until: Duration,
    },
}

/// A return that some instance may not have applied yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PendingReturn {
    /// Sequence of the list without the ejection.
    pub(crate) sequence: u64,
    /// Time at which every older list has expired.
    pub(crate) until: Duration,
}

/// State of a server at the leader.
#[derive(Debug, Clone)]
pub(crate) struct ServerRecord {
    pub(crate) info: ServerInfo,
    pub(crate) phase: Phase,
    pub(crate) strikes: u32,
    pub(crate) ejected_at: Duration,
    pub(crate) changed_at_version: VerdictVersion,
    pub(crate) pending_return: Option<PendingReturn>,
    pub(crate) evidence: Option<Evidence>,
}

impl ServerRecord {
    pub(crate) fn new(info: ServerInfo) -> Self {
        Self {
            info,
            phase: Phase::InRotation,
            strikes: 0,
            ejected_at: Duration::ZERO,
            changed_at_version: VerdictVersion::default(),
            pending_return: None,
            evidence: None,
        }
    }

    /// Whether the present list takes the server out of rotation.
    pub(crate) fn is_out(&self) -> bool {
        matches!(self.phase, Phase::Ejected { .. } | Phase::Trial { .. })
    }

    /// Whether some instance may hold a list that takes the server out of rotation.
    pub(crate) fn may_be_out(&self) -> bool {
        self.is_out() || self.pending_return.is_some()
    }

    pub(crate) fn severity(&self) -> f64 {
        self.evidence
            .as_ref()
            .map_or(DEFAULT_SEVERITY, Evidence::severity)
    }

    pub(crate) fn is_stable(&self, now: Duration) -> bool {
        self.phase == Phase::InRotation && now >= self.ejected_at + STRIKE_RESET_PERIOD
    }

    /// The verdict for the list, `None` in normal rotation.
    pub(crate) fn verdict(&self, now: Duration) -> Option<Verdict> {
        let (standing, until) = match &self.phase {
            Phase::InRotation => return None,
            Phase::Ejected { until } => (Standing::Ejected, *until),
            Phase::Trial { holder, .. } => {
                let holder = holder.clone();
                (Standing::Trial { holder }, now)
            }
            Phase::Ramp {
                weight_percent,
                until,
            } => {
                let weight_percent = *weight_percent;
                (Standing::Ramp { weight_percent }, *until)
            }
            Phase::LastResort { until } => (Standing::LastResort, *until),
        };
        Some(Verdict {
            server: self.info.server,
            service: self.info.service,
            version: self.changed_at_version,
            standing,
            strikes: self.strikes,
            remaining_ms: crate::quarantine::to_whole_ms(until.saturating_sub(now)),
        })
    }

    /// Takes over a verdict of an earlier leader. A trial starts again; of two verdicts, the one
    /// that keeps the server out longer wins. Returns whether the phase is another one.
    pub(crate) fn adopt(&mut self, verdict: &Verdict, now: Duration) -> bool {
        let remaining = Duration::from_millis(verdict.remaining_ms).min(MAX_PROBATION);
        let until = now + remaining;
        self.strikes = self.strikes.max(verdict.strikes);
        self.ejected_at = self.ejected_at.max(now);
        match (&verdict.standing, &mut self.phase) {
            (Standing::Ejected | Standing::Trial { .. }, Phase::Ejected { until: known }) => {
                *known = until.max(*known);
                false
            }
            (Standing::Ejected | Standing::Trial { .. }, phase) => {
                let newly_out = !matches!(phase, Phase::Trial { .. });
                if newly_out {
                    *phase = Phase::Ejected { until };
                }
                newly_out
            }
            (Standing::Ramp { weight_percent }, phase @ Phase::InRotation) => {
                *phase = Phase::Ramp {
                    weight_percent: *weight_percent,
                    until,
                };
                true
            }
            _ => false,
        }
    }
}
