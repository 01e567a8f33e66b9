//! HTTP/1.1 connection to a backend server. Requests are never retried here; the outcome states whether the
//! server may have run the request.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Frame, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, CONTENT_ENCODING, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use radishpaddle_kernel::incarnation::unix_ms;
use radishpaddle_kernel::{HeadLimit, http_errors, http_headers};
use radishpaddle_policy::{ByteBudget, ByteUse, HeldBytes};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::answer_progress::AnswerProgress;
use crate::answered_ids::AnsweredIds;

/// Maximum time to open a connection. TCP retransmits a lost SYN only after a second, so waiting longer does not help.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle limit for reuse when the server sends no keep-alive timeout; also the upper bound of the limit.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);

/// Share of the server's keep-alive timeout after which the connection is not reused.
const IDLE_TIMEOUT_SHARE: f64 = 0.5;

/// Idle limit for reuse by a request that cannot be retried, since the server may close the connection while
/// the request is in transit.
const NON_IDEMPOTENT_IDLE_LIMIT: Duration = Duration::from_secs(2);

/// Maximum size of the body of an answer, which is held in memory.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Outcome of sending one request.
#[derive(Debug)]
pub enum SendOutcome {
    /// The complete answer arrived; the connection is returned if it can be reused.
    Answered(BackendAnswer, Option<BackendConnection>),
    /// No byte of the request was sent.
    NotSent,
    /// The server may have run the request.
    Unknown(SendFailure),
}

/// Reason why a request that was sent got no valid answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// The connection was closed before the answer began.
    ConnectionLost,
    /// The connection was closed within the answer.
    AnswerCut,
    /// The answer is malformed, too large, or encoded by an intermediary.
    AnswerInvalid,
    /// The answer belongs to another request, or cannot be told from a late copy of an earlier answer.
    AnswerCrossed,
    /// The answer lacks the proof that it is that of a backend server.
    AnswerUnproven,
    /// The budget of bytes had no room for the answer.
    MemoryExhausted,
}

/// Complete answer of a backend server.
#[derive(Debug)]
pub struct BackendAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Bytes of the body in the budget.
    pub held: Option<Arc<HeldBytes>>,
}

/// How an answer is received.
#[derive(Debug, Clone, Copy)]
pub struct Reception<'a> {
    /// Header with the id of the request.
    pub id_header: &'a HeaderName,
    /// Budget that the body counts against.
    pub budget: &'a ByteBudget,
    /// Where the progress of the answer is recorded.
    pub progress: Option<&'a AnswerProgress>,
}

impl<'a> Reception<'a> {
    /// Receives an answer whose progress nobody observes.
    #[must_use]
    pub const fn new(id_header: &'a HeaderName, budget: &'a ByteBudget) -> Self {
        Self {
            id_header,
            budget,
            progress: None,
        }
    }

    /// Reads the next part of a body. Silence of the server doesn't end the answer: only its connection shows that the rest
    /// won't arrive.
    async fn next_frame(&self, body: &mut Incoming) -> Result<Option<Frame<Bytes>>, SendFailure> {
        if let Some(progress) = self.progress {
            progress.record_part();
        }
        body.frame().await.transpose().map_err(|error| {
            if http_errors::is_connection_end(&error) {
                SendFailure::AnswerCut
            } else {
                SendFailure::AnswerInvalid
            }
        })
    }
}

/// Open connection to a backend server. Dropping it closes the socket, which cancels a request in flight.
#[derive(Debug)]
pub struct BackendConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    idle_since: Instant,
    opened_at_ms: u64,
    answers: Box<AnswerState>,
}

/// What a connection keeps about its answers.
#[derive(Debug)]
struct AnswerState {
    answered_ids: AnsweredIds,
    head_limit: HeadLimit,
    /// Idle time after which the connection is not reused.
    idle_limit: Duration,
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reason why a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The host is up, but no process listens on the port.
    Refused,
    /// Time-out, network error, or local error of this process.
    Unreachable,
}

