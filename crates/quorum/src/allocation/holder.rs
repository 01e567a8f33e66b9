//! Rate allocations of an entry instance.

mod allocation;

use std::collections::HashMap;
use std::time::Duration;

use super::AllocationSettings;
use super::message::{AllocationReply, AllocationRequest, LimitKey, LimitReport};
use crate::group::{Epoch, InstanceIncarnation};
use crate::lease::Leader;
use allocation::{Allocation, LeaderContact};

/// Time after which a report without a reply is given up; far above the round trip of 3 ms between availability zones.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Minimum time after which a waiting request is checked again if no reply arrives.
const MIN_RECHECK_DELAY: Duration = Duration::from_millis(5);

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent; its tokens are consumed.
    Admitted,
    /// The request waits. Call [`Holder::admit_waiting`] once the reply of the leader has arrived, and at the local
    /// time `until` at the latest.
    Wait {
        /// Local time at which to check again.
        until: Duration,
        /// Whether the leader is unknown or does not answer. A request whose deadline passes meanwhile is refused
        /// because the allocation is unavailable, not because the rate is exceeded.
        leader_unreachable: bool,
    },
    /// The organisation exceeds its rate and burst. Not run.
    RateExceeded,
    /// The leader is unknown or does not answer, and the queue is full: as many requests wait as the rate can admit
    /// once a leader answers. Not run.
    Unavailable,
}

/// Rate allocations of one entry instance.
///
/// Call [`Self::admit`] for each request, [`Self::take_urgent_reports`] after each [`Admission::Wait`], and
/// [`Self::tick`] at least every 50 ms. Send the requests that the latter two return to the leader, and pass its reply
/// to [`Self::on_reply`].
#[derive(Debug, Clone)]
pub struct Holder {
    life: InstanceIncarnation,
    settings: AllocationSettings,
    leader: Option<Leader>,
    registration: Registration,
    next_number: u64,
    limits: HashMap<LimitKey, Allocation>,
    /// Limits with waiting requests, to be reported at once.
    urgent: Vec<LimitKey>,
    stopping: bool,
}

/// Registration with the leader: reports that cover all allocations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Registration {
    Needed,
    SentAt(Duration),
    Done,
}

impl Holder {
    /// Creates a holder without allocations.
    #[must_use]
    pub fn new(life: InstanceIncarnation, settings: AllocationSettings) -> Self {
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

    /// Returns the leader to which reports are sent.
    #[must_use]
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// Returns the number of limits in memory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Returns whether no limit is in memory.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Sends later reports to a new leader. A leader whose epoch is not higher than the current one is ignored.
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
        for allocation in self.limits.values_mut() {
            allocation.pending = None;
            allocation.exhausted = false;
            allocation.short = false;
        }
    }

    /// Decides on a newly arrived request.
    pub fn admit(&mut self, now: Duration, key: &LimitKey) -> Admission {
        let (number, margin) = (self.next_number, self.settings.clock_margin_ppm);
        let allocation = self.limits.entry(key.clone());
        let allocation = allocation.or_insert_with(|| Allocation::new(now, number, margin));
        allocation.arrivals += 1;
        if allocation.try_consume(now) {
            return Admission::Admitted;
        }
        if allocation.is_queue_full(now, 0) {
            match (allocation.contact, allocation.exhausted) {
                (LeaderContact::Lost, _) => return Admission::Unavailable,
                (_, false) => {}
                (_, true) => {
                    allocation.refused += 1;
                    self.mark_urgent(now, key);
                    return Admission::RateExceeded;
                }
            }
        }
        allocation.waiting += 1;
        self.wait_decision(now, key)
    }

    /// Decides again on a waiting request.
    pub fn admit_waiting(&mut self, now: Duration, key: &LimitKey) -> Admission {
        let Some(allocation) = self.limits.get_mut(key) else {
            return Admission::RateExceeded;
        };
        if allocation.try_consume(now) {
            allocation.waiting = allocation.waiting.saturating_sub(1);
            return Admission::Admitted;
        }
        if allocation.exhausted && allocation.is_queue_full(now, 1) {
            allocation.waiting = allocation.waiting.saturating_sub(1);
            allocation.refused += 1;
            return Admission::RateExceeded;
        }
        self.wait_decision(now, key)
    }

    /// Removes a waiting request from the count, because its caller has gone or its deadline has passed.
    pub fn cancel_waiting(&mut self, key: &LimitKey) {
        if let Some(allocation) = self.limits.get_mut(key) {
            allocation.waiting = allocation.waiting.saturating_sub(1);
        }
    }

