//! Runs the attempts of one request: acquires a backend server, sends, hedges and retries. The
//! outcome is a complete response, or a result code that tells whether a backend server may have
//! run the request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hyper::StatusCode;
use radishpaddle_kernel::http_headers;
use radishpaddle_model::{Fingerprint, OrganisationId, ResultCode, ServiceDocument};
use radishpaddle_policy::budget::{AttemptFault, FailedAttempt};
use radishpaddle_policy::hedge::HedgeQuery;
use radishpaddle_policy::quarantine::Admission;
use radishpaddle_policy::{Completion, RequestClass, ServerKey, TicketId, TicketOutcome};
use tokio::time::Instant;

use crate::backend_connection::{
    AttemptFailure, AttemptOutcome, BackendConnection, BackendResponse,
};
use crate::backend_info::BackendInfo;
use crate::caller_response::CallerResponse;
use crate::clock::Clock;
use crate::forward::{API_KEY, ForwardRequest, ORGANISATION};
use crate::poison_task::{DispatchPermission, Loss, LostRequest, PoisonHandle, TicketClient};
use crate::server_intake::{INCARNATION_HEADER, LEAVING_HEADER, ServerSignals};
use crate::service_handle::{AcquireRequest, Grant, NotRun, RetryDecision, ServiceHandle};

/// Response header with which a backend server sheds a request, that is, refuses it without having
/// started it.
pub(crate) const SHED_HEADER: &str = "x-shed";

/// Inputs and state of the attempts of one request.
pub struct RequestExecutor {
    /// Document of the service.
    pub document: Arc<ServiceDocument>,
    /// Handle to the task of the service.
    pub service: ServiceHandle,
    /// Request to forward.
    pub request: ForwardRequest,
    /// Organisation under which the request is queued.
    pub organisation: OrganisationId,
    /// Class for latency statistics and evidence.
    pub class: RequestClass,
    /// Weight of the route in the fair queue.
    pub weight: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time by which the complete response must have arrived.
    pub deadline: Instant,
    /// Clock of the process.
    pub clock: Clock,
    /// Time limit for connecting to a backend server.
    pub connect_timeout: Duration,
    /// Number of attempts that may have run: their request was sent, and it is neither shed nor
    /// known to be unsent. Counts attempts that are cancelled in flight, too.
    pub possibly_executed: AtomicU32,
    /// Handle to the task that tracks requests which crash backend servers.
    pub poison: PoisonHandle,
    /// Client for tickets of suspect requests.
    pub tickets: TicketClient,
    /// Fingerprint under which crashes caused by the request are recorded.
    pub fingerprint: Fingerprint,
}

/// Outcome of all attempts of a request.
#[derive(Debug)]
pub enum RequestOutcome {
    /// A backend server returned a complete response.
    Answered(CallerResponse),
    /// No backend server has started the request.
    NotRun(NotRun),
    /// A backend server may have run the request.
    Unknown(ResultCode),
}

impl RequestOutcome {
    /// Adds the time after which the caller should return to a request that was not run.
    fn with_retry_after(self, retry_after: Option<Duration>) -> Self {
        match self {
            Self::NotRun(reason) => Self::NotRun(NotRun {
                retry_after,
                ..reason
            }),
            Self::Answered(_) | Self::Unknown(_) => self,
        }
    }
}

struct AttemptResult {
    server: Arc<BackendInfo>,
    outcome: AttemptOutcome,
}

impl RequestExecutor {
    /// Runs attempts until one returns a response or no further attempt is permitted.
    pub async fn run(&self) -> RequestOutcome {
        match self.run_attempts().await {
            // The last attempt did not run, but an earlier one or a cancelled hedge may have.
            RequestOutcome::NotRun(_) if self.possibly_executed.load(Ordering::Relaxed) > 0 => {
                RequestOutcome::Unknown(ResultCode::BackendFailed)
            }
            outcome => outcome,
        }
    }

