//! The task that owns the rate allocations of this instance (design 4.2).

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use radishpaddle_model::ResultCode;
use radishpaddle_quorum::Life;
use radishpaddle_quorum::allocation::{
    Admission, AllocationReply, AllocationRequest, AllocationSettings, Holder, LimitKey,
};
use radishpaddle_wire::message::request;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior};

use crate::clock::Clock;
use crate::fleet_view::FleetWatch;
use crate::witness_port::WitnessPorts;

/// Commands that wait for the task.
const COMMAND_QUEUE: usize = 4096;

/// Period of reports and of looks at waiting requests.
const TICK: Duration = Duration::from_millis(20);

/// Longest wait for the answer of the leader.
const LEADER_TIMEOUT: Duration = Duration::from_millis(500);

/// Handle to the task. It ends when the last handle is dropped.
#[derive(Clone)]
pub struct AdmissionHandle {
    commands: mpsc::Sender<Command>,
}

enum Command {
    Admit(LimitKey, Duration, oneshot::Sender<Result<(), ResultCode>>),
    Reply(AllocationReply),
    Release(oneshot::Sender<()>),
}

impl AdmissionHandle {
    /// Starts the task.
    #[must_use]
    pub fn spawn(life: Life, ports: WitnessPorts, fleet: FleetWatch, clock: Clock) -> Self {
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE);
        let task = AdmissionTask {
            holder: Holder::new(life, AllocationSettings::default()),
            waiting: HashMap::new(),
            ports,
            fleet,
            clock,
            replies: commands.downgrade(),
            released: None,
        };
        tokio::spawn(task.run(receiver));
        Self { commands }
    }

    /// Waits for a token, until the local time `deadline` at the latest.
    ///
    /// # Errors
    ///
    /// `RateExceeded`, `AllocationUnavailable` or `Overloaded`; the request was not run.
    pub async fn admit(&self, key: LimitKey, deadline: Duration) -> Result<(), ResultCode> {
        let (reply, answer) = oneshot::channel();
        let command = Command::Admit(key, deadline, reply);
        if self.commands.try_send(command).is_err() {
            return Err(ResultCode::Overloaded);
        }
        answer
            .await
            .unwrap_or(Err(ResultCode::AllocationUnavailable))
    }

    /// Gives every allocation back before a planned stop. Requests that come later wait in vain, so
    /// it is called after the last request was taken.
    pub async fn release(&self, deadline: Instant) {
        let (reply, released) = oneshot::channel();
        if self.commands.send(Command::Release(reply)).await.is_ok() {
            let _ = tokio::time::timeout_at(deadline, released).await;
        }
    }
}

struct WaitingRequest {
    ask_again_at: Duration,
    deadline: Duration,
    leader_unreachable: bool,
    reply: oneshot::Sender<Result<(), ResultCode>>,
}

struct AdmissionTask {
    holder: Holder,
    waiting: HashMap<LimitKey, VecDeque<WaitingRequest>>,
    ports: WitnessPorts,
    fleet: FleetWatch,
    clock: Clock,
    replies: mpsc::WeakSender<Command>,
    released: Option<oneshot::Sender<()>>,
}

impl AdmissionTask {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.take(command),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
            self.send_urgent();
        }
    }

    fn take(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Admit(key, deadline, reply) => self.admit(key, deadline, reply, now),
            Command::Reply(reply) => {
                for key in self.holder.on_reply(now, &reply) {
                    self.serve_waiting(&key, now, true);
                }
            }
            Command::Release(reply) => {
                self.holder.release();
                self.released = Some(reply);
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
                    ask_again_at: until,
                    deadline,
                    leader_unreachable,
                    reply,
                };
                self.waiting.entry(key).or_default().push_back(waiting);
            }
        }
    }

    /// Asks for tokens that waiting requests need. A new leader relies on the witnesses knowing every
    /// holder, which freshness proves.
    fn send_urgent(&mut self) {
        let now = self.clock.now();
        if !self.fleet.borrow().is_fresh(now) {
            return;
        }
        if let Some(request) = self.holder.take_urgent(now) {
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
            && let Some(released) = self.released.take()
        {
            let _ = released.send(());
        }
    }

    /// Asks again for waiting requests, oldest first; with `woken` also for those that would wait
    /// longer.
    fn serve_waiting(&mut self, key: &LimitKey, now: Duration, woken: bool) {
        let Some(mut queue) = self.waiting.remove(key) else {
            return;
        };
        let mut kept = VecDeque::new();
        while let Some(mut request) = queue.pop_front() {
            if request.reply.is_closed() {
                self.holder.leave_waiting(key);
                continue;
            }
            if now >= request.deadline {
                self.holder.leave_waiting(key);
                let code = if request.leader_unreachable {
                    ResultCode::AllocationUnavailable
                } else {
                    ResultCode::RateExceeded
                };
                let _ = request.reply.send(Err(code));
                continue;
            }
            if !woken && now < request.ask_again_at {
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
                    request.ask_again_at = until;
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
        let port = leader.and_then(|leader| self.ports.get(&leader.life.instance));
        let (Some(port), Some(replies)) = (port.cloned(), self.replies.upgrade()) else {
            return;
        };
        tokio::spawn(async move {
            let exchanged = port.exchange(request::Kind::Allocation, &request, LEADER_TIMEOUT);
            if let Ok(reply) = exchanged.await {
                let _ = replies.send(Command::Reply(reply)).await;
            }
        });
    }
}
