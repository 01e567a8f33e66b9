//! Handle to the task of one service, and the grants that it gives out.

use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::{OrganisationId, ResultCode, ServiceDocument};
use radishpaddle_policy::budget::FailedAttempt;
use radishpaddle_policy::hedge::HedgeQuery;
use radishpaddle_policy::{Cell, Completion, DispatchId, RequestClass, ServerKey, VerdictUpdate};
use tokio::sync::{mpsc, oneshot};

use crate::backend_connection::BackendConnection;
use crate::backend_info::BackendInfo;

/// Request for a backend server.
#[derive(Debug)]
pub struct Acquire {
    /// Organisation that the request is queued under.
    pub organisation: OrganisationId,
    /// Class of the request.
    pub class: RequestClass,
    /// Weight of the request kind.
    pub weight: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Local time by which the answer must be there.
    pub deadline: Duration,
    /// Servers that were tried before.
    pub exclude: Vec<ServerKey>,
    /// Whether this is the first attempt of the request.
    pub first: bool,
}

/// A backend server for one attempt. Dropping it without [`Grant::finish`] counts as cancelled.
#[derive(Debug)]
pub struct Grant {
    /// The server.
    pub server: Arc<BackendInfo>,
    /// An idle connection, if there is one.
    pub connection: Option<BackendConnection>,
    /// Time after which a hedge may be asked for.
    pub hedge_after: Option<Duration>,
    pub(crate) report: GrantReport,
}

/// Tells the service task how the attempt of a grant ended.
#[derive(Debug)]
pub(crate) struct GrantReport {
    pub(crate) server: ServerKey,
    pub(crate) dispatch: DispatchId,
    pub(crate) class: RequestClass,
    pub(crate) commands: mpsc::Sender<Command>,
    pub(crate) finished: bool,
}

/// End of an attempt.
#[derive(Debug)]
pub struct Finished {
    pub(crate) dispatch: DispatchId,
    pub(crate) class: RequestClass,
    pub(crate) server: ServerKey,
    pub(crate) completion: Completion,
    pub(crate) connection: Option<BackendConnection>,
}

pub(crate) type AcquireReply = oneshot::Sender<Result<Grant, ResultCode>>;

/// Work for the task of a service.
pub(crate) enum Command {
    Configure(Arc<ServiceDocument>),
    Servers(Vec<Arc<BackendInfo>>, usize),
    Verdicts(VerdictUpdate, Duration),
    OthersInFlight(Vec<(ServerKey, u32)>),
    AvoidPath(ServerKey),
    ShedOver(ServerKey),
    Acquire(Acquire, AcquireReply),
    Hedge(Acquire, HedgeQuery, oneshot::Sender<Option<Grant>>),
    Finished(Finished),
    Retry(
        FailedAttempt,
        RequestClass,
        oneshot::Sender<Option<Duration>>,
    ),
    Drain(oneshot::Sender<Vec<Cell>>),
    Status(oneshot::Sender<ServiceStatus>),
}

/// What an operator sees of a service on this instance.
#[derive(Debug, Clone)]
#[derive(serde::Serialize)]
pub struct ServiceStatus {
    /// Requests that wait for a backend server.
    pub queued: usize,
    /// Slots that this instance may use.
    pub usable_slots: u32,
    /// Backend servers with their requests in flight from here and their standing.
    pub servers: Vec<ServerStatus>,
}

/// What an operator sees of a backend server on this instance.
#[derive(Debug, Clone)]
#[derive(serde::Serialize)]
pub struct ServerStatus {
    /// Name.
    pub backend_server: String,
    /// Address.
    pub address: std::net::SocketAddr,
    /// Announced state.
    pub state: radishpaddle_model::BackendState,
    /// Requests in flight from this instance.
    pub in_flight: u32,
    /// Standing by the verdicts in force.
    pub standing: String,
    /// Path state at this instance.
    pub path: String,
}

/// Handle to the task of one service; the task ends when the last handle is dropped.
#[derive(Debug, Clone)]
pub struct ServiceHandle {
    pub(crate) commands: mpsc::Sender<Command>,
}

impl Grant {
    /// Reports how the attempt ended and gives the connection back if it can be used again.
    pub async fn finish(self, completion: Completion, connection: Option<BackendConnection>) {
        self.report.finish(completion, connection).await;
    }
}

impl GrantReport {
    async fn finish(mut self, completion: Completion, connection: Option<BackendConnection>) {
        self.finished = true;
        let finished = self.finished(completion, connection);
        let _ = self.commands.send(Command::Finished(finished)).await;
    }

    fn finished(&self, completion: Completion, connection: Option<BackendConnection>) -> Finished {
        Finished {
            dispatch: self.dispatch,
            class: self.class,
            server: self.server,
            completion,
            connection,
        }
    }
}

impl Drop for GrantReport {
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let finished = Command::Finished(self.finished(Completion::Cancelled, None));
        if let Err(mpsc::error::TrySendError::Full(command)) = self.commands.try_send(finished) {
            // A lost report would leave the request in flight for ever.
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
    /// Takes a changed document into force.
    pub async fn configure(&self, document: Arc<ServiceDocument>) {
        let _ = self.commands.send(Command::Configure(document)).await;
    }

    /// Replaces the backend servers; `instances` is the number of serving entry instances.
    pub async fn set_servers(&self, servers: Vec<Arc<BackendInfo>>, instances: usize) {
        let _ = self
            .commands
            .send(Command::Servers(servers, instances))
            .await;
    }

    /// Applies the verdicts of the leader to a request that was sent at `requested_at`.
    pub async fn apply_verdicts(&self, update: VerdictUpdate, requested_at: Duration) {
        let command = Command::Verdicts(update, requested_at);
        let _ = self.commands.send(command).await;
    }

    /// Sets the requests that other instances have in flight.
    pub async fn set_others_in_flight(&self, counts: Vec<(ServerKey, u32)>) {
        let _ = self.commands.send(Command::OthersInFlight(counts)).await;
    }

    /// Avoids a server whose path is broken only from here, on advice of the leader.
    pub async fn avoid_path(&self, server: ServerKey) {
        let _ = self.commands.send(Command::AvoidPath(server)).await;
    }

    /// Waits for a backend server.
    ///
    /// # Errors
    ///
    /// The result code says why there is none; the request was not run.
    pub async fn acquire(&self, request: Acquire) -> Result<Grant, ResultCode> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Acquire(request, reply);
        if self.commands.send(command).await.is_err() {
            return Err(ResultCode::NoRoute);
        }
        answer.await.unwrap_or(Err(ResultCode::NoRoute))
    }

    /// Asks for a second server for a request in flight.
    pub async fn hedge(&self, request: Acquire, query: HedgeQuery) -> Option<Grant> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Hedge(request, query, reply);
        self.commands.send(command).await.ok()?;
        answer.await.ok().flatten()
    }

    /// Asks whether a failed attempt may be followed by another one, and after which delay.
    pub async fn retry(&self, failed: FailedAttempt, class: RequestClass) -> Option<Duration> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Retry(failed, class, reply);
        self.commands.send(command).await.ok()?;
        answer.await.ok().flatten()
    }

    /// Takes the evidence of the period.
    pub async fn drain_evidence(&self) -> Vec<Cell> {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Drain(reply)).await;
        answer.await.unwrap_or_default()
    }

    /// State for operators.
    pub async fn status(&self) -> Option<ServiceStatus> {
        let (reply, answer) = oneshot::channel();
        self.commands.send(Command::Status(reply)).await.ok()?;
        answer.await.ok()
    }
}
