//! State of a run and its event loop.

use std::collections::HashMap;
use std::time::Duration;

use radishpaddle_policy::Completion;
use radishpaddle_quorum::InstanceIncarnation;
use radishpaddle_quorum::allocation::{AllocationReply, AllocationRequest};
use radishpaddle_quorum::claim::{AbandonRequest, ClaimRegister, ClaimReply, CompleteRequest};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::backend_server::BackendServer;
use crate::caller::{Callers, MAX_SENDS, RESEND_DELAY};
use crate::claims::{POLL_PERIOD, empty_registers};
use crate::deployment::{ACTION_FRACTION, CALLER_LATENCY, Deployment, Fleet, REQUEST_TIMEOUT};
use crate::ejection::HEALTH_CHECK_PERIOD;
use crate::entry::EntryInstance;
use crate::event_queue::EventQueue;
use crate::fault::{CRASH_DOWNTIME, Fault, FaultPlan, Node};
use crate::figures::RunFigures;
use crate::leader::{Leadership, SyncRequest, SyncResponse};
use crate::measure::Measurements;
use crate::number::{draw_poisson_gap, hash_to_seed};
use crate::policy::Policy;
use crate::rate::{RateLimits, WaitingRequest};
use crate::request::{Attempt, CallerResult, Kind, Phase, Request};
use radishpaddle_model::{Outcome, ResultCode};

/// Period at which ejections and detection are sampled.
pub const SAMPLE_PERIOD: Duration = Duration::from_millis(50);

/// Time of the first tick of the leader. In each period the reports of all instances arrive before the
/// tick.
const FIRST_LEADER_TICK: Duration = Duration::from_millis(150);

/// Time after the end of the arrivals in which outstanding requests may still end.
const COMPLETION_GRACE: Duration = Duration::from_secs(8);

/// Event of a run. The fields `request` and `attempt` are ids; `service`, `organisation`, `instance`,
/// `witness` and `server` are indexes. `send_number` is the number of the send that the event belongs to;
/// events of earlier sends of the same request are ignored.
#[derive(Debug)]
#[expect(missing_docs, reason = "the fields are described above")]
pub enum Event {
    /// A caller creates a request.
    NewRequest { service: usize, organisation: usize },
    /// A request reaches an entry instance.
    RequestAtEntry { request: u64, send_number: u32 },
    /// The result of a send reaches the caller.
    ResultAtCaller {
        request: u64,
        send_number: u32,
        result: CallerResult,
    },
    /// The caller resends a request to another entry instance.
    Resend { request: u64 },
    /// A claim reaches a witness.
    ClaimAtWitness {
        request: u64,
        send_number: u32,
        witness: usize,
    },
    /// The vote of a witness reaches the entry instance.
    ClaimVote {
        request: u64,
        send_number: u32,
        reply: Box<ClaimReply>,
    },
    /// The deadline of a claim is reached.
    ClaimDeadline { request: u64, send_number: u32 },
    /// The outcome of an action reaches a witness.
    CompleteAtWitness {
        witness: usize,
        message: Box<CompleteRequest>,
    },
    /// The release of the claim of an action that has not run reaches a witness.
    AbandonAtWitness {
        witness: usize,
        message: Box<AbandonRequest>,
    },
    /// An attempt reaches a backend server.
    AttemptAtServer { attempt: u64 },
    /// A backend server has finished an attempt.
    AttemptFinished { attempt: u64 },
    /// The connection of an attempt is closed at the backend server.
    ConnectionClosed { attempt: u64 },
    /// The result of an attempt reaches the entry instance.
    AttemptEnded {
        attempt: u64,
        completion: Completion,
    },
    /// The time-out of an attempt is reached.
    AttemptTimeout { attempt: u64 },
    /// The back-off before a retry has passed.
    Retry { request: u64, send_number: u32 },
    /// The hedge delay of an attempt has passed.
    HedgeDelay { attempt: u64 },
    /// An entry instance removes expired requests from a fair queue.
    QueueExpiry { instance: usize, service: usize },
    /// An entry instance polls the witnesses.
    Poll { instance: usize },
    /// An entry instance checks the health endpoints of all backend servers.
    HealthCheck { instance: usize },
    /// An entry instance sends its evidence and verdicts to the leader.
    Sync { instance: usize },
    /// The evidence and verdicts of an entry instance reach the leader.
    SyncAtLeader { message: Box<SyncRequest> },
    /// The verdicts of the leader reach the entry instance.
    SyncResponse { message: Box<SyncResponse> },
    /// A holder of rate allocations sends the reports that are due.
    HolderTick { instance: usize },
    /// A request that waits for a token is decided again.
    AdmissionRetry { waiting: WaitingRequest },
    /// Rate reports of a holder reach the leader.
    AllocationAtLeader {
        instance: usize,
        message: Box<AllocationRequest>,
    },
    /// The answer of the rate pool reaches the holder.
    AllocationReply {
        instance: usize,
        message: Box<AllocationReply>,
    },
    /// The leader decides on ejections and allocations, loses its lease, or is elected.
    LeaderTick,
    /// A crashed server has started again.
    ServerRestart { server: usize },
    /// Ejections and detection are sampled.
    Sample,
    /// The faulty servers crash.
    ServerCrash,
    /// The instance of the fault `instance-loss` stops or restarts.
    InstanceChange { up: bool },
}

