//! Whether backend servers get new requests.

use std::time::Duration;

use radishpaddle_model::BackendState;
use radishpaddle_policy::{IntakeTable, NoNewRequests};

use crate::cold::{ColdServers, Warmth};
use crate::retirements::Retirements;
use crate::server::Server;
use crate::zones::Zones;

/// Whether a server gets new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Availability {
    /// It gets new requests.
    Accepting,
    /// It said in an answer that it wants none.
    LeftOut(NoNewRequests),
    /// Coordinators know that it is draining or gone.
    Retired,
    /// Its availability zone is evacuated.
    Evacuated,
    /// It is cold until this local time, and gets no request of this gateway now.
    Cold { until: Duration },
}

/// What availability depends on besides the announcement of the server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Availabilities<'a> {
    pub(crate) retirements: &'a Retirements,
    /// What servers said in their answers.
    pub(crate) intakes: &'a IntakeTable,
    pub(crate) zones: &'a Zones,
    pub(crate) cold: &'a ColdServers,
    pub(crate) now: Duration,
}

impl Availabilities<'_> {
    /// Decides whether a server gets new requests.
    pub(crate) fn of(&self, server: &Server) -> Availability {
        let presence = &server.presence;
        if presence.state != BackendState::Serving || self.retirements.cover(presence) {
            return Availability::Retired;
        }
        if self.zones.is_evacuated(&presence.zone) {
            return Availability::Evacuated;
        }
        let refusal = self
            .intakes
            .refusal(&presence.id, presence.started_at_ms, self.now);
        if let Some(refusal) = refusal {
            return Availability::LeftOut(refusal);
        }
        match self.cold.warmth(server, self.zones, self.now) {
            Some(Warmth::Cold {
                until,
                may_send: false,
            }) => Availability::Cold { until },
            _ => Availability::Accepting,
        }
    }

    /// Whether a server gets new requests.
    pub(crate) fn is_accepting(&self, server: &Server) -> bool {
        self.of(server) == Availability::Accepting
    }
}
