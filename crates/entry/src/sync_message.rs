//! Messages between entry instances and the witness leader.

use radishpaddle_model::Fingerprint;
use radishpaddle_policy::quarantine::QuarantineEntry;
use radishpaddle_policy::{
    CrashId, HealthReport, HealthResponse, ServerKey, TicketId, TicketOutcome,
};
use radishpaddle_quorum::{Epoch, InstanceIncarnation};
use serde::{Deserialize, Serialize};

/// Report of an entry instance, sent every 250 ms by default.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SyncRequest {
    /// Instance and incarnation of the sender.
    pub life: InstanceIncarnation,
    /// Epoch of the leader that the request is addressed to.
    pub epoch: Epoch,
    /// Evidence, and the verdicts that the sender holds.
    pub health: HealthReport,
    /// Number of requests in flight by backend server; zeros are omitted.
    pub in_flight: Vec<(ServerKey, u32)>,
    /// Generation of the quarantine list that the sender holds.
    pub quarantine_generation: u64,
    /// Quarantine list of the sender, for a leader of another epoch; else empty.
    pub quarantine: Vec<QuarantineEntry>,
}

/// Reply to a [`SyncRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SyncReply {
    /// Epoch of the leader.
    pub epoch: Epoch,
    /// Verdicts, and servers that the sender should avoid because of its network path.
    pub health: HealthResponse,
    /// Number of requests that the other instances have in flight by backend server; zeros are
    /// omitted.
    pub others_in_flight: Vec<(ServerKey, u32)>,
    /// Generation of the quarantine list of the leader.
    pub quarantine_generation: u64,
    /// Whole quarantine list, if the sender does not hold this generation.
    pub quarantine: Option<Vec<QuarantineEntry>>,
}

/// Report of backend servers that crashed with requests in flight. Crashes that were detected
/// together are reported together; between two separate reports the leader could grant a ticket for
/// the request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// Instance and incarnation of the sender.
    pub life: InstanceIncarnation,
    /// Crashes, each with the requests that were in flight from the sender to the server.
    pub crashes: Vec<(CrashId, Vec<Fingerprint>)>,
}

/// Request for the ticket of a suspect request, or report of its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TicketRequest {
    /// Requests a ticket.
    Ask {
        /// Instance and incarnation of the sender.
        life: InstanceIncarnation,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Time until the deadline of the request, in milliseconds.
        remaining_ms: u64,
    },
    /// Reports the outcome of the request.
    Finish {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Ticket under which the request ran.
        ticket: TicketId,
        /// Outcome of the request.
        outcome: TicketOutcome,
    },
}
