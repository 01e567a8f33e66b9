//! Starts the plug-ins of a program in order and stops them in reverse.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result};
use tokio::time::Instant;

use crate::admin::Readiness;
use crate::context::Context;
use crate::incarnation;
use crate::plugin::{Plugin, Program, Running};
use crate::settings::ProcessSettings;

/// A running process, or one of several in the embedded fleet.
pub struct Kernel {
    context: Arc<Context>,
    running: Vec<(&'static str, Running)>,
    stop_deadline: Duration,
}

impl Kernel {
    /// Starts every plug-in of the program. When one fails, those already started are stopped.
    ///
    /// # Errors
    ///
    /// Fails with the error of the plug-in that could not start.
    pub async fn spawn<S: ProcessSettings>(program: Program, settings: Arc<S>) -> Result<Self> {
        let stop_deadline = Duration::from_millis(settings.common().stop_deadline_ms);
        let context = Context::new(settings, incarnation::from_wall_clock());
        context.provide(Arc::new(Readiness::default()));
        let mut kernel = Self {
            context: Arc::new(context),
            running: Vec::new(),
            stop_deadline,
        };
        for plugin in Plugin::of(program) {
            match (plugin.start)(Arc::clone(&kernel.context)).await {
                Ok(running) => kernel.running.push((plugin.name, running)),
                Err(error) => {
                    kernel.stop_within(Duration::ZERO).await;
                    return Err(error).with_context(|| format!("starting {}", plugin.name));
                }
            }
        }
        log::info!("kernel: {} is running", kernel.context.instance);
        Ok(kernel)
    }

    /// What the plug-ins share.
    #[must_use]
    pub const fn context(&self) -> &Arc<Context> {
        &self.context
    }

    /// Planned stop within the deadline of the settings.
    pub async fn stop(self) {
        let limit = self.stop_deadline;
        self.stop_within(limit).await;
    }

    /// Planned stop within a deadline.
    pub async fn stop_within(mut self, limit: Duration) {
        self.context.stopping.cancel();
        let deadline = Instant::now() + limit;
        while let Some((name, running)) = self.running.pop() {
            log::debug!("kernel: stopping {name}");
            running.stop(deadline).await;
        }
        log::info!("kernel: {} has stopped", self.context.instance);
    }
}
