//! The two emulated deployments (section 1.3 of the design): sizes, load and limits.

use std::time::Duration;

use radishpaddle_model::document::{OrganisationLimit, RetryPolicy};
use radishpaddle_model::{
    AvailabilityZone, BackendServerId, InstanceId, OrganisationId, RatePerSecond, ServiceId,
};

use crate::number::{len_to_f64, round_to_u32};

/// Number of availability zones of both deployments.
pub const ZONES: usize = 3;

/// Number of organisations of both deployments.
pub const ORGANISATIONS: usize = 8;

/// Fraction of the load that comes from each organisation: a few large ones, several small ones.
pub const ORGANISATION_FRACTIONS: [f64; ORGANISATIONS] =
    [0.30, 0.24, 0.18, 0.10, 0.07, 0.05, 0.04, 0.02];

/// Fraction of the requests that are actions.
pub const ACTION_FRACTION: f64 = 0.2;

/// Mean service time of an idempotent request.
pub const READ_MEAN_TIME: Duration = Duration::from_millis(45);

/// Mean service time of an action. With [`ACTION_FRACTION`] the mean over all requests is 50 ms.
pub const ACTION_MEAN_TIME: Duration = Duration::from_millis(70);

/// Standard deviation of the logarithm of the service time, which is log-normally distributed.
pub const SERVICE_TIME_SIGMA: f64 = 0.4;

/// Weight of an idempotent request in the figures and in fair queueing.
pub const READ_WEIGHT: u32 = 1;

/// Weight of an action in the figures and in fair queueing.
pub const ACTION_WEIGHT: u32 = 3;

/// Time from the sending of a request to its deadline.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Rate limit of an organisation as a multiple of its mean offered load. Without headroom, Poisson
/// arrivals would exceed the limit in half of all windows.
pub const RATE_HEADROOM: f64 = 1.25;

/// Burst of an organisation as the time in seconds in which its rate admits as many requests.
pub const BURST_S: f64 = 1.0;

/// Minimum burst of an organisation, in requests.
pub const MIN_BURST: u32 = 20;

/// Minimum fraction of the slots of a service that ejection must leave in rotation.
pub const FLOOR_FRACTION: f64 = 0.6;

/// One-way latency within an availability zone.
pub const LOCAL_LATENCY: Duration = Duration::from_micros(250);

/// One-way latency between callers and entry instances.
pub const CALLER_LATENCY: Duration = Duration::from_millis(1);

/// Emulated deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// 14 entry instances, services `route-avail` and `dispatch`.
    M,
    /// 17 entry instances, services `collect` and `ledger`.
    E,
}

/// Size of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceSize {
    /// Name of the service.
    pub name: &'static str,
    /// Number of backend servers.
    pub servers: usize,
    /// Number of requests that a backend server runs at the same time.
    pub slots: u32,
}

/// Instances, services and organisations of a deployment at a given load.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// Ids of the entry instances; instance `i` is in zone `i % ZONES`.
    pub instances: Vec<InstanceId>,
    /// Services, the larger one first.
    pub services: Vec<Service>,
    /// Ids of the organisations.
    pub organisations: Vec<OrganisationId>,
    /// One-way latency between availability zones.
    pub zone_latency: Duration,
    /// Offered load as a fraction of the capacity, without the additional load of a flood.
    pub load: f64,
}

/// Service of a fleet, with its backend servers and limits.
#[derive(Debug, Clone)]
pub struct Service {
    /// Id of the service.
    pub id: ServiceId,
    /// Index of its first backend server among all backend servers.
    pub first_server: usize,
    /// Ids of the backend servers. A server whose index among all backend servers is `i` is in zone `i % ZONES`.
    pub servers: Vec<BackendServerId>,
    /// Number of requests that each backend server runs at the same time.
    pub slots: u32,
    /// Offered requests per second, by organisation.
    pub offered_per_s: Vec<f64>,
    /// Rate limits, by organisation.
    pub limits: Vec<OrganisationLimit>,
    /// Retry policy of the service; the default of the configuration document.
    pub retry: RetryPolicy,
}

impl Deployment {
    /// Both deployments, in the order of the output.
    pub const ALL: [Self; 2] = [Self::M, Self::E];

