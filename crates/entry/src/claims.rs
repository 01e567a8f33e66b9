//! Claims for actions: one dispatch at most per idempotency key (design 4.3).

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use radishpaddle_model::{OrganisationId, ServiceId};
use radishpaddle_quorum::claim::{
    AbandonReply, Answer as RecordedAnswer, AttemptId, ClaimAttempt, ClaimDecision, ClaimKey,
    ClaimReply, Fingerprint,
};
use radishpaddle_quorum::{Life, WitnessGroup};
use radishpaddle_wire::message::request;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio::sync::mpsc;

use crate::answer::Answer;
use crate::clock::Clock;
use crate::witness_port::WitnessPorts;

/// Longest wait for one vote. A lost vote is asked for again.
const VOTE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which completions and abandonments are sent again to witnesses that did not confirm.
const CONFIRM_FOR: Duration = Duration::from_secs(30);

/// Pause between two rounds of confirmations.
const CONFIRM_PAUSE: Duration = Duration::from_millis(500);

/// Claims of this process.
#[derive(Clone)]
pub struct Claims {
    life: Life,
    ports: WitnessPorts,
    clock: Clock,
    next_number: Arc<AtomicU64>,
}

/// A claim that permits one dispatch. It must be ended by [`Claim::complete`] or, when the action
/// provably did not run, by [`Claim::abandon`].
pub struct Claim {
    attempt: ClaimAttempt,
    claims: Claims,
}

/// Result of asking for a claim.
pub enum ClaimOutcome {
    /// The action may be dispatched once.
    Granted(Box<Claim>),
    /// It may not.
    Refused(ClaimDecision),
}

/// An answer as it is kept by the witnesses.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct EncodedAnswer {
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

impl Claims {
    /// Claims of one process life.
    #[must_use]
    pub fn new(life: Life, ports: WitnessPorts, clock: Clock) -> Self {
        Self {
            life,
            ports,
            clock,
            next_number: Arc::default(),
        }
    }

    /// Asks the witnesses for the claim on an action.
    pub async fn claim(
        &self,
        group: &WitnessGroup,
        key: ClaimKey,
        fingerprint: Fingerprint,
    ) -> ClaimOutcome {
        let attempt = AttemptId {
            life: self.life.clone(),
            number: self.next_number.fetch_add(1, Ordering::Relaxed),
        };
        let now = self.clock.now();
        let mut attempt = ClaimAttempt::new(group.clone(), key, attempt, fingerprint, now);
        match self.collect_votes(&mut attempt).await {
            ClaimDecision::Dispatch => ClaimOutcome::Granted(Box::new(Claim {
                attempt,
                claims: self.clone(),
            })),
            decision => {
                tokio::spawn(self.clone().confirm_abandonment(attempt));
                ClaimOutcome::Refused(decision)
            }
        }
    }

    async fn collect_votes(&self, attempt: &mut ClaimAttempt) -> ClaimDecision {
        let (votes, mut received) = mpsc::unbounded_channel();
        for witness in attempt.unanswered() {
            let (Some(port), votes) = (self.ports.get(witness), votes.clone()) else {
                continue;
            };
            let (port, request) = (port.clone(), attempt.request().clone());
            let (clock, deadline) = (self.clock, attempt.deadline());
            tokio::spawn(async move {
                while clock.now() < deadline && !votes.is_closed() {
                    let exchanged = port.exchange(request::Kind::Claim, &request, VOTE_TIMEOUT);
                    let reply: Result<ClaimReply, _> = exchanged.await;
                    if let Ok(reply) = reply {
                        let _ = votes.send(reply);
                        return;
                    }
                    tokio::time::sleep(VOTE_TIMEOUT / 10).await;
                }
            });
        }
        drop(votes);
        loop {
            let remaining = attempt.deadline().saturating_sub(self.clock.now());
            let vote = tokio::time::timeout(remaining, received.recv()).await;
            let decision = if let Ok(Some(reply)) = vote {
                attempt.on_reply(self.clock.now(), &reply)
            } else {
                tokio::time::sleep(attempt.deadline().saturating_sub(self.clock.now())).await;
                attempt.on_tick(self.clock.now())
            };
            if let Some(decision) = decision {
                return decision;
            }
        }
    }

