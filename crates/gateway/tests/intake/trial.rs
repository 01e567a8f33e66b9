//! Random events at the servers of a gateway, and what they allow.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_gateway::pool::Pools;
use radishpaddle_gateway::server::AttemptResult;
use radishpaddle_model::{BackendState, Retirement, ServerIncarnation};
use radishpaddle_policy::intake::MAX_RESUME_SPREAD;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};

use super::{NOW, SERVICE, announcement, is_available, pools, seconds, server};

/// What a sequence of events allows, kept apart from the gateway.
#[derive(Default)]
struct Expected {
    leaving: HashSet<(Arc<str>, u64)>,
    /// Newest incarnation that asked for a pause or left, and the earliest end of its pause, by server. Earlier
    /// incarnations are gone, and requests for them would reach the newest one.
    pauses: HashMap<Arc<str>, (u64, Duration)>,
}

impl Expected {
    fn may_get_requests(&self, server: &ServerIncarnation, now: Duration) -> bool {
        let mut leaving = self.leaving.iter();
        let has_left =
            leaving.any(|(name, start)| *name == server.name && *start >= server.started_at_ms);
        !has_left && self.pause_end(server) <= now
    }

    fn must_get_requests(&self, server: &ServerIncarnation, now: Duration) -> bool {
        let ended_for_certain = self.pause_end(server) + MAX_RESUME_SPREAD;
        self.may_get_requests(server, now) && ended_for_certain <= now
    }

    fn pause_end(&self, server: &ServerIncarnation) -> Duration {
        let pause = self.pauses.get(&server.name);
        let covered = pause.filter(|(start, _)| server.started_at_ms <= *start);
        covered.map(|(_, end)| *end).unwrap_or_default()
    }

    /// Records the end of a pause, or zero for an answer without one.
    fn record(&mut self, server: &ServerIncarnation, end: Duration) {
        let start = server.started_at_ms;
        let newest = self.pauses.entry(Arc::clone(&server.name)).or_default();
        if newest.0 < start {
            *newest = (start, end);
        } else if newest.0 == start {
            newest.1 = newest.1.max(end);
        }
    }
}

/// Gateway under random events, and what they allow.
pub struct Trial {
    rng: SmallRng,
    pools: Pools,
    expected: Expected,
    /// Newest start of each server.
    newest: Vec<u64>,
    /// Requests without an answer.
    in_flight: Vec<ServerIncarnation>,
    sequence: u64,
    retirements_index: u64,
    now: Duration,
    /// Requests that a server got.
    pub requests: u32,
    /// Requests that found no server.
    pub refused: u32,
}

impl Trial {
    const SERVERS: u16 = 5;

    pub fn new(seed: u64) -> Self {
        let mut trial = Self {
            rng: SmallRng::seed_from_u64(seed),
            pools: pools(),
            expected: Expected::default(),
            newest: vec![1; usize::from(Self::SERVERS)],
            in_flight: Vec::new(),
            sequence: 0,
            retirements_index: 0,
            now: NOW,
            requests: 0,
            refused: 0,
        };
        for number in 0..Self::SERVERS {
            trial.announce(&server(number, 1));
        }
        trial
    }

    fn any_server(&mut self) -> ServerIncarnation {
        let number = self.rng.random_range(0..Self::SERVERS);
        server(number, self.newest[usize::from(number)])
    }

    /// A server with its newest or an earlier start.
    fn any_start(&mut self) -> ServerIncarnation {
        let newest = self.any_server();
        ServerIncarnation {
            started_at_ms: self.rng.random_range(1..=newest.started_at_ms),
            ..newest
        }
    }

    fn announce(&mut self, server: &ServerIncarnation) {
        self.sequence += 1;
        let sequence = self.rng.random_range(1..=self.sequence);
        self.pools.update(announcement(server, sequence), self.now);
    }

