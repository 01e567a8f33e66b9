//! What the answer of a server, or the lack of one, means for the request and for the server.

use hyper::StatusCode;

use crate::answer_check::promises_not_run;
use crate::attempt::RequestPlan;
use crate::backend_connection::{BackendAnswer, BackendConnection, SendFailure};
use crate::next_step::{AttemptEnd, AttemptLabel, NextStep, refused_without_running};
use crate::response::{CallerResponse, Refusal};
use crate::server::AttemptResult;

impl RequestPlan {
    /// Classifies an answer; `counted` tells that it must not count for or against the server any more.
    pub(crate) fn classify_answer(
        &self,
        answer: BackendAnswer,
        connection: Option<BackendConnection>,
        counted: bool,
    ) -> AttemptEnd {
        if answer.status == StatusCode::MISDIRECTED_REQUEST {
            let next = refused_without_running();
            return AttemptEnd::new(next, AttemptResult::Misdirected, AttemptLabel::Moved);
        }
        if answer.headers.contains_key(&self.shared.headers.not_run) {
            let next = refused_without_running();
            return AttemptEnd::new(next, AttemptResult::Shed, AttemptLabel::Shed)
                .with_connection(connection);
        }
        let promises_not_run = promises_not_run(answer.status);
        if !answer.status.is_server_error() && !promises_not_run {
            let result = if counted {
                AttemptResult::Neutral
            } else {
                AttemptResult::Succeeded
            };
            let next = NextStep::Finish(Ok(self.to_caller_response(answer)));
            return AttemptEnd::new(next, result, AttemptLabel::Answered)
                .with_connection(connection);
        }
        // A server that answers without the header for requests that were not run may have run it, so a status that
        // promises callers the contrary is not passed on.
        let answer_is_server_error = answer.status.is_server_error();
        let outcome = if promises_not_run {
            Err(Refusal::OutcomeUnknown)
        } else {
            Ok(self.to_caller_response(answer))
        };
        let next = if self.rule.idempotent {
            NextStep::TryAnother {
                fallback: outcome,
                arrived: true,
                may_have_run: true,
            }
        } else {
            NextStep::Finish(outcome)
        };
        // A client error says nothing about the health of the server.
        if !answer_is_server_error {
            let label = AttemptLabel::UnprovenRefusal;
            return AttemptEnd::new(next, AttemptResult::Neutral, label)
                .with_connection(connection);
        }
        let result = if counted {
            AttemptResult::Neutral
        } else {
            AttemptResult::Failed
        };
        AttemptEnd::new(next, result, AttemptLabel::ServerError).with_connection(connection)
    }

    fn to_caller_response(&self, answer: BackendAnswer) -> CallerResponse {
        CallerResponse::forwarded(answer, self.request.is_head())
    }

    pub(crate) fn classify_failure(&self, failure: SendFailure, overdue: bool) -> AttemptEnd {
        let next = if self.rule.idempotent {
            NextStep::TryAnother {
                fallback: Err(Refusal::OutcomeUnknown),
                arrived: true,
                may_have_run: true,
            }
        } else {
            NextStep::Finish(Err(Refusal::OutcomeUnknown))
        };
        let is_own_fault = failure == SendFailure::MemoryExhausted;
        let result = if overdue || is_own_fault {
            AttemptResult::Neutral
        } else {
            AttemptResult::Failed
        };
        AttemptEnd::new(next, result, AttemptLabel::from(failure))
    }
}
