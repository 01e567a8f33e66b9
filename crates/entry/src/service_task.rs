//! Task that owns the state of a service on this instance: balancer, queue, retry and hedge budget,
//! evidence and idle connections.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_kernel::Context;
use radishpaddle_model::{ResultCode, ServiceDocument};
use radishpaddle_policy::balancer::subset_size;
use radishpaddle_policy::budget::{FailedAttempt, RepeatBudget};
use radishpaddle_policy::fair_queue::{FairQueue, QueueLimits, Refused, Waiting};
use radishpaddle_policy::hedge::{HedgeClass, HedgeQuery};
use radishpaddle_policy::intake::spread_retry_after;
use radishpaddle_policy::{
    Balancer, Completion, Member, NoNewRequests, PathAvoidance, Pick, PickRequest, Recorder,
    RequestClass, ServerKey, VerdictView,
};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng};
use tokio::sync::mpsc;

use crate::backend_connection::BackendConnection;
use crate::backend_info::BackendInfo;
use crate::clock::Clock;
use crate::idle_connections::{IdleConnections, process_of};
use crate::server_intake::{ServerIntake, describe};
use crate::service_handle::{
    AcquireReplySender, AcquireRequest, Command, CompletionReporter, FinishedAttempt, Grant,
    NotRun, RetryDecision, ServerStatus, ServiceHandle, ServiceStatus,
};
use crate::settings::LimitSettings;

/// Capacity of the command channel of the task.
const COMMAND_QUEUE_CAPACITY: usize = 4096;

/// Period in which queued requests are checked for expiry and free slots, besides the check after
/// each command.
const QUEUE_CHECK_PERIOD: Duration = Duration::from_millis(5);

/// Expected service time of a request class without samples.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(20);

/// Weight of the newest report in the exponential moving average of the requests that other
/// instances have in flight. At one report per 250 ms the time constant is about 8 s. In the
/// emulator at 90 % load, the averaging reduced refusals within the rate from 222 to 0.2 per 1,000
/// requests.
const OTHERS_IN_FLIGHT_EMA_WEIGHT: f64 = 0.03;

/// Maximum number of connections from all entry instances to one backend server.
const MAX_FLEET_CONNECTIONS_PER_SERVER: usize = 330;

/// Maximum number of connections from one entry instance to one backend server.
const MAX_INSTANCE_CONNECTIONS_PER_SERVER: usize = 8;

