//! Serves one request of a caller: authorisation, rate limit, routing and forwarding.

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::Request;
use hyper::body::{Body as _, Incoming};
use hyper::header::{AUTHORIZATION, HOST, HeaderMap};
use hyper::http::request::Parts;
use radishpaddle_kernel::LogSampling;
use radishpaddle_kernel::ambiguity::is_ambiguous;
use radishpaddle_model::{
    KeyHash, KeyRequirement, Organisation, RoutePart, RoutingRule, RoutingTable,
};
use radishpaddle_policy::admission::RejectReason;
use radishpaddle_policy::{ByteBudget, ByteUse, HeldBytes, Urgency};
use serde_json::json;
use tokio::time::{Instant, timeout_at};

use crate::admission_queue::{self, AdmissionRecord, Candidate, Permit};
use crate::attempt::RequestPlan;
use crate::attempt_record::AttemptRecord;
use crate::forward::ForwardRequest;
use crate::gateway::Shared;
use crate::left_out::LeftOut;
use crate::quota::{Limit, OverLimit};
use crate::relay::{self, Relay, RelayRecord};
use crate::response::{CallerResponse, Refusal};

/// Time after which a caller may retry when the gateway has no current configuration or no server accepted the
/// request; also the minimum for a request over the rate limit.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Time after which a caller may retry when this gateway is stopping: other gateways can serve it at once.
const STOPPING_RETRY_AFTER: Duration = Duration::ZERO;

/// Minimum time after which a caller may retry while all servers are in evacuated zones; up to twice as long, so that the
/// callers do not all return at the same time. An operator has to end the evacuation first.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after which a caller may retry when the bodies that this gateway holds leave no memory for its request: an answer
/// of the maximum size takes about that long on a small link.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum time in the retry-after header.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Maximum wait of a request for the first freshness proof after the start of the process. Coordinators that start at
/// the same time need this long to elect a leader.
const STARTUP_WAIT: Duration = Duration::from_millis(900);

/// Time subtracted from the caller's deadline for the transfer of the answer to the caller.
const ANSWER_TRANSFER_TIME: Duration = Duration::from_millis(8);

/// Route and authorised organisation of a request.
struct Resolved {
    rule: Arc<RoutingRule>,
    organisation: Option<Organisation>,
}

/// Fields of the decision-log entry of a request.
#[derive(Default)]
struct RequestTrace {
    route: Option<Arc<str>>,
    service: Option<Arc<str>>,
    organisation: Option<Arc<str>>,
    attempts: Vec<AttemptRecord>,
    relays: Vec<RelayRecord>,
    /// Servers that were left out of the selection, if any.
    left_out: Option<LeftOut>,
    /// Gateway that relayed the request to this one.
    relayed_by: Option<Arc<str>>,
    over_limit: Option<OverLimit>,
    admission: Option<AdmissionRecord>,
    deadline_ms: u64,
}

/// Serves a request, and records it in the decision log and the metrics. Errors become refusals.
pub async fn handle(shared: &Arc<Shared>, request: Request<Incoming>) -> CallerResponse {
    let started_at = Instant::now();
    shared.metrics.in_progress.inc();
    let in_progress = InProgressGuard(shared);
    let id = request.headers().get(&shared.headers.request_id).cloned();
    let mut trace = RequestTrace::default();
    let (parts, body) = request.into_parts();
    shared.wait_for_proof(started_at + STARTUP_WAIT).await;
    let table = shared.table();
    let result = tokio::select! {
        biased;
        result = serve(shared, &table, parts, body, started_at, &mut trace) => result,
        () = shared.stop.requests_end() => Err((Refusal::Stopped, None)),
    };
    drop(in_progress);
    let elapsed = started_at.elapsed();
    let outcome = match &result {
        Ok(answer) if answer.status.is_success() => "served",
        Ok(_) => "backend_error",
        Err((refusal, _)) => refusal.name(),
    };
    let service = trace.service.as_deref().unwrap_or("none");
    shared.metrics.record_request(service, outcome, elapsed);
    let (event, sampling) = match &result {
        Ok(_) if outcome == "served" && trace.attempts.len() < 2 => {
            ("request_served", LogSampling::Sample)
        }
        Err((Refusal::NotAdmitted(reason), _)) => (rejection_event(*reason), LogSampling::Sample),
        _ => ("request", LogSampling::Each),
    };
    let begun_at = shared.stop.begun_at();
    let stopping_ms = begun_at.map(|begun_at| milliseconds_between(begun_at, started_at));
    shared.log.record(event, sampling, || {
        let proof_age = shared.proof_age();
        json!({"request_id": id.as_ref().and_then(|id| id.to_str().ok()),
               "route": trace.route, "service": trace.service,
               "organisation": trace.organisation, "outcome": outcome,
               "elapsed_ms": u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
               "deadline_ms": trace.deadline_ms,
               "config_version": table.config().version,
               "proof_age_ms": proof_age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
               "over_limit": trace.over_limit,
               "admission": trace.admission,
               "stopping_ms": stopping_ms,
               "relayed_by": trace.relayed_by,
               "relays": trace.relays,
               "left_out": trace.left_out,
               "attempts": trace.attempts})
    });
    match result {
        Ok(answer) => answer,
        Err((refusal, retry_after)) => CallerResponse::refusal(refusal, retry_after),
    }
}

