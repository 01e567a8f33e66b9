//! Fleet-wide rate limits of organisations, enforced by every gateway from the reports of all gateways.
//!
//! Each gateway keeps an estimate of the fleet-wide token bucket of an organisation. It takes a token for
//! each of its own requests at once, and tokens for the requests of other gateways when the coordinators
//! report them, a fraction of a second late. While the estimate exceeds what other gateways may have taken
//! since their newest reports, requests are admitted from it. Otherwise they are admitted from a local
//! token bucket, which refills at this gateway's share of the rate, unless the fleet-wide bucket is far in
//! deficit. The share follows the gateway's share of the demand, so that the shares of all gateways add up
//! to the rate.
//!
//! Load pattern: an organisation that exceeds its rate at all gateways at once, in fleets of one to some hundred
//! gateways, while reports of the other gateways are late or missing.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::{Organisation, OrganisationDemand};
use rand::Rng as _;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

/// Time constant in seconds of the moving average of the demand.
const DEMAND_DECAY_TIME_S: f64 = 1.0;

/// Delay in seconds until a request of another gateway is known here: a poll of that gateway, an exchange between
/// coordinators and a poll of this gateway.
const REPORT_DELAY_S: f64 = 0.35;

/// Share of the burst that is reserved for requests that other gateways admit before their reports arrive.
const RESERVED_BURST_SHARE: f64 = 0.05;

/// Deficit of the fleet-wide bucket, as a share of the tolerance, above which nothing is admitted until the bucket has
/// recovered. Gateways cause a deficit while they do not know of each other's requests.
const ALLOWED_DEFICIT_SHARE: f64 = 0.25;

/// Maximum deficit in seconds of the sustained rate that is carried over. It ends the refusals soon when a coordinator
/// counted requests twice.
const MAX_DEFICIT_S: f64 = 2.0;

/// Share of the tolerance that the local buckets of all gateways may add to the limit in total.
const LOCAL_TOLERANCE_SHARE: f64 = 0.2;

/// Share of the tolerance that the local buckets of all gateways may hold in total when reports stop. Without reports a
/// gateway does not know what the others admit, and one token at each of many gateways would exceed a small limit.
const UNREPORTED_TOLERANCE_SHARE: f64 = 0.5;

/// Number of reports by which the known demand of other gateways lags behind the own demand; there are about ten
/// reports per second.
const DEMAND_LAG_REPORTS: usize = 2;

/// Weight of the newest report in the moving average of this gateway's share of the demand; there are about ten
/// reports per second.
const SHARE_SMOOTHING_FACTOR: f64 = 0.05;

/// Share of the gateways that the reports must cover for this gateway's share of the demand to be updated. Otherwise each
/// side of a partition would take the part of the other.
const MIN_KNOWN_SHARE: f64 = 0.8;

/// Age of the newest report above which the estimate of the fleet-wide bucket is not used.
const MAX_REPORT_AGE: Duration = Duration::from_millis(300);

/// Tolerance of the rate limit of an organisation over the whole fleet.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaSettings {
    /// Window in milliseconds over which requests are counted.
    pub window_ms: u64,
    /// Share of the limit by which it may be exceeded.
    pub overage: f64,
    /// Requests by which the limit may be exceeded in addition.
    pub slack: f64,
}

/// Fleet-wide rate limit of one organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Sustained rate in requests per second.
    pub rate_per_s: f64,
    /// Capacity of the token bucket: requests that may arrive at once above the rate.
    pub burst: f64,
}

impl From<&Organisation> for Limit {
    fn from(organisation: &Organisation) -> Self {
        Self {
            rate_per_s: organisation.rate_per_s,
            burst: organisation.burst,
        }
    }
}

/// State of the quota when a request exceeded the limit of its organisation, for the decision log.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct OverLimit {
    /// Estimated time in milliseconds until this gateway can admit a request.
    pub wait_ms: u64,
    /// Tokens in the estimate of the fleet-wide bucket; negative when too many requests were admitted.
    pub level: f64,
    /// Tokens in the local bucket of this gateway.
    pub part: f64,
    /// Requests per second of the organisation at all gateways, admitted or not.
    pub fleet_per_s: f64,
    /// Age of the newest report on all gateways in milliseconds; `None` before the first one.
    pub report_age_ms: Option<u64>,
}

/// Demand of all gateways as reported by a coordinator.
#[derive(Debug, Clone, Default)]
pub struct FleetDemand {
    /// Identifier of the run of the coordinator process; its counters restart with each run.
    pub coordinator: u64,
    /// Demand and admitted requests of all gateways in total, by organisation.
    pub total: Vec<OrganisationDemand>,
    /// Demand and admitted requests of this gateway that are part of the totals.
    pub own: Vec<OrganisationDemand>,
    /// Number of gateways that share the limits.
    pub gateways: u32,
    /// Number of these gateways whose part of the totals is old.
    pub unknown_gateways: u32,
}

