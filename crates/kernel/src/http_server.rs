//! Small HTTP/1.1 server for calls with short bodies: operators, announcements, lookups, metrics.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

/// Largest body of a call.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Longest time for the head of a call, and for an idle connection.
const HEADER_TIMEOUT: Duration = Duration::from_secs(20);

/// Open connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 1_500;

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers calls. Implementations pass them to the part that owns the state.
pub trait HttpApi: Send + Sync + 'static {
    /// Answers one call whose body is complete.
    fn answer(&self, request: Request<Bytes>) -> impl Future<Output = Response<Bytes>> + Send;
}

/// Handle to a listening socket; dropping it closes the socket and its connections.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: CancellationToken,
}

impl HttpServer {
    /// Binds the address and starts to answer.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind<A: HttpApi>(address: SocketAddr, api: Arc<A>) -> Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("binding {address}"))?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        tokio::spawn(accept(listener, api, stop.clone()));
        Ok(Self { address, stop })
    }

    /// Address that is bound.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept<A: HttpApi>(listener: TcpListener, api: Arc<A>, stop: CancellationToken) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            continue;
        };
        let (api, stop) = (Arc::clone(&api), stop.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = serve(stream, api) => (),
                () = stop.cancelled() => (),
            }
            drop(slot);
        });
    }
}

async fn serve<A: HttpApi>(stream: TcpStream, api: Arc<A>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| respond(request, Arc::clone(&api)));
    // A broken connection concerns its caller only.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn respond<A: HttpApi>(
    request: Request<Incoming>,
    api: Arc<A>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = request.into_parts();
    let response = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            let request = Request::from_parts(parts, body.to_bytes());
            api.answer(request).await
        }
        Err(error) => {
            let message = format!("the body cannot be read: {error}");
            text(StatusCode::BAD_REQUEST, message)
        }
    };
    Ok(response.map(Full::new))
}

/// Plain text response.
#[must_use]
pub fn text(status: StatusCode, message: impl Into<Bytes>) -> Response<Bytes> {
    let mut response = Response::new(message.into());
    *response.status_mut() = status;
    response
}

/// Serves one text, such as metrics, at every path.
pub struct TextPage<F>(pub F);

impl<F: Fn() -> String + Send + Sync + 'static> HttpApi for TextPage<F> {
    async fn answer(&self, _request: Request<Bytes>) -> Response<Bytes> {
        text(StatusCode::OK, (self.0)())
    }
}
