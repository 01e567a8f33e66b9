//! Arrival times of the requests of all streams, merged in the order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::settings::{Arrivals, Stream};

/// One scheduled request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Scheduled time since the start of the run.
    pub at: Duration,
    /// Index of the stream.
    pub stream: usize,
    /// Whether the request is an action.
    pub action: bool,
}

/// Iterator over the arrivals of all streams up to the end of the run. The arrivals depend only on the
/// streams and the seed.
pub struct Schedule<'a> {
    streams: &'a [Stream],
    end: Duration,
    /// Random generators by stream, so that a stream does not change the arrivals of another.
    random: Vec<SmallRng>,
    /// Next arrival of each stream, by time and index of the stream.
    next: BinaryHeap<Reverse<(Duration, usize)>>,
}

impl<'a> Schedule<'a> {
    /// Creates the schedule of streams that [`LoadSettings::check`](super::settings::LoadSettings::check)
    /// has accepted.
    pub fn new(streams: &'a [Stream], end: Duration, seed: u64) -> Self {
        let numbers = 0_u64..;
        let seeds = streams
            .iter()
            .zip(numbers)
            .map(|(_, number)| seed ^ (number << 32));
        let mut schedule = Self {
            streams,
            end,
            random: seeds.map(SmallRng::seed_from_u64).collect(),
            next: BinaryHeap::new(),
        };
        for stream in 0..streams.len() {
            schedule.push(Duration::ZERO, stream);
        }
        schedule
    }

    fn push(&mut self, after: Duration, stream: usize) {
        let mean_s = 1.0 / self.streams[stream].rate_per_s;
        let gap_s = match self.streams[stream].arrivals {
            Arrivals::Even => mean_s,
            // Inverse transform sampling of the exponential distribution. The draw is below 1, which
            // keeps the logarithm finite.
            Arrivals::Poisson => -(1.0 - self.random[stream].random::<f64>()).ln() * mean_s,
        };
        // A gap that does not fit into a duration ends after the run.
        let Ok(gap) = Duration::try_from_secs_f64(gap_s) else {
            return;
        };
        let at = after.saturating_add(gap);
        if at < self.end {
            self.next.push(Reverse((at, stream)));
        }
    }
}

impl Iterator for Schedule<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let Reverse((at, stream)) = self.next.pop()?;
        let share = self.streams[stream].action_share;
        let action = share > 0.0 && self.random[stream].random::<f64>() < share;
        self.push(at, stream);
        Some(Arrival { at, stream, action })
    }
}
