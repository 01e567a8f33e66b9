//! Orders of operators to evacuate availability zones, as part of the replicated state.
//!
//! Each applied order gets the next number. A command names the newest order for its zone that its coordinator knew, and
//! is applied only while that order is still the newest. A copy of a command that arrives after a later order has
//! therefore no effect, on any coordinator.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::state::Outcome;

/// Maximum length of the name of a zone in bytes.
pub const MAX_ZONE_NAME_BYTES: usize = 128;

/// Maximum number of zones in the state. The oldest order that ended an evacuation is dropped first.
const MAX_ZONES: usize = 1_024;

/// Command of the replicated log: evacuates a zone or ends its evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ZoneOrder {
    /// Name of the availability zone.
    pub zone: Arc<str>,
    /// Whether the zone is evacuated; otherwise its evacuation ends.
    pub evacuate: bool,
    /// Random id that all copies of the command share.
    pub id: u64,
    /// Number of the newest order for the zone that the coordinator knew.
    pub after: u64,
    /// Name of the coordinator that accepted the order.
    pub accepted_by: Arc<str>,
    /// Unix time in milliseconds at which it did so, by its own clock.
    pub accepted_at_ms: u64,
    /// Name of the operator, if it came with the order.
    #[serde(default)]
    pub operator: Option<Arc<str>>,
}

/// Newest order for one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ZoneRecord {
    /// Number of the order.
    pub number: u64,
    /// Id of the command.
    pub id: u64,
    /// Whether the zone is evacuated.
    pub evacuated: bool,
    /// Whether an evacuation of the zone has ended.
    #[serde(default)]
    pub ended: bool,
    /// Unix time in milliseconds since which the zone is evacuated, or is not any more. An order that repeats the
    /// previous one does not change it.
    pub since_ms: u64,
    /// Name of the coordinator that accepted the first of these orders.
    pub accepted_by: Arc<str>,
    /// Name of the operator who gave that order, if it came with it.
    #[serde(default)]
    pub operator: Option<Arc<str>>,
}

/// Newest order for each zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ZoneOrders {
    newest: u64,
    /// Highest number among the dropped orders. It counts as the newest order for every zone that is not in the list.
    dropped: u64,
    zones: BTreeMap<Arc<str>, ZoneRecord>,
}

impl ZoneOrders {
    /// Number of the newest order for any zone, or 0 if there was none.
    #[must_use]
    pub const fn newest(&self) -> u64 {
        self.newest
    }

    /// Number of the newest order for a zone.
    #[must_use]
    pub fn newest_for(&self, zone: &str) -> u64 {
        self.get(zone).map_or(self.dropped, |record| record.number)
    }

    /// Newest order for a zone.
    #[must_use]
    pub fn get(&self, zone: &str) -> Option<&ZoneRecord> {
        self.zones.get(zone)
    }

    /// Newest order for each zone, in the order of the names.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &ZoneRecord)> {
        self.zones.iter()
    }

    /// Names of the evacuated zones.
    pub fn evacuated(&self) -> impl Iterator<Item = &Arc<str>> {
        let evacuated = self.iter().filter(|(_, record)| record.evacuated);
        evacuated.map(|(zone, _)| zone)
    }

    /// Applies a command unless a newer order for its zone is known. An order that repeats the newest one gets a number as
    /// well: commands that were proposed before it must have no effect any more.
    pub(crate) fn apply(&mut self, order: &ZoneOrder) -> Outcome {
        if self.newest_for(&order.zone) != order.after {
            return Outcome::Superseded;
        }
        if !self.make_room(&order.zone) {
            return Outcome::Full;
        }
        self.newest += 1;
        let previous = self.zones.remove(&order.zone);
        let was_evacuated = |previous: &ZoneRecord| previous.evacuated || previous.ended;
        let record = ZoneRecord {
            ended: !order.evacuate && previous.as_ref().is_some_and(was_evacuated),
            number: self.newest,
            id: order.id,
            evacuated: order.evacuate,
            since_ms: order.accepted_at_ms,
            accepted_by: Arc::clone(&order.accepted_by),
            operator: order.operator.clone(),
        };
        let repeated = previous.filter(|previous| previous.evacuated == order.evacuate);
        let record = match repeated {
            Some(previous) => ZoneRecord {
                since_ms: previous.since_ms,
                accepted_by: previous.accepted_by,
                operator: previous.operator,
                ..record
            },
            None => record,
        };
        self.zones.insert(Arc::clone(&order.zone), record);
        Outcome::Changed
    }

    /// Drops the oldest order that ended an evacuation if the list is full. Returns `false` if there is none.
    fn make_room(&mut self, zone: &str) -> bool {
        if self.zones.contains_key(zone) || self.zones.len() < MAX_ZONES {
            return true;
        }
        let ended = self.zones.iter().filter(|(_, record)| !record.evacuated);
        let oldest = ended.min_by_key(|(_, record)| record.number);
        let Some((oldest, number)) = oldest.map(|(zone, record)| (Arc::clone(zone), record.number))
        else {
            return false;
        };
        self.zones.remove(&oldest);
        self.dropped = self.dropped.max(number);
        true
    }
}
