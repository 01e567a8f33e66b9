//! The part of the leader.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::bucket::Bucket;
use super::message::{
    AllocationReply, AllocationRequest, Limit, LimitGrant, LimitKey, LimitReport,
};
use super::{
    AllocationSettings, MAX_TOKEN_WAIT_MS, MIN_TOKEN_WAIT_MS, RECORD_LIFETIME, TOKEN, fraction,
    tokens_in, whole_down, whole_up,
};
use crate::group::{Epoch, Life};
use crate::lease::Leadership;

/// Time between two searches for expired allocations.
const EXPIRY_PERIOD: Duration = Duration::from_millis(250);

/// Demand for which a holder gets burst capacity.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Demand for which a holder that asks gets tokens beyond those that it lacks.
const HEADROOM_TIME: Duration = Duration::from_secs(1);

/// Shortest time between two requests for tokens of one holder while the pool is empty, in milliseconds; above the
/// exchange between zones.
const MIN_RETRY_MS: u64 = 5;

/// Longest time between two requests for tokens of one holder while requests wait, in milliseconds.
const MAX_RETRY_MS: u64 = 50;

/// Rate and capacity of all limits, as far as they are not allocated.
///
/// A pool lives as long as one unbroken lease. It starts empty: what an earlier leader has allocated is unknown. Once
/// every holder has registered, or [`RECORD_LIFETIME`] has passed, whatever no holder has named belongs to the pool.
#[derive(Debug, Clone)]
pub struct Pool {
    life: Life,
    since_epoch: Epoch,
    epoch: Epoch,
    settings: AllocationSettings,
    settles_at: Duration,
    settled: bool,
    predecessor: Option<Life>,
    reserve: u64,
    registered: BTreeSet<Life>,
    limits: HashMap<LimitKey, LimitPool>,
    expires_at: Duration,
}

#[derive(Debug, Clone)]
struct LimitPool {
    limit: Limit,
    bucket: Bucket,
    records: HashMap<Life, Record>,
    rates: u64,
    bursts: u64,
    demand: u64,
    settled: bool,
}

/// What a holder may use at most.
#[derive(Debug, Clone)]
struct Record {
    rate: u64,
    burst: u64,
    demand: u64,
    expires_at: Duration,
    last_number: u64,
    returned_total: u64,
    granted_tokens: u64,
}

impl Pool {
    /// Pool of a leader that has just won its lease. `predecessor` is [`crate::lease::Election::predecessor`].
    #[must_use]
    pub fn new(
        life: Life,
        leadership: &Leadership,
        predecessor: Option<Life>,
        settings: AllocationSettings,
        now: Duration,
    ) -> Self {
        Self {
            life,
            since_epoch: leadership.since_epoch,
            epoch: leadership.epoch,
            settings,
            settles_at: now + RECORD_LIFETIME,
            settled: false,
            predecessor,
            reserve: 0,
            registered: BTreeSet::new(),
            limits: HashMap::new(),
            expires_at: now,
        }
    }

    /// Whether the pool belongs to this lease; make a new one otherwise.
    #[must_use]
    pub fn belongs_to(&self, leadership: &Leadership) -> bool {
        self.since_epoch == leadership.since_epoch
    }

    /// Local time at which the pool was made; polls sent later show every life that may hold an allocation.
    #[must_use]
    pub fn started_at(&self) -> Duration {
        self.settles_at.saturating_sub(RECORD_LIFETIME)
    }

    /// Whether everything that no holder has named belongs to the pool.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Adds or changes a limit. `None` removes it: holders give back what they have, and nothing more is granted.
    ///
    /// After a reduction the allocations may exceed the limit until each holder was told or its allocation expired.
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

    /// Expires allocations and settles the pool when it is time. Call it at least every 250 ms.
    pub fn tick(&mut self, now: Duration) {
        if now >= self.settles_at {
            self.settle(now, 0);
        }
        if now < self.expires_at {
            return;
        }
        self.expires_at = now + EXPIRY_PERIOD;
        let reserve = self.reserve;
        for pool in self.limits.values_mut() {
            pool.expire(now, reserve);
        }
        self.limits
            .retain(|_, pool| !pool.records.is_empty() || pool.limit != Limit::default());
    }

