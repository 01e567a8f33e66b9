//! The task that owns the witness state of this instance.

use std::collections::BTreeMap;
use std::time::Duration;

use radishpaddle_kernel::Journal;
use radishpaddle_model::{InstanceId, Revision};
use radishpaddle_quorum::allocation::AllocationRequest;
use radishpaddle_quorum::claim::ClaimSettings;
use radishpaddle_quorum::lease::Leadership;
use radishpaddle_quorum::witness::{GenerationStart, Witness, WitnessMessage};
use radishpaddle_quorum::{Generation, Life};
use radishpaddle_wire::message::{Empty, PushConfig, failure, request, response};
use radishpaddle_wire::{
    PeerClient, WireError, WitnessStatus, decode, decode_response, encode, failure as refusal,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::config_store::ConfigStore;
use crate::fleet_view::FleetWatch;
use crate::leader_state::LeaderState;
use crate::sync_message::{SyncRequest, TicketRequest};

/// Requests that wait for the task.
const REQUEST_QUEUE: usize = 4096;

/// Period of lease and recovery messages.
const TICK: Duration = Duration::from_millis(50);

/// Longest wait for the answer of another witness.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Handle to the witness of this process.
#[derive(Clone)]
pub struct WitnessHandle {
    requests: mpsc::Sender<WitnessRequest>,
}

/// Everything that the witness needs from its process.
pub struct WitnessInputs {
    /// Life of the process.
    pub life: Life,
    /// The other witnesses.
    pub peers: BTreeMap<InstanceId, PeerClient>,
    /// Configuration that pushes are applied to.
    pub config: ConfigStore,
    /// Fleet as this process knows it.
    pub fleet: FleetWatch,
    /// Events.
    pub journal: Journal,
    /// Local time.
    pub clock: Clock,
    /// Retention and memory of claims.
    pub claims: ClaimSettings,
}

enum WitnessRequest {
    Peer(request::Kind, oneshot::Sender<response::Kind>),
    Reply(WitnessReply),
}

enum WitnessReply {
    Lease(Box<radishpaddle_quorum::lease::LeaseReply>),
    Copy(Box<radishpaddle_quorum::witness::WitnessCopy>),
}

impl WitnessHandle {
    /// Starts the witness without state.
    #[must_use]
    pub fn spawn(inputs: WitnessInputs) -> Self {
        let (requests, receiver) = mpsc::channel(REQUEST_QUEUE);
        let witness = Witness::new(
            inputs.life.clone(),
            inputs.peers.keys().cloned(),
            inputs.claims.clone(),
            inputs.clock.now(),
        );
        let task = WitnessTask {
            witness,
            leader: None,
            inputs,
            rng: SmallRng::from_os_rng(),
            replies: requests.downgrade(),
        };
        tokio::spawn(task.run(receiver));
        Self { requests }
    }

    /// Answers a request of a peer or of this process.
    pub async fn handle(&self, kind: request::Kind) -> response::Kind {
        let (reply, answer) = oneshot::channel();
        let overloaded = || refusal(failure::Reason::Overloaded, "witness is overloaded");
        if self
            .requests
            .try_send(WitnessRequest::Peer(kind, reply))
            .is_err()
        {
            return overloaded();
        }
        answer.await.unwrap_or_else(|_| overloaded())
    }
}

struct WitnessTask {
    witness: Witness,
    leader: Option<LeaderState>,
    inputs: WitnessInputs,
    rng: SmallRng,
    replies: mpsc::WeakSender<WitnessRequest>,
}

impl WitnessTask {
    async fn run(mut self, mut requests: mpsc::Receiver<WitnessRequest>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => self.take(request),
                    None => return,
                },
                _ = ticks.tick() => {
                    let messages = self.witness.tick(self.inputs.clock.now(), &mut self.rng);
                    self.send(messages);
                    self.tick_leader();
                }
            }
        }
    }

    fn take(&mut self, request: WitnessRequest) {
        let now = self.inputs.clock.now();
        match request {
            WitnessRequest::Peer(request::Kind::Crash(bytes), reply) => {
                self.crash(&bytes, reply, now);
            }
            WitnessRequest::Peer(kind, reply) => {
                let _ = reply.send(self.answer(kind, now));
            }
            WitnessRequest::Reply(WitnessReply::Lease(lease)) => {
                let messages = self.witness.on_lease_reply(now, &lease);
                self.send(messages);
            }
            WitnessRequest::Reply(WitnessReply::Copy(copy)) => {
                self.witness.on_copy(now, *copy);
                if !self.witness.is_recovering() {
                    log::info!("witness: recovered from the other witnesses");
                }
            }
        }
    }

    fn answer(&mut self, kind: request::Kind, now: Duration) -> response::Kind {
        let answered = match kind {
            request::Kind::WitnessStatus(_) => respond(Some(self.status())),
            request::Kind::PushConfig(push) => self.push(&push),
            request::Kind::Poll(bytes) => {
                decode(&bytes).and_then(|poll| respond(self.witness.poll(now, &poll)))
            }
            request::Kind::Announce(bytes) => decode(&bytes)
                .and_then(|announcement| respond(self.witness.announce(now, &announcement))),
            request::Kind::BackendDelta(bytes) => decode(&bytes)
                .and_then(|(reader, cursor)| respond(self.witness.backend_delta(&reader, cursor))),
            request::Kind::Lease(bytes) => {
                decode(&bytes).and_then(|lease| respond(self.witness.on_lease_request(now, &lease)))
            }
            request::Kind::Recover(bytes) => {
                decode(&bytes).and_then(|recover| respond(self.witness.copy_for(now, &recover)))
            }
            request::Kind::Claim(bytes) => {
                decode(&bytes).and_then(|claim| respond(self.witness.claim(now, &claim)))
            }
            request::Kind::Complete(bytes) => {
                decode(&bytes).and_then(|complete| respond(self.witness.complete(now, &complete)))
            }
            request::Kind::Abandon(bytes) => {
                decode(&bytes).and_then(|abandon| respond(self.witness.abandon(now, &abandon)))
            }
            request::Kind::Allocation(bytes) => {
                decode(&bytes).and_then(|request| self.allocate(now, &request))
            }
            request::Kind::Sync(bytes) => decode(&bytes).and_then(|sync| self.sync(now, sync)),
            request::Kind::Ticket(bytes) => {
                decode(&bytes).and_then(|request| self.ticket(now, &request))
            }
            request::Kind::StartGeneration(bytes) => {
                decode(&bytes).and_then(|start| self.start_generation(now, &start))
            }
            _ => Ok(refusal(
                failure::Reason::Unsupported,
                "a witness does not answer this request",
            )),
        };
        answered.unwrap_or_else(|error| refusal(failure::Reason::Malformed, error.to_string()))
    }

    /// State of the lease that this witness holds now, made anew when the lease is new.
    fn leader(&mut self, now: Duration) -> Option<(&mut LeaderState, Leadership)> {
        let Some(leadership) = self.witness.leadership(now) else {
            if self.leader.take().is_some() {
                log::info!("leader: the lease has ended");
            }
            return None;
        };
        if !self
            .leader
            .as_ref()
            .is_some_and(|leader| leader.belongs_to(&leadership))
        {
            log::info!("leader: lease of epoch {} is held", leadership.epoch);
            self.leader = Some(LeaderState::new(
                self.inputs.life.clone(),
                &leadership,
                self.witness.predecessor().cloned(),
                self.inputs.journal.clone(),
                now,
            ));
        }
        self.leader.as_mut().map(|leader| (leader, leadership))
    }

    fn tick_leader(&mut self) {
        let now = self.inputs.clock.now();
        let config = self.inputs.config.current();
        let fleet = self.inputs.fleet.borrow().clone();
        let mut rng = self.rng.clone();
        let ready = self
            .leader(now)
            .is_some_and(|(leader, _)| leader.tick(now, &config, &fleet, &mut rng));
        self.rng = rng;
        if ready {
            self.witness.set_ready();
        }
    }

    fn allocate(
        &mut self,
        now: Duration,
        request: &AllocationRequest,
    ) -> Result<response::Kind, WireError> {
        let Some((leader, leadership)) = self.leader(now) else {
            return Ok(not_leader());
        };
        match leader.allocate(now, &leadership, request) {
            Some(reply) => respond(Some(reply)),
            None => Ok(not_leader()),
        }
    }

    fn sync(&mut self, now: Duration, sync: SyncRequest) -> Result<response::Kind, WireError> {
        match self.leader(now) {
            Some((leader, leadership)) => respond(Some(leader.sync(now, &leadership, sync))),
            None => Ok(not_leader()),
        }
    }

    fn ticket(
        &mut self,
        now: Duration,
        request: &TicketRequest,
    ) -> Result<response::Kind, WireError> {
        match self.leader(now) {
            Some((leader, _)) => respond(Some(leader.ticket(now, request))),
            None => Ok(not_leader()),
        }
    }

    fn crash(&mut self, bytes: &[u8], reply: oneshot::Sender<response::Kind>, now: Duration) {
        let report = match decode(bytes) {
            Ok(report) => report,
            Err(error) => {
                let malformed = refusal(failure::Reason::Malformed, error.to_string());
                let _ = reply.send(malformed);
                return;
            }
        };
        match self.leader(now) {
            Some((leader, _)) => {
                let answer = response::Kind::Empty(Empty {});
                leader.crash(now, &report, answer, reply);
            }
            None => {
                let _ = reply.send(not_leader());
            }
        }
    }

    fn status(&self) -> WitnessStatus {
        let life = self.witness.life();
        let generation = self.witness.group().map_or(0, |group| group.generation.0);
        WitnessStatus {
            instance: life.instance.clone(),
            incarnation: life.incarnation,
            recovering: self.witness.is_recovering(),
            generation,
            revision: self.witness.revision().unwrap_or_default(),
            members: self.applied_revisions(),
        }
    }

    fn applied_revisions(&self) -> Vec<(InstanceId, Revision)> {
        let Some(instances) = self.witness.instances() else {
            return Vec::new();
        };
        instances
            .iter()
            .filter_map(|(life, _)| Some((life.instance.clone(), instances.applied(life)?)))
            .collect()
    }

    fn push(&mut self, push: &PushConfig) -> Result<response::Kind, WireError> {
        let config = push.config.as_ref();
        let stored = match config.map(|config| self.inputs.config.apply(config)) {
            Some(Ok(revision)) => revision,
            Some(Err(error)) => {
                return Ok(refusal(failure::Reason::Refused, error.to_string()));
            }
            None => Revision(0),
        };
        respond(self.witness.store(Generation(push.generation), stored))
    }

    fn start_generation(
        &mut self,
        now: Duration,
        start: &GenerationStart,
    ) -> Result<response::Kind, WireError> {
        match self.witness.start_generation(now, start) {
            Ok(()) => {
                log::info!("witness: generation {} begins", start.group.generation);
                respond(Some(self.status()))
            }
            Err(error) => Ok(refusal(failure::Reason::Refused, error.to_string())),
        }
    }

    fn send(&self, messages: Vec<(InstanceId, WitnessMessage)>) {
        for (to, message) in messages {
            let (Some(peer), Some(replies)) = (self.inputs.peers.get(&to), self.replies.upgrade())
            else {
                continue;
            };
            let peer = peer.clone();
            tokio::spawn(async move {
                if let Ok(reply) = exchange(&peer, &message).await {
                    let _ = replies.send(WitnessRequest::Reply(reply)).await;
                }
            });
        }
    }
}

async fn exchange(peer: &PeerClient, message: &WitnessMessage) -> Result<WitnessReply, WireError> {
    match message {
        WitnessMessage::Lease(lease) => {
            let kind = request::Kind::Lease(encode(lease)?);
            let reply = peer.call(kind, PEER_TIMEOUT).await?;
            Ok(WitnessReply::Lease(Box::new(decode_response(reply)?)))
        }
        WitnessMessage::Recover(recover) => {
            let kind = request::Kind::Recover(encode(recover)?);
            let reply = peer.call(kind, PEER_TIMEOUT).await?;
            Ok(WitnessReply::Copy(Box::new(decode_response(reply)?)))
        }
    }
}

fn not_leader() -> response::Kind {
    let reason = failure::Reason::NotLeader;
    refusal(reason, "this witness does not hold the lease")
}

/// Response with a payload, or the refusal of a witness that has no state yet.
fn respond<T: Serialize>(answer: Option<T>) -> Result<response::Kind, WireError> {
    answer.map_or_else(
        || {
            let reason = failure::Reason::Recovering;
            Ok(refusal(reason, "witness does not answer now"))
        },
        |answer| encode(&answer).map(response::Kind::Payload),
    )
}
