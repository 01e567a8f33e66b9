//! Measurements during one run.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hdrhistogram::Histogram;
use radishpaddle_model::Outcome;

use crate::deployment::Fleet;
use crate::entry::EntryInstance;
use crate::fault::{Fault, FaultPlan, Node};
use crate::figures::{OrganisationFigures, RunFigures};
use crate::number::{len_to_f64, ratio, to_f64};
use crate::request::{CallerResult, Kind, Request};
use crate::window::{TokenBucket, WindowBoundCheck};

/// Fraction of the traffic at which a faulty server counts as detected: the instances that send it no
/// regular requests must carry at least this much. Weighting by traffic leaves out idle instances, which
/// neither see a broken path nor suffer from it.
pub const DETECTED_TRAFFIC_FRACTION: f64 = 0.9;

/// Divisor of the length of a run that gives the warm-up time at its start. Requests sent during the
/// warm-up are left out of the counts of requests and of the latencies.
const WARM_UP_DIVISOR: u32 = 6;

/// Highest latency of the histogram, in microseconds; longer ones are recorded as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Counters and samples of one run.
#[derive(Debug)]
pub struct Measurements {
    /// End of the warm-up.
    measured_from: Duration,
    /// Counts by service and organisation.
    organisations: Vec<Vec<OrganisationCount>>,
    /// Latency of delivered requests at the caller, in microseconds.
    latency_us: Histogram<u64>,
    /// Number of requests by the number of their final result code.
    codes: BTreeMap<u16, u64>,
    first_dispatches: u64,
    repeat_dispatches: u64,
    /// Number of executions by id of the action.
    executions: HashMap<u64, u32>,
    /// Time from the start of the fault to the detection, by faulty server.
    detection: Vec<Option<Duration>>,
    /// Whether any instance had ejected the server at the last sample, by server.
    ejected: Vec<bool>,
    false_ejections: u32,
    /// Lowest fraction of the servers of a service in rotation, averaged over the instances.
    lowest_capacity: f64,
}

/// Counts of one organisation at one service.
#[derive(Debug)]
struct OrganisationCount {
    /// Decides which requests are within rate and burst.
    entitlement: TokenBucket,
    /// Checks the admissions of all instances against rate and burst.
    window: WindowBoundCheck,
    offered: u64,
    /// Requests within rate and burst.
    entitled: u64,
    entitled_weight: u64,
    delivered: u64,
    delivered_weight: u64,
    /// Requests that ended with a result code that guarantees that they did not run.
    refused: u64,
    /// Requests that ended with an unknown outcome.
    failed: u64,
}

impl Measurements {
    /// Creates empty counters for a run of this length.
    ///
    /// # Panics
    ///
    /// Does not panic; the bounds of the histogram are constants.
    #[must_use]
    pub fn new(fleet: &Fleet, plan: &FaultPlan, length: Duration) -> Self {
        let services = fleet.services.iter();
        let latency_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        Self {
            measured_from: length / WARM_UP_DIVISOR,
            organisations: services
                .map(|service| service.limits.iter().map(OrganisationCount::new).collect())
                .collect(),
            latency_us: latency_us.expect("the bounds are valid"),
            codes: BTreeMap::new(),
            first_dispatches: 0,
            repeat_dispatches: 0,
            executions: HashMap::new(),
            detection: plan.servers.iter().map(|_| None).collect(),
            ejected: vec![false; fleet.server_count()],
            false_ejections: 0,
            lowest_capacity: 1.0,
        }
    }

    /// Records a new request of a caller.
    pub fn record_offered(
        &mut self,
        service: usize,
        organisation: usize,
        kind: Kind,
        now: Duration,
    ) {
        let measured = now >= self.measured_from;
        let count = &mut self.organisations[service][organisation];
        let entitled = count.entitlement.take(now);
        if !measured {
            return;
        }
        count.offered += 1;
        if entitled {
            count.entitled += 1;
            count.entitled_weight += u64::from(kind.weight());
        }
    }

    /// Records that an entry instance has admitted a request.
    pub fn record_admitted(&mut self, service: usize, organisation: usize, now: Duration) {
        self.organisations[service][organisation].window.record(now);
    }

    /// Records the final result of a request at the caller.
    pub fn record_result(&mut self, request: &Request, result: CallerResult, now: Duration) {
        if request.first_sent_at < self.measured_from {
            return;
        }
        if let CallerResult::Code(code) = result {
            *self.codes.entry(code.number()).or_default() += 1;
        }
        let count = &mut self.organisations[request.service][request.organisation];
        match result {
            CallerResult::Delivered => {
                count.delivered += 1;
                count.delivered_weight += u64::from(request.kind.weight());
                let latency = now.saturating_sub(request.first_sent_at).as_micros();
                let latency = u64::try_from(latency).unwrap_or(MAX_LATENCY_US);
                self.latency_us.saturating_record(latency);
            }
            CallerResult::Code(code) if code.outcome() == Outcome::NotRun => count.refused += 1,
            CallerResult::Code(_) | CallerResult::ConnectionLost => count.failed += 1,
        }
    }

    /// Records the first dispatch of a request by an entry instance.
    pub fn record_first_dispatch(&mut self) {
        self.first_dispatches += 1;
    }

    /// Records the dispatch of a retry or a hedge.
    pub fn record_repeat_dispatch(&mut self) {
        self.repeat_dispatches += 1;
    }

