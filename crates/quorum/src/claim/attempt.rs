//! Claim attempt of an entry instance: collects the votes of the witnesses and decides.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use radishpaddle_model::InstanceId;

use super::message::{
    AbandonReply, AbandonRequest, AttemptId, ClaimKey, ClaimReply, ClaimRequest, ClaimVote,
    CompleteRequest, Fingerprint, HeldState, RecordedResponse,
};
use crate::group::{VOTE_VALIDITY, WitnessGroup};

/// Decision of an entry instance on an attempt to run an action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// A majority granted the claim: the request may be sent to a backend server.
    Dispatch,
    /// An earlier attempt has run: reply with its recorded answer.
    Replay(RecordedResponse),
    /// The idempotency key was already used for a different request. Not run.
    KeyReused,
    /// Another attempt may be running; its outcome is not known yet.
    InProgress,
    /// Another attempt may have run; its outcome is unknown, for example because its entry instance is lost.
    EarlierAttemptUnknown,
    /// Concurrent attempts split the votes, so that none of them has a majority. Not run.
    Contended,
    /// Fewer than a majority of the witnesses granted the claim before the deadline. Not run.
    Unavailable,
}

/// Collects the votes of the witnesses for one attempt.
///
/// The first decision is final. After any decision other than [`ClaimDecision::Dispatch`], and after
/// [`Self::abandon`], send [`Self::abandon_request`] to the witnesses in [`Self::unconfirmed_abandonments`] until there
/// are none or the claim retention has passed. If abandon requests are lost, the key stays blocked until its claim
/// expires; the action never runs twice because of that.
#[derive(Debug, Clone)]
pub struct ClaimAttempt {
    group: WitnessGroup,
    request: ClaimRequest,
    started_at: Duration,
    votes: BTreeMap<InstanceId, ClaimVote>,
    decision: Option<ClaimDecision>,
    abandoned: bool,
    fenced: BTreeSet<InstanceId>,
}

impl ClaimAttempt {
    /// Creates an attempt whose first request is sent at the local time `now` or later.
    #[must_use]
    pub fn new(
        group: WitnessGroup,
        key: ClaimKey,
        attempt: AttemptId,
        fingerprint: Fingerprint,
        now: Duration,
    ) -> Self {
        let request = ClaimRequest {
            generation: group.generation,
            key,
            attempt,
            fingerprint,
        };
        Self {
            group,
            request,
            started_at: now,
            votes: BTreeMap::new(),
            decision: None,
            abandoned: false,
            fenced: BTreeSet::new(),
        }
    }

    /// Returns the request to send to every witness in [`Self::unanswered`]. Requests may be repeated.
    #[must_use]
    pub fn request(&self) -> &ClaimRequest {
        &self.request
    }

    /// Returns the witnesses that have not voted.
    pub fn unanswered(&self) -> impl Iterator<Item = &InstanceId> {
        let witnesses = self.group.witnesses.iter();
        witnesses.filter(|witness| !self.votes.contains_key(*witness))
    }

