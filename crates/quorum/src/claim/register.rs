//! Claim register of a witness.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::message::{
    AbandonRequest, AttemptId, ClaimKey, ClaimRequest, ClaimVote, CompleteRequest, Fingerprint,
    HeldState, MAX_KEY_BYTES, RecordedResponse, StoredPart, VoteRefusal,
};

/// Estimated memory per claim in addition to its key and its answer, in bytes: map entries, identifiers and expiry
/// index.
const CLAIM_OVERHEAD_BYTES: usize = 512;

/// Maximum number of abandoned attempts remembered per action. Further attempts at the action are refused until these
/// expire.
const MAX_FENCED_ATTEMPTS: usize = 16;

/// Retention of an action with nothing but abandoned attempts, counted from its last event. A claim request of an
/// abandoned attempt that arrives later is granted and blocks the action for the claim retention, but the attempt still
/// cannot be dispatched.
const FENCE_RETENTION: Duration = Duration::from_mins(1);

/// Limits of a claim register.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimSettings {
    /// Time for which a claim is kept after its last event.
    pub retention: Duration,
    /// Memory for claims and answers, in bytes. Once it is used up, new claims are refused.
    pub max_bytes: usize,
    /// Part of `max_bytes` that answers may use. Once it is used up, only the status of an answer is recorded.
    pub max_answers_bytes: usize,
    /// Maximum size of a recorded answer, in bytes; of a larger answer only the status is recorded.
    pub max_answer_bytes: usize,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_mins(10),
            max_bytes: 64 << 20,
            max_answers_bytes: 32 << 20,
            max_answer_bytes: 64 << 10,
        }
    }
}

/// State of one action at a witness.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// No attempt holds the claim; at most abandoned attempts are known.
    Free,
    /// An attempt holds the claim, and its outcome is not known.
    Granted {
        /// The attempt.
        attempt: AttemptId,
        /// Hash of its request.
        fingerprint: Fingerprint,
    },
    /// The recovered copies name several attempts, of which a majority may have granted any; no attempt is granted.
    Disputed(Vec<(AttemptId, Fingerprint)>),
    /// An attempt was dispatched and its outcome recorded.
    Completed {
        /// The attempt.
        attempt: AttemptId,
        /// Hash of its request.
        fingerprint: Fingerprint,
        /// Recorded outcome.
        answer: RecordedResponse,
    },
}

/// Claim on one action in the state copy for a recovering witness.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimCopy {
    /// The action.
    pub key: ClaimKey,
    /// State of the claim.
    pub state: ClaimState,
    /// Abandoned attempts, which are never granted again.
    pub fenced: Vec<AttemptId>,
    /// Time since the last event of the claim.
    pub age: Duration,
}

/// Claims stored by one witness.
#[derive(Debug, Clone)]
pub struct ClaimRegister {
    settings: ClaimSettings,
    claims: HashMap<ClaimKey, Claim>,
    expiry_index: BTreeMap<(Duration, u64), ClaimKey>,
    next_event: u64,
    used_bytes: usize,
    answers_bytes: usize,
    refused_until: Duration,
}

#[derive(Debug, Clone)]
struct Claim {
    state: ClaimState,
    fenced: Vec<AttemptId>,
    last_event_at: Duration,
    /// Key in the expiry index: local time of expiry, and an event number that makes it unique.
    expiry_key: (Duration, u64),
}

