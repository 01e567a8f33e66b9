//! Election of the witness leader by a quorum lease (design sections 3 and 5).
//!
//! The leaseholder measures its lease from the time at which it sent the request, and a granter measures its grant from
//! the time at which it made it. Grants last longer than leases by more than the rates of two clocks may differ. Two
//! leaseholders at the same time would therefore need a witness that granted both at the same time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use radishpaddle_model::InstanceId;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::group::{
    Epoch, Generation, InstanceIncarnation, RESTART_QUIET_PERIOD, WitnessGroup, majority_value,
};

/// Duration of a renewed lease, from when the leaseholder sent the renewal that a majority granted.
pub const LEASE_DURATION: Duration = Duration::from_millis(1250);

/// Time after granting a renewal for which a witness grants nobody else. Exceeds [`LEASE_DURATION`] by 6 %; clock rates
/// differ by at most 2 %.
pub const GRANT_DURATION: Duration = Duration::from_millis(1325);

/// Duration of the first lease of a new leaseholder, from when it sent its campaign; its first renewal extends the
/// lease.
const CAMPAIGN_LEASE_DURATION: Duration = Duration::from_millis(180);

/// Time after granting a campaign for which a witness grants nobody else. Short, because a split election is resolved
/// only after it.
const CAMPAIGN_GRANT_DURATION: Duration = Duration::from_millis(190);

/// Time between two renewals of the leaseholder.
pub const RENEWAL_PERIOD: Duration = Duration::from_millis(250);

/// Age of the latest renewal with a majority of grants at which the leaseholder stops renewing. Without this limit, a
/// leaseholder that can send but not receive would keep the granters bound for ever. Together with [`GRANT_DURATION`]
/// it keeps the time without a leader below 3 s.
pub const RENEWAL_CUTOFF: Duration = Duration::from_millis(800);

/// Time after which a probe or campaign without a majority of grants is given up. Short enough for several split
/// elections within 3 s.
const ELECTION_ROUND_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum random delay before a probe, in milliseconds; keeps candidates from starting at the same time.
const MAX_ELECTION_DELAY_MS: u64 = 200;

/// Number of latest requests whose replies are still counted; the renewals sent within [`LEASE_DURATION`] are among
/// them.
const MAX_ROUNDS: usize = 8;

/// Purpose of a lease request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseKind {
    /// Asks whether a campaign would be granted, without binding the granter.
    Probe,
    /// Asks for the first grant of a new lease.
    Campaign,
    /// Asks to extend the grant; the sender holds the lease.
    Renewal,
}

/// Lease request from one witness to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Generation of the witness group that the sender belongs to.
    pub generation: Generation,
    /// Witness that sends the request.
    pub candidate: InstanceIncarnation,
    /// Requested epoch; ignored in a probe.
    pub epoch: Epoch,
    /// Number of the request, repeated in the reply.
    pub number: u64,
    /// Purpose of the request.
    pub kind: LeaseKind,
    /// Whether the sender holds no rate and at most one request of burst per limit for itself; see
    /// [`Election::set_handover_ready`].
    pub ready: bool,
}

/// Reply to a [`LeaseRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseReply {
    /// Generation of the witness group that the replying witness belongs to.
    pub generation: Generation,
    /// Witness that replies.
    pub witness: InstanceId,
    /// Sender of the request.
    pub candidate: InstanceIncarnation,
    /// Number of the answered request.
    pub number: u64,
    /// Whether the request is granted.
    pub granted: bool,
    /// Highest epoch that the replying witness has granted or seen.
    pub highest_epoch: Epoch,
}

/// Current leaseholder as far as a witness knows.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Leader {
    /// Leader instance and its incarnation.
    pub life: InstanceIncarnation,
    /// Epoch of its lease.
    pub epoch: Epoch,
}

/// Lease of the current leader, as the leader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leadership {
    /// Current epoch. Increases within an uninterrupted lease if a witness has granted a higher epoch to another
    /// candidate.
    pub epoch: Epoch,
    /// Epoch in which the uninterrupted lease began. Leader state is valid only for the lease with this epoch.
    pub since_epoch: Epoch,
    /// Local time at which the lease ends unless it is renewed.
    pub until: Duration,
}

