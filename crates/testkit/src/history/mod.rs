//! Records the attempts of callers and the executions at backend servers, and checks the guarantees on
//! them.
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

/// Observations of one test run that the checker evaluates.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct History {
    /// Attempts of all callers.
    pub attempts: Vec<Attempt>,
    /// Executions at all backend servers.
    pub executions: Vec<Execution>,
    /// Organisation keys that were valid at any time of the run.
    pub keys: Vec<KeyGrant>,
    /// Rate limits by service and organisation. An organisation without an entry may not call the service.
    pub limits: Vec<RateLimit>,
    /// Time after an acknowledged withdrawal during which the key may still be accepted, in microseconds.
    pub withdrawal_grace_us: u64,
    /// Name, in lower case, of the request header that carries the organisation to backend servers, if any.
    pub organisation_header: Option<String>,
}

/// Organisation key and the end of its validity.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyGrant {
    /// The key.
    pub key: String,
    /// Organisation that the key belongs to.
    pub organisation: OrganisationId,
    /// Time at which its withdrawal was acknowledged, in microseconds since the Unix epoch; `None` if it
    /// was not withdrawn.
    pub withdrawn_us: Option<u64>,
}

/// Rate limit of an organisation at a service.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RateLimit {
    /// The service.
    pub service: ServiceId,
    /// The organisation.
    pub organisation: OrganisationId,
    /// Sustained rate in requests per second.
    pub rate_per_s: f64,
    /// Requests above the sustained rate that may be admitted at once.
    pub burst: u32,
}

/// Guarantees that the checker verifies, numbered as on the design page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Guarantee {
    /// A request runs only for the organisation whose key came with it.
    P2,
    /// No backend server receives an organisation key.
    P3,
    /// A withdrawn key is refused after the grace time.
    P4,
    /// No organisation exceeds its rate and burst in any time window.
    P5,
    /// A response that a caller receives is the complete response to its own request.
    P6,
    /// A request that is refused with "not run" has not run.
    P7,
    /// A non-idempotent request runs at most once.
    P8,
}

/// Violation of a guarantee with the observations that show it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Violation {
    /// Guarantee that is violated.
    pub guarantee: Guarantee,
    /// Description of the violation.
    pub message: String,
    /// Attempts that show the violation.
    pub attempts: Vec<Attempt>,
    /// Executions that show the violation.
    pub executions: Vec<Execution>,
}

/// Collects the attempts of several callers. Clones share the same list.
#[derive(Debug, Clone, Default)]
pub struct AttemptRecorder(Arc<Mutex<Vec<Attempt>>>);

impl AttemptRecorder {
    /// Adds an attempt.
    pub fn record(&self, attempt: Attempt) {
        let mut attempts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        attempts.push(attempt);
    }

    /// Returns the attempts recorded so far.
    #[must_use]
    pub fn attempts(&self) -> Vec<Attempt> {
        let attempts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        attempts.clone()
    }
}

impl History {
    /// Checks every guarantee and returns the violations, ordered by guarantee.
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
