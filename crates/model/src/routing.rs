//! Routing configuration of a whole fleet: hosts, routes, services, organisations and their keys under one
//! version number. Gateways and coordinators apply the configuration with the highest version that they know.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::config_details::{ConfigDetails, ServiceWarmup};
use crate::key::KeyHash;

/// Exclusive limit, in milliseconds, by which the target latency of a route may exceed its timeout. A larger
/// excess indicates an operator error.
const TARGET_LATENCY_MARGIN_MS: u64 = 60_000;

/// Complete routing configuration of one version.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RoutingConfig {
    /// Version number chosen by the operator; the highest version is in force.
    pub version: u64,
    /// Size and time limits for the requests of callers.
    pub limits: CallerLimits,
    /// Organisations that may call; [`RoutingTable::key_requirement`] tells what an empty list means.
    pub organisations: Vec<Organisation>,
    /// Routes, grouped by host.
    pub hosts: Vec<HostRoutes>,
    /// Services to which the routes may send requests.
    pub services: Vec<RoutedService>,
    /// Details that are stored and sent beside the configuration; `None` while they are not known.
    #[serde(skip)]
    pub details: Option<ConfigDetails>,
}

/// Size and time limits for the requests of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Time allowed to receive a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time after which an idle caller connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Organisation with its keys and its rate limit over the whole fleet.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Organisation {
    /// Name of the organisation, sent to backend servers.
    pub name: Arc<str>,
    /// Hashes of the valid keys of the organisation.
    pub keys: Vec<KeyHash>,
    /// Priority that overrides the one of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// Sustained rate in requests per second; 0 means no limit.
    pub rate_per_s: f64,
    /// Number of requests above the sustained rate that may arrive at once.
    pub burst: f64,
}

/// Routes of one host.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct HostRoutes {
    /// Host name in lower case without port.
    pub host: Arc<str>,
    /// Routes in the order in which the operator listed them.
    pub routes: Vec<RoutingRule>,
}

/// Route of a host.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RoutingRule {
    /// Name of the route in logs.
    pub name: Arc<str>,
    /// Path prefix; the route with the longest prefix that matches the path is selected.
    pub path_prefix: Arc<str>,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Whether the route needs no key.
    pub open: bool,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Services that receive the requests in proportion to their weights.
    pub parts: Vec<RoutePart>,
    /// Timeout of a request in milliseconds.
    pub timeout_ms: u64,
    /// Target latency in milliseconds; answers that take longer are worth less to the caller.
    pub objective_ms: u64,
    /// Maximum number of attempts in which a backend server may have executed the request, the first included.
    pub max_attempts: u32,
}

/// Share of the requests of a route that one service receives.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RoutePart {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other parts of the route, finite and at least 0.
    pub weight: f64,
}

/// Service that routes may send requests to.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RoutedService {
    /// Name of the service, as in the announcements of its backend servers.
    pub name: Arc<str>,
    /// Maximum number of connections that the whole fleet may open to one backend server.
    pub max_connections: usize,
}

/// Inconsistency in a routing configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum RoutingError {
    /// A route names a service that is not defined.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: Arc<str>,
        /// Name of the undefined service.
        service: Arc<str>,
    },
    /// A weight is negative or not finite, or the weights of the route add up to 0.
    #[error("the weights of route {0} are negative or add up to 0")]
    InvalidWeights(Arc<str>),
    /// The timeout or the number of attempts is 0, or the target latency is far above the timeout.
    #[error(
        "route {0} needs a timeout above 0, at least one attempt and an objective near its timeout"
    )]
    InvalidLimits(Arc<str>),
    /// The path prefix does not begin with a slash.
    #[error("the path prefix of route {0} does not begin with a slash")]
    InvalidPrefix(Arc<str>),
    /// Two routes of one host have the same path prefix.
    #[error("two routes of a host have the prefix of route {0}")]
    DuplicatePrefix(Arc<str>),
    /// Two organisations have the same key.
    #[error("organisation {0} shares a key with another one")]
    DuplicateKey(Arc<str>),
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 64 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl RoutingConfig {
    /// Longest timeout of all routes.
    #[must_use]
    pub fn longest_timeout(&self) -> Duration {
        let routes = self.hosts.iter().flat_map(|host| &host.routes);
        let longest_ms = routes.map(|rule| rule.timeout_ms).max();
        Duration::from_millis(longest_ms.unwrap_or_default())
    }

    /// Whether any route declares large requests or large answers.
    #[must_use]
    pub fn has_bulk_routes(&self) -> bool {
        let details = self.details.as_ref();
        details.is_some_and(|details| !details.bulk_routes.is_empty())
    }

    /// Warm-ups of the services whose backend servers tolerate only a low rate while they are cold.
    #[must_use]
    pub fn warmups(&self) -> &[ServiceWarmup] {
        self.details
            .as_ref()
            .map_or(&[], |details| &details.warmups)
    }

    /// Checks that the configuration is consistent and can be put in force.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency found.
    pub fn check(&self) -> Result<(), RoutingError> {
        let services: BTreeSet<&Arc<str>> =
            self.services.iter().map(|service| &service.name).collect();
        for host in &self.hosts {
            let mut prefixes = BTreeSet::new();
            for rule in &host.routes {
                rule.check(&services)?;
                if !prefixes.insert(&rule.path_prefix) {
                    return Err(RoutingError::DuplicatePrefix(Arc::clone(&rule.name)));
                }
            }
        }
        let mut owners: BTreeMap<&KeyHash, &Arc<str>> = BTreeMap::new();
        for organisation in &self.organisations {
            for key in &organisation.keys {
                let earlier_owner = owners.insert(key, &organisation.name);
                if earlier_owner.is_some_and(|owner| *owner != organisation.name) {
                    return Err(RoutingError::DuplicateKey(Arc::clone(&organisation.name)));
                }
            }
        }
        Ok(())
    }
}

