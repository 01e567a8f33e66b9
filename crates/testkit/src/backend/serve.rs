//! Request port of a sample backend server: accepts connections, runs requests and injects faults.

use std::convert::Infallible;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use radishpaddle_model::document::MAX_BODY;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use super::record::{Execution, RECORDED_BODY_BYTES};
use super::response::{BodyEnd, ExcessByteStream, ExcessBytes, ResponseBody, RunningExecution};
use super::shared::Shared;
use super::signal::{Arrival, ResponseKind};
use super::{CallerIdentity, CrashMoment, FaultPlan};
use crate::caller::ADDRESSES_PATH;
use crate::clock::now_us;

/// Time in which the first byte of a response is written before the server crashes within it.
const FIRST_BYTE_TIME: Duration = Duration::from_millis(20);

/// Header with the id of a request.
const REQUEST_ID: &str = "x-request-id";

/// Header with the incarnation that responds.
const INCARNATION: &str = "x-incarnation";

/// Time after the deadline at which a deliberately late response is sent.
const LATE_RESPONSE_DELAY: Duration = Duration::from_millis(50);

/// Delay before the next attempt after a failed bind or accept.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(20);

type BackendResponse = Response<ResponseBody>;

/// Serves one incarnation after another until `stop` is cancelled.
pub(super) async fn run(shared: Arc<Shared>, listener: TcpListener, stop: CancellationToken) {
    let mut listener = listener;
    loop {
        let incarnation_token = shared.begin_incarnation(&stop);
        accept_connections(&shared, listener, &incarnation_token).await;
        if stop.is_cancelled() {
            return;
        }
        let restart = async {
            match shared.restart_delay() {
                Some(delay) => sleep(delay).await,
                None => pending().await,
            }
            shared.increment_incarnation();
            rebind(shared.address).await
        };
        tokio::select! {
            () = stop.cancelled() => return,
            bound = restart => listener = bound,
        }
    }
}

/// Binds the port again after a restart and retries until it is free.
async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        sleep(SOCKET_RETRY_DELAY).await;
    }
}

/// Accepts connections until the incarnation ends, which also drops the open connections.
async fn accept_connections(
    shared: &Arc<Shared>,
    listener: TcpListener,
    incarnation_token: &CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = incarnation_token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            sleep(SOCKET_RETRY_DELAY).await;
            continue;
        };
        let (shared, incarnation_token) = (Arc::clone(shared), incarnation_token.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = incarnation_token.cancelled() => {}
                () = serve_connection(&shared, stream, peer) => {}
            }
        });
    }
}

async fn serve_connection(shared: &Arc<Shared>, stream: TcpStream, peer: SocketAddr) {
    // With Nagle's algorithm, small responses would wait for the acknowledgement of earlier ones.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let excess = Arc::new(ExcessBytes::default());
    let io = TokioIo::new(ExcessByteStream::new(stream, Arc::clone(&excess)));
    let service = service_fn(|request| {
        let (shared, excess) = (Arc::clone(shared), Arc::clone(&excess));
        async move { handle_with_id(shared, excess, request, peer).await }
    });
    // Fails only when the peer or an injected fault closes the connection, or on malformed HTTP.
    let _ = http1::Builder::new().serve_connection(io, service).await;
}

