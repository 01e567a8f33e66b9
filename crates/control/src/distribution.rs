//! Distribution of the configuration from the control leader to the witnesses, and start of witness
//! generations.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_consensus::Role;
use radishpaddle_kernel::Journal;
use radishpaddle_model::{Incarnation, InstanceId, Revision};
use radishpaddle_quorum::freshness::Propagation;
use radishpaddle_quorum::witness::{GenerationStart, StoreReply};
use radishpaddle_quorum::{Generation, InstanceIncarnation, WitnessGroup};
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

/// Period in which the configuration is pushed even without a change, so that lagging witnesses catch up.
const PUSH_PERIOD: Duration = Duration::from_millis(500);

/// Period in which the status of each witness is requested.
const STATUS_PERIOD: Duration = Duration::from_secs(1);

/// Age of a witness's last status, in status periods, above which the witness counts as unreachable.
const STATUS_EXPIRY_PERIODS: u32 = 3;

/// Timeout of a call to a witness.
const WITNESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a generation start waits for the remaining witnesses, and for which a majority must have lost
/// its state before the generation is replaced. Waiting longer would not help: a majority that restarted at the
/// same time cannot recover its state.
const GENERATION_START_DELAY: Duration = Duration::from_secs(5);

/// Progress of the distribution of the configuration, as the control leader knows it.
#[derive(Debug, Clone, Default)]
pub struct DistributionView {
    /// Highest revision that a majority of the witnesses has stored.
    pub in_force: Revision,
    /// Last reported status of each witness.
    pub witnesses: BTreeMap<InstanceId, WitnessStatus>,
    /// Highest revision that each member has applied, according to the witnesses.
    pub members: BTreeMap<InstanceId, Revision>,
}

/// Starts the distribution task and returns its view. The task is active while the replica leads.
#[must_use]
pub fn spawn(
    settings: &ControlSettings,
    identity: &ClientIdentity,
    replica: ReplicaHandle,
    journal: Journal,
) -> watch::Receiver<DistributionView> {
    let (view, receiver) = watch::channel(DistributionView::default());
    let (replies, reply_receiver) = mpsc::channel(64);
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
        waiting_since: None,
        replies,
        view,
        journal,
    };
    tokio::spawn(task.run(reply_receiver));
    receiver
}

struct WitnessLink {
    client: PeerClient,
    /// Revision that the witness has stored; 0 if unknown, so that the next push contains the full state.
    stored: Revision,
    push_in_flight: bool,
    /// Last reported status and the time of its receipt.
    status: Option<(Instant, WitnessStatus)>,
}

impl WitnessLink {
    const fn new(client: PeerClient) -> Self {
        Self {
            client,
            stored: Revision(0),
            push_in_flight: false,
            status: None,
        }
    }
}

