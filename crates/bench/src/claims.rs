//! Claims of actions: the claim registers of the witnesses, and the messages between them and the entry
//! instances.

use std::collections::BTreeSet;
use std::time::Duration;

use radishpaddle_model::{InstanceId, ResultCode, Revision};
use radishpaddle_quorum::claim::{
    AttemptId, ClaimAttempt, ClaimDecision, ClaimKey, ClaimRegister, ClaimReply, ClaimSettings,
    Fingerprint, RecordedResponse,
};
use radishpaddle_quorum::{Generation, InstanceIncarnation, WitnessGroup};

use crate::emulator::{Emulator, Event};
use crate::fault::Node;
use crate::request::{CallerResult, Phase};

/// Number of witnesses. They are the instances 0 to 4, which puts 2, 2 and 1 of them in the three zones.
pub const WITNESSES: usize = 5;

/// Period at which an instance polls the witnesses.
pub const POLL_PERIOD: Duration = Duration::from_millis(500);

/// Configuration revision; it does not change during a run.
pub const REVISION: Revision = Revision(1);

/// Returns the witness group of a run.
#[must_use]
pub fn witness_group(instances: &[InstanceId]) -> WitnessGroup {
    WitnessGroup {
        generation: Generation(1),
        witnesses: instances.iter().take(WITNESSES).cloned().collect(),
    }
}

/// Creates one empty claim register per witness.
#[must_use]
pub fn empty_registers() -> Vec<ClaimRegister> {
    (0..WITNESSES)
        .map(|_| ClaimRegister::new(ClaimSettings::default()))
        .collect()
}

impl Emulator {
    /// Polls every witness. The answers arrive without delay: a latency of 1 to 3 ms is negligible
    /// against the freshness limit of 4 s.
    pub(crate) fn on_poll(&mut self, instance: usize) {
        self.add_after(POLL_PERIOD, Event::Poll { instance });
        let now = self.now;
        let node = Node::Instance(instance);
        for witness in 0..WITNESSES {
            let other = Node::Instance(witness);
            let reachable =
                self.plan.delivers(node, other, now) && self.plan.delivers(other, node, now);
            if reachable && self.plan.is_instance_up(witness, now) && self.entries[instance].up {
                let id = &self.fleet.instances[witness];
                let freshness = &mut self.entries[instance].freshness;
                freshness.record_poll_reply(now, id, Generation(1), REVISION);
            }
        }
    }

    /// Creates the claim of an action and sends it to every witness.
    pub(crate) fn start_claim(&mut self, id: u64) {
        let request = &self.requests[&id];
        let instance = request.instance;
        let key = ClaimKey {
            organisation: self.fleet.organisations[request.organisation].clone(),
            service: self.fleet.services[request.service].id.clone(),
            idempotency_key: format!("key-{id}").into(),
        };
        let attempt = AttemptId {
            life: self.life(instance),
            number: self.next_claim,
        };
        self.next_claim += 1;
        let group = witness_group(&self.fleet.instances);
        let claim = ClaimAttempt::new(group, key, attempt, Fingerprint([0; 32]), self.now);
        let wait = claim.deadline().saturating_sub(self.now);
        let send_number = self.requests[&id].send_count;
        let request = self.request_mut(id);
        request.phase = Phase::Claiming;
        request.claim = Some(Box::new(claim));
        for witness in 0..WITNESSES {
            let event = Event::ClaimAtWitness {
                request: id,
                send_number,
                witness,
            };
            self.send(Node::Instance(instance), Node::Instance(witness), event);
        }
        self.add_after(
            wait,
            Event::ClaimDeadline {
                request: id,
                send_number,
            },
        );
    }

    pub(crate) fn on_claim_at_witness(&mut self, id: u64, send_number: u32, witness: usize) {
        if !self.plan.is_instance_up(witness, self.now) || !self.is_current_send(id, send_number) {
            return;
        }
        let Some(claim) = &self.requests[&id].claim else {
            return;
        };
        let message = claim.request().clone();
        let lives = self.lives();
        let alive = |attempt: &AttemptId| lives.contains(&attempt.life);
        let vote = self.registers[witness].claim(self.now, &message, alive);
        let reply = ClaimReply {
            generation: Generation(1),
            witness: self.fleet.instances[witness].clone(),
            attempt: message.attempt,
            vote,
        };
        let instance = self.requests[&id].instance;
        let event = Event::ClaimVote {
            request: id,
            send_number,
            reply: Box::new(reply),
        };
        self.send(Node::Instance(witness), Node::Instance(instance), event);
    }

