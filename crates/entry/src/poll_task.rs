//! Task that polls the witnesses for freshness, members, backend servers and newer configurations.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_kernel::Context;
use radishpaddle_kernel::admin::Readiness;
use radishpaddle_model::{Announcement, Incarnation, InstanceId, Revision};
use radishpaddle_policy::ServerKey;
use radishpaddle_quorum::freshness::Freshness;
use radishpaddle_quorum::lease::Leader;
use radishpaddle_quorum::table::{Delta, TableView};
use radishpaddle_quorum::witness::{
    BackendKey, InstanceState, MembershipView, PollReply, PollRequest,
};
use radishpaddle_quorum::{Generation, InstanceIncarnation, WitnessGroup};
use radishpaddle_wire::WireError;
use radishpaddle_wire::message::{ConfigReply, FetchConfig, request, response};
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;

use crate::backend_info::BackendInfo;
use crate::clock::Clock;
use crate::config_store::ConfigStore;
use crate::fleet_view::FleetView;
use crate::settings::EntrySettings;
use crate::witness_client::{WitnessClient, WitnessClients};

/// Time limit for the reply to a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for the reply to a configuration request.
const CONFIG_FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Capacity of the reply channel of the task.
const REPLY_QUEUE_CAPACITY: usize = 256;

enum WitnessReply {
    Poll {
        witness: InstanceId,
        sent_at: Duration,
        reply: PollReply,
    },
    Backends {
        witness: InstanceId,
        delta: Delta<BackendKey, Announcement>,
    },
    Config(Result<ConfigReply, WireError>),
}

/// Inputs of the task.
pub struct PollInputs {
    /// Context of the process, for identity and stop signal.
    pub context: Arc<Context>,
    /// Settings of the instance.
    pub settings: Arc<EntrySettings>,
    /// Configuration store to which newer configurations are applied.
    pub config: ConfigStore,
    /// Clients for the witnesses.
    pub witnesses: WitnessClients,
    /// Clock of the process.
    pub clock: Clock,
    /// Readiness of the process, which the task sets.
    pub readiness: Arc<Readiness>,
    /// Channel on which the state of the fleet is published.
    pub view: watch::Sender<FleetView>,
}

/// Starts the task. It ends when the last receiver of the fleet state is dropped.
pub fn spawn(inputs: PollInputs) {
    let (replies, received) = mpsc::channel(REPLY_QUEUE_CAPACITY);
    let life = InstanceIncarnation {
        instance: inputs.context.instance.clone(),
        incarnation: inputs.context.incarnation,
    };
    let empty_group = WitnessGroup {
        generation: Generation::default(),
        witnesses: std::collections::BTreeSet::new(),
    };
    let task = PollTask {
        inputs,
        life,
        replies,
        freshness: Freshness::new(empty_group),
        members: MembershipView::default(),
        backend_tables: BTreeMap::new(),
        first_seen: HashMap::new(),
        reported_leaders: BTreeMap::new(),
        next_poll_number: 0,
        next_delta_witness: 0,
        config_fetch_in_progress: false,
        has_seen_leader: false,
    };
    tokio::spawn(task.run(received));
}

struct PollTask {
    inputs: PollInputs,
    life: InstanceIncarnation,
    replies: mpsc::Sender<WitnessReply>,
    freshness: Freshness,
    members: MembershipView,
    backend_tables: BTreeMap<InstanceId, TableView<BackendKey, Announcement>>,
    first_seen: HashMap<ServerKey, (Incarnation, Duration)>,
    reported_leaders: BTreeMap<InstanceId, Option<Leader>>,
    next_poll_number: u64,
    next_delta_witness: usize,
    config_fetch_in_progress: bool,
    has_seen_leader: bool,
}

