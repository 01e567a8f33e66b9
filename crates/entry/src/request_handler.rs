//! Handles a request of a caller: finds service and route, authenticates the caller, applies the
//! rate limit, claims the action, and runs the attempts.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HOST};
use hyper::http::request::Parts;
use radishpaddle_kernel::PlannedStop;
use radishpaddle_kernel::ambiguity::is_ambiguous;
use radishpaddle_model::{
    Access, Fingerprint as PoisonFingerprint, FleetConfig, OrganisationId, OrganisationKey,
    Outcome, ResultCode, Route, ServiceDocument, ServiceId,
};
use radishpaddle_policy::RequestClass;
use radishpaddle_quorum::allocation::LimitKey;
use radishpaddle_quorum::claim::ClaimDecision;
use tokio::time::Instant;

use crate::admission_task::AdmissionHandle;
use crate::attempts::{RequestExecutor, RequestOutcome};
use crate::caller_response::CallerResponse;
use crate::claims::{Claim, ClaimClient, ClaimOutcome, claim_key, decode_response, fingerprint};
use crate::clock::Clock;
use crate::config_store::{ConfigStore, organisation_for_key, service_for_host};
use crate::fleet_view::FleetViewReceiver;
use crate::forward::{
    API_KEY, DEADLINE_MS, ForwardRequest, IDEMPOTENCY_KEY, contains_active_key,
    contains_presented_key, presented_key, presents_two_keys,
};
use crate::metrics::{RequestLabels, RequestMetrics};
use crate::poison_task::{PoisonHandle, TicketClient};
use crate::refusal_log::RefusalLog;
use crate::services::Services;
use crate::settings::EntrySettings;

/// Organisation under which requests on open routes are queued and claimed. Service documents
/// cannot use this name.
const OPEN_ORGANISATION: &str = radishpaddle_model::document::OPEN_ORGANISATION;

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Shared state that every request needs.
pub struct RequestHandler {
    /// Settings of the instance.
    pub settings: Arc<EntrySettings>,
    /// Configuration that this instance has applied.
    pub config: ConfigStore,
    /// State of the fleet from the last polls.
    pub fleet: FleetViewReceiver,
    /// Handles of the service tasks.
    pub services: Services,
    /// Client for claims on actions.
    pub claims: ClaimClient,
    /// Handle to the task with the rate allocations.
    pub admission: AdmissionHandle,
    /// Handle to the task that tracks requests which crash backend servers.
    pub poison: PoisonHandle,
    /// Client for tickets of suspect requests.
    pub tickets: TicketClient,
    /// Metrics of the request path.
    pub metrics: RequestMetrics,
    /// Writes refusals to the journal.
    pub refusal_log: RefusalLog,
    /// Clock of the process.
    pub clock: Clock,
    /// Generator of request ids.
    pub request_ids: RequestIdGenerator,
    /// Planned stop of the instance.
    pub stop: Arc<PlannedStop>,
}

/// Generates request ids that are unique across instances and restarts.
pub struct RequestIdGenerator {
    prefix: String,
    next: AtomicU64,
}

impl RequestIdGenerator {
    /// Creates the generator for one incarnation of an instance.
    #[must_use]
    pub fn new(instance: &str, incarnation: u64) -> Self {
        Self {
            prefix: format!("{instance}-{incarnation:x}"),
            next: AtomicU64::new(1),
        }
    }

    /// Returns the next id.
    #[must_use]
    pub fn next(&self) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.prefix)
    }
}

/// Service, route and caller of a request.
struct ResolvedRequest {
    service: ServiceId,
    document: Arc<ServiceDocument>,
    route: Route,
    organisation: Option<OrganisationId>,
    key: Option<OrganisationKey>,
}

/// Request that has passed all checks before its first attempt.
enum PreparedRequest {
    /// Run the attempts, under the claim if the request is an action.
    Run(Box<RequestExecutor>, Option<Box<Claim>>),
    /// Return the response of an earlier attempt with the same idempotency key.
    Replay(CallerResponse),
}

