//! Waiting requests of one service at one entry instance, served fairly between organisations.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng 1996) at two levels. Between organisations every
//! request costs one unit and service follows the organisations' shares, so an organisation at
//! several times its rate only lengthens its own queue. Within an organisation the request kinds
//! are served in proportion to their weights. Each operation takes O(log n).

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use radishpaddle_model::{OrganisationId, ResultCode};

/// Virtual time of one request at share 1.
const VIRTUAL_TIME_PER_REQUEST: u128 = 1 << 32;

/// Part of the estimated wait that counts for early refusal. The estimate assumes that every other
/// organisation uses its whole share; half of it keeps requests that could still be served.
const EARLY_REFUSAL_FACTOR: f64 = 0.5;

/// Weight of the newest interval between two dequeues in the drain estimate.
const DEQUEUE_INTERVAL_EMA_WEIGHT: f64 = 0.05;

/// Dequeues that the drain estimate needs before it refuses anything.
const MIN_DEQUEUE_INTERVALS: u32 = 20;

/// Growth of the dispatch window per answered window.
const WINDOW_INCREASE: f64 = 1.0;

/// Factor of the dispatch window after a shed. A gentle cut of 0.9 left so many requests in flight at
/// 90 % load that servers shed again and again; below 0.6 slots would idle after a single shed.
const WINDOW_DECREASE_FACTOR: f64 = 0.7;

/// Shortest time between two cuts; sheds of one burst count once.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Bounds of the queue, in requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Most waiting requests of one organisation.
    pub per_organisation: usize,
    /// Most waiting requests in total.
    pub total: usize,
}

/// Names a waiting request for cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A request that asks to wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting<T> {
    /// Organisation that the request belongs to.
    pub organisation: OrganisationId,
    /// Weight of the request kind, at least 1.
    pub weight: u32,
    /// Time by which the answer must be there.
    pub deadline: Duration,
    /// Service time that the request is expected to need once it is dispatched.
    pub expected_service: Duration,
    /// The request itself.
    pub payload: T,
}

/// A waiting request whose turn has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ready<T> {
    /// Ticket that the request got when it was queued.
    pub ticket: Ticket,
    /// Time at which it was queued.
    pub queued_at: Duration,
    /// The request.
    pub request: Waiting<T>,
}

/// A request that left the queue, or never entered it, without having run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused<T> {
    /// Result code; its outcome is always "not run".
    pub code: ResultCode,
    /// The request.
    pub request: Waiting<T>,
}

/// The request waits. When the queue was full, the newest request of the organisation with the
/// longest queue for its share has made room for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queued<T> {
    /// Ticket of the new request.
    pub ticket: Ticket,
    /// Request that had to leave.
    pub evicted: Option<Refused<T>>,
}

/// Queue of one service at one entry instance.
#[derive(Debug, Clone)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    shares: HashMap<OrganisationId, u32>,
    index: HashMap<OrganisationId, usize>,
    organisations: Vec<OrganisationQueue<T>>,
    by_start_tag: BTreeSet<(u128, usize)>,
    by_normalised_length: BTreeSet<(u128, usize)>,
    by_latest_start: BTreeSet<(Duration, Ticket)>,
    positions: HashMap<Ticket, QueuePosition>,
    virtual_time: u128,
    active_shares: u64,
    next_ticket: u64,
    dequeue_rate: DequeueRate,
}

#[derive(Debug, Clone, Copy)]
struct QueuePosition {
    organisation: usize,
    weight: u32,
}

#[derive(Debug, Clone)]
struct OrganisationQueue<T> {
    share: u32,
    start_tag: u128,
    length: usize,
    virtual_time: u128,
    kinds: BTreeMap<u32, KindQueue<T>>,
}

#[derive(Debug, Clone)]
struct KindQueue<T> {
    start_tag: u128,
    requests: BTreeMap<Ticket, Ready<T>>,
}

#[derive(Debug, Clone, Default)]
struct DequeueRate {
    interval_s: f64,
    intervals: u32,
    last_dequeue: Option<Duration>,
}

/// Requests that one entry instance keeps in flight at one service before it lets further ones wait
/// in its fair queue, where shares and deadlines apply.
///
/// Additive increase and multiplicative decrease with sheds as the signal of congestion (Chiu and
/// Jain 1989). The requests in flight that the leader reports are up to 250 ms old, several service
/// times, so they cannot gate single dispatches.
#[derive(Debug, Clone)]
pub struct DispatchWindow {
    size: f64,
    min_size: f64,
    max_size: f64,
    decreased_at: Option<Duration>,
}

impl DispatchWindow {
    /// A window for a service with this number of slots behind this number of entry instances. It
    /// starts at twice the instance's part and may grow to all slots.
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

