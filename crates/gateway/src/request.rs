//! One request of a caller, from its head to its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{
    AUTHORIZATION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, TRANSFER_ENCODING,
};
use hyper::http::request::Parts;
use radishpaddle_kernel::Keep;
use radishpaddle_model::{KeyHash, Organisation, RoutePart, RoutingRule, RoutingTable};
use serde_json::json;
use tokio::time::{Instant, timeout_at};

use crate::answer::{Answer, Refusal};
use crate::attempt::{AttemptRecord, RequestPlan};
use crate::forward::ForwardRequest;
use crate::gateway::Shared;
use crate::quota::{Limit, OverLimit};

/// Time after which a caller may come back when no server could take its request.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Longest time that a refused caller is told to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Longest wait for the first configuration after the start of the process. A group of coordinators that
/// starts at the same time needs this long to elect a leader.
const START_WAIT: Duration = Duration::from_millis(900);

/// Part of the deadline that is kept for the way back to the caller.
const RETURN_TIME: Duration = Duration::from_millis(8);

/// Organisation and route of a request.
struct Resolved {
    rule: Arc<RoutingRule>,
    organisation: Option<Organisation>,
}

/// What the decision log says of a request.
#[derive(Default)]
struct Trace {
    route: Option<Arc<str>>,
    service: Option<Arc<str>>,
    organisation: Option<Arc<str>>,
    attempts: Vec<AttemptRecord>,
    over_limit: Option<OverLimit>,
    deadline_ms: u64,
}

/// Answers a request. Never fails: every end is an answer.
pub async fn handle(shared: &Arc<Shared>, request: Request<Incoming>) -> Answer {
    let started_at = Instant::now();
    shared.metrics.in_progress.inc();
    let progress = InProgress(shared);
    let id = request.headers().get(&shared.headers.request_id).cloned();
    let mut trace = Trace::default();
    let (parts, body) = request.into_parts();
    shared.wait_for_start(started_at + START_WAIT).await;
    let table = shared.table();
    let result = serve(shared, &table, parts, body, started_at, &mut trace).await;
    drop(progress);
    let elapsed = started_at.elapsed();
    let outcome = match &result {
        Ok(answer) if answer.status.is_success() => "served",
        Ok(_) => "backend_error",
        Err((refusal, _)) => refusal.name(),
    };
    let service = trace.service.as_deref().unwrap_or("none");
    shared.metrics.finished(service, outcome, elapsed);
    let keep = if outcome == "served" && trace.attempts.len() < 2 {
        Keep::Sample
    } else {
        Keep::Each
    };
    let event = if keep == Keep::Sample {
        "request_served"
    } else {
        "request"
    };
    shared.log.record(event, keep, || {
        let proof_age = shared.proof_age();
        json!({"request_id": id.as_ref().and_then(|id| id.to_str().ok()),
               "route": trace.route, "service": trace.service,
               "organisation": trace.organisation, "outcome": outcome,
               "elapsed_ms": u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
               "deadline_ms": trace.deadline_ms,
               "config_version": table.config().version,
               "proof_age_ms": proof_age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
               "over_limit": trace.over_limit,
               "attempts": trace.attempts})
    });
    match result {
        Ok(answer) => answer,
        Err((refusal, retry_after)) => Answer::refusal(refusal, retry_after),
    }
}

/// Counts a request as in progress, also when its caller goes away.
struct InProgress<'a>(&'a Shared);

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.0.metrics.in_progress.dec();
    }
}

type Refused = (Refusal, Option<Duration>);

async fn serve(
    shared: &Arc<Shared>,
    table: &RoutingTable,
    parts: Parts,
    body: Incoming,
    started_at: Instant,
    trace: &mut Trace,
) -> Result<Answer, Refused> {
    let resolved = resolve(shared, table, &parts)?;
    let rule = &resolved.rule;
    trace.route = Some(Arc::clone(&rule.name));
    let organisation = resolved.organisation.as_ref();
    trace.organisation = organisation.map(|organisation| Arc::clone(&organisation.name));
    let time = allowed_time(shared, rule, &parts.headers);
    trace.deadline_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let deadline = started_at + time;
    let body = read_body(body, table.config().limits.body_bytes, deadline).await?;
    let service = choose_part(&rule.parts, shared.random());
    trace.service = Some(Arc::clone(&service));
    if let Some(organisation) = organisation {
        admit(shared, organisation, trace).inspect_err(|_| shared.count_refused(&service))?;
    }
    shared.record_request(&service);
    let name = organisation.map(|organisation| &*organisation.name);
    let request = ForwardRequest::new(parts, body, name, &shared.headers);
    let plan = RequestPlan {
        shared: Arc::clone(shared),
        rule: Arc::clone(rule),
        service,
        request,
        deadline,
    };
    let end = plan.run().await;
    trace.attempts = end.attempts;
    end.answer.map_err(|refusal| {
        let comes_back = matches!(refusal, Refusal::NotRun | Refusal::NoServer);
        (refusal, comes_back.then_some(RETRY_AFTER))
    })
}

