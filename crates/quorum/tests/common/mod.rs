//! Simulated clocks, network and fleet.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use radishpaddle_model::{Incarnation, InstanceId};
use radishpaddle_quorum::{Generation, Life, WitnessGroup};
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

pub fn life(number: usize, incarnation: u64) -> Life {
    Life {
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

/// Clock of one process: an offset, and a rate that differs from true time by up to 1 %.
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

    /// Local time at a true time.
    pub fn local(&self, time: Duration) -> Duration {
        self.offset + Self::scaled(time, 1_000_000 + self.ppm, 1_000_000)
    }

    /// First true time at which the local time is reached.
    pub fn true_time(&self, local: Duration) -> Duration {
        Self::scaled(
            local.saturating_sub(self.offset),
            1_000_000,
            1_000_000 + self.ppm,
        ) + Duration::from_nanos(2)
    }
}

/// Faults of the network.
#[derive(Debug, Clone)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
    pub delay_ms: std::ops::Range<u64>,
    pub slow: f64,
    pub slow_ms: std::ops::Range<u64>,
}

impl Faults {
    /// Two availability zones 1.5 ms apart, without faults.
    pub fn none() -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            delay_ms: 1..3,
            slow: 0.0,
            slow_ms: 0..1,
        }
    }

    pub fn random(rng: &mut SmallRng) -> Self {
        Self {
            loss: rng.random_range(0.0..0.3),
            duplication: rng.random_range(0.0..0.3),
            delay_ms: 0..rng.random_range(2..200),
            slow: rng.random_range(0.0..0.1),
            slow_ms: 100..rng.random_range(200..4000),
        }
    }
}

/// Events in the order of their true time.
pub struct Queue<E> {
    pub now: Duration,
    events: BTreeMap<(Duration, u64), E>,
    number: u64,
}

impl<E: Clone> Queue<E> {
    pub fn new() -> Self {
        Self {
            now: Duration::ZERO,
            events: BTreeMap::new(),
            number: 0,
        }
    }

    pub fn at(&mut self, time: Duration, event: E) {
        self.number += 1;
        self.events.insert((time.max(self.now), self.number), event);
    }

    /// Sends a message over a faulty link: lost, late, or twice.
    pub fn send(&mut self, rng: &mut SmallRng, faults: &Faults, message: &E) {
        let copies = if rng.random_bool(faults.duplication) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if rng.random_bool(faults.loss) {
                continue;
            }
            let range = if rng.random_bool(faults.slow) {
                &faults.slow_ms
            } else {
                &faults.delay_ms
            };
            let micros = rng.random_range(range.start * 1000..range.end * 1000);
            self.at(self.now + Duration::from_micros(micros), message.clone());
        }
    }

    pub fn pop(&mut self) -> Option<E> {
        let ((time, _), event) = self.events.pop_first()?;
        self.now = time;
        Some(event)
    }
}

/// Links that drop every message for a time, one direction each.
#[derive(Debug, Clone, Default)]
pub struct Cuts(pub Vec<(usize, usize, Duration, Duration)>);

impl Cuts {
    /// Cuts some directed links for some time.
    pub fn random(rng: &mut SmallRng, nodes: usize, end: Duration) -> Self {
        let count = rng.random_range(0..nodes * 2);
        let mut cuts = Vec::new();
        for _ in 0..count {
            let start = ms(rng.random_range(0..u64::try_from(end.as_millis()).expect("short")));
            let lasts = ms(rng.random_range(100..8000));
            cuts.push((
                rng.random_range(0..nodes),
                rng.random_range(0..nodes),
                start,
                start + lasts,
            ));
        }
        Self(cuts)
    }

    pub fn drops(&self, from: usize, to: usize, now: Duration) -> bool {
        let matches = |cut: &(usize, usize, Duration, Duration)| {
            from != to && cut.0 == from && cut.1 == to && (cut.2..cut.3).contains(&now)
        };
        self.0.iter().any(matches)
    }
}
