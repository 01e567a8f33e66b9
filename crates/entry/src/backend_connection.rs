//! One HTTP/1.1 connection to a backend server. Nothing is retried here: the error says whether the
//! request may have reached the server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout_at};

use crate::answer::REQUEST_ID;

/// What became of one attempt.
#[derive(Debug)]
pub enum Attempt {
    /// The complete answer.
    Answered(BackendAnswer),
    /// No byte of the request left this process.
    NotSent(AttemptFailure),
    /// The server may have run the request.
    Unknown(AttemptFailure),
}

/// Why an attempt gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection could be made.
    ConnectFailed,
    /// The connection ended before the complete answer.
    ConnectionLost,
    /// The answer did not come in time.
    TimedOut,
    /// The answer is malformed, cut or belongs to another request.
    AnswerInvalid,
    /// The answer is larger than the service allows.
    AnswerTooLarge,
}

/// Complete answer of a backend server.
#[derive(Debug)]
pub struct BackendAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// An open connection. Dropping it closes the socket, which cancels a request in flight.
#[derive(Debug)]
pub struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    idle_since: Instant,
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl BackendConnection {
    /// Connects within a limit.
    ///
    /// # Errors
    ///
    /// Fails when the server cannot be reached in time.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, AttemptFailure> {
        let deadline = Instant::now() + limit;
        let connect = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            http1::handshake(TokioIo::new(stream)).await.ok()
        };
        let (sender, connection) = timeout_at(deadline, connect)
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
            idle_since: Instant::now(),
        })
    }

    /// Whether the connection can take another request after being idle for a limit at most.
    #[must_use]
    pub fn is_usable(&self, idle_limit: Duration) -> bool {
        self.sender.is_ready() && self.idle_since.elapsed() <= idle_limit
    }

    /// Sends a request and collects the whole answer. The connection comes back when it can be used
    /// again.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
        max_answer_bytes: usize,
    ) -> (Attempt, Option<Self>) {
        let request_id = request.headers().get(REQUEST_ID).cloned();
        if self.sender.ready().await.is_err() {
            return (Attempt::NotSent(AttemptFailure::ConnectionLost), None);
        }
        let sending = self.sender.try_send_request(request);
        let response = match timeout_at(deadline, sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => return (classify(error.take_message().is_some()), None),
            Err(_) => return (Attempt::Unknown(AttemptFailure::TimedOut), None),
        };
        match timeout_at(deadline, collect(response, request_id, max_answer_bytes)).await {
            Ok(Ok(answer)) => {
                self.idle_since = Instant::now();
                (Attempt::Answered(answer), Some(self))
            }
            Ok(Err(failure)) => (Attempt::Unknown(failure), None),
            Err(_) => (Attempt::Unknown(AttemptFailure::TimedOut), None),
        }
    }
}

/// The client library hands the request back only when it wrote none of it.
const fn classify(handed_back: bool) -> Attempt {
    if handed_back {
        Attempt::NotSent(AttemptFailure::ConnectionLost)
    } else {
        Attempt::Unknown(AttemptFailure::ConnectionLost)
    }
}

async fn collect(
    response: Response<Incoming>,
    request_id: Option<HeaderValue>,
    max_answer_bytes: usize,
) -> Result<BackendAnswer, AttemptFailure> {
    let (parts, mut body) = response.into_parts();
    let echoed = parts.headers.get(REQUEST_ID);
    if echoed.is_some() && echoed != request_id.as_ref() {
        return Err(AttemptFailure::AnswerInvalid);
    }
    if !has_framed_end(&parts) && !body.is_end_stream() {
        return Err(AttemptFailure::AnswerInvalid);
    }
    let limit = u64::try_from(max_answer_bytes).unwrap_or(u64::MAX);
    if body.size_hint().lower() > limit {
        return Err(AttemptFailure::AnswerTooLarge);
    }
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| AttemptFailure::AnswerInvalid)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if collected.len() + data.len() > max_answer_bytes {
            return Err(AttemptFailure::AnswerTooLarge);
        }
        collected.extend_from_slice(&data);
    }
    Ok(BackendAnswer {
        status: parts.status,
        headers: parts.headers,
        body: collected.freeze(),
    })
}

/// Whether a cut answer can be told from a complete one. A body that ends with the connection cannot.
fn has_framed_end(parts: &hyper::http::response::Parts) -> bool {
    let headers = &parts.headers;
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
