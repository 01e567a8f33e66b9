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
use crate::caller::{Callers, MAX_SENDINGS, RESEND_DELAY};
use crate::claims::{POLL_PERIOD, registers};
use crate::ejection::HEALTH_PERIOD;
use crate::entry::Entry;
use crate::fault::{CRASH_DOWN, Fault, FaultPlan, Node};
use crate::figures::RunFigures;
use crate::leader::{Leadership, SyncRequest, SyncResponse};
use crate::measure::Measure;
use crate::number::{exponential_gap, mixed};
use crate::policy::Policy;
use crate::rate::{Rates, WaitingRequest};
use crate::request::{Attempt, CallerResult, Kind, Phase, Request};
use crate::schedule::Schedule;
use crate::user::{ACTION_PART, CALLER_LATENCY, Fleet, REQUEST_TIMEOUT, User};
use radishpaddle_model::{Outcome, ResultCode};

/// Period at which the state of ejection is measured.
pub const SAMPLE_PERIOD: Duration = Duration::from_millis(50);

/// Offset of the leader's period; the reports of all instances come before it.
const LEADER_OFFSET: Duration = Duration::from_millis(150);

/// Time after the last arrival in which requests may still end.
const TAIL: Duration = Duration::from_secs(8);

/// What happens at one time. Numbers named `request`, `attempt`, `instance`, `service` and `server`
/// are indexes or ids of this run; `sending` tells a repeated request from its earlier sendings.
#[derive(Debug)]
#[expect(missing_docs, reason = "the fields are described above")]
pub enum Event {
    /// A caller has a new request.
    Arrival { service: usize, organisation: usize },
    /// A request reaches an entry instance.
    AtEntry { request: u64, sending: u32 },
    /// The result reaches the caller.
    AtCaller {
        request: u64,
        sending: u32,
        result: CallerResult,
    },
    /// The caller sends a request again.
    Resend { request: u64 },
    /// A claim reaches a witness.
    ClaimAtWitness {
        request: u64,
        sending: u32,
        witness: usize,
    },
    /// The vote of a witness reaches the entry instance.
    ClaimVote {
        request: u64,
        sending: u32,
        reply: Box<ClaimReply>,
    },
    /// The time for a claim is over.
    ClaimTick { request: u64, sending: u32 },
    /// The outcome of an action reaches a witness.
    Complete {
        witness: usize,
        message: Box<CompleteRequest>,
    },
    /// The end of a claim reaches a witness.
    Abandon {
        witness: usize,
        message: Box<AbandonRequest>,
    },
    /// An attempt reaches a backend server.
    AtServer { attempt: u64 },
    /// A backend server has finished an attempt.
    Finished { attempt: u64 },
    /// The connection of an attempt is closed at the backend server.
    Closed { attempt: u64 },
    /// The end of an attempt reaches the entry instance.
    AttemptEnded {
        attempt: u64,
        completion: Completion,
    },
    /// The time for an attempt is over.
    AttemptTimeout { attempt: u64 },
    /// The delay before a retry has passed.
    Retry { request: u64, sending: u32 },
    /// The hedge delay of an attempt has passed.
    HedgeDelay { attempt: u64 },
    /// An entry instance looks at its queue.
    LookAtQueue { instance: usize, service: usize },
    /// An entry instance polls the witnesses.
    Poll { instance: usize },
    /// An entry instance checks the health endpoints.
    HealthCheck { instance: usize },
    /// An entry instance synchronises with the leader.
    Sync { instance: usize },
    /// A report reaches the leader.
    SyncAtLeader { message: Box<SyncRequest> },
    /// The answer of the leader reaches the entry instance.
    SyncResponse { message: Box<SyncResponse> },
    /// A holder looks for due reports.
    HolderTick { instance: usize },
    /// A request that waits for a token asks again.
    AskAgain { waiting: WaitingRequest },
    /// Reports of a holder reach the leader.
    AllocationAtLeader {
        instance: usize,
        message: Box<AllocationRequest>,
    },
    /// The answer of the pool reaches the holder.
    AllocationReply {
        instance: usize,
        message: Box<AllocationReply>,
    },
    /// The leader decides, or another one is elected.
    LeaderTick,
    /// A crashed server has started again.
    ServerRestart { server: usize },
    /// The state of ejection is measured.
    Sample,
    /// The faulty servers crash.
    Crash,
    /// The lost instance ends or comes back.
    InstanceChange { up: bool },
}

