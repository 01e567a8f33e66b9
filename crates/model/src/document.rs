//! Service document, owned by the team of a service: hosts, routes, callers, rate limits and retry policy.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::{OrganisationId, ServiceId};
use crate::unit::{ByteSize, Percent, RatePerSecond};

/// Maximum timeout of a route, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 600_000;

/// Maximum for the request and response body limits of a document.
pub const MAX_BODY: ByteSize = ByteSize(64 << 20);

/// Organisation name under which callers of open routes are counted; no real organisation may have this name.
pub const OPEN_ORGANISATION: &str = "open";

/// Configuration of one service, submitted by its team.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDocument {
    /// Name of the service.
    pub service: ServiceId,
    /// Host names of the service, matched against the `Host` header without its port.
    pub hosts: Vec<Arc<str>>,
    /// Routes; the one with the longest matching path prefix is selected.
    pub routes: Vec<Route>,
    /// Organisations that may call keyed routes, with their rate limits.
    pub organisations: Vec<OrganisationLimit>,
    /// Percentage of the announced slots that outlier ejection must leave in rotation.
    pub floor_percent: Percent,
    /// Maximum request body size in bytes.
    #[serde(default = "default_body_bytes")]
    pub max_request_bytes: ByteSize,
    /// Maximum response body size in bytes.
    #[serde(default = "default_body_bytes")]
    pub max_answer_bytes: ByteSize,
    /// Limits on retries and hedged requests.
    #[serde(default)]
    pub retry: RetryPolicy,
    /// Service-level objective of the service.
    pub objective: Objective,
}

/// One route of a service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route in reports, unique within the service.
    pub name: Arc<str>,
    /// Path prefix of the requests that the route handles; matches whole path segments.
    pub path_prefix: Arc<str>,
    /// HTTP methods that the route accepts, in upper case.
    pub methods: Vec<Arc<str>>,
    /// Callers that the route accepts.
    pub access: Access,
    /// Whether a request may be executed more than once, which permits retries and hedging.
    pub idempotent: bool,
    /// Whether the route accepts a non-idempotent request without an idempotency key.
    #[serde(default)]
    pub idempotency_key_optional: bool,
    /// Timeout of a request in milliseconds, measured from its arrival.
    pub timeout_ms: u64,
    /// Weight of a request in reports and in fair queueing, 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// Callers that a route accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Organisations listed in the document, identified by their key.
    Keyed,
    /// All callers, without a key and without a rate limit.
    Open,
}

/// Rate limit of one organisation at one service, enforced over the whole fleet.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationLimit {
    /// Organisation that the limit applies to.
    pub organisation: OrganisationId,
    /// Sustained rate in requests per second.
    pub rate_per_s: RatePerSecond,
    /// Number of requests above the sustained rate that may arrive at once, at least 1.
    pub burst: u32,
}

/// Limits on retries and hedged requests.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetryPolicy {
    /// Maximum number of attempts for one request including the first, 1 to 10.
    pub max_attempts: u32,
    /// Maximum number of retries and hedged requests as a percentage of first attempts.
    pub budget_percent: Percent,
    /// Whether idempotent requests may be hedged.
    pub hedge: bool,
}

/// Service-level objective.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Target percentage of the requests that are answered within `latency_ms`.
    pub success_percent: Percent,
    /// Latency threshold of the objective in milliseconds, at least 1.
    pub latency_ms: u64,
}

/// Validation error: a field of a document has a value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("{field} is {value}; allowed: {allowed}")]
pub struct DocumentError {
    /// Path of the field, such as `routes[0].timeout_ms`.
    pub field: String,
    /// Value of the field, as quoted text.
    pub value: String,
    /// Description of the allowed values.
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
    /// Validates the hosts, routes, organisations and limits.
    ///
    /// # Errors
    ///
    /// Returns one error for each invalid value, not only for the first.
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

