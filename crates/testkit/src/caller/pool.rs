//! Connection pool of a caller.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Result;

use crate::http::{self, Connection};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections by address with the time at which each was released.
type IdleConnections = BTreeMap<SocketAddr, Vec<(Connection, Instant)>>;

/// Pool of connections that are reused until they have been idle for `keep_alive`.
#[derive(Debug)]
pub(super) struct Pool {
    keep_alive: Duration,
    idle: Mutex<IdleConnections>,
}

impl Pool {
    pub(super) fn new(keep_alive: Duration) -> Self {
        Self {
            keep_alive,
            idle: Mutex::default(),
        }
    }

    /// Returns an open idle connection, or opens a new one.
    pub(super) async fn acquire(&self, address: SocketAddr) -> Result<Connection> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        tokio::time::timeout(CONNECT_TIMEOUT, http::connect(address)).await?
    }

    /// Returns a connection to the pool unless it is closed.
    pub(super) fn release(&self, address: SocketAddr, connection: Connection) {
        if !connection.is_closed() {
            let idle = (connection, Instant::now());
            self.lock().entry(address).or_default().push(idle);
        }
    }

    /// Removes idle connections that are closed or older than `keep_alive` and returns a ready one,
    /// preferring the end of the list.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|(connection, idle_since)| {
            !connection.is_closed() && now.duration_since(*idle_since) < self.keep_alive
        });
        let position = connections
            .iter()
            .rposition(|(connection, _)| connection.is_ready())?;
        Some(connections.swap_remove(position).0)
    }

    fn lock(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
