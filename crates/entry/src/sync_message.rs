//! Messages between entry instances and the witness leader.

use radishpaddle_model::Fingerprint;
use radishpaddle_policy::quarantine::QuarantineEntry;
use radishpaddle_policy::{
    CrashId, HealthReport, HealthResponse, ServerKey, TicketId, TicketOutcome,
};
use radishpaddle_quorum::{Epoch, Life};
use serde::{Deserialize, Serialize};

/// Sent every 250 ms.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SyncRequest {
    /// Sender.
    pub life: Life,
    /// Epoch of the leader that the request is for.
    pub epoch: Epoch,
    /// Evidence and verdicts.
    pub health: HealthReport,
    /// Requests in flight by backend server; zeros are left out.
    pub in_flight: Vec<(ServerKey, u32)>,
    /// Quarantine list that the sender has.
    pub quarantine_generation: u64,
    /// Quarantine list, for a leader of another epoch.
    pub quarantine: Vec<QuarantineEntry>,
}

/// Answer to a [`SyncRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SyncReply {
    /// Epoch of the leader.
    pub epoch: Epoch,
    /// Verdicts and paths to avoid.
    pub health: HealthResponse,
    /// Requests that the other instances have in flight; zeros are left out.
    pub others_in_flight: Vec<(ServerKey, u32)>,
    /// Generation of the quarantine list.
    pub quarantine_generation: u64,
    /// The whole list, when the sender lacks it.
    pub quarantine: Option<Vec<QuarantineEntry>>,
}

/// Backend servers crashed with requests in flight. Crashes that were found together are reported
/// together: after the first of two reports the leader would give out a ticket for the request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// Reporting instance.
    pub life: Life,
    /// The crashes, each with the requests that it had in flight from this instance.
    pub crashes: Vec<(CrashId, Vec<Fingerprint>)>,
}

/// Asks for the ticket of a suspect request, or reports its end.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TicketRequest {
    /// Asks for the ticket.
    Ask {
        /// Sender.
        life: Life,
        /// The request.
        fingerprint: Fingerprint,
        /// Time that the request has left, in milliseconds.
        remaining_ms: u64,
    },
    /// Reports how the request ended.
    Finish {
        /// The request.
        fingerprint: Fingerprint,
        /// Its ticket.
        ticket: TicketId,
        /// How it ended.
        outcome: TicketOutcome,
    },
}
