//! What the gateways that poll this coordinator reported about the evacuation of zones.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_wire::message::PollExtension;

/// Age from which the report of a gateway does not count. Spans several polls.
const MAX_AGE: Duration = Duration::from_secs(2);

/// Newest report of each gateway.
#[derive(Debug, Default)]
pub(crate) struct ZoneReports(HashMap<Arc<str>, (Duration, PollExtension)>);

impl ZoneReports {
    /// Stores the report in a poll, and removes old reports.
    pub(crate) fn store(&mut self, gateway: &Arc<str>, report: &PollExtension, now: Duration) {
        self.0.insert(Arc::clone(gateway), (now, report.clone()));
        self.0
            .retain(|_, (at, _)| now.saturating_sub(*at) <= MAX_AGE);
    }

    /// Number of gateways with a recent report, and how many of them apply the order with this number.
    pub(crate) fn applying(&self, number: u64, now: Duration) -> (usize, usize) {
        let (mut known, mut applying) = (0, 0);
        for report in self.recent(now) {
            known += 1;
            applying += usize::from(report.zone_orders >= number);
        }
        (known, applying)
    }

    /// Requests of these gateways that are running at backend servers of a zone.
    pub(crate) fn running(&self, zone: &str, now: Duration) -> u64 {
        let reports = self.recent(now);
        let zones = reports.flat_map(|report| &report.evacuated_requests);
        let zones = zones.filter(|requests| requests.zone == zone);
        zones.map(|requests| u64::from(requests.running)).sum()
    }

    fn recent(&self, now: Duration) -> impl Iterator<Item = &PollExtension> {
        let reports = self.0.values();
        let recent = reports.filter(move |(at, _)| now.saturating_sub(*at) <= MAX_AGE);
        recent.map(|(_, report)| report)
    }
}
