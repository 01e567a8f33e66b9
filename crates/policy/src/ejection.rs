//! Ejection decisions of the leader for the whole fleet, bounded by the capacity floor in slots.
//!
//! # Why the floor holds
//!
//! A server counts as out of rotation from its ejection until no instance can apply a list that
//! takes it out: every instance that synchronised within the lifetime of a list has applied a newer
//! one, or the lifetime has passed. [`Capacity::permits_ejection`] is called with this count, so
//! the slots in rotation at all instances stay at or above the floor at any time. A new leader
//! ejects nothing until every instance applies its lists, or the lifetime of all older lists has
//! passed. Servers that an older list takes out count as soon as they are reported; otherwise the
//! list has expired.
//!
//! Servers that leave or drain can bring the slots below the floor without any ejection. Ejected
//! servers are then returned, the least severe first.
//!
//! # Cost
//!
//! A tick costs one step per server. Memory is about 400 bytes per server and 60 per instance.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use radishpaddle_model::{InstanceId, Percent};

use crate::detector::ServerInfo;
use crate::explanation::{Action, Decision, Evidence};
use crate::floor::{Capacity, floor_slots};
use crate::key::{KeyMap, ServerKey, ServiceKey};
use crate::pooled_evidence::{Mode, TrialResult};
use crate::probation::{
    FAILED_HOLDERS_TO_EJECT, MAX_TRIAL_REQUESTS, MIN_TRIAL_REQUESTS, PendingReturn, Phase,
    RAMP_STEP_DURATION, RAMP_WEIGHTS, STRIKE_RESET_PERIOD, ServerRecord, TRIAL_FAILURE_SCORE,
    TRIAL_TIMEOUT, probation_duration,
};
use crate::rollout::{LIST_LIFETIME, VerdictRollout};
use crate::verdict::{Verdict, VerdictUpdate, VerdictVersion};

/// Factor by which the severity of a server must exceed that of an ejected one to replace it at the
/// floor. Without a margin two equally faulty servers would replace each other endlessly.
const REPLACEMENT_FACTOR: f64 = 1.25;

/// Maximum number of removed servers whose ejections are kept, and of verdicts about unknown
/// servers.
const MAX_REMOVED_SERVERS: usize = 4096;

#[derive(Debug)]
struct Service {
    floor: Percent,
    members: Vec<ServerKey>,
}

/// State of the detector that a step of a trial depends on.
#[derive(Debug, Clone, Default)]
pub(crate) struct TrialInput {
    pub(crate) result: TrialResult,
    /// Instance to send the next trial requests, if one uses the service.
    pub(crate) next_holder: Option<InstanceId>,
}

/// Decides which servers are out of rotation.
#[derive(Debug)]
pub struct EjectionController {
    epoch: u64,
    sequence: u64,
    adoption_ends_at: Option<Duration>,
    servers: KeyMap<ServerKey, ServerRecord>,
    services: KeyMap<ServiceKey, Service>,
    /// Servers with a verdict, which are those not in normal rotation.
    listed: BTreeSet<ServerKey>,
    rollout: VerdictRollout,
    /// Verdicts about servers that are not announced yet, with the time of the report.
    unmatched_verdicts: HashMap<ServerKey, (Verdict, Duration)>,
    /// Removed servers: number of consecutive ejections and time of the last one.
    removed: HashMap<ServerKey, (u32, Duration)>,
    decisions: Vec<Decision>,
}

impl EjectionController {
    /// Creates the controller of the leader of `epoch`, whose term begins at `now`.
    #[must_use]
    pub fn new(epoch: u64, now: Duration) -> Self {
        Self {
            epoch,
            sequence: 1,
            adoption_ends_at: Some(now + LIST_LIFETIME),
            servers: KeyMap::default(),
            services: KeyMap::default(),
            listed: BTreeSet::new(),
            rollout: VerdictRollout::default(),
            unmatched_verdicts: HashMap::new(),
            removed: HashMap::new(),
            decisions: Vec::new(),
        }
    }

    /// Sets the capacity floor of a service. Without it, no server of the service is ejected.
    pub fn put_service(&mut self, service: ServiceKey, floor: Percent) {
        self.service_mut(service).floor = floor;
    }

