//! TCP proxy that injects faults for each direction. The faults can be changed while connections are open.

mod connection;
mod control;
mod plan;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

pub use plan::{Cut, DirectionPlan, Loss, ProxyPlan};

/// Delay before the next attempt after a failed accept or bind.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Addresses and initial faults of a fault proxy.
#[derive(Debug, Clone)]
pub struct FaultProxySettings {
    /// Address for clients; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address that connections are forwarded to.
    pub target: SocketAddr,
    /// Address of the HTTP control port; `None` opens no control port.
    pub control: Option<SocketAddr>,
    /// Initial faults.
    pub plan: ProxyPlan,
}

/// Connection and byte counters since the proxy started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProxyStatus {
    /// Connections accepted from clients.
    pub accepted: u64,
    /// Connections that are currently open.
    pub open: usize,
    /// Bytes delivered to the target.
    pub bytes_to_target: u64,
    /// Bytes delivered to clients.
    pub bytes_to_client: u64,
}

/// Handle of a running fault proxy. Dropping it stops the proxy.
#[derive(Debug)]
pub struct RunningFaultProxy {
    shared: Arc<Shared>,
    control_address: Option<SocketAddr>,
    stop: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    target: SocketAddr,
    plan: watch::Sender<ProxyPlan>,
    /// Generation counter; each increment resets the open connections.
    resets: watch::Sender<u64>,
    accepted: AtomicU64,
    open: AtomicUsize,
    bytes_to_target: Arc<AtomicU64>,
    bytes_to_client: Arc<AtomicU64>,
}

impl FaultProxySettings {
    /// Returns settings for a free loopback port, without a control port and without faults.
    #[must_use]
    pub fn new(target: SocketAddr) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            target,
            control: None,
            plan: ProxyPlan::default(),
        }
    }
}

/// Binds the ports and starts the proxy.
///
/// # Errors
///
/// Returns an error when a port cannot be bound.
pub async fn spawn(settings: FaultProxySettings) -> io::Result<RunningFaultProxy> {
    let listener = TcpListener::bind(settings.listen).await?;
    let shared = Arc::new(Shared {
        address: listener.local_addr()?,
        target: settings.target,
        plan: watch::Sender::new(settings.plan),
        resets: watch::Sender::new(0),
        accepted: AtomicU64::new(0),
        open: AtomicUsize::new(0),
        bytes_to_target: Arc::default(),
        bytes_to_client: Arc::default(),
    });
    let stop = CancellationToken::new();
    let mut control_address = None;
    let mut tasks = Vec::new();
    if let Some(address) = settings.control {
        let control = TcpListener::bind(address).await?;
        control_address = Some(control.local_addr()?);
        let run = control::run(Arc::clone(&shared), control, stop.clone());
        tasks.push(tokio::spawn(run));
    }
    let run = accept_connections(Arc::clone(&shared), listener, stop.clone());
    tasks.push(tokio::spawn(run));
    Ok(RunningFaultProxy {
        shared,
        control_address,
        stop,
        tasks,
    })
}

impl RunningFaultProxy {
    /// Returns the address that clients connect to.
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
    pub fn plan(&self) -> ProxyPlan {
        self.shared.plan.borrow().clone()
    }

    /// Replaces the faults; open connections are affected too.
    pub fn set_plan(&self, plan: ProxyPlan) {
        self.shared.plan.send_replace(plan);
    }

    /// Modifies the faults in place; open connections are affected too.
    pub fn modify_plan(&self, change: impl FnOnce(&mut ProxyPlan)) {
        self.shared.plan.send_modify(change);
    }

    /// Resets every open connection (TCP RST) in both directions.
    pub fn reset_connections(&self) {
        self.shared.reset_connections();
    }

    /// Returns the counters since the proxy started.
    #[must_use]
    pub fn status(&self) -> ProxyStatus {
        self.shared.status()
    }

    /// Stops the proxy and waits until its ports are closed.
    pub async fn stop(mut self) {
        self.stop.cancel();
        for task in self.tasks.drain(..) {
            // A task that panicked has released its sockets as well.
            let _ = task.await;
        }
    }
}

impl Drop for RunningFaultProxy {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Shared {
    fn reset_connections(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    fn status(&self) -> ProxyStatus {
        ProxyStatus {
            accepted: self.accepted.load(Ordering::Relaxed),
            open: self.open.load(Ordering::Relaxed),
            bytes_to_target: self.bytes_to_target.load(Ordering::Relaxed),
            bytes_to_client: self.bytes_to_client.load(Ordering::Relaxed),
        }
    }
}

/// Accepts connections until `stop` is cancelled, and closes and rebinds the port as the plan demands.
async fn accept_connections(shared: Arc<Shared>, listener: TcpListener, stop: CancellationToken) {
    let mut listener = Some(listener);
    let mut plan = shared.plan.subscribe();
    loop {
        let refuse = plan.borrow_and_update().refuse_connections;
        if refuse {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(shared.address).await.ok();
        }
        tokio::select! {
            () = stop.cancelled() => return,
            // Cannot fail: `shared` owns the sender.
            _ = plan.changed() => {}
            accepted = accept(listener.as_ref(), refuse) => match accepted {
                Some(stream) => spawn_connection(&shared, stream, &stop),
                None => tokio::time::sleep(RETRY_DELAY).await,
            },
        }
    }
}

/// Accepts the next connection. Without a listener it waits forever if `refuse` is set; otherwise it
/// returns `None`, so that the caller retries the bind.
async fn accept(listener: Option<&TcpListener>, refuse: bool) -> Option<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.ok().map(|(stream, _)| stream),
        None if refuse => std::future::pending().await,
        None => None,
    }
}

/// Spawns the task that forwards one connection.
fn spawn_connection(shared: &Arc<Shared>, stream: TcpStream, stop: &CancellationToken) {
    shared.accepted.fetch_add(1, Ordering::Relaxed);
    shared.open.fetch_add(1, Ordering::Relaxed);
    let (shared, stop) = (Arc::clone(shared), stop.clone());
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = connection::run(&shared, stream) => {}
        }
        shared.open.fetch_sub(1, Ordering::Relaxed);
    });
}
