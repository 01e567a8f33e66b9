//! Soft state of a coordinator: backend servers, gateways and the evidence of gateways. It is kept in
//! memory only; announcements and polls rebuild it within seconds after a restart.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::{
    Fingerprint, GatewayPresence, OrganisationDemand, RequestCrash, ServerEvidence, ServerPresence,
};
use radishpaddle_wire::demand::{apply_demand_changes, check_demand};
use radishpaddle_wire::message::{
    DemandChanges, ExchangeExtension, GatewayChanges, PollExtension, PollReplyExtension,
};
use radishpaddle_wire::{FEATURE_DEMAND_CHANGES, PresenceExchange, WireError};

use crate::directory;
use crate::limit_levels::LimitLevels;
use crate::sent_totals::SentTotals;
use crate::suspects::Suspects;
use crate::table::ServerTable;

/// Maximum age of a gateway's last report for its address to be returned to callers and to gateways that need a
/// relay. Spans several polls.
const GATEWAY_LISTING_MAX_AGE: Duration = Duration::from_millis(1_300);

/// Maximum age of a gateway's last report for the gateway to count towards the limits. Above it, its share
/// returns to the other gateways. Longer than the freshness limit of gateways, so that the gateway has stopped
/// admitting requests by then.
const GATEWAY_ADMISSION_MAX_AGE: Duration = Duration::from_millis(4_500);

/// Maximum age of a gateway's last report for its demand to count as known. Reports are forwarded at intervals of
/// `GATEWAY_FORWARD_INTERVAL` with the next poll, and take one exchange between coordinators.
const KNOWN_DEMAND_MAX_AGE: Duration = Duration::from_millis(600);

/// Age of its last report at which a gateway is removed.
const GATEWAY_EXPIRY: Duration = Duration::from_secs(30);

/// Minimum interval between two reports of the same gateway that are forwarded to the other coordinators. A
/// change of readiness, or of whether the gateway reaches backend servers, is forwarded at once.
const GATEWAY_FORWARD_INTERVAL: Duration = Duration::from_millis(190);

/// Maximum number of evidence items kept for gateways that have not polled yet. The oldest is dropped first.
const MAX_EVIDENCE: usize = 8_192;

/// Newest report of one gateway.
#[derive(Debug, Clone)]
struct GatewayEntry {
    presence: GatewayPresence,
    reported_at: Duration,
}

/// Demand of all gateways.
#[derive(Debug, Clone)]
pub struct DemandTotals {
    /// Demand of each organisation. Rates include only the gateways that share the limits; admitted requests
    /// include former gateways as well.
    pub organisations: Vec<OrganisationDemand>,
    /// Number of gateways that share the limits.
    pub gateways: u32,
    /// Number of these gateways whose newest reports are old. They may have ended, or be cut off and admit requests that
    /// are missing in the totals.
    pub unknown_gateways: u32,
}

/// Evidence with its position and the key of the gateway that observed it.
#[derive(Debug, Clone, Copy)]
struct EvidenceEntry {
    position: u64,
    gateway: u32,
    evidence: ServerEvidence,
}

/// Soft state of a coordinator, merged from local announcements and reports and from the other coordinators.
#[derive(Debug)]
pub struct SoftState {
    /// Backend servers.
    pub table: ServerTable,
    /// Requests that were in flight when backend servers crashed.
    pub suspects: Suspects,
    /// Levels of the fleet-wide token buckets.
    pub levels: LimitLevels,
    /// Totals that the polling gateways hold.
    sent_totals: SentTotals,
    gateways: HashMap<Arc<str>, GatewayEntry>,
    /// Total number of requests admitted at all gateways, by organisation.
    admitted: HashMap<Arc<str>, u64>,
    evidence: VecDeque<EvidenceEntry>,
    evidence_position: u64,
    failure_position: u64,
    unsent: PresenceExchange,
    /// Time at which the last report of each locally polling gateway was forwarded to the other coordinators.
    forwarded_at: HashMap<Arc<str>, Duration>,
    /// Availability zones of the other coordinators, by peer address.
    zones: HashMap<SocketAddr, Arc<str>>,
    /// Features that the other coordinators stated in their newest message, by peer address.
    features: HashMap<SocketAddr, u32>,
    /// Number of reports that were refused because they contained an invalid number or did not fit the held report.
    invalid_reports: u64,
}

