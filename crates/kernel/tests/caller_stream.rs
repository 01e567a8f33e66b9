//! Connections of callers that close with and without unread bytes.

use std::time::Duration;

use radishpaddle_kernel::caller_stream::{CallerClose, CallerStream, watch};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time in which the end of a connection on the loopback interface is known.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which a connection that stays open may not be reported as closed.
const OPEN_TIME: Duration = Duration::from_millis(200);

async fn connect() -> (TcpStream, CallerStream, CallerClose) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let (stream, close) = watch(stream);
    (caller, stream, close)
}

async fn is_closed(close: &CallerClose, limit: Duration) -> bool {
    timeout(limit, close.wait()).await.is_ok()
}

/// Guards against a close that is noticed only when all bytes before it have been read.
#[tokio::test]
async fn close_behind_unread_bytes_is_reported() {
    let (mut caller, mut stream, close) = connect().await;
    caller.write_all(b"unread").await.unwrap();
    let mut first = [0; 2];
    stream.read_exact(&mut first).await.unwrap();
    assert!(!is_closed(&close, OPEN_TIME).await);

    drop(caller);

    assert!(is_closed(&close, CLOSE_TIMEOUT).await);
}

/// Guards against a reset that is not reported.
#[tokio::test]
async fn reset_is_reported() {
    let (caller, _stream, close) = connect().await;

    caller.set_zero_linger().unwrap();
    drop(caller);

    assert!(is_closed(&close, CLOSE_TIMEOUT).await);
}

/// Guards against bytes that are lost, changed or not followed by the end of the stream.
#[tokio::test]
async fn all_bytes_pass_in_both_directions() {
    let (mut caller, mut stream, _close) = connect().await;
    let sent: Vec<u8> = (0..=u8::MAX).cycle().take(1 << 20).collect();
    let expected = sent.clone();

    let echo = async {
        let mut received = vec![0; sent.len()];
        stream.read_exact(&mut received).await.unwrap();
        stream.write_all(&received).await.unwrap();
        stream.shutdown().await.unwrap();
    };
    let call = async {
        caller.write_all(&expected).await.unwrap();
        let mut received = Vec::new();
        caller.read_to_end(&mut received).await.unwrap();
        received
    };
    let ((), received) = tokio::join!(echo, call);

    assert!(received == expected);
}
