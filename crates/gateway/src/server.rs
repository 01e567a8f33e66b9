//! One backend server as this gateway knows it.

use std::collections::HashMap;
use std::time::Duration;

use radishpaddle_model::{BackendState, Retirement, ServerEvidence, ServerPresence};

use crate::backend_connection::BackendConnection;
use crate::health::Health;
use crate::selection::{Candidate, Standing};

/// Idle connections that are kept per backend server.
const MAX_IDLE: usize = 6;

/// What another gateway said of its requests in flight counts for this long.
const LOAD_VALID: Duration = Duration::from_millis(1_500);

/// Time for which a backend server that this gateway could not connect to is avoided; doubled with each
/// further failure. The path may be at fault, so other gateways are not told.
const CONNECT_PAUSE: Duration = Duration::from_millis(700);

/// Longest such time.
const MAX_CONNECT_PAUSE: Duration = Duration::from_secs(6);

/// Sheds count as this many requests in flight for a moment, so that a full server draws no more.
const SHED_PAUSE: Duration = Duration::from_millis(120);

/// How an attempt ended, as far as the pool is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// A complete answer in the usual time.
    Succeeded,
    /// A failure that counts against the server.
    Failed,
    /// The server had no room and did not run the request.
    Shed,
    /// No connection could be made.
    NotConnected,
    /// Another server has the address.
    Moved,
    /// Ended for reasons that say nothing about the server.
    Neutral,
}

/// One backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) presence: ServerPresence,
    pub(crate) key: u32,
    pub(crate) silent: bool,
    pub(crate) warm_at: Duration,
    pub(crate) health: Health,
    pub(crate) in_flight: u32,
    pub(crate) others: HashMap<u32, (u16, Duration)>,
    pub(crate) connect_failures: u32,
    pub(crate) avoid_until: Duration,
    pub(crate) shed_until: Duration,
    pub(crate) idle: Vec<BackendConnection>,
    pub(crate) unreported: ServerEvidence,
    pub(crate) reported_in_flight: u16,
    pub(crate) used_at: Duration,
}

impl Server {
    pub(crate) fn new(presence: ServerPresence, key: u32, warm_at: Duration, silent: bool) -> Self {
        Self {
            presence,
            key,
            silent,
            warm_at,
            health: Health::default(),
            in_flight: 0,
            others: HashMap::new(),
            connect_failures: 0,
            avoid_until: Duration::ZERO,
            shed_until: Duration::ZERO,
            idle: Vec::new(),
            unreported: ServerEvidence {
                server: key,
                succeeded: 0,
                failed: 0,
                in_flight: 0,
            },
            reported_in_flight: 0,
            used_at: Duration::ZERO,
        }
    }

    pub(crate) fn keep(&mut self, connection: BackendConnection) {
        if self.idle.len() < MAX_IDLE {
            self.idle.push(connection);
        }
    }

    pub(crate) fn takes_work(&self, retired: Option<&Retirement>) -> bool {
        let is_retired =
            retired.is_some_and(|retired| retired.started_at_ms >= self.presence.started_at_ms);
        self.presence.state == BackendState::Serving && !is_retired
    }

    pub(crate) fn all_in_flight(&self, now: Duration) -> u32 {
        let valid = |at: &Duration| now.saturating_sub(*at) <= LOAD_VALID;
        let others = self.others.values().filter(|(_, at)| valid(at));
        let others: u32 = others.map(|(count, _)| u32::from(*count)).sum();
        others + self.in_flight
    }

    pub(crate) fn candidate(&self, index: usize, zone: &str, now: Duration) -> Candidate {
        let shed = if now < self.shed_until {
            self.presence.slots
        } else {
            0
        };
        let standing = if now < self.avoid_until {
            Standing::Avoided
        } else if self.health.is_suspect(now) {
            Standing::Suspect
        } else {
            Standing::Good
        };
        Candidate {
            index,
            standing,
            failure_probability: self.health.failure_probability(now),
            in_flight: self.all_in_flight(now) + shed,
            slots: self.presence.slots,
            same_zone: *self.presence.zone == *zone,
            warming_up: now < self.warm_at,
            silent: self.silent,
            unused_for: now.saturating_sub(self.used_at),
        }
    }

    pub(crate) fn idle_connection(&mut self, idempotent: bool) -> Option<BackendConnection> {
        self.idle.retain(|connection| connection.is_usable(true));
        self.idle
            .pop_if(|connection| connection.is_usable(idempotent))
    }

    pub(crate) fn count(&mut self, result: AttemptResult, now: Duration) {
        match result {
            AttemptResult::Succeeded => {
                self.health.record(1, 0, now);
                self.unreported.succeeded = self.unreported.succeeded.saturating_add(1);
                self.connect_failures = 0;
                self.avoid_until = Duration::ZERO;
            }
            AttemptResult::Failed => {
                self.health.record(0, 1, now);
                self.unreported.failed = self.unreported.failed.saturating_add(1);
            }
            AttemptResult::Shed => self.shed_until = now + SHED_PAUSE,
            AttemptResult::NotConnected => {
                let doubled = CONNECT_PAUSE * 2u32.pow(self.connect_failures.min(4));
                self.avoid_until = now + doubled.min(MAX_CONNECT_PAUSE);
                self.connect_failures += 1;
            }
            AttemptResult::Moved | AttemptResult::Neutral => (),
        }
    }

    pub(crate) fn take_evidence(&mut self) -> Option<ServerEvidence> {
        let in_flight = u16::try_from(self.in_flight).unwrap_or(u16::MAX);
        let changed = self.unreported.succeeded > 0
            || self.unreported.failed > 0
            || in_flight != self.reported_in_flight
            || in_flight > 0;
        if !changed {
            return None;
        }
        let evidence = ServerEvidence {
            in_flight,
            ..self.unreported
        };
        self.reported_in_flight = in_flight;
        self.unreported = ServerEvidence {
            server: self.key,
            succeeded: 0,
            failed: 0,
            in_flight: 0,
        };
        Some(evidence)
    }
}