impl RoutingRule {
    fn check(&self, services: &BTreeSet<&Arc<str>>) -> Result<(), RoutingError> {
        let name = || Arc::clone(&self.name);
        for part in &self.parts {
            if !services.contains(&part.service) {
                return Err(RoutingError::UnknownService {
                    route: name(),
                    service: Arc::clone(&part.service),
                });
            }
        }
        let total_weight: f64 = self.parts.iter().map(|part| part.weight).sum();
        let valid = |part: &RoutePart| part.weight >= 0.0 && part.weight.is_finite();
        if !self.parts.iter().all(valid) || total_weight <= 0.0 {
            return Err(RoutingError::InvalidWeights(name()));
        }
        let objective_limit = self.timeout_ms.saturating_add(TARGET_LATENCY_MARGIN_MS);
        if self.timeout_ms == 0 || self.max_attempts == 0 || self.objective_ms >= objective_limit {
            return Err(RoutingError::InvalidLimits(name()));
        }
        if !self.path_prefix.starts_with('/') {
            return Err(RoutingError::InvalidPrefix(name()));
        }
        Ok(())
    }
}

/// Whether requests to routes that are not open need a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRequirement {
    /// Only the keys of the organisations are valid.
    Required,
    /// The configuration says nothing about organisations.
    NotRequired,
    /// The configuration has no organisations, and its details, which would tell why, are not known.
    Unknown,
}

/// Index over a routing configuration for lookups by host, path and key.
#[derive(Debug, Default)]
pub struct RoutingTable {
    config: RoutingConfig,
    hosts: HashMap<Arc<str>, Vec<Arc<RoutingRule>>>,
    keys: HashMap<KeyHash, usize>,
}

impl RoutingTable {
    /// Builds the index of a configuration.
    #[must_use]
    pub fn new(config: RoutingConfig) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<RoutingRule>>> = HashMap::new();
        for host in &config.hosts {
            let rules = hosts.entry(Arc::clone(&host.host)).or_default();
            rules.extend(host.routes.iter().cloned().map(Arc::new));
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        }
        let keys = config.organisations.iter().enumerate();
        let keys = keys
            .flat_map(|(index, organisation)| {
                organisation.keys.iter().map(move |key| (*key, index))
            })
            .collect();
        Self {
            config,
            hosts,
            keys,
        }
    }

    /// Returns the indexed configuration.
    #[must_use]
    pub const fn config(&self) -> &RoutingConfig {
        &self.config
    }

    /// Returns the route of the host with the longest prefix that matches the path.
    #[must_use]
    pub fn rule(&self, host: &str, path: &str) -> Option<&Arc<RoutingRule>> {
        let rules = self.hosts.get(host)?;
        rules
            .iter()
            .find(|rule| path.starts_with(&*rule.path_prefix))
    }

    /// Returns the organisation to which a key belongs.
    #[must_use]
    pub fn organisation(&self, key: &KeyHash) -> Option<&Organisation> {
        let index = self.keys.get(key)?;
        self.config.organisations.get(*index)
    }

    /// Returns whether requests to routes that are not open need a key.
    #[must_use]
    pub fn key_requirement(&self) -> KeyRequirement {
        if !self.config.organisations.is_empty() {
            return KeyRequirement::Required;
        }
        match &self.config.details {
            Some(details) if details.names_organisations => KeyRequirement::Required,
            Some(_) => KeyRequirement::NotRequired,
            None => KeyRequirement::Unknown,
        }
    }
}
