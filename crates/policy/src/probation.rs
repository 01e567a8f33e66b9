//! Phases of a backend server from its ejection until it is back in rotation.

use std::time::Duration;

use radishpaddle_model::InstanceId;

use crate::detector::ServerInfo;
use crate::explanation::Evidence;
use crate::verdict::{Standing, Verdict, VerdictVersion};

/// Probation after the first ejection. It doubles with each further ejection.
pub const INITIAL_PROBATION: Duration = Duration::from_secs(5);

/// Upper bound of the probation.
pub const MAX_PROBATION: Duration = Duration::from_mins(5);

/// Time without ejection after which the probation of a server starts at [`INITIAL_PROBATION`]
/// again. It is twice the longest probation, so that a server that fails at every return cannot
/// reset it.
pub const STRIKE_RESET_PERIOD: Duration = Duration::from_mins(10);

/// Trial requests that must succeed. A server that fails 30 % of its requests passes ten with
/// probability 0.03.
pub const MIN_TRIAL_REQUESTS: u32 = 10;

/// Number of successful trial requests after which the trial fails if the server still looks slow.
pub(crate) const MAX_TRIAL_REQUESTS: u32 = 30;

/// Log-likelihood ratio of the latency from which a trial fails.
pub(crate) const TRIAL_FAILURE_SCORE: f64 = 6.0;

/// Time after which another instance takes over a trial without results.
pub(crate) const TRIAL_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of instances whose trial must fail before the server is ejected again. With one instance,
/// the path of that instance may be at fault.
pub(crate) const FAILED_HOLDERS_TO_EJECT: u32 = 2;

/// Percentages of the normal weight while the server returns to rotation.
pub(crate) const RAMP_WEIGHTS: [u8; 2] = [25, 50];
/// Duration of each step of the ramp.
pub(crate) const RAMP_STEP_DURATION: Duration = Duration::from_secs(2);

/// Severity of a server whose evidence only an earlier leader had.
const DEFAULT_SEVERITY: f64 = 1.0;

/// Returns the probation after a number of consecutive ejections.
#[must_use]
pub fn probation_duration(strikes: u32) -> Duration {
    let doublings = strikes.saturating_sub(1).min(16);
    INITIAL_PROBATION
        .saturating_mul(1 << doublings)
        .min(MAX_PROBATION)
}

/// Phase of a server between ejection and normal rotation.
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

/// Return to rotation that some instance may not have applied yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PendingReturn {
    /// Sequence of the first list without the ejection.
    pub(crate) sequence: u64,
    /// Time at which every older list has expired.
    pub(crate) until: Duration,
}

/// State of a backend server at the leader.
#[derive(Debug, Clone)]
pub(crate) struct ServerRecord {
    pub(crate) info: ServerInfo,
    pub(crate) phase: Phase,
    /// Number of consecutive ejections.
    pub(crate) strikes: u32,
    pub(crate) ejected_at: Duration,
    /// Version of the list in which the verdict last changed.
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

    /// Returns whether the current list takes the server out of rotation.
    pub(crate) fn is_out(&self) -> bool {
        matches!(self.phase, Phase::Ejected { .. } | Phase::Trial { .. })
    }

    /// Returns whether some instance may apply a list that takes the server out of rotation.
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

    /// Returns the verdict about the server; `None` in normal rotation.
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

    /// Adopts a verdict of an earlier leader. A trial restarts from the ejection. Of two ejections,
    /// the one with the longer probation applies. Returns whether the phase changed.
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
