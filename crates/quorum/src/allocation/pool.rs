//! Rate pools of the leader.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::bucket::Bucket;
use super::message::{
    AllocationReply, AllocationRequest, Limit, LimitGrant, LimitKey, LimitReport,
};
use super::{
    ALLOCATION_RECORD_LIFETIME, AllocationSettings, MAX_TOKEN_WAIT_MS, MIN_TOKEN_WAIT_MS,
    TOKENS_PER_REQUEST, mul_div, round_down_to_requests, round_up_to_requests, tokens_in,
};
use crate::group::{Epoch, InstanceIncarnation};
use crate::lease::Leadership;

/// Time between two checks for expired allocations.
const EXPIRY_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Time whose demand the burst capacity of a holder covers.
const BURST_DEMAND_TIME: Duration = Duration::from_millis(500);

/// Time whose demand a holder gets as tokens in addition to those that its waiting requests lack.
const HEADROOM_DEMAND_TIME: Duration = Duration::from_secs(1);

/// Minimum time between two urgent reports of one holder while the pool is empty, in milliseconds; above the round trip
/// between availability zones.
const MIN_RETRY_MS: u64 = 5;

/// Maximum time between two urgent reports of one holder while requests wait, in milliseconds.
const MAX_RETRY_MS: u64 = 50;

/// Unallocated rate, burst capacity and tokens of all limits.
///
/// A pool is valid for one uninterrupted lease. It starts empty, because the allocations of earlier leaders are
/// unknown. It is settled once every holder has registered, or [`ALLOCATION_RECORD_LIFETIME`] has passed; from then on
/// everything that no holder has reported belongs to the pool.
#[derive(Debug, Clone)]
pub struct Pool {
    life: InstanceIncarnation,
    since_epoch: Epoch,
    epoch: Epoch,
    settings: AllocationSettings,
    settles_at: Duration,
    settled: bool,
    predecessor: Option<InstanceIncarnation>,
    /// Burst per limit that the predecessor may hold without having registered, in tokens.
    reserve: u64,
    registered: BTreeSet<InstanceIncarnation>,
    limits: HashMap<LimitKey, LimitPool>,
    /// Local time of the next check for expired allocations.
    next_expiry_check_at: Duration,
}

/// Unallocated part of one limit, and the record of its allocations.
#[derive(Debug, Clone)]
struct LimitPool {
    limit: Limit,
    bucket: Bucket,
    records: HashMap<InstanceIncarnation, AllocationRecord>,
    allocated_rate: u64,
    allocated_burst: u64,
    /// Demand at all holders, in tokens per second.
    total_demand: u64,
    settled: bool,
}

/// Upper bound of the allocation that one holder uses.
#[derive(Debug, Clone)]
struct AllocationRecord {
    rate: u64,
    burst: u64,
    demand: u64,
    expires_at: Duration,
    last_number: u64,
    returned_total: u64,
    /// Tokens in the last grant, which the holder has not confirmed yet.
    granted_tokens: u64,
}

impl Pool {
    /// Creates the pool of a leader that has just won its lease. `predecessor` is
    /// [`crate::lease::Election::predecessor`].
    #[must_use]
    pub fn new(
        life: InstanceIncarnation,
        leadership: &Leadership,
        predecessor: Option<InstanceIncarnation>,
        settings: AllocationSettings,
        now: Duration,
    ) -> Self {
        Self {
            life,
            since_epoch: leadership.since_epoch,
            epoch: leadership.epoch,
            settings,
            settles_at: now + ALLOCATION_RECORD_LIFETIME,
            settled: false,
            predecessor,
            reserve: 0,
            registered: BTreeSet::new(),
            limits: HashMap::new(),
            next_expiry_check_at: now,
        }
    }

    /// Returns whether the pool is valid for this lease. If not, create a new one.
    #[must_use]
    pub fn belongs_to(&self, leadership: &Leadership) -> bool {
        self.since_epoch == leadership.since_epoch
    }

