//! Messages to and from a witness.

use std::net::SocketAddr;
use std::time::Duration;

use radishpaddle_model::{Announcement, AvailabilityZone, InstanceId, Revision};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::instances::{InstanceRecord, InstanceState};
use crate::claim::ClaimCopy;
use crate::group::{Generation, Life, WitnessGroup};
use crate::lease::{Leader, LeaseRequest, Promise};
use crate::table::{Cursor, Delta};

/// Poll of an entry instance, sent to each witness every 500 ms.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PollRequest {
    /// Generation that the sender knows; 0 for none.
    pub generation: Generation,
    /// Sender.
    pub life: Life,
    /// Number of the poll within that life.
    pub number: u64,
    /// Where the sender accepts requests.
    pub address: SocketAddr,
    /// Where the sender runs.
    pub availability_zone: AvailabilityZone,
    /// Whether callers should be sent there.
    pub state: InstanceState,
    /// Revision that the sender has applied.
    pub applied: Revision,
    /// Position of the sender in the members of this witness.
    pub instances: Cursor,
}

/// Answer to a [`PollRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PollReply {
    /// Generation of the witness.
    pub generation: Generation,
    /// The witness.
    pub witness: Life,
    /// Number of the poll.
    pub number: u64,
    /// Highest revision that the witness has stored.
    pub revision: Revision,
    /// Leader that the witness knows.
    pub leader: Option<Leader>,
    /// Members that changed.
    pub instances: Delta<Life, InstanceRecord>,
    /// The group, when the poll named another generation.
    pub group: Option<WitnessGroup>,
}

/// Answer to a pushed revision.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoreReply {
    /// Generation of the witness.
    pub generation: Generation,
    /// The witness.
    pub witness: InstanceId,
    /// Highest revision that it has stored.
    pub revision: Revision,
}

/// Asks a witness for a copy of its state.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RecoverRequest {
    /// The witness that has restarted.
    pub witness: Life,
}

/// State of a witness for one that has restarted.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WitnessCopy {
    /// The request that it answers.
    pub request: RecoverRequest,
    /// Owner of the state.
    pub from: InstanceId,
    /// Its group.
    pub group: WitnessGroup,
    /// Highest stored revision.
    pub revision: Revision,
    /// Members.
    pub instances: Vec<InstanceCopy>,
    /// Backend servers.
    pub backends: Vec<BackendCopy>,
    /// Claims.
    pub claims: Vec<ClaimCopy>,
    /// Time for which claims are still refused after a generation change.
    pub claims_refused_for: Duration,
    /// Last granted lease.
    pub promise: Option<Promise>,
}

/// One member in a [`WitnessCopy`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceCopy {
    /// The member.
    pub life: Life,
    /// What is known of it.
    pub record: InstanceRecord,
    /// Number of its last poll.
    pub number: u64,
    /// Time since it was heard.
    pub age: Duration,
}

/// One backend server in a [`WitnessCopy`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendCopy {
    /// Its last announcement.
    pub announcement: Announcement,
    /// Time since that arrived.
    pub age: Duration,
}

/// Control starts a new generation at one witness.
///
/// Control decides this only while a majority of the earlier generation has ended it: by taking part in the new one, by
/// a restart without recovery, or for good. Otherwise two generations would acknowledge at the same time.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GenerationStart {
    /// The new group.
    pub group: WitnessGroup,
    /// Receiver, in the life that control knows; a delayed message must not start a later life without memory.
    pub witness: Life,
    /// Highest revision that control has committed.
    pub revision: Revision,
    /// Whether claims of an earlier generation may be lost. False only for the first generation of a fleet.
    pub claims_lost: bool,
}

/// Why a witness does not start a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Error)]
pub enum GenerationError {
    /// The message is for another witness or another life of it.
    #[error("the message is for another life of the witness")]
    OtherIncarnation,
    /// The witness is not in the group.
    #[error("the witness is not in the group")]
    NotInGroup,
    /// The generation is not above the one of the witness.
    #[error("the witness is already in generation {0}")]
    NotHigher(Generation),
}

/// Message that a witness sends on its own.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WitnessMessage {
    /// To be answered with [`super::Witness::on_lease_request`].
    Lease(LeaseRequest),
    /// To be answered with [`super::Witness::copy_for`].
    Recover(RecoverRequest),
}