    /// Returns reports on the limits whose requests wait, which are sent at once instead of with the next regular
    /// report. Call it only while the instance is fresh: a new leader relies on the witnesses to know all holders.
    pub fn take_urgent_reports(&mut self, now: Duration) -> Option<AllocationRequest> {
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

    /// Returns the registration or the reports that are due. Call it only while the instance is fresh; see
    /// [`Self::take_urgent_reports`].
    pub fn tick(&mut self, now: Duration) -> Option<AllocationRequest> {
        self.leader.as_ref()?;
        match self.registration {
            Registration::SentAt(sent_at) if now < sent_at + REPORT_TIMEOUT => return None,
            Registration::Needed | Registration::SentAt(_) => return self.register(now),
            Registration::Done => {}
        }
        self.limits
            .retain(|_, allocation| !allocation.is_droppable(now));
        let period = self.settings.report_period;
        let due = self
            .limits
            .iter()
            .filter(|(_, allocation)| allocation.is_due(now, period));
        let keys: Vec<LimitKey> = due.map(|(key, _)| key.clone()).collect();
        let reports = keys
            .iter()
            .filter_map(|key| self.report(now, key, true))
            .collect();
        self.request(false, reports)
    }

    /// Applies the reply of the leader. Returns the limits whose waiting requests should be checked again with
    /// [`Self::admit_waiting`].
    pub fn on_reply(&mut self, now: Duration, reply: &AllocationReply) -> Vec<LimitKey> {
        let current = self.leader.as_ref().map(|leader| leader.epoch);
        if reply.holder != self.life || current != Some(reply.epoch) {
            return Vec::new();
        }
        if reply.registered {
            self.registration = Registration::Done;
        }
        let stopping = self.stopping;
        let mut updated = Vec::new();
        for grant in &reply.grants {
            let Some(allocation) = self.limits.get_mut(&grant.key) else {
                continue;
            };
            if allocation.apply(now, grant, stopping) && allocation.waiting > 0 {
                updated.push(grant.key.clone());
            }
        }
        updated
    }

    /// Starts to return all allocations before a planned stop. Send the reports of [`Self::tick`] until
    /// [`Self::is_released`]. Requests that arrive later find no tokens.
    pub fn release(&mut self) {
        self.stopping = true;
        for allocation in self.limits.values_mut() {
            allocation.target_rate = 0;
            allocation.target_burst = 0;
            allocation.reported_at = Duration::ZERO;
        }
    }

    /// Returns whether the leader has confirmed the return of all allocations.
    #[must_use]
    pub fn is_released(&self) -> bool {
        let unreleased = |allocation: &Allocation| {
            allocation.bucket.burst > 0
                || allocation.bucket.rate > 0
                || allocation.pending.is_some()
        };
        self.stopping && !self.limits.values().any(unreleased)
    }

    /// Returns reports on all limits, which register this holder with the leader.
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

    /// Returns the request for the reports; `None` if there are none.
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

    /// Returns the report on one limit. With `skip_pending`, returns `None` while a reply is outstanding; a
    /// registration replaces the outstanding report instead.
    fn report(&mut self, now: Duration, key: &LimitKey, skip_pending: bool) -> Option<LimitReport> {
        let allocation = self.limits.get_mut(key)?;
        if skip_pending && allocation.is_pending(now) {
            return None;
        }
        self.next_number += 1;
        allocation.prepare_report(now, self.next_number, self.settings.report_period);
        Some(LimitReport {
            key: key.clone(),
            number: self.next_number,
            accepted: allocation.accepted,
            rate: allocation.bucket.rate,
            burst: allocation.bucket.burst,
            tokens: allocation.bucket.tokens,
            returned_total: allocation.returned_total,
            wanted: allocation.wanted(),
            demand: allocation.demand,
        })
    }

    /// Returns the decision to wait, and marks the limit as urgent.
    fn wait_decision(&mut self, now: Duration, key: &LimitKey) -> Admission {
        self.mark_urgent(now, key);
        let registered = self.leader.is_some() && self.registration == Registration::Done;
        let Some(allocation) = self.limits.get_mut(key) else {
            return Admission::RateExceeded;
        };
        if !registered || allocation.previous_unanswered {
            allocation.contact = LeaderContact::Lost;
        }
        let reply_timeout_at =
            allocation.pending.map_or(now, |pending| pending.sent_at) + REPORT_TIMEOUT;
        let recheck_at = if allocation.is_pending(now) {
            reply_timeout_at
        } else {
            allocation.next_urgent_at.max(now + MIN_RECHECK_DELAY)
        };
        Admission::Wait {
            until: allocation.next_request_at(now).min(recheck_at),
            leader_unreachable: !registered || allocation.previous_unanswered,
        }
    }

    /// Marks a limit as urgent, unless a reply is outstanding or the retry delay has not passed.
    fn mark_urgent(&mut self, now: Duration, key: &LimitKey) {
        let Some(allocation) = self.limits.get(key) else {
            return;
        };
        if !allocation.is_pending(now)
            && now >= allocation.next_urgent_at
            && !self.urgent.contains(key)
        {
            self.urgent.push(key.clone());
        }
    }
}
