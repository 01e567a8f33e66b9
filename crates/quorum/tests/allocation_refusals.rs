//! Wrongful refusals: requests that a single token bucket for the whole fleet would have admitted, counted in
//! simulations with fixed seeds.
//!
//! Run with `--nocapture` to print the figures.

mod common;

use std::time::Duration;

use common::fleet::{Fleet, ReferenceBucket, Term, first_over_admission};
use common::{Faults, ms, rng};
use radishpaddle_quorum::allocation::{AllocationSettings, Limit, TOKENS_PER_REQUEST};
use rand::Rng;

const NODES: usize = 14;
const START: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(70);
const SEEDS: u64 = 5;

/// Maximum time of an exchange between availability zones: two messages of up to 3 ms in the simulated network.
const EXCHANGE: Duration = ms(6);

/// Load of one organisation.
#[derive(Debug, Clone, Copy)]
struct Load {
    limit: Limit,
    /// Requests per second.
    offered: f64,
    /// Number of instances that the callers use; the first one gets the largest part.
    spread: usize,
}

struct Measured {
    offered: u64,
    wrongful: u64,
    refused: u64,
    longest_wait: Duration,
}

impl Measured {
    fn wrongful_per_1000(&self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "the counts are small")]
        let part = self.wrongful as f64 / self.offered as f64;
        part * 1000.0
    }
}

const fn limit(rate: u64, burst: u64) -> Limit {
    Limit {
        rate: rate * TOKENS_PER_REQUEST,
        burst: burst * TOKENS_PER_REQUEST,
    }
}

/// Returns Poisson arrivals. Half of the requests go to the first node, half of the others to the second, and so on.
fn arrivals(load: Load, seed: u64) -> Vec<(Duration, usize)> {
    let mut rng = rng(seed);
    let mut time = START;
    let mut arrivals = Vec::new();
    while time < END {
        let node = (0..load.spread - 1).find(|_| rng.random_bool(0.5));
        arrivals.push((time, node.unwrap_or(load.spread - 1)));
        let gap = -(1.0 - rng.random::<f64>()).ln() / load.offered;
        time += Duration::from_secs_f64(gap);
    }
    arrivals
}

fn fleet(load: Load, seed: u64) -> Fleet {
    let settings = AllocationSettings::default();
    Fleet::new(rng(seed), NODES, load.limit, Faults::none(), 0, settings)
}

/// Adds one leader for the whole simulation.
fn keep_leader(fleet: &mut Fleet) {
    fleet.add_term(Term {
        node: 9,
        start: ms(100),
        end: Duration::from_secs(1000),
    });
}

/// Stops the leader at 30 s; the lease of the next one begins 2 s later.
fn lose_leader(fleet: &mut Fleet, node: usize) {
    let lost_at = ms(30_000);
    fleet.add_term(Term {
        node,
        start: ms(100),
        end: lost_at,
    });
    fleet.stop(lost_at, node);
    fleet.add_term(Term {
        node: 11,
        start: lost_at + ms(2000),
        end: Duration::from_secs(1000),
    });
}

fn measure(name: &'static str, load: Load, arrange: impl Fn(&mut Fleet)) -> Measured {
    let mut measured = Measured {
        offered: 0,
        wrongful: 0,
        refused: 0,
        longest_wait: Duration::ZERO,
    };
    for seed in 0..SEEDS {
        let mut fleet = fleet(load, seed);
        arrange(&mut fleet);
        let arrivals = arrivals(load, seed);
        let mut reference = ReferenceBucket::new(load.limit);
        let mut entitled = 0;
        for (time, node) in &arrivals {
            fleet.arrive(*time, *node);
            entitled += u64::from(reference.admit(*time));
        }

        fleet.run(END + ms(5000));

        assert_eq!(
            first_over_admission(&fleet.admitted, load.limit),
            None,
            "{name}, seed {seed}"
        );
        measured.offered += u64::try_from(arrivals.len()).unwrap();
        measured.refused += u64::try_from(fleet.refused.len()).unwrap();
        measured.wrongful += entitled.saturating_sub(u64::try_from(fleet.admitted.len()).unwrap());
        measured.longest_wait = measured.longest_wait.max(fleet.longest_wait);
    }
    println!(
        "{name}: offered {}, refused {}, wrongful {} ({:.2} per 1000), longest wait {:?}",
        measured.offered,
        measured.refused,
        measured.wrongful,
        measured.wrongful_per_1000(),
        measured.longest_wait
    );
    measured
}

const fn steady(offered: f64, spread: usize, rate: u64, burst: u64) -> Load {
    Load {
        limit: limit(rate, burst),
        offered,
        spread,
    }
}

