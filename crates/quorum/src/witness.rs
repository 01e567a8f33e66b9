//! State of one witness: revision register, membership, backend servers, claims and lease (design section 3).
//!
//! A witness that has just started knows nothing. It answers nothing until it has merged the copies of a majority of the
//! group, all of them taken later than [`RESTART_QUIET_PERIOD`](crate::group::RESTART_QUIET_PERIOD) after its start, or until control has
//! started a new generation with it.

mod backends;
mod instances;
mod message;
mod recovery;

use std::time::Duration;

use radishpaddle_model::{Announcement, InstanceId, Revision};
use rand::Rng;

pub use backends::{Announced, BackendKey, BackendTable, LEASE_EXPIRY, TOMBSTONE_RETENTION};
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
use crate::group::{Generation, Life, WitnessGroup};
use crate::lease::{Election, Leader, Leadership, LeaseReply, LeaseRequest};
use crate::table::{Cursor, Delta};
use recovery::Recovery;

/// One witness.
#[derive(Debug, Clone)]
pub struct Witness {
    life: Life,
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
    lease: Election,
}

impl Witness {
    /// Witness that has just started. `peers` are the instances to ask for copies.
    #[must_use]
    pub fn new(
        life: Life,
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

    /// The witness.
    #[must_use]
    pub fn life(&self) -> &Life {
        &self.life
    }

    /// Whether the witness still lacks the state of its earlier life.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        matches!(self.phase, Phase::Recovering(_))
    }

    /// The group in which the witness answers; `None` while it recovers.
    #[must_use]
    pub fn group(&self) -> Option<&WitnessGroup> {
        self.serving().map(|serving| &serving.group)
    }

