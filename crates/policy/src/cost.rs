//! Expected cost of a request: the work that it causes at a backend server, and the bytes that it moves.
//!
//! Load pattern: requests of one service differ in work and bytes by orders of magnitude, so a count of requests does not
//! state how much work a server has. Service times are learned by route, organisation and size class of the body. A kind
//! with few answers is completed by its route, the route by its service, and the service by a default.
//!
//! Times are divided by the speed of the server that answered, relative to the median server of the service, so a slow
//! server does not make its kinds look expensive; and by the expected wait at a server whose slots were all in use.

mod distribution;
mod speed;

use std::collections::HashMap;
use std::time::Duration;

use radishpaddle_model::{mix_hash, name_hash};

use distribution::{Distribution, Prior};
use speed::Speeds;

/// Mean service time that is assumed before the first answer of a service.
const DEFAULT_MEAN: Duration = Duration::from_millis(300);

/// Ratio of the tail to the mean that is assumed before a tail is known.
const DEFAULT_TAIL_RATIO: f64 = 4.0;

/// Number of answers as which the estimate of the next wider level counts before the first own answer.
const SERVICE_PRIOR_WEIGHT: f64 = 1.0;
const ROUTE_PRIOR_WEIGHT: f64 = 3.0;
const KIND_PRIOR_WEIGHT: f64 = 6.0;

/// Maximum number of kinds, and of routes and services together. A kind takes about 2 kB; gateways have 160 MB.
const MAX_KINDS: usize = 1_024;

/// Bytes up to which a body is in the smallest size class; each further class holds bodies up to four times as large.
const SMALLEST_CLASS_BYTES: u64 = 1_024;

/// Number of size classes; the largest holds bodies above 1 MiB.
const SIZE_CLASSES: u64 = 7;

/// Expected cost of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CostEstimate {
    /// Mean service time.
    pub mean: Duration,
    /// High quantile of the service time.
    pub tail: Duration,
    /// Size of the request body in bytes.
    pub request_bytes: u64,
    /// Mean size of the answer in bytes.
    pub answer_bytes: u64,
    /// Age of the newest service time that the estimate is based on; `None` if it is based on none.
    pub age: Option<Duration>,
}

/// What is known about the cost of a request before it is sent.
#[derive(Debug, Clone, Copy)]
pub struct RequestKind<'a> {
    /// Service that runs the request.
    pub service: &'a str,
    /// Route of the request.
    pub route: &'a str,
    /// Organisation of the caller.
    pub organisation: Option<&'a str>,
    /// Size of the request body in bytes.
    pub body_bytes: u64,
}

/// Complete answer of a backend server.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// Name of the server.
    pub server: &'a str,
    /// Time from sending the request to the complete answer.
    pub elapsed: Duration,
    /// Size of the answer in bytes.
    pub answer_bytes: u64,
    /// Requests in flight at the server when the request was sent, without the request.
    pub in_flight: u32,
    /// Requests that the server runs concurrently.
    pub slots: u32,
}

impl Observation<'_> {
    /// Service time without the expected wait for a slot.
    fn service_time(&self) -> Duration {
        let slots = f64::from(self.slots.max(1));
        let waiting = (f64::from(self.in_flight) + 1.0 - slots).max(0.0);
        self.elapsed.div_f64(1.0 + waiting / slots)
    }
}

/// Level at which service times are learned.
#[derive(Debug, Clone, Copy)]
enum Level {
    Service,
    Route,
    Kind,
}

impl RequestKind<'_> {
    fn key(&self, level: Level) -> u64 {
        let service = mix_hash(name_hash(self.service));
        let route = mix_hash(service ^ name_hash(self.route));
        match level {
            Level::Service => service,
            Level::Route => route,
            Level::Kind => {
                let organisation = self.organisation.map_or(0, name_hash);
                mix_hash(mix_hash(route ^ organisation) ^ size_class(self.body_bytes))
            }
        }
    }
}

