//! Quarantine of requests that crash backend servers, from the crashes that this gateway observed and the suspect
//! requests that the coordinators collected from all gateways.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::{
    Fingerprint, RequestCrash, ServerIncarnation, ServerPresence, SuspectRequest,
};
use radishpaddle_policy::LostRequests;
use radishpaddle_wire::ServerUpdate;

/// Number of crashes with a request in flight from which the request is refused.
const QUARANTINE_CRASHES: u32 = 3;

/// Delay between the loss of a connection and the check whether the server still accepts connections.
pub const CRASH_CHECK_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of own observations that are kept, for coordinators that restart without them.
const MAX_OWN_CRASHES: usize = 256;

/// Crash of a backend server that this gateway observed with a request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedCrash {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Identifier of the run of the backend server process.
    pub server_incarnation: u64,
    /// Local time at which the request was sent.
    pub sent_at: Duration,
    /// Local time at which the connection was lost.
    pub ended_at: Duration,
}

/// Request whose connection was lost before its answer was complete, perhaps by a crash of the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRequest {
    /// Backend server that the request was sent to.
    pub server: ServerIncarnation,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Id of the request, for logs.
    pub request_id: Option<Arc<str>>,
    /// What counts if the backend server has crashed.
    pub crash: ObservedCrash,
}

impl LostRequest {
    /// Whether an announcement shows that the backend server has ended: it started again, or a later start has its address.
    fn has_ended_before(&self, start: &ServerPresence) -> bool {
        let is_successor = start.id == self.server.name || start.address == self.address;
        is_successor && start.started_at_ms > self.server.started_at_ms
    }
}

#[derive(Debug, Clone, Copy)]
struct OwnCrash {
    observed: ObservedCrash,
    /// Whether a coordinator acknowledged the crash.
    reported: bool,
}

/// Observed crashes and suspect requests at one gateway.
#[derive(Debug, Default)]
pub struct CrashWatch {
    own: Vec<OwnCrash>,
    /// Lost requests whose cause is not known.
    lost: LostRequests<LostRequest>,
    /// Suspect requests that a backend server answered, until a coordinator acknowledges them.
    answered: Vec<Fingerprint>,
    /// Number of crashes of each suspect request.
    suspects: HashMap<Fingerprint, u32>,
}

impl CrashWatch {
    /// Whether any request is suspect. Otherwise callers need not compute fingerprints.
    #[must_use]
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Whether a request is quarantined and must not be sent to a backend server.
    #[must_use]
    pub fn is_quarantined(&self, request: &Fingerprint) -> bool {
        let crashes = self.suspects.get(request);
        crashes.is_some_and(|crashes| *crashes >= QUARANTINE_CRASHES)
    }

    /// Records a request whose connection was lost.
    pub fn record_lost(&mut self, lost: LostRequest, now: Duration) {
        self.lost.record(lost, now);
    }

    /// Returns a lost request whose backend server refuses connections, unless its loss has been explained before.
    /// Other losses at that server may be older than its end, and have checks of their own.
    pub fn take_refused(&mut self, refused: &LostRequest, now: Duration) -> Option<LostRequest> {
        self.lost.take(now, |lost| lost == refused).pop()
    }

    /// Returns the requests that were in flight at backend servers which have ended according to announcements.
    pub fn take_ended(&mut self, starts: &[ServerUpdate], now: Duration) -> Vec<LostRequest> {
        self.lost.take(now, |lost| {
            let mut starts = starts.iter().map(|update| &update.presence);
            starts.any(|start| lost.has_ended_before(start))
        })
    }

    /// Records a crash that this gateway observed, once per request and run of the server.
    pub fn record_crash(&mut self, observed: ObservedCrash) {
        let key = (observed.request, observed.server_incarnation);
        if self.own.iter().any(|own| own.key() == key) {
            return;
        }
        if self.own.len() >= MAX_OWN_CRASHES {
            self.own.remove(0);
        }
        self.own.push(OwnCrash {
            observed,
            reported: false,
        });
    }

    /// Records that a backend server answered a request, which clears the suspicion.
    pub fn record_answer(&mut self, request: Fingerprint) {
        if self.suspects.contains_key(&request) && !self.answered.contains(&request) {
            self.answered.push(request);
        }
    }

    /// Returns crashes and answered requests for a coordinator: those that were not acknowledged yet, or with
    /// `include_reported` all that are kept.
    #[must_use]
    pub fn report(
        &self,
        include_reported: bool,
        now: Duration,
    ) -> (Vec<RequestCrash>, Vec<Fingerprint>) {
        let own = self.own.iter();
        let pending = own.filter(|own| include_reported || !own.reported);
        let crashes = pending.map(|own| own.report(now)).collect();
        (crashes, self.answered.clone())
    }

    /// Marks the content of a report as acknowledged by a coordinator.
    pub fn acknowledge(&mut self, crashes: &[RequestCrash], answered: &[Fingerprint]) {
        for own in &mut self.own {
            let is_own = |crash: &RequestCrash| (crash.request, crash.server) == own.key();
            own.reported |= crashes.iter().any(is_own);
        }
        self.own
            .retain(|own| !answered.contains(&own.observed.request));
        self.answered.retain(|request| !answered.contains(request));
    }

    /// Replaces the list of suspect requests by that of a coordinator. Returns the requests that become quarantined.
    /// With `continued` the previous list came from the same run of the coordinator, so own crashes whose requests are
    /// missing in the list were answered or expired and are dropped.
    pub fn set_suspects(
        &mut self,
        list: Vec<SuspectRequest>,
        continued: bool,
    ) -> Vec<SuspectRequest> {
        let previous = std::mem::take(&mut self.suspects);
        let crash_counts = list
            .iter()
            .map(|suspect| (suspect.request, suspect.crashes));
        self.suspects = crash_counts.collect();
        if continued {
            let suspects = &self.suspects;
            self.own
                .retain(|own| !own.reported || suspects.contains_key(&own.observed.request));
        }
        let quarantined = list.into_iter().filter(|suspect| {
            let known = previous.get(&suspect.request).copied().unwrap_or_default();
            suspect.crashes >= QUARANTINE_CRASHES && known < QUARANTINE_CRASHES
        });
        quarantined.collect()
    }
}

impl OwnCrash {
    const fn key(&self) -> (Fingerprint, u64) {
        (self.observed.request, self.observed.server_incarnation)
    }

    fn report(&self, now: Duration) -> RequestCrash {
        let ago = |at: Duration| {
            let age = now.saturating_sub(at).as_millis();
            u32::try_from(age).unwrap_or(u32::MAX)
        };
        RequestCrash {
            request: self.observed.request,
            server: self.observed.server_incarnation,
            sent_ms_ago: ago(self.observed.sent_at),
            ended_ms_ago: ago(self.observed.ended_at),
        }
    }
}
