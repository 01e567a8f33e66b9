//! The witness side of claims.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::message::{
    AbandonRequest, Answer, AttemptId, ClaimKey, ClaimRequest, ClaimVote, CompleteRequest,
    Fingerprint, HeldState, MAX_KEY_BYTES, Stored, VoteRefusal,
};

/// Memory counted per claim besides its key and its answer, in bytes; covers maps, ids and the expiry index.
const CLAIM_OVERHEAD_BYTES: usize = 512;

/// Attempts remembered as abandoned per action. A further attempt at the same action is refused until they expire.
const MAX_FENCED: usize = 16;

/// Time for which an abandoned attempt is remembered after the last event, when nothing else is known of the action. A
/// claim message that is delayed longer blocks the action for the retention time; it still cannot be dispatched.
const FENCE_RETENTION: Duration = Duration::from_mins(1);

/// Limits of a claim register.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimSettings {
    /// Time for which a claim is kept after the last event.
    pub retention: Duration,
    /// Memory for claims and answers, in bytes. When it is used up new claims are refused.
    pub max_bytes: usize,
    /// Part of the memory that answers may use, in bytes. Beyond it only the status is recorded.
    pub max_answers_bytes: usize,
    /// Largest recorded answer, in bytes.
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
    /// Only abandoned attempts are known.
    Free,
    /// Granted to an attempt whose outcome is not known.
    Granted {
        /// The attempt.
        attempt: AttemptId,
        /// Hash of its request.
        fingerprint: Fingerprint,
    },
    /// Recovered copies name several attempts; none of them and no other is granted.
    Disputed(Vec<(AttemptId, Fingerprint)>),
    /// An attempt was dispatched and its outcome recorded.
    Completed {
        /// The attempt.
        attempt: AttemptId,
        /// Hash of its request.
        fingerprint: Fingerprint,
        /// Its outcome.
        answer: Answer,
    },
}

/// One action in the copy for a recovering witness.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimCopy {
    /// The action.
    pub key: ClaimKey,
    /// Its state.
    pub state: ClaimState,
    /// Attempts that were abandoned.
    pub fenced: Vec<AttemptId>,
    /// Time since the last event.
    pub age: Duration,
}

/// Claims of one witness.
#[derive(Debug, Clone)]
pub struct ClaimRegister {
    settings: ClaimSettings,
    claims: HashMap<ClaimKey, Claim>,
    expiry: BTreeMap<(Duration, u64), ClaimKey>,
    next_event: u64,
    used_bytes: usize,
    answers_bytes: usize,
    refuses_until: Duration,
}

#[derive(Debug, Clone)]
struct Claim {
    state: ClaimState,
    fenced: Vec<AttemptId>,
    last_event: Duration,
    expiry: (Duration, u64),
}

