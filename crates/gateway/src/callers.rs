//! Listener for callers, which serves their requests over HTTP/1.1.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use radishpaddle_kernel::{LogSampling, caller_stream};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::caller_body::{CallerBody, StallLimitedStream};
use crate::gateway::Shared;
use crate::request;

/// Delay after a failed accept, so that the loop does not spin while file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Time added to the idle timeout of callers before an idle connection is closed, so that a caller that
/// observes the timeout never sends a request on a connection that is being closed.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Handle to the listener for callers.
pub struct CallerListener {
    shared: Arc<Shared>,
    /// Cancelled when no more connections are accepted.
    stop_accepting: CancellationToken,
    /// Cancelled when open connections close after the request in progress.
    close_connections: CancellationToken,
    connections: TaskTracker,
}

impl CallerListener {
    /// Binds the address of the settings and starts to accept connections.
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
            stop_accepting: CancellationToken::new(),
            close_connections: CancellationToken::new(),
            connections: TaskTracker::new(),
        };
        tokio::spawn(accept(
            listener,
            shared,
            callers.stop_accepting.clone(),
            callers.close_connections.clone(),
            callers.connections.clone(),
        ));
        Ok(callers)
    }

    /// Stops gracefully. Connections are accepted for a while, because callers cache the addresses of gateways;
    /// then open connections close after the request in progress. Requests whose time limit ends after the process are
    /// refused from the beginning; those taken earlier get an error response shortly before the stop deadline.
    pub async fn stop(self) {
        let begun_at = self.shared.stop.begin();
        let plan = self.shared.stop.plan();
        let longest_time_limit = self.shared.table().config().longest_timeout();
        sleep_until(begun_at + plan.accept_for(longest_time_limit)).await;
        self.stop_accepting.cancel();
        self.close_connections.cancel();
        self.connections.close();
        self.record_progress("stop_accepting");
        let requests_end_at = begun_at + plan.requests_end_after();
        let ended = timeout_at(requests_end_at, self.connections.wait()).await;
        if ended.is_err() {
            self.record_progress("stop_deadline");
            self.shared.stop.end_requests();
            // Callers that do not read their answers must not delay the end of the process.
            let deadline = begun_at + plan.process_ends_after();
            let _ = timeout_at(deadline, self.connections.wait()).await;
        }
    }

    /// Records a step of the stop with the requests in progress.
    fn record_progress(&self, event: &'static str) {
        let metrics = &self.shared.metrics;
        self.shared.log.record(event, LogSampling::Each, || {
            json!({"requests_in_progress": metrics.in_progress.get(),
                   "connections": metrics.connections.get()})
        });
    }
}

async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    stop_accepting: CancellationToken,
    close_connections: CancellationToken,
    connections: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = stop_accepting.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (shared, close) = (Arc::clone(&shared), close_connections.clone());
        connections.spawn(async move {
            shared.metrics.connections.inc();
            serve_connection(stream, &shared, &close).await;
            shared.metrics.connections.dec();
        });
    }
}

async fn serve_connection(stream: TcpStream, shared: &Arc<Shared>, close: &CancellationToken) {
    let _ = stream.set_nodelay(true);
    let limits = shared.table().config().limits.clone();
    let (stream, caller_close) = caller_stream::watch(stream);
    let stream = StallLimitedStream::new(stream, shared.budget.clone());
    let service = service_fn(|request| respond(request, Arc::clone(shared)));
    // The header timeout of hyper also runs while a connection is idle.
    let idle_limit = limits.idle_timeout_ms.max(limits.header_timeout_ms);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_limit) + IDLE_TIMEOUT_MARGIN)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    caller_stream::serve(connection, close, &caller_close).await;
}

async fn respond(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<Response<CallerBody>, Infallible> {
    let answer = request::handle(&shared, request).await;
    let mut response = answer.into_response(shared.large_body_pace());
    if shared.stop.has_begun() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}