fn resolve(shared: &Shared, table: &RoutingTable, parts: &Parts) -> Result<Resolved, Refused> {
    if table.config().version == 0 {
        return Err((Refusal::NotFresh, Some(RETRY_AFTER)));
    }
    let host = host(parts).ok_or((Refusal::BadRequest, None))?;
    check_form(parts)?;
    let is_fresh = shared.is_fresh();
    let rule = table.rule(&host, parts.uri.path());
    let rule = match rule {
        Some(rule) => rule,
        None if is_fresh => return Err((Refusal::NoRoute, None)),
        None => return Err((Refusal::NotFresh, Some(RETRY_AFTER))),
    };
    if !table.needs_keys() {
        return Ok(Resolved {
            rule: Arc::clone(rule),
            organisation: None,
        });
    }
    let organisation = presented_key(&parts.headers)
        .and_then(|key| table.organisation(&KeyHash::of(key)).cloned());
    if rule.open {
        return Ok(Resolved {
            rule: Arc::clone(rule),
            organisation,
        });
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

/// Refuses what two programs could read in two ways.
fn check_form(parts: &Parts) -> Result<(), Refused> {
    let repeated = |name: HeaderName| parts.headers.get_all(name).iter().count() > 1;
    let lengths =
        parts.headers.contains_key(CONTENT_LENGTH) && parts.headers.contains_key(TRANSFER_ENCODING);
    if repeated(HOST) || repeated(AUTHORIZATION) || lengths || has_dot_segment(parts.uri.path()) {
        return Err((Refusal::BadRequest, None));
    }
    Ok(())
}

/// Whether a backend server that resolves dot segments would see another path.
fn has_dot_segment(path: &str) -> bool {
    let plain = path
        .to_ascii_lowercase()
        .replace("%2e", ".")
        .replace("%2f", "/");
    plain
        .split('/')
        .any(|segment| segment == "." || segment == "..")
}

fn admit(shared: &Shared, organisation: &Organisation, trace: &mut Trace) -> Result<(), Refused> {
    if organisation.rate_per_s <= 0.0 {
        return Ok(());
    }
    let limit = Limit {
        rate_per_s: organisation.rate_per_s,
        burst: organisation.burst,
    };
    shared.admit(&organisation.name, limit).map_err(|over| {
        trace.over_limit = Some(over);
        let wait = Duration::from_millis(over.wait_ms);
        let wait = wait.clamp(RETRY_AFTER, MAX_RETRY_AFTER);
        (Refusal::OverQuota, Some(wait))
    })
}

/// Time for the request: the timeout of the route, or less when the caller waits for less.
fn allowed_time(shared: &Shared, rule: &RoutingRule, headers: &HeaderMap) -> Duration {
    let timeout = Duration::from_millis(rule.timeout_ms);
    let asked = headers.get(&shared.headers.deadline_ms);
    let asked = asked.and_then(|value| value.to_str().ok()?.trim().parse::<f64>().ok());
    let asked = asked.filter(|asked| asked.is_finite() && *asked >= 0.0);
    let asked = asked.map(|asked| {
        let asked = Duration::from_secs_f64((asked / 1000.0).min(86_400.0));
        asked.saturating_sub(RETURN_TIME)
    });
    asked.map_or(timeout, |asked| asked.min(timeout))
}

async fn read_body(
    body: Incoming,
    limit_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, Refused> {
    match timeout_at(deadline, Limited::new(body, limit_bytes).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err((Refusal::TooLarge, None)),
        Ok(Err(_)) => Err((Refusal::BadRequest, None)),
        Err(_) => Err((Refusal::ExpiredNotRun, None)),
    }
}

/// Service for a request, in proportion to the weights; `random` is from 0 to 1.
fn choose_part(parts: &[RoutePart], random: f64) -> Arc<str> {
    let total: f64 = parts.iter().map(|part| part.weight).sum();
    let mut left = random * total;
    for part in parts {
        if left < part.weight {
            return Arc::clone(&part.service);
        }
        left -= part.weight;
    }
    let last = parts.iter().rev().find(|part| part.weight > 0.0);
    last.map_or_else(|| "".into(), |part| Arc::clone(&part.service))
}

/// Host of the request in lower case and without port.
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

/// Key that a caller presents as bearer token.
fn presented_key(headers: &HeaderMap) -> Option<&str> {
    let authorization = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = authorization.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}
