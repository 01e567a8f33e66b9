//! HTTP listener for the announcements of backend servers: announce, drain and leave.

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
use radishpaddle_quorum::witness::AnnounceOutcome;
use radishpaddle_wire::message::request;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use crate::caller_response::{CallerResponse, ResponseBody};
use crate::witness_client::WitnessClients;

/// Maximum size of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 16 << 10;

/// Time limit for handling a request of a backend server.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for reading a request head.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time limit for the reply of a witness.
const WITNESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of open connections from backend servers.
const MAX_CONNECTIONS: usize = 4096;

/// Period in which a backend server should renew its announcement, in milliseconds.
const ANNOUNCEMENT_RENEWAL_MS: u64 = 2_000;

/// Time after which an announcement that is not renewed expires, in milliseconds.
const ANNOUNCEMENT_LEASE_MS: u64 = 6_000;

/// Handle to the listener. Dropping it closes the socket.
pub struct BackendListener {
    address: SocketAddr,
    stop: CancellationToken,
}

struct ConnectionContext {
    witnesses: WitnessClients,
    token: Arc<str>,
}

impl BackendListener {
    /// Binds the address and starts to accept connections.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        token: Arc<str>,
        witnesses: WitnessClients,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("cannot bind the backend server address {address}"))?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let context = Arc::new(ConnectionContext { witnesses, token });
        tokio::spawn(accept_connections(listener, context, stop.clone()));
        Ok(Self { address, stop })
    }

    /// Returns the address that the listener is bound to.
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

async fn accept_connections(
    listener: TcpListener,
    context: Arc<ConnectionContext>,
    stop: CancellationToken,
) {
    let connection_permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connection_permits).try_acquire_owned() else {
            continue;
        };
        let context = Arc::clone(&context);
        let stop = stop.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| respond(request, Arc::clone(&context)));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_READ_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => (),
                () = stop.cancelled() => (),
            }
            drop(permit);
        });
    }
}

async fn respond(
    request: Request<Incoming>,
    context: Arc<ConnectionContext>,
) -> Result<Response<ResponseBody>, Infallible> {
    let handled = tokio::time::timeout(REQUEST_TIMEOUT, handle(request, &context)).await;
    let response = match handled {
        Ok(Ok(response)) => response,
        Ok(Err((code, message))) => CallerResponse::refusal(code, message),
        Err(_) => CallerResponse::refusal(ResultCode::RequestTimeout, "the request took too long"),
    };
    Ok(response.into_response(""))
}

async fn handle(
    request: Request<Incoming>,
    context: &ConnectionContext,
) -> Result<CallerResponse, (ResultCode, String)> {
    if !is_authorised(&request, &context.token) {
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
    let body = Limited::new(request.into_body(), MAX_ANNOUNCEMENT_BYTES)
        .collect()
        .await
        .map_err(|error| (ResultCode::BadRequest, error.to_string()))?
        .to_bytes();
    let mut announcement = parse(&body)?;
    announcement.state = state.unwrap_or(announcement.state);
    store_at_majority(&announcement, context).await
}

fn is_authorised(request: &Request<Incoming>, token: &str) -> bool {
    let presented = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    presented.is_some_and(|presented| secrets_match(presented, token))
}

/// Compares two secrets by their hashes, so that the duration does not reveal the length of a
/// matching prefix.
fn secrets_match(left: &str, right: &str) -> bool {
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

/// Sends the announcement to every witness and waits until a majority has stored it.
async fn store_at_majority(
    announcement: &Announcement,
    context: &ConnectionContext,
) -> Result<CallerResponse, (ResultCode, String)> {
    let (replies, mut received) = tokio::sync::mpsc::channel(context.witnesses.len().max(1));
    for (_, client) in context.witnesses.iter() {
        let (client, announcement, replies) =
            (client.clone(), announcement.clone(), replies.clone());
        tokio::spawn(async move {
            let exchanged =
                client.call_with_payload(request::Kind::Announce, &announcement, WITNESS_TIMEOUT);
            if let Ok(announced) = exchanged.await {
                let _ = replies.send(announced).await;
            }
        });
    }
    drop(replies);
    let majority = context.witnesses.len() / 2 + 1;
    let mut stored = 0;
    while let Some(announced) = received.recv().await {
        match announced {
            AnnounceOutcome::Stored => stored += 1,
            AnnounceOutcome::Stale => {
                let message = "a newer incarnation of the backend server is known".to_owned();
                return Err((ResultCode::AnnouncementStale, message));
            }
            AnnounceOutcome::Full => (),
        }
        if stored >= majority {
            let renew =
                json!({"renew_ms": ANNOUNCEMENT_RENEWAL_MS, "lease_ms": ANNOUNCEMENT_LEASE_MS});
            return Ok(CallerResponse::json(&renew));
        }
    }
    let message = format!("{stored} of {majority} witnesses stored the announcement");
    Err((ResultCode::AnnouncementNotStored, message))
}