/// One run of one policy with one fault and one seed.
#[derive(Debug)]
pub struct Emulator {
    pub(crate) now: Duration,
    pub(crate) schedule: Schedule<Event>,
    pub(crate) fleet: Fleet,
    pub(crate) plan: FaultPlan,
    pub(crate) policy: Policy,
    pub(crate) seed: u64,
    pub(crate) rng: SmallRng,
    pub(crate) requests: HashMap<u64, Request>,
    pub(crate) attempts: HashMap<u64, Attempt>,
    pub(crate) servers: Vec<BackendServer>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) registers: Vec<ClaimRegister>,
    pub(crate) rates: Rates,
    pub(crate) leadership: Leadership,
    pub(crate) server_incarnations: Vec<u64>,
    pub(crate) lost_lives: Vec<(InstanceIncarnation, Duration)>,
    pub(crate) measure: Measure,
    pub(crate) next_claim: u64,
    pub(crate) next_attempt: u64,
    arrivals: SmallRng,
    callers: Callers,
    next_request: u64,
    length: Duration,
}

impl Emulator {
    /// A run that has not started.
    #[must_use]
    pub fn new(user: User, fault: Fault, policy: Policy, seed: u64, length: Duration) -> Self {
        let fleet = user.fleet(fault.load());
        let plan = FaultPlan::new(fault, &fleet, length, seed);
        let entries = (0..fleet.instances.len())
            .map(|instance| Entry::new(policy, &fleet, instance, 1, Duration::ZERO))
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
            schedule: Schedule::default(),
            servers: servers.collect(),
            entries,
            registers: registers(),
            rates: Rates::new(policy, &fleet),
            leadership: Leadership::new(&fleet),
            server_incarnations: vec![1; fleet.server_count()],
            lost_lives: Vec::new(),
            measure: Measure::new(&fleet, &plan, length),
            rng: SmallRng::seed_from_u64(mixed(&[seed, 2])),
            arrivals: SmallRng::seed_from_u64(mixed(&[seed, 1])),
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

    /// Runs to the end and returns the figures.
    #[must_use]
    pub fn run(mut self) -> RunFigures {
        self.start();
        while let Some((at, event)) = self.schedule.pop() {
            if at > self.length + TAIL {
                break;
            }
            self.now = at;
            self.on_event(event);
        }
        self.measure.figures(&self.fleet)
    }

    fn start(&mut self) {
        for service in 0..self.fleet.services.len() {
            for organisation in 0..self.fleet.organisations.len() {
                self.schedule_arrival(service, organisation);
            }
        }
        for instance in 0..self.entries.len() {
            // Spreads the periodic work of the instances; every instance is fresh before the first
            // request.
            let offset = Duration::from_millis(instance as u64 * 7);
            self.on_poll(instance);
            self.add_after(POLL_PERIOD / 2 + offset, Event::Poll { instance });
            self.add_after(offset, Event::HealthCheck { instance });
            self.add_after(offset, Event::Sync { instance });
            self.add_after(offset / 8, Event::HolderTick { instance });
        }
        self.add_after(SAMPLE_PERIOD, Event::Sample);
        self.add_after(LEADER_OFFSET, Event::LeaderTick);
        for at in self.plan.crashes() {
            self.schedule.add(at, Event::Crash);
        }
        if self.plan.fault == Fault::InstanceLoss {
            let (start, end) = (self.plan.start, self.plan.end);
            self.schedule
                .add(start, Event::InstanceChange { up: false });
            self.schedule.add(end, Event::InstanceChange { up: true });
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrival {
                service,
                organisation,
            } => self.on_arrival(service, organisation),
            Event::AtEntry { request, sending } => self.on_entry(request, sending),
            Event::AtCaller {
                request,
                sending,
                result,
            } => {
                self.on_caller(request, sending, result);
            }
            Event::Resend { request } => self.send_again(request),
            Event::ClaimAtWitness {
                request,
                sending,
                witness,
            } => {
                self.on_claim_at_witness(request, sending, witness);
            }
            Event::ClaimVote {
                request,
                sending,
                reply,
            } => {
                self.on_claim_vote(request, sending, &reply);
            }
            Event::ClaimTick { request, sending } => self.on_claim_tick(request, sending),
            Event::Complete { witness, message } => {
                if self.plan.instance_up(witness, self.now) {
                    self.registers[witness].complete(self.now, &message);
                }
            }
            Event::Abandon { witness, message } => {
                if self.plan.instance_up(witness, self.now) {
                    self.registers[witness].abandon(self.now, &message);
                }
            }
            Event::AtServer { attempt } => self.on_server(attempt),
            Event::Finished { attempt } => self.on_finished(attempt),
            Event::Closed { attempt } => self.on_closed(attempt),
            Event::AttemptEnded {
                attempt,
                completion,
            } => {
                self.on_attempt_end(attempt, completion);
            }
            Event::AttemptTimeout { attempt } => self.on_attempt_timeout(attempt),
            Event::Retry { request, sending } => self.on_retry(request, sending),
            Event::HedgeDelay { attempt } => self.on_hedge_delay(attempt),
            Event::LookAtQueue { instance, service } => self.on_look(instance, service),
            Event::Poll { instance } => self.on_poll(instance),
            Event::HealthCheck { instance } => self.on_health_check(instance),
            Event::Sync { instance } => self.on_sync(instance),
            Event::SyncAtLeader { message } => self.on_sync_at_leader(*message),
            Event::SyncResponse { message } => self.on_sync_response(*message),
            Event::HolderTick { instance } => self.on_holder_tick(instance),
            Event::AskAgain { waiting } => self.on_ask_again(waiting),
            Event::AllocationAtLeader { instance, message } => {
                self.on_allocation_at_leader(instance, &message);
            }
            Event::AllocationReply { instance, message } => {
                self.on_allocation_reply(instance, &message);
            }
            Event::LeaderTick => self.on_leader_tick(),
            Event::ServerRestart { server } => self.on_server_restart(server),
            Event::Sample => self.on_sample(),
            Event::Crash => self.on_crash(),
            Event::InstanceChange { up } => self.on_instance_change(up),
        }
    }

    /// Adds an event after a delay.
    pub(crate) fn add_after(&mut self, delay: Duration, event: Event) {
        self.schedule.add(self.now + delay, event);
    }

    /// Sends a message; it is lost when the path is broken.
    pub(crate) fn send(&mut self, from: Node, to: Node, event: Event) {
        if self.plan.passes(from, to, self.now) {
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

    /// Whether the request is still in this sending and the entry instance has not answered.
    pub(crate) fn is_sending(&self, id: u64, sending: u32) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|request| request.sendings == sending && request.phase != Phase::Answered)
    }

    fn schedule_arrival(&mut self, service: usize, organisation: usize) {
        let offered = self.fleet.services[service].offered_per_s[organisation];
        let rate = offered * self.plan.load_factor(organisation, self.now);
        let at = self.now + exponential_gap(rate, &mut self.arrivals);
        if at < self.length {
            self.schedule.add(
                at,
                Event::Arrival {
                    service,
                    organisation,
                },
            );
        }
    }

    fn on_arrival(&mut self, service: usize, organisation: usize) {
        self.schedule_arrival(service, organisation);
        let kind = if self.arrivals.random::<f64>() < ACTION_PART {
            Kind::Action
        } else {
            Kind::Read
        };
        let instance = self.callers.first(organisation, &mut self.arrivals);
        let id = self.next_request;
        self.next_request += 1;
        self.measure.offered(service, organisation, kind, self.now);
        let request = Request {
            service,
            organisation,
            kind,
            first_sent_at: self.now,
            deadline: self.now + REQUEST_TIMEOUT,
            sendings: 1,
            instance,
            phase: Phase::AtCaller,
            attempts: 0,
            live: Vec::new(),
            tried: Vec::new(),
            may_have_run: false,
            retry_code: ResultCode::NoBackendServer,
            ticket: None,
            claim: None,
        };
        self.requests.insert(id, request);
        let event = Event::AtEntry {
            request: id,
            sending: 1,
        };
        self.add_after(CALLER_LATENCY, event);
    }

    fn on_caller(&mut self, id: u64, sending: u32, result: CallerResult) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.sendings != sending {
            return;
        }
        let again = request.sendings < MAX_SENDINGS && is_sent_again(request.kind, result);
        if !again {
            let request = self.requests.remove(&id).expect("it was found");
            self.measure.ended(&request, result, self.now);
            return;
        }
        let not_run = |code: ResultCode| code.outcome() == Outcome::NotRun;
        let delay = match result {
            CallerResult::Code(code) if not_run(code) => Duration::ZERO,
            _ => RESEND_DELAY,
        };
        self.add_after(delay, Event::Resend { request: id });
    }

