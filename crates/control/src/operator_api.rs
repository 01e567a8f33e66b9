//! HTTP API for operators: services, API keys, changes and status.

use std::io::Read as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::{Result, anyhow};
use radishpaddle_consensus::submissions::{Submission, SubmissionResult};
use radishpaddle_kernel::Journal;
use radishpaddle_model::{
    Change, KeyHash, KeyId, OrganisationId, Refusal, ResultCode, Revision, ServiceDocument,
    ServiceId, SubmissionId,
};
use rouille::{Request, Response, Server};
use serde::Deserialize;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::runtime::Handle;
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::control_state::{ControlState, LogCommand};
use crate::diff;
use crate::distribution::DistributionView;
use crate::replica::{ReplicaError, ReplicaHandle};
use crate::settings::OperatorSettings;

/// Number of threads that handle operator requests. A submission occupies one until it is in force.
const SERVER_THREADS: usize = 16;

/// Maximum size of a request body, in bytes. Below the size limit of a log entry.
const MAX_BODY_BYTES: u64 = 200 << 10;

/// Period in which the server checks whether it has to stop.
const STOP_POLL_PERIOD: Duration = Duration::from_millis(50);

/// Timeout of a commit or a linearizable read.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time for which a request waits until its committed change is in force. After it the response is 202.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of changes in a listing, newest first.
const MAX_LISTED_CHANGES: usize = 200;

/// Dependencies of the request handlers.
pub struct OperatorApi {
    /// Handle to the replica of this instance.
    pub replica: ReplicaHandle,
    /// Progress of the distribution of the configuration.
    pub distribution: watch::Receiver<DistributionView>,
    /// Operators that may use the API.
    pub operators: Vec<OperatorSettings>,
    /// Journal in which submissions are recorded.
    pub journal: Journal,
    /// Runtime on which the blocking server threads run async calls.
    pub runtime: Handle,
}

/// Handle to the HTTP server of the operator API. Dropping it stops the server without waiting.
pub struct OperatorServer {
    address: SocketAddr,
    stopping: CancellationToken,
    /// Resolves when the server has answered every request.
    ended: oneshot::Receiver<()>,
}

/// Response to a request; an error holds the response that refuses it.
type HandlerResult = Result<Response, Response>;

impl OperatorServer {
    /// Binds the address and starts the server threads.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(address: SocketAddr, api: OperatorApi) -> Result<Self> {
        let stopping = CancellationToken::new();
        let in_progress = TaskTracker::new();
        let (api_stopping, api_in_progress) = (stopping.clone(), in_progress.clone());
        let handle = move |request: &Request| {
            if api_stopping.is_cancelled() {
                return error_response(ResultCode::NotLeader, "this instance is stopping");
            }
            let _in_progress = api_in_progress.token();
            api.handle(request)
        };
        let server = Server::new(address, handle)
            .map_err(|error| anyhow!("operator address {address}: {error}"))?
            .pool_size(SERVER_THREADS);
        let address = server.server_addr();
        let (end, ended) = oneshot::channel();
        let server_stopping = stopping.clone();
        thread::spawn(move || {
            // Requests that arrive while others are still in progress are refused, not left unanswered.
            while !server_stopping.is_cancelled() || !in_progress.is_empty() {
                server.poll_timeout(STOP_POLL_PERIOD);
            }
            server.join();
            let _ = end.send(());
        });
        Ok(Self {
            address,
            stopping,
            ended,
        })
    }

    /// Stops the server. Requests in progress are answered, until `deadline` at the latest; new ones
    /// are refused.
    pub async fn stop(mut self, deadline: Instant) {
        self.stopping.cancel();
        if timeout_at(deadline, &mut self.ended).await.is_err() {
            log::warn!("control: the stop deadline has passed with operator requests in progress");
        }
    }

    /// Returns the bound address, with the port chosen by the operating system if the port was 0.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for OperatorServer {
    fn drop(&mut self) {
        self.stopping.cancel();
    }
}

/// Body of `POST /v1/keys`.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GiveKey {
    key_id: KeyId,
    organisation: OrganisationId,
    key_hash: KeyHash,
}

