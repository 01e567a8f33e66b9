//! Simulated fleet of holders and pools for one rate limit.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use radishpaddle_quorum::allocation::{
    Admission, AllocationReply, AllocationRequest, AllocationSettings, Holder, Limit, LimitKey,
    Pool, TOKENS_PER_REQUEST,
};
use radishpaddle_quorum::lease::{Leader, Leadership};
use radishpaddle_quorum::{Epoch, InstanceIncarnation};
use rand::Rng;
use rand::rngs::SmallRng;

use super::{Clock, EventQueue, Faults, LinkFailures, life, ms};

/// Time after its end for which the witnesses keep a member.
const MEMBER_RETENTION: Duration = Duration::from_secs(15);

#[derive(Debug, Clone)]
enum Event {
    Arrival(usize),
    Tick(usize),
    /// Time at which the waiting requests of a node are checked again.
    Recheck(usize),
    /// A node learns of a new leader: node, index of the term.
    LearnLeader(usize, usize),
    StartTerm(usize),
    Restart(usize),
    Stop(usize),
    ChangeLimit(Limit),
    Request(usize, AllocationRequest),
    Reply(usize, AllocationReply),
}

struct Node {
    clock: Clock,
    life: InstanceIncarnation,
    alive: bool,
    holder: Holder,
    pool: Option<Pool>,
    waiting: VecDeque<Duration>,
    recheck_at: Option<Duration>,
}

/// Lease of one leader, in true time.
#[derive(Debug, Clone, Copy)]
pub struct Term {
    pub node: usize,
    pub start: Duration,
    pub end: Duration,
}

pub struct Fleet {
    queue: EventQueue<Event>,
    rng: SmallRng,
    faults: Faults,
    pub link_failures: LinkFailures,
    nodes: Vec<Node>,
    /// Incarnations that have ended, and when.
    ended: Vec<(InstanceIncarnation, Duration)>,
    terms: Vec<Term>,
    /// Indices of the terms whose leader was ready for a successor.
    ready: BTreeSet<usize>,
    settings: AllocationSettings,
    key: LimitKey,
    limit: Limit,
    /// Time from the arrival of each request to its deadline.
    pub request_timeout: Duration,
    pub admitted: Vec<Duration>,
    pub refused: Vec<Duration>,
    pub longest_wait: Duration,
}

impl Fleet {
    pub fn new(
        mut rng: SmallRng,
        nodes: usize,
        limit: Limit,
        faults: Faults,
        max_ppm: i64,
        settings: AllocationSettings,
    ) -> Self {
        let key = LimitKey {
            service: "dispatch".parse().expect("a valid id"),
            organisation: "harbour".parse().expect("a valid id"),
        };
        let node = |number| Node {
            clock: if max_ppm == 0 {
                Clock::exact()
            } else {
                Clock::random(&mut rng, max_ppm)
            },
            life: life(number, 1),
            alive: true,
            holder: Holder::new(life(number, 1), settings.clone()),
            pool: None,
            waiting: VecDeque::new(),
            recheck_at: None,
        };
        let nodes: Vec<Node> = (0..nodes).map(node).collect();
        let mut queue = EventQueue::new();
        for number in 0..nodes.len() {
            queue.schedule(ms(rng.random_range(0..20)), Event::Tick(number));
        }
        Self {
            queue,
            rng,
            faults,
            link_failures: LinkFailures::default(),
            nodes,
            ended: Vec::new(),
            terms: Vec::new(),
            ready: BTreeSet::new(),
            settings,
            key,
            limit,
            request_timeout: ms(1000),
            admitted: Vec::new(),
            refused: Vec::new(),
            longest_wait: Duration::ZERO,
        }
    }