/// Handles a request, adds the headers of the fault plan and echoes the request id, without which the
/// fleet does not reuse the connection.
async fn handle_with_id(
    shared: Arc<Shared>,
    excess: Arc<ExcessBytes>,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> io::Result<BackendResponse> {
    let id = request.headers().get(REQUEST_ID).cloned();
    let plan = shared.faults();
    let incarnation = shared.incarnation();
    let caller = caller_of(&shared, &request, peer);
    let is_probe = is_probe(&request);
    shared.signals.record_arrival(Arrival {
        caller: caller.clone(),
        incarnation,
        at_us: now_us(),
        path: path_with_query(request.uri()).to_owned(),
        request_id: text(request.headers(), REQUEST_ID).map(ToOwned::to_owned),
    });
    let mut response = handle(Arc::clone(&shared), excess, request).await?;
    let kind = response_kind(response.status(), is_probe);
    for header in &plan.headers {
        header.add_to(response.headers_mut(), kind);
    }
    let (status, headers) = (response.status(), response.headers());
    let leaves = shared
        .signals
        .record_response(&caller, incarnation, status, headers);
    if leaves && let Some(delay_ms) = plan.end_after_leaving_ms {
        let delay = Duration::from_millis(delay_ms);
        shared.end_later(incarnation, delay, plan.restart_after_ms);
    }
    let headers = response.headers_mut();
    headers.insert(INCARNATION, incarnation.0.into());
    if let Some(id) = id {
        headers.insert(REQUEST_ID, id);
    }
    Ok(response)
}

/// Returns the instance that sent the request.
fn caller_of(shared: &Shared, request: &Request<Incoming>, peer: SocketAddr) -> String {
    let prefix = match shared.settings.caller_identity {
        CallerIdentity::PeerAddress => None,
        CallerIdentity::RequestIdPrefix => text(request.headers(), REQUEST_ID)
            .and_then(|id| id.rsplit_once('-'))
            .map(|(prefix, _)| prefix.to_owned()),
    };
    prefix.unwrap_or_else(|| peer.ip().to_string())
}

fn is_probe(request: &Request<Incoming>) -> bool {
    matches!(request.uri().path(), "/health" | "/load")
}

fn response_kind(status: StatusCode, is_probe: bool) -> ResponseKind {
    match status {
        _ if is_probe => ResponseKind::Probe,
        StatusCode::SERVICE_UNAVAILABLE => ResponseKind::Shed,
        status if status.is_success() => ResponseKind::Success,
        _ => ResponseKind::Failure,
    }
}

async fn handle(
    shared: Arc<Shared>,
    excess: Arc<ExcessBytes>,
    request: Request<Incoming>,
) -> io::Result<BackendResponse> {
    let arrival = Instant::now();
    if is_probe(&request) {
        return Ok(probe_response(&shared).await);
    }
    if shared.settings.serves_address_requests && request.uri().path() == ADDRESSES_PATH {
        return Ok(own_address_response(&shared));
    }
    let mut plan = shared.faults();
    if !shared.accepts_work() || shed_by_load_or_fault(&shared, &plan) {
        return Ok(shed_response());
    }
    let (head, body) = request.into_parts();
    let limit = usize::try_from(MAX_BODY.0).unwrap_or(usize::MAX);
    let body = Limited::new(body, limit).collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    let Some(permit) = acquire_slot(&shared).await else {
        return Ok(shed_response());
    };
    let (number, guard) = shared
        .execution_log
        .start(new_record(&shared, &head, &body));
    let execution = RunningExecution {
        guard,
        _permit: permit,
    };
    let path = path_with_query(&head.uri);
    let crashes = plan.is_crash_trigger(path, &body);
    if crashes && plan.crash_moment == CrashMoment::BeforeResponse {
        shared.crash(plan.restart_after_ms);
        // The crash drops this task together with its connection.
        match pending::<Infallible>().await {}
    }
    let delay = shared.sample_service_time(&plan);
    // Tokio's timer rounds up to 1 ms, so a service time of 0 requires that the sleep is skipped.
    if !delay.is_zero() {
        sleep(delay).await;
    }
    wait_for_deadline(&plan, &head, arrival).await;
    let status = if shared.sample_event(plan.error_share) {
        StatusCode::INTERNAL_SERVER_ERROR
    } else {
        StatusCode::OK
    };
    if crashes {
        plan.hang_after_first_byte = true;
        let incarnation = shared.incarnation();
        shared.end_later(incarnation, FIRST_BYTE_TIME, plan.restart_after_ms);
    }
    let body = response_body(&shared, &head, number);
    execution.guard.record_response(status.as_u16(), &body);
    Ok(response_with_faults(status, body, &plan, excess, execution))
}

/// Decides whether to shed the request, because of the queue limit or an injected fault, and counts it
/// if so.
fn shed_by_load_or_fault(shared: &Shared, plan: &FaultPlan) -> bool {
    let queue_full = shared
        .settings
        .queue_limit
        .is_some_and(|limit| shared.waiting.load(Ordering::Relaxed) > limit);
    let sheds = queue_full || shared.sample_event(plan.shed_share);
    if sheds {
        shared.shed.fetch_add(1, Ordering::Relaxed);
    }
    sheds
}

/// Counts a request as waiting for a slot until dropped.
struct WaitingGuard<'a>(&'a Shared);

impl<'a> WaitingGuard<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.waiting.fetch_add(1, Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn acquire_slot(shared: &Shared) -> Option<tokio::sync::OwnedSemaphorePermit> {
    let _waiting = WaitingGuard::new(shared);
    Arc::clone(&shared.slots).acquire_owned().await.ok()
}

/// Delays the response until after the request's deadline if the plan demands it.
async fn wait_for_deadline(plan: &FaultPlan, head: &Parts, arrival: Instant) {
    if !plan.answer_after_deadline {
        return;
    }
    let deadline_ms = header_text(head, "x-deadline-ms").and_then(|text| text.parse().ok());
    let deadline = Duration::from_millis(deadline_ms.unwrap_or(0));
    sleep_until(arrival + deadline + LATE_RESPONSE_DELAY).await;
}