/// Result code and message of a refusal.
type Rejection = (ResultCode, &'static str);

impl RequestHandler {
    /// Handles a request. Every outcome, errors included, is a response with a result code.
    pub async fn handle(&self, request: Request<Incoming>, request_id: &str) -> CallerResponse {
        let started_at = Instant::now();
        self.metrics.in_progress.inc();
        let (parts, body) = request.into_parts();
        let config = self.config.current();
        let resolved = Self::resolve(&config, &parts);
        let fresh = self.fleet.borrow().is_fresh(self.clock.now());
        let response = match &resolved {
            _ if !fresh => CallerResponse::refusal(
                ResultCode::NotFresh,
                "this instance cannot confirm that its configuration is current",
            ),
            Ok(resolved) => {
                self.serve(resolved, parts, body, started_at, request_id)
                    .await
            }
            Err((code, message)) => CallerResponse::refusal(*code, *message),
        };
        self.metrics.in_progress.dec();
        let labels = resolved.as_ref().map(metric_labels).unwrap_or_default();
        self.metrics
            .record_finished(labels, response.code, started_at.elapsed());
        if response.code.outcome() != Outcome::Done {
            let now = self.clock.now();
            self.refusal_log.record(labels, &response, request_id, now);
        }
        if let ResultCode::Stopping | ResultCode::Stopped = response.code {
            self.log_stop_refusal(labels, response.code, request_id, started_at);
        }
        response
    }

    /// Logs a request that a planned stop refused or ended. The journal is lost with the process.
    fn log_stop_refusal(
        &self,
        labels: RequestLabels<'_>,
        code: ResultCode,
        request_id: &str,
        started_at: Instant,
    ) {
        let begun_at = self.stop.begun_at();
        let since_signal = begun_at.map_or(Duration::ZERO, |begun_at| begun_at.elapsed());
        log::warn!(
            "entry: planned stop: request {request_id} of {} on route {}/{} ends with {code} after {} ms, {} ms \
             after the stop signal",
            labels.organisation,
            labels.service,
            labels.route,
            started_at.elapsed().as_millis(),
            since_signal.as_millis(),
        );
    }

    /// Finds service and route and authenticates the caller. Runs also while this instance is not
    /// fresh, because the metrics of the refusal are labelled with the result.
    fn resolve(config: &FleetConfig, parts: &Parts) -> Result<ResolvedRequest, Rejection> {
        let host =
            request_host(parts).ok_or((ResultCode::BadRequest, "the Host header is missing"))?;
        refuse_ambiguous(parts)?;
        let (service, document) = service_for_host(config, &host)
            .ok_or((ResultCode::NoRoute, "no service has this host"))?;
        let route = document
            .route(parts.uri.path())
            .ok_or((ResultCode::NoRoute, "no route of the service has this path"))?;
        let method = parts.method.as_str();
        if !route.methods.iter().any(|allowed| &**allowed == method) {
            let message = "the route does not take this method";
            return Err((ResultCode::MethodNotAllowed, message));
        }
        let (organisation, key) = authenticate(config, document, route, parts)?;
        if contains_active_key(&parts.uri, |hash| config.keys.contains_key(hash)) {
            let message = "path or query contain an organisation key";
            return Err((ResultCode::BadRequest, message));
        }
        Ok(ResolvedRequest {
            service: service.clone(),
            document: Arc::clone(document),
            route: route.clone(),
            organisation,
            key,
        })
    }

    async fn serve(
        &self,
        resolved: &ResolvedRequest,
        parts: Parts,
        body: Incoming,
        started_at: Instant,
        request_id: &str,
    ) -> CallerResponse {
        let served = self.try_serve(resolved, parts, body, started_at, request_id);
        match served.await {
            Ok(response) => response,
            Err((code, message)) => CallerResponse::refusal(code, message),
        }
    }

    async fn try_serve(
        &self,
        resolved: &ResolvedRequest,
        parts: Parts,
        body: Incoming,
        started_at: Instant,
        request_id: &str,
    ) -> Result<CallerResponse, Rejection> {
        let prepared = tokio::select! {
            biased;
            prepared = self.prepare(resolved, parts, body, started_at, request_id) => prepared?,
            () = self.stop.requests_end() => {
                return Err((ResultCode::Stopping, not_run_message(ResultCode::Stopping)));
            }
        };
        match prepared {
            PreparedRequest::Run(executor, claim) => {
                Ok(run_to_completion(executor, claim, Arc::clone(&self.stop)).await)
            }
            PreparedRequest::Replay(response) => Ok(response),
        }
    }

    /// Checks a request, waits for its rate token and claims it if it is an action.
    async fn prepare(
        &self,
        resolved: &ResolvedRequest,
        parts: Parts,
        body: Incoming,
        started_at: Instant,
        request_id: &str,
    ) -> Result<PreparedRequest, Rejection> {
        let deadline = started_at + request_timeout(&resolved.route, &parts)?;
        let idempotency_key = idempotency_key(&resolved.route, &parts)?;
        let body = self.read_body(body, &resolved.document, deadline).await?;
        if let Some(key) = &resolved.key
            && contains_presented_key(&parts.uri, &body, key)
        {
            let message = "path or body contain the organisation key";
            return Err((ResultCode::BadRequest, message));
        }
        if !self.stop.can_finish(deadline) {
            let message = "the instance is stopping and ends before the deadline of the request";
            return Err((ResultCode::Stopping, message));
        }
        let request = ForwardRequest::new(
            parts,
            body,
            resolved.key.as_ref(),
            resolved.organisation.as_ref(),
            request_id,
        );
        let service = self
            .services
            .get(&resolved.service)
            .ok_or((ResultCode::NoRoute, "the service was removed"))?;
        let organisation = resolved
            .organisation
            .clone()
            .unwrap_or_else(open_organisation);
        if resolved.organisation.is_some() {
            self.acquire_rate_token(resolved, &organisation, deadline)
                .await?;
        }
        let (method, path, body) = request.fingerprint_input();
        let poison_fingerprint = PoisonFingerprint::of(
            resolved
                .organisation
                .as_ref()
                .map_or("", OrganisationId::as_str),
            resolved.service.as_str(),
            method,
            path,
            body,
        );
        let claim = match idempotency_key {
            Some(key) => match self.claim(resolved, &organisation, &key, &request).await? {
                Ok(claim) => Some(claim),
                Err(response) => return Ok(PreparedRequest::Replay(response)),
            },
            None => None,
        };
        let executor = RequestExecutor {
            document: Arc::clone(&resolved.document),
            service,
            request,
            organisation,
            class: RequestClass::of_route(&resolved.route.name),
            weight: resolved.route.weight,
            idempotent: resolved.route.idempotent,
            deadline,
            clock: self.clock,
            connect_timeout: Duration::from_millis(self.settings.limits.connect_timeout_ms),
            possibly_executed: AtomicU32::new(0),
            poison: self.poison.clone(),
            tickets: self.tickets.clone(),
            fingerprint: poison_fingerprint,
        };
        Ok(PreparedRequest::Run(Box::new(executor), claim))
    }

    /// Waits for a token from the rate and burst of the organisation.
    async fn acquire_rate_token(
        &self,
        resolved: &ResolvedRequest,
        organisation: &OrganisationId,
        deadline: Instant,
    ) -> Result<(), Rejection> {
        let key = LimitKey {
            service: resolved.service.clone(),
            organisation: organisation.clone(),
        };
        let admitted = self.admission.admit(key, self.clock.at(deadline)).await;
        admitted.map_err(|code| match code {
            ResultCode::RateExceeded => (code, "the organisation is over its rate and burst"),
            _ => (
                code,
                "the rate allocation of the organisation is not available",
            ),
        })
    }

    /// Reads the whole body, within the size limit of the service and the time limit for bodies.
    async fn read_body(
        &self,
        body: Incoming,
        document: &ServiceDocument,
        deadline: Instant,
    ) -> Result<Bytes, Rejection> {
        let limit = usize::try_from(document.max_request_bytes.0).unwrap_or(usize::MAX);
        let timeout = Duration::from_millis(self.settings.limits.body_timeout_ms);
        let until = deadline.min(Instant::now() + timeout);
        match tokio::time::timeout_at(until, Limited::new(body, limit).collect()).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err((
                ResultCode::RequestTooLarge,
                "the body is larger than the service allows",
            )),
            Ok(Err(_)) => Err((ResultCode::BadRequest, "the body is malformed or cut")),
            Err(_) => Err((
                ResultCode::RequestTimeout,
                "the body did not arrive in time",
            )),
        }
    }

    /// Claims an action. If an earlier attempt has claimed it, returns the response that follows
    /// from that attempt.
    async fn claim(
        &self,
        resolved: &ResolvedRequest,
        organisation: &OrganisationId,
        idempotency_key: &str,
        request: &ForwardRequest,
    ) -> Result<Result<Box<Claim>, CallerResponse>, Rejection> {
        let group = self.fleet.borrow().group.clone();
        let group = group.ok_or((ResultCode::ClaimUnavailable, "no witness group is known"))?;
        let key = claim_key(organisation, &resolved.service, idempotency_key);
        let (method, path, body) = request.fingerprint_input();
        let fingerprint = fingerprint(method, path, body);
        match self.claims.claim(&group, key, fingerprint).await {
            ClaimOutcome::Granted(claim) => Ok(Ok(claim)),
            ClaimOutcome::Refused(decision) => response_for_refused_claim(decision).map(Err),
        }
    }
}