/// Emulation of one deployment under one policy, one fault and one seed.
#[derive(Debug)]
pub struct Emulator {
    pub(crate) now: Duration,
    pub(crate) events: EventQueue<Event>,
    pub(crate) fleet: Fleet,
    pub(crate) plan: FaultPlan,
    pub(crate) policy: Policy,
    pub(crate) seed: u64,
    /// Random numbers of the decision code.
    pub(crate) rng: SmallRng,
    pub(crate) requests: HashMap<u64, Request>,
    pub(crate) attempts: HashMap<u64, Attempt>,
    pub(crate) servers: Vec<BackendServer>,
    pub(crate) entries: Vec<EntryInstance>,
    /// Claim registers by witness.
    pub(crate) registers: Vec<ClaimRegister>,
    pub(crate) rate_limits: RateLimits,
    pub(crate) leadership: Leadership,
    /// Current incarnations by server.
    pub(crate) server_incarnations: Vec<u64>,
    /// Lives of instances that have stopped, with the time of the stop.
    pub(crate) lost_lives: Vec<(InstanceIncarnation, Duration)>,
    pub(crate) measurements: Measurements,
    /// Number of the next claim attempt.
    pub(crate) next_claim: u64,
    /// Id of the next attempt at a backend server.
    pub(crate) next_attempt: u64,
    /// Random numbers of the callers, separate from `rng` so that all policies get the same arrivals.
    arrivals: SmallRng,
    callers: Callers,
    /// Id of the next request.
    next_request: u64,
    /// Time during which callers create requests.
    length: Duration,
}

impl Emulator {
    /// Creates a run whose callers create requests for `length`.
    #[must_use]
    pub fn new(
        deployment: Deployment,
        fault: Fault,
        policy: Policy,
        seed: u64,
        length: Duration,
    ) -> Self {
        let fleet = deployment.fleet(fault.load());
        let plan = FaultPlan::new(fault, &fleet, length, seed);
        let entries = (0..fleet.instances.len())
            .map(|instance| EntryInstance::new(policy, &fleet, instance, 1, Duration::ZERO))
            .collect();
        let servers = fleet.services.iter().flat_map(|service| {
            let slots = service.slots;
            service
                .servers
                .iter()
                .map(move |_| BackendServer::new(slots))
        });
        Self {
            now: Duration::ZERO,
            events: EventQueue::default(),
            servers: servers.collect(),
            entries,
            registers: empty_registers(),
            rate_limits: RateLimits::new(policy, &fleet),
            leadership: Leadership::new(&fleet),
            server_incarnations: vec![1; fleet.server_count()],
            lost_lives: Vec::new(),
            measurements: Measurements::new(&fleet, &plan, length),
            rng: SmallRng::seed_from_u64(hash_to_seed(&[seed, 2])),
            arrivals: SmallRng::seed_from_u64(hash_to_seed(&[seed, 1])),
            callers: Callers::new(&fleet, policy),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            next_claim: 0,
            next_attempt: 0,
            next_request: 0,
            fleet,
            plan,
            policy,
            seed,
            length,
        }
    }

