//! Messages to and from a witness.

use std::net::SocketAddr;
use std::time::Duration;

use radishpaddle_model::{Announcement, AvailabilityZone, InstanceId, Revision};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::instances::{InstanceRecord, InstanceState};
use crate::claim::ClaimCopy;
use crate::group::{Generation, InstanceIncarnation, WitnessGroup};
use crate::lease::{Leader, LeaseRequest, Promise};
use crate::table::{Cursor, Delta};

/// Poll that an entry instance sends to each witness every 500 ms; also serves as its heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PollRequest {
    /// Generation of the witness group that the sender knows; 0 for none.
    pub generation: Generation,
    /// Instance that sends the poll, and its incarnation.
    pub life: InstanceIncarnation,
    /// Number of the poll within that incarnation; increases with each poll.
    pub number: u64,
    /// Address on which the sender accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the sender.
    pub availability_zone: AvailabilityZone,
    /// Serving state of the sender.
    pub state: InstanceState,
    /// Configuration revision that the sender has applied.
    pub applied: Revision,
    /// Position of the sender in the member table of the receiving witness.
    pub instances: Cursor,
}

/// Reply to a [`PollRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PollReply {
    /// Generation of the witness.
    pub generation: Generation,
    /// Witness that replies, and its incarnation.
    pub witness: InstanceIncarnation,
    /// Number of the answered poll.
    pub number: u64,
    /// Highest revision that the witness has stored.
    pub revision: Revision,
    /// Leader that the witness knows, if any.
    pub leader: Option<Leader>,
    /// Changes of the member table since the position in the poll.
    pub instances: Delta<InstanceIncarnation, InstanceRecord>,
    /// Current witness group, if the poll named another generation.
    pub group: Option<WitnessGroup>,
}

/// Reply to a pushed configuration revision.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoreReply {
    /// Generation of the witness.
    pub generation: Generation,
    /// The witness.
    pub witness: InstanceId,
    /// Highest revision that the witness has stored.
    pub revision: Revision,
}

/// Asks a witness for a copy of its state; sent by a witness that recovers after a restart.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecoverRequest {
    /// Witness that has restarted, and its current incarnation.
    pub witness: InstanceIncarnation,
}

/// Copy of the state of a witness for one that has restarted.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WitnessCopy {
    /// Request that the copy answers.
    pub request: RecoverRequest,
    /// Witness that sends its state.
    pub from: InstanceId,
    /// Witness group that the sender serves.
    pub group: WitnessGroup,
    /// Highest configuration revision that the sender has stored.
    pub revision: Revision,
    /// Members of the fleet.
    pub instances: Vec<InstanceCopy>,
    /// Backend servers.
    pub backends: Vec<BackendCopy>,
    /// Claims.
    pub claims: Vec<ClaimCopy>,
    /// Time for which claims are still refused after a generation change.
    pub claims_refused_for: Duration,
    /// Latest lease grant of the sender.
    pub promise: Option<Promise>,
}

/// One member in a [`WitnessCopy`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceCopy {
    /// Member instance, and its incarnation.
    pub life: InstanceIncarnation,
    /// Record of the member.
    pub record: InstanceRecord,
    /// Number of its last poll.
    pub number: u64,
    /// Time since its last poll.
    pub age: Duration,
}

/// One backend server in a [`WitnessCopy`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendCopy {
    /// Its last announcement.
    pub announcement: Announcement,
    /// Time since the announcement arrived.
    pub age: Duration,
}

/// Instruction of control to one witness to start a new generation.
///
/// Control decides on a new generation only if a majority of the previous one no longer serves it: because they take
/// part in the new generation, have restarted without recovery, or are lost for good. Otherwise two generations could
/// acknowledge changes at the same time.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GenerationStart {
    /// Witness group of the new generation.
    pub group: WitnessGroup,
    /// Receiver, in the incarnation that control knows. A delayed message must not start a later incarnation that has
    /// lost its state.
    pub witness: InstanceIncarnation,
    /// Highest revision that control has committed.
    pub revision: Revision,
    /// Whether claims of an earlier generation may be lost; false only for the first generation of a fleet.
    pub claims_lost: bool,
}

/// Reason for which a witness does not start a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Error)]
pub enum GenerationError {
    /// The message is for another witness or another incarnation of this one.
    #[error("the message is for another life of the witness")]
    OtherIncarnation,
    /// The witness is not a member of the new group.
    #[error("the witness is not in the group")]
    NotInGroup,
    /// The generation is not above the current one of the witness.
    #[error("the witness is already in generation {0}")]
    NotHigher(Generation),
}

/// Message that a witness sends to another without having been asked.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WitnessMessage {
    /// Lease request, answered by [`super::Witness::on_lease_request`].
    Lease(LeaseRequest),
    /// Request for a state copy, answered by [`super::Witness::copy_for`].
    Recover(RecoverRequest),
}
