//! The part of an entry instance.

use std::collections::HashMap;
use std::time::Duration;

use super::bucket::Bucket;
use super::message::{AllocationReply, AllocationRequest, LimitGrant, LimitKey, LimitReport};
use super::{
    ALLOCATION_LIFETIME, AllocationSettings, TOKEN, fraction, refill_room, tokens_in, whole_down,
    whole_up,
};
use crate::group::{Epoch, Life};
use crate::lease::Leader;

/// Time after which an unanswered report is given up; far above the exchange of 3 ms between zones.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Shortest time after which a waiting request is decided again without an answer.
const MIN_WAIT: Duration = Duration::from_millis(5);

/// Time between two reports of a limit that is not in use.
const IDLE_PERIOD: Duration = Duration::from_secs(1);

/// Longest time without a leader that is expected, with the time that holders take to learn of the next one.
const OUTAGE_TIME: Duration = Duration::from_secs(3);

/// Requests that may wait for the first answer of a leader.
const OUTAGE_WAITING: u64 = 64;

/// Time after the return of a leader in which what has gathered is admitted.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);

/// Time over which demand is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// Demand below which an unused limit is forgotten, in tokens per second.
const FORGOTTEN_DEMAND: u64 = TOKEN / 100;

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent; its token is used up.
    Admitted,
    /// The request waits: ask again with [`Holder::admit_waiting`] when the answer of the leader has arrived, and at the
    /// local time `until` at the latest.
    Wait {
        /// When to ask again.
        until: Duration,
        /// Whether the leader is not known or does not answer. A request whose deadline passes meanwhile is refused
        /// because the allocation is not available, not because the rate is exceeded.
        leader_unreachable: bool,
    },
    /// The organisation is over its rate and burst. Not run.
    RateExceeded,
    /// There is no leader and as many requests wait as the rate can admit once there is one. Not run.
    Unavailable,
}

/// Allocations of one entry instance.
///
/// Ask for admission with [`Self::admit`]. After each [`Admission::Wait`] call [`Self::take_urgent`], and every 50 ms or
/// more often [`Self::tick`]; send what they return to the leader and give the answer to [`Self::on_reply`].
#[derive(Debug, Clone)]
pub struct Holder {
    life: Life,
    settings: AllocationSettings,
    leader: Option<Leader>,
    registration: Registration,
    next_number: u64,
    limits: HashMap<LimitKey, Held>,
    urgent: Vec<LimitKey>,
    stopping: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Registration {
    Needed,
    SentAt(Duration),
    Done,
}

/// What is known of the leader that answers for a limit.
#[derive(Debug, Clone, Copy)]
enum Contact {
    /// No answer is due yet.
    Asked,
    /// There is no leader, or it does not answer.
    Lost,
    /// It answers, since this local time.
    Since(Duration),
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    number: u64,
    sent_at: Duration,
}

#[derive(Debug, Clone)]
struct Held {
    bucket: Bucket,
    expires_at: Duration,
    pending: Option<Pending>,
    unanswered: bool,
    accepted: u64,
    returned_total: u64,
    target_rate: u64,
    target_burst: u64,
    fair_rate: u64,
    short: bool,
    exhausted: bool,
    ask_at: Duration,
    max_wait: Duration,
    contact: Contact,
    waiting: u64,
    refused: u64,
    arrivals: u64,
    demand: u64,
    reported_at: Duration,
}

impl Holder {
    /// Holder without allocations.
    #[must_use]
    pub fn new(life: Life, settings: AllocationSettings) -> Self {
        Self {
            life,
            settings,
            leader: None,
            registration: Registration::Needed,
            next_number: 0,
            limits: HashMap::new(),
            urgent: Vec::new(),
            stopping: false,
        }
    }

    /// Leader to which the reports go.
    #[must_use]
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// Number of limits in memory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Whether no limit is in memory.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Reports to a new leader. One with a lower epoch than before is ignored.
    pub fn set_leader(&mut self, leader: Leader) {
        if self
            .leader
            .as_ref()
            .is_some_and(|known| known.epoch >= leader.epoch)
        {
            return;
        }
        self.leader = Some(leader);
        self.registration = Registration::Needed;
        for held in self.limits.values_mut() {
            held.pending = None;
            held.exhausted = false;
            held.short = false;
        }
    }