impl SoftState {
    /// Creates an empty soft state. `sender` is a message without content that identifies this coordinator;
    /// `heartbeat` is the announcement period of backend servers.
    #[must_use]
    pub fn new(sender: PresenceExchange, heartbeat: Duration) -> Self {
        Self {
            zones: HashMap::new(),
            features: HashMap::new(),
            invalid_reports: 0,
            forwarded_at: HashMap::new(),
            table: ServerTable::new(heartbeat),
            suspects: Suspects::default(),
            levels: LimitLevels::default(),
            sent_totals: SentTotals::default(),
            gateways: HashMap::new(),
            admitted: HashMap::new(),
            evidence: VecDeque::new(),
            evidence_position: 0,
            failure_position: 0,
            unsent: sender,
        }
    }

    /// Stores an announcement that a backend server sent to this coordinator, and queues it for the other
    /// coordinators.
    pub fn announce(&mut self, presence: &ServerPresence, now: Duration) {
        if self.table.announce(presence, now) {
            self.unsent.servers.push((presence.clone(), 0));
        }
    }

    /// Stores the report in a poll of a gateway, and queues it for the other coordinators.
    pub fn report_gateway(
        &mut self,
        presence: GatewayPresence,
        evidence: &[ServerEvidence],
        now: Duration,
    ) {
        self.report_evidence(&presence.instance, evidence);
        let forwarded_at = self.forwarded_at.get(&presence.instance).copied();
        let current = self.gateways.get(&presence.instance);
        let availability = |presence: &GatewayPresence| (presence.ready, presence.reaches_servers);
        let same_availability = current
            .is_some_and(|current| availability(&current.presence) == availability(&presence));
        if !self.update_gateway(presence.clone(), now) {
            return;
        }
        let forwarded_recently =
            forwarded_at.is_some_and(|at| now.saturating_sub(at) < GATEWAY_FORWARD_INTERVAL);
        if same_availability && forwarded_recently {
            return;
        }
        self.forwarded_at
            .insert(Arc::clone(&presence.instance), now);
        let unsent = &mut self.unsent.gateways;
        unsent.retain(|(queued, _)| queued.instance != presence.instance);
        unsent.push((presence, 0));
    }

    /// Stores the evidence in a poll of a gateway, and queues it for the other coordinators.
    pub fn report_evidence(&mut self, gateway: &str, evidence: &[ServerEvidence]) {
        let gateway = radishpaddle_model::short_name_key(gateway);
        for item in evidence {
            self.add_evidence(gateway, *item);
            self.unsent.evidence.push((gateway, *item));
        }
    }

    /// Completes the demand in the report of a gateway by the changes that came with it. Returns `None` when the report
    /// that the changes are based on is not held here.
    ///
    /// # Errors
    ///
    /// Fails with `Malformed` when a number is invalid, or the changes do not fit the held report.
    pub fn complete_report(
        &self,
        mut presence: GatewayPresence,
        changes: Option<&DemandChanges>,
        now: Duration,
    ) -> Result<Option<GatewayPresence>, WireError> {
        let Some(changes) = changes else {
            check_demand(&presence.demand)?;
            return Ok(Some(presence));
        };
        let held = self.gateways.get(&presence.instance).filter(|held| {
            held.presence.incarnation == presence.incarnation
                && held.presence.sequence >= changes.base_sequence
        });
        let Some(held) = held else {
            return Ok(None);
        };
        let elapsed = now.saturating_sub(held.reported_at);
        presence.demand = apply_demand_changes(&held.presence.demand, changes, elapsed)?;
        Ok(Some(presence))
    }

    /// Records the crashes and the answered suspect requests that a gateway reported in a poll. Returns whether
    /// the list of suspect requests changed.
    pub fn report_crashes(
        &mut self,
        crashes: &[RequestCrash],
        answered: &[Fingerprint],
        now: Duration,
    ) -> bool {
        let before = self.suspects.position();
        for crash in crashes {
            if self.suspects.record(crash, now) {
                self.unsent.crashes.push(*crash);
            }
        }
        for request in answered {
            if self.suspects.clear(request) {
                self.unsent.answered.push(*request);
            }
        }
        self.suspects.position() != before
    }