    pub(crate) fn on_claim_vote(&mut self, id: u64, send_number: u32, reply: &ClaimReply) {
        if !self.is_current_send(id, send_number) || !self.entries[self.requests[&id].instance].up {
            return;
        }
        let now = self.now;
        let claim = self.request_mut(id).claim.as_mut();
        let decision = claim.and_then(|claim| claim.on_reply(now, reply));
        if let Some(decision) = decision {
            self.on_claim_decision(id, &decision);
        }
    }

    pub(crate) fn on_claim_deadline(&mut self, id: u64, send_number: u32) {
        if !self.is_current_send(id, send_number) || !self.entries[self.requests[&id].instance].up {
            return;
        }
        let now = self.now;
        let claim = self.request_mut(id).claim.as_mut();
        let decision = claim.and_then(|claim| claim.on_tick(now));
        if let Some(decision) = decision {
            self.on_claim_decision(id, &decision);
        }
    }

    fn on_claim_decision(&mut self, id: u64, decision: &ClaimDecision) {
        if *decision == ClaimDecision::Dispatch {
            self.enqueue(id);
            return;
        }
        self.send_abandon(id);
        let result = match decision {
            ClaimDecision::Replay(_) => CallerResult::Delivered,
            ClaimDecision::KeyReused => CallerResult::Code(ResultCode::IdempotencyKeyReused),
            ClaimDecision::InProgress => CallerResult::Code(ResultCode::InProgress),
            ClaimDecision::EarlierAttemptUnknown => {
                CallerResult::Code(ResultCode::EarlierAttemptUnknown)
            }
            ClaimDecision::Contended => CallerResult::Code(ResultCode::ClaimContended),
            _ => CallerResult::Code(ResultCode::ClaimUnavailable),
        };
        self.answer(id, result);
    }

    /// Releases the claim of a request that has not run.
    pub(crate) fn abandon_claim(&mut self, id: u64) {
        if let Some(claim) = self.request_mut(id).claim.as_mut() {
            claim.abandon();
            self.send_abandon(id);
        }
    }

    fn send_abandon(&mut self, id: u64) {
        let request = &self.requests[&id];
        let instance = request.instance;
        let message = request
            .claim
            .as_ref()
            .and_then(|claim| claim.abandon_request());
        let Some(message) = message else { return };
        for witness in 0..WITNESSES {
            let event = Event::AbandonAtWitness {
                witness,
                message: Box::new(message.clone()),
            };
            self.send(Node::Instance(instance), Node::Instance(witness), event);
        }
    }

    /// Records the outcome of a dispatched action at the witnesses.
    pub(crate) fn complete_claim(&mut self, id: u64, answer: RecordedResponse) {
        let request = &self.requests[&id];
        let instance = request.instance;
        let claim = request.claim.as_ref();
        let Some(message) = claim.and_then(|claim| claim.complete_request(answer)) else {
            return;
        };
        for witness in 0..WITNESSES {
            let event = Event::CompleteAtWitness {
                witness,
                message: Box::new(message.clone()),
            };
            self.send(Node::Instance(instance), Node::Instance(witness), event);
        }
    }

    /// Rebuilds the register of a restarted witness from the copies of three of the other four
    /// witnesses.
    pub(crate) fn rebuild_register(&mut self, witness: usize) {
        let mut register = ClaimRegister::new(ClaimSettings::default());
        let others = (0..WITNESSES).filter(|other| *other != witness);
        for other in others.take(WITNESSES / 2 + 1) {
            for copy in self.registers[other].copies(self.now) {
                register.merge(self.now, &copy);
            }
        }
        self.registers[witness] = register;
    }

    /// Returns the current life of an instance.
    pub(crate) fn life(&self, instance: usize) -> InstanceIncarnation {
        InstanceIncarnation {
            instance: self.fleet.instances[instance].clone(),
            incarnation: self.entries[instance].incarnation,
        }
    }

    /// Returns the lives of all instances that run.
    pub(crate) fn lives(&self) -> BTreeSet<InstanceIncarnation> {
        let up = (0..self.entries.len()).filter(|instance| self.entries[*instance].up);
        up.map(|instance| self.life(instance)).collect()
    }
}
