//! Task that owns the witness state of this instance and, while it holds the lease, the state of
//! the leader.

use std::collections::BTreeMap;
use std::time::Duration;

use radishpaddle_kernel::Journal;
use radishpaddle_model::{InstanceId, Revision};
use radishpaddle_quorum::allocation::AllocationRequest;
use radishpaddle_quorum::claim::ClaimSettings;
use radishpaddle_quorum::lease::Leadership;
use radishpaddle_quorum::witness::{GenerationStart, Witness, WitnessMessage};
use radishpaddle_quorum::{Generation, InstanceIncarnation};
use radishpaddle_wire::message::{Empty, PushConfig, failure, request, response};
use radishpaddle_wire::{
    PeerClient, WireError, WitnessStatus, decode, decode_response, encode, failure_response,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::config_store::ConfigStore;
use crate::fleet_view::FleetViewReceiver;
use crate::leader_state::LeaderState;
use crate::sync_message::{SyncRequest, TicketRequest};

/// Capacity of the event channel of the task.
const EVENT_QUEUE_CAPACITY: usize = 4096;

/// Period in which the task sends due lease and recovery messages.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Time limit for the reply of another witness.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Handle to the witness task of this process.
#[derive(Clone)]
pub struct WitnessHandle {
    events: mpsc::Sender<WitnessEvent>,
}

/// Inputs of the witness task.
pub struct WitnessInputs {
    /// Instance and incarnation of this process.
    pub life: InstanceIncarnation,
    /// Clients for the other witnesses.
    pub peers: BTreeMap<InstanceId, PeerClient>,
    /// Configuration store to which pushed configurations are applied.
    pub config: ConfigStore,
    /// State of the fleet from the last polls.
    pub fleet: FleetViewReceiver,
    /// Journal for decisions of the leader.
    pub journal: Journal,
    /// Clock of the process.
    pub clock: Clock,
    /// Retention and memory limit of claims.
    pub claims: ClaimSettings,
}

enum WitnessEvent {
    Request(request::Kind, oneshot::Sender<response::Kind>),
    PeerReply(PeerReply),
}

enum PeerReply {
    Lease(Box<radishpaddle_quorum::lease::LeaseReply>),
    Copy(Box<radishpaddle_quorum::witness::WitnessCopy>),
}

impl WitnessHandle {
    /// Starts the task. The witness begins without state and recovers it from the others.
    #[must_use]
    pub fn spawn(inputs: WitnessInputs) -> Self {
        let (events, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
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
            events: events.downgrade(),
        };
        tokio::spawn(task.run(receiver));
        Self { events }
    }

    /// Handles a request of a peer or of this process.
    pub async fn handle(&self, kind: request::Kind) -> response::Kind {
        let (reply, response) = oneshot::channel();
        let overloaded = || failure_response(failure::Reason::Overloaded, "witness is overloaded");
        if self
            .events
            .try_send(WitnessEvent::Request(kind, reply))
            .is_err()
        {
            return overloaded();
        }
        response.await.unwrap_or_else(|_| overloaded())
    }
}

struct WitnessTask {
    witness: Witness,
    leader: Option<LeaderState>,
    inputs: WitnessInputs,
    rng: SmallRng,
    events: mpsc::WeakSender<WitnessEvent>,
}

impl WitnessTask {
    async fn run(mut self, mut events: mpsc::Receiver<WitnessEvent>) {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle_event(event),
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

    fn handle_event(&mut self, event: WitnessEvent) {
        let now = self.inputs.clock.now();
        match event {
            WitnessEvent::Request(request::Kind::Crash(bytes), reply) => {
                self.handle_crash_report(&bytes, reply, now);
            }
            WitnessEvent::Request(kind, reply) => {
                let _ = reply.send(self.respond_to(kind, now));
            }
            WitnessEvent::PeerReply(PeerReply::Lease(lease)) => {
                let messages = self.witness.on_lease_reply(now, &lease);
                self.send(messages);
            }
            WitnessEvent::PeerReply(PeerReply::Copy(copy)) => {
                self.witness.on_copy(now, *copy);
                if !self.witness.is_recovering() {
                    log::info!("witness: recovered its state from the other witnesses");
                }
            }
        }
    }

    fn respond_to(&mut self, kind: request::Kind, now: Duration) -> response::Kind {
        let response = match kind {
            request::Kind::WitnessStatus(_) => encode_response(Some(self.status())),
            request::Kind::PushConfig(push) => self.apply_pushed_config(&push),
            request::Kind::Poll(bytes) => {
                decode(&bytes).and_then(|poll| encode_response(self.witness.poll(now, &poll)))
            }
            request::Kind::Announce(bytes) => decode(&bytes).and_then(|announcement| {
                encode_response(self.witness.announce(now, &announcement))
            }),
            request::Kind::BackendDelta(bytes) => decode(&bytes).and_then(|(reader, cursor)| {
                encode_response(self.witness.backend_delta(&reader, cursor))
            }),
            request::Kind::Lease(bytes) => decode(&bytes)
                .and_then(|lease| encode_response(self.witness.on_lease_request(now, &lease))),
            request::Kind::Recover(bytes) => decode(&bytes)
                .and_then(|recover| encode_response(self.witness.copy_for(now, &recover))),
            request::Kind::Claim(bytes) => {
                decode(&bytes).and_then(|claim| encode_response(self.witness.claim(now, &claim)))
            }
            request::Kind::Complete(bytes) => decode(&bytes)
                .and_then(|complete| encode_response(self.witness.complete(now, &complete))),
            request::Kind::Abandon(bytes) => decode(&bytes)
                .and_then(|abandon| encode_response(self.witness.abandon(now, &abandon))),
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
            _ => Ok(failure_response(
                failure::Reason::Unsupported,
                "a witness does not answer this request",
            )),
        };
        response
            .unwrap_or_else(|error| failure_response(failure::Reason::Malformed, error.to_string()))
    }

    /// Returns the leader state while this witness holds the lease. Creates the state when the
    /// lease is new and drops it when the lease has ended.
    fn leader_state(&mut self, now: Duration) -> Option<(&mut LeaderState, Leadership)> {
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
            log::info!("leader: acquired the lease of epoch {}", leadership.epoch);
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
            .leader_state(now)
            .is_some_and(|(leader, _)| leader.tick(now, &config, &fleet, &mut rng));
        self.rng = rng;
        if ready {
            self.witness.set_handover_ready();
        }
    }

    fn allocate(
        &mut self,
        now: Duration,
        request: &AllocationRequest,
    ) -> Result<response::Kind, WireError> {
        let Some((leader, leadership)) = self.leader_state(now) else {
            return Ok(not_leader());
        };
        match leader.handle_allocation_request(now, &leadership, request) {
            Some(reply) => encode_response(Some(reply)),
            None => Ok(not_leader()),
        }
    }

    fn sync(&mut self, now: Duration, sync: SyncRequest) -> Result<response::Kind, WireError> {
        match self.leader_state(now) {
            Some((leader, leadership)) => {
                encode_response(Some(leader.handle_sync_request(now, &leadership, sync)))
            }
            None => Ok(not_leader()),
        }
    }

    fn ticket(
        &mut self,
        now: Duration,
        request: &TicketRequest,
    ) -> Result<response::Kind, WireError> {
        match self.leader_state(now) {
            Some((leader, _)) => encode_response(Some(leader.handle_ticket_request(now, request))),
            None => Ok(not_leader()),
        }
    }

    fn handle_crash_report(
        &mut self,
        bytes: &[u8],
        reply: oneshot::Sender<response::Kind>,
        now: Duration,
    ) {
        let report = match decode(bytes) {
            Ok(report) => report,
            Err(error) => {
                let malformed = failure_response(failure::Reason::Malformed, error.to_string());
                let _ = reply.send(malformed);
                return;
            }
        };
        match self.leader_state(now) {
            Some((leader, _)) => {
                let response = response::Kind::Empty(Empty {});
                leader.handle_crash_report(now, &report, response, reply);
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

    fn apply_pushed_config(&mut self, push: &PushConfig) -> Result<response::Kind, WireError> {
        let config = push.config.as_ref();
        let stored = match config.map(|config| self.inputs.config.apply(config)) {
            Some(Ok(revision)) => revision,
            Some(Err(error)) => {
                return Ok(failure_response(
                    failure::Reason::Refused,
                    error.to_string(),
                ));
            }
            None => Revision(0),
        };
        encode_response(self.witness.store(Generation(push.generation), stored))
    }

    fn start_generation(
        &mut self,
        now: Duration,
        start: &GenerationStart,
    ) -> Result<response::Kind, WireError> {
        match self.witness.start_generation(now, start) {
            Ok(()) => {
                log::info!("witness: started generation {}", start.group.generation);
                encode_response(Some(self.status()))
            }
            Err(error) => Ok(failure_response(
                failure::Reason::Refused,
                error.to_string(),
            )),
        }
    }

    fn send(&self, messages: Vec<(InstanceId, WitnessMessage)>) {
        for (to, message) in messages {
            let (Some(peer), Some(events)) = (self.inputs.peers.get(&to), self.events.upgrade())
            else {
                continue;
            };
            let peer = peer.clone();
            tokio::spawn(async move {
                if let Ok(reply) = call_peer(&peer, &message).await {
                    let _ = events.send(WitnessEvent::PeerReply(reply)).await;
                }
            });
        }
    }
}

async fn call_peer(peer: &PeerClient, message: &WitnessMessage) -> Result<PeerReply, WireError> {
    match message {
        WitnessMessage::Lease(lease) => {
            let kind = request::Kind::Lease(encode(lease)?);
            let reply = peer.call(kind, PEER_TIMEOUT).await?;
            Ok(PeerReply::Lease(Box::new(decode_response(reply)?)))
        }
        WitnessMessage::Recover(recover) => {
            let kind = request::Kind::Recover(encode(recover)?);
            let reply = peer.call(kind, PEER_TIMEOUT).await?;
            Ok(PeerReply::Copy(Box::new(decode_response(reply)?)))
        }
    }
}

fn not_leader() -> response::Kind {
    let reason = failure::Reason::NotLeader;
    failure_response(reason, "this witness does not hold the lease")
}

/// Encodes a payload as response. `None` means that the witness has no state yet and becomes a
/// refusal.
fn encode_response<T: Serialize>(payload: Option<T>) -> Result<response::Kind, WireError> {
    payload.map_or_else(
        || {
            let reason = failure::Reason::Recovering;
            Ok(failure_response(reason, "witness does not answer now"))
        },
        |payload| encode(&payload).map(response::Kind::Payload),
    )
}
