//! Accepts callers and serves their requests over HTTP/1.1.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::gateway::Shared;
use crate::request;

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Smallest read buffer that the library takes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Time beyond the idle limit of callers after which an idle connection is closed, so that a caller
/// within the limit never meets the close.
const IDLE_MARGIN: Duration = Duration::from_secs(2);

/// Handle to the listener for callers.
pub struct CallerListener {
    shared: Arc<Shared>,
    accepting: CancellationToken,
    closing: CancellationToken,
    connections: TaskTracker,
}

impl CallerListener {
    /// Binds the address of the settings and starts to accept.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(shared: Arc<Shared>) -> Result<Self> {
        let address = shared.settings.callers_listen;
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("caller address {address}"))?;
        let callers = Self {
            shared: Arc::clone(&shared),
            accepting: CancellationToken::new(),
            closing: CancellationToken::new(),
            connections: TaskTracker::new(),
        };
        tokio::spawn(accept(
            listener,
            shared,
            callers.accepting.clone(),
            callers.closing.clone(),
            callers.connections.clone(),
        ));
        Ok(callers)
    }

    /// Planned stop: callers with an old address answer are served for a while, then no connection is
    /// accepted and open ones end after the request in progress.
    pub async fn stop(self) {
        let (accepting_until, deadline) = self.shared.stop_times();
        tokio::time::sleep_until(accepting_until).await;
        self.accepting.cancel();
        self.closing.cancel();
        self.connections.close();
        let ended = tokio::time::timeout_at(deadline, self.connections.wait()).await;
        if ended.is_err() {
            log::warn!("gateway: the stop deadline passed with requests in progress");
        }
    }
}

async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    accepting: CancellationToken,
    closing: CancellationToken,
    connections: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = accepting.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (shared, closing) = (Arc::clone(&shared), closing.clone());
        connections.spawn(async move {
            shared.metrics.connections.inc();
            serve(stream, &shared, &closing).await;
            shared.metrics.connections.dec();
        });
    }
}

async fn serve(stream: TcpStream, shared: &Arc<Shared>, closing: &CancellationToken) {
    let _ = stream.set_nodelay(true);
    let limits = shared.table().config().limits.clone();
    let service = service_fn(|request| respond(request, Arc::clone(shared)));
    // The library's time for a head also runs while a connection is idle.
    let idle_limit = limits.idle_timeout_ms.max(limits.header_timeout_ms);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_limit) + IDLE_MARGIN)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // A broken connection concerns its caller only.
        _ = &mut connection => return,
        () = closing.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn respond(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let answer = request::handle(&shared, request).await;
    let mut response = answer.into_response();
    if shared.stopping.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}
