//! Events at the entry instances: arrival, queueing, dispatch, retry and hedging.

use std::time::Duration;

use radishpaddle_model::ResultCode;
use radishpaddle_policy::Completion;
use radishpaddle_policy::budget::{AttemptFault, FailedAttempt, RepeatBudget};
use radishpaddle_policy::fair_queue::{Refused, Waiting};
use radishpaddle_policy::hedge::HedgeQuery;
use radishpaddle_quorum::claim::RecordedResponse;

use crate::deployment::CALLER_LATENCY;
use crate::ejection::ServerChoice;
use crate::emulator::{Emulator, Event};
use crate::fault::Node;
use crate::request::{Attempt, CallerResult, Kind, Phase};

/// Minimum time-out of an attempt after which an idempotent request is retried, unless its deadline is
/// earlier.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(200);

impl Emulator {
    pub(crate) fn on_request_at_entry(&mut self, id: u64, send_number: u32) {
        let request = &self.requests[&id];
        let instance = request.instance;
        debug_assert_eq!(request.send_count, send_number);
        if !self.entries[instance].up {
            let result = CallerResult::ConnectionLost;
            let event = Event::ResultAtCaller {
                request: id,
                send_number,
                result,
            };
            self.add_after(CALLER_LATENCY, event);
            return;
        }
        if !self.entries[instance].freshness.is_fresh(self.now) {
            self.answer(id, CallerResult::Code(ResultCode::NotFresh));
            return;
        }
        self.request_admission(id);
    }

    /// Adds an admitted request to the fair queue of its instance.
    pub(crate) fn enqueue(&mut self, id: u64) {
        let request = self.request_mut(id);
        request.phase = Phase::Queued;
        let (instance, service, kind) = (request.instance, request.service, request.kind);
        let waiting = Waiting {
            organisation: self.fleet.organisations[self.requests[&id].organisation].clone(),
            weight: kind.weight(),
            deadline: self.requests[&id].deadline,
            expected_service: self.tail_service_time(instance, service, kind),
            payload: id,
        };
        let now = self.now;
        match self.entries[instance].services[service]
            .queue
            .push(now, waiting)
        {
            Ok(queued) => {
                self.request_mut(id).ticket = Some(queued.ticket);
                if let Some(evicted) = queued.evicted {
                    self.refuse_waiting(&evicted);
                }
                self.dispatch_waiting(instance, service);
            }
            Err(refused) => self.refuse_waiting(&refused),
        }
    }

    fn expected_service(&self, instance: usize, service: usize, kind: Kind) -> Duration {
        let class = &self.entries[instance].services[service].hedges[kind.index()];
        class.median().unwrap_or(kind.mean())
    }

    fn tail_service_time(&self, instance: usize, service: usize, kind: Kind) -> Duration {
        let class = &self.entries[instance].services[service].hedges[kind.index()];
        class.tail().unwrap_or(kind.mean())
    }

    fn refuse_all(&mut self, refused: &[Refused<u64>]) {
        for refusal in refused {
            self.refuse_waiting(refusal);
        }
    }

    fn refuse_waiting(&mut self, refused: &Refused<u64>) {
        let id = refused.request.payload;
        self.abandon_claim(id);
        self.answer(id, CallerResult::Code(refused.code));
    }

    pub(crate) fn on_queue_expiry(&mut self, instance: usize, service: usize) {
        if !self.entries[instance].up {
            return;
        }
        let mut refused = Vec::new();
        let state = &mut self.entries[instance].services[service];
        state.expiry_scheduled_at = None;
        state.queue.expire(self.now, &mut refused);
        self.refuse_all(&refused);
        self.dispatch_waiting(instance, service);
    }

