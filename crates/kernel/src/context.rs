//! State that the plugins of one process share.

use std::any::{Any, TypeId, type_name};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use anyhow::{Context as _, Result};
use prometheus::Registry;
use radishpaddle_model::{AvailabilityZone, Incarnation, InstanceId};
use tokio_util::sync::CancellationToken;

use crate::journal::Journal;
use crate::settings::ProcessSettings;

type SharedValue = Arc<dyn Any + Send + Sync>;

/// Identity, metrics, journal and shared values of one process.
pub struct Context {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZone,
    /// Incarnation number of this process, higher after each restart.
    pub incarnation: Incarnation,
    /// Registry of the metrics of this process.
    pub metrics: Registry,
    /// Event journal of this process.
    pub journal: Journal,
    /// Cancelled when the process begins to shut down.
    pub stopping: CancellationToken,
    shared: Mutex<HashMap<TypeId, SharedValue>>,
}

impl Context {
    /// Creates a context with the settings of the process as its first shared value.
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

    /// Stores a value under its type for the plugins that start later; replaces an earlier value of the type.
    ///
    /// # Panics
    ///
    /// Panics when another thread panicked while it held the lock.
    pub fn provide<T: Any + Send + Sync>(&self, value: Arc<T>) {
        let mut shared = self.shared.lock().expect("lock is not poisoned");
        shared.insert(TypeId::of::<T>(), value);
    }

    /// Returns the value of the type that an earlier plugin provided.
    ///
    /// # Errors
    ///
    /// Fails when no plugin provided a value of the type.
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
            .with_context(|| format!("no plugin provides {}", type_name::<T>()))
    }
}
