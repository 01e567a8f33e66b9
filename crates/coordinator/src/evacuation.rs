//! Orders of operators to evacuate an availability zone or to end its evacuation.

use std::sync::Arc;
use std::time::Duration;

use radishpaddle_kernel::incarnation::unix_ms;
use radishpaddle_kernel::{LogSampling, boot_clock};
use radishpaddle_wire::message::ZoneState;
use radishpaddle_wire::{FEATURE_ZONE_ORDERS, FEATURES};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

use crate::coordinator::{COMMIT_RETRY_DELAY, COMMIT_TIMEOUT, Coordinator};
use crate::state::{Command, Outcome};
use crate::zone_orders::{MAX_ZONE_NAME_BYTES, ZoneOrder};

/// Delay between the arrival of an order and its proposal. A sender that gave up has closed its connection, whose end may
/// arrive just after the order; the HTTP server then drops the call, and the order is not proposed.
const SENDER_CHECK_DELAY: Duration = Duration::from_millis(30);

/// Maximum length of the name of an operator in bytes; a longer one is not recorded.
const MAX_OPERATOR_NAME_BYTES: usize = 64;

/// Reason why an order was not acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneOrderError {
    /// The name of the zone is empty or too long.
    InvalidZone,
    /// The order is not known to be committed. It is safe to send it again.
    Unavailable,
}

/// State of an availability zone for which there was an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneStatus {
    /// Name of the zone.
    pub zone: Arc<str>,
    /// Whether it is evacuated.
    pub evacuated: bool,
    /// Unix time in milliseconds since which it is evacuated, or is not any more.
    pub since_ms: u64,
    /// Name of the coordinator that accepted the order.
    pub accepted_by: Arc<str>,
    /// Name of the operator who gave it, if it came with the order.
    pub operator: Option<Arc<str>>,
    /// Number of the newest order.
    pub number: u64,
    /// Number of gateways that poll this coordinator.
    pub gateways: usize,
    /// Number of these gateways that apply the order.
    pub applying: usize,
    /// Requests of these gateways that are running at backend servers of the zone.
    pub running: u64,
}

impl Coordinator {
    /// Evacuates an availability zone: gateways send nothing more to its backend servers. Returns only after the order is
    /// committed.
    ///
    /// # Errors
    ///
    /// Fails when the name is not valid, or the order is not known to be committed.
    pub async fn evacuate(&self, zone: &str, operator: Option<&str>) -> Result<(), ZoneOrderError> {
        self.order_zone(zone, operator, true).await
    }

    /// Ends the evacuation of an availability zone. Returns only after the order is committed.
    ///
    /// # Errors
    ///
    /// Fails when the name is not valid, or the order is not known to be committed.
    pub async fn end_evacuation(
        &self,
        zone: &str,
        operator: Option<&str>,
    ) -> Result<(), ZoneOrderError> {
        self.order_zone(zone, operator, false).await
    }

    /// Returns the zones for which there was an order, with what the gateways that poll this coordinator reported.
    #[must_use]
    pub fn zone_status(&self) -> Vec<ZoneStatus> {
        let now = boot_clock::now();
        let state = self.shared.replica.view().state;
        let reports = self.zone_reports();
        let zones = state.zone_orders().iter();
        let status = zones.map(|(zone, record)| {
            let (gateways, applying) = reports.applying(record.number, now);
            ZoneStatus {
                zone: Arc::clone(zone),
                evacuated: record.evacuated,
                since_ms: record.since_ms,
                accepted_by: Arc::clone(&record.accepted_by),
                operator: record.operator.clone(),
                number: record.number,
                gateways,
                applying,
                running: reports.running(zone, now),
            }
        });
        status.collect()
    }

    /// Whether every member of the group stated that it supports a feature.
    pub(crate) fn group_supports(&self, feature: u32) -> bool {
        let own_address = self.shared.settings.peer_listen;
        let members = self.coordinators();
        let soft_state = self.soft_state();
        members.iter().all(|address| {
            if *address == own_address {
                FEATURES & feature == feature
            } else {
                soft_state.supports(address, feature)
            }
        })
    }

