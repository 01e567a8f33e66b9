//! Leaders that are lost for good, each as soon as the previous one has been replaced for the promised time.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Disk, Node, free_address, start, start_replicas, voters, wait_until};
use radishpaddle_consensus::Role;
use radishpaddle_replication::RepairPace;

const REPLICAS: usize = 5;
const LOSSES: usize = 4;

/// Time after the start of a replacement at which the next replica is lost.
const REPAIR_WITHIN: Duration = Duration::from_secs(4);

fn leader(nodes: &[Node]) -> Option<usize> {
    nodes
        .iter()
        .position(|node| node.replica.view().role == Role::Leader)
}

/// Guards against a group that repairs itself more slowly than its replicas may be lost: dead voters add up until
/// the quorum is lost.
#[tokio::test]
async fn leaders_lost_for_good_in_series_leave_a_quorum() {
    let directory = tempfile::tempdir().unwrap();
    let repair = RepairPace::Within(REPAIR_WITHIN);
    let mut nodes =
        start_replicas(directory.path(), &vec![Disk::default(); REPLICAS], repair).await;
    wait_until("all replicas are voters", || {
        nodes.iter().all(|node| voters(node) == REPLICAS)
    })
    .await;

    for loss in 1..=LOSSES {
        let lost = leader(&nodes).unwrap_or_else(|| panic!("no leader before loss {loss}"));
        nodes.remove(lost);
        let contacts: Vec<SocketAddr> = nodes.iter().map(|node| node.address).collect();
        let address = free_address();
        nodes.push(
            start(
                directory.path(),
                address,
                &contacts[..3],
                repair,
                &Disk::default(),
            )
            .await,
        );
        tokio::time::sleep(REPAIR_WITHIN).await;

        let leader = leader(&nodes).unwrap_or_else(|| panic!("no leader after loss {loss}"));
        let view = nodes[leader].replica.view();
        let health = view.health.unwrap();
        assert!(health.tolerated_losses >= 1, "{health:?} after loss {loss}");
        nodes[leader].replica.propose(1).await.unwrap();
    }
}

/// Guards against a planned stop that only queues the transfer: the process ends right after it, and the group is without
/// a leader for an election timeout.
#[tokio::test]
async fn a_transfer_returns_once_leadership_is_handed_over() {
    let directory = tempfile::tempdir().unwrap();
    let repair = RepairPace::Within(REPAIR_WITHIN);
    let disks = vec![Disk::default(); 3];
    let nodes = start_replicas(directory.path(), &disks, repair).await;
    wait_until("all replicas are voters", || {
        nodes.iter().all(|node| voters(node) == 3)
    })
    .await;

    let before = &nodes[leader(&nodes).unwrap()].replica;
    before.step_down().await;

    assert_ne!(before.view().role, Role::Leader);
}
