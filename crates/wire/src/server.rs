//! Server of the peer protocol: accepts connections of peers and passes their requests to a
//! handler.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt as _, StreamExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

use crate::codec::FrameCodec;
use crate::error::WireError;
use crate::message::{
    Failure, Frame, Hello, HelloReply, Response, failure, frame, request, response,
};
use crate::tls::{PeerSecurity, PeerStream};

/// Limit for the TLS handshake and the exchange of `Hello` on an accepted connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a frame from the peer after which its connection is closed. The connection of a peer
/// that lost power would otherwise count towards [`MAX_CONNECTIONS`] for good. Clients open a new
/// connection for the next call.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Limit of open connections. Further accepted connections are closed immediately.
const MAX_CONNECTIONS: usize = 2048;

/// Limit of concurrent requests on one connection. At the limit the server stops reading from the
/// connection until a response is queued.
const MAX_CONCURRENT_REQUESTS: usize = 256;

/// Capacity of the queue of responses of one connection that are to be written.
const RESPONSE_QUEUE_LENGTH: usize = 256;

/// Delay after a failed accept. When the process is out of file descriptors, an immediate retry
/// would be a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Identity that a peer stated in its `Hello`. With TLS its certificate was verified before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Instance name of the peer.
    pub instance: Arc<str>,
    /// Incarnation of the peer process.
    pub incarnation: u64,
}

/// Handles the requests of peers. Implementations forward them to the task that owns the state.
pub trait PeerHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        &self,
        peer: PeerIdentity,
        request: request::Kind,
    ) -> impl Future<Output = response::Kind> + Send;

    /// Answers one request that may have an extension; returns the response and its extension.
    /// Requests of peers of an earlier build have an empty extension.
    fn handle_extended(
        &self,
        peer: PeerIdentity,
        request: request::Kind,
        _extension: Vec<u8>,
    ) -> impl Future<Output = (response::Kind, Vec<u8>)> + Send {
        async { (self.handle(peer, request).await, Vec::new()) }
    }
}

/// Handle to the task that owns the listening socket. Dropping it closes the socket and all
/// accepted connections.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    stop: CancellationToken,
}

/// Identity and credentials of the serving process.
#[derive(Clone)]
pub struct ServerIdentity {
    /// Name, incarnation and fleet of the serving process.
    pub hello: Hello,
    /// Credentials of the process, and the authority that must have signed the certificates of
    /// peers.
    pub security: PeerSecurity,
}

impl PeerServer {
    /// Binds the address and starts a task that accepts connections.
    ///
    /// # Errors
    ///
    /// `Connection` when the address cannot be bound.
    pub async fn bind<H: PeerHandler>(
        address: SocketAddr,
        identity: ServerIdentity,
        handler: Arc<H>,
    ) -> Result<Self, WireError> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        tokio::spawn(accept_connections(
            listener,
            identity,
            handler,
            stop.clone(),
        ));
        Ok(Self { address, stop })
    }

    /// Bound address of the listening socket.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept_connections<H: PeerHandler>(
    listener: TcpListener,
    identity: ServerIdentity,
    handler: Arc<H>,
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
        let connection = serve_connection(stream, identity.clone(), Arc::clone(&handler));
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = connection => (),
                () = stop.cancelled() => (),
            }
            drop(permit);
        });
    }
}

