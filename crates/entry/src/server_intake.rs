//! What backend servers of one service said in their responses about new requests: that they leave, or that
//! they want a pause.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use radishpaddle_kernel::Journal;
use radishpaddle_model::{BackendState, Incarnation, ServerIncarnation, ServiceId};
use radishpaddle_policy::intake_table::MAX_SERVERS;
use radishpaddle_policy::{IntakeTable, NoNewRequests, PauseChange, RetryAfter, ServerKey};
use serde_json::{Value, json};

use crate::attempts::SHED_HEADER;
use crate::backend_info::BackendInfo;
use crate::metrics::ServerSignalMetrics;

/// Response header with the value `1`, with which a backend server says that it leaves.
pub const LEAVING_HEADER: HeaderName = HeaderName::from_static("x-leaving");

/// Response header with which a backend server states its incarnation.
pub const INCARNATION_HEADER: HeaderName = HeaderName::from_static("x-incarnation");

/// What one response says about new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerSignals {
    /// Whether the server leaves.
    pub leaving: bool,
    /// Pause that the server wants.
    pub pause: Option<RetryAfter>,
    /// Number of values that are not a pause.
    pub invalid_pauses: u64,
    /// Incarnation that spoke, if the response states it.
    pub incarnation: Option<Incarnation>,
}

impl ServerSignals {
    /// Reads the headers of a response. Only a shed request asks for a pause: the `Retry-After` of another
    /// response is meant for the caller.
    #[must_use]
    pub fn of_response(status: StatusCode, headers: &HeaderMap) -> Self {
        let mut leaving = headers.get_all(LEAVING_HEADER).iter();
        let is_shed =
            status == StatusCode::SERVICE_UNAVAILABLE && headers.contains_key(SHED_HEADER);
        let pauses = headers.get_all(RETRY_AFTER).iter();
        let pauses = pauses.filter(|_| is_shed).map(HeaderValue::as_bytes);
        let (pause, invalid_pauses) = RetryAfter::longest(pauses);
        Self {
            leaving: leaving.any(|value| value.as_bytes() == b"1"),
            pause,
            invalid_pauses,
            incarnation: stated_incarnation(headers),
        }
    }

    const fn is_empty(self) -> bool {
        !self.leaving && self.pause.is_none() && self.invalid_pauses == 0
    }
}

/// State of the servers of one service at this instance.
///
/// It is separate from the list of announced servers, so that a late announcement or a list without the
/// server does not end what the server said itself.
pub struct ServerIntake {
    service: ServiceId,
    journal: Journal,
    metrics: ServerSignalMetrics,
    table: IntakeTable,
    /// Servers that are left out according to the journal. A leaving one stays until a newer
    /// incarnation is announced.
    left_out: HashMap<ServerKey, Arc<BackendInfo>>,
    next_pause_end: Option<Duration>,
}

impl ServerIntake {
    /// Creates the state of a service in which every server takes requests.
    #[must_use]
    pub fn new(service: ServiceId, journal: Journal, metrics: ServerSignalMetrics) -> Self {
        Self {
            service,
            journal,
            metrics,
            table: IntakeTable::default(),
            left_out: HashMap::new(),
            next_pause_end: None,
        }
    }

    /// Records the signals of a response of `server`. Returns whether the servers that take requests or
    /// the ends of their pauses have changed. `random` is from 0 (inclusive) to 1 (exclusive).
    pub fn record(
        &mut self,
        server: &Arc<BackendInfo>,
        signals: ServerSignals,
        random: f64,
        now: Duration,
    ) -> bool {
        if signals.is_empty() {
            return false;
        }
        self.count(signals);
        let speaker = ServerIncarnation {
            name: server.backend_server.as_str().into(),
            started_at_ms: signals.incarnation.unwrap_or(server.incarnation).0,
        };
        let mut changed = false;
        if let Some(pause) = signals.pause {
            let change = self.table.record_pause(&speaker, pause, random, now);
            changed |= change.is_some();
            self.record_pause_change(server, pause, change, now);
        }
        if signals.leaving && self.table.record_leaving(&speaker, now) {
            changed = true;
            self.leave_out(server, now);
            let detail = json!({"header": "X-Leaving", "incarnation": speaker.started_at_ms});
            self.log("server_leaving", server, detail);
        }
        self.update_next_pause_end(now);
        changed
    }

    fn count(&self, signals: ServerSignals) {
        let service = self.service.as_str();
        let counts = [
            ("leaving", u64::from(signals.leaving)),
            ("pause", u64::from(signals.pause.is_some())),
            ("invalid_retry_after", signals.invalid_pauses),
        ];
        for (signal, count) in counts {
            self.metrics.add(service, signal, count);
        }
    }

    fn record_pause_change(
        &mut self,
        server: &Arc<BackendInfo>,
        pause: RetryAfter,
        change: Option<PauseChange>,
        now: Duration,
    ) {
        let Some(change) = change else {
            return;
        };
        self.leave_out(server, now);
        // Only the begin is logged: requests that were in flight extend the pause with each response.
        if let PauseChange::Begun { ends_at } = change {
            let detail = json!({
                "retry_after_s": pause.length().as_secs_f64(),
                "ends_in_ms": milliseconds(ends_at.saturating_sub(now)),
            });
            self.log("server_paused", server, detail);
        }
    }

