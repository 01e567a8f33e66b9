//! Plugins of the control process, registered with the kernel and started in their order.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use radishpaddle_consensus::Role;
use radishpaddle_kernel::admin::{AdminServer, Readiness};
use radishpaddle_kernel::peer_identity::{client_identity, server_identity};
use radishpaddle_kernel::plugin::PluginFuture;
use radishpaddle_kernel::{Context, Plugin, PluginHandle, Program, inventory};
use radishpaddle_wire::PeerServer;
use tokio::sync::watch;

use crate::distribution::{self, DistributionView};
use crate::metrics::ControlMetrics;
use crate::operator_api::{OperatorApi, OperatorServer};
use crate::peer_handler::ControlPeerHandler;
use crate::replica::ReplicaHandle;
use crate::settings::ControlSettings;

inventory::submit! { Plugin { program: Program::Control, name: "admin", order: 0, start: |context| admin(context) } }
inventory::submit! { Plugin { program: Program::Control, name: "replica", order: 10, start: |context| replica(context) } }
inventory::submit! { Plugin { program: Program::Control, name: "peers", order: 20, start: |context| peers(context) } }
inventory::submit! { Plugin { program: Program::Control, name: "distribution", order: 30, start: |context| distribution(context) } }
inventory::submit! { Plugin { program: Program::Control, name: "operators", order: 40, start: |context| operators(context) } }

/// Maximum time for which a stopping leader waits for its leadership transfer.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

fn admin(context: Arc<Context>) -> PluginFuture<Result<PluginHandle>> {
    Box::pin(async move {
        let settings = context.get::<ControlSettings>()?;
        let no_extra_pages = Box::new(|_: &rouille::Request| None);
        let server = AdminServer::bind(settings.common.admin_listen, &context, no_extra_pages)?;
        Ok(PluginHandle::from_drop_guard(server))
    })
}

fn replica(context: Arc<Context>) -> PluginFuture<Result<PluginHandle>> {
    Box::pin(async move {
        let settings = context.get::<ControlSettings>()?;
        let replica =
            crate::replica::open(&settings, client_identity(&context, &settings.common)?)?;
        context.provide(Arc::new(replica.clone()));
        tokio::spawn(update_readiness(
            replica.watch(),
            context.get::<Readiness>()?,
        ));
        Ok(PluginHandle::new(move |deadline| async move {
            replica.step_down().await;
            let mut view = replica.watch();
            let transferred = view.wait_for(|view| view.role != Role::Leader);
            let wait_until =
                deadline.min(tokio::time::Instant::now() + LEADERSHIP_TRANSFER_TIMEOUT);
            let _ = tokio::time::timeout_at(wait_until, transferred).await;
        }))
    })
}

/// Reports the instance as ready while a leader is known and the data directory can be written.
async fn update_readiness(
    mut view: watch::Receiver<crate::replica::ReplicaView>,
    readiness: Arc<Readiness>,
) {
    loop {
        {
            let view = view.borrow_and_update();
            readiness.set(view.storage_works && view.leader.is_some());
        }
        if view.changed().await.is_err() {
            readiness.set(false);
            return;
        }
    }
}

fn peers(context: Arc<Context>) -> PluginFuture<Result<PluginHandle>> {
    Box::pin(async move {
        let settings = context.get::<ControlSettings>()?;
        let handler = ControlPeerHandler {
            replica: ReplicaHandle::clone(&*context.get::<ReplicaHandle>()?),
        };
        let identity = server_identity(&context, &settings.common)?;
        let address = settings.peer_listen;
        let server = PeerServer::bind(address, identity, Arc::new(handler))
            .await
            .with_context(|| format!("peer address {address}"))?;
        Ok(PluginHandle::from_drop_guard(server))
    })
}

fn distribution(context: Arc<Context>) -> PluginFuture<Result<PluginHandle>> {
    Box::pin(async move {
        let settings = context.get::<ControlSettings>()?;
        let replica = ReplicaHandle::clone(&*context.get::<ReplicaHandle>()?);
        let identity = client_identity(&context, &settings.common)?;
        let metrics = ControlMetrics::register(&context.metrics)?;
        let replica_view = replica.watch();
        let distribution_view =
            distribution::spawn(&settings, &identity, replica, context.journal.clone());
        tokio::spawn(metrics.follow(replica_view, distribution_view.clone()));
        context.provide(Arc::new(distribution_view));
        Ok(PluginHandle::from_drop_guard(()))
    })
}

fn operators(context: Arc<Context>) -> PluginFuture<Result<PluginHandle>> {
    Box::pin(async move {
        let settings = context.get::<ControlSettings>()?;
        let distribution = context.get::<watch::Receiver<DistributionView>>()?;
        let api = OperatorApi {
            replica: ReplicaHandle::clone(&*context.get::<ReplicaHandle>()?),
            distribution: watch::Receiver::clone(&*distribution),
            operators: settings.operators.clone(),
            journal: context.journal.clone(),
            runtime: tokio::runtime::Handle::current(),
        };
        let server = OperatorServer::bind(settings.operator_listen, api)?;
        log::info!("control: operator API listening on {}", server.address());
        Ok(PluginHandle::new(|deadline| server.stop(deadline)))
    })
}
