//! Levels of the fleet-wide token buckets, for gateways that start: they know nothing of the requests that were admitted
//! before.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::Organisation;

/// Maximum deficit in seconds of the rate that is carried over, as at gateways. It bounds the effect of requests that are
/// counted late, for example those of running gateways after a start of the coordinator.
const MAX_DEFICIT_S: f64 = 2.0;

/// Token bucket of one organisation.
#[derive(Debug)]
struct Level {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
}

/// Levels of the organisations with a limit.
#[derive(Debug, Default)]
pub struct LimitLevels {
    /// Version of the newest configuration that was applied; `None` before the first call.
    config_version: Option<u64>,
    /// Whether a proof showed that the organisations of that configuration, or the absence of one, were current.
    is_proved: bool,
    levels: HashMap<Arc<str>, Level>,
}

impl LimitLevels {
    /// States that the fleet starts for the first time, so that the organisations of its first configuration are new.
    pub const fn set_first_start(&mut self) {
        self.is_proved = true;
    }

    /// Applies the limits of a configuration; version 0 without organisations if there is none. `is_proved` tells that a
    /// freshness proof covers it.
    ///
    /// The bucket of a new organisation is full if the configuration before was proved to be current, since no gateway has
    /// admitted its requests yet. Otherwise it is empty, because requests may have been admitted before the coordinator
    /// started.
    pub fn set_limits(
        &mut self,
        config_version: u64,
        organisations: &[Organisation],
        is_proved: bool,
        now: Duration,
    ) {
        if self.config_version == Some(config_version) {
            self.is_proved |= is_proved;
            return;
        }
        let are_new = self.is_proved;
        self.config_version = Some(config_version);
        // At a first start there is no configuration before the first one.
        self.is_proved = is_proved || are_new && config_version == 0;
        let mut previous = std::mem::take(&mut self.levels);
        for organisation in organisations {
            if organisation.rate_per_s <= 0.0 {
                continue;
            }
            let level = previous.remove(&organisation.name).unwrap_or(Level {
                rate_per_s: organisation.rate_per_s,
                burst: organisation.burst,
                tokens: if are_new {
                    organisation.burst.max(1.0)
                } else {
                    0.0
                },
                refilled_at: now,
            });
            let level = Level {
                rate_per_s: organisation.rate_per_s,
                burst: organisation.burst,
                ..level
            };
            self.levels.insert(Arc::clone(&organisation.name), level);
        }
    }

    /// Takes the tokens of admitted requests that have just become known.
    pub fn consume(&mut self, organisation: &str, admitted: u64, now: Duration) {
        if let Some(level) = self.levels.get_mut(organisation) {
            level.refill(now);
            let admitted = f64::from(u32::try_from(admitted).unwrap_or(u32::MAX));
            let max_deficit = level.rate_per_s * MAX_DEFICIT_S;
            level.tokens = (level.tokens - admitted).max(-max_deficit);
        }
    }

    /// Returns the tokens of each organisation.
    pub fn tokens(&mut self, now: Duration) -> Vec<(Arc<str>, f64)> {
        let levels = self.levels.iter_mut().map(|(organisation, level)| {
            level.refill(now);
            (Arc::clone(organisation), level.tokens)
        });
        levels.collect()
    }
}

impl Level {
    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now.max(self.refilled_at);
        let refilled = self.tokens + elapsed.as_secs_f64() * self.rate_per_s;
        self.tokens = refilled.min(self.burst.max(1.0));
    }
}