    /// Dispatches waiting requests while the dispatch window has room, and schedules the removal of
    /// expired ones.
    pub(crate) fn dispatch_waiting(&mut self, instance: usize, service: usize) {
        loop {
            let now = self.now;
            let mut refused = Vec::new();
            let state = &mut self.entries[instance].services[service];
            if !state.window.has_room(state.in_flight) {
                break;
            }
            let ready = state.queue.pop(now, &mut refused);
            self.refuse_all(&refused);
            let Some(ready) = ready else { break };
            self.dispatch_ready(ready.request.payload);
        }
        self.schedule_queue_expiry(instance, service);
    }

    fn schedule_queue_expiry(&mut self, instance: usize, service: usize) {
        let state = &mut self.entries[instance].services[service];
        let Some(at) = state.queue.next_expiry() else {
            return;
        };
        if state.expiry_scheduled_at.is_none_or(|planned| at < planned) {
            state.expiry_scheduled_at = Some(at);
            let event = Event::QueueExpiry { instance, service };
            self.events.add(at.max(self.now), event);
        }
    }

    fn dispatch_ready(&mut self, id: u64) {
        let request = &self.requests[&id];
        if request.attempts == 0 {
            let entry = &mut self.entries[request.instance];
            entry.services[request.service]
                .budget
                .record_first_attempt(self.now);
            self.measurements.record_first_dispatch();
        } else {
            self.measurements.record_repeat_dispatch();
        }
        match self.pick(id) {
            Some(choice) => self.dispatch(id, choice),
            None => self.fail_request(id, ResultCode::NoBackendServer),
        }
    }

    fn pick(&mut self, id: u64) -> Option<ServerChoice> {
        let request = &self.requests[&id];
        let router = &mut self.entries[request.instance].router;
        let (service, kind) = (request.service, request.kind);
        router.pick(service, &request.tried, kind, self.now, &mut self.rng)
    }

    fn dispatch(&mut self, id: u64, choice: ServerChoice) {
        let now = self.now;
        let request = &self.requests[&id];
        let (instance, service, kind) = (request.instance, request.service, request.kind);
        let first = request.attempts == 0;
        let entry = &mut self.entries[instance];
        let dispatch = entry.router.dispatched(service, choice, kind, now);
        entry.services[service].in_flight += 1;
        entry.dispatched += 1;
        let attempt_id = self.next_attempt;
        self.next_attempt += 1;
        let request = self.request_mut(id);
        request.phase = Phase::Dispatched;
        request.ticket = None;
        request.attempts += 1;
        request.tried.push(choice.server);
        request.in_flight.push(attempt_id);
        let attempt = Attempt {
            request: id,
            kind,
            server: choice.server,
            instance,
            draw_number: u64::from(request.send_count) * 100 + u64::from(request.attempts),
            dispatched_at: now,
            awaited: true,
            ended_at_server: false,
            dispatch,
        };
        self.attempts.insert(attempt_id, attempt);
        let event = Event::AttemptAtServer {
            attempt: attempt_id,
        };
        self.send(Node::Instance(instance), Node::Server(choice.server), event);
        let timeout = self.attempt_timeout(id);
        self.add_after(
            timeout,
            Event::AttemptTimeout {
                attempt: attempt_id,
            },
        );
        if first && kind.is_idempotent() {
            self.schedule_hedge(instance, service, kind, attempt_id);
        }
    }

    /// Returns the time-out of the attempt that has just been dispatched: half of the remaining time if
    /// the request may be retried, otherwise all of it.
    fn attempt_timeout(&self, id: u64) -> Duration {
        let request = &self.requests[&id];
        let remaining = request.deadline.saturating_sub(self.now);
        let budget = &self.entries[request.instance].services[request.service].budget;
        let last = request.attempts >= budget.max_attempts();
        if last || !request.kind.is_idempotent() {
            return remaining;
        }
        (remaining / 2).max(MIN_ATTEMPT_TIMEOUT).min(remaining)
    }

    fn schedule_hedge(&mut self, instance: usize, service: usize, kind: Kind, attempt: u64) {
        let class = &self.entries[instance].services[service].hedges[kind.index()];
        if let Some(delay) = class.delay(None) {
            self.add_after(delay, Event::HedgeDelay { attempt });
        }
    }

