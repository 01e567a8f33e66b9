//! Recovery of a restarted witness from the state of its peers, and the start of a generation.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use radishpaddle_model::{InstanceId, Revision};

use super::message::{
    GenerationError, GenerationStart, RecoverRequest, WitnessCopy, WitnessMessage,
};
use super::{BackendTable, InstanceTable, Phase, Serving, Witness};
use crate::claim::ClaimRegister;
use crate::group::{InstanceIncarnation, RESTART_QUIET_PERIOD, WitnessGroup};
use crate::lease::Election;

/// Time between two requests for state copies.
const COPY_REQUEST_PERIOD: Duration = Duration::from_secs(1);

/// State of a recovering witness: the copies received so far, with their time of receipt.
#[derive(Debug, Clone)]
pub(super) struct Recovery {
    peers: BTreeSet<InstanceId>,
    copies: BTreeMap<InstanceId, (Duration, WitnessCopy)>,
    started_at: Duration,
    next_request_at: Duration,
}

impl Recovery {
    pub(super) fn new(peers: BTreeSet<InstanceId>, now: Duration) -> Self {
        Self {
            peers,
            copies: BTreeMap::new(),
            started_at: now,
            next_request_at: now + RESTART_QUIET_PERIOD,
        }
    }

    /// Returns the requests for copies that are due. None is sent before [`RESTART_QUIET_PERIOD`] has passed, because
    /// an earlier copy may lack the effects of a majority that contains a reply of the previous incarnation.
    pub(super) fn tick(
        &mut self,
        life: &InstanceIncarnation,
        now: Duration,
    ) -> Vec<(InstanceId, WitnessMessage)> {
        if now < self.next_request_at {
            return Vec::new();
        }
        self.next_request_at = now + COPY_REQUEST_PERIOD;
        let request = RecoverRequest {
            witness: life.clone(),
        };
        let missing = self
            .peers
            .iter()
            .filter(|peer| !self.copies.contains_key(*peer));
        missing
            .map(|peer| (peer.clone(), WitnessMessage::Recover(request.clone())))
            .collect()
    }

    /// Returns the group of the highest generation among the copies, if a majority of it has sent copies and it
    /// contains this witness.
    fn recovered_group(&self, id: &InstanceId) -> Option<WitnessGroup> {
        let copies = self.copies.values().map(|(_, copy)| copy);
        let latest = copies.clone().max_by_key(|copy| copy.group.generation)?;
        let group = &latest.group;
        let counted = copies.filter(|copy| group.admits(copy.group.generation, &copy.from));
        let complete = counted.count() >= group.majority() && group.witnesses.contains(id);
        complete.then(|| group.clone())
    }
}

impl Witness {
    /// Returns a copy of the state for a witness that has restarted. `None` while this one recovers itself.
    #[must_use]
    pub fn copy_for(&self, now: Duration, request: &RecoverRequest) -> Option<WitnessCopy> {
        let serving = self.serving()?;
        Some(WitnessCopy {
            request: request.clone(),
            from: self.life.instance.clone(),
            group: serving.group.clone(),
            revision: serving.revision,
            instances: serving.instances.copies(now),
            backends: serving.backends.copies(now),
            claims: serving.claims.copies(now).collect(),
            claims_refused_for: serving.claims.refused_until().saturating_sub(now),
            promise: serving.election.promise().cloned(),
        })
    }

    /// Adds the state copy of a peer. The witness serves again once a majority of the group, itself not counted, has
    /// sent copies.
    pub fn on_copy(&mut self, now: Duration, copy: WitnessCopy) {
        let own = copy.request.witness == self.life;
        let Phase::Recovering(recovery) = &mut self.phase else {
            return;
        };
        if !own || copy.from == self.life.instance {
            return;
        }
        recovery.copies.insert(copy.from.clone(), (now, copy));
        if let Some(group) = recovery.recovered_group(&self.life.instance) {
            let started_at = recovery.started_at;
            let copies = std::mem::take(&mut recovery.copies);
            self.start_serving(now, started_at, group, copies.into_values());
        }
    }

    /// Starts a generation, with empty state if this witness was recovering.
    ///
    /// # Errors
    /// Returns an error if the message is for another witness or incarnation, the witness is not a member of the
    /// group, or the generation is not higher than the current one.
    pub fn start_generation(
        &mut self,
        now: Duration,
        start: &GenerationStart,
    ) -> Result<(), GenerationError> {
        if start.witness != self.life {
            return Err(GenerationError::OtherIncarnation);
        }
        if !start.group.witnesses.contains(&self.life.instance) {
            return Err(GenerationError::NotInGroup);
        }
        if let Some(group) = self
            .group()
            .filter(|group| group.generation >= start.group.generation)
        {
            return Err(GenerationError::NotHigher(group.generation));
        }
        if self.is_recovering() {
            self.start_serving(now, now, start.group.clone(), std::iter::empty());
        }
        let life = self.life.clone();
        if let Some(serving) = self.serving_mut() {
            serving.group = start.group.clone();
            serving.revision = serving.revision.max(start.revision);
            serving.election = Election::new(life, start.group.clone(), now);
            if start.claims_lost {
                serving.claims.refuse_for_retention(now);
            }
        }
        Ok(())
    }

    /// Merges the copies and leaves the recovery phase.
    fn start_serving(
        &mut self,
        now: Duration,
        started_at: Duration,
        group: WitnessGroup,
        copies: impl Iterator<Item = (Duration, WitnessCopy)>,
    ) {
        let election = Election::new(self.life.clone(), group.clone(), started_at);
        let mut serving = Serving {
            group,
            revision: Revision(0),
            instances: InstanceTable::new(self.life.incarnation),
            backends: BackendTable::new(self.life.incarnation),
            claims: ClaimRegister::new(self.claim_settings.clone()),
            election,
        };
        for (received_at, copy) in copies {
            serving.merge(now, received_at, copy);
        }
        self.phase = Phase::Serving(Box::new(serving));
    }
}

impl Serving {
    fn merge(&mut self, now: Duration, received_at: Duration, copy: WitnessCopy) {
        self.revision = self.revision.max(copy.revision);
        for instance in copy.instances {
            self.instances.merge(received_at, instance);
        }
        for backend in &copy.backends {
            self.backends.merge(received_at, backend);
        }
        for claim in &copy.claims {
            self.claims.merge(received_at, claim);
        }
        self.claims
            .extend_refusal(received_at + copy.claims_refused_for);
        if let Some(promise) = copy.promise {
            self.election.adopt(now, promise);
        }
    }
}
