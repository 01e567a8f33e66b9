//! Joining a running group: a voter that was removed while unreachable, and a new replica whose contacts
//! change.

mod common;

use std::path::Path;
use std::time::Duration;

use common::{Disk, Node, free_address, start, start_replicas, voters, wait_until};
use radishpaddle_consensus::membership::MAX_VOTERS;
use radishpaddle_consensus::{MemberRole, Role};
use radishpaddle_replication::RepairPace;

const REPLICAS: usize = 4;
const REPAIR: RepairPace = RepairPace::After(Duration::from_millis(1_500));
/// Replicas of a group in which most are learners.
const MANY_REPLICAS: usize = 19;
/// Time after the start by which every replica of a new group must be a member; the platform sends traffic 8 s
/// after the start.
const MANY_JOINED_WITHIN: Duration = Duration::from_secs(8);

async fn start_group(directory: &Path) -> Vec<Node> {
    start_replicas(directory, &vec![Disk::default(); REPLICAS], REPAIR).await
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
    let new_node = start(
        directory.path(),
        free_address(),
        &[unused_address],
        REPAIR,
        &Disk::default(),
    )
    .await;
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

    let nodes = start_replicas(
        directory.path(),
        &vec![Disk::default(); MANY_REPLICAS],
        REPAIR,
    )
    .await;

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
