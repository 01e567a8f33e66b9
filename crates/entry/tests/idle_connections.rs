//! Idle connections to backend servers that restart, move or leave.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_entry::backend_connection::BackendConnection;
use radishpaddle_entry::backend_info::BackendInfo;
use radishpaddle_entry::idle_connections::{IdleConnections, process_of};
use radishpaddle_model::{Announcement, BackendState, Incarnation};
use tokio::io::AsyncReadExt as _;
use tokio::net::{TcpListener, TcpStream};

const MAX_WAIT: Duration = Duration::from_secs(1);

fn server(address: SocketAddr, incarnation: u64) -> Arc<BackendInfo> {
    let announcement = Announcement {
        service: "bookings".parse().unwrap(),
        backend_server: "bookings-1".parse().unwrap(),
        incarnation: Incarnation(incarnation),
        sequence: 1,
        address,
        availability_zone: "zone-a".parse().unwrap(),
        slots: 4,
        state: BackendState::Serving,
    };
    Arc::new(BackendInfo::new(&announcement, Duration::ZERO))
}

/// Returns both ends of a connection.
async fn connect(listener: &TcpListener) -> (BackendConnection, TcpStream) {
    let address = listener.local_addr().unwrap();
    let connection = BackendConnection::open(address, MAX_WAIT).await.unwrap();
    (connection, listener.accept().await.unwrap().0)
}

async fn is_closed(mut stream: TcpStream) -> bool {
    let mut byte = [0];
    let read = tokio::time::timeout(MAX_WAIT, stream.read(&mut byte));
    matches!(read.await, Ok(Ok(0) | Err(_)))
}

/// Guards against a request on a connection to the old process of a restarted server: what the old one
/// says in its response, for example that it leaves, would be taken for the new one.
#[tokio::test]
async fn connection_serves_one_incarnation_at_one_address() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (old, new) = (server(address, 1), server(address, 2));
    let moved = server("127.0.0.1:1".parse().unwrap(), 1);
    let mut idle = IdleConnections::new(2);
    let (connection, _remote) = connect(&listener).await;
    idle.keep(&old, connection);

    assert!(idle.take(&new, true).is_none());
    assert!(idle.take(&moved, true).is_none());
    assert!(idle.take(&old, true).is_some());
}

/// Guards against connections that stay open to a server that leaves or to an earlier incarnation, which
/// waits for their end before it exits, and against more connections than the limit.
#[tokio::test]
async fn connections_that_are_not_used_again_are_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (old, new) = (
        server(listener.local_addr().unwrap(), 1),
        server(listener.local_addr().unwrap(), 2),
    );
    let mut idle = IdleConnections::new(1);

    let (first, kept) = connect(&listener).await;
    let (second, over_limit) = connect(&listener).await;
    idle.keep(&old, first);
    idle.keep(&old, second);
    assert!(is_closed(over_limit).await);
    idle.retain(|_, process| process == process_of(&new));
    assert!(is_closed(kept).await);
    let (third, leaving) = connect(&listener).await;
    idle.keep(&new, third);
    idle.close(new.key);
    assert!(is_closed(leaving).await);
}