    /// Returns the name on the command line and in tables.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::M => "m",
            Self::E => "e",
        }
    }

    /// Finds a deployment by its name on the command line.
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|user| user.name() == name)
    }

    const fn instances(self) -> usize {
        match self {
            Self::M => 14,
            Self::E => 17,
        }
    }

    const fn services(self) -> [ServiceSize; 2] {
        match self {
            Self::M => [size("route-avail", 20, 3), size("dispatch", 6, 3)],
            Self::E => [size("collect", 30, 6), size("ledger", 6, 6)],
        }
    }

    const fn zone_latency(self) -> Duration {
        match self {
            Self::M => Duration::from_micros(1500),
            Self::E => Duration::from_millis(1),
        }
    }

    /// Creates the fleet with this offered load, as a fraction of the capacity of its services.
    #[must_use]
    pub fn fleet(self, load: f64) -> Fleet {
        let mut services = Vec::new();
        let mut first_server = 0;
        for service in self.services() {
            services.push(Service::new(service, first_server, load));
            first_server += service.servers;
        }
        Fleet {
            instances: identifiers("entry", self.instances()),
            services,
            organisations: identifiers("org", ORGANISATIONS),
            zone_latency: self.zone_latency(),
            load,
        }
    }
}

impl Service {
    fn new(size: ServiceSize, first_server: usize, load: f64) -> Self {
        let slots = len_to_f64(size.servers) * f64::from(size.slots);
        let capacity_per_s = slots / mean_service_time().as_secs_f64();
        let offered = ORGANISATION_FRACTIONS.map(|share| share * capacity_per_s * load);
        Self {
            id: size.name.parse().expect("the name is an identifier"),
            first_server,
            servers: identifiers(size.name, size.servers),
            slots: size.slots,
            offered_per_s: offered.to_vec(),
            limits: offered.iter().enumerate().map(limit).collect(),
            retry: RetryPolicy::default(),
        }
    }

    /// Returns the number of slots of all backend servers.
    #[must_use]
    pub fn total_slots(&self) -> u32 {
        self.servers.iter().map(|_| self.slots).sum()
    }

    /// Returns the minimum number of slots that ejection must leave in rotation.
    #[must_use]
    pub fn floor_slots(&self) -> f64 {
        f64::from(self.total_slots()) * FLOOR_FRACTION
    }

    /// Returns the indexes of its backend servers among all backend servers.
    #[must_use]
    pub fn server_range(&self) -> std::ops::Range<usize> {
        self.first_server..self.first_server + self.servers.len()
    }
}

impl Fleet {
    /// Returns the number of backend servers of all services.
    #[must_use]
    pub fn server_count(&self) -> usize {
        self.services
            .iter()
            .map(|service| service.servers.len())
            .sum()
    }

    /// Returns the index of the service of a backend server.
    ///
    /// # Panics
    ///
    /// Panics when there is no such server.
    #[must_use]
    pub fn service_of(&self, server: usize) -> usize {
        let position = |service: &Service| service.server_range().contains(&server);
        self.services
            .iter()
            .position(position)
            .expect("the server exists")
    }

    /// Returns the one-way latency between two zones.
    #[must_use]
    pub fn latency(&self, from_zone: usize, to_zone: usize) -> Duration {
        if from_zone == to_zone {
            LOCAL_LATENCY
        } else {
            self.zone_latency
        }
    }
}

/// Returns the id of a zone.
///
/// # Panics
///
/// Does not panic; the name is a valid identifier for every index.
#[must_use]
pub fn zone_id(zone: usize) -> AvailabilityZone {
    format!("zone-{zone}")
        .parse()
        .expect("the name is an identifier")
}

/// Returns the mean service time over idempotent requests and actions.
#[must_use]
pub fn mean_service_time() -> Duration {
    READ_MEAN_TIME.mul_f64(1.0 - ACTION_FRACTION) + ACTION_MEAN_TIME.mul_f64(ACTION_FRACTION)
}

const fn size(name: &'static str, servers: usize, slots: u32) -> ServiceSize {
    ServiceSize {
        name,
        servers,
        slots,
    }
}

fn identifiers<T: std::str::FromStr>(prefix: &str, count: usize) -> Vec<T> {
    let parse = |index| format!("{prefix}-{index}").parse().ok();
    (0..count).filter_map(parse).collect()
}

fn limit((index, offered_per_s): (usize, &f64)) -> OrganisationLimit {
    let rate = offered_per_s * RATE_HEADROOM;
    OrganisationLimit {
        organisation: format!("org-{index}")
            .parse()
            .expect("the name is an identifier"),
        rate_per_s: RatePerSecond::try_from(rate).expect("the rate is finite"),
        burst: round_to_u32(rate * BURST_S).max(MIN_BURST),
    }
}