/// Runs the attempts. A claimed request runs in its own task, so that the claim is completed or
/// abandoned even if the caller disconnects and its future is dropped.
async fn run_to_completion(
    executor: Box<RequestExecutor>,
    claim: Option<Box<Claim>>,
    stop: Arc<PlannedStop>,
) -> CallerResponse {
    let Some(claim) = claim else {
        return caller_response(run_attempts(&executor, &stop).await);
    };
    let task = tokio::spawn(async move {
        let outcome = run_attempts(&executor, &stop).await;
        match &outcome {
            RequestOutcome::Answered(response) => claim.complete(Some(response)),
            RequestOutcome::NotRun(_) => claim.abandon(),
            RequestOutcome::Unknown(_) => claim.complete(None),
        }
        caller_response(outcome)
    });
    task.await.unwrap_or_else(|_| {
        CallerResponse::refusal(
            ResultCode::BackendFailed,
            "the request ended without result",
        )
    })
}

/// Runs the attempts until they end or a planned stop ends them. A request that no backend server
/// can have run by then counts as not run, so that its idempotency key stays usable.
async fn run_attempts(executor: &RequestExecutor, stop: &PlannedStop) -> RequestOutcome {
    tokio::select! {
        biased;
        outcome = executor.run() => outcome,
        () = stop.requests_end() => match executor.possibly_executed.load(Ordering::Relaxed) {
            0 => RequestOutcome::NotRun(ResultCode::Stopping.into()),
            _ => RequestOutcome::Unknown(ResultCode::Stopped),
        },
    }
}

