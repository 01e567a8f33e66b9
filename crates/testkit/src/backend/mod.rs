//! Sample backend server: announces itself, runs requests in slots and injects faults.

mod announce;
mod answer;
mod control;
mod fault;
mod record;
mod serve;
mod settings;
mod shared;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use radishpaddle_model::{BackendState, Incarnation};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

pub use fault::FaultPlan;
pub use record::{Execution, RECORDED_BODY_BYTES, digest};
pub use settings::BackendSettings;
pub use shared::BackendStatus;

use shared::Shared;

/// A backend server that holds its ports and accepts nothing yet.
#[derive(Debug)]
pub struct BoundBackend {
    shared: Arc<Shared>,
    listener: TcpListener,
    control: Option<TcpListener>,
}

/// A running sample backend server. It stops when the handle is dropped.
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
    /// Address of the request port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Starts accepting requests and announcing.
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
    /// Address of the request port; a restart keeps it.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Address of the control port, if there is one.
    #[must_use]
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control_address
    }

    /// Faults in force.
    #[must_use]
    pub fn faults(&self) -> FaultPlan {
        self.shared.faults()
    }

    /// Replaces the faults; requests that arrive from now on see them.
    pub fn set_faults(&self, plan: FaultPlan) {
        self.shared.set_faults(plan);
    }

    /// Replaces the backend ports of the entry instances that announcements go to.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        self.shared.set_entries(entries);
    }

    /// State, incarnation and counts.
    #[must_use]
    pub fn status(&self) -> BackendStatus {
        self.shared.status()
    }

    /// Incarnation that runs now.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.shared.incarnation()
    }

    /// Executions since the start or the last [`Self::clear_executions`], in order of their start.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.recorder.executions()
    }

    /// Forgets the recorded executions.
    pub fn clear_executions(&self) {
        self.shared.recorder.clear();
    }

    /// Takes no new work from now on and tells every entry instance. Returns how many accepted the
    /// announcement.
    pub async fn drain(&self) -> usize {
        self.shared.advance(BackendState::Draining);
        announce::announce_to_all(&self.shared).await
    }

    /// Leaves on purpose and tells every entry instance. Returns how many accepted the announcement.
    pub async fn leave(&self) -> usize {
        self.shared.advance(BackendState::Left);
        announce::announce_to_all(&self.shared).await
    }

    /// Drops every connection and stops listening. Restarts with the next incarnation after
    /// `restart_after_ms` milliseconds, if given.
    pub fn crash(&self, restart_after_ms: Option<u64>) {
        self.shared.crash(restart_after_ms);
    }

    /// Stops without telling anybody and waits until the ports are closed.
    pub async fn stop(mut self) {
        self.stop.cancel();
        for task in self.tasks.drain(..) {
            // A task that panicked has already released its sockets.
            let _ = task.await;
        }
    }
}

impl Drop for RunningBackend {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