    /// Sets the instances of the fleet. Every instance that may hold verdicts must be among them.
    /// The adoption of older verdicts then ends as soon as all have synchronised; without this call
    /// it ends after the lifetime of a list.
    pub fn set_instances(&mut self, instances: &[InstanceId]) {
        self.rollout.set_instances(instances);
    }

    /// Adds or updates a server.
    pub fn put_server(&mut self, info: ServerInfo, now: Duration) {
        let members = &mut self.service_mut(info.service).members;
        if let Err(at) = members.binary_search(&info.server) {
            members.insert(at, info.server);
        }
        if let Some(record) = self.servers.get_mut(&info.server) {
            record.info = info;
            return;
        }
        let mut record = ServerRecord::new(info);
        if let Some((strikes, ejected_at)) = self.removed.remove(&info.server) {
            record.strikes = strikes;
            record.ejected_at = ejected_at;
        }
        self.servers.insert(info.server, record);
        if let Some((verdict, reported_at)) = self.unmatched_verdicts.remove(&info.server) {
            let waited = now.saturating_sub(reported_at);
            if waited < LIST_LIFETIME {
                self.adopt_verdict(&verdict, now);
            }
        }
    }

    /// Removes a server that left or is no longer announced, and keeps the number of its ejections.
    pub fn remove_server(&mut self, server: ServerKey, now: Duration) {
        let Some(record) = self.servers.remove(&server) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&record.info.service) {
            service.members.retain(|member| *member != server);
        }
        if self.listed.remove(&server) {
            self.sequence += 1;
        }
        if record.strikes > 0 && self.removed.len() < MAX_REMOVED_SERVERS {
            self.removed
                .insert(server, (record.strikes, record.ejected_at));
        }
        self.removed
            .retain(|_, removed| now < removed.1 + STRIKE_RESET_PERIOD);
    }

    /// Returns the list for an instance that applies version `applied`. `held` contains its
    /// verdicts in force if `applied` is of another epoch.
    pub fn sync(
        &mut self,
        instance: &InstanceId,
        applied: VerdictVersion,
        held: &[Verdict],
        now: Duration,
    ) -> VerdictUpdate {
        for verdict in held {
            if verdict.version.epoch < self.epoch {
                self.adopt_verdict(verdict, now);
            }
        }
        self.rollout.record_sync(instance, applied, now);
        let version = self.version();
        let verdicts = (applied != version).then(|| self.verdicts(now));
        VerdictUpdate { version, verdicts }
    }

    /// Returns the version of the current list.
    #[must_use]
    pub fn version(&self) -> VerdictVersion {
        VerdictVersion {
            epoch: self.epoch,
            sequence: self.sequence,
        }
    }

    /// Returns the current list, ordered by server.
    #[must_use]
    pub fn verdicts(&self, now: Duration) -> Vec<Verdict> {
        self.listed_records()
            .filter_map(|record| record.verdict(now))
            .collect()
    }

    /// Returns whether instances may apply verdicts of an earlier leader that were not reported
    /// yet.
    #[must_use]
    pub fn is_adopting(&self) -> bool {
        self.adoption_ends_at.is_some()
    }

    /// Returns the slots of a service. A server counts as out of rotation while any instance may
    /// have it out.
    #[must_use]
    pub fn capacity(&self, service: ServiceKey) -> Capacity {
        self.count_slots(service, ServerRecord::may_be_out)
    }

    /// Returns the evidence for the current standing of a server.
    #[must_use]
    pub fn evidence(&self, server: ServerKey) -> Option<&Evidence> {
        self.servers.get(&server)?.evidence.as_ref()
    }

    /// Ends the adoption and the pending returns that every instance has applied, and returns
    /// servers of services below their floor. Runs at the start of a tick, before any ejection.
    pub(crate) fn begin_tick(&mut self, now: Duration) {
        self.rollout.expire(now);
        let all_in_epoch = self.rollout.all_in_epoch(self.epoch);
        if self
            .adoption_ends_at
            .is_some_and(|until| now >= until || all_in_epoch)
        {
            self.adoption_ends_at = None;
            self.unmatched_verdicts.clear();
        }
        for record in self.servers.values_mut() {
            if let Some(pending) = record.pending_return {
                let version = VerdictVersion {
                    epoch: self.epoch,
                    sequence: pending.sequence,
                };
                if now >= pending.until || self.rollout.is_applied_everywhere(version) {
                    record.pending_return = None;
                }
            }
            if record.strikes > 0 && record.is_stable(now) {
                record.strikes = 0;
            }
        }
        self.return_for_floors(now);
    }

    /// Ejects a server that the detector found faulty, as far as the floor permits.
    pub(crate) fn report_fault(&mut self, server: ServerKey, evidence: &Evidence, now: Duration) {
        let Some(record) = self.servers.get_mut(&server) else {
            return;
        };
        // A server with a pending return has just made way for a more severe fault or passed its
        // trial. Ejecting it again before the return is applied everywhere would undo this.
        let is_ejectable = !record.may_be_out() && !record.info.draining;
        if !is_ejectable || self.adoption_ends_at.is_some() {
            return;
        }
        record.evidence = Some(evidence.clone());
        let (service, slots) = (record.info.service, record.info.slots);
        if self.capacity(service).permits_ejection(slots) {
            self.eject(server, now);
        } else {
            self.keep_at_floor(server, now);
            self.return_for_worse(server, now);
        }
    }

    /// Returns the servers that are on trial or have reached the end of their probation.
    pub(crate) fn awaiting_trial(&self, now: Duration) -> Vec<ServerKey> {
        let awaiting = self.listed_records().filter(|record| match record.phase {
            Phase::Ejected { until } => now >= until,
            Phase::Trial { .. } => true,
            _ => false,
        });
        awaiting.map(|record| record.info.server).collect()
    }

    /// Returns the service of a server.
    pub(crate) fn service_of(&self, server: ServerKey) -> Option<ServiceKey> {
        self.servers.get(&server).map(|record| record.info.service)
    }

    /// Returns how the detector scores the requests of a server.
    pub(crate) fn mode(&self, server: ServerKey) -> Mode {
        match self.servers.get(&server).map(|record| &record.phase) {
            Some(Phase::Ejected { .. }) => Mode::Ejected,
            Some(Phase::Trial { .. }) => Mode::Trial,
            Some(Phase::Ramp { .. }) => Mode::Ramp,
            _ => Mode::Rotation,
        }
    }

    /// Returns the instance that sends the trial requests of a server.
    pub(crate) fn holder(&self, server: ServerKey) -> Option<&InstanceId> {
        match &self.servers.get(&server)?.phase {
            Phase::Trial { holder, .. } => Some(holder),
            _ => None,
        }
    }

    /// Starts the trial of a server at the end of its probation, or evaluates a running trial.
    pub(crate) fn step_trial(&mut self, server: ServerKey, input: TrialInput, now: Duration) {
        let Some(record) = self.servers.get(&server) else {
            return;
        };
        match record.phase.clone() {
            Phase::Ejected { .. } => {
                if let Some(holder) = input.next_holder {
                    let action = Action::TrialStarted {
                        holder: holder.clone(),
                    };
                    self.start_trial(server, holder, 0, action, now);
                }
            }
            Phase::Trial {
                holder,
                since,
                failed_holders,
            } => {
                let next = input.next_holder.unwrap_or(holder);
                match trial_status(&input.result, since, now) {
                    TrialStatus::Running => {}
                    TrialStatus::Passed => self.start_ramp_step(server, RAMP_WEIGHTS[0], now),
                    TrialStatus::NoResult => self.repeat_trial(server, next, failed_holders, now),
                    TrialStatus::Failed if failed_holders + 1 < FAILED_HOLDERS_TO_EJECT => {
                        self.repeat_trial(server, next, failed_holders + 1, now);
                    }
                    TrialStatus::Failed => self.eject(server, now),
                }
            }
            _ => {}
        }
    }

    /// Advances the phases that end by time alone. Returns the decisions since the last call.
    pub(crate) fn finish_tick(&mut self, now: Duration) -> Vec<Decision> {
        let due: Vec<(ServerKey, Phase)> = self
            .listed_records()
            .filter(|record| is_phase_over(&record.phase, now))
            .map(|record| (record.info.server, record.phase.clone()))
            .collect();
        for (server, phase) in due {
            match phase {
                Phase::Ramp { weight_percent, .. } => self.step_ramp(server, weight_percent, now),
                _ => self.start_ramp_step(server, RAMP_WEIGHTS[0], now),
            }
        }
        std::mem::take(&mut self.decisions)
    }

    fn listed_records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.listed.iter().map(|server| &self.servers[server])
    }

    fn service_mut(&mut self, service: ServiceKey) -> &mut Service {
        self.services.entry(service).or_insert_with(|| Service {
            floor: Percent::try_from(100.0).expect("100 is a percentage"),
            members: Vec::new(),
        })
    }

    fn count_slots(&self, service: ServiceKey, is_out: impl Fn(&ServerRecord) -> bool) -> Capacity {
        let Some(known) = self.services.get(&service) else {
            return Capacity {
                announced: 0,
                in_rotation: 0,
                floor: 0,
            };
        };
        let records = known.members.iter().map(|server| &self.servers[server]);
        let (mut announced, mut in_rotation) = (0, 0);
        for record in records {
            announced += record.info.slots;
            if !record.info.draining && !is_out(record) {
                in_rotation += record.info.slots;
            }
        }
        Capacity {
            announced,
            in_rotation,
            floor: floor_slots(announced, known.floor),
        }
    }

    fn adopt_verdict(&mut self, verdict: &Verdict, now: Duration) {
        let Some(record) = self.servers.get_mut(&verdict.server) else {
            if self.unmatched_verdicts.len() < MAX_REMOVED_SERVERS
                && self.adoption_ends_at.is_some()
            {
                self.unmatched_verdicts
                    .insert(verdict.server, (verdict.clone(), now));
            }
            return;
        };
        if self.adoption_ends_at.is_some() && record.adopt(verdict, now) {
            self.record_change(verdict.server, Action::Adopted, now);
        }
    }

    fn eject(&mut self, server: ServerKey, now: Duration) {
        let Some(record) = self.servers.get_mut(&server) else {
            return;
        };
        record.strikes = record.strikes.saturating_add(1);
        record.ejected_at = now;
        record.pending_return = None;
        let strikes = record.strikes;
        let probation = probation_duration(strikes);
        record.phase = Phase::Ejected {
            until: now + probation,
        };
        self.record_change(server, Action::Ejected { probation, strikes }, now);
    }

    fn keep_at_floor(&mut self, server: ServerKey, now: Duration) {
        let Some(record) = self.servers.get_mut(&server) else {
            return;
        };
        let until = now + probation_duration(record.strikes + 1);
        let was_kept = matches!(record.phase, Phase::LastResort { .. });
        record.phase = Phase::LastResort { until };
        if !was_kept {
            self.record_change(server, Action::KeptAtFloor, now);
        }
    }

    /// Returns the least severe ejected server if the fault of `worse` is clearly more severe.
    /// `worse` is ejected once all instances have applied the return, if it still looks faulty.
    fn return_for_worse(&mut self, worse: ServerKey, now: Duration) {
        let record = &self.servers[&worse];
        let (service, slots) = (record.info.service, record.info.slots);
        let severity = record.severity();
        let rotation = self.count_slots(service, ServerRecord::is_out);
        if rotation.permits_ejection(slots) {
            return;
        }
        let Some(least) = self.least_severe(service) else {
            return;
        };
        if self.servers[&least].severity() * REPLACEMENT_FACTOR <= severity {
            self.return_as_last_resort(least, Action::ReturnedForWorse { worse }, now);
        }
    }

    fn return_for_floors(&mut self, now: Duration) {
        let out = self.listed_records().filter(|record| record.is_out());
        let services: BTreeSet<ServiceKey> = out.map(|record| record.info.service).collect();
        for service in services {
            self.return_for_floor(service, now);
        }
    }

    fn return_for_floor(&mut self, service: ServiceKey, now: Duration) {
        while self.count_slots(service, ServerRecord::is_out).deficit() > 0 {
            let Some(least) = self.least_severe(service) else {
                return;
            };
            self.return_as_last_resort(least, Action::ReturnedForFloor, now);
        }
    }

    fn least_severe(&self, service: ServiceKey) -> Option<ServerKey> {
        let members = self.services.get(&service)?.members.iter();
        let records = members.map(|server| &self.servers[server]);
        // The return of a draining server would add no capacity.
        let out = records.filter(|record| record.is_out() && !record.info.draining);
        out.min_by(|left, right| left.severity().total_cmp(&right.severity()))
            .map(|record| record.info.server)
    }

    fn return_as_last_resort(&mut self, server: ServerKey, action: Action, now: Duration) {
        let Some(record) = self.servers.get_mut(&server) else {
            return;
        };
        let until = now + probation_duration(record.strikes);
        record.phase = Phase::LastResort { until };
        self.record_return(server, now);
        self.record_change(server, action, now);
    }

    fn start_ramp_step(&mut self, server: ServerKey, weight_percent: u8, now: Duration) {
        let Some(record) = self.servers.get_mut(&server) else {
            return;
        };
        let was_out = record.is_out();
        record.phase = Phase::Ramp {
            weight_percent,
            until: now + RAMP_STEP_DURATION,
        };
        if was_out {
            self.record_return(server, now);
        }
        self.record_change(server, Action::Ramped { weight_percent }, now);
    }

    fn step_ramp(&mut self, server: ServerKey, weight_percent: u8, now: Duration) {
        let next = RAMP_WEIGHTS.iter().find(|next| **next > weight_percent);
        if let Some(next) = next {
            self.start_ramp_step(server, *next, now);
            return;
        }
        if let Some(record) = self.servers.get_mut(&server) {
            record.phase = Phase::InRotation;
            record.evidence = None;
        }
        self.record_change(server, Action::Returned, now);
    }

    fn repeat_trial(
        &mut self,
        server: ServerKey,
        holder: InstanceId,
        failed_holders: u32,
        now: Duration,
    ) {
        let action = Action::TrialRepeated {
            holder: holder.clone(),
        };
        self.start_trial(server, holder, failed_holders, action, now);
    }

    fn start_trial(
        &mut self,
        server: ServerKey,
        holder: InstanceId,
        failed_holders: u32,
        action: Action,
        now: Duration,
    ) {
        if let Some(record) = self.servers.get_mut(&server) {
            record.phase = Phase::Trial {
                holder,
                since: now,
                failed_holders,
            };
        }
        self.record_change(server, action, now);
    }

    /// Records that instances may apply the ejection of a server until they have the next list.
    /// [`Self::record_change`], which follows, creates that list.
    fn record_return(&mut self, server: ServerKey, now: Duration) {
        let pending = PendingReturn {
            sequence: self.sequence + 1,
            until: now + LIST_LIFETIME,
        };
        if let Some(record) = self.servers.get_mut(&server) {
            record.pending_return = Some(pending);
        }
    }

    fn record_change(&mut self, server: ServerKey, action: Action, now: Duration) {
        self.sequence += 1;
        let version = self.version();
        let Some(record) = self.servers.get_mut(&server) else {
            return;
        };
        record.changed_at_version = version;
        if record.phase == Phase::InRotation {
            self.listed.remove(&server);
        } else {
            self.listed.insert(server);
        }
        let service = record.info.service;
        let evidence = record.evidence.clone();
        let decision = Decision {
            server,
            service,
            at: now,
            action,
            evidence,
            capacity: self.capacity(service),
        };
        self.decisions.push(decision);
    }
}

fn is_phase_over(phase: &Phase, now: Duration) -> bool {
    match phase {
        Phase::Ramp { until, .. } | Phase::LastResort { until } => now >= *until,
        _ => false,
    }
}

enum TrialStatus {
    Running,
    Passed,
    Failed,
    NoResult,
}

fn trial_status(result: &TrialResult, since: Duration, now: Duration) -> TrialStatus {
    let score = result.latency_score;
    if result.failed > 0 || score >= TRIAL_FAILURE_SCORE {
        return TrialStatus::Failed;
    }
    if result.succeeded >= MIN_TRIAL_REQUESTS && score <= 0.0 {
        return TrialStatus::Passed;
    }
    if result.succeeded >= MAX_TRIAL_REQUESTS {
        return TrialStatus::Failed;
    }
    if result.succeeded == 0 && now >= since + TRIAL_TIMEOUT {
        return TrialStatus::NoResult;
    }
    TrialStatus::Running
}
