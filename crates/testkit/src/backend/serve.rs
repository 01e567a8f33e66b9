//! Request port of a sample backend server.

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
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use radishpaddle_model::document::MAX_BODY;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use super::FaultPlan;
use super::answer::{AnswerBody, End, ExcessBytes, ExcessIo, Work};
use super::record::{Execution, RECORDED_BODY_BYTES};
use super::shared::Shared;
use crate::caller::ADDRESSES_PATH;
use crate::clock::now_us;

/// How long a late answer waits after the deadline.
const AFTER_DEADLINE: Duration = Duration::from_millis(50);

/// Pause between two attempts to bind the port after a restart.
const REBIND_PAUSE: Duration = Duration::from_millis(20);

type Answer = Response<AnswerBody>;

/// Serves one life after another until `stop`.
pub(super) async fn run(shared: Arc<Shared>, listener: TcpListener, stop: CancellationToken) {
    let mut listener = listener;
    loop {
        let life = shared.begin_life(&stop);
        accept_until(&shared, listener, &life).await;
        if stop.is_cancelled() {
            return;
        }
        let restart = async {
            match shared.restart_delay() {
                Some(delay) => sleep(delay).await,
                None => pending().await,
            }
            shared.next_incarnation();
            rebind(shared.address).await
        };
        tokio::select! {
            () = stop.cancelled() => return,
            bound = restart => listener = bound,
        }
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        sleep(REBIND_PAUSE).await;
    }
}

async fn accept_until(shared: &Arc<Shared>, listener: TcpListener, life: &CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = life.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            sleep(REBIND_PAUSE).await;
            continue;
        };
        let (shared, life) = (Arc::clone(shared), life.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = life.cancelled() => {}
                () = serve_connection(&shared, stream) => {}
            }
        });
    }
}

async fn serve_connection(shared: &Arc<Shared>, stream: TcpStream) {
    // Without it, small responses wait for the peer's acknowledgement of earlier ones.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let excess = Arc::new(ExcessBytes::default());
    let io = TokioIo::new(ExcessIo::new(stream, Arc::clone(&excess)));
    let service = service_fn(|request| {
        let (shared, excess) = (Arc::clone(shared), Arc::clone(&excess));
        async move { handle(shared, excess, request).await }
    });
    // An error here is a connection that the peer or an injected fault has closed.
    let _ = http1::Builder::new().serve_connection(io, service).await;
}

async fn handle(
    shared: Arc<Shared>,
    excess: Arc<ExcessBytes>,
    request: Request<Incoming>,
) -> io::Result<Answer> {
    let arrival = Instant::now();
    if matches!(request.uri().path(), "/health" | "/load") {
        return Ok(probe(&shared).await);
    }
    if shared.settings.answers_addresses && request.uri().path() == ADDRESSES_PATH {
        return Ok(own_address(&shared));
    }
    let plan = shared.faults();
    if !shared.accepts_work() || must_shed(&shared, &plan) {
        return Ok(shed());
    }
    let (head, body) = request.into_parts();
    let limit = usize::try_from(MAX_BODY.0).unwrap_or(usize::MAX);
    let body = Limited::new(body, limit).collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    let Some(permit) = acquire_slot(&shared).await else {
        return Ok(shed());
    };
    let (number, guard) = shared.recorder.start(execution(&shared, &head, &body));
    let work = Work {
        guard,
        _permit: permit,
    };
    let path = path_with_query(&head);
    if plan.crashes(path, &body) {
        shared.crash(plan.restart_after_ms);
        match pending::<Infallible>().await {}
    }
    let service_time = shared.service_time(&plan);
    // The runtime's timer rounds up to 1 ms, which would make a service time of 0 impossible.
    if !service_time.is_zero() {
        sleep(service_time).await;
    }
    wait_for_deadline(&plan, &head, arrival).await;
    let status = if shared.draw(plan.error_share) {
        StatusCode::INTERNAL_SERVER_ERROR
    } else {
        StatusCode::OK
    };
    let body = answer_body(&shared, &head, number);
    work.guard.answer(status.as_u16(), &body);
    Ok(answer(status, body, &plan, excess, work))
}

fn must_shed(shared: &Shared, plan: &FaultPlan) -> bool {
    let queue_full = shared
        .settings
        .queue_limit
        .is_some_and(|limit| shared.waiting.load(Ordering::Relaxed) > limit);
    let shed = queue_full || shared.draw(plan.shed_share);
    if shed {
        shared.shed.fetch_add(1, Ordering::Relaxed);
    }
    shed
}