enum WitnessReply {
    Push {
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
    /// Time since which the condition for a new generation holds; see [`GENERATION_START_DELAY`].
    waiting_since: Option<Instant>,
    replies: mpsc::Sender<WitnessReply>,
    view: watch::Sender<DistributionView>,
    journal: Journal,
}

impl Distribution {
    async fn run(mut self, mut replies: mpsc::Receiver<WitnessReply>) {
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
                    self.request_statuses();
                    self.check_generation();
                }
                Some(reply) = replies.recv() => self.handle_reply(reply),
            }
        }
    }

    /// Returns the view of the replica if it is the leader.
    fn leader_view(&self) -> Option<ReplicaView> {
        let view = self.replica.view();
        (view.role == Role::Leader).then_some(view)
    }

    fn push_all(&mut self) {
        let Some(view) = self.leader_view() else {
            return;
        };
        let Some(generation) = view.state.generation.clone() else {
            return;
        };
        self.update_propagation(&generation.group);
        let now = self.started_at.elapsed();
        for (witness, link) in &mut self.witnesses {
            if link.push_in_flight {
                continue;
            }
            let Ok(config) = config_since(&view.state, link.stored) else {
                continue;
            };
            link.push_in_flight = true;
            let push = PushConfig {
                config: Some(config),
                generation: generation.group.generation.0,
            };
            let (witness, client) = (witness.clone(), link.client.clone());
            let replies = self.replies.clone();
            tokio::spawn(async move {
                let reply = push_config(&client, push).await;
                let reply = WitnessReply::Push {
                    witness,
                    sent_at: now,
                    reply,
                };
                let _ = replies.send(reply).await;
            });
        }
    }

    fn update_propagation(&mut self, group: &WitnessGroup) {
        match &mut self.propagation {
            Some(propagation) => propagation.set_group(group.clone()),
            None => self.propagation = Some(Propagation::new(group.clone())),
        }
    }

    fn request_statuses(&self) {
        if self.leader_view().is_none() {
            return;
        }
        for (witness, link) in &self.witnesses {
            let (witness, client) = (witness.clone(), link.client.clone());
            let replies = self.replies.clone();
            tokio::spawn(async move {
                let kind = request::Kind::WitnessStatus(Empty {});
                let response = client.call(kind, WITNESS_TIMEOUT).await;
                let reply = response.and_then(decode_response);
                let _ = replies.send(WitnessReply::Status { witness, reply }).await;
            });
        }
    }

    fn handle_reply(&mut self, reply: WitnessReply) {
        match reply {
            WitnessReply::Push {
                witness,
                sent_at,
                reply,
            } => self.handle_push_reply(&witness, sent_at, reply),
            WitnessReply::Status { witness, reply } => {
                if let (Some(link), Ok(status)) = (self.witnesses.get_mut(&witness), reply) {
                    link.status = Some((Instant::now(), status));
                }
            }
        }
        self.publish();
    }

    fn handle_push_reply(
        &mut self,
        witness: &InstanceId,
        sent_at: Duration,
        reply: Result<StoreReply, WireError>,
    ) {
        let now = self.started_at.elapsed();
        let Some(link) = self.witnesses.get_mut(witness) else {
            return;
        };
        link.push_in_flight = false;
        match reply {
            Ok(reply) => {
                link.stored = reply.revision;
                if let Some(propagation) = &mut self.propagation {
                    let generation = reply.generation;
                    propagation.record_stored(now, sent_at, witness, generation, reply.revision);
                }
            }
            // The witness may have restarted or lack an earlier change: the next push contains the full state.
            Err(_) => link.stored = Revision(0),
        }
        let is_behind = self.leader_view().is_some_and(|view| {
            let newest = view.state.config().revision;
            let link = self.witnesses.get(witness);
            link.is_some_and(|link| link.stored != Revision(0) && link.stored < newest)
        });
        if is_behind {
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
            let highest = members.entry(member.clone()).or_insert(*revision);
            *highest = (*highest).max(*revision);
        }
        let acknowledged = self
            .propagation
            .as_ref()
            .and_then(Propagation::acknowledged);
        self.view.send_replace(DistributionView {
            in_force: acknowledged.unwrap_or_default(),
            witnesses: statuses,
            members,
        });
    }

    /// Starts the first generation, and a new one after a restore or when a majority has lost its state.
    fn check_generation(&mut self) {
        let Some(view) = self.leader_view() else {
            self.waiting_since = None;
            return;
        };
        let statuses = self.recent_statuses();
        match &view.state.generation {
            None if view.state.restored => self.start_generation_after_restore(&statuses),
            None => {
                let recovering = statuses.iter().filter(|status| status.recovering).count();
                if recovering > self.witnesses.len() / 2
                    && self.all_present_or_timed_out(statuses.len())
                {
                    let record = self.generation_record(Generation(1), &statuses, false);
                    self.propose_generation(record);
                }
            }
            Some(record) => {
                self.send_generation_start(record, view.state.config().revision);
                self.replace_generation_if_lost(record);
            }
        }
    }

    /// Starts the first generation after a restore. Witnesses that are still running keep their claims. Unless
    /// every witness kept its state, claims count as lost, because a restarted witness may have been the only
    /// one with a claim.
    fn start_generation_after_restore(&mut self, statuses: &[WitnessStatus]) {
        let is_majority = statuses.len() > self.witnesses.len() / 2;
        if !is_majority || !self.all_present_or_timed_out(statuses.len()) {
            return;
        }
        let newest = statuses.iter().map(|status| status.generation).max();
        let all_kept_state = statuses.len() == self.witnesses.len()
            && statuses.iter().all(|status| !status.recovering);
        let generation = Generation(newest.unwrap_or(0) + 1);
        let record = self.generation_record(generation, statuses, !all_kept_state);
        self.propose_generation(record);
    }

    /// Returns the status of each reachable witness.
    fn recent_statuses(&self) -> Vec<WitnessStatus> {
        let is_recent = |link: &&WitnessLink| {
            let status = link.status.as_ref();
            status.is_some_and(|(received_at, _)| {
                received_at.elapsed() < STATUS_PERIOD * STATUS_EXPIRY_PERIODS
            })
        };
        let links = self.witnesses.values().filter(is_recent);
        links
            .filter_map(|link| link.status.clone().map(|(_, status)| status))
            .collect()
    }

    /// Returns whether a generation can start: all witnesses are reachable, or [`GENERATION_START_DELAY`] has
    /// elapsed. Starting with all witnesses is preferred, because a witness that takes part from the start does
    /// not have to recover.
    fn all_present_or_timed_out(&mut self, present: usize) -> bool {
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        let all_present = present == self.witnesses.len();
        let timed_out = since.elapsed() >= GENERATION_START_DELAY;
        if all_present || timed_out {
            self.waiting_since = None;
        }
        all_present || timed_out
    }

    fn generation_record(
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

    /// Replaces the generation when a majority of its witnesses has restarted and lost its state in memory: the
    /// other witnesses are too few to acknowledge anything or to restore the state.
    fn replace_generation_if_lost(&mut self, record: &GenerationRecord) {
        let statuses = self.recent_statuses();
        let takes_part_from_start = |status: &WitnessStatus| {
            record.lives.get(&status.instance) == Some(&status.incarnation)
        };
        let lost = statuses
            .iter()
            .filter(|status| status.recovering && !takes_part_from_start(status))
            .count();
        if lost < record.group.majority() {
            self.waiting_since = None;
            return;
        }
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        if since.elapsed() < GENERATION_START_DELAY {
            return;
        }
        let generation = Generation(record.group.generation.0 + 1);
        let statuses = self.recent_statuses();
        let next = self.generation_record(generation, &statuses, true);
        self.waiting_since = None;
        log::warn!(
            "control: a majority of the witnesses lost its state; starting generation {generation}"
        );
        self.propose_generation(next);
    }

    fn propose_generation(&self, record: GenerationRecord) {
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

    /// Sends the start of the current generation to the witnesses that take part in it and have not started it.
    fn send_generation_start(&self, record: &GenerationRecord, revision: Revision) {
        for status in self.recent_statuses() {
            let takes_part = record.lives.get(&status.instance) == Some(&status.incarnation);
            if !takes_part || status.generation >= record.group.generation.0 {
                continue;
            }
            let start = GenerationStart {
                group: record.group.clone(),
                witness: InstanceIncarnation {
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

/// Returns the update for a witness that has stored revision `since`: the changes since then if they are still
/// retained, otherwise the full configuration.
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
