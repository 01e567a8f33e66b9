//! Joining a running group: a voter that was removed while unreachable, and a new replica whose contacts
//! change.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use anyhow::Result;
use radishpaddle_consensus::membership::MAX_VOTERS;
use radishpaddle_consensus::{MemberRole, Message, Role};
use radishpaddle_replication::{
    JoinRequest, RepairPace, ReplicaHandle, ReplicaSettings, ReplicatedState, VoterTarget,
};
use radishpaddle_wire::message::{Empty, Hello, request, response};
use radishpaddle_wire::{
    ClientIdentity, PROTOCOL_VERSION, PeerHandler, PeerIdentity, PeerSecurity, PeerServer,
    ServerIdentity, decode,
};

const REPLICAS: usize = 4;
const REPAIR_AFTER: Duration = Duration::from_millis(1_500);
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);
/// Replicas of a group in which most are learners.
const MANY_REPLICAS: usize = 19;
/// Time after the start by which every replica of a new group must be a member; the platform sends traffic 8 s
/// after the start.
const MANY_JOINED_WITHIN: Duration = Duration::from_secs(8);

/// State machine that adds up the committed numbers.
#[derive(Debug, Clone, Default)]
struct Sum(u64);

impl ReplicatedState for Sum {
    type Command = u64;
    type Outcome = u64;

    fn apply(&mut self, command: &u64) -> Result<u64> {
        self.0 += command;
        Ok(self.0)
    }

    fn encode(&self) -> Result<Vec<u8>> {
        Ok(self.0.to_be_bytes().to_vec())
    }

    fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        Ok(Self(u64::from_be_bytes(bytes.try_into()?)))
    }
}

struct Handler(ReplicaHandle<Sum>);

impl PeerHandler for Handler {
    async fn handle(&self, _peer: PeerIdentity, request: request::Kind) -> response::Kind {
        match request {
            request::Kind::Consensus(bytes) => {
                self.0.receive(Message::decode(&bytes).unwrap()).await;
            }
            request::Kind::Join(bytes) => {
                let join: JoinRequest = decode(&bytes).unwrap();
                self.0.receive_join(join).await;
            }
            _ => (),
        }
        response::Kind::Empty(Empty {})
    }
}

struct Node {
    address: SocketAddr,
    replica: ReplicaHandle<Sum>,
    server: Option<PeerServer>,
}

impl Node {
    async fn start_server(&mut self) {
        let identity = ServerIdentity {
            hello: hello(),
            security: PeerSecurity::Plain,
        };
        let handler = Arc::new(Handler(self.replica.clone()));
        let server = PeerServer::bind(self.address, identity, handler).await;
        self.server = Some(server.unwrap());
    }
}

fn hello() -> Hello {
    Hello {
        fleet: "test".to_owned(),
        instance: "replica".to_owned(),
        incarnation: 1,
        protocol_version: PROTOCOL_VERSION,
    }
}

async fn start(directory: &Path, address: SocketAddr, contacts: &[SocketAddr]) -> Node {
    let settings = ReplicaSettings {
        data_directory: directory.join(address.to_string()),
        own_address: address,
        contacts: contacts.to_vec(),
        voter_target: VoterTarget::LiveMembers { minimum: 3 },
        repair: RepairPace::After(REPAIR_AFTER),
        remove_after: REPAIR_AFTER,
        found: contacts.first() == Some(&address),
    };
    let identity = ClientIdentity {
        hello: hello(),
        security: PeerSecurity::Plain,
    };
    let mut node = Node {
        address,
        replica: ReplicaHandle::open(settings, identity).unwrap(),
        server: None,
    };
    node.start_server().await;
    node
}

async fn start_group(directory: &Path) -> Vec<Node> {
    start_replicas(directory, REPLICAS).await
}

/// Starts replicas that all have the first three as contacts.
async fn start_replicas(directory: &Path, count: usize) -> Vec<Node> {
    let addresses: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
    let contacts = &addresses[..3];
    let mut nodes = Vec::new();
    for address in &addresses {
        nodes.push(start(directory, *address, contacts).await);
    }
    nodes
}

