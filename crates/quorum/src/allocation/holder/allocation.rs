//! Allocation of one limit at a holder.

use std::time::Duration;

use super::super::bucket::Bucket;
use super::super::message::LimitGrant;
use super::super::{
    ALLOCATION_LIFETIME, TOKENS_PER_REQUEST, mul_div, refill_capacity, round_down_to_requests,
    round_up_to_requests, tokens_in,
};
use super::REPORT_TIMEOUT;

/// Time between two reports about a limit that is not in use.
const IDLE_REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Expected maximum time without a leader, including the time in which holders learn of the next one.
const MAX_LEADER_OUTAGE: Duration = Duration::from_secs(3);

/// Minimum number of requests that may wait while the leader does not answer, or for its first answer.
const MIN_OUTAGE_QUEUE: u64 = 64;

/// Time after a leader answers again for which the queue limit of an outage still applies, so that the requests queued
/// meanwhile are admitted.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);

/// Time over which the demand is averaged.
const DEMAND_AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Demand below which the state of an unused limit is dropped, in tokens per second.
const MIN_TRACKED_DEMAND: u64 = TOKENS_PER_REQUEST / 100;

/// Whether the leader answers the reports about a limit.
#[derive(Debug, Clone, Copy)]
pub(super) enum LeaderContact {
    /// No reply has arrived yet, and none is overdue.
    Pending,
    /// The leader is unknown or does not answer.
    Lost,
    /// The leader has answered since this local time.
    AnsweringSince(Duration),
}

/// Report whose reply is outstanding.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingReport {
    pub(super) number: u64,
    pub(super) sent_at: Duration,
}

/// Allocation of one limit, and the requests that wait for it.
#[derive(Debug, Clone)]
pub(super) struct Allocation {
    pub(super) bucket: Bucket,
    pub(super) expires_at: Duration,
    pub(super) pending: Option<PendingReport>,
    /// Whether the report before the pending one got no reply.
    pub(super) previous_unanswered: bool,
    /// Number of the last report whose grant was applied.
    pub(super) accepted: u64,
    pub(super) returned_total: u64,
    pub(super) target_rate: u64,
    pub(super) target_burst: u64,
    pub(super) fair_rate: u64,
    /// Whether the pool was short of tokens at the last grant.
    pub(super) short: bool,
    /// Whether the pool could not supply the wanted tokens at the last grant.
    pub(super) exhausted: bool,
    /// Local time from which an urgent report may be sent.
    pub(super) next_urgent_at: Duration,
    pub(super) max_wait: Duration,
    pub(super) contact: LeaderContact,
    /// Number of requests that wait.
    pub(super) waiting: u64,
    /// Requests refused since the last grant.
    pub(super) refused: u64,
    /// Requests that arrived since the last report.
    pub(super) arrivals: u64,
    /// Average demand, in tokens per second.
    pub(super) demand: u64,
    pub(super) reported_at: Duration,
}

impl Allocation {
    pub(super) fn new(now: Duration, last_number: u64, clock_margin_ppm: u32) -> Self {
        Self {
            bucket: Bucket::new(now, clock_margin_ppm),
            expires_at: now,
            pending: None,
            previous_unanswered: false,
            accepted: last_number,
            returned_total: 0,
            target_rate: 0,
            target_burst: 0,
            fair_rate: 0,
            short: false,
            exhausted: false,
            next_urgent_at: now,
            max_wait: Duration::ZERO,
            contact: LeaderContact::Pending,
            waiting: 0,
            refused: 0,
            arrivals: 0,
            demand: 0,
            reported_at: now,
        }
    }

    /// Refills the bucket, and empties it once the allocation has expired.
    fn refill_or_expire(&mut self, now: Duration) {
        self.bucket.refill(now.min(self.expires_at));
        if now >= self.expires_at {
            self.bucket.clear();
            self.bucket.refill(now);
        }
    }

    /// Consumes the tokens of one request. Returns whether there were enough.
    pub(super) fn try_consume(&mut self, now: Duration) -> bool {
        self.refill_or_expire(now);
        let enough = self.bucket.tokens >= TOKENS_PER_REQUEST;
        if enough {
            self.bucket.tokens -= TOKENS_PER_REQUEST;
        }
        enough
    }

    pub(super) fn is_pending(&self, now: Duration) -> bool {
        self.pending
            .is_some_and(|pending| now < pending.sent_at + REPORT_TIMEOUT)
    }

    /// Returns whether the next regular report is due.
    pub(super) fn is_due(&self, now: Duration, period: Duration) -> bool {
        let returns_refill = self.short && self.bucket.rate > 0;
        let used = self.arrivals > 0 || self.refused > 0 || self.waiting > 0;
        let active = used || returns_refill || self.excess() > 0;
        let period = if active { period } else { IDLE_REPORT_PERIOD };
        !self.is_pending(now) && now >= self.reported_at + period
    }

    /// Returns whether the state can be dropped: the limit is unused, and the leader has confirmed that nothing is
    /// allocated.
    pub(super) fn is_droppable(&self, now: Duration) -> bool {
        let empty = self.bucket.rate == 0 && self.bucket.burst == 0 && self.waiting == 0;
        empty
            && self.pending.is_none()
            && self.demand < MIN_TRACKED_DEMAND
            && now > self.reported_at
    }

