//! Evacuated availability zones, as the coordinators list them.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_kernel::{LogSampling, boot_clock};
use radishpaddle_wire::message::{PollReplyExtension, ZoneRequests};
use serde_json::json;

use crate::gateway::Shared;
use crate::pool::Pools;

/// Age up to which the end of an evacuation is recent for a gateway that did not know of the evacuation. Longer than a warm-up
/// and the difference between the clocks of two coordinators together.
const RECENT_END: Duration = Duration::from_secs(20);

/// Newest list of evacuated zones. It stays in use while no coordinator answers, and while only coordinators of earlier
/// builds do, which send no list.
#[derive(Debug, Default)]
pub struct Zones {
    /// Number of the newest order in the list.
    newest: u64,
    evacuated: BTreeSet<Arc<str>>,
    /// Local time at which this gateway learned that the evacuation of a zone had ended.
    ended_at: HashMap<Arc<str>, Duration>,
}

/// Change of the list of evacuated zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneChange {
    /// Zones that are evacuated now and were not before.
    pub begun: Vec<Arc<str>>,
    /// Zones that are not evacuated any more.
    pub ended: Vec<Arc<str>>,
}

impl Zones {
    /// Number of the newest order in the list; 0 before the first one.
    #[must_use]
    pub const fn newest(&self) -> u64 {
        self.newest
    }

    /// Whether a zone is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// Local time at which this gateway learned that the evacuation of a zone had ended, if it did.
    #[must_use]
    pub fn ended_at(&self, zone: &str) -> Option<Duration> {
        self.ended_at.get(zone).copied()
    }

    /// Evacuated zones.
    pub fn evacuated(&self) -> impl Iterator<Item = &Arc<str>> {
        self.evacuated.iter()
    }

    /// Applies the list in a reply, unless it is older than the known one: a coordinator may lag behind. Returns the change.
    pub fn apply(&mut self, reply: &PollReplyExtension, now: Duration) -> Option<ZoneChange> {
        if reply.zone_orders <= self.newest {
            return None;
        }
        for zone in reply.zones.iter().filter(|zone| !zone.evacuated) {
            let is_recent = Duration::from_millis(zone.age_ms) <= RECENT_END;
            let is_known = self
                .ended_at(&zone.zone)
                .is_some_and(|ended_at| now.saturating_sub(ended_at) <= RECENT_END);
            let was_evacuated = self.evacuated.contains(&*zone.zone);
            // Operators resend an order, and each copy has a number.
            let is_new = was_evacuated || is_recent && !is_known;
            if zone.number > self.newest && is_new {
                self.ended_at.insert(zone.zone.as_str().into(), now);
            }
        }
        self.newest = reply.zone_orders;
        let listed = reply.zones.iter().filter(|zone| zone.evacuated);
        let listed: BTreeSet<Arc<str>> = listed.map(|zone| zone.zone.as_str().into()).collect();
        let change = ZoneChange {
            begun: listed.difference(&self.evacuated).cloned().collect(),
            ended: self.evacuated.difference(&listed).cloned().collect(),
        };
        self.ended_at.retain(|zone, _| !listed.contains(zone));
        self.evacuated = listed;
        Some(change)
    }
}

impl Pools {
    /// Applies the list of evacuated zones in a reply of a coordinator. Returns the change.
    pub fn apply_zones(&mut self, reply: &PollReplyExtension, now: Duration) -> Option<ZoneChange> {
        self.zones.apply(reply, now)
    }

    /// Evacuated availability zones.
    #[must_use]
    pub const fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Requests of this gateway that are running at the servers of a zone.
    #[must_use]
    pub fn running_in(&self, zone: &str) -> u32 {
        let servers = self.services.values().flat_map(HashMap::values);
        let in_zone = servers.filter(|server| *server.presence.zone == *zone);
        in_zone.map(|server| server.in_flight).sum()
    }
}

impl Shared {
    /// Applies the list of evacuated zones in a reply of a coordinator. Called after the servers of the reply are known: what
    /// they announced is then older than the end of an evacuation in the list.
    pub(crate) fn apply_zones(&self, reply: &PollReplyExtension) {
        let Some(change) = self.pools().apply_zones(reply, boot_clock::now()) else {
            return;
        };
        let evacuated = self.pools().zones().evacuated().count();
        let evacuated = i64::try_from(evacuated).unwrap_or(i64::MAX);
        self.metrics.evacuated_zones.set(evacuated);
        self.log.record(
            "zones_evacuated",
            LogSampling::Each,
            || json!({"begun": change.begun, "ended": change.ended, "order": reply.zone_orders}),
        );
    }

    /// Number of the newest order in the list of evacuated zones, and the requests of this gateway that are running in these
    /// zones.
    pub(crate) fn zone_report(&self) -> (u64, Vec<ZoneRequests>) {
        let pools = self.pools();
        let zones = pools.zones();
        let running = zones.evacuated().map(|zone| ZoneRequests {
            zone: zone.to_string(),
            running: pools.running_in(zone),
        });
        let running = running.filter(|zone| zone.running > 0).collect();
        (zones.newest(), running)
    }
}