    /// Decides on a request that has just arrived.
    pub fn admit(&mut self, now: Duration, key: &LimitKey) -> Admission {
        let (number, margin) = (self.next_number, self.settings.clock_margin_ppm);
        let held = self.limits.entry(key.clone());
        let held = held.or_insert_with(|| Held::new(now, number, margin));
        held.arrivals += 1;
        if held.take(now) {
            return Admission::Admitted;
        }
        if held.is_crowded(now, 0) {
            match (held.contact, held.exhausted) {
                (Contact::Lost, _) => return Admission::Unavailable,
                (_, false) => {}
                (_, true) => {
                    held.refused += 1;
                    self.ask(now, key);
                    return Admission::RateExceeded;
                }
            }
        }
        held.waiting += 1;
        self.wait(now, key)
    }

    /// Decides again on a request that waits.
    pub fn admit_waiting(&mut self, now: Duration, key: &LimitKey) -> Admission {
        let Some(held) = self.limits.get_mut(key) else {
            return Admission::RateExceeded;
        };
        if held.take(now) {
            held.waiting = held.waiting.saturating_sub(1);
            return Admission::Admitted;
        }
        if held.exhausted && held.is_crowded(now, 1) {
            held.waiting = held.waiting.saturating_sub(1);
            held.refused += 1;
            return Admission::RateExceeded;
        }
        self.wait(now, key)
    }

    /// Tells that a waiting request is gone without an answer.
    pub fn leave_waiting(&mut self, key: &LimitKey) {
        if let Some(held) = self.limits.get_mut(key) {
            held.waiting = held.waiting.saturating_sub(1);
        }
    }

    /// Request for tokens that cannot wait for the next report. Call it only while the instance is fresh: a new leader
    /// relies on the witnesses knowing every holder.
    pub fn take_urgent(&mut self, now: Duration) -> Option<AllocationRequest> {
        if self.registration != Registration::Done {
            return self.tick(now);
        }
        let keys = std::mem::take(&mut self.urgent);
        let reports = keys
            .iter()
            .filter_map(|key| self.report(now, key, true))
            .collect();
        self.request(false, reports)
    }

    /// Reports that are due. Call it only while the instance is fresh, see [`Self::take_urgent`].
    pub fn tick(&mut self, now: Duration) -> Option<AllocationRequest> {
        self.leader.as_ref()?;
        match self.registration {
            Registration::SentAt(sent_at) if now < sent_at + ANSWER_TIMEOUT => return None,
            Registration::Needed | Registration::SentAt(_) => return self.register(now),
            Registration::Done => {}
        }
        self.limits.retain(|_, held| !held.is_forgotten(now));
        let period = self.settings.report_period;
        let due = self
            .limits
            .iter()
            .filter(|(_, held)| held.is_due(now, period));
        let keys: Vec<LimitKey> = due.map(|(key, _)| key.clone()).collect();
        let reports = keys
            .iter()
            .filter_map(|key| self.report(now, key, true))
            .collect();
        self.request(false, reports)
    }

    /// Applies the answer of the leader. Returns the limits whose waiting requests should be asked for again.
    pub fn on_reply(&mut self, now: Duration, reply: &AllocationReply) -> Vec<LimitKey> {
        let current = self.leader.as_ref().map(|leader| leader.epoch);
        if reply.holder != self.life || current != Some(reply.epoch) {
            return Vec::new();
        }
        if reply.registered {
            self.registration = Registration::Done;
        }
        let stopping = self.stopping;
        let mut woken = Vec::new();
        for grant in &reply.grants {
            let Some(held) = self.limits.get_mut(&grant.key) else {
                continue;
            };
            if held.apply(now, grant, stopping) && held.waiting > 0 {
                woken.push(grant.key.clone());
            }
        }
        woken
    }

    /// Gives everything back before a planned stop. Send what [`Self::tick`] returns until [`Self::is_released`]; later
    /// requests find no tokens.
    pub fn release(&mut self) {
        self.stopping = true;
        for held in self.limits.values_mut() {
            held.target_rate = 0;
            held.target_burst = 0;
            held.reported_at = Duration::ZERO;
        }
    }

    /// Whether the leader knows that this holder has nothing.
    #[must_use]
    pub fn is_released(&self) -> bool {
        let unknown =
            |held: &Held| held.bucket.burst > 0 || held.bucket.rate > 0 || held.pending.is_some();
        self.stopping && !self.limits.values().any(unknown)
    }

