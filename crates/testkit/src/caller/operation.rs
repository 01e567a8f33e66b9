//! What a caller asks for and what it was told.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Method;
use radishpaddle_model::{OrganisationId, ServiceId};
use serde::{Deserialize, Serialize};

/// One operation of a caller; its attempts carry the same idempotency key.
#[derive(Debug, Clone)]
pub struct Operation {
    /// Unique id. The header `X-Test-Operation` carries it with the number of the attempt.
    pub id: String,
    /// Service that the operation is for.
    pub service: ServiceId,
    /// Value of the `Host` header.
    pub host: String,
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Request body.
    pub body: Bytes,
    /// Whether the route is open to all.
    pub open: bool,
    /// Whether the route is idempotent.
    pub idempotent: bool,
    /// Value of `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// Time until the deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// One attempt of an operation with what it was told. Times are microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Attempt {
    /// Id of the operation.
    pub operation: String,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Service that the operation is for.
    pub service: ServiceId,
    /// Organisation of the caller.
    pub organisation: Option<OrganisationId>,
    /// Key that was sent.
    pub key: Option<String>,
    /// Whether the route is open to all.
    pub open: bool,
    /// Whether the route is idempotent.
    pub idempotent: bool,
    /// Idempotency key that was sent.
    pub idempotency_key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Entry instance that was called.
    pub entry: Option<SocketAddr>,
    /// When the attempt began.
    pub sent_us: u64,
    /// When the attempt ended.
    pub received_us: u64,
    /// What the caller was told.
    pub told: Told,
}

/// What an attempt was told.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "told", rename_all = "snake_case")]
pub enum Told {
    /// A complete response.
    Answer {
        /// HTTP status.
        status: u16,
        /// Value of `X-Result-Code`.
        code: Option<u16>,
        /// Digest of the body, see [`crate::backend::digest`].
        digest: String,
        /// Operation and attempt that the body names.
        operation: Option<String>,
    },
    /// A refusal that says "not run".
    NotRun {
        /// Number of the result code.
        code: u16,
    },
    /// A refusal that says "outcome unknown".
    OutcomeUnknown {
        /// Number of the result code.
        code: u16,
    },
    /// No byte of the request was sent.
    NotSent {
        /// Reason.
        error: String,
    },
    /// The response was cut, malformed or missing.
    Broken {
        /// Reason.
        error: String,
    },
}

impl Attempt {
    /// Value of the header `X-Test-Operation`.
    #[must_use]
    pub fn tag(&self) -> String {
        format!("{}/{}", self.operation, self.number)
    }
}
