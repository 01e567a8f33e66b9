//! Checks whether an answer comes from a backend server, and whether its status may be passed on.

use hyper::StatusCode;
use hyper::header::HeaderMap;

use crate::backend_connection::{BackendAnswer, SendFailure, SendOutcome};
use crate::forward::Headers;

/// Minimum number of fields of a proof. Servers send five or six.
const MIN_PROOF_FIELDS: usize = 2;

/// Whether a status promises callers that the request has not run and will not run.
#[must_use]
pub const fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Whether the text is a well-formed proof: fields of hexadecimal digits, separated by dots. The number and length of
/// the fields depend on the server.
#[must_use]
pub fn is_well_formed_proof(text: &[u8]) -> bool {
    let is_field = |field: &[u8]| !field.is_empty() && field.iter().all(u8::is_ascii_hexdigit);
    let mut fields = text.split(|byte| *byte == b'.');
    fields.clone().count() >= MIN_PROOF_FIELDS && fields.all(is_field)
}

/// Whether an answer has exactly one proof, which is well-formed. Without a name for the header, no proof is required.
fn is_proven(answer: &HeaderMap, headers: &Headers) -> bool {
    let Some(name) = &headers.proof else {
        return true;
    };
    let mut proofs = answer.get_all(name).iter();
    let is_well_formed = proofs
        .next()
        .is_some_and(|proof| is_well_formed_proof(proof.as_bytes()));
    is_well_formed && proofs.next().is_none()
}

/// Treats an answer of a backend server without proof as a failure. Refusals are exempt, because backend servers send
/// no proof with them.
#[must_use]
pub fn check_answer(outcome: SendOutcome, headers: &Headers) -> SendOutcome {
    let is_refusal = |answer: &BackendAnswer| {
        answer.status == StatusCode::MISDIRECTED_REQUEST
            || answer.headers.contains_key(&headers.not_run)
    };
    require_proof(outcome, headers, is_refusal)
}

/// Treats an answer relayed by another gateway without proof as a failure. Client and server errors are exempt, because
/// the refusals of that gateway have no proof.
#[must_use]
pub fn check_relayed_answer(outcome: SendOutcome, headers: &Headers) -> SendOutcome {
    let is_refusal =
        |answer: &BackendAnswer| answer.status.is_client_error() || answer.status.is_server_error();
    require_proof(outcome, headers, is_refusal)
}

/// Replaces an answer without proof by a failure, and closes its connection.
fn require_proof(
    outcome: SendOutcome,
    headers: &Headers,
    is_refusal: impl Fn(&BackendAnswer) -> bool,
) -> SendOutcome {
    match outcome {
        SendOutcome::Answered(answer, _)
            if !is_refusal(&answer) && !is_proven(&answer.headers, headers) =>
        {
            SendOutcome::Unknown(SendFailure::AnswerUnproven)
        }
        _ => outcome,
    }
}