    fn register(&mut self, now: Duration) -> Option<AllocationRequest> {
        self.registration = Registration::SentAt(now);
        self.urgent.clear();
        let keys: Vec<LimitKey> = self.limits.keys().cloned().collect();
        let reports = keys
            .iter()
            .filter_map(|key| self.report(now, key, false))
            .collect();
        self.build_request(true, reports)
    }

    fn request(&self, complete: bool, reports: Vec<LimitReport>) -> Option<AllocationRequest> {
        if reports.is_empty() {
            return None;
        }
        self.build_request(complete, reports)
    }

    fn build_request(
        &self,
        complete: bool,
        reports: Vec<LimitReport>,
    ) -> Option<AllocationRequest> {
        Some(AllocationRequest {
            holder: self.life.clone(),
            epoch: self.epoch()?,
            complete,
            reports,
        })
    }

    fn epoch(&self) -> Option<Epoch> {
        self.leader.as_ref().map(|leader| leader.epoch)
    }

    /// Report of one limit; `None` while an answer is outstanding, unless a registration replaces it.
    fn report(
        &mut self,
        now: Duration,
        key: &LimitKey,
        waits_for_answer: bool,
    ) -> Option<LimitReport> {
        let held = self.limits.get_mut(key)?;
        if waits_for_answer && held.is_pending(now) {
            return None;
        }
        self.next_number += 1;
        held.prepare_report(now, self.next_number, self.settings.report_period);
        Some(LimitReport {
            key: key.clone(),
            number: self.next_number,
            accepted: held.accepted,
            rate: held.bucket.rate,
            burst: held.bucket.burst,
            tokens: held.bucket.tokens,
            returned_total: held.returned_total,
            wanted: held.wanted(),
            demand: held.demand,
        })
    }

    fn wait(&mut self, now: Duration, key: &LimitKey) -> Admission {
        self.ask(now, key);
        let known = self.leader.is_some() && self.registration == Registration::Done;
        let Some(held) = self.limits.get_mut(key) else {
            return Admission::RateExceeded;
        };
        if !known || held.unanswered {
            held.contact = Contact::Lost;
        }
        let answer_at = held.pending.map_or(now, |pending| pending.sent_at) + ANSWER_TIMEOUT;
        let ask_at = if held.is_pending(now) {
            answer_at
        } else {
            held.ask_at.max(now + MIN_WAIT)
        };
        Admission::Wait {
            until: held.next_token_at(now).min(ask_at),
            leader_unreachable: !known || held.unanswered,
        }
    }

    fn ask(&mut self, now: Duration, key: &LimitKey) {
        let Some(held) = self.limits.get(key) else {
            return;
        };
        if !held.is_pending(now) && now >= held.ask_at && !self.urgent.contains(key) {
            self.urgent.push(key.clone());
        }
    }
}

impl Held {
    fn new(now: Duration, last_number: u64, clock_margin_ppm: u32) -> Self {
        Self {
            bucket: Bucket::new(now, clock_margin_ppm),
            expires_at: now,
            pending: None,
            unanswered: false,
            accepted: last_number,
            returned_total: 0,
            target_rate: 0,
            target_burst: 0,
            fair_rate: 0,
            short: false,
            exhausted: false,
            ask_at: now,
            max_wait: Duration::ZERO,
            contact: Contact::Asked,
            waiting: 0,
            refused: 0,
            arrivals: 0,
            demand: 0,
            reported_at: now,
        }
    }

    fn refresh(&mut self, now: Duration) {
        self.bucket.refill(now.min(self.expires_at));
        if now >= self.expires_at {
            self.bucket.clear();
            self.bucket.refill(now);
        }
    }

    fn take(&mut self, now: Duration) -> bool {
        self.refresh(now);
        let enough = self.bucket.tokens >= TOKEN;
        if enough {
            self.bucket.tokens -= TOKEN;
        }
        enough
    }

    fn is_pending(&self, now: Duration) -> bool {
        self.pending
            .is_some_and(|pending| now < pending.sent_at + ANSWER_TIMEOUT)
    }

    fn is_due(&self, now: Duration, period: Duration) -> bool {
        let fills = self.short && self.bucket.rate > 0;
        let used = self.arrivals > 0 || self.refused > 0 || self.waiting > 0;
        let active = used || fills || self.excess() > 0;
        let period = if active { period } else { IDLE_PERIOD };
        !self.is_pending(now) && now >= self.reported_at + period
    }

