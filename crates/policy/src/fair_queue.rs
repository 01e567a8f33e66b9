//! Fair queue of the waiting requests of one service at one entry instance.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng 1996) at two levels. Between organisations every
//! request costs one unit and service follows the shares of the organisations, so an organisation
//! at several times its rate only lengthens its own queue. Within an organisation the request kinds
//! are served in proportion to their weights. Each operation takes O(log n).

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use radishpaddle_model::{OrganisationId, ResultCode};

use crate::fair_order::{FairOrder, virtual_cost};

/// Fraction of the estimated wait that counts for early refusal. The estimate assumes that every
/// other organisation uses its whole share. Half of it avoids the refusal of requests that could
/// still be served.
const EARLY_REFUSAL_FACTOR: f64 = 0.5;

/// Weight of the latest interval between two dequeues in their exponential moving average.
const DEQUEUE_INTERVAL_EMA_WEIGHT: f64 = 0.05;

/// Number of dequeue intervals that are measured before any request is refused by the estimate.
const MIN_DEQUEUE_INTERVALS: u32 = 20;

/// Increase of the dispatch window, in requests, per window of answers.
const WINDOW_INCREASE: f64 = 1.0;

/// Factor by which a shed request shrinks the dispatch window. With 0.9, so many requests stayed in
/// flight at 90 % load that servers kept shedding; below 0.6, slots would be idle after a single
/// shed.
const WINDOW_DECREASE_FACTOR: f64 = 0.7;

/// Minimum time between two decreases, so that the sheds of one burst count once.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Bounds of the queue, in requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum number of waiting requests of one organisation.
    pub per_organisation: usize,
    /// Maximum number of waiting requests of all organisations.
    pub total: usize,
}

/// Identifies a waiting request for its cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueTicket(u64);

/// Request to be queued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting<T> {
    /// Organisation that the request belongs to.
    pub organisation: OrganisationId,
    /// Weight of the request kind, at least 1.
    pub weight: u32,
    /// Time by which the answer must have arrived.
    pub deadline: Duration,
    /// Expected service time of the request after its dispatch.
    pub expected_service: Duration,
    /// Data of the caller.
    pub payload: T,
}

/// Request taken from the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ready<T> {
    /// Ticket under which the request was queued.
    pub ticket: QueueTicket,
    /// Time at which the request was queued.
    pub queued_at: Duration,
    /// Queued request.
    pub request: Waiting<T>,
}

/// Request that was refused, or removed from the queue, without having run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused<T> {
    /// Result code; its outcome is always "not run".
    pub code: ResultCode,
    /// Refused request.
    pub request: Waiting<T>,
}

/// Result of a successful [`FairQueue::push`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queued<T> {
    /// Ticket of the queued request.
    pub ticket: QueueTicket,
    /// Request that was evicted because the queue was full: the newest one of the organisation with
    /// the longest queue relative to its share.
    pub evicted: Option<Refused<T>>,
}

/// Fair queue of one service at one entry instance.
#[derive(Debug, Clone)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    shares: HashMap<OrganisationId, u32>,
    index: HashMap<OrganisationId, usize>,
    organisations: Vec<OrganisationQueue<T>>,
    /// Organisations with waiting requests, in the order of service.
    order: FairOrder,
    /// Organisations with waiting requests, ordered by queue length relative to their share.
    by_normalised_length: BTreeSet<(u128, usize)>,
    /// Waiting requests, ordered by the latest time at which they can start.
    by_latest_start: BTreeSet<(Duration, QueueTicket)>,
    positions: HashMap<QueueTicket, QueuePosition>,
    /// Sum of the shares of the organisations with waiting requests.
    active_shares: u64,
    next_ticket: u64,
    dequeue_rate: DequeueRate,
}

/// Queue that holds a waiting request.
#[derive(Debug, Clone, Copy)]
struct QueuePosition {
    organisation: usize,
    weight: u32,
}

/// Waiting requests of one organisation.
#[derive(Debug, Clone)]
struct OrganisationQueue<T> {
    share: u32,
    start_tag: u128,
    length: usize,
    virtual_time: u128,
    kinds: BTreeMap<u32, KindQueue<T>>,
}

/// Waiting requests of one kind of an organisation.
#[derive(Debug, Clone)]
struct KindQueue<T> {
    start_tag: u128,
    requests: BTreeMap<QueueTicket, Ready<T>>,
}

