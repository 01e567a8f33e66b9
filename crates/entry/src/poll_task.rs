//! Polls the witnesses: freshness, members, backend servers and newer configurations.

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
use radishpaddle_quorum::{Generation, Life, WitnessGroup};
use radishpaddle_wire::WireError;
use radishpaddle_wire::message::{ConfigReply, FetchConfig, request, response};
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;

use crate::backend_info::BackendInfo;
use crate::clock::Clock;
use crate::config_store::ConfigStore;
use crate::fleet_view::FleetView;
use crate::settings::EntrySettings;
use crate::witness_port::{WitnessPort, WitnessPorts};

/// Longest wait for the answer to a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for a configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Answers that wait for the task.
const ANSWER_QUEUE: usize = 256;

enum Answer {
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

/// Everything that the task needs from its process.
pub struct PollInputs {
    /// Identity and stop signal.
    pub context: Arc<Context>,
    /// Settings of the instance.
    pub settings: Arc<EntrySettings>,
    /// Configuration that newer ones are applied to.
    pub config: ConfigStore,
    /// Witnesses.
    pub ports: WitnessPorts,
    /// Local time.
    pub clock: Clock,
    /// Readiness that follows freshness.
    pub readiness: Arc<Readiness>,
    /// Where the view is published.
    pub view: watch::Sender<FleetView>,
}

/// Starts the task. It ends when the last receiver of the view is dropped.
pub fn spawn(inputs: PollInputs) {
    let (answers, incoming) = mpsc::channel(ANSWER_QUEUE);
    let life = Life {
        instance: inputs.context.instance.clone(),
        incarnation: inputs.context.incarnation,
    };
    let no_group = WitnessGroup {
        generation: Generation::default(),
        witnesses: std::collections::BTreeSet::new(),
    };
    let task = PollTask {
        inputs,
        life,
        answers,
        freshness: Freshness::new(no_group),
        members: MembershipView::default(),
        backends: BTreeMap::new(),
        first_seen: HashMap::new(),
        leaders: BTreeMap::new(),
        next_number: 0,
        next_reader: 0,
        fetching: false,
        has_seen_leader: false,
    };
    tokio::spawn(task.run(incoming));
}

struct PollTask {
    inputs: PollInputs,
    life: Life,
    answers: mpsc::Sender<Answer>,
    freshness: Freshness,
    members: MembershipView,
    backends: BTreeMap<InstanceId, TableView<BackendKey, Announcement>>,
    first_seen: HashMap<ServerKey, (Incarnation, Duration)>,
    leaders: BTreeMap<InstanceId, Option<Leader>>,
    next_number: u64,
    next_reader: usize,
    fetching: bool,
    has_seen_leader: bool,
}

impl PollTask {
    async fn run(mut self, mut incoming: mpsc::Receiver<Answer>) {
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
                _ = deltas.tick() => self.read_backends(),
                Some(answer) = incoming.recv() => self.take(answer),
                () = stopping.cancelled(), if !leaving => {
                    leaving = true;
                    self.poll_all();
                }
            }
        }
    }

    fn poll_all(&mut self) {
        self.next_number += 1;
        for (witness, port) in self.inputs.ports.iter() {
            let request = self.poll_request(witness);
            let (witness, port) = (witness.clone(), port.clone());
            let (answers, clock) = (self.answers.clone(), self.inputs.clock);
            tokio::spawn(async move {
                let sent_at = clock.now();
                let exchanged = port.exchange(request::Kind::Poll, &request, POLL_TIMEOUT);
                if let Ok(reply) = exchanged.await {
                    let answer = Answer::Poll {
                        witness,
                        sent_at,
                        reply,
                    };
                    let _ = answers.send(answer).await;
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
            number: self.next_number,
            address: self.inputs.settings.caller_address(),
            availability_zone: context.availability_zone.clone(),
            state,
            applied: self.inputs.config.revision(),
            instances: self.members.cursor(witness),
        }
    }

    /// Asks one witness in each period, in turns: an announcement is stored by a majority, so it is
    /// seen after three periods at the latest when five witnesses answer. All are asked until one
    /// has answered.
    fn read_backends(&mut self) {
        self.next_reader = (self.next_reader + 1) % self.inputs.ports.len().max(1);
        let first_answer = self.backends.is_empty();
        for (index, (witness, port)) in self.inputs.ports.iter().enumerate() {
            if index != self.next_reader && !first_answer {
                continue;
            }
            let cursor = self.backends.get(witness).map(TableView::cursor);
            let request = (self.life.clone(), cursor.unwrap_or_default());
            let (witness, port) = (witness.clone(), port.clone());
            let answers = self.answers.clone();
            tokio::spawn(async move {
                let exchanged = port.exchange(request::Kind::BackendDelta, &request, POLL_TIMEOUT);
                if let Ok(delta) = exchanged.await {
                    let _ = answers.send(Answer::Backends { witness, delta }).await;
                }
            });
        }
    }

    fn take(&mut self, answer: Answer) {
        match answer {
            Answer::Poll {
                witness,
                sent_at,
                reply,
            } => self.take_poll(&witness, sent_at, reply),
            Answer::Backends { witness, delta } => {
                let view = self.backends.entry(witness).or_default();
                if view.apply(&delta) {
                    self.publish();
                }
            }
            Answer::Config(reply) => self.take_config(reply),
        }
    }

    fn take_poll(&mut self, witness: &InstanceId, sent_at: Duration, reply: PollReply) {
        if let Some(group) = reply.group {
            self.freshness.set_group(group);
        }
        // What a witness itself holds may have changed the store since the last answer.
        let applied = self.inputs.config.revision();
        self.freshness.set_applied(applied);
        self.freshness
            .record_answer(sent_at, witness, reply.generation, reply.revision);
        self.members.apply(sent_at, witness, &reply.instances);
        self.leaders.insert(witness.clone(), reply.leader);
        if reply.revision > applied {
            self.fetch(witness, applied);
        }
        self.publish();
    }

    fn fetch(&mut self, witness: &InstanceId, applied: Revision) {
        let Some(port) = self.inputs.ports.get(witness) else {
            return;
        };
        if self.fetching {
            return;
        }
        self.fetching = true;
        let (port, answers) = (port.clone(), self.answers.clone());
        tokio::spawn(async move {
            let reply = fetch_config(&port, applied).await;
            let _ = answers.send(Answer::Config(reply)).await;
        });
    }

    fn take_config(&mut self, reply: Result<ConfigReply, WireError>) {
        self.fetching = false;
        let Ok(reply) = reply else {
            return;
        };
        match self.inputs.config.apply(&reply) {
            Ok(revision) => {
                log::info!("config: revision {revision} is applied");
                self.freshness.set_applied(revision);
            }
            Err(error) => log::warn!("config: {error}"),
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

    /// Fresh, and after the start also with a leader: without one the instance gets no rate
    /// allocation and refuses requests that are within the rate. Later it admits under what it holds.
    fn is_ready(&self, now: Duration) -> bool {
        self.freshness.is_fresh(now) && self.has_seen_leader
    }

    fn latest_leader(&self) -> Option<Leader> {
        let leaders = self.leaders.values().flatten();
        leaders.max_by_key(|leader| leader.epoch).cloned()
    }

    /// Servers that any witness knows, each by its newest announcement.
    fn backend_servers(&mut self, now: Duration) -> Vec<Arc<BackendInfo>> {
        let mut newest: BTreeMap<&BackendKey, &Announcement> = BTreeMap::new();
        for (key, announcement) in self.backends.values().flat_map(TableView::entries) {
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

async fn fetch_config(port: &WitnessPort, applied: Revision) -> Result<ConfigReply, WireError> {
    let fetch = request::Kind::FetchConfig(FetchConfig {
        since_revision: applied.0,
    });
    match port.call(fetch, FETCH_TIMEOUT).await? {
        response::Kind::Config(config) => Ok(config),
        _ => Err(WireError::UnexpectedResponse),
    }
}
