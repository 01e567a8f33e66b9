//! Replicas that are lost for good, one after another, each as soon as the operator's schedule allows it.
//! The schedule counts time only; it does not wait until the group has repaired itself.

use std::ops::Range;

use radishpaddle_consensus::{Config, ReplicaId};
use rand::Rng as _;
use rand::seq::IndexedRandom as _;

use crate::check_agreement;
use crate::world::Cluster;

/// Time after the start of a replacement at which the next replica may be lost, in ticks of 50 ms.
const REPAIR_WITHIN_TICKS: u32 = 80;

/// Number of voters that the group keeps, so that it survives the loss of one.
const MIN_VOTERS: usize = 3;

const LOSSES: usize = 10;

/// Longest time without a leader that is accepted after a loss, in ticks. Several elections may end in a split vote.
const LEADER_WITHIN_TICKS: u64 = 80;

/// Which replica is lost next.
#[derive(Debug, Clone, Copy)]
enum Victim {
    Oldest,
    Leader,
    Any,
}

/// When the replacement starts.
#[derive(Debug, Clone, Copy)]
enum Replacement {
    /// Before the loss, as in a planned exchange.
    Before,
    /// At most this many ticks after the loss.
    After(u64),
}

fn config() -> Config {
    let config = Config::default();
    Config {
        repair_after_ticks: config.repair_after(REPAIR_WITHIN_TICKS),
        remove_after_ticks: 240,
        ..config
    }
}

fn victim(cluster: &mut Cluster, victim: Victim, candidates: &[ReplicaId]) -> ReplicaId {
    let oldest = candidates.iter().min().copied().expect("a replica is left");
    let leader = cluster.current_leader().unwrap_or(oldest);
    match victim {
        Victim::Oldest => oldest,
        Victim::Leader => leader,
        Victim::Any => *candidates.choose(&mut cluster.rng).unwrap_or(&oldest),
    }
}

/// Loses a replica for good and starts its replacement; returns at the moment at which the next loss is allowed.
fn lose_one(cluster: &mut Cluster, kind: Victim, replacement: Replacement) {
    let candidates = cluster.ids();
    match replacement {
        Replacement::Before => {
            cluster.add_empty();
            let overlap = cluster.rng.random_range(1..=20);
            cluster.run(overlap);
            let lost = victim(cluster, kind, &candidates);
            cluster.nodes.remove(&lost);
        }
        Replacement::After(longest) => {
            let lost = victim(cluster, kind, &candidates);
            cluster.nodes.remove(&lost);
            let delay = cluster.rng.random_range(0..=longest);
            cluster.run(delay);
            cluster.add_empty();
        }
    }
    cluster.run(REPAIR_WITHIN_TICKS.into());
}

/// Checks that the group has a leader that commits entries.
fn check_commits(cluster: &mut Cluster, loss: usize) {
    let before = cluster.checker.acknowledged;
    for _ in 0..LEADER_WITHIN_TICKS {
        if let Some(leader) = cluster.current_leader() {
            cluster.submit(leader);
        }
        cluster.run(1);
        if cluster.checker.acknowledged > before {
            return;
        }
    }
    panic!("no entry is committed after loss {loss}");
}

fn lose_in_series(seeds: Range<u64>, replicas: u64, kind: Victim, replacement: Replacement) {
    for seed in seeds {
        println!("seed {seed}, {replicas} replicas, lost {kind:?}, replaced {replacement:?}");
        let mut cluster = Cluster::live_members(seed, replicas, MIN_VOTERS, config());
        cluster.run(100);
        for loss in 1..=LOSSES {
            lose_one(&mut cluster, kind, replacement);
            check_commits(&mut cluster, loss);
        }
        cluster.run(100);
        check_agreement(&mut cluster);
    }
}

/// Guards against a group that repairs itself more slowly than replicas may be lost: dead voters add up until the
/// quorum is lost.
#[test]
fn replicas_lost_for_good_in_series_leave_a_quorum() {
    for kind in [Victim::Oldest, Victim::Leader, Victim::Any] {
        lose_in_series(80_000..80_050, 5, kind, Replacement::After(20));
        lose_in_series(80_050..80_070, 5, kind, Replacement::After(300));
        lose_in_series(80_070..80_100, 5, kind, Replacement::Before);
        lose_in_series(80_100..80_120, 3, kind, Replacement::After(20));
        lose_in_series(80_120..80_140, 12, kind, Replacement::After(20));
    }
}