/// Latest grant of a witness; part of the state copy for a recovering witness.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Promise {
    /// Granted epoch.
    pub epoch: Epoch,
    /// Witness that received the grant.
    pub candidate: InstanceIncarnation,
    /// Whether the receiver had declared itself ready; see [`Election::set_handover_ready`].
    pub ready: bool,
}

/// Election state of one witness, as granter, candidate and leaseholder.
#[derive(Debug, Clone)]
pub struct Election {
    life: InstanceIncarnation,
    group: WitnessGroup,
    /// Local time from which this witness grants requests.
    grants_from: Duration,
    last_grant: Option<Grant>,
    role: Role,
    /// Local time of the next probe, renewal or time-out.
    next_action_at: Option<Duration>,
    /// Local time at which this witness became leaseholder.
    elected_at: Duration,
    rounds: VecDeque<Round>,
    next_number: u64,
    highest_epoch: Epoch,
    predecessor: Option<InstanceIncarnation>,
    ready: bool,
}

#[derive(Debug, Clone)]
struct Grant {
    promise: Promise,
    until: Duration,
    /// Whether the receiver is known to hold the lease, because it has sent a renewal.
    receiver_leads: bool,
}

/// Lease request that this witness has sent to all others.
#[derive(Debug, Clone, Copy)]
struct Round {
    number: u64,
    sent_at: Duration,
    kind: LeaseKind,
    epoch: Epoch,
}

/// End of the lease that the grant of each witness supports, and the granted epoch.
type Grants = BTreeMap<InstanceId, (Duration, Epoch)>;

#[derive(Debug, Clone)]
enum Role {
    Follower,
    Probing(Grants),
    Candidate(Grants),
    Leaseholder {
        since_epoch: Epoch,
        epoch: Epoch,
        /// Epoch that the next renewals ask for.
        requested_epoch: Epoch,
        grants: Grants,
    },
}

impl Election {
    /// Creates the state of a witness that has just started and remembers no grant. It grants nothing before
    /// [`RESTART_QUIET_PERIOD`] has passed.
    #[must_use]
    pub fn new(life: InstanceIncarnation, group: WitnessGroup, now: Duration) -> Self {
        let highest_epoch = Epoch::floor(group.generation);
        Self {
            life,
            group,
            grants_from: now + RESTART_QUIET_PERIOD,
            last_grant: None,
            role: Role::Follower,
            next_action_at: None,
            elected_at: now,
            rounds: VecDeque::new(),
            next_number: 0,
            highest_epoch,
            predecessor: None,
            ready: false,
        }
    }

    /// Takes over the latest grant in the state copy of another witness, if its epoch is higher than any known one.
    pub fn adopt(&mut self, now: Duration, promise: Promise) {
        if promise.epoch > self.highest_epoch {
            self.highest_epoch = promise.epoch;
            self.last_grant = Some(Grant {
                promise,
                until: now + GRANT_DURATION,
                receiver_leads: false,
            });
        }
    }

    /// Returns the latest grant, for the state copy of a recovering witness.
    #[must_use]
    pub fn promise(&self) -> Option<&Promise> {
        self.last_grant.as_ref().map(|grant| &grant.promise)
    }

