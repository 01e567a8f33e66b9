//! Tests of peer connections: authentication, malformed frames and peers that do not respond.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::{any, proptest};
use radishpaddle_wire::message::{Empty, Frame, Hello, Request, failure, frame, request, response};
use radishpaddle_wire::tls::FLEET_SERVER_NAME;
use radishpaddle_wire::{
    ClientIdentity, FrameCodec, PROTOCOL_VERSION, PeerClient, PeerHandler, PeerIdentity,
    PeerSecurity, PeerServer, ServerIdentity, TlsFiles, WireError, decode,
};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Decoder as _, Encoder as _};

/// Limit for each call and read.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of a call that does not fit into the buffers of a connection.
const LARGE_BYTES: usize = 4_000_000;

/// Time after which a client must use a new connection in place of one that hangs.
const MAX_HANG: Duration = Duration::from_secs(10);

/// Time after which a server must have closed a connection without frames.
const MAX_SILENCE: Duration = Duration::from_mins(2);

/// Returns the payload of `Poll` requests and an empty response to all others.
struct Echo;

impl PeerHandler for Echo {
    async fn handle(&self, _peer: PeerIdentity, request: request::Kind) -> response::Kind {
        match request {
            request::Kind::Poll(bytes) => response::Kind::Payload(bytes),
            _ => response::Kind::Empty(Empty {}),
        }
    }
}

fn hello(fleet: &str) -> Hello {
    Hello {
        fleet: fleet.to_owned(),
        instance: "entry-1".to_owned(),
        incarnation: 1,
        protocol_version: PROTOCOL_VERSION,
    }
}

async fn server(security: PeerSecurity) -> PeerServer {
    server_with(security, Echo).await
}

async fn server_with(security: PeerSecurity, handler: impl PeerHandler) -> PeerServer {
    let identity = ServerIdentity {
        hello: hello("test"),
        security,
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    PeerServer::bind(address, identity, Arc::new(handler))
        .await
        .unwrap()
}

fn client(address: SocketAddr, fleet: &str, security: PeerSecurity) -> PeerClient {
    let identity = ClientIdentity {
        hello: hello(fleet),
        security,
    };
    PeerClient::spawn(address, identity)
}

async fn echo(client: &PeerClient) -> Result<response::Kind, WireError> {
    client
        .call(request::Kind::Poll(vec![1, 2, 3]), CALL_TIMEOUT)
        .await
}

/// Creates the certificate authority of a fleet and a certificate signed by it.
fn certificates(directory: &Path, name: &str) -> TlsFiles {
    let mut authority = rcgen::CertificateParams::new(Vec::new()).unwrap();
    authority.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
    let authority_key = rcgen::KeyPair::generate().unwrap();
    let authority_certificate = authority.self_signed(&authority_key).unwrap();
    let issuer = rcgen::Issuer::new(authority, authority_key);
    let key = rcgen::KeyPair::generate().unwrap();
    let params = rcgen::CertificateParams::new(vec![FLEET_SERVER_NAME.to_owned()]).unwrap();
    let certificate = params.signed_by(&key, &issuer).unwrap();
    let file = |kind: &str, pem: String| {
        let path = directory.join(format!("{name}-{kind}.pem"));
        std::fs::write(&path, pem).unwrap();
        path
    };
    TlsFiles {
        authority: file("authority", authority_certificate.pem()),
        certificate: file("certificate", certificate.pem()),
        private_key: file("key", key.serialize_pem()),
    }
}

/// Guards against a TLS configuration with which the processes of one fleet cannot connect.
#[tokio::test]
async fn peers_with_certificates_of_the_fleet_talk() {
    let directory = tempfile::tempdir().unwrap();
    let files = certificates(directory.path(), "own");
    let server = server(PeerSecurity::load(&files).unwrap()).await;

    let client = client(
        server.address(),
        "test",
        PeerSecurity::load(&files).unwrap(),
    );

    assert_eq!(
        echo(&client).await.unwrap(),
        response::Kind::Payload(vec![1, 2, 3])
    );
}

/// Guards against a peer that is accepted without a certificate, or with one of another authority.
#[tokio::test]
async fn peers_without_a_certificate_of_the_fleet_are_refused() {
    let directory = tempfile::tempdir().unwrap();
    let own = certificates(directory.path(), "own");
    let other = certificates(directory.path(), "other");
    let server = server(PeerSecurity::load(&own).unwrap()).await;

    let other_fleet = client(
        server.address(),
        "test",
        PeerSecurity::load(&other).unwrap(),
    );
    let plain = client(server.address(), "test", PeerSecurity::Plain);

    assert!(echo(&other_fleet).await.is_err());
    assert!(echo(&plain).await.is_err());
}

/// Guards against connections between two fleets, for example after a mistyped address.
#[tokio::test]
async fn peer_of_another_fleet_is_refused() {
    let server = server(PeerSecurity::Plain).await;

    let client = client(server.address(), "other", PeerSecurity::Plain);

    assert!(echo(&client).await.is_err());
}

/// Guards against a malformed or oversized frame that disrupts other connections.
#[tokio::test]
async fn malformed_frame_closes_its_connection_only() {
    let server = server(PeerSecurity::Plain).await;
    let client = client(server.address(), "test", PeerSecurity::Plain);
    assert!(echo(&client).await.is_ok());
    for frame in [&[0xff; 64][..], &[0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff]] {
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        stream.write_all(frame).await.unwrap();

        let mut buffer = [0; 16];
        let read = tokio::time::timeout(CALL_TIMEOUT, stream.read(&mut buffer)).await;

        let closed = matches!(read, Ok(Ok(0) | Err(_)));
        assert!(closed, "{read:?}");
    }
    assert!(echo(&client).await.is_ok());
}

/// Guards against calls that never return when the network silently loses packets in one direction.
#[tokio::test(start_paused = true)]
async fn call_to_a_silent_peer_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = client(listener.local_addr().unwrap(), "test", PeerSecurity::Plain);

    let result = echo(&client).await;

    assert!(result.is_err(), "{result:?}");
}

