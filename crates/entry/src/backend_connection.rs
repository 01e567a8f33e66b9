//! HTTP/1.1 connection to a backend server. A connection never retries; the outcome tells whether
//! the request may have reached the server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use radishpaddle_kernel::{HeadLimit, http_errors, http_headers};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout_at};

use crate::caller_response::REQUEST_ID;

/// Outcome of one attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The server returned a complete response.
    Answered(BackendResponse),
    /// No byte of the request was written to the socket.
    NotSent(AttemptFailure),
    /// The server may have run the request.
    Unknown(AttemptFailure),
}

/// Reason why an attempt returned no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The connection could not be established.
    ConnectFailed,
    /// The connection was closed before the response head arrived.
    ConnectionLost,
    /// The complete response did not arrive before the deadline.
    TimedOut,
    /// The connection was closed within the response.
    AnswerCut,
    /// The response is malformed, belongs to another request, or cannot be told from a
    /// late copy of an earlier response.
    AnswerInvalid,
    /// The response exceeds the size limit of the service.
    AnswerTooLarge,
}

/// Complete response of a backend server.
#[derive(Debug)]
pub struct BackendResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Open connection. Dropping it closes the socket, which cancels a request in flight.
#[derive(Debug)]
pub struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    head_limit: HeadLimit,
    idle_since: Instant,
    /// Whether the connection has carried an earlier response, of which the server may send a late
    /// copy.
    is_reused: bool,
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl BackendConnection {
    /// Connects to `address` within the time limit.
    ///
    /// # Errors
    ///
    /// Fails when the server cannot be reached in time.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, AttemptFailure> {
        let deadline = Instant::now() + limit;
        let connect = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let (head_limit, stream) = HeadLimit::wrap(stream);
            let handshake = http1::handshake(TokioIo::new(stream)).await;
            let (sender, connection) = handshake.ok()?;
            Some((sender, connection, head_limit))
        };
        let (sender, connection, head_limit) = timeout_at(deadline, connect)
            .await
            .ok()
            .flatten()
            .ok_or(AttemptFailure::ConnectFailed)?;
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            head_limit,
            idle_since: Instant::now(),
            is_reused: false,
        })
    }

    /// Returns whether the connection is open and has been idle for at most `idle_limit`.
    #[must_use]
    pub fn is_usable(&self, idle_limit: Duration) -> bool {
        self.sender.is_ready() && self.idle_since.elapsed() <= idle_limit
    }

    /// Sends a request and reads the complete response. Returns the connection too if it can be
    /// reused, which requires that the response echoed the request id: copies of other responses
    /// could not be told from the next response.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
        max_answer_bytes: usize,
    ) -> (AttemptOutcome, Option<Self>) {
        let request_id = request.headers().get(REQUEST_ID).cloned();
        if self.sender.ready().await.is_err() {
            return (
                AttemptOutcome::NotSent(AttemptFailure::ConnectionLost),
                None,
            );
        }
        self.head_limit.apply();
        let sending = self.sender.try_send_request(request);
        let response = match timeout_at(deadline, sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => return (send_failure(error.take_message().is_some()), None),
            Err(_) => return (AttemptOutcome::Unknown(AttemptFailure::TimedOut), None),
        };
        self.head_limit.lift();
        let echoes_id = match check_request_id(response.headers(), request_id.as_ref()) {
            Ok(echoes_id) if echoes_id || !self.is_reused => echoes_id,
            _ => return (AttemptOutcome::Unknown(AttemptFailure::AnswerInvalid), None),
        };
        match timeout_at(deadline, read_response(response, max_answer_bytes)).await {
            Ok(Ok(response)) => {
                self.idle_since = Instant::now();
                self.is_reused = true;
                let reusable = echoes_id.then_some(self);
                (AttemptOutcome::Answered(response), reusable)
            }
            Ok(Err(failure)) => (AttemptOutcome::Unknown(failure), None),
            Err(_) => (AttemptOutcome::Unknown(AttemptFailure::TimedOut), None),
        }
    }
}

/// Classifies a send error. The client library returns the request only if it wrote no byte of it.
const fn send_failure(request_returned: bool) -> AttemptOutcome {
    if request_returned {
        AttemptOutcome::NotSent(AttemptFailure::ConnectionLost)
    } else {
        AttemptOutcome::Unknown(AttemptFailure::ConnectionLost)
    }
}

/// Returns whether the response echoes the request id. Fails if it carries the id of another
/// request, also beside the right one.
fn check_request_id(
    headers: &HeaderMap,
    request_id: Option<&HeaderValue>,
) -> Result<bool, AttemptFailure> {
    let mut echoed = headers.get_all(REQUEST_ID).iter().peekable();
    let echoes_id = echoed.peek().is_some();
    if echoed.all(|value| Some(value) == request_id) {
        Ok(echoes_id)
    } else {
        Err(AttemptFailure::AnswerInvalid)
    }
}

async fn read_response(
    response: Response<Incoming>,
    max_answer_bytes: usize,
) -> Result<BackendResponse, AttemptFailure> {
    let (parts, mut body) = response.into_parts();
    if !http_headers::is_final_status(parts.status) {
        return Err(AttemptFailure::AnswerInvalid);
    }
    let has_known_end = has_explicit_length(&parts) || body.is_end_stream();
    if !has_known_end || http_headers::has_foreign_transfer_coding(&parts.headers) {
        return Err(AttemptFailure::AnswerInvalid);
    }
    let limit = u64::try_from(max_answer_bytes).unwrap_or(u64::MAX);
    if body.size_hint().lower() > limit {
        return Err(AttemptFailure::AnswerTooLarge);
    }
    let mut bytes_read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| body_failure(&error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes_read.len() + data.len() > max_answer_bytes {
            return Err(AttemptFailure::AnswerTooLarge);
        }
        bytes_read.extend_from_slice(&data);
    }
    Ok(BackendResponse {
        status: parts.status,
        headers: parts.headers,
        body: bytes_read.freeze(),
    })
}

fn body_failure(error: &hyper::Error) -> AttemptFailure {
    if http_errors::is_connection_end(error) {
        AttemptFailure::AnswerCut
    } else {
        AttemptFailure::AnswerInvalid
    }
}

/// Returns whether the body has a length or chunked encoding. A body that is delimited by the end
/// of the connection cannot be told from a truncated one.
fn has_explicit_length(parts: &hyper::http::response::Parts) -> bool {
    let headers = &parts.headers;
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
