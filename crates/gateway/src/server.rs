//! State of one backend server at this gateway.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::{ServerEvidence, ServerIncarnation, ServerPresence};
use radishpaddle_policy::placement::{FaultEstimate, WorkInProgress, reported_work};

use crate::backend_connection::BackendConnection;
use crate::health::Health;
use crate::selection::{Candidate, Standing};

/// Maximum number of idle connections per backend server.
const MAX_IDLE_CONNECTIONS: usize = 6;

/// Age after which the number of requests in flight that another gateway reported is ignored.
const MAX_LOAD_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Period in which an unchanged number of requests in flight is reported again. A few reports fit in
/// [`MAX_LOAD_REPORT_AGE`].
const LOAD_REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Back-off after the first failure to connect to a backend server; doubled with each further failure. The
/// failure is not reported to other gateways, because the network path from this gateway may be the cause.
const CONNECT_BACKOFF: Duration = Duration::from_millis(700);

/// Upper bound of the back-off after failures to connect.
const MAX_CONNECT_BACKOFF: Duration = Duration::from_secs(6);

/// Time after a shed request for which the backend server counts as having all slots in use, so that a full
/// server gets fewer requests.
const SHED_BACKOFF: Duration = Duration::from_millis(120);

/// Result of an attempt as it affects the state of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The complete answer arrived before the slow-request limit.
    Succeeded,
    /// The attempt failed in a way that raises the failure probability of the server.
    Failed,
    /// The server was full and did not run the request.
    Shed,
    /// No connection could be opened.
    NotConnected,
    /// The address belongs to another backend server now (status 421).
    Misdirected,
    /// The attempt ended for a reason that says nothing about the health of the server.
    Neutral,
}

/// Presence, health, load and idle connections of one backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) presence: ServerPresence,
    pub(crate) short_name_key: u32,
    pub(crate) silent: bool,
    pub(crate) warmup_ends_at: Duration,
    /// Local time up to which the server is or was cold, if it ever announced that.
    pub(crate) cold_until: Option<Duration>,
    /// Local time of its newest announcement.
    pub(crate) heard_at: Duration,
    pub(crate) health: Health,
    /// Estimate for placement by expected work, whose evidence ages faster.
    pub(crate) fault: FaultEstimate,
    /// Expected work of the requests of this gateway in flight.
    pub(crate) work: WorkInProgress,
    pub(crate) in_flight: u32,
    /// Requests in flight that other gateways reported and the local time of the report, by gateway.
    pub(crate) reported_load: HashMap<u32, (u16, Duration)>,
    pub(crate) connect_failures: u32,
    pub(crate) connect_backoff_until: Duration,
    pub(crate) shed_backoff_until: Duration,
    pub(crate) idle: Vec<BackendConnection>,
    /// Results since the last report to a coordinator.
    pub(crate) unreported: ServerEvidence,
    pub(crate) reported_in_flight: u16,
    /// Local time of the last report to a coordinator.
    pub(crate) load_reported_at: Duration,
    /// Local time of the last known request of any gateway.
    pub(crate) last_used_at: Duration,
}

impl Server {
    pub(crate) fn new(
        presence: ServerPresence,
        short_name_key: u32,
        warmup_ends_at: Duration,
        silent: bool,
    ) -> Self {
        Self {
            presence,
            short_name_key,
            silent,
            warmup_ends_at,
            cold_until: None,
            heard_at: Duration::ZERO,
            health: Health::default(),
            fault: FaultEstimate::default(),
            work: WorkInProgress::default(),
            in_flight: 0,
            reported_load: HashMap::new(),
            connect_failures: 0,
            connect_backoff_until: Duration::ZERO,
            shed_backoff_until: Duration::ZERO,
            idle: Vec::new(),
            unreported: ServerEvidence {
                server: short_name_key,
                succeeded: 0,
                failed: 0,
                in_flight: 0,
            },
            reported_in_flight: 0,
            load_reported_at: Duration::ZERO,
            last_used_at: Duration::ZERO,
        }
    }

    /// Records how much longer the server stays cold, by its newest announcement.
    pub(crate) fn record_warmup(&mut self, left_ms: u32, now: Duration) {
        self.heard_at = now;
        let until = now + Duration::from_millis(left_ms.into());
        if left_ms > 0 || self.cold_until.is_some_and(|before| before > now) {
            self.cold_until = Some(until);
        }
    }

    /// Stores an idle connection, or closes it when there are enough.
    pub(crate) fn store_idle(&mut self, connection: BackendConnection) {
        if self.idle.len() < MAX_IDLE_CONNECTIONS {
            self.idle.push(connection);
        }
    }

