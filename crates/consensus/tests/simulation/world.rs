//! Simulated cluster: processes, network, clients and faults, all derived from one seed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use radishpaddle_consensus::membership::MAX_VOTERS;
use radishpaddle_consensus::{
    Body, Config, HardState, Member, MemberRole, Membership, MembershipChange, Message, Notice,
    Payload, PersistedState, ReadId, ReadResult, Replica, ReplicaId, Role, Snapshot, SnapshotMeta,
};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use crate::checker::Checker;
use crate::machine::Submission;
use crate::node::{Node, machine_from_snapshot, memberships};

/// Fault configuration of a simulation. Durations are in ticks.
#[derive(Debug, Clone)]
pub struct Faults {
    /// Probability that a message is lost.
    pub message_loss: f64,
    /// Probability that a message is delivered twice.
    pub message_duplication: f64,
    pub max_delay_ticks: u64,
    /// Probability per tick that a random link is cut, or restored if it is cut.
    pub toggle_link: f64,
    /// Probability per tick that a random process crashes.
    pub crash: f64,
    /// Probability that a process crashes during a write.
    pub crash_in_write: f64,
    pub max_down_ticks: u64,
    /// Probability per tick that a random process loses its disk and is replaced, unless the group
    /// could not recover from this loss.
    pub disk_loss: f64,
    /// Probability per tick that a random replica is asked to transfer its leadership.
    pub transfer: f64,
    pub max_sync_ticks: u64,
    /// Probability that a process starts with a clock that runs at a quarter of the speed.
    pub slow_clock: f64,
    /// Minimum election timeout. A value close to the message delay causes contested elections.
    pub election_ticks: u32,
    /// Probability per tick that a process takes a snapshot.
    pub take_snapshot: f64,
}

impl Faults {
    pub const NONE: Self = Self {
        message_loss: 0.0,
        message_duplication: 0.0,
        max_delay_ticks: 1,
        toggle_link: 0.0,
        crash: 0.0,
        crash_in_write: 0.0,
        max_down_ticks: 1,
        disk_loss: 0.0,
        transfer: 0.0,
        max_sync_ticks: 0,
        slow_clock: 0.0,
        election_ticks: 10,
        take_snapshot: 0.05,
    };
}

pub struct Cluster {
    pub now: u64,
    pub rng: SmallRng,
    pub faults: Faults,
    config: Config,
    target_voters: usize,
    /// Number of voters that the group keeps if every live member votes; otherwise the target is fixed.
    min_voters: Option<usize>,
    pub nodes: BTreeMap<ReplicaId, Node>,
    pub checker: Checker,
    pub writes: u64,
    /// The process crashes during the write with this number.
    pub crash_at_write: Option<u64>,
    network: Vec<(u64, Message)>,
    cut_links: BTreeSet<(ReplicaId, ReplicaId)>,
    next_id: u64,
    pending_submissions: BTreeMap<u64, ReplicaId>,
    next_operation: u64,
    pub replaced_nodes: u64,
}

impl Cluster {
    pub fn new(seed: u64, voters: u64, learners: u64, faults: Faults) -> Self {
        let ids = (1..=voters + learners).map(ReplicaId);
        let disks = ids.map(|id| initial_disk(id, voters, learners));
        let config = default_config(usize::try_from(voters).unwrap(), faults.election_ticks);
        Self::with_disks(seed, disks.collect(), config, faults)
    }

    /// Creates a group in which every live member votes, up to the limit of voters, without faults.
    pub fn live_members(seed: u64, replicas: u64, min_voters: usize, config: Config) -> Self {
        let voters = replicas.min(MAX_VOTERS as u64);
        let ids = (1..=replicas).map(ReplicaId);
        let disks = ids.map(|id| initial_disk(id, voters, replicas - voters));
        let mut cluster = Self::with_disks(seed, disks.collect(), config, Faults::NONE);
        cluster.min_voters = Some(min_voters);
        cluster
    }

    /// Creates the first replica of a group and two processes that have not joined it yet.
    pub fn with_first_replica(seed: u64) -> Self {
        let first_replica = PersistedState::bootstrap(ReplicaId(1), "founder".into());
        let others = [2, 3].map(|id| PersistedState::empty(ReplicaId(id)));
        let disks = std::iter::once(first_replica).chain(others);
        let config = default_config(3, Faults::NONE.election_ticks);
        Self::with_disks(seed, disks.collect(), config, Faults::NONE)
    }