    /// Processes all events and returns the figures of the run.
    #[must_use]
    pub fn run(mut self) -> RunFigures {
        self.start();
        while let Some((at, event)) = self.events.pop() {
            if at > self.length + COMPLETION_GRACE {
                break;
            }
            self.now = at;
            self.on_event(event);
        }
        self.measurements.figures(&self.fleet)
    }

    fn start(&mut self) {
        for service in 0..self.fleet.services.len() {
            for organisation in 0..self.fleet.organisations.len() {
                self.schedule_arrival(service, organisation);
            }
        }
        for instance in 0..self.entries.len() {
            // The offsets spread the periodic work of the instances. The poll at the start makes every
            // instance fresh before the first request.
            let offset = Duration::from_millis(instance as u64 * 7);
            self.on_poll(instance);
            self.add_after(POLL_PERIOD / 2 + offset, Event::Poll { instance });
            self.add_after(offset, Event::HealthCheck { instance });
            self.add_after(offset, Event::Sync { instance });
            self.add_after(offset / 8, Event::HolderTick { instance });
        }
        self.add_after(SAMPLE_PERIOD, Event::Sample);
        self.add_after(FIRST_LEADER_TICK, Event::LeaderTick);
        for at in self.plan.crashes() {
            self.events.add(at, Event::ServerCrash);
        }
        if self.plan.fault == Fault::InstanceLoss {
            let (start, end) = (self.plan.start, self.plan.end);
            self.events.add(start, Event::InstanceChange { up: false });
            self.events.add(end, Event::InstanceChange { up: true });
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::NewRequest {
                service,
                organisation,
            } => self.on_new_request(service, organisation),
            Event::RequestAtEntry {
                request,
                send_number,
            } => self.on_request_at_entry(request, send_number),
            Event::ResultAtCaller {
                request,
                send_number,
                result,
            } => {
                self.on_result_at_caller(request, send_number, result);
            }
            Event::Resend { request } => self.resend(request),
            Event::ClaimAtWitness {
                request,
                send_number,
                witness,
            } => {
                self.on_claim_at_witness(request, send_number, witness);
            }
            Event::ClaimVote {
                request,
                send_number,
                reply,
            } => {
                self.on_claim_vote(request, send_number, &reply);
            }
            Event::ClaimDeadline {
                request,
                send_number,
            } => self.on_claim_deadline(request, send_number),
            Event::CompleteAtWitness { witness, message } => {
                if self.plan.is_instance_up(witness, self.now) {
                    self.registers[witness].complete(self.now, &message);
                }
            }
            Event::AbandonAtWitness { witness, message } => {
                if self.plan.is_instance_up(witness, self.now) {
                    self.registers[witness].abandon(self.now, &message);
                }
            }
            Event::AttemptAtServer { attempt } => self.on_attempt_at_server(attempt),
            Event::AttemptFinished { attempt } => self.on_attempt_finished(attempt),
            Event::ConnectionClosed { attempt } => self.on_connection_closed(attempt),
            Event::AttemptEnded {
                attempt,
                completion,
            } => {
                self.on_attempt_end(attempt, completion);
            }
            Event::AttemptTimeout { attempt } => self.on_attempt_timeout(attempt),
            Event::Retry {
                request,
                send_number,
            } => self.on_retry(request, send_number),
            Event::HedgeDelay { attempt } => self.on_hedge_delay(attempt),
            Event::QueueExpiry { instance, service } => self.on_queue_expiry(instance, service),
            Event::Poll { instance } => self.on_poll(instance),
            Event::HealthCheck { instance } => self.on_health_check(instance),
            Event::Sync { instance } => self.on_sync(instance),
            Event::SyncAtLeader { message } => self.on_sync_at_leader(*message),
            Event::SyncResponse { message } => self.on_sync_response(*message),
            Event::HolderTick { instance } => self.on_holder_tick(instance),
            Event::AdmissionRetry { waiting } => self.on_admission_retry(waiting),
            Event::AllocationAtLeader { instance, message } => {
                self.on_allocation_at_leader(instance, &message);
            }
            Event::AllocationReply { instance, message } => {
                self.on_allocation_reply(instance, &message);
            }
            Event::LeaderTick => self.on_leader_tick(),
            Event::ServerRestart { server } => self.on_server_restart(server),
            Event::Sample => self.on_sample(),
            Event::ServerCrash => self.on_server_crash(),
            Event::InstanceChange { up } => self.on_instance_change(up),
        }
    }