/// Average interval between two dequeues while requests are waiting.
#[derive(Debug, Clone, Default)]
struct DequeueRate {
    interval_s: f64,
    intervals: u32,
    last_dequeue: Option<Duration>,
}

/// Limit on the requests that one entry instance has in flight at one service. Further requests
/// wait in its fair queue, where shares and deadlines apply.
///
/// The window uses additive increase and multiplicative decrease, with sheds as the signal of
/// congestion (Chiu and Jain 1989). The requests in flight that the leader reports are up to 250 ms
/// old, which is several service times, so they cannot limit single dispatches.
#[derive(Debug, Clone)]
pub struct DispatchWindow {
    size: f64,
    min_size: f64,
    max_size: f64,
    decreased_at: Option<Duration>,
}

impl DispatchWindow {
    /// Creates the window for a service with `slots` slots that `instances` entry instances share.
    /// It starts at twice the share of one instance and may grow to all slots.
    #[must_use]
    pub fn new(slots: u32, instances: u32) -> Self {
        let part = f64::from(slots) / f64::from(instances.max(1));
        Self {
            size: (part * 2.0).max(2.0),
            min_size: 1.0,
            max_size: f64::from(slots).max(2.0),
            decreased_at: None,
        }
    }

    /// Returns whether another request may be dispatched.
    #[must_use]
    pub fn has_room(&self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 <= self.size.max(1.0) + 1e-9
    }

    /// Records an answer that arrived while `in_flight` requests, including its own, were in
    /// flight. The window grows only while at least half of it is in use.
    pub fn answered(&mut self, in_flight: u32) {
        if f64::from(in_flight) * 2.0 >= self.size {
            self.size = (self.size + WINDOW_INCREASE / self.size).min(self.max_size);
        }
    }

