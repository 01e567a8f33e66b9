//! Requests of callers at a gateway whose machine has little memory.

mod common;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};

use common::{reply, settings, unused_address};
use radishpaddle_gateway::gateway::Gateway;
use radishpaddle_kernel::{DecisionLog, boot_clock};
use radishpaddle_policy::ByteUse;
use radishpaddle_wire::message::PollReplyExtension;

/// Sends a request with a body of this size and returns the text of the answer.
async fn send(callers: SocketAddr, body_bytes: usize) -> String {
    let exchange = move || {
        let mut stream = TcpStream::connect(callers).unwrap();
        let head = format!(
            "POST /scans/7 HTTP/1.1\r\nHost: hire.example\r\nX-Request-Id: 9c41\r\n\
             Content-Length: {body_bytes}\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).unwrap();
        // The gateway may refuse the request before it has read the body.
        let _ = stream.write_all(&vec![b'x'; body_bytes]);
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).to_ascii_lowercase()
    };
    tokio::task::spawn_blocking(exchange).await.unwrap()
}

/// Guards against callers that send a body again and again which never fits, and against requests that are taken while the
/// memory is used up, also when load management is off.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_never_fits_is_refused_as_if_it_could() {
    let callers = unused_address();
    let log = DecisionLog::spawn("gateway-1".into());
    let gateway = Gateway::spawn(settings(callers), log).await.unwrap();
    let shared = gateway.shared();
    shared.apply_poll_reply(
        reply(true),
        &PollReplyExtension::default(),
        boot_clock::now(),
    );

    let fitting = send(callers, 1 << 20).await;
    let too_long = send(callers, 3 << 20).await;
    let mut held = shared.budget.reserve(ByteUse::Answer);
    assert!(held.try_add(7 << 19));
    let exhausted = send(callers, 0).await;
    drop(held);

    assert!(fitting.contains("no_backend_server"), "{fitting}");
    assert!(too_long.starts_with("http/1.1 413"), "{too_long}");
    assert!(exhausted.starts_with("http/1.1 503"), "{exhausted}");
    assert!(exhausted.contains("memory_exhausted"), "{exhausted}");
    assert!(exhausted.contains("retry-after: 1.00"), "{exhausted}");
    assert_eq!(shared.budget.total_bytes(), 0);
}