impl PollTask {
    async fn run(mut self, mut received: mpsc::Receiver<WitnessReply>) {
        let timing = &self.inputs.settings.timing;
        let mut polls = tokio::time::interval(Duration::from_millis(timing.poll_ms));
        let mut deltas = tokio::time::interval(Duration::from_millis(timing.sync_ms));
        polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
        deltas.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let stopping = self.inputs.context.stopping.clone();
        let mut leaving = false;
        while !self.inputs.view.is_closed() {
            tokio::select! {
                _ = polls.tick() => self.poll_all(),
                _ = deltas.tick() => self.request_backend_delta(),
                Some(reply) = received.recv() => self.handle_reply(reply),
                () = stopping.cancelled(), if !leaving => {
                    leaving = true;
                    self.poll_all();
                }
            }
        }
    }

    fn poll_all(&mut self) {
        self.next_poll_number += 1;
        for (witness, client) in self.inputs.witnesses.iter() {
            let request = self.poll_request(witness);
            let (witness, client) = (witness.clone(), client.clone());
            let (replies, clock) = (self.replies.clone(), self.inputs.clock);
            tokio::spawn(async move {
                let sent_at = clock.now();
                let exchanged =
                    client.call_with_payload(request::Kind::Poll, &request, POLL_TIMEOUT);
                if let Ok(reply) = exchanged.await {
                    let reply = WitnessReply::Poll {
                        witness,
                        sent_at,
                        reply,
                    };
                    let _ = replies.send(reply).await;
                }
            });
        }
        self.publish();
    }

    fn poll_request(&self, witness: &InstanceId) -> PollRequest {
        let context = &self.inputs.context;
        let now = self.inputs.clock.now();
        let state = if context.stopping.is_cancelled() {
            InstanceState::Leaving
        } else if self.is_ready(now) {
            InstanceState::Serving
        } else {
            InstanceState::NotReady
        };
        PollRequest {
            generation: self.freshness.group().generation,
            life: self.life.clone(),
            number: self.next_poll_number,
            address: self.inputs.settings.caller_address(),
            availability_zone: context.availability_zone.clone(),
            state,
            applied: self.inputs.config.revision(),
            instances: self.members.cursor(witness),
        }
    }

    /// Requests the changes of the backend server table from one witness per period, round robin.
    /// An announcement is stored by a majority, so with five witnesses that reply it is seen after
    /// three periods at the latest. Until the first reply all witnesses are asked.
    fn request_backend_delta(&mut self) {
        self.next_delta_witness =
            (self.next_delta_witness + 1) % self.inputs.witnesses.len().max(1);
        let ask_all = self.backend_tables.is_empty();
        for (index, (witness, client)) in self.inputs.witnesses.iter().enumerate() {
            if index != self.next_delta_witness && !ask_all {
                continue;
            }
            let cursor = self.backend_tables.get(witness).map(TableView::cursor);
            let request = (self.life.clone(), cursor.unwrap_or_default());
            let (witness, client) = (witness.clone(), client.clone());
            let replies = self.replies.clone();
            tokio::spawn(async move {
                let exchanged =
                    client.call_with_payload(request::Kind::BackendDelta, &request, POLL_TIMEOUT);
                if let Ok(delta) = exchanged.await {
                    let _ = replies
                        .send(WitnessReply::Backends { witness, delta })
                        .await;
                }
            });
        }
    }

    fn handle_reply(&mut self, reply: WitnessReply) {
        match reply {
            WitnessReply::Poll {
                witness,
                sent_at,
                reply,
            } => self.apply_poll(&witness, sent_at, reply),
            WitnessReply::Backends { witness, delta } => {
                let table = self.backend_tables.entry(witness).or_default();
                if table.apply(&delta) {
                    self.publish();
                }
            }
            WitnessReply::Config(reply) => self.finish_config_fetch(reply),
        }
    }

    fn apply_poll(&mut self, witness: &InstanceId, sent_at: Duration, reply: PollReply) {
        if let Some(group) = reply.group {
            self.freshness.set_group(group);
        }
        // If this instance is a witness, a pushed configuration may have changed the store since
        // the last reply.
        let applied = self.inputs.config.revision();
        self.freshness.set_applied(applied);
        self.freshness
            .record_poll_reply(sent_at, witness, reply.generation, reply.revision);
        self.members.apply(sent_at, witness, &reply.instances);
        self.reported_leaders.insert(witness.clone(), reply.leader);
        if reply.revision > applied {
            self.start_config_fetch(witness, applied);
        }
        self.publish();
    }

