//! Client for claims on actions. A claim that a majority of the witnesses has granted limits an
//! idempotency key to at most one dispatch (design 4.3).

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::future::join_all;
use radishpaddle_model::{OrganisationId, ServiceId};
use radishpaddle_quorum::claim::{
    AbandonReply, AttemptId, ClaimAttempt, ClaimDecision, ClaimKey, ClaimReply, Fingerprint,
    RecordedResponse,
};
use radishpaddle_quorum::{InstanceIncarnation, WitnessGroup};
use radishpaddle_wire::message::request;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};
use tokio_util::task::TaskTracker;

use crate::caller_response::CallerResponse;
use crate::clock::Clock;
use crate::witness_client::WitnessClients;

/// Time limit for the reply of a witness. A vote that did not arrive is requested again.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which completions and abandonments are resent to witnesses that have not confirmed
/// them.
const CONFIRMATION_WINDOW: Duration = Duration::from_secs(30);

/// Pause between two resends of a completion or abandonment.
const CONFIRMATION_RETRY_PERIOD: Duration = Duration::from_millis(500);

/// Client for the claims of this process.
#[derive(Clone)]
pub struct ClaimClient {
    life: InstanceIncarnation,
    witnesses: WitnessClients,
    clock: Clock,
    next_attempt_number: Arc<AtomicU64>,
    runtime: Handle,
    /// Tasks that send completions and abandonments until the witnesses have confirmed them.
    confirmations: TaskTracker,
}

/// Claim that the witnesses have not decided. When it is dropped, because the caller disconnects or a
/// planned stop ends the request, it is abandoned: the witnesses may have granted it.
struct PendingClaim {
    attempt: Option<ClaimAttempt>,
    client: ClaimClient,
}

/// Granted claim that permits one dispatch. It must be ended by [`Claim::complete`] or, if the
/// action provably did not run, by [`Claim::abandon`].
pub struct Claim {
    attempt: ClaimAttempt,
    client: ClaimClient,
}

/// Result of requesting a claim.
pub enum ClaimOutcome {
    /// The action may be dispatched once.
    Granted(Box<Claim>),
    /// The action may not be dispatched.
    Refused(ClaimDecision),
}

/// Headers and body of a response, in the encoding that the witnesses store.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct StoredResponse {
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

impl ClaimClient {
    /// Creates the client for one incarnation of an instance. Must be called in the runtime of the
    /// process.
    #[must_use]
    pub fn new(life: InstanceIncarnation, witnesses: WitnessClients, clock: Clock) -> Self {
        Self {
            life,
            witnesses,
            clock,
            next_attempt_number: Arc::default(),
            runtime: Handle::current(),
            confirmations: TaskTracker::new(),
        }
    }

    /// Waits until the witnesses have confirmed all completions and abandonments, until `deadline` at
    /// the latest. Called at a planned stop after the last request.
    pub async fn settle(&self, deadline: Instant) {
        self.confirmations.close();
        let _ = timeout_at(deadline, self.confirmations.wait()).await;
    }

    fn spawn_abandonment(&self, attempt: ClaimAttempt) {
        let abandonment = self.clone().confirm_abandonment(attempt);
        self.confirmations.spawn_on(abandonment, &self.runtime);
    }

    /// Requests the claim on an action from the witnesses.
    pub async fn claim(
        &self,
        group: &WitnessGroup,
        key: ClaimKey,
        fingerprint: Fingerprint,
    ) -> ClaimOutcome {
        let attempt = AttemptId {
            life: self.life.clone(),
            number: self.next_attempt_number.fetch_add(1, Ordering::Relaxed),
        };
        let now = self.clock.now();
        let attempt = ClaimAttempt::new(group.clone(), key, attempt, fingerprint, now);
        let (attempt, decision) = PendingClaim::new(self.clone(), attempt).decide().await;
        match decision {
            ClaimDecision::Dispatch => ClaimOutcome::Granted(Box::new(Claim {
                attempt,
                client: self.clone(),
            })),
            decision => {
                self.spawn_abandonment(attempt);
                ClaimOutcome::Refused(decision)
            }
        }
    }

