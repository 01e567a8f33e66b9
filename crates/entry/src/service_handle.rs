//! Handle to the task of a service, and the messages between the task and its callers.

use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::{OrganisationId, ResultCode, ServiceDocument};
use radishpaddle_policy::budget::FailedAttempt;
use radishpaddle_policy::hedge::HedgeQuery;
use radishpaddle_policy::{
    Completion, DispatchId, EvidenceCell, RequestClass, ServerKey, VerdictUpdate,
};
use tokio::sync::{mpsc, oneshot};

use crate::backend_connection::BackendConnection;
use crate::backend_info::BackendInfo;
use crate::server_intake::ServerSignals;

/// Request for a backend server for one attempt.
#[derive(Debug)]
pub struct AcquireRequest {
    /// Organisation under which the request is queued.
    pub organisation: OrganisationId,
    /// Class for latency statistics and evidence.
    pub class: RequestClass,
    /// Weight of the route in the fair queue.
    pub weight: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Process time by which the complete response must have arrived.
    pub deadline: Duration,
    /// Servers that earlier attempts of the request have used.
    pub excluded: Vec<ServerKey>,
    /// Whether this is the first attempt of the request.
    pub is_first_attempt: bool,
}

/// Permission to send one attempt to a backend server. A grant that is dropped without
/// [`Grant::finish`] is recorded as a cancelled attempt.
#[derive(Debug)]
pub struct Grant {
    /// Granted backend server.
    pub server: Arc<BackendInfo>,
    /// Idle connection to the server, if there is one.
    pub connection: Option<BackendConnection>,
    /// Time after which a hedge may be requested; `None` if hedging is not possible.
    pub hedge_after: Option<Duration>,
    /// Reports the completion to the service task.
    pub(crate) reporter: CompletionReporter,
}

/// Reports the completion of an attempt to the service task, on drop as cancelled.
#[derive(Debug)]
pub(crate) struct CompletionReporter {
    pub(crate) server: Arc<BackendInfo>,
    pub(crate) dispatch: DispatchId,
    pub(crate) class: RequestClass,
    pub(crate) commands: mpsc::Sender<Command>,
    pub(crate) finished: bool,
}

/// Completion of an attempt.
#[derive(Debug)]
pub struct FinishedAttempt {
    pub(crate) dispatch: DispatchId,
    pub(crate) class: RequestClass,
    pub(crate) server: Arc<BackendInfo>,
    pub(crate) completion: Completion,
    pub(crate) connection: Option<BackendConnection>,
    pub(crate) signals: ServerSignals,
}

/// Reason why a request gets no backend server. It was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRun {
    /// Result code of the refusal.
    pub code: ResultCode,
    /// Time after which the caller should return, if that is known.
    pub retry_after: Option<Duration>,
}

impl From<ResultCode> for NotRun {
    fn from(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }
}

/// Whether a failed attempt is followed by another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The next attempt may start after this delay.
    After(Duration),
    /// There is no further attempt.
    Denied {
        /// Time after which the caller should return, if every backend server wants a pause.
        retry_after: Option<Duration>,
    },
}

pub(crate) type AcquireReplySender = oneshot::Sender<Result<Grant, NotRun>>;

/// Command for the task of a service.
pub(crate) enum Command {
    Configure(Arc<ServiceDocument>),
    SetServers(Vec<Arc<BackendInfo>>, usize),
    ApplyVerdicts(VerdictUpdate, Duration),
    SetOthersInFlight(Vec<(ServerKey, u32)>),
    AvoidPath(ServerKey),
    ReleaseShedRequest(ServerKey),
    Acquire(AcquireRequest, AcquireReplySender),
    Hedge(AcquireRequest, HedgeQuery, oneshot::Sender<Option<Grant>>),
    AttemptFinished(FinishedAttempt),
    Retry(FailedAttempt, RequestClass, oneshot::Sender<RetryDecision>),
    TakeEvidence(oneshot::Sender<Vec<EvidenceCell>>),
    Status(oneshot::Sender<ServiceStatus>),
}

/// Status of a service on this instance, for operators.
#[derive(Debug, Clone)]
#[derive(serde::Serialize)]
pub struct ServiceStatus {
    /// Number of queued requests.
    pub queued: usize,
    /// Number of slots of the backend servers that this instance may use.
    pub usable_slots: u32,
    /// Status of each backend server.
    pub servers: Vec<ServerStatus>,
}

/// Status of a backend server on this instance, for operators.
#[derive(Debug, Clone)]
#[derive(serde::Serialize)]
pub struct ServerStatus {
    /// Id of the server.
    pub backend_server: String,
    /// Address for requests.
    pub address: std::net::SocketAddr,
    /// Announced state of the server.
    pub state: radishpaddle_model::BackendState,
    /// Whether the server takes new requests, as its own responses to this instance say.
    pub intake: String,
    /// Number of requests in flight from this instance.
    pub in_flight: u32,
    /// Standing under the verdicts of the witness leader that are in force.
    pub standing: String,
    /// State of the network path from this instance to the server.
    pub path: String,
}

