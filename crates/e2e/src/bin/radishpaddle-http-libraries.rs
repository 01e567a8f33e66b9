//! Compares `rouille` and `ureq` with `hyper` in what the request path requires: a limit for slow
//! request heads, few threads for many connections, and cancellation (`docs/design.md`, section 4.7).

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

/// Number of connections or calls in each comparison: the larger figure for the connections of one backend
/// server in `docs/design.md`, section 1.3.
const CONNECTIONS: usize = 400;

/// Time limit for a request head at the hyper server. The rouille server sets none.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time for which the program waits until the peer closes a connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(6);

fn main() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let rouille = start_rouille()?;
    let hyper = runtime.block_on(start_hyper())?;
    println!("time until the server closes a connection with an unfinished request head:");
    println!(
        "  rouille: {}",
        format_close_time(time_until_unfinished_head_closed(rouille)?)
    );
    println!(
        "  hyper (limit {HEADER_READ_TIMEOUT:?}): {}",
        format_close_time(time_until_unfinished_head_closed(hyper)?)
    );
    println!("additional threads of this process with {CONNECTIONS} idle connections:");
    println!("  rouille: {:+}", threads_for_connections(rouille)?);
    println!("  hyper:   {:+}", threads_for_connections(hyper)?);
    let unresponsive = start_unresponsive_server()?;
    println!("additional threads with {CONNECTIONS} calls to a server that does not respond:");
    println!("  ureq:  {:+} threads", threads_for_ureq(unresponsive)?);
    println!(
        "  hyper: {:+} threads",
        runtime.block_on(threads_for_hyper(unresponsive))?
    );
    println!("time until the client closes the connection of an abandoned call:");
    println!(
        "  ureq (timeout 3 s): {}",
        format_close_time(cancel_ureq()?)
    );
    println!(
        "  hyper:            {}",
        format_close_time(runtime.block_on(cancel_hyper())?)
    );
    Ok(())
}

fn format_close_time(time: Option<Duration>) -> String {
    time.map_or_else(
        || format!("not within {CLOSE_TIMEOUT:?}"),
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
                    .header_read_timeout(HEADER_READ_TIMEOUT)
                    .serve_connection(TokioIo::new(stream), service);
                let _ = connection.await;
            });
        }
    });
    Ok(address)
}

/// Starts a server that accepts connections and never responds.
fn start_unresponsive_server() -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        let mut streams = Vec::new();
        while let Ok((stream, _)) = listener.accept() {
            streams.push(stream);
        }
    });
    Ok(address)
}

/// Returns the time until the server closes a connection with an unfinished request head, or `None` if
/// it does not within [`CLOSE_TIMEOUT`].
fn time_until_unfinished_head_closed(address: SocketAddr) -> Result<Option<Duration>> {
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(b"GET / HTTP/1.1\r\nHost: a.example\r\nX-Unfinished")?;
    time_until_closed(&mut stream)
}

/// Returns the time until the peer closes the connection, or `None` if it does not within
/// [`CLOSE_TIMEOUT`].
fn time_until_closed(stream: &mut TcpStream) -> Result<Option<Duration>> {
    let started_at = Instant::now();
    stream.set_read_timeout(Some(CLOSE_TIMEOUT))?;
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

/// Returns how many threads the process has more while the connections are open and idle.
fn threads_for_connections(address: SocketAddr) -> Result<i64> {
    let before = thread_count()?;
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        streams.push(TcpStream::connect(address)?);
    }
    std::thread::sleep(Duration::from_millis(500));
    let additional = thread_count()? - before;
    drop(streams);
    std::thread::sleep(Duration::from_millis(500));
    Ok(additional)
}

fn threads_for_ureq(address: SocketAddr) -> Result<i64> {
    let before = thread_count()?;
    let mut calls = Vec::new();
    for _ in 0..CONNECTIONS {
        calls.push(std::thread::spawn(move || {
            call_ureq(address, Duration::from_secs(2))
        }));
    }
    std::thread::sleep(Duration::from_secs(1));
    let additional = thread_count()? - before;
    for call in calls {
        let _ = call.join();
    }
    Ok(additional)
}

async fn threads_for_hyper(address: SocketAddr) -> Result<i64> {
    let before = thread_count()?;
    let mut calls = Vec::new();
    for _ in 0..CONNECTIONS {
        calls.push(tokio::spawn(call_hyper(address)));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let additional = thread_count()? - before;
    for call in calls {
        call.abort();
    }
    Ok(additional)
}

/// Returns the time until ureq closes the connection of a call whose result is no longer wanted. ureq
/// cannot cancel a call from another thread, so the call ends only at its own timeout.
fn cancel_ureq() -> Result<Option<Duration>> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (result_sender, result_receiver) = mpsc::channel();
    std::thread::spawn(move || result_sender.send(call_ureq(address, Duration::from_secs(3))));
    let (mut stream, _) = listener.accept()?;
    drop(result_receiver);
    time_until_closed(&mut stream)
}

/// Returns the time until hyper closes the connection of a call whose task was aborted.
async fn cancel_hyper() -> Result<Option<Duration>> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let call = tokio::spawn(call_hyper(address));
    let accepted = tokio::task::spawn_blocking(move || listener.accept()).await?;
    let (mut stream, _) = accepted?;
    call.abort();
    tokio::task::spawn_blocking(move || time_until_closed(&mut stream)).await?
}

fn call_ureq(address: SocketAddr, timeout: Duration) -> bool {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
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

/// Returns the number of threads of this process, from `/proc/self/status`.
fn thread_count() -> Result<i64> {
    let text = std::fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("Threads:"));
    Ok(line
        .context("/proc/self/status has no line \"Threads:\"")?
        .trim()
        .parse()?)
}
