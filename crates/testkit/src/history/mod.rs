//! Recorder of what callers were told and what backend servers ran, and the checker of the guarantees.
//!
//! Timestamps come from the wall clock of one machine, so histories of several machines cannot be
//! merged.

mod check;
mod rate;

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use radishpaddle_model::{OrganisationId, ServiceId};
use serde::{Deserialize, Serialize};

use crate::backend::Execution;
use crate::caller::Attempt;

/// Everything that was observed in one run.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct History {
    /// What callers were told.
    pub attempts: Vec<Attempt>,
    /// What backend servers ran.
    pub executions: Vec<Execution>,
    /// Keys that were in force at some time.
    pub keys: Vec<KeyGrant>,
    /// Organisations that may call a service, with their limits.
    pub limits: Vec<RateLimit>,
    /// Time after a withdrawal during which the key may still work, in microseconds.
    pub withdrawal_grace_us: u64,
    /// Request header, in lower case, in which backend servers see the organisation, if there is one.
    pub organisation_header: Option<String>,
}

/// A key with the time it was in force, in microseconds since the Unix epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyGrant {
    /// The key.
    pub key: String,
    /// Organisation that it proves.
    pub organisation: OrganisationId,
    /// When its withdrawal was acknowledged.
    pub withdrawn_us: Option<u64>,
}

/// Limit of an organisation at a service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RateLimit {
    /// The service.
    pub service: ServiceId,
    /// The organisation.
    pub organisation: OrganisationId,
    /// Sustained rate in requests per second.
    pub rate_per_s: f64,
    /// Requests above the rate that may come at once.
    pub burst: u32,
}

/// Guarantees of the design page that a history can violate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Guarantee {
    /// A request runs only for the organisation whose key came with it.
    P2,
    /// No backend server sees an organisation key.
    P3,
    /// A withdrawn key stops working.
    P4,
    /// No organisation exceeds its rate and burst in any window.
    P5,
    /// A caller receives the complete response to its own request.
    P6,
    /// "Not run" is true.
    P7,
    /// A non-idempotent request runs at most once.
    P8,
}

/// A violated guarantee with its evidence.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Violation {
    /// Guarantee that is violated.
    pub guarantee: Guarantee,
    /// One sentence.
    pub message: String,
    /// Attempts that show it.
    pub attempts: Vec<Attempt>,
    /// Executions that show it.
    pub executions: Vec<Execution>,
}

/// Collects a history from several callers. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct Recorder(Arc<Mutex<Vec<Attempt>>>);

impl Recorder {
    /// Adds an attempt.
    pub fn attempt(&self, attempt: Attempt) {
        let mut attempts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        attempts.push(attempt);
    }

    /// Attempts so far.
    #[must_use]
    pub fn attempts(&self) -> Vec<Attempt> {
        let attempts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        attempts.clone()
    }
}

impl History {
    /// Checks every guarantee. The result is empty when the history shows no violation.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = check::check(self);
        violations.extend(rate::check(self));
        violations.sort_by_key(|violation| violation.guarantee);
        violations
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.guarantee, self.message)?;
        for attempt in &self.attempts {
            let (tag, sent, received) = (attempt.tag(), attempt.sent_us, attempt.received_us);
            write!(
                f,
                "\n  attempt {tag} at {sent}..{received} us: {:?}",
                attempt.told
            )?;
        }
        for execution in &self.executions {
            let tag = execution.operation.as_deref().unwrap_or("(no operation)");
            let Execution {
                backend_server,
                incarnation,
                number,
                ..
            } = execution;
            write!(
                f,
                "\n  execution {number} of {backend_server}/{incarnation} for {tag} at "
            )?;
            write!(f, "{} us", execution.start_us)?;
        }
        Ok(())
    }
}
