//! Restart of a witness without memory, and the start of a generation.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use radishpaddle_model::{InstanceId, Revision};

use super::message::{
    GenerationError, GenerationStart, RecoverRequest, WitnessCopy, WitnessMessage,
};
use super::{BackendTable, InstanceTable, Phase, Serving, Witness};
use crate::claim::ClaimRegister;
use crate::group::{Life, RESTART_QUIET_PERIOD, WitnessGroup};
use crate::lease::Election;

/// Time between two requests for copies.
const REQUEST_PERIOD: Duration = Duration::from_secs(1);

/// What a recovering witness has collected.
#[derive(Debug, Clone)]
pub(super) struct Recovery {
    peers: BTreeSet<InstanceId>,
    copies: BTreeMap<InstanceId, (Duration, WitnessCopy)>,
    started_at: Duration,
    next_at: Duration,
}

impl Recovery {
    pub(super) fn new(peers: BTreeSet<InstanceId>, now: Duration) -> Self {
        Self {
            peers,
            copies: BTreeMap::new(),
            started_at: now,
            next_at: now + RESTART_QUIET_PERIOD,
        }
    }

    /// Requests for copies. None is sent before [`RESTART_QUIET_PERIOD`] has passed: a copy that is taken earlier can lack a
    /// majority that counts an answer of the earlier life.
    pub(super) fn tick(&mut self, life: &Life, now: Duration) -> Vec<(InstanceId, WitnessMessage)> {
        if now < self.next_at {
            return Vec::new();
        }
        self.next_at = now + REQUEST_PERIOD;
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

    /// The group whose majority has sent copies, in the highest generation seen.
    fn complete_group(&self, id: &InstanceId) -> Option<WitnessGroup> {
        let copies = self.copies.values().map(|(_, copy)| copy);
        let latest = copies.clone().max_by_key(|copy| copy.group.generation)?;
        let group = &latest.group;
        let counted = copies.filter(|copy| group.admits(copy.group.generation, &copy.from));
        let complete = counted.count() >= group.majority() && group.witnesses.contains(id);
        complete.then(|| group.clone())
    }
}

impl Witness {
    /// Copy of the state for a witness that has restarted. `None` while this one recovers itself.
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
            promise: serving.lease.promise().cloned(),
        })
    }

    /// Takes a copy. The witness answers again once a majority of the group, itself not counted, has sent one.
    pub fn on_copy(&mut self, now: Duration, copy: WitnessCopy) {
        let own = copy.request.witness == self.life;
        let Phase::Recovering(recovery) = &mut self.phase else {
            return;
        };
        if !own || copy.from == self.life.instance {
            return;
        }
        recovery.copies.insert(copy.from.clone(), (now, copy));
        if let Some(group) = recovery.complete_group(&self.life.instance) {
            let started_at = recovery.started_at;
            let copies = std::mem::take(&mut recovery.copies);
            self.serve(now, started_at, group, copies.into_values());
        }
    }

    /// Starts a generation, without state if this witness was recovering.
    ///
    /// # Errors
    /// The message is for another life of the witness, the witness is not in the group, or the generation is not higher.
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
            self.serve(now, now, start.group.clone(), std::iter::empty());
        }
        let life = self.life.clone();
        if let Some(serving) = self.serving_mut() {
            serving.group = start.group.clone();
            serving.revision = serving.revision.max(start.revision);
            serving.lease = Election::new(life, start.group.clone(), now);
            if start.claims_lost {
                serving.claims.refuse_for_retention(now);
            }
        }
        Ok(())
    }

    fn serve(
        &mut self,
        now: Duration,
        started_at: Duration,
        group: WitnessGroup,
        copies: impl Iterator<Item = (Duration, WitnessCopy)>,
    ) {
        let lease = Election::new(self.life.clone(), group.clone(), started_at);
        let mut serving = Serving {
            group,
            revision: Revision(0),
            instances: InstanceTable::new(self.life.incarnation),
            backends: BackendTable::new(self.life.incarnation),
            claims: ClaimRegister::new(self.claim_settings.clone()),
            lease,
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
            self.lease.adopt(now, promise);
        }
    }
}
