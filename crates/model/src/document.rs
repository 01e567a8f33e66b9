//! The document that a service team owns: who may call, at what rate, which requests may repeat.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::{OrganisationId, ServiceId};
use crate::unit::{ByteSize, Percent, RatePerSecond};

/// Longest timeout that a route may have.
pub const MAX_TIMEOUT_MS: u64 = 600_000;

/// Largest request or answer body that a document may allow.
pub const MAX_BODY: ByteSize = ByteSize(64 << 20);

/// Stands for callers of open routes; no organisation may have this name.
pub const OPEN_ORGANISATION: &str = "open";

/// One service as its team describes it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDocument {
    /// Name of the service.
    pub service: ServiceId,
    /// Values of the `Host` header, without port, that belong to the service.
    pub hosts: Vec<Arc<str>>,
    /// Routes; the longest matching path prefix wins.
    pub routes: Vec<Route>,
    /// Organisations that may call keyed routes, with their limits.
    pub organisations: Vec<OrganisationLimit>,
    /// Part of the announced slots that ejection must leave in rotation.
    pub floor_percent: Percent,
    /// Largest request body in bytes.
    #[serde(default = "default_body_bytes")]
    pub max_request_bytes: ByteSize,
    /// Largest answer body in bytes.
    #[serde(default = "default_body_bytes")]
    pub max_answer_bytes: ByteSize,
    /// Repeated requests, as a part of the first attempts.
    #[serde(default)]
    pub retry: RetryPolicy,
    /// Service-level objective.
    pub objective: Objective,
}

/// One route of a service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name in reports, unique within the service.
    pub name: Arc<str>,
    /// Path prefix that the route takes; matches whole path segments.
    pub path_prefix: Arc<str>,
    /// Methods that the route takes.
    pub methods: Vec<Arc<str>>,
    /// Who may call.
    pub access: Access,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Whether a non-idempotent request may come without an idempotency key.
    #[serde(default)]
    pub idempotency_key_optional: bool,
    /// Longest time for a request, from its arrival.
    pub timeout_ms: u64,
    /// Weight of a delivered request in reports and in fair queueing.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// Who may call a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Organisations of the document, by key.
    Keyed,
    /// Everybody, without key and without rate.
    Open,
}

/// Limit of one organisation at one service, for the whole fleet.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationLimit {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Sustained rate in requests per second.
    pub rate_per_s: RatePerSecond,
    /// Requests above the rate that may come at once.
    pub burst: u32,
}

/// Budget for repeated requests.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetryPolicy {
    /// Attempts of one request, the first included.
    pub max_attempts: u32,
    /// Retries and hedges as a part of first attempts.
    pub budget_percent: Percent,
    /// Whether idempotent requests may be hedged.
    pub hedge: bool,
}

/// Service-level objective.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Part of the requests that must be answered in time.
    pub success_percent: Percent,
    /// Longest time for a request that counts as answered in time.
    pub latency_ms: u64,
}

/// A field of a document is outside what is allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("{field} is {value}; allowed: {allowed}")]
pub struct DocumentError {
    /// Path of the field.
    pub field: String,
    /// Value that was found.
    pub value: String,
    /// What the field takes.
    pub allowed: &'static str,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            budget_percent: Percent::try_from(20.0).expect("20 is a percentage"),
            hedge: true,
        }
    }
}

const fn default_body_bytes() -> ByteSize {
    ByteSize(1 << 20)
}

const fn default_weight() -> u32 {
    1
}