    /// Adds a lease. Each node learns of it within half a second, as it does by its polls.
    pub fn add_term(&mut self, term: Term) {
        let number = self.terms.len();
        self.terms.push(term);
        self.queue.schedule(term.start, Event::StartTerm(number));
        for node in 0..self.nodes.len() {
            let delay = if node == term.node {
                Duration::ZERO
            } else {
                ms(self.rng.random_range(1..500))
            };
            self.queue
                .schedule(term.start + delay, Event::LearnLeader(node, number));
        }
    }

    pub fn arrive(&mut self, time: Duration, node: usize) {
        self.queue.schedule(time, Event::Arrival(node));
    }

    pub fn restart(&mut self, time: Duration, node: usize) {
        self.queue.schedule(time, Event::Restart(node));
    }

    /// Stops a node. Its callers move to the next running one.
    pub fn stop(&mut self, time: Duration, node: usize) {
        self.queue.schedule(time, Event::Stop(node));
    }

    pub fn change_limit(&mut self, time: Duration, limit: Limit) {
        self.queue.schedule(time, Event::ChangeLimit(limit));
    }

    pub fn run(&mut self, end: Duration) {
        while let Some(event) = self.queue.pop() {
            if self.queue.now > end {
                return;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(node) => self.on_arrival(node),
            Event::Tick(node) => {
                self.tick(node);
                self.queue
                    .schedule(self.queue.now + ms(20), Event::Tick(node));
            }
            Event::Recheck(node) if self.nodes[node].recheck_at != Some(self.queue.now) => {}
            Event::Recheck(node) => {
                self.nodes[node].recheck_at = None;
                self.serve_waiting(node);
            }
            Event::LearnLeader(node, term) => {
                let leader = Leader {
                    life: self.life(self.terms[term].node),
                    epoch: epoch(term),
                };
                self.nodes[node].holder.set_leader(leader);
                self.tick(node);
            }
            Event::StartTerm(term) => self.start_pool(term),
            Event::Restart(node) => self.on_restart(node),
            Event::Stop(node) => self.on_stop(node),
            Event::ChangeLimit(limit) => self.on_limit(limit),
            Event::Request(node, request) => self.on_request(node, &request),
            Event::Reply(node, reply) => {
                let now = self.local(node);
                self.nodes[node].holder.on_reply(now, &reply);
                self.serve_waiting(node);
            }
        }
    }

    fn life(&self, node: usize) -> InstanceIncarnation {
        self.nodes[node].life.clone()
    }

    fn local(&self, node: usize) -> Duration {
        self.nodes[node].clock.local(self.queue.now)
    }

    fn on_arrival(&mut self, first: usize) {
        let count = self.nodes.len();
        let node = (first..first + count)
            .map(|node| node % count)
            .find(|node| self.nodes[*node].alive);
        let Some(node) = node else { return };
        let now = self.local(node);
        match self.nodes[node].holder.admit(now, &self.key) {
            Admission::Admitted => self.admitted.push(self.queue.now),
            Admission::RateExceeded | Admission::Unavailable => self.refused.push(self.queue.now),
            Admission::Wait { until, .. } => {
                self.nodes[node].waiting.push_back(self.queue.now);
                self.schedule_recheck(node, until);
            }
        }
        self.send_urgent(node);
    }

    fn serve_waiting(&mut self, node: usize) {
        let now = self.local(node);
        let waiting = std::mem::take(&mut self.nodes[node].waiting);
        for arrived in waiting {
            let waited = self.queue.now.saturating_sub(arrived);
            match self.nodes[node].holder.admit_waiting(now, &self.key) {
                Admission::Admitted => {
                    self.longest_wait = self.longest_wait.max(waited);
                    self.admitted.push(self.queue.now);
                }
                Admission::RateExceeded | Admission::Unavailable => self.refused.push(arrived),
                Admission::Wait { .. } if waited >= self.request_timeout => {
                    self.nodes[node].holder.cancel_waiting(&self.key);
                    self.refused.push(arrived);
                }
                Admission::Wait { until, .. } => {
                    self.nodes[node].waiting.push_back(arrived);
                    self.schedule_recheck(node, until);
                }
            }
        }
        self.send_urgent(node);
    }

    /// Schedules a check of the waiting requests, unless an earlier one is scheduled.
    fn schedule_recheck(&mut self, node: usize, until: Duration) {
        let time = self.nodes[node]
            .clock
            .true_time(until)
            .max(self.queue.now + ms(1));
        if self.nodes[node]
            .recheck_at
            .is_none_or(|recheck_at| time < recheck_at)
        {
            self.nodes[node].recheck_at = Some(time);
            self.queue.schedule(time, Event::Recheck(node));
        }
    }

    fn send_urgent(&mut self, node: usize) {
        let now = self.local(node);
        if let Some(request) = self.nodes[node].holder.take_urgent_reports(now) {
            self.send_request(node, request);
        }
    }

    fn tick(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        let now = self.local(node);
        if let Some(request) = self.nodes[node].holder.tick(now) {
            self.send_request(node, request);
        }
        self.tick_pool(node);
    }

    fn tick_pool(&mut self, node: usize) {
        let now = self.local(node);
        let term = self
            .terms
            .iter()
            .rposition(|term| term.node == node && term.start <= self.queue.now);
        let unsettled = self.nodes[node]
            .pool
            .as_ref()
            .is_some_and(|pool| !pool.is_settled());
        let lives = if unsettled {
            self.known_lives()
        } else {
            BTreeSet::new()
        };
        let Some((pool, term)) = self.nodes[node].pool.as_mut().zip(term) else {
            return;
        };
        pool.tick(now);
        if unsettled {
            pool.settle_early(now, &lives);
        }
        if pool.is_handover_ready() && self.queue.now < self.terms[term].end {
            self.ready.insert(term);
        }
    }

    /// Returns the incarnations that the witnesses know.
    fn known_lives(&self) -> BTreeSet<InstanceIncarnation> {
        let alive = (0..self.nodes.len()).filter(|node| self.nodes[*node].alive);
        let mut lives: BTreeSet<InstanceIncarnation> = alive.map(|node| self.life(node)).collect();
        let ended = self
            .ended
            .iter()
            .filter(|(_, end)| *end + MEMBER_RETENTION > self.queue.now);
        lives.extend(ended.map(|(life, _)| life.clone()));
        lives
    }

    fn send_request(&mut self, node: usize, request: AllocationRequest) {
        let Some(leader) = self.nodes[node].holder.leader() else {
            return;
        };
        let instance = &leader.life.instance;
        let to = (0..self.nodes.len()).find(|to| self.nodes[*to].life.instance == *instance);
        let to = to.expect("leaders are nodes");
        self.send(node, to, Event::Request(to, request));
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        if from == to {
            self.queue.schedule(self.queue.now, event);
        } else if !self.link_failures.drops(from, to, self.queue.now) {
            self.queue.send(&mut self.rng, &self.faults, &event);
        }
    }

    fn on_request(&mut self, node: usize, request: &AllocationRequest) {
        let now = self.local(node);
        let leadership = self.leadership(node);
        if !self.nodes[node].alive {
            return;
        }
        let Some(pool) = &mut self.nodes[node].pool else {
            return;
        };
        let Some(reply) = pool.on_request(now, leadership.as_ref(), request) else {
            return;
        };
        self.tick_pool(node);
        let count = self.nodes.len();
        let to = (0..count).find(|to| self.nodes[*to].life == request.holder);
        if let Some(to) = to {
            self.send(node, to, Event::Reply(to, reply));
        }
    }

    fn leadership(&self, node: usize) -> Option<Leadership> {
        let now = self.queue.now;
        let is_current = |term: &Term| term.node == node && (term.start..term.end).contains(&now);
        let term = self.terms.iter().position(is_current)?;
        Some(Leadership {
            epoch: epoch(term),
            since_epoch: epoch(term),
            until: Duration::MAX,
        })
    }

    fn start_pool(&mut self, term: usize) {
        let node = self.terms[term].node;
        let (now, own) = (self.local(node), self.life(node));
        let Some(leadership) = self.leadership(node) else {
            return;
        };
        let before = term
            .checked_sub(1)
            .filter(|before| self.ready.contains(before));
        let before = before.map(|before| self.terms[before]);
        let lives = self.ended.iter().map(|(life, _)| life.clone());
        let predecessor = before.map(|before| {
            let instance = self.life(before.node).instance;
            let mut earlier = lives.filter(|life| life.instance == instance);
            // The predecessor is the incarnation that led, not a later one of the same instance.
            earlier
                .next_back()
                .filter(|_| !self.nodes[before.node].alive)
                .unwrap_or(self.life(before.node))
        });
        let mut pool = Pool::new(own, &leadership, predecessor, self.settings.clone(), now);
        pool.set_limit(now, &self.key, Some(self.limit));
        self.nodes[node].pool = Some(pool);
    }

    fn on_restart(&mut self, node: usize) {
        self.ended.push((self.life(node), self.queue.now));
        let settings = self.settings.clone();
        let ended = &mut self.nodes[node];
        ended.life = life(node, ended.life.incarnation.0 + 1);
        ended.holder = Holder::new(ended.life.clone(), settings);
        ended.pool = None;
        self.refused.extend(ended.waiting.drain(..));
        let known = self
            .terms
            .iter()
            .rposition(|term| term.start <= self.queue.now);
        if let Some(term) = known {
            self.queue
                .schedule(self.queue.now + ms(500), Event::LearnLeader(node, term));
        }
    }

    /// Stops a node. Its waiting requests are lost with it and do not count as refused.
    fn on_stop(&mut self, node: usize) {
        self.ended.push((self.life(node), self.queue.now));
        self.nodes[node].alive = false;
        self.nodes[node].pool = None;
        self.nodes[node].waiting.clear();
    }

    fn on_limit(&mut self, limit: Limit) {
        self.limit = limit;
        for node in 0..self.nodes.len() {
            let now = self.local(node);
            let key = self.key.clone();
            if let Some(pool) = &mut self.nodes[node].pool {
                pool.set_limit(now, &key, Some(limit));
            }
        }
    }
}

fn epoch(term: usize) -> Epoch {
    Epoch(u64::try_from(term).expect("few terms") + 1)
}

/// Reference token bucket for the whole fleet. It starts full and admits as much as the limit allows.
pub struct ReferenceBucket {
    limit: Limit,
    /// Tokens, in billionths.
    level: u128,
    updated_at: Duration,
}

impl ReferenceBucket {
    /// Units of `level` per token.
    const UNIT: u128 = 1_000_000_000;

    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            level: u128::from(limit.burst) * Self::UNIT,
            updated_at: Duration::ZERO,
        }
    }

    /// Admits a request. Returns false if that would exceed `burst + rate * w` in a window of length `w` that ends now.
    pub fn admit(&mut self, time: Duration) -> bool {
        let gained = time.saturating_sub(self.updated_at).as_nanos() * u128::from(self.limit.rate);
        self.updated_at = time;
        self.level = (self.level + gained).min(u128::from(self.limit.burst) * Self::UNIT);
        let cost = u128::from(TOKENS_PER_REQUEST) * Self::UNIT;
        let allowed = self.level >= cost;
        if allowed {
            self.level -= cost;
        }
        allowed
    }
}

/// Returns the time of the first admission that exceeds the limit over some window.
pub fn first_over_admission(admitted: &[Duration], limit: Limit) -> Option<Duration> {
    let mut sorted = admitted.to_vec();
    sorted.sort_unstable();
    let mut reference = ReferenceBucket::new(limit);
    sorted.into_iter().find(|time| !reference.admit(*time))
}