    /// Records that a backend server has started to run an action.
    pub fn record_execution(&mut self, request: u64) {
        *self.executions.entry(request).or_default() += 1;
    }

    /// Samples detection, false ejections and the capacity in rotation at all instances.
    pub fn sample(
        &mut self,
        fleet: &Fleet,
        plan: &FaultPlan,
        entries: &[EntryInstance],
        now: Duration,
    ) {
        self.sample_detection(plan, entries, now);
        self.sample_false_ejections(plan, entries, now);
        self.sample_capacity(fleet, entries, now);
    }

    fn sample_detection(&mut self, plan: &FaultPlan, entries: &[EntryInstance], now: Duration) {
        if !plan.active(now) {
            return;
        }
        for (index, server) in plan.servers.iter().enumerate() {
            let affected = |instance: usize| {
                plan.fault != Fault::OneWayLoss || Node::Instance(instance).zone() == plan.zone
            };
            let up = entries
                .iter()
                .enumerate()
                .filter(|(instance, entry)| entry.up && affected(*instance));
            let (mut all, mut unused) = (0, 0);
            for (_, entry) in up {
                all += entry.dispatched;
                if entry.router.receives_no_requests(*server, now) {
                    unused += entry.dispatched;
                }
            }
            let detected = to_f64(unused) >= to_f64(all) * DETECTED_TRAFFIC_FRACTION;
            if detected && self.detection[index].is_none() {
                self.detection[index] = Some(now.saturating_sub(plan.start));
            }
        }
    }

    /// Counts unjustified ejections. An ejection counts at the first instance that applies it; instances
    /// that apply the same verdict later are not counted.
    fn sample_false_ejections(
        &mut self,
        plan: &FaultPlan,
        entries: &[EntryInstance],
        now: Duration,
    ) {
        for server in 0..self.ejected.len() {
            let ejects = |(_, entry): &(usize, &EntryInstance)| {
                entry.up && entry.router.is_ejected(server, now)
            };
            let first = entries.iter().enumerate().find(ejects);
            let before = std::mem::replace(&mut self.ejected[server], first.is_some());
            let Some((instance, _)) = first.filter(|_| !before) else {
                continue;
            };
            if !plan.justifies_ejection(server, instance, now) {
                self.false_ejections += 1;
            }
        }
    }

    fn sample_capacity(&mut self, fleet: &Fleet, entries: &[EntryInstance], now: Duration) {
        let up: Vec<&EntryInstance> = entries.iter().filter(|entry| entry.up).collect();
        for service in &fleet.services {
            let mut in_rotation = 0;
            for server in service.server_range() {
                let used = up
                    .iter()
                    .filter(|entry| !entry.router.is_ejected(server, now));
                in_rotation += used.count();
            }
            let all = len_to_f64(service.servers.len() * up.len());
            self.lowest_capacity = self.lowest_capacity.min(len_to_f64(in_rotation) / all);
        }
    }

    /// Returns the figures of the finished run.
    #[must_use]
    pub fn figures(self, fleet: &Fleet) -> RunFigures {
        let duplicates = self.executions.values().filter(|count| **count > 1).count();
        let seconds = |time: &Option<Duration>| time.map(|time| time.as_secs_f64());
        let mut organisations = Vec::new();
        for (service, counts) in self.organisations.iter().enumerate() {
            for (organisation, count) in counts.iter().enumerate() {
                let names = (
                    fleet.services[service].id.as_str(),
                    fleet.organisations[organisation].as_str(),
                );
                organisations.push(count.figures(names, fleet.load));
            }
        }
        RunFigures {
            detection_s: self.detection.iter().map(seconds).collect(),
            false_ejections: self.false_ejections,
            lowest_capacity_percent: self.lowest_capacity * 100.0,
            duplicated_actions: u64::try_from(duplicates).unwrap_or(u64::MAX),
            first_dispatches: self.first_dispatches,
            repeat_dispatches: self.repeat_dispatches,
            organisations,
            codes: self.codes,
            latency_us: self.latency_us,
        }
    }
}

impl OrganisationCount {
    fn new(limit: &radishpaddle_model::OrganisationLimit) -> Self {
        Self {
            entitlement: TokenBucket::of_limit(limit),
            window: WindowBoundCheck::new(limit),
            offered: 0,
            entitled: 0,
            entitled_weight: 0,
            delivered: 0,
            delivered_weight: 0,
            refused: 0,
            failed: 0,
        }
    }

    /// Returns the figures of the organisation. It is entitled to its requests within the rate; at a
    /// `load` above 1, only to the fraction of them that the capacity can serve.
    fn figures(&self, (service, organisation): (&str, &str), load: f64) -> OrganisationFigures {
        let servable = (1.0 / load).min(1.0);
        let entitled = to_f64(self.entitled_weight) * servable;
        let over_rate = self.offered - self.entitled;
        OrganisationFigures {
            service: service.to_owned(),
            organisation: organisation.to_owned(),
            offered: self.offered,
            entitled: self.entitled,
            delivered: self.delivered,
            refused: self.refused,
            refused_in_rate: self.refused.saturating_sub(over_rate),
            failed: self.failed,
            served_percent: if entitled > 0.0 {
                to_f64(self.delivered_weight) / entitled * 100.0
            } else {
                100.0
            },
            refused_in_rate_part: ratio(self.refused.saturating_sub(over_rate), self.entitled, 0.0),
            over_admission: self.window.excess(),
        }
    }
}
