//! Simulated clocks, network faults and event queue, shared by the tests of this crate.

#![allow(dead_code, reason = "each test file uses only some of the items")]

pub mod claims;
pub mod fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use radishpaddle_model::{Incarnation, InstanceId};
use radishpaddle_quorum::{Generation, InstanceIncarnation, WitnessGroup};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn rng(seed: u64) -> SmallRng {
    SmallRng::seed_from_u64(seed)
}

pub fn instance(number: usize) -> InstanceId {
    format!("entry-{number}").parse().expect("a valid id")
}

pub fn life(number: usize, incarnation: u64) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: instance(number),
        incarnation: Incarnation(incarnation),
    }
}

pub fn group(generation: u64, size: usize) -> WitnessGroup {
    WitnessGroup {
        generation: Generation(generation),
        witnesses: (0..size).map(instance).collect(),
    }
}

/// Clock of one process: an offset, and a rate that differs from true time by `ppm` parts per million.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    offset: Duration,
    ppm: i64,
}

impl Clock {
    pub fn exact() -> Self {
        Self {
            offset: Duration::ZERO,
            ppm: 0,
        }
    }

    pub fn random(rng: &mut SmallRng, max_ppm: i64) -> Self {
        Self {
            offset: ms(rng.random_range(0..1_000_000)),
            ppm: rng.random_range(-max_ppm..=max_ppm),
        }
    }

    fn scaled(time: Duration, numerator: i64, denominator: i64) -> Duration {
        let nanos = i128::try_from(time.as_nanos()).expect("a short time");
        let scaled = nanos * i128::from(numerator) / i128::from(denominator);
        Duration::from_nanos(u64::try_from(scaled).expect("a positive time"))
    }

    /// Returns the local time at a true time.
    pub fn local(&self, time: Duration) -> Duration {
        self.offset + Self::scaled(time, 1_000_000 + self.ppm, 1_000_000)
    }

    /// Returns the earliest true time at which the clock has reached a local time, rounded up by at most 2 ns.
    pub fn true_time(&self, local: Duration) -> Duration {
        Self::scaled(
            local.saturating_sub(self.offset),
            1_000_000,
            1_000_000 + self.ppm,
        ) + Duration::from_nanos(2)
    }
}

/// Network faults: probabilities per message, and ranges of delays.
#[derive(Debug, Clone)]
pub struct Faults {
    pub loss_probability: f64,
    pub duplication_probability: f64,
    pub delay_ms: std::ops::Range<u64>,
    /// Probability of a delay within `long_delay_ms` instead of `delay_ms`.
    pub long_delay_probability: f64,
    pub long_delay_ms: std::ops::Range<u64>,
}

impl Faults {
    /// Returns a network without faults, whose one-way delays are those between two availability zones: 1 ms to 3 ms.
    pub fn none() -> Self {
        Self {
            loss_probability: 0.0,
            duplication_probability: 0.0,
            delay_ms: 1..3,
            long_delay_probability: 0.0,
            long_delay_ms: 0..1,
        }
    }

    /// Returns faults with random probabilities; in a third of the cases none.
    pub fn random(rng: &mut SmallRng) -> Self {
        if rng.random_bool(0.33) {
            return Self::none();
        }
        Self {
            loss_probability: rng.random_range(0.0..0.3),
            duplication_probability: rng.random_range(0.0..0.3),
            delay_ms: 0..rng.random_range(2..200),
            long_delay_probability: rng.random_range(0.0..0.1),
            long_delay_ms: 100..rng.random_range(200..4000),
        }
    }
}

/// Simulated events in the order of their true time; simultaneous ones in the order of insertion.
pub struct EventQueue<E> {
    pub now: Duration,
    events: BTreeMap<(Duration, u64), E>,
    last_number: u64,
}

impl<E: Clone> EventQueue<E> {
    pub fn new() -> Self {
        Self {
            now: Duration::ZERO,
            events: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Schedules an event; one in the past happens at once.
    pub fn schedule(&mut self, time: Duration, event: E) {
        self.last_number += 1;
        self.events
            .insert((time.max(self.now), self.last_number), event);
    }

    /// Sends a message over a faulty link, which may lose, delay or duplicate it.
    pub fn send(&mut self, rng: &mut SmallRng, faults: &Faults, message: &E) {
        let copies = if rng.random_bool(faults.duplication_probability) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if rng.random_bool(faults.loss_probability) {
                continue;
            }
            let range = if rng.random_bool(faults.long_delay_probability) {
                &faults.long_delay_ms
            } else {
                &faults.delay_ms
            };
            let micros = rng.random_range(range.start * 1000..range.end * 1000);
            self.schedule(self.now + Duration::from_micros(micros), message.clone());
        }
    }

    /// Removes the next event and advances the time to it.
    pub fn pop(&mut self) -> Option<E> {
        let ((time, _), event) = self.events.pop_first()?;
        self.now = time;
        Some(event)
    }
}

/// Failure of a link in one direction, which drops all messages: sender, receiver, start, end.
pub type LinkFailure = (usize, usize, Duration, Duration);

/// Link failures of a simulation.
#[derive(Debug, Clone, Default)]
pub struct LinkFailures(pub Vec<LinkFailure>);

impl LinkFailures {
    /// Returns random failures of single links and, in half of the cases, the isolation of one node.
    pub fn random(rng: &mut SmallRng, nodes: usize, end: Duration) -> Self {
        let count = rng.random_range(0..nodes * 2);
        let mut failures = Vec::new();
        for _ in 0..count {
            let start = ms(rng.random_range(0..u64::try_from(end.as_millis()).expect("short")));
            let duration = ms(rng.random_range(100..8000));
            failures.push((
                rng.random_range(0..nodes),
                rng.random_range(0..nodes),
                start,
                start + duration,
            ));
        }
        if rng.random_bool(0.5) {
            failures.extend(Self::isolation(rng, nodes, end));
        }
        Self(failures)
    }

    /// Isolates one node in one direction or both, for longer than any lease.
    fn isolation(rng: &mut SmallRng, nodes: usize, end: Duration) -> Vec<LinkFailure> {
        let isolated = rng.random_range(0..nodes);
        let (can_send, can_receive) =
            [(false, false), (true, false), (false, true)][rng.random_range(0..3)];
        let start = ms(rng.random_range(0..u64::try_from(end.as_millis()).expect("short")));
        let stop = start + ms(rng.random_range(6000..16_000));
        let mut failures = Vec::new();
        for other in 0..nodes {
            if !can_send {
                failures.push((isolated, other, start, stop));
            }
            if !can_receive {
                failures.push((other, isolated, start, stop));
            }
        }
        failures
    }

    /// Returns whether a message that is sent now is dropped.
    pub fn drops(&self, from: usize, to: usize, now: Duration) -> bool {
        let matches = |(sender, receiver, start, end): &LinkFailure| {
            from != to && *sender == from && *receiver == to && (*start..*end).contains(&now)
        };
        self.0.iter().any(matches)
    }
}