    /// Records that a backend server shed a request.
    pub fn shed(&mut self, now: Duration) {
        if self
            .decreased_at
            .is_none_or(|at| now >= at + MIN_DECREASE_INTERVAL)
        {
            self.size = (self.size * WINDOW_DECREASE_FACTOR).max(self.min_size);
            self.decreased_at = Some(now);
        }
    }
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            shares: HashMap::new(),
            index: HashMap::new(),
            organisations: Vec::new(),
            order: FairOrder::default(),
            by_normalised_length: BTreeSet::new(),
            by_latest_start: BTreeSet::new(),
            positions: HashMap::new(),
            active_shares: 0,
            next_ticket: 0,
            dequeue_rate: DequeueRate::default(),
        }
    }

    /// Sets the share of an organisation, usually its rate; the default is 1. The share takes
    /// effect when the organisation has no waiting request.
    pub fn set_share(&mut self, organisation: OrganisationId, share: u32) {
        self.shares.insert(organisation, share.max(1));
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the number of waiting requests of an organisation.
    #[must_use]
    pub fn organisation_len(&self, organisation: &OrganisationId) -> usize {
        self.index
            .get(organisation)
            .map_or(0, |&index| self.organisations[index].length)
    }

    /// Returns the earliest time at which a waiting request can no longer meet its deadline.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.by_latest_start.first().map(|&(time, _)| time)
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns the request with code `DeadlineExpired` when its deadline is too close for its
    /// expected service time, and with code `Overloaded` when the estimated wait is too long or the
    /// queue is full.
    pub fn push(
        &mut self,
        now: Duration,
        request: Waiting<T>,
    ) -> Result<Queued<T>, Box<Refused<T>>> {
        let latest_start = latest_start(&request);
        if latest_start <= now {
            return refuse(ResultCode::DeadlineExpired, request);
        }
        let organisation = self.organisation_index(&request.organisation);
        if self.organisations[organisation].length >= self.limits.per_organisation {
            return refuse(ResultCode::Overloaded, request);
        }
        if now + self.estimated_wait(organisation) > latest_start {
            return refuse(ResultCode::Overloaded, request);
        }
        let mut evicted = None;
        if self.len() >= self.limits.total {
            match self.eviction_victim(organisation) {
                Some(victim) => evicted = self.evict_newest(victim),
                None => return refuse(ResultCode::Overloaded, request),
            }
        }
        // An eviction can empty the queue, which clears the table of organisations.
        let organisation = self.organisation_index(&request.organisation);
        let ticket = self.insert(now, organisation, latest_start, request);
        Ok(Queued { ticket, evicted })
    }

    /// Takes the next request from the queue. Requests that can no longer meet their deadline are
    /// moved to `refused` instead.
    pub fn pop(&mut self, now: Duration, refused: &mut Vec<Refused<T>>) -> Option<Ready<T>> {
        self.expire(now, refused);
        let organisation = self.order.begin_first()?;
        let ready = self.dequeue_from(organisation);
        self.dequeue_rate.record(now);
        if self.is_empty() {
            self.dequeue_rate.last_dequeue = None;
        }
        Some(ready)
    }

    /// Moves every request that can no longer meet its deadline to `refused`.
    pub fn expire(&mut self, now: Duration, refused: &mut Vec<Refused<T>>) {
        while let Some(&(latest_start, ticket)) = self.by_latest_start.first() {
            if latest_start > now {
                return;
            }
            if let Some(ready) = self.cancel(ticket) {
                let code = ResultCode::DeadlineExpired;
                refused.push(Refused {
                    code,
                    request: ready.request,
                });
            }
        }
    }

    /// Removes a waiting request, for example because its caller disconnected. Returns `None` when
    /// it is no longer queued.
    pub fn cancel(&mut self, ticket: QueueTicket) -> Option<Ready<T>> {
        let position = *self.positions.get(&ticket)?;
        Some(self.remove(position, ticket))
    }

    fn organisation_index(&mut self, organisation: &OrganisationId) -> usize {
        if let Some(&index) = self.index.get(organisation) {
            return index;
        }
        let index = self.organisations.len();
        self.index.insert(organisation.clone(), index);
        self.organisations.push(OrganisationQueue {
            share: self.shares.get(organisation).copied().unwrap_or(1),
            start_tag: self.order.activate(0),
            length: 0,
            virtual_time: 0,
            kinds: BTreeMap::new(),
        });
        index
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "queue lengths and shares are far below 2^52"
    )]
    fn estimated_wait(&self, organisation: usize) -> Duration {
        let Some(interval_s) = self.dequeue_rate.interval_s() else {
            return Duration::ZERO;
        };
        let queue = &self.organisations[organisation];
        let others = self.active_shares as f64 / f64::from(queue.share);
        let ahead = (queue.length as f64 * others.max(1.0)).min(self.len() as f64);
        Duration::from_secs_f64(ahead * interval_s * EARLY_REFUSAL_FACTOR)
    }

    /// Returns the organisation with the longest queue relative to its share, if that queue is
    /// longer than the queue of `organisation` would be with one more request.
    fn eviction_victim(&self, organisation: usize) -> Option<usize> {
        let &(length, victim) = self.by_normalised_length.last()?;
        let queue = &self.organisations[organisation];
        let own = normalised_length(queue.length + 1, queue.share);
        (length > own && victim != organisation).then_some(victim)
    }

    fn evict_newest(&mut self, organisation: usize) -> Option<Refused<T>> {
        let queue = &self.organisations[organisation];
        let newest = queue
            .kinds
            .iter()
            .filter_map(|(&weight, kind)| Some((*kind.requests.keys().next_back()?, weight)));
        let (ticket, weight) = newest.max()?;
        let position = QueuePosition {
            organisation,
            weight,
        };
        let ready = self.remove(position, ticket);
        let code = ResultCode::Overloaded;
        Some(Refused {
            code,
            request: ready.request,
        })
    }

    fn insert(
        &mut self,
        now: Duration,
        organisation: usize,
        latest_start: Duration,
        request: Waiting<T>,
    ) -> QueueTicket {
        let ticket = QueueTicket(self.next_ticket);
        self.next_ticket += 1;
        let weight = request.weight.max(1);
        let position = QueuePosition {
            organisation,
            weight,
        };
        self.positions.insert(ticket, position);
        self.by_latest_start.insert((latest_start, ticket));
        self.remove_from_indexes(organisation);
        let queue = &mut self.organisations[organisation];
        if queue.length == 0 {
            queue.start_tag = self.order.activate(queue.start_tag);
            if let Some(&share) = self.shares.get(&request.organisation) {
                queue.share = share;
            }
        }
        let ready = Ready {
            ticket,
            queued_at: now,
            request,
        };
        queue.insert(weight, ready);
        self.add_to_indexes(organisation);
        ticket
    }

    fn dequeue_from(&mut self, organisation: usize) -> Ready<T> {
        let queue = &mut self.organisations[organisation];
        let (weight, ticket) = queue.next_kind();
        let position = QueuePosition {
            organisation,
            weight,
        };
        self.remove_from_indexes(organisation);
        let queue = &mut self.organisations[organisation];
        queue.start_tag += virtual_cost(1, queue.share);
        queue.advance_kind(weight);
        self.add_to_indexes(organisation);
        self.remove(position, ticket)
    }

    fn remove(&mut self, position: QueuePosition, ticket: QueueTicket) -> Ready<T> {
        self.remove_from_indexes(position.organisation);
        let ready = self.organisations[position.organisation].remove(position.weight, ticket);
        self.add_to_indexes(position.organisation);
        self.positions.remove(&ticket);
        self.by_latest_start
            .remove(&(latest_start(&ready.request), ticket));
        if self.positions.is_empty() {
            self.reset();
        }
        ready
    }

    /// Clears the state of all organisations. No organisation is owed service when the queue is
    /// empty, so the tags can restart, which keeps the table small.
    fn reset(&mut self) {
        self.index.clear();
        self.organisations.clear();
        self.order.reset();
        self.dequeue_rate.last_dequeue = None;
    }

    fn remove_from_indexes(&mut self, organisation: usize) {
        let queue = &self.organisations[organisation];
        if queue.length > 0 {
            self.order.remove(queue.start_tag, organisation);
            let length = normalised_length(queue.length, queue.share);
            self.by_normalised_length.remove(&(length, organisation));
            self.active_shares -= u64::from(queue.share);
        }
    }

    fn add_to_indexes(&mut self, organisation: usize) {
        let queue = &self.organisations[organisation];
        if queue.length > 0 {
            self.order.insert(queue.start_tag, organisation);
            let length = normalised_length(queue.length, queue.share);
            self.by_normalised_length.insert((length, organisation));
            self.active_shares += u64::from(queue.share);
        }
    }
}

