//! Soft state of a coordinator: backend servers, gateways and their evidence. Announcements rebuild it
//! within seconds after a restart.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::{
    Fingerprint, GatewayPresence, OrganisationDemand, RequestCrash, ServerEvidence, ServerPresence,
    name_hash,
};
use radishpaddle_wire::PresenceExchange;

use crate::suspects::Suspects;
use crate::table::ServerTable;

/// A gateway that was not heard for this long is not named to callers. Several polls long.
const GATEWAY_LISTED: Duration = Duration::from_millis(1_300);

/// A gateway that was not heard for this long admits nothing any more, so that its part of the limits
/// returns to the others. Longer than the freshness limit of gateways.
const GATEWAY_COUNTED: Duration = Duration::from_millis(4_500);

/// A gateway that was not heard for this long is forgotten.
const GATEWAY_FORGOTTEN: Duration = Duration::from_secs(30);

/// Period in which other coordinators are told of a gateway that polls here.
const GATEWAY_TOLD_EVERY: Duration = Duration::from_millis(190);

/// Items of evidence that are kept for gateways that poll late.
const MAX_EVIDENCE: usize = 8_192;

/// Gateways of one availability zone below which callers get the gateways of all zones.
const MIN_ZONE_GATEWAYS: usize = 3;

/// One gateway as it was heard last.
#[derive(Debug, Clone)]
struct KnownGateway {
    presence: GatewayPresence,
    heard_at: Duration,
}

/// Evidence with its position and the gateway that saw it.
#[derive(Debug, Clone, Copy)]
struct KnownEvidence {
    position: u64,
    gateway: u32,
    evidence: ServerEvidence,
}

/// Everything that this coordinator heard.
#[derive(Debug)]
pub struct Board {
    /// Backend servers.
    pub table: ServerTable,
    /// Requests that may crash backend servers.
    pub suspects: Suspects,
    gateways: HashMap<Arc<str>, KnownGateway>,
    /// Requests admitted at all gateways, by organisation.
    admitted: HashMap<Arc<str>, u64>,
    evidence: VecDeque<KnownEvidence>,
    evidence_position: u64,
    failure_position: u64,
    unsent: PresenceExchange,
    /// Times at which others were told of gateways that poll here.
    told_at: HashMap<Arc<str>, Duration>,
    /// Availability zones of the other coordinators.
    zones: HashMap<SocketAddr, Arc<str>>,
}

impl Board {
    /// Empty board; `sender` is an empty message that names this coordinator.
    #[must_use]
    pub fn new(sender: PresenceExchange, heartbeat: Duration) -> Self {
        Self {
            zones: HashMap::new(),
            told_at: HashMap::new(),
            table: ServerTable::new(heartbeat),
            suspects: Suspects::default(),
            gateways: HashMap::new(),
            admitted: HashMap::new(),
            evidence: VecDeque::new(),
            evidence_position: 0,
            failure_position: 0,
            unsent: sender,
        }
    }

    /// Takes an announcement that a backend server made here.
    pub fn announce(&mut self, presence: &ServerPresence, now: Duration) {
        if self.table.announce(presence, now) {
            self.unsent.servers.push((presence.clone(), 0));
        }
    }

    /// Takes the report of a gateway that polls here.
    pub fn report(
        &mut self,
        presence: GatewayPresence,
        evidence: &[ServerEvidence],
        now: Duration,
    ) {
        let gateway = radishpaddle_model::short_key(&presence.instance);
        for item in evidence {
            self.add_evidence(gateway, *item);
            self.unsent.evidence.push((gateway, *item));
        }
        let told_at = self.told_at.get(&presence.instance).copied();
        let known = self.gateways.get(&presence.instance);
        let same = known.is_some_and(|known| known.presence.ready == presence.ready);
        if !self.hear_gateway(presence.clone(), now) {
            return;
        }
        if same && told_at.is_some_and(|at| now.saturating_sub(at) < GATEWAY_TOLD_EVERY) {
            return;
        }
        self.told_at.insert(Arc::clone(&presence.instance), now);
        let unsent = &mut self.unsent.gateways;
        unsent.retain(|(known, _)| known.instance != presence.instance);
        unsent.push((presence, 0));
    }

    /// Takes what a gateway that polls here says of suspect requests. Returns whether any of it is new.
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

    /// Takes what another coordinator heard.
    pub fn merge(&mut self, exchange: PresenceExchange, now: Duration) {
        self.zones.insert(exchange.address, exchange.zone);
        for (presence, age_ms) in exchange.servers {
            let heard_at = now.saturating_sub(Duration::from_millis(age_ms.into()));
            self.table.announce(&presence, heard_at);
        }
        for (presence, age_ms) in exchange.gateways {
            let heard_at = now.saturating_sub(Duration::from_millis(age_ms.into()));
            self.hear_gateway(presence, heard_at);
        }
        for (gateway, evidence) in exchange.evidence {
            self.add_evidence(gateway, evidence);
        }
        for crash in exchange.crashes {
            self.suspects.record(&crash, now);
        }
        for request in exchange.answered {
            self.suspects.clear(&request);
        }
    }

    /// What was heard here since the last call.
    pub fn take_unsent(&mut self) -> PresenceExchange {
        let empty = self.unsent.without_content();
        std::mem::replace(&mut self.unsent, empty)
    }

    /// Availability zone of another coordinator, when it was heard.
    #[must_use]
    pub fn zone_of(&self, coordinator: &SocketAddr) -> Option<Arc<str>> {
        self.zones.get(coordinator).cloned()
    }

