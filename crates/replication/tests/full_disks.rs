//! Replicas whose disks are full for a while, with their processes running.

mod common;

use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{Disk, Node, Sum, start_replicas, voters, wait_until};
use radishpaddle_consensus::Role;
use radishpaddle_replication::{RepairPace, ReplicaHandle};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

const REPLICAS: usize = 5;
const REPAIR: RepairPace = RepairPace::Within(Duration::from_secs(4));
const FULL_FOR: Duration = Duration::from_millis(2_500);
const ROOM_FOR: Duration = Duration::from_millis(1_500);
const PROPOSAL_PERIOD: Duration = Duration::from_millis(100);
const PROPOSAL_DEADLINE: Duration = Duration::from_millis(900);
/// Time after the last disk has room again by which every proposal must be acknowledged.
const RECOVERED_WITHIN: Duration = Duration::from_secs(3);

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

/// Guards against a group that acknowledges no changes, leaves a member outside or loses an acknowledged change after
/// the disks of its members were full one after another.
#[tokio::test]
async fn full_disks_in_series_leave_changes_unanswered() {
    let directory = tempfile::tempdir().unwrap();
    let disks: Vec<Disk> = (0..REPLICAS).map(|_| Disk::default()).collect();
    let nodes = start_group(directory.path(), &disks).await;
    let replicas: Vec<_> = nodes.iter().map(|node| node.replica.clone()).collect();
    let is_leader = |node: &Node| node.replica.view().role == Role::Leader;
    let first = nodes.iter().position(is_leader).unwrap();

    let client = tokio::spawn(async move {
        let mut proposals = JoinSet::new();
        let last_spell = (FULL_FOR + ROOM_FOR) * u32::try_from(REPLICAS - 1).unwrap();
        let recovered_at = Instant::now() + last_spell + FULL_FOR + RECOVERED_WITHIN;
        let stop_at = recovered_at + Duration::from_secs(2);
        while Instant::now() < stop_at {
            let after_recovery = Instant::now() >= recovered_at;
            let proposal = propose(replicas.clone());
            proposals.spawn(async move { (after_recovery, proposal.await) });
            sleep(PROPOSAL_PERIOD).await;
        }
        proposals.join_all().await
    });
    for spell in 0..REPLICAS {
        let full = &disks[(first + spell) % REPLICAS].full;
        full.store(true, Ordering::Relaxed);
        sleep(FULL_FOR).await;
        full.store(false, Ordering::Relaxed);
        sleep(ROOM_FOR).await;
    }
    let answers = client.await.unwrap();

    let late = answers.iter().filter(|(after_recovery, _)| *after_recovery);
    let unanswered = late.clone().filter(|(_, sum)| sum.is_none()).count();
    assert_eq!(unanswered, 0, "of {} proposals", late.count());
    let sums: Vec<u64> = answers.iter().filter_map(|(_, sum)| *sum).collect();
    let distinct: HashSet<u64> = sums.iter().copied().collect();
    assert_eq!(
        distinct.len(),
        sums.len(),
        "two changes took the same place"
    );
    assert!(
        sums.len() * 2 > answers.len(),
        "{} acknowledged",
        sums.len()
    );
    wait_until("every replica votes again and has every change", || {
        let newest = sums.iter().max().copied().unwrap_or(0);
        nodes
            .iter()
            .all(|node| voters(node) == REPLICAS && node.replica.view().state.0 >= newest)
    })
    .await;
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
