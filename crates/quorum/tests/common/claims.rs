//! Claim keys, attempts and answers for the tests.

use radishpaddle_quorum::claim::{AttemptId, ClaimKey, Fingerprint, RecordedResponse};

use super::life;

/// Instance number of the first entry instance; lower numbers are witnesses.
const FIRST_ENTRY: usize = 5;

pub fn key(number: u64) -> ClaimKey {
    ClaimKey {
        organisation: "harbour".parse().expect("a valid id"),
        service: "ledger".parse().expect("a valid id"),
        idempotency_key: format!("key-{number}").into(),
    }
}

pub fn attempt_id(entry: usize, number: u64) -> AttemptId {
    AttemptId {
        life: life(FIRST_ENTRY + entry, 1),
        number,
    }
}

pub fn fingerprint(number: u8) -> Fingerprint {
    Fingerprint([number; 32])
}

pub fn answer(text: &str) -> RecordedResponse {
    RecordedResponse::Whole {
        status: 200,
        encoded: text.as_bytes().into(),
    }
}
