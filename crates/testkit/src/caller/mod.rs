//! Test caller that follows the rules published for callers: it requests addresses from any entry instance,
//! caches them for their lifetime, connects to them directly, and resends only where the rules allow it.

mod addresses;
mod operation;
mod pool;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Result;
pub use bytes::Bytes;
use http_body_util::{BodyExt, Full};
pub use hyper::Method;
use hyper::body::Incoming;
use hyper::{Request, Response};
use radishpaddle_model::{OrganisationId, Outcome, Refusal, ResultCode};

pub use addresses::{
    ADDRESSES_PATH, AddressEntry, AddressResponse, ParseAddressesError, parse_addresses,
};
pub use operation::{Attempt, AttemptResult, Operation};

use crate::backend::digest;
use crate::clock::now_us;
use crate::history::AttemptRecorder;
use addresses::AddressResolver;
use pool::Pool;

/// Delay before a resend, so that callers do not overload a fleet that refuses requests.
const RESEND_DELAY: Duration = Duration::from_millis(20);

/// Time after the deadline during which a caller still waits for a refusal that reports the expired
/// deadline.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// Settings of a caller.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Entry instances to request addresses from.
    pub seeds: Vec<SocketAddr>,
    /// Organisation key; without it only open routes are served.
    pub key: Option<String>,
    /// Organisation that the key belongs to, for the recorded attempts.
    pub organisation: Option<OrganisationId>,
    /// Largest number of attempts per operation, including the first.
    pub max_attempts: u32,
    /// Idle time after which a connection is not reused, in milliseconds.
    pub keep_alive_ms: u64,
    /// Timeout of an address request, in milliseconds.
    pub address_request_timeout_ms: u64,
    /// Whether address responses with an address outside the loopback network are refused.
    pub loopback_only: bool,
    /// Whether the seeds are used in round-robin order without address requests, so that a test chooses the
    /// entry instance.
    pub seeds_only: bool,
}

/// Client of the fleet. It can run any number of operations concurrently.
#[derive(Debug)]
pub struct Caller {
    settings: CallerSettings,
    addresses: AddressResolver,
    pool: Pool,
    recorder: Option<AttemptRecorder>,
}

impl CallerSettings {
    /// Returns settings with three attempts, a keep-alive time of 5 s and an address request timeout of
    /// 1 s.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            key: None,
            organisation: None,
            max_attempts: 3,
            keep_alive_ms: 5_000,
            address_request_timeout_ms: 1_000,
            loopback_only: false,
            seeds_only: false,
        }
    }

    /// Sets the organisation and its key.
    #[must_use]
    pub fn with_key(mut self, organisation: OrganisationId, key: impl Into<String>) -> Self {
        self.organisation = Some(organisation);
        self.key = Some(key.into());
        self
    }
}

impl Caller {
    /// Creates a caller that adds every attempt to the recorder, if there is one.
    #[must_use]
    pub fn new(settings: CallerSettings, recorder: Option<AttemptRecorder>) -> Self {
        Self {
            addresses: AddressResolver::new(&settings),
            pool: Pool::new(Duration::from_millis(settings.keep_alive_ms)),
            settings,
            recorder,
        }
    }

    /// Runs an operation, resends it where the rules allow it, and returns the result of the last attempt.
    pub async fn perform(&self, operation: &Operation) -> AttemptResult {
        let deadline = Instant::now() + Duration::from_millis(operation.deadline_ms);
        let mut number = 1;
        loop {
            let attempt = self.attempt(operation, number, deadline).await;
            let told = attempt.told.clone();
            if let Some(recorder) = &self.recorder {
                recorder.record(attempt);
            }
            let before_deadline = Instant::now() + RESEND_DELAY < deadline;
            if number >= self.settings.max_attempts
                || !before_deadline
                || !may_resend(operation, &told)
            {
                return told;
            }
            tokio::time::sleep(RESEND_DELAY).await;
            number += 1;
        }
    }

    /// Runs a single attempt, without recording or resending it.
    pub async fn attempt(&self, operation: &Operation, number: u32, deadline: Instant) -> Attempt {
        let key = self.settings.key.as_deref();
        let entry = self.addresses.next(key, &operation.host).await;
        let sent_us = now_us();
        let (entry, told) = match entry {
            Ok(entry) => (
                Some(entry),
                self.send(entry, operation, number, deadline).await,
            ),
            Err(error) => (
                None,
                AttemptResult::NotSent {
                    error: error.to_string(),
                },
            ),
        };
        if let (Some(entry), AttemptResult::NotSent { .. } | AttemptResult::Broken { .. }) =
            (entry, &told)
        {
            self.addresses.mark_failed(entry);
        }
        Attempt {
            operation: operation.id.clone(),
            number,
            service: operation.service.clone(),
            organisation: self.settings.organisation.clone(),
            key: self.settings.key.clone(),
            open: operation.open,
            idempotent: operation.idempotent,
            idempotency_key: operation.idempotency_key.clone(),
            method: operation.method.to_string(),
            path: operation.path.clone(),
            entry,
            sent_us,
            received_us: now_us(),
            told,
        }
    }