/// Quota state of one organisation at this gateway.
#[derive(Debug)]
struct OrganisationQuota {
    limit: Limit,
    /// Estimated tokens in the fleet-wide bucket; negative when too many requests were admitted.
    fleet_tokens: f64,
    /// Tokens in the local bucket of this gateway.
    local_tokens: f64,
    /// Whether the local bucket has been reduced since the newest report became too old.
    is_reduced: bool,
    /// Local time of the last refill of the fleet-wide bucket.
    fleet_refilled_at: Duration,
    /// Local time of the last refill of the local bucket.
    local_refilled_at: Duration,
    /// Moving average of the requests at this gateway.
    demand_per_s: f64,
    demand_updated_at: Duration,
    /// Requests that this gateway has admitted since its start.
    admitted: u64,
    /// Requests that other gateways admitted according to the counters of the coordinator.
    others_admitted: Option<u64>,
    /// Newest reported demand of all gateways.
    total_per_s: f64,
    /// Demand of this gateway that is included in the total.
    own_per_s: f64,
    /// Demand of this gateway in the newest reports, oldest first.
    recent_own_per_s: [f64; DEMAND_LAG_REPORTS],
    /// Moving average of this gateway's share of the demand; `None` before the first report.
    share: Option<f64>,
}

/// Quota states of all organisations at this gateway.
#[derive(Debug)]
pub struct Quota {
    settings: QuotaSettings,
    rng: SmallRng,
    organisations: HashMap<Arc<str>, OrganisationQuota>,
    coordinator: u64,
    gateways: u32,
    reported_at: Option<Duration>,
    /// Levels of the fleet-wide buckets at the start of this gateway, for the first limits.
    initial_tokens: HashMap<Arc<str>, f64>,
    /// Share of the gateways that the newest report covers.
    known_share: f64,
}

impl Quota {
    /// Creates a quota without organisations. The generator must differ between gateways.
    #[must_use]
    pub fn new(settings: QuotaSettings, rng: SmallRng) -> Self {
        Self {
            settings,
            rng,
            organisations: HashMap::new(),
            coordinator: 0,
            gateways: 1,
            reported_at: None,
            initial_tokens: HashMap::new(),
            known_share: 1.0,
        }
    }

    /// Sets the levels of the fleet-wide buckets that a coordinator reported to this gateway at its start. They apply to the
    /// organisations of the next limits that have no state yet. Returns the number of levels that were ignored because they
    /// are not finite; such a bucket starts empty.
    pub fn set_initial_tokens(
        &mut self,
        levels: impl IntoIterator<Item = (Arc<str>, f64)>,
    ) -> usize {
        let mut ignored = 0;
        for (organisation, tokens) in levels {
            ignored += usize::from(!tokens.is_finite());
            let tokens = if tokens.is_finite() { tokens } else { 0.0 };
            self.initial_tokens.insert(organisation, tokens);
        }
        ignored
    }

    /// Sets the limits of the organisations, so that requests at other gateways count before the first request here. The
    /// fleet-wide bucket of a new organisation is full unless a coordinator reported its level.
    pub fn set_limits(
        &mut self,
        limits: impl IntoIterator<Item = (Arc<str>, Limit)>,
        now: Duration,
    ) {
        for (organisation, limit) in limits {
            self.start_organisation(&organisation, limit, now);
        }
        self.initial_tokens.clear();
    }

    /// Creates the state of an organisation with the level that a coordinator reported, if there is one.
    fn start_organisation(&mut self, name: &Arc<str>, limit: Limit, now: Duration) {
        let is_new = !self.organisations.contains_key(name);
        let initial_tokens = self.initial_tokens.remove(name).filter(|_| is_new);
        let local_tokens = self.draw_unreported_tokens(self.tolerance(limit));
        let quota = self.organisation(name, limit, now);
        if let Some(tokens) = initial_tokens {
            // A level above the capacity, or far below zero, comes from an invalid report.
            let max_deficit = limit.rate_per_s * MAX_DEFICIT_S;
            quota.fleet_tokens = tokens.max(-max_deficit).min(limit.burst.max(1.0));
            quota.local_tokens = quota.local_tokens.min(local_tokens);
        }
    }

    /// Requests by which the limit may be exceeded in a window.
    fn tolerance(&self, limit: Limit) -> f64 {
        let window_s = Duration::from_millis(self.settings.window_ms).as_secs_f64();
        (limit.rate_per_s * window_s + limit.burst) * self.settings.overage + self.settings.slack
    }

