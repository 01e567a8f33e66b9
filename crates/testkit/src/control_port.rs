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

/// Delay before the next accept after a failed one, for example when the process is out of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Status and JSON body of a response.
pub(crate) type Reply = (StatusCode, Bytes);

/// Serves control requests until `stop` is cancelled. `handler` receives the method, path and body of each.
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
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
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
            Err(error) => json_reply(
                StatusCode::BAD_REQUEST,
                &json!({"error": error.to_string()}),
            ),
        };
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = status;
        Ok::<_, Infallible>(response)
    });
    // Fails only when the client closes the connection or sends malformed HTTP.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Builds a response with `value` as its JSON body.
pub(crate) fn json_reply(status: StatusCode, value: &impl Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => (status, body.into()),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into()),
    }
}

/// Parses the JSON body and passes it to `apply`. Refuses a malformed body with status 422, without
/// calling `apply`.
pub(crate) fn apply_json<T: DeserializeOwned>(body: &[u8], apply: impl FnOnce(T)) -> Reply {
    match serde_json::from_slice(body) {
        Ok(value) => {
            apply(value);
            json_reply(StatusCode::OK, &json!({"accepted": true}))
        }
        Err(error) => json_reply(
            StatusCode::UNPROCESSABLE_ENTITY,
            &json!({"error": error.to_string()}),
        ),
    }
}

/// Builds the response to a request with an unknown method or path.
pub(crate) fn not_found() -> Reply {
    json_reply(StatusCode::NOT_FOUND, &json!({"error": "not found"}))
}