    async fn collect_votes(&self, attempt: &mut ClaimAttempt) -> ClaimDecision {
        let (votes, mut replies) = mpsc::unbounded_channel();
        for witness in attempt.unanswered() {
            let (Some(client), votes) = (self.witnesses.get(witness), votes.clone()) else {
                continue;
            };
            let (client, request) = (client.clone(), attempt.request().clone());
            let (clock, deadline) = (self.clock, attempt.deadline());
            tokio::spawn(async move {
                while clock.now() < deadline && !votes.is_closed() {
                    let exchanged =
                        client.call_with_payload(request::Kind::Claim, &request, WITNESS_TIMEOUT);
                    let reply: Result<ClaimReply, _> = exchanged.await;
                    if let Ok(reply) = reply {
                        let _ = votes.send(reply);
                        return;
                    }
                    tokio::time::sleep(WITNESS_TIMEOUT / 10).await;
                }
            });
        }
        drop(votes);
        loop {
            let remaining = attempt.deadline().saturating_sub(self.clock.now());
            let vote = tokio::time::timeout(remaining, replies.recv()).await;
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

    /// Resends the abandonment until every witness has confirmed it or the window has ended.
    async fn confirm_abandonment(self, mut attempt: ClaimAttempt) {
        let until = self.clock.now() + CONFIRMATION_WINDOW;
        let Some(request) = attempt.abandon_request() else {
            return;
        };
        while self.clock.now() < until {
            let unconfirmed: Vec<_> = attempt.unconfirmed_abandonments().cloned().collect();
            if unconfirmed.is_empty() {
                return;
            }
            let clients = unconfirmed
                .iter()
                .filter_map(|witness| self.witnesses.get(witness));
            let calls = clients.map(|client| {
                client.call_with_payload(request::Kind::Abandon, &request, WITNESS_TIMEOUT)
            });
            let replies: Vec<Result<AbandonReply, _>> = join_all(calls).await;
            for reply in replies.into_iter().flatten() {
                attempt.on_abandon_reply(&reply);
            }
            tokio::time::sleep(CONFIRMATION_RETRY_PERIOD).await;
        }
    }
}

impl PendingClaim {
    const fn new(client: ClaimClient, attempt: ClaimAttempt) -> Self {
        Self {
            attempt: Some(attempt),
            client,
        }
    }

    /// Waits for the decision of the witnesses.
    async fn decide(mut self) -> (ClaimAttempt, ClaimDecision) {
        let client = self.client.clone();
        let attempt = self.attempt.as_mut().expect("the attempt is pending");
        let decision = client.collect_votes(attempt).await;
        let attempt = self.attempt.take().expect("the attempt is pending");
        (attempt, decision)
    }
}

impl Drop for PendingClaim {
    fn drop(&mut self) {
        if let Some(mut attempt) = self.attempt.take() {
            attempt.abandon();
            self.client.spawn_abandonment(attempt);
        }
    }
}

impl Claim {
    /// Records at the witnesses that the action ran, with its response if that is complete. Returns
    /// at once and sends in the background.
    pub fn complete(self, response: Option<&CallerResponse>) {
        let recorded = response.map_or(RecordedResponse::Unknown, encode_response);
        let Some(complete) = self.attempt.complete_request(recorded) else {
            return;
        };
        let claim_client = self.client;
        for (_, client) in claim_client.witnesses.iter() {
            let (client, complete, clock) = (client.clone(), complete.clone(), claim_client.clock);
            claim_client.confirmations.spawn(async move {
                let until = clock.now() + CONFIRMATION_WINDOW;
                while clock.now() < until {
                    let exchanged = client.call_with_payload(
                        request::Kind::Complete,
                        &complete,
                        WITNESS_TIMEOUT,
                    );
                    let stored: Result<radishpaddle_quorum::claim::CompleteReply, _> =
                        exchanged.await;
                    if stored.is_ok() {
                        return;
                    }
                    tokio::time::sleep(CONFIRMATION_RETRY_PERIOD).await;
                }
            });
        }
    }

    /// Releases the idempotency key. Permitted only if the action provably did not run and will
    /// not.
    pub fn abandon(mut self) {
        self.attempt.abandon();
        self.client.spawn_abandonment(self.attempt);
    }
}

/// Returns the key of the claim on an action.
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

/// Hashes method, path and body. A request that reuses an idempotency key must have the same hash
/// as the first one.
#[must_use]
pub fn fingerprint(method: &str, path_and_query: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path_and_query.as_bytes(), body] {
        hasher.update(part.len().to_le_bytes());
        hasher.update(part);
    }
    Fingerprint(hasher.finalize().into())
}

fn encode_response(response: &CallerResponse) -> RecordedResponse {
    let headers = response
        .headers
        .iter()
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect();
    let encoded = StoredResponse {
        headers,
        body: response.body.to_vec(),
    };
    let status = response.status.as_u16();
    match radishpaddle_wire::encode(&encoded) {
        Ok(encoded) => RecordedResponse::Whole {
            status,
            encoded: encoded.into(),
        },
        Err(_) => RecordedResponse::StatusOnly { status },
    }
}

/// Decodes a recorded response; `None` if the record is malformed.
#[must_use]
pub fn decode_response(status: u16, encoded: &[u8]) -> Option<CallerResponse> {
    let encoded: StoredResponse = radishpaddle_wire::decode(encoded).ok()?;
    let mut headers = hyper::HeaderMap::new();
    for (name, value) in encoded.headers {
        let name: hyper::header::HeaderName = name.parse().ok()?;
        headers.append(name, hyper::header::HeaderValue::from_bytes(&value).ok()?);
    }
    Some(CallerResponse {
        code: radishpaddle_model::ResultCode::Replayed,
        status: hyper::StatusCode::from_u16(status).ok()?,
        headers,
        body: encoded.body.into(),
    })
}