    /// Settles the pool early if every life that may hold an allocation has registered.
    ///
    /// `lives` comes from [`crate::witness::MembershipView::lives_since`] with the time at which the lease was won.
    /// The predecessor need not register: it holds one request of burst at most.
    pub fn settle_early(&mut self, now: Duration, lives: &BTreeSet<Life>) {
        let missing = |life: &&Life| !self.registered.contains(*life);
        let mut missing = lives.iter().filter(missing);
        let predecessor = self.predecessor.as_ref();
        if self.settled || !missing.all(|life| Some(life) == predecessor) {
            return;
        }
        let known = predecessor.is_none_or(|life| self.registered.contains(life));
        self.settle(now, if known { 0 } else { TOKEN });
    }

    /// Whether the instance of the leader itself holds no rate and at most one request of burst per limit, and will not
    /// get more; then call [`crate::lease::Election::set_ready`].
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let trimmed = |record: &Record| record.rate == 0 && record.burst <= TOKEN;
        let mut own = self
            .limits
            .values()
            .filter_map(|pool| pool.records.get(&self.life));
        self.settled && own.all(trimmed)
    }

    /// Answers the reports of a holder. `leadership` is the lease at the local time `now`; without it, and for another
    /// epoch, there is no answer.
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
        holder: &Life,
        report: &LimitReport,
    ) -> Option<LimitGrant> {
        let own = *holder == self.life;
        // A limit that this leader does not know yet may have been granted by an earlier one, so it is accounted too.
        let (settled, margin) = (self.settled, self.settings.clock_margin_ppm);
        let pool = self.limits.entry(report.key.clone());
        let pool = pool.or_insert_with(|| LimitPool::new(now, settled, margin));
        pool.bucket.refill(now);
        match pool.take_report(now, holder, report, self.reserve) {
            Taken::Outdated => None,
            Taken::Unknown => Some(revocation(report)),
            Taken::Accepted => Some(pool.grant(holder, report, own, self.reserve)),
        }
    }

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

enum Taken {
    Accepted,
    Outdated,
    Unknown,
}

impl LimitPool {
    fn new(now: Duration, settled: bool, clock_margin_ppm: u32) -> Self {
        Self {
            limit: Limit::default(),
            bucket: Bucket::new(now, clock_margin_ppm),
            records: HashMap::new(),
            rates: 0,
            bursts: 0,
            demand: 0,
            settled,
        }
    }

    /// Takes over what a holder says that it uses. What it does not use any more goes to the pool.
    fn take_report(
        &mut self,
        now: Duration,
        holder: &Life,
        report: &LimitReport,
        reserve: u64,
    ) -> Taken {
        let mut record = match self.records.get(holder) {
            Some(record) if report.number <= record.last_number => return Taken::Outdated,
            Some(record) if report.rate > record.rate || report.burst > record.burst => {
                return Taken::Unknown;
            }
            Some(record) => record.clone(),
            None if self.settled && (report.rate > 0 || report.burst > 0) => return Taken::Unknown,
            None => Record::registered(report),
        };
        if !self.records.contains_key(holder) {
            self.rates += record.rate;
            self.bursts += record.burst;
        }
        let (freed_rate, freed_burst) = (record.rate - report.rate, record.burst - report.burst);
        let returned = report.returned_total.saturating_sub(record.returned_total);
        let unused = if report.accepted < record.last_number {
            record.granted_tokens
        } else {
            0
        };
        self.rates -= freed_rate;
        self.bursts -= freed_burst;
        self.demand = self.demand - record.demand + report.demand;
        self.rebalance(freed_rate, freed_burst, reserve);
        self.bucket.tokens = self
            .bucket
            .tokens
            .saturating_add(returned.saturating_add(unused));
        self.bucket.cap();
        record.rate = report.rate;
        record.burst = report.burst;
        record.demand = report.demand;
        record.returned_total = report.returned_total;
        record.last_number = report.number;
        record.granted_tokens = 0;
        record.expires_at = now + RECORD_LIFETIME;
        self.records.insert(holder.clone(), record);
        Taken::Accepted
    }

