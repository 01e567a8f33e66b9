//! Evidence and decisions with their numbers, for logs and operators.

use std::fmt;
use std::time::Duration;

use radishpaddle_model::InstanceId;

use crate::floor::Capacity;
use crate::key::{ServerKey, ServiceKey};

/// Test that a server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The requests of the server fail more often than those of its peers.
    Failures,
    /// The requests of the server take longer than those of its peers at similar load.
    Latency,
}

/// Evidence against one server.
#[derive(Debug, Clone, PartialEq)]
pub struct Evidence {
    /// Test that the server failed.
    pub cause: Cause,
    /// Decayed number of requests since the evidence began to accumulate.
    pub requests: f64,
    /// Fraction of the requests that failed, 0 to 1.
    pub failure_rate: f64,
    /// Failure rate of the peers, 0 to 1.
    pub peer_failure_rate: f64,
    /// Slot time in milliseconds: use of the slots divided by the responses. Requests that wait at
    /// the server use no slot, so the slot time does not grow with the load.
    pub slot_ms: f64,
    /// Slot time of the peers in milliseconds.
    pub peer_slot_ms: f64,
    /// Log-likelihood ratio that the test reached.
    pub score: f64,
    /// Threshold of the log-likelihood ratio.
    pub threshold: f64,
    /// Number of entry instances that contributed evidence.
    pub reporters: u32,
    /// Number of servers that the server was compared with.
    pub peers: u32,
}

impl Evidence {
    /// Returns the severity of a fault, to compare servers at the capacity floor. It is 10 for a
    /// server that fails all requests, and the natural logarithm of the slow-down for a slow server
    /// (2.3 for a factor of 10).
    #[must_use]
    pub fn severity(&self) -> f64 {
        let excess = (self.failure_rate - self.peer_failure_rate).max(0.0);
        let slowdown = self.slot_ms / self.peer_slot_ms.max(1.0);
        match self.cause {
            Cause::Failures => 10.0 * excess,
            Cause::Latency => slowdown.max(1.0).ln(),
        }
    }
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.cause {
            Cause::Failures => write!(
                f,
                "{:.0} % of {:.0} requests failed, peers {:.1} %",
                self.failure_rate * 100.0,
                self.requests,
                self.peer_failure_rate * 100.0
            )?,
            Cause::Latency => write!(
                f,
                "slot time {:.0} ms over {:.0} responses, peers {:.0} ms",
                self.slot_ms, self.requests, self.peer_slot_ms
            )?,
        }
        write!(
            f,
            "; score {:.1} of {:.1}, {} reporters, {} peers",
            self.score, self.threshold, self.reporters, self.peers
        )
    }
}

/// Fault that the detector found.
#[derive(Debug, Clone, PartialEq)]
pub enum Finding {
    /// The server is at fault.
    Server {
        /// The server.
        server: ServerKey,
        /// The evidence.
        evidence: Evidence,
    },
    /// The path from one instance to the server is at fault: the server works for others, or no
    /// other instance has evidence against it.
    Path {
        /// The server.
        server: ServerKey,
        /// The instance that does not reach the server.
        instance: InstanceId,
        /// The evidence.
        evidence: Evidence,
    },
}

/// Action of the leader on a server.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Taken out of rotation for `probation`.
    Ejected {
        /// Time until the first trial request.
        probation: Duration,
        /// Number of consecutive ejections.
        strikes: u32,
    },
    /// Kept in rotation with the lowest weight because of the capacity floor.
    KeptAtFloor,
    /// Returned with the lowest weight so that `worse` can be ejected at the capacity floor.
    ReturnedForWorse {
        /// The server with the more severe fault, which is ejected next.
        worse: ServerKey,
    },
    /// Returned with the lowest weight because the slots in rotation are below the floor.
    ReturnedForFloor,
    /// Trial requests begin.
    TrialStarted {
        /// The instance that sends the trial requests.
        holder: InstanceId,
    },
    /// The trial requests of one instance failed or had no result; another instance repeats them.
    TrialRepeated {
        /// The instance that repeats the trial requests.
        holder: InstanceId,
    },
    /// Returned to rotation with a reduced weight.
    Ramped {
        /// Percentage of the normal weight.
        weight_percent: u8,
    },
    /// Returned to normal rotation.
    Returned,
    /// Adopted from the verdicts of an earlier leader.
    Adopted,
}

impl Action {
    /// Returns the kind of the journal event for the action.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Ejected { .. } => "ejected",
            Self::KeptAtFloor => "kept_at_floor",
            Self::ReturnedForWorse { .. } => "returned_for_worse",
            Self::ReturnedForFloor => "returned_for_floor",
            Self::TrialStarted { .. } => "trial_started",
            Self::TrialRepeated { .. } => "trial_repeated",
            Self::Ramped { .. } => "ramped",
            Self::Returned => "returned",
            Self::Adopted => "adopted",
        }
    }
}

/// Decision of the leader, with the numbers that led to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// The server.
    pub server: ServerKey,
    /// Its service.
    pub service: ServiceKey,
    /// Time of the decision.
    pub at: Duration,
    /// Action on the server.
    pub action: Action,
    /// Evidence for the action; `None` if it depends on time or on the floor only.
    pub evidence: Option<Evidence>,
    /// Slots of the service after the action.
    pub capacity: Capacity,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "server {} of {}: ", self.server, self.service)?;
        match &self.action {
            Action::Ejected { probation, strikes } => {
                let seconds = probation.as_secs();
                write!(f, "ejected for {seconds} s, ejection {strikes} in a row")?;
            }
            Action::KeptAtFloor => f.write_str("kept at lowest weight because of the floor")?,
            Action::ReturnedForWorse { worse } => write!(f, "returned in favour of {worse}")?,
            Action::ReturnedForFloor => f.write_str("returned because of the floor")?,
            Action::TrialStarted { holder } => write!(f, "trial requests from {holder}")?,
            Action::TrialRepeated { holder } => write!(f, "trial repeated from {holder}")?,
            Action::Ramped { weight_percent } => {
                write!(f, "returned with {weight_percent} % of its weight")?;
            }
            Action::Returned => f.write_str("back in rotation")?,
            Action::Adopted => f.write_str("verdict adopted from an earlier leader")?,
        }
        if let Some(evidence) = &self.evidence {
            write!(f, "; {evidence}")?;
        }
        let capacity = &self.capacity;
        write!(
            f,
            "; {} of {} slots in rotation, floor {}",
            capacity.in_rotation, capacity.announced, capacity.floor
        )
    }
}
