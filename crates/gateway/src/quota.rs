//! Fleet-wide limits of organisations, kept by every gateway from what all gateways report.
//!
//! Each gateway follows the one token bucket of an organisation: it takes its own requests out at once
//! and those of others when the coordinators report them, a fraction of a second late. While the bucket
//! holds more than others may have taken meanwhile, it admits freely. Otherwise it admits its part of the
//! rate, in proportion to what it is asked for; the parts of all gateways add up to the rate.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::OrganisationDemand;
use serde::Serialize;

use crate::settings::QuotaSettings;

/// Time over which the demand is averaged.
const DEMAND_WINDOW_S: f64 = 1.0;

/// Time after which the requests of other gateways are known here: a poll there, an exchange between
/// coordinators and a poll here.
const REPORT_DELAY_S: f64 = 0.35;

/// Part of the burst that is kept for requests that others admit meanwhile.
const KEPT_BURST: f64 = 0.05;

/// Debt, as a part of the tolerance, above which the parts are lowered until it is paid back.
const DEBT_ALLOWED: f64 = 0.25;

/// Part of the rate that is admitted while there is debt.
const DEBT_RATE: f64 = 0.9;

/// Part of the tolerance that the buckets of all gateways may add to the limit together.
const TOLERANCE_USED: f64 = 0.2;

/// Reports after which the demand of others is known; about ten reports come in a second.
const OWN_REPORTS: usize = 2;

/// Weight of the newest report in the part of this gateway; about ten reports come in a second.
const SHARE_GAIN: f64 = 0.05;

/// Age of the newest report above which the view of the bucket is out of date.
const REPORT_VALID: Duration = Duration::from_millis(700);

/// Limit of one organisation over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Sustained rate.
    pub rate_per_s: f64,
    /// Requests above the rate that may come at once.
    pub burst: f64,
}

/// Why a request is over the limit of its organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub struct OverLimit {
    /// Time until a request may be admitted.
    pub wait_ms: u64,
    /// Tokens of the whole fleet, as far as known here.
    pub level: f64,
    /// Tokens of this gateway's part.
    pub part: f64,
    /// Requests per second that the organisation asks for at all gateways.
    pub fleet_per_s: f64,
    /// Age of the newest report of the other gateways.
    pub report_age_ms: Option<u64>,
}

/// What the coordinators know of the demand of all gateways.
#[derive(Debug, Clone, Default)]
pub struct FleetDemand {
    /// Life of the coordinator; its counts start anew with it.
    pub coordinator: u64,
    /// Demand and admitted requests of all gateways.
    pub total: Vec<OrganisationDemand>,
    /// What this gateway contributed.
    pub own: Vec<OrganisationDemand>,
    /// Gateways that share the limits.
    pub gateways: u32,
}

/// View of one organisation.
#[derive(Debug)]
struct View {
    /// Tokens in the bucket of the fleet, as far as known here; negative when too many were admitted.
    level: f64,
    /// Tokens of this gateway's own part.
    part: f64,
    filled_at: Duration,
    demand_per_s: f64,
    demand_at: Duration,
    admitted: u64,
    /// Requests that other gateways admitted, by the count of the coordinator.
    others_admitted: Option<u64>,
    /// Newest demand of all gateways and the part of it that was asked for here.
    total_per_s: f64,
    own_per_s: f64,
    /// Own demand in the newest reports, the oldest one first.
    own_before: [f64; OWN_REPORTS],
    /// Averaged part of this gateway in the demand; `None` before the first report.
    share: Option<f64>,
}

/// Views of all organisations.
#[derive(Debug)]
pub struct Quota {
    settings: QuotaSettings,
    views: HashMap<Arc<str>, View>,
    coordinator: u64,
    gateways: u32,
    reported_at: Option<Duration>,
}

impl Quota {
    /// Empty views; each starts with a full bucket when its organisation asks first.
    #[must_use]
    pub fn new(settings: QuotaSettings) -> Self {
        Self {
            settings,
            views: HashMap::new(),
            coordinator: 0,
            gateways: 1,
            reported_at: None,
        }
    }

    /// Takes what the coordinators know of the demand.
    pub fn set_demand(&mut self, demand: &FleetDemand, now: Duration) {
        let same_counts = self.coordinator == demand.coordinator;
        self.coordinator = demand.coordinator;
        self.gateways = demand.gateways.max(1);
        self.reported_at = Some(now);
        for total in &demand.total {
            let own = demand.own.iter();
            let own = own
                .filter(|own| own.organisation == total.organisation)
                .map(|own| (own.admitted, own.rate_per_s))
                .next();
            let (own_admitted, own_per_s) = own.unwrap_or_default();
            let view = self
                .views
                .entry(Arc::clone(&total.organisation))
                .or_insert_with(|| View::new(now));
            let others = total.admitted.saturating_sub(own_admitted);
            if let Some(known) = view.others_admitted.filter(|_| same_counts) {
                view.level -= as_f64(others.saturating_sub(known));
            }
            view.others_admitted = Some(others);
            view.total_per_s = f64::from(total.rate_per_s);
            view.own_per_s = f64::from(own_per_s);
            view.update_share();
        }
    }