    fn start_config_fetch(&mut self, witness: &InstanceId, applied: Revision) {
        let Some(client) = self.inputs.witnesses.get(witness) else {
            return;
        };
        if self.config_fetch_in_progress {
            return;
        }
        self.config_fetch_in_progress = true;
        let (client, replies) = (client.clone(), self.replies.clone());
        tokio::spawn(async move {
            let reply = fetch_config(&client, applied).await;
            let _ = replies.send(WitnessReply::Config(reply)).await;
        });
    }

    fn finish_config_fetch(&mut self, reply: Result<ConfigReply, WireError>) {
        self.config_fetch_in_progress = false;
        let Ok(reply) = reply else {
            return;
        };
        match self.inputs.config.apply(&reply) {
            Ok(revision) => {
                log::info!("config: applied revision {revision}");
                self.freshness.set_applied(revision);
            }
            Err(error) => log::warn!("config: update was not applied: {error}"),
        }
        self.publish();
    }

    fn publish(&mut self) {
        let now = self.inputs.clock.now();
        self.has_seen_leader |= self.latest_leader().is_some();
        self.inputs.readiness.set(self.is_ready(now));
        let group = self.freshness.group();
        let view = FleetView {
            fresh_until: self.freshness.fresh_until(),
            group: (group.generation.0 > 0).then(|| Arc::new(group.clone())),
            leader: self.latest_leader(),
            members: Arc::new(self.members.instances(now)),
            membership: Arc::new(self.members.clone()),
            backend_servers: Arc::new(self.backend_servers(now)),
        };
        self.inputs.view.send_replace(view);
    }

    /// Returns whether the instance is fresh and has seen a leader since its start. Before it has
    /// seen one, it gets no rate allocation and refuses requests that are within the rate. If the
    /// leader is lost later, the instance admits requests under the allocations that it holds.
    fn is_ready(&self, now: Duration) -> bool {
        self.freshness.is_fresh(now) && self.has_seen_leader
    }

    fn latest_leader(&self) -> Option<Leader> {
        let leaders = self.reported_leaders.values().flatten();
        leaders.max_by_key(|leader| leader.epoch).cloned()
    }

    /// Merges the tables of the witnesses: every known server with its newest announcement.
    fn backend_servers(&mut self, now: Duration) -> Vec<Arc<BackendInfo>> {
        let mut newest: BTreeMap<&BackendKey, &Announcement> = BTreeMap::new();
        for (key, announcement) in self.backend_tables.values().flat_map(TableView::entries) {
            let known = newest.entry(key).or_insert(announcement);
            if announcement.version() > known.version() {
                *known = announcement;
            }
        }
        let servers = newest.into_values().map(|announcement| {
            let key = ServerKey::new(&announcement.service, &announcement.backend_server);
            let seen = self
                .first_seen
                .entry(key)
                .or_insert((announcement.incarnation, now));
            if seen.0 != announcement.incarnation {
                *seen = (announcement.incarnation, now);
            }
            Arc::new(BackendInfo::new(announcement, seen.1))
        });
        let servers: Vec<_> = servers.collect();
        if self.first_seen.len() > servers.len() * 2 + 64 {
            let known: std::collections::HashSet<_> =
                servers.iter().map(|server| server.key).collect();
            self.first_seen.retain(|key, _| known.contains(key));
        }
        servers
    }
}

async fn fetch_config(client: &WitnessClient, applied: Revision) -> Result<ConfigReply, WireError> {
    let fetch = request::Kind::FetchConfig(FetchConfig {
        since_revision: applied.0,
    });
    match client.call(fetch, CONFIG_FETCH_TIMEOUT).await? {
        response::Kind::Config(config) => Ok(config),
        _ => Err(WireError::UnexpectedResponse),
    }
}