    /// Returns the number of the newest order, and all zones with an order if the gateway applies an older list.
    pub(crate) fn zones_after(&self, known: u64) -> (u64, Vec<ZoneState>) {
        let state = self.shared.replica.view().state;
        let orders = state.zone_orders();
        if known >= orders.newest() {
            return (orders.newest(), Vec::new());
        }
        let now_ms = unix_ms();
        // Gateways treat the servers of a zone whose evacuation has ended as cold, so a zone that was never evacuated
        // is not listed.
        let listed = orders
            .iter()
            .filter(|(_, record)| record.evacuated || record.ended);
        let zones = listed.map(|(zone, record)| ZoneState {
            zone: zone.to_string(),
            evacuated: record.evacuated,
            number: record.number,
            age_ms: now_ms.saturating_sub(record.since_ms),
        });
        (orders.newest(), zones.collect())
    }

    async fn order_zone(
        &self,
        zone: &str,
        operator: Option<&str>,
        evacuate: bool,
    ) -> Result<(), ZoneOrderError> {
        if zone.is_empty() || zone.len() > MAX_ZONE_NAME_BYTES {
            return Err(ZoneOrderError::InvalidZone);
        }
        // Keeps an order that its sender gave up from reversing a newer one.
        sleep(SENDER_CHECK_DELAY).await;
        let result = timeout(COMMIT_TIMEOUT, self.commit_order(zone, operator, evacuate)).await;
        let result = result.unwrap_or(Err(ZoneOrderError::Unavailable));
        let outcome = if result.is_ok() {
            "acknowledged"
        } else {
            "unavailable"
        };
        self.shared.metrics.count_zone_order(outcome);
        self.shared.log.record(
            "zone_order",
            LogSampling::Each,
            || json!({"zone": zone, "evacuate": evacuate, "operator": operator, "outcome": outcome}),
        );
        result
    }

    /// Commits an order. Each proposal names the newest order of a confirmed read, and is made again when another order
    /// came first.
    async fn commit_order(
        &self,
        zone: &str,
        operator: Option<&str>,
        evacuate: bool,
    ) -> Result<(), ZoneOrderError> {
        let deadline = Instant::now() + COMMIT_TIMEOUT;
        let mut order = ZoneOrder {
            zone: zone.into(),
            evacuate,
            id: SmallRng::from_os_rng().random(),
            after: 0,
            accepted_by: Arc::clone(&self.shared.settings.instance),
            accepted_at_ms: unix_ms(),
            operator: operator
                .filter(|name| (1..=MAX_OPERATOR_NAME_BYTES).contains(&name.len()))
                .map(Arc::from),
        };
        // Whether the outcome of an earlier proposal is unknown.
        let mut uncertain = false;
        loop {
            if !self.shared.confirmer.confirm().await {
                sleep(COMMIT_RETRY_DELAY).await;
                continue;
            }
            let state = self.shared.replica.view().state;
            let orders = state.zone_orders();
            let newest = orders.get(zone);
            if newest.is_some_and(|newest| newest.id == order.id) {
                return Ok(());
            }
            // Every member of a group that has applied an order supports orders.
            if orders.newest() == 0 && !self.group_supports(FEATURE_ZONE_ORDERS) {
                return Err(ZoneOrderError::Unavailable);
            }
            let after = orders.newest_for(zone);
            if uncertain && after != order.after {
                // The earlier proposal may have been applied before the order that is the newest now. Another proposal
                // would then reverse that newer order.
                return Err(ZoneOrderError::Unavailable);
            }
            order.after = after;
            let command = Command::OrderZone(order.clone());
            let remaining = deadline.saturating_duration_since(Instant::now());
            match self.commit_once(&command, remaining).await {
                Ok(Outcome::Superseded) => (),
                Ok(Outcome::Full) => return Err(ZoneOrderError::Unavailable),
                Ok(Outcome::Changed | Outcome::Unchanged) => return Ok(()),
                Err(_) => {
                    uncertain = true;
                    sleep(COMMIT_RETRY_DELAY).await;
                }
            }
        }
    }
}