    /// Returns the local time at which the pool was created. Polls sent later reveal every instance that may hold an
    /// allocation.
    #[must_use]
    pub fn started_at(&self) -> Duration {
        self.settles_at.saturating_sub(ALLOCATION_RECORD_LIFETIME)
    }

    /// Returns whether everything that no holder has reported belongs to the pool.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Adds or changes a limit. `None` removes it: holders return their allocations, and nothing more is granted.
    ///
    /// After a reduction, the allocations may exceed the limit until each holder has received its new targets or its
    /// allocation has expired.
    pub fn set_limit(&mut self, now: Duration, key: &LimitKey, limit: Option<Limit>) {
        let (settled, reserve, margin) =
            (self.settled, self.reserve, self.settings.clock_margin_ppm);
        let pool = self
            .limits
            .entry(key.clone())
            .or_insert_with(|| LimitPool::new(now, settled, margin));
        pool.bucket.refill(now);
        pool.limit = limit.unwrap_or_default();
        pool.rebalance(0, 0, reserve);
    }

    /// Expires allocations, and settles the pool once [`ALLOCATION_RECORD_LIFETIME`] has passed. Call it at least
    /// every 250 ms.
    pub fn tick(&mut self, now: Duration) {
        if now >= self.settles_at {
            self.settle(now, 0);
        }
        if now < self.next_expiry_check_at {
            return;
        }
        self.next_expiry_check_at = now + EXPIRY_CHECK_PERIOD;
        let reserve = self.reserve;
        for pool in self.limits.values_mut() {
            pool.expire(now, reserve);
        }
        self.limits
            .retain(|_, pool| !pool.records.is_empty() || pool.limit != Limit::default());
    }

    /// Settles the pool before [`ALLOCATION_RECORD_LIFETIME`] has passed if every instance that may hold an allocation
    /// has registered.
    ///
    /// `lives` is the result of [`crate::witness::MembershipView::lives_since`] for [`Self::started_at`]. The
    /// predecessor need not register, because it holds at most one request of burst per limit.
    pub fn settle_early(&mut self, now: Duration, lives: &BTreeSet<InstanceIncarnation>) {
        let missing = |life: &&InstanceIncarnation| !self.registered.contains(*life);
        let mut missing = lives.iter().filter(missing);
        let predecessor = self.predecessor.as_ref();
        if self.settled || !missing.all(|life| Some(life) == predecessor) {
            return;
        }
        let predecessor_registered = predecessor.is_none_or(|life| self.registered.contains(life));
        let reserve = if predecessor_registered {
            0
        } else {
            TOKENS_PER_REQUEST
        };
        self.settle(now, reserve);
    }

    /// Returns whether the instance of the leader itself holds no rate and at most one request of burst per limit, and
    /// will get no more. If so, call [`crate::lease::Election::set_handover_ready`].
    #[must_use]
    pub fn is_handover_ready(&self) -> bool {
        let is_minimal =
            |record: &AllocationRecord| record.rate == 0 && record.burst <= TOKENS_PER_REQUEST;
        let mut own = self
            .limits
            .values()
            .filter_map(|pool| pool.records.get(&self.life));
        self.settled && own.all(is_minimal)
    }

    /// Answers the reports of a holder. `leadership` is the lease at the local time `now`. Returns `None` without a
    /// lease, or if the request is for an epoch outside the current lease.
    pub fn on_request(
        &mut self,
        now: Duration,
        leadership: Option<&Leadership>,
        request: &AllocationRequest,
    ) -> Option<AllocationReply> {
        let leadership = leadership.filter(|leadership| self.belongs_to(leadership))?;
        self.epoch = leadership.epoch;
        if request.epoch > self.epoch || request.epoch < self.since_epoch {
            return None;
        }
        self.tick(now);
        let reports = request.reports.iter();
        let grants = reports.filter_map(|report| self.on_report(now, &request.holder, report));
        let grants = grants.collect();
        if request.complete {
            self.registered.insert(request.holder.clone());
        }
        Some(AllocationReply {
            holder: request.holder.clone(),
            epoch: self.epoch,
            registered: self.registered.contains(&request.holder),
            grants,
        })
    }

