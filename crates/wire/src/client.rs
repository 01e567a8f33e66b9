//! Client of the peer protocol: sends requests to one peer over one connection, which is opened on
//! demand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt as _, StreamExt as _};
use prost::Message;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};
use tokio_util::codec::Framed;

use crate::codec::FrameCodec;
use crate::error::WireError;
use crate::message::{Frame, Hello, Request, Response, frame, request, response};
use crate::payload::{decode, encode};
use crate::tls::{PeerSecurity, PeerStream};

/// Limit for opening a connection, including the TLS handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without any frame from the peer, after a call to which it owes a response, after which the connection is
/// closed; also the limit for writing one call. Without this limit, a network path that silently
/// loses packets in one direction would block the calls until the TCP time-out of the kernel.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Calls per peer that may be queued for the connection. Further calls fail immediately.
const MAX_QUEUED_CALLS: usize = 1024;

/// Delay between a failed connection attempt and the next one.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Identity and credentials of the calling process.
#[derive(Clone)]
pub struct ClientIdentity {
    /// Name, incarnation and fleet of the calling process.
    pub hello: Hello,
    /// Credentials that prove membership in the fleet.
    pub security: PeerSecurity,
}

/// Handle to the task that owns the connection to one peer. Clones share the connection.
#[derive(Clone, Debug)]
pub struct PeerClient {
    address: SocketAddr,
    calls: mpsc::Sender<Call>,
}

struct Call {
    request: Request,
    reply: oneshot::Sender<Result<Response, WireError>>,
}

type Connection = Framed<Box<dyn PeerStream>, FrameCodec>;
/// Calls without a response, by the id of their frame.
type PendingCalls = HashMap<u64, oneshot::Sender<Result<Response, WireError>>>;

impl PeerClient {
    /// Starts the task that owns the connection. It ends when the last handle is dropped.
    #[must_use]
    pub fn spawn(address: SocketAddr, identity: ClientIdentity) -> Self {
        let (calls, receiver) = mpsc::channel(MAX_QUEUED_CALLS);
        tokio::spawn(run_client(address, identity, receiver));
        Self { address, calls }
    }

    /// Address of the peer.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Encodes and sends a payload, and decodes the payload of the response. `wrap` selects the
    /// kind of request.
    ///
    /// # Errors
    ///
    /// As for [`Self::call`]; in addition `Malformed` when a payload cannot be encoded or decoded,
    /// and `UnexpectedResponse` when the response has no payload.
    pub async fn call_with_payload<Q: Serialize + Sync, R: DeserializeOwned>(
        &self,
        wrap: fn(Vec<u8>) -> request::Kind,
        payload: &Q,
        time_limit: Duration,
    ) -> Result<R, WireError> {
        let response = self.call(wrap(encode(payload)?), time_limit).await?;
        decode_response(response)
    }

    /// Sends a payload with an extension, and decodes the payload and the extension of the response.
    /// A peer of an earlier build skips the extension and sends none; the default value is returned
    /// for it, and for an extension that cannot be decoded.
    ///
    /// # Errors
    ///
    /// As for [`Self::call_with_payload`].
    pub async fn call_with_extension<Q, R, F>(
        &self,
        wrap: fn(Vec<u8>) -> request::Kind,
        payload: &Q,
        extension: &impl Message,
        time_limit: Duration,
    ) -> Result<(R, F), WireError>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned,
        F: Message + Default,
    {
        let request = Request {
            kind: Some(wrap(encode(payload)?)),
            extension: extension.encode_to_vec(),
        };
        let response = self.send(request, time_limit).await?;
        let extension = F::decode(&*response.extension).unwrap_or_default();
        let kind = response.kind.ok_or(WireError::UnexpectedResponse)?;
        Ok((decode_response(kind)?, extension))
    }

    /// Sends a request and waits at most `time_limit` for its response.
    ///
    /// # Errors
    ///
    /// - `Connection` or `Stopped` when the connection failed before a response arrived; `Stopped`
    ///   also when too many calls are queued.
    /// - `Timeout` when no response arrived in time; the peer may have handled the request.
    /// - `Refused` when the peer refused the request.
    pub async fn call(
        &self,
        request: request::Kind,
        time_limit: Duration,
    ) -> Result<response::Kind, WireError> {
        let request = Request {
            kind: Some(request),
            extension: Vec::new(),
        };
        let response = self.send(request, time_limit).await?;
        response.kind.ok_or(WireError::UnexpectedResponse)
    }

    async fn send(&self, request: Request, time_limit: Duration) -> Result<Response, WireError> {
        let (reply, response) = oneshot::channel();
        let call = Call { request, reply };
        self.calls.try_send(call).map_err(|_| WireError::Stopped)?;
        let response = match timeout(time_limit, response).await {
            Ok(Ok(result)) => result?,
            Ok(Err(_)) => return Err(WireError::Stopped),
            Err(_) => return Err(WireError::Timeout),
        };
        match response.kind {
            Some(response::Kind::Failure(failure)) => Err(WireError::Refused(failure)),
            _ => Ok(response),
        }
    }
}