/// Guards against a client that waits for the kernel's time-out of about 15 minutes when a peer stops reading in the middle of
/// a large call, although new connections to it work.
#[tokio::test(start_paused = true)]
async fn a_peer_that_stops_reading_blocks_its_client() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = client(listener.local_addr().unwrap(), "test", PeerSecurity::Plain);
    let large = tokio::spawn({
        let client = client.clone();
        async move {
            let mut results = Vec::new();
            for _ in 0..6 {
                let call = request::Kind::Poll(vec![0; LARGE_BYTES]);
                results.push(client.call(call, Duration::from_millis(500)).await);
            }
            results
        }
    });
    let _unread = listener.accept().await.unwrap();
    assert!(large.await.unwrap().iter().all(Result::is_err));

    let calling = tokio::spawn(async move { echo(&client).await });
    let reconnected = tokio::time::timeout(MAX_HANG, listener.accept()).await;

    assert!(reconnected.is_ok(), "no new connection");
    calling.abort();
}

/// Guards against a client that stays on a silent connection for good because each new call restarts the time without a
/// frame: calls that time out before the next one begins leave no call pending in between.
#[tokio::test]
async fn short_calls_leave_a_silent_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = client(listener.local_addr().unwrap(), "test", PeerSecurity::Plain);
    let calls = async {
        loop {
            let call = request::Kind::Poll(vec![1]);
            let _ = client.call(call, Duration::from_millis(100)).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let connections = async {
        let _silent = listener.accept().await.unwrap();
        listener.accept().await.unwrap();
    };

    let reconnected = tokio::select! {
        () = calls => unreachable!("the calls have no end"),
        reconnected = tokio::time::timeout(MAX_HANG, connections) => reconnected,
    };

    assert!(reconnected.is_ok(), "no new connection");
}

/// Guards against a connection that is closed before the response of a slow peer arrives, or for a pause between calls.
#[tokio::test(start_paused = true)]
async fn slow_responses_after_pauses_arrive() {
    struct Slow;
    impl PeerHandler for Slow {
        async fn handle(&self, _: PeerIdentity, _: request::Kind) -> response::Kind {
            tokio::time::sleep(Duration::from_secs(2)).await;
            response::Kind::Empty(Empty {})
        }
    }
    let server = server_with(PeerSecurity::Plain, Slow).await;
    let client = client(server.address(), "test", PeerSecurity::Plain);

    let mut results = Vec::new();
    for _ in 0..4 {
        results.push(echo(&client).await);
        tokio::time::sleep(Duration::from_secs(10)).await;
    }

    assert!(results.iter().all(Result::is_ok), "{results:?}");
}

/// Guards against connections of peers that lost power, which stay open for good until the server accepts no others.
#[tokio::test(start_paused = true)]
async fn a_silent_peer_keeps_its_connection_forever() {
    let server = server(PeerSecurity::Plain).await;
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let body = frame::Body::Request(Request {
        kind: Some(request::Kind::Hello(hello("test"))),
        extension: Vec::new(),
    });
    let mut hello = bytes::BytesMut::new();
    let frame = Frame {
        id: 0,
        body: Some(body),
    };
    FrameCodec::new().encode(frame, &mut hello).unwrap();
    stream.write_all(&hello).await.unwrap();
    assert!(stream.read(&mut [0; 256]).await.unwrap() > 0, "no reply");

    let read = tokio::time::timeout(MAX_SILENCE, stream.read(&mut [0; 16])).await;

    assert!(matches!(read, Ok(Ok(0) | Err(_))), "{read:?}");
}

/// Guards against a failure response that is returned as a successful call.
#[tokio::test]
async fn refusal_is_an_error() {
    struct RefuseAll;
    impl PeerHandler for RefuseAll {
        async fn handle(&self, _: PeerIdentity, _: request::Kind) -> response::Kind {
            radishpaddle_wire::failure_response(failure::Reason::NotLeader, "not the leader")
        }
    }
    let server = server_with(PeerSecurity::Plain, RefuseAll).await;
    let client = client(server.address(), "test", PeerSecurity::Plain);

    let result = echo(&client).await;

    assert!(matches!(result, Err(WireError::Refused(_))), "{result:?}");
}

proptest! {
    /// Guards against a panic on malformed bytes from the network.
    #[test]
    fn random_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let mut buffer = bytes::BytesMut::from(&bytes[..]);
        let _ = FrameCodec::new().decode(&mut buffer);
        let _ = decode::<(u64, String)>(&bytes);
    }
}
