//! The fault proxy injects each fault in the configured direction, also on open connections.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use radishpaddle_testkit::fault_proxy::{
    self, Cut, FaultProxySettings, Loss, ProxyPlan, RunningFaultProxy,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time after which a missing echo counts as lost.
const ECHO_TIMEOUT: Duration = Duration::from_millis(150);

/// Starts a server that echoes every byte.
async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    address
}

async fn start() -> (RunningFaultProxy, TcpStream) {
    let settings = FaultProxySettings::new(echo_server().await);
    let proxy = fault_proxy::spawn(settings).await.unwrap();
    let client = TcpStream::connect(proxy.address()).await.unwrap();
    (proxy, client)
}

/// Sends `text` and returns its echo, or `None` if it is not complete within [`ECHO_TIMEOUT`].
async fn echo(client: &mut TcpStream, text: &[u8]) -> Option<Vec<u8>> {
    client.write_all(text).await.ok()?;
    let mut buffer = vec![0; text.len()];
    let read = timeout(ECHO_TIMEOUT, client.read_exact(&mut buffer)).await;
    read.ok()?.ok()?;
    Some(buffer)
}

/// Guards against a proxy that changes bytes or does not forward the end of a stream.
#[tokio::test]
async fn bytes_and_end_of_stream_pass_unchanged() {
    let (proxy, mut client) = start().await;
    let sent: Vec<u8> = (0..500_000_u32)
        .map(|index| index.to_le_bytes()[1])
        .collect();
    let (mut read, mut write) = client.split();

    let upload = async {
        write.write_all(&sent).await.unwrap();
        write.shutdown().await.unwrap();
    };
    let mut received = Vec::new();
    let ((), count) = tokio::join!(upload, read.read_to_end(&mut received));

    assert_eq!(count.unwrap(), sent.len());
    assert!(received == sent);
    assert_eq!(proxy.status().bytes_to_client, 500_000);
}

/// Guards against a delay in the wrong direction, and against delays of queued chunks that add up.
#[tokio::test]
async fn delay_applies_to_one_direction_and_keeps_throughput() {
    let (proxy, mut client) = start().await;
    proxy.modify_plan(|plan| plan.to_client.delay_ms = 60);
    let start = Instant::now();

    for _ in 0..10 {
        client.write_all(b"0123456789").await.unwrap();
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    client.read_exact(&mut [0; 100]).await.unwrap();

    let elapsed = start.elapsed();
    assert!(elapsed >= Duration::from_millis(60), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(400), "{elapsed:?}");
}

/// Guards against a bandwidth limit without effect.
#[tokio::test]
async fn bandwidth_is_limited() {
    let (proxy, mut client) = start().await;
    proxy.modify_plan(|plan| plan.to_target.bytes_per_s = Some(100_000));
    let start = Instant::now();

    client.write_all(&[1; 10_000]).await.unwrap();
    client.read_exact(&mut [0; 10_000]).await.unwrap();
    client.write_all(&[1; 10_000]).await.unwrap();
    client.read_exact(&mut [0; 10_000]).await.unwrap();

    assert!(
        start.elapsed() >= Duration::from_millis(90),
        "{:?}",
        start.elapsed()
    );
}

/// Guards against a one-way partition that closes the connection or also affects the other direction.
#[tokio::test]
async fn loss_is_silent_and_one_way() {
    let (proxy, mut client) = start().await;
    assert!(echo(&mut client, b"before").await.is_some());
    let delivered = proxy.status().bytes_to_target;

    proxy.modify_plan(|plan| plan.to_client.loss = Loss::Discard);

    assert_eq!(echo(&mut client, b"lost").await, None);
    assert_eq!(proxy.status().bytes_to_target, delivered + 4);
    assert_eq!(proxy.status().open, 1);
    // A connection that has lost bytes must not deliver later ones as if there were no gap.
    proxy.set_plan(ProxyPlan::default());
    assert_eq!(echo(&mut client, b"after").await, None);
    let mut fresh = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(echo(&mut fresh, b"fresh").await.is_some());
}

/// Guards against a stall that loses bytes when it ends.
#[tokio::test]
async fn stalled_bytes_arrive_after_the_stall() {
    let (proxy, mut client) = start().await;
    proxy.set_plan(ProxyPlan::partition(Loss::Stall));

    assert_eq!(echo(&mut client, b"held").await, None);
    proxy.set_plan(ProxyPlan::default());

    let mut buffer = [0; 4];
    client.read_exact(&mut buffer).await.unwrap();
    assert_eq!(&buffer, b"held");
}

/// Guards against a cut that delivers more or fewer bytes than configured.
#[tokio::test]
async fn stream_is_cut_after_the_given_bytes() {
    let (proxy, mut client) = start().await;
    proxy.modify_plan(|plan| plan.to_client.cut_after_bytes = Some(5));

    client.write_all(b"0123456789").await.unwrap();
    let mut received = Vec::new();
    let result = client.read_to_end(&mut received).await;

    assert_eq!(received, b"01234");
    assert!(result.is_ok(), "{result:?}");
}

/// Guards against a reset that the client sees as an orderly close.
#[tokio::test]
async fn reset_is_seen_as_reset() {
    let (proxy, mut client) = start().await;
    assert!(echo(&mut client, b"open").await.is_some());

    proxy.reset_connections();
    let error = client.read(&mut [0]).await.unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);

    proxy.modify_plan(|plan| {
        plan.to_target.cut_after_bytes = Some(0);
        plan.to_target.cut = Cut::Reset;
    });
    let mut client = TcpStream::connect(proxy.address()).await.unwrap();
    client.write_all(b"x").await.unwrap();
    let error = client.read(&mut [0]).await.unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

/// Guards against connections that are accepted while they should be refused, and against a port that is
/// not reopened.
#[tokio::test]
async fn connections_are_refused_and_accepted_again() {
    let (proxy, mut open) = start().await;
    assert!(echo(&mut open, b"open").await.is_some());

    proxy.modify_plan(|plan| plan.refuse_connections = true);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let refused = TcpStream::connect(proxy.address()).await.unwrap_err();
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    assert!(echo(&mut open, b"still open").await.is_some());

    proxy.modify_plan(|plan| plan.refuse_connections = false);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let mut client = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(echo(&mut client, b"again").await.is_some());
}
