//! Spreads the configuration from the control leader to the witnesses, and starts generations of
//! witnesses.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_consensus::Role;
use radishpaddle_kernel::Journal;
use radishpaddle_model::{Incarnation, InstanceId, Revision};
use radishpaddle_quorum::freshness::Propagation;
use radishpaddle_quorum::witness::{GenerationStart, StoreReply};
use radishpaddle_quorum::{Generation, Life, WitnessGroup};
use radishpaddle_wire::message::{ConfigReply, Empty, PushConfig, request};
use radishpaddle_wire::{
    ClientIdentity, PeerClient, WireError, WitnessStatus, decode_response, encode,
};
use serde_json::json;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior};

use crate::control_state::{ControlState, GenerationRecord, LogCommand};
use crate::replica::{ReplicaHandle, ReplicaView};
use crate::settings::ControlSettings;

/// Period of pushes without a change; they bring back witnesses that lag.
const PUSH_PERIOD: Duration = Duration::from_millis(500);

/// Period in which the state of the witnesses is read.
const STATUS_PERIOD: Duration = Duration::from_secs(1);

/// Longest wait for one witness.
const WITNESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which too few witnesses must answer before a new generation starts. A majority that
/// restarts at the same time cannot recover, however long it waits.
const LOST_FOR: Duration = Duration::from_secs(5);

/// What is known of the spread of the configuration.
#[derive(Debug, Clone, Default)]
pub struct SpreadView {
    /// Highest revision that a majority of the witnesses has stored.
    pub in_force: Revision,
    /// Last answer of each witness.
    pub witnesses: BTreeMap<InstanceId, WitnessStatus>,
    /// Revision that each member had applied, by the newest answers.
    pub members: BTreeMap<InstanceId, Revision>,
}

/// Starts the task. It works while the replica leads.
#[must_use]
pub fn spawn(
    settings: &ControlSettings,
    identity: &ClientIdentity,
    replica: ReplicaHandle,
    journal: Journal,
) -> watch::Receiver<SpreadView> {
    let (view, receiver) = watch::channel(SpreadView::default());
    let (answers, incoming) = mpsc::channel(64);
    let witnesses = settings
        .witnesses
        .iter()
        .map(|witness| {
            let client = PeerClient::spawn(witness.peer_address, identity.clone());
            (witness.instance.clone(), WitnessLink::new(client))
        })
        .collect();
    let task = Distribution {
        replica,
        witnesses,
        propagation: None,
        started_at: Instant::now(),
        lost_since: None,
        answers,
        view,
        journal,
    };
    tokio::spawn(task.run(incoming));
    receiver
}

struct WitnessLink {
    client: PeerClient,
    stored: Revision,
    pushing: bool,
    status: Option<(Instant, WitnessStatus)>,
}

impl WitnessLink {
    const fn new(client: PeerClient) -> Self {
        Self {
            client,
            stored: Revision(0),
            pushing: false,
            status: None,
        }
    }
}

enum Answer {
    Stored {
        witness: InstanceId,
        sent_at: Duration,
        reply: Result<StoreReply, WireError>,
    },
    Status {
        witness: InstanceId,
        reply: Result<WitnessStatus, WireError>,
    },
}

struct Distribution {
    replica: ReplicaHandle,
    witnesses: BTreeMap<InstanceId, WitnessLink>,
    propagation: Option<Propagation>,
    started_at: Instant,
    lost_since: Option<Instant>,
    answers: mpsc::Sender<Answer>,
    view: watch::Sender<SpreadView>,
    journal: Journal,
}

