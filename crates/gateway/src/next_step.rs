//! What follows an attempt: the end of the request, or another attempt at another server.

use crate::backend_connection::{BackendConnection, SendFailure};
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

/// How an attempt ended, as in the decision log and the metric of attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptLabel {
    Answered,
    AnswerCrossed,
    AnswerCut,
    AnswerInvalid,
    AnswerUnproven,
    ConnectionLost,
    /// The server said that it wants no new requests before the request was sent.
    LeftOut,
    MemoryExhausted,
    /// The address belongs to another backend server now.
    Moved,
    NotConnected,
    NotSent,
    /// Another copy of the request was answered first.
    Overtaken,
    ServerError,
    Shed,
    TimedOut,
    /// A status that promises that the request was not run, without the header that proves it.
    UnprovenRefusal,
}

impl AttemptLabel {
    /// Text of the label.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::AnswerCrossed => "answer_crossed",
            Self::AnswerCut => "answer_cut",
            Self::AnswerInvalid => "answer_invalid",
            Self::AnswerUnproven => "answer_unproven",
            Self::ConnectionLost => "connection_lost",
            Self::LeftOut => "left_out",
            Self::MemoryExhausted => "memory_exhausted",
            Self::Moved => "moved",
            Self::NotConnected => "not_connected",
            Self::NotSent => "not_sent",
            Self::Overtaken => "overtaken",
            Self::ServerError => "server_error",
            Self::Shed => "shed",
            Self::TimedOut => "timed_out",
            Self::UnprovenRefusal => "unproven_refusal",
        }
    }
}

impl From<SendFailure> for AttemptLabel {
    fn from(failure: SendFailure) -> Self {
        match failure {
            SendFailure::ConnectionLost => Self::ConnectionLost,
            SendFailure::AnswerCut => Self::AnswerCut,
            SendFailure::AnswerInvalid => Self::AnswerInvalid,
            SendFailure::AnswerCrossed => Self::AnswerCrossed,
            SendFailure::AnswerUnproven => Self::AnswerUnproven,
            SendFailure::MemoryExhausted => Self::MemoryExhausted,
        }
    }
}

/// End of an attempt.
pub(crate) struct AttemptEnd {
    /// What follows for the request.
    pub(crate) next: NextStep,
    /// What it means for the state of the server.
    pub(crate) result: AttemptResult,
    pub(crate) label: AttemptLabel,
    /// Connection, if it can be reused.
    pub(crate) connection: Option<BackendConnection>,
}

impl AttemptEnd {
    /// End without a connection that can be reused.
    pub(crate) const fn new(next: NextStep, result: AttemptResult, label: AttemptLabel) -> Self {
        Self {
            next,
            result,
            label,
            connection: None,
        }
    }

    /// End of an attempt whose request did not leave this process.
    pub(crate) const fn not_sent(label: AttemptLabel, result: AttemptResult) -> Self {
        let next = NextStep::TryAnother {
            fallback: Err(Refusal::NotRun),
            arrived: false,
            may_have_run: false,
        };
        Self::new(next, result, label)
    }

    /// Keeps a connection that can be reused.
    pub(crate) fn with_connection(self, connection: Option<BackendConnection>) -> Self {
        Self { connection, ..self }
    }
}

/// Next step after a server refused the request without running it.
pub(crate) const fn refused_without_running() -> NextStep {
    NextStep::TryAnother {
        fallback: Err(Refusal::NotRun),
        arrived: true,
        may_have_run: false,
    }
}
