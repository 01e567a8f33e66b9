//! Measurement of one run.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hdrhistogram::Histogram;
use radishpaddle_model::Outcome;

use crate::entry::Entry;
use crate::fault::{Fault, FaultPlan, Node};
use crate::figures::{OrganisationFigures, RunFigures};
use crate::number::{float, float_len, ratio};
use crate::request::{CallerResult, Kind, Request};
use crate::user::Fleet;
use crate::window::{TokenBucket, WindowCheck};

/// A faulty server counts as out of rotation when the instances that send it nothing carry this part
/// of the traffic. Instances without traffic neither see a broken path nor suffer from it.
pub const DETECTED_PART: f64 = 0.9;

/// Part of the run at its start that is not measured, as a divisor of its length.
const WARM_UP_DIVISOR: u32 = 6;

/// Largest latency that the histogram tells apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Counters of one run.
#[derive(Debug)]
pub struct Measure {
    from: Duration,
    organisations: Vec<Vec<OrganisationCount>>,
    latency_us: Histogram<u64>,
    codes: BTreeMap<u16, u64>,
    first_dispatches: u64,
    repeat_dispatches: u64,
    executions: HashMap<u64, u32>,
    detection: Vec<Option<Duration>>,
    /// Whether an instance has the server out of rotation, by server.
    ejected: Vec<bool>,
    false_ejections: u32,
    lowest_capacity: f64,
}

#[derive(Debug)]
struct OrganisationCount {
    entitlement: TokenBucket,
    window: WindowCheck,
    offered: u64,
    entitled: u64,
    entitled_weight: u64,
    delivered: u64,
    delivered_weight: u64,
    refused: u64,
    failed: u64,
}

impl Measure {
    /// Nothing is counted.
    ///
    /// # Panics
    ///
    /// Does not panic; the bounds of the histogram are constants.
    #[must_use]
    pub fn new(fleet: &Fleet, plan: &FaultPlan, length: Duration) -> Self {
        let services = fleet.services.iter();
        let latency_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        Self {
            from: length / WARM_UP_DIVISOR,
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

    /// A caller has a new request.
    pub fn offered(&mut self, service: usize, organisation: usize, kind: Kind, now: Duration) {
        let measured = now >= self.from;
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

    /// An entry instance has admitted a request.
    pub fn admitted(&mut self, service: usize, organisation: usize, now: Duration) {
        self.organisations[service][organisation].window.record(now);
    }

    /// The caller has the final result.
    pub fn ended(&mut self, request: &Request, result: CallerResult, now: Duration) {
        if request.first_sent_at < self.from {
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

    /// An entry instance has dispatched a request for the first time.
    pub fn first_dispatch(&mut self) {
        self.first_dispatches += 1;
    }

    /// An entry instance has dispatched a retry or a hedge.
    pub fn repeat_dispatch(&mut self) {
        self.repeat_dispatches += 1;
    }

    /// A backend server has started to run an action.
    pub fn action_ran(&mut self, request: u64) {
        *self.executions.entry(request).or_default() += 1;
    }

    /// Looks at the ejections of all instances.
    pub fn sample(&mut self, fleet: &Fleet, plan: &FaultPlan, entries: &[Entry], now: Duration) {
        self.sample_detection(plan, entries, now);
        self.sample_false_ejections(plan, entries, now);
        self.sample_capacity(fleet, entries, now);
    }

    fn sample_detection(&mut self, plan: &FaultPlan, entries: &[Entry], now: Duration) {
        if !plan.active(now) {
            return;
        }
        for (index, server) in plan.servers.iter().enumerate() {
            let concerned = |instance: usize| {
                plan.fault != Fault::OneWayLoss || Node::Instance(instance).zone() == plan.zone
            };
            let up = entries
                .iter()
                .enumerate()
                .filter(|(instance, entry)| entry.up && concerned(*instance));
            let (mut all, mut unused) = (0, 0);
            for (_, entry) in up {
                all += entry.dispatched;
                if entry.router.is_unused(*server, now) {
                    unused += entry.dispatched;
                }
            }
            let detected = float(unused) >= float(all) * DETECTED_PART;
            if detected && self.detection[index].is_none() {
                self.detection[index] = Some(now.saturating_sub(plan.start));
            }
        }
    }

    /// Counts a server that no instance had out of rotation before. Instances that apply the same
    /// verdict later are not counted again.
    fn sample_false_ejections(&mut self, plan: &FaultPlan, entries: &[Entry], now: Duration) {
        for server in 0..self.ejected.len() {
            let out =
                |(_, entry): &(usize, &Entry)| entry.up && entry.router.is_ejected(server, now);
            let first = entries.iter().enumerate().find(out);
            let before = std::mem::replace(&mut self.ejected[server], first.is_some());
            let Some((instance, _)) = first.filter(|_| !before) else {
                continue;
            };
            if !plan.justifies_ejection(server, instance, now) {
                self.false_ejections += 1;
            }
        }
    }

    fn sample_capacity(&mut self, fleet: &Fleet, entries: &[Entry], now: Duration) {
        let up: Vec<&Entry> = entries.iter().filter(|entry| entry.up).collect();
        for service in &fleet.services {
            let mut in_rotation = 0;
            for server in service.server_range() {
                let used = up
                    .iter()
                    .filter(|entry| !entry.router.is_ejected(server, now));
                in_rotation += used.count();
            }
            let all = float_len(service.servers.len() * up.len());
            self.lowest_capacity = self.lowest_capacity.min(float_len(in_rotation) / all);
        }
    }

    /// Figures at the end of the run.
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
            window: WindowCheck::new(limit),
            offered: 0,
            entitled: 0,
            entitled_weight: 0,
            delivered: 0,
            delivered_weight: 0,
            refused: 0,
            failed: 0,
        }
    }

    /// An organisation is entitled to its requests within the rate; in overload to the part of them
    /// that the capacity can serve.
    fn figures(&self, (service, organisation): (&str, &str), load: f64) -> OrganisationFigures {
        let servable = (1.0 / load).min(1.0);
        let entitled = float(self.entitled_weight) * servable;
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
                float(self.delivered_weight) / entitled * 100.0
            } else {
                100.0
            },
            refused_in_rate_part: ratio(self.refused.saturating_sub(over_rate), self.entitled, 0.0),
            over_admission: self.window.excess(),
        }
    }
}
