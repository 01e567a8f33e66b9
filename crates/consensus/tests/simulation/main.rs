//! Seeded schedules of faults. After every step: at most one leader a term, no committed entry
//! lost or changed, no revert, one winner per revision, linearisable reads.

mod checker;
mod machine;
mod node;
mod world;

use std::ops::Range;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::sync::Mutex;

use radishpaddle_consensus::{Membership, ReplicaId};

use crate::world::{Faults, World};

const NETWORK: Faults = Faults {
    loss: 0.1,
    duplicate: 0.1,
    max_delay_ticks: 6,
    cut_link: 0.05,
    slow_clock: 0.3,
    ..Faults::NONE
};

const CRASHES: Faults = Faults {
    crash: 0.02,
    crash_in_write: 0.03,
    max_down_ticks: 50,
    max_sync_ticks: 3,
    ..NETWORK
};

const REPLACEMENTS: Faults = Faults {
    loss: 0.02,
    cut_link: 0.02,
    crash: 0.005,
    destroy: 0.02,
    transfer: 0.01,
    max_down_ticks: 150,
    ..CRASHES
};

const CONTESTED_ELECTIONS: Faults = Faults {
    loss: 0.05,
    max_delay_ticks: 4,
    crash: 0.02,
    crash_in_write: 0.08,
    max_down_ticks: 2,
    max_sync_ticks: 3,
    election_ticks: 5,
    ..NETWORK
};

/// Runs a schedule of faults, ends the faults and checks that the group agrees and goes on.
fn run(seed: u64, voters: u64, spares: u64, faults: &Faults) -> World {
    let mut world = World::new(seed, voters, spares, faults.clone());
    world.run(300);
    world.heal();
    // With lost disks the group also has to notice the loss and to repair itself.
    let heal_ticks = if faults.destroy > 0.0 { 300 } else { 150 };
    world.run(heal_ticks);
    check_agreement(&mut world);
    world
}

fn check_agreement(world: &mut World) {
    check_goes_on(world);
    let leader = leader(world);
    let membership = world.nodes[&leader].replica.as_ref().unwrap().membership();
    for id in membership.voters() {
        let node = world.nodes.get(&id).expect("a lost voter was not replaced");
        let lag = world.nodes[&leader].machine.applied - node.machine.applied;
        assert!(lag < 20, "replica {id} lags by {lag} entries");
    }
}

fn check_goes_on(world: &mut World) {
    let leader = leader(world);
    let before = world.checker.acknowledged;
    world.submit(leader);
    world.run(10);
    assert!(
        world.checker.acknowledged > before,
        "the group does not go on"
    );
}

fn leader(world: &World) -> ReplicaId {
    world.current_leader().expect("a leader")
}

/// What a set of schedules went through; guards against schedules that test nothing.
#[derive(Debug, Default)]
struct Coverage {
    acknowledged: u64,
    confirmed_reads: u64,
    terms: u64,
    installs: u64,
    replaced: u64,
}

impl Coverage {
    fn add(&mut self, world: &World) {
        self.acknowledged += world.checker.acknowledged;
        self.confirmed_reads += world.checker.confirmed_reads;
        self.terms += world.checker.terms();
        self.installs += world.checker.installs;
        self.replaced += world.replaced;
    }
}

/// Runs seeds on two threads; a failure names its seed.
fn run_seeds(seeds: Range<u64>, voters: u64, spares: u64, faults: &Faults) -> Coverage {
    let coverage = Mutex::new(Coverage::default());
    let run_some = |first: u64| {
        for seed in (first..seeds.end).step_by(2) {
            let schedule = AssertUnwindSafe(|| run(seed, voters, spares, faults));
            match catch_unwind(schedule) {
                Ok(world) => coverage.lock().unwrap().add(&world),
                Err(failure) => {
                    println!("seed {seed} failed with {voters} voters");
                    resume_unwind(failure);
                }
            }
        }
    };
    std::thread::scope(|scope| {
        scope.spawn(|| run_some(seeds.start));
        scope.spawn(|| run_some(seeds.start + 1));
    });
    let coverage = coverage.into_inner().unwrap();
    println!("{coverage:?}");
    coverage
}

/// Guards against a group that does not form out of one founder and newcomers.
#[test]
fn founder_and_newcomers_form_a_group() {
    let mut world = World::founded(1);
    world.run(150);

    let leader = leader(&world);
    let membership = world.nodes[&leader].replica.as_ref().unwrap().membership();
    assert_eq!(membership.voters().count(), 3);
    check_agreement(&mut world);
}

/// Guards against committed entries that are gone after every process was stopped.
#[test]
fn committed_entries_survive_a_restart_of_all() {
    let mut world = World::founded(2);
    world.run(150);
    let revision = world.checker.seen_revision;
    assert!(revision > 0);
    for id in world.ids() {
        world.crash(id);
    }
    world.run(100);

    check_agreement(&mut world);
    let leader = leader(&world);
    assert!(world.nodes[&leader].machine.revision() > revision);
}