impl BackendConnection {
    /// Opens a connection within `max_wait`, or within [`CONNECT_TIMEOUT`] if that is shorter.
    ///
    /// # Errors
    ///
    /// States whether the server refused the connection or could not be reached in time.
    pub async fn open(address: SocketAddr, max_wait: Duration) -> Result<Self, ConnectFailure> {
        let connect = async {
            let stream = TcpStream::connect(address).await.map_err(connect_failure)?;
            stream.set_nodelay(true).map_err(connect_failure)?;
            let (head_limit, stream) = HeadLimit::wrap(stream);
            let handshake = http1::handshake(TokioIo::new(stream)).await;
            let (sender, connection) = handshake.map_err(|_| ConnectFailure::Unreachable)?;
            Ok((sender, connection, head_limit))
        };
        let connected = timeout(max_wait.min(CONNECT_TIMEOUT), connect).await;
        let (sender, connection, head_limit) =
            connected.unwrap_or(Err(ConnectFailure::Unreachable))?;
        let task = tokio::spawn(async move {
            // The sender reports the end of the connection as well.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            idle_since: Instant::now(),
            opened_at_ms: unix_ms(),
            answers: Box::new(AnswerState {
                idle_limit: DEFAULT_IDLE_LIMIT,
                answered_ids: AnsweredIds::default(),
                head_limit,
            }),
        })
    }

    /// Whether the connection is open and has not reached its idle limit, which is shorter for requests that are not
    /// idempotent.
    #[must_use]
    pub fn is_usable(&self, idempotent: bool) -> bool {
        let limit = if idempotent {
            self.answers.idle_limit
        } else {
            self.answers.idle_limit.min(NON_IDEMPOTENT_IDLE_LIMIT)
        };
        self.sender.is_ready() && self.idle_since.elapsed() <= limit
    }

    /// Wall clock time in Unix milliseconds at which the connection was opened. The process that accepted it started before.
    #[must_use]
    pub const fn opened_at_ms(&self) -> u64 {
        self.opened_at_ms
    }

    /// Whether the answer to a request with this id can be told from late copies of the answers that the connection has
    /// carried. Callers may send a request again with the same id; one without id needs a new connection.
    #[must_use]
    pub fn can_identify_answer(&self, id: Option<&str>) -> bool {
        let is_new = |id: &str| !self.answers.answered_ids.contains(id.as_bytes());
        self.answers.answered_ids.is_empty() || id.is_some_and(is_new)
    }

    /// Sends a request and reads the whole answer. There is no timeout here; dropping the future closes the
    /// connection.
    ///
    /// The connection is kept only when the answer echoed the request id: copies of other answers could not be told from
    /// the next answer.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
        reception: Reception<'_>,
    ) -> SendOutcome {
        let id_header = reception.id_header;
        let id = request.headers().get(id_header).cloned();
        if self.sender.ready().await.is_err() {
            return SendOutcome::NotSent;
        }
        self.answers.head_limit.apply();
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                // Hyper returns the request only when it wrote none of it.
                if error.take_message().is_some() {
                    return SendOutcome::NotSent;
                }
                let failure = if error.error().is_parse() {
                    SendFailure::AnswerInvalid
                } else {
                    SendFailure::ConnectionLost
                };
                return SendOutcome::Unknown(failure);
            }
        };
        let echo = IdEcho::of(response.headers(), id_header, id.as_ref());
        if echo == IdEcho::Other || echo == IdEcho::Absent && !self.answers.answered_ids.is_empty()
        {
            return SendOutcome::Unknown(SendFailure::AnswerCrossed);
        }
        match read_answer(response, &self.answers.head_limit, reception).await {
            Ok(answer) => {
                self.answers.head_limit.lift();
                let stays_open = self.update_keep_alive(&answer.headers);
                let reusable = stays_open && echo == IdEcho::Own;
                self.idle_since = Instant::now();
                self.answers
                    .answered_ids
                    .record(id.as_ref().map_or(&[], HeaderValue::as_bytes));
                SendOutcome::Answered(answer, reusable.then_some(self))
            }
            Err(failure) => SendOutcome::Unknown(failure),
        }
    }

    /// Returns whether the server keeps the connection open, and updates the idle limit from its keep-alive timeout.
    fn update_keep_alive(&mut self, headers: &HeaderMap) -> bool {
        let closes = |value: &HeaderValue| {
            value
                .to_str()
                .is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
        };
        if headers.get_all(CONNECTION).iter().any(closes) {
            return false;
        }
        let keep_alive = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok());
        let timeout_s = keep_alive.and_then(|text| {
            let mut parts = text.split(',').map(str::trim);
            parts.find_map(|part| part.strip_prefix("timeout=")?.parse::<u64>().ok())
        });
        if let Some(seconds) = timeout_s {
            self.answers.idle_limit = Duration::from_secs(seconds)
                .mul_f64(IDLE_TIMEOUT_SHARE)
                .min(DEFAULT_IDLE_LIMIT);
        }
        true
    }
}