/// Handle to the task of a service. The task ends when the last handle is dropped.
#[derive(Debug, Clone)]
pub struct ServiceHandle {
    pub(crate) commands: mpsc::Sender<Command>,
}

impl Grant {
    /// Reports the completion of the attempt with the signals of the response, and returns the
    /// connection if it can be reused.
    pub async fn finish(
        self,
        completion: Completion,
        connection: Option<BackendConnection>,
        signals: ServerSignals,
    ) {
        self.reporter.finish(completion, connection, signals).await;
    }
}

impl CompletionReporter {
    async fn finish(
        mut self,
        completion: Completion,
        connection: Option<BackendConnection>,
        signals: ServerSignals,
    ) {
        self.finished = true;
        let finished = FinishedAttempt {
            connection,
            signals,
            ..self.finished(completion)
        };
        let _ = self.commands.send(Command::AttemptFinished(finished)).await;
    }

    fn finished(&self, completion: Completion) -> FinishedAttempt {
        FinishedAttempt {
            dispatch: self.dispatch,
            class: self.class,
            server: Arc::clone(&self.server),
            completion,
            connection: None,
            signals: ServerSignals::default(),
        }
    }
}

impl Drop for CompletionReporter {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let finished = Command::AttemptFinished(self.finished(Completion::Cancelled));
        if let Err(mpsc::error::TrySendError::Full(command)) = self.commands.try_send(finished) {
            // If the report were lost, the request would count as in flight for ever.
            let commands = self.commands.clone();
            if let Ok(runtime) = tokio::runtime::Handle::try_current() {
                runtime.spawn(async move {
                    let _ = commands.send(command).await;
                });
            }
        }
    }
}

impl ServiceHandle {
    /// Applies a changed service document.
    pub async fn configure(&self, document: Arc<ServiceDocument>) {
        let _ = self.commands.send(Command::Configure(document)).await;
    }

    /// Replaces the backend servers. `instances` is the number of serving entry instances.
    pub async fn set_servers(&self, servers: Vec<Arc<BackendInfo>>, instances: usize) {
        let _ = self
            .commands
            .send(Command::SetServers(servers, instances))
            .await;
    }

    /// Applies verdicts of the witness leader. `requested_at` is the process time at which the sync
    /// request was sent.
    pub async fn apply_verdicts(&self, update: VerdictUpdate, requested_at: Duration) {
        let command = Command::ApplyVerdicts(update, requested_at);
        let _ = self.commands.send(command).await;
    }

    /// Reports the number of requests that other instances have in flight at each server.
    pub async fn set_others_in_flight(&self, counts: Vec<(ServerKey, u32)>) {
        let _ = self.commands.send(Command::SetOthersInFlight(counts)).await;
    }

    /// Avoids a server that other instances reach but this one does not, according to the leader.
    pub async fn avoid_path(&self, server: ServerKey) {
        let _ = self.commands.send(Command::AvoidPath(server)).await;
    }

    /// Waits until a backend server is granted.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal. The request was not run.
    pub async fn acquire(&self, request: AcquireRequest) -> Result<Grant, NotRun> {
        let (reply, response) = oneshot::channel();
        let command = Command::Acquire(request, reply);
        if self.commands.send(command).await.is_err() {
            return Err(ResultCode::NoRoute.into());
        }
        response.await.unwrap_or(Err(ResultCode::NoRoute.into()))
    }

    /// Requests a second server for a request in flight; `None` if the hedge is not permitted.
    pub async fn hedge(&self, request: AcquireRequest, query: HedgeQuery) -> Option<Grant> {
        let (reply, response) = oneshot::channel();
        let command = Command::Hedge(request, query, reply);
        self.commands.send(command).await.ok()?;
        response.await.ok().flatten()
    }

    /// Requests a retry after a failed attempt.
    pub async fn request_retry(&self, failed: FailedAttempt, class: RequestClass) -> RetryDecision {
        const TASK_ENDED: RetryDecision = RetryDecision::Denied { retry_after: None };
        let (reply, response) = oneshot::channel();
        let command = Command::Retry(failed, class, reply);
        if self.commands.send(command).await.is_err() {
            return TASK_ENDED;
        }
        response.await.unwrap_or(TASK_ENDED)
    }

    /// Takes the evidence that was recorded since the last call.
    pub async fn take_evidence(&self) -> Vec<EvidenceCell> {
        let (reply, response) = oneshot::channel();
        let _ = self.commands.send(Command::TakeEvidence(reply)).await;
        response.await.unwrap_or_default()
    }

    /// Returns the status for operators; `None` if the task has ended.
    pub async fn status(&self) -> Option<ServiceStatus> {
        let (reply, response) = oneshot::channel();
        self.commands.send(Command::Status(reply)).await.ok()?;
        response.await.ok()
    }
}
