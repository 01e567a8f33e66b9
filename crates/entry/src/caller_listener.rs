//! Accepts callers and serves their requests over HTTP/1.1.

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
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::addresses::{ADDRESSES_PATH, AddressBook};
use crate::answer::{Answer, AnswerBody};
use crate::request::RequestHandler;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Everything that a connection needs.
struct Shared {
    handler: Arc<RequestHandler>,
    addresses: AddressBook,
    /// Cancelled when a planned stop begins: answers end their connections.
    stopping: CancellationToken,
    /// Cancelled when open connections have to end after the request in progress.
    closing: CancellationToken,
}

/// Handle to the listener for callers.
pub struct CallerListener {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: CancellationToken,
    connections: TaskTracker,
    drain_window: Duration,
}

impl CallerListener {
    /// Binds the address and starts to accept.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(
        handler: Arc<RequestHandler>,
        addresses: AddressBook,
        stopping: CancellationToken,
    ) -> Result<Self> {
        let address = handler.settings.listen.callers;
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("caller address {address}"))?;
        let address = listener.local_addr()?;
        let drain_window = handler.settings.timing.drain_window();
        let shared = Arc::new(Shared {
            handler,
            addresses,
            stopping,
            closing: CancellationToken::new(),
        });
        let accepting = CancellationToken::new();
        let connections = TaskTracker::new();
        tokio::spawn(accept(
            listener,
            Arc::clone(&shared),
            accepting.clone(),
            connections.clone(),
        ));
        Ok(Self {
            address,
            shared,
            accepting,
            connections,
            drain_window,
        })
    }

    /// Address that is bound.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Planned stop: callers with an old address answer are served during the drain window, then no
    /// connection is accepted and open ones end after the request in progress.
    pub async fn stop(self, deadline: Instant) {
        let window_end = (Instant::now() + self.drain_window).min(deadline);
        tokio::time::sleep_until(window_end).await;
        self.accepting.cancel();
        self.shared.closing.cancel();
        self.connections.close();
        if tokio::time::timeout_at(deadline, self.connections.wait())
            .await
            .is_err()
        {
            log::warn!("entry: stop deadline passed with requests in progress");
        }
    }
}

async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
    accepting: CancellationToken,
    connections: TaskTracker,
) {
    let limit = shared.handler.settings.limits.caller_connections;
    let slots = Arc::new(Semaphore::new(limit));
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = accepting.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            // Out of file descriptors: accepting again at once would spin.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            continue;
        };
        let shared = Arc::clone(&shared);
        connections.spawn(async move {
            shared.handler.metrics.connections.inc();
            serve(stream, &shared).await;
            shared.handler.metrics.connections.dec();
            drop(slot);
        });
    }
}

async fn serve(stream: TcpStream, shared: &Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let limits = &shared.handler.settings.limits;
    let service = service_fn(|request| respond(request, Arc::clone(shared)));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.header_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = &mut connection => return,
        () = shared.closing.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn respond(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<Response<AnswerBody>, Infallible> {
    let request_id = shared.handler.request_ids.next();
    let answer = if request.uri().path() == ADDRESSES_PATH {
        addresses(&shared, &request)
    } else {
        shared.handler.handle(request, &request_id).await
    };
    let mut response = answer.into_response(&request_id);
    let headers = response.headers_mut();
    if shared.stopping.is_cancelled() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    } else {
        let seconds = shared.handler.settings.timing.keep_alive_ms / 1000;
        if let Ok(value) = HeaderValue::from_str(&format!("timeout={seconds}")) {
            headers.insert(KEEP_ALIVE, value);
        }
    }
    Ok(response)
}

fn addresses(shared: &Shared, request: &Request<Incoming>) -> Answer {
    let config = shared.handler.config.current();
    let key = crate::forward::presented_key(request.headers());
    shared.addresses.answer(&config, key)
}
