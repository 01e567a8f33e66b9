//! Checks whether this gateway reaches backend servers, by opening connections to some of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::ServerIncarnation;
use radishpaddle_policy::reachability::MIN_UNREACHABLE_SERVERS;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::backend_connection::{BackendConnection, CONNECT_TIMEOUT};
use crate::gateway::Shared;

/// Time between a failure to connect and the check. A connection to any server that is opened meanwhile makes it
/// unnecessary.
const CHECK_DELAY: Duration = Duration::from_millis(100);

/// Time between two checks while no server is reached.
const RECHECK_PERIOD: Duration = Duration::from_millis(250);

/// Starts the task that checks the path after failures to connect, and until a connection succeeds again.
pub fn spawn(shared: Arc<Shared>) {
    tokio::spawn(async move {
        loop {
            if shared.is_isolated() {
                sleep(RECHECK_PERIOD).await;
            } else {
                shared.path_doubted.notified().await;
                sleep(CHECK_DELAY).await;
            }
            if shared.is_path_doubtful() {
                check(&shared).await;
            }
        }
    });
}

/// Connects to some servers at the same time, until one of them accepts.
async fn check(shared: &Arc<Shared>) {
    let mut connecting = JoinSet::new();
    for (server, address) in shared.sample_servers(MIN_UNREACHABLE_SERVERS) {
        connecting.spawn(connect(server, address));
    }
    while let Some(ended) = connecting.join_next().await {
        let Ok((server, connection)) = ended else {
            continue;
        };
        match connection {
            Some(connection) => {
                shared.record_connected();
                return shared.store_idle(&server, connection);
            }
            None => shared.record_connect_failure(&server.name),
        }
    }
}

async fn connect(
    server: ServerIncarnation,
    address: SocketAddr,
) -> (ServerIncarnation, Option<BackendConnection>) {
    let connection = BackendConnection::open(address, CONNECT_TIMEOUT).await;
    (server, connection.ok())
}