    async fn run_attempts(&self) -> RequestOutcome {
        let mut tried = Vec::new();
        let mut attempts = 0;
        let mut ticket = match self.dispatch_permission().await {
            DispatchPermission::Run => None,
            DispatchPermission::Ticket(ticket, _) => Some(ticket),
            DispatchPermission::Refused => {
                return RequestOutcome::NotRun(ResultCode::Quarantined.into());
            }
        };
        loop {
            let grant = match self
                .service
                .acquire(self.acquire_request(&tried, attempts))
                .await
            {
                Ok(grant) => grant,
                Err(reason) if attempts == 0 || reason.retry_after.is_some() => {
                    return RequestOutcome::NotRun(reason);
                }
                Err(_) => return RequestOutcome::NotRun(ResultCode::Overloaded.into()),
            };
            let grant = Grant {
                hedge_after: grant.hedge_after.filter(|_| ticket.is_none()),
                ..grant
            };
            let (result, attempts_made) =
                self.attempt_with_hedge(grant, attempts, &mut tried).await;
            attempts += attempts_made;
            self.report_ticket_outcome(&result, ticket.take()).await;
            let failure = match self.classify_result(result) {
                Ok(outcome) => return outcome,
                Err(failure) => failure,
            };
            let failed = FailedAttempt {
                idempotent: self.idempotent,
                attempts,
                fault: failure.fault,
                answer_started: false,
                remaining: self.remaining(),
                expected_service: Duration::ZERO,
            };
            match self.service.request_retry(failed, self.class).await {
                RetryDecision::After(delay) => tokio::time::sleep(delay).await,
                RetryDecision::Denied { retry_after } => {
                    return failure.final_outcome.with_retry_after(retry_after);
                }
            }
            // The request may have become suspect through the failed attempt.
            ticket = match self.dispatch_permission().await {
                DispatchPermission::Run => None,
                DispatchPermission::Ticket(ticket, _) => Some(ticket),
                DispatchPermission::Refused => return failure.final_outcome,
            };
        }
    }

    /// Returns whether the request may be dispatched. Requests a ticket if it is suspect.
    async fn dispatch_permission(&self) -> DispatchPermission {
        if self.poison.is_empty() {
            return DispatchPermission::Run;
        }
        match self.poison.admit(self.fingerprint).await {
            Admission::Run => DispatchPermission::Run,
            Admission::NeedsTicket => {
                self.tickets
                    .request(self.fingerprint, self.remaining())
                    .await
            }
            Admission::Refuse { .. } => DispatchPermission::Refused,
        }
    }

    /// Reports a lost connection before the caller gets its response, and reports the outcome of
    /// the ticket to the witness leader.
    async fn report_ticket_outcome(&self, result: &AttemptResult, ticket: Option<TicketId>) {
        let moment = match result.outcome {
            AttemptOutcome::Unknown(AttemptFailure::ConnectionLost) => Some(Loss::BeforeResponse),
            AttemptOutcome::Unknown(AttemptFailure::AnswerCut) => Some(Loss::WithinResponse),
            _ => None,
        };
        let mut crash = None;
        if let Some(loss) = moment {
            let lost = LostRequest {
                server: Arc::clone(&result.server),
                fingerprint: self.fingerprint,
                ticket,
                loss,
            };
            crash = self.poison.report_lost_request(lost).await;
        }
        let Some(ticket) = ticket else {
            return;
        };
        let outcome = match &result.outcome {
            AttemptOutcome::Answered(response) if is_shed(response) => TicketOutcome::NotRun,
            AttemptOutcome::Answered(_) => TicketOutcome::Answered,
            AttemptOutcome::NotSent(_) => TicketOutcome::NotRun,
            AttemptOutcome::Unknown(_) => crash.map_or(TicketOutcome::Unknown, |crash| {
                TicketOutcome::Crashed { crash }
            }),
        };
        self.tickets
            .report_outcome(self.fingerprint, ticket, outcome)
            .await;
    }