    /// What this gateway is asked for and admitted, for its next report.
    pub fn own_demand(&mut self, now: Duration) -> Vec<OrganisationDemand> {
        let demands = self.views.iter_mut().map(|(name, view)| {
            view.fade(now);
            #[expect(
                clippy::cast_possible_truncation,
                reason = "a rate needs no more digits than f32 has"
            )]
            let rate_per_s = view.demand_per_s as f32;
            OrganisationDemand {
                organisation: Arc::clone(name),
                rate_per_s,
                admitted: view.admitted,
            }
        });
        demands.filter(|demand| demand.admitted > 0).collect()
    }

    /// Counts a request and tells whether it may run. Otherwise returns why not.
    ///
    /// # Errors
    ///
    /// The organisation is over its limit.
    pub fn admit(
        &mut self,
        organisation: &Arc<str>,
        limit: Limit,
        now: Duration,
    ) -> Result<(), OverLimit> {
        let gateways = f64::from(self.gateways);
        let window_s = Duration::from_millis(self.settings.window_ms).as_secs_f64();
        let tolerance = (limit.rate_per_s * window_s + limit.burst) * self.settings.overage
            + self.settings.slack;
        let is_current = self
            .reported_at
            .is_some_and(|at| now.saturating_sub(at) <= REPORT_VALID);
        let view = self
            .views
            .entry(Arc::clone(organisation))
            .or_insert_with(|| View::new(now));
        view.fade(now);
        view.demand_per_s += 1.0 / DEMAND_WINDOW_S;
        let depth = 1.0 + tolerance * TOLERANCE_USED / gateways;
        let rate = view.fill(limit, depth, tolerance * DEBT_ALLOWED, gateways, now);
        let unseen = (view.total_per_s - view.own_per_s).max(0.0) * REPORT_DELAY_S;
        let kept = unseen + 1.0 + KEPT_BURST * limit.burst;
        if is_current && view.level >= kept {
            view.take();
            return Ok(());
        }
        if view.part >= 1.0 {
            view.part -= 1.0;
            view.take();
            return Ok(());
        }
        let missing = (1.0 - view.part) / rate.max(0.01);
        let report_age = self.reported_at.map(|at| now.saturating_sub(at));
        Err(OverLimit {
            wait_ms: milliseconds(Duration::from_secs_f64(missing.min(60.0))),
            level: view.level,
            part: view.part,
            fleet_per_s: view.total_per_s,
            report_age_ms: report_age.map(milliseconds),
        })
    }
}

impl View {
    /// View of an organisation that nobody has asked for; the limit cuts the level down to the burst.
    const fn new(now: Duration) -> Self {
        Self {
            level: f64::MAX,
            part: 1.0,
            filled_at: now,
            demand_per_s: 0.0,
            demand_at: now,
            admitted: 0,
            others_admitted: None,
            total_per_s: 0.0,
            own_per_s: 0.0,
            own_before: [0.0; OWN_REPORTS],
            share: None,
        }
    }

    /// A few requests a second are spread unevenly, so their part is averaged over many reports.
    ///
    /// What is known of other gateways is older than the own demand. When the demand rises, comparing
    /// the newest own demand with it would give each gateway too large a part.
    fn update_share(&mut self) {
        let own_then = self.own_before[0];
        self.own_before.rotate_left(1);
        self.own_before[OWN_REPORTS - 1] = self.own_per_s;
        let total_then = self.total_per_s - self.own_per_s + own_then;
        if total_then <= 0.0 {
            return;
        }
        let newest = (own_then / total_then).clamp(0.0, 1.0);
        let share = self.share.get_or_insert(newest);
        *share += (newest - *share) * SHARE_GAIN;
    }

    /// Adds the tokens of the time since the last call; returns the rate of this gateway's part.
    fn fill(
        &mut self,
        limit: Limit,
        depth: f64,
        debt_allowed: f64,
        gateways: f64,
        now: Duration,
    ) -> f64 {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = now;
        let capacity = limit.burst.max(1.0);
        self.level = (self.level.min(capacity) + elapsed * limit.rate_per_s).min(capacity);
        let share = self.share.unwrap_or(1.0 / gateways);
        let mut rate = limit.rate_per_s * share;
        if self.level < -debt_allowed {
            rate *= DEBT_RATE;
        }
        self.part = (self.part + elapsed * rate).min(depth);
        rate
    }

    fn take(&mut self) {
        self.level -= 1.0;
        self.admitted += 1;
    }

    fn fade(&mut self, now: Duration) {
        let age = now.saturating_sub(self.demand_at).as_secs_f64();
        self.demand_per_s *= (-age / DEMAND_WINDOW_S).exp();
        self.demand_at = now;
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