/// Returns a free address with an IP of its own. Outgoing connections come from 127.0.0.1, so none of them takes the port
/// before it is bound.
fn free_address() -> SocketAddr {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let listener = std::net::TcpListener::bind((Ipv4Addr::new(127, 88, 1, host), 0)).unwrap();
    listener.local_addr().unwrap()
}

async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let waited = tokio::time::timeout(CONDITION_TIMEOUT, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    assert!(
        waited.await.is_ok(),
        "condition not met within {CONDITION_TIMEOUT:?}: {description}"
    );
}

fn voters(node: &Node) -> usize {
    node.replica.view().membership.voters().count()
}

/// Guards against a removed voter that never rejoins: its membership dates from before its removal and
/// still lists it as a voter, so it would not send a join request.
#[tokio::test]
async fn a_removed_replica_joins_again() {
    let directory = tempfile::tempdir().unwrap();
    let mut nodes = start_group(directory.path()).await;
    wait_until("all replicas are voters", || {
        nodes.iter().all(|node| voters(node) == REPLICAS)
    })
    .await;
    let unreachable = nodes
        .iter()
        .position(|node| node.replica.view().role == Role::Follower)
        .unwrap();
    let leader = nodes
        .iter()
        .position(|node| node.replica.view().role == Role::Leader)
        .unwrap();

    nodes[unreachable].server = None;
    wait_until("the unreachable replica is removed", || {
        let view = nodes[leader].replica.view();
        let id = nodes[unreachable].replica.view().id;
        voters(&nodes[leader]) == REPLICAS - 1 && view.membership.role(id).is_none()
    })
    .await;
    nodes[leader].replica.propose(5).await.unwrap();
    nodes[unreachable].start_server().await;

    wait_until("the replica is a voter again", || {
        let view = nodes[leader].replica.view();
        let id = nodes[unreachable].replica.view().id;
        view.membership.role(id) == Some(MemberRole::Voter)
    })
    .await;
    wait_until("the replica has applied the command that it missed", || {
        nodes[unreachable].replica.view().state.0 == 5
    })
    .await;
}

/// Guards against a settings reload that reports success while the replica still sends join requests to the
/// old contacts, and against a new replica that cannot join because none of its contacts is the leader.
#[tokio::test]
async fn a_replica_joins_through_contacts_that_it_is_told_later() {
    let directory = tempfile::tempdir().unwrap();
    let nodes = start_group(directory.path()).await;
    wait_until("all replicas are voters", || {
        nodes.iter().all(|node| voters(node) == REPLICAS)
    })
    .await;
    let unused_address = free_address();
    let new_node = start(directory.path(), free_address(), &[unused_address]).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(voters(&new_node), 0, "its only contact does not exist");

    let follower = nodes
        .iter()
        .find(|node| node.replica.view().role == Role::Follower);
    let contacts = vec![follower.unwrap().address];
    new_node.replica.set_contacts(contacts);

    wait_until("the replica joins", || voters(&new_node) == REPLICAS + 1).await;
}

/// Guards against replicas of a large group that never join, or join only when callers are already waiting: each
/// keeps its part of the soft state to itself until it is a member.
#[tokio::test]
async fn every_replica_of_a_large_group_joins_before_the_traffic() {
    let directory = tempfile::tempdir().unwrap();
    let started_at = tokio::time::Instant::now();

    let nodes = start_replicas(directory.path(), MANY_REPLICAS).await;

    wait_until("every replica knows all members", || {
        let members = |node: &Node| node.replica.view().membership.members.len();
        nodes.iter().all(|node| members(node) == MANY_REPLICAS)
    })
    .await;
    let elapsed = started_at.elapsed();
    assert!(elapsed < MANY_JOINED_WITHIN, "joined after {elapsed:?}");
    wait_until("learners are promoted up to the limit of voters", || {
        nodes.iter().all(|node| voters(node) == MAX_VOTERS)
    })
    .await;
}