impl ClaimRegister {
    /// Creates an empty register.
    #[must_use]
    pub fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            claims: HashMap::new(),
            expiry_index: BTreeMap::new(),
            next_event: 0,
            used_bytes: 0,
            answers_bytes: 0,
            refused_until: Duration::ZERO,
        }
    }

    /// Refuses all claims for the retention time, because claims of an earlier generation may be lost.
    pub fn refuse_for_retention(&mut self, now: Duration) {
        self.refused_until = now + self.settings.retention;
    }

    /// Returns the local time until which all claims are refused after a generation change; zero if there was none.
    #[must_use]
    pub fn refused_until(&self) -> Duration {
        self.refused_until
    }

    /// Refuses all claims until the local time `until`, or longer if that was requested before.
    pub fn extend_refusal(&mut self, until: Duration) {
        self.refused_until = self.refused_until.max(until);
    }

    /// Returns the number of actions in the register.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether the register contains no action.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the estimated memory of claims and answers, in bytes.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Votes on a claim. `is_alive` returns whether the entry instance of an attempt still runs in the same
    /// incarnation.
    pub fn claim(
        &mut self,
        now: Duration,
        request: &ClaimRequest,
        is_alive: impl Fn(&AttemptId) -> bool,
    ) -> ClaimVote {
        self.expire(now);
        if now < self.refused_until {
            return ClaimVote::Refused(VoteRefusal::NewGeneration);
        }
        if request.key.idempotency_key.len() > MAX_KEY_BYTES {
            return ClaimVote::Refused(VoteRefusal::KeyTooLong);
        }
        let known = self.claims.contains_key(&request.key);
        if !known && !self.has_memory_for(&request.key) {
            return ClaimVote::Refused(VoteRefusal::Full);
        }
        let claim = self.claim_mut(now, &request.key);
        let vote = claim.vote(request, is_alive);
        if vote == ClaimVote::Granted {
            self.record_event(now, &request.key);
        }
        vote
    }

    /// Records the outcome of an attempt that a majority had granted.
    pub fn complete(&mut self, now: Duration, request: &CompleteRequest) -> StoredPart {
        self.expire(now);
        let known = self.claims.contains_key(&request.key);
        if !known && !self.has_memory_for(&request.key) {
            return StoredPart::Nothing;
        }
        if self
            .claim_mut(now, &request.key)
            .fenced
            .contains(&request.attempt)
        {
            return StoredPart::Nothing;
        }
        let (answer, stored) = self.truncate_to_limits(&request.key, &request.answer);
        let state = ClaimState::Completed {
            attempt: request.attempt.clone(),
            fingerprint: request.fingerprint,
            answer,
        };
        self.set_state(&request.key, state);
        self.record_event(now, &request.key);
        stored
    }

    /// Releases the claim of an attempt and never grants it to that attempt again. Returns false if the memory for
    /// claims is used up, so that the abandonment could not be stored.
    pub fn abandon(&mut self, now: Duration, request: &AbandonRequest) -> bool {
        self.expire(now);
        if !self.claims.contains_key(&request.key) && !self.has_memory_for(&request.key) {
            return false;
        }
        let claim = self.claim_mut(now, &request.key);
        claim.fence(&request.attempt);
        self.record_event(now, &request.key);
        true
    }

    /// Returns copies of all claims for a recovering witness.
    pub fn copies(&self, now: Duration) -> impl Iterator<Item = ClaimCopy> {
        self.claims.iter().map(move |(key, claim)| ClaimCopy {
            key: key.clone(),
            state: claim.state.clone(),
            fenced: claim.fenced.clone(),
            age: now.saturating_sub(claim.last_event_at),
        })
    }

    /// Merges the claim copy of another witness. Claims are added beyond the memory limit, because a dropped claim
    /// could be granted again. The result does not depend on the order of the copies.
    pub fn merge(&mut self, now: Duration, copy: &ClaimCopy) {
        let copy_last_event_at = now.saturating_sub(copy.age);
        let (state, own_last_event_at) = {
            let claim = self.claim_mut(copy_last_event_at, &copy.key);
            for attempt in &copy.fenced {
                claim.fence(attempt);
            }
            (claim.merged(&copy.state), claim.last_event_at)
        };
        let state = match state {
            ClaimState::Completed {
                attempt,
                fingerprint,
                answer,
            } => ClaimState::Completed {
                attempt,
                fingerprint,
                answer: self.truncate_to_limits(&copy.key, &answer).0,
            },
            other => other,
        };
        self.set_state(&copy.key, state);
        self.record_event(copy_last_event_at.max(own_last_event_at), &copy.key);
    }

    /// Removes claims whose retention has passed.
    pub fn expire(&mut self, now: Duration) {
        while let Some(entry) = self.expiry_index.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let key = entry.remove();
            if let Some(claim) = self.claims.remove(&key) {
                self.used_bytes -= claim_bytes(&key);
                self.count_answer_bytes(&claim.state, false);
            }
        }
    }

    fn has_memory_for(&self, key: &ClaimKey) -> bool {
        self.used_bytes + claim_bytes(key) <= self.settings.max_bytes
    }

    /// Returns the claim for a key; adds a free one if the register has none.
    fn claim_mut(&mut self, now: Duration, key: &ClaimKey) -> &mut Claim {
        if !self.claims.contains_key(key) {
            self.used_bytes += claim_bytes(key);
            self.next_event += 1;
            let expiry_key = (now + FENCE_RETENTION, self.next_event);
            self.expiry_index.insert(expiry_key, key.clone());
            let claim = Claim {
                state: ClaimState::Free,
                fenced: Vec::new(),
                last_event_at: now,
                expiry_key,
            };
            self.claims.insert(key.clone(), claim);
        }
        self.claims
            .get_mut(key)
            .expect("the claim was just inserted")
    }

    /// Restarts the retention of a claim from an event at `now`.
    fn record_event(&mut self, now: Duration, key: &ClaimKey) {
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        let retention = match claim.state {
            ClaimState::Free => FENCE_RETENTION.min(self.settings.retention),
            _ => self.settings.retention,
        };
        self.next_event += 1;
        self.expiry_index.remove(&claim.expiry_key);
        claim.last_event_at = now;
        claim.expiry_key = (now + retention, self.next_event);
        self.expiry_index.insert(claim.expiry_key, key.clone());
    }

    /// Returns the part of an answer that fits into the memory limits once it replaces the stored answer for the key.
    fn truncate_to_limits(
        &self,
        key: &ClaimKey,
        answer: &RecordedResponse,
    ) -> (RecordedResponse, StoredPart) {
        let RecordedResponse::Whole { status, encoded } = answer else {
            return (answer.clone(), StoredPart::Whole);
        };
        let replaced = self
            .claims
            .get(key)
            .map_or(0, |claim| answer_bytes(&claim.state));
        let answers_bytes = self.answers_bytes - replaced + encoded.len();
        let used_bytes = self.used_bytes - replaced + encoded.len();
        let fits = encoded.len() <= self.settings.max_answer_bytes
            && answers_bytes <= self.settings.max_answers_bytes
            && used_bytes <= self.settings.max_bytes;
        if fits {
            (answer.clone(), StoredPart::Whole)
        } else {
            (
                RecordedResponse::StatusOnly { status: *status },
                StoredPart::StatusOnly,
            )
        }
    }

    fn set_state(&mut self, key: &ClaimKey, state: ClaimState) {
        self.count_answer_bytes(&state, true);
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        let replaced = std::mem::replace(&mut claim.state, state);
        self.count_answer_bytes(&replaced, false);
    }

    /// Adds the answer of a claim state to the counted memory, or subtracts it.
    fn count_answer_bytes(&mut self, state: &ClaimState, added: bool) {
        let bytes = answer_bytes(state);
        if added {
            self.used_bytes += bytes;
            self.answers_bytes += bytes;
        } else {
            self.used_bytes -= bytes;
            self.answers_bytes -= bytes;
        }
    }
}

