//! Prometheus metrics of a control instance.

use anyhow::Result;
use prometheus::{IntGauge, Registry};
use radishpaddle_consensus::Role;
use tokio::sync::watch;

use crate::distribution::DistributionView;
use crate::replica::ReplicaView;

/// Gauges of the control replica and of the distribution of the configuration.
pub struct ControlMetrics {
    leads: IntGauge,
    term: IntGauge,
    revision: IntGauge,
    in_force: IntGauge,
    storage_works: IntGauge,
    voters: IntGauge,
}

impl ControlMetrics {
    /// Registers the gauges in the registry of the process.
    ///
    /// # Errors
    ///
    /// Fails when a metric of the same name is already registered.
    pub fn register(registry: &Registry) -> Result<Self> {
        let gauge = |name: &str, help: &str| -> Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(Self {
            leads: gauge("radishpaddle_control_leads", "1 while this replica leads")?,
            term: gauge("radishpaddle_control_term", "Term of the control group")?,
            revision: gauge("radishpaddle_config_revision", "Committed revision")?,
            in_force: gauge(
                "radishpaddle_config_in_force",
                "Revision that a majority of the witnesses stored, as the leader knows it",
            )?,
            storage_works: gauge(
                "radishpaddle_storage_works",
                "1 while the data directory can be written",
            )?,
            voters: gauge("radishpaddle_control_voters", "Voters of the control group")?,
        })
    }

    /// Updates the gauges on each change of either view, until the replica or the distribution task ends.
    pub async fn follow(
        self,
        mut replica: watch::Receiver<ReplicaView>,
        mut distribution: watch::Receiver<DistributionView>,
    ) {
        loop {
            self.update(
                &replica.borrow_and_update(),
                &distribution.borrow_and_update(),
            );
            let changed = tokio::select! {
                changed = replica.changed() => changed,
                changed = distribution.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    }

    fn update(&self, replica: &ReplicaView, distribution: &DistributionView) {
        let number = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.leads.set(i64::from(replica.role == Role::Leader));
        self.term.set(number(replica.term));
        self.revision.set(number(replica.state.config().revision.0));
        self.in_force.set(number(distribution.in_force.0));
        self.storage_works.set(i64::from(replica.storage_works));
        let voters = replica.membership.voters().count();
        self.voters.set(i64::try_from(voters).unwrap_or(i64::MAX));
    }
}
