//! Sample backend server: announces itself to entry instances, runs requests in a fixed number of slots and
//! injects faults.

mod announce;
mod control;
mod fault;
mod record;
mod response;
mod serve;
mod settings;
mod shared;
mod signal;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use radishpaddle_model::{BackendState, Incarnation};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

pub use fault::{CrashMoment, FaultPlan};
pub use record::{Execution, RECORDED_BODY_BYTES, digest};
pub use settings::BackendSettings;
pub use shared::BackendStatus;
pub use signal::{
    Arrival, CallerIdentity, LEAVING_HEADER, LeavingSignal, PAUSE_GRACE_US, PauseSignal,
    ResponseHeader, ResponseKind, SignalRecord,
};

use shared::Shared;

/// Sample backend server that has bound its ports but does not accept connections yet.
#[derive(Debug)]
pub struct BoundBackend {
    shared: Arc<Shared>,
    listener: TcpListener,
    control: Option<TcpListener>,
}

/// Handle of a running sample backend server. Dropping it stops the server.
#[derive(Debug)]
pub struct RunningBackend {
    shared: Arc<Shared>,
    control_address: Option<SocketAddr>,
    stop: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
}

/// Binds the ports of a sample backend server.
///
/// # Errors
///
/// Returns an error when a port cannot be bound.
pub async fn bind(settings: BackendSettings) -> io::Result<BoundBackend> {
    let listener = TcpListener::bind(settings.listen).await?;
    let control = match settings.control {
        Some(address) => Some(TcpListener::bind(address).await?),
        None => None,
    };
    let shared = Arc::new(Shared::new(settings, listener.local_addr()?));
    Ok(BoundBackend {
        shared,
        listener,
        control,
    })
}

/// Binds and starts a sample backend server.
///
/// # Errors
///
/// Returns an error when a port cannot be bound.
pub async fn spawn(settings: BackendSettings) -> io::Result<RunningBackend> {
    bind(settings).await?.spawn()
}

impl BoundBackend {
    /// Returns the address of the request port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Starts to accept requests and to announce the server.
    ///
    /// # Errors
    ///
    /// Returns an error when the address of the control port cannot be read.
    pub fn spawn(self) -> io::Result<RunningBackend> {
        let stop = CancellationToken::new();
        let control_address = self
            .control
            .as_ref()
            .map(TcpListener::local_addr)
            .transpose()?;
        let mut tasks = vec![
            tokio::spawn(serve::run(
                Arc::clone(&self.shared),
                self.listener,
                stop.clone(),
            )),
            tokio::spawn(announce::run(Arc::clone(&self.shared), stop.clone())),
        ];
        if let Some(listener) = self.control {
            let shared = Arc::clone(&self.shared);
            tasks.push(tokio::spawn(control::run(shared, listener, stop.clone())));
        }
        Ok(RunningBackend {
            shared: self.shared,
            control_address,
            stop,
            tasks,
        })
    }
}

impl RunningBackend {
    /// Returns the address of the request port, which is the same after a restart.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the address of the control port, if there is one.
    #[must_use]
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control_address
    }

    /// Returns the current faults.
    #[must_use]
    pub fn faults(&self) -> FaultPlan {
        self.shared.faults()
    }

    /// Replaces the faults. Requests that have already arrived keep the previous ones.
    pub fn set_faults(&self, plan: FaultPlan) {
        self.shared.set_faults(plan);
    }

    /// Replaces the entry instances, by the address of their backend port, that announcements are sent to.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        self.shared.set_entries(entries);
    }

    /// Returns the current state, incarnation and counters.
    #[must_use]
    pub fn status(&self) -> BackendStatus {
        self.shared.status()
    }

    /// Returns the current incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.shared.incarnation()
    }

    /// Returns the executions recorded since the start or the last [`Self::clear_executions`], in order
    /// of their start.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.execution_log.executions()
    }

    /// Discards the recorded executions.
    pub fn clear_executions(&self) {
        self.shared.execution_log.clear();
    }

    /// Returns the signals that the server sent, and the arrivals after them.
    #[must_use]
    pub fn signals(&self) -> SignalRecord {
        self.shared.signals.record()
    }

    /// Discards the recorded signals and arrivals.
    pub fn clear_signals(&self) {
        self.shared.signals.clear();
    }

    /// Stops accepting new requests and announces the drain to every entry instance. Returns the number
    /// of entry instances that accepted the announcement.
    pub async fn drain(&self) -> usize {
        self.shared.advance_state(BackendState::Draining);
        announce::announce_to_all(&self.shared).await
    }

    /// Announces to every entry instance that the server leaves the service. Returns the number of entry
    /// instances that accepted the announcement.
    pub async fn leave(&self) -> usize {
        self.shared.advance_state(BackendState::Left);
        announce::announce_to_all(&self.shared).await
    }

    /// Simulates a crash: drops every connection and stops listening. Restarts with the next incarnation
    /// after `restart_after_ms` milliseconds, if given.
    pub fn crash(&self, restart_after_ms: Option<u64>) {
        self.shared.crash(restart_after_ms);
    }

    /// Stops the server without an announcement and waits until its ports are closed.
    pub async fn stop(mut self) {
        self.stop.cancel();
        for task in self.tasks.drain(..) {
            // A task that panicked has released its sockets as well.
            let _ = task.await;
        }
    }
}

impl Drop for RunningBackend {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
