//! Reports of gateways that another coordinator holds, so that it gets only their changes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::{GatewayPresence, short_name_key};
use radishpaddle_wire::demand::demand_changes;
use radishpaddle_wire::message::GatewayChanges;

/// Age from which an acknowledged report is forgotten. Gateways that are gone are removed earlier elsewhere.
const MAX_REPORT_AGE: Duration = Duration::from_mins(1);

/// Report of a gateway and the local time at which it was received.
#[derive(Debug, Clone)]
struct SentReport {
    presence: GatewayPresence,
    at: Duration,
}

/// Reports in the messages to one coordinator.
#[derive(Debug, Default)]
pub struct PeerReports {
    /// Newest acknowledged report of each gateway.
    acknowledged: HashMap<Arc<str>, SentReport>,
    /// Reports in the message that waits for its acknowledgement.
    pending: Vec<SentReport>,
}

impl PeerReports {
    /// Forgets what the coordinator holds, so that complete reports are sent next.
    pub fn reset(&mut self) {
        self.acknowledged.clear();
        self.pending.clear();
    }

    /// Splits reports with their ages in milliseconds into those that are sent completely and the changes of the others.
    /// Of several reports of one gateway only the newest is sent.
    pub fn split(
        &mut self,
        gateways: Vec<(GatewayPresence, u32)>,
        now: Duration,
    ) -> (Vec<(GatewayPresence, u32)>, Vec<GatewayChanges>) {
        let mut newest: HashMap<Arc<str>, (GatewayPresence, u32)> = HashMap::new();
        for (presence, age_ms) in gateways {
            newest.insert(Arc::clone(&presence.instance), (presence, age_ms));
        }
        self.pending.clear();
        self.acknowledged
            .retain(|_, report| now.saturating_sub(report.at) < MAX_REPORT_AGE);
        let (mut complete, mut changes) = (Vec::new(), Vec::new());
        for (presence, age_ms) in newest.into_values() {
            let at = now.saturating_sub(Duration::from_millis(age_ms.into()));
            let base = self.acknowledged.get(&presence.instance);
            match base.filter(|base| differs_only_in_demand(&base.presence, &presence)) {
                Some(base) => changes.push(gateway_changes(base, &presence, at, age_ms)),
                None => complete.push((presence.clone(), age_ms)),
            }
            self.pending.push(SentReport { presence, at });
        }
        (complete, changes)
    }

    /// Records that the coordinator received the reports of the newest message. `missing` are the keys of the gateways
    /// whose changes it could not apply.
    pub fn acknowledge(&mut self, missing: &[u32]) {
        for report in self.pending.drain(..) {
            let instance = Arc::clone(&report.presence.instance);
            if missing.contains(&short_name_key(&instance)) {
                self.acknowledged.remove(&instance);
            } else {
                self.acknowledged.insert(instance, report);
            }
        }
    }
}

fn differs_only_in_demand(old: &GatewayPresence, new: &GatewayPresence) -> bool {
    old.incarnation == new.incarnation
        && old.address == new.address
        && old.zone == new.zone
        && old.ready == new.ready
        && old.reaches_servers == new.reaches_servers
}

fn gateway_changes(
    base: &SentReport,
    presence: &GatewayPresence,
    at: Duration,
    age_ms: u32,
) -> GatewayChanges {
    let elapsed = at.saturating_sub(base.at);
    let base = &base.presence;
    let demand = demand_changes(base.sequence, &base.demand, elapsed, &presence.demand);
    GatewayChanges {
        gateway: short_name_key(&presence.instance),
        incarnation: presence.incarnation,
        sequence: presence.sequence,
        age_ms,
        demand: Some(demand),
    }
}