    /// Highest stored revision; `None` while the witness recovers.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.serving().map(|serving| serving.revision)
    }

    /// The lease if this witness is the leader at the local time `now`.
    #[must_use]
    pub fn leadership(&self, now: Duration) -> Option<Leadership> {
        self.serving()?.lease.leadership(now)
    }

    /// Leader that the witness knows.
    #[must_use]
    pub fn known_leader(&self, now: Duration) -> Option<Leader> {
        self.serving()?.lease.known_leader(now)
    }

    /// Life that held the lease before this leader, if what it held is known to be little; see
    /// [`Election::predecessor`].
    #[must_use]
    pub fn predecessor(&self) -> Option<&Life> {
        self.serving()?.lease.predecessor()
    }

    /// Tells the other witnesses that this leader holds almost no allocation itself; see [`Election::set_ready`].
    pub fn set_ready(&mut self) {
        if let Some(serving) = self.serving_mut() {
            serving.lease.set_ready();
        }
    }

    /// Members as this witness knows them; `None` while it recovers.
    #[must_use]
    pub fn instances(&self) -> Option<&InstanceTable> {
        self.serving().map(|serving| &serving.instances)
    }

    /// Backend servers as this witness knows them; `None` while it recovers.
    #[must_use]
    pub fn backends(&self) -> Option<&BackendTable> {
        self.serving().map(|serving| &serving.backends)
    }

    /// Claims of this witness; `None` while it recovers.
    #[must_use]
    pub fn claims(&self) -> Option<&ClaimRegister> {
        self.serving().map(|serving| &serving.claims)
    }

    /// Expires what is due and returns the messages to send. Call it at least every 50 ms.
    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<(InstanceId, WitnessMessage)> {
        match &mut self.phase {
            Phase::Recovering(recovery) => recovery.tick(&self.life, now),
            Phase::Serving(serving) => {
                serving.instances.expire(now);
                let known = serving
                    .instances
                    .known_backend_version(serving.backends.cursor());
                serving.backends.expire(now, known);
                serving.claims.expire(now);
                lease_messages(serving.lease.tick(now, rng))
            }
        }
    }

    /// Answers a poll. `None` while the witness recovers.
    pub fn poll(&mut self, now: Duration, request: &PollRequest) -> Option<PollReply> {
        let life = self.life.clone();
        let serving = self.serving_mut()?;
        serving.instances.hear(now, request);
        let outdated = request.generation != serving.group.generation;
        Some(PollReply {
            generation: serving.group.generation,
            witness: life,
            number: request.number,
            revision: serving.revision,
            leader: serving.lease.known_leader(now),
            instances: serving.instances.delta_since(request.instances),
            group: outdated.then(|| serving.group.clone()),
        })
    }

    /// Stores a revision; call it once the content is in memory. `None` while the witness recovers or when the push is
    /// for another generation.
    pub fn store(&mut self, generation: Generation, revision: Revision) -> Option<StoreReply> {
        let id = self.life.instance.clone();
        let serving = self.serving_of(generation)?;
        serving.revision = serving.revision.max(revision);
        Some(StoreReply {
            generation,
            witness: id,
            revision: serving.revision,
        })
    }

    /// Merges an announcement of a backend server. `None` while the witness recovers.
    pub fn announce(&mut self, now: Duration, announcement: &Announcement) -> Option<Announced> {
        Some(self.serving_mut()?.backends.announce(now, announcement))
    }

    /// Changes of the backend servers for a reader at `cursor`. `None` while the witness recovers.
    ///
    /// The position of the reader is remembered: what every live reader has seen may be forgotten.
    pub fn backend_delta(
        &mut self,
        reader: &Life,
        cursor: Cursor,
    ) -> Option<Delta<BackendKey, Announcement>> {
        let serving = self.serving_mut()?;
        serving.instances.acknowledge_backends(reader, cursor);
        Some(serving.backends.delta_since(cursor))
    }

    /// Votes on a claim. `None` while the witness recovers.
    pub fn claim(&mut self, now: Duration, request: &ClaimRequest) -> Option<ClaimReply> {
        let id = self.life.instance.clone();
        let serving = self.serving_of(request.generation)?;
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

    /// Records the outcome of an attempt, also one of an earlier generation. `None` while the witness recovers.
    pub fn complete(&mut self, now: Duration, request: &CompleteRequest) -> Option<CompleteReply> {
        let witness = self.life.instance.clone();
        let stored = self.serving_mut()?.claims.complete(now, request);
        Some(CompleteReply {
            witness,
            attempt: request.attempt.clone(),
            stored,
        })
    }

    /// Frees the claim of an attempt. `None` while the witness recovers or when its memory is used up.
    pub fn abandon(&mut self, now: Duration, request: &AbandonRequest) -> Option<AbandonReply> {
        let witness = self.life.instance.clone();
        let stored = self.serving_mut()?.claims.abandon(now, request);
        stored.then(|| AbandonReply {
            witness,
            attempt: request.attempt.clone(),
        })
    }

    /// Answers a lease request. `None` while the witness recovers.
    pub fn on_lease_request(
        &mut self,
        now: Duration,
        request: &LeaseRequest,
    ) -> Option<LeaseReply> {
        self.serving_mut()?.lease.on_request(now, request)
    }

    /// Takes the answer to a lease request and returns the messages to send.
    pub fn on_lease_reply(
        &mut self,
        now: Duration,
        reply: &LeaseReply,
    ) -> Vec<(InstanceId, WitnessMessage)> {
        let serving = self.serving_mut();
        serving.map_or_else(Vec::new, |serving| {
            lease_messages(serving.lease.on_reply(now, reply))
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

    fn serving_of(&mut self, generation: Generation) -> Option<&mut Serving> {
        self.serving_mut()
            .filter(|serving| serving.group.generation == generation)
    }
}

fn lease_messages(requests: Vec<(InstanceId, LeaseRequest)>) -> Vec<(InstanceId, WitnessMessage)> {
    let message = |(to, request)| (to, WitnessMessage::Lease(request));
    requests.into_iter().map(message).collect()
}
