//! Calls to one peer over one connection that is made on demand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt as _, StreamExt as _};
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

/// Longest time for a connection including its TLS handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection without any answer for this time, with calls waiting, is replaced. A path that
/// loses one direction silently would otherwise hold the calls until the kernel gives up.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// Waiting calls per peer; more are refused at once.
const MAX_WAITING_CALLS: usize = 1024;

/// Pause after a failed connection before the next one is tried.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Who calls, and how it proves it.
#[derive(Clone)]
pub struct ClientIdentity {
    /// Name, incarnation and fleet of the calling process.
    pub hello: Hello,
    /// Proof of membership.
    pub security: PeerSecurity,
}

/// Handle to the task that owns the connection to one peer. Clones share the connection.
#[derive(Clone, Debug)]
pub struct PeerClient {
    address: SocketAddr,
    calls: mpsc::Sender<Call>,
}

struct Call {
    kind: request::Kind,
    reply: oneshot::Sender<Result<response::Kind, WireError>>,
}

type Connection = Framed<Box<dyn PeerStream>, FrameCodec>;
type Waiting = HashMap<u64, oneshot::Sender<Result<response::Kind, WireError>>>;

impl PeerClient {
    /// Starts the task for one peer. It ends when the last handle is dropped.
    #[must_use]
    pub fn spawn(address: SocketAddr, identity: ClientIdentity) -> Self {
        let (calls, receiver) = mpsc::channel(MAX_WAITING_CALLS);
        tokio::spawn(run(address, identity, receiver));
        Self { address, calls }
    }

    /// Address of the peer.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends an encoded payload and decodes the payload of the response.
    ///
    /// # Errors
    ///
    /// As for [`Self::call`], and `Malformed` or `UnexpectedResponse` for a wrong response.
    pub async fn exchange<Q: Serialize + Sync, R: DeserializeOwned>(
        &self,
        wrap: fn(Vec<u8>) -> request::Kind,
        payload: &Q,
        limit: Duration,
    ) -> Result<R, WireError> {
        let response = self.call(wrap(encode(payload)?), limit).await?;
        decode_response(response)
    }

    /// Sends a request and waits for its response for `limit` at most.
    ///
    /// # Errors
    ///
    /// `Connection` and `Stopped` when the request was not answered because of the connection,
    /// `Timeout` when the peer may have handled it, `Refused` when the peer refused it.
    pub async fn call(
        &self,
        kind: request::Kind,
        limit: Duration,
    ) -> Result<response::Kind, WireError> {
        let (reply, answer) = oneshot::channel();
        let call = Call { kind, reply };
        self.calls.try_send(call).map_err(|_| WireError::Stopped)?;
        match timeout(limit, answer).await {
            Ok(Ok(Ok(response::Kind::Failure(failure)))) => Err(WireError::Refused(failure)),
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(WireError::Stopped),
            Err(_) => Err(WireError::Timeout),
        }
    }
}

/// Decodes the payload of a response.
///
/// # Errors
///
/// `Refused` for a failure, `UnexpectedResponse` for another kind, `Malformed` for a wrong payload.
pub fn decode_response<R: DeserializeOwned>(response: response::Kind) -> Result<R, WireError> {
    match response {
        response::Kind::Payload(bytes) => decode(&bytes),
        response::Kind::Failure(failure) => Err(WireError::Refused(failure)),
        _ => Err(WireError::UnexpectedResponse),
    }
}

async fn run(address: SocketAddr, identity: ClientIdentity, mut calls: mpsc::Receiver<Call>) {
    while let Some(first) = calls.recv().await {
        if first.reply.is_closed() {
            continue;
        }
        match connect(address, &identity).await {
            Ok(connection) => serve(connection, first, &mut calls).await,
            Err(error) => {
                let _ = first.reply.send(Err(error));
                refuse_waiting(&mut calls);
                tokio::time::sleep(RECONNECT_PAUSE).await;
            }
        }
    }
}

/// Answers calls that queued up during a failed connection, so that they need not time out.
fn refuse_waiting(calls: &mut mpsc::Receiver<Call>) {
    while let Ok(call) = calls.try_recv() {
        let refused = std::io::Error::from(std::io::ErrorKind::NotConnected);
        let _ = call.reply.send(Err(refused.into()));
    }
}

async fn connect(address: SocketAddr, identity: &ClientIdentity) -> Result<Connection, WireError> {
    let attempt = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let secured = identity.security.connect(stream).await?;
        let mut connection = Framed::new(secured, FrameCodec::new());
        let hello = request::Kind::Hello(identity.hello.clone());
        connection.send(request_frame(0, hello)).await?;
        Ok(connection)
    };
    timeout(CONNECT_TIMEOUT, attempt)
        .await
        .map_err(|_| WireError::Timeout)?
}

async fn serve(connection: Connection, first: Call, calls: &mut mpsc::Receiver<Call>) {
    let (mut sink, mut stream) = connection.split();
    let mut waiting = Waiting::new();
    let mut next_id = 1;
    let mut heard_at = Instant::now();
    let mut pending = Some(first);
    loop {
        if let Some(call) = pending.take() {
            waiting.retain(|_, reply| !reply.is_closed());
            if waiting.is_empty() {
                heard_at = Instant::now();
            }
            waiting.insert(next_id, call.reply);
            let sent = sink.send(request_frame(next_id, call.kind)).await;
            next_id += 1;
            if let Err(error) = sent {
                return fail_all(waiting, &error);
            }
        }
        tokio::select! {
            call = calls.recv() => match call {
                Some(call) => pending = Some(call),
                None => return,
            },
            frame = stream.next() => match frame {
                Some(Ok(frame)) => {
                    heard_at = Instant::now();
                    deliver(frame, &mut waiting);
                }
                Some(Err(error)) => return fail_all(waiting, &error),
                None => return fail_all(waiting, &WireError::Stopped),
            },
            () = tokio::time::sleep_until(heard_at + SILENCE_LIMIT), if !waiting.is_empty() => {
                return fail_all(waiting, &WireError::Timeout);
            }
        }
    }
}

fn request_frame(id: u64, kind: request::Kind) -> Frame {
    let request = Request { kind: Some(kind) };
    Frame {
        id,
        body: Some(frame::Body::Request(request)),
    }
}

fn deliver(frame: Frame, waiting: &mut Waiting) {
    let Some(reply) = waiting.remove(&frame.id) else {
        return;
    };
    let kind = match frame.body {
        Some(frame::Body::Response(Response { kind: Some(kind) })) => Ok(kind),
        _ => Err(WireError::UnexpectedResponse),
    };
    let _ = reply.send(kind);
}

fn fail_all(waiting: Waiting, error: &WireError) {
    for (_, reply) in waiting {
        let cause = match error {
            WireError::Timeout => WireError::Timeout,
            other => WireError::Connection(std::io::Error::other(other.to_string())),
        };
        let _ = reply.send(Err(cause));
    }
}
