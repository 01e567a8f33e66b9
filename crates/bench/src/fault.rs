//! Fault scenarios, and their effect on servers, paths, instances and load at a given time.

use std::time::Duration;

use crate::deployment::{Fleet, ZONES};
use crate::number::hash_to_seed;

/// Factor on the service time of a slow server.
pub const SLOW_FACTOR: f64 = 10.0;

/// Fraction of the requests that a server with the fault `errors` fails.
pub const ERROR_FRACTION: f64 = 0.3;

/// Length of each slow and each healthy phase of a flapping server.
pub const FLAP_PHASE: Duration = Duration::from_secs(4);

/// Time between two crashes of a server in a crash loop.
pub const CRASH_PERIOD: Duration = Duration::from_secs(4);

/// Time after a crash during which the server refuses connections.
pub const CRASH_DOWNTIME: Duration = Duration::from_secs(2);

/// Offered load of the flooding organisation as a multiple of its rate limit.
pub const FLOOD_FACTOR: f64 = 5.0;

/// Index of the organisation that floods the fleet; the second largest.
pub const FLOOD_ORGANISATION: usize = 1;

/// Fault scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// One server of each service is slow, and its health checks fail.
    Slow,
    /// One server of each service answers a fraction of the requests with an error.
    Errors,
    /// One server of each service is slow, but its health checks succeed.
    SlowHealthy,
    /// One server of each service alternates between slow and healthy.
    Flapping,
    /// Messages from one server of each service to the instances of one zone are lost.
    OneWayLoss,
    /// One zone is cut off from the other two.
    ZoneCut,
    /// One server of each service crashes periodically.
    CrashLoop,
    /// One organisation sends a multiple of its rate limit.
    Flood,
    /// The entry instance that leads the witnesses stops and later restarts.
    InstanceLoss,
    /// All control instances are unavailable. The emulator runs without control instances, so the fault
    /// changes nothing in it.
    ControlUnavailable,
    /// No fault at half load.
    None50,
    /// No fault at 90 % load.
    None90,
    /// No fault at 120 % load.
    None120,
}

/// Process at one end of a network path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Node {
    /// Entry instance by index.
    Instance(usize),
    /// Backend server by index.
    Server(usize),
}

/// Fault of a run with its time span and the servers and zone that it affects.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    /// Fault scenario.
    pub fault: Fault,
    /// Time at which the fault starts.
    pub start: Duration,
    /// Time at which the fault ends.
    pub end: Duration,
    /// Indexes of the faulty backend servers, one per service; empty if the fault affects no servers.
    pub servers: Vec<usize>,
    /// Zone that is cut off, or whose instances lose the messages of the faulty servers.
    pub zone: usize,
}

impl Fault {
    /// All scenarios in the order of the output.
    pub const ALL: [Self; 13] = [
        Self::Slow,
        Self::Errors,
        Self::SlowHealthy,
        Self::Flapping,
        Self::OneWayLoss,
        Self::ZoneCut,
        Self::CrashLoop,
        Self::Flood,
        Self::InstanceLoss,
        Self::ControlUnavailable,
        Self::None50,
        Self::None90,
        Self::None120,
    ];

    /// Returns the name on the command line and in tables.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Slow => "slow",
            Self::Errors => "errors",
            Self::SlowHealthy => "slow-healthy",
            Self::Flapping => "flapping",
            Self::OneWayLoss => "one-way-loss",
            Self::ZoneCut => "zone-cut",
            Self::CrashLoop => "crash-loop",
            Self::Flood => "flood",
            Self::InstanceLoss => "instance-loss",
            Self::ControlUnavailable => "control-unavailable",
            Self::None50 => "none-50",
            Self::None90 => "none-90",
            Self::None120 => "none-120",
        }
    }

    /// Finds a scenario by its name on the command line.
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|fault| fault.name() == name)
    }

    /// Returns the offered load as a fraction of the capacity of the backend servers.
    #[must_use]
    pub const fn load(self) -> f64 {
        match self {
            Self::None90 => 0.9,
            Self::None120 => 1.2,
            _ => 0.5,
        }
    }

    /// Returns whether the scenario has no fault.
    #[must_use]
    pub const fn is_fault_free(self) -> bool {
        matches!(self, Self::None50 | Self::None90 | Self::None120)
    }

    /// Returns whether the fault affects one backend server of each service.
    #[must_use]
    pub const fn has_faulty_server(self) -> bool {
        matches!(
            self,
            Self::Slow
                | Self::Errors
                | Self::SlowHealthy
                | Self::Flapping
                | Self::OneWayLoss
                | Self::CrashLoop
        )
    }

    /// Returns whether the design has a target for the detection time of this fault.
    #[must_use]
    pub const fn has_detection_target(self) -> bool {
        matches!(self, Self::Slow | Self::Errors | Self::SlowHealthy)
    }
}

