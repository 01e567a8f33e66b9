//! HTTP control port of a fault proxy.
//!
//! | Request | Response or effect |
//! |---|---|
//! | `GET /status` | returns the [`super::ProxyStatus`] |
//! | `GET /plan`, `PUT /plan` | returns or replaces the [`super::ProxyPlan`] |
//! | `POST /reset` | resets every open connection (TCP RST) |

use std::sync::Arc;

use hyper::{Method, StatusCode};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::Shared;
use crate::control_port::{self, Reply};

pub(super) async fn run(shared: Arc<Shared>, listener: TcpListener, stop: CancellationToken) {
    let handler = move |method: Method, path: String, body: Vec<u8>| {
        let shared = Arc::clone(&shared);
        async move { handle(&shared, &method, &path, &body) }
    };
    control_port::run(listener, stop, handler).await;
}

fn handle(shared: &Shared, method: &Method, path: &str, body: &[u8]) -> Reply {
    match (method.as_str(), path) {
        ("GET", "/status") => control_port::json_reply(StatusCode::OK, &shared.status()),
        ("GET", "/plan") => control_port::json_reply(StatusCode::OK, &*shared.plan.borrow()),
        ("PUT", "/plan") => control_port::apply_json(body, |plan| {
            shared.plan.send_replace(plan);
        }),
        ("POST", "/reset") => {
            shared.reset_connections();
            control_port::json_reply(StatusCode::OK, &shared.status())
        }
        _ => control_port::not_found(),
    }
}
