//! State of one witness: configuration revision, membership, backend servers, claims and leader election (design
//! section 3).
//!
//! A witness keeps its state in memory only and loses it in a restart. After its start it answers nothing until it has
//! merged state copies of a majority of the group, all of them taken later than
//! [`RESTART_QUIET_PERIOD`](crate::group::RESTART_QUIET_PERIOD) after its start, or until control has started a new
//! generation with it.

mod backends;
mod instances;
mod message;
mod recovery;

use std::time::Duration;

use radishpaddle_model::{Announcement, InstanceId, Revision};
use rand::Rng;

pub use backends::{
    AnnounceOutcome, BACKEND_LEASE_DURATION, BackendKey, BackendTable, TOMBSTONE_RETENTION,
};
pub use instances::{
    INSTANCE_EXPIRY, INSTANCE_RETENTION, InstanceRecord, InstanceState, InstanceTable,
    MembershipView,
};
pub use message::{
    BackendCopy, GenerationError, GenerationStart, InstanceCopy, PollReply, PollRequest,
    RecoverRequest, StoreReply, WitnessCopy, WitnessMessage,
};

use crate::claim::{
    AbandonReply, AbandonRequest, AttemptId, ClaimRegister, ClaimReply, ClaimRequest,
    ClaimSettings, CompleteReply, CompleteRequest,
};
use crate::group::{Generation, InstanceIncarnation, WitnessGroup};
use crate::lease::{Election, Leader, Leadership, LeaseReply, LeaseRequest};
use crate::table::{Cursor, Delta};
use recovery::Recovery;

/// State machine of one witness.
#[derive(Debug, Clone)]
pub struct Witness {
    life: InstanceIncarnation,
    claim_settings: ClaimSettings,
    phase: Phase,
}

#[derive(Debug, Clone)]
enum Phase {
    Recovering(Recovery),
    Serving(Box<Serving>),
}

#[derive(Debug, Clone)]
struct Serving {
    group: WitnessGroup,
    revision: Revision,
    instances: InstanceTable,
    backends: BackendTable,
    claims: ClaimRegister,
    election: Election,
}

impl Witness {
    /// Creates a witness that has just started. `peers` are the instances to request state copies from.
    #[must_use]
    pub fn new(
        life: InstanceIncarnation,
        peers: impl IntoIterator<Item = InstanceId>,
        claim_settings: ClaimSettings,
        now: Duration,
    ) -> Self {
        let peers = peers
            .into_iter()
            .filter(|peer| *peer != life.instance)
            .collect();
        Self {
            life,
            claim_settings,
            phase: Phase::Recovering(Recovery::new(peers, now)),
        }
    }

    /// Returns the instance and incarnation of this witness.
    #[must_use]
    pub fn life(&self) -> &InstanceIncarnation {
        &self.life
    }

