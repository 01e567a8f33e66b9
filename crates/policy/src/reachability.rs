//! Whether an instance reaches backend servers at all.
//!
//! A network fault may cut an instance off from all backend servers while callers and the rest of the fleet still reach
//! it. Failures to connect that have this cause say nothing about the servers, and no retry at another server helps.
//!
//! The requests of a service try only its servers, which may all be down while those of other services run. So failures
//! of requests only raise a doubt; a check that connects to servers drawn from all services decides.

use std::collections::HashSet;
use std::sync::Arc;

/// Number of backend servers, drawn from all, that a check must find unreachable without a new connection to any server in
/// between. Half of the servers may be down at the same time.
pub const MIN_UNREACHABLE_SERVERS: usize = 8;

/// Change of the reachability of backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// No backend server can be reached from now on.
    Lost,
    /// A backend server can be reached again.
    Regained,
}

/// Reachability of backend servers from one instance, judged by new connections. Answers on open connections do not
/// count: these may live on while new connections are refused.
#[derive(Debug, Default)]
pub struct Reachability {
    /// Backend servers to which a connection failed since the last one that was opened.
    unreachable: HashSet<Arc<str>>,
    /// Those of them that a check has found.
    checked: HashSet<Arc<str>>,
    isolated: bool,
}

impl Reachability {
    /// Whether no backend server can be reached.
    #[must_use]
    pub const fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Number of backend servers to which a connection failed since the last one that was opened.
    #[must_use]
    pub fn unreachable_servers(&self) -> usize {
        self.unreachable.len()
    }

    /// Records that a connection to a backend server was opened.
    pub fn record_connected(&mut self) -> Option<ReachabilityChange> {
        self.unreachable.clear();
        self.checked.clear();
        std::mem::take(&mut self.isolated).then_some(ReachabilityChange::Regained)
    }

    /// Records that a request could not be sent, because no connection to its backend server could be opened.
    pub fn record_doubt(&mut self, server: &Arc<str>) {
        self.unreachable.insert(Arc::clone(server));
    }

    /// Records that a check could not connect to a backend server, of `known_servers` from which it draws.
    pub fn record_failure(
        &mut self,
        server: &Arc<str>,
        known_servers: usize,
    ) -> Option<ReachabilityChange> {
        self.unreachable.insert(Arc::clone(server));
        self.checked.insert(Arc::clone(server));
        let required = known_servers.clamp(1, MIN_UNREACHABLE_SERVERS);
        if self.isolated || self.checked.len() < required {
            return None;
        }
        self.isolated = true;
        Some(ReachabilityChange::Lost)
    }
}
