//! Servers that fall silent in the middle of a body, and answers that leave no room in the budget of bytes.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HeaderName;
use radishpaddle_gateway::answer_progress::AnswerProgress;
use radishpaddle_gateway::backend_connection::{
    BackendConnection, Reception, SendFailure, SendOutcome,
};
use radishpaddle_policy::{ByteBudget, ByteUse};
use tokio::time::{Instant, timeout};

const MAX_WAIT: Duration = Duration::from_secs(3);

/// Time without a byte of a body after which an answer counts as stalled.
const STALL_LIMIT: Duration = Duration::from_millis(300);

/// Starts a server that answers one request with these parts, each after a pause, and keeps the connection open.
fn serve_parts(head: &'static str, parts: &'static [&'static str], pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]);
        stream.write_all(head.as_bytes()).unwrap();
        for part in parts {
            std::thread::sleep(pause);
            if stream.write_all(part.as_bytes()).is_err() {
                return;
            }
        }
        // Returns when the gateway closes the connection.
        let _ = stream.read(&mut [0; 1024]);
    });
    address
}

async fn send(address: SocketAddr, budget: &ByteBudget) -> SendOutcome {
    send_observed(address, budget, &AnswerProgress::default()).await
}

async fn send_observed(
    address: SocketAddr,
    budget: &ByteBudget,
    progress: &AnswerProgress,
) -> SendOutcome {
    let connection = BackendConnection::open(address, MAX_WAIT).await.unwrap();
    let request = Request::builder().uri("/").header("host", "b.example");
    let request = request.body(Full::new(Bytes::new())).unwrap();
    let id_header = HeaderName::from_static("x-request-id");
    let reception = Reception {
        progress: Some(progress),
        ..Reception::new(&id_header, budget)
    };
    let outcome = timeout(MAX_WAIT, connection.send(request, reception)).await;
    outcome.expect("outcome before the deadline")
}

/// Guards against a server that falls silent in a body without being noticed, so that its request gets no second copy, and
/// against the end of its answer by anything but its connection.
#[tokio::test]
async fn a_server_that_falls_silent_in_a_body_holds_its_request() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhe";
    let address = serve_parts(head, &["ld-7ab"], 4 * STALL_LIMIT);
    let budget = ByteBudget::default();
    let progress = AnswerProgress::default();
    let started_at = Instant::now();
    let sending = send_observed(address, &budget, &progress);
    tokio::pin!(sending);

    tokio::select! {
        outcome = &mut sending => panic!("ended before the stall: {outcome:?}"),
        () = progress.stalled(STALL_LIMIT) => (),
    }

    assert!(progress.is_stalled(STALL_LIMIT));
    assert!(started_at.elapsed() < 2 * STALL_LIMIT);
    let outcome = sending.await;
    let whole = matches!(&outcome, SendOutcome::Answered(answer, _) if answer.body == "held-7ab");
    assert!(whole, "{outcome:?}");
}

/// Guards against an answer that counts as stalled although it makes progress, or before it has begun.
#[tokio::test]
async fn slow_answers_that_make_progress_are_stalled() {
    let slow = serve_parts(
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n",
        &["h", "e", "l", "d", "-", "7"],
        STALL_LIMIT / 3,
    );
    let late = serve_parts(
        "",
        &["HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nheld-7"],
        2 * STALL_LIMIT,
    );
    for address in [slow, late] {
        let budget = ByteBudget::default();
        let progress = AnswerProgress::default();

        let outcome = tokio::select! {
            outcome = send_observed(address, &budget, &progress) => outcome,
            () = progress.stalled(STALL_LIMIT) => panic!("counts as stalled"),
        };

        let whole = matches!(&outcome, SendOutcome::Answered(answer, _) if answer.body == "held-7");
        assert!(whole, "{outcome:?}");
    }
}

/// Guards against an answer that exceeds the budget of the process, one that counts as a fault of its server although only
/// the budget is exhausted, and bytes that stay reserved.
#[tokio::test]
async fn answers_exceed_the_budget() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nheld";
    let budget = ByteBudget::for_memory(Some(16 << 20));
    let mut others = budget.reserve(ByteUse::Answer);
    let free_bytes = 3;
    assert!(others.try_add(usize::try_from(budget.limit_bytes()).unwrap() - free_bytes));

    let outcome = send(serve_parts(head, &[], Duration::ZERO), &budget).await;
    drop(others);

    let is_exhausted = matches!(outcome, SendOutcome::Unknown(SendFailure::MemoryExhausted));
    assert!(is_exhausted, "{outcome:?}");
    assert_eq!(budget.total_bytes(), 0);
    let outcome = send(serve_parts(head, &[], Duration::ZERO), &budget).await;
    assert!(matches!(outcome, SendOutcome::Answered(..)), "{outcome:?}");
    assert_eq!(budget.held_bytes(ByteUse::Answer), 4);
    drop(outcome);
    assert_eq!(budget.total_bytes(), 0);
}