    pub(crate) fn on_hedge_delay(&mut self, attempt_id: u64) {
        let Some(attempt) = self
            .attempts
            .get(&attempt_id)
            .filter(|attempt| attempt.awaited)
        else {
            return;
        };
        let (id, instance) = (attempt.request, attempt.instance);
        let elapsed = self.now.saturating_sub(attempt.dispatched_at);
        let request = &self.requests[&id];
        let (service, kind) = (request.service, request.kind);
        let (attempts, remaining) = (request.attempts, request.deadline.saturating_sub(self.now));
        let Some(choice) = self.pick(id) else { return };
        let query = HedgeQuery {
            idempotent: kind.is_idempotent(),
            objective: None,
            elapsed,
            remaining,
            attempts,
            in_flight: self.service_in_flight(service),
            slots: self.fleet.services[service].total_slots(),
            other_server_free: !choice.over_slots,
            stalled: false,
        };
        let state = &mut self.entries[instance].services[service];
        let class = &state.hedges[kind.index()];
        if class.try_hedge(self.now, &query, &mut state.budget).is_ok() {
            self.measurements.record_repeat_dispatch();
            self.dispatch(id, choice);
        }
    }

    /// Returns the requests in flight at all servers of a service. Real instances learn an approximate
    /// figure from the leader.
    fn service_in_flight(&self, service: usize) -> u32 {
        let servers = &self.servers[self.fleet.services[service].server_range()];
        let in_flight: usize = servers
            .iter()
            .map(crate::backend_server::BackendServer::in_flight)
            .sum();
        u32::try_from(in_flight).unwrap_or(u32::MAX)
    }

    pub(crate) fn on_attempt_timeout(&mut self, attempt_id: u64) {
        let awaited = self
            .attempts
            .get(&attempt_id)
            .is_some_and(|attempt| attempt.awaited);
        if awaited {
            self.on_attempt_end(attempt_id, Completion::TimedOut);
        }
    }

    pub(crate) fn on_attempt_end(&mut self, attempt_id: u64, completion: Completion) {
        let Some(attempt) = self.attempts.get(&attempt_id) else {
            return;
        };
        if !attempt.awaited {
            self.attempts.remove(&attempt_id);
            return;
        }
        let (id, instance) = (attempt.request, attempt.instance);
        let elapsed = self.now.saturating_sub(attempt.dispatched_at);
        let service = self.requests[&id].service;
        self.finish_attempt(attempt_id, completion);
        match attempt_fault(completion) {
            None => self.on_success(id, elapsed),
            Some(fault) => self.on_failure(id, fault),
        }
        self.dispatch_waiting(instance, service);
    }

    /// Ends an attempt at the entry instance: records the completion in the router and the dispatch
    /// window, and closes the connection to the server.
    fn finish_attempt(&mut self, attempt_id: u64, completion: Completion) {
        let now = self.now;
        let attempt = self
            .attempts
            .get_mut(&attempt_id)
            .expect("the attempt exists");
        attempt.awaited = false;
        let (id, instance, server) = (attempt.request, attempt.instance, attempt.server);
        let dispatch = attempt.dispatch;
        let request = self.request_mut(id);
        request.in_flight.retain(|other| *other != attempt_id);
        let service = request.service;
        let entry = &mut self.entries[instance];
        entry
            .router
            .completed(service, server, dispatch, completion, now);
        let state = &mut entry.services[service];
        match completion {
            Completion::Answered { .. } => state.window.answered(state.in_flight),
            Completion::Shed => state.window.shed(now),
            _ => {}
        }
        state.in_flight -= 1;
        self.close_attempt(attempt_id);
    }

