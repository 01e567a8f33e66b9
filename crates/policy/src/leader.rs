//! Detection and ejection as run by the leader.

use std::time::Duration;

use radishpaddle_model::{AvailabilityZone, InstanceId, Percent};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::detector::{Detector, ServerInfo};
use crate::ejection::{EjectionController, TrialInput};
use crate::evidence::EvidenceCell;
use crate::explanation::{Action, Decision, Evidence, Finding};
use crate::key::{ServerKey, ServiceKey};
use crate::pooled_evidence::Mode;
use crate::verdict::{Verdict, VerdictUpdate, VerdictVersion};

/// Maximum number of path faults that wait for the next report of their instance.
const MAX_PATH_FAULTS: usize = 1024;

/// Time for which a path fault waits for the next report of its instance.
const PATH_FAULT_LIFETIME: Duration = Duration::from_secs(5);

/// Report that an entry instance sends to the leader every 250 ms.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HealthReport {
    /// Availability zone of the instance. Without it, a partition between zones can be mistaken for
    /// faults of the servers.
    pub zone: Option<AvailabilityZone>,
    /// Cells of the drain period.
    pub cells: Vec<EvidenceCell>,
    /// Version of the list that the instance applies ([`crate::VerdictView::applied`]).
    pub applied: VerdictVersion,
    /// Verdicts in force ([`crate::VerdictView::held`]). Needed only while the epoch of the leader
    /// differs from that of `applied`; empty otherwise.
    pub held: Vec<Verdict>,
}

/// Response of the leader to a [`HealthReport`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HealthResponse {
    /// Verdict list for [`crate::VerdictView::apply`].
    pub update: VerdictUpdate,
    /// Servers that other instances reach and this one does not. The instance passes them to
    /// [`crate::PathAvoidance::advise`].
    pub avoid: Vec<ServerKey>,
}

/// Path fault between an instance and a server, with its evidence.
#[derive(Debug, Clone, PartialEq)]
pub struct PathFault {
    /// Instance that does not reach the server.
    pub instance: InstanceId,
    /// Server that is not reached.
    pub server: ServerKey,
    /// Evidence for the fault.
    pub evidence: Evidence,
    /// Time of the detection.
    pub at: Duration,
}

/// Detector and ejection controller of one leader.
///
/// It is valid for the quorum lease of the epoch; the owner drops it when the lease ends.
#[derive(Debug)]
pub struct HealthLeader {
    detector: Detector,
    controller: EjectionController,
    path_faults: Vec<PathFault>,
}

impl HealthLeader {
    /// Creates the state of the leader of `epoch`, whose term begins at `now`.
    #[must_use]
    pub fn new(epoch: u64, now: Duration) -> Self {
        Self {
            detector: Detector::new(),
            controller: EjectionController::new(epoch, now),
            path_faults: Vec::new(),
        }
    }

    /// Sets the capacity floor of a service. Without it, no server of the service is ejected.
    pub fn put_service(&mut self, service: ServiceKey, floor: Percent) {
        self.controller.put_service(service, floor);
    }

    /// Sets the instances of the fleet, see [`EjectionController::set_instances`].
    pub fn set_instances(&mut self, instances: &[InstanceId]) {
        self.controller.set_instances(instances);
    }

    /// Adds or updates a server.
    pub fn put_server(&mut self, info: ServerInfo, now: Duration) {
        self.detector.put_server(&info);
        self.controller.put_server(info, now);
    }

    /// Removes a server that left or is no longer announced.
    pub fn remove_server(&mut self, server: ServerKey, now: Duration) {
        self.detector.remove_server(server);
        self.controller.remove_server(server, now);
    }

    /// Clears the evidence about a server whose crash is charged to a poison request.
    pub fn clear_evidence(&mut self, server: ServerKey) {
        self.detector.clear_evidence(server);
    }

    /// Processes the report of an instance and returns the response.
    pub fn sync(
        &mut self,
        instance: &InstanceId,
        report: HealthReport,
        now: Duration,
    ) -> HealthResponse {
        self.detector
            .report(instance, report.zone.as_ref(), report.cells, now);
        let update = self
            .controller
            .sync(instance, report.applied, &report.held, now);
        for verdict in &report.held {
            self.update_detector_mode(verdict.server);
        }
        HealthResponse {
            update,
            avoid: self.take_path_faults(instance),
        }
    }

    /// Pools the reports since the last tick and decides on ejections and returns. The caller runs
    /// it every 250 ms.
    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Decision> {
        self.controller.begin_tick(now);
        let mut faulty = Vec::new();
        for finding in self.detector.tick(now) {
            match finding {
                Finding::Server { server, evidence } => faulty.push((server, evidence)),
                Finding::Path {
                    server,
                    instance,
                    evidence,
                } => self.add_path_fault(PathFault {
                    instance,
                    server,
                    evidence,
                    at: now,
                }),
            }
        }
        // The most severe fault comes first, since the floor may permit only one ejection.
        faulty.sort_by(|left, right| right.1.severity().total_cmp(&left.1.severity()));
        for (server, evidence) in faulty {
            self.controller.report_fault(server, &evidence, now);
        }
        for server in self.controller.awaiting_trial(now) {
            let state = self.trial_input(server, rng);
            self.controller.step_trial(server, state, now);
        }
        let decisions = self.controller.finish_tick(now);
        for decision in &decisions {
            self.apply_to_detector(decision);
        }
        self.path_faults
            .retain(|fault| now < fault.at + PATH_FAULT_LIFETIME);
        decisions
    }

    /// Returns the ejection controller, for operators and metrics.
    #[must_use]
    pub fn controller(&self) -> &EjectionController {
        &self.controller
    }

    /// Returns the detector, for operators and metrics.
    #[must_use]
    pub fn detector(&self) -> &Detector {
        &self.detector
    }

    /// Returns the path faults that were not yet sent to their instances.
    #[must_use]
    pub fn path_faults(&self) -> &[PathFault] {
        &self.path_faults
    }

    fn trial_input(&self, server: ServerKey, rng: &mut impl Rng) -> TrialInput {
        let service = self.controller.service_of(server);
        let mut candidates =
            service.map_or_else(Vec::new, |service| self.detector.instances_using(service));
        let current_holder = self.controller.holder(server);
        candidates.retain(|candidate| Some(candidate) != current_holder);
        let next_holder = if candidates.is_empty() {
            None
        } else {
            Some(candidates.swap_remove(rng.random_range(0..candidates.len())))
        };
        TrialInput {
            result: self.detector.trial_result(server),
            next_holder,
        }
    }

    fn apply_to_detector(&mut self, decision: &Decision) {
        if matches!(
            decision.action,
            Action::TrialStarted { .. } | Action::TrialRepeated { .. }
        ) {
            self.detector.reset_trial(decision.server);
        }
        self.update_detector_mode(decision.server);
    }

    fn update_detector_mode(&mut self, server: ServerKey) {
        let mode: Mode = self.controller.mode(server);
        self.detector.set_mode(server, mode);
    }

    fn add_path_fault(&mut self, fault: PathFault) {
        self.path_faults
            .retain(|known| (known.server, &known.instance) != (fault.server, &fault.instance));
        if self.path_faults.len() < MAX_PATH_FAULTS {
            self.path_faults.push(fault);
        }
    }

    fn take_path_faults(&mut self, instance: &InstanceId) -> Vec<ServerKey> {
        let mut avoid = Vec::new();
        self.path_faults.retain(|fault| {
            let is_own = &fault.instance == instance;
            if is_own {
                avoid.push(fault.server);
            }
            !is_own
        });
        avoid
    }
}
