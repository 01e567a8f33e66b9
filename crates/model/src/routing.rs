//! Routing configuration of a whole fleet: hosts, routes, services, organisations and their keys under
//! one version. Used by the gateways and coordinators, where the highest version wins.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::key::KeyHash;

/// An objective this much above the timeout of its route is a mistake of the operator.
const MAX_OBJECTIVE_OVER_TIMEOUT_MS: u64 = 60_000;

/// The configuration under one version.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RoutingConfig {
    /// Version that the operator gave; the highest one is in force.
    pub version: u64,
    /// What a caller may send, and how long it may take.
    pub limits: CallerLimits,
    /// Organisations; without any, requests need no key.
    pub organisations: Vec<Organisation>,
    /// Routes by host.
    pub hosts: Vec<HostRoutes>,
    /// Services that routes may name.
    pub services: Vec<RoutedService>,
}

/// Bounds on the requests of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time for a request head.
    pub header_timeout_ms: u64,
    /// Longest time that a connection may be idle.
    pub idle_timeout_ms: u64,
}

/// One organisation with its keys and its limit over the whole fleet.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Organisation {
    /// Name, sent to backend servers.
    pub name: Arc<str>,
    /// Hashes of the keys in force.
    pub keys: Vec<KeyHash>,
    /// Rank that takes precedence over the one of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// Sustained rate; 0 means no limit.
    pub rate_per_s: f64,
    /// Requests above the rate that may come at once.
    pub burst: f64,
}

/// Routes of one host.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct HostRoutes {
    /// Host name in lower case without port.
    pub host: Arc<str>,
    /// Routes in the order of the operator.
    pub routes: Vec<RoutingRule>,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RoutingRule {
    /// Name in logs.
    pub name: Arc<str>,
    /// Path prefix; the longest one that begins the path wins.
    pub path_prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether the route needs no key.
    pub open: bool,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Services that take the requests, in proportion to their weights.
    pub parts: Vec<RoutePart>,
    /// Longest time for a request.
    pub timeout_ms: u64,
    /// Time within which an answer has its full value.
    pub objective_ms: u64,
    /// Backend servers that one request may be sent to.
    pub max_attempts: u32,
}

/// Part of a route that goes to one service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RoutePart {
    /// The service.
    pub service: Arc<str>,
    /// Share relative to the other parts.
    pub weight: f64,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RoutedService {
    /// Name, also in the announcements of backend servers.
    pub name: Arc<str>,
    /// Connections that one backend server takes from the whole fleet.
    pub max_connections: usize,
}

/// The configuration contradicts itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
pub enum RoutingError {
    /// A route names a service that is not defined.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// What it names.
        service: Arc<str>,
    },
    /// The weights are negative or add up to nothing.
    #[error("the weights of route {0} are negative or add up to 0")]
    Weights(Arc<str>),
    /// The route has no time or no attempt.
    #[error(
        "route {0} needs a timeout above 0, at least one attempt and an objective near its timeout"
    )]
    Bounds(Arc<str>),
    /// The prefix does not begin with a slash.
    #[error("the path prefix of route {0} does not begin with a slash")]
    Prefix(Arc<str>),
    /// Two routes of one host have the same prefix.
    #[error("two routes of a host have the prefix of route {0}")]
    SamePlace(Arc<str>),
    /// Two organisations hold the same key.
    #[error("organisation {0} shares a key with another one")]
    SharedKey(Arc<str>),
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
    /// Checks that the configuration can be put in force.
    ///
    /// # Errors
    ///
    /// Returns the first contradiction.
    pub fn check(&self) -> Result<(), RoutingError> {
        let services: BTreeSet<&Arc<str>> =
            self.services.iter().map(|service| &service.name).collect();
        for host in &self.hosts {
            let mut prefixes = BTreeSet::new();
            for rule in &host.routes {
                rule.check(&services)?;
                if !prefixes.insert(&rule.path_prefix) {
                    return Err(RoutingError::SamePlace(Arc::clone(&rule.name)));
                }
            }
        }
        let mut holders: BTreeMap<&KeyHash, &Arc<str>> = BTreeMap::new();
        for organisation in &self.organisations {
            for key in &organisation.keys {
                let holder = holders.insert(key, &organisation.name);
                if holder.is_some_and(|holder| *holder != organisation.name) {
                    return Err(RoutingError::SharedKey(Arc::clone(&organisation.name)));
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
        let total: f64 = self.parts.iter().map(|part| part.weight).sum();
        let valid = |part: &RoutePart| part.weight >= 0.0 && part.weight.is_finite();
        if !self.parts.iter().all(valid) || total <= 0.0 {
            return Err(RoutingError::Weights(name()));
        }
        let objective_limit = self
            .timeout_ms
            .saturating_add(MAX_OBJECTIVE_OVER_TIMEOUT_MS);
        if self.timeout_ms == 0 || self.max_attempts == 0 || self.objective_ms >= objective_limit {
            return Err(RoutingError::Bounds(name()));
        }
        if !self.path_prefix.starts_with('/') {
            return Err(RoutingError::Prefix(name()));
        }
        Ok(())
    }
}

/// Lookup structure over a configuration.
#[derive(Debug, Default)]
pub struct RoutingTable {
    config: RoutingConfig,
    hosts: HashMap<Arc<str>, Vec<Arc<RoutingRule>>>,
    keys: HashMap<KeyHash, usize>,
}

impl RoutingTable {
    /// Builds the lookup structure.
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

    /// The configuration.
    #[must_use]
    pub const fn config(&self) -> &RoutingConfig {
        &self.config
    }

    /// Route with the longest prefix that begins the path.
    #[must_use]
    pub fn rule(&self, host: &str, path: &str) -> Option<&Arc<RoutingRule>> {
        let rules = self.hosts.get(host)?;
        rules
            .iter()
            .find(|rule| path.starts_with(&*rule.path_prefix))
    }

    /// Organisation that holds a key.
    #[must_use]
    pub fn organisation(&self, key: &KeyHash) -> Option<&Organisation> {
        let index = self.keys.get(key)?;
        self.config.organisations.get(*index)
    }

    /// Whether requests on routes that are not open need a key.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        !self.config.organisations.is_empty()
    }
}
