//! Operations of a caller, their attempts and the results.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Method;
use radishpaddle_model::{OrganisationId, ServiceId};
use serde::{Deserialize, Serialize};

/// Request that a caller wants to run; all its attempts carry the same idempotency key.
#[derive(Debug, Clone)]
pub struct Operation {
    /// Unique id. The header `X-Test-Operation` carries it together with the number of the attempt.
    pub id: String,
    /// Service that is called.
    pub service: ServiceId,
    /// Value of the `Host` header.
    pub host: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Request body.
    pub body: Bytes,
    /// Whether the route accepts requests without an organisation key.
    pub open: bool,
    /// Whether the route is idempotent.
    pub idempotent: bool,
    /// Value of the `Idempotency-Key` header.
    pub idempotency_key: Option<String>,
    /// Time from the start of the operation to its deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Attempt of an operation with its result. Times are microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Attempt {
    /// Id of the operation.
    pub operation: String,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Service that is called.
    pub service: ServiceId,
    /// Organisation of the caller.
    pub organisation: Option<OrganisationId>,
    /// Organisation key that was sent.
    pub key: Option<String>,
    /// Whether the route accepts requests without an organisation key.
    pub open: bool,
    /// Whether the route is idempotent.
    pub idempotent: bool,
    /// Idempotency key that was sent.
    pub idempotency_key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Entry instance that was called; `None` if no address was available.
    pub entry: Option<SocketAddr>,
    /// When the attempt began.
    pub sent_us: u64,
    /// When the attempt ended.
    pub received_us: u64,
    /// Result as seen by the caller.
    pub told: AttemptResult,
}

/// Result of an attempt as seen by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename = "Told", tag = "told", rename_all = "snake_case")]
pub enum AttemptResult {
    /// A complete response that is not a refusal.
    Answer {
        /// HTTP status.
        status: u16,
        /// Value of `X-Result-Code`.
        code: Option<u16>,
        /// Digest of the body, computed by [`crate::backend::digest`].
        digest: String,
        /// Operation and attempt that the body names, in the form of [`Attempt::tag`].
        operation: Option<String>,
    },
    /// A refusal with the outcome "not run".
    NotRun {
        /// Number of the result code.
        code: u16,
    },
    /// A refusal with the outcome "outcome unknown".
    OutcomeUnknown {
        /// Number of the result code.
        code: u16,
    },
    /// No byte of the request was sent.
    NotSent {
        /// Error that prevented sending.
        error: String,
    },
    /// The response was truncated, malformed or missing.
    Broken {
        /// Description of the fault.
        error: String,
    },
}

impl Attempt {
    /// Returns the value of the `X-Test-Operation` header: operation id and attempt number.
    #[must_use]
    pub fn tag(&self) -> String {
        format!("{}/{}", self.operation, self.number)
    }
}
