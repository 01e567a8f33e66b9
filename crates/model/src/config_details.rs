//! What a routing configuration says beyond the fields of [`RoutingConfig`](crate::RoutingConfig).
//!
//! The configuration travels in an encoding without field names, whose layout old builds depend on. The details
//! travel beside it as JSON, where unknown fields are ignored and missing ones have default values.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Details of a configuration.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ConfigDetails {
    /// Names of the routes that declare large requests or large answers.
    pub bulk_routes: Vec<Arc<str>>,
    /// Warm-up of the services whose backend servers tolerate only a low rate while they are cold.
    pub warmups: Vec<ServiceWarmup>,
    /// Whether the operator named the organisations that may call, possibly none. Details of builds that did not tell are
    /// read as `false`.
    pub names_organisations: bool,
}

/// Warm-up of the backend servers of one service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceWarmup {
    /// Name of the service.
    pub service: Arc<str>,
    /// Time in milliseconds for which a backend server stays cold after it starts.
    pub length_ms: u64,
    /// Requests per second that a cold backend server tolerates, above 0.
    pub rate_per_s: f64,
}

impl ServiceWarmup {
    /// Time for which a backend server stays cold after it starts.
    #[must_use]
    pub const fn length(&self) -> Duration {
        Duration::from_millis(self.length_ms)
    }
}

impl ConfigDetails {
    /// Returns the warm-up of a service, if its backend servers need one.
    #[must_use]
    pub fn warmup(&self, service: &str) -> Option<&ServiceWarmup> {
        self.warmups
            .iter()
            .find(|warmup| &*warmup.service == service)
    }

    /// Whether a route declares large requests or large answers.
    #[must_use]
    pub fn is_bulk(&self, route: &str) -> bool {
        self.bulk_routes.iter().any(|bulk| &**bulk == route)
    }
}
