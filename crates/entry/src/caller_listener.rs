//! HTTP/1.1 listener for callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use radishpaddle_kernel::caller_stream;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::addresses::{ADDRESSES_PATH, AddressResponder};
use crate::caller_response::{CallerResponse, ResponseBody};
use crate::request_handler::RequestHandler;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Shared state of all connections.
struct ConnectionContext {
    handler: Arc<RequestHandler>,
    addresses: AddressResponder,
    /// Cancelled at the end of the drain window. Open connections close after the request in
    /// progress.
    closing: CancellationToken,
}

/// Handle to the listener for callers.
pub struct CallerListener {
    address: SocketAddr,
    context: Arc<ConnectionContext>,
    accepting: CancellationToken,
    connections: TaskTracker,
}

impl CallerListener {
    /// Binds the address and starts to accept connections.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(handler: Arc<RequestHandler>, addresses: AddressResponder) -> Result<Self> {
        let address = handler.settings.listen.callers;
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("cannot bind the caller address {address}"))?;
        let address = listener.local_addr()?;
        let context = Arc::new(ConnectionContext {
            handler,
            addresses,
            closing: CancellationToken::new(),
        });
        let accepting = CancellationToken::new();
        let connections = TaskTracker::new();
        tokio::spawn(accept_connections(
            listener,
            Arc::clone(&context),
            accepting.clone(),
            connections.clone(),
        ));
        Ok(Self {
            address,
            context,
            accepting,
            connections,
        })
    }

    /// Returns the address that the listener is bound to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the listener. It keeps serving during the drain window, because callers may have
    /// cached the address list or keep an idle connection. New connections are accepted only while
    /// every request can end in time; requests on open connections whose time limit ends later are
    /// refused. After the window, open connections close after the request in progress. Requests
    /// that do not end in time get a refusal shortly before the end. Returns at `deadline` at the
    /// latest.
    pub async fn stop(self, deadline: Instant) {
        let handler = &self.context.handler;
        let begun_at = handler.stop.begin();
        let plan = handler.stop.plan();
        let at = |after: Duration| (begun_at + after).min(deadline);
        let longest_time_limit = handler.config.current().longest_timeout();
        sleep_until(at(plan.accept_for(longest_time_limit))).await;
        self.accepting.cancel();
        self.log_progress("no more connections are accepted");
        let drain_window = handler.settings.timing.drain_window();
        sleep_until(at(drain_window.min(plan.requests_end_after()))).await;
        self.context.closing.cancel();
        self.connections.close();
        let ended = timeout_at(at(plan.requests_end_after()), self.connections.wait());
        if ended.await.is_err() {
            self.log_progress("the time for requests has passed");
            handler.stop.end_requests();
            // Callers that do not read their responses must not delay the end of the process.
            let _ = timeout_at(at(plan.process_ends_after()), self.connections.wait()).await;
        }
    }

    /// Logs a step of the stop with the requests in progress.
    fn log_progress(&self, step: &str) {
        let metrics = &self.context.handler.metrics;
        log::info!(
            "entry: planned stop: {step}; {} requests in progress on {} connections",
            metrics.in_progress.get(),
            metrics.connections.get()
        );
    }
}

async fn accept_connections(
    listener: TcpListener,
    context: Arc<ConnectionContext>,
    accepting: CancellationToken,
    connections: TaskTracker,
) {
    let limit = context.handler.settings.limits.caller_connections;
    let connection_permits = Arc::new(Semaphore::new(limit));
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = accepting.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            // The process may be out of file descriptors. Without the delay the loop would spin.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&connection_permits).try_acquire_owned() else {
            continue;
        };
        let context = Arc::clone(&context);
        connections.spawn(async move {
            context.handler.metrics.connections.inc();
            serve_connection(stream, &context).await;
            context.handler.metrics.connections.dec();
            drop(permit);
        });
    }
}

async fn serve_connection(stream: TcpStream, context: &Arc<ConnectionContext>) {
    let _ = stream.set_nodelay(true);
    let (stream, caller_close) = caller_stream::watch(stream);
    let limits = &context.handler.settings.limits;
    let service = service_fn(|request| respond(request, Arc::clone(context)));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.header_bytes)
        .serve_connection(TokioIo::new(stream), service);
    caller_stream::serve(connection, &context.closing, &caller_close).await;
}

async fn respond(
    request: Request<Incoming>,
    context: Arc<ConnectionContext>,
) -> Result<Response<ResponseBody>, Infallible> {
    let request_id = context.handler.request_ids.next();
    let caller_response = if request.uri().path() == ADDRESSES_PATH {
        address_response(&context, &request)
    } else {
        context.handler.handle(request, &request_id).await
    };
    let mut response = caller_response.into_response(&request_id);
    let headers = response.headers_mut();
    if context.handler.stop.has_begun() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    } else {
        let seconds = context.handler.settings.timing.keep_alive_ms / 1000;
        if let Ok(value) = HeaderValue::from_str(&format!("timeout={seconds}")) {
            headers.insert(KEEP_ALIVE, value);
        }
    }
    Ok(response)
}

fn address_response(context: &ConnectionContext, request: &Request<Incoming>) -> CallerResponse {
    let config = context.handler.config.current();
    let key = crate::forward::presented_key(request.headers());
    context.addresses.respond(&config, key)
}
