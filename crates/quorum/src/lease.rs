//! Election of the witness leader by a quorum lease (design sections 3 and 5).
//!
//! The holder counts its lease from the time at which it sent the request, a granter counts from the time of the grant,
//! and grants last longer by more than the difference of two clock rates. Two holders at the same time would need a
//! granter that promised both.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use radishpaddle_model::InstanceId;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::group::{Epoch, Generation, Life, RESTART_HOLD, WitnessGroup, reached_by};

/// Time for which a holder may act after it sent a renewal that a majority granted.
pub const LEASE: Duration = Duration::from_millis(1250);

/// Time for which a granter of a renewal grants nobody else; more than [`LEASE`] by 6 %, clock rates differ by at most 2 %.
pub const GRANT: Duration = Duration::from_millis(1325);

/// Time for which a new holder may act after it sent its campaign; its first renewal extends that.
const CAMPAIGN_LEASE: Duration = Duration::from_millis(180);

/// Time for which a granter of a campaign grants nobody else. Short, because a split election ends only then.
const CAMPAIGN_GRANT: Duration = Duration::from_millis(190);

/// Time between two requests of the holder.
pub const RENEWAL_PERIOD: Duration = Duration::from_millis(250);

/// Age of the last majority at which the holder stops renewing. A holder that cannot hear must not keep the granters
/// bound; together with [`GRANT`] this keeps the time without a leader under 3 s.
pub const RENEWAL_LIMIT: Duration = Duration::from_millis(800);

/// Time after which an unanswered probe or campaign is given up. Several split elections have to fit into 3 s.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest random delay before a probe; spreads the candidates.
const ELECTION_DELAY_MS: u64 = 200;

/// Requests whose answers still count; covers [`LEASE`].
const ROUNDS_KEPT: usize = 8;

/// Why a lease request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseKind {
    /// Asks whether a campaign would be granted; binds nobody.
    Probe,
    /// Asks for a grant.
    Campaign,
    /// Asks for a longer grant; the sender holds the lease.
    Renewal,
}

/// Request from one witness to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Generation of the sender.
    pub generation: Generation,
    /// Sender.
    pub candidate: Life,
    /// Epoch asked for; ignored in a probe.
    pub epoch: Epoch,
    /// Number of the request, to be repeated in the answer.
    pub number: u64,
    /// Why it is sent.
    pub kind: LeaseKind,
    /// Whether the sender keeps at most one request of burst per limit for itself; see [`LeaseMember::set_ready`].
    pub ready: bool,
}

/// Answer to a [`LeaseRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseReply {
    /// Generation of the granter.
    pub generation: Generation,
    /// Granter.
    pub witness: InstanceId,
    /// Receiver of the answer.
    pub candidate: Life,
    /// Number of the request.
    pub number: u64,
    /// Whether the request is granted.
    pub granted: bool,
    /// Highest epoch that the granter has granted.
    pub highest_epoch: Epoch,
}

/// Holder of the lease as a witness knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Leader {
    /// The instance.
    pub life: Life,
    /// Epoch of its lease.
    pub epoch: Epoch,
}

/// Lease of a witness that holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leadership {
    /// Current epoch; grows within one unbroken lease when a witness had promised a higher one to somebody else.
    pub epoch: Epoch,
    /// Epoch in which the unbroken lease began. State of the leader is bound to it.
    pub since_epoch: Epoch,
    /// Local time at which the lease ends unless it is renewed.
    pub until: Duration,
}

/// What a witness has granted last; part of the copy for a recovering witness.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Promise {
    /// Granted epoch.
    pub epoch: Epoch,
    /// Receiver of the grant.
    pub candidate: Life,
    /// Whether the receiver was ready; see [`LeaseMember::set_ready`].
    pub ready: bool,
}

/// One witness as granter, candidate and holder.
#[derive(Debug, Clone)]
pub struct LeaseMember {
    life: Life,
    group: WitnessGroup,
    grants_from: Duration,
    granted: Option<Granted>,
    role: Role,
    next_at: Option<Duration>,
    held_since: Duration,
    rounds: VecDeque<Round>,
    next_number: u64,
    highest_epoch: Epoch,
    predecessor: Option<Life>,
    ready: bool,
}

