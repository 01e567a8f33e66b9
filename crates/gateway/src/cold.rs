//! Cold backend servers: which servers are cold, and which of them may get a request now.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_kernel::{LogSampling, boot_clock};
use radishpaddle_model::{ServerIncarnation, ServiceWarmup};
use radishpaddle_policy::warmup::{Permits, WarmupLimit, ramp_share};
use radishpaddle_wire::FEATURE_ROSTER;
use radishpaddle_wire::message::PollReplyExtension;
use rand::Rng as _;
use serde_json::json;

use crate::gateway::Shared;
use crate::pool::Pools;
use crate::server::Server;
use crate::settings::WarmupSettings;
use crate::zones::Zones;

/// Warm-up of the servers of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Warmup {
    limit: WarmupLimit,
    length: Duration,
}

/// State of a server whose service has a warm-up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Warmth {
    /// It gets its usual requests, or this share of them while it has been warm for a short time.
    Warm { share: f64 },
    /// It is cold until this local time, and may get a request now or not.
    Cold { until: Duration, may_send: bool },
}

/// Warm-up of all services, and the permits for requests to cold servers.
#[derive(Debug)]
pub(crate) struct ColdServers {
    warmups: HashMap<Arc<str>, Warmup>,
    pub(crate) permits: Permits,
}

impl ColdServers {
    /// Creates the state of the gateway with this name.
    pub(crate) fn new(instance: Arc<str>, now: Duration) -> Self {
        Self {
            warmups: HashMap::new(),
            permits: Permits::new(instance, now),
        }
    }

    /// Replaces the warm-ups of the configuration in use.
    pub(crate) fn set_warmups(
        &mut self,
        warmups: &[ServiceWarmup],
        tolerance: &WarmupSettings,
        now: Duration,
    ) {
        let warmups = warmups.iter().map(|warmup| {
            let limit = WarmupLimit {
                rate_per_s: warmup.rate_per_s,
                overage: tolerance.overage,
                slack: tolerance.slack,
            };
            let length = warmup.length();
            (Arc::clone(&warmup.service), Warmup { limit, length })
        });
        let warmups = warmups.collect();
        if self.warmups != warmups {
            self.warmups = warmups;
            self.permits.limits_changed(now);
        }
    }

    /// Whether the servers of a service have a warm-up.
    pub(crate) fn has_warmup(&self, service: &str) -> bool {
        self.warmups.contains_key(service)
    }

    /// Returns the state of a server; `None` when its service has no warm-up.
    pub(crate) fn warmth(&self, server: &Server, zones: &Zones, now: Duration) -> Option<Warmth> {
        let warmup = self.warmups.get(&server.presence.service)?;
        // What the server announced before the end of the evacuation may be outdated: it has had no requests.
        let ended_at = zones.ended_at(&server.presence.zone);
        let ended_at = ended_at.filter(|ended_at| server.heard_at <= *ended_at);
        let until = ended_at.map(|ended_at| ended_at + warmup.length);
        let until = server.cold_until.max(until);
        let Some(until) = until else {
            return Some(Warmth::Warm { share: 1.0 });
        };
        if now < until {
            let may_send = self
                .permits
                .may_send(&server.presence.id, &warmup.limit, now);
            return Some(Warmth::Cold { until, may_send });
        }
        let share = ramp_share(now.saturating_sub(until), warmup.length);
        Some(Warmth::Warm { share })
    }

    /// Whether a server is cold.
    pub(crate) fn is_cold(&self, server: &Server, zones: &Zones, now: Duration) -> bool {
        let warmth = self.warmth(server, zones, now);
        matches!(warmth, Some(Warmth::Cold { .. }))
    }
}

impl Pools {
    /// Sets the name of this gateway, which identifies it in the roster; its process starts now.
    pub fn set_instance(&mut self, instance: Arc<str>, now: Duration) {
        self.cold = ColdServers::new(instance, now);
    }

    /// Replaces the warm-ups of the configuration in use.
    pub fn set_warmups(
        &mut self,
        warmups: &[ServiceWarmup],
        tolerance: &WarmupSettings,
        now: Duration,
    ) {
        self.cold.set_warmups(warmups, tolerance, now);
    }

    /// Replaces the roster of gateways by a newer one. Returns `false` when the known one is at least as new.
    pub fn set_roster(&mut self, number: u64, gateways: &[Arc<str>], now: Duration) -> bool {
        self.cold.permits.set_roster(number, gateways, now)
    }

    /// Records a proof that the roster with this number was the newest one at a local time.
    pub fn prove_roster(&mut self, number: u64, at: Duration) {
        self.cold.permits.prove_roster(number, at);
    }

    /// Warm-ups of the services.
    pub(crate) const fn cold_mut(&mut self) -> &mut ColdServers {
        &mut self.cold
    }