fn caller_response(outcome: RequestOutcome) -> CallerResponse {
    match outcome {
        RequestOutcome::Answered(response) => response,
        RequestOutcome::NotRun(reason) => {
            CallerResponse::refusal(reason.code, not_run_message(reason.code))
                .with_retry_after(reason.retry_after)
        }
        RequestOutcome::Unknown(code) => {
            CallerResponse::refusal(code, "the backend server may have run the request")
        }
    }
}

const fn not_run_message(code: ResultCode) -> &'static str {
    match code {
        ResultCode::NoBackendServer => "the service has no backend server that takes work",
        ResultCode::Overloaded => "the service has no free capacity within the deadline",
        ResultCode::DeadlineExpired => "the deadline passed before a backend server was free",
        ResultCode::Shed => "every backend server that was tried shed the request",
        ResultCode::BackendUnreachable => "no backend server could be reached",
        ResultCode::Quarantined => "the request crashed backend servers and is held back",
        ResultCode::Stopping => "the instance stops, and no backend server has got the request",
        _ => "the request was not run",
    }
}

fn response_for_refused_claim(decision: ClaimDecision) -> Result<CallerResponse, Rejection> {
    use radishpaddle_quorum::claim::RecordedResponse;
    match decision {
        ClaimDecision::Replay(RecordedResponse::Whole { status, encoded }) => {
            let message = "the recorded answer cannot be read";
            decode_response(status, &encoded).ok_or((ResultCode::AnswerNotRecorded, message))
        }
        ClaimDecision::Replay(RecordedResponse::StatusOnly { .. }) => Err((
            ResultCode::AnswerNotRecorded,
            "an earlier attempt ran; its answer was not recorded",
        )),
        ClaimDecision::KeyReused => Err((
            ResultCode::IdempotencyKeyReused,
            "the idempotency key belongs to a different request",
        )),
        ClaimDecision::InProgress => Err((
            ResultCode::InProgress,
            "an earlier attempt with this idempotency key is in progress",
        )),
        ClaimDecision::EarlierAttemptUnknown | ClaimDecision::Replay(RecordedResponse::Unknown) => {
            Err((
                ResultCode::EarlierAttemptUnknown,
                "the outcome of an earlier attempt with this idempotency key is not known",
            ))
        }
        ClaimDecision::Contended => Err((
            ResultCode::ClaimContended,
            "another attempt with this idempotency key asked at the same time",
        )),
        ClaimDecision::Unavailable | ClaimDecision::Dispatch => Err((
            ResultCode::ClaimUnavailable,
            "the claim for the action could not be stored",
        )),
    }
}

