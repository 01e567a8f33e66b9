//! Detection and ejection as the leader runs them.

use std::time::Duration;

use radishpaddle_model::{AvailabilityZone, InstanceId, Percent};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::detector::{Detector, ServerInfo};
use crate::ejection::{EjectionController, TrialState};
use crate::evidence::Cell;
use crate::explanation::{Action, Decision, Evidence, Finding};
use crate::key::{ServerKey, ServiceKey};
use crate::pool::Mode;
use crate::verdict::{Verdict, VerdictUpdate, VerdictVersion};

/// Path faults that are kept for instances that have not asked yet.
const MAX_PATH_FAULTS: usize = 1024;

/// Time for which a path fault is told to its instance.
const PATH_FAULT_LIFE: Duration = Duration::from_secs(5);

/// What an entry instance sends to the leader every 250 ms.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HealthReport {
    /// Availability zone of the instance. Without it, a partition between zones can be taken for
    /// faults of the servers.
    pub zone: Option<AvailabilityZone>,
    /// Evidence of the period.
    pub cells: Vec<Cell>,
    /// List that the instance acts on ([`crate::VerdictView::applied`]).
    pub applied: VerdictVersion,
    /// Verdicts in force ([`crate::VerdictView::held`]). Needed only while the epoch of the leader
    /// differs from that of `applied`; empty otherwise.
    pub held: Vec<Verdict>,
}

/// What the leader answers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HealthResponse {
    /// Verdicts ([`crate::VerdictView::apply`]).
    pub update: VerdictUpdate,
    /// Servers that this instance should avoid, since others reach them
    /// ([`crate::PathAvoidance::advise`]).
    pub avoid: Vec<ServerKey>,
}

/// A path fault with the evidence for it.
#[derive(Debug, Clone, PartialEq)]
pub struct PathFault {
    /// The instance that does not reach the server.
    pub instance: InstanceId,
    /// The server.
    pub server: ServerKey,
    /// The evidence.
    pub evidence: Evidence,
    /// Time at which it was found.
    pub at: Duration,
}

/// Detector and ejection controller of one leader. It lives as long as the quorum lease of the
/// epoch; the owner drops it when the lease ends.
#[derive(Debug)]
pub struct HealthLeader {
    detector: Detector,
    controller: EjectionController,
    path_faults: Vec<PathFault>,
}

impl HealthLeader {
    /// Leader of `epoch`, whose term begins at `now`.
    #[must_use]
    pub fn new(epoch: u64, now: Duration) -> Self {
        Self {
            detector: Detector::new(),
            controller: EjectionController::new(epoch, now),
            path_faults: Vec::new(),
        }
    }

    /// Sets the floor of a service. Without it, nothing of the service is ejected.
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

    /// Forgets the evidence about a server whose crash is charged to a poison request.
    pub fn clear_evidence(&mut self, server: ServerKey) {
        self.detector.clear_evidence(server);
    }

    /// Takes the report of an instance and answers it.
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
            self.match_mode(verdict.server);
        }
        HealthResponse {
            update,
            avoid: self.take_path_faults(instance),
        }
    }

    /// Pools the reports since the last tick and decides. Call every 250 ms.
    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Decision> {
        self.controller.settle(now);
        let mut accused = Vec::new();
        for finding in self.detector.tick(now) {
            match finding {
                Finding::Server { server, evidence } => accused.push((server, evidence)),
                Finding::Path {
                    server,
                    instance,
                    evidence,
                } => self.note_path_fault(PathFault {
                    instance,
                    server,
                    evidence,
                    at: now,
                }),
            }
        }
        // The worst server comes first, since the floor may permit only one ejection.
        accused.sort_by(|left, right| right.1.severity().total_cmp(&left.1.severity()));
        for (server, evidence) in accused {
            self.controller.accuse(server, &evidence, now);
        }
        for server in self.controller.awaiting_trial(now) {
            let state = self.trial_state(server, rng);
            self.controller.step_trial(server, state, now);
        }
        let decisions = self.controller.advance(now);
        for decision in &decisions {
            self.follow(decision);
        }
        self.path_faults
            .retain(|fault| now < fault.at + PATH_FAULT_LIFE);
        decisions
    }

    /// The ejection controller, for operators and metrics.
    #[must_use]
    pub fn controller(&self) -> &EjectionController {
        &self.controller
    }

    /// The detector, for operators and metrics.
    #[must_use]
    pub fn detector(&self) -> &Detector {
        &self.detector
    }

    /// Path faults that their instances have not been told yet.
    #[must_use]
    pub fn path_faults(&self) -> &[PathFault] {
        &self.path_faults
    }

    fn trial_state(&self, server: ServerKey, rng: &mut impl Rng) -> TrialState {
        let service = self.controller.service_of(server);
        let mut users = service.map_or_else(Vec::new, |service| self.detector.users(service));
        let present = self.controller.holder(server);
        users.retain(|user| Some(user) != present);
        let next_holder = if users.is_empty() {
            None
        } else {
            Some(users.swap_remove(rng.random_range(0..users.len())))
        };
        TrialState {
            result: self.detector.trial(server),
            next_holder,
        }
    }

    fn follow(&mut self, decision: &Decision) {
        if matches!(
            decision.action,
            Action::TrialStarted { .. } | Action::TrialRepeated { .. }
        ) {
            self.detector.restart_trial(decision.server);
        }
        self.match_mode(decision.server);
    }

    fn match_mode(&mut self, server: ServerKey) {
        let mode: Mode = self.controller.mode(server);
        self.detector.set_mode(server, mode);
    }

    fn note_path_fault(&mut self, fault: PathFault) {
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
