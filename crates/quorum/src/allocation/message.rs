//! Messages between holders and the pool; parts of `Sync`.

use radishpaddle_model::{OrganisationId, RatePerSecond, ServiceId};
use serde::{Deserialize, Serialize};

use super::TOKEN;
use crate::group::{Epoch, Life};

/// Identifies a limit.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LimitKey {
    /// The service.
    pub service: ServiceId,
    /// The organisation.
    pub organisation: OrganisationId,
}

/// Configured limit, in tokens; [`TOKEN`] is one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Limit {
    /// Tokens per second.
    pub rate: u64,
    /// Tokens that may be used at once; whole requests.
    pub burst: u64,
}

/// What a holder says about one limit.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LimitReport {
    /// The limit.
    pub key: LimitKey,
    /// Number of the report; later reports of a holder have higher numbers.
    pub number: u64,
    /// Last report whose answer the holder has applied; it will not apply answers to others up to `number`.
    pub accepted: u64,
    /// Rate that the holder uses, in tokens per second.
    pub rate: u64,
    /// Burst capacity that the holder uses, in tokens.
    pub burst: u64,
    /// Tokens that the holder has.
    pub tokens: u64,
    /// Tokens that the holder has given back since it first used the limit.
    pub returned_total: u64,
    /// Tokens that waiting and refused requests lack.
    pub wanted: u64,
    /// Estimated demand, in tokens per second.
    pub demand: u64,
}

/// What the leader answers about one limit.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LimitGrant {
    /// The limit.
    pub key: LimitKey,
    /// Number of the report that is answered.
    pub number: u64,
    /// Rate to add, in tokens per second.
    pub add_rate: u64,
    /// Burst capacity to add, in tokens.
    pub add_burst: u64,
    /// Tokens to add; at most `add_burst`.
    pub add_tokens: u64,
    /// Rate above which the holder gives back, in tokens per second.
    pub target_rate: u64,
    /// Burst capacity above which the holder gives back, in tokens.
    pub target_burst: u64,
    /// Part of the whole rate that the demand of this holder entitles it to, in tokens per second.
    pub fair_rate: u64,
    /// Whether the pool is short, so that the holder gives tokens back that it does not need at once.
    pub short: bool,
    /// Time after which to ask again when the pool could not give what was wanted.
    pub retry_after_ms: u64,
    /// Longest time for which requests should wait for tokens that others give back.
    pub max_wait_ms: u64,
    /// Whether the pool could not give what was wanted.
    pub exhausted: bool,
    /// Whether the holder has to drop its allocation, because the leader knows the limit or the allocation no more.
    pub revoked: bool,
}

/// Reports of one holder.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AllocationRequest {
    /// The holder.
    pub holder: Life,
    /// Epoch of the leader that the request is for.
    pub epoch: Epoch,
    /// Whether the reports name every allocation of the holder.
    pub complete: bool,
    /// The reports.
    pub reports: Vec<LimitReport>,
}

/// Answer to an [`AllocationRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AllocationReply {
    /// The holder.
    pub holder: Life,
    /// Epoch of the leader.
    pub epoch: Epoch,
    /// Whether the leader has the complete list of the holder's allocations.
    pub registered: bool,
    /// Answers to the reports.
    pub grants: Vec<LimitGrant>,
}

impl Limit {
    /// Limit of a service document. A burst of 0 counts as 1, because a bucket that holds no request admits none.
    #[must_use]
    pub fn new(rate: RatePerSecond, burst: u32) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a rate is finite and not negative, and the cast saturates"
        )]
        let rate = (rate.as_f64() * TOKEN as f64) as u64;
        Self {
            rate,
            burst: u64::from(burst.max(1)) * TOKEN,
        }
    }
}
