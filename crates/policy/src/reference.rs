//! Distribution of service times of one request class, and the likelihood ratio of a slow server.
//!
//! The null hypothesis is that a server has the distribution `f0` of its peers, learned from
//! their requests, so no shape is assumed. The alternative `f1` is a mixture of `f0` slowed down by
//! factors from 2 to 128. The table holds `ln(f1/f0)` per bucket.

use crate::latency::{BUCKETS, Histogram};

/// Bounds of the log-likelihood ratio of one request. The upper one makes at least five slow
/// requests necessary at the lowest threshold of 18; the lower one lets a server that is slow for
/// a part of its requests accumulate evidence.
const RATIO_BOUNDS: (f64, f64) = (-1.5, 4.0);

/// Slow-down factors of the alternative, in buckets: `2^(4/4)` to `2^(28/4)`.
const FIRST_SHIFT: usize = 4;
const LAST_SHIFT: usize = 28;
const SHIFT_STEP: usize = 2;

/// Part of both distributions that is spread over all buckets, for outliers that the reference
/// has not seen.
const OUTLIER_PART: f64 = 0.02;

/// Weight of the uniform prior, in requests.
const PRIOR_WEIGHT: f64 = 8.0;

/// Requests from which on the reference is used.
const READY_WEIGHT: f64 = 60.0;

/// Memory of the reference in seconds. It is long because a shift of all servers together is
/// taken out separately, by the median of the peers.
const MEMORY_S: f64 = 60.0;

type Table = [f64; BUCKETS];

/// Learned service times of one request class.
#[derive(Debug, Clone)]
pub(crate) struct Reference {
    counts: Table,
    total: f64,
    mean: f64,
    ratio: Table,
    survival: Table,
    stale: bool,
}

impl Reference {
    pub(crate) fn new() -> Self {
        Self {
            counts: [0.0; BUCKETS],
            total: 0.0,
            mean: 0.0,
            ratio: [0.0; BUCKETS],
            survival: [0.0; BUCKETS],
            stale: false,
        }
    }

    /// Forgets old requests after `elapsed_s` seconds.
    pub(crate) fn decay(&mut self, elapsed_s: f64) {
        let kept = (-elapsed_s / MEMORY_S).exp();
        self.counts.iter_mut().for_each(|count| *count *= kept);
        self.total *= kept;
    }

    /// Learns service times. `shift` is the common shift of the service in buckets, which is
    /// learned along with the times.
    pub(crate) fn learn(&mut self, times: &Histogram) {
        for entry in &times.0 {
            let count = f64::from(entry.count);
            self.counts[usize::from(entry.bucket)] += count;
            self.total += count;
        }
        self.stale = true;
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.total >= READY_WEIGHT
    }

    /// Mean position on the bucket scale.
    pub(crate) fn mean(&self) -> f64 {
        self.mean
    }

    /// Log-likelihood ratio of a complete request at a position on the bucket scale.
    pub(crate) fn ratio(&self, position: f64) -> f64 {
        interpolate(&self.ratio, position)
    }

    /// Log-likelihood ratio of a request that takes at least until a position.
    pub(crate) fn survival_ratio(&self, position: f64) -> f64 {
        interpolate(&self.survival, position)
    }

    /// Recomputes the tables when times were learned.
    pub(crate) fn refresh(&mut self) {
        if !self.stale || self.total <= 0.0 {
            return;
        }
        self.stale = false;
        self.mean = self.mean_position();
        let null = self.null_distribution();
        let alternative = slowed(&null);
        self.ratio = ratio_table(&null, &alternative);
        self.survival = survival_table(&null, &alternative);
    }

    fn mean_position(&self) -> f64 {
        let mut position = 0.5;
        let mut sum = 0.0;
        for count in &self.counts {
            sum += count * position;
            position += 1.0;
        }
        sum / self.total
    }

    fn null_distribution(&self) -> Table {
        let outliers = OUTLIER_PART.max(PRIOR_WEIGHT / (self.total + PRIOR_WEIGHT));
        let mut null = [0.0; BUCKETS];
        for (bucket, count) in self.counts.iter().enumerate() {
            let part = count / self.total;
            null[bucket] += 0.5 * part;
            null[bucket.saturating_sub(1)] += 0.25 * part;
            null[(bucket + 1).min(BUCKETS - 1)] += 0.25 * part;
        }
        null.map(|part| with_outliers(part, outliers))
    }
}

fn with_outliers(part: f64, outliers: f64) -> f64 {
    (1.0 - outliers) * part + outliers * (1.0 / 64.0)
}

fn slowed(null: &Table) -> Table {
    let mut alternative = [0.0; BUCKETS];
    let shifts = (FIRST_SHIFT..=LAST_SHIFT).step_by(SHIFT_STEP);
    let mut components = 0.0;
    for shift in shifts {
        components += 1.0;
        for (bucket, part) in null.iter().enumerate() {
            alternative[(bucket + shift).min(BUCKETS - 1)] += part;
        }
    }
    alternative.map(|part| with_outliers(part / components, OUTLIER_PART))
}

/// The ratio is made to grow with time, so that a slower response is never weaker evidence, and
/// bounded. Both break `E0[exp(ratio)] <= 1`, on which the false-alarm bound rests, so the table
/// is lowered by the logarithm of the sum until it holds again.
fn ratio_table(null: &Table, alternative: &Table) -> Table {
    let mut ratio = [0.0; BUCKETS];
    let mut highest = RATIO_BOUNDS.0;
    for bucket in 0..BUCKETS {
        let exact = (alternative[bucket] / null[bucket]).ln();
        highest = exact.min(RATIO_BOUNDS.1).max(highest);
        ratio[bucket] = highest;
    }
    let expected: f64 = null
        .iter()
        .zip(&ratio)
        .map(|(part, ratio)| part * ratio.exp())
        .sum();
    let excess = expected.ln().max(0.0);
    ratio.map(|value| value - excess)
}

fn survival_table(null: &Table, alternative: &Table) -> Table {
    let mut survival = [0.0; BUCKETS];
    let (mut null_tail, mut alternative_tail) = (0.0, 0.0);
    for bucket in (0..BUCKETS).rev() {
        null_tail += null[bucket];
        alternative_tail += alternative[bucket];
        let exact: f64 = (alternative_tail / null_tail).ln();
        survival[bucket] = exact.clamp(0.0, RATIO_BOUNDS.1);
    }
    // Beyond the reach of the alternative the ratio falls again; a longer wait must not weaken it.
    for bucket in 1..BUCKETS {
        survival[bucket] = survival[bucket].max(survival[bucket - 1]);
    }
    survival
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the indices of the table"
)]
fn interpolate(table: &Table, position: f64) -> f64 {
    let index = (position - 0.5).clamp(0.0, 63.0);
    let lower = index.floor() as usize;
    let upper = (lower + 1).min(BUCKETS - 1);
    let part = index - index.floor();
    table[lower] * (1.0 - part) + table[upper] * part
}