impl<T> OrganisationQueue<T> {
    fn insert(&mut self, weight: u32, ready: Ready<T>) {
        let kind = self.kinds.entry(weight).or_insert_with(|| KindQueue {
            start_tag: 0,
            requests: BTreeMap::new(),
        });
        if kind.requests.is_empty() {
            kind.start_tag = kind.start_tag.max(self.virtual_time);
        }
        kind.requests.insert(ready.ticket, ready);
        self.length += 1;
    }

    fn remove(&mut self, weight: u32, ticket: QueueTicket) -> Ready<T> {
        let kind = self.kinds.get_mut(&weight).expect("the kind is known");
        let ready = kind.requests.remove(&ticket);
        self.length -= 1;
        ready.expect("the ticket waits")
    }

    /// Returns the weight and the ticket of the next request. A service has few kinds, so they are
    /// scanned.
    fn next_kind(&self) -> (u32, QueueTicket) {
        let waiting = self.kinds.iter().filter_map(|(&weight, kind)| {
            let ticket = *kind.requests.keys().next()?;
            Some((kind.start_tag, ticket, weight))
        });
        let (_, ticket, weight) = waiting.min().expect("a request waits");
        (weight, ticket)
    }

    fn advance_kind(&mut self, weight: u32) {
        let kind = self.kinds.get_mut(&weight).expect("the kind is known");
        self.virtual_time = kind.start_tag;
        kind.start_tag += virtual_cost(1, weight);
    }
}

impl DequeueRate {
    fn record(&mut self, now: Duration) {
        if let Some(last) = self.last_dequeue {
            let sample = now.saturating_sub(last).as_secs_f64();
            self.interval_s += (sample - self.interval_s) * DEQUEUE_INTERVAL_EMA_WEIGHT;
            self.intervals = self.intervals.saturating_add(1);
        }
        self.last_dequeue = Some(now);
    }

    fn interval_s(&self) -> Option<f64> {
        (self.intervals >= MIN_DEQUEUE_INTERVALS).then_some(self.interval_s)
    }
}

fn latest_start<T>(request: &Waiting<T>) -> Duration {
    request.deadline.saturating_sub(request.expected_service)
}

fn normalised_length(length: usize, share: u32) -> u128 {
    virtual_cost(length as u128, share)
}

fn refuse<T, U>(code: ResultCode, request: Waiting<T>) -> Result<U, Box<Refused<T>>> {
    Err(Box::new(Refused { code, request }))
}
