//! Prometheus metrics of a coordinator.

use anyhow::Result;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use radishpaddle_consensus::Role;
use radishpaddle_replication::ReplicaView;

use crate::state::CoordinatorState;

/// Counters and gauges of one coordinator.
pub struct CoordinatorMetrics {
    registry: Registry,
    /// Number of announcements received from backend servers.
    pub announcements: IntCounter,
    /// Number of polls received from gateways.
    pub polls: IntCounter,
    /// Number of address lookups by callers.
    pub lookups: IntCounter,
    submissions: IntCounterVec,
    zone_orders: IntCounterVec,
    evacuated_zones: IntGauge,
    version: IntGauge,
    leads: IntGauge,
    voters: IntGauge,
    members: IntGauge,
    silent_members: IntGauge,
    tolerated_losses: IntGauge,
    storage_works: IntGauge,
    servers: IntGauge,
    gateways: IntGauge,
    invalid_reports: IntGauge,
}

impl CoordinatorMetrics {
    /// Registers the metrics in a new registry.
    ///
    /// # Errors
    ///
    /// Fails when two metrics have the same name.
    pub fn register() -> Result<Self> {
        let registry = Registry::new_custom(Some("radishpaddle_coordinator".to_owned()), None)?;
        let counter = |name: &str, help: &str| -> Result<IntCounter> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let submissions = Opts::new("submissions_total", "Configurations by outcome.");
        let submissions = IntCounterVec::new(submissions, &["outcome"])?;
        registry.register(Box::new(submissions.clone()))?;
        let zone_orders = Opts::new("zone_orders_total", "Orders for zones by outcome.");
        let zone_orders = IntCounterVec::new(zone_orders, &["outcome"])?;
        registry.register(Box::new(zone_orders.clone()))?;
        Ok(Self {
            zone_orders,
            evacuated_zones: gauge("evacuated_zones", "Availability zones that are evacuated.")?,
            announcements: counter("announcements_total", "Announcements of backend servers.")?,
            polls: counter("gateway_polls_total", "Polls of gateways.")?,
            lookups: counter("lookups_total", "Address lookups of callers.")?,
            submissions,
            version: gauge(
                "config_version",
                "Version of the configuration applied here.",
            )?,
            leads: gauge("leads", "1 while this coordinator leads.")?,
            voters: gauge("voters", "Members of the group that vote.")?,
            members: gauge("members", "Members of the group, voters and learners.")?,
            silent_members: gauge(
                "silent_members",
                "Members that do not respond; only on the leader.",
            )?,
            tolerated_losses: gauge(
                "tolerated_losses",
                "Voters that may be lost before the group has no quorum; only on the leader.",
            )?,
            storage_works: gauge(
                "storage_works",
                "1 while the data directory can be written.",
            )?,
            servers: gauge("backend_servers", "Backend servers in the table.")?,
            gateways: gauge("gateways", "Gateways that were heard lately.")?,
            invalid_reports: gauge(
                "invalid_reports",
                "Reports of gateways refused because their demand was invalid.",
            )?,
            registry,
        })
    }

    /// Counts a submitted configuration by its outcome, the value of the label `outcome`.
    pub fn count_submission(&self, outcome: &str) {
        self.submissions.with_label_values(&[outcome]).inc();
    }

    /// Counts an order for a zone by its outcome, the value of the label `outcome`.
    pub fn count_zone_order(&self, outcome: &str) {
        self.zone_orders.with_label_values(&[outcome]).inc();
    }

    /// Updates the gauges and renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(
        &self,
        view: &ReplicaView<CoordinatorState>,
        servers: usize,
        gateways: u32,
        invalid_reports: u64,
    ) -> String {
        let to_signed = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        let version = i64::try_from(view.state.version()).unwrap_or(i64::MAX);
        self.version.set(version);
        let evacuated = view.state.zone_orders().evacuated().count();
        self.evacuated_zones.set(to_signed(evacuated));
        self.leads.set((view.role == Role::Leader).into());
        self.voters.set(to_signed(view.membership.voters().count()));
        self.members.set(to_signed(view.membership.members.len()));
        let health = view.health.as_ref();
        let silent = health.map_or(0, |health| health.silent.len());
        let tolerated = health.map_or(0, |health| health.tolerated_losses);
        self.silent_members.set(to_signed(silent));
        self.tolerated_losses.set(to_signed(tolerated));
        self.storage_works.set(view.storage_works.into());
        self.servers.set(to_signed(servers));
        self.gateways.set(gateways.into());
        let invalid_reports = i64::try_from(invalid_reports).unwrap_or(i64::MAX);
        self.invalid_reports.set(invalid_reports);
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_else(|error| format!("# {error}\n"))
    }
}