    /// Merges a message of another coordinator. Returns the keys of the gateways whose changes could not be applied.
    pub fn merge(
        &mut self,
        exchange: PresenceExchange,
        extension: &ExchangeExtension,
        now: Duration,
    ) -> Vec<u32> {
        self.record_features(exchange.address, extension);
        self.zones.insert(exchange.address, exchange.zone);
        for (presence, age_ms) in exchange.servers {
            let announced_at = now.saturating_sub(Duration::from_millis(age_ms.into()));
            self.table.announce(&presence, announced_at);
        }
        for (presence, age_ms) in exchange.gateways {
            let reported_at = now.saturating_sub(Duration::from_millis(age_ms.into()));
            if check_demand(&presence.demand).is_ok() {
                self.update_gateway(presence, reported_at);
            } else {
                self.invalid_reports += 1;
            }
        }
        let missing = extension.gateways.iter();
        let missing = missing.filter(|changes| !self.merge_changes(changes, now));
        let missing = missing.map(|changes| changes.gateway).collect();
        for (gateway, evidence) in exchange.evidence {
            self.add_evidence(gateway, evidence);
        }
        for crash in exchange.crashes {
            self.suspects.record(&crash, now);
        }
        for request in exchange.answered {
            self.suspects.clear(&request);
        }
        missing
    }

    /// Applies the changes of a report that another coordinator received. Returns whether the report, or a newer one, is
    /// held afterwards.
    fn merge_changes(&mut self, changes: &GatewayChanges, now: Duration) -> bool {
        let mut held = self.gateways.values().filter(|held| {
            held.presence.incarnation == changes.incarnation
                && radishpaddle_model::short_name_key(&held.presence.instance) == changes.gateway
        });
        // Two instances may have the same key.
        let (Some(held), None) = (held.next(), held.next()) else {
            return false;
        };
        if held.presence.sequence >= changes.sequence {
            return true;
        }
        let presence = GatewayPresence {
            sequence: changes.sequence,
            demand: Vec::new(),
            ..held.presence.clone()
        };
        let reported_at = now.saturating_sub(Duration::from_millis(changes.age_ms.into()));
        match self.complete_report(presence, changes.demand.as_ref(), reported_at) {
            Ok(Some(presence)) => self.update_gateway(presence, reported_at),
            Ok(None) => false,
            Err(_) => {
                self.invalid_reports += 1;
                false
            }
        }
    }

    /// Returns the updates queued for the other coordinators and clears the queue.
    pub fn take_unsent(&mut self) -> PresenceExchange {
        let empty = self.unsent.empty_from_same_sender();
        std::mem::replace(&mut self.unsent, empty)
    }

    /// Records the features that another coordinator stated.
    pub fn record_features(&mut self, coordinator: SocketAddr, extension: &ExchangeExtension) {
        self.features.insert(coordinator, extension.features);
    }

    /// Whether another coordinator stated in its newest message that it supports a feature.
    #[must_use]
    pub fn supports(&self, coordinator: &SocketAddr, feature: u32) -> bool {
        let features = self.features.get(coordinator);
        features.is_some_and(|features| features & feature == feature)
    }

    /// Returns the availability zone of another coordinator, if it has sent a message.
    #[must_use]
    pub fn zone_of(&self, coordinator: &SocketAddr) -> Option<Arc<str>> {
        self.zones.get(coordinator).cloned()
    }

