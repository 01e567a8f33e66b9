//! Registry of the service tasks. Follows configuration and announced backend servers.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, RwLock};

use radishpaddle_kernel::Context;
use radishpaddle_model::{FleetConfig, ServiceId};
use radishpaddle_quorum::witness::InstanceState;

use crate::backend_info::BackendInfo;
use crate::clock::Clock;
use crate::config_store::ConfigStore;
use crate::fleet_view::{FleetView, FleetViewReceiver};
use crate::metrics::ServerSignalMetrics;
use crate::server_intake::ServerIntake;
use crate::service_handle::ServiceHandle;
use crate::service_task;
use crate::settings::LimitSettings;

/// Handles to the service tasks by service. Clones share one registry.
#[derive(Clone, Default)]
pub struct Services(Arc<RwLock<HashMap<ServiceId, ServiceHandle>>>);

impl Services {
    /// Starts the task that applies changes of configuration and fleet to the service tasks.
    #[must_use]
    pub fn spawn(
        context: Arc<Context>,
        config: ConfigStore,
        fleet: FleetViewReceiver,
        limits: LimitSettings,
        signal_metrics: ServerSignalMetrics,
        clock: Clock,
    ) -> Self {
        let services = Self::default();
        let supervisor = ServiceSupervisor {
            context,
            services: services.clone(),
            limits,
            signal_metrics,
            clock,
            servers: HashMap::new(),
        };
        tokio::spawn(supervisor.run(config, fleet));
        services
    }

    /// Returns the handle to the task of a service.
    ///
    /// # Panics
    ///
    /// Panics when another thread panicked while it held the lock.
    #[must_use]
    pub fn get(&self, service: &ServiceId) -> Option<ServiceHandle> {
        let services = self.0.read().expect("lock is not poisoned");
        services.get(service).cloned()
    }

    /// Returns every service with the handle to its task.
    ///
    /// # Panics
    ///
    /// Panics when another thread panicked while it held the lock.
    #[must_use]
    pub fn all(&self) -> BTreeMap<ServiceId, ServiceHandle> {
        let services = self.0.read().expect("lock is not poisoned");
        services
            .iter()
            .map(|(service, handle)| (service.clone(), handle.clone()))
            .collect()
    }
}

struct ServiceSupervisor {
    context: Arc<Context>,
    services: Services,
    limits: LimitSettings,
    signal_metrics: ServerSignalMetrics,
    clock: Clock,
    servers: HashMap<ServiceId, (Vec<Arc<BackendInfo>>, usize)>,
}

impl ServiceSupervisor {
    async fn run(mut self, config: ConfigStore, mut fleet: FleetViewReceiver) {
        let mut config_updates = config.subscribe();
        self.configure(&config.current()).await;
        loop {
            tokio::select! {
                next = config_updates.next() => match next {
                    Some(config) => self.configure(&config).await,
                    None => return,
                },
                update = fleet.changed() => {
                    if update.is_err() {
                        return;
                    }
                    let view = fleet.borrow_and_update().clone();
                    self.update_servers(&view).await;
                }
            }
        }
    }

    async fn configure(&mut self, config: &FleetConfig) {
        let known = self.services.all();
        for (service, entry) in &config.services {
            let document = Arc::clone(&entry.document);
            let handle = known.get(service).cloned().unwrap_or_else(|| {
                let intake = ServerIntake::new(
                    service.clone(),
                    self.context.journal.clone(),
                    self.signal_metrics.clone(),
                );
                let handle = service_task::spawn(
                    Arc::clone(&document),
                    &self.context,
                    self.clock,
                    intake,
                    &self.limits,
                );
                self.insert(service.clone(), handle.clone());
                handle
            });
            handle.configure(document).await;
            if !known.contains_key(service)
                && let Some((servers, instances)) = self.servers.get(service)
            {
                handle.set_servers(servers.clone(), *instances).await;
            }
        }
        let mut services = self.services.0.write().expect("lock is not poisoned");
        services.retain(|service, _| config.services.contains_key(service));
    }

    fn insert(&self, service: ServiceId, handle: ServiceHandle) {
        let mut services = self.services.0.write().expect("lock is not poisoned");
        services.insert(service, handle);
    }

    async fn update_servers(&mut self, view: &FleetView) {
        let serving = view
            .members
            .values()
            .filter(|member| member.state == InstanceState::Serving)
            .count();
        let mut servers: HashMap<ServiceId, Vec<Arc<BackendInfo>>> = HashMap::new();
        for server in view.backend_servers.iter() {
            servers
                .entry(server.service.clone())
                .or_default()
                .push(Arc::clone(server));
        }
        for service in self.servers.keys() {
            servers.entry(service.clone()).or_default();
        }
        for (service, servers) in servers {
            let next = (servers, serving.max(1));
            if self.servers.get(&service) == Some(&next) {
                continue;
            }
            if let Some(handle) = self.services.get(&service) {
                handle.set_servers(next.0.clone(), next.1).await;
            }
            self.servers.insert(service, next);
        }
    }
}
