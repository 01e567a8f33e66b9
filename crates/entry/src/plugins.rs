//! Plugins of an entry process. The kernel starts them by ascending `order`; a plugin reads from
//! the context what earlier ones have provided.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use radishpaddle_kernel::admin::{AdminServer, Readiness};
use radishpaddle_kernel::peer_identity::{client_identity, server_identity};
use radishpaddle_kernel::plugin::PluginFuture;
use radishpaddle_kernel::{Context, PlannedStop, Plugin, PluginHandle, Program, inventory};
use radishpaddle_quorum::InstanceIncarnation;
use radishpaddle_quorum::claim::ClaimSettings;
use radishpaddle_wire::{ClientIdentity, PeerClient, PeerServer};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::addresses::AddressResponder;
use crate::admission_task::AdmissionHandle;
use crate::backend_listener::BackendListener;
use crate::caller_listener::CallerListener;
use crate::claims::ClaimClient;
use crate::clock::Clock;
use crate::config_store::ConfigStore;
use crate::fleet_view::{FleetView, FleetViewReceiver};
use crate::metrics::{RequestMetrics, ServerSignalMetrics};
use crate::peer_handler::EntryPeerHandler;
use crate::poison_task::{PoisonHandle, TicketClient};
use crate::poll_task::{self, PollInputs};
use crate::refusal_log::RefusalLog;
use crate::request_handler::{RequestHandler, RequestIdGenerator};
use crate::services::Services;
use crate::settings::{EntrySettings, LimitSettings, RELEASE_TIMEOUT};
use crate::status;
use crate::sync_task::{self, SyncInputs};
use crate::witness_client::WitnessClients;
use crate::witness_task::{WitnessHandle, WitnessInputs};

inventory::submit! { Plugin { program: Program::Entry, name: "admin", order: 0, start: |context| admin(context) } }
inventory::submit! { Plugin { program: Program::Entry, name: "witness", order: 10, start: |context| witness(context) } }
inventory::submit! { Plugin { program: Program::Entry, name: "peers", order: 20, start: |context| peers(context) } }
inventory::submit! { Plugin { program: Program::Entry, name: "polls", order: 30, start: |context| polls(context) } }
inventory::submit! { Plugin { program: Program::Entry, name: "services", order: 40, start: |context| services(context) } }
inventory::submit! { Plugin { program: Program::Entry, name: "admission", order: 44, start: |context| admission(context) } }
inventory::submit! { Plugin { program: Program::Entry, name: "leader-exchange", order: 46, start: |context| leader_exchange(context) } }
inventory::submit! { Plugin { program: Program::Entry, name: "backend-servers", order: 50, start: |context| backend_servers(context) } }
inventory::submit! { Plugin { program: Program::Entry, name: "callers", order: 60, start: |context| callers(context) } }

/// Time limit at a stop for the witnesses to confirm the ends of claims.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(400);

fn admin(context: Arc<Context>) -> PluginFuture<Result<PluginHandle>> {
    Box::pin(async move {
        let settings = context.get::<EntrySettings>()?;
        context.provide(Arc::new(Clock::start()));
        context.provide(Arc::new(ConfigStore::default()));
        let (view, fleet) = watch::channel(FleetView::default());
        context.provide(Arc::new(view));
        context.provide(Arc::new(fleet));
        context.provide(Arc::new(RequestMetrics::register(&context.metrics)?));
        context.provide(Arc::new(ServerSignalMetrics::register(&context.metrics)?));
        let extra = status::paths(Arc::clone(&context), tokio::runtime::Handle::current());
        let server = AdminServer::bind(settings.common.admin_listen, &context, extra)?;
        Ok(PluginHandle::from_drop_guard(server))
    })
}

