//! Admission control of one gateway: serve a request now, let it wait for a bounded time, or reject it now.
//!
//! Handles demand above capacity, whichever resource is short: slots of the backend servers (a burst of one kind, an
//! organisation at several times its rate, servers that are lost or shed, callers that all return after a restart), or link,
//! processor or memory of the gateway itself. Urgent requests are served first; within an urgency, organisations are served
//! by start-time fair queueing. A request that would be served at once is never rejected for lack of capacity.
//!
//! The caller of this module passes in the load of the fleet, delivers the [`Outcome`]s to the waiting requests, and calls
//! [`Admission::end`] when an admitted request ends or the caller of a waiting one disconnects.

mod machine;
mod queue;
mod slots;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use self::machine::seconds;
use self::queue::{Rank, ServiceQueue};
use self::slots::OwnSlots;
use crate::cost::CostEstimate;
use crate::urgency::Urgency;

pub use self::machine::{Machine, MachineLoad};
pub use self::slots::FleetView;

/// Part of the expected wait that counts for a rejection. The expectation assumes that every organisation uses its share
/// and that no other gateway has capacity to spare, so the whole of it would reject requests that could be served.
const REJECTION_CONFIDENCE: f64 = 0.8;

/// Time to serve a request, as a multiple of the mean, within which most requests are answered.
const LIKELY_SERVICE_FACTOR: f64 = 2.0;

/// Time that a request needs at least, for a connection to a server and the way back.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(15);

/// Fractional part of the golden ratio, whose multiples are evenly distributed modulo 1.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// Maximum service time in computations. Observations of other builds may have any value.
const MAX_SERVICE_TIME: Duration = Duration::from_hours(1);

/// Maximum age of an expected cost that may lead to a rejection for lack of time.
const MAX_COST_AGE: Duration = Duration::from_secs(10);

/// Identifies a request from its submission to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Request that asks for admission.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionRequest {
    /// Service that the request is routed to.
    pub service: Arc<str>,
    /// Urgency of the request.
    pub urgency: Urgency,
    /// Organisation of the request; empty when it has none.
    pub organisation: Arc<str>,
    /// Weight of the organisation among those of the same urgency, at least 1.
    pub share: u32,
    /// Expected cost of the request.
    pub cost: CostEstimate,
    /// Time by which the answer should arrive, if the route has a target latency.
    pub target_at: Option<Duration>,
    /// Time by which the answer must have arrived.
    pub deadline: Duration,
}

impl AdmissionRequest {
    /// Bytes of both bodies, which pass the link once in each direction and are held in memory.
    fn bytes(&self) -> u64 {
        let cost = &self.cost;
        cost.request_bytes.saturating_add(cost.answer_bytes)
    }

    fn has_recent_cost(&self) -> bool {
        self.cost.age.is_some_and(|age| age <= MAX_COST_AGE)
    }

    /// Latest time at which the request can start and end before its deadline.
    fn latest_start(&self) -> Duration {
        let service = if self.has_recent_cost() {
            self.cost.mean.max(MIN_SERVICE_TIME)
        } else {
            // An uncertain request is offered to the servers rather than refused.
            MIN_SERVICE_TIME
        };
        self.deadline.saturating_sub(service)
    }

    /// Latest time at which the request can start and probably be answered within its target latency.
    fn latest_start_in_time(&self) -> Duration {
        let latest = self.latest_start();
        let service = self.cost.mean.mul_f64(LIKELY_SERVICE_FACTOR);
        self.target_at
            .map_or(latest, |target| target.saturating_sub(service).min(latest))
    }

    /// Time after which waiting makes no sense for a request that arrives now.
    fn wait_limit(&self, now: Duration) -> Duration {
        let in_time = self.latest_start_in_time();
        if in_time > now {
            in_time
        } else {
            self.latest_start()
        }
    }
}

