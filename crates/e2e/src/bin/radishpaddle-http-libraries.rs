//! Compares `rouille` and `ureq` with `hyper` where the request path needs them: slow request heads,
//! threads and memory for many connections, and cancellation (design 4.7).

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};

/// Connections of one backend server, the larger figure of design 1.3.
const CONNECTIONS: usize = 400;

/// Limit for a request head at both servers.
const HEADER_LIMIT: Duration = Duration::from_secs(2);

/// Time for which an unfinished head is watched.
const WATCH: Duration = Duration::from_secs(6);

fn main() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let rouille = start_rouille()?;
    let hyper = runtime.block_on(start_hyper())?;
    println!("unfinished request head, closed by the server after:");
    println!("  rouille: {}", describe(slow_head(rouille)?));
    println!(
        "  hyper (limit {HEADER_LIMIT:?}): {}",
        describe(slow_head(hyper)?)
    );
    println!("threads of this process with {CONNECTIONS} idle connections more:");
    println!("  rouille: {:+}", threads_for_connections(rouille)?);
    println!("  hyper:   {:+}", threads_for_connections(hyper)?);
    let silent = start_silent()?;
    println!("{CONNECTIONS} calls to a server that does not answer:");
    println!("  ureq:  {:+} threads", threads_for_ureq(silent)?);
    println!(
        "  hyper: {:+} threads",
        runtime.block_on(threads_for_hyper(silent))?
    );
    println!("connection closed after the caller gave the call up:");
    println!("  ureq (limit 3 s): {}", describe(cancel_ureq()?));
    println!(
        "  hyper:            {}",
        describe(runtime.block_on(cancel_hyper())?)
    );
    Ok(())
}

fn describe(closed_after: Option<Duration>) -> String {
    closed_after.map_or_else(
        || format!("not within {WATCH:?}"),
        |after| format!("{:.2} s", after.as_secs_f64()),
    )
}

fn start_rouille() -> Result<SocketAddr> {
    let server = rouille::Server::new("127.0.0.1:0", |_| rouille::Response::text("ok"))
        .map_err(|error| anyhow::anyhow!("{error}"))?
        .pool_size(4);
    let address = server.server_addr();
    std::thread::spawn(move || server.run());
    Ok(address)
}

async fn start_hyper() -> Result<SocketAddr> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let service = service_fn(|_: Request<hyper::body::Incoming>| async {
                    Ok::<_, std::convert::Infallible>(Response::new(Full::<bytes::Bytes>::from(
                        "ok",
                    )))
                });
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(HEADER_LIMIT)
                    .serve_connection(TokioIo::new(stream), service);
                let _ = connection.await;
            });
        }
    });
    Ok(address)
}

/// Server that accepts and never answers.
fn start_silent() -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        let mut kept = Vec::new();
        while let Ok((stream, _)) = listener.accept() {
            kept.push(stream);
        }
    });
    Ok(address)
}

/// Time until the server closes a connection with an unfinished head.
fn slow_head(address: SocketAddr) -> Result<Option<Duration>> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(b"GET / HTTP/1.1\r\nHost: a.example\r\nX-Unfinished")?;
    closed_after(&mut stream)
}

fn closed_after(stream: &mut TcpStream) -> Result<Option<Duration>> {
    let started_at = Instant::now();
    stream.set_read_timeout(Some(WATCH))?;
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return Ok(Some(started_at.elapsed())),
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => {
                return Ok(Some(started_at.elapsed()));
            }
            Err(_) => return Ok(None),
        }
    }
}

fn threads_for_connections(address: SocketAddr) -> Result<i64> {
    let before = threads()?;
    let mut kept = Vec::new();
    for _ in 0..CONNECTIONS {
        kept.push(TcpStream::connect(address)?);
    }
    std::thread::sleep(Duration::from_millis(500));
    let more = threads()? - before;
    drop(kept);
    std::thread::sleep(Duration::from_millis(500));
    Ok(more)
}

fn threads_for_ureq(address: SocketAddr) -> Result<i64> {
    let before = threads()?;
    let mut calls = Vec::new();
    for _ in 0..CONNECTIONS {
        calls.push(std::thread::spawn(move || {
            call_ureq(address, Duration::from_secs(2))
        }));
    }
    std::thread::sleep(Duration::from_secs(1));
    let more = threads()? - before;
    for call in calls {
        let _ = call.join();
    }
    Ok(more)
}

async fn threads_for_hyper(address: SocketAddr) -> Result<i64> {
    let before = threads()?;
    let mut calls = Vec::new();
    for _ in 0..CONNECTIONS {
        calls.push(tokio::spawn(call_hyper(address)));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let more = threads()? - before;
    for call in calls {
        call.abort();
    }
    Ok(more)
}

/// Time until the connection closes after nobody waits for the answer any more. The library has no
/// way to end a call from another thread; it ends by its own limit.
fn cancel_ureq() -> Result<Option<Duration>> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (answer, waiting) = mpsc::channel();
    std::thread::spawn(move || answer.send(call_ureq(address, Duration::from_secs(3))));
    let (mut stream, _) = listener.accept()?;
    drop(waiting);
    closed_after(&mut stream)
}

async fn cancel_hyper() -> Result<Option<Duration>> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let call = tokio::spawn(call_hyper(address));
    let accepted = tokio::task::spawn_blocking(move || listener.accept()).await?;
    let (mut stream, _) = accepted?;
    call.abort();
    tokio::task::spawn_blocking(move || closed_after(&mut stream)).await?
}

fn call_ureq(address: SocketAddr, limit: Duration) -> bool {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(limit))
        .build();
    let agent: ureq::Agent = config.into();
    agent.get(format!("http://{address}/")).call().is_ok()
}

async fn call_hyper(address: SocketAddr) -> Result<()> {
    let stream = tokio::net::TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let mut connection = std::pin::pin!(connection);
    let request = Request::builder()
        .uri("/")
        .header("Host", "a.example")
        .body(Full::<bytes::Bytes>::default())?;
    let sending = sender.send_request(request);
    tokio::select! {
        _ = sending => (),
        _ = &mut connection => (),
    }
    Ok(())
}

/// Threads of this process, from `/proc/self/status`.
fn threads() -> Result<i64> {
    let text = std::fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("Threads:"));
    Ok(line.context("status has Threads")?.trim().parse()?)
}