    /// Everything that is known, for a coordinator that has just started.
    #[must_use]
    pub fn everything(&self, now: Duration) -> PresenceExchange {
        let age = |heard_at: Duration| {
            u32::try_from(now.saturating_sub(heard_at).as_millis()).unwrap_or(u32::MAX)
        };
        let servers = self.table.entries();
        let gateways = self.gateways.values();
        PresenceExchange {
            servers: servers
                .map(|entry| (entry.presence.clone(), age(entry.heard_at)))
                .collect(),
            gateways: gateways
                .map(|gateway| (gateway.presence.clone(), age(gateway.heard_at)))
                .collect(),
            crashes: self.suspects.crashes(now),
            ..self.unsent.without_content()
        }
    }

    /// Forgets what was silent for long.
    pub fn expire(&mut self, now: Duration) {
        self.table.expire(now);
        self.suspects.expire(now);
        self.gateways
            .retain(|_, known| now.saturating_sub(known.heard_at) < GATEWAY_FORGOTTEN);
        self.told_at
            .retain(|name, _| self.gateways.contains_key(name));
    }

    /// Addresses of gateways that take callers from an availability zone, `most` of them. Where there are more, each
    /// coordinator names others, and the same ones every time: callers leave addresses that are named no longer.
    #[must_use]
    pub fn addresses(&self, zone: Option<&str>, most: usize, now: Duration) -> Vec<SocketAddr> {
        let listed = |known: &&KnownGateway| {
            known.presence.ready && now.saturating_sub(known.heard_at) <= GATEWAY_LISTED
        };
        let ready: Vec<_> = self.gateways.values().filter(listed).collect();
        let near: Vec<_> = ready
            .iter()
            .filter(|known| Some(&*known.presence.zone) == zone)
            .collect();
        let mut addresses: Vec<_> = if near.len() >= MIN_ZONE_GATEWAYS {
            near.iter().map(|known| known.presence.address).collect()
        } else {
            ready.iter().map(|known| known.presence.address).collect()
        };
        let own = self.unsent.address;
        addresses.sort_by_key(|address| name_hash(&format!("{own}{address}")));
        addresses.truncate(most);
        addresses
    }

    /// Demand of organisations at all gateways, and the number of gateways.
    #[must_use]
    pub fn demand(&self, now: Duration) -> (Vec<OrganisationDemand>, u32) {
        let mut rates: HashMap<&Arc<str>, f32> = HashMap::new();
        let counted = self.gateways.values();
        let counted = counted.filter(|known| now.saturating_sub(known.heard_at) <= GATEWAY_COUNTED);
        let mut gateways = 0;
        for known in counted {
            gateways += 1;
            for demand in &known.presence.demand {
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
        (total.collect(), gateways)
    }

    /// Demand that a gateway reported last, as it is contained in [`Self::demand`].
    #[must_use]
    pub fn demand_of(&self, gateway: &str) -> Vec<OrganisationDemand> {
        let known = self.gateways.get(gateway);
        known.map_or_else(Vec::new, |known| known.presence.demand.clone())
    }

    /// Adds what a gateway admitted since its last report. A new life of a gateway counts from 0.
    fn count_admitted(&mut self, presence: &GatewayPresence) {
        let known = self.gateways.get(&presence.instance);
        let known = known.filter(|known| known.presence.incarnation == presence.incarnation);
        for demand in &presence.demand {
            let before = known.and_then(|known| {
                let mut demands = known.presence.demand.iter();
                demands.find(|before| before.organisation == demand.organisation)
            });
            let before = before.map_or(0, |before| before.admitted);
            let total = self
                .admitted
                .entry(Arc::clone(&demand.organisation))
                .or_default();
            *total += demand.admitted.saturating_sub(before);
        }
    }

    /// Position of the newest evidence.
    #[must_use]
    pub const fn evidence_position(&self) -> u64 {
        self.evidence_position
    }

    /// Position of the newest evidence with a failure. Only failures are worth an answer at once.
    #[must_use]
    pub const fn failure_position(&self) -> u64 {
        self.failure_position
    }

    /// Evidence after a position that other gateways than `gateway` saw, with its gateway.
    #[must_use]
    pub fn evidence_since(&self, position: u64, gateway: &str) -> Vec<(u32, ServerEvidence)> {
        let own = radishpaddle_model::short_key(gateway);
        let newer = self.evidence.iter().rev();
        newer
            .take_while(|known| known.position > position)
            .filter(|known| known.gateway != own)
            .map(|known| (known.gateway, known.evidence))
            .collect()
    }

    fn add_evidence(&mut self, gateway: u32, evidence: ServerEvidence) {
        self.evidence_position += 1;
        if evidence.failed > 0 {
            self.failure_position = self.evidence_position;
        }
        self.evidence.push_back(KnownEvidence {
            position: self.evidence_position,
            gateway,
            evidence,
        });
        if self.evidence.len() > MAX_EVIDENCE {
            self.evidence.pop_front();
        }
    }

    fn hear_gateway(&mut self, presence: GatewayPresence, heard_at: Duration) -> bool {
        let rank = |presence: &GatewayPresence| (presence.incarnation, presence.sequence);
        let known = self.gateways.get(&presence.instance);
        if known.is_some_and(|known| rank(&known.presence) >= rank(&presence)) {
            return false;
        }
        self.count_admitted(&presence);
        let known = KnownGateway {
            presence: presence.clone(),
            heard_at,
        };
        self.gateways.insert(presence.instance, known);
        true
    }
}
