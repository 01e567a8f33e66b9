//! What the answers of backend servers say about new requests, and its effect on this gateway.

use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};
use radishpaddle_kernel::incarnation::unix_ms;
use radishpaddle_kernel::{LogSampling, boot_clock};
use radishpaddle_model::ServerIncarnation;
use radishpaddle_policy::AnswerSource;
use radishpaddle_policy::intake::{NoNewRequests, PauseChange, RetryAfter, spread_retry_after};
use serde_json::json;

use crate::backend_connection::BackendAnswer;
use crate::forward::Headers;
use crate::gateway::Shared;
use crate::pool::ChosenServer;

/// Value of the header of a server that is leaving.
const LEAVING: &[u8] = b"1";

/// What an answer says about new requests at its server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StatedIntake {
    /// The server is leaving.
    pub leaving: bool,
    /// The server wants a pause that is longer than zero.
    pub pause: Option<RetryAfter>,
    /// Number of values that should state a pause and are not valid.
    pub ignored: u64,
}

impl StatedIntake {
    /// Reads the headers of an answer. Status 421 says that the answer comes from another server, and only status 503
    /// asks for a pause.
    #[must_use]
    pub fn of(status: StatusCode, headers: &HeaderMap, names: &Headers) -> Self {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Self::default();
        }
        let (pause, ignored) = if status == StatusCode::SERVICE_UNAVAILABLE {
            let values = headers.get_all(&names.retry_after).iter();
            RetryAfter::longest(values.map(HeaderValue::as_bytes))
        } else {
            (None, 0)
        };
        Self {
            leaving: is_leaving(headers, names),
            pause: pause.filter(|pause| !pause.length().is_zero()),
            ignored,
        }
    }
}

/// Source of an answer: the start that it states, or the one that is known from its connection.
#[must_use]
pub fn answer_source(
    from_connection: AnswerSource,
    headers: &HeaderMap,
    names: &Headers,
) -> AnswerSource {
    match stated_start(headers, names) {
        Some(started_at_ms) => AnswerSource::stated(ServerIncarnation {
            started_at_ms,
            ..from_connection.earliest
        }),
        None => from_connection,
    }
}

fn stated_start(headers: &HeaderMap, names: &Headers) -> Option<u64> {
    let name = names.started_at.as_ref()?;
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn is_leaving(headers: &HeaderMap, names: &Headers) -> bool {
    let mut values = headers.get_all(&names.leaving).iter();
    values.any(|value| value.as_bytes() == LEAVING)
}

impl Shared {
    /// Records what an answer of a server said about new requests.
    pub(crate) fn record_intake(
        &self,
        from_connection: AnswerSource,
        answer: &BackendAnswer,
    ) -> StatedIntake {
        let source = answer_source(from_connection, &answer.headers, &self.headers);
        let stated = StatedIntake::of(answer.status, &answer.headers, &self.headers);
        self.metrics.retry_after_ignored.inc_by(stated.ignored);
        if stated.leaving {
            self.record_leaving(&source, "answer");
        }
        if let Some(pause) = stated.pause {
            self.record_pause(&source, pause);
        }
        stated
    }

    /// Removes the name of the server from an answer that another gateway passed on. Whoever passes on that a server is
    /// leaving sends no more requests to it, so this gateway records it too. A pause binds only the other gateway.
    pub(crate) fn record_relayed_intake(&self, answer: &mut BackendAnswer) {
        let server = answer.headers.remove(&self.headers.served_by);
        let server = server.and_then(|value| value.to_str().ok()?.parse().ok());
        if let Some(server) = server
            && is_leaving(&answer.headers, &self.headers)
        {
            // The other gateway opened its connection to the server before the answer arrived here.
            let source = AnswerSource::of_connection(server, unix_ms());
            let source = answer_source(source, &answer.headers, &self.headers);
            self.record_leaving(&source, "relayed_answer");
        }
    }

    fn record_leaving(&self, source: &AnswerSource, received: &'static str) {
        if !self
            .pools()
            .record_leaving(source.clone(), boot_clock::now())
        {
            return;
        }
        self.metrics.leaving.inc();
        let server = &source.earliest;
        self.log
            .record("backend_server_leaving", LogSampling::Each, || {
                json!({"backend_server": server.name, "started_at_ms": server.started_at_ms,
                   "latest_start_ms": source.latest_start_ms, "source": received})
            });
    }

    fn record_pause(&self, source: &AnswerSource, pause: RetryAfter) {
        let now = boot_clock::now();
        let server = &source.earliest;
        let change = self.pools().record_pause(source.clone(), pause, now);
        let (ends_at, sampling) = match change {
            Some(PauseChange::Begun { ends_at }) => {
                self.metrics.pauses.inc();
                (ends_at, LogSampling::Each)
            }
            Some(PauseChange::Extended { ends_at }) => (ends_at, LogSampling::Sample),
            None => return,
        };
        self.log.record("backend_server_paused", sampling, || {
            json!({"backend_server": server.name, "started_at_ms": server.started_at_ms,
                   "retry_after_ms": milliseconds(pause.length()),
                   "ends_in_ms": milliseconds(ends_at.saturating_sub(now)),
                   "extended": sampling == LogSampling::Sample})
        });
    }

    /// Writes a log line if the server was selected for the first time after a pause.
    pub(crate) fn log_resumed(&self, chosen: &ChosenServer) {
        let Some(ended_at) = chosen.pause_ended_at else {
            return;
        };
        let ended_for = boot_clock::now().saturating_sub(ended_at);
        self.log.record("backend_server_resumed", LogSampling::Each, || {
            json!({"backend_server": chosen.server.name, "started_at_ms": chosen.server.started_at_ms,
                   "pause_ended_ms_ago": milliseconds(ended_for)})
        });
    }

    /// Whether a server is leaving.
    #[must_use]
    pub fn is_leaving(&self, server: &ServerIncarnation) -> bool {
        self.no_new_requests(server) == Some(NoNewRequests::Leaving)
    }

    /// Why a server gets no new requests; `None` when it gets some.
    pub(crate) fn no_new_requests(&self, server: &ServerIncarnation) -> Option<NoNewRequests> {
        self.pools().no_new_requests(server, boot_clock::now())
    }

    /// Time after which a caller should return that was refused because servers are paused or cold.
    pub(crate) fn retry_after_pause(&self, first_pause_ends_at: Duration) -> Duration {
        spread_retry_after(first_pause_ends_at, boot_clock::now(), self.random())
    }

    /// Updates the gauge of paused servers.
    pub(crate) fn count_paused_servers(&self) {
        let paused = self.pools().paused_servers(boot_clock::now());
        let paused = i64::try_from(paused).unwrap_or(i64::MAX);
        self.metrics.paused_servers.set(paused);
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
