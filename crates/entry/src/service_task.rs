//! The task that owns everything about one service on this instance: balancer, queue, budgets,
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
use radishpaddle_policy::{
    Balancer, Completion, PathAvoidance, Pick, PickRequest, Recorder, RequestClass, ServerKey,
    VerdictView,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::mpsc;

use crate::backend_connection::BackendConnection;
use crate::backend_info::BackendInfo;
use crate::clock::Clock;
use crate::service_handle::{
    Acquire, AcquireReply, Command, Finished, Grant, GrantReport, ServerStatus, ServiceHandle,
    ServiceStatus,
};

/// Commands that wait for the task.
const COMMAND_QUEUE: usize = 4096;

/// Period at which queued requests are looked at without another event.
const QUEUE_PERIOD: Duration = Duration::from_millis(5);

/// Expected service time of a class that has no samples yet.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(20);

/// Weight of the newest load that the leader tells, at one report per 250 ms; the memory is about
/// 8 s. In the emulator at 90 % load this took refusals within the rate from 222 to 0.2 in 1,000.
const LOAD_GAIN: f64 = 0.03;

/// Connections that a backend server takes from the whole fleet.
const CONNECTIONS_PER_SERVER: usize = 330;

/// Connections that one instance keeps to one backend server at most.
const CONNECTIONS_PER_PAIR: usize = 8;

/// Starts the task of a service.
#[must_use]
pub fn spawn(
    document: Arc<ServiceDocument>,
    context: &Context,
    clock: Clock,
    queue_length: usize,
    idle_per_server: usize,
) -> ServiceHandle {
    let (commands, receiver) = mpsc::channel(COMMAND_QUEUE);
    let now = clock.now();
    let limits = QueueLimits {
        per_organisation: queue_length,
        total: queue_length,
    };
    let task = ServiceTask {
        clock,
        balancer: Balancer::new(&context.instance, context.availability_zone.clone()),
        verdicts: VerdictView::new(context.instance.clone()),
        paths: PathAvoidance::new(),
        recorder: Recorder::new(),
        queue: FairQueue::new(limits),
        budget: RepeatBudget::new(&document.retry, now),
        classes: HashMap::new(),
        servers: HashMap::new(),
        idle: HashMap::new(),
        idle_per_server,
        others_in_flight: HashMap::new(),
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
    paths: PathAvoidance,
    recorder: Recorder,
    queue: FairQueue<(Acquire, AcquireReply)>,
    budget: RepeatBudget,
    classes: HashMap<RequestClass, HedgeClass>,
    servers: HashMap<ServerKey, Arc<BackendInfo>>,
    idle: HashMap<ServerKey, Vec<BackendConnection>>,
    idle_per_server: usize,
    others_in_flight: HashMap<ServerKey, f64>,
    own_in_flight: u32,
    instances: usize,
    rng: SmallRng,
    commands: mpsc::WeakSender<Command>,
}

impl ServiceTask {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut ticks = tokio::time::interval(QUEUE_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                _ = ticks.tick(), if !self.queue.is_empty() => (),
            }
            self.serve_queue();
        }
    }

    fn handle(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Configure(document) => self.configure(document),
            Command::Servers(servers, instances) => self.set_servers(servers, instances),
            Command::Verdicts(update, requested_at) => {
                self.verdicts.apply(update, requested_at);
            }
            Command::OthersInFlight(counts) => self.set_others(counts),
            Command::ShedOver(server) => self.balancer.completed(server, None),
            Command::AvoidPath(server) => self.paths.advise(server, now),
            Command::Acquire(request, reply) => self.enqueue(request, reply, now),
            Command::Hedge(request, query, reply) => {
                let _ = reply.send(self.hedge(&request, query, now));
            }
            Command::Finished(finished) => self.finish(finished, now),
            Command::Retry(failed, class, reply) => {
                let failed = FailedAttempt {
                    expected_service: self.expected_service(class),
                    ..failed
                };
                let permitted = self.budget.try_retry(now, &failed);
                let delay = permitted.map(|()| RepeatBudget::retry_delay(&failed));
                let _ = reply.send(delay.ok());
            }
            Command::Drain(reply) => {
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
            // A share is the rate in whole requests per second.
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
        self.servers = servers
            .into_iter()
            .map(|server| (server.key, server))
            .collect();
        let known = &self.servers;
        self.idle.retain(|server, _| known.contains_key(server));
        self.update_members();
    }

    fn update_members(&mut self) {
        let members: Vec<_> = self
            .servers
            .values()
            .map(|server| server.member())
            .collect();
        let subset = subset_size(
            members.len(),
            self.instances,
            CONNECTIONS_PER_SERVER,
            CONNECTIONS_PER_PAIR,
        );
        self.balancer
            .set_members(&members, self.document.floor_percent, subset);
        self.tell_others();
    }

    /// Averages what the leader tells. Single reports are several service times old, and all
    /// instances would send to the servers that were free then.
    fn set_others(&mut self, counts: Vec<(ServerKey, u32)>) {
        let newest: HashMap<ServerKey, u32> = counts.into_iter().collect();
        for server in self.servers.keys() {
            let newest = f64::from(newest.get(server).copied().unwrap_or(0));
            let average = self.others_in_flight.entry(*server).or_insert(0.0);
            *average += (newest - *average) * LOAD_GAIN;
        }
        self.tell_others();
    }

    fn tell_others(&mut self) {
        let known = &self.servers;
        self.others_in_flight
            .retain(|server, _| known.contains_key(server));
        for (server, average) in &self.others_in_flight {
            self.balancer
                .set_others_in_flight(*server, rounded(*average));
        }
    }

    fn enqueue(&mut self, request: Acquire, reply: AcquireReply, now: Duration) {
        if request.first {
            self.budget.record_first_attempt(now);
        }
        if self.servers.is_empty() {
            let _ = reply.send(Err(ResultCode::NoBackendServer));
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
                    refuse(evicted);
                }
            }
            Err(refused) => refuse(*refused),
        }
    }

    /// Dispatches waiting requests while a server has a free slot, or while this instance uses less
    /// than its share of the slots. The share keeps it going when its view of the load of others is
    /// out of date.
    fn serve_queue(&mut self) {
        let now = self.clock.now();
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
            let grant = self.pick(&request, now).map_or_else(
                || Err(ResultCode::NoBackendServer),
                |pick| self.grant(&request, pick, now).ok_or(ResultCode::NoRoute),
            );
            let _ = reply.send(grant);
        }
        refused.into_iter().for_each(refuse);
    }

    fn has_capacity(&mut self, now: Duration) -> bool {
        let request = PickRequest {
            now,
            may_trial: false,
            exclude: &[],
        };
        let pick = self
            .balancer
            .pick(&request, &self.verdicts, &self.paths, &mut self.rng);
        match pick {
            Some(pick) if pick.over_slots => self.own_in_flight < self.own_share(),
            // Without any usable server the waiting requests are refused.
            _ => true,
        }
    }

    fn own_share(&self) -> u32 {
        let slots: u32 = self.servers.values().map(|server| server.slots).sum();
        let instances = u32::try_from(self.instances).unwrap_or(u32::MAX);
        slots.div_ceil(instances).max(1)
    }

    fn pick(&mut self, request: &Acquire, now: Duration) -> Option<Pick> {
        let query = PickRequest {
            now,
            may_trial: request.idempotent,
            exclude: &request.exclude,
        };
        let pick = self
            .balancer
            .pick(&query, &self.verdicts, &self.paths, &mut self.rng);
        // A service with fewer servers than attempts tries one of them again.
        pick.or_else(|| {
            let again = PickRequest {
                exclude: &[],
                ..query
            };
            self.balancer
                .pick(&again, &self.verdicts, &self.paths, &mut self.rng)
        })
    }

    fn grant(&mut self, request: &Acquire, pick: Pick, now: Duration) -> Option<Grant> {
        let server = Arc::clone(self.servers.get(&pick.server)?);
        let commands = self.commands.upgrade()?;
        let dispatch = self
            .recorder
            .dispatched(pick.server, request.class, pick.over_slots, now);
        self.balancer.dispatched(pick.server);
        self.own_in_flight += 1;
        let connection = self.idle_connection(pick.server, request.idempotent);
        let class = self.classes.get(&request.class);
        let hedged = request.idempotent && self.document.retry.hedge;
        Some(Grant {
            connection,
            server,
            hedge_after: class.filter(|_| hedged).and_then(HedgeClass::delay),
            report: GrantReport {
                server: pick.server,
                dispatch,
                class: request.class,
                commands,
                finished: false,
            },
        })
    }

    /// The newest idle connection. An action only gets one that was used a moment ago: a server that
    /// closes an idle connection while the action is sent would leave its outcome unknown.
    fn idle_connection(
        &mut self,
        server: ServerKey,
        idempotent: bool,
    ) -> Option<BackendConnection> {
        const IDLE_LIMIT: Duration = Duration::from_secs(10);
        const IDLE_LIMIT_ACTION: Duration = Duration::from_millis(500);
        let limit = if idempotent {
            IDLE_LIMIT
        } else {
            IDLE_LIMIT_ACTION
        };
        let idle = self.idle.get_mut(&server)?;
        idle.retain(|connection| connection.is_usable(IDLE_LIMIT));
        idle.pop_if(|connection| connection.is_usable(limit))
    }

    fn hedge(&mut self, request: &Acquire, query: HedgeQuery, now: Duration) -> Option<Grant> {
        let pick_request = PickRequest {
            now,
            may_trial: false,
            exclude: &request.exclude,
        };
        let pick = self
            .balancer
            .pick(&pick_request, &self.verdicts, &self.paths, &mut self.rng)?;
        let others = rounded(self.others_in_flight.values().sum());
        let query = HedgeQuery {
            in_flight: others + self.own_in_flight,
            slots: self.balancer.usable_slots(&self.verdicts, &self.paths, now),
            other_server_free: !pick.over_slots,
            ..query
        };
        let class = self.classes.get(&request.class)?;
        class.try_hedge(now, &query, &mut self.budget).ok()?;
        self.grant(request, pick, now)
    }

    fn finish(&mut self, finished: Finished, now: Duration) {
        let Some(recorded) = self
            .recorder
            .completed(finished.dispatch, finished.completion, now)
        else {
            return;
        };
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        let good = matches!(finished.completion, Completion::Answered { status } if status < 500);
        let latency = good.then_some(recorded.elapsed);
        if finished.completion == Completion::Shed {
            self.keep_busy(finished.server, finished.class);
        } else {
            self.balancer.completed(finished.server, latency);
        }
        self.paths
            .observe(finished.server, finished.completion, now);
        if let Some(latency) = latency {
            let class = self.classes.entry(finished.class);
            class
                .or_insert_with(|| HedgeClass::new(now))
                .record(now, latency);
        }
        if let Some(connection) = finished.connection {
            self.keep(finished.server, connection);
        }
    }

    /// A server that sheds is busy, so the request counts as in flight there for a typical service
    /// time. A shed ends at once; without this the server would look free and draw more requests.
    fn keep_busy(&self, server: ServerKey, class: RequestClass) {
        let Some(commands) = self.commands.upgrade() else {
            return;
        };
        let busy_for = self.expected_service(class);
        tokio::spawn(async move {
            tokio::time::sleep(busy_for).await;
            let _ = commands.send(Command::ShedOver(server)).await;
        });
    }

    fn keep(&mut self, server: ServerKey, connection: BackendConnection) {
        let serving = self.servers.contains_key(&server);
        let idle = self.idle.entry(server).or_default();
        if serving && idle.len() < self.idle_per_server {
            idle.push(connection);
        }
    }

    fn expected_service(&self, class: RequestClass) -> Duration {
        self.classes
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
                in_flight: self.recorder.in_flight(server.key),
                standing: format!("{:?}", self.verdicts.standing(server.key, now)),
                path: format!("{:?}", self.paths.state(server.key, now)),
            })
            .collect();
        servers.sort_by(|left, right| left.backend_server.cmp(&right.backend_server));
        ServiceStatus {
            queued: self.queue.len(),
            usable_slots: self.balancer.usable_slots(&self.verdicts, &self.paths, now),
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

fn refuse(refused: Refused<(Acquire, AcquireReply)>) {
    let (_, reply) = refused.request.payload;
    let _ = reply.send(Err(refused.code));
}
