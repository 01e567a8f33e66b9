//! Part of this gateway in the fleet-wide limits of organisations.
//!
//! Coordinators add up what every gateway is asked for. Each gateway admits its part of the rate: all
//! that it is asked for and an even part of what is left over, or, when the fleet is asked for more
//! than the rate, a part in proportion. The parts of all gateways add up to the rate.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::settings::QuotaSettings;

/// Time over which the demand is averaged.
const DEMAND_WINDOW_S: f64 = 1.0;

/// Part of the tolerance that is used: parts change while requests are on their way.
const TOLERANCE_USED: f64 = 0.6;

/// What the whole fleet is asked for, as the coordinators know it.
#[derive(Debug, Clone, Default)]
pub struct FleetDemand {
    /// Requests per second at all gateways.
    pub total: HashMap<Arc<str>, f32>,
    /// What this gateway contributed.
    pub own: HashMap<Arc<str>, f32>,
    /// Gateways that share the limits.
    pub gateways: u32,
}

/// Limit of one organisation over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Sustained rate.
    pub rate_per_s: f64,
    /// Requests above the rate that may come at once.
    pub burst: f64,
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Duration,
    demand_per_s: f64,
    demand_at: Duration,
}

/// Buckets of all organisations at this gateway.
#[derive(Debug)]
pub struct Quota {
    settings: QuotaSettings,
    buckets: HashMap<Arc<str>, Bucket>,
    demand: FleetDemand,
}

impl Quota {
    /// Empty buckets; each starts full when its organisation asks first.
    #[must_use]
    pub fn new(settings: QuotaSettings) -> Self {
        Self {
            settings,
            buckets: HashMap::new(),
            demand: FleetDemand::default(),
        }
    }

    /// Takes what the coordinators know of the demand.
    pub fn set_demand(&mut self, demand: FleetDemand) {
        self.demand = demand;
    }

    /// Requests per second that each organisation asks for here.
    pub fn own_demand(&mut self, now: Duration) -> Vec<(Arc<str>, f32)> {
        let rates = self.buckets.iter_mut().map(|(name, bucket)| {
            bucket.fade(now);
            #[expect(
                clippy::cast_possible_truncation,
                reason = "a rate needs no more digits than f32 has"
            )]
            let rate = bucket.demand_per_s as f32;
            (Arc::clone(name), rate)
        });
        rates.filter(|(_, rate)| *rate > 0.01).collect()
    }

    /// Counts a request and tells whether it may run. Otherwise returns the time until one may.
    ///
    /// # Errors
    ///
    /// The organisation is over its limit.
    pub fn admit(
        &mut self,
        organisation: &Arc<str>,
        limit: Limit,
        now: Duration,
    ) -> Result<(), Duration> {
        let rate = self.part(organisation, limit);
        let depth = self.depth(limit, rate);
        let bucket = self
            .buckets
            .entry(Arc::clone(organisation))
            .or_insert_with(|| Bucket {
                tokens: depth,
                filled_at: now,
                demand_per_s: 0.0,
                demand_at: now,
            });
        bucket.fade(now);
        bucket.demand_per_s += 1.0 / DEMAND_WINDOW_S;
        let elapsed = now.saturating_sub(bucket.filled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(depth);
        bucket.filled_at = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - bucket.tokens) / rate.max(0.01);
        Err(Duration::from_secs_f64(missing.min(60.0)))
    }

    /// Rate of this gateway.
    fn part(&self, organisation: &Arc<str>, limit: Limit) -> f64 {
        let gateways = f64::from(self.demand.gateways.max(1));
        let total = self.demand.total.get(organisation);
        let own = self.demand.own.get(organisation);
        let (total, own) = (
            f64::from(total.copied().unwrap_or(0.0)),
            f64::from(own.copied().unwrap_or(0.0)),
        );
        if total <= limit.rate_per_s {
            own + (limit.rate_per_s - total) / gateways
        } else {
            limit.rate_per_s * own / total
        }
    }

    /// Tokens that the bucket holds at most: the part of the burst, and a part of the tolerance so that
    /// an organisation with few requests is not refused for their uneven spread over gateways.
    fn depth(&self, limit: Limit, rate: f64) -> f64 {
        let gateways = f64::from(self.demand.gateways.max(1));
        let window_s = Duration::from_millis(self.settings.window_ms).as_secs_f64();
        let tolerance = (limit.rate_per_s * window_s + limit.burst) * self.settings.overage
            + self.settings.slack;
        let share = if limit.rate_per_s > 0.0 {
            (rate / limit.rate_per_s).clamp(0.0, 1.0)
        } else {
            1.0 / gateways
        };
        limit.burst * share + tolerance * TOLERANCE_USED / gateways
    }
}

impl Bucket {
    fn fade(&mut self, now: Duration) {
        let age = now.saturating_sub(self.demand_at).as_secs_f64();
        self.demand_per_s *= (-age / DEMAND_WINDOW_S).exp();
        self.demand_at = now;
    }
}
