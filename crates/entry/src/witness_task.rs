//! The task that owns the witness state of this instance.

use std::collections::BTreeMap;
use std::time::Duration;

use radishpaddle_model::{InstanceId, Revision};
use radishpaddle_quorum::claim::ClaimSettings;
use radishpaddle_quorum::witness::{GenerationStart, Witness, WitnessMessage};
use radishpaddle_quorum::{Generation, Life};
use radishpaddle_wire::message::{PushConfig, failure, request, response};
use radishpaddle_wire::{
    PeerClient, WireError, WitnessStatus, decode, decode_response, encode, failure as refusal,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::config_store::ConfigStore;

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

enum WitnessRequest {
    Peer(request::Kind, oneshot::Sender<response::Kind>),
    Reply(WitnessReply),
    Leadership(oneshot::Sender<Option<u64>>),
}

enum WitnessReply {
    Lease(Box<radishpaddle_quorum::lease::LeaseReply>),
    Copy(Box<radishpaddle_quorum::witness::WitnessCopy>),
}

impl WitnessHandle {
    /// Starts the witness without state. `peers` are the other witnesses.
    #[must_use]
    pub fn spawn(
        life: Life,
        peers: BTreeMap<InstanceId, PeerClient>,
        config: ConfigStore,
        clock: Clock,
    ) -> Self {
        let (requests, receiver) = mpsc::channel(REQUEST_QUEUE);
        let witness = Witness::new(
            life,
            peers.keys().cloned(),
            ClaimSettings::default(),
            clock.now(),
        );
        let task = WitnessTask {
            witness,
            peers,
            config,
            clock,
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

    /// Epoch of the lease while this witness is the leader.
    pub async fn leadership(&self) -> Option<u64> {
        let (reply, answer) = oneshot::channel();
        let request = WitnessRequest::Leadership(reply);
        self.requests.send(request).await.ok()?;
        answer.await.ok().flatten()
    }
}

struct WitnessTask {
    witness: Witness,
    peers: BTreeMap<InstanceId, PeerClient>,
    config: ConfigStore,
    clock: Clock,
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
                    let messages = self.witness.tick(self.clock.now(), &mut self.rng);
                    self.send(messages);
                }
            }
        }
    }

    fn take(&mut self, request: WitnessRequest) {
        let now = self.clock.now();
        match request {
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
            WitnessRequest::Leadership(reply) => {
                let epoch = self.witness.leadership(now);
                let _ = reply.send(epoch.map(|leadership| leadership.epoch.0));
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
        let stored = match config.map(|config| self.config.apply(config)) {
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
            let (Some(peer), Some(replies)) = (self.peers.get(&to), self.replies.upgrade()) else {
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
