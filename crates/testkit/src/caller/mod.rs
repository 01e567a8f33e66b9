//! A caller that follows the published rules: it asks any instance for addresses, keeps the answer for
//! its lifetime, connects itself, and resends where the rules allow it.

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
    ADDRESSES_PATH, AddressAnswer, AddressEntry, ParseAddressesError, parse_addresses,
};
pub use operation::{Attempt, Operation, Told};

use crate::backend::digest;
use crate::clock::now_us;
use crate::history::Recorder;
use addresses::Addresses;
use pool::Pool;

/// Pause before a resend, so that callers do not press on a fleet that refuses.
const RESEND_PAUSE: Duration = Duration::from_millis(20);

/// Time after the deadline during which a caller still waits for the refusal that reports it.
const DEADLINE_SLACK: Duration = Duration::from_millis(250);

/// Settings of a caller.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Instances to ask for addresses.
    pub seeds: Vec<SocketAddr>,
    /// Organisation key; without it only open routes answer.
    pub key: Option<String>,
    /// Organisation that the key proves, for the records.
    pub organisation: Option<OrganisationId>,
    /// Attempts of one operation, the first included.
    pub max_attempts: u32,
    /// Idle time after which a connection is not used again, in milliseconds.
    pub keep_alive_ms: u64,
    /// Longest time for an address request, in milliseconds.
    pub ask_timeout_ms: u64,
    /// Refuses address responses that name an address outside the loopback network.
    pub loopback_only: bool,
    /// Uses the seeds in turn instead of asking for addresses, so that a test chooses the instance.
    pub seeds_only: bool,
}

/// A caller of the fleet. It may run any number of operations at the same time.
#[derive(Debug)]
pub struct Caller {
    settings: CallerSettings,
    addresses: Addresses,
    pool: Pool,
    recorder: Option<Recorder>,
}

impl CallerSettings {
    /// Settings with three attempts and a keep-alive time of 5 s.
    #[must_use]
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            key: None,
            organisation: None,
            max_attempts: 3,
            keep_alive_ms: 5_000,
            ask_timeout_ms: 1_000,
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
    /// Caller that writes every attempt to the recorder, if there is one.
    #[must_use]
    pub fn new(settings: CallerSettings, recorder: Option<Recorder>) -> Self {
        Self {
            addresses: Addresses::new(&settings),
            pool: Pool::new(Duration::from_millis(settings.keep_alive_ms)),
            settings,
            recorder,
        }
    }

    /// Runs an operation with the resends that the rules allow and returns what the last attempt was
    /// told.
    pub async fn perform(&self, operation: &Operation) -> Told {
        let deadline = Instant::now() + Duration::from_millis(operation.deadline_ms);
        let mut number = 1;
        loop {
            let attempt = self.attempt(operation, number, deadline).await;
            let told = attempt.told.clone();
            if let Some(recorder) = &self.recorder {
                recorder.attempt(attempt);
            }
            let time_left = Instant::now() + RESEND_PAUSE < deadline;
            if number >= self.settings.max_attempts || !time_left || !may_resend(operation, &told) {
                return told;
            }
            tokio::time::sleep(RESEND_PAUSE).await;
            number += 1;
        }
    }

    /// Runs one attempt without recording or resending it.
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
                Told::NotSent {
                    error: error.to_string(),
                },
            ),
        };
        if let (Some(entry), Told::NotSent { .. } | Told::Broken { .. }) = (entry, &told) {
            self.addresses.avoid(entry);
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
    ) -> Told {
        let left = deadline.saturating_duration_since(Instant::now());
        let request = match self.request(operation, number, left) {
            Ok(request) => request,
            Err(error) => {
                return Told::NotSent {
                    error: error.to_string(),
                };
            }
        };
        let exchange = self.exchange(entry, request);
        match tokio::time::timeout(left + DEADLINE_SLACK, exchange).await {
            Ok(told) => told,
            Err(_) => Told::Broken {
                error: "no response before the deadline".into(),
            },
        }
    }

    fn request(
        &self,
        operation: &Operation,
        number: u32,
        left: Duration,
    ) -> Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(operation.method.clone())
            .uri(&operation.path)
            .header("host", &operation.host)
            .header("x-deadline-ms", left.as_millis().to_string())
            .header("x-test-operation", format!("{}/{number}", operation.id));
        if let Some(key) = &self.settings.key {
            request = request.header("x-api-key", key);
        }
        if let Some(key) = &operation.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        Ok(request.body(Full::new(operation.body.clone()))?)
    }

    async fn exchange(&self, entry: SocketAddr, request: Request<Full<Bytes>>) -> Told {
        let mut connection = match self.pool.take(entry).await {
            Ok(connection) => connection,
            Err(error) => {
                return Told::NotSent {
                    error: error.to_string(),
                };
            }
        };
        let response = match connection.try_send_request(request).await {
            Ok(response) => response,
            // The request comes back only when no byte of it was written.
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let error = error.into_error().to_string();
                return if unsent {
                    Told::NotSent { error }
                } else {
                    Told::Broken { error }
                };
            }
        };
        let told = read(response).await;
        if !matches!(told, Told::Broken { .. }) {
            self.pool.put(entry, connection);
        }
        told
    }
}

async fn read(response: Response<Incoming>) -> Told {
    let (head, body) = response.into_parts();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            return Told::Broken {
                error: error.to_string(),
            };
        }
    };
    let header = head.headers.get("x-result-code");
    let code = header.and_then(|value| value.to_str().ok()?.parse().ok());
    interpret(head.status.as_u16(), code, &body)
}

/// What a complete response tells a caller, from its status, result code and body.
#[must_use]
pub fn interpret(status: u16, code: Option<u16>, body: &[u8]) -> Told {
    let is_refusal = code.is_some_and(|code| code >= ResultCode::NoRoute.number());
    if !is_refusal {
        return Told::Answer {
            status,
            code,
            digest: digest(body),
            operation: operation_in(body),
        };
    }
    match serde_json::from_slice::<Refusal>(body) {
        Ok(refusal) if Some(refusal.code) == code => refused(&refusal),
        _ => Told::Broken {
            error: format!("malformed refusal with status {status}"),
        },
    }
}

fn refused(refusal: &Refusal) -> Told {
    let code = refusal.code;
    match refusal.outcome {
        Outcome::NotRun => Told::NotRun { code },
        Outcome::OutcomeUnknown => Told::OutcomeUnknown { code },
        Outcome::Done => Told::Broken {
            error: format!("refusal {code} with outcome done"),
        },
    }
}

fn operation_in(body: &[u8]) -> Option<String> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    value.get("operation")?.as_str().map(ToOwned::to_owned)
}

/// Whether the published rules allow to send the operation again.
#[must_use]
pub fn may_resend(operation: &Operation, told: &Told) -> bool {
    let repeatable = operation.idempotent || operation.idempotency_key.is_some();
    match told {
        Told::Answer { .. } => false,
        Told::NotSent { .. } => true,
        Told::NotRun { code } => is_temporary(*code),
        Told::OutcomeUnknown { code } => repeatable && !is_final(*code),
        Told::Broken { .. } => repeatable,
    }
}

/// Refusals that another attempt may not meet.
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
    ];
    TEMPORARY.iter().any(|temporary| temporary.number() == code)
}

/// Unknown outcomes that a resend cannot resolve.
fn is_final(code: u16) -> bool {
    code == ResultCode::AnswerNotRecorded.number()
}