/// Answers a health or load probe. It reports a healthy, idle server regardless of the faults, as a
/// server with a gray failure does.
async fn probe_response(shared: &Shared) -> BackendResponse {
    let permit = Arc::clone(&shared.slots).acquire_owned().await;
    sleep(Duration::from_millis(shared.settings.probe_service_time_ms)).await;
    drop(permit);
    let body = json!({"healthy": true, "in_flight": 0, "slots": shared.settings.slots});
    json_response(StatusCode::OK, body.to_string().into())
}

fn own_address_response(shared: &Shared) -> BackendResponse {
    let address = shared.settings.announced_address.unwrap_or(shared.address);
    let body = json!({"addresses": [{"address": address}], "lifetime_ms": 5_000});
    json_response(StatusCode::OK, body.to_string().into())
}

/// Builds the refusal of a request that is shed.
fn shed_response() -> BackendResponse {
    let mut response = json_response(
        StatusCode::SERVICE_UNAVAILABLE,
        Bytes::from_static(b"{\"shed\":true}"),
    );
    let value = hyper::header::HeaderValue::from_static("1");
    response.headers_mut().insert("x-shed", value);
    response
}

/// Builds a complete JSON response without an execution.
fn json_response(status: StatusCode, body: Bytes) -> BackendResponse {
    let length = body.len();
    let body = ResponseBody::new(body, BodyEnd::Complete, None);
    build_response(status, Some(length), body)
}

fn build_response(
    status: StatusCode,
    length: Option<usize>,
    body: ResponseBody,
) -> BackendResponse {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    if let Some(length) = length {
        response.headers_mut().insert(CONTENT_LENGTH, length.into());
    }
    response
}

/// Builds a body that names the operation, so that the checker detects a truncated response or one that
/// belongs to another request.
fn response_body(shared: &Shared, head: &Parts, number: u64) -> Bytes {
    let body = json!({
        "operation": header_text(head, "x-test-operation"),
        "backend_server": shared.settings.backend_server,
        "incarnation": shared.incarnation(),
        "execution": number,
        "filler": "x".repeat(shared.settings.response_filler_bytes),
    });
    body.to_string().into()
}

/// Builds the response of an execution with the faults of the plan.
fn response_with_faults(
    status: StatusCode,
    body: Bytes,
    plan: &FaultPlan,
    excess: Arc<ExcessBytes>,
    execution: RunningExecution,
) -> BackendResponse {
    let mut declared = body.len();
    let mut sent = body;
    let mut end = BodyEnd::Complete;
    let error_bytes = usize::try_from(plan.length_error_bytes.unsigned_abs()).unwrap_or(usize::MAX);
    if plan.length_error_bytes > 0 {
        declared = declared.saturating_add(error_bytes);
        end = BodyEnd::Cut;
    }
    if let Some(count) = plan.truncate_after_bytes {
        sent.truncate(count);
        end = BodyEnd::Cut;
    }
    if plan.hang_after_first_byte {
        sent.truncate(1);
        end = BodyEnd::Hang;
    }
    let mut body = ResponseBody::new(sent, end, Some(execution));
    if plan.length_error_bytes < 0 {
        body = body.with_excess(excess, error_bytes);
    }
    build_response(status, (!plan.chunked).then_some(declared), body)
}

/// Builds the record of a request that has acquired a slot.
fn new_record(shared: &Shared, head: &Parts, body: &Bytes) -> Execution {
    let headers = head.headers.iter();
    let text = |name: &str| header_text(head, name).map(ToOwned::to_owned);
    let recorded = &body[..body.len().min(RECORDED_BODY_BYTES)];
    Execution {
        backend_server: shared.settings.backend_server.clone(),
        incarnation: shared.incarnation(),
        number: 0,
        request_id: text(REQUEST_ID),
        operation: text("x-test-operation"),
        method: head.method.to_string(),
        path: path_with_query(&head.uri).to_owned(),
        headers: headers
            .map(|(name, value)| {
                let value = String::from_utf8_lossy(value.as_bytes());
                (name.to_string(), value.into_owned())
            })
            .collect(),
        body: String::from_utf8_lossy(recorded).into_owned(),
        start_us: now_us(),
        end_us: None,
        cancelled: false,
        status: None,
        answer_digest: None,
    }
}

fn path_with_query(uri: &Uri) -> &str {
    uri.path_and_query()
        .map_or("/", hyper::http::uri::PathAndQuery::as_str)
}

fn header_text<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    text(&head.headers, name)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
