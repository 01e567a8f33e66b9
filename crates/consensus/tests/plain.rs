//! Three replicas without faults: elect, replicate, commit, restart.

use std::collections::BTreeMap;
use std::sync::Arc;

use radishpaddle_consensus::{
    Config, Entry, MembershipChange, Message, Payload, PersistedState, ReadId, ReadResult, Replica,
    ReplicaId, Role,
};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

struct Node {
    replica: Replica,
    disk: PersistedState,
    applied: Vec<Arc<[u8]>>,
    reads: Vec<ReadResult>,
}

struct Group {
    nodes: BTreeMap<ReplicaId, Node>,
    messages: Vec<Message>,
}

fn start(disk: PersistedState) -> Node {
    let rng = SmallRng::seed_from_u64(disk.hard_state.replica_id.0);
    Node {
        replica: Replica::new(Config::default(), disk.clone(), rng).unwrap(),
        disk,
        applied: Vec::new(),
        reads: Vec::new(),
    }
}

impl Group {
    fn founded() -> Self {
        let founder = ReplicaId(1);
        let node = start(PersistedState::founding(founder, "first".into()));
        Self {
            nodes: BTreeMap::from([(founder, node)]),
            messages: Vec::new(),
        }
    }

    fn step(&mut self) {
        for message in std::mem::take(&mut self.messages) {
            if let Some(node) = self.nodes.get_mut(&message.to) {
                let message = Message::decode(&message.encode()).unwrap();
                node.replica.receive(message);
            }
        }
        for node in self.nodes.values_mut() {
            node.replica.tick();
            while let Some(ready) = node.replica.take_ready() {
                self.messages.extend(ready.messages);
                if !ready.writes.is_empty() {
                    write(&mut node.disk, &ready.writes);
                    self.messages.extend(ready.messages_after_sync);
                    node.replica.synced(ready.number);
                }
                let data = |entry: Entry| match entry.payload {
                    Payload::Data(data) => Some(data),
                    _ => None,
                };
                node.applied
                    .extend(ready.committed.into_iter().filter_map(data));
                node.reads.extend(ready.reads);
            }
        }
    }

    fn steps(&mut self, count: usize) {
        for _ in 0..count {
            self.step();
        }
    }

    fn leader(&mut self) -> &mut Node {
        let mut nodes = self.nodes.values_mut();
        nodes
            .find(|node| node.replica.role() == Role::Leader)
            .expect("a leader")
    }

    fn join(&mut self, id: u64) {
        let id = ReplicaId(id);
        self.nodes.insert(id, start(PersistedState::empty(id)));
        let address = "other".into();
        let change = MembershipChange::AddLearner { id, address };
        self.leader().replica.propose_membership(&change).unwrap();
        self.steps(20);
    }
}

fn write(disk: &mut PersistedState, writes: &radishpaddle_consensus::Writes) {
    disk.hard_state = writes.hard_state.unwrap_or(disk.hard_state);
    if let Some(snapshot) = &writes.snapshot {
        disk.snapshot = Some(snapshot.clone());
        disk.entries.clear();
    }
    if let Some(first) = writes.entries.first() {
        disk.entries.retain(|entry| entry.index < first.index);
    }
    disk.entries.extend_from_slice(&writes.entries);
}

fn group_of_three() -> Group {
    let mut group = Group::founded();
    group.steps(40);
    group.join(2);
    group.join(3);
    group
}

/// Guards against a group that does not form, or a proposal that does not reach every replica.
#[test]
fn proposal_is_applied_by_every_replica() {
    let mut group = group_of_three();
    assert_eq!(group.leader().replica.membership().voters().count(), 3);

    group
        .leader()
        .replica
        .propose(b"one".as_slice().into())
        .unwrap();
    group.steps(10);

    for node in group.nodes.values() {
        assert_eq!(node.applied, [Arc::from(b"one".as_slice())]);
    }
}

/// Guards against committed entries that are gone after every replica restarts.
#[test]
fn committed_entries_survive_a_restart_of_all() {
    let mut group = group_of_three();
    group
        .leader()
        .replica
        .propose(b"one".as_slice().into())
        .unwrap();
    group.steps(10);

    let disks: Vec<_> = group.nodes.values().map(|node| node.disk.clone()).collect();
    let ids: Vec<_> = group.nodes.keys().copied().collect();
    group.nodes = ids.into_iter().zip(disks.into_iter().map(start)).collect();
    group.messages.clear();
    group.steps(60);

    for node in group.nodes.values() {
        assert_eq!(node.applied, [Arc::from(b"one".as_slice())]);
    }
}

/// Guards against a read that is never confirmed.
#[test]
fn read_is_confirmed() {
    let mut group = group_of_three();

    group.leader().replica.read(ReadId(5)).unwrap();
    group.steps(5);

    assert_eq!(group.leader().reads, [ReadResult::Confirmed(ReadId(5))]);
}

/// Guards against a planned stop that leaves the group without a leader.
#[test]
fn leadership_moves_on_request() {
    let mut group = group_of_three();
    let before = group.leader().replica.id();

    group.leader().replica.transfer_leadership(None).unwrap();
    group.steps(5);

    assert_ne!(group.leader().replica.id(), before);
}