/// Reason for the rejection of a request, which has not been sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// The remaining time is shorter than the request needs.
    Time,
    /// The slots of the servers are in use.
    Slots,
    /// The network link of the gateway is in use.
    Link,
    /// The processor of the gateway is in use.
    Processor,
    /// The memory of the gateway for bodies is in use.
    Memory,
}

impl RejectReason {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Time => "no_time",
            Self::Slots => "no_slots",
            Self::Link => "no_link",
            Self::Processor => "no_processor",
            Self::Memory => "no_memory",
        }
    }
}

/// Rejection of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rejection {
    /// Why the request is rejected.
    pub reason: RejectReason,
    /// Expected time until a request of the same urgency could be served.
    pub expected_wait: Duration,
    /// Time in which this gateway can admit one such request after another.
    pub interval: Duration,
    /// Time that the request needs at a server.
    pub service_time: Duration,
}

impl Rejection {
    /// Rejection without a wait after which the request could be served.
    #[must_use]
    pub const fn at_once(reason: RejectReason) -> Self {
        Self {
            reason,
            expected_wait: Duration::ZERO,
            interval: Duration::ZERO,
            service_time: Duration::ZERO,
        }
    }
}

/// Decision about a request that asks for admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// The request is served now.
    Serve(Ticket),
    /// The request waits for an [`Outcome`].
    Wait {
        /// Ticket of the request.
        ticket: Ticket,
        /// Time at which it is rejected if it has not been admitted.
        until: Duration,
    },
    /// The request is rejected now.
    Reject(Rejection),
}

/// What happened to a waiting request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// The request is served now.
    Admitted(Ticket),
    /// The request could not be admitted in time.
    Rejected(Ticket, Rejection),
}

/// Admission control of one gateway.
#[derive(Debug, Clone)]
pub struct Admission {
    services: HashMap<Arc<str>, Service>,
    /// Service of each request that waits or was admitted.
    requests: HashMap<Ticket, Submitted>,
    machine: MachineLoad,
    next_ticket: u64,
    /// Start of the sequence that rounds limits, different at each gateway.
    seed: f64,
}

#[derive(Debug, Clone, Default)]
struct Service {
    queue: ServiceQueue,
    slots: OwnSlots,
}

#[derive(Debug, Clone)]
struct Submitted {
    service: Arc<str>,
    bytes: u64,
    state: State,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting,
    Admitted,
    Started,
}

impl Admission {
    /// Creates the admission control of an idle gateway. Without a machine, only slots limit it. `seed` is a random number
    /// from 0 (inclusive) to 1 (exclusive).
    #[must_use]
    pub fn new(machine: Option<Machine>, seed: f64) -> Self {
        Self {
            services: HashMap::new(),
            requests: HashMap::new(),
            machine: MachineLoad::new(machine),
            next_ticket: 0,
            seed,
        }
    }

    /// Rounding of limits, from 0 to 1. It changes every second, so that no gateway has the lower limit for long.
    fn rounding(&self, now: Duration) -> f64 {
        let second = u32::try_from(now.as_secs() % 10_000).unwrap_or_default();
        (self.seed + f64::from(second) * GOLDEN_RATIO).fract()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.services
            .values()
            .map(|service| service.queue.len())
            .sum()
    }

    /// Number of admitted requests that have not ended.
    #[must_use]
    pub fn running(&self) -> usize {
        self.requests.len() - self.waiting()
    }

    /// Earliest time at which a waiting request expires or loses its rank.
    #[must_use]
    pub fn next_change(&self) -> Option<Duration> {
        let services = self.services.values();
        services
            .filter_map(|service| service.queue.next_change())
            .min()
    }

    /// Records the processor time that the process has used since its start.
    pub fn measure_processor(&mut self, now: Duration, process_time: Duration) {
        self.machine.measure_processor(now, process_time);
    }

