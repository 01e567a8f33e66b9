//! Idle connections to the backend servers of one service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use radishpaddle_model::Incarnation;
use radishpaddle_policy::ServerKey;

use crate::backend_connection::BackendConnection;
use crate::backend_info::BackendInfo;

/// Time for which an idle connection may be used.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// Time for which an idle connection may be used for an action. If the server closed the connection while
/// the action is sent, the outcome of the action would be unknown.
const MAX_IDLE_FOR_ACTION: Duration = Duration::from_millis(500);

/// Idle connections, each to one incarnation of a server.
#[derive(Debug)]
pub struct IdleConnections {
    servers: HashMap<ServerKey, ServerConnections>,
    max_per_server: usize,
}

#[derive(Debug)]
struct ServerConnections {
    process: (Incarnation, SocketAddr),
    connections: Vec<BackendConnection>,
}

impl IdleConnections {
    /// Creates a pool that keeps at most `max_per_server` connections to each server.
    #[must_use]
    pub fn new(max_per_server: usize) -> Self {
        Self {
            servers: HashMap::new(),
            max_per_server,
        }
    }

    /// Closes the connections for which `keep` returns `false`, given server, incarnation and address.
    /// A response on a connection to an earlier incarnation would be taken for one of the newer.
    pub fn retain(&mut self, keep: impl Fn(ServerKey, (Incarnation, SocketAddr)) -> bool) {
        self.servers
            .retain(|server, known| keep(*server, known.process));
    }

    /// Closes the connections to a server.
    pub fn close(&mut self, server: ServerKey) {
        self.servers.remove(&server);
    }

    /// Takes the most recently used connection.
    pub fn take(&mut self, server: &BackendInfo, idempotent: bool) -> Option<BackendConnection> {
        let limit = if idempotent {
            MAX_IDLE
        } else {
            MAX_IDLE_FOR_ACTION
        };
        let known = self.servers.get_mut(&server.key)?;
        if known.process != process_of(server) {
            return None;
        }
        let idle = &mut known.connections;
        idle.retain(|connection| connection.is_usable(MAX_IDLE));
        idle.pop_if(|connection| connection.is_usable(limit))
    }

    /// Keeps a connection to a server, or closes it if there are enough.
    pub fn keep(&mut self, server: &BackendInfo, connection: BackendConnection) {
        let process = process_of(server);
        let known = self.servers.entry(server.key);
        let known = known.or_insert_with(|| ServerConnections {
            process,
            connections: Vec::new(),
        });
        if known.process == process && known.connections.len() < self.max_per_server {
            known.connections.push(connection);
        }
    }
}

/// Returns what identifies the process that an announcement is of.
#[must_use]
pub const fn process_of(server: &BackendInfo) -> (Incarnation, SocketAddr) {
    (server.incarnation, server.address)
}