    async fn send(
        &self,
        entry: SocketAddr,
        operation: &Operation,
        number: u32,
        deadline: Instant,
    ) -> AttemptResult {
        let time_left = deadline.saturating_duration_since(Instant::now());
        let request = match self.request(operation, number, time_left) {
            Ok(request) => request,
            Err(error) => {
                return AttemptResult::NotSent {
                    error: error.to_string(),
                };
            }
        };
        let exchange = self.exchange(entry, request);
        match tokio::time::timeout(time_left + DEADLINE_GRACE, exchange).await {
            Ok(told) => told,
            Err(_) => AttemptResult::Broken {
                error: "no complete response before the deadline".into(),
            },
        }
    }

    fn request(
        &self,
        operation: &Operation,
        number: u32,
        time_left: Duration,
    ) -> Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(operation.method.clone())
            .uri(&operation.path)
            .header("host", &operation.host)
            .header("x-deadline-ms", time_left.as_millis().to_string())
            .header("x-test-operation", format!("{}/{number}", operation.id));
        if let Some(key) = &self.settings.key {
            request = request.header("x-api-key", key);
        }
        if let Some(key) = &operation.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        Ok(request.body(Full::new(operation.body.clone()))?)
    }

    async fn exchange(&self, entry: SocketAddr, request: Request<Full<Bytes>>) -> AttemptResult {
        let mut connection = match self.pool.acquire(entry).await {
            Ok(connection) => connection,
            Err(error) => {
                return AttemptResult::NotSent {
                    error: error.to_string(),
                };
            }
        };
        let response = match connection.try_send_request(request).await {
            Ok(response) => response,
            // hyper returns the request only when no byte of it was written.
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let error = error.into_error().to_string();
                return if unsent {
                    AttemptResult::NotSent { error }
                } else {
                    AttemptResult::Broken { error }
                };
            }
        };
        let told = read_response(response).await;
        if !matches!(told, AttemptResult::Broken { .. }) {
            self.pool.release(entry, connection);
        }
        told
    }
}

async fn read_response(response: Response<Incoming>) -> AttemptResult {
    let (head, body) = response.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            return AttemptResult::Broken {
                error: error.to_string(),
            };
        }
    };
    let header = head.headers.get("x-result-code");
    let code = header.and_then(|value| value.to_str().ok()?.parse().ok());
    interpret_response(head.status.as_u16(), code, &body)
}

/// Derives the result of an attempt from the status, result code and body of a complete response.
#[must_use]
pub fn interpret_response(status: u16, code: Option<u16>, body: &[u8]) -> AttemptResult {
    let is_refusal = code.is_some_and(|code| code >= ResultCode::NoRoute.number());
    if !is_refusal {
        return AttemptResult::Answer {
            status,
            code,
            digest: digest(body),
            operation: operation_named_in(body),
        };
    }
    match serde_json::from_slice::<Refusal>(body) {
        Ok(refusal) if Some(refusal.code) == code => interpret_refusal(&refusal),
        _ => AttemptResult::Broken {
            error: format!("malformed refusal with status {status}"),
        },
    }
}

fn interpret_refusal(refusal: &Refusal) -> AttemptResult {
    let code = refusal.code;
    match refusal.outcome {
        Outcome::NotRun => AttemptResult::NotRun { code },
        Outcome::OutcomeUnknown => AttemptResult::OutcomeUnknown { code },
        Outcome::Done => AttemptResult::Broken {
            error: format!("refusal {code} reports the outcome \"done\""),
        },
    }
}

/// Returns the operation and attempt that a response of the sample backend server names.
fn operation_named_in(body: &[u8]) -> Option<String> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    value.get("operation")?.as_str().map(ToOwned::to_owned)
}

/// Returns whether the published rules allow another attempt of the operation.
#[must_use]
pub fn may_resend(operation: &Operation, told: &AttemptResult) -> bool {
    let repeatable = operation.idempotent || operation.idempotency_key.is_some();
    match told {
        AttemptResult::Answer { .. } => false,
        AttemptResult::NotSent { .. } => true,
        AttemptResult::NotRun { code } => is_temporary(*code),
        AttemptResult::OutcomeUnknown { code } => repeatable && !is_unresolvable(*code),
        AttemptResult::Broken { .. } => repeatable,
    }
}

/// Returns whether another attempt may succeed after a refusal with this code.
fn is_temporary(code: u16) -> bool {
    use ResultCode as Code;

    const TEMPORARY: &[ResultCode] = &[
        Code::NotFresh,
        Code::RateExceeded,
        Code::NoBackendServer,
        Code::Overloaded,
        Code::ClaimUnavailable,
        Code::Shed,
        Code::BackendUnreachable,
        Code::ClaimContended,
        Code::AllocationUnavailable,
        Code::Stopping,
    ];
    TEMPORARY.iter().any(|temporary| temporary.number() == code)
}

/// Returns whether a resend cannot resolve the unknown outcome that this code reports.
fn is_unresolvable(code: u16) -> bool {
    code == ResultCode::AnswerNotRecorded.number()
}
