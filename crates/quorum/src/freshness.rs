//! Bound on the age of the configuration under which an instance admits requests (design section 4.1).

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use radishpaddle_model::{InstanceId, Revision};

use crate::group::{Generation, VOTE_VALIDITY, WitnessGroup, majority_value};

/// Maximum time for which an instance admits requests without a change that was acknowledged.
pub const FRESHNESS_LIMIT: Duration = Duration::from_secs(4);

/// Maximum age of a poll that counts, by the local clock. Below [`FRESHNESS_LIMIT`], so that the limit also holds for a
/// clock that is 1 % slow.
pub const MAX_POLL_AGE: Duration = Duration::from_millis(3950);

/// Maximum number of poll replies kept per witness. Dropping older ones can only end freshness earlier.
const MAX_REPLIES_PER_WITNESS: usize = 8;

/// Freshness of the configuration of one instance.
///
/// If a witness answers a poll that was sent at `t` with revision `r`, it had stored nothing above `r` at `t`. If a
/// majority answers with the applied revision or a lower one, no higher revision was acknowledged before `t`.
#[derive(Debug, Clone)]
pub struct Freshness {
    group: WitnessGroup,
    applied: Option<Revision>,
    replies: BTreeMap<InstanceId, VecDeque<RevisionReply>>,
    fresh_until: Option<Duration>,
}

/// Revision that a witness reported, and the sending time of the latest message that it answered with that revision.
#[derive(Debug, Clone, Copy)]
struct RevisionReply {
    sent_at: Duration,
    revision: Revision,
}

impl Freshness {
    /// Creates the state of an instance without applied configuration, which is not fresh.
    #[must_use]
    pub fn new(group: WitnessGroup) -> Self {
        Self {
            group,
            applied: None,
            replies: BTreeMap::new(),
            fresh_until: None,
        }
    }

    /// Returns the witness group whose replies count.
    #[must_use]
    pub fn group(&self) -> &WitnessGroup {
        &self.group
    }

    /// Replaces the group by one of a higher generation and drops the replies of the previous one. A group of the same
    /// or a lower generation is ignored.
    pub fn set_group(&mut self, group: WitnessGroup) {
        if group.generation > self.group.generation {
            *self = Self {
                applied: self.applied,
                ..Self::new(group)
            };
        }
    }

    /// Records that the configuration was applied up to `revision`. A lower revision than the applied one is ignored.
    pub fn set_applied(&mut self, revision: Revision) {
        if self.applied < Some(revision) {
            self.applied = Some(revision);
            self.update();
        }
    }

    /// Records the reply to a poll that was sent at the local time `sent_at`.
    pub fn record_poll_reply(
        &mut self,
        sent_at: Duration,
        witness: &InstanceId,
        generation: Generation,
        revision: Revision,
    ) {
        if !self.group.admits(generation, witness) {
            return;
        }
        let replies = self.replies.entry(witness.clone()).or_default();
        match replies.iter_mut().find(|reply| reply.revision == revision) {
            Some(reply) => reply.sent_at = reply.sent_at.max(sent_at),
            None => replies.push_back(RevisionReply { sent_at, revision }),
        }
        if replies.len() > MAX_REPLIES_PER_WITNESS {
            replies.pop_front();
        }
        self.update();
    }

    /// Returns whether requests may be admitted at the local time `now`.
    #[must_use]
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.fresh_until.is_some_and(|until| now <= until)
    }

    /// Returns the local time until which the instance is fresh if no further reply arrives.
    #[must_use]
    pub fn fresh_until(&self) -> Option<Duration> {
        self.fresh_until
    }

    /// Returns the applied revision; `None` before the first one.
    #[must_use]
    pub fn applied(&self) -> Option<Revision> {
        self.applied
    }

    /// Returns the highest revision that a witness of the group has reported. If it is above the applied one, the
    /// configuration has to be fetched.
    #[must_use]
    pub fn highest_reported(&self) -> Option<Revision> {
        let replies = self.replies.values().flatten();
        replies.map(|reply| reply.revision).max()
    }

    /// Recalculates the end of freshness.
    fn update(&mut self) {
        let Some(applied) = self.applied else { return };
        let latest_polls = self.replies.values().filter_map(|replies| {
            let counted = replies.iter().filter(|reply| reply.revision <= applied);
            counted.map(|reply| reply.sent_at).max()
        });
        let polled_at = majority_value(self.group.majority(), latest_polls);
        self.fresh_until = polled_at.map(|at| at + MAX_POLL_AGE);
    }
}

/// Tracks which revision a majority of the witnesses has stored; owned by the control leader.
#[derive(Debug, Clone)]
pub struct Propagation {
    group: WitnessGroup,
    stored: BTreeMap<InstanceId, RevisionReply>,
    acknowledged: Option<Revision>,
}

impl Propagation {
    /// Creates the state before any acknowledged revision.
    #[must_use]
    pub fn new(group: WitnessGroup) -> Self {
        Self {
            group,
            stored: BTreeMap::new(),
            acknowledged: None,
        }
    }

    /// Records that a witness has stored `revision`, in reply to a push that was sent at the local time `sent_at`.
    ///
    /// Replies count for [`VOTE_VALIDITY`], so a revision has to be pushed repeatedly until [`Self::acknowledged`]
    /// reaches it.
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
        let reply = RevisionReply { sent_at, revision };
        let stored = self.stored.entry(witness.clone()).or_insert(reply);
        if sent_at >= stored.sent_at {
            *stored = reply;
        }
        let valid = self
            .stored
            .values()
            .filter(|reply| now.saturating_sub(reply.sent_at) <= VOTE_VALIDITY);
        let stored_by_majority =
            majority_value(self.group.majority(), valid.map(|reply| reply.revision));
        self.acknowledged = self.acknowledged.max(stored_by_majority);
    }

    /// Returns the highest revision that a majority has stored. Every instance without it stops admitting requests
    /// within [`FRESHNESS_LIMIT`].
    #[must_use]
    pub fn acknowledged(&self) -> Option<Revision> {
        self.acknowledged
    }

    /// Replaces the group by one of a higher generation, to which the revisions have to be pushed again.
    pub fn set_group(&mut self, group: WitnessGroup) {
        if group.generation > self.group.generation {
            self.group = group;
            self.stored.clear();
        }
    }
}
