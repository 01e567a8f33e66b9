//! HTTP control port of a sample backend server.
//!
//! | Request | Response or effect |
//! |---|---|
//! | `GET /status` | returns the [`super::BackendStatus`] |
//! | `GET /faults`, `PUT /faults` | returns or replaces the [`super::FaultPlan`] |
//! | `POST /entries` | replaces the entry instances; JSON array of the addresses of their backend ports |
//! | `POST /drain`, `POST /leave` | announces the new state to every entry instance |
//! | `POST /crash` | simulates a crash, with a restart if the fault plan sets `restart_after_ms` |
//! | `GET /signals`, `DELETE /signals` | returns or discards the [`super::SignalRecord`] |
//! | `GET /executions`, `DELETE /executions` | returns or discards the [`super::Execution`] records |

use std::sync::Arc;

use hyper::{Method, StatusCode};
use radishpaddle_model::BackendState;
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::announce::announce_to_all;
use super::shared::Shared;
use crate::control_port::{self, Reply};

pub(super) async fn run(shared: Arc<Shared>, listener: TcpListener, stop: CancellationToken) {
    let handler = move |method: Method, path: String, body: Vec<u8>| {
        let shared = Arc::clone(&shared);
        async move { handle(&shared, &method, &path, &body).await }
    };
    control_port::run(listener, stop, handler).await;
}

async fn handle(shared: &Arc<Shared>, method: &Method, path: &str, body: &[u8]) -> Reply {
    match (method.as_str(), path) {
        ("GET", "/status") => ok(&shared.status()),
        ("GET", "/faults") => ok(&shared.faults()),
        ("PUT", "/faults") => control_port::apply_json(body, |plan| shared.set_faults(plan)),
        ("POST", "/entries") => control_port::apply_json(body, |list| shared.set_entries(list)),
        ("POST", "/drain") => announce_state(shared, BackendState::Draining).await,
        ("POST", "/leave") => announce_state(shared, BackendState::Left).await,
        ("POST", "/crash") => {
            shared.crash(shared.faults().restart_after_ms);
            ok(&shared.status())
        }
        ("GET", "/signals") => ok(&shared.signals.record()),
        ("DELETE", "/signals") => {
            shared.signals.clear();
            ok(&shared.status())
        }
        ("GET", "/executions") => ok(&shared.execution_log.executions()),
        ("DELETE", "/executions") => {
            shared.execution_log.clear();
            ok(&shared.status())
        }
        _ => control_port::not_found(),
    }
}

async fn announce_state(shared: &Arc<Shared>, state: BackendState) -> Reply {
    shared.advance_state(state);
    let accepted = announce_to_all(shared).await;
    ok(&json!({"accepted": accepted}))
}

fn ok(value: &impl Serialize) -> Reply {
    control_port::json_reply(StatusCode::OK, value)
}