fn witness(context: Arc<Context>) -> PluginFuture<Result<PluginHandle>> {
    Box::pin(async move {
        let settings = context.get::<EntrySettings>()?;
        let identity = client_identity(&context, &settings.common)?;
        let local = settings
            .is_witness()
            .then(|| spawn_witness(&context, &settings, &identity))
            .transpose()?;
        let own = settings.common.instance.clone();
        let local_witness = local.clone().map(|handle| (own, handle));
        let witnesses = WitnessClients::new(&settings.witnesses, local_witness.as_ref(), &identity);
        context.provide(Arc::new(witnesses));
        context.provide(Arc::new(local));
        Ok(PluginHandle::from_drop_guard(()))
    })
}

fn spawn_witness(
    context: &Context,
    settings: &EntrySettings,
    identity: &ClientIdentity,
) -> Result<WitnessHandle> {
    let peers: BTreeMap<_, _> = settings
        .witnesses
        .iter()
        .filter(|witness| witness.instance != settings.common.instance)
        .map(|witness| {
            let client = PeerClient::spawn(witness.peer_address, identity.clone());
            (witness.instance.clone(), client)
        })
        .collect();
    let config = ConfigStore::clone(&*context.get::<ConfigStore>()?);
    let clock = *context.get::<Clock>()?;
    let inputs = WitnessInputs {
        life: life(context),
        peers,
        config,
        fleet: FleetViewReceiver::clone(&*context.get::<FleetViewReceiver>()?),
        journal: context.journal.clone(),
        clock,
        claims: claim_settings(&settings.limits),
    };
    Ok(WitnessHandle::spawn(inputs))
}

fn claim_settings(limits: &LimitSettings) -> ClaimSettings {
    let max_bytes = usize::try_from(limits.claim_memory.0).unwrap_or(usize::MAX);
    ClaimSettings {
        retention: Duration::from_millis(limits.claim_retention_ms),
        max_bytes,
        max_answers_bytes: max_bytes / 2,
        ..ClaimSettings::default()
    }
}

fn peers(context: Arc<Context>) -> PluginFuture<Result<PluginHandle>> {
    Box::pin(async move {
        let settings = context.get::<EntrySettings>()?;
        let handler = EntryPeerHandler {
            config: ConfigStore::clone(&*context.get::<ConfigStore>()?),
            witness: Option::clone(&*context.get::<Option<WitnessHandle>>()?),
        };
        let identity = server_identity(&context, &settings.common)?;
        let address = settings.listen.peers;
        let server = PeerServer::bind(address, identity, Arc::new(handler))
            .await
            .with_context(|| format!("cannot bind the peer address {address}"))?;
        Ok(PluginHandle::from_drop_guard(server))
    })
}

fn polls(context: Arc<Context>) -> PluginFuture<Result<PluginHandle>> {
    Box::pin(async move {
        let inputs = PollInputs {
            settings: context.get::<EntrySettings>()?,
            config: ConfigStore::clone(&*context.get::<ConfigStore>()?),
            witnesses: WitnessClients::clone(&*context.get::<WitnessClients>()?),
            clock: *context.get::<Clock>()?,
            readiness: context.get::<Readiness>()?,
            view: watch::Sender::clone(&*context.get::<watch::Sender<FleetView>>()?),
            context: Arc::clone(&context),
        };
        poll_task::spawn(inputs);
        Ok(PluginHandle::from_drop_guard(()))
    })
}

fn services(context: Arc<Context>) -> PluginFuture<Result<PluginHandle>> {
    Box::pin(async move {
        let settings = context.get::<EntrySettings>()?;
        let services = Services::spawn(
            Arc::clone(&context),
            ConfigStore::clone(&*context.get::<ConfigStore>()?),
            FleetViewReceiver::clone(&*context.get::<FleetViewReceiver>()?),
            settings.limits.clone(),
            ServerSignalMetrics::clone(&*context.get::<ServerSignalMetrics>()?),
            *context.get::<Clock>()?,
        );
        context.provide(Arc::new(services));
        Ok(PluginHandle::from_drop_guard(()))
    })
}

