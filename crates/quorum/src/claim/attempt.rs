//! The entry side of a claim.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use radishpaddle_model::InstanceId;

use super::message::{
    AbandonReply, AbandonRequest, Answer, AttemptId, ClaimKey, ClaimReply, ClaimRequest, ClaimVote,
    CompleteRequest, Fingerprint, HeldState,
};
use crate::group::{VOTE_VALIDITY, WitnessGroup};

/// What the entry instance does with the action.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// A majority granted the claim: send the request to a backend server.
    Dispatch,
    /// An earlier attempt has run: answer with what was recorded.
    Replay(Answer),
    /// The key belongs to a different request. Not run.
    KeyReused,
    /// Another attempt may be running. Outcome unknown.
    InProgress,
    /// Another attempt may have run, and its entry instance is lost. Outcome unknown.
    EarlierAttemptUnknown,
    /// Other attempts asked at the same time and none of them was granted by a majority. Not run.
    Contended,
    /// Too few witnesses granted the claim in time. Not run.
    Unavailable,
}

/// Collects the votes for one attempt.
///
/// The first decision is final. After any decision but [`ClaimDecision::Dispatch`], and after
/// [`Self::abandon`], send [`Self::abandon_request`] to [`Self::unfenced`] until that is empty or the retention has
/// passed. A lost abandon blocks the key; it never lets the action run twice.
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
    /// Attempt whose first request is sent at the local time `now` or later.
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

    /// The request to send to every witness of [`Self::unanswered`]. Sending it again is harmless.
    #[must_use]
    pub fn request(&self) -> &ClaimRequest {
        &self.request
    }

    /// Witnesses that have not voted.
    pub fn unanswered(&self) -> impl Iterator<Item = &InstanceId> {
        let witnesses = self.group.witnesses.iter();
        witnesses.filter(|witness| !self.votes.contains_key(*witness))
    }

    /// Local time at which the attempt ends undecided; call [`Self::on_tick`] then.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        self.started_at + VOTE_VALIDITY
    }

    /// The decision, once there is one.
    #[must_use]
    pub fn decision(&self) -> Option<&ClaimDecision> {
        self.decision.as_ref()
    }

    /// Takes a vote. Returns the decision if this vote leads to it.
    ///
    /// [`ClaimDecision::Dispatch`] permits a dispatch at once; a dispatch that is put off beyond
    /// [`Self::deadline`] by more than the retention of claims would be unsafe.
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
        Some(self.conclude(decision))
    }

    /// Ends the attempt when [`Self::deadline`] has passed.
    pub fn on_tick(&mut self, now: Duration) -> Option<ClaimDecision> {
        if self.decision.is_some() || now < self.deadline() {
            return None;
        }
        let decision = self.without_majority();
        Some(self.conclude(decision))
    }

    /// Gives the attempt up: it is not dispatched, or every dispatch of it provably did not run. Final.
    pub fn abandon(&mut self) {
        if !self.abandoned {
            self.decision.get_or_insert(ClaimDecision::Unavailable);
            self.abandoned = true;
        }
    }

    /// Request that frees the claim; `None` while the attempt is undecided or may run.
    #[must_use]
    pub fn abandon_request(&self) -> Option<AbandonRequest> {
        self.abandoned.then(|| AbandonRequest {
            generation: self.request.generation,
            key: self.request.key.clone(),
            attempt: self.request.attempt.clone(),
        })
    }

    /// Witnesses that have not confirmed the abandonment.
    pub fn unfenced(&self) -> impl Iterator<Item = &InstanceId> {
        let witnesses = self.group.witnesses.iter();
        witnesses.filter(|witness| !self.fenced.contains(*witness))
    }

    /// Takes the confirmation of an abandonment.
    pub fn on_abandon_reply(&mut self, reply: &AbandonReply) {
        if reply.attempt == self.request.attempt {
            self.fenced.insert(reply.witness.clone());
        }
    }

    /// Request that records the outcome of the dispatch, for every witness; `None` unless the attempt was dispatched.
    #[must_use]
    pub fn complete_request(&self, answer: Answer) -> Option<CompleteRequest> {
        let dispatched = self.decision == Some(ClaimDecision::Dispatch) && !self.abandoned;
        dispatched.then(|| CompleteRequest {
            generation: self.request.generation,
            key: self.request.key.clone(),
            attempt: self.request.attempt.clone(),
            fingerprint: self.request.fingerprint,
            answer,
        })
    }

    fn conclude(&mut self, decision: ClaimDecision) -> ClaimDecision {
        self.abandoned = decision != ClaimDecision::Dispatch;
        self.decision = Some(decision.clone());
        decision
    }

    fn decide(&self, now: Duration) -> Option<ClaimDecision> {
        if let Some(decision) = self.completed() {
            return Some(decision);
        }
        if now >= self.deadline() {
            return Some(self.without_majority());
        }
        let granted = self.granted();
        if granted >= self.group.majority() {
            return Some(ClaimDecision::Dispatch);
        }
        let reachable = granted + self.unanswered().count();
        (reachable < self.group.majority()).then(|| self.without_majority())
    }

    fn granted(&self) -> usize {
        let votes = self.votes.values();
        votes.filter(|vote| **vote == ClaimVote::Granted).count()
    }

    fn completed(&self) -> Option<ClaimDecision> {
        self.votes.values().find_map(|vote| match vote {
            ClaimVote::Completed { fingerprint, .. }
                if *fingerprint != self.request.fingerprint =>
            {
                Some(ClaimDecision::KeyReused)
            }
            ClaimVote::Completed {
                answer: Answer::Unknown,
                ..
            } => Some(ClaimDecision::EarlierAttemptUnknown),
            ClaimVote::Completed { answer, .. } => Some(ClaimDecision::Replay(answer.clone())),
            _ => None,
        })
    }

    /// Decision for an attempt that no majority can grant any more.
    fn without_majority(&self) -> ClaimDecision {
        let mut holders: BTreeMap<&AttemptId, usize> = BTreeMap::new();
        let (mut other_request, mut lost, mut disputed) = (false, false, 0);
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
            lost |= *state == HeldState::DispatcherLost;
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
        let most = holders.values().copied().max().unwrap_or(0);
        let possible = most + disputed + self.unanswered().count();
        match (possible >= self.group.majority(), lost || disputed > 0) {
            (false, _) => ClaimDecision::Contended,
            (true, true) => ClaimDecision::EarlierAttemptUnknown,
            (true, false) => ClaimDecision::InProgress,
        }
    }
}
