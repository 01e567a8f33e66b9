//! State of one entry instance.

use std::time::Duration;

use radishpaddle_model::Incarnation;
use radishpaddle_policy::budget::RepeatBudget;
use radishpaddle_policy::fair_queue::{DispatchWindow, FairQueue, QueueLimits};
use radishpaddle_policy::hedge::HedgeClass;
use radishpaddle_quorum::freshness::Freshness;

use crate::claims::{REVISION, witness_group};
use crate::ejection::Router;
use crate::number::rounded;
use crate::policy::Policy;
use crate::user::{Fleet, Service};

/// Bounds of the fair queue of one service at one instance.
pub const QUEUE_LIMITS: QueueLimits = QueueLimits {
    per_organisation: 64,
    total: 256,
};

/// One entry instance.
#[derive(Debug)]
pub struct Entry {
    /// Whether the process runs.
    pub up: bool,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Choice and ejection of backend servers.
    pub router: Router,
    /// Attempts that it has dispatched.
    pub dispatched: u64,
    /// Freshness of the configuration.
    pub freshness: Freshness,
    /// State by service.
    pub services: Vec<EntryService>,
}

/// State of one service at one entry instance.
#[derive(Debug)]
pub struct EntryService {
    /// Waiting requests.
    pub queue: FairQueue<u64>,
    /// Bound of the requests in flight.
    pub window: DispatchWindow,
    /// Requests in flight.
    pub in_flight: u32,
    /// Budget for retries and hedges.
    pub budget: RepeatBudget,
    /// Service times by kind.
    pub hedges: [HedgeClass; 2],
    /// Time of the next scheduled look at the queue.
    pub look_at: Option<Duration>,
}

impl Entry {
    /// Instance that starts now.
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
            let share = rounded(limit.rate_per_s.as_f64()).max(1);
            queue.set_share(limit.organisation.clone(), share);
        }
        let instances = u32::try_from(fleet.instances.len()).unwrap_or(u32::MAX);
        Self {
            queue,
            window: DispatchWindow::new(service.total_slots(), instances),
            in_flight: 0,
            budget: RepeatBudget::new(&service.retry, now),
            hedges: [HedgeClass::new(now), HedgeClass::new(now)],
            look_at: None,
        }
    }
}