impl Claim {
    fn vote(&mut self, request: &ClaimRequest, is_alive: impl Fn(&AttemptId) -> bool) -> ClaimVote {
        if self.fenced.contains(&request.attempt) {
            return ClaimVote::Fenced;
        }
        match &self.state {
            ClaimState::Free if self.fenced.len() >= MAX_FENCED_ATTEMPTS => {
                ClaimVote::Refused(VoteRefusal::Full)
            }
            ClaimState::Free => {
                self.state = ClaimState::Granted {
                    attempt: request.attempt.clone(),
                    fingerprint: request.fingerprint,
                };
                ClaimVote::Granted
            }
            ClaimState::Granted { attempt, .. } if *attempt == request.attempt => {
                ClaimVote::Granted
            }
            ClaimState::Granted {
                attempt,
                fingerprint,
            } => ClaimVote::Held {
                attempt: attempt.clone(),
                fingerprint: *fingerprint,
                state: if is_alive(attempt) {
                    HeldState::InFlight
                } else {
                    HeldState::DispatcherLost
                },
            },
            ClaimState::Disputed(attempts) => disputed_vote(attempts, request),
            ClaimState::Completed {
                fingerprint,
                answer,
                ..
            } => ClaimVote::Completed {
                fingerprint: *fingerprint,
                answer: answer.clone(),
            },
        }
    }

