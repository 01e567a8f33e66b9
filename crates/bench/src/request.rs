//! Requests of callers and their attempts at backend servers.

use std::time::Duration;

use radishpaddle_model::ResultCode;
use radishpaddle_policy::DispatchId;
use radishpaddle_policy::fair_queue::QueueTicket;
use radishpaddle_quorum::claim::ClaimAttempt;

use crate::deployment::{ACTION_MEAN_TIME, ACTION_WEIGHT, READ_MEAN_TIME, READ_WEIGHT};

/// Kind of a request; decides whether it may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent request; may run more than once.
    Read,
    /// Must run at most once; carries an idempotency key.
    Action,
}

/// Request of a caller, including all its resends.
#[derive(Debug)]
pub struct Request {
    /// Index of the service.
    pub service: usize,
    /// Index of the organisation.
    pub organisation: usize,
    /// Whether it is idempotent or an action.
    pub kind: Kind,
    /// Time of the arrival, at which the caller sends the request for the first time.
    pub first_sent_at: Duration,
    /// Deadline of the current send.
    pub deadline: Duration,
    /// Number of times that the caller has sent it.
    pub send_count: u32,
    /// Index of the entry instance to which the caller sent it last.
    pub instance: usize,
    /// Progress of the current send.
    pub phase: Phase,
    /// Number of attempts at backend servers in the current send.
    pub attempts: u32,
    /// Ids of the attempts for which the entry instance waits.
    pub in_flight: Vec<u64>,
    /// Indexes of the backend servers tried in the current send.
    pub tried: Vec<usize>,
    /// Whether a failed attempt of the current send may have run.
    pub may_have_run: bool,
    /// Code for the caller when a retry within the budget finds no server.
    pub retry_code: ResultCode,
    /// Ticket of the request in the fair queue.
    pub ticket: Option<QueueTicket>,
    /// Claim of the current send; `None` for idempotent requests and with policies without claims.
    pub claim: Option<Box<ClaimAttempt>>,
}

/// Progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// In transit to an entry instance, or waiting at the caller for the delay before a resend.
    BeforeEntry,
    /// Waits at the entry instance for a token of the rate of its organisation.
    WaitingForRate,
    /// Waits for the votes of the witnesses on its claim.
    Claiming,
    /// Waits in the fair queue.
    Queued,
    /// Dispatched to one or more backend servers.
    Dispatched,
    /// Answered by the entry instance; the result may still be in transit.
    Answered,
}

/// Attempt to run a request at a backend server.
#[derive(Debug)]
pub struct Attempt {
    /// Id of the request.
    pub request: u64,
    /// Whether the request is idempotent or an action.
    pub kind: Kind,
    /// Index of the backend server.
    pub server: usize,
    /// Index of the entry instance that dispatched it.
    pub instance: usize,
    /// Number of the attempt, unique among all attempts of the request. The random draws of the
    /// attempt depend on it.
    pub draw_number: u64,
    /// Time of the dispatch.
    pub dispatched_at: Duration,
    /// Whether the entry instance still waits for its result.
    pub awaited: bool,
    /// Whether it has ended at the server or its connection is closed there.
    pub ended_at_server: bool,
    /// Id of the dispatch in the evidence recorder; `None` with the round-robin policies.
    pub dispatch: Option<DispatchId>,
}

/// Result of a send for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerResult {
    /// Complete answer of a backend server.
    Delivered,
    /// Refusal or error with this result code.
    Code(ResultCode),
    /// Refused or lost connection to the entry instance.
    ConnectionLost,
}

impl Kind {
    /// Returns whether the request may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Read)
    }

    /// Returns the weight of a request in the figures and in fair queueing.
    #[must_use]
    pub const fn weight(self) -> u32 {
        match self {
            Self::Read => READ_WEIGHT,
            Self::Action => ACTION_WEIGHT,
        }
    }

    /// Returns the mean service time at a healthy server.
    #[must_use]
    pub const fn mean(self) -> Duration {
        match self {
            Self::Read => READ_MEAN_TIME,
            Self::Action => ACTION_MEAN_TIME,
        }
    }

    /// Returns the index of the kind in arrays with one element per kind.
    #[must_use]
    pub const fn index(self) -> usize {
        match self {
            Self::Read => 0,
            Self::Action => 1,
        }
    }

    /// Returns the name of the route, which determines the request class of the evidence.
    #[must_use]
    pub const fn route(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Action => "action",
        }
    }
}
