//! Connections to backend servers.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

use radishpaddle_gateway::backend_connection::{BackendConnection, ConnectFailure};
use socket2::{Domain, Socket, Type};

const MAX_WAIT: Duration = Duration::from_secs(1);

/// Listening socket with a full accept queue, so that the kernel ignores further connection attempts.
fn full_listener() -> (Socket, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any.into()).unwrap();
    socket.listen(0).unwrap();
    let address = address_of(&socket);
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200));
    let queued = std::iter::from_fn(|| connect().ok()).take(8).collect();
    (socket, queued)
}

fn address_of(socket: &Socket) -> SocketAddr {
    socket.local_addr().unwrap().as_socket().unwrap()
}

/// Guards against an interrupted network path that is taken for the crash of a server: the requests in flight there would
/// be quarantined.
#[tokio::test]
async fn silence_is_no_refusal() {
    let (socket, _queued) = full_listener();
    let silent = address_of(&socket);
    let closed = {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };

    let silent = BackendConnection::open(silent, MAX_WAIT).await.err();
    let refused = BackendConnection::open(closed, MAX_WAIT).await.err();

    assert_eq!(silent, Some(ConnectFailure::Unreachable));
    assert_eq!(refused, Some(ConnectFailure::Refused));
}
