//! Minimal HTTP/1.1 client for announcements, control ports and test callers. It never retries.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Largest response body that [`call`] accepts, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client side of one HTTP/1.1 connection.
pub type Connection = SendRequest<Full<Bytes>>;

/// Opens a connection and spawns the task that drives it. The task ends when the returned value is
/// dropped or the peer closes the connection.
///
/// # Errors
///
/// Returns an error when the TCP connection or the HTTP handshake fails.
pub async fn connect(address: SocketAddr) -> Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Opens a connection, sends one JSON request, with a bearer token if `token` is set, and returns the
/// status and body of the response.
///
/// # Errors
///
/// Returns an error when the connection fails, the response is truncated or larger than 64 MiB, or
/// `timeout` has passed.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    token: Option<&str>,
    body: Bytes,
    timeout: Duration,
) -> Result<(StatusCode, Bytes)> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .header("content-type", "application/json");
    if let Some(token) = token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let request = request.body(Full::new(body))?;
    let exchange = async {
        let mut connection = connect(address).await?;
        let response = connection.send_request(request).await?;
        read_response(response).await
    };
    match tokio::time::timeout(timeout, exchange).await {
        Ok(result) => result.with_context(|| format!("request to {address}{path}")),
        Err(_) => bail!("no response from {address}{path} within {timeout:?}"),
    }
}

async fn read_response(response: Response<Incoming>) -> Result<(StatusCode, Bytes)> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    match body.collect().await {
        Ok(collected) => Ok((status, collected.to_bytes())),
        Err(error) => bail!("the response body is incomplete: {error}"),
    }
}
