//! HTTP/1.1 server for requests that are buffered whole: operator calls, announcements, lookups and metrics.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Maximum size of a request body, in bytes.
const MAX_REQUEST_BODY_BYTES: usize = 16 << 20;

/// Time allowed to receive a request head; also closes connections that stay idle for this long.
const HEADER_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of open connections; further connections are closed on arrival.
const MAX_CONNECTIONS: usize = 1_500;

/// Delay before the next accept after a failed one. Prevents a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Request handler of an [`HttpServer`].
pub trait HttpApi: Send + Sync + 'static {
    /// Handles a request whose body was received completely.
    fn handle(&self, request: Request<Bytes>) -> impl Future<Output = Response<Bytes>> + Send;
}

/// Handle to a listening socket; dropping it closes the socket and its connections.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: StopTokens,
    connections: TaskTracker,
}

/// Tokens that stop the connections of a server.
#[derive(Debug, Clone, Default)]
struct StopTokens {
    /// Cancelled when no more connections are accepted and open ones close after the request in progress.
    close: CancellationToken,
    /// Cancelled when open connections close at once.
    abort: CancellationToken,
}

impl HttpServer {
    /// Binds the address and starts to serve requests.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind<A: HttpApi>(address: SocketAddr, api: Arc<A>) -> Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("cannot bind {address}"))?;
        let address = listener.local_addr()?;
        let (stop, connections) = (StopTokens::default(), TaskTracker::new());
        tokio::spawn(accept_connections(
            listener,
            api,
            stop.clone(),
            connections.clone(),
        ));
        Ok(Self {
            address,
            stop,
            connections,
        })
    }

    /// Stops the server: refuses connections, and closes the open ones after the request in progress, at `deadline`
    /// at the latest.
    pub async fn stop(self, deadline: Instant) {
        self.stop.close.cancel();
        self.connections.close();
        let _ = timeout_at(deadline, self.connections.wait()).await;
    }

    /// Returns the bound address, with the actual port if port 0 was requested.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Stops several servers at the same time, see [`HttpServer::stop`].
pub async fn stop_all(servers: Vec<HttpServer>, timeout: Duration) {
    let deadline = Instant::now() + timeout;
    join_all(servers.into_iter().map(|server| server.stop(deadline))).await;
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop.close.cancel();
        self.stop.abort.cancel();
    }
}

async fn accept_connections<A: HttpApi>(
    listener: TcpListener,
    api: Arc<A>,
    stop: StopTokens,
    connections: TaskTracker,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.close.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        let (api, stop) = (Arc::clone(&api), stop.clone());
        connections.spawn(async move {
            tokio::select! {
                () = serve_connection(stream, api, &stop.close) => (),
                () = stop.abort.cancelled() => (),
            }
            drop(permit);
        });
    }
}

async fn serve_connection<A: HttpApi>(stream: TcpStream, api: Arc<A>, close: &CancellationToken) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| respond(request, Arc::clone(&api)));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // Errors of one connection affect only its client, so they are ignored.
    tokio::select! {
        _ = &mut connection => return,
        () = close.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn respond<A: HttpApi>(
    request: Request<Incoming>,
    api: Arc<A>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (parts, body) = request.into_parts();
    let response = match Limited::new(body, MAX_REQUEST_BODY_BYTES).collect().await {
        Ok(body) => {
            let request = Request::from_parts(parts, body.to_bytes());
            api.handle(request).await
        }
        Err(error) => {
            let message = format!("the body cannot be read: {error}");
            text(StatusCode::BAD_REQUEST, message)
        }
    };
    Ok(response.map(Full::new))
}

/// Creates a response with a status and a plain text body.
#[must_use]
pub fn text(status: StatusCode, message: impl Into<Bytes>) -> Response<Bytes> {
    let mut response = Response::new(message.into());
    *response.status_mut() = status;
    response
}

/// Handler that answers every path with the text that its function returns, such as a metrics page.
pub struct TextPage<F>(pub F);

impl<F: Fn() -> String + Send + Sync + 'static> HttpApi for TextPage<F> {
    async fn handle(&self, _request: Request<Bytes>) -> Response<Bytes> {
        text(StatusCode::OK, (self.0)())
    }
}
