//! Distribution of the service times of one kind of requests, which forgets old times.

use std::time::Duration;

use super::CostEstimate;
use crate::service_times::{ServiceTimes, quantile_us_of};

/// Quantile that the tail states.
const TAIL_QUANTILE: f64 = 0.95;

/// Number of answers from which a window may end after [`MIN_WINDOW`].
const MIN_WINDOW_SAMPLES: u64 = 32;

/// Minimum length of a window of answers; an estimate covers one to two windows.
const MIN_WINDOW: Duration = Duration::from_secs(4);

/// Length after which a window ends in any case.
const MAX_WINDOW: Duration = Duration::from_secs(30);

/// Number of answers from which the own tail is used instead of that of the wider level.
const MIN_TAIL_SAMPLES: u64 = 40;

/// Number of answers from which a change can be detected.
const MIN_CHANGE_SAMPLES: u64 = 8;

/// Ratio to the median, in either direction, from which an answer counts towards a change.
const CHANGE_RATIO: f64 = 1.5;

/// Consecutive answers beyond [`CHANGE_RATIO`] on the same side after which earlier answers are forgotten. With 3 % of the
/// answers in the tail, a run of six that all lie there has a probability below 1e-9.
const CHANGE_RUN: usize = 6;

/// Estimate of a level, as the prior of the next narrower one.
#[derive(Debug, Clone, Copy)]
pub(super) struct Prior {
    pub(super) mean_s: f64,
    /// Ratio of the tail to the mean, at least 1.
    pub(super) tail_ratio: f64,
    pub(super) answer_bytes: f64,
    pub(super) age: Option<Duration>,
}

impl Prior {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a mean of sizes is not negative, and the cast saturates"
    )]
    pub(super) fn into_estimate(self, request_bytes: u64) -> CostEstimate {
        CostEstimate {
            mean: Duration::from_secs_f64(self.mean_s),
            tail: Duration::from_secs_f64(self.mean_s * self.tail_ratio),
            request_bytes,
            answer_bytes: self.answer_bytes.round() as u64,
            age: self.age,
        }
    }
}

/// Answers of one window.
#[derive(Debug, Clone, Default)]
struct Window {
    times: ServiceTimes,
    sum_s: f64,
    answer_bytes: f64,
}

impl Window {
    fn add(&mut self, answer: Answer) {
        self.times.add(answer.time);
        self.sum_s += answer.time.as_secs_f64();
        self.answer_bytes += answer.bytes;
    }
}

#[derive(Debug, Clone, Copy)]
struct Answer {
    time: Duration,
    bytes: f64,
}

/// Side of the median on which an answer lies, if it is far from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Faster,
    Slower,
}

/// Service times and answer sizes of one kind of requests.
#[derive(Debug, Clone)]
pub(super) struct Distribution {
    current: Window,
    previous: Window,
    window_started_at: Duration,
    updated_at: Duration,
    /// Newest answers, which lie far from the median on the same side.
    run: Vec<Answer>,
    run_side: Side,
}

impl Distribution {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            current: Window::default(),
            previous: Window::default(),
            window_started_at: now,
            updated_at: now,
            run: Vec::new(),
            run_side: Side::Slower,
        }
    }

    /// Time of the newest answer.
    pub(super) const fn updated_at(&self) -> Duration {
        self.updated_at
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "answers are far smaller than 2^52 bytes"
    )]
    pub(super) fn record(&mut self, time: Duration, answer_bytes: u64, now: Duration) {
        let answer = Answer {
            time,
            bytes: answer_bytes as f64,
        };
        self.rotate(now);
        self.updated_at = now;
        self.update_run(answer);
        if self.run.len() >= CHANGE_RUN {
            self.previous = Window::default();
            self.current = Window::default();
            self.window_started_at = now;
            for answer in std::mem::take(&mut self.run) {
                self.current.add(answer);
            }
        } else {
            self.current.add(answer);
        }
    }

    /// Adds an answer to the run, or ends the run.
    fn update_run(&mut self, answer: Answer) {
        let side = self.side(answer.time);
        if side != Some(self.run_side) {
            self.run.clear();
        }
        if let Some(side) = side {
            self.run_side = side;
            self.run.push(answer);
        }
    }

    fn side(&self, time: Duration) -> Option<Side> {
        if self.samples() < MIN_CHANGE_SAMPLES {
            return None;
        }
        let median_us = quantile_us_of(&self.previous.times, &self.current.times, 0.5);
        let ratio = time.as_secs_f64() * 1e6 / median_us;
        if ratio > CHANGE_RATIO {
            Some(Side::Slower)
        } else if ratio < 1.0 / CHANGE_RATIO {
            Some(Side::Faster)
        } else {
            None
        }
    }

    /// Refines the estimate of the wider level, which counts as `weight` answers at first and as less the more own answers
    /// there are: kinds of one route may differ by orders of magnitude.
    #[expect(
        clippy::cast_precision_loss,
        reason = "window counts are far below 2^52"
    )]
    pub(super) fn refine(&self, prior: Prior, weight: f64, now: Duration) -> Prior {
        let age = now.saturating_sub(self.updated_at);
        if self.samples() == 0 || age > MAX_WINDOW * 2 {
            return prior;
        }
        let samples = self.samples() as f64;
        let weight = weight / (1.0 + (samples / weight).powi(2));
        let sum_s = self.current.sum_s + self.previous.sum_s;
        let mean_s = (sum_s + prior.mean_s * weight) / (samples + weight);
        let bytes = self.current.answer_bytes + self.previous.answer_bytes;
        // Sizes have no default, so before the first answer the prior counts nothing.
        let bytes_weight = if prior.age.is_some() { weight } else { 0.0 };
        let answer_bytes = (bytes + prior.answer_bytes * bytes_weight) / (samples + bytes_weight);
        let tail_ratio = if self.samples() >= MIN_TAIL_SAMPLES {
            let (previous, current) = (&self.previous.times, &self.current.times);
            let tail_s = quantile_us_of(previous, current, TAIL_QUANTILE) / 1e6;
            (tail_s / mean_s.max(1e-9)).max(1.0)
        } else {
            prior.tail_ratio
        };
        Prior {
            mean_s,
            tail_ratio,
            answer_bytes,
            age: Some(age),
        }
    }

    fn samples(&self) -> u64 {
        self.previous.times.count() + self.current.times.count()
    }

    fn rotate(&mut self, now: Duration) {
        let length = now.saturating_sub(self.window_started_at);
        let is_full = self.current.times.count() >= MIN_WINDOW_SAMPLES && length >= MIN_WINDOW;
        if !is_full && length < MAX_WINDOW {
            return;
        }
        let finished = std::mem::take(&mut self.current);
        self.previous = if length < MAX_WINDOW * 2 {
            finished
        } else {
            Window::default()
        };
        self.window_started_at = now;
    }
}
