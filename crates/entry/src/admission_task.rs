//! Task that owns the rate allocations of this instance (design 4.2).

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use radishpaddle_model::ResultCode;
use radishpaddle_quorum::InstanceIncarnation;
use radishpaddle_quorum::allocation::{
    Admission, AllocationReply, AllocationRequest, AllocationSettings, Holder, LimitKey,
};
use radishpaddle_wire::message::request;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior};

use crate::clock::Clock;
use crate::fleet_view::FleetViewReceiver;
use crate::witness_client::WitnessClients;

/// Capacity of the command channel of the task.
const COMMAND_QUEUE_CAPACITY: usize = 4096;

/// Period in which due reports are sent to the leader and waiting requests are decided again.
const TICK_PERIOD: Duration = Duration::from_millis(20);

/// Time limit for the reply of the leader to an allocation request.
const ALLOCATION_TIMEOUT: Duration = Duration::from_millis(500);

/// Handle to the task. The task ends when the last handle is dropped.
#[derive(Clone)]
pub struct AdmissionHandle {
    commands: mpsc::Sender<Command>,
}

enum Command {
    Admit(LimitKey, Duration, oneshot::Sender<Result<(), ResultCode>>),
    LeaderReply(AllocationReply),
    Release(oneshot::Sender<()>),
}

impl AdmissionHandle {
    /// Starts the task.
    #[must_use]
    pub fn spawn(
        life: InstanceIncarnation,
        witnesses: WitnessClients,
        fleet: FleetViewReceiver,
        clock: Clock,
    ) -> Self {
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let task = AdmissionTask {
            holder: Holder::new(life, AllocationSettings::default()),
            waiting: HashMap::new(),
            witnesses,
            fleet,
            clock,
            replies: commands.downgrade(),
            release_reply: None,
        };
        tokio::spawn(task.run(receiver));
        Self { commands }
    }

    /// Waits for a token, until the process time `deadline` at the latest.
    ///
    /// # Errors
    ///
    /// Returns `RateExceeded`, `AllocationUnavailable` or `Overloaded`. The request was not run.
    pub async fn admit(&self, key: LimitKey, deadline: Duration) -> Result<(), ResultCode> {
        let (reply, response) = oneshot::channel();
        let command = Command::Admit(key, deadline, reply);
        if self.commands.try_send(command).is_err() {
            return Err(ResultCode::Overloaded);
        }
        response
            .await
            .unwrap_or(Err(ResultCode::AllocationUnavailable))
    }

    /// Returns every allocation to the leader before a planned stop. Later requests get no tokens,
    /// so it is called after the last request was accepted.
    pub async fn release(&self, deadline: Instant) {
        let (reply, released) = oneshot::channel();
        if self.commands.send(Command::Release(reply)).await.is_ok() {
            let _ = tokio::time::timeout_at(deadline, released).await;
        }
    }
}

struct WaitingRequest {
    retry_at: Duration,
    deadline: Duration,
    leader_unreachable: bool,
    reply: oneshot::Sender<Result<(), ResultCode>>,
}

struct AdmissionTask {
    holder: Holder,
    waiting: HashMap<LimitKey, VecDeque<WaitingRequest>>,
    witnesses: WitnessClients,
    fleet: FleetViewReceiver,
    clock: Clock,
    replies: mpsc::WeakSender<Command>,
    release_reply: Option<oneshot::Sender<()>>,
}