/// Event under which a rejected request is logged; each reason has a sample of its own.
const fn rejection_event(reason: RejectReason) -> &'static str {
    match reason {
        RejectReason::Time => "request_rejected_time",
        RejectReason::Slots => "request_rejected_slots",
        RejectReason::Link => "request_rejected_link",
        RejectReason::Processor => "request_rejected_processor",
        RejectReason::Memory => "request_rejected_memory",
    }
}

/// Time from one moment to a later one in milliseconds; negative when the second one is earlier.
fn milliseconds_between(from: Instant, to: Instant) -> i64 {
    let milliseconds = |span: Duration| i64::try_from(span.as_millis()).unwrap_or(i64::MAX);
    let forward = milliseconds(to.saturating_duration_since(from));
    forward - milliseconds(from.saturating_duration_since(to))
}

/// Guard that counts a request as in progress until it ends or its caller closes the connection.
struct InProgressGuard<'a>(&'a Shared);

impl Drop for InProgressGuard<'_> {
    fn drop(&mut self) {
        self.0.metrics.in_progress.dec();
    }
}

/// Refusal, and the time after which the caller may retry.
type RefusalAndRetry = (Refusal, Option<Duration>);

async fn serve(
    shared: &Arc<Shared>,
    table: &RoutingTable,
    mut parts: Parts,
    body: Incoming,
    started_at: Instant,
    trace: &mut RequestTrace,
) -> Result<CallerResponse, RefusalAndRetry> {
    let required_version = relay::take_config_version(&mut parts.headers);
    if required_version.is_some_and(|required| required > table.config().version) {
        return Err((Refusal::NotFresh, Some(RETRY_AFTER)));
    }
    let resolved = resolve(shared, table, &parts)?;
    let rule = &resolved.rule;
    trace.route = Some(Arc::clone(&rule.name));
    let organisation = resolved.organisation.as_ref();
    trace.organisation = organisation.map(|organisation| Arc::clone(&organisation.name));
    let timeout = effective_timeout(shared, rule, &parts.headers);
    trace.deadline_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
    let deadline = started_at + timeout;
    let body_limit = table.config().limits.body_bytes;
    let (body, _held) = tokio::select! {
        biased;
        body = read_body(body, body_limit, deadline, &shared.budget) => body?,
        () = shared.stop.requests_end() => return Err((Refusal::Stopping, Some(STOPPING_RETRY_AFTER))),
    };
    if !shared.stop.can_finish(deadline) {
        return Err((Refusal::Stopping, Some(STOPPING_RETRY_AFTER)));
    }
    let name = organisation.map(|organisation| &*organisation.name);
    let body_bytes = body.len() as u64;
    let request = ForwardRequest::new(parts, body, name, &shared.headers);
    trace.relayed_by = request.relayed_by().map(Arc::from);
    if shared.is_isolated()
        && let Some(answer) = relay_request(shared, &request, rule, deadline, trace).await
    {
        return answer;
    }
    let service = choose_service(&rule.parts, shared.random());
    trace.service = Some(Arc::clone(&service));
    if let Some(organisation) = organisation {
        admit(shared, organisation, trace).inspect_err(|_| shared.count_refused(&service))?;
    }
    let candidate = Candidate {
        rule,
        service: &service,
        organisation,
        body_bytes,
        started_at,
        deadline,
    };
    let mut permit = None;
    let manages_load = shared.manages_load();
    if manages_load {
        let record = trace.admission.insert(AdmissionRecord::default());
        let admitted = admission_queue::admit(shared, &candidate, record).await;
        permit = Some(admitted.inspect_err(|_| shared.count_refused(&service))?);
    }
    let priority = organisation.and_then(|organisation| organisation.priority);
    let urgency = manages_load.then(|| Urgency::of(rule.priority, priority));
    shared.record_request(&service);
    let plan = RequestPlan {
        shared: Arc::clone(shared),
        rule: Arc::clone(rule),
        service: Arc::clone(&service),
        urgency,
        ticket: permit.as_ref().map(Permit::ticket),
        request,
        deadline,
    };
    let outcome = plan.run().await;
    if let (Some(permit), Ok(answer)) = (&mut permit, &outcome.answer) {
        permit.served(body_bytes.saturating_add(answer.body.len() as u64));
    }
    drop(permit);
    trace.attempts = outcome.attempts;
    trace.relays.extend(outcome.relays);
    let left_out = outcome.left_out;
    trace.left_out = (!left_out.is_empty()).then_some(left_out);
    outcome.answer.map_err(|refusal| {
        let retry_after = match refusal {
            Refusal::NotRun if manages_load => {
                admission_queue::return_after_shed(shared, &candidate, RETRY_AFTER)
            }
            Refusal::NotRun | Refusal::NoServer => Some(RETRY_AFTER),
            Refusal::Cold => outcome
                .first_warm_at
                .map(|warm_at| shared.retry_after_pause(warm_at)),
            Refusal::Evacuated => Some(EVACUATED_RETRY_AFTER.mul_f64(1.0 + shared.random())),
            Refusal::Paused => left_out
                .first_pause_ends_at
                .map(|first_end| shared.retry_after_pause(first_end)),
            _ => None,
        };
        if matches!(
            refusal,
            Refusal::Cold | Refusal::Evacuated | Refusal::Paused
        ) {
            shared.count_refused(&service);
        }
        (refusal, retry_after)
    })
}

