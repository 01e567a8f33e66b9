//! Figures of one run, and aggregated figures over several seeds.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::number::{ratio, to_f64};

/// Figures of one organisation at one service in one run.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct OrganisationFigures {
    /// Name of the service.
    pub service: String,
    /// Name of the organisation.
    pub organisation: String,
    /// Requests of its callers, without resends.
    pub offered: u64,
    /// Requests within rate and burst.
    pub entitled: u64,
    /// Requests that ended with a complete answer.
    pub delivered: u64,
    /// Requests that ended with a result code that guarantees that they did not run.
    pub refused: u64,
    /// Refused requests in excess of the number of requests over the rate.
    pub refused_in_rate: u64,
    /// Requests that ended with an unknown outcome.
    pub failed: u64,
    /// Weight of the delivered requests in percent of the weight to which the organisation was entitled.
    pub served_percent: f64,
    /// `refused_in_rate` as a fraction of `entitled`.
    pub refused_in_rate_part: f64,
    /// Largest number of admissions above `burst + rate * w` over all windows of length `w`.
    pub over_admission: f64,
}

/// Figures of one run.
#[derive(Debug, Clone)]
pub struct RunFigures {
    /// Seconds from the start of the fault until the faulty server of each service was detected; `None`
    /// if it was not. Empty if the fault affects no servers.
    pub detection_s: Vec<Option<f64>>,
    /// Ejections that the fault does not justify.
    pub false_ejections: u32,
    /// Lowest percentage of the slots in rotation, over time and services.
    pub lowest_capacity_percent: f64,
    /// Actions that ran more than once.
    pub duplicated_actions: u64,
    /// First dispatches of requests.
    pub first_dispatches: u64,
    /// Dispatches of retries and hedges.
    pub repeat_dispatches: u64,
    /// Figures of every organisation at every service.
    pub organisations: Vec<OrganisationFigures>,
    /// Number of requests by the final result code at their callers. Delivered requests and lost
    /// connections are not included.
    pub codes: BTreeMap<u16, u64>,
    /// Latency of delivered requests at the caller, in microseconds.
    pub latency_us: Histogram<u64>,
}

/// Detection times at one service over several runs.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Detection {
    /// Runs in which the faulty server was detected before the fault ended.
    pub detected: usize,
    /// All runs.
    pub runs: usize,
    /// Median detection time in seconds over all runs; `None` if the server was not detected in at least
    /// half of them.
    pub p50_s: Option<f64>,
    /// 99th percentile of the detection time in seconds over all runs; `None` if the server was not
    /// detected in enough of them. With fewer than 100 runs this is the maximum.
    pub p99_s: Option<f64>,
}

/// Organisation with the lowest served percentage, and its run.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct WorstServed {
    /// Seed of the run.
    pub seed: u64,
    /// Name of the service.
    pub service: String,
    /// Name of the organisation.
    pub organisation: String,
    /// Weight of the delivered requests in percent of the weight to which the organisation was entitled.
    pub served_percent: f64,
}

/// Figures of one policy in one scenario over several runs.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Figures {
    /// Detection at the larger service; `None` if the fault affects no servers.
    pub detection_large: Option<Detection>,
    /// Detection at the service with six servers; `None` if the fault affects no servers.
    pub detection_small: Option<Detection>,
    /// Ejections that the fault does not justify, over all runs.
    pub false_ejections: u32,
    /// Seeds of the runs with false ejections.
    pub false_ejection_seeds: Vec<u64>,
    /// Lowest percentage of the slots in rotation, over time, services and runs.
    pub lowest_capacity_percent: f64,
    /// Organisation with the lowest served percentage in any run.
    pub worst_served: Option<WorstServed>,
    /// Requests of all callers, without resends.
    pub offered: u64,
    /// Requests within rate and burst.
    pub entitled: u64,
    /// Sum of [`OrganisationFigures::refused_in_rate`].
    pub refused_in_rate: u64,
    /// `refused_in_rate` per 1,000 entitled requests.
    pub refused_in_rate_per_mille: f64,
    /// Requests with an unknown outcome per 1,000 offered ones.
    pub failed_per_mille: f64,
    /// Actions that ran more than once.
    pub duplicated_actions: u64,
    /// Largest [`OrganisationFigures::over_admission`].
    pub over_admission: f64,
    /// Retries and hedges in percent of first dispatches.
    pub added_load_percent: f64,
    /// Number of requests by the final result code at their callers. Delivered requests and lost
    /// connections are not included.
    pub codes: BTreeMap<u16, u64>,
    /// Median latency of delivered requests in milliseconds.
    pub latency_p50_ms: f64,
    /// 99th percentile of the latency of delivered requests in milliseconds.
    pub latency_p99_ms: f64,
}