impl Distribution {
    async fn run(mut self, mut incoming: mpsc::Receiver<Answer>) {
        let mut replica = self.replica.watch();
        let mut pushes = tokio::time::interval(PUSH_PERIOD);
        let mut statuses = tokio::time::interval(STATUS_PERIOD);
        pushes.set_missed_tick_behavior(MissedTickBehavior::Delay);
        statuses.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                changed = replica.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.push_all();
                }
                _ = pushes.tick() => self.push_all(),
                _ = statuses.tick() => {
                    self.ask_all();
                    self.check_generation();
                }
                Some(answer) = incoming.recv() => self.take(answer),
            }
        }
    }

    fn leading(&self) -> Option<ReplicaView> {
        let view = self.replica.view();
        (view.role == Role::Leader).then_some(view)
    }

    fn push_all(&mut self) {
        let Some(view) = self.leading() else {
            return;
        };
        let Some(generation) = view.state.generation.clone() else {
            return;
        };
        self.follow_group(&generation.group);
        let now = self.started_at.elapsed();
        for (witness, link) in &mut self.witnesses {
            if link.pushing {
                continue;
            }
            let Ok(config) = config_since(&view.state, link.stored) else {
                continue;
            };
            link.pushing = true;
            let push = PushConfig {
                config: Some(config),
                generation: generation.group.generation.0,
            };
            let (witness, client) = (witness.clone(), link.client.clone());
            let answers = self.answers.clone();
            tokio::spawn(async move {
                let reply = push_config(&client, push).await;
                let answer = Answer::Stored {
                    witness,
                    sent_at: now,
                    reply,
                };
                let _ = answers.send(answer).await;
            });
        }
    }

    fn follow_group(&mut self, group: &WitnessGroup) {
        match &mut self.propagation {
            Some(propagation) => propagation.set_group(group.clone()),
            None => self.propagation = Some(Propagation::new(group.clone())),
        }
    }

    fn ask_all(&self) {
        if self.leading().is_none() {
            return;
        }
        for (witness, link) in &self.witnesses {
            let (witness, client) = (witness.clone(), link.client.clone());
            let answers = self.answers.clone();
            tokio::spawn(async move {
                let kind = request::Kind::WitnessStatus(Empty {});
                let called = client.call(kind, WITNESS_TIMEOUT).await;
                let reply = called.and_then(decode_response);
                let _ = answers.send(Answer::Status { witness, reply }).await;
            });
        }
    }

    fn take(&mut self, answer: Answer) {
        match answer {
            Answer::Stored {
                witness,
                sent_at,
                reply,
            } => self.take_stored(&witness, sent_at, reply),
            Answer::Status { witness, reply } => {
                if let (Some(link), Ok(status)) = (self.witnesses.get_mut(&witness), reply) {
                    link.status = Some((Instant::now(), status));
                }
            }
        }
        self.publish();
    }

    fn take_stored(
        &mut self,
        witness: &InstanceId,
        sent_at: Duration,
        reply: Result<StoreReply, WireError>,
    ) {
        let now = self.started_at.elapsed();
        let Some(link) = self.witnesses.get_mut(witness) else {
            return;
        };
        link.pushing = false;
        match reply {
            Ok(reply) => {
                link.stored = reply.revision;
                if let Some(propagation) = &mut self.propagation {
                    let generation = reply.generation;
                    propagation.record_stored(now, sent_at, witness, generation, reply.revision);
                }
            }
            // It may have lost its memory or have a gap: the next push holds the whole state.
            Err(_) => link.stored = Revision(0),
        }
        let behind = self.leading().is_some_and(|view| {
            let newest = view.state.config().revision;
            let link = self.witnesses.get(witness);
            link.is_some_and(|link| link.stored != Revision(0) && link.stored < newest)
        });
        if behind {
            self.push_all();
        }
    }

    fn publish(&self) {
        let statuses: BTreeMap<_, _> = self
            .witnesses
            .iter()
            .filter_map(|(witness, link)| Some((witness.clone(), link.status.clone()?.1)))
            .collect();
        let mut members = BTreeMap::new();
        for (member, revision) in statuses.values().flat_map(|status| &status.members) {
            let known = members.entry(member.clone()).or_insert(*revision);
            *known = (*known).max(*revision);
        }
        let acknowledged = self
            .propagation
            .as_ref()
            .and_then(Propagation::acknowledged);
        self.view.send_replace(SpreadView {
            in_force: acknowledged.unwrap_or_default(),
            witnesses: statuses,
            members,
        });
    }

    /// Starts the first generation, and a next one when a majority has lost its memory.
    fn check_generation(&mut self) {
        let Some(view) = self.leading() else {
            self.lost_since = None;
            return;
        };
        let current = self.recent_statuses();
        match &view.state.generation {
            None if view.state.restored => self.start_after_restore(&current),
            None => {
                let recovering = current.iter().filter(|status| status.recovering).count();
                if recovering > self.witnesses.len() / 2 && self.waited_for_all(current.len()) {
                    let record = self.record(Generation(1), &current, false);
                    self.propose(record);
                }
            }
            Some(record) => {
                self.start_witnesses(record, view.state.config().revision);
                self.replace_lost(record);
            }
        }
    }

    /// Witnesses that still run keep their claims in the next generation. Claims count as lost unless
    /// every witness does, because a restarted one may be the only one that had them.
    fn start_after_restore(&mut self, current: &[WitnessStatus]) {
        let majority = current.len() > self.witnesses.len() / 2;
        if !majority || !self.waited_for_all(current.len()) {
            return;
        }
        let newest = current.iter().map(|status| status.generation).max();
        let all_serve = current.len() == self.witnesses.len()
            && current.iter().all(|status| !status.recovering);
        let generation = Generation(newest.unwrap_or(0) + 1);
        let record = self.record(generation, current, !all_serve);
        self.propose(record);
    }

    fn recent_statuses(&self) -> Vec<WitnessStatus> {
        let recent = |link: &&WitnessLink| {
            let asked = link.status.as_ref();
            asked.is_some_and(|(at, _)| at.elapsed() < STATUS_PERIOD * 3)
        };
        let links = self.witnesses.values().filter(recent);
        links
            .filter_map(|link| link.status.clone().map(|(_, status)| status))
            .collect()
    }

    /// Witnesses that take part from the start need not recover, so all of them are waited for.
    fn waited_for_all(&mut self, present: usize) -> bool {
        let since = *self.lost_since.get_or_insert_with(Instant::now);
        let all = present == self.witnesses.len();
        let waited = since.elapsed() >= LOST_FOR;
        if all || waited {
            self.lost_since = None;
        }
        all || waited
    }

    fn record(
        &self,
        generation: Generation,
        statuses: &[WitnessStatus],
        claims_lost: bool,
    ) -> GenerationRecord {
        let lives: BTreeMap<InstanceId, Incarnation> = statuses
            .iter()
            .map(|status| (status.instance.clone(), status.incarnation))
            .collect();
        let witnesses: BTreeSet<InstanceId> = self.witnesses.keys().cloned().collect();
        GenerationRecord {
            group: WitnessGroup {
                generation,
                witnesses,
            },
            lives,
            claims_lost,
        }
    }

    /// A generation ends when a majority of its witnesses runs in lives without memory: the others
    /// are too few to acknowledge anything or to restore the memory.
    fn replace_lost(&mut self, record: &GenerationRecord) {
        let statuses = self.recent_statuses();
        let started = |status: &WitnessStatus| {
            record.lives.get(&status.instance) == Some(&status.incarnation)
        };
        let lost = statuses
            .iter()
            .filter(|status| status.recovering && !started(status))
            .count();
        if lost < record.group.majority() {
            self.lost_since = None;
            return;
        }
        let since = *self.lost_since.get_or_insert_with(Instant::now);
        if since.elapsed() < LOST_FOR {
            return;
        }
        let generation = Generation(record.group.generation.0 + 1);
        let statuses = self.recent_statuses();
        let next = self.record(generation, &statuses, true);
        self.lost_since = None;
        log::warn!("control: a majority of the witnesses lost its memory; generation {generation}");
        self.propose(next);
    }

    fn propose(&self, record: GenerationRecord) {
        let detail = json!({
            "generation": record.group.generation,
            "claims_lost": record.claims_lost,
            "witnesses": record.lives,
        });
        self.journal
            .record("generation_started", None, None, detail);
        let replica = self.replica.clone();
        tokio::spawn(async move {
            let _ = replica.propose(LogCommand::StartGeneration(record)).await;
        });
    }

    fn start_witnesses(&self, record: &GenerationRecord, revision: Revision) {
        for status in self.recent_statuses() {
            let named = record.lives.get(&status.instance) == Some(&status.incarnation);
            if !named || status.generation >= record.group.generation.0 {
                continue;
            }
            let start = GenerationStart {
                group: record.group.clone(),
                witness: Life {
                    instance: status.instance.clone(),
                    incarnation: status.incarnation,
                },
                revision,
                claims_lost: record.claims_lost,
            };
            let (Some(link), Ok(bytes)) = (self.witnesses.get(&status.instance), encode(&start))
            else {
                continue;
            };
            let client = link.client.clone();
            tokio::spawn(async move {
                let kind = request::Kind::StartGeneration(bytes);
                let _ = client.call(kind, WITNESS_TIMEOUT).await;
            });
        }
    }
}

async fn push_config(client: &PeerClient, push: PushConfig) -> Result<StoreReply, WireError> {
    let response = client
        .call(request::Kind::PushConfig(push), WITNESS_TIMEOUT)
        .await?;
    decode_response(response)
}

/// What a witness at a revision lacks: changes when they are kept, else the whole state.
fn config_since(state: &Arc<ControlState>, since: Revision) -> serde_json::Result<ConfigReply> {
    let mut reply = ConfigReply {
        revision: state.config().revision.0,
        since_revision: since.0,
        ..ConfigReply::default()
    };
    match state.submissions.delta_since(since) {
        Some(changes) => {
            reply.change_json = changes
                .iter()
                .map(serde_json::to_vec)
                .collect::<Result<_, _>>()?;
        }
        None => reply.state_json = serde_json::to_vec(state.config())?,
    }
    Ok(reply)
}