/// Relays a request of this gateway, which reaches no backend server, to another one. This is done before the rate limit
/// is applied, which the other gateway does. Returns `None` when no other gateway answers.
async fn relay_request(
    shared: &Arc<Shared>,
    request: &ForwardRequest,
    rule: &RoutingRule,
    deadline: Instant,
    trace: &mut RequestTrace,
) -> Option<Result<CallerResponse, RefusalAndRetry>> {
    if request.is_relayed() {
        return Some(Err((Refusal::Isolated, Some(RETRY_AFTER))));
    }
    let relay = Relay {
        shared,
        request,
        idempotent: rule.idempotent,
        deadline,
    };
    let relayed = relay.run().await;
    trace.relays = relayed.records;
    let answer = relayed.answer?;
    Some(answer.map_err(|refusal| (refusal, None)))
}

/// Finds the route of a request and checks its key.
fn resolve(
    shared: &Shared,
    table: &RoutingTable,
    parts: &Parts,
) -> Result<Resolved, RefusalAndRetry> {
    if table.config().version == 0 {
        return Err((Refusal::NotFresh, Some(RETRY_AFTER)));
    }
    let host = host(parts).ok_or((Refusal::BadRequest, None))?;
    if is_ambiguous(&parts.uri, &parts.headers, &[AUTHORIZATION]) {
        return Err((Refusal::BadRequest, None));
    }
    let is_fresh = shared.is_fresh();
    let rule = table.rule(&host, parts.uri.path());
    let rule = match rule {
        Some(rule) => rule,
        None if is_fresh => return Err((Refusal::NoRoute, None)),
        None => return Err((Refusal::NotFresh, Some(RETRY_AFTER))),
    };
    let requirement = table.key_requirement();
    let organisation =
        bearer_key(&parts.headers).and_then(|key| table.organisation(&KeyHash::of(key)).cloned());
    if rule.open || requirement == KeyRequirement::NotRequired {
        return Ok(Resolved {
            rule: Arc::clone(rule),
            organisation,
        });
    }
    if requirement == KeyRequirement::Unknown {
        return Err((Refusal::NotFresh, Some(RETRY_AFTER)));
    }
    if !is_fresh {
        return Err((Refusal::NotFresh, Some(RETRY_AFTER)));
    }
    let organisation = organisation.ok_or((Refusal::KeyUnknown, None))?;
    Ok(Resolved {
        rule: Arc::clone(rule),
        organisation: Some(organisation),
    })
}