    /// Returns the backend servers, gateways and crashes, for a coordinator that has just started or missed
    /// updates. Evidence is not included.
    #[must_use]
    pub fn full_exchange(&self, now: Duration) -> PresenceExchange {
        let age_ms =
            |at: Duration| u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX);
        let servers = self.table.entries();
        let gateways = self.gateways.values();
        PresenceExchange {
            servers: servers
                .map(|entry| (entry.presence.clone(), age_ms(entry.announced_at)))
                .collect(),
            gateways: gateways
                .map(|gateway| (gateway.presence.clone(), age_ms(gateway.reported_at)))
                .collect(),
            crashes: self.suspects.crashes(now),
            ..self.unsent.empty_from_same_sender()
        }
    }

    /// Removes expired backend servers, suspect requests and gateways.
    pub fn expire(&mut self, now: Duration) {
        self.update_unsent_ages(now);
        self.table.expire(now);
        self.suspects.expire(now);
        self.gateways
            .retain(|_, gateway| now.saturating_sub(gateway.reported_at) < GATEWAY_EXPIRY);
        self.forwarded_at
            .retain(|name, _| self.gateways.contains_key(name));
        self.sent_totals
            .retain(|name| self.gateways.contains_key(name));
    }

    /// Sets the ages of the queued reports. A process that was frozen sends them late, and other coordinators must not take
    /// gateways that ended meanwhile for running ones.
    fn update_unsent_ages(&mut self, now: Duration) {
        for (presence, age_ms) in &mut self.unsent.gateways {
            let known = self.gateways.get(&presence.instance);
            let reported_at = known.map_or(Duration::ZERO, |known| known.reported_at);
            let age = now.saturating_sub(reported_at).as_millis();
            *age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        }
    }

    /// Returns at most `limit` addresses of gateways for callers in an availability zone, see
    /// [`directory::caller_addresses`].
    #[must_use]
    pub fn gateway_addresses(
        &self,
        zone: Option<&str>,
        limit: usize,
        now: Duration,
    ) -> Vec<SocketAddr> {
        directory::caller_addresses(&self.ready_gateways(now), zone, self.unsent.address, limit)
    }

    /// Returns at most `limit` addresses of gateways that can relay requests for the gateway `asking` in an
    /// availability zone, see [`directory::relay_addresses`].
    #[must_use]
    pub fn relays(&self, asking: &str, zone: &str, limit: usize, now: Duration) -> Vec<SocketAddr> {
        directory::relay_addresses(&self.ready_gateways(now), asking, zone, limit)
    }

    /// Returns the gateways that are ready for callers and reported recently.
    fn ready_gateways(&self, now: Duration) -> Vec<&GatewayPresence> {
        let is_listed = |gateway: &&GatewayEntry| {
            let age = now.saturating_sub(gateway.reported_at);
            gateway.presence.ready && age <= GATEWAY_LISTING_MAX_AGE
        };
        let listed = self.gateways.values().filter(is_listed);
        listed.map(|gateway| &gateway.presence).collect()
    }

    /// Returns the age of the newest report of each gateway.
    #[must_use]
    pub fn gateway_ages(&self, now: Duration) -> BTreeMap<Arc<str>, Duration> {
        let gateways = self.gateways.iter();
        let ages = gateways
            .map(|(name, gateway)| (Arc::clone(name), now.saturating_sub(gateway.reported_at)));
        ages.collect()
    }

    /// Returns the demand of each organisation at all gateways together.
    #[must_use]
    pub fn demand(&self, now: Duration) -> DemandTotals {
        let mut rates: HashMap<&Arc<str>, f32> = HashMap::new();
        let (mut gateways, mut unknown_gateways) = (0, 0);
        for gateway in self.gateways.values() {
            let age = now.saturating_sub(gateway.reported_at);
            if age > GATEWAY_ADMISSION_MAX_AGE {
                continue;
            }
            gateways += 1;
            unknown_gateways += u32::from(age > KNOWN_DEMAND_MAX_AGE);
            for demand in &gateway.presence.demand {
                *rates.entry(&demand.organisation).or_default() += demand.rate_per_s;
            }
        }
        let total = self
            .admitted
            .iter()
            .map(|(organisation, admitted)| OrganisationDemand {
                organisation: Arc::clone(organisation),
                rate_per_s: rates.get(organisation).copied().unwrap_or_default(),
                admitted: *admitted,
            });
        DemandTotals {
            organisations: total.collect(),
            gateways,
            unknown_gateways,
        }
    }

    /// Returns the demand in the newest report of a gateway, which is the part of [`Self::demand`] that this
    /// gateway contributed.
    #[must_use]
    pub fn gateway_demand(&self, gateway: &str) -> Vec<OrganisationDemand> {
        let gateway = self.gateways.get(gateway);
        gateway.map_or_else(Vec::new, |gateway| gateway.presence.demand.clone())
    }

    /// Returns the demand for the payload of a reply to a gateway: of all gateways, and the part that this gateway
    /// contributed. For a gateway that accepts changes, these are in the extension, and the lists in the payload are empty.
    pub fn reply_demand(
        &mut self,
        gateway: &GatewayPresence,
        poll_extension: &PollExtension,
        reply_extension: &mut PollReplyExtension,
        now: Duration,
    ) -> (DemandTotals, Vec<OrganisationDemand>) {
        let mut demand = self.demand(now);
        if poll_extension.features & FEATURE_DEMAND_CHANGES == 0 {
            return (demand, self.gateway_demand(&gateway.instance));
        }
        let totals = std::mem::take(&mut demand.organisations);
        let held_position = poll_extension.totals_position;
        let reply = self
            .sent_totals
            .reply(&gateway.instance, held_position, totals, now);
        demand.organisations = reply.complete;
        reply_extension.totals = reply.changes;
        reply_extension.totals_position = reply.position;
        reply_extension.own_sequence = self.held_sequence(&gateway.instance, gateway.incarnation);
        (demand, Vec::new())
    }

    /// Returns the sequence number of the newest report of one run of a gateway; 0 if there is none.
    #[must_use]
    pub fn held_sequence(&self, gateway: &str, incarnation: u64) -> u64 {
        let held = self.gateways.get(gateway).map(|held| &held.presence);
        let held = held.filter(|held| held.incarnation == incarnation);
        held.map_or(0, |held| held.sequence)
    }

    /// Counts a refused report of a gateway.
    pub const fn count_invalid_report(&mut self) {
        self.invalid_reports += 1;
    }

    /// Returns the number of reports that were refused because they were invalid.
    #[must_use]
    pub const fn invalid_reports(&self) -> u64 {
        self.invalid_reports
    }

    /// Adds the requests that a gateway admitted since its previous report to the totals. The counters of a
    /// gateway restart at 0 with each incarnation.
    fn count_admitted(&mut self, presence: &GatewayPresence, reported_at: Duration) {
        let previous = self.gateways.get(&presence.instance);
        let previous =
            previous.filter(|previous| previous.presence.incarnation == presence.incarnation);
        for demand in &presence.demand {
            let previous = previous.and_then(|previous| {
                let mut demands = previous.presence.demand.iter();
                demands.find(|previous| previous.organisation == demand.organisation)
            });
            let previously_admitted = previous.map_or(0, |previous| previous.admitted);
            let total = self
                .admitted
                .entry(Arc::clone(&demand.organisation))
                .or_default();
            let admitted = demand.admitted.saturating_sub(previously_admitted);
            *total += admitted;
            self.levels
                .consume(&demand.organisation, admitted, reported_at);
        }
    }

    /// Returns the position of the newest evidence.
    #[must_use]
    pub const fn evidence_position(&self) -> u64 {
        self.evidence_position
    }

    /// Returns the position of the newest evidence that contains a failure. Evidence without a failure does not
    /// end the wait of a held poll.
    #[must_use]
    pub const fn failure_position(&self) -> u64 {
        self.failure_position
    }

    /// Returns the evidence after a position that gateways other than `gateway` observed, newest first, each
    /// with the key of the observing gateway.
    #[must_use]
    pub fn evidence_since(&self, position: u64, gateway: &str) -> Vec<(u32, ServerEvidence)> {
        let own = radishpaddle_model::short_name_key(gateway);
        let newer = self.evidence.iter().rev();
        newer
            .take_while(|entry| entry.position > position)
            .filter(|entry| entry.gateway != own)
            .map(|entry| (entry.gateway, entry.evidence))
            .collect()
    }

    fn add_evidence(&mut self, gateway: u32, evidence: ServerEvidence) {
        self.evidence_position += 1;
        if evidence.failed > 0 {
            self.failure_position = self.evidence_position;
        }
        self.evidence.push_back(EvidenceEntry {
            position: self.evidence_position,
            gateway,
            evidence,
        });
        if self.evidence.len() > MAX_EVIDENCE {
            self.evidence.pop_front();
        }
    }

    /// Stores the report of a gateway. Returns `false` if it is not newer than the stored one.
    fn update_gateway(&mut self, presence: GatewayPresence, reported_at: Duration) -> bool {
        let rank = |presence: &GatewayPresence| (presence.incarnation, presence.sequence);
        let current = self.gateways.get(&presence.instance);
        if current.is_some_and(|current| rank(&current.presence) >= rank(&presence)) {
            return false;
        }
        self.count_admitted(&presence, reported_at);
        let entry = GatewayEntry {
            presence: presence.clone(),
            reported_at,
        };
        self.gateways.insert(presence.instance, entry);
        true
    }
}
