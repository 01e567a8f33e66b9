//! Checks P5: in every time window, an organisation has at most burst + rate * length admitted requests.
//!
//! The time of an admission is known only as an interval: after the caller sent the request and before
//! the backend server started it. A window counts only the requests whose interval lies within it.
//! Therefore every reported excess is real, but an excess shorter than the intervals may go undetected.

use std::collections::BTreeMap;

use super::{Guarantee, History, RateLimit, Violation};
use crate::caller::Attempt;

const US_PER_S: f64 = 1_000_000.0;

/// Excess that is tolerated, in requests, to allow for rounding errors of floating-point sums.
const EXCESS_TOLERANCE_REQUESTS: f64 = 1e-6;

/// Largest number of attempts that a violation lists as evidence.
const MAX_EVIDENCE_ATTEMPTS: usize = 20;

/// Admitted request and the bounds on the time of its admission, in microseconds since the Unix epoch.
struct Admission<'a> {
    earliest_us: u64,
    latest_us: u64,
    attempt: &'a Attempt,
}

pub(super) fn check(history: &History) -> Vec<Violation> {
    let starts = first_execution_starts(history);
    let limits = history.limits.iter();
    limits
        .filter_map(|limit| check_limit(limit, &admissions(history, limit, &starts)))
        .collect()
}

/// Returns the time at which the first execution of each attempt started, by the attempt's tag.
fn first_execution_starts(history: &History) -> BTreeMap<&str, u64> {
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

/// Returns the admitted requests to which `limit` applies, in the order in which they were sent.
fn admissions<'a>(
    history: &'a History,
    limit: &RateLimit,
    starts: &BTreeMap<&str, u64>,
) -> Vec<Admission<'a>> {
    let is_limited = |attempt: &&Attempt| {
        !attempt.open
            && attempt.service == limit.service
            && attempt.organisation.as_ref() == Some(&limit.organisation)
    };
    let attempts = history.attempts.iter().filter(is_limited);
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

/// Returns the violation for the window with the largest excess, if any window exceeds the limit.
fn check_limit(limit: &RateLimit, admissions: &[Admission]) -> Option<Violation> {
    let mut ends: Vec<u64> = admissions
        .iter()
        .map(|admission| admission.latest_us)
        .collect();
    ends.sort_unstable();
    ends.dedup();
    let origin_us = admissions.first()?.earliest_us;
    // Requests that the sustained rate allows between the origin and a time.
    let replenished =
        |at_us: u64| micros_to_f64(at_us.saturating_sub(origin_us)) / US_PER_S * limit.rate_per_s;
    // Entry i holds (admissions with latest_us <= ends[i]) - rate * ends[i]. The start of the window
    // moves back over the admissions, so each admission is added once and the search takes O(n log n).
    let mut excess = MaxSegmentTree::new(ends.iter().map(|end| -replenished(*end)).collect());
    let mut worst: Option<(f64, u64, u64)> = None;
    for admission in admissions.iter().rev() {
        let position = ends.partition_point(|end| *end < admission.latest_us);
        excess.add_to_suffix(position, 1.0);
        // A window cannot end before it starts.
        let first_end = ends.partition_point(|end| *end < admission.earliest_us);
        let (highest_excess, end) = excess.suffix_maximum(first_end);
        let over = highest_excess + replenished(admission.earliest_us) - f64::from(limit.burst);
        if over > EXCESS_TOLERANCE_REQUESTS && worst.is_none_or(|(largest, _, _)| over > largest) {
            worst = Some((over, admission.earliest_us, ends[end]));
        }
    }
    worst.map(|(over, start_us, end_us)| violation(limit, admissions, over, start_us, end_us))
}

/// Builds the violation for the window from `start_us` to `end_us`, which exceeds the limit by `over`
/// requests.
fn violation(
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
        micros_to_f64(end_us - start_us) / US_PER_S,
        limit.burst,
        limit.rate_per_s,
    );
    let evidence = inside().take(MAX_EVIDENCE_ATTEMPTS);
    Violation {
        guarantee: Guarantee::P5,
        message,
        attempts: evidence
            .map(|admission| admission.attempt.clone())
            .collect(),
        executions: Vec::new(),
    }
}

/// Converts microseconds to a float; exact below 2^53 us, which is 285 years.
#[expect(clippy::cast_precision_loss)]
fn micros_to_f64(time_us: u64) -> f64 {
    time_us as f64
}

/// Segment tree that supports addition to a suffix and queries for the maximum of a suffix and its
/// position.
struct MaxSegmentTree {
    leaves: usize,
    /// Maximum of each subtree and its leaf, without the additions pending at ancestors.
    maxima: Vec<(f64, usize)>,
    /// Amount added to all leaves of each subtree, not propagated to its children.
    pending: Vec<f64>,
}

impl MaxSegmentTree {
    fn new(values: Vec<f64>) -> Self {
        let leaves = values.len().next_power_of_two();
        let mut maxima = vec![(f64::NEG_INFINITY, 0); 2 * leaves];
        for (index, value) in values.into_iter().enumerate() {
            maxima[leaves + index] = (value, index);
        }
        let mut tree = Self {
            leaves,
            maxima,
            pending: vec![0.0; 2 * leaves],
        };
        for node in (1..leaves).rev() {
            tree.recompute(node);
        }
        tree
    }

    /// Recomputes the maximum of a node from its children.
    fn recompute(&mut self, node: usize) {
        let (left, right) = (self.maxima[2 * node], self.maxima[2 * node + 1]);
        let (value, leaf) = if right.0 > left.0 { right } else { left };
        self.maxima[node] = (value + self.pending[node], leaf);
    }

    /// Adds `amount` to every leaf from `start` on.
    fn add_to_suffix(&mut self, start: usize, amount: f64) {
        let mut node = self.leaves + start;
        self.maxima[node].0 += amount;
        while node > 1 {
            // For a left child, all leaves under the sibling lie to the right of `start`.
            if node.is_multiple_of(2) {
                self.maxima[node + 1].0 += amount;
                self.pending[node + 1] += amount;
            }
            node /= 2;
            self.recompute(node);
        }
    }

    /// Returns the maximum of the leaves from `start` on and its leaf.
    fn suffix_maximum(&self, start: usize) -> (f64, usize) {
        let mut node = self.leaves + start;
        let mut best = self.maxima[node];
        while node > 1 {
            if node.is_multiple_of(2) && self.maxima[node + 1].0 > best.0 {
                best = self.maxima[node + 1];
            }
            node /= 2;
            best.0 += self.pending[node];
        }
        best
    }
}
