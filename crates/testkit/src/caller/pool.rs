//! Idle connections of a caller.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anyhow::Result;

use crate::http::{self, Connection};

/// Longest time for a TCP connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections by address, the newest last.
type Idle = BTreeMap<SocketAddr, Vec<(Connection, Instant)>>;

#[derive(Debug)]
pub(super) struct Pool {
    keep_alive: Duration,
    idle: Mutex<Idle>,
}

impl Pool {
    pub(super) fn new(keep_alive: Duration) -> Self {
        Self {
            keep_alive,
            idle: Mutex::default(),
        }
    }

    /// An idle connection that is still open, or a new one.
    pub(super) async fn take(&self, address: SocketAddr) -> Result<Connection> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        tokio::time::timeout(CONNECT_TIMEOUT, http::connect(address)).await?
    }

    pub(super) fn put(&self, address: SocketAddr, connection: Connection) {
        if !connection.is_closed() {
            let idle = (connection, Instant::now());
            self.lock().entry(address).or_default().push(idle);
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|(connection, since)| {
            !connection.is_closed() && now.duration_since(*since) < self.keep_alive
        });
        let position = connections
            .iter()
            .rposition(|(connection, _)| connection.is_ready())?;
        Some(connections.swap_remove(position).0)
    }

    fn lock(&self) -> MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