    /// Schedules an event after a delay.
    pub(crate) fn add_after(&mut self, delay: Duration, event: Event) {
        self.events.add(self.now + delay, event);
    }

    /// Delivers a message after the latency of the path; drops it when the path is broken.
    pub(crate) fn send(&mut self, from: Node, to: Node, event: Event) {
        if self.plan.delivers(from, to, self.now) {
            let latency = if from == to {
                Duration::ZERO
            } else {
                self.fleet.latency(from.zone(), to.zone())
            };
            self.add_after(latency, event);
        }
    }

    pub(crate) fn request_mut(&mut self, id: u64) -> &mut Request {
        self.requests.get_mut(&id).expect("the request exists")
    }

    /// Returns whether this send is the latest one of the request and the entry instance has not
    /// answered it.
    pub(crate) fn is_current_send(&self, id: u64, send_number: u32) -> bool {
        self.requests.get(&id).is_some_and(|request| {
            request.send_count == send_number && request.phase != Phase::Answered
        })
    }

    fn schedule_arrival(&mut self, service: usize, organisation: usize) {
        let offered = self.fleet.services[service].offered_per_s[organisation];
        let rate = offered * self.plan.load_factor(organisation, self.now);
        let at = self.now + draw_poisson_gap(rate, &mut self.arrivals);
        if at < self.length {
            self.events.add(
                at,
                Event::NewRequest {
                    service,
                    organisation,
                },
            );
        }
    }

    fn on_new_request(&mut self, service: usize, organisation: usize) {
        self.schedule_arrival(service, organisation);
        let kind = if self.arrivals.random::<f64>() < ACTION_FRACTION {
            Kind::Action
        } else {
            Kind::Read
        };
        let instance = self
            .callers
            .first_instance(organisation, &mut self.arrivals);
        let id = self.next_request;
        self.next_request += 1;
        self.measurements
            .record_offered(service, organisation, kind, self.now);
        let request = Request {
            service,
            organisation,
            kind,
            first_sent_at: self.now,
            deadline: self.now + REQUEST_TIMEOUT,
            send_count: 1,
            instance,
            phase: Phase::BeforeEntry,
            attempts: 0,
            in_flight: Vec::new(),
            tried: Vec::new(),
            may_have_run: false,
            retry_code: ResultCode::NoBackendServer,
            ticket: None,
            claim: None,
        };
        self.requests.insert(id, request);
        let event = Event::RequestAtEntry {
            request: id,
            send_number: 1,
        };
        self.add_after(CALLER_LATENCY, event);
    }

