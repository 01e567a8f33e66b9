//! Plug-ins: the parts of a process that the kernel starts and stops.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use anyhow::Result;
use tokio::time::Instant;

use crate::context::Context;

/// A program of the fleet; each plug-in belongs to one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Program {
    /// The entry proxy.
    Entry,
    /// The control process.
    Control,
}

/// Future of a plug-in function.
pub type PluginFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Starts one part of a process.
pub type StartFunction = fn(Arc<Context>) -> PluginFuture<Result<Running>>;

/// One part of a process, registered with `inventory::submit!`.
pub struct Plugin {
    /// Program that the part belongs to.
    pub program: Program,
    /// Name in logs.
    pub name: &'static str,
    /// Position in the start order; a part may use what lower numbers provide.
    pub order: u32,
    /// Starts the part.
    pub start: StartFunction,
}

inventory::collect!(Plugin);

impl Plugin {
    /// Plug-ins of a program in start order.
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

/// A started part. Stopping it takes a deadline after which it must not wait for requests.
pub struct Running {
    stop: StopFunction,
}

impl Running {
    /// A part that is stopped by a function.
    pub fn new<F, Fut>(stop: F) -> Self
    where
        F: FnOnce(Instant) -> Fut + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        Self {
            stop: Box::new(move |deadline| Box::pin(stop(deadline))),
        }
    }

    /// A part whose handle only has to be dropped.
    pub fn holding<T: Send + 'static>(handle: T) -> Self {
        Self::new(move |_| async move { drop(handle) })
    }

    /// Stops the part.
    pub async fn stop(self, deadline: Instant) {
        (self.stop)(deadline).await;
    }
}
