//! Requests that wait for admission, and the permits of those that were admitted.
//!
//! [`radishpaddle_policy::admission`] decides; this module passes in the load of the fleet, and wakes the requests.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use radishpaddle_kernel::{boot_clock, processor_time};
use radishpaddle_model::{Organisation, RoutingRule};
use radishpaddle_policy::Urgency;
use radishpaddle_policy::admission::{
    Admission, AdmissionRequest, Decision, FleetView, Machine, Outcome, RejectReason, Rejection,
    Ticket,
};
use radishpaddle_policy::return_time::ReturnTimes;
use serde::Serialize;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, sleep_until};

use crate::gateway::Shared;
use crate::response::Refusal;
use crate::settings::MachineLimits;

/// Period in which the queue is checked while requests wait: information about the fleet and the room on the link change
/// without an event of this gateway.
const CHECK_PERIOD: Duration = Duration::from_millis(10);

/// Period in which a waiting request checks whether the process stops.
const STOP_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Used part of the processor share above which a measurement is ignored: the share is not enforced then, or the clock does
/// not count processor time, and the processor is not what limits the gateway.
const MAX_PROCESSOR_USE: f64 = 1.5;

/// Minimum period between two readings of the processor time.
const MEASURE_PERIOD: Duration = Duration::from_millis(100);

/// Share of an organisation without a rate limit, in requests per second like that of the others.
const UNLIMITED_SHARE: u32 = 100;

/// Admission control of a gateway and the requests that wait for it.
pub(crate) struct AdmissionQueue {
    state: Mutex<State>,
    /// Wakes the task that checks the queue.
    waiting: Notify,
}

struct State {
    admission: Admission,
    returns: ReturnTimes,
    waiters: HashMap<Ticket, oneshot::Sender<Result<(), Rejection>>>,
    measured_at: Duration,
    /// Processor time of the process at the last measurement.
    process_time: Duration,
    /// Processor time in the measurements that were passed on.
    counted_time: Duration,
    /// Share of a processor core of the machine.
    cpu_share: f64,
}

/// Request that asks for admission.
pub(crate) struct Candidate<'a> {
    pub(crate) rule: &'a RoutingRule,
    pub(crate) service: &'a Arc<str>,
    pub(crate) organisation: Option<&'a Organisation>,
    pub(crate) body_bytes: u64,
    pub(crate) started_at: Instant,
    pub(crate) deadline: Instant,
}

/// Admission of a request, for the decision log.
#[derive(Debug, Clone, Default)]
#[derive(Serialize)]
pub(crate) struct AdmissionRecord {
    urgency: u32,
    waited_ms: u64,
    /// Requests that waited when this one arrived.
    queue_length: usize,
    reason: Option<&'static str>,
    expected_wait_ms: Option<u64>,
}

/// Place in the queue or among the admitted requests. It is given back when it is dropped, also when the caller closes
/// its connection.
pub(crate) struct Permit {
    shared: Arc<Shared>,
    ticket: Ticket,
    moved_bytes: Option<u64>,
}

impl Permit {
    /// Records the bytes of both bodies of a request that was served.
    pub(crate) const fn served(&mut self, moved_bytes: u64) {
        self.moved_bytes = Some(moved_bytes);
    }

    /// Ticket of the request, for [`AdmissionQueue::start`].
    pub(crate) const fn ticket(&self) -> Ticket {
        self.ticket
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let queue = &self.shared.admission;
        {
            let mut state = queue.lock();
            state.waiters.remove(&self.ticket);
            let now = boot_clock::now();
            state.admission.end(now, self.ticket, self.moved_bytes);
        }
        advance(&self.shared);
    }
}

impl AdmissionQueue {
    pub(crate) fn new(machine: Option<&MachineLimits>, random: f64) -> Self {
        let cpu_share = machine.map_or(0.0, |machine| machine.cpu_share);
        let machine = machine.map(|machine| Machine {
            link_bytes_per_s: machine.link_bytes_per_s,
            cpu_share: machine.cpu_share,
            memory_bytes: machine.memory_bytes,
        });
        Self {
            state: Mutex::new(State {
                admission: Admission::new(machine, random),
                returns: ReturnTimes::default(),
                waiters: HashMap::new(),
                measured_at: Duration::ZERO,
                process_time: Duration::ZERO,
                counted_time: Duration::ZERO,
                cpu_share,
            }),
            waiting: Notify::new(),
        }
    }