impl AdmissionTask {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
            self.send_urgent_request();
        }
    }

    fn handle_command(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Admit(key, deadline, reply) => self.admit(key, deadline, reply, now),
            Command::LeaderReply(reply) => {
                for key in self.holder.on_reply(now, &reply) {
                    self.serve_waiting(&key, now, true);
                }
            }
            Command::Release(reply) => {
                self.holder.release();
                self.release_reply = Some(reply);
            }
        }
    }

    fn admit(
        &mut self,
        key: LimitKey,
        deadline: Duration,
        reply: oneshot::Sender<Result<(), ResultCode>>,
        now: Duration,
    ) {
        match self.holder.admit(now, &key) {
            Admission::Admitted => {
                let _ = reply.send(Ok(()));
            }
            Admission::RateExceeded => {
                let _ = reply.send(Err(ResultCode::RateExceeded));
            }
            Admission::Unavailable => {
                let _ = reply.send(Err(ResultCode::AllocationUnavailable));
            }
            Admission::Wait {
                until,
                leader_unreachable,
            } => {
                let waiting = WaitingRequest {
                    retry_at: until,
                    deadline,
                    leader_unreachable,
                    reply,
                };
                self.waiting.entry(key).or_default().push_back(waiting);
            }
        }
    }

    /// Requests tokens for waiting requests without waiting for the next report. Sends only while
    /// the instance is fresh: a new leader relies on the witnesses knowing every holder, and
    /// freshness proves that they know this one.
    fn send_urgent_request(&mut self) {
        let now = self.clock.now();
        if !self.fleet.borrow().is_fresh(now) {
            return;
        }
        if let Some(request) = self.holder.take_urgent_reports(now) {
            self.send(request);
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let (leader, fresh) = {
            let view = self.fleet.borrow();
            (view.leader.clone(), view.is_fresh(now))
        };
        if let Some(leader) = leader {
            self.holder.set_leader(leader);
        }
        if fresh && let Some(request) = self.holder.tick(now) {
            self.send(request);
        }
        let keys: Vec<LimitKey> = self.waiting.keys().cloned().collect();
        for key in keys {
            self.serve_waiting(&key, now, false);
        }
        if self.holder.is_released()
            && let Some(released) = self.release_reply.take()
        {
            let _ = released.send(());
        }
    }

    /// Decides again on the waiting requests of a limit, oldest first. `allocation_changed`
    /// includes those whose retry time has not come yet.
    fn serve_waiting(&mut self, key: &LimitKey, now: Duration, allocation_changed: bool) {
        let Some(mut queue) = self.waiting.remove(key) else {
            return;
        };
        let mut kept = VecDeque::new();
        while let Some(mut request) = queue.pop_front() {
            if request.reply.is_closed() {
                self.holder.cancel_waiting(key);
                continue;
            }
            if now >= request.deadline {
                self.holder.cancel_waiting(key);
                let code = if request.leader_unreachable {
                    ResultCode::AllocationUnavailable
                } else {
                    ResultCode::RateExceeded
                };
                let _ = request.reply.send(Err(code));
                continue;
            }
            if !allocation_changed && now < request.retry_at {
                kept.push_back(request);
                continue;
            }
            match self.holder.admit_waiting(now, key) {
                Admission::Admitted => {
                    let _ = request.reply.send(Ok(()));
                }
                Admission::RateExceeded => {
                    let _ = request.reply.send(Err(ResultCode::RateExceeded));
                }
                Admission::Unavailable => {
                    let _ = request.reply.send(Err(ResultCode::AllocationUnavailable));
                }
                Admission::Wait {
                    until,
                    leader_unreachable,
                } => {
                    request.retry_at = until;
                    request.leader_unreachable = leader_unreachable;
                    kept.push_back(request);
                }
            }
        }
        if !kept.is_empty() {
            self.waiting.insert(key.clone(), kept);
        }
    }

    fn send(&self, request: AllocationRequest) {
        let leader = self.holder.leader();
        let client = leader.and_then(|leader| self.witnesses.get(&leader.life.instance));
        let (Some(client), Some(replies)) = (client.cloned(), self.replies.upgrade()) else {
            return;
        };
        tokio::spawn(async move {
            let exchanged =
                client.call_with_payload(request::Kind::Allocation, &request, ALLOCATION_TIMEOUT);
            if let Ok(reply) = exchanged.await {
                let _ = replies.send(Command::LeaderReply(reply)).await;
            }
        });
    }
}
