//! Admission of requests by rate limit, and the messages between allocation holders and the leader.

use std::time::Duration;

use radishpaddle_model::ResultCode;
use radishpaddle_quorum::Epoch;
use radishpaddle_quorum::allocation::{Admission, AllocationReply, AllocationRequest, LimitKey};
use radishpaddle_quorum::lease::Leader;

use crate::emulator::{Emulator, Event};
use crate::fault::Node;
use crate::rate::{RateLimits, WaitingRequest};
use crate::request::{CallerResult, Kind, Phase};

/// Period at which a holder of allocations checks for due reports.
pub const HOLDER_TICK_PERIOD: Duration = Duration::from_millis(50);

impl Emulator {
    /// Asks the rate limiter of the instance to admit a request that has just arrived.
    pub(crate) fn request_admission(&mut self, id: u64) {
        let now = self.now;
        let request = &self.requests[&id];
        let (service, organisation) = (request.service, request.organisation);
        let instance = request.instance;
        let admission = match &mut self.rate_limits {
            RateLimits::Fixed(buckets) => {
                if buckets[instance][service][organisation].take(now) {
                    Admission::Admitted
                } else {
                    Admission::RateExceeded
                }
            }
            RateLimits::Allocated(allocations) => {
                let key = &allocations.keys[service][organisation];
                allocations.holders[instance].admit(now, key)
            }
        };
        let send_number = self.requests[&id].send_count;
        let waiting = WaitingRequest {
            request: id,
            send_number,
        };
        if matches!(admission, Admission::Wait { .. }) {
            self.request_mut(id).phase = Phase::WaitingForRate;
            if let Some(allocations) = self.rate_limits.allocations() {
                let key = allocations.keys[service][organisation].clone();
                allocations.waiting[instance]
                    .entry(key)
                    .or_default()
                    .push_back(waiting);
            }
        }
        self.apply_admission(waiting, admission);
    }

    /// Decides again on a request that waits for a token. Refuses it if it must still wait at its
    /// deadline.
    pub(crate) fn on_admission_retry(&mut self, waiting: WaitingRequest) {
        let id = waiting.request;
        let waits = self.is_current_send(id, waiting.send_number)
            && self.requests[&id].phase == Phase::WaitingForRate;
        if !waits {
            return;
        }
        let now = self.now;
        let request = &self.requests[&id];
        let (instance, deadline) = (request.instance, request.deadline);
        let (service, organisation) = (request.service, request.organisation);
        let Some(allocations) = self.rate_limits.allocations() else {
            return;
        };
        let key = allocations.keys[service][organisation].clone();
        let holder = &mut allocations.holders[instance];
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
            self.remove_from_rate_queue(waiting);
            self.answer(id, CallerResult::Code(code));
            return;
        }
        if !matches!(admission, Admission::Wait { .. }) {
            self.remove_from_rate_queue(waiting);
        }
        self.apply_admission(waiting, admission);
    }

    fn apply_admission(&mut self, waiting: WaitingRequest, admission: Admission) {
        let id = waiting.request;
        match admission {
            Admission::Admitted => self.on_admitted(id),
            Admission::RateExceeded => {
                self.answer(id, CallerResult::Code(ResultCode::RateExceeded));
                self.send_urgent_report(id);
            }
            Admission::Unavailable => {
                let code = ResultCode::AllocationUnavailable;
                self.answer(id, CallerResult::Code(code));
            }
            Admission::Wait { until, .. } => {
                let at = until.min(self.requests[&id].deadline).max(self.now);
                self.events.add(at, Event::AdmissionRetry { waiting });
                self.send_urgent_report(id);
            }
        }
    }

    fn on_admitted(&mut self, id: u64) {
        let request = &self.requests[&id];
        let (service, organisation, kind) = (request.service, request.organisation, request.kind);
        self.measurements
            .record_admitted(service, organisation, self.now);
        if kind == Kind::Action && self.policy.claims_actions() {
            self.start_claim(id);
        } else {
            self.enqueue(id);
        }
    }

    fn remove_from_rate_queue(&mut self, waiting: WaitingRequest) {
        let instance = self.requests[&waiting.request].instance;
        if let Some(allocations) = self.rate_limits.allocations() {
            for queue in allocations.waiting[instance].values_mut() {
                queue.retain(|other| *other != waiting);
            }
        }
    }

    /// Updates the leader that an instance knows, which real witnesses report in their answers to polls.
    pub(crate) fn update_known_leader(&mut self, instance: usize) {
        let now = self.now;
        let Some(leader) = &self.leadership.leader else {
            return;
        };
        let (own, other) = (Node::Instance(instance), Node::Instance(leader.instance));
        if !self.plan.delivers(own, other, now) || !self.plan.delivers(other, own, now) {
            return;
        }
        let known_leader = Leader {
            life: leader.life.clone(),
            epoch: Epoch(leader.epoch),
        };
        if let Some(allocations) = self.rate_limits.allocations() {
            allocations.holders[instance].set_leader(known_leader);
        }
    }

    pub(crate) fn on_holder_tick(&mut self, instance: usize) {
        self.add_after(HOLDER_TICK_PERIOD, Event::HolderTick { instance });
        let now = self.now;
        let entry = &self.entries[instance];
        if !entry.up || !entry.freshness.is_fresh(now) {
            return;
        }
        self.update_known_leader(instance);
        let allocations = self.rate_limits.allocations();
        let request = allocations.and_then(|allocations| allocations.holders[instance].tick(now));
        self.send_allocation_request(instance, request);
    }

    /// Sends the report of the holder at once if it cannot wait for the next tick.
    fn send_urgent_report(&mut self, id: u64) {
        let (now, instance) = (self.now, self.requests[&id].instance);
        let allocations = self.rate_limits.allocations();
        let request = allocations
            .and_then(|allocations| allocations.holders[instance].take_urgent_reports(now));
        self.send_allocation_request(instance, request);
    }

    fn send_allocation_request(&mut self, instance: usize, request: Option<AllocationRequest>) {
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
        let Some(allocations) = self.rate_limits.allocations() else {
            return;
        };
        let limits = allocations.holders[instance].on_reply(now, message);
        for key in limits {
            self.retry_admissions(instance, &key);
        }
    }

    /// Decides again on all requests that wait for a token of a limit.
    fn retry_admissions(&mut self, instance: usize, key: &LimitKey) {
        let Some(allocations) = self.rate_limits.allocations() else {
            return;
        };
        let queue = allocations.waiting[instance].get(key);
        let waiting: Vec<WaitingRequest> = queue.into_iter().flatten().copied().collect();
        for request in waiting {
            self.on_admission_retry(request);
        }
    }
}