    /// Returns why a server gets no new requests because of its own responses.
    #[must_use]
    pub fn refusal(&self, server: &BackendInfo, now: Duration) -> Option<NoNewRequests> {
        let name = server.backend_server.as_str();
        self.table.refusal(name, server.incarnation.0, now)
    }

    /// Returns the earliest end of the pauses of those servers that are announced as serving; `None` if
    /// none of them is paused.
    pub fn first_pause_end<'a>(
        &self,
        servers: impl Iterator<Item = &'a Arc<BackendInfo>>,
        now: Duration,
    ) -> Option<Duration> {
        let serving = servers.filter(|server| server.state == BackendState::Serving);
        let refusals = serving.map(|server| self.refusal(server, now));
        refusals.filter_map(pause_end).min()
    }

    /// Returns whether a server is announced as serving and has not said otherwise in its responses.
    #[must_use]
    pub fn takes_requests(&self, server: &BackendInfo, now: Duration) -> bool {
        server.state == BackendState::Serving && self.refusal(server, now).is_none()
    }

    /// Logs the pauses that are over, and returns whether there were any. Costs one comparison while no
    /// pause ends.
    pub fn end_pauses(&mut self, now: Duration) -> bool {
        if self.next_pause_end.is_none_or(|end| now < end) {
            return false;
        }
        let left_out = self.left_out.values();
        let ended = left_out.filter(|server| self.refusal(server, now).is_none());
        let ended: Vec<Arc<BackendInfo>> = ended.cloned().collect();
        for server in &ended {
            self.left_out.remove(&server.key);
            let name = server.backend_server.as_str();
            self.table.take_ended_pause(name, server.incarnation.0, now);
            self.log(
                "server_resumed",
                server,
                json!({"cause": "the pause ended"}),
            );
        }
        self.update_next_pause_end(now);
        !ended.is_empty()
    }

    /// Logs that an announced incarnation takes the place of one that was leaving or paused.
    pub fn announced(&mut self, server: &BackendInfo, now: Duration) {
        let left_out = self.left_out.get(&server.key);
        let is_newer = left_out.is_some_and(|old| old.incarnation < server.incarnation);
        if is_newer && self.refusal(server, now).is_none() {
            self.left_out.remove(&server.key);
            self.update_next_pause_end(now);
            let detail = json!({"cause": "newer incarnation", "incarnation": server.incarnation});
            self.log("server_returned", server, detail);
        }
    }

    fn leave_out(&mut self, server: &Arc<BackendInfo>, now: Duration) {
        if self.refusal(server, now).is_none() {
            // An earlier incarnation than the announced one spoke.
            return;
        }
        // Servers whose names never return would accumulate.
        if self.left_out.len() >= MAX_SERVERS {
            let table = &self.table;
            self.left_out.retain(|_, server| {
                let name = server.backend_server.as_str();
                !table.is_leaving(name, server.incarnation.0, now)
            });
        }
        let known = self.left_out.entry(server.key);
        let known = known.or_insert_with(|| Arc::clone(server));
        if known.incarnation < server.incarnation {
            *known = Arc::clone(server);
        }
    }

    fn update_next_pause_end(&mut self, now: Duration) {
        let left_out = self.left_out.values();
        let ends: Vec<Duration> = left_out
            .filter_map(|server| match self.refusal(server, now) {
                Some(NoNewRequests::Leaving) => None,
                Some(NoNewRequests::Paused { ends_at }) => Some(ends_at),
                // The pause ended just now.
                None => Some(now),
            })
            .collect();
        self.next_pause_end = ends.iter().min().copied();
        let paused = i64::try_from(ends.len()).unwrap_or(i64::MAX);
        self.metrics.set_paused(self.service.as_str(), paused);
    }

    fn log(&self, kind: &str, server: &BackendInfo, detail: Value) {
        let (service, name) = (self.service.as_str(), server.backend_server.as_str());
        log::info!("entry: {kind} {service} {name} {detail}");
        self.journal.record(kind, Some(service), Some(name), detail);
    }
}

const fn pause_end(refusal: Option<NoNewRequests>) -> Option<Duration> {
    match refusal {
        Some(NoNewRequests::Paused { ends_at }) => Some(ends_at),
        Some(NoNewRequests::Leaving) | None => None,
    }
}

/// Returns the text for the status page.
#[must_use]
pub fn describe(refusal: Option<NoNewRequests>, now: Duration) -> String {
    match refusal {
        None => "Open".to_owned(),
        Some(NoNewRequests::Leaving) => "Leaving".to_owned(),
        Some(NoNewRequests::Paused { ends_at }) => {
            let left = milliseconds(ends_at.saturating_sub(now));
            format!("Paused {{ ends_in_ms: {left} }}")
        }
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn stated_incarnation(headers: &HeaderMap) -> Option<Incarnation> {
    let stated = headers.get(INCARNATION_HEADER)?.to_str().ok()?;
    stated.parse().ok().map(Incarnation)
}
