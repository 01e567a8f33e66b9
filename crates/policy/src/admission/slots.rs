//! Part of the slots of a service that one gateway may use.
//!
//! With exact information, requests are admitted while the fleet has free slots; those that waited at a bounded rate above
//! the own share, because all gateways with waiting requests see the same free slot at once. With delayed information, a
//! gateway has a limit that is never below its own share, rises gradually while the fleet has free slots and falls at once
//! when it has none. With old information, the limit is the own share with some overcommit.

use std::time::Duration;

use super::machine::seconds;

/// Maximum age of information about the load of other gateways. It covers two reporting periods of 300 ms.
const MAX_INFORMATION_AGE: Duration = Duration::from_millis(600);

/// Maximum age of information that counts as exact. Few requests start and end within it.
const EXACT_INFORMATION_AGE: Duration = Duration::from_millis(50);

/// Exponent of the ratio of slots to requests in flight by which the limit differs from the own share. With 1, gateways
/// with more requests than others use too little of the free slots; the larger, the more the limit swings.
const USE_EXPONENT: i32 = 2;

/// Minimum of the used part of the slots in the limit, which would otherwise be unbounded.
const MIN_USE: f64 = 0.02;

/// Used part of the slots below which arriving requests need not keep to the limit.
const AMPLE_USE: f64 = 0.8;

/// Exponential growth of the limit per second. Faster growth empties the queues of all gateways at once before the first
/// of these requests is visible in the information.
const LIMIT_GROWTH_PER_S: f64 = 1.0;

/// Longest period of growth between two observations.
const MAX_GROWTH_PERIOD: Duration = Duration::from_millis(100);

/// Factor by which a gateway may exceed its own share of the slots. Gateways are not loaded equally, and a backend server
/// queues some requests beyond its slots.
const OVERCOMMIT: f64 = 1.5;

/// Tolerance of comparisons with a whole number.
const ROUNDING_MARGIN: f64 = 1e-9;

/// Minimum period for which requests above the own share are counted.
const MIN_EXTRA_PERIOD: Duration = Duration::from_millis(20);

/// Load of the servers of a service over the fleet, as a gateway knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Requests in flight from all gateways, including this one.
    pub in_flight: u32,
    /// Requests that the servers run concurrently; 0 when no server accepts requests.
    pub slots: u32,
    /// Expected work of the requests in flight; zero when it is not known.
    pub outstanding: Duration,
    /// Age of the newest report of another gateway; `None` when there is none.
    pub age: Option<Duration>,
    /// Gateways of the fleet, at least this one.
    pub gateways: u32,
}

impl FleetView {
    /// Whether the load of the other gateways is known well enough. A single gateway knows it always.
    #[must_use]
    pub fn is_recent(&self) -> bool {
        self.gateways <= 1 || self.age.is_some_and(|age| age <= MAX_INFORMATION_AGE)
    }

    /// Requests that this gateway may have in flight with old information.
    #[must_use]
    pub fn own_share(&self) -> f64 {
        let share = f64::from(self.slots) / f64::from(self.gateways.max(1));
        let overcommit = if self.gateways <= 1 { 1.0 } else { OVERCOMMIT };
        (share * overcommit).max(1.0)
    }

    fn is_exact(&self) -> bool {
        self.gateways <= 1 || self.age.is_some_and(|age| age <= EXACT_INFORMATION_AGE)
    }

    /// Part of the slots that is in use.
    fn in_use(&self, pending: u32) -> f64 {
        let in_flight = self.in_flight.saturating_add(pending);
        f64::from(in_flight) / f64::from(self.slots.max(1))
    }

    /// Limit that this gateway may approach with delayed information.
    fn target_limit(&self, in_use: f64) -> f64 {
        let share = f64::from(self.slots) / f64::from(self.gateways.max(1));
        share / in_use.clamp(MIN_USE, 1.0).powi(USE_EXPONENT)
    }