impl ClaimRegister {
    /// Register without claims.
    #[must_use]
    pub fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            claims: HashMap::new(),
            expiry: BTreeMap::new(),
            next_event: 0,
            used_bytes: 0,
            answers_bytes: 0,
            refuses_until: Duration::ZERO,
        }
    }

    /// Refuses every claim for the retention time, because claims of an earlier generation are lost.
    pub fn refuse_for_retention(&mut self, now: Duration) {
        self.refuses_until = now + self.settings.retention;
    }

    /// Local time until which claims are refused after a generation change; zero without one.
    #[must_use]
    pub fn refuses_until(&self) -> Duration {
        self.refuses_until
    }

    /// Extends the time until which claims are refused.
    pub fn refuse_until(&mut self, until: Duration) {
        self.refuses_until = self.refuses_until.max(until);
    }

    /// Number of actions in memory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no action is in memory.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Memory counted for claims and answers, in bytes.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Vote on a claim. `is_alive` tells whether the entry instance of an attempt still runs in the same life.
    pub fn claim(
        &mut self,
        now: Duration,
        request: &ClaimRequest,
        is_alive: impl Fn(&AttemptId) -> bool,
    ) -> ClaimVote {
        self.expire(now);
        if now < self.refuses_until {
            return ClaimVote::Refused(VoteRefusal::NewGeneration);
        }
        if request.key.idempotency_key.len() > MAX_KEY_BYTES {
            return ClaimVote::Refused(VoteRefusal::KeyTooLong);
        }
        let known = self.claims.contains_key(&request.key);
        if !known && !self.has_room(&request.key) {
            return ClaimVote::Refused(VoteRefusal::Full);
        }
        let claim = self.claim_mut(now, &request.key);
        let vote = claim.vote(request, is_alive);
        if vote == ClaimVote::Granted {
            self.touch(now, &request.key);
        }
        vote
    }

    /// Records the outcome of an attempt that a majority had granted.
    pub fn complete(&mut self, now: Duration, request: &CompleteRequest) -> Stored {
        self.expire(now);
        let known = self.claims.contains_key(&request.key);
        if !known && !self.has_room(&request.key) {
            return Stored::Nothing;
        }
        if self
            .claim_mut(now, &request.key)
            .fenced
            .contains(&request.attempt)
        {
            return Stored::Nothing;
        }
        let (answer, stored) = self.storable(&request.key, &request.answer);
        let state = ClaimState::Completed {
            attempt: request.attempt.clone(),
            fingerprint: request.fingerprint,
            answer,
        };
        self.set_state(&request.key, state);
        self.touch(now, &request.key);
        stored
    }

    /// Frees the claim of an attempt and never grants it again. Returns whether that could be stored.
    pub fn abandon(&mut self, now: Duration, request: &AbandonRequest) -> bool {
        self.expire(now);
        if !self.claims.contains_key(&request.key) && !self.has_room(&request.key) {
            return false;
        }
        let claim = self.claim_mut(now, &request.key);
        claim.fence(&request.attempt);
        self.touch(now, &request.key);
        true
    }

    /// Copy for a recovering witness.
    pub fn copies(&self, now: Duration) -> impl Iterator<Item = ClaimCopy> {
        self.claims.iter().map(move |(key, claim)| ClaimCopy {
            key: key.clone(),
            state: claim.state.clone(),
            fenced: claim.fenced.clone(),
            age: now.saturating_sub(claim.last_event),
        })
    }

    /// Merges what another witness stored; the limit of the memory does not apply. The order does not matter.
    pub fn merge(&mut self, now: Duration, copy: &ClaimCopy) {
        let last_event = now.saturating_sub(copy.age);
        let (state, known_event) = {
            let claim = self.claim_mut(last_event, &copy.key);
            for attempt in &copy.fenced {
                claim.fence(attempt);
            }
            (claim.merged(&copy.state), claim.last_event)
        };
        let state = match state {
            ClaimState::Completed {
                attempt,
                fingerprint,
                answer,
            } => ClaimState::Completed {
                attempt,
                fingerprint,
                answer: self.storable(&copy.key, &answer).0,
            },
            other => other,
        };
        self.set_state(&copy.key, state);
        self.touch(last_event.max(known_event), &copy.key);
    }

    /// Drops claims whose retention has passed.
    pub fn expire(&mut self, now: Duration) {
        while let Some(entry) = self.expiry.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let key = entry.remove();
            if let Some(claim) = self.claims.remove(&key) {
                self.used_bytes -= overhead_bytes(&key);
                self.count_answer(&claim.state, false);
            }
        }
    }

    fn has_room(&self, key: &ClaimKey) -> bool {
        self.used_bytes + overhead_bytes(key) <= self.settings.max_bytes
    }

    fn claim_mut(&mut self, now: Duration, key: &ClaimKey) -> &mut Claim {
        if !self.claims.contains_key(key) {
            self.used_bytes += overhead_bytes(key);
            self.next_event += 1;
            let expiry = (now + FENCE_RETENTION, self.next_event);
            self.expiry.insert(expiry, key.clone());
            let claim = Claim {
                state: ClaimState::Free,
                fenced: Vec::new(),
                last_event: now,
                expiry,
            };
            self.claims.insert(key.clone(), claim);
        }
        self.claims
            .get_mut(key)
            .expect("the claim was just inserted")
    }

    fn touch(&mut self, now: Duration, key: &ClaimKey) {
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        let retention = match claim.state {
            ClaimState::Free => FENCE_RETENTION.min(self.settings.retention),
            _ => self.settings.retention,
        };
        self.next_event += 1;
        self.expiry.remove(&claim.expiry);
        claim.last_event = now;
        claim.expiry = (now + retention, self.next_event);
        self.expiry.insert(claim.expiry, key.clone());
    }

    /// The part of an answer that fits into the memory, given that it replaces the one that is stored for the key.
    fn storable(&self, key: &ClaimKey, answer: &Answer) -> (Answer, Stored) {
        let Answer::Whole { status, encoded } = answer else {
            return (answer.clone(), Stored::Whole);
        };
        let replaced = self
            .claims
            .get(key)
            .map_or(0, |claim| answer_bytes(&claim.state));
        let total = self.answers_bytes - replaced + encoded.len();
        let used = self.used_bytes - replaced + encoded.len();
        let fits = encoded.len() <= self.settings.max_answer_bytes
            && total <= self.settings.max_answers_bytes
            && used <= self.settings.max_bytes;
        if fits {
            (answer.clone(), Stored::Whole)
        } else {
            (Answer::StatusOnly { status: *status }, Stored::StatusOnly)
        }
    }

    fn set_state(&mut self, key: &ClaimKey, state: ClaimState) {
        self.count_answer(&state, true);
        let Some(claim) = self.claims.get_mut(key) else {
            return;
        };
        let replaced = std::mem::replace(&mut claim.state, state);
        self.count_answer(&replaced, false);
    }

    fn count_answer(&mut self, state: &ClaimState, added: bool) {
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
            ClaimState::Free if self.fenced.len() >= MAX_FENCED => {
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
            ClaimState::Disputed(attempts) => held_by_dispute(attempts, request),
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
            self.state = state_of(
                attempts
                    .into_iter()
                    .filter(|(other, _)| other != attempt)
                    .collect(),
            );
        }
    }

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

    fn merged(&self, other: &ClaimState) -> ClaimState {
        match (&self.state, other) {
            (
                ClaimState::Completed {
                    answer: Answer::Whole { .. },
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
                state_of(attempts)
            }
        }
    }
}

/// State that follows from the attempts that may hold the claim.
fn state_of(mut attempts: Vec<(AttemptId, Fingerprint)>) -> ClaimState {
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

fn held_by_dispute(attempts: &[(AttemptId, Fingerprint)], request: &ClaimRequest) -> ClaimVote {
    let other = attempts
        .iter()
        .find(|(attempt, _)| *attempt != request.attempt);
    let (attempt, fingerprint) = other.expect("a dispute has at least two attempts");
    ClaimVote::Held {
        attempt: attempt.clone(),
        fingerprint: *fingerprint,
        state: HeldState::Disputed,
    }
}

fn overhead_bytes(key: &ClaimKey) -> usize {
    let text =
        key.idempotency_key.len() + key.organisation.as_str().len() + key.service.as_str().len();
    CLAIM_OVERHEAD_BYTES + text
}

fn answer_bytes(state: &ClaimState) -> usize {
    match state {
        ClaimState::Completed {
            answer: Answer::Whole { encoded, .. },
            ..
        } => encoded.len(),
        _ => 0,
    }
}
