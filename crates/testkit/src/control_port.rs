//! HTTP control port shared by the sample backend server and the fault proxy.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Largest body of a control request, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Status and JSON body.
pub(crate) type Reply = (StatusCode, Bytes);

/// Serves requests until `stop`.
pub(crate) async fn run<H, F>(listener: TcpListener, stop: CancellationToken, handler: H)
where
    H: Fn(Method, String, Vec<u8>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let handler = Arc::new(handler);
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (handler, stop) = (Arc::clone(&handler), stop.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = serve(stream, &handler) => {}
            }
        });
    }
}

async fn serve<H, F>(stream: TcpStream, handler: &Arc<H>)
where
    H: Fn(Method, String, Vec<u8>) -> F,
    F: Future<Output = Reply>,
{
    let service = service_fn(|request: Request<Incoming>| async {
        let (head, body) = request.into_parts();
        let (status, body) = match Limited::new(body, MAX_BODY_BYTES).collect().await {
            Ok(body) => {
                let path = head.uri.path().to_owned();
                handler(head.method, path, body.to_bytes().to_vec()).await
            }
            Err(error) => json(
                StatusCode::BAD_REQUEST,
                &json!({"error": error.to_string()}),
            ),
        };
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = status;
        Ok::<_, Infallible>(response)
    });
    // An error here is a connection that the client has closed.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Response with a JSON body.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => (status, body.into()),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into()),
    }
}

/// Parses the body and hands it to `apply`; a malformed body is refused and changes nothing.
pub(crate) fn accept<T: DeserializeOwned>(body: &[u8], apply: impl FnOnce(T)) -> Reply {
    match serde_json::from_slice(body) {
        Ok(value) => {
            apply(value);
            json(StatusCode::OK, &json!({"accepted": true}))
        }
        Err(error) => json(
            StatusCode::UNPROCESSABLE_ENTITY,
            &json!({"error": error.to_string()}),
        ),
    }
}

/// Response to an unknown path.
pub(crate) fn not_found() -> Reply {
    json(StatusCode::NOT_FOUND, &json!({"error": "not found"}))
}