    fn acquire_request(&self, tried: &[ServerKey], attempts: u32) -> AcquireRequest {
        AcquireRequest {
            organisation: self.organisation.clone(),
            class: self.class,
            weight: self.weight,
            idempotent: self.idempotent,
            deadline: self.clock.at(self.deadline),
            excluded: tried.to_vec(),
            is_first_attempt: attempts == 0,
        }
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Makes an attempt. If it is slow and a hedge is permitted, starts a second attempt at another
    /// server and cancels the slower one. Returns the result and the number of attempts made.
    async fn attempt_with_hedge(
        &self,
        grant: Grant,
        attempts: u32,
        tried: &mut Vec<ServerKey>,
    ) -> (AttemptResult, u32) {
        tried.push(grant.server.key);
        let hedge_after = grant.hedge_after;
        let first = self.attempt(grant);
        tokio::pin!(first);
        let Some(delay) = hedge_after else {
            return (first.await, 1);
        };
        let started_at = Instant::now();
        tokio::select! {
            result = &mut first => return (result, 1),
            () = tokio::time::sleep(delay) => (),
        }
        let query = HedgeQuery {
            idempotent: self.idempotent,
            objective: None,
            elapsed: started_at.elapsed(),
            remaining: self.remaining(),
            attempts: attempts + 1,
            in_flight: 0,
            slots: 0,
            other_server_free: true,
            stalled: false,
        };
        let request = self.acquire_request(tried, attempts + 1);
        let Some(hedge) = self.service.hedge(request, query).await else {
            return (first.await, 1);
        };
        tried.push(hedge.server.key);
        let second = self.attempt(hedge);
        tokio::pin!(second);
        tokio::select! {
            result = &mut first => (self.first_answered(result, second).await, 2),
            result = &mut second => (self.first_answered(result, first).await, 2),
        }
    }

    /// Returns `result` if it ends the request, else waits for the other attempt, whose server may be at work.
    async fn first_answered(
        &self,
        result: AttemptResult,
        other: impl Future<Output = AttemptResult>,
    ) -> AttemptResult {
        if self.ends_request(&result.outcome) {
            return result;
        }
        let other = other.await;
        if !self.ends_request(&other.outcome) && is_server_error(&result.outcome) {
            return result;
        }
        other
    }

    /// Whether an attempt ended with a response after which no other attempt could serve the request.
    fn ends_request(&self, outcome: &AttemptOutcome) -> bool {
        match outcome {
            AttemptOutcome::Answered(response) if is_shed(response) => false,
            AttemptOutcome::Answered(_) => !self.idempotent || !is_server_error(outcome),
            AttemptOutcome::NotSent(_) | AttemptOutcome::Unknown(_) => false,
        }
    }

    async fn attempt(&self, mut grant: Grant) -> AttemptResult {
        let server = Arc::clone(&grant.server);
        let connection = match grant.connection.take() {
            Some(connection) => Ok(connection),
            None => self.connect(&server).await,
        };
        let (outcome, connection) = match connection {
            Ok(connection) => {
                self.possibly_executed.fetch_add(1, Ordering::Relaxed);
                let (outcome, connection) = self.send(connection).await;
                if is_known_not_run(&outcome) {
                    self.possibly_executed.fetch_sub(1, Ordering::Relaxed);
                }
                (outcome, connection)
            }
            Err(failure) => (AttemptOutcome::NotSent(failure), None),
        };
        let signals = signals_of(&outcome);
        grant
            .finish(completion_of(&outcome), connection, signals)
            .await;
        AttemptResult { server, outcome }
    }

    async fn connect(&self, server: &BackendInfo) -> Result<BackendConnection, AttemptFailure> {
        let limit = self.connect_timeout.min(self.remaining());
        BackendConnection::open(server.address, limit).await
    }

    async fn send(
        &self,
        connection: BackendConnection,
    ) -> (AttemptOutcome, Option<BackendConnection>) {
        let request = self.request.for_attempt(self.remaining());
        let limit = usize::try_from(self.document.max_answer_bytes.0).unwrap_or(usize::MAX);
        connection.send(request, self.deadline, limit).await
    }

    fn caller_response(&self, mut response: BackendResponse) -> CallerResponse {
        http_headers::strip_response_headers(&mut response.headers, self.request.is_head());
        response.headers.remove(LEAVING_HEADER);
        response.headers.remove(INCARNATION_HEADER);
        response.headers.remove(API_KEY);
        response.headers.remove(ORGANISATION);
        CallerResponse {
            code: ResultCode::Answered,
            status: response.status,
            headers: response.headers,
            body: response.body,
        }
    }

    /// Returns the outcome of the request, or the failure after which a retry may be requested.
    fn classify_result(
        &self,
        result: AttemptResult,
    ) -> Result<RequestOutcome, Box<RetryableFailure>> {
        match result.outcome {
            AttemptOutcome::Answered(response) if is_shed(&response) => {
                Err(Box::new(RetryableFailure {
                    fault: AttemptFault::Shed,
                    final_outcome: RequestOutcome::NotRun(ResultCode::Shed.into()),
                }))
            }
            AttemptOutcome::Answered(response)
                if self.idempotent && response.status.is_server_error() =>
            {
                Err(Box::new(RetryableFailure {
                    fault: AttemptFault::ServerError,
                    final_outcome: RequestOutcome::Answered(self.caller_response(response)),
                }))
            }
            AttemptOutcome::Answered(response) => {
                Ok(RequestOutcome::Answered(self.caller_response(response)))
            }
            AttemptOutcome::NotSent(_) => Err(Box::new(RetryableFailure {
                fault: AttemptFault::ConnectFailed,
                final_outcome: RequestOutcome::NotRun(ResultCode::BackendUnreachable.into()),
            })),
            AttemptOutcome::Unknown(failure) => Err(Box::new(possibly_executed_failure(failure))),
        }
    }
}

/// A failed attempt that the retry budget may allow to be repeated.
struct RetryableFailure {
    fault: AttemptFault,
    /// Outcome of the request if there is no further attempt.
    final_outcome: RequestOutcome,
}

const fn possibly_executed_failure(failure: AttemptFailure) -> RetryableFailure {
    let (fault, code) = match failure {
        AttemptFailure::ConnectFailed | AttemptFailure::ConnectionLost => {
            (AttemptFault::ConnectionLost, ResultCode::BackendFailed)
        }
        AttemptFailure::TimedOut => (AttemptFault::TimedOut, ResultCode::BackendTimeout),
        AttemptFailure::AnswerCut | AttemptFailure::AnswerInvalid => {
            (AttemptFault::AnswerInvalid, ResultCode::AnswerInvalid)
        }
        AttemptFailure::AnswerTooLarge => (AttemptFault::AnswerInvalid, ResultCode::AnswerTooLarge),
    };
    RetryableFailure {
        fault,
        final_outcome: RequestOutcome::Unknown(code),
    }
}

fn is_known_not_run(outcome: &AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Answered(response) => is_shed(response),
        AttemptOutcome::NotSent(_) => true,
        AttemptOutcome::Unknown(_) => false,
    }
}

