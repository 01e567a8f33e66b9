//! At-most-once execution of non-idempotent requests (design section 4.3; compare the completion records of RIFL).
//!
//! An attempt may be dispatched once a majority of the witnesses has granted its claim. Each witness keeps a
//! [`ClaimRegister`]; the entry instance keeps a [`ClaimAttempt`] for each attempt.

mod attempt;
mod message;
mod register;

pub use attempt::{ClaimAttempt, ClaimDecision};
pub use message::{
    AbandonReply, AbandonRequest, AttemptId, ClaimKey, ClaimReply, ClaimRequest, ClaimVote,
    CompleteReply, CompleteRequest, Fingerprint, HeldState, RecordedResponse, StoredPart,
    VoteRefusal,
};
pub use register::{ClaimCopy, ClaimRegister, ClaimSettings, ClaimState};