impl Figures {
    /// Aggregates the figures of runs; each is paired with its seed.
    ///
    /// # Panics
    ///
    /// Panics when there is no run.
    #[must_use]
    pub fn of_runs(runs: &[(u64, RunFigures)]) -> Self {
        let (_, first) = runs.first().expect("there is a run");
        let mut latency_us = first.latency_us.clone();
        for (_, run) in &runs[1..] {
            latency_us += &run.latency_us;
        }
        let organisations = || runs.iter().flat_map(|(_, run)| &run.organisations);
        let sum = |field: fn(&OrganisationFigures) -> u64| organisations().map(field).sum::<u64>();
        let total =
            |field: fn(&RunFigures) -> u64| runs.iter().map(|(_, run)| field(run)).sum::<u64>();
        let (entitled, refused) = (sum(|f| f.entitled), sum(|f| f.refused_in_rate));
        let repeats = total(|run| run.repeat_dispatches);
        let false_seeds = runs.iter().filter(|(_, run)| run.false_ejections > 0);
        Self {
            detection_large: Detection::of_runs(runs, 0),
            detection_small: Detection::of_runs(runs, 1),
            false_ejections: runs.iter().map(|(_, run)| run.false_ejections).sum(),
            false_ejection_seeds: false_seeds.map(|(seed, _)| *seed).collect(),
            lowest_capacity_percent: runs
                .iter()
                .map(|(_, run)| run.lowest_capacity_percent)
                .fold(100.0, f64::min),
            worst_served: worst_served(runs),
            offered: sum(|f| f.offered),
            entitled,
            refused_in_rate: refused,
            refused_in_rate_per_mille: ratio(refused, entitled, 0.0) * 1000.0,
            failed_per_mille: ratio(sum(|f| f.failed), sum(|f| f.offered), 0.0) * 1000.0,
            duplicated_actions: total(|run| run.duplicated_actions),
            over_admission: organisations()
                .map(|f| f.over_admission)
                .fold(0.0, f64::max),
            added_load_percent: ratio(repeats, total(|run| run.first_dispatches), 0.0) * 100.0,
            codes: codes(runs),
            latency_p50_ms: to_f64(latency_us.value_at_quantile(0.5)) / 1000.0,
            latency_p99_ms: to_f64(latency_us.value_at_quantile(0.99)) / 1000.0,
        }
    }
}

impl Detection {
    fn of_runs(runs: &[(u64, RunFigures)], service: usize) -> Option<Self> {
        let mut times: Vec<Option<f64>> = runs
            .iter()
            .filter_map(|(_, run)| run.detection_s.get(service).copied())
            .collect();
        if times.is_empty() {
            return None;
        }
        // Runs without detection count as infinitely long.
        times.sort_by(|left, right| {
            let key = |time: &Option<f64>| time.unwrap_or(f64::INFINITY);
            key(left).total_cmp(&key(right))
        });
        Some(Self {
            detected: times.iter().flatten().count(),
            runs: times.len(),
            p50_s: times[(times.len() - 1) / 2],
            p99_s: times[(times.len() * 99).div_ceil(100) - 1],
        })
    }
}

fn codes(runs: &[(u64, RunFigures)]) -> BTreeMap<u16, u64> {
    let mut codes = BTreeMap::new();
    for (code, count) in runs.iter().flat_map(|(_, run)| &run.codes) {
        *codes.entry(*code).or_default() += count;
    }
    codes
}

fn worst_served(runs: &[(u64, RunFigures)]) -> Option<WorstServed> {
    let all = runs.iter().flat_map(|(seed, run)| {
        run.organisations
            .iter()
            .map(move |figures| (*seed, figures))
    });
    let worst =
        all.min_by(|(_, left), (_, right)| left.served_percent.total_cmp(&right.served_percent));
    worst.map(|(seed, figures)| WorstServed {
        seed,
        service: figures.service.clone(),
        organisation: figures.organisation.clone(),
        served_percent: figures.served_percent,
    })
}
