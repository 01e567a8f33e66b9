//! Starts the plugins of a program in order and stops them in reverse.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use tokio::time::Instant;

use crate::admin::Readiness;
use crate::context::Context;
use crate::incarnation;
use crate::plugin::{Plugin, PluginHandle, Program};
use crate::settings::ProcessSettings;

/// A running process, or one of several processes embedded in a development fleet.
pub struct Kernel {
    context: Arc<Context>,
    running_plugins: Vec<(&'static str, PluginHandle)>,
    stop_deadline: Duration,
}

impl Kernel {
    /// Starts all plugins of the program. If one fails to start, stops those already started.
    ///
    /// # Errors
    ///
    /// Fails with the error of the plugin that could not start.
    pub async fn spawn<S: ProcessSettings>(program: Program, settings: Arc<S>) -> Result<Self> {
        let stop_deadline = Duration::from_millis(settings.common().stop_deadline_ms);
        let context = Context::new(settings, incarnation::from_wall_clock());
        context.provide(Arc::new(Readiness::default()));
        let mut kernel = Self {
            context: Arc::new(context),
            running_plugins: Vec::new(),
            stop_deadline,
        };
        for plugin in Plugin::of(program) {
            match (plugin.start)(Arc::clone(&kernel.context)).await {
                Ok(running) => kernel.running_plugins.push((plugin.name, running)),
                Err(error) => {
                    kernel.stop_within(Duration::ZERO).await;
                    return Err(error).with_context(|| format!("cannot start {}", plugin.name));
                }
            }
        }
        log::info!("kernel: instance {} started", kernel.context.instance);
        Ok(kernel)
    }

    /// Returns the context that the plugins share.
    #[must_use]
    pub const fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Stops the plugins gracefully within the `stop_deadline_ms` of the settings.
    pub async fn stop(self) {
        let timeout = self.stop_deadline;
        self.stop_within(timeout).await;
    }

    /// Stops the plugins in reverse start order; after the timeout they must not wait for requests in flight.
    pub async fn stop_within(mut self, timeout: Duration) {
        self.context.stopping.cancel();
        let deadline = Instant::now() + timeout;
        while let Some((name, running)) = self.running_plugins.pop() {
            log::debug!("kernel: stopping {name}");
            running.stop(deadline).await;
        }
        log::info!("kernel: instance {} stopped", self.context.instance);
    }
}