    /// Returns the lease if this witness holds it at the local time `now`.
    #[must_use]
    pub fn leadership(&self, now: Duration) -> Option<Leadership> {
        let Role::Leaseholder {
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

    /// Returns the previous leaseholder if it was ready and no other witness can have held the lease in between.
    #[must_use]
    pub fn predecessor(&self) -> Option<&InstanceIncarnation> {
        self.predecessor.as_ref()
    }

    /// Announces in later renewals that this leaseholder holds no rate and at most one request of burst per limit for
    /// itself, and takes no more while it holds the lease. Its successor then need not wait for the expiry of these
    /// allocations.
    pub fn set_handover_ready(&mut self) {
        self.ready = matches!(self.role, Role::Leaseholder { .. });
    }

    /// Returns the leaseholder that this witness knows. It may no longer hold the lease.
    #[must_use]
    pub fn known_leader(&self, now: Duration) -> Option<Leader> {
        let grant = self.last_grant.as_ref()?;
        (grant.receiver_leads && now < grant.until).then(|| Leader {
            life: grant.promise.candidate.clone(),
            epoch: grant.promise.epoch,
        })
    }

    /// Starts a probe or renewal that is due and returns the requests to send. Call it at least every 50 ms.
    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<(InstanceId, LeaseRequest)> {
        if matches!(self.role, Role::Leaseholder { .. }) && self.leadership(now).is_none() {
            self.role = Role::Follower;
            self.next_action_at = None;
        }
        if self.next_action_at.is_some_and(|at| now < at) {
            return Vec::new();
        }
        match &self.role {
            Role::Follower => self.start_probe(now, rng),
            Role::Probing(_) | Role::Candidate(_) => {
                self.role = Role::Follower;
                self.next_action_at = Some(now + election_delay(rng));
                Vec::new()
            }
            Role::Leaseholder {
                requested_epoch,
                grants,
                ..
            } => {
                let (epoch, until) = (*requested_epoch, self.majority_until(grants));
                if until.is_none_or(|until| {
                    now + LEASE_DURATION > until + RENEWAL_CUTOFF
                        && now > self.elected_at + RENEWAL_CUTOFF
                }) {
                    return Vec::new();
                }
                self.next_action_at = Some(now + RENEWAL_PERIOD);
                self.send_round(now, LeaseKind::Renewal, epoch)
            }
        }
    }

    /// Answers the request of another witness. `None` if the request is for another generation or arrives within
    /// [`RESTART_QUIET_PERIOD`] after the start.
    pub fn on_request(&mut self, now: Duration, request: &LeaseRequest) -> Option<LeaseReply> {
        let admitted = self
            .group
            .admits(request.generation, &request.candidate.instance);
        if !admitted || now < self.grants_from {
            return None;
        }
        let granted = match request.kind {
            LeaseKind::Probe => self.may_grant(now, request),
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

    /// Processes the reply of another witness and returns requests to send at once.
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
        let grant_is_valid = self
            .last_grant
            .as_ref()
            .is_some_and(|grant| now < grant.until);
        if grant_is_valid || now < self.grants_from {
            self.next_action_at = None;
            return Vec::new();
        }
        if self.next_action_at.is_none() {
            self.next_action_at = Some(now + election_delay(rng));
            return Vec::new();
        }
        self.rounds.clear();
        self.role = Role::Probing(Grants::new());
        self.next_action_at = Some(now + ELECTION_ROUND_TIMEOUT);
        self.send_round(now, LeaseKind::Probe, self.highest_epoch)
    }

    fn start_campaign(&mut self, now: Duration) -> Vec<(InstanceId, LeaseRequest)> {
        let ready_predecessor = self
            .promise()
            .filter(|promise| promise.ready && promise.epoch == self.highest_epoch);
        self.predecessor = ready_predecessor.map(|promise| promise.candidate.clone());
        self.ready = false;
        self.rounds.clear();
        self.role = Role::Candidate(Grants::new());
        self.next_action_at = Some(now + ELECTION_ROUND_TIMEOUT);
        self.send_round(now, LeaseKind::Campaign, self.highest_epoch.next())
    }

    /// Returns a request for each other witness, and gives the request to this witness itself.
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
        if self.rounds.len() > MAX_ROUNDS {
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

    /// Returns whether no valid grant to another candidate prevents a grant to the sender.
    fn may_grant(&self, now: Duration, request: &LeaseRequest) -> bool {
        self.last_grant
            .as_ref()
            .is_none_or(|grant| grant.promise.candidate == request.candidate || now >= grant.until)
    }

    /// Grants a campaign or renewal if it is allowed. Returns whether it was granted.
    fn grant(&mut self, now: Duration, request: &LeaseRequest) -> bool {
        let repeated = self.promise().is_some_and(|promise| {
            promise.epoch == request.epoch && promise.candidate == request.candidate
        });
        let granted_epoch = self
            .promise()
            .map_or(Epoch::default(), |promise| promise.epoch);
        let higher = request.epoch > granted_epoch && self.may_grant(now, request);
        if !repeated && !higher {
            return false;
        }
        let last = self
            .last_grant
            .take()
            .filter(|last| last.promise.candidate == request.candidate);
        let mut grant = Grant {
            promise: Promise {
                epoch: request.epoch,
                candidate: request.candidate.clone(),
                ready: request.ready,
            },
            until: now + grant_duration(request.kind),
            receiver_leads: request.kind == LeaseKind::Renewal,
        };
        // A delayed earlier request must not shorten or revoke what a later request of the same candidate was granted.
        if let Some(last) = last {
            grant.until = grant.until.max(last.until);
            grant.receiver_leads |= repeated && last.receiver_leads;
            grant.promise.ready |= repeated && last.promise.ready;
        }
        self.highest_epoch = self.highest_epoch.max(request.epoch);
        self.last_grant = Some(grant);
        true
    }

    /// Counts a positive reply towards the majority, and advances from probe to campaign and from campaign to lease
    /// once it is complete.
    fn count_grant(
        &mut self,
        now: Duration,
        round: &Round,
        reply: &LeaseReply,
    ) -> Vec<(InstanceId, LeaseRequest)> {
        let majority = self.group.majority();
        let ((Role::Probing(grants), LeaseKind::Probe)
        | (Role::Candidate(grants), LeaseKind::Campaign)
        | (Role::Leaseholder { grants, .. }, LeaseKind::Campaign | LeaseKind::Renewal)) =
            (&mut self.role, round.kind)
        else {
            return Vec::new();
        };
        let grant = (round.sent_at + lease_duration(round.kind), round.epoch);
        let counted = grants.entry(reply.witness.clone()).or_insert(grant);
        *counted = grant.max(*counted);
        let complete = grants.len() >= majority;
        let confirmed_epoch = majority_value(majority, grants.values().map(|(_, epoch)| *epoch));
        match &mut self.role {
            Role::Probing(_) if complete => self.start_campaign(now),
            Role::Candidate(grants) if complete && now < grant.0 => {
                let grants = std::mem::take(grants);
                self.role = Role::Leaseholder {
                    since_epoch: round.epoch,
                    epoch: round.epoch,
                    requested_epoch: round.epoch,
                    grants,
                };
                self.elected_at = now;
                self.next_action_at = Some(now + RENEWAL_PERIOD);
                self.send_round(now, LeaseKind::Renewal, round.epoch)
            }
            Role::Leaseholder {
                epoch,
                requested_epoch,
                ..
            } if confirmed_epoch == Some(*requested_epoch) => {
                *epoch = *requested_epoch;
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Requests a higher epoch in the next renewals after a witness has refused one because of a grant for a higher
    /// epoch. Split elections leave such witnesses; without this, the leaseholder would keep only a bare majority.
    fn raise_epoch(&mut self, round: &Round, highest: Epoch) {
        if let Role::Leaseholder {
            requested_epoch, ..
        } = &mut self.role
            && round.kind == LeaseKind::Renewal
            && highest >= *requested_epoch
        {
            *requested_epoch = highest.next();
        }
    }

    /// Returns the end of the lease that a majority supports; `None` without a majority of grants.
    fn majority_until(&self, grants: &Grants) -> Option<Duration> {
        majority_value(
            self.group.majority(),
            grants.values().map(|(until, _)| *until),
        )
    }
}

fn lease_duration(kind: LeaseKind) -> Duration {
    match kind {
        LeaseKind::Probe | LeaseKind::Campaign => CAMPAIGN_LEASE_DURATION,
        LeaseKind::Renewal => LEASE_DURATION,
    }
}

fn grant_duration(kind: LeaseKind) -> Duration {
    match kind {
        LeaseKind::Probe | LeaseKind::Campaign => CAMPAIGN_GRANT_DURATION,
        LeaseKind::Renewal => GRANT_DURATION,
    }
}

fn election_delay(rng: &mut impl Rng) -> Duration {
    Duration::from_millis(rng.random_range(0..=MAX_ELECTION_DELAY_MS))
}
