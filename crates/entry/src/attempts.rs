//! Attempts of one request: pick a server, send, hedge, retry. The result is a complete answer or a
//! refusal that says truthfully whether the request may have run.

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

use crate::answer::Answer;
use crate::backend_connection::{Attempt, AttemptFailure, BackendAnswer, BackendConnection};
use crate::backend_info::BackendInfo;
use crate::clock::Clock;
use crate::forward::{API_KEY, ForwardRequest, ORGANISATION};
use crate::poison_task::{LostRequest, Permission, PoisonHandle, Tickets};
use crate::service_handle::{Acquire, Grant, ServiceHandle};

/// Header with which a backend server refuses a request that it has not started.
const SHED: &str = "x-shed";

/// Everything that the attempts of one request need.
pub struct RequestPlan {
    /// Document of the service.
    pub document: Arc<ServiceDocument>,
    /// Task of the service.
    pub service: ServiceHandle,
    /// What is sent.
    pub request: ForwardRequest,
    /// Organisation that the request is queued under.
    pub organisation: OrganisationId,
    /// Class of the request.
    pub class: RequestClass,
    /// Weight of the request kind.
    pub weight: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time by which the answer must be there.
    pub deadline: Instant,
    /// Local time.
    pub clock: Clock,
    /// Longest time to connect to a backend server.
    pub connect_timeout: Duration,
    /// Attempts that may have run: sent, and neither shed nor proved to be unsent.
    pub in_doubt: AtomicU32,
    /// Crashes of backend servers.
    pub poison: PoisonHandle,
    /// Tickets for suspect requests.
    pub tickets: Tickets,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
}

/// How the attempts of a request ended.
#[derive(Debug)]
pub enum RequestEnd {
    /// A backend server answered.
    Answered(Answer),
    /// No backend server started the request.
    NotRun(ResultCode),
    /// A backend server may have run the request.
    Unknown(ResultCode),
}

struct AttemptEnd {
    server: Arc<BackendInfo>,
    outcome: Attempt,
}

impl RequestPlan {
    /// Runs attempts until there is an answer or no further attempt is permitted.
    pub async fn run(&self) -> RequestEnd {
        match self.run_attempts().await {
            // A cancelled hedge or an earlier attempt may have run although the last one did not.
            RequestEnd::NotRun(_) if self.in_doubt.load(Ordering::Relaxed) > 0 => {
                RequestEnd::Unknown(ResultCode::BackendFailed)
            }
            end => end,
        }
    }

    async fn run_attempts(&self) -> RequestEnd {
        let mut tried = Vec::new();
        let mut attempts = 0;
        let mut ticket = match self.permission().await {
            Permission::Run => None,
            Permission::Ticket(ticket, _) => Some(ticket),
            Permission::Refused => return RequestEnd::NotRun(ResultCode::Quarantined),
        };
        loop {
            let grant = match self.service.acquire(self.acquire(&tried, attempts)).await {
                Ok(grant) => grant,
                Err(code) if attempts == 0 => return RequestEnd::NotRun(code),
                Err(_) => return RequestEnd::NotRun(ResultCode::Overloaded),
            };
            let grant = Grant {
                hedge_after: grant.hedge_after.filter(|_| ticket.is_none()),
                ..grant
            };
            let (end, made) = self.attempt_with_hedge(grant, attempts, &mut tried).await;
            attempts += made;
            self.end_ticket(&end, ticket.take()).await;
            let fault = match self.conclude(end) {
                Ok(end) => return end,
                Err(fault) => fault,
            };
            let failed = FailedAttempt {
                idempotent: self.idempotent,
                attempts,
                fault: fault.fault,
                answer_started: false,
                remaining: self.remaining(),
                expected_service: Duration::ZERO,
            };
            let Some(delay) = self.service.retry(failed, self.class).await else {
                return fault.end;
            };
            tokio::time::sleep(delay).await;
            // The failed attempt may have made the request suspect.
            ticket = match self.permission().await {
                Permission::Run => None,
                Permission::Ticket(ticket, _) => Some(ticket),
                Permission::Refused => return fault.end,
            };
        }
    }