impl OperatorApi {
    fn handle(&self, request: &Request) -> Response {
        self.route(request).unwrap_or_else(|error| error)
    }

    fn route(&self, request: &Request) -> HandlerResult {
        let operator = self.authenticate(request)?;
        let url = request.url();
        let path: Vec<&str> = url.trim_matches('/').split('/').collect();
        match (request.method(), path.as_slice()) {
            ("GET", ["v1", "services"]) => Ok(json_response(&list_services(&*self.read_state()?))),
            ("GET", ["v1", "services", service]) => self.show_service(service),
            ("PUT", ["v1", "services", service]) => self.put_service(request, &operator, service),
            ("POST", ["v1", "services", service, "diff"]) => self.diff_service(request, service),
            ("DELETE", ["v1", "services", service]) => {
                let change = Change::RemoveService {
                    service: parse_id(service)?,
                };
                self.submit(request, &operator, change)
            }
            ("GET", ["v1", "keys"]) => Ok(json_response(&list_keys(&*self.read_state()?))),
            ("POST", ["v1", "keys"]) => {
                let key: GiveKey = parse_body(request)?;
                let change = Change::AddKey {
                    key_id: key.key_id,
                    organisation: key.organisation,
                    hash: key.key_hash,
                };
                self.submit(request, &operator, change)
            }
            ("DELETE", ["v1", "keys", key_id]) => {
                let change = Change::WithdrawKey {
                    key_id: parse_id(key_id)?,
                };
                self.submit(request, &operator, change)
            }
            ("GET", ["v1", "changes"]) => {
                let state = self.read_state()?;
                let changes: Vec<_> = state
                    .submissions
                    .recent_changes()
                    .take(MAX_LISTED_CHANGES)
                    .collect();
                Ok(json_response(&json!({"changes": changes})))
            }
            ("GET", ["v1", "status"]) => Ok(json_response(&self.status())),
            _ => Err(error_response(ResultCode::NotFound, "no such path")),
        }
    }