impl ServiceDocument {
    /// Checks every field against its range.
    ///
    /// # Errors
    ///
    /// Returns every field that is outside its range.
    pub fn check(&self) -> Result<(), Vec<DocumentError>> {
        let mut errors = Vec::new();
        self.check_hosts(&mut errors);
        self.check_routes(&mut errors);
        self.check_organisations(&mut errors);
        self.check_limits(&mut errors);
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors)
        }
    }

    /// Limit of an organisation, if it may call this service.
    #[must_use]
    pub fn limit(&self, organisation: &OrganisationId) -> Option<&OrganisationLimit> {
        self.organisations
            .iter()
            .find(|limit| &limit.organisation == organisation)
    }

    /// Route with the longest prefix that matches the path.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| prefix_matches(&route.path_prefix, path))
            .max_by_key(|route| route.path_prefix.len())
    }

    fn check_hosts(&self, errors: &mut Vec<DocumentError>) {
        if self.hosts.is_empty() {
            errors.push(error("hosts", "empty", "at least one host name"));
        }
        for (index, host) in self.hosts.iter().enumerate() {
            let allowed = |byte: u8| {
                byte.is_ascii_lowercase() || byte.is_ascii_digit() || b".-".contains(&byte)
            };
            if host.is_empty() || host.len() > 253 || !host.bytes().all(allowed) {
                let field = format!("hosts[{index}]");
                errors.push(error(
                    field,
                    host,
                    "a host name in lower case, without port",
                ));
            }
        }
    }

    fn check_routes(&self, errors: &mut Vec<DocumentError>) {
        if self.routes.is_empty() {
            errors.push(error("routes", "empty", "at least one route"));
        }
        let mut names = BTreeSet::new();
        let mut prefixes = BTreeSet::new();
        for (index, route) in self.routes.iter().enumerate() {
            let field = |name: &str| format!("routes[{index}].{name}");
            if route.name.is_empty() || !names.insert(&route.name) {
                errors.push(error(
                    field("name"),
                    &route.name,
                    "a name, unique in the service",
                ));
            }
            if !route.path_prefix.starts_with('/') || !prefixes.insert(&route.path_prefix) {
                let allowed = "a path that starts with / and is unique in the service";
                errors.push(error(field("path_prefix"), &route.path_prefix, allowed));
            }
            let is_method = |text: &Arc<str>| {
                !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_uppercase())
            };
            if route.methods.is_empty() || !route.methods.iter().all(is_method) {
                let value = route.methods.join(",");
                errors.push(error(field("methods"), value, "HTTP methods in upper case"));
            }
            if !(1..=MAX_TIMEOUT_MS).contains(&route.timeout_ms) {
                let value = route.timeout_ms.to_string();
                errors.push(error(
                    field("timeout_ms"),
                    value,
                    "1 to 600000 milliseconds",
                ));
            }
            if !(1..=1000).contains(&route.weight) {
                errors.push(error(
                    field("weight"),
                    route.weight.to_string(),
                    "1 to 1000",
                ));
            }
        }
    }

    fn check_organisations(&self, errors: &mut Vec<DocumentError>) {
        let mut seen = BTreeSet::new();
        for (index, limit) in self.organisations.iter().enumerate() {
            let field = |name: &str| format!("organisations[{index}].{name}");
            if !seen.insert(&limit.organisation) {
                let value = limit.organisation.as_str();
                errors.push(error(
                    field("organisation"),
                    value,
                    "each organisation once",
                ));
            }
            if limit.organisation.as_str() == OPEN_ORGANISATION {
                let value = limit.organisation.as_str();
                errors.push(error(
                    field("organisation"),
                    value,
                    "a name other than open",
                ));
            }
            if limit.burst == 0 {
                errors.push(error(field("burst"), "0", "at least 1 request"));
            }
        }
    }

    fn check_limits(&self, errors: &mut Vec<DocumentError>) {
        let bodies = [
            ("max_request_bytes", self.max_request_bytes),
            ("max_answer_bytes", self.max_answer_bytes),
        ];
        for (field, size) in bodies {
            if size > MAX_BODY {
                errors.push(error(field, size.to_string(), "at most 64 MiB"));
            }
        }
        if !(1..=10).contains(&self.retry.max_attempts) {
            let value = self.retry.max_attempts.to_string();
            errors.push(error("retry.max_attempts", value, "1 to 10 attempts"));
        }
        if self.objective.latency_ms == 0 {
            errors.push(error("objective.latency_ms", "0", "at least 1 millisecond"));
        }
    }
}

fn error(field: impl Into<String>, value: impl AsRef<str>, allowed: &'static str) -> DocumentError {
    DocumentError {
        field: field.into(),
        value: format!("{:?}", value.as_ref()),
        allowed,
    }
}

fn prefix_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
