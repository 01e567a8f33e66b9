//! Verdicts of the leader about backend servers, and the copy that an entry instance applies.

use std::collections::HashMap;
use std::time::Duration;

use radishpaddle_model::InstanceId;
use serde::{Deserialize, Serialize};

use crate::key::{ServerKey, ServiceKey};

/// Time for which a verdict list stays in force without renewal. It starts when the entry instance
/// sends the request for the list.
pub const VERDICT_LIFETIME: Duration = Duration::from_secs(5);

/// Weight of a server that stays in rotation only because of the capacity floor.
pub const LAST_RESORT_WEIGHT: f64 = 0.01;

/// Version of a verdict list. Versions of the fleet are ordered by epoch, then by sequence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct VerdictVersion {
    /// Epoch of the leader.
    pub epoch: u64,
    /// Number of the list within the epoch; grows with each change.
    pub sequence: u64,
}

/// Decision of the leader about a server that is not in normal rotation.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Standing {
    /// Out of rotation.
    Ejected,
    /// Out of rotation, except that one instance sends it one request at a time.
    Trial {
        /// Instance that sends the trial requests.
        holder: InstanceId,
    },
    /// Back in rotation with a reduced weight.
    Ramp {
        /// Percentage of the normal weight, 1 to 99.
        weight_percent: u8,
    },
    /// Faulty, but kept in rotation with the lowest weight because of the capacity floor.
    LastResort,
}

/// Decision about one server, as an entry of a verdict list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Verdict {
    /// Server that the verdict is about.
    pub server: ServerKey,
    /// Service of the backend server.
    pub service: ServiceKey,
    /// Version of the list in which the verdict last changed.
    pub version: VerdictVersion,
    /// Decision of the leader.
    pub standing: Standing,
    /// Number of consecutive ejections; each one doubles the probation.
    pub strikes: u32,
    /// Time until the next step of the server, in milliseconds from the creation of the list.
    pub remaining_ms: u64,
}

/// Verdict list in the response of the leader to an entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VerdictUpdate {
    /// Version of the list.
    pub version: VerdictVersion,
    /// The complete list, or `None` when the instance already has this version.
    pub verdicts: Option<Vec<Verdict>>,
}

/// Effect of a verdict on one entry instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LocalStanding {
    /// The instance sends requests to the server with this weight.
    InRotation {
        /// Relative weight, above 0 and at most 1.
        weight: f64,
    },
    /// The instance sends the server one request at a time.
    TrialHere,
    /// The instance sends the server no requests.
    Out,
}

/// Verdict list that one entry instance applies.
#[derive(Debug, Clone)]
pub struct VerdictView {
    instance: InstanceId,
    version: VerdictVersion,
    expires_at: Duration,
    verdicts: HashMap<ServerKey, Verdict>,
}

impl VerdictView {
    /// Creates a view without verdicts.
    #[must_use]
    pub fn new(instance: InstanceId) -> Self {
        Self {
            instance,
            version: VerdictVersion::default(),
            expires_at: Duration::ZERO,
            verdicts: HashMap::new(),
        }
    }

    /// Applies the response to a request that was sent at `requested_at`. Returns `false` and
    /// changes nothing when the response is older than the view, or renews a list that the view
    /// does not have.
    ///
    /// The lifetime starts at the request and not at the response, so a verdict expires at the
    /// instance before the leader considers it expired.
    pub fn apply(&mut self, update: VerdictUpdate, requested_at: Duration) -> bool {
        if update.version < self.version {
            return false;
        }
        match update.verdicts {
            Some(verdicts) => self.replace(update.version, verdicts),
            None if update.version != self.version => return false,
            None => {}
        }
        self.expires_at = self.expires_at.max(requested_at + VERDICT_LIFETIME);
        true
    }

    fn replace(&mut self, version: VerdictVersion, verdicts: Vec<Verdict>) {
        self.version = version;
        self.verdicts = verdicts
            .into_iter()
            .map(|verdict| (verdict.server, verdict))
            .collect();
    }

    /// Returns the version to report to the leader: that of the list in force, or sequence 0 of the
    /// highest known epoch when the list has expired.
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

    /// Returns the verdicts in force, which a leader of another epoch adopts.
    #[must_use]
    pub fn held(&self, now: Duration) -> Vec<Verdict> {
        if self.in_force(now) {
            self.verdicts.values().cloned().collect()
        } else {
            Vec::new()
        }
    }

    /// Returns the effect of the verdicts in force on a server.
    #[must_use]
    pub fn standing(&self, server: ServerKey, now: Duration) -> LocalStanding {
        match self.verdicts.get(&server) {
            Some(verdict) if self.in_force(now) => self.local_standing(&verdict.standing),
            _ => LocalStanding::InRotation { weight: 1.0 },
        }
    }

    fn in_force(&self, now: Duration) -> bool {
        now < self.expires_at
    }

    fn local_standing(&self, standing: &Standing) -> LocalStanding {
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