    fn grant(
        &mut self,
        holder: &Life,
        report: &LimitReport,
        own: bool,
        reserve: u64,
    ) -> LimitGrant {
        let (target_rate, target_burst) = if own {
            (0, 0)
        } else {
            self.targets(report.demand)
        };
        let spare_rate = self.bucket.rate.saturating_sub(self.limit.rate / 5);
        let add_rate = target_rate.saturating_sub(report.rate).min(spare_rate);
        let add_tokens = self.tokens_for(report, target_burst, own);
        let kept = whole_up(self.bucket.tokens - add_tokens).max(whole_up(self.limit.burst / 4));
        let spare_burst = self.bucket.burst.saturating_sub(kept);
        let wanted_burst = target_burst.saturating_sub(report.burst).min(spare_burst);
        let add_burst = wanted_burst.max(whole_up(add_tokens));
        self.rates += add_rate;
        self.bursts += add_burst;
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
            fair_rate: fraction(self.limit.rate, report.demand, self.demand),
            short: self.bucket.tokens < self.bucket.burst / 2,
            retry_after_ms: self.retry_after_ms(),
            max_wait_ms: self.max_wait_ms(),
            exhausted: add_tokens < report.wanted && !(own && add_tokens > 0),
            revoked: false,
        }
    }

    /// Rate and burst that a demand justifies. One fifth of the rate and half of the burst stay for newcomers.
    fn targets(&self, demand: u64) -> (u64, u64) {
        let fair_burst = fraction(self.limit.burst / 2, demand, self.demand);
        let useful_burst = tokens_in(demand, BURST_TIME) + 2 * TOKEN;
        let burst = whole_down(fair_burst.min(useful_burst));
        if burst == 0 {
            return (0, 0);
        }
        let fair_rate = fraction(self.limit.rate / 5 * 4, demand, self.demand);
        // A small bucket wastes what it gains while it is full. When the rate is scarce, such a bucket gets less of it
        // and its holder asks for tokens instead.
        let useful_rate = if self.demand <= self.limit.rate / 5 * 3 {
            2 * demand + TOKEN
        } else {
            fraction(demand, burst - TOKEN, burst + 3 * TOKEN)
        };
        (fair_rate.min(useful_rate), burst)
    }

    fn tokens_for(&self, report: &LimitReport, target_burst: u64, own: bool) -> u64 {
        if own && report.wanted > 0 {
            let room = TOKEN.saturating_sub(report.burst);
            return whole_down(self.bucket.tokens).min(room);
        }
        let plenty = self.bucket.tokens.saturating_sub(self.bucket.burst / 4 * 3);
        let filling = target_burst.saturating_sub(report.tokens).min(plenty);
        if report.wanted == 0 {
            return filling;
        }
        let headroom = tokens_in(report.demand, HEADROOM_TIME).min(self.bucket.tokens / 8);
        let needed = report.wanted.saturating_add(headroom);
        let given = self.bucket.tokens.min(needed.max(filling));
        // A fraction of a request is of no use to this holder and may complete a request elsewhere.
        given.saturating_sub((report.tokens + given) % TOKEN)
    }

    /// Time after which a holder that got too little asks again: the pool fills an eighth of the burst meanwhile, so that
    /// it does not run full while requests wait.
    fn retry_after_ms(&self) -> u64 {
        fraction(self.limit.burst / 8, 1000, self.limit.rate.max(1))
            .clamp(MIN_RETRY_MS, MAX_RETRY_MS)
    }

    /// Half of the burst may be with other holders; the rate makes up for that meanwhile.
    fn max_wait_ms(&self) -> u64 {
        let wait = fraction(self.limit.burst / 2, 1000, self.limit.rate.max(1));
        wait.clamp(MIN_TOKEN_WAIT_MS, MAX_TOKEN_WAIT_MS)
    }

    /// Sets what the pool itself may use. Before the pool is settled that is only what holders have given back.
    fn rebalance(&mut self, freed_rate: u64, freed_burst: u64, reserve: u64) {
        let rate = self.limit.rate.saturating_sub(self.rates);
        let burst = self
            .limit
            .burst
            .saturating_sub(self.bursts)
            .saturating_sub(reserve);
        if self.settled {
            self.bucket.rate = rate;
            self.bucket.burst = burst;
        } else {
            self.bucket.rate = rate.min(self.bucket.rate + freed_rate);
            self.bucket.burst = burst.min(self.bucket.burst + freed_burst);
        }
        self.bucket.cap();
    }

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
            self.rates -= rate;
            self.bursts -= burst;
            self.demand -= demand;
            self.rebalance(rate, burst, reserve);
        }
    }
}

impl Record {
    fn registered(report: &LimitReport) -> Self {
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