/// Starts the task of a service.
#[must_use]
pub fn spawn(
    document: Arc<ServiceDocument>,
    context: &Context,
    clock: Clock,
    intake: ServerIntake,
    limits: &LimitSettings,
) -> ServiceHandle {
    let (commands, receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let now = clock.now();
    let queue_limits = QueueLimits {
        per_organisation: limits.queue_length,
        total: limits.queue_length,
    };
    let task = ServiceTask {
        clock,
        balancer: Balancer::new(&context.instance, context.availability_zone.clone()),
        verdicts: VerdictView::new(context.instance.clone()),
        path_avoidance: PathAvoidance::new(),
        recorder: Recorder::new(),
        queue: FairQueue::new(queue_limits),
        budget: RepeatBudget::new(&document.retry, now),
        hedge_classes: HashMap::new(),
        servers: HashMap::new(),
        intake,
        open_slots: 0,
        first_pause_end: None,
        idle_connections: IdleConnections::new(limits.idle_connections_per_server),
        average_others_in_flight: HashMap::new(),
        own_in_flight: 0,
        instances: 1,
        rng: SmallRng::from_os_rng(),
        commands: commands.downgrade(),
        document,
    };
    tokio::spawn(task.run(receiver));
    ServiceHandle { commands }
}

struct ServiceTask {
    clock: Clock,
    document: Arc<ServiceDocument>,
    balancer: Balancer,
    verdicts: VerdictView,
    path_avoidance: PathAvoidance,
    recorder: Recorder,
    queue: FairQueue<(AcquireRequest, AcquireReplySender)>,
    budget: RepeatBudget,
    hedge_classes: HashMap<RequestClass, HedgeClass>,
    servers: HashMap<ServerKey, Arc<BackendInfo>>,
    /// What the servers said in their responses about new requests.
    intake: ServerIntake,
    /// Slots of the servers that take new requests.
    open_slots: u32,
    /// Earliest end of the pauses of the serving servers.
    first_pause_end: Option<Duration>,
    idle_connections: IdleConnections,
    average_others_in_flight: HashMap<ServerKey, f64>,
    own_in_flight: u32,
    instances: usize,
    rng: SmallRng,
    commands: mpsc::WeakSender<Command>,
}

impl ServiceTask {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut ticks = tokio::time::interval(QUEUE_CHECK_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                _ = ticks.tick(), if !self.queue.is_empty() => (),
            }
            self.dispatch_queued();
        }
    }

    fn handle(&mut self, command: Command) {
        let now = self.clock.now();
        self.end_pauses(now);
        match command {
            Command::Configure(document) => self.configure(document),
            Command::SetServers(servers, instances) => self.set_servers(servers, instances),
            Command::ApplyVerdicts(update, requested_at) => {
                self.verdicts.apply(update, requested_at);
            }
            Command::SetOthersInFlight(counts) => self.update_others_in_flight(counts),
            Command::ReleaseShedRequest(server) => self.balancer.completed(server, None),
            Command::AvoidPath(server) => self.path_avoidance.advise(server, now),
            Command::Acquire(request, reply) => self.enqueue(request, reply, now),
            Command::Hedge(request, query, reply) => {
                let _ = reply.send(self.hedge(&request, query, now));
            }
            Command::AttemptFinished(finished) => self.complete_attempt(finished, now),
            Command::Retry(failed, class, reply) => {
                let _ = reply.send(self.decide_retry(failed, class, now));
            }
            Command::TakeEvidence(reply) => {
                let _ = reply.send(self.recorder.drain(now));
            }
            Command::Status(reply) => {
                let _ = reply.send(self.status(now));
            }
        }
    }

    fn configure(&mut self, document: Arc<ServiceDocument>) {
        self.budget.set_policy(&document.retry);
        for limit in &document.organisations {
            // The share of an organisation in the queue is its rate in requests per second, rounded
            // up.
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "casts from f64 saturate and a rate is not negative"
            )]
            let share = limit.rate_per_s.as_f64().ceil() as u32;
            self.queue
                .set_share(limit.organisation.clone(), share.max(1));
        }
        self.document = document;
        self.update_members();
    }

    fn set_servers(&mut self, servers: Vec<Arc<BackendInfo>>, instances: usize) {
        self.instances = instances.max(1);
        let now = self.clock.now();
        let servers = servers.into_iter().map(|server| (server.key, server));
        self.servers = servers.collect();
        for server in self.servers.values() {
            self.intake.announced(server, now);
        }
        let known = &self.servers;
        self.idle_connections.retain(|key, process| {
            let server = known.get(&key);
            server.is_some_and(|server| process_of(server) == process)
        });
        self.update_members();
    }

    /// Lets the servers whose pause is over take requests again.
    fn end_pauses(&mut self, now: Duration) {
        // The announced incarnation may be another one than that of the pause.
        let is_over = self.first_pause_end.is_some_and(|end| end <= now);
        if self.intake.end_pauses(now) || is_over {
            self.update_members();
        }
    }

    /// Returns a server as a member for the balancer. One that has said that it leaves or wants a
    /// pause takes no new requests, like a draining one, and stays in the base of the capacity floor.
    fn member(&self, server: &BackendInfo, now: Duration) -> Member {
        Member {
            draining: !self.intake.takes_requests(server, now),
            ..server.member()
        }
    }

    fn update_members(&mut self) {
        let now = self.clock.now();
        let servers = self.servers.values();
        let members: Vec<_> = servers.map(|server| self.member(server, now)).collect();
        let open = members.iter().filter(|member| !member.draining);
        self.open_slots = open.map(|member| member.slots).sum();
        self.first_pause_end = self.intake.first_pause_end(self.servers.values(), now);
        let subset = subset_size(
            members.len(),
            self.instances,
            MAX_FLEET_CONNECTIONS_PER_SERVER,
            MAX_INSTANCE_CONNECTIONS_PER_SERVER,
        );
        self.balancer
            .set_members(&members, self.document.floor_percent, subset);
        self.apply_others_in_flight();
    }

    /// Updates the moving average of the requests that other instances have in flight. A single
    /// report is several service times old; if the instances used it as it is, all of them would
    /// send to the servers that were free at that time.
    fn update_others_in_flight(&mut self, counts: Vec<(ServerKey, u32)>) {
        let newest: HashMap<ServerKey, u32> = counts.into_iter().collect();
        for server in self.servers.keys() {
            let newest = f64::from(newest.get(server).copied().unwrap_or(0));
            let average = self.average_others_in_flight.entry(*server).or_insert(0.0);
            *average += (newest - *average) * OTHERS_IN_FLIGHT_EMA_WEIGHT;
        }
        self.apply_others_in_flight();
    }

    fn apply_others_in_flight(&mut self) {
        let known = &self.servers;
        self.average_others_in_flight
            .retain(|server, _| known.contains_key(server));
        for (server, average) in &self.average_others_in_flight {
            self.balancer
                .set_others_in_flight(*server, rounded(*average));
        }
    }

    fn enqueue(&mut self, request: AcquireRequest, reply: AcquireReplySender, now: Duration) {
        if request.is_first_attempt {
            self.budget.record_first_attempt(now);
        }
        if self.servers.is_empty() || self.are_all_paused() {
            let _ = reply.send(Err(self.no_server(now)));
            return;
        }
        let waiting = Waiting {
            organisation: request.organisation.clone(),
            weight: request.weight,
            deadline: request.deadline,
            expected_service: self.expected_service(request.class),
            payload: (request, reply),
        };
        match self.queue.push(now, waiting) {
            Ok(queued) => {
                if let Some(evicted) = queued.evicted {
                    reply_refused(evicted);
                }
            }
            Err(refused) => reply_refused(*refused),
        }
    }

    /// Returns whether no server takes requests, and at least one of them because it wants a pause.
    const fn are_all_paused(&self) -> bool {
        self.open_slots == 0 && self.first_pause_end.is_some()
    }

    /// Returns the refusal of a request for which there is no server. With paused servers, it tells the
    /// caller when to return.
    fn no_server(&mut self, now: Duration) -> NotRun {
        NotRun {
            code: ResultCode::NoBackendServer,
            retry_after: self.time_to_return(now),
        }
    }

    /// Returns the time after which refused callers should return: the end of the first pause with a
    /// random spread; `None` if no server wants a pause.
    fn time_to_return(&mut self, now: Duration) -> Option<Duration> {
        let first_end = self.first_pause_end?;
        Some(spread_retry_after(first_end, now, self.rng.random()))
    }

    fn decide_retry(
        &mut self,
        failed: FailedAttempt,
        class: RequestClass,
        now: Duration,
    ) -> RetryDecision {
        if self.are_all_paused() {
            let retry_after = self.time_to_return(now);
            return RetryDecision::Denied { retry_after };
        }
        let failed = FailedAttempt {
            expected_service: self.expected_service(class),
            ..failed
        };
        match self.budget.try_retry(now, &failed) {
            Ok(()) => RetryDecision::After(RepeatBudget::retry_delay(&failed)),
            Err(_) => RetryDecision::Denied { retry_after: None },
        }
    }

    /// Dispatches queued requests while a server has a free slot, or while this instance uses less
    /// than its share of the slots. The share lets the instance dispatch even if its view of the
    /// load of others is out of date.
    fn dispatch_queued(&mut self) {
        let now = self.clock.now();
        self.end_pauses(now);
        let mut refused = Vec::new();
        self.queue.expire(now, &mut refused);
        while !self.queue.is_empty() && self.has_capacity(now) {
            let Some(ready) = self.queue.pop(now, &mut refused) else {
                break;
            };
            let (request, reply) = ready.request.payload;
            if reply.is_closed() {
                continue;
            }
            let grant = match self.pick(&request, now) {
                Some(pick) => {
                    let grant = self.grant(&request, pick, now);
                    grant.ok_or_else(|| ResultCode::NoRoute.into())
                }
                None => Err(self.no_server(now)),
            };
            let _ = reply.send(grant);
        }
        refused.into_iter().for_each(reply_refused);
    }

    fn has_capacity(&mut self, now: Duration) -> bool {
        let request = PickRequest {
            now,
            may_trial: false,
            exclude: &[],
        };
        let pick = self.balancer.pick(
            &request,
            &self.verdicts,
            &self.path_avoidance,
            &mut self.rng,
        );
        match pick {
            Some(pick) if pick.over_slots => self.own_in_flight < self.fair_slot_share(),
            // Without a usable server the queued requests are taken too, in order to be refused.
            _ => true,
        }
    }

    fn fair_slot_share(&self) -> u32 {
        let instances = u32::try_from(self.instances).unwrap_or(u32::MAX);
        self.open_slots.div_ceil(instances).max(1)
    }

    fn pick(&mut self, request: &AcquireRequest, now: Duration) -> Option<Pick> {
        let query = PickRequest {
            now,
            may_trial: request.idempotent,
            exclude: &request.excluded,
        };
        let pick = self
            .balancer
            .pick(&query, &self.verdicts, &self.path_avoidance, &mut self.rng);
        // If earlier attempts have used all servers, one of them is used again.
        pick.or_else(|| {
            let any_server = PickRequest {
                exclude: &[],
                ..query
            };
            self.balancer.pick(
                &any_server,
                &self.verdicts,
                &self.path_avoidance,
                &mut self.rng,
            )
        })
    }

    fn grant(&mut self, request: &AcquireRequest, pick: Pick, now: Duration) -> Option<Grant> {
        let server = Arc::clone(self.servers.get(&pick.server)?);
        let commands = self.commands.upgrade()?;
        let dispatch = self
            .recorder
            .dispatched(pick.server, request.class, pick.over_slots, now);
        self.balancer.dispatched(pick.server);
        self.own_in_flight += 1;
        let connection = self.idle_connections.take(&server, request.idempotent);
        let class = self.hedge_classes.get(&request.class);
        let hedged = request.idempotent && self.document.retry.hedge;
        Some(Grant {
            connection,
            server: Arc::clone(&server),
            hedge_after: class.filter(|_| hedged).and_then(|class| class.delay(None)),
            reporter: CompletionReporter {
                server,
                dispatch,
                class: request.class,
                commands,
                finished: false,
            },
        })
    }

    fn hedge(
        &mut self,
        request: &AcquireRequest,
        query: HedgeQuery,
        now: Duration,
    ) -> Option<Grant> {
        let pick_request = PickRequest {
            now,
            may_trial: false,
            exclude: &request.excluded,
        };
        let pick = self.balancer.pick(
            &pick_request,
            &self.verdicts,
            &self.path_avoidance,
            &mut self.rng,
        )?;
        let others = rounded(self.average_others_in_flight.values().sum());
        let query = HedgeQuery {
            in_flight: others + self.own_in_flight,
            slots: self
                .balancer
                .usable_slots(&self.verdicts, &self.path_avoidance, now),
            other_server_free: !pick.over_slots,
            ..query
        };
        let class = self.hedge_classes.get(&request.class)?;
        class.try_hedge(now, &query, &mut self.budget).ok()?;
        self.grant(request, pick, now)
    }

    fn complete_attempt(&mut self, finished: FinishedAttempt, now: Duration) {
        self.record_signals(&finished, now);
        let server = finished.server.key;
        let Some(recorded) = self
            .recorder
            .completed(finished.dispatch, finished.completion, now)
        else {
            return;
        };
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        let succeeded =
            matches!(finished.completion, Completion::Answered { status } if status < 500);
        let latency = succeeded.then_some(recorded.elapsed);
        if finished.completion == Completion::Shed {
            self.release_slot_later(server, finished.class);
        } else {
            self.balancer.completed(server, latency);
        }
        self.path_avoidance
            .observe(server, finished.completion, now);
        if let Some(latency) = latency {
            let class = self.hedge_classes.entry(finished.class);
            class
                .or_insert_with(|| HedgeClass::new(now))
                .record(now, latency);
        }
        if let Some(connection) = finished.connection {
            self.keep_idle(&finished.server, connection, now);
        }
    }

    fn record_signals(&mut self, finished: &FinishedAttempt, now: Duration) {
        let (server, random) = (&finished.server, self.rng.random());
        if !self.intake.record(server, finished.signals, random, now) {
            return;
        }
        if self.intake.refusal(server, now) == Some(NoNewRequests::Leaving) {
            self.idle_connections.close(server.key);
        }
        self.update_members();
    }

    /// Releases the slot of a shed request after the expected service time. A server sheds because
    /// it is busy, but responds at once; if the slot were released at once, the server would look
    /// free and get more requests.
    fn release_slot_later(&self, server: ServerKey, class: RequestClass) {
        let Some(commands) = self.commands.upgrade() else {
            return;
        };
        let busy_for = self.expected_service(class);
        tokio::spawn(async move {
            tokio::time::sleep(busy_for).await;
            let _ = commands.send(Command::ReleaseShedRequest(server)).await;
        });
    }

    fn keep_idle(&mut self, server: &BackendInfo, connection: BackendConnection, now: Duration) {
        let current = self.servers.get(&server.key);
        let is_current = current.is_some_and(|current| process_of(current) == process_of(server));
        if is_current && self.intake.refusal(server, now) != Some(NoNewRequests::Leaving) {
            self.idle_connections.keep(server, connection);
        }
    }

    fn expected_service(&self, class: RequestClass) -> Duration {
        self.hedge_classes
            .get(&class)
            .and_then(HedgeClass::median)
            .unwrap_or(DEFAULT_SERVICE_TIME)
    }

    fn status(&mut self, now: Duration) -> ServiceStatus {
        let mut servers: Vec<_> = self
            .servers
            .values()
            .map(|server| ServerStatus {
                backend_server: server.backend_server.to_string(),
                address: server.address,
                state: server.state,
                intake: describe(self.intake.refusal(server, now), now),
                in_flight: self.recorder.in_flight(server.key),
                standing: format!("{:?}", self.verdicts.standing(server.key, now)),
                path: format!("{:?}", self.path_avoidance.state(server.key, now)),
            })
            .collect();
        servers.sort_by(|left, right| left.backend_server.cmp(&right.backend_server));
        ServiceStatus {
            queued: self.queue.len(),
            usable_slots: self
                .balancer
                .usable_slots(&self.verdicts, &self.path_avoidance, now),
            servers,
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "casts from f64 saturate and a count is not negative"
)]
fn rounded(average: f64) -> u32 {
    average.round() as u32
}

fn reply_refused(refused: Refused<(AcquireRequest, AcquireReplySender)>) {
    let (_, reply) = refused.request.payload;
    let _ = reply.send(Err(refused.code.into()));
}
