//! Announcements of backend servers: announce, drain, leave.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use radishpaddle_model::{Announcement, BackendState, ResultCode};
use radishpaddle_quorum::witness::Announced;
use radishpaddle_wire::message::request;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::answer::{Answer, AnswerBody};
use crate::witness_port::WitnessPorts;

/// Largest announcement, in bytes.
const MAX_BODY_BYTES: usize = 16 << 10;

/// Longest time for a request of a backend server.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait for one witness.
const WITNESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Open connections of backend servers.
const MAX_CONNECTIONS: usize = 4096;

/// Period in which a backend server should renew its announcement.
const RENEW_MS: u64 = 2_000;

/// Time after which an announcement without renewal ends.
const LEASE_MS: u64 = 6_000;

/// Handle to the listener; dropping it closes the socket.
pub struct BackendListener {
    address: SocketAddr,
    stop: CancellationToken,
}

struct Shared {
    ports: WitnessPorts,
    token: Arc<str>,
}

impl BackendListener {
    /// Binds the address and starts to accept.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(address: SocketAddr, token: Arc<str>, ports: WitnessPorts) -> Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("backend server address {address}"))?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let shared = Arc::new(Shared { ports, token });
        tokio::spawn(accept(listener, shared, stop.clone()));
        Ok(Self { address, stop })
    }

    /// Address that is bound.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for BackendListener {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, stop: CancellationToken) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            continue;
        };
        let shared = Arc::clone(&shared);
        let stop = stop.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| respond(request, Arc::clone(&shared)));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(10))
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => (),
                () = stop.cancelled() => (),
            }
            drop(slot);
        });
    }
}

async fn respond(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<Response<AnswerBody>, Infallible> {
    let handled = tokio::time::timeout(REQUEST_TIMEOUT, handle(request, &shared)).await;
    let answer = match handled {
        Ok(Ok(answer)) => answer,
        Ok(Err((code, message))) => Answer::refusal(code, message),
        Err(_) => Answer::refusal(ResultCode::RequestTimeout, "the request took too long"),
    };
    Ok(answer.into_response(""))
}

async fn handle(
    request: Request<Incoming>,
    shared: &Shared,
) -> Result<Answer, (ResultCode, String)> {
    if !is_authorised(&request, &shared.token) {
        let message = "the backend token is missing or wrong".to_owned();
        return Err((ResultCode::Unauthorised, message));
    }
    if request.method() != Method::POST {
        return Err((ResultCode::MethodNotAllowed, "use POST".to_owned()));
    }
    let state = match request.uri().path() {
        "/v1/backend-servers/announce" => None,
        "/v1/backend-servers/drain" => Some(BackendState::Draining),
        "/v1/backend-servers/leave" => Some(BackendState::Left),
        _ => return Err((ResultCode::NotFound, "no such path".to_owned())),
    };
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|error| (ResultCode::BadRequest, error.to_string()))?
        .to_bytes();
    let mut announcement = parse(&body)?;
    announcement.state = state.unwrap_or(announcement.state);
    store(&announcement, shared).await
}

fn is_authorised(request: &Request<Incoming>, token: &str) -> bool {
    let presented = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    presented.is_some_and(|presented| same_secret(presented, token))
}

/// Compares by hash, so that the time does not tell how much of a guess is right.
fn same_secret(left: &str, right: &str) -> bool {
    use sha2::{Digest, Sha256};
    Sha256::digest(left) == Sha256::digest(right)
}

fn parse(body: &[u8]) -> Result<Announcement, (ResultCode, String)> {
    let invalid = |message: String| (ResultCode::AnnouncementInvalid, message);
    let announcement: Announcement =
        serde_json::from_slice(body).map_err(|error| invalid(error.to_string()))?;
    if !(1..=10_000).contains(&announcement.slots) {
        return Err(invalid("slots must be 1 to 10000".to_owned()));
    }
    Ok(announcement)
}

/// Tells every witness and waits until a majority has stored the announcement.
async fn store(
    announcement: &Announcement,
    shared: &Shared,
) -> Result<Answer, (ResultCode, String)> {
    let (replies, mut received) = tokio::sync::mpsc::channel(shared.ports.len().max(1));
    for (_, port) in shared.ports.iter() {
        let (port, announcement, replies) = (port.clone(), announcement.clone(), replies.clone());
        tokio::spawn(async move {
            let exchanged = port.exchange(request::Kind::Announce, &announcement, WITNESS_TIMEOUT);
            if let Ok(announced) = exchanged.await {
                let _ = replies.send(announced).await;
            }
        });
    }
    drop(replies);
    let majority = shared.ports.len() / 2 + 1;
    let mut stored = 0;
    while let Some(announced) = received.recv().await {
        match announced {
            Announced::Stored => stored += 1,
            Announced::Stale => {
                let message = "a newer incarnation of the backend server is known".to_owned();
                return Err((ResultCode::AnnouncementStale, message));
            }
            Announced::Full => (),
        }
        if stored >= majority {
            let renew = json!({"renew_ms": RENEW_MS, "lease_ms": LEASE_MS});
            return Ok(Answer::json(&renew));
        }
    }
    let message = format!("{stored} of {majority} witnesses stored the announcement");
    Err((ResultCode::AnnouncementNotStored, message))
}