    fn send_again(&mut self, id: u64) {
        let now = self.now;
        let request = &self.requests[&id];
        let next = self.callers.next(request.organisation, request.instance);
        let request = self.request_mut(id);
        request.sendings += 1;
        request.instance = next;
        request.phase = Phase::AtCaller;
        request.deadline = now + REQUEST_TIMEOUT;
        request.attempts = 0;
        request.live.clear();
        request.tried.clear();
        request.may_have_run = false;
        request.ticket = None;
        request.claim = None;
        let sending = request.sendings;
        self.add_after(
            CALLER_LATENCY,
            Event::AtEntry {
                request: id,
                sending,
            },
        );
    }

    fn on_health_check(&mut self, instance: usize) {
        self.add_after(HEALTH_PERIOD, Event::HealthCheck { instance });
        let now = self.now;
        for server in 0..self.servers.len() {
            let (entry, other) = (Node::Instance(instance), Node::Server(server));
            let reachable =
                self.plan.passes(entry, other, now) && self.plan.passes(other, entry, now);
            let healthy = reachable && !self.plan.health_shows_fault(server, now);
            self.entries[instance]
                .router
                .health_checked(server, healthy, now);
        }
    }

    fn on_sample(&mut self) {
        self.add_after(SAMPLE_PERIOD, Event::Sample);
        self.measure
            .sample(&self.fleet, &self.plan, &self.entries, self.now);
    }