    fn restart(&mut self) {
        let number = self.rng.random_range(0..Self::SERVERS);
        self.newest[usize::from(number)] += 1;
        let restarted = server(number, self.newest[usize::from(number)]);
        self.announce(&restarted);
        let is_usable = is_available(&mut self.pools, &restarted, self.now);
        assert!(is_usable, "{restarted} is not usable after its restart");
    }

    fn send(&mut self) {
        let idempotent = self.rng.random_bool(0.5);
        let exclude: Vec<Arc<str>> = match self.rng.random_range(0..3) {
            0 => vec![self.any_server().name],
            _ => Vec::new(),
        };
        let is_last = self.rng.random_bool(0.5);
        let chosen = self
            .pools
            .choose(SERVICE, idempotent, is_last, &exclude, self.now);
        let Ok(chosen) = chosen else {
            self.refused += 1;
            return;
        };
        let may_get = self.expected.may_get_requests(&chosen.server, self.now);
        assert!(may_get, "{} got a request", chosen.server);
        self.requests += 1;
        self.in_flight.push(chosen.server);
    }

    /// An answer to one of the requests in flight, in any order.
    fn answer(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.in_flight.len());
        let server = self.in_flight.swap_remove(index);
        let result = match self.rng.random_range(0..10) {
            0 => {
                self.pools.record_leaving(&server, self.now);
                let key = (Arc::clone(&server.name), server.started_at_ms);
                self.expected.leaving.insert(key);
                self.expected.record(&server, Duration::ZERO);
                AttemptResult::Succeeded
            }
            1 | 2 => {
                let pause = seconds(["0", "0.2", "1.5", "7"].choose(&mut self.rng).unwrap());
                self.pools.record_pause(&server, pause, self.now);
                self.expected.record(&server, self.now + pause.length());
                AttemptResult::Shed
            }
            3 => AttemptResult::Failed,
            4 => AttemptResult::NotConnected,
            _ => AttemptResult::Succeeded,
        };
        self.pools.finish_attempt(&server, result, None, self.now);
    }

    /// A list or change of a coordinator, which may be behind.
    fn poll(&mut self) {
        match self.rng.random_range(0..6) {
            0 => {
                let kept = HashSet::from([self.any_server().name, self.any_server().name]);
                self.pools.retain(&kept);
            }
            1 => {
                let name = self.any_server().name;
                self.pools.remove(&name);
            }
            2 => {
                self.retirements_index += self.rng.random_range(0..2);
                let retired = self.any_start();
                let state = BackendState::Draining;
                let is_old = retired.started_at_ms < self.newest_start(&retired);
                let retirement = Retirement {
                    id: retired.name,
                    started_at_ms: retired.started_at_ms,
                    state,
                };
                let list = if is_old { vec![retirement] } else { Vec::new() };
                self.pools.retire(list, self.retirements_index);
            }
            _ => {
                let announced = self.any_start();
                self.announce(&announced);
            }
        }
    }

    fn newest_start(&self, server: &ServerIncarnation) -> u64 {
        let number: usize = server.name["server-".len()..].parse().unwrap();
        self.newest[number]
    }

    /// The newest start of a server is used once it is announced, unless it left or is paused.
    fn check_available(&mut self) {
        let server = self.any_server();
        self.announce(&server);
        let available = is_available(&mut self.pools, &server, self.now);
        let must = self.expected.must_get_requests(&server, self.now);
        let may = self.expected.may_get_requests(&server, self.now);
        assert!(available || !must, "{server} gets no requests");
        assert!(!available || may, "{server} gets requests");
    }

    pub fn step(&mut self) {
        match self.rng.random_range(0..20) {
            0..8 => self.send(),
            8..14 => self.answer(),
            14..16 => self.poll(),
            16 if self.rng.random_bool(0.3) => self.restart(),
            17 => self.check_available(),
            _ => self.now += Duration::from_millis(self.rng.random_range(0..400)),
        }
    }
}
