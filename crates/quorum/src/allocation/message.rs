//! Messages between holders and the pool; sent as parts of the peer message `Sync`.

use radishpaddle_model::{OrganisationId, RatePerSecond, ServiceId};
use serde::{Deserialize, Serialize};

use super::TOKENS_PER_REQUEST;
use crate::group::{Epoch, InstanceIncarnation};

/// Identifies the limit of an organisation at a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LimitKey {
    /// Service that the requests are for.
    pub service: ServiceId,
    /// Organisation that sends the requests.
    pub organisation: OrganisationId,
}

/// Configured limit, in tokens; a request costs [`TOKENS_PER_REQUEST`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Limit {
    /// Rate, in tokens per second.
    pub rate: u64,
    /// Burst, in tokens; a multiple of [`TOKENS_PER_REQUEST`].
    pub burst: u64,
}

/// Report of a holder about one limit.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LimitReport {
    /// The limit.
    pub key: LimitKey,
    /// Number of the report. Later reports of a holder have higher numbers.
    pub number: u64,
    /// Number of the last report whose grant the holder has applied. It will not apply a grant for any other report
    /// below `number`.
    pub accepted: u64,
    /// Rate that the holder uses, in tokens per second.
    pub rate: u64,
    /// Burst capacity that the holder uses, in tokens.
    pub burst: u64,
    /// Tokens in the bucket of the holder.
    pub tokens: u64,
    /// Total of the tokens that the holder has returned since it first used the limit.
    pub returned_total: u64,
    /// Tokens that are missing for the waiting requests and for those refused since the last grant.
    pub wanted: u64,
    /// Average demand at the holder, in tokens per second.
    pub demand: u64,
}

/// Grant of the leader in reply to a report.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LimitGrant {
    /// The limit.
    pub key: LimitKey,
    /// Number of the answered report.
    pub number: u64,
    /// Rate to add, in tokens per second.
    pub add_rate: u64,
    /// Burst capacity to add, in tokens.
    pub add_burst: u64,
    /// Tokens to add; at most `add_burst`.
    pub add_tokens: u64,
    /// Rate above which the holder has to return the excess, in tokens per second.
    pub target_rate: u64,
    /// Burst capacity above which the holder has to return the excess, in tokens.
    pub target_burst: u64,
    /// Share of the configured rate in proportion to the demand at this holder, in tokens per second. Determines the
    /// length of the queue.
    pub fair_rate: u64,
    /// Whether the pool is short of tokens, so that the holder also returns tokens that leave no room for its refill.
    pub short: bool,
    /// Time after which the holder asks again if the pool could not supply the wanted tokens, in milliseconds.
    pub retry_after_ms: u64,
    /// Maximum time for which requests should wait for tokens that other holders return, in milliseconds.
    pub max_wait_ms: u64,
    /// Whether the pool could not supply the wanted tokens.
    pub exhausted: bool,
    /// Whether the holder has to drop its allocation, because the leader has no matching record of it.
    pub revoked: bool,
}

/// Reports of one holder to the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AllocationRequest {
    /// Instance that reports, and its incarnation.
    pub holder: InstanceIncarnation,
    /// Epoch of the leader that the request is for.
    pub epoch: Epoch,
    /// Whether the reports cover all allocations of the holder, which registers it with the leader.
    pub complete: bool,
    /// Reports, one per limit.
    pub reports: Vec<LimitReport>,
}

/// Reply to an [`AllocationRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AllocationReply {
    /// Receiver of the reply.
    pub holder: InstanceIncarnation,
    /// Epoch of the leader.
    pub epoch: Epoch,
    /// Whether the holder is registered: the leader has received reports that cover all its allocations.
    pub registered: bool,
    /// Grants in reply to the reports.
    pub grants: Vec<LimitGrant>,
}

impl Limit {
    /// Creates a limit from the values of a service document. A burst of 0 is raised to 1, because a bucket without
    /// room for one request admits none.
    #[must_use]
    pub fn new(rate: RatePerSecond, burst: u32) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a rate is finite and not negative, and the cast saturates"
        )]
        let rate = (rate.as_f64() * TOKENS_PER_REQUEST as f64) as u64;
        Self {
            rate,
            burst: u64::from(burst.max(1)) * TOKENS_PER_REQUEST,
        }
    }
}