    /// Returns whether the witness has not yet recovered its state since its start.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        matches!(self.phase, Phase::Recovering(_))
    }

    /// Returns the witness group that this witness serves; `None` while it recovers.
    #[must_use]
    pub fn group(&self) -> Option<&WitnessGroup> {
        self.serving().map(|serving| &serving.group)
    }

    /// Returns the highest stored revision; `None` while the witness recovers.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.serving().map(|serving| serving.revision)
    }

    /// Returns the lease if this witness is the leader at the local time `now`.
    #[must_use]
    pub fn leadership(&self, now: Duration) -> Option<Leadership> {
        self.serving()?.election.leadership(now)
    }

    /// Returns the leader that this witness knows. It may no longer hold the lease.
    #[must_use]
    pub fn known_leader(&self, now: Duration) -> Option<Leader> {
        self.serving()?.election.known_leader(now)
    }

    /// Returns the previous leader if its own allocations are known to be minimal; see [`Election::predecessor`].
    #[must_use]
    pub fn predecessor(&self) -> Option<&InstanceIncarnation> {
        self.serving()?.election.predecessor()
    }

    /// Announces to the other witnesses that the own allocations of this leader are minimal; see
    /// [`Election::set_handover_ready`].
    pub fn set_handover_ready(&mut self) {
        if let Some(serving) = self.serving_mut() {
            serving.election.set_handover_ready();
        }
    }

    /// Returns the members that this witness knows; `None` while it recovers.
    #[must_use]
    pub fn instances(&self) -> Option<&InstanceTable> {
        self.serving().map(|serving| &serving.instances)
    }

    /// Returns the backend servers that this witness knows; `None` while it recovers.
    #[must_use]
    pub fn backends(&self) -> Option<&BackendTable> {
        self.serving().map(|serving| &serving.backends)
    }

    /// Returns the claim register of this witness; `None` while it recovers.
    #[must_use]
    pub fn claims(&self) -> Option<&ClaimRegister> {
        self.serving().map(|serving| &serving.claims)
    }

    /// Expires members, backend servers and claims, and returns the messages to send. Call it at least every 50 ms.
    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<(InstanceId, WitnessMessage)> {
        match &mut self.phase {
            Phase::Recovering(recovery) => recovery.tick(&self.life, now),
            Phase::Serving(serving) => {
                serving.instances.expire(now);
                let read_version = serving
                    .instances
                    .backend_version_read_by_all(serving.backends.cursor());
                serving.backends.expire(now, read_version);
                serving.claims.expire(now);
                lease_messages(serving.election.tick(now, rng))
            }
        }
    }

    /// Answers a poll. `None` while the witness recovers.
    pub fn poll(&mut self, now: Duration, request: &PollRequest) -> Option<PollReply> {
        let life = self.life.clone();
        let serving = self.serving_mut()?;
        serving.instances.record_poll(now, request);
        let other_generation = request.generation != serving.group.generation;
        Some(PollReply {
            generation: serving.group.generation,
            witness: life,
            number: request.number,
            revision: serving.revision,
            leader: serving.election.known_leader(now),
            instances: serving.instances.delta_since(request.instances),
            group: other_generation.then(|| serving.group.clone()),
        })
    }

    /// Records that this witness stores a configuration revision; call it once its content is in memory. `None` while
    /// the witness recovers or if the push is for another generation.
    pub fn store(&mut self, generation: Generation, revision: Revision) -> Option<StoreReply> {
        let id = self.life.instance.clone();
        let serving = self.serving_in(generation)?;
        serving.revision = serving.revision.max(revision);
        Some(StoreReply {
            generation,
            witness: id,
            revision: serving.revision,
        })
    }

    /// Merges an announcement of a backend server. `None` while the witness recovers.
    pub fn announce(
        &mut self,
        now: Duration,
        announcement: &Announcement,
    ) -> Option<AnnounceOutcome> {
        Some(self.serving_mut()?.backends.announce(now, announcement))
    }

    /// Returns the changes of the backend servers for a reader at `cursor`. `None` while the witness recovers.
    ///
    /// Records the position of the reader, because a draining or left backend server may be removed only once every
    /// live reader has read it.
    pub fn backend_delta(
        &mut self,
        reader: &InstanceIncarnation,
        cursor: Cursor,
    ) -> Option<Delta<BackendKey, Announcement>> {
        let serving = self.serving_mut()?;
        serving.instances.record_backend_cursor(reader, cursor);
        Some(serving.backends.delta_since(cursor))
    }

    /// Votes on a claim. `None` while the witness recovers or if the request is for another generation.
    pub fn claim(&mut self, now: Duration, request: &ClaimRequest) -> Option<ClaimReply> {
        let id = self.life.instance.clone();
        let serving = self.serving_in(request.generation)?;
        let instances = &serving.instances;
        let is_alive = |attempt: &AttemptId| instances.is_alive(&attempt.life);
        let vote = serving.claims.claim(now, request, is_alive);
        Some(ClaimReply {
            generation: request.generation,
            witness: id,
            attempt: request.attempt.clone(),
            vote,
        })
    }

    /// Records the outcome of an attempt, even of an earlier generation. `None` while the witness recovers.
    pub fn complete(&mut self, now: Duration, request: &CompleteRequest) -> Option<CompleteReply> {
        let witness = self.life.instance.clone();
        let stored = self.serving_mut()?.claims.complete(now, request);
        Some(CompleteReply {
            witness,
            attempt: request.attempt.clone(),
            stored,
        })
    }

    /// Releases the claim of an attempt. `None` while the witness recovers or if its memory for claims is used up.
    pub fn abandon(&mut self, now: Duration, request: &AbandonRequest) -> Option<AbandonReply> {
        let witness = self.life.instance.clone();
        let stored = self.serving_mut()?.claims.abandon(now, request);
        stored.then(|| AbandonReply {
            witness,
            attempt: request.attempt.clone(),
        })
    }

    /// Answers a lease request. `None` while the witness recovers or if [`Election::on_request`] gives no reply.
    pub fn on_lease_request(
        &mut self,
        now: Duration,
        request: &LeaseRequest,
    ) -> Option<LeaseReply> {
        self.serving_mut()?.election.on_request(now, request)
    }

    /// Processes the reply to a lease request and returns the messages to send.
    pub fn on_lease_reply(
        &mut self,
        now: Duration,
        reply: &LeaseReply,
    ) -> Vec<(InstanceId, WitnessMessage)> {
        let serving = self.serving_mut();
        serving.map_or_else(Vec::new, |serving| {
            lease_messages(serving.election.on_reply(now, reply))
        })
    }

    fn serving(&self) -> Option<&Serving> {
        match &self.phase {
            Phase::Serving(serving) => Some(serving),
            Phase::Recovering(_) => None,
        }
    }

    fn serving_mut(&mut self) -> Option<&mut Serving> {
        match &mut self.phase {
            Phase::Serving(serving) => Some(serving),
            Phase::Recovering(_) => None,
        }
    }

    /// Returns the state if the witness serves in the given generation.
    fn serving_in(&mut self, generation: Generation) -> Option<&mut Serving> {
        self.serving_mut()
            .filter(|serving| serving.group.generation == generation)
    }
}

fn lease_messages(requests: Vec<(InstanceId, LeaseRequest)>) -> Vec<(InstanceId, WitnessMessage)> {
    let message = |(to, request)| (to, WitnessMessage::Lease(request));
    requests.into_iter().map(message).collect()
}
