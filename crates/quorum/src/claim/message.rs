//! Messages between an entry instance and the witnesses about one action.

use std::fmt;
use std::sync::Arc;

use radishpaddle_model::{InstanceId, OrganisationId, ServiceId};
use serde::{Deserialize, Serialize};

use crate::group::{Generation, Life};

/// Longest idempotency key, in bytes. Longer ones are refused by the witnesses.
pub const MAX_KEY_BYTES: usize = 256;

/// Identifies an action: the same key of two organisations or services is two actions.
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

/// One attempt to run an action, unique over the life of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct AttemptId {
    /// Entry instance that would dispatch.
    pub life: Life,
    /// Number within that life.
    pub number: u64,
}

/// Hash of the request, to tell a repeated request from another one with the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub [u8; 32]);

/// What is known of the answer of a completed action.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The whole answer.
    Whole {
        /// HTTP status.
        status: u16,
        /// Headers and body in the encoding of the entry instance.
        encoded: Arc<[u8]>,
    },
    /// The action ran; the answer was too large to be recorded.
    StatusOnly {
        /// HTTP status.
        status: u16,
    },
    /// The dispatch ended without a complete answer, so the action may have run.
    Unknown,
}

/// Asks a witness to grant an attempt.
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

/// Answer to a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimReply {
    /// Generation of the witness.
    pub generation: Generation,
    /// The witness.
    pub witness: InstanceId,
    /// The attempt that asked.
    pub attempt: AttemptId,
    /// The vote.
    pub vote: ClaimVote,
}

/// Vote of one witness.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimVote {
    /// The attempt holds the claim at this witness.
    Granted,
    /// Another attempt holds the claim at this witness.
    Held {
        /// The other attempt.
        attempt: AttemptId,
        /// Hash of its request.
        fingerprint: Fingerprint,
        /// What the witness knows about it.
        state: HeldState,
    },
    /// An attempt has run.
    Completed {
        /// Hash of its request.
        fingerprint: Fingerprint,
        /// Its answer.
        answer: Answer,
    },
    /// The attempt that asked was abandoned before.
    Fenced,
    /// The witness stores no claim.
    Refused(VoteRefusal),
}

/// What a witness knows about an attempt that holds a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HeldState {
    /// Its entry instance is alive.
    InFlight,
    /// Its entry instance has stopped or restarted, so its outcome stays unknown.
    DispatcherLost,
    /// The witness recovered copies that name several attempts; any of them may have been granted by a majority.
    Disputed,
}

/// Why a witness stores no claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VoteRefusal {
    /// Its memory for claims is used up.
    Full,
    /// Its generation started less than the retention time ago; an earlier attempt could have run.
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
    /// The attempt, granted by a majority.
    pub attempt: AttemptId,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// The outcome.
    pub answer: Answer,
}

/// Answer to a [`CompleteRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CompleteReply {
    /// The witness.
    pub witness: InstanceId,
    /// The attempt.
    pub attempt: AttemptId,
    /// What was stored.
    pub stored: Stored,
}

/// What a witness stored of an outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stored {
    /// The answer as sent.
    Whole,
    /// The status; the memory for answers is used up or the answer is too large.
    StatusOnly,
    /// Nothing; the memory for claims is used up, or the attempt was abandoned.
    Nothing,
}

/// Frees the claim of an attempt that has not run and never will.
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

/// Answer to an [`AbandonRequest`]; the witness grants the attempt no more.
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