#[derive(Debug, Clone)]
struct Granted {
    promise: Promise,
    until: Duration,
    holds: bool,
}

#[derive(Debug, Clone, Copy)]
struct Round {
    number: u64,
    sent_at: Duration,
    kind: LeaseKind,
    epoch: Epoch,
}

/// Grants by witness: when the lease ends that the grant supports, and for which epoch.
type Grants = BTreeMap<InstanceId, (Duration, Epoch)>;

#[derive(Debug, Clone)]
enum Role {
    Follower,
    Probing(Grants),
    Candidate(Grants),
    Holder {
        since_epoch: Epoch,
        epoch: Epoch,
        wanted: Epoch,
        grants: Grants,
    },
}

impl LeaseMember {
    /// Member that has just started and remembers no grant. It grants nothing before [`RESTART_HOLD`] has passed.
    #[must_use]
    pub fn new(life: Life, group: WitnessGroup, now: Duration) -> Self {
        let highest_epoch = Epoch::floor(group.generation);
        Self {
            life,
            group,
            grants_from: now + RESTART_HOLD,
            granted: None,
            role: Role::Follower,
            next_at: None,
            held_since: now,
            rounds: VecDeque::new(),
            next_number: 0,
            highest_epoch,
            predecessor: None,
            ready: false,
        }
    }

    /// Continues with the last grant that a majority of other witnesses remembers.
    pub fn adopt(&mut self, now: Duration, promise: Promise) {
        if promise.epoch > self.highest_epoch {
            self.highest_epoch = promise.epoch;
            self.granted = Some(Granted {
                promise,
                until: now + GRANT,
                holds: false,
            });
        }
    }

    /// Last grant, for a recovering witness.
    #[must_use]
    pub fn promise(&self) -> Option<&Promise> {
        self.granted.as_ref().map(|granted| &granted.promise)
    }

    /// The lease if this witness holds it at the local time `now`.
    #[must_use]
    pub fn leadership(&self, now: Duration) -> Option<Leadership> {
        let Role::Holder {
            since_epoch,
            epoch,
            grants,
            ..
        } = &self.role
        else {
            return None;
        };
        let until = self.majority_until(grants)?;
        (now < until).then_some(Leadership {
            epoch: *epoch,
            since_epoch: *since_epoch,
            until,
        })
    }

    /// Life that held the lease before this one, if nobody else can have held it in between and it was ready.
    #[must_use]
    pub fn predecessor(&self) -> Option<&Life> {
        self.predecessor.as_ref()
    }

    /// Tells the granters that this holder keeps no rate and at most one request of burst per limit for itself, and will
    /// not take more while it holds the lease. Its successor then need not wait for its allocations to expire.
    pub fn set_ready(&mut self) {
        self.ready = matches!(self.role, Role::Holder { .. });
    }

    /// Holder that this witness knows; the holder may have changed meanwhile.
    #[must_use]
    pub fn known_leader(&self, now: Duration) -> Option<Leader> {
        let granted = self.granted.as_ref()?;
        (granted.holds && now < granted.until).then(|| Leader {
            life: granted.promise.candidate.clone(),
            epoch: granted.promise.epoch,
        })
    }

    /// Next requests to send. Call it at least every 50 ms.
    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<(InstanceId, LeaseRequest)> {
        if matches!(self.role, Role::Holder { .. }) && self.leadership(now).is_none() {
            self.role = Role::Follower;
            self.next_at = None;
        }
        if self.next_at.is_some_and(|at| now < at) {
            return Vec::new();
        }
        match &self.role {
            Role::Follower => self.start_probe(now, rng),
            Role::Probing(_) | Role::Candidate(_) => {
                self.role = Role::Follower;
                self.next_at = Some(now + election_delay(rng));
                Vec::new()
            }
            Role::Holder { wanted, grants, .. } => {
                let (epoch, until) = (*wanted, self.majority_until(grants));
                if until.is_none_or(|until| {
                    now + LEASE > until + RENEWAL_LIMIT && now > self.held_since + RENEWAL_LIMIT
                }) {
                    return Vec::new();
                }
                self.next_at = Some(now + RENEWAL_PERIOD);
                self.send_round(now, LeaseKind::Renewal, epoch)
            }
        }
    }

