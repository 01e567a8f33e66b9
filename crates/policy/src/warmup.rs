//! Permits for requests to cold backend servers, of which each tolerates a low rate over the whole fleet.
//!
//! Load pattern: many backend servers start, or return to service, while the fleet is under load. Each gateway alone sends
//! little, but all of them together would send more than a cold server tolerates.
//!
//! The rate of a server is divided among few gateways, which are chosen by rendezvous hashing over a roster that all
//! gateways agree on. A gateway uses a roster for [`ROSTER_LEASE`] after a proof that it is the newest one, and a changed
//! roster only [`ROSTER_ACTIVATION`] after it learned of it. Two rosters are therefore never used within one window,
//! whatever happens to gateways and links.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::{mix_hash, name_hash};

/// Window in which the requests to a cold server are limited.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Age of the newest proof up to which a gateway uses its roster. Proofs are a few hundred milliseconds old in normal
/// operation; a longer lease delays each change of the roster.
pub const ROSTER_LEASE: Duration = Duration::from_millis(1_500);

/// Maximum time between a permit and the sending of its request.
pub const PERMIT_VALIDITY: Duration = Duration::from_millis(250);

/// Tolerance for clocks that run at different speeds.
const CLOCK_MARGIN: Duration = Duration::from_millis(250);

/// Time after which a gateway uses a changed roster. Others may use the previous one for the lease, their requests leave
/// within [`PERMIT_VALIDITY`], and a whole window without requests must follow.
pub const ROSTER_ACTIVATION: Duration = ROSTER_LEASE
    .saturating_add(PERMIT_VALIDITY)
    .saturating_add(WINDOW)
    .saturating_add(CLOCK_MARGIN);

/// Maximum number of gateways that share the rate of one server. Larger numbers have no use, since no fleet is as large.
const MAX_SHARING_GATEWAYS: f64 = 10_000.0;

/// Smallest share of its requests that a server gets when it has just become warm.
const MIN_RAMP_SHARE: f64 = 0.1;

/// Limit on the requests to one cold server over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupLimit {
    /// Requests per second that the server tolerates while it is cold.
    pub rate_per_s: f64,
    /// Factor by which that may be exceeded.
    pub overage: f64,
    /// Requests by which it may be exceeded in addition.
    pub slack: f64,
}

impl WarmupLimit {
    /// Maximum number of requests in each window of one second.
    #[must_use]
    pub fn bound(&self) -> f64 {
        self.rate_per_s * self.overage + self.slack
    }

    /// Number of gateways that may send to one cold server; 0 when the bound is below one request.
    #[must_use]
    pub fn sharing_gateways(&self) -> usize {
        let bound = self.bound();
        if !bound.is_finite() || bound < 1.0 {
            return 0;
        }
        let sharing = (bound - self.rate_per_s).clamp(1.0, MAX_SHARING_GATEWAYS);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is within its bounds, and rounded down"
        )]
        let sharing = sharing as usize;
        sharing
    }

    /// Minimum time between two requests of one of `gateways` gateways to the server; `None` when each may send only one
    /// request. It is what a token bucket with room for one token and the gateway's part of the rate permits.
    #[must_use]
    pub fn spacing(&self, gateways: usize) -> Option<Duration> {
        let sharing = f64::from(u32::try_from(self.sharing_gateways()).unwrap_or(u32::MAX));
        let rate = self.rate_per_s.min(self.bound() - sharing);
        let gateways = f64::from(u32::try_from(gateways).unwrap_or(u32::MAX));
        let spacing = gateways / rate;
        let is_usable = rate > 0.0 && spacing.is_finite();
        is_usable.then(|| Duration::try_from_secs_f64(spacing).unwrap_or(Duration::MAX))
    }
}

/// Roster of gateways as one gateway knows it.
#[derive(Debug, Default)]
struct Roster {
    number: u64,
    /// Hash and name of each gateway.
    gateways: Vec<(u64, Arc<str>)>,
    usable_from: Duration,
    /// Number of gateways that precede this one at a server; `None` if this one is not in the roster.
    positions: RefCell<HashMap<Box<str>, Option<usize>>>,
    /// Local time at which the roster was still the newest one.
    proved_at: Option<Duration>,
}

impl Roster {
    /// Number of gateways that precede this one at a server.
    fn position(&self, server: &str, own: &Arc<str>) -> Option<usize> {
        let server = name_hash(server);
        let rank = |hash: u64| mix_hash(server ^ hash);
        let own_rank = (rank(name_hash(own)), own);
        let is_member = self.gateways.iter().any(|(_, name)| name == own);
        let before = self.gateways.iter();
        let before = before.filter(|(hash, name)| (rank(*hash), name) < own_rank);
        is_member.then(|| before.count())
    }
}

/// Last request of this gateway to a server.
#[derive(Debug, Clone, Copy)]
struct LastRequest {
    /// Local time at which it left, or was permitted if it has not left.
    at: Duration,
    /// Whether it has a permit and has not left. There is no other permit meanwhile: otherwise several requests that wait for
    /// connections could leave together with later ones.
    waiting: bool,
    /// Whether the server was cold.
    cold: bool,
}

