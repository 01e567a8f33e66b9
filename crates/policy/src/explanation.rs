//! The numbers that led to a decision, for logs and for operators.

use std::fmt;
use std::time::Duration;

use radishpaddle_model::InstanceId;

use crate::floor::Capacity;
use crate::key::{ServerKey, ServiceKey};

/// Which of the two tests a server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Cause {
    /// Its requests fail more often than those of its peers.
    Failures,
    /// Its requests take longer than those of its peers at like load.
    Latency,
}

/// Evidence against one server.
#[derive(Debug, Clone, PartialEq)]
pub struct Evidence {
    /// The test that was failed.
    pub cause: Cause,
    /// Requests since the evidence began to accumulate.
    pub requests: f64,
    /// Part of them that failed, 0 to 1.
    pub failure_rate: f64,
    /// Failure rate of the peers, 0 to 1.
    pub peer_failure_rate: f64,
    /// Slot time: use of the slots over the responses, in milliseconds. Requests that wait in the
    /// server use no slot, so the slot time does not grow with the load.
    pub slot_ms: f64,
    /// Slot time of the peers in milliseconds.
    pub peer_slot_ms: f64,
    /// Log-likelihood ratio that was reached.
    pub score: f64,
    /// Threshold of the ratio.
    pub threshold: f64,
    /// Entry instances that contributed evidence.
    pub reporters: u32,
    /// Servers compared with.
    pub peers: u32,
}

impl Evidence {
    /// How much a server harms, to compare servers at the floor: 10 for failing all requests, and
    /// the natural logarithm of the slow-down for a slow one (2.3 for 10 times).
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

/// What the detector found.
#[derive(Debug, Clone, PartialEq)]
pub enum Finding {
    /// The server is at fault.
    Server {
        /// The server.
        server: ServerKey,
        /// The evidence.
        evidence: Evidence,
    },
    /// The path from one instance to the server is at fault; the server works for others, or
    /// no other instance has evidence about it.
    Path {
        /// The server.
        server: ServerKey,
        /// The instance that does not reach it.
        instance: InstanceId,
        /// The evidence.
        evidence: Evidence,
    },
}

/// What was decided about a server.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Taken out of rotation for `probation`.
    Ejected {
        /// Time until the first trial request.
        probation: Duration,
        /// Ejections in a row.
        strikes: u32,
    },
    /// Kept in rotation with the lowest weight because of the floor.
    KeptAtFloor,
    /// Returned first, because `worse` is to take its place at the floor.
    ReturnedForWorse {
        /// The server that is to be ejected next.
        worse: ServerKey,
    },
    /// Returned because the floor rose above the slots in rotation.
    ReturnedForFloor,
    /// Trial requests begin.
    TrialStarted {
        /// The instance that sends them.
        holder: InstanceId,
    },
    /// The trial requests of one instance failed; another one repeats them.
    TrialRepeated {
        /// The next instance.
        holder: InstanceId,
    },
    /// The trial passed; the server gets a part of its weight.
    Ramped {
        /// Part of the weight in percent.
        weight_percent: u8,
    },
    /// Back in normal rotation.
    Returned,
    /// Taken over from the verdicts of an earlier leader.
    Adopted,
}

impl Action {
    /// Kind of the event in the journal.
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

/// One decision of the leader, with the numbers behind it.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// The server.
    pub server: ServerKey,
    /// Its service.
    pub service: ServiceKey,
    /// Time of the decision.
    pub at: Duration,
    /// What was decided.
    pub action: Action,
    /// Evidence for it, if it rests on evidence.
    pub evidence: Option<Evidence>,
    /// Slots of the service after the decision.
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
