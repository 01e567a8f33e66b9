//! Admin HTTP server for metrics, health and journal.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;

use anyhow::{Result, anyhow};
use prometheus::{Registry, TextEncoder};
use rouille::{Request, Response, Server};

use crate::context::Context;
use crate::journal::Journal;

/// Threads that serve admin requests. Two suffice because metric scrapes are rare and short.
const ADMIN_THREADS: usize = 2;

/// Readiness flag of the process, reported at `/ready`.
#[derive(Debug, Default)]
pub struct Readiness(AtomicBool);

impl Readiness {
    /// Sets whether the process is ready to receive requests.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Relaxed);
    }

    /// Returns whether the process is ready to receive requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Handler for additional paths of a program, tried before the shared ones. `None` means that it does not
/// serve the path.
pub type ExtraPaths = Box<dyn Fn(&Request) -> Option<Response> + Send + Sync>;

/// Handle to the admin server; dropping it stops the server.
pub struct AdminServer {
    address: SocketAddr,
    stop: mpsc::Sender<()>,
}

impl AdminServer {
    /// Binds the address and starts to serve requests.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(address: SocketAddr, context: &Context, extra_paths: ExtraPaths) -> Result<Self> {
        let readiness = context.get::<Readiness>()?;
        let metrics = context.metrics.clone();
        let journal = context.journal.clone();
        let handler = move |request: &Request| {
            extra_paths(request).unwrap_or_else(|| respond(request, &metrics, &journal, &readiness))
        };
        let server = Server::new(address, handler)
            .map_err(|error| anyhow!("admin address {address}: {error}"))?
            .pool_size(ADMIN_THREADS);
        let address = server.server_addr();
        let (_thread, stop) = server.stoppable();
        Ok(Self { address, stop })
    }

    /// Returns the bound address, with the actual port if port 0 was requested.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        let _ = self.stop.send(());
    }
}

fn respond(
    request: &Request,
    metrics: &Registry,
    journal: &Journal,
    readiness: &Arc<Readiness>,
) -> Response {
    match request.url().as_str() {
        "/metrics" => metrics_response(metrics),
        "/live" => Response::text("live\n"),
        "/ready" if readiness.is_ready() => Response::text("ready\n"),
        "/ready" => Response::text("not ready\n").with_status_code(503),
        "/v1/journal" => journal_response(request, journal),
        _ => Response::empty_404(),
    }
}

fn metrics_response(metrics: &Registry) -> Response {
    match TextEncoder::new().encode_to_string(&metrics.gather()) {
        Ok(text) => Response::text(text),
        Err(error) => Response::text(error.to_string()).with_status_code(500),
    }
}

/// Returns the events as JSON lines; `?since=N` selects those after sequence number N.
fn journal_response(request: &Request, journal: &Journal) -> Response {
    let since = request
        .get_param("since")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let lines: String = journal
        .since(since)
        .iter()
        .filter_map(|event| serde_json::to_string(event).ok())
        .map(|line| line + "\n")
        .collect();
    Response::from_data("application/x-ndjson", lines)
}
