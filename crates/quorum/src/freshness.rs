//! Whether an instance may admit requests under the configuration that it has applied (design section 4.1).

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use radishpaddle_model::{InstanceId, Revision};

use crate::group::{Generation, VOTE_VALIDITY, WitnessGroup, reached_by};

/// Longest time for which an instance admits requests after a change that it does not have was acknowledged.
pub const FRESHNESS_LIMIT: Duration = Duration::from_secs(4);

/// Age up to which a poll counts, by the local clock; [`FRESHNESS_LIMIT`] also holds for a clock that is 1 % slow.
pub const POLL_AGE_LIMIT: Duration = Duration::from_millis(3950);

/// Answers kept per witness. Dropping older ones can only end freshness earlier.
const ANSWERS_PER_WITNESS: usize = 8;

/// Freshness of one instance.
///
/// A poll sent at `t` that a witness answered with revision `r` shows that the witness had stored nothing above `r` at
/// `t`. When a majority shows this for the applied revision, no later revision was acknowledged before `t`.
#[derive(Debug, Clone)]
pub struct Freshness {
    group: WitnessGroup,
    applied: Option<Revision>,
    answers: BTreeMap<InstanceId, VecDeque<Answer>>,
    fresh_until: Option<Duration>,
}

/// Latest poll that a witness answered with one revision.
#[derive(Debug, Clone, Copy)]
struct Answer {
    sent_at: Duration,
    revision: Revision,
}

impl Freshness {
    /// Not fresh, without applied configuration.
    #[must_use]
    pub fn new(group: WitnessGroup) -> Self {
        Self {
            group,
            applied: None,
            answers: BTreeMap::new(),
            fresh_until: None,
        }
    }

    /// The group whose answers count.
    #[must_use]
    pub fn group(&self) -> &WitnessGroup {
        &self.group
    }

    /// Replaces the group by one of a higher generation and forgets the answers. Others are ignored.
    pub fn set_group(&mut self, group: WitnessGroup) {
        if group.generation > self.group.generation {
            *self = Self {
                applied: self.applied,
                ..Self::new(group)
            };
        }
    }

    /// Records that the configuration was applied up to `revision`. Lower revisions than before are ignored.
    pub fn set_applied(&mut self, revision: Revision) {
        if self.applied < Some(revision) {
            self.applied = Some(revision);
            self.update();
        }
    }

    /// Records the answer to a poll that was sent at the local time `sent_at`.
    pub fn record_answer(
        &mut self,
        sent_at: Duration,
        witness: &InstanceId,
        generation: Generation,
        revision: Revision,
    ) {
        if !self.group.admits(generation, witness) {
            return;
        }
        let answers = self.answers.entry(witness.clone()).or_default();
        match answers
            .iter_mut()
            .find(|answer| answer.revision == revision)
        {
            Some(answer) => answer.sent_at = answer.sent_at.max(sent_at),
            None => answers.push_back(Answer { sent_at, revision }),
        }
        if answers.len() > ANSWERS_PER_WITNESS {
            answers.pop_front();
        }
        self.update();
    }

    /// Whether requests may be admitted at the local time `now`.
    #[must_use]
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.fresh_until.is_some_and(|until| now <= until)
    }

    /// Local time until which the instance is fresh if nothing else arrives.
    #[must_use]
    pub fn fresh_until(&self) -> Option<Duration> {
        self.fresh_until
    }

    /// Applied revision.
    #[must_use]
    pub fn applied(&self) -> Option<Revision> {
        self.applied
    }

    /// Highest revision that a witness of the group answered; fetch it when it is above the applied one.
    #[must_use]
    pub fn highest_answered(&self) -> Option<Revision> {
        let answers = self.answers.values().flatten();
        answers.map(|answer| answer.revision).max()
    }

    fn update(&mut self) {
        let Some(applied) = self.applied else { return };
        let latest = self.answers.values().filter_map(|answers| {
            let covered = answers.iter().filter(|answer| answer.revision <= applied);
            covered.map(|answer| answer.sent_at).max()
        });
        let polled_at = reached_by(self.group.majority(), latest);
        self.fresh_until = polled_at.map(|at| at + POLL_AGE_LIMIT);
    }
}

/// Counts the witnesses that stored a pushed revision; owned by the control leader.
#[derive(Debug, Clone)]
pub struct Propagation {
    group: WitnessGroup,
    stored: BTreeMap<InstanceId, Answer>,
    acknowledged: Option<Revision>,
}

impl Propagation {
    /// Nothing is acknowledged.
    #[must_use]
    pub fn new(group: WitnessGroup) -> Self {
        Self {
            group,
            stored: BTreeMap::new(),
            acknowledged: None,
        }
    }

    /// Records that a witness has stored `revision`, in answer to a push that was sent at the local time `sent_at`.
    ///
    /// Answers count for [`VOTE_VALIDITY`]: push again until [`Self::acknowledged`] has reached the revision.
    pub fn record_stored(
        &mut self,
        now: Duration,
        sent_at: Duration,
        witness: &InstanceId,
        generation: Generation,
        revision: Revision,
    ) {
        if !self.group.admits(generation, witness) {
            return;
        }
        let answer = Answer { sent_at, revision };
        let stored = self.stored.entry(witness.clone()).or_insert(answer);
        if sent_at >= stored.sent_at {
            *stored = answer;
        }
        let valid = self
            .stored
            .values()
            .filter(|answer| now.saturating_sub(answer.sent_at) <= VOTE_VALIDITY);
        let reached = reached_by(self.group.majority(), valid.map(|answer| answer.revision));
        self.acknowledged = self.acknowledged.max(reached);
    }

    /// Highest revision that a majority has stored; every instance without it stops within [`FRESHNESS_LIMIT`].
    #[must_use]
    pub fn acknowledged(&self) -> Option<Revision> {
        self.acknowledged
    }

    /// Replaces the group by one of a higher generation; the revisions have to be pushed to it again.
    pub fn set_group(&mut self, group: WitnessGroup) {
        if group.generation > self.group.generation {
            self.group = group;
            self.stored.clear();
        }
    }
}