/// Admits a request within the rate limit of its organisation; a rate of zero means no limit.
fn admit(
    shared: &Shared,
    organisation: &Organisation,
    trace: &mut RequestTrace,
) -> Result<(), RefusalAndRetry> {
    if organisation.rate_per_s <= 0.0 {
        return Ok(());
    }
    let limit = Limit::from(organisation);
    shared.admit(&organisation.name, limit).map_err(|over| {
        trace.over_limit = Some(over);
        let wait = Duration::from_millis(over.wait_ms);
        let wait = wait.clamp(RETRY_AFTER, MAX_RETRY_AFTER);
        (Refusal::OverQuota, Some(wait))
    })
}

/// Timeout of a request: that of the route, or the caller's deadline if it is shorter.
fn effective_timeout(shared: &Shared, rule: &RoutingRule, headers: &HeaderMap) -> Duration {
    let route_timeout = Duration::from_millis(rule.timeout_ms);
    let deadline_ms = headers.get(&shared.headers.deadline_ms);
    let deadline_ms = deadline_ms.and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
    let deadline_ms = deadline_ms.filter(|ms| ms.is_finite() && *ms >= 0.0);
    let deadline = deadline_ms.map(|ms| {
        let deadline = Duration::from_secs_f64((ms / 1000.0).min(86_400.0));
        deadline.saturating_sub(ANSWER_TRANSFER_TIME)
    });
    deadline.map_or(route_timeout, |deadline| deadline.min(route_timeout))
}

/// Reads the whole body within the size limit and the deadline.
async fn read_body(
    body: Incoming,
    limit_bytes: usize,
    deadline: Instant,
    budget: &ByteBudget,
) -> Result<(Bytes, HeldBytes), RefusalAndRetry> {
    let max_bytes = usize::try_from(budget.max_request_bytes()).unwrap_or(usize::MAX);
    let collecting = collect(Limited::new(body, limit_bytes.min(max_bytes)), budget);
    match timeout_at(deadline, collecting).await {
        Ok(Ok(Some(collected))) => Ok(collected),
        Ok(Ok(None)) => Err((Refusal::MemoryExhausted, Some(MEMORY_RETRY_AFTER))),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err((Refusal::TooLarge, None)),
        Ok(Err(_)) => Err((Refusal::BadRequest, None)),
        Err(_) => Err((Refusal::ExpiredNotRun, None)),
    }
}

/// Reads a body into memory; `None` when the budget of bytes has no room for it. The rest of the body is then read and
/// dropped: a connection that closes with unread bytes is reset, and its caller may not see the refusal.
async fn collect(
    mut body: Limited<Incoming>,
    budget: &ByteBudget,
) -> Result<Option<(Bytes, HeldBytes)>, Box<dyn Error + Send + Sync>> {
    let announced_bytes = body.size_hint().lower();
    let accepted = budget.accepts_request(announced_bytes);
    let mut collected = accepted.then(|| (BytesMut::new(), budget.reserve(ByteUse::Request)));
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        collected = collected.and_then(|(mut bytes, mut held)| {
            held.try_add(data.len()).then(|| {
                bytes.extend_from_slice(&data);
                (bytes, held)
            })
        });
    }
    Ok(collected.map(|(bytes, held)| (bytes.freeze(), held)))
}

/// Selects a service in proportion to the weights; `random` is from 0 (inclusive) to 1 (exclusive).
fn choose_service(parts: &[RoutePart], random: f64) -> Arc<str> {
    let total: f64 = parts.iter().map(|part| part.weight).sum();
    let mut remaining = random * total;
    for part in parts {
        if remaining < part.weight {
            return Arc::clone(&part.service);
        }
        remaining -= part.weight;
    }
    let last = parts.iter().rev().find(|part| part.weight > 0.0);
    last.map_or_else(|| "".into(), |part| Arc::clone(&part.service))
}

/// Returns the host of the request in lower case and without port.
fn host(parts: &Parts) -> Option<String> {
    let text = match parts.uri.host() {
        Some(host) => host,
        None => parts.headers.get(HOST)?.to_str().ok()?,
    };
    let name = match text.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => text,
    };
    Some(name.to_ascii_lowercase())
}

/// Returns the key that the caller sent as bearer token.
fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let authorization = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = authorization.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}
