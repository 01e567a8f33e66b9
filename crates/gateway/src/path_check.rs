//! Checks whether this gateway reaches backend servers, by opening connections to some of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::ServerIncarnation;
use radishpaddle_policy::reachability::MIN_UNREACHABLE_SERVERS;
use tokio::task::{JoinError, JoinSet};
use tokio::time::{sleep, timeout};

use crate::backend_connection::{BackendConnection, CONNECT_TIMEOUT};
use crate::gateway::Shared;

/// Time between a failure to connect and the check. A connection to any server that is opened meanwhile makes it
/// unnecessary.
const CHECK_DELAY: Duration = Duration::from_millis(30);

/// Time between the starts of two connections of a check. The first one usually succeeds, and each costs its server a
/// handshake.
const CONNECT_STAGGER: Duration = Duration::from_millis(20);

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

/// Connects to servers one after the other without waiting for those that hang, until one of them accepts.
async fn check(shared: &Arc<Shared>) {
    let servers = shared.sample_servers(MIN_UNREACHABLE_SERVERS);
    let known_servers = servers.len();
    let mut connecting = JoinSet::new();
    for (server, address) in servers {
        connecting.spawn(connect(server, address));
        while let Ok(Some(ended)) = timeout(CONNECT_STAGGER, connecting.join_next()).await {
            if is_connected(shared, ended, known_servers) {
                return;
            }
        }
    }
    while let Some(ended) = connecting.join_next().await {
        if is_connected(shared, ended, known_servers) {
            return;
        }
    }
}

/// Records the end of one attempt to connect, and returns whether the server accepted.
fn is_connected(
    shared: &Shared,
    ended: Result<Connected, JoinError>,
    known_servers: usize,
) -> bool {
    let Ok((server, connection)) = ended else {
        return false;
    };
    let Some(connection) = connection else {
        shared.record_check_failure(&server.name, known_servers);
        return false;
    };
    shared.record_connected();
    shared.store_idle(&server, connection);
    true
}

/// Backend server, and the connection to it if it accepted one.
type Connected = (ServerIncarnation, Option<BackendConnection>);

async fn connect(server: ServerIncarnation, address: SocketAddr) -> Connected {
    let connection = BackendConnection::open(address, CONNECT_TIMEOUT).await;
    (server, connection.ok())
}