    fn with_disks(seed: u64, disks: Vec<PersistedState>, config: Config, faults: Faults) -> Self {
        let mut cluster = Self {
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            faults,
            target_voters: config.target_voters,
            min_voters: None,
            config,
            nodes: BTreeMap::new(),
            checker: Checker::default(),
            writes: 0,
            crash_at_write: None,
            network: Vec::new(),
            cut_links: BTreeSet::new(),
            next_id: disks.len() as u64 + 1,
            pending_submissions: BTreeMap::new(),
            next_operation: 1,
            replaced_nodes: 0,
        };
        for disk in disks {
            let id = disk.hard_state.replica_id;
            let mut node = Node::start(disk, cluster.config.clone(), &mut cluster.rng);
            node.slow_clock = cluster.chance(cluster.faults.slow_clock);
            cluster.nodes.insert(id, node);
        }
        cluster
    }

    pub fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.step();
        }
    }

    /// Ends all faults and restarts the processes that are down.
    pub fn end_faults(&mut self) {
        self.faults = Faults::NONE;
        self.cut_links.clear();
        for node in self.nodes.values_mut() {
            node.slow_clock = false;
            node.restart_at = self.now;
        }
    }

    pub fn step(&mut self) {
        self.now += 1;
        self.inject_faults();
        self.deliver();
        for id in self.ids() {
            self.step_node(id);
        }
        self.add_new_replicas();
        self.issue_client_operations();
        for node in self.nodes.values() {
            self.checker.check_leader(node);
        }
    }

    /// Cuts all links between the members of `half` and the others.
    pub fn cut_off(&mut self, half: &[ReplicaId]) {
        let ids = self.ids();
        let (inside, outside): (Vec<_>, Vec<_>) = ids.iter().partition(|id| half.contains(id));
        self.cut_links.clear();
        for (a, b) in inside
            .iter()
            .flat_map(|a| outside.iter().map(move |b| (*a, *b)))
        {
            self.cut_links.extend([(a, b), (b, a)]);
        }
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        self.cut_links.clear();
    }

    /// Suspends a process: its clock does not advance and its messages wait.
    pub fn freeze(&mut self, id: ReplicaId, ticks: u64) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.frozen_until = self.now + ticks;
        }
    }

    fn is_frozen(&self, id: ReplicaId) -> bool {
        let node = self.nodes.get(&id);
        node.is_some_and(|node| node.frozen_until > self.now)
    }

    pub fn ids(&self) -> Vec<ReplicaId> {
        self.nodes.keys().copied().collect()
    }

    fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability)
    }

    fn any_id(&mut self) -> ReplicaId {
        let ids = self.ids();
        ids[self.rng.random_range(0..ids.len())]
    }

    fn inject_faults(&mut self) {
        if self.chance(self.faults.toggle_link) {
            let link = (self.any_id(), self.any_id());
            if !self.cut_links.remove(&link) {
                self.cut_links.insert(link);
            }
        }
        if self.chance(self.faults.crash) {
            let id = self.any_id();
            self.crash(id);
        }
        if self.chance(self.faults.disk_loss) {
            let id = self.any_id();
            if self.tolerates_loss_of(id) {
                self.replace(id);
            }
        }
    }

    pub fn crash(&mut self, id: ReplicaId) {
        let down = self.rng.random_range(1..=self.faults.max_down_ticks);
        if let Some(node) = self.nodes.get_mut(&id) {
            node.crash(&mut self.rng);
            node.restart_at = self.now + down;
        }
    }

    /// Returns whether a majority of disks remains in every membership that a replica knows, could
    /// receive in an undelivered message or could propose next. Without it, no protocol can
    /// recover.
    pub fn tolerates_loss_of(&self, lost: ReplicaId) -> bool {
        let has_disk = |id: ReplicaId| id != lost && self.nodes.contains_key(&id);
        let on_nodes = self.nodes.values().flat_map(Node::memberships);
        let in_network = self
            .network
            .iter()
            .flat_map(|(_, message)| match &message.body {
                Body::AppendEntries { entries, .. } => memberships(entries).collect(),
                _ => Vec::new(),
            });
        let mut known = on_nodes.chain(in_network).filter(|known| known.group != 0);
        known.all(|known| {
            let promoted = |id| known.with_change(&MembershipChange::Promote(id));
            let removed = |id| known.with_change(&MembershipChange::Remove(id));
            let voters = known.voters().count();
            let shrinks = voters > self.target_voters || voters == MAX_VOTERS;
            let after_removal = known.voters().filter(|_| shrinks).filter_map(removed);
            let mut next = known.learners().filter_map(promoted).chain(after_removal);
            known.is_quorum(has_disk) && next.all(|next| next.is_quorum(has_disk))
        })
    }

    /// Replaces a process that lost its disk by a new one with an empty disk and a new identity.
    pub fn replace(&mut self, id: ReplicaId) {
        self.nodes.remove(&id);
        self.add_empty();
    }

    /// Starts a process with an empty disk and a new identity.
    pub fn add_empty(&mut self) {
        let id = ReplicaId(self.next_id);
        self.next_id += 1;
        self.replaced_nodes += 1;
        let disk = PersistedState::empty(id);
        let node = Node::start(disk, self.config.clone(), &mut self.rng);
        self.nodes.insert(id, node);
    }

    /// Returns the leader of the highest term.
    pub fn current_leader(&self) -> Option<ReplicaId> {
        let replicas = self.nodes.values().filter_map(|node| node.replica.as_ref());
        let leaders = replicas.filter(|replica| replica.role() == Role::Leader);
        let newest = leaders.max_by_key(|replica| replica.term());
        newest.map(Replica::id)
    }

    /// Returns a random voter that still has its disk.
    pub fn random_voter(&mut self) -> ReplicaId {
        let leader = self.current_leader().expect("a leader");
        let membership = self.nodes[&leader].replica.as_ref().unwrap().membership();
        let voters = membership.voters().filter(|id| self.nodes.contains_key(id));
        let voters: Vec<_> = voters.collect();
        voters[self.rng.random_range(0..voters.len())]
    }

    fn deliver(&mut self) {
        let now = self.now;
        let ids = self.ids();
        let frozen: BTreeSet<_> = ids.into_iter().filter(|id| self.is_frozen(*id)).collect();
        let due = |(at, message): &mut (u64, Message)| *at <= now && !frozen.contains(&message.to);
        let due: Vec<_> = self.network.extract_if(.., due).collect();
        for (_, message) in due {
            let node = self.nodes.get_mut(&message.to);
            if let Some(replica) = node.and_then(|node| node.replica.as_mut()) {
                replica.receive(message);
            }
        }
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            let lost = self.chance(self.faults.message_loss);
            if lost || self.cut_links.contains(&(message.from, message.to)) {
                continue;
            }
            let message = if self.chance(0.1) {
                Message::decode(&message.encode()).expect("messages decode")
            } else {
                message
            };
            if self.chance(self.faults.message_duplication) {
                self.enqueue(message.clone());
            }
            self.enqueue(message);
        }
    }

    fn enqueue(&mut self, message: Message) {
        let delay = self.rng.random_range(1..=self.faults.max_delay_ticks);
        self.network.push((self.now + delay, message));
    }

    fn step_node(&mut self, id: ReplicaId) {
        let now = self.now;
        if self.is_frozen(id) {
            return;
        }
        let snapshot = self.chance(self.faults.take_snapshot);
        let slow_clock = self.chance(self.faults.slow_clock);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if node.replica.is_none() && node.restart_at <= now {
            node.restart(&mut self.rng);
            node.slow_clock = slow_clock;
        }
        if snapshot {
            node.take_snapshot();
        }
        let ticks = !node.slow_clock || now.is_multiple_of(4);
        let min_voters = self.min_voters;
        if let Some(replica) = node.replica.as_mut().filter(|_| ticks) {
            replica.tick();
            if let Some(min_voters) = min_voters {
                let live = replica.responsive_member_count();
                replica.set_target_voters(live.max(min_voters));
            }
        }
        self.process_ready(id);
    }

    /// Processes the output of a replica, with a crash during a write if one is due.
    fn process_ready(&mut self, id: ReplicaId) {
        loop {
            let now = self.now;
            let Some(node) = self.nodes.get_mut(&id) else {
                return;
            };
            if node
                .pending
                .as_ref()
                .is_some_and(|pending| pending.due <= now)
            {
                let messages = node.finish_sync();
                self.send(messages);
                continue;
            }
            let ready = node.replica.as_mut().and_then(Replica::take_ready);
            let Some(mut ready) = ready else { return };
            self.send(std::mem::take(&mut ready.messages));
            if !ready.writes.is_empty() {
                let due = now + self.rng.random_range(0..=self.faults.max_sync_ticks);
                self.nodes.get_mut(&id).unwrap().begin_sync(&mut ready, due);
                if self.crashes_in_this_write() {
                    self.crash(id);
                    return;
                }
            }
            self.apply(id, ready);
        }
    }

    fn crashes_in_this_write(&mut self) -> bool {
        self.writes += 1;
        self.crash_at_write == Some(self.writes) || self.chance(self.faults.crash_in_write)
    }

    fn apply(&mut self, id: ReplicaId, ready: radishpaddle_consensus::Ready) {
        let node = self.nodes.get_mut(&id).unwrap();
        if let Some(snapshot) = &ready.snapshot_to_install {
            let machine = machine_from_snapshot(snapshot);
            self.checker.check_install(&node.machine, &machine);
            node.machine = machine;
        }
        for entry in &ready.committed {
            self.checker.check_applied(&node.machine, entry);
            node.machine.applied = entry.index;
            let Payload::Data(data) = &entry.payload else {
                continue;
            };
            let submission = Submission::decode(data);
            let won = node.machine.apply(submission);
            if let Some(revision) = won {
                self.checker.check_winner(revision, submission.id);
            }
            if self.pending_submissions.get(&submission.id) == Some(&id) {
                self.pending_submissions.remove(&submission.id);
                self.checker.acknowledge(won.unwrap_or(0));
            }
        }
        let revision = node.machine.revision();
        for read in ready.reads {
            if let ReadResult::Confirmed(ReadId(read)) = read {
                self.checker.check_read(read, revision);
            }
        }
        if ready.notices.contains(&Notice::Removed) {
            let membership = self.checker.membership().expect("a removal is committed");
            assert!(
                !membership.is_voter(id),
                "a voter was notified of its removal"
            );
            self.replace(id);
        }
    }

    /// Lets each leader add processes that are not members as learners.
    fn add_new_replicas(&mut self) {
        let ids = self.ids();
        let replicas = self
            .nodes
            .values_mut()
            .filter(|node| node.frozen_until <= self.now)
            .filter_map(|node| node.replica.as_mut());
        for replica in replicas.filter(|replica| replica.role() == Role::Leader) {
            let absent = |id: &&ReplicaId| replica.membership().role(**id).is_none();
            if let Some(id) = ids.iter().find(absent).copied() {
                let address = "newcomer".into();
                let change = MembershipChange::AddLearner { id, address };
                let _ = replica.propose_membership(&change);
            }
        }
    }

    fn issue_client_operations(&mut self) {
        let id = self.any_id();
        if self.is_frozen(id) {
            return;
        }
        match self.rng.random_range(0..10) {
            0..5 => self.submit(id),
            5..8 => self.read(id),
            _ => {}
        }
        let transfer = self.chance(self.faults.transfer);
        if let Some(replica) = self.replica(id).filter(|_| transfer) {
            let _ = replica.transfer_leadership(None);
        }
    }

    fn replica(&mut self, id: ReplicaId) -> Option<&mut Replica> {
        self.nodes.get_mut(&id)?.replica.as_mut()
    }

    /// Proposes a submission to a replica. It is acknowledged once the same replica applies it.
    pub fn submit(&mut self, to: ReplicaId) {
        let id = self.next_operation;
        self.next_operation += 1;
        let expected = self.nodes[&to].machine.revision();
        let submission = Submission { id, expected };
        let Some(replica) = self.replica(to) else {
            return;
        };
        if replica.propose(submission.encode()).is_ok() {
            self.pending_submissions.insert(id, to);
        }
    }

    pub fn read(&mut self, from: ReplicaId) {
        let id = self.next_operation;
        self.next_operation += 1;
        let min_revision = self.checker.seen_revision;
        let Some(replica) = self.replica(from) else {
            return;
        };
        if replica.read(ReadId(id)).is_ok() {
            self.checker.min_read_revisions.insert(id, min_revision);
        }
    }
}

fn default_config(target_voters: usize, election_ticks: u32) -> Config {
    Config {
        heartbeat_ticks: 2,
        election_ticks,
        target_voters,
        repair_after_ticks: 60,
        remove_after_ticks: 60,
        retained_entries: 4,
        max_batch_bytes: 100,
        max_chunk_bytes: 40,
        max_unacknowledged_batches: 3,
        ..Config::default()
    }
}

fn initial_disk(id: ReplicaId, voters: u64, learners: u64) -> PersistedState {
    let member = |number: u64| {
        let role = if number <= voters {
            MemberRole::Voter
        } else {
            MemberRole::Learner
        };
        let address = Arc::from("founder");
        (ReplicaId(number), Member { role, address })
    };
    let membership = Membership {
        group: 1,
        members: (1..=voters + learners).map(member).collect(),
    };
    let meta = SnapshotMeta {
        index: 1,
        term: 1,
        membership,
        membership_index: 1,
    };
    PersistedState {
        hard_state: HardState {
            replica_id: id,
            term: 1,
            voted_for: None,
        },
        snapshot: Some(Snapshot {
            meta,
            data: Arc::from([]),
        }),
        entries: Vec::new(),
    }
}