    fn on_report(
        &mut self,
        now: Duration,
        holder: &InstanceIncarnation,
        report: &LimitReport,
    ) -> Option<LimitGrant> {
        let is_leader = *holder == self.life;
        // An earlier leader may have granted a limit that this one does not know yet, so its allocations are recorded.
        let (settled, margin) = (self.settled, self.settings.clock_margin_ppm);
        let pool = self.limits.entry(report.key.clone());
        let pool = pool.or_insert_with(|| LimitPool::new(now, settled, margin));
        pool.bucket.refill(now);
        match pool.apply_report(now, holder, report, self.reserve) {
            ReportStatus::Outdated => None,
            ReportStatus::Unknown => Some(revocation(report)),
            ReportStatus::Accepted => Some(pool.grant(holder, report, is_leader, self.reserve)),
        }
    }

    /// Assigns the rate and burst that no holder has reported to the pool, except `reserve` tokens of burst per limit.
    fn settle(&mut self, now: Duration, reserve: u64) {
        if self.settled && self.reserve == reserve {
            return;
        }
        self.settled = true;
        self.reserve = reserve;
        for pool in self.limits.values_mut() {
            pool.bucket.refill(now);
            pool.settled = true;
            pool.rebalance(0, 0, reserve);
        }
    }
}

/// Result of a report.
enum ReportStatus {
    Accepted,
    /// A later report of the holder was accepted before.
    Outdated,
    /// The holder reports an allocation that exceeds its record, or that a settled pool has no record of.
    Unknown,
}

impl LimitPool {
    fn new(now: Duration, settled: bool, clock_margin_ppm: u32) -> Self {
        Self {
            limit: Limit::default(),
            bucket: Bucket::new(now, clock_margin_ppm),
            records: HashMap::new(),
            allocated_rate: 0,
            allocated_burst: 0,
            total_demand: 0,
            settled,
        }
    }

    /// Updates the record of a holder from its report. What the holder no longer uses returns to the pool.
    fn apply_report(
        &mut self,
        now: Duration,
        holder: &InstanceIncarnation,
        report: &LimitReport,
        reserve: u64,
    ) -> ReportStatus {
        let mut record = match self.records.get(holder) {
            Some(record) if report.number <= record.last_number => return ReportStatus::Outdated,
            Some(record) if report.rate > record.rate || report.burst > record.burst => {
                return ReportStatus::Unknown;
            }
            Some(record) => record.clone(),
            None if self.settled && (report.rate > 0 || report.burst > 0) => {
                return ReportStatus::Unknown;
            }
            None => AllocationRecord::from_report(report),
        };
        if !self.records.contains_key(holder) {
            self.allocated_rate += record.rate;
            self.allocated_burst += record.burst;
        }
        let (freed_rate, freed_burst) = (record.rate - report.rate, record.burst - report.burst);
        let returned = report.returned_total.saturating_sub(record.returned_total);
        // A grant that the holder has not applied before this report is never applied, so its tokens return to the
        // pool.
        let unapplied = if report.accepted < record.last_number {
            record.granted_tokens
        } else {
            0
        };
        self.allocated_rate -= freed_rate;
        self.allocated_burst -= freed_burst;
        self.total_demand = self.total_demand - record.demand + report.demand;
        self.rebalance(freed_rate, freed_burst, reserve);
        self.bucket.tokens = self
            .bucket
            .tokens
            .saturating_add(returned.saturating_add(unapplied));
        self.bucket.discard_excess();
        record.rate = report.rate;
        record.burst = report.burst;
        record.demand = report.demand;
        record.returned_total = report.returned_total;
        record.last_number = report.number;
        record.granted_tokens = 0;
        record.expires_at = now + ALLOCATION_RECORD_LIFETIME;
        self.records.insert(holder.clone(), record);
        ReportStatus::Accepted
    }

