//! Status of this instance for operators, served on the admin address.

use std::sync::Arc;

use radishpaddle_kernel::Context;
use radishpaddle_kernel::admin::ExtraPaths;
use rouille::{Request, Response};
use serde_json::json;
use tokio::runtime::Handle;

use crate::clock::Clock;
use crate::config_store::ConfigStore;
use crate::fleet_view::FleetViewReceiver;
use crate::metrics::RequestMetrics;
use crate::services::Services;

/// Returns the handler for the paths that only entry instances have.
#[must_use]
pub fn paths(context: Arc<Context>, runtime: Handle) -> ExtraPaths {
    Box::new(move |request| respond(request, &context, &runtime))
}

fn respond(request: &Request, context: &Context, runtime: &Handle) -> Option<Response> {
    match request.url().as_str() {
        "/metrics" => {
            update_gauges(context);
            None
        }
        "/v1/status" => Some(Response::json(&status(context, runtime)?)),
        _ => None,
    }
}

fn update_gauges(context: &Context) {
    let (Ok(metrics), Ok(config), Ok(fleet), Ok(clock)) = (
        context.get::<RequestMetrics>(),
        context.get::<ConfigStore>(),
        context.get::<FleetViewReceiver>(),
        context.get::<Clock>(),
    ) else {
        return;
    };
    let revision = i64::try_from(config.revision().0).unwrap_or(i64::MAX);
    metrics.revision.set(revision);
    let fresh = fleet.borrow().is_fresh(clock.now());
    metrics.fresh.set(i64::from(fresh));
}

fn status(context: &Context, runtime: &Handle) -> Option<serde_json::Value> {
    let config = context.get::<ConfigStore>().ok()?;
    let fleet = context.get::<FleetViewReceiver>().ok()?;
    let clock = context.get::<Clock>().ok()?;
    let services = context.get::<Services>().ok()?;
    let view = fleet.borrow().clone();
    let now = clock.now();
    let fresh_for = view
        .fresh_until
        .map(|until| until.saturating_sub(now).as_millis());
    let mut by_service = serde_json::Map::new();
    for (service, handle) in services.all() {
        let status = runtime.block_on(handle.status());
        by_service.insert(service.to_string(), json!(status));
    }
    let members: Vec<_> = view
        .members
        .iter()
        .map(|(life, record)| json!({"instance": life.instance, "record": record}))
        .collect();
    Some(json!({
        "instance": context.instance,
        "incarnation": context.incarnation,
        "availability_zone": context.availability_zone,
        "revision": config.revision(),
        "fresh": view.is_fresh(now),
        "fresh_for_ms": fresh_for.and_then(|ms| u64::try_from(ms).ok()),
        "leader": view.leader,
        "members": members,
        "services": by_service,
    }))
}