    /// Decides about a request. Outcomes of other requests are added to `outcomes`.
    pub fn submit(
        &mut self,
        now: Duration,
        mut request: AdmissionRequest,
        view: &mut dyn FnMut(&str) -> FleetView,
        outcomes: &mut Vec<Outcome>,
    ) -> Decision {
        request.cost.mean = request.cost.mean.min(MAX_SERVICE_TIME);
        let bytes = request.bytes();
        if request.latest_start() <= now {
            return self.reject(now, Rejection::at_once(RejectReason::Time));
        }
        if !self.machine.has_memory(bytes) {
            let interval = self.machine.link_time(bytes);
            let rejection = Rejection {
                interval,
                service_time: request.cost.mean,
                ..Rejection::at_once(RejectReason::Memory)
            };
            return self.reject(now, rejection);
        }
        let rank = Rank {
            urgency: request.urgency,
            late: request.latest_start_in_time() <= now,
        };
        let rejection = self.expected_wait(now, rank, &request, view);
        let (limit, until) = (request.wait_limit(now), request.latest_start());
        let ticket = self.enqueue(now, request);
        let first_own = outcomes.len();
        self.admit_waiting(now, Some(ticket), view, outcomes);
        let admitted = Outcome::Admitted(ticket);
        let own = outcomes[first_own..]
            .iter()
            .position(|&outcome| outcome == admitted);
        if let Some(own) = own {
            outcomes.remove(first_own + own);
            return Decision::Serve(ticket);
        }
        if now + rejection.expected_wait.mul_f64(REJECTION_CONFIDENCE) > limit {
            self.end(now, ticket, None);
            return self.reject(now, rejection);
        }
        Decision::Wait { ticket, until }
    }

    /// Admits waiting requests for which there is room, and rejects those that cannot be served in time any more. To be
    /// called when a request has ended, new information has arrived, and periodically while requests wait.
    pub fn advance(
        &mut self,
        now: Duration,
        view: &mut dyn FnMut(&str) -> FleetView,
        outcomes: &mut Vec<Outcome>,
    ) {
        self.admit_waiting(now, None, view, outcomes);
    }

    /// Records that an admitted request is now among the requests in flight of the fleet.
    pub fn start(&mut self, ticket: Ticket) {
        if let Some(request) = self.requests.get_mut(&ticket)
            && request.state == State::Admitted
        {
            request.state = State::Started;
            if let Some(service) = self.services.get_mut(&request.service) {
                service.slots.pending -= 1;
            }
        }
    }

    /// Records that an admitted request has ended, or that a waiting one was given up. `moved_bytes` are the bytes of its
    /// bodies, if it was served. Returns whether the request was still known.
    pub fn end(&mut self, now: Duration, ticket: Ticket, moved_bytes: Option<u64>) -> bool {
        self.start(ticket);
        let Some(request) = self.requests.remove(&ticket) else {
            return false;
        };
        self.machine.release(request.bytes);
        if let Some(moved) = moved_bytes {
            self.machine
                .transfer(now, moved.saturating_sub(request.bytes));
        }
        if let Some(service) = self.services.get_mut(&request.service) {
            if request.state == State::Waiting {
                service.queue.remove(ticket);
            } else {
                service.slots.running -= 1;
            }
            if service.queue.is_empty() && service.slots.running == 0 {
                self.services.remove(&request.service);
            }
        }
        true
    }