    /// Applies the demand of all gateways that a coordinator reported.
    pub fn set_demand(&mut self, demand: &FleetDemand, now: Duration) {
        let follows_gap = self.reported_at.is_some() && !self.is_current(now);
        self.reported_at = Some(now);
        self.gateways = demand.gateways.max(1);
        let unknown = f64::from(demand.unknown_gateways) / f64::from(self.gateways);
        self.known_share = (1.0 - unknown).max(0.0);
        let same_counters = self.coordinator == demand.coordinator;
        self.coordinator = demand.coordinator;
        for total in &demand.total {
            let own = demand.own.iter();
            let own = own
                .filter(|own| own.organisation == total.organisation)
                .map(|own| (own.admitted, own.rate_per_s))
                .next();
            let (own_admitted, own_per_s) = own.unwrap_or_default();
            // An organisation without a limit has no bucket.
            let Some(quota) = self.organisations.get_mut(&total.organisation) else {
                continue;
            };
            let others = total.admitted.saturating_sub(own_admitted);
            quota.refill_fleet(!follows_gap, self.known_share, now);
            match quota.others_admitted.filter(|_| same_counters) {
                Some(known) => quota.fleet_tokens -= as_f64(others.saturating_sub(known)),
                // The counters of another coordinator do not tell what was admitted in the meantime.
                None if follows_gap => quota.fleet_tokens = quota.fleet_tokens.min(0.0),
                None => (),
            }
            quota.others_admitted = Some(others);
            quota.total_per_s = f64::from(total.rate_per_s);
            quota.own_per_s = f64::from(own_per_s);
            if self.known_share >= MIN_KNOWN_SHARE {
                quota.update_share();
            }
        }
    }

    /// Returns the demand and admitted requests of this gateway, for its next report.
    pub fn own_demand(&mut self, now: Duration) -> Vec<OrganisationDemand> {
        let demands = self.organisations.iter_mut().map(|(name, quota)| {
            quota.decay_demand(now);
            #[expect(
                clippy::cast_possible_truncation,
                reason = "a rate needs no more digits than f32 has"
            )]
            let rate_per_s = quota.demand_per_s as f32;
            OrganisationDemand {
                organisation: Arc::clone(name),
                rate_per_s,
                admitted: quota.admitted,
            }
        });
        demands.filter(|demand| demand.admitted > 0).collect()
    }

    /// Counts a request and admits it if the organisation is within its limit.
    ///
    /// # Errors
    ///
    /// Returns the state of the quota when the organisation is over its limit.
    pub fn admit(
        &mut self,
        organisation: &Arc<str>,
        limit: Limit,
        now: Duration,
    ) -> Result<(), OverLimit> {
        let (gateways, known_share) = (f64::from(self.gateways), self.known_share);
        let tolerance = self.tolerance(limit);
        let is_current = self.is_current(now);
        let report_age = self.reported_at.map(|at| now.saturating_sub(at));
        let initial_tokens = self.draw_unreported_tokens(tolerance);
        let quota = self.organisation(organisation, limit, now);
        quota.decay_demand(now);
        quota.demand_per_s += 1.0 / DEMAND_DECAY_TIME_S;
        let local_capacity = 1.0 + tolerance * LOCAL_TOLERANCE_SHARE / gateways;
        quota.refill_fleet(is_current, known_share, now);
        let local_rate = quota.refill_local(local_capacity, gateways, now);
        if !is_current && !quota.is_reduced {
            let unreported = report_age
                .unwrap_or_default()
                .saturating_sub(MAX_REPORT_AGE);
            let allowed = initial_tokens + local_rate * unreported.as_secs_f64();
            quota.local_tokens = quota.local_tokens.min(allowed);
        }
        quota.is_reduced = !is_current;
        let unreported = (quota.total_per_s - quota.own_per_s).max(0.0) * REPORT_DELAY_S;
        let reserved = unreported + 1.0 + RESERVED_BURST_SHARE * limit.burst;
        if is_current && quota.fleet_tokens >= reserved {
            quota.consume_fleet_token();
            return Ok(());
        }
        let excess_deficit = -quota.fleet_tokens - tolerance * ALLOWED_DEFICIT_SHARE;
        let has_recovered = !is_current || excess_deficit <= 0.0;
        if has_recovered && quota.local_tokens >= 1.0 {
            quota.local_tokens -= 1.0;
            quota.consume_fleet_token();
            return Ok(());
        }
        let local_wait_s = (1.0 - quota.local_tokens) / local_rate.max(0.01);
        let recovery_s = excess_deficit / limit.rate_per_s;
        let wait_s = if has_recovered {
            local_wait_s
        } else {
            local_wait_s.max(recovery_s)
        };
        Err(OverLimit {
            wait_ms: milliseconds(Duration::from_secs_f64(wait_s.clamp(0.0, 60.0))),
            level: quota.fleet_tokens,
            part: quota.local_tokens,
            fleet_per_s: quota.total_per_s,
            report_age_ms: report_age.map(milliseconds),
        })
    }

    /// Draws the tokens with which the local bucket of this gateway continues when reports stop.
    ///
    /// The mean over all gateways is their part of the tolerance. The fraction is random, so that the gateways whose
    /// buckets reach a whole token are spread over time, and that all together admit at the rate.
    fn draw_unreported_tokens(&mut self, tolerance: f64) -> f64 {
        let part = tolerance * UNREPORTED_TOLERANCE_SHARE / f64::from(self.gateways);
        part + self.rng.random::<f64>()
    }

    /// Whether the newest report is recent.
    fn is_current(&self, now: Duration) -> bool {
        self.reported_at
            .is_some_and(|at| now.saturating_sub(at) <= MAX_REPORT_AGE)
    }

    /// State of an organisation with its newest limit.
    fn organisation(
        &mut self,
        name: &Arc<str>,
        limit: Limit,
        now: Duration,
    ) -> &mut OrganisationQuota {
        let quota = self
            .organisations
            .entry(Arc::clone(name))
            .or_insert_with(|| OrganisationQuota::new(limit, now));
        quota.limit = limit;
        quota
    }
}