/// Decodes the payload of a response.
///
/// # Errors
///
/// `Refused` when the response is a failure, `UnexpectedResponse` when it is of another
/// kind without a payload, `Malformed` when the payload cannot be decoded.
pub fn decode_response<R: DeserializeOwned>(response: response::Kind) -> Result<R, WireError> {
    match response {
        response::Kind::Payload(bytes) => decode(&bytes),
        response::Kind::Failure(failure) => Err(WireError::Refused(failure)),
        _ => Err(WireError::UnexpectedResponse),
    }
}

/// Runs the task of a [`PeerClient`]: connects when a call is queued, and reconnects for the next
/// call after the connection has failed.
async fn run_client(
    address: SocketAddr,
    identity: ClientIdentity,
    mut calls: mpsc::Receiver<Call>,
) {
    while let Some(first) = calls.recv().await {
        if first.reply.is_closed() {
            continue;
        }
        match connect(address, &identity).await {
            Ok(connection) => run_connection(connection, first, &mut calls).await,
            Err(error) => {
                let _ = first.reply.send(Err(error));
                fail_queued(&mut calls);
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

/// Fails the calls that were queued during a failed connection attempt, so that they do not have to
/// time out.
fn fail_queued(calls: &mut mpsc::Receiver<Call>) {
    while let Ok(call) = calls.try_recv() {
        let error = std::io::Error::from(std::io::ErrorKind::NotConnected);
        let _ = call.reply.send(Err(error.into()));
    }
}

/// Opens a connection and sends `Hello` as its first request. The reply is not awaited: a peer that
/// refuses it closes the connection.
async fn connect(address: SocketAddr, identity: &ClientIdentity) -> Result<Connection, WireError> {
    let attempt = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let stream = identity.security.connect(stream).await?;
        let mut connection = Framed::new(stream, FrameCodec::new());
        let hello = Request {
            kind: Some(request::Kind::Hello(identity.hello.clone())),
            extension: Vec::new(),
        };
        connection.send(request_frame(0, hello)).await?;
        Ok(connection)
    };
    timeout(CONNECT_TIMEOUT, attempt)
        .await
        .map_err(|_| WireError::Timeout)?
}

/// Sends the queued calls on a connection and forwards the responses, until the connection fails or
/// all handles are dropped.
async fn run_connection(connection: Connection, first: Call, calls: &mut mpsc::Receiver<Call>) {
    let (mut sink, mut stream) = connection.split();
    let mut pending_calls = PendingCalls::new();
    let mut next_id = 1;
    // Calls that have timed out count as well: the peer has not responded to them either.
    let mut silent_since: Option<Instant> = None;
    let mut next_call = Some(first);
    loop {
        if let Some(call) = next_call.take() {
            pending_calls.retain(|_, reply| !reply.is_closed());
            silent_since.get_or_insert_with(Instant::now);
            pending_calls.insert(next_id, call.reply);
            let sending = sink.send(request_frame(next_id, call.request));
            let sent = timeout(RECEIVE_TIMEOUT, sending).await;
            next_id += 1;
            if let Err(error) = sent.unwrap_or(Err(WireError::Timeout)) {
                return fail_pending(pending_calls, &error);
            }
        }
        tokio::select! {
            call = calls.recv() => match call {
                Some(call) => next_call = Some(call),
                None => return,
            },
            frame = stream.next() => match frame {
                Some(Ok(frame)) => {
                    forward_response(frame, &mut pending_calls);
                    silent_since = (!pending_calls.is_empty()).then(Instant::now);
                }
                Some(Err(error)) => return fail_pending(pending_calls, &error),
                None => return fail_pending(pending_calls, &WireError::Stopped),
            },
            () = sleep_until_timeout(silent_since) => {
                return fail_pending(pending_calls, &WireError::Timeout);
            }
        }
    }
}

/// Waits until the peer has sent no frame for too long; without end if it owes no response.
async fn sleep_until_timeout(silent_since: Option<Instant>) {
    match silent_since {
        Some(since) => tokio::time::sleep_until(since + RECEIVE_TIMEOUT).await,
        None => std::future::pending().await,
    }
}

const fn request_frame(id: u64, request: Request) -> Frame {
    Frame {
        id,
        body: Some(frame::Body::Request(request)),
    }
}

/// Forwards a response to its call. A frame whose call is unknown or no longer pending is dropped.
fn forward_response(frame: Frame, pending_calls: &mut PendingCalls) {
    let Some(reply) = pending_calls.remove(&frame.id) else {
        return;
    };
    let response = match frame.body {
        Some(frame::Body::Response(response)) if response.kind.is_some() => Ok(response),
        _ => Err(WireError::UnexpectedResponse),
    };
    let _ = reply.send(response);
}

/// Fails all pending calls of a connection. Errors other than `Timeout` are reported as
/// `Connection`.
fn fail_pending(pending_calls: PendingCalls, error: &WireError) {
    for (_, reply) in pending_calls {
        let cause = match error {
            WireError::Timeout => WireError::Timeout,
            other => WireError::Connection(std::io::Error::other(other.to_string())),
        };
        let _ = reply.send(Err(cause));
    }
}
