//! Roster of gateways, among which the rate of cold backend servers is divided. The leader maintains it in the replicated
//! log while the configuration has warm-ups.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_consensus::Role;
use radishpaddle_kernel::{LogSampling, boot_clock};
use radishpaddle_wire::FEATURE_ROSTER;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;

use crate::coordinator::Coordinator;
use crate::state::{Command, Outcome};

/// Period in which the leader compares the roster with the gateways that report.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Maximum age of the newest report of a gateway that joins the roster.
const JOIN_MAX_AGE: Duration = Duration::from_millis(1_300);

/// Age of its newest report at which a gateway leaves the roster. Longer than a restart of its process: each change leaves
/// cold servers without requests for some seconds.
pub const LEAVE_AGE: Duration = Duration::from_millis(4_500);

/// Number of checks in a row that must find the same gateways before the roster changes, so that gateways that start
/// together cause one change.
const SETTLED_CHECKS: u32 = 4;

/// Names of the gateways that share the rate of cold backend servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Roster {
    /// Number of the roster; 0 before the first one.
    pub number: u64,
    /// Names of the gateways, in order.
    pub gateways: Vec<Arc<str>>,
}

/// Command of the replicated log: replaces the roster.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RosterChange {
    /// Number of the roster that is replaced.
    pub after: u64,
    /// Names of the gateways, in order.
    pub gateways: Vec<Arc<str>>,
}

impl Roster {
    /// Applies a change, unless the roster has changed since it was proposed.
    pub(crate) fn apply(&mut self, change: &RosterChange) -> Outcome {
        if change.after != self.number {
            return Outcome::Superseded;
        }
        self.number += 1;
        self.gateways.clone_from(&change.gateways);
        Outcome::Changed
    }

    /// Returns the members that the roster should have, given the age of the newest report of each gateway. A coordinator
    /// that has run for less than [`LEAVE_AGE`] does not know whether a gateway is gone.
    #[must_use]
    pub fn desired(
        &self,
        ages: &BTreeMap<Arc<str>, Duration>,
        running_for: Duration,
    ) -> BTreeSet<Arc<str>> {
        let joined = ages.iter().filter(|(_, age)| **age <= JOIN_MAX_AGE);
        let joined = joined.map(|(name, _)| name);
        let stays = |name: &&Arc<str>| {
            let age = ages.get(*name).copied().unwrap_or(running_for);
            age <= LEAVE_AGE
        };
        let staying = self.gateways.iter().filter(stays);
        joined.chain(staying).cloned().collect()
    }
}

/// Starts the task that maintains the roster while this coordinator leads.
pub(crate) fn spawn(coordinator: Coordinator) {
    tokio::spawn(async move {
        let mut found: Option<BTreeSet<Arc<str>>> = None;
        let mut checks = 0;
        loop {
            sleep(CHECK_PERIOD).await;
            let desired = coordinator.desired_roster();
            checks = if desired == found { checks + 1 } else { 1 };
            found = desired;
            if checks >= SETTLED_CHECKS
                && let Some(gateways) = &found
            {
                checks = 0;
                coordinator.change_roster(gateways).await;
            }
        }
    });
}

impl Coordinator {
    /// Returns the members that the roster should have; `None` when it needs no change, or not by this coordinator.
    fn desired_roster(&self) -> Option<BTreeSet<Arc<str>>> {
        let view = self.shared.replica.view();
        let has_warmups = view
            .state
            .config()
            .is_some_and(|stored| !stored.details.warmups.is_empty());
        if view.role != Role::Leader || !has_warmups {
            return None;
        }
        let roster = view.state.roster();
        let ages = self.soft_state().gateway_ages(boot_clock::now());
        let desired = roster.desired(&ages, self.shared.started_at.elapsed());
        let is_same = desired.iter().eq(&roster.gateways);
        // Every member of a group that has applied a roster supports rosters.
        let is_supported = roster.number > 0 || self.group_supports(FEATURE_ROSTER);
        (!desired.is_empty() && !is_same && is_supported).then_some(desired)
    }

    async fn change_roster(&self, gateways: &BTreeSet<Arc<str>>) {
        let change = RosterChange {
            after: self.shared.replica.view().state.roster().number,
            gateways: gateways.iter().cloned().collect(),
        };
        let (after, count) = (change.after, change.gateways.len());
        let result = self.propose_locally(Command::SetRoster(change)).await;
        self.log().record(
            "roster",
            LogSampling::Each,
            || json!({"after": after, "gateways": count, "outcome": format!("{result:?}")}),
        );
    }
}