    /// Number of cold servers.
    #[must_use]
    pub(crate) fn cold_servers(&self, now: Duration) -> usize {
        let servers = self.services.values().flat_map(HashMap::values);
        let is_cold = |server: &&Server| self.cold.is_cold(server, &self.zones, now);
        servers.filter(is_cold).count()
    }

    /// Removes the records of requests to servers that are not known any more.
    pub(crate) fn forget_old_requests(&mut self, now: Duration) {
        let known = &self.service_of;
        let permits = &mut self.cold.permits;
        permits.forget_old(|server| known.contains_key(server), now);
    }

    /// Whether a request may be sent to a server now, with the permit that was given at `permitted_at`.
    pub fn may_leave(
        &mut self,
        server: &ServerIncarnation,
        permitted_at: Option<Duration>,
        now: Duration,
    ) -> bool {
        if let Some(permitted_at) = permitted_at {
            return self.cold.permits.confirm(&server.name, permitted_at, now);
        }
        let service = self.service_of.get(&server.name);
        let servers = service.and_then(|service| self.services.get(service));
        let known = servers.and_then(|servers| servers.get(&server.name));
        known.is_none_or(|known| {
            !self.zones.is_evacuated(&known.presence.zone)
                && !self.cold.is_cold(known, &self.zones, now)
        })
    }

    /// Returns random servers to leave out of one selection, so that those that became warm recently get only a
    /// part of their usual requests.
    pub(crate) fn draw_held_back(&mut self, service: &str, now: Duration) -> Vec<Arc<str>> {
        if !self.cold.has_warmup(service) {
            return Vec::new();
        }
        let servers = self.services.get(service).into_iter().flatten();
        let mut held_back = Vec::new();
        for (name, server) in servers {
            if let Some(Warmth::Warm { share }) = self.cold.warmth(server, &self.zones, now)
                && share < 1.0
                && !self.rng.random_bool(share)
            {
                held_back.push(Arc::clone(name));
            }
        }
        held_back
    }
}

impl Shared {
    /// Applies the warm-ups of the configuration in use, and the roster in a reply to a poll that was sent at `sent_at`.
    pub(crate) fn apply_warmups(
        &self,
        reply: &PollReplyExtension,
        config_version: u64,
        proof_age_ms: Option<u32>,
        sent_at: Duration,
    ) {
        let table = self.table();
        // The limits belong to the configuration, so a proof of the roster must cover the configuration as well.
        let is_current = table.config().version >= config_version
            && self.details_version() == table.config().version;
        if !is_current || reply.features & FEATURE_ROSTER == 0 {
            return;
        }
        let now = boot_clock::now();
        let warmups = table.config().warmups();
        let mut pools = self.pools();
        pools.set_warmups(warmups, &self.settings.warmup, now);
        let gateways: Vec<Arc<str>> = reply.roster.iter().map(|name| (&**name).into()).collect();
        let is_new = !gateways.is_empty() && pools.set_roster(reply.roster_number, &gateways, now);
        if let Some(age_ms) = proof_age_ms {
            let proved_at = sent_at.saturating_sub(Duration::from_millis(age_ms.into()));
            pools.prove_roster(reply.roster_number, proved_at);
        }
        drop(pools);
        if is_new {
            self.log.record(
                "roster",
                LogSampling::Each,
                || json!({"number": reply.roster_number, "gateways": gateways.len()}),
            );
        }
    }

    /// Number of the known roster of gateways; 0 before the first one.
    pub(crate) fn roster_number(&self) -> u64 {
        self.pools().cold_mut().permits.roster_number()
    }

    /// Whether a request may be sent to a server now that its connection is open. Since the selection, the zone may
    /// have been evacuated, the server may have become cold, or the permit, given at `permitted_at`, may have expired.
    pub(crate) fn may_leave(
        &self,
        server: &ServerIncarnation,
        permitted_at: Option<Duration>,
    ) -> bool {
        let now = boot_clock::now();
        self.pools().may_leave(server, permitted_at, now)
    }

    /// Updates the gauge of cold servers, and writes a log line when the first server becomes cold or the last one warm.
    pub(crate) fn count_cold_servers(&self) {
        let now = boot_clock::now();
        let (cold, usable) = {
            let mut pools = self.pools();
            pools.forget_old_requests(now);
            let usable = pools.cold_mut().permits.is_roster_usable(now);
            (pools.cold_servers(now), usable)
        };
        let before = self.metrics.cold_servers.get();
        let count = i64::try_from(cold).unwrap_or(i64::MAX);
        self.metrics.cold_servers.set(count);
        self.metrics.roster_usable.set(usable.into());
        if (before > 0) != (count > 0) {
            self.log.record(
                "cold_servers",
                LogSampling::Each,
                || json!({"cold": cold, "before": before, "roster_usable": usable}),
            );
        }
    }
}