    /// Answer to a request of another witness; `None` when it is not for this generation or comes too early.
    pub fn on_request(&mut self, now: Duration, request: &LeaseRequest) -> Option<LeaseReply> {
        let admitted = self
            .group
            .admits(request.generation, &request.candidate.instance);
        if !admitted || now < self.grants_from {
            return None;
        }
        let granted = match request.kind {
            LeaseKind::Probe => self.is_free_for(now, request),
            LeaseKind::Campaign | LeaseKind::Renewal => self.grant(now, request),
        };
        Some(LeaseReply {
            generation: self.group.generation,
            witness: self.life.instance.clone(),
            candidate: request.candidate.clone(),
            number: request.number,
            granted,
            highest_epoch: self.highest_epoch,
        })
    }

    /// Takes the answer of another witness. Returns requests that are to be sent at once.
    pub fn on_reply(
        &mut self,
        now: Duration,
        reply: &LeaseReply,
    ) -> Vec<(InstanceId, LeaseRequest)> {
        let own = reply.candidate == self.life;
        if !own || !self.group.admits(reply.generation, &reply.witness) {
            return Vec::new();
        }
        let Some(round) = self
            .rounds
            .iter()
            .find(|round| round.number == reply.number)
        else {
            return Vec::new();
        };
        let round = *round;
        self.highest_epoch = self.highest_epoch.max(reply.highest_epoch);
        if !reply.granted {
            self.raise_epoch(&round, reply.highest_epoch);
            return Vec::new();
        }
        self.count_grant(now, &round, reply)
    }