/// Permits of one gateway for requests to cold servers.
#[derive(Debug)]
pub struct Permits {
    own: Arc<str>,
    started_at: Duration,
    roster: Roster,
    last_requests: HashMap<Arc<str>, LastRequest>,
}

impl Permits {
    /// Creates the permits of the gateway with this name, whose process starts now.
    #[must_use]
    pub fn new(own: Arc<str>, now: Duration) -> Self {
        Self {
            own,
            started_at: now,
            roster: Roster::default(),
            last_requests: HashMap::new(),
        }
    }

    /// Number of the known roster; 0 before the first one.
    #[must_use]
    pub const fn roster_number(&self) -> u64 {
        self.roster.number
    }

    /// Replaces the roster by a newer one. Returns `false` when the known one is at least as new.
    pub fn set_roster(&mut self, number: u64, gateways: &[Arc<str>], now: Duration) -> bool {
        if number <= self.roster.number {
            return false;
        }
        let gateways = gateways.iter();
        self.roster = Roster {
            number,
            gateways: gateways
                .map(|name| (name_hash(name), Arc::clone(name)))
                .collect(),
            usable_from: now + ROSTER_ACTIVATION,
            positions: RefCell::default(),
            proved_at: self.roster.proved_at,
        };
        true
    }

    /// Records a proof that the roster with this number was the newest one at a local time.
    pub fn prove_roster(&mut self, number: u64, at: Duration) {
        if number == self.roster.number {
            let newest = self.roster.proved_at;
            self.roster.proved_at = Some(newest.map_or(at, |newest| newest.max(at)));
        }
    }

    /// Suspends the use of the roster after a change of the limits, as after a change of the roster: gateways with the
    /// previous limits divide the rate differently.
    pub fn limits_changed(&mut self, now: Duration) {
        self.roster.usable_from = now + ROSTER_ACTIVATION;
    }

    /// Whether the roster may be used.
    #[must_use]
    pub fn is_roster_usable(&self, now: Duration) -> bool {
        let roster = &self.roster;
        let is_proved = |at| now.saturating_sub(at) < ROSTER_LEASE;
        now >= roster.usable_from && roster.proved_at.is_some_and(is_proved)
    }

    /// Whether a request may be sent to a cold server now.
    #[must_use]
    pub fn may_send(&self, server: &str, limit: &WarmupLimit, now: Duration) -> bool {
        if !self.is_roster_usable(now) {
            return false;
        }
        let sharing = limit.sharing_gateways().min(self.roster.gateways.len());
        if !self.shares(server, sharing) {
            return false;
        }
        match self.last_requests.get(server) {
            Some(last) if last.waiting && now.saturating_sub(last.at) <= PERMIT_VALIDITY => false,
            Some(last) if last.cold => limit
                .spacing(sharing)
                .is_some_and(|spacing| now.saturating_sub(last.at) > spacing),
            // A process that was restarted does not know what its predecessor sent.
            last => {
                let since = last.map_or(self.started_at, |last| last.at.max(self.started_at));
                now.saturating_sub(since) > WINDOW
            }
        }
    }

    /// Whether this gateway is one of those that share the rate of a server.
    fn shares(&self, server: &str, sharing: usize) -> bool {
        let mut positions = self.roster.positions.borrow_mut();
        if let Some(position) = positions.get(server) {
            return position.is_some_and(|position| position < sharing);
        }
        let position = self.roster.position(server, &self.own);
        positions.insert(server.into(), position);
        position.is_some_and(|position| position < sharing)
    }

    /// Records that a request to a server gets its permit now, or is sent now if the server is not cold.
    pub fn record_sent(&mut self, server: &Arc<str>, cold: bool, now: Duration) {
        let request = LastRequest {
            at: now,
            waiting: cold,
            cold,
        };
        self.last_requests.insert(Arc::clone(server), request);
    }

    /// Records that a request with a permit leaves now. Returns `false` when the permit, which was given at `permitted_at`,
    /// is not valid any more, for example because the process was frozen.
    pub fn confirm(&mut self, server: &Arc<str>, permitted_at: Duration, now: Duration) -> bool {
        if now.saturating_sub(permitted_at) > PERMIT_VALIDITY {
            return false;
        }
        let request = LastRequest {
            at: now,
            waiting: false,
            cold: true,
        };
        self.last_requests.insert(Arc::clone(server), request);
        true
    }

    /// Removes the records of servers that are not known any more. Requests of the last window still count.
    pub fn forget_old(&mut self, is_known: impl Fn(&str) -> bool, now: Duration) {
        self.last_requests
            .retain(|server, last| is_known(server) || now.saturating_sub(last.at) <= WINDOW);
        let mut positions = self.roster.positions.borrow_mut();
        positions.retain(|server, _| is_known(server));
    }
}

/// Share of its usual requests that a server gets some time after it has become warm; it grows to 1 within `length`.
#[must_use]
pub fn ramp_share(warm_for: Duration, length: Duration) -> f64 {
    if warm_for >= length {
        return 1.0;
    }
    let share = warm_for.as_secs_f64() / length.as_secs_f64();
    share.max(MIN_RAMP_SHARE)
}