    /// Returns the name of the operator to whom the bearer token of the request belongs.
    fn authenticate(&self, request: &Request) -> Result<Arc<str>, Response> {
        let token = request
            .header("Authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .unwrap_or_default();
        let digest = Sha256::digest(token)
            .iter()
            .fold(String::new(), |text, byte| text + &format!("{byte:02x}"));
        let has_token =
            |operator: &&OperatorSettings| operator.token_sha256.eq_ignore_ascii_case(&digest);
        let operator = self.operators.iter().find(has_token);
        operator
            .map(|operator| Arc::clone(&operator.name))
            .ok_or_else(|| {
                let message = "the operator token is missing or wrong";
                error_response(ResultCode::Unauthorised, message)
            })
    }

    /// Reads a state that contains every acknowledged change.
    fn read_state(&self) -> Result<Arc<ControlState>, Response> {
        let read = async { tokio::time::timeout(COMMIT_TIMEOUT, self.replica.read()).await };
        match self.runtime.block_on(read) {
            Ok(Ok(state)) => Ok(state),
            Ok(Err(error)) => Err(self.replica_error_response(error)),
            Err(_) => Err(error_response(
                ResultCode::NotLeader,
                "no quorum of control instances answered in time",
            )),
        }
    }

    fn show_service(&self, service: &str) -> HandlerResult {
        let service: ServiceId = parse_id(service)?;
        let state = self.read_state()?;
        let entry = state.config().services.get(&service);
        let entry = entry.ok_or_else(|| error_response(ResultCode::NotFound, "no such service"))?;
        Ok(json_response(&json!(entry)))
    }

    fn put_service(&self, request: &Request, operator: &str, service: &str) -> HandlerResult {
        let document = parse_document(request, service)?;
        let change = Change::PutService {
            document: Arc::new(document),
        };
        self.submit(request, operator, change)
    }

    fn diff_service(&self, request: &Request, service: &str) -> HandlerResult {
        let document = parse_document(request, service)?;
        let state = self.read_state()?;
        let current = state.config().services.get(&document.service);
        let before = current.map_or(Value::Null, |entry| json!(entry.document));
        let differences = diff::differences(&before, &json!(document));
        let revision = state.config().service_revision(&document.service);
        Ok(json_response(
            &json!({"revision": revision, "differences": differences}),
        ))
    }

    fn submit(&self, request: &Request, operator: &str, change: Change) -> HandlerResult {
        let id: SubmissionId = parse_id(header(request, "X-Submission-Id")?)?;
        let replaces = match &change {
            Change::PutService { .. } | Change::RemoveService { .. } => {
                let text = header(request, "X-Replaces-Revision")?;
                text.parse().map_err(|_| {
                    let message = "X-Replaces-Revision is not a number";
                    error_response(ResultCode::DocumentInvalid, message)
                })?
            }
            Change::AddKey { .. } | Change::WithdrawKey { .. } => Revision(0),
        };
        let submission = Submission {
            id,
            replaces,
            change,
        };
        let result = self.commit(submission.clone())?;
        self.journal.record(
            "submission",
            None,
            Some(submission.id.as_str()),
            json!({"operator": operator, "result": format!("{result:?}")}),
        );
        match result {
            SubmissionResult::Committed { revision } => Ok(self.wait_in_force(revision)),
            refused => Err(submission_error_response(&refused)),
        }
    }

    fn commit(&self, submission: Submission) -> Result<SubmissionResult, Response> {
        let command = LogCommand::Submit(submission);
        let proposed =
            async { tokio::time::timeout(COMMIT_TIMEOUT, self.replica.propose(command)).await };
        match self.runtime.block_on(proposed) {
            Ok(Ok(Some(result))) => Ok(result),
            Ok(Ok(None) | Err(ReplicaError::Unknown)) | Err(_) => Err(error_response(
                ResultCode::CommitUnknown,
                "the submission may or may not be committed; send it again with the same id",
            )),
            Ok(Err(error)) => Err(self.replica_error_response(error)),
        }
    }

    /// Waits until a committed revision is in force, for at most [`IN_FORCE_TIMEOUT`], and builds the response.
    fn wait_in_force(&self, revision: Revision) -> Response {
        let mut distribution = self.distribution.clone();
        let in_force = async {
            distribution
                .wait_for(|view| view.in_force >= revision)
                .await
                .is_ok()
        };
        let waited = async { tokio::time::timeout(IN_FORCE_TIMEOUT, in_force).await };
        let is_in_force = self.runtime.block_on(waited).unwrap_or(false);
        let code = if is_in_force {
            ResultCode::InForce
        } else {
            ResultCode::Committed
        };
        let view = self.distribution.borrow().clone();
        let body = json!({
            "code": code.number(),
            "name": code.name(),
            "revision": revision,
            "spread": distribution_json(&view),
        });
        with_result_code(json_response(&body), code)
    }

    fn status(&self) -> Value {
        let view = self.replica.view();
        let members: Vec<Value> = view
            .membership
            .members
            .iter()
            .map(|(id, member)| {
                json!({"replica": id.to_string(), "address": member.address,
                       "role": format!("{:?}", member.role)})
            })
            .collect();
        json!({
            "replica": view.id.to_string(),
            "role": format!("{:?}", view.role),
            "term": view.term,
            "leader": view.leader,
            "applied_index": view.applied_index,
            "revision": view.state.config().revision,
            "generation": view.state.generation,
            "storage_works": view.storage_works,
            "members": members,
            "spread": distribution_json(&self.distribution.borrow()),
        })
    }

    fn replica_error_response(&self, error: ReplicaError) -> Response {
        match error {
            ReplicaError::NotLeader => {
                let leader = self.replica.view().leader;
                let message = match &leader {
                    Some(leader) => {
                        format!("the leader is the instance with peer address {leader}")
                    }
                    None => "there is no leader now".to_owned(),
                };
                error_response(ResultCode::NotLeader, &message)
            }
            ReplicaError::TooLarge => {
                error_response(ResultCode::DocumentInvalid, "the submission is too large")
            }
            ReplicaError::Busy => {
                error_response(ResultCode::NotLeader, "too many submissions wait")
            }
            ReplicaError::Unknown => {
                error_response(ResultCode::CommitUnknown, "leadership was lost")
            }
            ReplicaError::StorageFailed => error_response(
                ResultCode::StorageFailed,
                "the data directory of this instance cannot be written",
            ),
        }
    }
}

fn submission_error_response(result: &SubmissionResult) -> Response {
    let message = match result {
        SubmissionResult::RevisionConflict { current } => {
            format!("the current revision is {current}")
        }
        SubmissionResult::KeyNotNew => "the key id or the key is or was in use".to_owned(),
        SubmissionResult::HostTaken => "another service has one of the hosts".to_owned(),
        SubmissionResult::NotFound => "there is nothing by that name".to_owned(),
        SubmissionResult::IdReused => {
            "the submission id belongs to a different submission".to_owned()
        }
        SubmissionResult::Committed { .. } => String::new(),
    };
    error_response(result.code(), &message)
}

fn distribution_json(view: &DistributionView) -> Value {
    let witnesses: Vec<Value> = view
        .witnesses
        .values()
        .map(|status| {
            json!({"instance": status.instance, "revision": status.revision,
                   "generation": status.generation, "recovering": status.recovering})
        })
        .collect();
    let members: Vec<Value> = view
        .members
        .iter()
        .map(|(instance, revision)| json!({"instance": instance, "revision": revision}))
        .collect();
    json!({"in_force": view.in_force, "witnesses": witnesses, "members": members})
}

fn list_services(state: &ControlState) -> Value {
    let services: Vec<Value> = state
        .config()
        .services
        .values()
        .map(|entry| json!(entry))
        .collect();
    json!({"revision": state.config().revision, "services": services})
}

fn list_keys(state: &ControlState) -> Value {
    let keys: Vec<Value> = state
        .config()
        .keys
        .iter()
        .map(|(hash, key)| {
            json!({"key_id": key.key_id, "organisation": key.organisation,
                   "hash_prefix": hash.prefix()})
        })
        .collect();
    json!({"revision": state.config().revision, "keys": keys})
}

fn parse_document(request: &Request, service: &str) -> Result<ServiceDocument, Response> {
    let document: ServiceDocument = parse_body(request)?;
    if document.service.as_str() != service {
        let message = format!(
            "service is {:?}; allowed: the service of the path, {service:?}",
            document.service.as_str()
        );
        return Err(error_response(ResultCode::DocumentInvalid, &message));
    }
    document.check().map_err(|errors| {
        let problems: Vec<String> = errors.iter().map(ToString::to_string).collect();
        error_response(ResultCode::DocumentInvalid, &problems.join("; "))
    })?;
    Ok(document)
}

fn parse_body<T: for<'a> Deserialize<'a>>(request: &Request) -> Result<T, Response> {
    let mut text = String::new();
    let read = request
        .data()
        .map(|body| body.take(MAX_BODY_BYTES + 1).read_to_string(&mut text));
    let invalid = |message: &str| error_response(ResultCode::DocumentInvalid, message);
    match read {
        Some(Ok(_)) if text.len() as u64 > MAX_BODY_BYTES => {
            Err(invalid("the body is larger than 200 KiB"))
        }
        Some(Ok(_)) => {
            let mut deserializer = serde_json::Deserializer::from_str(&text);
            serde_path_to_error::deserialize(&mut deserializer)
                .map_err(|error| invalid(&format!("{}: {}", error.path(), error.inner())))
        }
        _ => Err(invalid("the body cannot be read as text")),
    }
}

fn parse_id<T: std::str::FromStr<Err: std::fmt::Display>>(text: &str) -> Result<T, Response> {
    text.parse()
        .map_err(|error: T::Err| error_response(ResultCode::DocumentInvalid, &error.to_string()))
}

fn header<'a>(request: &'a Request, name: &str) -> Result<&'a str, Response> {
    request.header(name).ok_or_else(|| {
        let message = format!("the header {name} is missing");
        error_response(ResultCode::DocumentInvalid, &message)
    })
}

fn json_response(value: &Value) -> Response {
    Response::from_data("application/json", format!("{value:#}\n"))
}

fn error_response(code: ResultCode, message: &str) -> Response {
    with_result_code(json_response(&json!(Refusal::new(code, message))), code)
}

fn with_result_code(response: Response, code: ResultCode) -> Response {
    response
        .with_status_code(code.http_status())
        .with_additional_header("X-Result-Code", code.number().to_string())
}
