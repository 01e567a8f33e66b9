//! Replicas whose disks are full for a while, with their processes running.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{Disk, Node, Sum, start_replicas, voters, wait_until};
use radishpaddle_consensus::Role;
use radishpaddle_replication::{RepairPace, ReplicaHandle};
use tokio::time::{sleep, timeout};

const REPAIR: RepairPace = RepairPace::Within(Duration::from_secs(4));
const PROPOSAL_DEADLINE: Duration = Duration::from_millis(900);

async fn start_group(directory: &std::path::Path, disks: &[Disk]) -> Vec<Node> {
    let nodes = start_replicas(directory, disks, REPAIR).await;
    wait_until("all replicas are voters", || {
        nodes.iter().all(|node| voters(node) == disks.len())
    })
    .await;
    nodes
}

/// Proposes the number 1 to whichever replica leads and returns the sum that was acknowledged within the deadline.
async fn propose(replicas: Vec<ReplicaHandle<Sum>>) -> Option<u64> {
    let proposal = async {
        loop {
            for replica in &replicas {
                if replica.view().role == Role::Leader
                    && let Ok(sum) = replica.propose(1).await
                {
                    return sum;
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(PROPOSAL_DEADLINE, proposal).await.ok()
}

/// Guards against a replica that shows the older state of its snapshot after its storage was opened again, while a
/// proof that it had shown the newest state still counts.
#[tokio::test]
async fn disk_full_does_not_show_an_older_state() {
    let directory = tempfile::tempdir().unwrap();
    let disks: Vec<Disk> = (0..3).map(|_| Disk::default()).collect();
    let nodes = start_group(directory.path(), &disks).await;
    let replicas: Vec<_> = nodes.iter().map(|node| node.replica.clone()).collect();
    propose(replicas.clone()).await.unwrap();
    wait_until("every replica has the change", || {
        nodes.iter().all(|node| node.replica.view().state.0 == 1)
    })
    .await;

    for (node, disk) in nodes.iter().zip(&disks) {
        let mut view = node.replica.watch();
        let watcher = tokio::spawn(async move {
            let mut shown = (0, 0);
            let mut closed = false;
            loop {
                let (now, works) = {
                    let view = view.borrow_and_update();
                    ((view.applied_index, view.state.0), view.storage_works)
                };
                assert!(now >= shown, "{now:?} was shown after {shown:?}");
                shown = now;
                closed |= !works;
                if closed && works && shown.1 >= 5 {
                    return;
                }
                view.changed().await.unwrap();
            }
        });
        disk.full.store(true, Ordering::Relaxed);
        for _ in 0..4 {
            propose(replicas.clone()).await;
        }
        sleep(Duration::from_millis(500)).await;
        disk.full.store(false, Ordering::Relaxed);
        timeout(Duration::from_secs(10), watcher)
            .await
            .unwrap()
            .unwrap();
    }
}