/// Guards against a planned stop that leaves the group without a leader for an election timeout.
#[test]
fn leadership_moves_on_request() {
    let mut world = World::new(3, 3, 0, Faults::NONE);
    world.run(100);
    let before = leader(&world);
    let replica = world.nodes.get_mut(&before).unwrap().replica.as_mut();
    replica.unwrap().transfer_leadership(None).unwrap();

    world.run(9);

    assert_ne!(leader(&world), before);
    check_goes_on(&mut world);
}

/// Guards against faults of the protocol under loss, delay, reordering, duplication and one-way
/// partitions.
#[test]
fn network_faults() {
    let coverage = run_seeds(0..700, 3, 0, &NETWORK);
    assert!(coverage.acknowledged > 10_000 && coverage.confirmed_reads > 10_000);
    assert!(coverage.terms > 1_400);
}

/// Guards against promises made before a sync: crashes lose writes that were not synced.
#[test]
fn crashes_and_lost_writes() {
    let coverage = run_seeds(10_000..10_700, 3, 0, &CRASHES);
    assert!(coverage.terms > 1_400 && coverage.installs > 300);
}

/// Guards against a replacement that votes or counts too early, and against a second loss right
/// after a repair.
#[test]
fn replacements_with_empty_disks() {
    let coverage = run_seeds(20_000..20_500, 3, 1, &REPLACEMENTS);
    assert!(coverage.replaced > 500 && coverage.installs > 500);
}

/// Guards against quorums that are counted wrongly in larger groups.
#[test]
fn five_voters() {
    run_seeds(30_000..30_200, 5, 1, &REPLACEMENTS);
}

/// Guards against a repair that needs more voters than there may be.
#[test]
fn seven_voters() {
    run_seeds(70_000..70_040, 7, 1, &REPLACEMENTS);
}

/// Guards against votes that are forgotten or counted twice while several candidates ask in the
/// same term.
#[test]
fn contested_elections() {
    let coverage = run_seeds(60_000..60_300, 5, 0, &CONTESTED_ELECTIONS);
    assert!(coverage.terms > 750);
}

/// Guards against a write after which a crash leaves a disk that the group cannot go on with.
#[test]
fn crash_in_each_write() {
    for write in 1..=150 {
        for seed in 0..3 {
            let faults = Faults {
                max_sync_ticks: 2,
                max_down_ticks: 30,
                ..Faults::NONE
            };
            let mut world = World::new(40_000 + seed, 3, 0, faults);
            world.crash_at_write = Some(write);
            while world.writes < write {
                world.step();
            }
            world.run(40);
            world.heal();
            world.run(100);
            check_agreement(&mut world);
        }
    }
}

/// Guards against a group that loses committed entries or stops when a second voter is lost with
/// its disk right after the first one was replaced.
#[test]
fn second_loss_right_after_a_repair() {
    for seed in 50_000..50_100 {
        let mut world = World::new(seed, 3, 1, Faults::NONE);
        world.run(100);
        for _ in 0..2 {
            let lost = world.a_voter();
            world.replace(lost);
            let is_replaced = |world: &World| {
                let membership = world.checker.membership();
                let replaced =
                    |known: &Membership| known.role(lost).is_none() && known.voters().count() == 3;
                membership.is_some_and(replaced)
            };
            while !is_replaced(&world) {
                world.step();
                assert!(world.now < 1_000, "seed {seed}: no repair");
            }
        }
        let lost = world.a_voter();
        world.replace(lost);
        // Several elections may be split before one succeeds; seed 50057 needs 41 ticks.
        world.run(80);
        check_goes_on(&mut world);
    }
}

/// Guards against a transfer that starts again with each new snapshot: it has to end although a
/// newer snapshot is taken while each part is sent.
#[test]
fn snapshot_transfer_ends_while_newer_snapshots_are_taken() {
    let mut longest = 0;
    for seed in 70_000..70_020 {
        let faults = Faults {
            snapshot: 1.0,
            ..Faults::NONE
        };
        let mut world = World::new(seed, 3, 0, faults);
        world.run(500);
        let lost = world.a_voter();
        world.replace(lost);
        let newcomer = ReplicaId(4);
        while world.nodes[&newcomer].machine.applied == 0 && world.now < 1_500 {
            if let Some(leader) = world.current_leader() {
                world.submit(leader);
            }
            world.step();
        }
        longest = longest.max(world.now - 500);
    }
    println!("a newcomer had a snapshot after at most {longest} ticks");
    assert!(longest < 200, "a transfer took {longest} ticks");
}

/// Schedules that failed once, each with the fault that it showed.
#[test]
fn kept_seeds() {
    // A learner that was removed and added again was told to leave after it became a voter.
    run(30_084, 5, 1, &REPLACEMENTS);
    // A voter waited for the vote of a learner that had newer entries and did not know of its
    // promotion, so nobody could be elected.
    run(209_577, 3, 1, &REPLACEMENTS);
    // Removing a lost voter before its replacement was promoted ended the group when a second
    // disk was lost while the first voter was only cut off.
    run(20_130, 3, 1, &REPLACEMENTS);
    run(20_167, 3, 1, &REPLACEMENTS);
    run(20_760, 3, 1, &REPLACEMENTS);
}
