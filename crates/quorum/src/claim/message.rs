//! Messages between an entry instance and the witnesses about the claim on one action.

use std::fmt;
use std::sync::Arc;

use radishpaddle_model::{InstanceId, OrganisationId, ServiceId};
use serde::{Deserialize, Serialize};

use crate::group::{Generation, InstanceIncarnation};

/// Maximum length of an idempotency key, in bytes. Witnesses refuse claims with a longer key.
pub const MAX_KEY_BYTES: usize = 256;

/// Identifies an action. The same idempotency key in two organisations or services identifies two actions.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimKey {
    /// Organisation that sent the request.
    pub organisation: OrganisationId,
    /// Service that the request is for.
    pub service: ServiceId,
    /// Value of the header `Idempotency-Key`.
    pub idempotency_key: Arc<str>,
}

/// Identifies one attempt to run an action; never reused within a fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct AttemptId {
    /// Entry instance, and its incarnation, that makes the attempt.
    pub life: InstanceIncarnation,
    /// Number of the attempt within that incarnation.
    pub number: u64,
}

/// Hash of a request that distinguishes a repeated request from a different one with the same idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub [u8; 32]);

/// Recorded outcome of a dispatched attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordedResponse {
    /// The action ran, and its complete response is recorded.
    Whole {
        /// HTTP status.
        status: u16,
        /// Headers and body, as encoded by the entry instance.
        encoded: Arc<[u8]>,
    },
    /// The action ran; of its response only the status is recorded, because there was no memory for the rest.
    StatusOnly {
        /// HTTP status.
        status: u16,
    },
    /// The dispatch ended without a complete response, so the action may have run.
    Unknown,
}

/// Asks a witness to grant the claim to an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Generation of the witness group.
    pub generation: Generation,
    /// The action.
    pub key: ClaimKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
}

/// Reply to a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimReply {
    /// Generation of the witness.
    pub generation: Generation,
    /// The witness.
    pub witness: InstanceId,
    /// Attempt that the vote is for.
    pub attempt: AttemptId,
    /// Vote of the witness.
    pub vote: ClaimVote,
}

/// Vote of one witness on a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimVote {
    /// The requesting attempt holds the claim at this witness.
    Granted,
    /// Another attempt holds the claim at this witness.
    Held {
        /// The other attempt.
        attempt: AttemptId,
        /// Hash of its request.
        fingerprint: Fingerprint,
        /// State of the other attempt as far as the witness knows.
        state: HeldState,
    },
    /// An attempt was dispatched and its outcome is recorded.
    Completed {
        /// Hash of its request.
        fingerprint: Fingerprint,
        /// Its answer.
        answer: RecordedResponse,
    },
    /// The requesting attempt was abandoned and is never granted again.
    Fenced,
    /// The witness did not store the claim.
    Refused(VoteRefusal),
}

/// State of an attempt that holds a claim, as far as the witness knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeldState {
    /// Its entry instance still runs in the same incarnation.
    InFlight,
    /// Its entry instance has stopped or restarted, so the outcome stays unknown.
    DispatcherLost,
    /// The state copies that the witness recovered from name several attempts, and a majority may have granted any of
    /// them.
    Disputed,
}

/// Reason for which a witness did not store a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoteRefusal {
    /// The memory for claims, or the number of abandoned attempts remembered for the action, has reached its limit.
    Full,
    /// The generation of the witness started less than the claim retention ago, so an attempt whose claim was lost with
    /// the previous generation may have run.
    NewGeneration,
    /// The idempotency key is longer than 256 bytes.
    KeyTooLong,
}

/// Records the outcome of a dispatched attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CompleteRequest {
    /// Generation of the witness group.
    pub generation: Generation,
    /// The action.
    pub key: ClaimKey,
    /// The attempt, which a majority granted.
    pub attempt: AttemptId,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Outcome of the dispatch.
    pub answer: RecordedResponse,
}

/// Reply to a [`CompleteRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CompleteReply {
    /// The witness.
    pub witness: InstanceId,
    /// The attempt.
    pub attempt: AttemptId,
    /// Part of the outcome that was stored.
    pub stored: StoredPart,
}

/// Part of an outcome that a witness stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredPart {
    /// The complete outcome.
    Whole,
    /// Only the status, because the memory for answers is used up or the answer is too large.
    StatusOnly,
    /// Nothing, because the memory for claims is used up or the attempt was abandoned.
    Nothing,
}

/// Releases the claim of an attempt that has not run and never will.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AbandonRequest {
    /// Generation of the witness group.
    pub generation: Generation,
    /// The action.
    pub key: ClaimKey,
    /// The attempt.
    pub attempt: AttemptId,
}

/// Reply to an [`AbandonRequest`]; from then on the witness does not grant the attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AbandonReply {
    /// The witness.
    pub witness: InstanceId,
    /// The attempt.
    pub attempt: AttemptId,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.life, self.number)
    }
}
