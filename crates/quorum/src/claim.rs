//! At-most-once register for non-idempotent requests (design section 4.3; compare the completion records of RIFL).
//!
//! An attempt may be dispatched after a majority of the witnesses has granted its claim. [`ClaimRegister`] is the part
//! of a witness, [`ClaimAttempt`] the part of the entry instance.

mod attempt;
mod message;
mod register;

pub use attempt::{ClaimAttempt, ClaimDecision};
pub use message::{
    AbandonReply, AbandonRequest, Answer, AttemptId, ClaimKey, ClaimReply, ClaimRequest, ClaimVote,
    CompleteReply, CompleteRequest, Fingerprint, HeldState, Stored, VoteRefusal,
};
pub use register::{ClaimCopy, ClaimRegister, ClaimSettings, ClaimState};
