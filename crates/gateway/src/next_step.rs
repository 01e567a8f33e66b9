//! What follows an attempt: the end of the request, or another attempt at another server.

use crate::backend_connection::BackendConnection;
use crate::response::{CallerResponse, Refusal};
use crate::server::AttemptResult;

/// Next step after an attempt.
pub(crate) enum NextStep {
    /// The request ends with this outcome.
    Finish(Result<CallerResponse, Refusal>),
    /// Another server may be tried.
    TryAnother {
        /// Outcome of the request if no further attempt is made.
        fallback: Result<CallerResponse, Refusal>,
        /// Whether the request arrived at the server, so that the next attempt counts as a retry.
        arrived: bool,
        /// Whether the server may have run it.
        may_have_run: bool,
    },
}

impl NextStep {
    /// Whether the attempt ended with an answer for the caller.
    pub(crate) const fn is_answer(&self) -> bool {
        matches!(self, Self::Finish(Ok(_)))
    }

    /// Next step after this one and those of copies that failed before.
    pub(crate) fn after(failed: Option<Self>, newer: Self) -> Self {
        match failed {
            Some(failed) => failed.followed_by(newer),
            None => newer,
        }
    }

    /// Next step after two copies of a request of which neither was answered with success; `newer` ended later.
    pub(crate) fn followed_by(self, newer: Self) -> Self {
        match (self, newer) {
            (Self::Finish(before), Self::Finish(newer)) => {
                Self::Finish(preferred_outcome(before, newer))
            }
            (Self::Finish(before), Self::TryAnother { fallback, .. }) => {
                Self::Finish(preferred_outcome(before, fallback))
            }
            (Self::TryAnother { fallback, .. }, Self::Finish(newer)) => {
                Self::Finish(preferred_outcome(fallback, newer))
            }
            (
                Self::TryAnother {
                    fallback: before,
                    arrived,
                    may_have_run,
                },
                Self::TryAnother {
                    fallback: newer,
                    arrived: newer_arrived,
                    may_have_run: newer_may_have_run,
                },
            ) => Self::TryAnother {
                fallback: preferred_outcome(before, newer),
                arrived: arrived || newer_arrived,
                may_have_run: may_have_run || newer_may_have_run,
            },
        }
    }
}

/// Outcome of a request from the outcomes before and after its newest attempt. An answer takes precedence over
/// a refusal, and once an attempt may have run the request, no refusal may state that it was not run.
pub(crate) fn preferred_outcome(
    before: Result<CallerResponse, Refusal>,
    newer: Result<CallerResponse, Refusal>,
) -> Result<CallerResponse, Refusal> {
    match (&before, &newer) {
        (Ok(_) | Err(Refusal::OutcomeUnknown), Err(_)) => before,
        _ => newer,
    }
}

/// Next step, result for the server's state, result label, and the connection if it can be reused.
pub(crate) type AttemptEnd = (
    NextStep,
    AttemptResult,
    &'static str,
    Option<BackendConnection>,
);

/// End of an attempt whose request did not leave this process.
pub(crate) fn not_sent(label: &'static str, result: AttemptResult) -> AttemptEnd {
    let next = NextStep::TryAnother {
        fallback: Err(Refusal::NotRun),
        arrived: false,
        may_have_run: false,
    };
    (next, result, label, None)
}

/// Next step after a server refused the request without running it.
pub(crate) const fn refused_without_running() -> NextStep {
    NextStep::TryAnother {
        fallback: Err(Refusal::NotRun),
        arrived: true,
        may_have_run: false,
    }
}