    /// Whether the request may be dispatched now, under a ticket if it is suspect.
    async fn permission(&self) -> Permission {
        if self.poison.is_empty() {
            return Permission::Run;
        }
        match self.poison.admit(self.fingerprint).await {
            Admission::Run => Permission::Run,
            Admission::NeedsTicket => self.tickets.ask(self.fingerprint, self.remaining()).await,
            Admission::Refuse { .. } => Permission::Refused,
        }
    }

    /// Reports a lost connection before the caller is answered, and gives the ticket back.
    async fn end_ticket(&self, end: &AttemptEnd, ticket: Option<TicketId>) {
        let lost = matches!(
            end.outcome,
            Attempt::Unknown(AttemptFailure::ConnectionLost)
        );
        let mut crash = None;
        if lost {
            let lost = LostRequest {
                server: Arc::clone(&end.server),
                fingerprint: self.fingerprint,
                ticket,
            };
            crash = self.poison.lost(lost).await;
        }
        let Some(ticket) = ticket else {
            return;
        };
        let outcome = match &end.outcome {
            Attempt::Answered(answer) if is_shed(answer) => TicketOutcome::NotRun,
            Attempt::Answered(_) => TicketOutcome::Answered,
            Attempt::NotSent(_) => TicketOutcome::NotRun,
            Attempt::Unknown(_) => crash.map_or(TicketOutcome::Unknown, |crash| {
                TicketOutcome::Crashed { crash }
            }),
        };
        self.tickets.finish(self.fingerprint, ticket, outcome).await;
    }

