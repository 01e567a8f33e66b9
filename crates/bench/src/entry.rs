//! State of an entry instance.

use std::time::Duration;

use radishpaddle_model::Incarnation;
use radishpaddle_policy::budget::RepeatBudget;
use radishpaddle_policy::fair_queue::{DispatchWindow, FairQueue, QueueLimits};
use radishpaddle_policy::hedge::HedgeClass;
use radishpaddle_quorum::freshness::Freshness;

use crate::claims::{REVISION, witness_group};
use crate::deployment::{Fleet, Service};
use crate::ejection::Router;
use crate::number::round_to_u32;
use crate::policy::Policy;

/// Maximum length of the fair queue of one service at one instance, in requests.
pub const QUEUE_LIMITS: QueueLimits = QueueLimits {
    per_organisation: 64,
    total: 256,
};

/// State of one entry instance.
#[derive(Debug)]
pub struct EntryInstance {
    /// Whether the process runs.
    pub up: bool,
    /// Incarnation of the process; a restart raises it.
    pub incarnation: Incarnation,
    /// Choice and ejection of backend servers.
    pub router: Router,
    /// Number of attempts dispatched since the process started.
    pub dispatched: u64,
    /// Tracks whether the configuration of the instance is fresh.
    pub freshness: Freshness,
    /// State per service, by the index of the service.
    pub services: Vec<EntryService>,
}

/// State of one service at one entry instance.
#[derive(Debug)]
pub struct EntryService {
    /// Ids of the requests that wait for dispatch.
    pub queue: FairQueue<u64>,
    /// Limits the attempts in flight.
    pub window: DispatchWindow,
    /// Number of attempts in flight.
    pub in_flight: u32,
    /// Budget for retries and hedges.
    pub budget: RepeatBudget,
    /// Service times and hedge delays, by [`Kind::index`](crate::request::Kind::index).
    pub hedges: [HedgeClass; 2],
    /// Time of the earliest scheduled event that removes expired requests from the queue.
    pub expiry_scheduled_at: Option<Duration>,
}

impl EntryInstance {
    /// Creates the state of an instance that starts at `now`.
    #[must_use]
    pub fn new(
        policy: Policy,
        fleet: &Fleet,
        instance: usize,
        incarnation: u64,
        now: Duration,
    ) -> Self {
        let mut freshness = Freshness::new(witness_group(&fleet.instances));
        freshness.set_applied(REVISION);
        let services = fleet.services.iter();
        Self {
            up: true,
            incarnation: Incarnation(incarnation),
            router: Router::new(policy, fleet, instance),
            dispatched: 0,
            freshness,
            services: services
                .map(|service| EntryService::new(service, fleet, now))
                .collect(),
        }
    }
}

impl EntryService {
    fn new(service: &Service, fleet: &Fleet, now: Duration) -> Self {
        let mut queue = FairQueue::new(QUEUE_LIMITS);
        for limit in &service.limits {
            let share = round_to_u32(limit.rate_per_s.as_f64()).max(1);
            queue.set_share(limit.organisation.clone(), share);
        }
        let instances = u32::try_from(fleet.instances.len()).unwrap_or(u32::MAX);
        Self {
            queue,
            window: DispatchWindow::new(service.total_slots(), instances),
            in_flight: 0,
            budget: RepeatBudget::new(&service.retry, now),
            hedges: [HedgeClass::new(now), HedgeClass::new(now)],
            expiry_scheduled_at: None,
        }
    }
}