/// Size class of a body; a larger body is never in a smaller class.
fn size_class(bytes: u64) -> u64 {
    let classes = (0..SIZE_CLASSES - 1).map(|class| SMALLEST_CLASS_BYTES << (2 * class));
    classes.filter(|limit| bytes > *limit).count() as u64
}

/// Service times and answer sizes of all kinds of requests at one gateway.
#[derive(Debug, Clone, Default)]
pub struct CostModel {
    /// Services and routes.
    groups: HashMap<u64, Distribution>,
    kinds: HashMap<u64, Distribution>,
    speeds: HashMap<u64, Speeds>,
}

impl CostModel {
    /// Updates the expected cost with a complete answer.
    pub fn record(&mut self, kind: &RequestKind<'_>, observed: &Observation<'_>, now: Duration) {
        let service = kind.key(Level::Service);
        let service_time = observed.service_time();
        let expected = self.estimate(kind, now).mean;
        if self.speeds.len() >= MAX_KINDS && !self.speeds.contains_key(&service) {
            self.speeds.clear();
        }
        let speeds = self.speeds.entry(service).or_default();
        let slowness = speeds.slowness(name_hash(observed.server), now);
        speeds.record(name_hash(observed.server), service_time, expected, now);
        let normal_time = service_time.div_f64(slowness);
        for level in [Level::Service, Level::Route, Level::Kind] {
            let map = match level {
                Level::Service | Level::Route => &mut self.groups,
                Level::Kind => &mut self.kinds,
            };
            let distribution = entry(map, kind.key(level), now);
            distribution.record(normal_time, observed.answer_bytes, now);
        }
    }

    /// Expected cost of a request at a server of normal speed.
    #[must_use]
    pub fn estimate(&self, kind: &RequestKind<'_>, now: Duration) -> CostEstimate {
        let service = self.groups.get(&kind.key(Level::Service));
        let route = self.groups.get(&kind.key(Level::Route));
        let narrowest = self.kinds.get(&kind.key(Level::Kind));
        let prior = service_prior(service, now);
        let prior = refined(prior, route, ROUTE_PRIOR_WEIGHT, now);
        let prior = refined(prior, narrowest, KIND_PRIOR_WEIGHT, now);
        prior.into_estimate(kind.body_bytes)
    }

    /// Mean service time of the requests of a service at a server of normal speed.
    #[must_use]
    pub fn service_mean(&self, service: &str, now: Duration) -> Duration {
        let known = self.groups.get(&mix_hash(name_hash(service)));
        Duration::from_secs_f64(service_prior(known, now).mean_s)
    }

    /// Service time at a server relative to the median server of its service; above 1 if the server is slower.
    #[must_use]
    pub fn slowness(&self, service: &str, server: &str, now: Duration) -> f64 {
        let speeds = self.speeds.get(&mix_hash(name_hash(service)));
        speeds.map_or(1.0, |speeds| speeds.slowness(name_hash(server), now))
    }

    /// Number of kinds that are known.
    #[must_use]
    pub fn kinds(&self) -> usize {
        self.kinds.len()
    }
}

fn service_prior(service: Option<&Distribution>, now: Duration) -> Prior {
    let default = Prior {
        mean_s: DEFAULT_MEAN.as_secs_f64(),
        tail_ratio: DEFAULT_TAIL_RATIO,
        answer_bytes: 0.0,
        age: None,
    };
    refined(default, service, SERVICE_PRIOR_WEIGHT, now)
}

fn refined(prior: Prior, level: Option<&Distribution>, weight: f64, now: Duration) -> Prior {
    level.map_or(prior, |level| level.refine(prior, weight, now))
}

/// Returns the entry of a key. If the map is full, the entry without answers for longest is removed first.
fn entry(map: &mut HashMap<u64, Distribution>, key: u64, now: Duration) -> &mut Distribution {
    if map.len() >= MAX_KINDS && !map.contains_key(&key) {
        let oldest = map.iter().min_by_key(|(_, known)| known.updated_at());
        if let Some(oldest) = oldest.map(|(key, _)| *key) {
            map.remove(&oldest);
        }
    }
    map.entry(key).or_insert_with(|| Distribution::new(now))
}
