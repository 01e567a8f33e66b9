//! Verdicts of the leader about backend servers, and the view that an entry instance has of them.

use std::collections::HashMap;
use std::time::Duration;

use radishpaddle_model::InstanceId;
use serde::{Deserialize, Serialize};

use crate::key::{ServerKey, ServiceKey};

/// Time that a verdict is in force unless it is renewed, from the time at which the entry
/// instance sent the request for it.
pub const VERDICT_LIFE: Duration = Duration::from_secs(5);

/// Weight of a server that stays in rotation only because of the floor.
pub const LAST_RESORT_WEIGHT: f64 = 0.01;

/// Orders the verdict lists of the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct VerdictVersion {
    /// Epoch of the leader.
    pub epoch: u64,
    /// Grows with each change of the list within an epoch.
    pub sequence: u64,
}

/// What the leader decided about a server that is not in normal rotation.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Standing {
    /// Out of rotation.
    Ejected,
    /// Out of rotation, except that one instance sends one request at a time.
    Trial {
        /// The instance that sends the trial requests.
        holder: InstanceId,
    },
    /// Back in rotation with a part of its weight.
    Ramp {
        /// Part of the normal weight, 1 to 99 percent.
        weight_percent: u8,
    },
    /// Faulty, but kept in rotation with the lowest weight because of the floor.
    LastResort,
}

/// One verdict.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Verdict {
    /// The backend server.
    pub server: ServerKey,
    /// Service of the backend server.
    pub service: ServiceKey,
    /// Version of the list in which the verdict took its present form.
    pub version: VerdictVersion,
    /// What was decided.
    pub standing: Standing,
    /// Ejections in a row, for the doubling of the probation.
    pub strikes: u32,
    /// Time until the next step, in milliseconds, when the list was made.
    pub remaining_ms: u64,
}

/// The verdicts that the leader sends to an entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VerdictUpdate {
    /// Version of the list.
    pub version: VerdictVersion,
    /// The whole list, or `None` when the instance has this version already.
    pub verdicts: Option<Vec<Verdict>>,
}

/// What a verdict means for one entry instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LocalStanding {
    /// Takes requests with this weight, above 0 and at most 1.
    InRotation {
        /// Weight.
        weight: f64,
    },
    /// Takes one request at a time from this instance.
    TrialHere,
    /// Takes no requests from this instance.
    Out,
}

/// Verdicts as one entry instance knows them.
#[derive(Debug, Clone)]
pub struct VerdictView {
    instance: InstanceId,
    version: VerdictVersion,
    expires_at: Duration,
    verdicts: HashMap<ServerKey, Verdict>,
}

impl VerdictView {
    /// View without verdicts.
    #[must_use]
    pub fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            version: VerdictVersion::default(),
            expires_at: Duration::ZERO,
            verdicts: HashMap::new(),
        }
    }

    /// Applies an update to a request that was sent at `requested_at`. Returns `false` and changes
    /// nothing when the update is older than the view, or refers to a list that the view lacks.
    ///
    /// The life starts when the request was sent, so a verdict ends here before the leader counts
    /// it as ended.
    pub fn apply(&mut self, update: VerdictUpdate, requested_at: Duration) -> bool {
        if update.version < self.version {
            return false;
        }
        match update.verdicts {
            Some(verdicts) => self.replace(update.version, verdicts),
            None if update.version != self.version => return false,
            None => {}
        }
        self.expires_at = self.expires_at.max(requested_at + VERDICT_LIFE);
        true
    }

    fn replace(&mut self, version: VerdictVersion, verdicts: Vec<Verdict>) {
        self.version = version;
        self.verdicts = verdicts
            .into_iter()
            .map(|verdict| (verdict.server, verdict))
            .collect();
    }

    /// Version to report to the leader: the list that this instance acts on, or that of an empty
    /// list of the highest epoch when the verdicts have expired.
    #[must_use]
    pub fn applied(&self, now: Duration) -> VerdictVersion {
        if self.in_force(now) {
            self.version
        } else {
            VerdictVersion {
                epoch: self.version.epoch,
                sequence: 0,
            }
        }
    }

    /// Verdicts in force, to report to a leader of another epoch.
    #[must_use]
    pub fn held(&self, now: Duration) -> Vec<Verdict> {
        if self.in_force(now) {
            self.verdicts.values().cloned().collect()
        } else {
            Vec::new()
        }
    }

    /// What the verdicts in force say about a server.
    #[must_use]
    pub fn standing(&self, server: ServerKey, now: Duration) -> LocalStanding {
        match self.verdicts.get(&server) {
            Some(verdict) if self.in_force(now) => self.local(&verdict.standing),
            _ => LocalStanding::InRotation { weight: 1.0 },
        }
    }

    fn in_force(&self, now: Duration) -> bool {
        now < self.expires_at
    }

    fn local(&self, standing: &Standing) -> LocalStanding {
        match standing {
            Standing::Trial { holder } if *holder == self.instance => LocalStanding::TrialHere,
            Standing::Ejected | Standing::Trial { .. } => LocalStanding::Out,
            Standing::Ramp { weight_percent } => LocalStanding::InRotation {
                weight: f64::from(*weight_percent).max(1.0) / 100.0,
            },
            Standing::LastResort => LocalStanding::InRotation {
                weight: LAST_RESORT_WEIGHT,
            },
        }
    }
}