/// Whether the server ran the request and answered with an error of its own.
fn is_server_error(outcome: &AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::Answered(response) => {
            response.status.is_server_error() && !is_shed(response)
        }
        AttemptOutcome::NotSent(_) | AttemptOutcome::Unknown(_) => false,
    }
}

fn is_shed(response: &BackendResponse) -> bool {
    response.status == StatusCode::SERVICE_UNAVAILABLE && response.headers.contains_key(SHED_HEADER)
}

fn signals_of(outcome: &AttemptOutcome) -> ServerSignals {
    match outcome {
        AttemptOutcome::Answered(response) => {
            ServerSignals::of_response(response.status, &response.headers)
        }
        AttemptOutcome::NotSent(_) | AttemptOutcome::Unknown(_) => ServerSignals::default(),
    }
}

fn completion_of(outcome: &AttemptOutcome) -> Completion {
    match outcome {
        AttemptOutcome::Answered(response) if is_shed(response) => Completion::Shed,
        AttemptOutcome::Answered(response) => Completion::Answered {
            status: response.status.as_u16(),
        },
        AttemptOutcome::NotSent(_) => Completion::ConnectFailed,
        AttemptOutcome::Unknown(AttemptFailure::TimedOut) => Completion::TimedOut,
        // The server responded; the size limit comes from the service document. The attempt must
        // not count as a fault of the server.
        AttemptOutcome::Unknown(AttemptFailure::AnswerTooLarge) => {
            Completion::Answered { status: 200 }
        }
        AttemptOutcome::Unknown(AttemptFailure::AnswerCut | AttemptFailure::AnswerInvalid) => {
            Completion::Truncated
        }
        AttemptOutcome::Unknown(AttemptFailure::ConnectFailed | AttemptFailure::ConnectionLost) => {
            Completion::ConnectionLost
        }
    }
}