    /// Returns the grant for a report and deducts it from the pool. Leaves a fifth of the rate in the pool, and a
    /// quarter of the burst unless the granted tokens need it.
    fn grant(
        &mut self,
        holder: &InstanceIncarnation,
        report: &LimitReport,
        is_leader: bool,
        reserve: u64,
    ) -> LimitGrant {
        let (target_rate, target_burst) = if is_leader {
            (0, 0)
        } else {
            self.targets(report.demand)
        };
        let spare_rate = self.bucket.rate.saturating_sub(self.limit.rate / 5);
        let add_rate = target_rate.saturating_sub(report.rate).min(spare_rate);
        let add_tokens = self.tokens_for(report, target_burst, is_leader);
        let pool_burst = round_up_to_requests(self.bucket.tokens - add_tokens)
            .max(round_up_to_requests(self.limit.burst / 4));
        let spare_burst = self.bucket.burst.saturating_sub(pool_burst);
        let wanted_burst = target_burst.saturating_sub(report.burst).min(spare_burst);
        let add_burst = wanted_burst.max(round_up_to_requests(add_tokens));
        self.allocated_rate += add_rate;
        self.allocated_burst += add_burst;
        self.bucket.tokens -= add_tokens;
        self.bucket.rate -= add_rate;
        self.bucket.burst -= add_burst;
        self.rebalance(0, 0, reserve);
        if let Some(record) = self.records.get_mut(holder) {
            record.rate += add_rate;
            record.burst += add_burst;
            record.granted_tokens = add_tokens;
        }
        LimitGrant {
            key: report.key.clone(),
            number: report.number,
            add_rate,
            add_burst,
            add_tokens,
            target_rate,
            target_burst,
            fair_rate: mul_div(self.limit.rate, report.demand, self.total_demand),
            short: self.bucket.tokens < self.bucket.burst / 2,
            retry_after_ms: self.retry_after_ms(),
            max_wait_ms: self.max_wait_ms(),
            exhausted: add_tokens < report.wanted && !(is_leader && add_tokens > 0),
            revoked: false,
        }
    }

    /// Returns the target rate and burst of a holder with the given demand. Holders share four fifths of the rate and
    /// half of the burst; the rest stays in the pool for holders whose demand is new or grows.
    fn targets(&self, demand: u64) -> (u64, u64) {
        let fair_burst = mul_div(self.limit.burst / 2, demand, self.total_demand);
        let useful_burst = tokens_in(demand, BURST_DEMAND_TIME) + 2 * TOKENS_PER_REQUEST;
        let burst = round_down_to_requests(fair_burst.min(useful_burst));
        if burst == 0 {
            return (0, 0);
        }
        let fair_rate = mul_div(self.limit.rate / 5 * 4, demand, self.total_demand);
        // The refill of a full bucket is lost, which happens more often the smaller the bucket is. If the total demand
        // exceeds three fifths of the rate, small buckets therefore get less rate, and their holders ask for tokens
        // instead.
        let useful_rate = if self.total_demand <= self.limit.rate / 5 * 3 {
            2 * demand + TOKENS_PER_REQUEST
        } else {
            mul_div(
                demand,
                burst - TOKENS_PER_REQUEST,
                burst + 3 * TOKENS_PER_REQUEST,
            )
        };
        (fair_rate.min(useful_rate), burst)
    }

