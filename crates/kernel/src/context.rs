//! What the plug-ins of one process share.

use std::any::{Any, TypeId, type_name};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use anyhow::{Context as _, Result};
use prometheus::Registry;
use radishpaddle_model::{AvailabilityZone, Incarnation, InstanceId};
use tokio_util::sync::CancellationToken;

use crate::journal::Journal;
use crate::settings::ProcessSettings;

type Shared = Arc<dyn Any + Send + Sync>;

/// Identity, settings and shared handles of one process.
pub struct Context {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZone,
    /// Life of this process.
    pub incarnation: Incarnation,
    /// Metrics of this process.
    pub metrics: Registry,
    /// Events of this process.
    pub journal: Journal,
    /// Cancelled when a planned stop begins.
    pub stopping: CancellationToken,
    shared: Mutex<HashMap<TypeId, Shared>>,
}

impl Context {
    /// Context with the settings of the process as its first shared value.
    ///
    /// # Panics
    ///
    /// Panics when another thread panicked while it held the lock.
    #[must_use]
    pub fn new<S: ProcessSettings>(settings: Arc<S>, incarnation: Incarnation) -> Self {
        let common = settings.common();
        let context = Self {
            instance: common.instance.clone(),
            availability_zone: common.availability_zone.clone(),
            incarnation,
            metrics: Registry::new(),
            journal: Journal::new(common.instance.clone(), common.journal_events),
            stopping: CancellationToken::new(),
            shared: Mutex::default(),
        };
        context.provide(settings);
        context
    }

    /// Makes a value available to the plug-ins that start later.
    ///
    /// # Panics
    ///
    /// Panics when another thread panicked while it held the lock.
    pub fn provide<T: Any + Send + Sync>(&self, value: Arc<T>) {
        let mut shared = self.shared.lock().expect("lock is not poisoned");
        shared.insert(TypeId::of::<T>(), value);
    }

    /// Value that an earlier plug-in provided.
    ///
    /// # Errors
    ///
    /// Fails when no plug-in provided it.
    ///
    /// # Panics
    ///
    /// Panics when another thread panicked while it held the lock.
    pub fn get<T: Any + Send + Sync>(&self) -> Result<Arc<T>> {
        let shared = self.shared.lock().expect("lock is not poisoned");
        shared
            .get(&TypeId::of::<T>())
            .cloned()
            .and_then(|value| value.downcast().ok())
            .with_context(|| format!("no plug-in provides {}", type_name::<T>()))
    }
}
