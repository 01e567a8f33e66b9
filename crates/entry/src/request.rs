//! One request of a caller, from its head to its answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use radishpaddle_model::{
    Access, Fingerprint as PoisonFingerprint, FleetConfig, OrganisationId, OrganisationKey,
    Outcome, ResultCode, Route, ServiceDocument, ServiceId,
};
use radishpaddle_policy::RequestClass;
use radishpaddle_quorum::allocation::LimitKey;
use radishpaddle_quorum::claim::ClaimDecision;
use tokio::time::Instant;

use crate::admission_task::AdmissionHandle;
use crate::answer::Answer;
use crate::attempts::{RequestEnd, RequestPlan};
use crate::claims::{Claim, ClaimOutcome, Claims, claim_key, fingerprint, replay};
use crate::clock::Clock;
use crate::config_store::{ConfigStore, organisation_for_key, service_for_host};
use crate::fleet_view::FleetWatch;
use crate::forward::{
    DEADLINE_MS, ForwardRequest, IDEMPOTENCY_KEY, holds_known_key, presented_key, reveals_key,
};
use crate::metrics::{RequestLabels, RequestMetrics};
use crate::poison_task::{PoisonHandle, Tickets};
use crate::refusal_log::RefusalLog;
use crate::services::Services;
use crate::settings::EntrySettings;

/// Organisation under which requests on open routes are queued and claimed. Documents cannot name it.
const OPEN_ORGANISATION: &str = radishpaddle_model::document::OPEN_ORGANISATION;

/// Longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Shared parts that every request needs.
pub struct RequestHandler {
    /// Settings of the instance.
    pub settings: Arc<EntrySettings>,
    /// Configuration in force.
    pub config: ConfigStore,
    /// Fleet as known here.
    pub fleet: FleetWatch,
    /// Service tasks.
    pub services: Services,
    /// Claims for actions.
    pub claims: Claims,
    /// Rate allocations.
    pub admission: AdmissionHandle,
    /// Crashes of backend servers.
    pub poison: PoisonHandle,
    /// Tickets for suspect requests.
    pub tickets: Tickets,
    /// Metrics.
    pub metrics: RequestMetrics,
    /// Refusals in the journal.
    pub refusals: RefusalLog,
    /// Local time.
    pub clock: Clock,
    /// Prefix and counter of request ids.
    pub request_ids: RequestIds,
}

/// Makes ids that are unique over instances and restarts.
pub struct RequestIds {
    prefix: String,
    next: AtomicU64,
}

impl RequestIds {
    /// Ids of one process life.
    #[must_use]
    pub fn new(instance: &str, incarnation: u64) -> Self {
        Self {
            prefix: format!("{instance}-{incarnation:x}"),
            next: AtomicU64::new(1),
        }
    }

    /// The next id.
    #[must_use]
    pub fn next(&self) -> String {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.prefix)
    }
}

/// A request whose caller and route are known.
struct Resolved {
    service: ServiceId,
    document: Arc<ServiceDocument>,
    route: Route,
    organisation: Option<OrganisationId>,
    key: Option<OrganisationKey>,
}