    /// Whether another request may be dispatched.
    #[must_use]
    pub fn has_room(&self, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 <= self.size.max(1.0) + 1e-9
    }

    /// An answer came while this many requests, itself included, were in flight. The window grows
    /// only while it is in use.
    pub fn answered(&mut self, in_flight: u32) {
        if f64::from(in_flight) * 2.0 >= self.size {
            self.size = (self.size + WINDOW_INCREASE / self.size).min(self.max_size);
        }
    }

    /// A backend server has shed a request.
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
    /// An empty queue.
    #[must_use]
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            shares: HashMap::new(),
            index: HashMap::new(),
            organisations: Vec::new(),
            by_start_tag: BTreeSet::new(),
            by_normalised_length: BTreeSet::new(),
            by_latest_start: BTreeSet::new(),
            positions: HashMap::new(),
            virtual_time: 0,
            active_shares: 0,
            next_ticket: 0,
            dequeue_rate: DequeueRate::default(),
        }
    }

    /// Sets the share of an organisation, usually its rate; 1 when never set. It takes effect when
    /// the organisation has no waiting request.
    pub fn set_share(&mut self, organisation: OrganisationId, share: u32) {
        self.shares.insert(organisation, share.max(1));
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Number of waiting requests of an organisation.
    #[must_use]
    pub fn organisation_len(&self, organisation: &OrganisationId) -> usize {
        self.index
            .get(organisation)
            .map_or(0, |&index| self.organisations[index].length)
    }

    /// Time at which the next waiting request can no longer meet its deadline.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.by_latest_start.first().map(|&(time, _)| time)
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns the request with code `DeadlineExpired` when its deadline is too close to run it at
    /// all, and with code `Overloaded` when the queue ahead of it takes too long or is full.
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
        // An eviction can empty the queue, which drops the table of organisations.
        let organisation = self.organisation_index(&request.organisation);
        let ticket = self.insert(now, organisation, latest_start, request);
        Ok(Queued { ticket, evicted })
    }

    /// Takes the request whose turn it is. Requests that can no longer meet their deadline are
    /// moved to `refused` and never returned.
    pub fn pop(&mut self, now: Duration, refused: &mut Vec<Refused<T>>) -> Option<Ready<T>> {
        self.expire(now, refused);
        let &(tag, organisation) = self.by_start_tag.first()?;
        self.virtual_time = tag;
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

    /// Removes a waiting request, for instance because its caller is gone. Returns `None` when it
    /// does not wait any more.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Ready<T>> {
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
            start_tag: self.virtual_time,
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

    /// Organisation with the longest queue for its share, if it is longer than that of the
    /// organisation that wants to queue one more request.
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
    ) -> Ticket {
        let ticket = Ticket(self.next_ticket);
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
            queue.start_tag = queue.start_tag.max(self.virtual_time);
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
        queue.start_tag += VIRTUAL_TIME_PER_REQUEST / u128::from(queue.share);
        queue.advance_kind(weight);
        self.add_to_indexes(organisation);
        self.remove(position, ticket)
    }

    fn remove(&mut self, position: QueuePosition, ticket: Ticket) -> Ready<T> {
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

    /// An idle queue owes nobody service, so the tags start anew and the table stays small.
    fn reset(&mut self) {
        self.index.clear();
        self.organisations.clear();
        self.virtual_time = 0;
        self.dequeue_rate.last_dequeue = None;
    }

    fn remove_from_indexes(&mut self, organisation: usize) {
        let queue = &self.organisations[organisation];
        if queue.length > 0 {
            self.by_start_tag.remove(&(queue.start_tag, organisation));
            let length = normalised_length(queue.length, queue.share);
            self.by_normalised_length.remove(&(length, organisation));
            self.active_shares -= u64::from(queue.share);
        }
    }

    fn add_to_indexes(&mut self, organisation: usize) {
        let queue = &self.organisations[organisation];
        if queue.length > 0 {
            self.by_start_tag.insert((queue.start_tag, organisation));
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

    fn remove(&mut self, weight: u32, ticket: Ticket) -> Ready<T> {
        let kind = self.kinds.get_mut(&weight).expect("the kind is known");
        let ready = kind.requests.remove(&ticket);
        self.length -= 1;
        ready.expect("the ticket waits")
    }

    /// Weight and ticket of the request that is next; there are few kinds per service.
    fn next_kind(&self) -> (u32, Ticket) {
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
        kind.start_tag += VIRTUAL_TIME_PER_REQUEST / u128::from(weight);
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
    length as u128 * VIRTUAL_TIME_PER_REQUEST / u128::from(share)
}

fn refuse<T, U>(code: ResultCode, request: Waiting<T>) -> Result<U, Box<Refused<T>>> {
    Err(Box::new(Refused { code, request }))
}
