//! One HTTP/1.1 connection to a backend server. Nothing is repeated here: the result says whether the
//! request may have reached the server.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, CONTENT_ENCODING, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

/// Longest time for a connection. A lost opening packet is sent again only after a second.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which an idle connection is used again when the server tells none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Part of the idle time that a server tells after which the connection is not used any more.
const IDLE_USED: f64 = 0.5;

/// Time for which an idle connection is used for a request that cannot be repeated: the server may close
/// it while the request is on its way.
const IDLE_ACTION: Duration = Duration::from_secs(2);

/// Largest answer that is kept in memory.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// What became of one send.
#[derive(Debug)]
pub enum Sent {
    /// The complete answer, and the connection when it can be used again.
    Answered(BackendAnswer, Option<BackendConnection>),
    /// No byte of the request left this process.
    NotSent,
    /// The server may have run the request.
    Unknown(SendFailure),
}

/// Why a send gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// The connection ended before the answer began.
    ConnectionLost,
    /// The answer is cut, malformed or not the server's own bytes.
    AnswerInvalid,
    /// The answer belongs to another request.
    AnswerCrossed,
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
    idle_limit: Duration,
}

impl Drop for BackendConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why there is no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The machine answers, and no process listens there.
    Refused,
    /// No answer in time, or an error of the path or of this process.
    Unreachable,
}

impl BackendConnection {
    /// Connects within a limit.
    ///
    /// # Errors
    ///
    /// Says whether the server refused the connection or cannot be reached in time.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, ConnectFailure> {
        let connect = async {
            let stream = TcpStream::connect(address).await.map_err(connect_failure)?;
            stream.set_nodelay(true).map_err(connect_failure)?;
            let handshake = http1::handshake(TokioIo::new(stream)).await;
            handshake.map_err(|_| ConnectFailure::Unreachable)
        };
        let connected = timeout(limit.min(CONNECT_TIMEOUT), connect).await;
        let (sender, connection) = connected.unwrap_or(Err(ConnectFailure::Unreachable))?;
        let task = tokio::spawn(async move {
            // The sender learns of the end of the connection.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            idle_since: Instant::now(),
            idle_limit: DEFAULT_IDLE,
        })
    }

    /// Whether the connection can take another request.
    #[must_use]
    pub fn is_usable(&self, idempotent: bool) -> bool {
        let limit = if idempotent {
            self.idle_limit
        } else {
            self.idle_limit.min(IDLE_ACTION)
        };
        self.sender.is_ready() && self.idle_since.elapsed() <= limit
    }

    /// Sends a request and collects the whole answer. The caller bounds the time; dropping the future
    /// closes the connection.
    pub async fn send(mut self, request: Request<Full<Bytes>>, id_header: &HeaderName) -> Sent {
        let id = request.headers().get(id_header).cloned();
        if self.sender.ready().await.is_err() {
            return Sent::NotSent;
        }
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut error) => {
                // The library hands the request back only when it wrote none of it.
                if error.take_message().is_some() {
                    return Sent::NotSent;
                }
                let failure = if error.error().is_parse() {
                    SendFailure::AnswerInvalid
                } else {
                    SendFailure::ConnectionLost
                };
                return Sent::Unknown(failure);
            }
        };
        if response.headers().get(id_header) != id.as_ref()
            && response.headers().contains_key(id_header)
        {
            return Sent::Unknown(SendFailure::AnswerCrossed);
        }
        match collect(response).await {
            Some(answer) => {
                let reusable = self.keeps_open(&answer.headers);
                self.idle_since = Instant::now();
                Sent::Answered(answer, reusable.then_some(self))
            }
            None => Sent::Unknown(SendFailure::AnswerInvalid),
        }
    }

    /// Whether the server keeps the connection open; remembers for how long.
    fn keeps_open(&mut self, headers: &HeaderMap) -> bool {
        let closes = |value: &HeaderValue| {
            value
                .to_str()
                .is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
        };
        if headers.get_all(CONNECTION).iter().any(closes) {
            return false;
        }
        let told = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok());
        let told = told.and_then(|text| {
            let mut parts = text.split(',').map(str::trim);
            parts.find_map(|part| part.strip_prefix("timeout=")?.parse::<u64>().ok())
        });
        if let Some(seconds) = told {
            self.idle_limit = Duration::from_secs(seconds)
                .mul_f64(IDLE_USED)
                .min(DEFAULT_IDLE);
        }
        true
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a function for errors"
)]
fn connect_failure(error: io::Error) -> ConnectFailure {
    if error.kind() == io::ErrorKind::ConnectionRefused {
        ConnectFailure::Refused
    } else {
        ConnectFailure::Unreachable
    }
}

/// The whole answer; `None` when it is cut or not the server's own bytes.
async fn collect(response: Response<Incoming>) -> Option<BackendAnswer> {
    let (parts, mut body) = response.into_parts();
    // No encoding was asked for, so an encoded body was made by something else.
    if parts.headers.contains_key(CONTENT_ENCODING) {
        return None;
    }
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if collected.len() + data.len() > MAX_ANSWER_BYTES {
            return None;
        }
        collected.extend_from_slice(&data);
    }
    Some(BackendAnswer {
        status: parts.status,
        headers: parts.headers,
        body: collected.freeze(),
    })
}
