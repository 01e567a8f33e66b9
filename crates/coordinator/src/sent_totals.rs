//! Totals of the demand that the polling gateways hold, so that replies contain only changes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::OrganisationDemand;
use radishpaddle_wire::demand::total_changes;
use radishpaddle_wire::message::TotalChanges;

/// Totals in the newest reply to one gateway.
#[derive(Debug)]
struct Sent {
    position: u64,
    at: Duration,
    totals: Vec<OrganisationDemand>,
}

/// Totals in the newest reply to each gateway that accepts changes.
#[derive(Debug, Default)]
pub struct SentTotals {
    newest_position: u64,
    gateways: HashMap<Arc<str>, Sent>,
}

/// Totals for the reply to a gateway.
#[derive(Debug)]
pub struct TotalsReply {
    /// Position of the totals.
    pub position: u64,
    /// All totals, for the payload; empty if the reply contains changes.
    pub complete: Vec<OrganisationDemand>,
    /// Changes of the totals, for the extension.
    pub changes: Option<TotalChanges>,
}

impl SentTotals {
    /// Returns the totals for a gateway that holds those at a position, and remembers them.
    pub fn reply(
        &mut self,
        gateway: &Arc<str>,
        held_position: u64,
        totals: Vec<OrganisationDemand>,
        now: Duration,
    ) -> TotalsReply {
        self.newest_position += 1;
        let position = self.newest_position;
        let sent = self.gateways.get(gateway);
        let base = sent.filter(|sent| sent.position == held_position);
        let changes = base.and_then(|base| {
            let elapsed = now.saturating_sub(base.at);
            total_changes(base.position, &base.totals, elapsed, &totals)
        });
        let (changes, held) = match changes {
            Some((changes, held)) => (Some(changes), held),
            None => (None, totals),
        };
        let complete = if changes.is_some() {
            Vec::new()
        } else {
            held.clone()
        };
        let sent = Sent {
            position,
            at: now,
            totals: held,
        };
        self.gateways.insert(Arc::clone(gateway), sent);
        TotalsReply {
            position,
            complete,
            changes,
        }
    }

    /// Forgets the gateways for which `is_known` returns `false`.
    pub fn retain(&mut self, is_known: impl Fn(&Arc<str>) -> bool) {
        self.gateways.retain(|gateway, _| is_known(gateway));
    }
}