    /// Name and start of the server.
    pub(crate) fn incarnation(&self) -> ServerIncarnation {
        ServerIncarnation {
            name: Arc::clone(&self.presence.id),
            started_at_ms: self.presence.started_at_ms,
        }
    }

    /// Requests in flight from all gateways.
    pub(crate) fn fleet_in_flight(&self, now: Duration) -> u32 {
        self.others_in_flight(now) + self.in_flight
    }

    /// Expected remaining work of the requests in flight from all gateways; `mean` is that of the service.
    pub(crate) fn outstanding(&self, mean: Duration, now: Duration) -> Duration {
        self.work.remaining(now) + reported_work(self.others_in_flight(now), mean)
    }

    /// Requests in flight from the other gateways.
    fn others_in_flight(&self, now: Duration) -> u32 {
        let is_recent = |at: &Duration| now.saturating_sub(*at) <= MAX_LOAD_REPORT_AGE;
        let others = self.reported_load.values().filter(|(_, at)| is_recent(at));
        others.map(|(count, _)| u32::from(*count)).sum()
    }

    pub(crate) fn candidate(
        &self,
        index: usize,
        zone: &str,
        resumed: bool,
        now: Duration,
    ) -> Candidate {
        let shed = if now < self.shed_backoff_until {
            self.presence.slots
        } else {
            0
        };
        let standing = if now < self.connect_backoff_until {
            Standing::ConnectBackoff
        } else if resumed {
            Standing::Resumed
        } else if self.health.is_suspect(now) {
            Standing::Suspect
        } else {
            Standing::Healthy
        };
        Candidate {
            index,
            standing,
            failure_probability: self.health.failure_probability(now),
            in_flight: self.fleet_in_flight(now) + shed,
            slots: self.presence.slots,
            same_zone: *self.presence.zone == *zone,
            warming_up: now < self.warmup_ends_at,
            silent: self.silent,
            unused_for: now.saturating_sub(self.last_used_at),
        }
    }

    /// Takes an idle connection that is safe to reuse for the request, if there is one.
    pub(crate) fn take_idle(&mut self, idempotent: bool) -> Option<BackendConnection> {
        self.idle.retain(|connection| connection.is_usable(true));
        self.idle
            .pop_if(|connection| connection.is_usable(idempotent))
    }

    /// Updates the health with results of this or another gateway.
    pub(crate) fn record_results(&mut self, succeeded: u32, failed: u32, now: Duration) {
        self.health.record(succeeded, failed, now);
        if succeeded + failed > 0 {
            self.fault.record(succeeded, failed, now);
        }
    }

    /// Updates health, back-off and unreported evidence with the result of an attempt.
    pub(crate) fn record_result(&mut self, result: AttemptResult, now: Duration) {
        match result {
            AttemptResult::Succeeded => {
                self.record_results(1, 0, now);
                self.unreported.succeeded = self.unreported.succeeded.saturating_add(1);
                self.connect_failures = 0;
                self.connect_backoff_until = Duration::ZERO;
            }
            AttemptResult::Failed => {
                self.record_results(0, 1, now);
                self.unreported.failed = self.unreported.failed.saturating_add(1);
            }
            AttemptResult::Shed => self.shed_backoff_until = now + SHED_BACKOFF,
            AttemptResult::NotConnected => {
                let backoff = CONNECT_BACKOFF * 2u32.pow(self.connect_failures.min(4));
                self.connect_backoff_until = now + backoff.min(MAX_CONNECT_BACKOFF);
                self.connect_failures += 1;
            }
            AttemptResult::Misdirected | AttemptResult::Neutral => (),
        }
    }

    /// Returns the evidence since the last report and resets it; `None` when there is nothing new. Requests in flight are
    /// reported again after [`LOAD_REPORT_PERIOD`].
    pub(crate) fn take_evidence(&mut self, now: Duration) -> Option<ServerEvidence> {
        let in_flight = u16::try_from(self.in_flight).unwrap_or(u16::MAX);
        let changed = self.unreported.succeeded > 0
            || self.unreported.failed > 0
            || in_flight != self.reported_in_flight
            || in_flight > 0 && now.saturating_sub(self.load_reported_at) >= LOAD_REPORT_PERIOD;
        if !changed {
            return None;
        }
        self.load_reported_at = now;
        let evidence = ServerEvidence {
            in_flight,
            ..self.unreported
        };
        self.reported_in_flight = in_flight;
        self.unreported = ServerEvidence {
            server: self.short_name_key,
            succeeded: 0,
            failed: 0,
            in_flight: 0,
        };
        Some(evidence)
    }
}