type Refused = (ResultCode, &'static str);

impl RequestHandler {
    /// Answers a request. Never fails: every end is an answer with a result code.
    pub async fn handle(&self, request: Request<Incoming>, request_id: &str) -> Answer {
        let started_at = Instant::now();
        self.metrics.in_progress.inc();
        let (parts, body) = request.into_parts();
        let config = self.config.current();
        let resolved = Self::resolve(&config, &parts);
        let fresh = self.fleet.borrow().is_fresh(self.clock.now());
        let answer = match &resolved {
            _ if !fresh => Answer::refusal(
                ResultCode::NotFresh,
                "this instance cannot confirm that its configuration is current",
            ),
            Ok(resolved) => {
                self.serve(resolved, parts, body, started_at, request_id)
                    .await
            }
            Err((code, message)) => Answer::refusal(*code, *message),
        };
        self.metrics.in_progress.dec();
        let labels = resolved.as_ref().map(labels).unwrap_or_default();
        self.metrics
            .finished(labels, answer.code, started_at.elapsed());
        if answer.code.outcome() != Outcome::Done {
            let now = self.clock.now();
            self.refusals.note(labels, answer.code, request_id, now);
        }
        answer
    }

    /// Finds caller and route; also while this instance is not fresh, for the labels of the refusal.
    fn resolve(config: &FleetConfig, parts: &Parts) -> Result<Resolved, Refused> {
        let host = host(parts).ok_or((ResultCode::BadRequest, "the Host header is missing"))?;
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
        let (organisation, key) = identify(config, document, route, parts)?;
        if holds_known_key(&parts.uri, |hash| config.keys.contains_key(hash)) {
            let message = "path or query contain an organisation key";
            return Err((ResultCode::BadRequest, message));
        }
        Ok(Resolved {
            service: service.clone(),
            document: Arc::clone(document),
            route: route.clone(),
            organisation,
            key,
        })
    }

    async fn serve(
        &self,
        resolved: &Resolved,
        parts: Parts,
        body: Incoming,
        started_at: Instant,
        request_id: &str,
    ) -> Answer {
        let served = self.try_serve(resolved, parts, body, started_at, request_id);
        match served.await {
            Ok(answer) => answer,
            Err((code, message)) => Answer::refusal(code, message),
        }
    }

    async fn try_serve(
        &self,
        resolved: &Resolved,
        parts: Parts,
        body: Incoming,
        started_at: Instant,
        request_id: &str,
    ) -> Result<Answer, Refused> {
        let deadline = started_at + timeout(&resolved.route, &parts)?;
        let idempotency_key = idempotency_key(&resolved.route, &parts)?;
        let body = self.read_body(body, &resolved.document, deadline).await?;
        if let Some(key) = &resolved.key
            && reveals_key(&parts.uri, &body, key)
        {
            let message = "path or body contain the organisation key";
            return Err((ResultCode::BadRequest, message));
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
            self.admit(resolved, &organisation, deadline).await?;
        }
        let (method, path, body) = request.identity();
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
                Err(answer) => return Ok(answer),
            },
            None => None,
        };
        let plan = RequestPlan {
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
            in_doubt: AtomicU32::new(0),
            poison: self.poison.clone(),
            tickets: self.tickets.clone(),
            fingerprint: poison_fingerprint,
        };
        let end = run_to_end(plan, claim).await;
        Ok(end)
    }

    /// Takes a token of the organisation's rate and burst.
    async fn admit(
        &self,
        resolved: &Resolved,
        organisation: &OrganisationId,
        deadline: Instant,
    ) -> Result<(), Refused> {
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

    async fn read_body(
        &self,
        body: Incoming,
        document: &ServiceDocument,
        deadline: Instant,
    ) -> Result<Bytes, Refused> {
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

    /// Claims an action, or gives the answer that an earlier attempt determines.
    async fn claim(
        &self,
        resolved: &Resolved,
        organisation: &OrganisationId,
        idempotency_key: &str,
        request: &ForwardRequest,
    ) -> Result<Result<Box<Claim>, Answer>, Refused> {
        let group = self.fleet.borrow().group.clone();
        let group = group.ok_or((ResultCode::ClaimUnavailable, "no witness group is known"))?;
        let key = claim_key(organisation, &resolved.service, idempotency_key);
        let (method, path, body) = request.identity();
        let fingerprint = fingerprint(method, path, body);
        match self.claims.claim(&group, key, fingerprint).await {
            ClaimOutcome::Granted(claim) => Ok(Ok(claim)),
            ClaimOutcome::Refused(decision) => refused_claim(decision).map(Err),
        }
    }
}

/// Runs the request in a task of its own once it is claimed, so that a caller that goes away cannot
/// leave an action half recorded.
async fn run_to_end(plan: RequestPlan, claim: Option<Box<Claim>>) -> Answer {
    let Some(claim) = claim else {
        return answer_of(plan.run().await);
    };
    let task = tokio::spawn(async move {
        let end = plan.run().await;
        match &end {
            RequestEnd::Answered(answer) => claim.complete(Some(answer)),
            RequestEnd::NotRun(_) => claim.abandon(),
            RequestEnd::Unknown(_) => claim.complete(None),
        }
        answer_of(end)
    });
    task.await.unwrap_or_else(|_| {
        Answer::refusal(
            ResultCode::BackendFailed,
            "the request ended without result",
        )
    })
}

fn answer_of(end: RequestEnd) -> Answer {
    match end {
        RequestEnd::Answered(answer) => answer,
        RequestEnd::NotRun(code) => Answer::refusal(code, not_run_message(code)),
        RequestEnd::Unknown(code) => {
            Answer::refusal(code, "the backend server may have run the request")
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
        _ => "the request was not run",
    }
}

fn refused_claim(decision: ClaimDecision) -> Result<Answer, Refused> {
    use radishpaddle_quorum::claim::Answer as Recorded;
    match decision {
        ClaimDecision::Replay(Recorded::Whole { status, encoded }) => {
            let message = "the recorded answer cannot be read";
            replay(status, &encoded).ok_or((ResultCode::AnswerNotRecorded, message))
        }
        ClaimDecision::Replay(Recorded::StatusOnly { .. }) => Err((
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
        ClaimDecision::EarlierAttemptUnknown | ClaimDecision::Replay(Recorded::Unknown) => Err((
            ResultCode::EarlierAttemptUnknown,
            "the outcome of an earlier attempt with this idempotency key is not known",
        )),
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

fn labels(resolved: &Resolved) -> RequestLabels<'_> {
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

/// Host of the request in lower case and without port.
fn host(parts: &Parts) -> Option<String> {
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

fn identify(
    config: &FleetConfig,
    document: &ServiceDocument,
    route: &Route,
    parts: &Parts,
) -> Result<(Option<OrganisationId>, Option<OrganisationKey>), Refused> {
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

fn timeout(route: &Route, parts: &Parts) -> Result<Duration, Refused> {
    let Some(value) = parts.headers.get(DEADLINE_MS) else {
        return Ok(Duration::from_millis(route.timeout_ms));
    };
    let asked: u64 = value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or((ResultCode::BadRequest, "X-Deadline-Ms is not a number"))?;
    Ok(Duration::from_millis(asked.min(route.timeout_ms)))
}

fn idempotency_key(route: &Route, parts: &Parts) -> Result<Option<String>, Refused> {
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