    /// Marks an attempt as abandoned, so that it is never granted again, and releases the claim if that attempt holds
    /// it. An attempt with a recorded outcome stays as it is.
    fn fence(&mut self, attempt: &AttemptId) {
        if matches!(&self.state, ClaimState::Completed { attempt: completed, .. } if completed == attempt)
        {
            return;
        }
        if !self.fenced.contains(attempt) {
            self.fenced.push(attempt.clone());
        }
        let attempts = self.attempts();
        if !matches!(self.state, ClaimState::Completed { .. }) {
            self.state = state_from_attempts(
                attempts
                    .into_iter()
                    .filter(|(other, _)| other != attempt)
                    .collect(),
            );
        }
    }

    /// Returns the attempts that may hold the claim.
    fn attempts(&self) -> Vec<(AttemptId, Fingerprint)> {
        match &self.state {
            ClaimState::Free => Vec::new(),
            ClaimState::Granted {
                attempt,
                fingerprint,
            }
            | ClaimState::Completed {
                attempt,
                fingerprint,
                ..
            } => {
                vec![(attempt.clone(), *fingerprint)]
            }
            ClaimState::Disputed(attempts) => attempts.clone(),
        }
    }

    /// Returns the state after a merge with the state at another witness. A recorded outcome takes precedence over
    /// attempts without one, and a complete answer over a status.
    fn merged(&self, other: &ClaimState) -> ClaimState {
        match (&self.state, other) {
            (
                ClaimState::Completed {
                    answer: RecordedResponse::Whole { .. },
                    ..
                },
                _,
            )
            | (
                ClaimState::Completed { .. },
                ClaimState::Free | ClaimState::Granted { .. } | ClaimState::Disputed(_),
            ) => self.state.clone(),
            (_, ClaimState::Completed { .. }) => other.clone(),
            _ => {
                let other = Self {
                    state: other.clone(),
                    fenced: Vec::new(),
                    ..self.clone()
                };
                let mut attempts = self.attempts();
                attempts.extend(other.attempts());
                attempts.retain(|(attempt, _)| !self.fenced.contains(attempt));
                attempts.sort_unstable();
                attempts.dedup();
                state_from_attempts(attempts)
            }
        }
    }
}

/// Returns the claim state for the attempts that may hold the claim.
fn state_from_attempts(mut attempts: Vec<(AttemptId, Fingerprint)>) -> ClaimState {
    match attempts.len() {
        0 => ClaimState::Free,
        1 => {
            let (attempt, fingerprint) = attempts.remove(0);
            ClaimState::Granted {
                attempt,
                fingerprint,
            }
        }
        _ => ClaimState::Disputed(attempts),
    }
}

/// Returns the vote that names another attempt of a disputed claim.
fn disputed_vote(attempts: &[(AttemptId, Fingerprint)], request: &ClaimRequest) -> ClaimVote {
    let other = attempts
        .iter()
        .find(|(attempt, _)| *attempt != request.attempt);
    let (attempt, fingerprint) = other.expect("a disputed claim has at least two attempts");
    ClaimVote::Held {
        attempt: attempt.clone(),
        fingerprint: *fingerprint,
        state: HeldState::Disputed,
    }
}

/// Returns the memory counted for a claim without its answer, in bytes.
fn claim_bytes(key: &ClaimKey) -> usize {
    let key_bytes =
        key.idempotency_key.len() + key.organisation.as_str().len() + key.service.as_str().len();
    CLAIM_OVERHEAD_BYTES + key_bytes
}

/// Returns the size of the recorded answer of a claim, in bytes.
fn answer_bytes(state: &ClaimState) -> usize {
    match state {
        ClaimState::Completed {
            answer: RecordedResponse::Whole { encoded, .. },
            ..
        } => encoded.len(),
        _ => 0,
    }
}