    /// Records that an admitted request is now among the requests in flight at its server. Until then it counts by itself, so
    /// that no other request gets its slot in between.
    pub(crate) fn start(&self, ticket: Ticket) {
        self.lock().admission.start(ticket);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Wakes the requests that have been admitted or rejected.
    fn deliver(&mut self, outcomes: Vec<Outcome>) {
        for outcome in outcomes {
            let (ticket, result) = match outcome {
                Outcome::Admitted(ticket) => (ticket, Ok(())),
                Outcome::Rejected(ticket, rejection) => (ticket, Err(rejection)),
            };
            if let Some(waiter) = self.waiters.remove(&ticket) {
                // A request whose caller has just closed the connection gives its permit back itself.
                let _ = waiter.send(result);
            }
        }
    }

    fn measure_processor(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.measured_at);
        if elapsed < MEASURE_PERIOD {
            return;
        }
        let process_time = processor_time::used();
        let used = process_time.saturating_sub(self.process_time);
        (self.measured_at, self.process_time) = (now, process_time);
        if used <= elapsed.mul_f64(self.cpu_share * MAX_PROCESSOR_USE) {
            self.counted_time += used;
            self.admission.measure_processor(now, self.counted_time);
        }
    }
}

/// Checks the queue periodically while requests wait.
pub(crate) async fn check_queue(shared: Arc<Shared>) {
    loop {
        shared.admission.waiting.notified().await;
        while shared.admission.lock().admission.waiting() > 0 {
            sleep(CHECK_PERIOD).await;
            advance(&shared);
        }
        shared.metrics.admission_waiting.set(0);
    }
}

/// Admits waiting requests for which there is room.
fn advance(shared: &Shared) {
    let mut state = shared.admission.lock();
    let waiting = state.admission.waiting();
    shared
        .metrics
        .admission_waiting
        .set(i64::try_from(waiting).unwrap_or(i64::MAX));
    if waiting == 0 {
        return;
    }
    let now = boot_clock::now();
    state.measure_processor(now);
    let mut outcomes = Vec::new();
    let mut view = |service: &str| fleet_view(shared, service);
    state.admission.advance(now, &mut view, &mut outcomes);
    state.deliver(outcomes);
}

fn fleet_view(shared: &Shared, service: &str) -> FleetView {
    let load = shared.service_load(service);
    FleetView {
        in_flight: load.in_flight,
        slots: load.slots,
        outstanding: load.outstanding,
        age: load.age,
        gateways: shared.pools().gateways(),
    }
}

/// Time after which a caller may retry a request that each server refused without running it. By then, the servers may
/// have finished the requests that they had.
pub(crate) fn return_after_shed(
    shared: &Shared,
    candidate: &Candidate<'_>,
    min_time: Duration,
) -> Option<Duration> {
    let request = admission_request(shared, candidate);
    let mean = request.cost.mean;
    let share = fleet_view(shared, candidate.service).own_share();
    let rejection = Rejection {
        reason: RejectReason::Slots,
        expected_wait: min_time,
        interval: mean.div_f64(share),
        service_time: mean,
    };
    let remaining = candidate.deadline.saturating_duration_since(Instant::now());
    announce_return(shared, request.urgency, &rejection, remaining)
}

/// Waits until a request may be sent to a backend server.
///
/// # Errors
///
/// Returns the refusal, and the time after which the caller may retry, when the request is rejected or the process stops.
pub(crate) async fn admit(
    shared: &Arc<Shared>,
    candidate: &Candidate<'_>,
    record: &mut AdmissionRecord,
) -> Result<Permit, (Refusal, Option<Duration>)> {
    let asked_at = Instant::now();
    let request = admission_request(shared, candidate);
    let urgency = request.urgency;
    record.urgency = urgency.0;
    let result = submit(shared, request, record);
    let result = match result {
        Ok((permit, None)) => Ok(permit),
        Ok((permit, Some(admitted))) => {
            let waited = wait(shared, candidate.deadline, admitted).await;
            waited.map(|()| permit)
        }
        Err(rejection) => Err(WaitEnd::Rejected(rejection)),
    };
    let waited = asked_at.elapsed();
    record.waited_ms = milliseconds(waited);
    match result {
        Ok(permit) => {
            let decision = if record.waited_ms > 0 {
                "waited"
            } else {
                "served"
            };
            shared.metrics.record_admission(urgency, decision);
            Ok(permit)
        }
        Err(WaitEnd::Stopping) => {
            shared.metrics.record_admission(urgency, "stopping");
            Err((Refusal::Stopping, Some(Duration::ZERO)))
        }
        Err(WaitEnd::Rejected(rejection)) => {
            record.reason = Some(rejection.reason.name());
            record.expected_wait_ms = Some(milliseconds(rejection.expected_wait));
            shared
                .metrics
                .record_admission(urgency, rejection.reason.name());
            let remaining = candidate.deadline.saturating_duration_since(Instant::now());
            let retry_after = announce_return(shared, urgency, &rejection, remaining);
            Err((Refusal::NotAdmitted(rejection.reason), retry_after))
        }
    }
}

