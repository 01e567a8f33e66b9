//! Check of P5: in every window, an organisation's admitted requests are at most burst + rate * length.
//!
//! The moment of an admission is known only as an interval: after the caller sent the request and
//! before the backend server started it. A window counts the requests whose interval lies within it, so
//! every reported excess is real, and an excess shorter than the intervals may stay unseen.

use std::collections::BTreeMap;

use super::{Guarantee, History, RateLimit, Violation};
use crate::caller::Attempt;

const US_PER_S: f64 = 1_000_000.0;

/// Comparison slack in requests, for the rounding of floating-point sums.
const EPSILON: f64 = 1e-6;

/// Attempts that are listed as evidence of one excess.
const MAX_EVIDENCE: usize = 20;

/// An admission that happened between two times, in microseconds.
struct Admission<'a> {
    earliest_us: u64,
    latest_us: u64,
    attempt: &'a Attempt,
}

pub(super) fn check(history: &History) -> Vec<Violation> {
    let starts = first_starts(history);
    let limits = history.limits.iter();
    limits
        .filter_map(|limit| check_limit(limit, &admissions(history, limit, &starts)))
        .collect()
}

fn first_starts(history: &History) -> BTreeMap<&str, u64> {
    let mut starts = BTreeMap::new();
    for execution in &history.executions {
        let Some(tag) = execution.operation.as_deref() else {
            continue;
        };
        let start = starts.entry(tag).or_insert(execution.start_us);
        *start = execution.start_us.min(*start);
    }
    starts
}

/// Admitted requests of the limit, in the order in which they were sent.
fn admissions<'a>(
    history: &'a History,
    limit: &RateLimit,
    starts: &BTreeMap<&str, u64>,
) -> Vec<Admission<'a>> {
    let counts = |attempt: &&Attempt| {
        !attempt.open
            && attempt.service == limit.service
            && attempt.organisation.as_ref() == Some(&limit.organisation)
    };
    let attempts = history.attempts.iter().filter(counts);
    let mut admissions: Vec<Admission> = attempts
        .filter_map(|attempt| {
            let latest_us = *starts.get(attempt.tag().as_str())?;
            Some(Admission {
                earliest_us: attempt.sent_us.min(latest_us),
                latest_us,
                attempt,
            })
        })
        .collect();
    admissions.sort_by_key(|admission| admission.earliest_us);
    admissions
}

fn check_limit(limit: &RateLimit, admissions: &[Admission]) -> Option<Violation> {
    let mut ends: Vec<u64> = admissions
        .iter()
        .map(|admission| admission.latest_us)
        .collect();
    ends.sort_unstable();
    ends.dedup();
    let origin_us = admissions.first()?.earliest_us;
    let credit = |at_us: u64| micros(at_us.saturating_sub(origin_us)) / US_PER_S * limit.rate_per_s;
    // Entry i holds (admissions that end by ends[i]) - rate * ends[i]. Windows are tried with their
    // start moving back over the admissions, so each one is added once.
    let mut excess = MaxTree::new(ends.iter().map(|end| -credit(*end)).collect());
    let mut worst: Option<(f64, u64, u64)> = None;
    for admission in admissions.iter().rev() {
        let position = ends.partition_point(|end| *end < admission.latest_us);
        excess.add_from(position, 1.0);
        // A window cannot end before it starts.
        let first_end = ends.partition_point(|end| *end < admission.earliest_us);
        let (highest, end) = excess.highest_from(first_end);
        let over = highest + credit(admission.earliest_us) - f64::from(limit.burst);
        if over > EPSILON && worst.is_none_or(|(known, _, _)| over > known) {
            worst = Some((over, admission.earliest_us, ends[end]));
        }
    }
    worst.map(|(over, start_us, end_us)| describe(limit, admissions, over, start_us, end_us))
}

fn describe(
    limit: &RateLimit,
    admissions: &[Admission],
    over: f64,
    start_us: u64,
    end_us: u64,
) -> Violation {
    let within =
        |admission: &&Admission| admission.earliest_us >= start_us && admission.latest_us <= end_us;
    let inside = || admissions.iter().filter(within);
    let message = format!(
        "{} at {}: {} requests admitted within {:.6} s, {over:.3} above {} + {}/s",
        limit.organisation,
        limit.service,
        inside().count(),
        micros(end_us - start_us) / US_PER_S,
        limit.burst,
        limit.rate_per_s,
    );
    let evidence = inside().take(MAX_EVIDENCE);
    Violation {
        guarantee: Guarantee::P5,
        message,
        attempts: evidence
            .map(|admission| admission.attempt.clone())
            .collect(),
        executions: Vec::new(),
    }
}

/// Microseconds as a float; exact below 2^53 us, which is 285 years.
#[expect(clippy::cast_precision_loss)]
fn micros(time_us: u64) -> f64 {
    time_us as f64
}

/// Segment tree with addition to a suffix and the position of the maximum.
struct MaxTree {
    leaves: usize,
    /// Maximum of each subtree without the additions above it, with its leaf.
    highest: Vec<(f64, usize)>,
    added: Vec<f64>,
}

impl MaxTree {
    fn new(values: Vec<f64>) -> Self {
        let leaves = values.len().next_power_of_two();
        let mut highest = vec![(f64::NEG_INFINITY, 0); 2 * leaves];
        for (index, value) in values.into_iter().enumerate() {
            highest[leaves + index] = (value, index);
        }
        let mut tree = Self {
            leaves,
            highest,
            added: vec![0.0; 2 * leaves],
        };
        for node in (1..leaves).rev() {
            tree.refresh(node);
        }
        tree
    }

    fn refresh(&mut self, node: usize) {
        let (left, right) = (self.highest[2 * node], self.highest[2 * node + 1]);
        let (value, leaf) = if right.0 > left.0 { right } else { left };
        self.highest[node] = (value + self.added[node], leaf);
    }

    /// Adds to every leaf from `start` on.
    fn add_from(&mut self, start: usize, amount: f64) {
        let mut node = self.leaves + start;
        self.highest[node].0 += amount;
        while node > 1 {
            // A left child's sibling lies wholly to the right of `start`.
            if node.is_multiple_of(2) {
                self.highest[node + 1].0 += amount;
                self.added[node + 1] += amount;
            }
            node /= 2;
            self.refresh(node);
        }
    }

    /// Maximum and its leaf among the leaves from `start` on.
    fn highest_from(&self, start: usize) -> (f64, usize) {
        let mut node = self.leaves + start;
        let mut best = self.highest[node];
        while node > 1 {
            if node.is_multiple_of(2) && self.highest[node + 1].0 > best.0 {
                best = self.highest[node + 1];
            }
            node /= 2;
            best.0 += self.added[node];
        }
        best
    }
}