    /// Whether the limit is unused and the leader knows it.
    fn is_forgotten(&self, now: Duration) -> bool {
        let empty = self.bucket.rate == 0 && self.bucket.burst == 0 && self.waiting == 0;
        empty && self.pending.is_none() && self.demand < FORGOTTEN_DEMAND && now > self.reported_at
    }

    fn excess(&self) -> u64 {
        let burst = self.bucket.burst.saturating_sub(self.target_burst);
        burst.max(self.bucket.rate.saturating_sub(self.target_rate))
    }

    /// Requests that may wait. What gathers while the leader is lost may wait as well, and some time longer.
    fn allowed_waiting(&self, now: Duration) -> u64 {
        match self.contact {
            Contact::Since(since) if now >= since + CATCH_UP_TIME => {
                (tokens_in(self.fair_rate, self.max_wait) / TOKEN).max(1)
            }
            _ => (tokens_in(self.fair_rate, OUTAGE_TIME) / TOKEN).max(OUTAGE_WAITING),
        }
    }

    /// Whether more requests wait than can be admitted in time, not counting `included` of them.
    fn is_crowded(&self, now: Duration, included: u64) -> bool {
        self.waiting >= self.allowed_waiting(now) + included
    }

    fn wanted(&self) -> u64 {
        ((self.waiting + self.refused) * TOKEN).saturating_sub(self.bucket.tokens)
    }

    fn next_token_at(&self, now: Duration) -> Duration {
        let missing = TOKEN.saturating_sub(self.bucket.tokens);
        if self.bucket.rate == 0 || self.bucket.burst < TOKEN {
            return Duration::MAX;
        }
        now + Duration::from_nanos(fraction(missing, 1_000_000_000, self.bucket.rate) + 1)
    }

    /// Measures the demand and gives back what the last answer asked for, before this is reported.
    fn prepare_report(&mut self, now: Duration, number: u64, period: Duration) {
        self.refresh(now);
        self.measure_demand(now);
        self.give_back(period);
        self.unanswered = self.pending.is_some();
        self.exhausted &= !self.unanswered;
        self.pending = Some(Pending {
            number,
            sent_at: now,
        });
        self.reported_at = now;
    }

    fn measure_demand(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.reported_at);
        let arrived = self.arrivals * TOKEN;
        let span = elapsed + DEMAND_TIME;
        let [elapsed, span] =
            [elapsed, span].map(|time| u64::try_from(time.as_micros()).unwrap_or(u64::MAX));
        self.demand =
            fraction(self.demand, span - elapsed, span) + fraction(arrived, 1_000_000, span);
        self.arrivals = 0;
    }

    /// Reduces rate and burst to their targets and gives back capacity that will not fill until the next report, so that
    /// the leader can send it back with tokens. While the pool is short, also gives back tokens that would keep the
    /// bucket from taking its refill.
    fn give_back(&mut self, period: Duration) {
        self.bucket.rate = self.bucket.rate.min(self.target_rate);
        let room = refill_room(self.bucket.rate, period);
        let kept = if self.short {
            self.target_burst.saturating_sub(room)
        } else {
            self.target_burst
        };
        let surplus = self.bucket.tokens.saturating_sub(whole_down(kept));
        self.bucket.tokens -= surplus;
        self.bucket.burst -= whole_up(surplus);
        self.returned_total += surplus;
        let least = whole_up(self.bucket.tokens);
        let useful = (least + room).min(self.target_burst.max(least));
        self.bucket.burst = self.bucket.burst.min(useful);
        self.bucket.cap();
    }

    /// Applies the answer to the outstanding report. Others are ignored.
    fn apply(&mut self, now: Duration, grant: &LimitGrant, stopping: bool) -> bool {
        let Some(pending) = self
            .pending
            .filter(|pending| pending.number == grant.number)
        else {
            return false;
        };
        self.refresh(now);
        self.pending = None;
        self.unanswered = false;
        if !matches!(self.contact, Contact::Since(_)) {
            self.contact = Contact::Since(now);
        }
        self.accepted = grant.number;
        self.refused = 0;
        self.exhausted = grant.exhausted;
        self.short = grant.short;
        self.fair_rate = grant.fair_rate;
        self.max_wait = Duration::from_millis(grant.max_wait_ms);
        let retry_after = Duration::from_millis(grant.retry_after_ms);
        self.ask_at = if grant.exhausted {
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
        self.bucket.cap();
        true
    }
}