/// End of the wait of a request that was not admitted.
enum WaitEnd {
    Rejected(Rejection),
    Stopping,
}

type Admitted = oneshot::Receiver<Result<(), Rejection>>;

/// Submits a request. Returns its permit, and what to wait for if it was not admitted at once.
fn submit(
    shared: &Arc<Shared>,
    request: AdmissionRequest,
    record: &mut AdmissionRecord,
) -> Result<(Permit, Option<Admitted>), Rejection> {
    let now = boot_clock::now();
    let mut outcomes = Vec::new();
    let mut view = |service: &str| fleet_view(shared, service);
    let mut state = shared.admission.lock();
    state.measure_processor(now);
    record.queue_length = state.admission.waiting();
    let decision = state
        .admission
        .submit(now, request, &mut view, &mut outcomes);
    state.deliver(outcomes);
    let (ticket, admitted) = match decision {
        Decision::Serve(ticket) => (ticket, None),
        Decision::Wait { ticket, .. } => {
            let (waiter, admitted) = oneshot::channel();
            state.waiters.insert(ticket, waiter);
            shared.admission.waiting.notify_one();
            (ticket, Some(admitted))
        }
        Decision::Reject(rejection) => return Err(rejection),
    };
    drop(state);
    let permit = Permit {
        shared: Arc::clone(shared),
        ticket,
        moved_bytes: None,
    };
    Ok((permit, admitted))
}

/// Waits until a request is admitted or rejected. The wait ends early when the process stops before the deadline.
async fn wait(shared: &Shared, deadline: Instant, mut admitted: Admitted) -> Result<(), WaitEnd> {
    loop {
        tokio::select! {
            biased;
            result = &mut admitted => {
                let expired = Rejection::at_once(RejectReason::Time);
                return result.unwrap_or(Err(expired)).map_err(WaitEnd::Rejected);
            }
            () = shared.stop.requests_end() => return Err(WaitEnd::Stopping),
            () = sleep_until(Instant::now() + STOP_CHECK_PERIOD) => (),
        }
        if !shared.stop.can_finish(deadline) {
            return Err(WaitEnd::Stopping);
        }
    }
}

fn admission_request(shared: &Shared, candidate: &Candidate<'_>) -> AdmissionRequest {
    let Candidate {
        rule,
        organisation,
        started_at,
        deadline,
        ..
    } = *candidate;
    let now = boot_clock::now();
    let name = organisation.map(|organisation| &*organisation.name);
    let objective = Duration::from_millis(rule.objective_ms);
    let target_at = (now + objective).saturating_sub(started_at.elapsed());
    let priority = organisation.and_then(|organisation| organisation.priority);
    AdmissionRequest {
        service: Arc::clone(candidate.service),
        urgency: Urgency::of(rule.priority, priority),
        organisation: organisation.map_or_else(
            || Arc::from(""),
            |organisation| Arc::clone(&organisation.name),
        ),
        share: organisation.map_or(1, share),
        cost: shared.expected_cost(rule, name, candidate.body_bytes),
        target_at: (!objective.is_zero()).then_some(target_at),
        deadline: now + deadline.saturating_duration_since(Instant::now()),
    }
}

/// Share of an organisation: its rate limit.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the rate is clamped to the range"
)]
fn share(organisation: &Organisation) -> u32 {
    if organisation.rate_per_s > 0.0 {
        organisation.rate_per_s.clamp(1.0, 1e6) as u32
    } else {
        UNLIMITED_SHARE
    }
}

fn announce_return(
    shared: &Shared,
    urgency: Urgency,
    rejection: &Rejection,
    remaining: Duration,
) -> Option<Duration> {
    let random = shared.random();
    let mut state = shared.admission.lock();
    let now = boot_clock::now();
    state
        .returns
        .announce(now, urgency, rejection, remaining, random)
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