    /// Returns the rate limit of an organisation, or `None` if it may not call keyed routes of this service.
    #[must_use]
    pub fn limit(&self, organisation: &OrganisationId) -> Option<&OrganisationLimit> {
        self.organisations
            .iter()
            .find(|limit| &limit.organisation == organisation)
    }

    /// Returns the route with the longest prefix that matches the path, whatever its methods.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| prefix_matches(&route.path_prefix, path))
            .max_by_key(|route| route.path_prefix.len())
    }

    fn check_hosts(&self, errors: &mut Vec<DocumentError>) {
        if self.hosts.is_empty() {
            errors.push(invalid("hosts", "empty", "at least one host name"));
        }
        for (index, host) in self.hosts.iter().enumerate() {
            let allowed = |byte: u8| {
                byte.is_ascii_lowercase() || byte.is_ascii_digit() || b".-".contains(&byte)
            };
            if host.is_empty() || host.len() > 253 || !host.bytes().all(allowed) {
                let field = format!("hosts[{index}]");
                errors.push(invalid(
                    field,
                    host,
                    "a host name in lower case, without port",
                ));
            }
        }
    }

    fn check_routes(&self, errors: &mut Vec<DocumentError>) {
        if self.routes.is_empty() {
            errors.push(invalid("routes", "empty", "at least one route"));
        }
        let mut names = BTreeSet::new();
        let mut prefixes = BTreeSet::new();
        for (index, route) in self.routes.iter().enumerate() {
            let field = |name: &str| format!("routes[{index}].{name}");
            if route.name.is_empty() || !names.insert(&route.name) {
                errors.push(invalid(
                    field("name"),
                    &route.name,
                    "a name, unique in the service",
                ));
            }
            if !route.path_prefix.starts_with('/') || !prefixes.insert(&route.path_prefix) {
                let allowed = "a path that starts with / and is unique in the service";
                errors.push(invalid(field("path_prefix"), &route.path_prefix, allowed));
            }
            let is_method = |text: &Arc<str>| {
                !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_uppercase())
            };
            if route.methods.is_empty() || !route.methods.iter().all(is_method) {
                let value = route.methods.join(",");
                errors.push(invalid(
                    field("methods"),
                    value,
                    "HTTP methods in upper case",
                ));
            }
            if !(1..=MAX_TIMEOUT_MS).contains(&route.timeout_ms) {
                let value = route.timeout_ms.to_string();
                errors.push(invalid(
                    field("timeout_ms"),
                    value,
                    "1 to 600000 milliseconds",
                ));
            }
            if !(1..=1000).contains(&route.weight) {
                errors.push(invalid(
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
                errors.push(invalid(
                    field("organisation"),
                    value,
                    "each organisation once",
                ));
            }
            if limit.organisation.as_str() == OPEN_ORGANISATION {
                let value = limit.organisation.as_str();
                errors.push(invalid(
                    field("organisation"),
                    value,
                    "a name other than open",
                ));
            }
            if limit.burst == 0 {
                errors.push(invalid(field("burst"), "0", "at least 1 request"));
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
                errors.push(invalid(field, size.to_string(), "at most 64 MiB"));
            }
        }
        if !(1..=10).contains(&self.retry.max_attempts) {
            let value = self.retry.max_attempts.to_string();
            errors.push(invalid("retry.max_attempts", value, "1 to 10 attempts"));
        }
        if self.objective.latency_ms == 0 {
            errors.push(invalid(
                "objective.latency_ms",
                "0",
                "at least 1 millisecond",
            ));
        }
    }
}

fn invalid(
    field: impl Into<String>,
    value: impl AsRef<str>,
    allowed: &'static str,
) -> DocumentError {
    DocumentError {
        field: field.into(),
        value: format!("{:?}", value.as_ref()),
        allowed,
    }
}

/// Returns whether the path begins with the prefix and the match ends at a path segment boundary.
fn prefix_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