impl FaultPlan {
    /// Plans the fault for the middle third of a run. The seed determines the affected servers and zone.
    #[must_use]
    pub fn new(fault: Fault, fleet: &Fleet, length: Duration, seed: u64) -> Self {
        let chosen = |service: usize, count: usize| {
            let drawn = hash_to_seed(&[seed, 77, service as u64]) % count as u64;
            usize::try_from(drawn).unwrap_or(0)
        };
        let mut servers = Vec::new();
        if fault.has_faulty_server() {
            for (index, service) in fleet.services.iter().enumerate() {
                servers.push(service.first_server + chosen(index, service.servers.len()));
            }
        }
        Self {
            fault,
            start: length / 3,
            end: length * 2 / 3,
            servers,
            zone: chosen(1000, ZONES),
        }
    }

    /// Returns whether the fault is in effect.
    #[must_use]
    pub fn active(&self, now: Duration) -> bool {
        !self.fault.is_fault_free() && now >= self.start && now < self.end
    }

    /// Returns the factor on the service time of a server.
    #[must_use]
    pub fn service_factor(&self, server: usize, now: Duration) -> f64 {
        let slow = match self.fault {
            Fault::Slow | Fault::SlowHealthy => self.affects(server, now),
            Fault::Flapping => {
                self.affects(server, now) && self.time_in_period(now, FLAP_PHASE * 2) < FLAP_PHASE
            }
            _ => false,
        };
        if slow { SLOW_FACTOR } else { 1.0 }
    }

    /// Returns whether a server fails a request. `draw` is a random number, uniform between 0 and 1.
    #[must_use]
    pub fn fails(&self, server: usize, now: Duration, draw: f64) -> bool {
        self.fault == Fault::Errors && self.affects(server, now) && draw < ERROR_FRACTION
    }

    /// Returns whether a server accepts connections.
    #[must_use]
    pub fn is_server_up(&self, server: usize, now: Duration) -> bool {
        let down = self.fault == Fault::CrashLoop
            && self.affects(server, now)
            && self.time_in_period(now, CRASH_PERIOD) < CRASH_DOWNTIME;
        !down
    }

    /// Returns whether an entry instance runs. The fault stops instance 0, which leads at that time.
    #[must_use]
    pub fn is_instance_up(&self, instance: usize, now: Duration) -> bool {
        !(self.fault == Fault::InstanceLoss && instance == 0 && self.active(now))
    }

    /// Returns whether the network delivers a message sent at this time.
    #[must_use]
    pub fn delivers(&self, from: Node, to: Node, now: Duration) -> bool {
        if !self.active(now) {
            return true;
        }
        match (self.fault, from, to) {
            (Fault::ZoneCut, _, _) => (from.zone() == self.zone) == (to.zone() == self.zone),
            (Fault::OneWayLoss, Node::Server(server), Node::Instance(_)) => {
                !self.servers.contains(&server) || to.zone() != self.zone
            }
            _ => true,
        }
    }

    /// Returns whether the health check of a server fails because of the fault.
    #[must_use]
    pub fn fails_health_check(&self, server: usize, now: Duration) -> bool {
        let visible = matches!(self.fault, Fault::Slow | Fault::CrashLoop);
        visible && self.affects(server, now)
    }

    /// Returns the factor on the offered load of an organisation.
    #[must_use]
    pub fn load_factor(&self, organisation: usize, now: Duration) -> f64 {
        let floods = self.fault == Fault::Flood && organisation == FLOOD_ORGANISATION;
        if floods && self.active(now) {
            FLOOD_FACTOR * crate::deployment::RATE_HEADROOM
        } else {
            1.0
        }
    }

    /// Returns the times at which the faulty servers crash.
    #[must_use]
    pub fn crashes(&self) -> Vec<Duration> {
        let mut times = Vec::new();
        let mut at = self.start;
        while self.fault == Fault::CrashLoop && at < self.end {
            times.push(at);
            at += CRASH_PERIOD;
        }
        times
    }

    /// Returns whether the fault justifies that the instance ejects the server at this time. That
    /// includes the 5 s after the fault, in which a server may still be on probation.
    #[must_use]
    pub fn justifies_ejection(&self, server: usize, instance: usize, now: Duration) -> bool {
        let until = self.end + Duration::from_secs(5);
        if self.fault.is_fault_free() || now < self.start || now >= until {
            return false;
        }
        match self.fault {
            Fault::ZoneCut => {
                let server_cut = Node::Server(server).zone() == self.zone;
                server_cut != (Node::Instance(instance).zone() == self.zone)
            }
            _ => self.servers.contains(&server),
        }
    }

    fn affects(&self, server: usize, now: Duration) -> bool {
        self.active(now) && self.servers.contains(&server)
    }

    fn time_in_period(&self, now: Duration, period: Duration) -> Duration {
        let since = now.saturating_sub(self.start).as_nanos();
        let elapsed = since % period.as_nanos();
        Duration::from_nanos(u64::try_from(elapsed).unwrap_or(0))
    }
}

impl Node {
    /// Returns the index of the availability zone.
    #[must_use]
    pub const fn zone(self) -> usize {
        match self {
            Self::Instance(index) | Self::Server(index) => index % ZONES,
        }
    }
}
