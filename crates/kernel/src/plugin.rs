//! Plugins: the components of a process that the kernel starts and stops.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use anyhow::Result;
use tokio::time::Instant;

use crate::context::Context;

/// A program of the fleet; each plugin belongs to one program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Program {
    /// The entry proxy.
    Entry,
    /// The control process.
    Control,
}

/// Boxed future returned by the start and stop functions of a plugin.
pub type PluginFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Function that starts a plugin.
pub type StartFunction = fn(Arc<Context>) -> PluginFuture<Result<PluginHandle>>;

/// A component of a process, registered with `inventory::submit!`.
pub struct Plugin {
    /// Program that the plugin belongs to.
    pub program: Program,
    /// Name in logs and start errors.
    pub name: &'static str,
    /// Position in the start order; a plugin may use values provided by plugins with lower numbers.
    pub order: u32,
    /// Function that starts the plugin.
    pub start: StartFunction,
}

inventory::collect!(Plugin);

impl Plugin {
    /// Returns the plugins of a program in start order, those of equal order sorted by name.
    #[must_use]
    pub fn of(program: Program) -> Vec<&'static Self> {
        let mut plugins: Vec<_> = inventory::iter::<Self>
            .into_iter()
            .filter(|plugin| plugin.program == program)
            .collect();
        plugins.sort_by_key(|plugin| (plugin.order, plugin.name));
        plugins
    }
}

type StopFunction = Box<dyn FnOnce(Instant) -> PluginFuture<()> + Send>;

/// Handle to a started plugin, used to stop it.
pub struct PluginHandle {
    stop: StopFunction,
}

impl PluginHandle {
    /// Creates a handle that stops the plugin with a function. The function receives a deadline after which
    /// it must not wait for requests in flight.
    pub fn new<F, Fut>(stop: F) -> Self
    where
        F: FnOnce(Instant) -> Fut + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        Self {
            stop: Box::new(move |deadline| Box::pin(stop(deadline))),
        }
    }

    /// Creates a handle for a plugin that stops when the given value is dropped.
    pub fn from_drop_guard<T: Send + 'static>(handle: T) -> Self {
        Self::new(move |_| async move { drop(handle) })
    }

    /// Stops the plugin; after the deadline it must not wait for requests in flight.
    pub async fn stop(self, deadline: Instant) {
        (self.stop)(deadline).await;
    }
}