    /// Returns the tokens to grant for a report. The instance of the leader gets at most one request, so that it stays
    /// ready. Others get the missing tokens and headroom, and a share of the surplus of a pool that is over three
    /// quarters full.
    fn tokens_for(&self, report: &LimitReport, target_burst: u64, is_leader: bool) -> u64 {
        if is_leader && report.wanted > 0 {
            let room = TOKENS_PER_REQUEST.saturating_sub(report.burst);
            return round_down_to_requests(self.bucket.tokens).min(room);
        }
        let surplus = self.bucket.tokens.saturating_sub(self.bucket.burst / 4 * 3);
        let fill = target_burst.saturating_sub(report.tokens).min(surplus);
        if report.wanted == 0 {
            return fill;
        }
        let headroom = tokens_in(report.demand, HEADROOM_DEMAND_TIME).min(self.bucket.tokens / 8);
        let needed = report.wanted.saturating_add(headroom);
        let granted = self.bucket.tokens.min(needed.max(fill));
        // This holder cannot use a fraction of a request, but another holder may need it to complete one.
        granted.saturating_sub((report.tokens + granted) % TOKENS_PER_REQUEST)
    }

    /// Returns the time after which a holder that got too few tokens asks again. The pool refills about an eighth of
    /// the burst in that time, so that it does not fill up and lose tokens while requests wait.
    fn retry_after_ms(&self) -> u64 {
        mul_div(self.limit.burst / 8, 1000, self.limit.rate.max(1))
            .clamp(MIN_RETRY_MS, MAX_RETRY_MS)
    }

    /// Returns the maximum wait of requests: the time in which the rate yields half of the burst, because other
    /// holders may hold that half.
    fn max_wait_ms(&self) -> u64 {
        let wait = mul_div(self.limit.burst / 2, 1000, self.limit.rate.max(1));
        wait.clamp(MIN_TOKEN_WAIT_MS, MAX_TOKEN_WAIT_MS)
    }

    /// Recalculates the rate and burst of the pool itself. Before the pool is settled, these are only what holders have
    /// returned.
    fn rebalance(&mut self, freed_rate: u64, freed_burst: u64, reserve: u64) {
        let rate = self.limit.rate.saturating_sub(self.allocated_rate);
        let burst = self
            .limit
            .burst
            .saturating_sub(self.allocated_burst)
            .saturating_sub(reserve);
        if self.settled {
            self.bucket.rate = rate;
            self.bucket.burst = burst;
        } else {
            self.bucket.rate = rate.min(self.bucket.rate + freed_rate);
            self.bucket.burst = burst.min(self.bucket.burst + freed_burst);
        }
        self.bucket.discard_excess();
    }

    /// Removes expired records and returns their allocations to the pool.
    fn expire(&mut self, now: Duration, reserve: u64) {
        let (mut rate, mut burst, mut demand) = (0, 0, 0);
        self.records.retain(|_, record| {
            let alive = now < record.expires_at;
            if !alive {
                rate += record.rate;
                burst += record.burst;
                demand += record.demand;
            }
            alive
        });
        if rate > 0 || burst > 0 || demand > 0 {
            self.bucket.refill(now);
            self.allocated_rate -= rate;
            self.allocated_burst -= burst;
            self.total_demand -= demand;
            self.rebalance(rate, burst, reserve);
        }
    }
}

impl AllocationRecord {
    /// Creates the record of an allocation that an earlier leader granted, or of a new holder.
    fn from_report(report: &LimitReport) -> Self {
        Self {
            rate: report.rate,
            burst: report.burst,
            demand: 0,
            expires_at: Duration::ZERO,
            last_number: 0,
            returned_total: report.returned_total,
            granted_tokens: 0,
        }
    }
}

/// Returns a grant that makes the holder drop its allocation.
fn revocation(report: &LimitReport) -> LimitGrant {
    LimitGrant {
        key: report.key.clone(),
        number: report.number,
        add_rate: 0,
        add_burst: 0,
        add_tokens: 0,
        target_rate: 0,
        target_burst: 0,
        fair_rate: 0,
        short: false,
        retry_after_ms: MAX_RETRY_MS,
        max_wait_ms: 0,
        exhausted: true,
        revoked: true,
    }
}