/// Counts a waiting request until it is dropped.
struct Waiting<'a>(&'a Shared);

impl<'a> Waiting<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.waiting.fetch_add(1, Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn acquire_slot(shared: &Shared) -> Option<tokio::sync::OwnedSemaphorePermit> {
    let _waiting = Waiting::new(shared);
    Arc::clone(&shared.slots).acquire_owned().await.ok()
}

async fn wait_for_deadline(plan: &FaultPlan, head: &Parts, arrival: Instant) {
    if !plan.answer_after_deadline {
        return;
    }
    let deadline_ms = header(head, "x-deadline-ms").and_then(|text| text.parse().ok());
    let deadline = Duration::from_millis(deadline_ms.unwrap_or(0));
    sleep_until(arrival + deadline + AFTER_DEADLINE).await;
}

/// Health and load endpoint. It reports a healthy, idle server whatever faults are in force.
async fn probe(shared: &Shared) -> Answer {
    let permit = Arc::clone(&shared.slots).acquire_owned().await;
    sleep(Duration::from_millis(shared.settings.probe_time_ms)).await;
    drop(permit);
    let body = json!({"healthy": true, "in_flight": 0, "slots": shared.settings.slots});
    plain(StatusCode::OK, body.to_string().into())
}

fn own_address(shared: &Shared) -> Answer {
    let address = shared.settings.announced_address.unwrap_or(shared.address);
    let body = json!({"addresses": [{"address": address}], "lifetime_ms": 5_000});
    plain(StatusCode::OK, body.to_string().into())
}

fn shed() -> Answer {
    let mut answer = plain(
        StatusCode::SERVICE_UNAVAILABLE,
        Bytes::from_static(b"{\"shed\":true}"),
    );
    let value = hyper::header::HeaderValue::from_static("1");
    answer.headers_mut().insert("x-shed", value);
    answer
}

fn plain(status: StatusCode, body: Bytes) -> Answer {
    let length = body.len();
    let body = AnswerBody::new(body, End::Complete, None);
    respond(status, Some(length), body)
}

fn respond(status: StatusCode, length: Option<usize>, body: AnswerBody) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    if let Some(length) = length {
        answer.headers_mut().insert(CONTENT_LENGTH, length.into());
    }
    answer
}

/// Body that names the operation it answers, so that a checker detects a crossed or cut response.
fn answer_body(shared: &Shared, head: &Parts, number: u64) -> Bytes {
    let body = json!({
        "operation": header(head, "x-test-operation"),
        "backend_server": shared.settings.backend_server,
        "incarnation": shared.incarnation(),
        "execution": number,
        "filler": "x".repeat(shared.settings.answer_filler_bytes),
    });
    body.to_string().into()
}

fn answer(
    status: StatusCode,
    body: Bytes,
    plan: &FaultPlan,
    excess: Arc<ExcessBytes>,
    work: Work,
) -> Answer {
    let mut declared = body.len();
    let mut sent = body;
    let mut end = End::Complete;
    let error_bytes = usize::try_from(plan.length_error_bytes.unsigned_abs()).unwrap_or(usize::MAX);
    if plan.length_error_bytes > 0 {
        declared = declared.saturating_add(error_bytes);
        end = End::Cut;
    }
    if let Some(count) = plan.truncate_after_bytes {
        sent.truncate(count);
        end = End::Cut;
    }
    if plan.hang_after_first_byte {
        sent.truncate(1);
        end = End::Hang;
    }
    let mut body = AnswerBody::new(sent, end, Some(work));
    if plan.length_error_bytes < 0 {
        body = body.with_excess(excess, error_bytes);
    }
    respond(status, (!plan.chunked).then_some(declared), body)
}

fn execution(shared: &Shared, head: &Parts, body: &Bytes) -> Execution {
    let headers = head.headers.iter();
    let text = |name: &str| header(head, name).map(ToOwned::to_owned);
    let recorded = &body[..body.len().min(RECORDED_BODY_BYTES)];
    Execution {
        backend_server: shared.settings.backend_server.clone(),
        incarnation: shared.incarnation(),
        number: 0,
        request_id: text("x-request-id"),
        operation: text("x-test-operation"),
        method: head.method.to_string(),
        path: path_with_query(head).to_owned(),
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

fn path_with_query(head: &Parts) -> &str {
    head.uri
        .path_and_query()
        .map_or("/", hyper::http::uri::PathAndQuery::as_str)
}

fn header<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name).and_then(|value| value.to_str().ok())
}
