//! Placement: which backend server one attempt of a request goes to.
//!
//! Load pattern: servers become faulty for about a second at a time, requests of one service differ in work by an order of
//! magnitude, and the demand of each availability zone varies in waves. [`Placement`] chooses by the number of requests in
//! flight, or by the work that they are expected to cause.

mod by_count;
mod by_work;
mod fault_estimate;
mod health;
mod sample;
mod work;

use std::time::Duration;

use rand::Rng;

pub use by_count::choose;
pub use by_work::{RequestTerms, Terms, WorkCandidate, crossing_cost};
pub use fault_estimate::FaultEstimate;
pub use health::Health;
pub use sample::sample_zones;
pub use work::{PlacedWork, WorkInProgress, reported_work};

/// Availability of a server from the point of view of this gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// No failure is suspected.
    Healthy,
    /// A pause that the server asked for has ended, and no request of this gateway followed. Late answers before a pause
    /// come from the load that the server asked to be spared.
    Resumed,
    /// The estimated probability that it is in a gray failure is above the threshold.
    Suspect,
    /// This gateway failed to connect to it, and the back-off has not expired.
    ConnectBackoff,
}

/// Backend server that can be selected, with the data that its cost depends on.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Index that [`choose`] returns; set by the caller.
    pub index: usize,
    /// Availability from the point of view of this gateway.
    pub standing: Standing,
    /// Estimated probability that the next request fails, from 0 to 1.
    pub failure_probability: f64,
    /// Requests in flight from all gateways, according to their newest reports.
    pub in_flight: u32,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Whether it is in the availability zone of this gateway.
    pub same_zone: bool,
    /// Whether the server is still warming up after its start.
    pub warming_up: bool,
    /// Whether the server no longer sends announcements.
    pub silent: bool,
    /// Time since the last known request of any gateway to the server.
    pub unused_for: Duration,
}

/// Effect of a failed attempt on its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureImpact {
    /// The request is retried, so the attempt may be a probe.
    Retryable,
    /// The request fails. Other requests of the service serve as probes.
    Final,
    /// The request fails, and the service gets no requests that could be retried and serve as probes.
    FinalWithoutProbes {
        /// Whether the share of unserved requests of the service is too high now.
        degraded: bool,
    },
}

/// Candidates of one attempt, and how one of them is chosen.
#[derive(Debug, Clone, Copy)]
pub enum Placement<'a> {
    /// By requests in flight; used while load is not managed.
    ByCount(&'a [Candidate]),
    /// By expected end, cost of a failure and bytes between zones.
    ByWork(&'a [WorkCandidate], &'a RequestTerms),
}

/// Why a server was chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reason {
    /// By the number of requests in flight.
    Count,
    /// The request probes a server without recent requests.
    Probe,
    /// It has the lowest cost, which has these terms.
    Cost(Terms),
}

impl Reason {
    /// Name in metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Count => "count",
            Self::Probe => "probe",
            Self::Cost(terms) if terms.crossing_s > 0.0 => "other_zone",
            Self::Cost(_) => "own_zone",
        }
    }
}

/// Server that was chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index of the candidate, as set by the caller.
    pub index: usize,
    /// Why it was chosen.
    pub reason: Reason,
}

impl Placement<'_> {
    /// Chooses a server; `None` without candidates.
    pub fn choose(&self, impact: FailureImpact, rng: &mut impl Rng) -> Option<Choice> {
        match self {
            Self::ByCount(candidates) => choose(candidates, impact, rng).map(|index| Choice {
                index,
                reason: Reason::Count,
            }),
            Self::ByWork(candidates, request) => by_work::choose(candidates, request, impact, rng),
        }
    }
}