/// Loads within the rate.
const LOADS_WITHIN_RATE: [(&str, Load); 7] = [
    ("80 % of 200/s, 14 instances", steady(160.0, 14, 200, 100)),
    ("80 % of 200/s, 4 instances", steady(160.0, 4, 200, 100)),
    ("95 % of 200/s, 4 instances", steady(190.0, 4, 200, 100)),
    ("95 % of 200/s, 14 instances", steady(190.0, 14, 200, 100)),
    (
        "95 % of 200/s, burst 20, 4 instances",
        steady(190.0, 4, 200, 20),
    ),
    ("80 % of 5/s, burst 20, 4 instances", steady(4.0, 4, 5, 20)),
    (
        "80 % of 5/s, burst 10, 14 instances",
        steady(4.0, 14, 5, 10),
    ),
];

/// Loads that exceed the rate.
const LOADS_ABOVE_RATE: [(&str, Load); 3] = [
    ("5 times 200/s, 4 instances", steady(1000.0, 4, 200, 100)),
    ("5 times 200/s, 14 instances", steady(1000.0, 14, 200, 100)),
    ("5 times 5/s, burst 10, 4 instances", steady(25.0, 4, 5, 10)),
];

/// Guards against refusals of requests within the rate when the load is spread unevenly over the instances.
#[test]
fn nothing_is_wrongly_refused_without_a_fault() {
    for (name, load) in &LOADS_WITHIN_RATE[..5] {
        let measured = measure(name, *load, keep_leader);

        assert_eq!(measured.wrongful, 0, "{name}");
    }
}

/// Guards against an organisation that exceeds its rate and is therefore admitted at less than its rate.
#[test]
fn an_organisation_over_its_rate_gets_its_rate() {
    for (name, load) in &LOADS_ABOVE_RATE[..2] {
        let measured = measure(name, *load, keep_leader);

        assert_eq!(measured.wrongful, 0, "{name}");
    }
}

/// Guards against refusals between the loss of an instance and the expiry of its allocation.
#[test]
fn few_requests_are_wrongly_refused_when_an_instance_is_lost() {
    for (name, load) in &LOADS_WITHIN_RATE[..2] {
        let measured = measure(name, *load, |fleet| {
            keep_leader(fleet);
            fleet.stop(ms(30_000), 1);
        });

        assert!(measured.wrongful_per_1000() < 1.0, "{name}");
    }
}

/// Guards against refusals while there is no leader, for requests with a deadline of 3 s.
#[test]
fn few_requests_are_wrongly_refused_when_the_leader_is_lost() {
    for (name, load) in &LOADS_WITHIN_RATE[..2] {
        let measured = measure(name, *load, |fleet| {
            fleet.request_timeout = ms(3000);
            lose_leader(fleet, 9);
        });

        assert!(measured.wrongful_per_1000() < 1.0, "{name}");
    }
}

/// Guards against a burst that can be used only through several instances. The caller is idle before the burst. The
/// first exchange with the leader asks for one request only, since no other has arrived yet; the second one brings the
/// rest.
#[test]
fn the_whole_burst_can_be_used_at_one_instance() {
    let load = LOADS_WITHIN_RATE[0].1;
    for seed in 0..SEEDS {
        let mut fleet = fleet(load, seed);
        keep_leader(&mut fleet);
        for _ in 0..load.limit.burst / TOKENS_PER_REQUEST {
            fleet.arrive(START, 4);
        }

        fleet.run(START + 2 * EXCHANGE);

        let admitted = u64::try_from(fleet.admitted.len()).unwrap();
        assert_eq!(
            admitted,
            load.limit.burst / TOKENS_PER_REQUEST,
            "seed {seed}"
        );
    }
}

/// Guards against over-admission in any window under every load and fault. Also prints the wrongful refusals, which the
/// other tests assert where the design bounds them.
#[test]
fn window_bound_holds_under_every_load_and_fault() {
    for (name, load) in LOADS_WITHIN_RATE.into_iter().chain(LOADS_ABOVE_RATE) {
        measure(name, load, keep_leader);
        measure("  leader lost", load, |fleet| lose_leader(fleet, 9));
        measure("  leader lost, deadline 3 s", load, |fleet| {
            fleet.request_timeout = ms(3000);
            lose_leader(fleet, 9);
        });
        measure(
            "  leader lost that serves callers, deadline 3 s",
            load,
            |fleet| {
                fleet.request_timeout = ms(3000);
                lose_leader(fleet, 1);
            },
        );
        measure("  instance lost", load, |fleet| {
            keep_leader(fleet);
            fleet.stop(ms(30_000), 1);
        });
    }
}
