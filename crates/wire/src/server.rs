//! Accepts connections of peers and hands their requests to a handler.

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

/// Longest time from the accepted connection to the first request.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Open connections; more are closed at once.
const MAX_CONNECTIONS: usize = 2048;

/// Requests of one connection that are handled at the same time.
const MAX_REQUESTS_PER_CONNECTION: usize = 256;

/// Responses of one connection that wait for the socket.
const RESPONSE_QUEUE: usize = 256;

/// A peer as it named itself, after its certificate was checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIdentity {
    /// Name of the peer.
    pub instance: Arc<str>,
    /// Life of the peer process.
    pub incarnation: u64,
}

/// Handles the requests of peers. Implementations pass them to the task that owns the state.
pub trait PeerHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        &self,
        peer: PeerIdentity,
        request: request::Kind,
    ) -> impl Future<Output = response::Kind> + Send;
}

/// Handle to the task that owns the listening socket; dropping it closes the socket.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    stop: CancellationToken,
}

/// Name of the serving process, told to each peer.
#[derive(Clone)]
pub struct ServerIdentity {
    /// Name, incarnation and fleet of the serving process.
    pub hello: Hello,
    /// Proof of membership that peers have to give.
    pub security: PeerSecurity,
}

impl PeerServer {
    /// Binds the address and starts to accept.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind<H: PeerHandler>(
        address: SocketAddr,
        identity: ServerIdentity,
        handler: Arc<H>,
    ) -> Result<Self, WireError> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        tokio::spawn(accept(listener, identity, handler, stop.clone()));
        Ok(Self { address, stop })
    }

    /// Address that is bound.
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

async fn accept<H: PeerHandler>(
    listener: TcpListener,
    identity: ServerIdentity,
    handler: Arc<H>,
    stop: CancellationToken,
) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            // Out of file descriptors: accepting again at once would spin.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            continue;
        };
        let connection = serve(stream, identity.clone(), Arc::clone(&handler));
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = connection => (),
                () = stop.cancelled() => (),
            }
            drop(slot);
        });
    }
}

async fn serve<H: PeerHandler>(
    stream: TcpStream,
    identity: ServerIdentity,
    handler: Arc<H>,
) -> Result<(), WireError> {
    stream.set_nodelay(true)?;
    let opening = async {
        let secured = identity.security.accept(stream).await?;
        let mut connection = Framed::new(secured, FrameCodec::new());
        let peer = greet(&mut connection, &identity.hello).await?;
        Ok::<_, WireError>((connection, peer))
    };
    let (connection, peer) = timeout(HELLO_TIMEOUT, opening)
        .await
        .map_err(|_| WireError::Timeout)??;
    let (mut sink, mut requests) = connection.split();
    let (responses, mut outgoing) = mpsc::channel::<Frame>(RESPONSE_QUEUE);
    let limit = Arc::new(Semaphore::new(MAX_REQUESTS_PER_CONNECTION));
    let write = async move {
        while let Some(frame) = outgoing.recv().await {
            sink.send(frame).await?;
        }
        Ok::<_, WireError>(())
    };
    let read = async move {
        while let Some(frame) = requests.next().await {
            let frame = frame?;
            let Ok(permit) = Arc::clone(&limit).acquire_owned().await else {
                return Ok(());
            };
            let (handler, peer) = (Arc::clone(&handler), peer.clone());
            let responses = responses.clone();
            tokio::spawn(async move {
                let response = answer(&*handler, peer, frame).await;
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

async fn greet(
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
    if let Some((reason, message)) = mismatch(&hello, own) {
        let refusal = failure(reason, message);
        connection.send(response_frame(frame.id, refusal)).await?;
        return Err(WireError::Malformed(message.into()));
    }
    let reply = HelloReply {
        instance: own.instance.clone(),
        incarnation: own.incarnation,
    };
    connection
        .send(response_frame(frame.id, response::Kind::Hello(reply)))
        .await?;
    Ok(PeerIdentity {
        instance: hello.instance.into(),
        incarnation: hello.incarnation,
    })
}

fn mismatch(peer: &Hello, own: &Hello) -> Option<(failure::Reason, &'static str)> {
    if peer.fleet != own.fleet {
        return Some((failure::Reason::WrongFleet, "peer belongs to another fleet"));
    }
    (peer.protocol_version != own.protocol_version).then_some((
        failure::Reason::WrongVersion,
        "peer speaks another version of the protocol",
    ))
}

async fn answer<H: PeerHandler>(handler: &H, peer: PeerIdentity, frame: Frame) -> Frame {
    let kind = match frame.body {
        Some(frame::Body::Request(request)) => request.kind,
        _ => None,
    };
    let response = match kind {
        Some(kind) => handler.handle(peer, kind).await,
        None => failure(failure::Reason::Malformed, "frame holds no known request"),
    };
    response_frame(frame.id, response)
}

fn response_frame(id: u64, kind: response::Kind) -> Frame {
    let response = Response { kind: Some(kind) };
    Frame {
        id,
        body: Some(frame::Body::Response(response)),
    }
}

/// A refusal with its reason.
#[must_use]
pub fn failure(reason: failure::Reason, message: impl Into<String>) -> response::Kind {
    response::Kind::Failure(Failure {
        reason: reason.into(),
        message: message.into(),
    })
}