    /// Returns how far rate or burst exceed their targets; 0 if neither does.
    fn excess(&self) -> u64 {
        let burst = self.bucket.burst.saturating_sub(self.target_burst);
        burst.max(self.bucket.rate.saturating_sub(self.target_rate))
    }

    /// Returns the maximum number of waiting requests. It is higher while the leader does not answer, and for
    /// [`CATCH_UP_TIME`] after that.
    fn max_waiting(&self, now: Duration) -> u64 {
        match self.contact {
            LeaderContact::AnsweringSince(since) if now >= since + CATCH_UP_TIME => {
                (tokens_in(self.fair_rate, self.max_wait) / TOKENS_PER_REQUEST).max(1)
            }
            _ => (tokens_in(self.fair_rate, MAX_LEADER_OUTAGE) / TOKENS_PER_REQUEST)
                .max(MIN_OUTAGE_QUEUE),
        }
    }

    /// Returns whether the queue is full without `included` of the waiting requests.
    pub(super) fn is_queue_full(&self, now: Duration, included: u64) -> bool {
        self.waiting >= self.max_waiting(now) + included
    }

    /// Returns the tokens that are missing for waiting and refused requests.
    pub(super) fn wanted(&self) -> u64 {
        ((self.waiting + self.refused) * TOKENS_PER_REQUEST).saturating_sub(self.bucket.tokens)
    }

    /// Returns the local time at which the refill has yielded enough tokens for one request.
    pub(super) fn next_request_at(&self, now: Duration) -> Duration {
        let missing = TOKENS_PER_REQUEST.saturating_sub(self.bucket.tokens);
        if self.bucket.rate == 0 || self.bucket.burst < TOKENS_PER_REQUEST {
            return Duration::MAX;
        }
        now + Duration::from_nanos(mul_div(missing, 1_000_000_000, self.bucket.rate) + 1)
    }

    /// Updates the demand, returns the excess over the targets of the last grant, and marks the report as pending.
    pub(super) fn prepare_report(&mut self, now: Duration, number: u64, period: Duration) {
        self.refill_or_expire(now);
        self.measure_demand(now);
        self.return_excess(period);
        self.previous_unanswered = self.pending.is_some();
        self.exhausted &= !self.previous_unanswered;
        self.pending = Some(PendingReport {
            number,
            sent_at: now,
        });
        self.reported_at = now;
    }

    /// Updates the average demand with the arrivals since the last report.
    fn measure_demand(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.reported_at);
        let arrived = self.arrivals * TOKENS_PER_REQUEST;
        let span = elapsed + DEMAND_AVERAGING_TIME;
        let [elapsed, span] =
            [elapsed, span].map(|time| u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
        self.demand =
            mul_div(self.demand, span - elapsed, span) + mul_div(arrived, 1_000_000, span);
        self.arrivals = 0;
    }

    /// Reduces rate and burst to their targets. Also returns burst capacity that the refill cannot fill until the next
    /// report, so that the leader can grant it again together with tokens. While the pool is short, returns tokens that
    /// leave no room for the refill as well.
    fn return_excess(&mut self, period: Duration) {
        self.bucket.rate = self.bucket.rate.min(self.target_rate);
        let refill = refill_capacity(self.bucket.rate, period);
        let max_tokens = if self.short {
            self.target_burst.saturating_sub(refill)
        } else {
            self.target_burst
        };
        let surplus = self
            .bucket
            .tokens
            .saturating_sub(round_down_to_requests(max_tokens));
        self.bucket.tokens -= surplus;
        self.bucket.burst -= round_up_to_requests(surplus);
        self.returned_total += surplus;
        let used_burst = round_up_to_requests(self.bucket.tokens);
        let useful_burst = (used_burst + refill).min(self.target_burst.max(used_burst));
        self.bucket.burst = self.bucket.burst.min(useful_burst);
        self.bucket.discard_excess();
    }

    /// Applies the grant for the outstanding report and returns true. Grants for other reports are ignored.
    pub(super) fn apply(&mut self, now: Duration, grant: &LimitGrant, stopping: bool) -> bool {
        let Some(pending) = self
            .pending
            .filter(|pending| pending.number == grant.number)
        else {
            return false;
        };
        self.refill_or_expire(now);
        self.pending = None;
        self.previous_unanswered = false;
        if !matches!(self.contact, LeaderContact::AnsweringSince(_)) {
            self.contact = LeaderContact::AnsweringSince(now);
        }
        self.accepted = grant.number;
        self.refused = 0;
        self.exhausted = grant.exhausted;
        self.short = grant.short;
        self.fair_rate = grant.fair_rate;
        self.max_wait = Duration::from_millis(grant.max_wait_ms);
        let retry_after = Duration::from_millis(grant.retry_after_ms);
        self.next_urgent_at = if grant.exhausted {
            now + retry_after
        } else {
            now
        };
        if grant.revoked {
            self.bucket.clear();
            self.expires_at = now;
            return true;
        }
        self.expires_at = self.expires_at.max(pending.sent_at + ALLOCATION_LIFETIME);
        (self.target_rate, self.target_burst) = (grant.target_rate, grant.target_burst);
        if stopping {
            (self.target_rate, self.target_burst) = (0, 0);
        }
        self.bucket.rate = (self.bucket.rate + grant.add_rate).min(self.target_rate);
        self.bucket.burst += grant.add_burst;
        self.bucket.tokens += grant.add_tokens;
        self.bucket.discard_excess();
        true
    }
}
