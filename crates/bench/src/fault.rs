//! The faults, and what they do to servers, paths, instances and load at a given time.

use std::time::Duration;

use crate::number::mixed;
use crate::user::{Fleet, ZONES};

/// Service time of a slow server as a multiple of its normal one.
pub const SLOW_FACTOR: f64 = 10.0;

/// Part of the requests that fail at a server with partial errors.
pub const ERROR_PART: f64 = 0.3;

/// Length of the slow and of the healthy phase of a flapping server.
pub const FLAP_PHASE: Duration = Duration::from_secs(4);

/// Time from one crash of a server in a crash loop to the next.
pub const CRASH_PERIOD: Duration = Duration::from_secs(4);

/// Time that a crashed server refuses connections.
pub const CRASH_DOWN: Duration = Duration::from_secs(2);

/// Load of the organisation that exceeds its rate, as a multiple of its rate.
pub const FLOOD_FACTOR: f64 = 5.0;

/// Organisation that exceeds its rate; the second largest.
pub const FLOOD_ORGANISATION: usize = 1;

/// One scenario of the bench.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// One server of each service is slow, and its health endpoint shows it.
    Slow,
    /// One server of each service answers a part of the requests with an error.
    Errors,
    /// One server of each service is slow, and its health endpoint answers at once.
    SlowHealthy,
    /// One server of each service changes between slow and healthy.
    Flapping,
    /// Answers of one server of each service to the instances of one zone are lost.
    OneWayLoss,
    /// One zone is cut off from the other two.
    ZoneCut,
    /// One server of each service crashes again and again.
    CrashLoop,
    /// One organisation sends several times its rate.
    Flood,
    /// The entry instance that is the witness leader is lost.
    InstanceLoss,
    /// All control instances are unavailable.
    ControlUnavailable,
    /// No fault at half load.
    None50,
    /// No fault at 90 % load.
    None90,
    /// No fault at 120 % load.
    None120,
}

/// An end of a path between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Node {
    /// Entry instance by index.
    Instance(usize),
    /// Backend server by index.
    Server(usize),
}

/// A fault with its time and its victims.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    /// The fault.
    pub fault: Fault,
    /// Start of the fault.
    pub start: Duration,
    /// End of the fault.
    pub end: Duration,
    /// Faulty backend servers, one of each service; empty for other faults.
    pub servers: Vec<usize>,
    /// Zone that is cut off or that loses answers.
    pub zone: usize,
}

impl Fault {
    /// Every scenario in the order of the tables.
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

    /// Name on the command line and in tables.
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

    /// Scenario by its name on the command line.
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|fault| fault.name() == name)
    }

    /// Offered load as a part of the capacity.
    #[must_use]
    pub const fn load(self) -> f64 {
        match self {
            Self::None90 => 0.9,
            Self::None120 => 1.2,
            _ => 0.5,
        }
    }

    /// Whether nothing is broken.
    #[must_use]
    pub const fn is_none(self) -> bool {
        matches!(self, Self::None50 | Self::None90 | Self::None120)
    }

    /// Whether one backend server of each service is at fault.
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

    /// Whether the design states a target for the detection time.
    #[must_use]
    pub const fn has_detection_target(self) -> bool {
        matches!(self, Self::Slow | Self::Errors | Self::SlowHealthy)
    }
}

impl FaultPlan {
    /// The fault in the middle third of a run. The seed chooses the victims.
    #[must_use]
    pub fn new(fault: Fault, fleet: &Fleet, length: Duration, seed: u64) -> Self {
        let chosen = |service: usize, count: usize| {
            let drawn = mixed(&[seed, 77, service as u64]) % count as u64;
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

    /// Whether the fault is in effect.
    #[must_use]
    pub fn active(&self, now: Duration) -> bool {
        !self.fault.is_none() && now >= self.start && now < self.end
    }

    /// Service time of a server as a multiple of its normal one.
    #[must_use]
    pub fn service_factor(&self, server: usize, now: Duration) -> f64 {
        let slow = match self.fault {
            Fault::Slow | Fault::SlowHealthy => self.hits(server, now),
            Fault::Flapping => {
                self.hits(server, now) && self.phase(now, FLAP_PHASE * 2) < FLAP_PHASE
            }
            _ => false,
        };
        if slow { SLOW_FACTOR } else { 1.0 }
    }

    /// Whether a server fails a request; `draw` is uniform between 0 and 1.
    #[must_use]
    pub fn fails(&self, server: usize, now: Duration, draw: f64) -> bool {
        self.fault == Fault::Errors && self.hits(server, now) && draw < ERROR_PART
    }

    /// Whether a server accepts connections.
    #[must_use]
    pub fn server_up(&self, server: usize, now: Duration) -> bool {
        let down = self.fault == Fault::CrashLoop
            && self.hits(server, now)
            && self.phase(now, CRASH_PERIOD) < CRASH_DOWN;
        !down
    }

    /// Whether an entry instance runs. The lost instance is the first, which is the leader.
    #[must_use]
    pub fn instance_up(&self, instance: usize, now: Duration) -> bool {
        !(self.fault == Fault::InstanceLoss && instance == 0 && self.active(now))
    }

    /// Whether a message gets through.
    #[must_use]
    pub fn passes(&self, from: Node, to: Node, now: Duration) -> bool {
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

    /// Whether the health endpoint of a server shows its state. It answers fast when it does not.
    #[must_use]
    pub fn health_shows_fault(&self, server: usize, now: Duration) -> bool {
        let honest = matches!(self.fault, Fault::Slow | Fault::CrashLoop);
        honest && self.hits(server, now)
    }

    /// Load of an organisation as a multiple of its normal one.
    #[must_use]
    pub fn load_factor(&self, organisation: usize, now: Duration) -> f64 {
        let floods = self.fault == Fault::Flood && organisation == FLOOD_ORGANISATION;
        if floods && self.active(now) {
            FLOOD_FACTOR * crate::user::RATE_HEADROOM
        } else {
            1.0
        }
    }

    /// Times at which servers crash.
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

    /// Whether taking the server out of rotation at the instance is right at this time. The time
    /// after the fault in which probation may still run is included.
    #[must_use]
    pub fn justifies_ejection(&self, server: usize, instance: usize, now: Duration) -> bool {
        let until = self.end + Duration::from_secs(5);
        if self.fault.is_none() || now < self.start || now >= until {
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

    fn hits(&self, server: usize, now: Duration) -> bool {
        self.active(now) && self.servers.contains(&server)
    }

    fn phase(&self, now: Duration, period: Duration) -> Duration {
        let since = now.saturating_sub(self.start).as_nanos();
        let phase = since % period.as_nanos();
        Duration::from_nanos(u64::try_from(phase).unwrap_or(0))
    }
}

impl Node {
    /// Availability zone.
    #[must_use]
    pub const fn zone(self) -> usize {
        match self {
            Self::Instance(index) | Self::Server(index) => index % ZONES,
        }
    }
}