/// Performs the handshake on a connection and answers its requests until it is closed.
async fn serve_connection<H: PeerHandler>(
    stream: TcpStream,
    identity: ServerIdentity,
    handler: Arc<H>,
) -> Result<(), WireError> {
    stream.set_nodelay(true)?;
    let handshake = async {
        let stream = identity.security.accept(stream).await?;
        let mut connection = Framed::new(stream, FrameCodec::new());
        let peer = exchange_hello(&mut connection, &identity.hello).await?;
        Ok::<_, WireError>((connection, peer))
    };
    let (connection, peer) = timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .map_err(|_| WireError::Timeout)??;
    let (mut sink, mut requests) = connection.split();
    let (responses, mut response_queue) = mpsc::channel::<Frame>(RESPONSE_QUEUE_LENGTH);
    let request_permits = Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS));
    let write = async move {
        while let Some(frame) = response_queue.recv().await {
            sink.send(frame).await?;
        }
        Ok::<_, WireError>(())
    };
    let read = async move {
        while let Ok(Some(frame)) = timeout(IDLE_TIMEOUT, requests.next()).await {
            let frame = frame?;
            let Ok(permit) = Arc::clone(&request_permits).acquire_owned().await else {
                return Ok(());
            };
            let (handler, peer) = (Arc::clone(&handler), peer.clone());
            let responses = responses.clone();
            tokio::spawn(async move {
                let response = handle_frame(&*handler, peer, frame).await;
                let _ = responses.send(response).await;
                drop(permit);
            });
        }
        Ok::<_, WireError>(())
    };
    tokio::select! {
        result = read => result,
        result = write => result,
    }
}

/// Receives the peer's `Hello` and replies to it. A peer of another fleet or protocol version is
/// refused.
async fn exchange_hello(
    connection: &mut Framed<Box<dyn PeerStream>, FrameCodec>,
    own: &Hello,
) -> Result<PeerIdentity, WireError> {
    let frame = connection.next().await.ok_or(WireError::Stopped)??;
    let Some(frame::Body::Request(request)) = frame.body else {
        return Err(WireError::Malformed("first frame is not a request".into()));
    };
    let Some(request::Kind::Hello(hello)) = request.kind else {
        return Err(WireError::Malformed("first request is not Hello".into()));
    };
    if let Some((reason, message)) = find_mismatch(&hello, own) {
        let refusal = failure_response(reason, message);
        connection
            .send(response_frame(frame.id, refusal, Vec::new()))
            .await?;
        return Err(WireError::Malformed(message.into()));
    }
    let reply = HelloReply {
        instance: own.instance.clone(),
        incarnation: own.incarnation,
    };
    let reply = response::Kind::Hello(reply);
    connection
        .send(response_frame(frame.id, reply, Vec::new()))
        .await?;
    Ok(PeerIdentity {
        instance: hello.instance.into(),
        incarnation: hello.incarnation,
    })
}

/// Returns why a peer with this `Hello` must be refused, if it must.
fn find_mismatch(peer: &Hello, own: &Hello) -> Option<(failure::Reason, &'static str)> {
    if peer.fleet != own.fleet {
        return Some((failure::Reason::WrongFleet, "peer belongs to another fleet"));
    }
    (peer.protocol_version != own.protocol_version).then_some((
        failure::Reason::WrongVersion,
        "peer speaks another version of the protocol",
    ))
}

/// Passes a request to the handler and returns the frame with the response.
async fn handle_frame<H: PeerHandler>(handler: &H, peer: PeerIdentity, frame: Frame) -> Frame {
    let (kind, extension) = match frame.body {
        Some(frame::Body::Request(request)) => (request.kind, request.extension),
        _ => (None, Vec::new()),
    };
    let (kind, extension) = if let Some(kind) = kind {
        handler.handle_extended(peer, kind, extension).await
    } else {
        let message = "frame holds no known request";
        let failure = failure_response(failure::Reason::Malformed, message);
        (failure, Vec::new())
    };
    response_frame(frame.id, kind, extension)
}

const fn response_frame(id: u64, kind: response::Kind, extension: Vec<u8>) -> Frame {
    let response = Response {
        kind: Some(kind),
        extension,
    };
    Frame {
        id,
        body: Some(frame::Body::Response(response)),
    }
}

/// Creates a failure response.
#[must_use]
pub fn failure_response(reason: failure::Reason, message: impl Into<String>) -> response::Kind {
    response::Kind::Failure(Failure {
        reason: reason.into(),
        message: message.into(),
    })
}