/// Request id in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IdEcho {
    /// Id of the request at hand.
    Own,
    /// No id.
    Absent,
    /// Id of another request, also beside that of the request at hand.
    Other,
}

impl IdEcho {
    fn of(answer: &HeaderMap, id_header: &HeaderName, id: Option<&HeaderValue>) -> Self {
        let mut echoed = answer.get_all(id_header).iter().peekable();
        if echoed.peek().is_none() {
            Self::Absent
        } else if echoed.all(|value| Some(value) == id) {
            Self::Own
        } else {
            Self::Other
        }
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "passed to map_err, which hands over the error by value"
)]
fn connect_failure(error: io::Error) -> ConnectFailure {
    if error.kind() == io::ErrorKind::ConnectionRefused {
        ConnectFailure::Refused
    } else {
        ConnectFailure::Unreachable
    }
}

/// Reads the whole answer; fails when it is truncated, too large, encoded, or without a valid final status.
///
/// `head_limit` also bounds the bytes between two parts of the body: hyper accepts any number of leading zeros in the size
/// of a chunk, and parses all that have arrived before it lets another task run.
async fn read_answer(
    response: Response<Incoming>,
    head_limit: &HeadLimit,
    reception: Reception<'_>,
) -> Result<BackendAnswer, SendFailure> {
    let (parts, mut body) = response.into_parts();
    // The gateway requests no content encoding, so an encoded body comes from an intermediary.
    if parts.headers.contains_key(CONTENT_ENCODING) {
        return Err(SendFailure::AnswerInvalid);
    }
    if http_headers::has_foreign_transfer_coding(&parts.headers) {
        return Err(SendFailure::AnswerInvalid);
    }
    if !http_headers::is_final_status(parts.status) {
        return Err(SendFailure::AnswerInvalid);
    }
    // A server that sends without end is at fault, not the budget.
    let max_bytes = (reception.budget.limit_bytes() / 2).min(MAX_ANSWER_BYTES);
    let mut collected = BytesMut::new();
    let mut held = reception.budget.reserve(ByteUse::Receiving);
    head_limit.apply();
    while let Some(frame) = reception.next_frame(&mut body).await? {
        head_limit.apply();
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if held.bytes() + data.len() as u64 > max_bytes {
            return Err(SendFailure::AnswerInvalid);
        }
        if !held.try_add(data.len()) {
            return Err(SendFailure::MemoryExhausted);
        }
        collected.extend_from_slice(&data);
    }
    Ok(BackendAnswer {
        status: parts.status,
        headers: parts.headers,
        body: collected.freeze(),
        held: Some(Arc::new(held.moved_to(ByteUse::Answer))),
    })
}
