//! Admission of requests by rate, and the messages of the allocations.

use std::time::Duration;

use radishpaddle_model::ResultCode;
use radishpaddle_quorum::Epoch;
use radishpaddle_quorum::allocation::{Admission, AllocationReply, AllocationRequest, LimitKey};
use radishpaddle_quorum::lease::Leader;

use crate::emulator::{Emulator, Event};
use crate::fault::Node;
use crate::rate::{Rates, WaitingRequest};
use crate::request::{CallerResult, Kind, Phase};

/// Period at which a holder looks for due reports.
pub const HOLDER_PERIOD: Duration = Duration::from_millis(50);

impl Emulator {
    /// Decides on a request that has just arrived at its instance.
    pub(crate) fn ask_rate(&mut self, id: u64) {
        let now = self.now;
        let request = &self.requests[&id];
        let (service, organisation) = (request.service, request.organisation);
        let instance = request.instance;
        let admission = match &mut self.rates {
            Rates::Fixed(buckets) => {
                if buckets[instance][service][organisation].take(now) {
                    Admission::Admitted
                } else {
                    Admission::RateExceeded
                }
            }
            Rates::Allocated(rates) => {
                let key = &rates.keys[service][organisation];
                rates.holders[instance].admit(now, key)
            }
        };
        let sending = self.requests[&id].sendings;
        let waiting = WaitingRequest {
            request: id,
            sending,
        };
        if matches!(admission, Admission::Wait { .. }) {
            self.request_mut(id).phase = Phase::WaitingForRate;
            if let Some(rates) = self.rates.allocations() {
                let key = rates.keys[service][organisation].clone();
                rates.waiting[instance]
                    .entry(key)
                    .or_default()
                    .push_back(waiting);
            }
        }
        self.follow_admission(waiting, admission);
    }

    /// A waiting request asks again.
    pub(crate) fn on_ask_again(&mut self, waiting: WaitingRequest) {
        let id = waiting.request;
        let waits = self.is_sending(id, waiting.sending)
            && self.requests[&id].phase == Phase::WaitingForRate;
        if !waits {
            return;
        }
        let now = self.now;
        let request = &self.requests[&id];
        let (instance, deadline) = (request.instance, request.deadline);
        let (service, organisation) = (request.service, request.organisation);
        let Some(rates) = self.rates.allocations() else {
            return;
        };
        let key = rates.keys[service][organisation].clone();
        let holder = &mut rates.holders[instance];
        let admission = holder.admit_waiting(now, &key);
        if let Admission::Wait {
            leader_unreachable, ..
        } = admission
            && now >= deadline
        {
            holder.cancel_waiting(&key);
            let code = if leader_unreachable {
                ResultCode::AllocationUnavailable
            } else {
                ResultCode::RateExceeded
            };
            self.leave_rate_queue(waiting);
            self.answer(id, CallerResult::Code(code));
            return;
        }
        if !matches!(admission, Admission::Wait { .. }) {
            self.leave_rate_queue(waiting);
        }
        self.follow_admission(waiting, admission);
    }

    fn follow_admission(&mut self, waiting: WaitingRequest, admission: Admission) {
        let id = waiting.request;
        match admission {
            Admission::Admitted => self.on_admitted(id),
            Admission::RateExceeded => {
                self.answer(id, CallerResult::Code(ResultCode::RateExceeded));
                self.send_urgent(id);
            }
            Admission::Unavailable => {
                let code = ResultCode::AllocationUnavailable;
                self.answer(id, CallerResult::Code(code));
            }
            Admission::Wait { until, .. } => {
                let at = until.min(self.requests[&id].deadline).max(self.now);
                self.schedule.add(at, Event::AskAgain { waiting });
                self.send_urgent(id);
            }
        }
    }

    fn on_admitted(&mut self, id: u64) {
        let request = &self.requests[&id];
        let (service, organisation, kind) = (request.service, request.organisation, request.kind);
        self.measure.admitted(service, organisation, self.now);
        if kind == Kind::Action && self.policy.claims_actions() {
            self.start_claim(id);
        } else {
            self.enqueue(id);
        }
    }

    fn leave_rate_queue(&mut self, waiting: WaitingRequest) {
        let instance = self.requests[&waiting.request].instance;
        if let Some(rates) = self.rates.allocations() {
            for queue in rates.waiting[instance].values_mut() {
                queue.retain(|other| *other != waiting);
            }
        }
    }

    /// An instance learns the leader, as witnesses tell it in their answers to polls.
    pub(crate) fn learn_leader(&mut self, instance: usize) {
        let now = self.now;
        let Some(leader) = &self.leadership.leader else {
            return;
        };
        let (own, other) = (Node::Instance(instance), Node::Instance(leader.instance));
        if !self.plan.passes(own, other, now) || !self.plan.passes(other, own, now) {
            return;
        }
        let known = Leader {
            life: leader.life.clone(),
            epoch: Epoch(leader.epoch),
        };
        if let Some(rates) = self.rates.allocations() {
            rates.holders[instance].set_leader(known);
        }
    }

    pub(crate) fn on_holder_tick(&mut self, instance: usize) {
        self.add_after(HOLDER_PERIOD, Event::HolderTick { instance });
        let now = self.now;
        let entry = &self.entries[instance];
        if !entry.up || !entry.freshness.is_fresh(now) {
            return;
        }
        self.learn_leader(instance);
        let rates = self.rates.allocations();
        let request = rates.and_then(|rates| rates.holders[instance].tick(now));
        self.send_allocation(instance, request);
    }

    fn send_urgent(&mut self, id: u64) {
        let (now, instance) = (self.now, self.requests[&id].instance);
        let rates = self.rates.allocations();
        let request = rates.and_then(|rates| rates.holders[instance].take_urgent_reports(now));
        self.send_allocation(instance, request);
    }

    fn send_allocation(&mut self, instance: usize, request: Option<AllocationRequest>) {
        let (Some(message), Some(leader)) = (request, &self.leadership.leader) else {
            return;
        };
        let to = leader.instance;
        let message = Box::new(message);
        let event = Event::AllocationAtLeader { instance, message };
        self.send(Node::Instance(instance), Node::Instance(to), event);
    }

    pub(crate) fn on_allocation_at_leader(&mut self, from: usize, message: &AllocationRequest) {
        let now = self.now;
        let Some(leader) = &mut self.leadership.leader else {
            return;
        };
        let lease = leader.lease(now);
        let own = leader.instance;
        let reply = leader.pool.on_request(now, Some(&lease), message);
        let Some(reply) = reply else { return };
        let event = Event::AllocationReply {
            instance: from,
            message: Box::new(reply),
        };
        self.send(Node::Instance(own), Node::Instance(from), event);
    }

    pub(crate) fn on_allocation_reply(&mut self, instance: usize, message: &AllocationReply) {
        let now = self.now;
        if !self.entries[instance].up {
            return;
        }
        let Some(rates) = self.rates.allocations() else {
            return;
        };
        let woken = rates.holders[instance].on_reply(now, message);
        for key in woken {
            self.wake(instance, &key);
        }
    }

    fn wake(&mut self, instance: usize, key: &LimitKey) {
        let Some(rates) = self.rates.allocations() else {
            return;
        };
        let queue = rates.waiting[instance].get(key);
        let waiting: Vec<WaitingRequest> = queue.into_iter().flatten().copied().collect();
        for request in waiting {
            self.on_ask_again(request);
        }
    }
}