    fn enqueue(&mut self, now: Duration, request: AdmissionRequest) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let bytes = request.bytes();
        let submitted = Submitted {
            service: Arc::clone(&request.service),
            bytes,
            state: State::Waiting,
        };
        self.requests.insert(ticket, submitted);
        self.machine.hold(bytes);
        let service = self.services.entry(Arc::clone(&request.service));
        service.or_default().queue.insert(now, ticket, request);
        ticket
    }

    /// Admits requests while there is room; `arriving` is the one that has just been submitted.
    fn admit_waiting(
        &mut self,
        now: Duration,
        arriving: Option<Ticket>,
        view: &mut dyn FnMut(&str) -> FleetView,
        outcomes: &mut Vec<Outcome>,
    ) {
        self.expire(now, view, outcomes);
        while self.machine.shortage(now).is_none()
            && let Some((service, view)) = self.next_service(now, arriving, view)
            && let Some(ticket) = self.admit_first(now, arriving, &service, &view)
        {
            outcomes.push(Outcome::Admitted(ticket));
        }
    }

    /// Service with room whose first waiting request has the lowest rank.
    fn next_service(
        &mut self,
        now: Duration,
        arriving: Option<Ticket>,
        view: &mut dyn FnMut(&str) -> FleetView,
    ) -> Option<(Arc<str>, FleetView)> {
        let rounding = self.rounding(now);
        let waiting = self.services.iter_mut().filter_map(|(name, service)| {
            let first = service.queue.first()?;
            let view = view(name);
            let waited = arriving != Some(first.1);
            service.slots.observe(&view, now);
            let has_room = service.slots.has_room(&view, waited, rounding, now);
            has_room.then_some((first, name, view))
        });
        let (_, name, view) = waiting.min_by_key(|&(first, ..)| first)?;
        Some((Arc::clone(name), view))
    }

    fn admit_first(
        &mut self,
        now: Duration,
        arriving: Option<Ticket>,
        name: &str,
        view: &FleetView,
    ) -> Option<Ticket> {
        let service = self.services.get_mut(name)?;
        let (ticket, request) = service.queue.pop()?;
        service.slots.admit(view, arriving != Some(ticket), now);
        self.machine.admit(now, request.bytes());
        if let Some(submitted) = self.requests.get_mut(&ticket) {
            submitted.state = State::Admitted;
        }
        Some(ticket)
    }

    fn expire(
        &mut self,
        now: Duration,
        view: &mut dyn FnMut(&str) -> FleetView,
        outcomes: &mut Vec<Outcome>,
    ) {
        let mut expired = Vec::new();
        for service in self.services.values_mut() {
            while let Some(request) = service.queue.expire(now) {
                expired.push(request);
            }
        }
        for (ticket, request) in expired {
            let rank = Rank {
                urgency: request.urgency,
                late: false,
            };
            let rejection = self.expected_wait(now, rank, &request, view);
            self.end(now, ticket, None);
            self.machine.reject(now);
            outcomes.push(Outcome::Rejected(ticket, rejection));
        }
    }

    fn reject(&mut self, now: Duration, rejection: Rejection) -> Decision {
        self.machine.reject(now);
        Decision::Reject(rejection)
    }

    /// Rejection that a request of a rank would get: when it could be admitted, and which resource it waits for longest.
    fn expected_wait(
        &self,
        now: Duration,
        rank: Rank,
        request: &AdmissionRequest,
        view: &mut dyn FnMut(&str) -> FleetView,
    ) -> Rejection {
        let view = view(&request.service);
        let service = self.services.get(&request.service);
        let mut ahead = queue::Backlog::default();
        let mut slots_wait = view.excess_time(request.cost.mean);
        let mut concurrency = view.own_share();
        for (name, other) in &self.services {
            let part = other
                .queue
                .ahead(rank, &request.organisation, request.share);
            ahead.merge(&part);
            if *name == request.service {
                concurrency = concurrency.max(f64::from(other.slots.running));
                slots_wait += seconds(part.work.as_secs_f64() / concurrency);
            }
        }
        if service.is_none() && view.in_flight < view.slots {
            slots_wait = Duration::ZERO;
        }
        let requests = f64::from(ahead.requests);
        let (machine_wait, resource) = self.machine.expected_wait(now, ahead.bytes, requests);
        let machine_interval = self.machine.interval(request.bytes());
        let interval = request.cost.mean.div_f64(concurrency).max(machine_interval);
        let (expected_wait, reason) = if machine_wait > slots_wait {
            (machine_wait, resource)
        } else {
            (slots_wait, RejectReason::Slots)
        };
        Rejection {
            reason,
            expected_wait,
            interval,
            service_time: request.cost.mean,
        }
    }
}