    async fn confirm_abandonment(self, mut attempt: ClaimAttempt) {
        let until = self.clock.now() + CONFIRM_FOR;
        let Some(request) = attempt.abandon_request() else {
            return;
        };
        while self.clock.now() < until {
            let unfenced: Vec<_> = attempt.unfenced().cloned().collect();
            if unfenced.is_empty() {
                return;
            }
            for witness in unfenced {
                let Some(port) = self.ports.get(&witness) else {
                    continue;
                };
                let exchanged = port.exchange(request::Kind::Abandon, &request, VOTE_TIMEOUT);
                let reply: Result<AbandonReply, _> = exchanged.await;
                if let Ok(reply) = reply {
                    attempt.on_abandon_reply(&reply);
                }
            }
            tokio::time::sleep(CONFIRM_PAUSE).await;
        }
    }
}

impl Claim {
    /// Records that the action ran, with its answer if there is a complete one. Returns at once;
    /// the witnesses are told in the background.
    pub fn complete(self, answer: Option<&Answer>) {
        let recorded = answer.map_or(RecordedAnswer::Unknown, record);
        let Some(complete) = self.attempt.complete_request(recorded) else {
            return;
        };
        let claims = self.claims;
        for (_, port) in claims.ports.iter() {
            let (port, complete, clock) = (port.clone(), complete.clone(), claims.clock);
            tokio::spawn(async move {
                let until = clock.now() + CONFIRM_FOR;
                while clock.now() < until {
                    let exchanged = port.exchange(request::Kind::Complete, &complete, VOTE_TIMEOUT);
                    let stored: Result<radishpaddle_quorum::claim::CompleteReply, _> =
                        exchanged.await;
                    if stored.is_ok() {
                        return;
                    }
                    tokio::time::sleep(CONFIRM_PAUSE).await;
                }
            });
        }
    }

    /// Frees the key because the action provably did not run and will not.
    pub fn abandon(mut self) {
        self.attempt.abandon();
        tokio::spawn(self.claims.confirm_abandonment(self.attempt));
    }
}

/// Key of the claim on an action.
#[must_use]
pub fn claim_key(
    organisation: &OrganisationId,
    service: &ServiceId,
    idempotency_key: &str,
) -> ClaimKey {
    ClaimKey {
        organisation: organisation.clone(),
        service: service.clone(),
        idempotency_key: idempotency_key.into(),
    }
}

/// Hash of what makes two requests with one idempotency key the same request.
#[must_use]
pub fn fingerprint(method: &str, path_and_query: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path_and_query.as_bytes(), body] {
        hasher.update(part.len().to_le_bytes());
        hasher.update(part);
    }
    Fingerprint(hasher.finalize().into())
}

fn record(answer: &Answer) -> RecordedAnswer {
    let headers = answer
        .headers
        .iter()
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect();
    let encoded = EncodedAnswer {
        headers,
        body: answer.body.to_vec(),
    };
    let status = answer.status.as_u16();
    match radishpaddle_wire::encode(&encoded) {
        Ok(encoded) => RecordedAnswer::Whole {
            status,
            encoded: encoded.into(),
        },
        Err(_) => RecordedAnswer::StatusOnly { status },
    }
}

/// Answer from its record; `None` when the record cannot be read.
#[must_use]
pub fn replay(status: u16, encoded: &[u8]) -> Option<Answer> {
    let encoded: EncodedAnswer = radishpaddle_wire::decode(encoded).ok()?;
    let mut headers = hyper::HeaderMap::new();
    for (name, value) in encoded.headers {
        let name: hyper::header::HeaderName = name.parse().ok()?;
        headers.append(name, hyper::header::HeaderValue::from_bytes(&value).ok()?);
    }
    Some(Answer {
        code: radishpaddle_model::ResultCode::Replayed,
        status: hyper::StatusCode::from_u16(status).ok()?,
        headers,
        body: encoded.body.into(),
    })
}