    fn acquire(&self, tried: &[ServerKey], attempts: u32) -> Acquire {
        Acquire {
            organisation: self.organisation.clone(),
            class: self.class,
            weight: self.weight,
            idempotent: self.idempotent,
            deadline: self.clock.at(self.deadline),
            exclude: tried.to_vec(),
            first: attempts == 0,
        }
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// One attempt, and a second one to another server when the first one is slow and the hedge is
    /// permitted. The slower one is cancelled. Returns the number of attempts made.
    async fn attempt_with_hedge(
        &self,
        grant: Grant,
        attempts: u32,
        tried: &mut Vec<ServerKey>,
    ) -> (AttemptEnd, u32) {
        tried.push(grant.server.key);
        let hedge_after = grant.hedge_after;
        let first = self.attempt(grant);
        tokio::pin!(first);
        let Some(delay) = hedge_after else {
            return (first.await, 1);
        };
        let started_at = Instant::now();
        tokio::select! {
            end = &mut first => return (end, 1),
            () = tokio::time::sleep(delay) => (),
        }
        let query = HedgeQuery {
            idempotent: self.idempotent,
            elapsed: started_at.elapsed(),
            remaining: self.remaining(),
            attempts: attempts + 1,
            in_flight: 0,
            slots: 0,
            other_server_free: true,
        };
        let request = self.acquire(tried, attempts + 1);
        let Some(hedge) = self.service.hedge(request, query).await else {
            return (first.await, 1);
        };
        tried.push(hedge.server.key);
        let second = self.attempt(hedge);
        tokio::pin!(second);
        tokio::select! {
            end = &mut first => (self.prefer(end, second).await, 2),
            end = &mut second => (self.prefer(end, first).await, 2),
        }
    }

    /// The first complete answer; when the first end is a failure the other attempt decides.
    async fn prefer(&self, end: AttemptEnd, other: impl Future<Output = AttemptEnd>) -> AttemptEnd {
        match end.outcome {
            Attempt::Answered(_) => end,
            _ => other.await,
        }
    }

    async fn attempt(&self, mut grant: Grant) -> AttemptEnd {
        let server = Arc::clone(&grant.server);
        let connection = match grant.connection.take() {
            Some(connection) => Ok(connection),
            None => self.connect(&server).await,
        };
        let (outcome, connection) = match connection {
            Ok(connection) => {
                self.in_doubt.fetch_add(1, Ordering::Relaxed);
                let (outcome, connection) = self.send(connection).await;
                if provably_not_run(&outcome) {
                    self.in_doubt.fetch_sub(1, Ordering::Relaxed);
                }
                (outcome, connection)
            }
            Err(failure) => (Attempt::NotSent(failure), None),
        };
        grant.finish(completion(&outcome), connection).await;
        AttemptEnd { server, outcome }
    }

    async fn connect(&self, server: &BackendInfo) -> Result<BackendConnection, AttemptFailure> {
        let limit = self.connect_timeout.min(self.remaining());
        BackendConnection::open(server.address, limit).await
    }

    async fn send(&self, connection: BackendConnection) -> (Attempt, Option<BackendConnection>) {
        let request = self.request.attempt(self.remaining());
        let limit = usize::try_from(self.document.max_answer_bytes.0).unwrap_or(usize::MAX);
        connection.send(request, self.deadline, limit).await
    }

    fn answered(&self, mut answer: BackendAnswer) -> Answer {
        http_headers::strip_answer(&mut answer.headers, self.request.is_head());
        answer.headers.remove(API_KEY);
        answer.headers.remove(ORGANISATION);
        Answer {
            code: ResultCode::Answered,
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
        }
    }

    /// The end of the request, or the fault after which a retry may be asked for.
    fn conclude(&self, end: AttemptEnd) -> Result<RequestEnd, Box<Fault>> {
        match end.outcome {
            Attempt::Answered(answer) if is_shed(&answer) => Err(Box::new(Fault {
                fault: AttemptFault::Shed,
                end: RequestEnd::NotRun(ResultCode::Shed),
            })),
            Attempt::Answered(answer) if self.idempotent && answer.status.as_u16() >= 500 => {
                Err(Box::new(Fault {
                    fault: AttemptFault::ServerError,
                    end: RequestEnd::Answered(self.answered(answer)),
                }))
            }
            Attempt::Answered(answer) => Ok(RequestEnd::Answered(self.answered(answer))),
            Attempt::NotSent(_) => Err(Box::new(Fault {
                fault: AttemptFault::ConnectFailed,
                end: RequestEnd::NotRun(ResultCode::BackendUnreachable),
            })),
            Attempt::Unknown(failure) => Err(Box::new(unknown(failure))),
        }
    }
}

struct Fault {
    fault: AttemptFault,
    end: RequestEnd,
}

const fn unknown(failure: AttemptFailure) -> Fault {
    let (fault, code) = match failure {
        AttemptFailure::ConnectFailed | AttemptFailure::ConnectionLost => {
            (AttemptFault::ConnectionLost, ResultCode::BackendFailed)
        }
        AttemptFailure::TimedOut => (AttemptFault::TimedOut, ResultCode::BackendTimeout),
        AttemptFailure::AnswerInvalid => (AttemptFault::AnswerInvalid, ResultCode::AnswerInvalid),
        AttemptFailure::AnswerTooLarge => (AttemptFault::AnswerInvalid, ResultCode::AnswerTooLarge),
    };
    Fault {
        fault,
        end: RequestEnd::Unknown(code),
    }
}

fn provably_not_run(outcome: &Attempt) -> bool {
    match outcome {
        Attempt::Answered(answer) => is_shed(answer),
        Attempt::NotSent(_) => true,
        Attempt::Unknown(_) => false,
    }
}

fn is_shed(answer: &BackendAnswer) -> bool {
    answer.status == StatusCode::SERVICE_UNAVAILABLE && answer.headers.contains_key(SHED)
}

fn completion(outcome: &Attempt) -> Completion {
    match outcome {
        Attempt::Answered(answer) if is_shed(answer) => Completion::Shed,
        Attempt::Answered(answer) => Completion::Answered {
            status: answer.status.as_u16(),
        },
        Attempt::NotSent(_) => Completion::ConnectFailed,
        Attempt::Unknown(AttemptFailure::TimedOut) => Completion::TimedOut,
        // The server worked; the limit is the document's.
        Attempt::Unknown(AttemptFailure::AnswerTooLarge) => Completion::Answered { status: 200 },
        Attempt::Unknown(AttemptFailure::AnswerInvalid) => Completion::Truncated,
        Attempt::Unknown(AttemptFailure::ConnectFailed | AttemptFailure::ConnectionLost) => {
            Completion::ConnectionLost
        }
    }
}