    /// Returns the local time at which an undecided attempt ends; call [`Self::on_tick`] then.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        self.started_at + VOTE_VALIDITY
    }

    /// Returns the decision; `None` while the attempt is undecided.
    #[must_use]
    pub fn decision(&self) -> Option<&ClaimDecision> {
        self.decision.as_ref()
    }

    /// Records a vote. Returns the decision if this vote leads to it.
    ///
    /// [`ClaimDecision::Dispatch`] permits an immediate dispatch. A dispatch later than the claim retention after
    /// [`Self::deadline`] is unsafe, because the witnesses may have expired the claim and granted another attempt.
    pub fn on_reply(&mut self, now: Duration, reply: &ClaimReply) -> Option<ClaimDecision> {
        let admitted = self.group.admits(reply.generation, &reply.witness);
        if self.decision.is_some() || !admitted || reply.attempt != self.request.attempt {
            return None;
        }
        let vote = self.votes.entry(reply.witness.clone());
        let vote = vote.or_insert_with(|| reply.vote.clone());
        if *vote != ClaimVote::Granted {
            vote.clone_from(&reply.vote);
        }
        let decision = self.decide(now)?;
        Some(self.finish(decision))
    }

    /// Decides an undecided attempt once [`Self::deadline`] has passed.
    pub fn on_tick(&mut self, now: Duration) -> Option<ClaimDecision> {
        if self.decision.is_some() || now < self.deadline() {
            return None;
        }
        let decision = self.decide_without_majority();
        Some(self.finish(decision))
    }

    /// Abandons the attempt for good. Call it only if the attempt was not dispatched, or if every dispatch of it
    /// provably did not run.
    pub fn abandon(&mut self) {
        if !self.abandoned {
            self.decision.get_or_insert(ClaimDecision::Unavailable);
            self.abandoned = true;
        }
    }

    /// Returns the request that releases the claim; `None` while the attempt is undecided or may run.
    #[must_use]
    pub fn abandon_request(&self) -> Option<AbandonRequest> {
        self.abandoned.then(|| AbandonRequest {
            generation: self.request.generation,
            key: self.request.key.clone(),
            attempt: self.request.attempt.clone(),
        })
    }

    /// Returns the witnesses that have not confirmed the abandonment.
    pub fn unconfirmed_abandonments(&self) -> impl Iterator<Item = &InstanceId> {
        let witnesses = self.group.witnesses.iter();
        witnesses.filter(|witness| !self.fenced.contains(*witness))
    }

    /// Records that a witness has confirmed the abandonment.
    pub fn on_abandon_reply(&mut self, reply: &AbandonReply) {
        if reply.attempt == self.request.attempt {
            self.fenced.insert(reply.witness.clone());
        }
    }

    /// Returns the request that records the outcome at every witness; `None` unless the attempt was dispatched.
    #[must_use]
    pub fn complete_request(&self, answer: RecordedResponse) -> Option<CompleteRequest> {
        let dispatched = self.decision == Some(ClaimDecision::Dispatch) && !self.abandoned;
        dispatched.then(|| CompleteRequest {
            generation: self.request.generation,
            key: self.request.key.clone(),
            attempt: self.request.attempt.clone(),
            fingerprint: self.request.fingerprint,
            answer,
        })
    }

    fn finish(&mut self, decision: ClaimDecision) -> ClaimDecision {
        self.abandoned = decision != ClaimDecision::Dispatch;
        self.decision = Some(decision.clone());
        decision
    }

    fn decide(&self, now: Duration) -> Option<ClaimDecision> {
        if let Some(decision) = self.decide_from_completed() {
            return Some(decision);
        }
        if now >= self.deadline() {
            return Some(self.decide_without_majority());
        }
        let granted = self.granted_count();
        if granted >= self.group.majority() {
            return Some(ClaimDecision::Dispatch);
        }
        let reachable = granted + self.unanswered().count();
        (reachable < self.group.majority()).then(|| self.decide_without_majority())
    }

    fn granted_count(&self) -> usize {
        let votes = self.votes.values();
        votes.filter(|vote| **vote == ClaimVote::Granted).count()
    }

    fn decide_from_completed(&self) -> Option<ClaimDecision> {
        self.votes.values().find_map(|vote| match vote {
            ClaimVote::Completed { fingerprint, .. }
                if *fingerprint != self.request.fingerprint =>
            {
                Some(ClaimDecision::KeyReused)
            }
            ClaimVote::Completed {
                answer: RecordedResponse::Unknown,
                ..
            } => Some(ClaimDecision::EarlierAttemptUnknown),
            ClaimVote::Completed { answer, .. } => Some(ClaimDecision::Replay(answer.clone())),
            _ => None,
        })
    }

    /// Returns the decision for an attempt that can no longer be granted by a majority.
    fn decide_without_majority(&self) -> ClaimDecision {
        let mut holders: BTreeMap<&AttemptId, usize> = BTreeMap::new();
        let (mut other_request, mut dispatcher_lost, mut disputed) = (false, false, 0);
        for vote in self.votes.values() {
            let ClaimVote::Held {
                attempt,
                fingerprint,
                state,
            } = vote
            else {
                continue;
            };
            other_request |= *fingerprint != self.request.fingerprint;
            dispatcher_lost |= *state == HeldState::DispatcherLost;
            match state {
                HeldState::Disputed => disputed += 1,
                HeldState::InFlight | HeldState::DispatcherLost => {
                    *holders.entry(attempt).or_default() += 1;
                }
            }
        }
        if other_request {
            return ClaimDecision::KeyReused;
        }
        if holders.is_empty() && disputed == 0 {
            return ClaimDecision::Unavailable;
        }
        // Votes that the other attempt with the most grants may have: known grants, disputed ones and missing replies.
        let most_grants = holders.values().copied().max().unwrap_or(0);
        let possible_grants = most_grants + disputed + self.unanswered().count();
        let other_may_run = possible_grants >= self.group.majority();
        match (other_may_run, dispatcher_lost || disputed > 0) {
            (false, _) => ClaimDecision::Contended,
            (true, true) => ClaimDecision::EarlierAttemptUnknown,
            (true, false) => ClaimDecision::InProgress,
        }
    }
}