fn admission(context: Arc<Context>) -> PluginFuture<Result<PluginHandle>> {
    Box::pin(async move {
        let handle = AdmissionHandle::spawn(
            life(&context),
            WitnessClients::clone(&*context.get::<WitnessClients>()?),
            FleetViewReceiver::clone(&*context.get::<FleetViewReceiver>()?),
            *context.get::<Clock>()?,
        );
        context.provide(Arc::new(handle.clone()));
        Ok(PluginHandle::new(move |deadline| async move {
            // The instance serves no callers any more. Returning its allocations lets other
            // instances use them at once instead of after they expire.
            let until = deadline.min(Instant::now() + RELEASE_TIMEOUT);
            handle.release(until).await;
        }))
    })
}

fn leader_exchange(context: Arc<Context>) -> PluginFuture<Result<PluginHandle>> {
    Box::pin(async move {
        let settings = context.get::<EntrySettings>()?;
        let witnesses = WitnessClients::clone(&*context.get::<WitnessClients>()?);
        let fleet = FleetViewReceiver::clone(&*context.get::<FleetViewReceiver>()?);
        let clock = *context.get::<Clock>()?;
        let journal = context.journal.clone();
        let poison = PoisonHandle::spawn(
            life(&context),
            witnesses.clone(),
            fleet.clone(),
            journal,
            clock,
        );
        context.provide(Arc::new(poison.clone()));
        sync_task::spawn(SyncInputs {
            life: life(&context),
            witnesses,
            fleet,
            services: Services::clone(&*context.get::<Services>()?),
            poison,
            clock,
            period: Duration::from_millis(settings.timing.sync_ms),
            context: Arc::clone(&context),
        });
        Ok(PluginHandle::from_drop_guard(()))
    })
}

fn backend_servers(context: Arc<Context>) -> PluginFuture<Result<PluginHandle>> {
    Box::pin(async move {
        let settings = context.get::<EntrySettings>()?;
        let witnesses = WitnessClients::clone(&*context.get::<WitnessClients>()?);
        let token = Arc::clone(&settings.backend_token);
        let address = settings.listen.backend_servers;
        let listener = BackendListener::bind(address, token, witnesses).await?;
        Ok(PluginHandle::from_drop_guard(listener))
    })
}

fn callers(context: Arc<Context>) -> PluginFuture<Result<PluginHandle>> {
    Box::pin(async move {
        let settings = context.get::<EntrySettings>()?;
        let witnesses = WitnessClients::clone(&*context.get::<WitnessClients>()?);
        let fleet = FleetViewReceiver::clone(&*context.get::<FleetViewReceiver>()?);
        let clock = *context.get::<Clock>()?;
        let lifetime = Duration::from_millis(settings.timing.address_lifetime_ms);
        let ids = RequestIdGenerator::new(context.instance.as_str(), context.incarnation.0);
        let handler = RequestHandler {
            config: ConfigStore::clone(&*context.get::<ConfigStore>()?),
            fleet: fleet.clone(),
            services: Services::clone(&*context.get::<Services>()?),
            admission: AdmissionHandle::clone(&*context.get::<AdmissionHandle>()?),
            poison: PoisonHandle::clone(&*context.get::<PoisonHandle>()?),
            tickets: TicketClient {
                life: life(&context),
                witnesses: witnesses.clone(),
                fleet: fleet.clone(),
            },
            claims: ClaimClient::new(life(&context), witnesses, clock),
            metrics: RequestMetrics::clone(&*context.get::<RequestMetrics>()?),
            refusal_log: RefusalLog::new(context.journal.clone()),
            clock,
            request_ids: ids,
            stop: Arc::new(PlannedStop::new(settings.stop_plan())),
            settings,
        };
        let claims = handler.claims.clone();
        let addresses = AddressResponder::new(fleet, lifetime);
        let listener = CallerListener::bind(Arc::new(handler), addresses).await?;
        log::info!("entry: listening for callers at {}", listener.address());
        Ok(PluginHandle::new(move |deadline| async move {
            listener.stop(deadline).await;
            claims
                .settle(deadline.min(Instant::now() + SETTLE_TIMEOUT))
                .await;
        }))
    })
}

fn life(context: &Context) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: context.instance.clone(),
        incarnation: context.incarnation,
    }
}