fn metric_labels(resolved: &ResolvedRequest) -> RequestLabels<'_> {
    RequestLabels {
        service: resolved.service.as_str(),
        organisation: resolved
            .organisation
            .as_ref()
            .map_or(OPEN_ORGANISATION, OrganisationId::as_str),
        route: &resolved.route.name,
    }
}

fn open_organisation() -> OrganisationId {
    OPEN_ORGANISATION
        .parse()
        .expect("the name is an identifier")
}

/// Refuses requests that this instance and a backend server could interpret differently.
fn refuse_ambiguous(parts: &Parts) -> Result<(), Rejection> {
    let single = [API_KEY, AUTHORIZATION];
    if is_ambiguous(&parts.uri, &parts.headers, &single) || presents_two_keys(&parts.headers) {
        let message = "host, key, path or length of the request can be read in two ways";
        return Err((ResultCode::BadRequest, message));
    }
    Ok(())
}

/// Returns the host of the request in lower case and without port.
fn request_host(parts: &Parts) -> Option<String> {
    let text = match parts.uri.host() {
        Some(host) => host,
        None => parts.headers.get(HOST)?.to_str().ok()?,
    };
    let name = text.rsplit_once(':').map_or(text, |(name, port)| {
        if port.bytes().all(|byte| byte.is_ascii_digit()) {
            name
        } else {
            text
        }
    });
    Some(name.to_ascii_lowercase())
}

/// Returns the organisation and the key of the caller. On open routes the organisation is `None`, and
/// the key is returned so that it can be kept from the backend server.
fn authenticate(
    config: &FleetConfig,
    document: &ServiceDocument,
    route: &Route,
    parts: &Parts,
) -> Result<(Option<OrganisationId>, Option<OrganisationKey>), Rejection> {
    let presented = presented_key(&parts.headers);
    if route.access == Access::Open {
        let key = presented.and_then(|text| text.parse().ok());
        return Ok((None, key));
    }
    let text = presented.ok_or((
        ResultCode::KeyMissing,
        "the route needs an organisation key",
    ))?;
    let unknown = (
        ResultCode::KeyUnknown,
        "the organisation key is unknown or withdrawn",
    );
    let key: OrganisationKey = text.parse().map_err(|_| unknown)?;
    let organisation = organisation_for_key(config, &key.hash()).ok_or(unknown)?;
    if document.limit(organisation).is_none() {
        let message = "the organisation may not call this service";
        return Err((ResultCode::OrganisationNotAllowed, message));
    }
    Ok((Some(organisation.clone()), Some(key)))
}

/// Returns the time limit of the request: the lower one of the route and the deadline header.
fn request_timeout(route: &Route, parts: &Parts) -> Result<Duration, Rejection> {
    let Some(value) = parts.headers.get(DEADLINE_MS) else {
        return Ok(Duration::from_millis(route.timeout_ms));
    };
    let requested_ms: u64 = value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or((ResultCode::BadRequest, "X-Deadline-Ms is not a number"))?;
    Ok(Duration::from_millis(requested_ms.min(route.timeout_ms)))
}

/// Returns the idempotency key of an action; `None` if the request needs no claim.
fn idempotency_key(route: &Route, parts: &Parts) -> Result<Option<String>, Rejection> {
    if route.idempotent {
        return Ok(None);
    }
    let Some(value) = parts.headers.get(IDEMPOTENCY_KEY) else {
        if route.idempotency_key_optional {
            return Ok(None);
        }
        let message = "the route needs the header Idempotency-Key";
        return Err((ResultCode::IdempotencyKeyRequired, message));
    };
    match value.to_str() {
        Ok(text) if (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&text.len()) => {
            Ok(Some(text.to_owned()))
        }
        _ => Err((
            ResultCode::BadRequest,
            "Idempotency-Key must have 1 to 256 visible ASCII characters",
        )),
    }
}