    /// Expected time until the fleet has worked off what exceeds its slots.
    pub(super) fn excess_time(&self, mean: Duration) -> Duration {
        if !self.is_recent() || self.slots == 0 {
            return Duration::ZERO;
        }
        let slots = f64::from(self.slots);
        let work_s = if self.outstanding.is_zero() {
            f64::from(self.in_flight) * mean.as_secs_f64()
        } else {
            self.outstanding.as_secs_f64()
        };
        seconds(work_s / slots - mean.as_secs_f64())
    }
}

/// Requests of this gateway at one service.
#[derive(Debug, Clone, Default)]
pub(super) struct OwnSlots {
    /// Admitted requests that have not ended.
    pub(super) running: u32,
    /// Admitted requests that are not yet among the requests in flight.
    pub(super) pending: u32,
    /// Requests above the own share in the present period.
    extra: u32,
    extra_period_ends_at: Duration,
    /// Limit on the requests of this gateway with delayed information.
    limit: f64,
    observed_at: Duration,
}

impl OwnSlots {
    /// Whether one more request may be admitted. `waited` tells that it comes from the queue. `rounding`, from 0 to 1,
    /// differs between gateways, so that limits below 1 or between two numbers hold on average.
    pub(super) fn has_room(
        &self,
        view: &FleetView,
        waited: bool,
        rounding: f64,
        now: Duration,
    ) -> bool {
        if view.slots == 0 {
            // Waiting frees no slot. The attempt finds out why no server accepts requests.
            return true;
        }
        let next = f64::from(self.running) + 1.0;
        if !view.is_recent() {
            return next <= view.own_share() + ROUNDING_MARGIN;
        }
        if !view.is_exact() {
            return self.has_delayed_room(view, waited, rounding);
        }
        let in_flight = view.in_flight.saturating_add(self.pending);
        let free = view.slots.saturating_sub(in_flight);
        if free == 0 {
            return false;
        }
        let extra = if now < self.extra_period_ends_at {
            self.extra
        } else {
            0
        };
        let within_share = next <= view.own_share() + ROUNDING_MARGIN;
        within_share || !waited || extra < extra_allowance(view, free)
    }

    fn has_delayed_room(&self, view: &FleetView, waited: bool, rounding: f64) -> bool {
        let in_use = view.in_use(self.pending);
        let min_limit = if in_use < 1.0 { 1.0 } else { 0.0 };
        let limit = if !waited && in_use < AMPLE_USE {
            // Requests that arrive are bounded by their rate, other than those of a queue.
            view.target_limit(in_use)
        } else {
            self.limit
        };
        f64::from(self.running) + 1.0 <= (limit + rounding).max(min_limit)
    }

    /// Adapts the limit to the load of the fleet.
    pub(super) fn observe(&mut self, view: &FleetView, now: Duration) {
        if !view.is_recent() || view.is_exact() || view.slots == 0 {
            return;
        }
        let target = view.target_limit(view.in_use(self.pending));
        let elapsed = now.saturating_sub(self.observed_at).min(MAX_GROWTH_PERIOD);
        self.observed_at = now;
        let share = f64::from(view.slots) / f64::from(view.gateways.max(1));
        let grown = self.limit.max(share) * (LIMIT_GROWTH_PER_S * elapsed.as_secs_f64()).exp();
        self.limit = target.min(grown);
    }

    pub(super) fn admit(&mut self, view: &FleetView, waited: bool, now: Duration) {
        self.running += 1;
        self.pending += 1;
        if waited && f64::from(self.running) > view.own_share() {
            if now >= self.extra_period_ends_at {
                self.extra = 0;
                let age = view.age.unwrap_or_default();
                self.extra_period_ends_at = now + age.max(MIN_EXTRA_PERIOD);
            }
            self.extra += 1;
        }
    }
}

/// Requests above its share that one gateway may admit from its queue until its information is renewed.
fn extra_allowance(view: &FleetView, free: u32) -> u32 {
    free.saturating_mul(2).div_ceil(view.gateways.max(1)).max(1)
}