    fn on_result_at_caller(&mut self, id: u64, send_number: u32, result: CallerResult) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.send_count != send_number {
            return;
        }
        let again = request.send_count < MAX_SENDS && should_resend(request.kind, result);
        if !again {
            let request = self.requests.remove(&id).expect("it was found");
            self.measurements.record_result(&request, result, self.now);
            return;
        }
        let not_run = |code: ResultCode| code.outcome() == Outcome::NotRun;
        let delay = match result {
            CallerResult::Code(code) if not_run(code) => Duration::ZERO,
            _ => RESEND_DELAY,
        };
        self.add_after(delay, Event::Resend { request: id });
    }

    fn resend(&mut self, id: u64) {
        let now = self.now;
        let request = &self.requests[&id];
        let next = self
            .callers
            .next_instance(request.organisation, request.instance);
        let request = self.request_mut(id);
        request.send_count += 1;
        request.instance = next;
        request.phase = Phase::BeforeEntry;
        request.deadline = now + REQUEST_TIMEOUT;
        request.attempts = 0;
        request.in_flight.clear();
        request.tried.clear();
        request.may_have_run = false;
        request.ticket = None;
        request.claim = None;
        let send_number = request.send_count;
        self.add_after(
            CALLER_LATENCY,
            Event::RequestAtEntry {
                request: id,
                send_number,
            },
        );
    }

    fn on_health_check(&mut self, instance: usize) {
        self.add_after(HEALTH_CHECK_PERIOD, Event::HealthCheck { instance });
        let now = self.now;
        for server in 0..self.servers.len() {
            let (entry, other) = (Node::Instance(instance), Node::Server(server));
            let reachable =
                self.plan.delivers(entry, other, now) && self.plan.delivers(other, entry, now);
            let healthy = reachable && !self.plan.fails_health_check(server, now);
            self.entries[instance]
                .router
                .health_checked(server, healthy, now);
        }
    }

    fn on_sample(&mut self) {
        self.add_after(SAMPLE_PERIOD, Event::Sample);
        self.measurements
            .sample(&self.fleet, &self.plan, &self.entries, self.now);
    }

    fn on_server_crash(&mut self) {
        for server in self.plan.servers.clone() {
            self.add_after(CRASH_DOWNTIME, Event::ServerRestart { server });
            for attempt in self.servers[server].crash() {
                self.abort_attempt(attempt);
            }
        }
    }

    fn on_instance_change(&mut self, up: bool) {
        if up {
            self.entries[0] = EntryInstance::new(self.policy, &self.fleet, 0, 2, self.now);
            let life = self.life(0);
            if let Some(allocations) = self.rate_limits.allocations() {
                allocations.restart(0, life);
            }
            self.rebuild_register(0);
            return;
        }
        let life = self.life(0);
        self.lost_lives.push((life, self.now));
        self.entries[0].up = false;
        let mut lost: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| request.instance == 0 && request.phase != Phase::Answered)
            .filter(|(_, request)| request.phase != Phase::BeforeEntry)
            .map(|(id, _)| *id)
            .collect();
        lost.sort_unstable();
        for id in lost {
            self.abort_request(id);
        }
    }

    /// Ends a request whose entry instance has stopped, with all its attempts.
    fn abort_request(&mut self, id: u64) {
        let in_flight = std::mem::take(&mut self.request_mut(id).in_flight);
        for attempt in in_flight {
            if let Some(attempt) = self.attempts.get_mut(&attempt) {
                attempt.awaited = false;
            }
            self.close_attempt(attempt);
        }
        self.answer(id, CallerResult::ConnectionLost);
    }

    /// Marks a request as answered and sends the result to the caller.
    pub(crate) fn answer(&mut self, id: u64, result: CallerResult) {
        let request = self.request_mut(id);
        request.phase = Phase::Answered;
        let send_number = request.send_count;
        let event = Event::ResultAtCaller {
            request: id,
            send_number,
            result,
        };
        self.add_after(CALLER_LATENCY, event);
    }
}

/// Returns whether the caller resends a request after this result. Callers try another instance when
/// one cannot decide or claim a request at the moment or the connection is lost, and repeat an action
/// whose outcome is unknown.
fn should_resend(kind: Kind, result: CallerResult) -> bool {
    let code = match result {
        CallerResult::Delivered => return false,
        CallerResult::ConnectionLost => return true,
        CallerResult::Code(code) => code,
    };
    match code {
        ResultCode::NotFresh
        | ResultCode::ClaimUnavailable
        | ResultCode::ClaimContended
        | ResultCode::AllocationUnavailable
        | ResultCode::Stopping => true,
        ResultCode::BackendFailed | ResultCode::BackendTimeout | ResultCode::InProgress => {
            kind == Kind::Action
        }
        _ => false,
    }
}
