//! Requests of callers and their attempts at backend servers.

use std::time::Duration;

use radishpaddle_model::ResultCode;
use radishpaddle_policy::DispatchId;
use radishpaddle_policy::fair_queue::QueueTicket;
use radishpaddle_quorum::claim::ClaimAttempt;

use crate::user::{ACTION_MEAN, ACTION_WEIGHT, READ_MEAN, READ_WEIGHT};

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Read,
    /// Runs at most once; carries an idempotency key.
    Action,
}

/// A request of a caller, over all times that the caller sends it.
#[derive(Debug)]
pub struct Request {
    /// Index of the service.
    pub service: usize,
    /// Index of the organisation.
    pub organisation: usize,
    /// Kind.
    pub kind: Kind,
    /// Time at which the caller sent it first.
    pub first_sent_at: Duration,
    /// Time by which the caller wants the answer to the present sending.
    pub deadline: Duration,
    /// Times that the caller has sent it.
    pub sendings: u32,
    /// Entry instance that has it at present.
    pub instance: usize,
    /// Where it is.
    pub phase: Phase,
    /// Attempts at backend servers in the present sending.
    pub attempts: u32,
    /// Attempts in flight.
    pub live: Vec<u64>,
    /// Servers tried in the present sending.
    pub tried: Vec<usize>,
    /// Whether an attempt of the present sending may have run.
    pub may_have_run: bool,
    /// Code of the refusal if the permitted retry finds no server.
    pub retry_code: ResultCode,
    /// Place in the fair queue.
    pub ticket: Option<QueueTicket>,
    /// Claim of the present sending.
    pub claim: Option<Box<ClaimAttempt>>,
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// On its way to an entry instance, or waiting at the caller before it is sent again.
    AtCaller,
    /// Waits for tokens of its organisation.
    WaitingForRate,
    /// Waits for the votes of the witnesses.
    Claiming,
    /// In the fair queue.
    Queued,
    /// At backend servers.
    Dispatched,
    /// The entry instance has answered.
    Answered,
}

/// One attempt at a backend server.
#[derive(Debug)]
pub struct Attempt {
    /// The request.
    pub request: u64,
    /// Kind of the request.
    pub kind: Kind,
    /// Index of the backend server.
    pub server: usize,
    /// Entry instance that made it.
    pub instance: usize,
    /// Number within the request, over all sendings.
    pub number: u64,
    /// Time of the dispatch.
    pub dispatched_at: Duration,
    /// Whether the entry instance still waits for it.
    pub live: bool,
    /// Whether the server has finished with it, or will never see it.
    pub gone: bool,
    /// Handle of the evidence recorder.
    pub dispatch: Option<DispatchId>,
}

/// What the caller gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerResult {
    /// A complete answer.
    Delivered,
    /// A refusal or an unknown outcome.
    Code(ResultCode),
    /// The connection to the entry instance was refused or lost.
    ConnectionLost,
}

impl Kind {
    /// Whether the request may run more than once.
    #[must_use]
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Read)
    }

    /// Weight in reports and in fair queueing.
    #[must_use]
    pub const fn weight(self) -> u32 {
        match self {
            Self::Read => READ_WEIGHT,
            Self::Action => ACTION_WEIGHT,
        }
    }

    /// Mean service time at a healthy server.
    #[must_use]
    pub const fn mean(self) -> Duration {
        match self {
            Self::Read => READ_MEAN,
            Self::Action => ACTION_MEAN,
        }
    }

    /// Index for tables per kind.
    #[must_use]
    pub const fn index(self) -> usize {
        match self {
            Self::Read => 0,
            Self::Action => 1,
        }
    }

    /// Name of the route.
    #[must_use]
    pub const fn route(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Action => "action",
        }
    }
}