    fn on_success(&mut self, id: u64, elapsed: Duration) {
        let request = &self.requests[&id];
        let (instance, service, kind) = (request.instance, request.service, request.kind);
        for other in request.in_flight.clone() {
            self.finish_attempt(other, Completion::Cancelled);
        }
        let state = &mut self.entries[instance].services[service];
        state.hedges[kind.index()].record(self.now, elapsed);
        let recorded: std::sync::Arc<[u8]> = std::sync::Arc::from(&b"ok"[..]);
        let answer = RecordedResponse::Whole {
            status: 200,
            encoded: recorded,
        };
        self.complete_claim(id, answer);
        self.answer(id, CallerResult::Delivered);
    }

    fn on_failure(&mut self, id: u64, fault: AttemptFault) {
        let now = self.now;
        let request = self.request_mut(id);
        request.may_have_run |= !fault.is_not_run();
        if !request.in_flight.is_empty() {
            return;
        }
        let (instance, service, kind) = (request.instance, request.service, request.kind);
        let failed = FailedAttempt {
            idempotent: kind.is_idempotent(),
            attempts: request.attempts,
            fault,
            answer_started: false,
            remaining: request.deadline.saturating_sub(now),
            expected_service: self.expected_service(instance, service, kind),
        };
        let budget = &mut self.entries[instance].services[service].budget;
        if budget.try_retry(now, &failed).is_err() {
            self.fail_request(id, result_code(fault));
            return;
        }
        let delay = RepeatBudget::retry_delay(&failed);
        let request = self.request_mut(id);
        request.retry_code = result_code(fault);
        let send_number = request.send_count;
        if delay.is_zero() {
            self.retry(id);
        } else {
            self.add_after(
                delay,
                Event::Retry {
                    request: id,
                    send_number,
                },
            );
        }
    }

    pub(crate) fn on_retry(&mut self, id: u64, send_number: u32) {
        if self.is_current_send(id, send_number) {
            self.enqueue(id);
        }
    }

    fn retry(&mut self, id: u64) {
        if let Some(choice) = self.pick(id) {
            self.measurements.record_repeat_dispatch();
            self.dispatch(id, choice);
        } else {
            let code = self.requests[&id].retry_code;
            self.fail_request(id, code);
        }
    }

    /// Ends a request without a complete answer. If an attempt may have run, the outcome is unknown, and
    /// the caller gets a code that says so; otherwise the claim is released.
    fn fail_request(&mut self, id: u64, code: ResultCode) {
        if self.requests[&id].may_have_run {
            self.complete_claim(id, RecordedResponse::Unknown);
            let unknown = match code {
                ResultCode::BackendTimeout => code,
                _ => ResultCode::BackendFailed,
            };
            self.answer(id, CallerResult::Code(unknown));
        } else {
            self.abandon_claim(id);
            self.answer(id, CallerResult::Code(code));
        }
    }
}

fn attempt_fault(completion: Completion) -> Option<AttemptFault> {
    match completion {
        Completion::Answered { status } if status < 500 => None,
        Completion::Answered { .. } => Some(AttemptFault::ServerError),
        Completion::Truncated => Some(AttemptFault::AnswerInvalid),
        Completion::TimedOut => Some(AttemptFault::TimedOut),
        Completion::Shed => Some(AttemptFault::Shed),
        Completion::ConnectFailed => Some(AttemptFault::ConnectFailed),
        Completion::ConnectionLost | Completion::Cancelled | Completion::ChargedToRequest => {
            Some(AttemptFault::ConnectionLost)
        }
    }
}

const fn result_code(fault: AttemptFault) -> ResultCode {
    match fault {
        AttemptFault::ConnectFailed => ResultCode::BackendUnreachable,
        AttemptFault::Shed => ResultCode::Shed,
        AttemptFault::TimedOut => ResultCode::BackendTimeout,
        AttemptFault::ConnectionLost | AttemptFault::ServerError => ResultCode::BackendFailed,
        AttemptFault::AnswerInvalid => ResultCode::AnswerInvalid,
    }
}
