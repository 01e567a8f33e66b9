//! Replicated state machine of the coordinators: the configuration, the retirements of backend servers,
//! the orders to evacuate zones and the roster of gateways.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use anyhow::Result;
use radishpaddle_model::{ConfigDetails, Retirement, RoutingConfig, ServerPresence};
use radishpaddle_replication::ReplicatedState;
use serde::{Deserialize, Serialize};

use crate::roster::{Roster, RosterChange};
use crate::zone_orders::{ZoneOrder, ZoneOrders};

/// Maximum number of retirements in the state; the oldest is evicted first. A retirement concerns one
/// process lifetime of a backend server and is obsolete soon after, when that process ends.
const MAX_RETIREMENTS: usize = 4_096;

/// Command of the replicated log.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Puts a configuration in force if its version is higher than the current one.
    PutConfig(Arc<StoredConfig>),
    /// Records that a backend server drains or has left.
    Retire(Retirement),
    /// Evacuates an availability zone or ends its evacuation. Proposed only with [`FEATURE_ZONE_ORDERS`].
    ///
    /// [`FEATURE_ZONE_ORDERS`]: radishpaddle_wire::FEATURE_ZONE_ORDERS
    OrderZone(ZoneOrder),
    /// Replaces the roster of gateways. Proposed only with [`FEATURE_ROSTER`].
    ///
    /// [`FEATURE_ROSTER`]: radishpaddle_wire::FEATURE_ROSTER
    SetRoster(RosterChange),
}

/// Configuration together with the document that the operator submitted.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoredConfig {
    /// Parsed configuration, distributed to the gateways.
    pub config: RoutingConfig,
    /// Submitted document, returned unchanged to operators that read the configuration.
    pub document: String,
    /// Details of the configuration, which its own encoding leaves out.
    #[serde(default)]
    pub details: ConfigDetails,
}

/// Result of applying a [`Command`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// The command changed the state.
    Changed,
    /// The state already contained the same or a newer configuration or retirement.
    Unchanged,
    /// A newer order for the zone, or a newer roster, is known, so the command had no effect.
    Superseded,
    /// The state has no room for another zone, so the command had no effect.
    Full,
}

/// Replicated state of the coordinators.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CoordinatorState {
    config: Option<Arc<StoredConfig>>,
    retired: BTreeMap<Arc<str>, Retirement>,
    /// Ids of the retired backend servers, oldest retirement first. An id that retires again moves to the end.
    order: VecDeque<Arc<str>>,
    /// Absent in states of builds without evacuation.
    #[serde(default)]
    zone_orders: ZoneOrders,
    /// Absent in states of builds without rate limits of cold servers.
    #[serde(default)]
    roster: Roster,
}

impl CoordinatorState {
    /// Returns the configuration in force.
    #[must_use]
    pub const fn config(&self) -> Option<&Arc<StoredConfig>> {
        self.config.as_ref()
    }

    /// Returns the version of the configuration in force, or 0 before the first configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.config
            .as_ref()
            .map_or(0, |stored| stored.config.version)
    }

    /// Returns whether the backend server process that sent this announcement is retired.
    #[must_use]
    pub fn is_retired(&self, server: &ServerPresence) -> bool {
        self.retirement(&server.id, server.started_at_ms).is_some()
    }

    /// Returns the retirement of a backend server, if it concerns the process started at `started_at_ms`
    /// or a later one.
    #[must_use]
    pub fn retirement(&self, id: &str, started_at_ms: u64) -> Option<&Retirement> {
        let retirement = self.retired.get(id)?;
        (retirement.started_at_ms >= started_at_ms).then_some(retirement)
    }

    /// Returns all retirements.
    pub fn retirements(&self) -> impl Iterator<Item = &Retirement> {
        self.retired.values()
    }

    /// Returns the newest order for each availability zone.
    #[must_use]
    pub const fn zone_orders(&self) -> &ZoneOrders {
        &self.zone_orders
    }

    /// Returns the roster of gateways.
    #[must_use]
    pub const fn roster(&self) -> &Roster {
        &self.roster
    }

    fn put_config(&mut self, stored: &Arc<StoredConfig>) -> Outcome {
        if stored.config.version <= self.version() {
            return Outcome::Unchanged;
        }
        self.config = Some(Arc::clone(stored));
        Outcome::Changed
    }

    fn retire(&mut self, retirement: &Retirement) -> Outcome {
        let rank = |entry: &Retirement| (entry.started_at_ms, entry.state);
        let current = self.retired.get(&retirement.id);
        if current.is_some_and(|current| rank(current) >= rank(retirement)) {
            return Outcome::Unchanged;
        }
        let id = Arc::clone(&retirement.id);
        let previous = self.retired.insert(Arc::clone(&id), retirement.clone());
        if previous.is_some() {
            self.order.retain(|other| *other != id);
        }
        self.order.push_back(id);
        while self.order.len() > MAX_RETIREMENTS {
            if let Some(oldest) = self.order.pop_front() {
                self.retired.remove(&oldest);
            }
        }
        Outcome::Changed
    }
}

impl ReplicatedState for CoordinatorState {
    type Command = Command;
    type Outcome = Outcome;

    fn apply(&mut self, command: &Command) -> Result<Outcome> {
        Ok(match command {
            Command::PutConfig(stored) => self.put_config(stored),
            Command::Retire(retirement) => self.retire(retirement),
            Command::OrderZone(order) => self.zone_orders.apply(order),
            Command::SetRoster(change) => self.roster.apply(change),
        })
    }

    fn encode(&self) -> Result<Vec<u8>> {
        Ok(serde_json::to_vec(self)?)
    }

    fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        Ok(serde_json::from_slice(bytes)?)
    }
}
