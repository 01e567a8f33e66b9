//! Relays requests to another gateway while this one reaches no backend server.
//!
//! Callers cache the addresses of gateways, and many do not repeat a request after a refusal. The other gateway treats a
//! relayed request like one of a caller: it checks the key, applies the rate limit, and answers for the outcome.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, StatusCode};
use serde::Serialize;
use tokio::time::{Instant, timeout_at};

use crate::answer_check::check_relayed_answer;
use crate::backend_connection::{BackendConnection, SendOutcome};
use crate::forward::ForwardRequest;
use crate::gateway::Shared;
use crate::response::{CallerResponse, Refusal};

/// Maximum number of gateways that are tried for one request.
pub(crate) const MAX_RELAYS: usize = 3;

/// Configuration version of the gateway that relays a request. One that uses an older configuration must not handle it:
/// the caller would see its gateway return to that configuration.
const CONFIG_VERSION: HeaderName = HeaderName::from_static("x-relay-config-version");

/// Remaining time below which a request is not relayed.
const MIN_RELAY_TIME: Duration = Duration::from_millis(15);

/// Entry of one relay attempt in the decision log.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct RelayRecord {
    /// Caller address of the other gateway.
    pub gateway: SocketAddr,
    /// Result label, as in the metric of relays.
    pub result: &'static str,
    /// Duration of the attempt in milliseconds.
    pub elapsed_ms: u64,
}

/// Outcome of relaying a request.
#[derive(Default)]
pub struct RelayOutcome {
    /// Answer of another gateway, or the refusal for the caller; `None` when the request reached no other gateway.
    pub answer: Option<Result<CallerResponse, Refusal>>,
    /// Attempts in the order in which they were made.
    pub records: Vec<RelayRecord>,
}

/// Result of sending a request to one gateway.
enum Relayed {
    /// The request ends with this outcome.
    Final(&'static str, Result<CallerResponse, Refusal>),
    /// Another gateway may be tried; the outcome counts if none answers.
    TryAnother(&'static str, Option<Result<CallerResponse, Refusal>>),
}

/// Request that is relayed.
pub(crate) struct Relay<'a> {
    pub(crate) shared: &'a Shared,
    pub(crate) request: &'a ForwardRequest,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Time by which the complete answer must have arrived.
    pub(crate) deadline: Instant,
}

/// Removes the configuration version of the gateway that relayed a request, and returns it.
pub(crate) fn take_config_version(headers: &mut HeaderMap) -> Option<u64> {
    headers.remove(CONFIG_VERSION)?.to_str().ok()?.parse().ok()
}

impl Relay<'_> {
    /// Sends the request to other gateways until one of them answers for its outcome.
    pub(crate) async fn run(&self) -> RelayOutcome {
        let mut outcome = RelayOutcome::default();
        for gateway in self.shared.choose_relays(MAX_RELAYS) {
            let started_at = Instant::now();
            if self.deadline.saturating_duration_since(started_at) < MIN_RELAY_TIME {
                break;
            }
            let relayed = timeout_at(self.deadline, self.send(gateway)).await;
            let relayed = relayed.unwrap_or(Relayed::Final("timed_out", Err(Refusal::TimedOut)));
            let (result, answer, is_final) = match relayed {
                Relayed::Final(result, answer) => (result, Some(answer), true),
                Relayed::TryAnother(result, answer) => (result, answer, false),
            };
            self.shared.metrics.record_relay(result);
            let elapsed_ms = u64::try_from(started_at.elapsed().as_millis());
            outcome.records.push(RelayRecord {
                gateway,
                result,
                elapsed_ms: elapsed_ms.unwrap_or(u64::MAX),
            });
            // An unknown outcome must not be replaced by a refusal that promises that the request was not run.
            if !matches!(outcome.answer, Some(Err(Refusal::OutcomeUnknown))) || is_final {
                outcome.answer = answer.or(outcome.answer);
            }
            if is_final {
                break;
            }
        }
        outcome
    }

    fn to_request(&self, remaining: Duration) -> Request<Full<Bytes>> {
        let instance = &self.shared.settings.instance;
        let headers = &self.shared.headers;
        let mut request = self.request.for_relay(instance, remaining, headers);
        let version = HeaderValue::from(self.shared.table().config().version);
        request.headers_mut().insert(CONFIG_VERSION, version);
        request
    }

    async fn send(&self, gateway: SocketAddr) -> Relayed {
        let remaining = || self.deadline.saturating_duration_since(Instant::now());
        let Ok(connection) = BackendConnection::open(gateway, remaining()).await else {
            return Relayed::TryAnother("not_connected", None);
        };
        let request = self.to_request(remaining());
        let headers = &self.shared.headers;
        let outcome = connection.send(request, self.shared.reception()).await;
        match check_relayed_answer(outcome, headers) {
            SendOutcome::Answered(mut answer, _) => {
                self.shared.record_relayed_intake(&mut answer);
                let not_run = answer.status == StatusCode::SERVICE_UNAVAILABLE;
                let response = Ok(CallerResponse::forwarded(answer, self.request.is_head()));
                if not_run {
                    Relayed::TryAnother("refused", Some(response))
                } else {
                    Relayed::Final("answered", response)
                }
            }
            SendOutcome::NotSent => Relayed::TryAnother("not_sent", None),
            SendOutcome::Unknown(_) if self.idempotent => {
                Relayed::TryAnother("connection_lost", Some(Err(Refusal::OutcomeUnknown)))
            }
            SendOutcome::Unknown(_) => {
                Relayed::Final("connection_lost", Err(Refusal::OutcomeUnknown))
            }
        }
    }
}