impl OrganisationQuota {
    /// Creates the state of an organisation without requests.
    const fn new(limit: Limit, now: Duration) -> Self {
        Self {
            limit,
            fleet_tokens: limit.burst.max(1.0),
            local_tokens: 1.0,
            is_reduced: false,
            fleet_refilled_at: now,
            local_refilled_at: now,
            demand_per_s: 0.0,
            demand_updated_at: now,
            admitted: 0,
            others_admitted: None,
            total_per_s: 0.0,
            own_per_s: 0.0,
            recent_own_per_s: [0.0; DEMAND_LAG_REPORTS],
            share: None,
        }
    }

    /// Updates this gateway's share of the demand after a report.
    ///
    /// The share is averaged over many reports, because a few requests per second are spread unevenly over the gateways.
    /// The known demand of other gateways is older than the own demand, so it is compared with the own demand of an
    /// earlier report: with the newest one, each gateway would compute too large a share while the demand rises.
    fn update_share(&mut self) {
        let own_then = self.recent_own_per_s[0];
        self.recent_own_per_s.rotate_left(1);
        self.recent_own_per_s[DEMAND_LAG_REPORTS - 1] = self.own_per_s;
        let total_then = self.total_per_s - self.own_per_s + own_then;
        if total_then <= 0.0 {
            return;
        }
        let newest = (own_then / total_then).clamp(0.0, 1.0);
        let share = self.share.get_or_insert(newest);
        *share += (newest - *share) * SHARE_SMOOTHING_FACTOR;
    }

    /// Adds the tokens for the time since the last call to the fleet-wide bucket. Without current reports they may exceed
    /// its capacity, because the requests of other gateways are taken out only afterwards. Gateways that the reports do not
    /// cover may admit their part of the rate, which is left to them.
    fn refill_fleet(&mut self, is_current: bool, known_share: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.fleet_refilled_at).as_secs_f64();
        self.fleet_refilled_at = now;
        let max_deficit = self.limit.rate_per_s * MAX_DEFICIT_S;
        self.fleet_tokens =
            self.fleet_tokens.max(-max_deficit) + elapsed * self.limit.rate_per_s * known_share;
        if is_current {
            self.fleet_tokens = self.fleet_tokens.min(self.limit.burst.max(1.0));
        }
    }

    /// Adds the tokens for the time since the last call to the local bucket. Returns its refill rate in tokens per
    /// second.
    fn refill_local(&mut self, capacity: f64, gateways: f64, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.local_refilled_at).as_secs_f64();
        self.local_refilled_at = now;
        let rate = self.limit.rate_per_s * self.share.unwrap_or(1.0 / gateways);
        self.local_tokens = (self.local_tokens + elapsed * rate).min(capacity);
        rate
    }

    /// Counts an admitted request in the fleet-wide bucket.
    fn consume_fleet_token(&mut self) {
        self.fleet_tokens -= 1.0;
        self.admitted += 1;
    }

    /// Decays the moving average of the demand to the present time.
    fn decay_demand(&mut self, now: Duration) {
        let age = now.saturating_sub(self.demand_updated_at).as_secs_f64();
        self.demand_per_s *= (-age / DEMAND_DECAY_TIME_S).exp();
        self.demand_updated_at = now;
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of one report period are far below 2^52"
)]
const fn as_f64(count: u64) -> f64 {
    count as f64
}