    fn on_crash(&mut self) {
        for server in self.plan.servers.clone() {
            self.add_after(CRASH_DOWN, Event::ServerRestart { server });
            for attempt in self.servers[server].crash() {
                self.lose_attempt(attempt);
            }
        }
    }

    fn on_instance_change(&mut self, up: bool) {
        if up {
            self.entries[0] = Entry::new(self.policy, &self.fleet, 0, 2, self.now);
            let life = self.life(0);
            if let Some(rates) = self.rates.allocations() {
                rates.restart(0, life);
            }
            self.recover_register(0);
            return;
        }
        let life = self.life(0);
        self.lost_lives.push((life, self.now));
        self.entries[0].up = false;
        let mut lost: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| request.instance == 0 && request.phase != Phase::Answered)
            .filter(|(_, request)| request.phase != Phase::AtCaller)
            .map(|(id, _)| *id)
            .collect();
        lost.sort_unstable();
        for id in lost {
            self.lose_request(id);
        }
    }

    fn lose_request(&mut self, id: u64) {
        let live = std::mem::take(&mut self.request_mut(id).live);
        for attempt in live {
            if let Some(attempt) = self.attempts.get_mut(&attempt) {
                attempt.live = false;
            }
            self.close_attempt(attempt);
        }
        self.answer(id, CallerResult::ConnectionLost);
    }

    /// Sends the result to the caller.
    pub(crate) fn answer(&mut self, id: u64, result: CallerResult) {
        let request = self.request_mut(id);
        request.phase = Phase::Answered;
        let sending = request.sendings;
        let event = Event::AtCaller {
            request: id,
            sending,
            result,
        };
        self.add_after(CALLER_LATENCY, event);
    }
}

/// Callers go to another address when an instance cannot serve them now, and repeat an action whose
/// outcome they do not know.
fn is_sent_again(kind: Kind, result: CallerResult) -> bool {
    let code = match result {
        CallerResult::Delivered => return false,
        CallerResult::ConnectionLost => return true,
        CallerResult::Code(code) => code,
    };
    match code {
        ResultCode::NotFresh
        | ResultCode::ClaimUnavailable
        | ResultCode::ClaimContended
        | ResultCode::AllocationUnavailable => true,
        ResultCode::BackendFailed | ResultCode::BackendTimeout | ResultCode::InProgress => {
            kind == Kind::Action
        }
        _ => false,
    }
}