    fn start_probe(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<(InstanceId, LeaseRequest)> {
        let bound = self
            .granted
            .as_ref()
            .is_some_and(|granted| now < granted.until);
        if bound || now < self.grants_from {
            self.next_at = None;
            return Vec::new();
        }
        if self.next_at.is_none() {
            self.next_at = Some(now + election_delay(rng));
            return Vec::new();
        }
        self.rounds.clear();
        self.role = Role::Probing(Grants::new());
        self.next_at = Some(now + ATTEMPT_TIMEOUT);
        self.send_round(now, LeaseKind::Probe, self.highest_epoch)
    }

    fn start_campaign(&mut self, now: Duration) -> Vec<(InstanceId, LeaseRequest)> {
        let last = self
            .promise()
            .filter(|promise| promise.ready && promise.epoch == self.highest_epoch);
        self.predecessor = last.map(|promise| promise.candidate.clone());
        self.ready = false;
        self.rounds.clear();
        self.role = Role::Candidate(Grants::new());
        self.next_at = Some(now + ATTEMPT_TIMEOUT);
        self.send_round(now, LeaseKind::Campaign, self.highest_epoch.next())
    }

    fn send_round(
        &mut self,
        now: Duration,
        kind: LeaseKind,
        epoch: Epoch,
    ) -> Vec<(InstanceId, LeaseRequest)> {
        self.next_number += 1;
        self.rounds.push_back(Round {
            number: self.next_number,
            sent_at: now,
            kind,
            epoch,
        });
        if self.rounds.len() > ROUNDS_KEPT {
            self.rounds.pop_front();
        }
        let request = LeaseRequest {
            generation: self.group.generation,
            candidate: self.life.clone(),
            epoch,
            number: self.next_number,
            kind,
            ready: self.ready,
        };
        let mut messages: Vec<_> = Vec::new();
        for witness in self
            .group
            .witnesses
            .iter()
            .filter(|witness| **witness != self.life.instance)
        {
            messages.push((witness.clone(), request.clone()));
        }
        if let Some(reply) = self.on_request(now, &request) {
            messages.extend(self.on_reply(now, &reply));
        }
        messages
    }

    fn is_free_for(&self, now: Duration, request: &LeaseRequest) -> bool {
        self.granted.as_ref().is_none_or(|granted| {
            granted.promise.candidate == request.candidate || now >= granted.until
        })
    }

    fn grant(&mut self, now: Duration, request: &LeaseRequest) -> bool {
        let repeated = self.promise().is_some_and(|promise| {
            promise.epoch == request.epoch && promise.candidate == request.candidate
        });
        let granted_epoch = self
            .promise()
            .map_or(Epoch::default(), |promise| promise.epoch);
        let higher = request.epoch > granted_epoch && self.is_free_for(now, request);
        if !repeated && !higher {
            return false;
        }
        let last = self
            .granted
            .take()
            .filter(|last| last.promise.candidate == request.candidate);
        let mut granted = Granted {
            promise: Promise {
                epoch: request.epoch,
                candidate: request.candidate.clone(),
                ready: request.ready,
            },
            until: now + grant_for(request.kind),
            holds: request.kind == LeaseKind::Renewal,
        };
        // A late copy of an earlier request must not take back what a later one was granted.
        if let Some(last) = last {
            granted.until = granted.until.max(last.until);
            granted.holds |= repeated && last.holds;
            granted.promise.ready |= repeated && last.promise.ready;
        }
        self.highest_epoch = self.highest_epoch.max(request.epoch);
        self.granted = Some(granted);
        true
    }

    fn count_grant(
        &mut self,
        now: Duration,
        round: &Round,
        reply: &LeaseReply,
    ) -> Vec<(InstanceId, LeaseRequest)> {
        let majority = self.group.majority();
        let ((Role::Probing(grants), LeaseKind::Probe)
        | (Role::Candidate(grants), LeaseKind::Campaign)
        | (Role::Holder { grants, .. }, LeaseKind::Campaign | LeaseKind::Renewal)) =
            (&mut self.role, round.kind)
        else {
            return Vec::new();
        };
        let grant = (round.sent_at + lease_for(round.kind), round.epoch);
        let counted = grants.entry(reply.witness.clone()).or_insert(grant);
        *counted = grant.max(*counted);
        let complete = grants.len() >= majority;
        let confirmed = reached_by(majority, grants.values().map(|(_, epoch)| *epoch));
        match &mut self.role {
            Role::Probing(_) if complete => self.start_campaign(now),
            Role::Candidate(grants) if complete && now < grant.0 => {
                let grants = std::mem::take(grants);
                self.role = Role::Holder {
                    since_epoch: round.epoch,
                    epoch: round.epoch,
                    wanted: round.epoch,
                    grants,
                };
                self.held_since = now;
                self.next_at = Some(now + RENEWAL_PERIOD);
                self.send_round(now, LeaseKind::Renewal, round.epoch)
            }
            Role::Holder { epoch, wanted, .. } if confirmed == Some(*wanted) => {
                *epoch = *wanted;
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// A holder whose epoch a witness has left behind asks for a higher one, so that it gets that witness back. A split
    /// election leaves such witnesses; without this the holder keeps a bare majority.
    fn raise_epoch(&mut self, round: &Round, highest: Epoch) {
        if let Role::Holder { wanted, .. } = &mut self.role
            && round.kind == LeaseKind::Renewal
            && highest >= *wanted
        {
            *wanted = highest.next();
        }
    }

    fn majority_until(&self, grants: &Grants) -> Option<Duration> {
        reached_by(
            self.group.majority(),
            grants.values().map(|(until, _)| *until),
        )
    }
}

fn lease_for(kind: LeaseKind) -> Duration {
    match kind {
        LeaseKind::Probe | LeaseKind::Campaign => CAMPAIGN_LEASE,
        LeaseKind::Renewal => LEASE,
    }
}

fn grant_for(kind: LeaseKind) -> Duration {
    match kind {
        LeaseKind::Probe | LeaseKind::Campaign => CAMPAIGN_GRANT,
        LeaseKind::Renewal => GRANT,
    }
}

fn election_delay(rng: &mut impl Rng) -> Duration {
    Duration::from_millis(rng.random_range(0..=ELECTION_DELAY_MS))
}
