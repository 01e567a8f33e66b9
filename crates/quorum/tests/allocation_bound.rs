//! No organisation exceeds its rate and burst over any window, under network faults, clock errors and leader changes
//! (P5).

mod common;

use std::time::Duration;

use common::fleet::{Fleet, Term, first_over_admission};
use common::{Faults, LinkFailures, ms, rng};
use proptest::prelude::*;
use radishpaddle_quorum::allocation::{
    ALLOCATION_RECORD_LIFETIME, AllocationSettings, Limit, TOKENS_PER_REQUEST,
};
use rand::Rng;
use rand::rngs::SmallRng;

const END: Duration = Duration::from_secs(40);
const NODES: usize = 5;

fn limit(rng: &mut SmallRng) -> Limit {
    let rate_per_s = [1, 5, 30, 200][rng.random_range(0..4)];
    Limit {
        rate: rate_per_s * TOKENS_PER_REQUEST + rng.random_range(0..TOKENS_PER_REQUEST),
        burst: [1, 3, 10, 100][rng.random_range(0..4)] * TOKENS_PER_REQUEST,
    }
}

/// Adds successive leaders with up to 3 s between their leases. A previous leader keeps running with its pool.
fn add_terms(fleet: &mut Fleet, rng: &mut SmallRng) {
    let mut start = ms(rng.random_range(0..500));
    while start < END {
        let end = start + ms(rng.random_range(500..15_000));
        let node = rng.random_range(0..NODES);
        fleet.add_term(Term { node, start, end });
        start = end + ms(rng.random_range(1..3000));
    }
}

fn add_arrivals(fleet: &mut Fleet, rng: &mut SmallRng, rate: u64) {
    let per_second = (rate / TOKENS_PER_REQUEST * rng.random_range(1..4)).clamp(3, 300);
    let mut time = Duration::ZERO;
    while time < END {
        time += Duration::from_micros(rng.random_range(0..2_000_000 / per_second));
        let batch = if rng.random_bool(0.02) { 20 } else { 1 };
        let node = rng.random_range(0..NODES);
        for _ in 0..batch {
            fleet.arrive(time, node);
        }
    }
}

/// Returns a fleet with random faults, and with clocks whose rates differ from true time by up to `max_ppm`.
fn faulty_fleet(seed: u64, max_ppm: u32) -> (Fleet, Limit) {
    let mut rng = rng(seed);
    let limit = limit(&mut rng);
    let settings = AllocationSettings {
        clock_margin_ppm: max_ppm,
        ..AllocationSettings::default()
    };
    let faults = Faults::random(&mut rng);
    let mut fleet = Fleet::new(
        rng.clone(),
        NODES,
        limit,
        faults,
        i64::from(max_ppm),
        settings,
    );
    fleet.link_failures = LinkFailures::random(&mut rng, NODES, END);
    add_terms(&mut fleet, &mut rng);
    add_arrivals(&mut fleet, &mut rng, limit.rate);
    for _ in 0..rng.random_range(0..4) {
        fleet.restart(ms(rng.random_range(0..40_000)), rng.random_range(0..NODES));
    }
    (fleet, limit)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(24) })]

    /// Guards against over-admission. Covers lost, delayed, duplicated and reordered messages, one-way partitions,
    /// leader changes, leaders that run on after their lease, restarts, and clocks that run up to 1 % fast or slow.
    #[test]
    fn admissions_stay_within_rate_and_burst_in_every_window(seed in any::<u64>()) {
        let (mut fleet, limit) = faulty_fleet(seed, 10_000);

        fleet.run(END);

        prop_assert_eq!(first_over_admission(&fleet.admitted, limit), None, "seed {}", seed);
    }

    /// Guards against allocations that remain in use after their limit was reduced. The old limit bounds the fleet
    /// until every holder has received its new targets and reported again, which takes at most 2 s, or its allocation
    /// has expired.
    #[test]
    fn a_reduced_limit_holds_after_the_allocations_have_expired(seed in any::<u64>()) {
        let (mut fleet, limit) = faulty_fleet(seed, 500);
        let burst_requests = (limit.burst / TOKENS_PER_REQUEST).div_ceil(3);
        let reduced = Limit { rate: limit.rate / 3, burst: burst_requests * TOKENS_PER_REQUEST };
        let changed_at = ms(10_000);
        fleet.change_limit(changed_at, reduced);

        fleet.run(END);

        let expired_at = changed_at + ALLOCATION_RECORD_LIFETIME + ms(2000);
        let later: Vec<_> = fleet.admitted.iter().copied().filter(|time| *time > expired_at).collect();
        prop_assert_eq!(first_over_admission(&fleet.admitted, limit), None, "seed {}", seed);
        prop_assert_eq!(first_over_admission(&later, reduced), None, "seed {}", seed);
    }
}
